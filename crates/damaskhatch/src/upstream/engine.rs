//! The client side of the engines' HTTP interface.
//!
//! Every call opens a connection of its own: an open one may have gone silent
//! without either end knowing, and a call that is cancelled ends with it.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use damaskhatch_exchange::{self as exchange, HeaderMap, Response, StatusCode};
use damaskhatch_policy::prelude::{Request, Tag};
use damaskhatch_policy::retry::Reach;
use damaskhatch_policy::schedule::engine::Load;
use displaydoc::Display;
use prometheus::IntGauge;
use serde::Serialize;

use crate::headers;

use super::message::{Decode, Line, Named, Prefill, Prefilled, Requests, Resume};

/// How long a connection may take to open.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// How long short calls may take.
const CALL_TIMEOUT: Duration = Duration::from_secs(1);
/// An engine sends a token or a heartbeat at least this often, or counts as silent.
pub const SILENCE_LIMIT: Duration = Duration::from_millis(800);
/// How long a prompt may run in all.
const PREFILL_LIMIT: Duration = Duration::from_mins(1);
/// The pause before a cancellation is repeated.
const CANCEL_PAUSE: Duration = Duration::from_millis(200);
/// How long a cancellation is repeated.
const CANCEL_LIFE: Duration = Duration::from_mins(1);
/// The longest JSON answer, in bytes.
const MAX_JSON_BYTES: usize = 4 << 20;
/// The longest line of a token stream, in bytes.
const MAX_LINE_BYTES: usize = 64 << 10;

/// Why a call to an engine failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub enum Error {
    /// no connection to the engine within the time limit
    Connect,
    /// the engine's address refuses connections
    Refused,
    /// the engine declined the call without running it
    Declined,
    /// the connection broke
    Broken,
    /// nothing came for too long
    Silent,
    /// an answer that belongs to another request
    Crossed,
    /// an answer that cannot be understood
    Malformed,
    /// the engine does not know the request or its cache
    Gone,
}

impl std::error::Error for Error {}

impl Error {
    /// How far the call may have got.
    pub const fn reach(self) -> Reach {
        match self {
            Self::Connect | Self::Refused => Reach::Unsent,
            Self::Declined => Reach::Declined,
            Self::Broken | Self::Silent | Self::Crossed | Self::Malformed | Self::Gone => {
                Reach::MayHaveRun
            }
        }
    }
}

/// The result of this layer.
pub type Result<T> = std::result::Result<T, Error>;

impl From<exchange::Error> for Error {
    fn from(error: exchange::Error) -> Self {
        match error {
            exchange::Error::Refused => Self::Refused,
            exchange::Error::Unsent(_) => Self::Connect,
            exchange::Error::Broken(_) => Self::Broken,
            exchange::Error::TooLong(_) => Self::Malformed,
        }
    }
}

/// Sends a request on a connection of its own and waits for the head of its answer.
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

async fn post(address: &str, path: &str, body: &impl Serialize) -> Result<Response> {
    let body = serde_json::to_vec(body).map_err(|_error| Error::Malformed)?;
    let mut headers = HeaderMap::new();
    headers::set(&mut headers, "content-type", "application/json");
    let answer = send(address, "POST", path, headers, body.into()).await?;
    match answer.head.status {
        status if status.is_success() => Ok(answer),
        StatusCode::NOT_FOUND | StatusCode::GONE => Err(Error::Gone),
        // Engines certify with these that they did not start the request.
        StatusCode::SERVICE_UNAVAILABLE | StatusCode::TOO_MANY_REQUESTS => Err(Error::Declined),
        _ => Err(Error::Malformed),
    }
}

/// Reads the rest of a JSON answer.
async fn json<T: serde::de::DeserializeOwned>(mut answer: Response) -> Result<T> {
    let body = answer.read_body(MAX_JSON_BYTES).await?;
    serde_json::from_slice(&body).map_err(|_error| Error::Malformed)
}

/// Runs a prompt; probes over a new connection while no answer comes.
pub async fn prefill(address: &str, call: &Prefill) -> Result<Prefilled> {
    let answer = tokio::time::timeout(PREFILL_LIMIT, async {
        let prefilled: Prefilled = json(post(address, "/prefill", call).await?).await?;
        if prefilled.request == call.request { Ok(prefilled) } else { Err(Error::Crossed) }
    });
    tokio::pin!(answer);
    loop {
        tokio::select! {
            answered = &mut answer => return answered.unwrap_or(Err(Error::Silent)),
            () = tokio::time::sleep(SILENCE_LIMIT) => {
                if let Some(prefilled) = probe_prefill(address, call).await? {
                    return Ok(prefilled);
                }
            }
        }
    }
}

