//! The client of plain services.

use std::time::Duration;

use actix_web::http::header::{HeaderName, HeaderValue};
use actix_web::http::{Method, StatusCode};
use actix_web::web::Bytes;
use damaskhatch_exchange::memory::Budget;
use damaskhatch_exchange::{Framing, Head, HeaderMap};
use damaskhatch_policy::ending::{Upstream, Verdict};
use damaskhatch_policy::prelude::Request;

use super::engine::{Error, REQUEST_ID, Result, send};
use super::events;
use crate::entry::idempotency::Response;
use crate::headers;

/// The time limit for probing whether an upstream still accepts connections.
const PROBE_TIMEOUT: Duration = Duration::from_millis(500);
/// How often an upstream is probed if the connections break.
const MAX_PROBES: usize = 2;
/// The longest response body that is forwarded, in bytes.
const MAX_RESPONSE_BYTES: usize = 64 << 20;
/// The header by which a caller names the last event that it has of a stream.
const LAST_EVENT: &str = "last-event-id";
/// The header by which an upstream guarantees that it did not run a call.
const NOT_RUN: &str = "x-not-run";

/// A call as it is sent to an upstream.
#[derive(Debug, Clone)]
pub struct Call {
    /// The method.
    pub method: Method,
    /// The path and query.
    pub target: String,
    /// The headers, without the caller's credentials.
    pub headers: HeaderMap,
    /// The body.
    pub body: Bytes,
    /// The time limit for the call, from connecting to the end of the response.
    pub timeout: Duration,
}

/// Sends the call over a new connection and reads the complete response, whose body is taken from
/// `memory`.
///
/// Also returns whether the body is known to be complete. The call fails with [`Error::Broken`] if
/// the body is a stream of events and ends inside one, or if it ends with its connection and the
/// upstream then refuses connections, whether it was leaving or not. `on_head` is called with the
/// response's head, whatever its status is.
pub async fn call(
    address: &str,
    call: &Call,
    request: Request,
    memory: &Budget,
    on_head: impl Fn(&Head),
) -> Result<(Response, Verdict)> {
    let exchange = async {
        let (method, target) = (call.method.as_str(), call.target.as_str());
        let sent = send(address, method, target, call.headers.clone(), call.body.clone());
        let mut response = sent.await?;
        on_head(&response.head);
        let body = response.read_body(MAX_RESPONSE_BYTES, memory).await?;
        let is_framed = response.framing != Framing::Close;
        let is_resumed = call.headers.contains_key(LAST_EVENT);
        let content = events::content(&response.head.headers, &body, false, is_resumed);
        let mut verdict = Verdict::of_body(is_framed, content);
        if verdict == Verdict::Unverified {
            verdict = verdict.with_upstream(probe(address).await);
        }
        if verdict == Verdict::Truncated {
            return Err(Error::Broken);
        }
        let status = StatusCode::from_u16(response.head.status.as_u16());
        let status = status.map_err(|_error| Error::Malformed)?;
        check_response(status, &response.head.headers, request)?;
        let mut headers = headers::to_caller(&response.head.headers);
        if let Ok(value) = HeaderValue::from_str(&request.to_string()) {
            headers.insert(HeaderName::from_static(REQUEST_ID), value);
        }
        Ok((Response { status, headers, body }, verdict))
    };
    tokio::time::timeout(call.timeout, exchange).await.unwrap_or(Err(Error::Silent))
}

/// Rejects the response to another request, and one that guarantees that nothing ran.
fn check_response(status: StatusCode, headers: &HeaderMap, request: Request) -> Result<()> {
    if headers::names_another(headers, REQUEST_ID, Some(request.to_string().as_bytes())) {
        return Err(Error::Crossed);
    }
    let declined = status == StatusCode::SERVICE_UNAVAILABLE && headers.contains_key(NOT_RUN);
    if declined { Err(Error::Declined) } else { Ok(()) }
}

/// Whether a new connection is refused, so that the upstream is dead.
pub async fn is_dead(address: &str) -> bool {
    probe(address).await == Upstream::Gone
}

/// Finds out by a request whether an upstream still serves.
///
/// A connection to a process that is ending may be accepted and reset, so one that breaks is tried
/// again. Two that break do not show that the upstream is gone: something between the two ends may
/// break all of them.
async fn probe(address: &str) -> Upstream {
    let mut upstream = Upstream::Unknown;
    for _ in 0..MAX_PROBES {
        let probe = send(address, "GET", "/load", HeaderMap::new(), Bytes::new());
        upstream = match tokio::time::timeout(PROBE_TIMEOUT, probe).await {
            Ok(Ok(_response)) => Upstream::Listening,
            Ok(Err(Error::Refused)) => Upstream::Gone,
            Ok(Err(_broken)) => continue,
            Err(_elapsed) => Upstream::Unknown,
        };
        break;
    }
    upstream
}
