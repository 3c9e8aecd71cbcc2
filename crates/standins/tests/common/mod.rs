//! Helpers shared by the tests that run fleets of processes.

#![allow(dead_code, reason = "no test file uses all helpers")]

use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use damaskhatch_standins::engine::Stats;
use damaskhatch_standins::fleet::{self, Fleet, MODEL, Plan, Process};
use serde_json::{Value, json};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::{Instant, sleep};

/// Path of the program that runs every process of a fleet.
pub fn program() -> PathBuf {
    PathBuf::from(env!("CARGO_BIN_EXE_damaskhatch-demo"))
}

/// Starts a small fleet, adapted by `change`, with a fault-injecting proxy before every process.
pub async fn start_proxied(change: impl FnOnce(&mut Plan)) -> Fleet {
    let mut plan = Plan { proxied: true, ..Plan::small(program()) };
    change(&mut plan);
    Fleet::start(plan).await.expect("the fleet starts")
}

/// Polls until `check` holds; fails with `what` after `limit`.
pub async fn eventually<F>(what: &str, limit: Duration, mut check: impl FnMut() -> F)
where
    F: Future<Output = bool>,
{
    let end = Instant::now() + limit;
    while !check().await {
        assert!(Instant::now() < end, "not within {limit:?}: {what}");
        sleep(Duration::from_millis(50)).await;
    }
}

/// A complete HTTP response.
#[derive(Debug, Clone)]
pub struct Response {
    pub status: u16,
    pub headers: Vec<(String, String)>,
    pub body: Value,
}

impl Response {
    pub fn code(&self) -> &str {
        self.body["error"]["code"].as_str().unwrap_or("")
    }

    pub fn outcome(&self) -> &str {
        self.body["error"]["outcome"].as_str().unwrap_or("")
    }

    pub fn header(&self, name: &str) -> &str {
        let found = self.headers.iter().find(|(known, _)| known == name);
        found.map_or("", |(_, value)| value)
    }
}

/// Sends a POST request with `headers` and waits for the complete response.
pub async fn call(
    target: SocketAddr,
    path: &str,
    headers: &[(&str, &str)],
    body: &str,
) -> Result<Response, String> {
    let client = awc::Client::builder().timeout(Duration::from_secs(30)).finish();
    let mut request = client.post(format!("http://{target}{path}"));
    for (name, value) in headers {
        request = request.insert_header((*name, *value));
    }
    let sent = request.send_body(body.to_owned()).await;
    let mut response = sent.map_err(|error| error.to_string())?;
    let bytes = response.body().limit(16 << 20).await.map_err(|error| error.to_string())?;
    let headers = response.headers().iter();
    let headers = headers.map(|(n, v)| (n.to_string(), v.to_str().unwrap_or("").to_owned()));
    Ok(Response {
        status: response.status().as_u16(),
        headers: headers.collect(),
        body: serde_json::from_slice(&bytes).unwrap_or(Value::Null),
    })
}

/// Requests a completion that is not streamed.
pub async fn complete(
    target: SocketAddr,
    key: &str,
    prompt: &str,
    max_tokens: u32,
) -> Result<Response, String> {
    let body = json!({ "model": MODEL, "prompt": prompt, "max_tokens": max_tokens });
    let bearer = format!("Bearer {key}");
    call(target, "/v1/completions", &[("authorization", &bearer)], &body.to_string()).await
}

/// The generated text in a completion's response.
pub fn text(response: &Response) -> &str {
    response.body["choices"][0]["text"].as_str().unwrap_or("")
}

/// Sends a completion request over a raw connection, which the test can close or reset at any
/// time.
pub async fn open_completion(
    target: SocketAddr,
    key: &str,
    prompt: &str,
    max_tokens: u32,
    stream: bool,
) -> TcpStream {
    let body = json!({
        "model": MODEL, "prompt": prompt, "max_tokens": max_tokens, "stream": stream,
    });
    send_completion(target, key, "HTTP/1.1", &body).await
}

/// Sends a completion request with this body as a caller of this HTTP version.
pub async fn send_completion(
    target: SocketAddr,
    key: &str,
    version: &str,
    body: &Value,
) -> TcpStream {
    let body = body.to_string();
    let head = format!(
        "POST /v1/completions {version}\r\nhost: x\r\nauthorization: Bearer {key}\r\n\
         content-type: application/json\r\ncontent-length: {}\r\n\r\n",
        body.len()
    );
    let mut connection = TcpStream::connect(target).await.expect("the host accepts callers");
    connection.write_all(head.as_bytes()).await.expect("the request is written");
    connection.write_all(body.as_bytes()).await.expect("the request is written");
    connection
}

/// Reads from a raw connection until it ends or no bytes arrive for `silence`.
pub async fn read_raw_response(connection: &mut TcpStream, silence: Duration) -> String {
    let mut bytes = Vec::new();
    let mut buffer = [0; 4096];
    while let Ok(Ok(length)) = tokio::time::timeout(silence, connection.read(&mut buffer)).await {
        if length == 0 {
            break;
        }
        bytes.extend_from_slice(&buffer[..length]);
    }
    String::from_utf8_lossy(&bytes).into_owned()
}

/// Fetches the counts that an engine keeps of its own work.
pub async fn fetch_stats(engine: &Process) -> Stats {
    let stats = fleet::get(engine.address, "/test/stats").await.expect("the engine responds");
    serde_json::from_value(stats).expect("these are the engine's counts")
}

/// Whether all reachable engines run no request and hold no prompt and no memory.
pub async fn all_idle(fleet: &Fleet) -> bool {
    for engine in &fleet.engines {
        let Ok(stats) = fleet::get(engine.address, "/test/stats").await else { continue };
        let stats: Stats = serde_json::from_value(stats).expect("these are the engine's counts");
        if stats.running > 0 || stats.prompts > 0 || stats.used_pieces > 0 {
            return false;
        }
    }
    true
}

/// Counts over all reachable services how often the call with the caller's `id` ran.
pub async fn count_runs(fleet: &Fleet, id: &str) -> u32 {
    let mut count = 0;
    for service in &fleet.services {
        let Ok(record) = fleet::get(service.address, "/test/record").await else { continue };
        count += record["calls"][id].as_u64().unwrap_or(0) as u32;
    }
    count
}
