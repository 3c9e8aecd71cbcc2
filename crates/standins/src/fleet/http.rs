//! HTTP calls to the processes of a fleet.

use std::net::SocketAddr;

use awc::http::StatusCode;
use serde_json::Value;

use super::READY_TIMEOUT;

/// The largest response body that is read, in bytes.
const MAX_BODY_BYTES: usize = 64 << 20;

/// Gets JSON from a process of the fleet, whatever the status of the response.
pub async fn get(address: SocketAddr, path: &str) -> Result<Value, String> {
    let request = awc::Client::new().get(format!("http://{address}{path}"));
    let mut response = request.send().await.map_err(|error| error.to_string())?;
    response.json().limit(MAX_BODY_BYTES).await.map_err(|error| error.to_string())
}

/// Posts JSON to a process of the fleet, as [`post_bytes`] does.
pub async fn post(address: SocketAddr, path: &str, body: &Value) -> Result<Value, String> {
    post_bytes(address, path, body.to_string().as_bytes()).await
}

/// Posts bytes to a process of the fleet and returns the JSON of its response.
///
/// Returns null for a response that is not JSON, and an error for a status other than 200 and 202.
pub async fn post_bytes(address: SocketAddr, path: &str, body: &[u8]) -> Result<Value, String> {
    let request = awc::Client::builder().timeout(READY_TIMEOUT).finish();
    let request = request
        .post(format!("http://{address}{path}"))
        .insert_header(("content-type", "application/json"));
    let mut response = request.send_body(body.to_vec()).await.map_err(|error| error.to_string())?;
    let status = response.status();
    let body = response.body().limit(MAX_BODY_BYTES).await.map_err(|error| error.to_string())?;
    if status != StatusCode::OK && status != StatusCode::ACCEPTED {
        let text = String::from_utf8_lossy(&body);
        return Err(format!("POST http://{address}{path}: {status} {text}"));
    }
    Ok(serde_json::from_slice(&body).unwrap_or(Value::Null))
}
