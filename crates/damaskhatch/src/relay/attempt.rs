//! One attempt to run a request at one upstream, and control calls to upstreams.

use std::net::SocketAddr;

use actix::Addr;
use bytes::Bytes;
use damaskhatch_exchange::pool::Pool;
use damaskhatch_exchange::{
    self as exchange, Connection, Framing, Head, HeaderName, HeaderValue, Response,
};
use damaskhatch_policy::attempt::{History, Outcome};
use damaskhatch_policy::availability::Statement;
use damaskhatch_policy::ending::Verdict;
use damaskhatch_policy::prelude::*;
use damaskhatch_policy::registry;
use damaskhatch_policy::routing::Repeat;

use crate::control::limits::Limits;
use crate::entry::Entry;
use crate::entry::access::identify;
use crate::entry::refusal::Refusal;
use crate::headers;
use crate::relay::crash::{Broken, Pending, examine, judge_close};
use crate::relay::dialect::Call;
use crate::relay::permit::Permit;
use crate::relay::request::Routed;
use crate::shared::Shared;
use crate::upstream::events;
use crate::upstream::statement::hear;

/// Time limit for opening a connection to an upstream.
///
/// Upstreams accept within a millisecond. One that takes this long is down or
/// unreachable, and the caller's remaining time is better spent on another upstream.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);
/// Time limit for a complete control call, connecting included.
const CALL_TIMEOUT: Duration = Duration::from_millis(500);
/// The maximum length of the response to a control call, in bytes.
const MAX_CALL_RESPONSE_BYTES: usize = 64 << 10;

/// Why an attempt failed, and what that says about the request and the upstream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Failure {
    /// Whether the upstream may have run the request.
    pub outcome: Outcome,
    /// The cause, for logs.
    pub reason: String,
    /// Whether the upstream is ejected for a time; it is not if it was merely full.
    pub is_upstream_at_fault: bool,
}

impl Failure {
    /// Classifies an error of the HTTP exchange with an upstream.
    pub fn from_exchange(error: &exchange::Error) -> Self {
        let outcome = match error {
            exchange::Error::Refused | exchange::Error::Unsent(_) => Outcome::NotRun,
            exchange::Error::Broken(_)
            | exchange::Error::Stale(_)
            | exchange::Error::TooLong(_)
            | exchange::Error::Exhausted { .. } => Outcome::Unknown,
        };
        // Upstreams close idle connections.
        let is_upstream_at_fault = !matches!(error, exchange::Error::Stale(_));
        Self { outcome, reason: error.to_string(), is_upstream_at_fault }
    }

    /// Whether the upstream may get the request again, because the failure says nothing about it: a kept
    /// connection has ended.
    pub fn allows_same_upstream(&self) -> bool {
        self.outcome == Outcome::Unknown && !self.is_upstream_at_fault
    }

    /// The failure of an attempt that did not finish before the request's time limit.
    pub fn timed_out() -> Self {
        let reason = "no response within the request's time limit".to_owned();
        Self { outcome: Outcome::Unknown, reason, is_upstream_at_fault: true }
    }
}

/// The connection for a request to a plain upstream: only one that may be sent again goes on a kept one.
pub fn connection_for(routed: &Routed) -> Connection {
    match routed.route.repeat {
        Repeat::Idempotent if routed.route.max_attempts > 1 => Connection::Kept,
        _ => Connection::New,
    }
}