/// Asks over a new connection what became of a prompt; `None` while it runs.
async fn probe_prefill(address: &str, call: &Prefill) -> Result<Option<Prefilled>> {
    let named = Named { request: call.request.clone() };
    let probe = async {
        let answer = post(address, "/prefilled", &named).await?;
        if answer.head.status == StatusCode::ACCEPTED {
            return Ok(None);
        }
        json(answer).await.map(Some)
    };
    tokio::time::timeout(CALL_TIMEOUT, probe).await.unwrap_or(Err(Error::Silent))
}

/// A stream of the tokens of one request.
#[derive(Debug)]
pub struct Tokens {
    request: String,
    answer: Response,
    buffer: Vec<u8>,
}

/// Starts to generate tokens.
pub async fn decode(address: &str, call: &Decode) -> Result<Tokens> {
    stream(address, "/decode", call, &call.request).await
}

/// Goes on with a request over a new connection.
pub async fn resume(address: &str, call: &Resume) -> Result<Tokens> {
    stream(address, "/resume", call, &call.request).await
}

async fn stream(address: &str, path: &str, call: &impl Serialize, request: &str) -> Result<Tokens> {
    let opened = tokio::time::timeout(SILENCE_LIMIT * 2, post(address, path, call)).await;
    let answer = opened.unwrap_or(Err(Error::Silent))?;
    Ok(Tokens { request: request.to_owned(), answer, buffer: Vec::new() })
}

impl Tokens {
    /// The next line; fails when nothing comes for [`SILENCE_LIMIT`].
    pub async fn next(&mut self) -> Result<Line> {
        loop {
            if let Some(end) = self.buffer.iter().position(|byte| *byte == b'\n') {
                let rest = self.buffer.split_off(end + 1);
                let line = std::mem::replace(&mut self.buffer, rest);
                return self.read_line(&line);
            }
            if self.buffer.len() > MAX_LINE_BYTES {
                return Err(Error::Malformed);
            }
            let chunk = self.next_chunk().await?;
            self.buffer.extend_from_slice(&chunk);
        }
    }

    fn read_line(&self, bytes: &[u8]) -> Result<Line> {
        let line: Line = serde_json::from_slice(bytes).map_err(|_error| Error::Malformed)?;
        if line.request == self.request { Ok(line) } else { Err(Error::Crossed) }
    }

    async fn next_chunk(&mut self) -> Result<Bytes> {
        match tokio::time::timeout(SILENCE_LIMIT, self.answer.next_chunk()).await {
            Ok(Some(chunk)) => Ok(chunk?),
            // The last line says that it is the last, so an end before it is too early.
            Ok(None) => Err(Error::Broken),
            Err(_elapsed) => Err(Error::Silent),
        }
    }
}

/// Cancels a request and frees what the engine holds for it.
pub async fn cancel(address: &str, request: Request) -> Result<()> {
    let named = Named { request: request.to_string() };
    let call = post(address, "/cancel", &named);
    match tokio::time::timeout(CALL_TIMEOUT, call).await {
        Ok(Ok(_) | Err(Error::Gone)) => Ok(()),
        Ok(Err(error)) => Err(error),
        Err(_elapsed) => Err(Error::Silent),
    }
}

/// Repeats a cancellation until the engine confirms it.
pub fn cancel_in_background(address: String, request: Request, open: IntGauge) {
    open.inc();
    actix_rt::spawn(async move {
        let end = tokio::time::Instant::now() + CANCEL_LIFE;
        while tokio::time::Instant::now() < end {
            match cancel(&address, request).await {
                Ok(()) => break,
                Err(error) => {
                    log::debug!("event=cancel_repeat request={request} error={error}");
                    tokio::time::sleep(CANCEL_PAUSE).await;
                }
            }
        }
        open.dec();
    });
}

/// Reads an engine's load report.
pub async fn load(address: &str) -> Option<Load> {
    get(address, "/load").await
}

/// Lists the requests that an engine holds anything for.
pub async fn requests(address: &str) -> Option<Vec<Request>> {
    let listed: Requests = get(address, "/requests").await?;
    Some(listed.requests.iter().filter_map(|request| request.parse().ok()).collect())
}

async fn get<T: serde::de::DeserializeOwned>(address: &str, path: &str) -> Option<T> {
    let call = async {
        let answer = send(address, "GET", path, HeaderMap::new(), Bytes::new()).await.ok()?;
        if !answer.head.status.is_success() {
            return None;
        }
        json(answer).await.ok()
    };
    tokio::time::timeout(CALL_TIMEOUT, call).await.ok().flatten()
}

/// The tag of one attempt of a request on an engine.
pub fn attempt_tag(request: Request, engine: Tag, attempt: u32) -> Tag {
    Tag::of(&format!("{request}/{engine}/{attempt}"))
}
