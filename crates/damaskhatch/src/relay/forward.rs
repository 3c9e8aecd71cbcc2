//! Sends a request to one plain upstream after the other until one answers.

use std::collections::HashSet;

use actix_web::HttpResponse;
use bytes::Bytes;
use damaskhatch_exchange::{Head, Response};
use damaskhatch_policy::attempt::{History, Outcome};
use damaskhatch_policy::backlog::Report;
use damaskhatch_policy::placement::{self, Load};
use damaskhatch_policy::prelude::*;
use damaskhatch_policy::registry;

use super::answer::begin;
use super::attempt::{Failure, may_go_on, note_failure, send};
use super::request::Routed;
use crate::entry::Entry;
use crate::entry::refusal::Refusal;

/// The largest answer that is passed on, in bytes.
const MAX_ANSWER_BYTES: usize = 16 << 20;
/// When a caller returns whose request found no upstream that takes it.
const FULL_RETRY: Duration = Duration::from_millis(200);
/// What is added at random, so that refused callers do not return together.
const FULL_RETRY_SPREAD: Duration = Duration::from_millis(300);

/// Runs a request and returns the upstream's whole answer.
pub async fn run(entry: &Entry, mut routed: Routed) -> Result<HttpResponse, Refusal> {
    let mut history = History::default();
    let mut tried = HashSet::new();
    // A repeatable request's failed answer, passed on if no other attempt does better.
    let mut failed: Option<(Head, Bytes)> = None;
    entry.earn_service_retry(routed.service);
    check_backlog(entry, &routed)?;
    while let Some(upstream) = choose(entry, &routed, &tried) {
        tried.insert(upstream.tag);
        let number = history.sent + 1;
        note(entry, &routed, &upstream, number);
        let load = Load { requests: 1, ..Load::default() };
        let entered = entry.shared.loads.enter(upstream.tag, load);
        let ended = attempt(entry, &routed, &upstream).await;
        drop(entered);
        let outcome = ended.as_ref().map_or_else(|failure| failure.outcome, |_| Outcome::Ran);
        history.record(outcome);
        if outcome != Outcome::NotRun {
            routed.keep_charge();
        }
        match ended {
            Ok((head, body)) if !head.status.is_server_error() => {
                return Ok(finish(entry, &routed, &upstream, &head, body));
            }
            Ok(answer) => failed = Some(answer),
            Err(failure) => note_failure(entry, &routed, &upstream, &failure, "plain"),
        }
        if !may_go_on(entry, &routed, history) {
            break;
        }
    }
    if let Some((head, body)) = failed {
        return Ok(begin(&head).body(body));
    }
    Err(give_up(&routed, history))
}

/// Refuses a part of the requests while the service's upstreams are too far behind.
fn check_backlog(entry: &Entry, routed: &Routed) -> Result<(), Refusal> {
    let (now, target) = (Instant::now(), routed.route.target_latency);
    let predicted = entry.with_learned(routed.service, |learned| {
        let accepts = learned.backlog.accepts(target, rand::random(), now);
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
    Err(give_up(routed, History::default()))
}

fn give_up(routed: &Routed, history: History) -> Refusal {
    let kind = history.failure_kind(Instant::now() >= routed.limit);
    let spread = FULL_RETRY_SPREAD.mul_f64(rand::random());
    Refusal::after(kind, FULL_RETRY + spread).with_run(history.may_have_run)
}

async fn attempt(
    entry: &Entry,
    routed: &Routed,
    upstream: &registry::Entry,
) -> Result<(Head, Bytes), Failure> {
    let sent = Instant::now();
    let mut answer: Response = send(entry, routed, upstream, &[]).await?;
    note_load(entry, routed, &answer.head, sent);
    let read = tokio::time::timeout_at(routed.limit, answer.read_body(MAX_ANSWER_BYTES)).await;
    match read {
        Ok(Ok(body)) => Ok((answer.head, body)),
        Ok(Err(error)) => Err(Failure { outcome: Outcome::Unknown, ..Failure::of(&error) }),
        Err(_elapsed) => Err(Failure::late()),
    }
}

fn note_load(entry: &Entry, routed: &Routed, head: &Head, sent: Instant) {
    let told = head.headers.get(entry.header_names().load).and_then(|told| told.to_str().ok());
    if let Some(told) = told.and_then(Report::parse).filter(|_| head.status.is_success()) {
        let now = Instant::now();
        let took = now.saturating_duration_since(sent);
        entry.with_learned(routed.service, |learned| learned.backlog.observe(told, took, now));
    }
}

fn choose(entry: &Entry, routed: &Routed, tried: &HashSet<Tag>) -> Option<registry::Entry> {
    let registry = entry.shared.upstreams();
    let service = entry.shared.snapshot().services[routed.service].tag;
    let usable: Vec<_> = registry.usable(service).filter(|e| !tried.contains(&e.tag)).collect();
    let now = Instant::now();
    let sound: Vec<_> =
        usable.iter().copied().filter(|e| !entry.outliers().is_ejected(e.tag, now)).collect();
    // Doubtful upstreams are better than none.
    let pool = if sound.is_empty() { usable } else { sound };
    let (known, domain) = (entry.known_loads(), entry.shared.domain);
    let ranked = placement::plain(pool.into_iter(), &known, domain, &mut rand::rng());
    ranked.first().map(|entry| (*entry).clone())
}

fn note(entry: &Entry, routed: &Routed, upstream: &registry::Entry, attempt: u32) {
    let team = routed.caller.as_ref().map_or("none", |caller| caller.name.as_str());
    entry.shared.journal.record(
        &routed.label,
        format_args!(
            "event=route team={team} route={} upstream={} attempt={attempt} left_ms={}",
            routed.route.name,
            upstream.instance,
            routed.left_ms(Instant::now())
        ),
    );
}

fn finish(
    entry: &Entry,
    routed: &Routed,
    upstream: &registry::Entry,
    head: &Head,
    body: Bytes,
) -> HttpResponse {
    entry.outliers().record_success(upstream.tag);
    let took = routed.arrived.elapsed().as_millis();
    entry.shared.journal.record(
        &routed.label,
        format_args!("event=answered status={} took_ms={took}", head.status.as_u16()),
    );
    entry.shared.metrics.requests.with_label_values(&["routed", "answered"]).inc();
    begin(head).body(body)
}
