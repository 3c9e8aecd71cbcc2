//! Sends a request to plain upstreams, one at a time, until one responds.

use std::collections::HashSet;

use actix_web::HttpResponse;
use damaskhatch_exchange::StatusCode;
use damaskhatch_policy::admission;
use damaskhatch_policy::attempt::{History, Outcome};
use damaskhatch_policy::availability::Statement;
use damaskhatch_policy::ending::Verdict;
use damaskhatch_policy::placement::{self, Load};
use damaskhatch_policy::prelude::*;
use damaskhatch_policy::registry;

use super::attempt::{
    Attempt, Complete, Failure, check_admission, connection_for, may_retry, read_complete,
    record_failure, send,
};
use super::candidates;
use super::permit::{self, Permit, Terms};
use super::request::Routed;
use super::response::build_response;
use crate::entry::refusal::Refusal;
use crate::entry::{Entry, body};

/// The maximum length of a response that is forwarded, in bytes.
const MAX_RESPONSE_BYTES: usize = 16 << 20;
/// The minimum retry delay for a caller whose request no upstream accepted.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(200);
/// The maximum random addition to that delay, so that retries do not coincide.
const RETRY_AFTER_JITTER: Duration = Duration::from_millis(300);

/// Runs a request and returns the upstream's complete response.
pub async fn run(entry: &Entry, mut routed: Routed) -> Result<HttpResponse, Refusal> {
    let mut history = History::default();
    let mut tried = HashSet::new();
    // The last response with a server error, forwarded if no other attempt succeeds.
    let mut failed: Option<Complete> = None;
    entry.earn_service_retry(routed.service);
    check_backlog(entry, &routed)?;
    // When the request may come back if no upstream may get it before.
    let mut held_back = None;
    while history.attempts == 0 || may_retry(&routed, history) {
        let (upstream, permit) = match choose_upstream(entry, &routed, &tried).await {
            Ok(Some(chosen)) => chosen,
            Ok(None) => break,
            Err(retry_after) => {
                held_back = Some(retry_after);
                break;
            }
        };
        if !entry.may_ask(&upstream) {
            // That has changed while the request waited for the permit.
            tried.insert(upstream.tag);
            continue;
        }
        // Spent once the upstream may get the request, so that none is spent in vain.
        if history.attempts > 0 && !entry.spend_service_retry(&routed) {
            break;
        }
        if let Err(refusal) = check_admission(entry, &routed, history) {
            if failed.is_some() {
                break;
            }
            return Err(refusal);
        }
        tried.insert(upstream.tag);
        entry.outliers().begin_attempt(upstream.tag, Instant::now());
        let number = history.attempts + 1;
        log_route(entry, &routed, &upstream, number);
        let load = Load { requests: 1, ..Load::default() };
        let guard = entry.shared.loads.track(upstream.tag, load);
        let sent_at = Instant::now();
        let attempt = Attempt { upstream: &upstream, sent_at, phase: "plain", history };
        let result = run_attempt(entry, &routed, attempt, permit).await;
        drop(guard);
        let outcome = result.as_ref().map_or_else(|failure| failure.outcome, |_| Outcome::Ran);
        history.record(outcome);
        if outcome != Outcome::NotRun {
            routed.keep_charge();
        }
        if matches!(&result, Ok(response) if response.verdict == Verdict::Complete) {
            entry.report_served(&routed.fingerprints, upstream.tag);
        }
        match result {
            Ok(response) if !response.head.status.is_server_error() => {
                return Ok(forward_response(entry, &routed, &upstream, response));
            }
            Ok(response) => {
                if response.head.status == StatusCode::SERVICE_UNAVAILABLE {
                    entry.outliers().record_decline(upstream.tag, Instant::now());
                }
                failed = Some(response);
            }
            Err(failure) => {
                if failure.allows_same_upstream() {
                    tried.remove(&upstream.tag);
                }
                if failure.outcome == Outcome::NotRun && !failure.is_upstream_at_fault {
                    entry.outliers().record_decline(upstream.tag, Instant::now());
                }
                let attempt = Attempt { history, ..attempt };
                record_failure(entry, &routed, attempt, &failure).await;
            }
        }
    }
    if let Some(Complete { head, body, .. }) = failed {
        return Ok(body::complete(&entry.shared, build_response(&head), body));
    }
    let refusal = build_refusal(&routed, history);
    Err(Refusal { retry_after: refusal.retry_after.max(held_back), ..refusal })
}

/// Refuses a fraction of the requests while the backlog of the service's upstreams is too long
/// for the route's target latency.
fn check_backlog(entry: &Entry, routed: &Routed) -> Result<(), Refusal> {
    let (now, target) = (Instant::now(), routed.route.target_latency);
    let rank = routed.rank(&entry.shared.snapshot());
    let predicted = entry.with_learned(routed.service, |learned| {
        let accepts = learned.backlog.accepts_as(rank, target, rand::random(), now);
        (!accepts).then(|| learned.backlog.predicted_latency(now).unwrap_or_default())
    });
    let Some(predicted) = predicted else { return Ok(()) };
    entry.shared.journal.record(
        &routed.label,
        format_args!(
            "event=backlog predicted_ms={} target_ms={}",
            predicted.as_millis(),
            target.as_millis()
        ),
    );
    let refusal = build_refusal(routed, History::default());
    // The most urgent may return first.
    let later = refusal.retry_after.map(|wait| admission::stretch(wait, rank));
    Err(Refusal { retry_after: later, ..refusal })
}

