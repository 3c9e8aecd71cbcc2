//! One attempt at one upstream: the request as it is sent, and how it ended.

use std::net::SocketAddr;

use bytes::Bytes;
use damaskhatch_exchange::{self as exchange, Response};
use damaskhatch_policy::attempt::{History, Outcome};
use damaskhatch_policy::prelude::*;
use damaskhatch_policy::registry;

use crate::entry::Entry;
use crate::headers;
use crate::relay::dialect::Outgoing;
use crate::relay::request::Routed;

/// How long a connection to an upstream may take to be made.
///
/// Upstreams answer within a millisecond; a longer wait means that the machine is
/// dark or cut off, and the rest of the caller's time is better spent elsewhere.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);
/// How long a call that is not a caller's request may take.
const CALL_TIMEOUT: Duration = Duration::from_millis(500);
/// The largest answer to such a call, in bytes.
const MAX_CALL_BYTES: usize = 64 << 10;

/// How an attempt failed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Failure {
    /// What is known of the request.
    pub outcome: Outcome,
    /// Why, for logs.
    pub reason: String,
    /// Whether the upstream itself is in doubt, rather than merely full.
    pub is_upstream_bad: bool,
}

impl Failure {
    /// The failure of an exchange.
    pub fn of(error: &exchange::Error) -> Self {
        let outcome = match error {
            exchange::Error::Refused | exchange::Error::Unsent(_) => Outcome::NotRun,
            exchange::Error::Broken(_) | exchange::Error::TooLong(_) => Outcome::Unknown,
        };
        Self { outcome, reason: error.to_string(), is_upstream_bad: true }
    }

    /// The request's time was over first.
    pub fn late() -> Self {
        let reason = "no answer within the request's time".to_owned();
        Self { outcome: Outcome::Unknown, reason, is_upstream_bad: true }
    }
}

/// Sends a request to an upstream with further headers and waits for the answer's head.
///
/// An answer that says that the request was not run, or that belongs to another
/// request, is a failure.
pub async fn send(
    entry: &Entry,
    routed: &Routed,
    upstream: &registry::Entry,
    extra: &[(&'static str, String)],
) -> Result<Response, Failure> {
    let names = &entry.shared.deployment.dialect.headers;
    let mut headers = routed.headers.clone();
    let deadline = routed.left_ms(Instant::now()).to_string();
    let own = [(names.deadline, deadline), (names.instance, upstream.instance.clone())];
    for (name, value) in own.iter().chain(extra) {
        headers::set(&mut headers, name, value);
    }
    let mut request = exchange::Request::new(routed.body.clone());
    *request.method_mut() = routed.method.clone();
    *request.uri_mut() = routed.target.parse().map_err(|error| Failure {
        outcome: Outcome::NotRun,
        reason: format!("the path is not understood: {error}"),
        is_upstream_bad: false,
    })?;
    *request.headers_mut() = headers;
    let sent = exchange::send(upstream.address, CONNECT_TIMEOUT, request);
    let answer = match tokio::time::timeout_at(routed.limit, sent).await {
        Ok(sent) => sent.map_err(|error| Failure::of(&error))?,
        Err(_elapsed) => return Err(Failure::late()),
    };
    check(entry, routed, &answer)?;
    Ok(answer)
}

fn check(entry: &Entry, routed: &Routed, answer: &Response) -> Result<(), Failure> {
    let names = &entry.shared.deployment.dialect.headers;
    let head = &answer.head;
    let status = head.status.as_u16();
    if head.headers.contains_key(names.not_run) || status == MISDIRECTED {
        let reason = format!("declined with status {status}");
        // Another upstream has the address, or this one has another role than listed.
        let is_upstream_bad = status == MISDIRECTED;
        return Err(Failure { outcome: Outcome::NotRun, reason, is_upstream_bad });
    }
    let echoed = head.headers.get(names.request).and_then(|id| id.to_str().ok());
    if echoed.is_some_and(|echoed| echoed != routed.label) {
        let reason = "the answer belongs to another request".to_owned();
        return Err(Failure { outcome: Outcome::Unknown, reason, is_upstream_bad: true });
    }
    Ok(())
}

/// Whether a request may be sent to one more upstream; takes it from the retry budget.
pub fn may_go_on(entry: &Entry, routed: &Routed, history: History) -> bool {
    Instant::now() < routed.limit
        && history.may_repeat(routed.route.repeat, routed.route.max_attempts)
        && entry.spend_service_retry(routed.service)
}

/// Logs and counts a failed attempt, and leaves its upstream out if that is in doubt.
pub fn note_failure(
    entry: &Entry,
    routed: &Routed,
    upstream: &registry::Entry,
    failure: &Failure,
    phase: &str,
) {
    let Failure { outcome, reason, is_upstream_bad } = failure;
    if *is_upstream_bad {
        entry.outliers().record_failure(upstream.tag, Instant::now());
    }
    entry.shared.metrics.retries.with_label_values(&[&format!("{outcome:?}")]).inc();
    entry.shared.journal.record(
        &routed.label,
        format_args!(
            "event=attempt_failed phase={phase} upstream={} outcome={outcome:?} reason={reason:?}",
            upstream.instance
        ),
    );
}

/// The status with which an upstream answers what was meant for another.
const MISDIRECTED: u16 = 421;

/// Sends a call that is not a caller's request; returns its status and body.
pub async fn call(
    entry: &Entry,
    upstream: &registry::Entry,
    outgoing: Outgoing,
) -> Result<(u16, Bytes), exchange::Error> {
    let names = &entry.shared.deployment.dialect.headers;
    let instance = Some((names.instance, upstream.instance.as_str()));
    call_at(upstream.address, instance, outgoing).await
}

/// Sends a call to an address, meant for an instance if one is named.
pub async fn call_at(
    address: SocketAddr,
    instance: Option<(&str, &str)>,
    outgoing: Outgoing,
) -> Result<(u16, Bytes), exchange::Error> {
    let mut request = exchange::Request::builder()
        .method(outgoing.method)
        .uri(outgoing.target)
        .header("host", address.to_string());
    if !outgoing.body.is_empty() {
        request = request.header("content-type", "application/json");
    }
    if let Some((name, value)) = instance {
        request = request.header(name, value);
    }
    let request =
        request.body(outgoing.body).map_err(|error| exchange::Error::Unsent(error.to_string()))?;
    let called = tokio::time::timeout(CALL_TIMEOUT, async {
        let mut answer = exchange::send(address, CONNECT_TIMEOUT, request).await?;
        let body = answer.read_body(MAX_CALL_BYTES).await?;
        Ok((answer.head.status.as_u16(), body))
    });
    called.await.unwrap_or_else(|_elapsed| {
        Err(exchange::Error::Broken(format!("no answer within {CALL_TIMEOUT:?}")))
    })
}
