//! The client of the engines' HTTP interface.
//!
//! Every call opens a new connection: a reused one may be stalled without either end having
//! noticed, and a call ends when it is dropped, because its connection closes with it. The bodies of
//! responses are taken from a [`Budget`].

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use damaskhatch_exchange::memory::Budget;
use damaskhatch_exchange::{self as exchange, Head, HeaderMap, Response, StatusCode};
use damaskhatch_policy::prelude::Request;
use damaskhatch_policy::retry::Reach;
use damaskhatch_policy::schedule::engine::Load;
use displaydoc::Display;
use prometheus::IntGauge;
use serde::Serialize;

use crate::headers;

use super::message::{Decode, Line, Prefill, Prefilled, RequestId, Requests, Resume};

/// The time limit for opening a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// The time limit for calls that run nothing on the engine, such as probes and cancellations.
const CALL_TIMEOUT: Duration = Duration::from_secs(1);
/// The longest time between tokens or heartbeats before an engine counts as silent.
pub const SILENCE_TIMEOUT: Duration = Duration::from_millis(800);
/// The time limit for running a prompt, queueing on the engine included.
const PREFILL_TIMEOUT: Duration = Duration::from_mins(1);
/// The pause before a failed cancellation is retried.
const CANCEL_RETRY_DELAY: Duration = Duration::from_millis(200);
/// How long a failing cancellation is retried before it is abandoned.
const CANCEL_RETRY_PERIOD: Duration = Duration::from_mins(1);
/// The header by which an engine names the version of its software.
const VERSION: &str = "x-damaskhatch-version";
/// The header by which a call names its request; a response that has it must repeat it.
pub const REQUEST_ID: &str = "x-request-id";
/// The longest JSON response, in bytes: a list of requests.
const MAX_JSON_BYTES: usize = 4 << 20;
/// The longest line of a token stream, in bytes.
const MAX_LINE_BYTES: usize = 64 << 10;

/// Why a call to an engine failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub enum Error {
    /// connecting to the engine failed or timed out
    Connect,
    /// the engine's address refuses connections
    Refused,
    /// the engine declined the request without running it
    Declined,
    /// the connection closed before the response was complete
    Broken,
    /// the engine sent nothing within the time limit
    Silent,
    /// the response belongs to another request
    Crossed,
    /// the response has an unexpected status, length or body
    Malformed,
    /// the engine does not know the request or its KV cache
    Gone,
    /// the engine runs another software version than the one that began the response
    OtherVersion,
}

impl std::error::Error for Error {}

impl Error {
    /// How far the failed call may have got, which decides whether it may be retried.
    pub const fn reach(self) -> Reach {
        match self {
            Self::Connect | Self::Refused => Reach::Unsent,
            Self::Declined => Reach::Declined,
            Self::Broken
            | Self::Silent
            | Self::Crossed
            | Self::Malformed
            | Self::Gone
            | Self::OtherVersion => Reach::MayHaveRun,
        }
    }
}

/// A result whose error is an engine call [`Error`].
pub type Result<T> = std::result::Result<T, Error>;

impl From<exchange::Error> for Error {
    fn from(error: exchange::Error) -> Self {
        match error {
            exchange::Error::Refused => Self::Refused,
            exchange::Error::Unsent(_) => Self::Connect,
            exchange::Error::Broken(_) | exchange::Error::Stale(_) => Self::Broken,
            exchange::Error::TooLong(_) | exchange::Error::Exhausted { .. } => Self::Malformed,
        }
    }
}

/// Sends a request over a new connection and waits for the head of the response.
///
/// `address` is an IP address with a port. Only connecting is limited in time.
pub async fn send(
    address: &str,
    method: &str,
    target: &str,
    mut headers: HeaderMap,
    body: Bytes,
) -> Result<Response> {
    headers::set(&mut headers, "host", address);
    let address: SocketAddr = address.parse().map_err(|_error| Error::Connect)?;
    let mut request =
        exchange::Request::builder().method(method).uri(target).body(body).map_err(|error| {
            log::warn!("event=request_not_built target={target} error={error}");
            Error::Connect
        })?;
    *request.headers_mut() = headers;
    Ok(exchange::send(address, CONNECT_TIMEOUT, request).await?)
}