/// The refusal of a request that no further upstream is tried for.
fn build_refusal(routed: &Routed, history: History) -> Refusal {
    let kind = history.failure_kind(Instant::now() >= routed.limit);
    let jitter = RETRY_AFTER_JITTER.mul_f64(rand::random());
    Refusal::after(kind, MIN_RETRY_AFTER + jitter).with_may_have_run(history.may_have_run)
}

/// Sends the request to one upstream and reads the complete response.
async fn run_attempt(
    entry: &Entry,
    routed: &Routed,
    attempt: Attempt<'_>,
    permit: Permit,
) -> Result<Complete, Failure> {
    let (response, statement) =
        send(entry, routed, attempt.upstream, permit, connection_for(routed), &[]).await?;
    if response.head.status.is_success() {
        observe_load(entry, routed, &statement, attempt);
    }
    read_complete(entry, routed, attempt, response, MAX_RESPONSE_BYTES).await
}

/// Updates the service's backlog with the load that an upstream reports in a response.
fn observe_load(entry: &Entry, routed: &Routed, statement: &Statement, attempt: Attempt<'_>) {
    if let Some(load) = statement.load {
        let now = Instant::now();
        let took = now.saturating_duration_since(attempt.sent_at);
        let run = (attempt.upstream.tag, attempt.upstream.started_ms);
        let units = 1.0 + f64::from(load.waiting) / f64::from(load.slots);
        entry.shared.speeds.lock().observe(run, units, took, now);
        entry.with_learned(routed.service, |learned| learned.backlog.observe(load, took, now));
    }
}

/// The best usable upstream that has not been tried and may get a request, with the permit;
/// ejected ones only if there is no other, and `None` if there is none at all.
///
/// # Errors
///
/// Returns when the request may come back, if the limits of all upstreams are used up or all have
/// asked for a pause.
async fn choose_upstream(
    entry: &Entry,
    routed: &Routed,
    tried: &HashSet<Tag>,
) -> Result<Option<(registry::Entry, Permit)>, Duration> {
    let registry = entry.shared.upstreams();
    let candidates = entry.candidates(&registry, routed, |other| !tried.contains(&other.tag));
    candidates.record(entry, &routed.label);
    if let Some(until) = candidates.paused_until {
        return Err(candidates::retry_after(until, Instant::now()));
    }
    let ranked = rank_upstreams(entry, candidates.entries);
    if ranked.is_empty() {
        return Ok(None);
    }
    let patience = admission::patience(routed.route.target_latency);
    let until = (routed.arrived_at + patience).min(routed.limit);
    let chosen = permit::choose(entry, &ranked, Terms::of(entry, routed, until)).await;
    chosen.map(Some).inspect_err(|retry_after| {
        permit::log_held_back(entry, routed, ranked.len(), *retry_after);
    })
}

/// The upstreams that a request may be sent to, the best first.
fn rank_upstreams<'a>(entry: &Entry, usable: Vec<&'a registry::Entry>) -> Vec<&'a registry::Entry> {
    let now = Instant::now();
    let healthy: Vec<_> =
        usable.iter().copied().filter(|e| !entry.outliers().is_ejected(e.tag, now)).collect();
    // An ejected upstream may still respond, so trying it is better than a refusal.
    let pool = if healthy.is_empty() { usable } else { healthy };
    let (loads, domain) = (entry.known_loads(), entry.shared.domain);
    let slowness = entry.shared.speeds.lock().slowness(pool.iter().map(|e| e.tag), now);
    placement::rank_plain(pool.into_iter(), (&loads, &slowness), domain, &mut rand::rng())
}

/// Logs the chosen upstream.
fn log_route(entry: &Entry, routed: &Routed, upstream: &registry::Entry, attempt: u32) {
    let team = routed.caller.as_ref().map_or("none", |caller| caller.name.as_str());
    entry.shared.journal.record(
        &routed.label,
        format_args!(
            "event=route team={team} route={} upstream={} attempt={attempt} left_ms={}",
            routed.route.name,
            upstream.instance,
            routed.remaining_ms(Instant::now())
        ),
    );
}

/// Logs and counts an upstream's response and forwards it.
fn forward_response(
    entry: &Entry,
    routed: &Routed,
    upstream: &registry::Entry,
    response: Complete,
) -> HttpResponse {
    let Complete { head, framing, body, verdict } = response;
    if verdict == Verdict::Complete {
        entry.outliers().record_success(upstream.tag);
    }
    let took = routed.arrived_at.elapsed().as_millis();
    entry.shared.journal.record(
        &routed.label,
        format_args!(
            "event=answered status={} took_ms={took} framing={framing}",
            head.status.as_u16()
        ),
    );
    entry.shared.metrics.requests.with_label_values(&["routed", "answered"]).inc();
    body::complete(&entry.shared, build_response(&head), body)
}
