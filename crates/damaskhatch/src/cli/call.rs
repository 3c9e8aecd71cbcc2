//! HTTP calls to the operator ports of hosts.

use std::time::Duration;

use serde::Serialize;
use serde_json::Value;

/// The timeout of one call to one host.
const TIMEOUT: Duration = Duration::from_secs(10);
/// The largest response body that is read, in bytes.
const MAX_RESPONSE_BYTES: usize = 64 << 20;

/// Why a command failed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Error {
    /// A host, or a local check, refused the command for this reason.
    Refused(String),
    /// No host could be reached; one line per host that was tried.
    Unreachable(String),
}

/// The result of a command.
pub type Result<T> = std::result::Result<T, Error>;

/// Sends a GET request to the first host that responds.
pub async fn get(hosts: &[String], path: &str) -> Result<Value> {
    let mut reasons = Vec::new();
    for host in hosts {
        match send(client().get(url(host, path)), None::<&()>).await {
            Err(Error::Unreachable(reason)) => reasons.push(format!("{host}: {reason}")),
            result => return result,
        }
    }
    Err(Error::Unreachable(reasons.join("\n")))
}

/// Posts JSON to the first host that responds.
pub async fn post(hosts: &[String], path: &str, body: &impl Serialize) -> Result<Value> {
    let mut reasons = Vec::new();
    for host in hosts {
        match send(client().post(url(host, path)), Some(body)).await {
            Err(Error::Unreachable(reason)) => reasons.push(format!("{host}: {reason}")),
            result => return result,
        }
    }
    Err(Error::Unreachable(reasons.join("\n")))
}

/// Posts bytes to the first host that responds.
pub async fn post_bytes(hosts: &[String], path: &str, bytes: &[u8]) -> Result<Value> {
    let mut reasons = Vec::new();
    for host in hosts {
        let sent = client().post(url(host, path)).send_body(bytes.to_vec()).await;
        match sent {
            Ok(response) => return read_response(response).await,
            Err(error) => reasons.push(format!("{host}: {error}")),
        }
    }
    Err(Error::Unreachable(reasons.join("\n")))
}

fn client() -> awc::Client {
    awc::Client::builder().timeout(TIMEOUT).finish()
}

fn url(host: &str, path: &str) -> String {
    format!("http://{host}{path}")
}

async fn send(request: awc::ClientRequest, body: Option<&impl Serialize>) -> Result<Value> {
    let sent = match body {
        Some(body) => request.send_json(body).await,
        None => request.send().await,
    };
    read_response(sent.map_err(|error| Error::Unreachable(error.to_string()))?).await
}

/// Reads the JSON of a successful response; fails with the reason that any other one contains.
async fn read_response<S>(mut response: awc::ClientResponse<S>) -> Result<Value>
where
    S: futures_util::Stream<Item = std::result::Result<bytes::Bytes, awc::error::PayloadError>>
        + Unpin,
{
    let body = response.body().limit(MAX_RESPONSE_BYTES).await;
    let body = body.map_err(|error| Error::Unreachable(error.to_string()))?;
    let value: Value = serde_json::from_slice(&body).unwrap_or(Value::Null);
    if response.status().is_success() {
        return Ok(value);
    }
    if let Some(faults) = value["faults"].as_array() {
        let lines: Vec<&str> = faults.iter().filter_map(Value::as_str).collect();
        return Err(Error::Refused(lines.join("\n")));
    }
    let reason =
        value["error"].as_str().map_or_else(|| response.status().to_string(), str::to_owned);
    Err(Error::Refused(reason))
}