/// Posts a JSON body about a request and maps the status of the response to an [`Error`].
async fn post(address: &str, path: &str, request: &str, body: &impl Serialize) -> Result<Response> {
    post_with(address, path, request, body, |_head| {}).await
}

/// Posts as [`post`] does, and calls `on_head` with the response's head, whatever its status is.
async fn post_with(
    address: &str,
    path: &str,
    request: &str,
    body: &impl Serialize,
    on_head: impl Fn(&Head),
) -> Result<Response> {
    let body = serde_json::to_vec(body).map_err(|_error| Error::Malformed)?;
    let mut headers = HeaderMap::new();
    headers::set(&mut headers, "content-type", "application/json");
    headers::set(&mut headers, REQUEST_ID, request);
    let response = send(address, "POST", path, headers, body.into()).await?;
    if headers::names_another(&response.head.headers, REQUEST_ID, Some(request.as_bytes())) {
        // That another request did not run says nothing about this one.
        return Err(Error::Crossed);
    }
    on_head(&response.head);
    match response.head.status {
        status if status.is_success() => Ok(response),
        StatusCode::NOT_FOUND | StatusCode::GONE => Err(Error::Gone),
        // With these two, the engine guarantees that it did not start the request.
        StatusCode::SERVICE_UNAVAILABLE | StatusCode::TOO_MANY_REQUESTS => Err(Error::Declined),
        _ => Err(Error::Malformed),
    }
}

/// Reads and parses the body of a JSON response.
async fn read_json<T: serde::de::DeserializeOwned>(
    mut response: Response,
    memory: &Budget,
) -> Result<T> {
    let body = response.read_body(MAX_JSON_BYTES, memory).await?;
    serde_json::from_slice(&body).map_err(|_error| Error::Malformed)
}

/// Runs a prompt; while there is no response, probes the engine over new connections.
///
/// `on_head` is called with the head of the response to the call itself.
pub async fn prefill(
    address: &str,
    call: &Prefill,
    memory: &Budget,
    on_head: impl Fn(&Head),
) -> Result<Prefilled> {
    let response = tokio::time::timeout(PREFILL_TIMEOUT, async {
        let response = post_with(address, "/prefill", &call.request, call, on_head).await?;
        let prefilled: Prefilled = read_json(response, memory).await?;
        if prefilled.request == call.request { Ok(prefilled) } else { Err(Error::Crossed) }
    });
    tokio::pin!(response);
    loop {
        tokio::select! {
            prefilled = &mut response => return prefilled.unwrap_or(Err(Error::Silent)),
            () = tokio::time::sleep(SILENCE_TIMEOUT) => {
                if let Some(prefilled) = probe_prefill(address, call, memory).await? {
                    return Ok(prefilled);
                }
            }
        }
    }
}

/// Fetches the result of a prompt over a new connection; `None` while the prompt runs.
async fn probe_prefill(
    address: &str,
    call: &Prefill,
    memory: &Budget,
) -> Result<Option<Prefilled>> {
    let body = RequestId { request: call.request.clone() };
    let probe = async {
        let response = post(address, "/prefilled", &call.request, &body).await?;
        if response.head.status == StatusCode::ACCEPTED {
            return Ok(None);
        }
        read_json(response, memory).await.map(Some)
    };
    tokio::time::timeout(CALL_TIMEOUT, probe).await.unwrap_or(Err(Error::Silent))
}

/// The token stream of one request.
#[derive(Debug)]
pub struct Tokens {
    request: String,
    response: Response,
    /// The bytes received after the last line that was read.
    buffer: Vec<u8>,
}

/// Starts generation and opens its token stream; `on_head` is called with the response's head.
pub async fn decode(address: &str, call: &Decode, on_head: impl Fn(&Head)) -> Result<Tokens> {
    open_stream(address, "/decode", call, &call.request, on_head).await
}

/// Reopens the token stream of a running request over a new connection.
pub async fn resume(address: &str, call: &Resume) -> Result<Tokens> {
    open_stream(address, "/resume", call, &call.request, |_head| {}).await
}

/// Posts a call whose response is a token stream, and waits for its head.
async fn open_stream(
    address: &str,
    path: &str,
    call: &impl Serialize,
    request: &str,
    on_head: impl Fn(&Head),
) -> Result<Tokens> {
    let posted = post_with(address, path, request, call, on_head);
    let opened = tokio::time::timeout(SILENCE_TIMEOUT * 2, posted).await;
    let response = opened.unwrap_or(Err(Error::Silent))?;
    if response.head.status != StatusCode::OK {
        // Another success has no body, or only a part of one.
        return Err(Error::Malformed);
    }
    Ok(Tokens { request: request.to_owned(), response, buffer: Vec::new() })
}