/// Sends a request with additional headers to an upstream and waits for the response's head.
///
/// Also returns what the upstream says of itself. With [`Connection::Kept`], a new connection is opened
/// if none is kept.
///
/// # Errors
///
/// Fails if the exchange fails or times out, if the response says that the request was
/// not run, or if it carries the id of another request.
pub async fn send(
    entry: &Entry,
    routed: &Routed,
    upstream: &registry::Entry,
    permit: Permit,
    connection: Connection,
    extra: &[(&'static str, String)],
) -> Result<(Response, Statement), Failure> {
    let names = &entry.shared.deployment.dialect.headers;
    let mut headers = routed.headers.clone();
    let deadline = routed.remaining_ms(Instant::now()).to_string();
    let own = [(names.deadline, deadline), (names.instance, upstream.instance.clone())];
    for (name, value) in own.iter().chain(extra) {
        headers::set(&mut headers, name, value);
    }
    let mut request = exchange::Request::new(routed.body.clone());
    *request.method_mut() = routed.method.clone();
    *request.uri_mut() = routed.target.parse().map_err(|error| Failure {
        outcome: Outcome::NotRun,
        reason: format!("invalid request target: {error}"),
        is_upstream_at_fault: false,
    })?;
    *request.headers_mut() = headers;
    permit.spend();
    let sent_at = Instant::now();
    let mut pending = Pending::new(entry, routed, upstream);
    let sent = async {
        match connection {
            Connection::New => exchange::send(upstream.address, CONNECT_TIMEOUT, request).await,
            Connection::Kept => {
                send_kept(&entry.shared, &entry.shared.pool, upstream.address, request).await
            }
        }
    };
    let sent = tokio::time::timeout_at(routed.limit, sent).await;
    pending.settle();
    if sent.is_err() {
        entry.shared.pool.forget(upstream.address);
    }
    let response = match sent {
        Ok(sent) => sent.map_err(|error| Failure::from_exchange(&error))?,
        Err(_elapsed) => return Err(Failure::timed_out()),
    };
    let checked = check_response(entry, routed, &response);
    // A response that declines also says how the upstream is, if it is from this upstream.
    if let Err(failure) = &checked
        && failure.is_upstream_at_fault
    {
        return Err(failure.clone());
    }
    let Head { status, headers, .. } = &response.head;
    let statement = entry.hear(upstream.into(), sent_at, (*status, headers));
    checked.map(|()| (response, statement))
}

/// Sends a request that may be repeated on a kept connection, if there is one.
async fn send_kept(
    shared: &Shared,
    pool: &Pool,
    address: SocketAddr,
    request: exchange::Request<Bytes>,
) -> exchange::Result<Response> {
    let id = HeaderName::from_bytes(shared.deployment.dialect.headers.request.as_bytes());
    let id = id.map_err(|error| exchange::Error::Unsent(error.to_string()))?;
    let sent = pool.send(address, CONNECT_TIMEOUT, request, &id).await;
    let connection = match &sent {
        Ok(response) => response.connection.to_string(),
        Err(exchange::Error::Stale(_)) => "stale".to_owned(),
        Err(_) => return sent,
    };
    shared.metrics.upstream_exchanges.with_label_values(&[&connection]).inc();
    sent
}

/// A response whose body has been read to its end.
#[derive(Debug)]
pub struct Complete {
    /// The status and headers.
    pub head: Head,
    /// How the end of the body was marked.
    pub framing: Framing,
    /// The body.
    pub body: Bytes,
    /// Whether the body is known to be complete; never [`Verdict::Truncated`].
    pub verdict: Verdict,
}

/// Reads the whole body of a response, of at most `max_bytes`.
///
/// # Errors
///
/// Fails if the body breaks off, by its framing, its content or its upstream's crash, or does not
/// end within the request's time limit.
pub async fn read_complete(
    entry: &Entry,
    routed: &Routed,
    attempt: Attempt<'_>,
    mut response: Response,
    max_bytes: usize,
) -> Result<Complete, Failure> {
    let read = response.read_body(max_bytes, &entry.shared.memory.responses);
    let read = tokio::time::timeout_at(routed.limit, read).await;
    let failed = |error: exchange::Error| Failure {
        outcome: Outcome::Unknown,
        ..Failure::from_exchange(&error)
    };
    let body = read.map_err(|_elapsed| Failure::timed_out())?.map_err(failed)?;
    let Response { framing, head, .. } = &response;
    let framing = *framing;
    // A failure of a route for streams need not be a stream.
    let is_implied = head.status.is_success() && routed.route.repeat.is_stream();
    let content = events::content(&head.headers, &body, is_implied, routed.is_resumed(entry));
    let mut verdict = Verdict::of_body(framing != Framing::Close, content);
    if verdict == Verdict::Unverified {
        let broken = Broken::new(routed, attempt.upstream, attempt.sent_at);
        verdict = judge_close(entry, broken, routed.limit).await;
    }
    entry.count_end(framing, verdict);
    if verdict == Verdict::Truncated {
        let reason = format!(
            "body broke off after {} bytes: framing {framing}, content {content:?}",
            body.len()
        );
        return Err(Failure { outcome: Outcome::Unknown, reason, is_upstream_at_fault: true });
    }
    Ok(Complete { head: response.head, framing, body, verdict })
}

/// Rejects a response that carries the id of another request, or that declines this one.
///
/// The id goes first: what an upstream says of another request, such as that it did not run, says nothing
/// about this one. Only the first response on a connection of its own may lack an id.
fn check_response(entry: &Entry, routed: &Routed, response: &Response) -> Result<(), Failure> {
    let names = &entry.shared.deployment.dialect.headers;
    let head = &response.head;
    let own = routed.headers.get(names.request).map(HeaderValue::as_bytes);
    if headers::names_another(&head.headers, names.request, own) {
        let reason = "the response carries the id of another request".to_owned();
        return Err(Failure { outcome: Outcome::Unknown, reason, is_upstream_at_fault: true });
    }
    let status = head.status.as_u16();
    if head.headers.contains_key(names.not_run) || status == MISDIRECTED_REQUEST {
        let reason = format!("declined with status {status}");
        // Another upstream now has this address, or the upstream's role is not the registered one.
        let is_upstream_at_fault = status == MISDIRECTED_REQUEST;
        return Err(Failure { outcome: Outcome::NotRun, reason, is_upstream_at_fault });
    }
    Ok(())
}

/// Refuses a request that no upstream may get, or get again: it has crashed several, or its key
/// has become invalid since it was accepted.
pub fn check_admission(entry: &Entry, routed: &Routed, history: History) -> Result<(), Refusal> {
    let may_have_run = history.may_have_run;
    entry.check_quarantine(&routed.label, &routed.fingerprints, may_have_run)?;
    let key = routed.caller.as_ref().filter(|_| !routed.route.open);
    if let Some(digest) = key.and_then(|caller| caller.digest.clone()) {
        let identified = identify(&entry.shared.snapshot(), Some(digest));
        identified.map_err(|refusal| refusal.with_may_have_run(may_have_run))?;
    }
    Ok(())
}

/// Whether the request may be sent to another upstream, leaving the budget aside.
pub fn may_retry(routed: &Routed, history: History) -> bool {
    Instant::now() < routed.limit
        && history.may_retry(routed.route.repeat, routed.route.max_attempts)
}

/// Spends a retry of the service's budget if the request may be sent to another upstream.
///
/// Returns false if the time limit has passed, or if the route or the budget allows no retry.
pub fn try_acquire_retry(entry: &Entry, routed: &Routed, history: History) -> bool {
    may_retry(routed, history) && entry.spend_service_retry(routed)
}

/// An upstream to which a request was sent.
#[derive(Debug, Clone, Copy)]
pub struct Attempt<'a> {
    /// The upstream.
    pub upstream: &'a registry::Entry,
    /// When the request was sent to it.
    pub sent_at: Instant,
    /// What the upstream was to do, for logs.
    pub phase: &'static str,
    /// The attempts at the request so far.
    pub history: History,
}

/// Logs and counts a failed attempt and, if the upstream is at fault, ejects it for a time.
///
/// If the upstream may have run the request, examines whether that has crashed it. Waits for the
/// result only if another attempt may follow, which must take it into account.
pub async fn record_failure(
    entry: &Entry,
    routed: &Routed,
    attempt: Attempt<'_>,
    failure: &Failure,
) {
    let Attempt { upstream, sent_at, phase, history } = attempt;
    let Failure { outcome, reason, is_upstream_at_fault } = failure;
    if *is_upstream_at_fault {
        entry.outliers().record_failure(upstream.tag, Instant::now());
    }
    entry.shared.metrics.retries.with_label_values(&[&format!("{outcome:?}")]).inc();
    entry.shared.journal.record(
        &routed.label,
        format_args!(
            "event=attempt_failed phase={phase} upstream={} outcome={outcome:?} \
             fingerprint={} reason={reason:?}",
            upstream.instance, routed.fingerprints.request
        ),
    );
    if *outcome == Outcome::Unknown {
        // A task of its own completes also if the caller disconnects meanwhile.
        let broken = Broken::new(routed, upstream, sent_at);
        let examined = actix_rt::spawn(examine(entry.clone(), broken));
        if history.may_retry(routed.route.repeat, routed.route.max_attempts) {
            let _known = tokio::time::timeout_at(routed.limit, examined).await;
        }
    }
}

/// HTTP status 421, Misdirected Request: the request was meant for another instance.
const MISDIRECTED_REQUEST: u16 = 421;

/// Sends a control call to a registered upstream and returns the response's status and body.
///
/// Also learns from the response what the upstream says of itself. The call is sent on a connection of
/// its own, or on one of `pool` if it may be repeated.
pub async fn call(
    shared: &Shared,
    limits: &Addr<Limits>,
    upstream: &registry::Entry,
    pool: Option<&Pool>,
    call: Call,
) -> Result<(u16, Bytes), exchange::Error> {
    let names = &shared.deployment.dialect.headers;
    // By which the receiver can check that the call is meant for it.
    let instance = (names.instance, upstream.instance.as_str());
    let sent_at = Instant::now();
    let (head, body) = exchange_call(shared, upstream.address, instance, pool, call).await?;
    let status = head.status.as_u16();
    if status != MISDIRECTED_REQUEST {
        hear(shared, limits, upstream.into(), sent_at, (head.status, &head.headers));
    }
    Ok((status, body))
}

async fn exchange_call(
    shared: &Shared,
    address: SocketAddr,
    (name, value): (&str, &str),
    pool: Option<&Pool>,
    call: Call,
) -> Result<(Head, Bytes), exchange::Error> {
    let mut request = exchange::Request::builder()
        .method(call.method)
        .uri(call.target)
        .header("host", address.to_string())
        .header(name, value);
    if !call.body.is_empty() {
        request = request.header("content-type", "application/json");
    }
    let request =
        request.body(call.body).map_err(|error| exchange::Error::Unsent(error.to_string()))?;
    let called = tokio::time::timeout(CALL_TIMEOUT, async {
        let mut response = match pool {
            None => exchange::send(address, CONNECT_TIMEOUT, request).await?,
            Some(pool) => match send_kept(shared, pool, address, request.clone()).await {
                // It runs nothing, so it cannot have ended the upstream.
                Err(exchange::Error::Stale(_)) => {
                    exchange::send(address, CONNECT_TIMEOUT, request).await?
                }
                sent => sent?,
            },
        };
        let memory = &shared.memory.responses;
        let body = response.read_body(MAX_CALL_RESPONSE_BYTES, memory).await?;
        Ok((response.head, body))
    });
    called.await.unwrap_or_else(|_elapsed| {
        shared.pool.forget(address);
        Err(exchange::Error::Broken(format!("no response within {CALL_TIMEOUT:?}")))
    })
}
