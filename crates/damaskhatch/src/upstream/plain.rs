//! One call to a plain service.

use std::time::Duration;

use actix_web::http::header::{HeaderName, HeaderValue};
use actix_web::http::{Method, StatusCode};
use actix_web::web::Bytes;
use damaskhatch_exchange::HeaderMap;
use damaskhatch_policy::prelude::Request;

use super::engine::{Error, Result, send};
use crate::entry::idempotency::Answer;
use crate::headers;

/// How long a look at whether an upstream still runs may take.
const PROBE_TIMEOUT: Duration = Duration::from_millis(500);
/// The largest answer that is passed on, in bytes.
const MAX_ANSWER_BYTES: usize = 64 << 20;
/// The header in which an upstream certifies that it did not run a call.
const NOT_RUN: &str = "x-not-run";

/// A call as an upstream sees it.
#[derive(Debug, Clone)]
pub struct Call {
    /// The method.
    pub method: Method,
    /// Path and query.
    pub target: String,
    /// The headers, without the caller's key.
    pub headers: HeaderMap,
    /// The body.
    pub body: Bytes,
    /// How long the whole answer may take.
    pub timeout: Duration,
}

/// Makes the call on a connection of its own, and waits for the whole answer.
pub async fn call(address: &str, call: &Call, request: Request) -> Result<Answer> {
    let exchange = async {
        let (method, target) = (call.method.as_str(), call.target.as_str());
        let sent = send(address, method, target, call.headers.clone(), call.body.clone());
        let mut answer = sent.await?;
        let body = answer.read_body(MAX_ANSWER_BYTES).await?;
        let status = StatusCode::from_u16(answer.head.status.as_u16());
        let status = status.map_err(|_error| Error::Malformed)?;
        check(status, &answer.head.headers, request)?;
        let mut headers = headers::to_caller(&answer.head.headers);
        if let Ok(value) = HeaderValue::from_str(&request.to_string()) {
            headers.insert(HeaderName::from_static("x-request-id"), value);
        }
        Ok(Answer { status, headers, body })
    };
    tokio::time::timeout(call.timeout, exchange).await.unwrap_or(Err(Error::Silent))
}

/// Rejects an answer to another request, and one that certifies that nothing ran.
fn check(status: StatusCode, headers: &HeaderMap, request: Request) -> Result<()> {
    let echoed = headers.get("x-request-id").map(|value| value.as_bytes().to_vec());
    if echoed.is_some_and(|echoed| echoed != request.to_string().as_bytes()) {
        return Err(Error::Crossed);
    }
    let declined = status == StatusCode::SERVICE_UNAVAILABLE && headers.contains_key(NOT_RUN);
    if declined { Err(Error::Declined) } else { Ok(()) }
}

/// Whether a new connection shows that nothing runs at the address any more.
pub async fn is_dead(address: &str) -> bool {
    let probe = send(address, "GET", "/load", HeaderMap::new(), Bytes::new());
    let answered = tokio::time::timeout(PROBE_TIMEOUT, probe).await;
    matches!(answered, Ok(Err(Error::Refused | Error::Broken)))
}