impl Tokens {
    /// The software version that the engine names; `None` if it names none.
    pub fn version(&self) -> Option<&str> {
        self.response.head.headers.get(VERSION)?.to_str().ok()
    }

    /// Reads the next line.
    ///
    /// Fails with [`Error::Silent`] if no bytes arrive for [`SILENCE_TIMEOUT`].
    pub async fn next(&mut self) -> Result<Line> {
        loop {
            if let Some(end) = self.buffer.iter().position(|byte| *byte == b'\n') {
                let rest = self.buffer.split_off(end + 1);
                let line = std::mem::replace(&mut self.buffer, rest);
                return self.parse_line(&line);
            }
            if self.buffer.len() > MAX_LINE_BYTES {
                return Err(Error::Malformed);
            }
            let chunk = self.next_chunk().await?;
            self.buffer.extend_from_slice(&chunk);
        }
    }

    fn parse_line(&self, bytes: &[u8]) -> Result<Line> {
        let line: Line = serde_json::from_slice(bytes).map_err(|_error| Error::Malformed)?;
        if line.request == self.request { Ok(line) } else { Err(Error::Crossed) }
    }

    async fn next_chunk(&mut self) -> Result<Bytes> {
        match tokio::time::timeout(SILENCE_TIMEOUT, self.response.next_chunk()).await {
            Ok(Some(chunk)) => Ok(chunk?),
            // Callers stop reading after the last line, so an end before it is premature.
            Ok(None) => Err(Error::Broken),
            Err(_elapsed) => Err(Error::Silent),
        }
    }
}

/// Cancels a request and frees what the engine holds for it.
///
/// A request unknown to the engine counts as cancelled.
pub async fn cancel(address: &str, request: Request) -> Result<()> {
    let body = RequestId { request: request.to_string() };
    let call = post(address, "/cancel", &body.request, &body);
    match tokio::time::timeout(CALL_TIMEOUT, call).await {
        Ok(Ok(_) | Err(Error::Gone)) => Ok(()),
        Ok(Err(error)) => Err(error),
        Err(_elapsed) => Err(Error::Silent),
    }
}

/// Spawns a task that retries a cancellation until the engine confirms it.
///
/// The task ends after `CANCEL_RETRY_PERIOD` at the latest; `open` counts the running tasks.
pub fn cancel_in_background(address: String, request: Request, open: IntGauge) {
    open.inc();
    actix_rt::spawn(async move {
        let end = tokio::time::Instant::now() + CANCEL_RETRY_PERIOD;
        while tokio::time::Instant::now() < end {
            match cancel(&address, request).await {
                Ok(()) => break,
                Err(error) => {
                    log::debug!("event=cancel_repeat request={request} error={error}");
                    tokio::time::sleep(CANCEL_RETRY_DELAY).await;
                }
            }
        }
        open.dec();
    });
}

/// Fetches an engine's load report; `None` if the call fails.
pub async fn fetch_load(address: &str, memory: &Budget, on_head: impl Fn(&Head)) -> Option<Load> {
    get(address, "/load", memory, on_head).await
}

/// Lists the requests for which an engine holds any state; `None` if the call fails.
pub async fn list_requests(address: &str, memory: &Budget) -> Option<Vec<Request>> {
    let listed: Requests = get(address, "/requests", memory, |_head| {}).await?;
    Some(listed.requests.iter().filter_map(|request| request.parse().ok()).collect())
}

/// Gets and parses a JSON resource; `None` if any step fails or takes too long.
async fn get<T: serde::de::DeserializeOwned>(
    address: &str,
    path: &str,
    memory: &Budget,
    on_head: impl Fn(&Head),
) -> Option<T> {
    let call = async {
        let response = send(address, "GET", path, HeaderMap::new(), Bytes::new()).await.ok()?;
        on_head(&response.head);
        if !response.head.status.is_success() {
            return None;
        }
        read_json(response, memory).await.ok()
    };
    tokio::time::timeout(CALL_TIMEOUT, call).await.ok().flatten()
}
