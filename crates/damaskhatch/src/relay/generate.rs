//! Runs a streaming request on a pair of engines.
//!
//! If the decode engine fails the request before its stream begins, another pair is tried where
//! the route allows it. A stream that breaks off later is resumed by [`super::stream`].

use actix_web::{HttpRequest, HttpResponse};
use damaskhatch_exchange::Response;
use damaskhatch_policy::attempt::Outcome;
use damaskhatch_policy::ending::Verdict;
use damaskhatch_policy::prelude::*;

use super::attempt::{
    Attempt, Complete, Failure, read_complete, record_failure, try_acquire_retry,
};
use super::pair::{Progress, Running, start};
use super::request::Routed;
use super::response::build_response;
use super::stream::{Parts, stream};
use super::version::find_version;
use crate::entry::refusal::Refusal;
use crate::entry::{Entry, body};

/// The maximum length of an engine's failure response that is forwarded, in bytes.
const MAX_FAILURE_BYTES: usize = 1 << 20;

/// Runs a request on a pair of engines and returns a response that streams the events.
///
/// If an engine responds with a server error and the route allows another attempt, other engines
/// are tried; any other failure response is forwarded.
pub async fn run(
    entry: &Entry,
    mut routed: Routed,
    request: &HttpRequest,
) -> Result<HttpResponse, Refusal> {
    entry.earn_service_retry(routed.service);
    let mut progress = Progress::from_caller(entry, &routed);
    if routed.is_resumed(entry) {
        progress.version = Some(find_version(entry, &routed).await?);
    }
    loop {
        let running = start(entry, &mut routed, &mut progress).await?;
        let status = running.response.head.status;
        if status.is_success() {
            let response = build_response(&running.response.head);
            let parts = Parts { entry: entry.clone(), routed, progress, running };
            return Ok(body::streaming(request, response, stream(parts)));
        }
        let Running { reservation, response, sent_at, .. } = running;
        let upstream = &reservation.upstream;
        let attempt = Attempt { upstream, sent_at, phase: "decode", history: progress.history };
        let may_retry =
            status.is_server_error() && try_acquire_retry(entry, &routed, progress.history);
        if !may_retry {
            return forward_failure(entry, &routed, attempt, response).await;
        }
        let reason = format!("engine responded with status {status}");
        let failure = Failure { outcome: Outcome::Ran, reason, is_upstream_at_fault: false };
        record_failure(entry, &routed, attempt, &failure).await;
        progress.excluded.insert(upstream.tag);
    }
}

/// Reads an engine's complete failure response and forwards it.
async fn forward_failure(
    entry: &Entry,
    routed: &Routed,
    attempt: Attempt<'_>,
    response: Response,
) -> Result<HttpResponse, Refusal> {
    match read_complete(entry, routed, attempt, response, MAX_FAILURE_BYTES).await {
        Ok(Complete { head, framing, body, verdict }) => {
            if verdict == Verdict::Complete {
                entry.report_served(&routed.fingerprints, attempt.upstream.tag);
            }
            let status = head.status.as_u16();
            entry.shared.journal.record(
                &routed.label,
                format_args!("event=answered status={status} framing={framing}"),
            );
            Ok(body::complete(&entry.shared, build_response(&head), body))
        }
        Err(failure) => {
            record_failure(entry, routed, attempt, &failure).await;
            let kind = attempt.history.failure_kind(Instant::now() >= routed.limit);
            Err(Refusal::from(kind).with_may_have_run(true))
        }
    }
}
