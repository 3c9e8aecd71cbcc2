//! Streams from a pair of engines: the first answer and, where the route allows it, the rest
//! from another pair.

use actix_web::HttpResponse;
use damaskhatch_exchange::Response;
use damaskhatch_policy::attempt::Outcome;
use damaskhatch_policy::prelude::*;

use super::answer::begin;
use super::attempt::{Failure, may_go_on, note_failure};
use super::pair::{Progress, start};
use super::request::Routed;
use super::stream::{Parts, stream};
use crate::entry::Entry;
use crate::entry::refusal::Refusal;

/// The largest answer of an engine that is no stream, in bytes.
const MAX_FAILURE_BYTES: usize = 1 << 20;

/// Runs a request on a pair of engines and returns the beginning of its stream.
///
/// Where the request may run again, another engine is tried after one that failed it.
pub async fn run(entry: &Entry, mut routed: Routed) -> Result<HttpResponse, Refusal> {
    entry.earn_service_retry(routed.service);
    let mut progress = Progress::named_by_caller(entry, &routed);
    loop {
        let running = start(entry, &mut routed, &mut progress).await?;
        let status = running.answer.head.status;
        if status.is_success() {
            let mut response = begin(&running.answer.head);
            let parts = Parts { entry: entry.clone(), routed, progress, running };
            return Ok(response.streaming(stream(parts)));
        }
        let is_worth_it = status.is_server_error() && may_go_on(entry, &routed, progress.history);
        if !is_worth_it {
            return fail(entry, &routed, running.answer).await;
        }
        let reason = format!("the engine failed it with status {status}");
        let failure = Failure { outcome: Outcome::Ran, reason, is_upstream_bad: false };
        let upstream = &running.reservation.upstream;
        note_failure(entry, &routed, upstream, &failure, "decode");
        progress.avoid.insert(upstream.tag);
    }
}

/// Passes on an engine's failure as a whole.
async fn fail(
    entry: &Entry,
    routed: &Routed,
    mut answer: Response,
) -> Result<HttpResponse, Refusal> {
    let status = answer.head.status.as_u16();
    let read = tokio::time::timeout_at(routed.limit, answer.read_body(MAX_FAILURE_BYTES)).await;
    entry.shared.journal.record(&routed.label, format_args!("event=answered status={status}"));
    match read {
        Ok(Ok(body)) => Ok(begin(&answer.head).body(body)),
        Ok(Err(_broken)) => Err(Refusal::from(Kind::UpstreamFailed).with_run(true)),
        Err(_elapsed) => Err(Refusal::from(Kind::UpstreamTimeout).with_run(true)),
    }
}
