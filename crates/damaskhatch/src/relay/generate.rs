//! Streams from a pair of engines: reserve at the decode engine, prefill, decode.
//!
//! The reservation is made at the engine itself before anything is prefilled, so
//! that it is exact over all hosts and a prefill is hardly ever in vain. While no
//! engine has room a request waits for a part of its target only and is then
//! refused: later it would miss the target anyway.

use std::collections::HashSet;

use actix_web::HttpResponse;
use damaskhatch_exchange::Answer;
use damaskhatch_policy::admission;
use damaskhatch_policy::attempt::{History, Outcome};
use damaskhatch_policy::placement::{self, Known, Load};
use damaskhatch_policy::prelude::*;
use damaskhatch_policy::registry;
use damaskhatch_policy::sheet::{EngineTerms, Role};

use super::answer::begin;
use super::attempt::{Failure, note_failure, send};
use super::held::{Export, Reservation};
use super::request::{Routed, Tokens};
use super::stream::{Parts, stream};
use crate::entry::Entry;
use crate::entry::refusal::Refusal;

/// Decode engines asked for a reservation in one round.
const ASKED_PER_ROUND: usize = 3;
/// The pause between two rounds while no engine has room.
const ROUND_PAUSE: Duration = Duration::from_millis(60);
/// Prefill engines tried for one request.
const MAX_PREFILLS: usize = 2;
/// The largest answer to a prefill, in bytes.
const MAX_EXPORT_BYTES: usize = 64 << 10;
/// The largest answer of an engine that is no stream, in bytes.
const MAX_FAILURE_BYTES: usize = 1 << 20;

/// Runs a request on a pair of engines and returns the beginning of its stream.
pub async fn run(entry: &Entry, mut routed: Routed) -> Result<HttpResponse, Refusal> {
    let snapshot = entry.shared.snapshot();
    let service = &snapshot.services[routed.service];
    let terms = service.engines.unwrap_or_default();
    let tokens = routed.tokens.unwrap_or_default();
    let urgency = routed.priority(&snapshot);
    let mut history = History::default();
    let mut avoid = HashSet::new();
    entry.earn(routed.service);
    loop {
        let mut reservation = reserve(entry, &routed, terms, tokens, &avoid).await?;
        let export = prefill(entry, &routed, tokens).await;
        let mut extra = vec![
            (entry.names().reservation, reservation.name.clone()),
            (entry.names().urgency, urgency.min(9).to_string()),
        ];
        if let Some(export) = &export {
            extra.push((entry.names().kv_source, export.source()));
        }
        note(entry, &routed, &reservation.upstream, export.as_ref());
        reservation.is_used = true;
        routed.keep_charge();
        let sent = send(entry, &routed, &reservation.upstream, &extra).await;
        let failure = match sent {
            Ok(answer) => {
                history.note(Outcome::Ran);
                if let Some(mut export) = export {
                    export.is_used = true;
                }
                return respond(entry, routed, reservation, answer, terms.event_tokens).await;
            }
            Err(failure) => failure,
        };
        history.note(failure.outcome);
        note_failure(entry, &routed, &reservation.upstream, &failure, "decode");
        avoid.insert(reservation.upstream.tag);
        if failure.outcome == Outcome::NotRun && !history.may_have_run {
            routed.restore_charge();
        }
        let in_time = Instant::now() < routed.limit;
        let allowed = history.may_repeat(routed.route.repeat, routed.route.max_attempts);
        if !in_time || !allowed || !entry.spend(routed.service) {
            let kind = history.failure(!in_time);
            return Err(Refusal::after(kind, retry_after()).with_run(history.may_have_run));
        }
    }
}

/// Reserves at the decode engine with the most room, or refuses.
async fn reserve(
    entry: &Entry,
    routed: &Routed,
    terms: EngineTerms,
    tokens: Tokens,
    avoid: &HashSet<Tag>,
) -> Result<Reservation, Refusal> {
    let Tokens { prompt, most_output, hint } = tokens;
    let memory = entry.with_lengths(routed.service, |forecast| {
        admission::memory(forecast, prompt, most_output, hint)
    });
    let patience = admission::patience(routed.route.target_latency);
    let give_up = (routed.arrived + patience).min(routed.limit);
    loop {
        let known = entry.known_loads();
        let engines = decode_engines(entry, routed, &known, avoid);
        let room = terms.memory_tokens;
        let asked = placement::worth_asking(&engines, &known, memory, room, ASKED_PER_ROUND);
        for engine in engines.iter().take(asked) {
            if let Some(held) = Reservation::take(entry, engine, terms, memory, routed).await {
                return Ok(held);
            }
        }
        let next = Instant::now() + ROUND_PAUSE.mul_f64(0.5 + rand::random::<f64>());
        if next >= give_up {
            let engines = engines.len();
            entry.shared.journal.record(
                &routed.label,
                format_args!("event=no_room engines={engines} memory_tokens={memory}"),
            );
            return Err(Refusal::after(Kind::Overloaded, retry_after()));
        }
        tokio::time::sleep_until(next).await;
    }
}

/// When a caller returns who found no room, spread so that callers do not return together.
fn retry_after() -> Duration {
    admission::RETURN_AFTER + admission::RETURN_SPREAD.mul_f64(rand::random())
}

fn decode_engines(
    entry: &Entry,
    routed: &Routed,
    known: &Known,
    avoid: &HashSet<Tag>,
) -> Vec<registry::Entry> {
    let registry = entry.shared.upstreams();
    let service = entry.shared.snapshot().services[routed.service].tag;
    let now = Instant::now();
    let outliers = entry.outliers();
    let usable = registry.usable(service).filter(|e| {
        e.role == Some(Role::Decode) && !avoid.contains(&e.tag) && !outliers.is_ejected(e.tag, now)
    });
    let ranked = placement::decode(usable, known, entry.shared.domain, &mut rand::rng());
    ranked.into_iter().cloned().collect()
}

/// Has the prompt prefilled; without an export the decode engine reads it itself.
async fn prefill(entry: &Entry, routed: &Routed, tokens: Tokens) -> Option<Export> {
    let registry = entry.shared.upstreams();
    let service = entry.shared.snapshot().services[routed.service].tag;
    let phase = entry.shared.deployment.dialect.prefill_phase.to_owned();
    for number in 0..MAX_PREFILLS {
        let now = Instant::now();
        let engine = {
            let outliers = entry.outliers();
            let usable = registry
                .usable(service)
                .filter(|e| e.role == Some(Role::Prefill) && !outliers.is_ejected(e.tag, now));
            let (known, domain) = (entry.known_loads(), entry.shared.domain);
            placement::prefill(usable, &known, domain, &mut rand::rng()).first().copied().cloned()
        }?;

        // Further calls count against the retry budget, whatever became of the first.
        if number > 0 && !entry.spend(routed.service) {
            return None;
        }
        let load = Load { prefill_tokens: tokens.prompt, ..Load::default() };
        let _entered = entry.shared.loads.enter(engine.tag, load);
        match export(entry, routed, &engine, &phase).await {
            Ok(export) => return Some(export),
            Err(failure) => note_failure(entry, routed, &engine, &failure, "prefill"),
        }
    }
    None
}

async fn export(
    entry: &Entry,
    routed: &Routed,
    engine: &registry::Entry,
    phase: &str,
) -> Result<Export, Failure> {
    let extra = [(entry.names().phase, phase.to_owned())];
    let mut answer = send(entry, routed, engine, &extra).await?;
    let body = answer.whole(MAX_EXPORT_BYTES).await.map_err(|error| Failure::of(&error))?;
    let decode = entry.shared.deployment.dialect.decode_export;
    let decoded = decode(&body).filter(|_| answer.head.status.is_success());
    let decoded = decoded.ok_or_else(|| Failure {
        outcome: Outcome::Unknown,
        reason: format!("no export in an answer with status {}", answer.head.status),
        is_upstream_bad: false,
    })?;
    entry.outliers().succeed(engine.tag);
    Ok(Export::new(entry, engine.clone(), decoded.handle))
}

/// Passes on a stream as it comes, or a failure as a whole.
async fn respond(
    entry: &Entry,
    routed: Routed,
    reservation: Reservation,
    mut answer: Answer,
    event_tokens: u32,
) -> Result<HttpResponse, Refusal> {
    let mut response = begin(&answer.head);
    if answer.head.status.is_success() {
        return Ok(response.streaming(stream(Parts {
            entry: entry.clone(),
            routed,
            reservation,
            answer,
            event_tokens,
        })));
    }
    let status = answer.head.status.as_u16();
    let read = tokio::time::timeout_at(routed.limit, answer.whole(MAX_FAILURE_BYTES)).await;
    entry.shared.journal.record(&routed.label, format_args!("event=answered status={status}"));
    match read {
        Ok(Ok(body)) => Ok(response.body(body)),
        Ok(Err(_broken)) => Err(Refusal::from(Kind::UpstreamFailed).with_run(true)),
        Err(_elapsed) => Err(Refusal::from(Kind::UpstreamTimeout).with_run(true)),
    }
}

fn note(entry: &Entry, routed: &Routed, decode: &registry::Entry, export: Option<&Export>) {
    let team = routed.caller.as_ref().map_or("none", |caller| caller.name.as_str());
    let prefill = export.map_or("none", |export| export.engine.instance.as_str());
    let waited = routed.arrived.elapsed().as_millis();
    let Tokens { prompt, most_output, hint } = routed.tokens.unwrap_or_default();
    entry.shared.journal.record(
        &routed.label,
        format_args!(
            "event=route team={team} route={} decode={} prefill={prefill} waited_ms={waited} \
             prompt={prompt} most_output={most_output} hint={}",
            routed.route.name,
            decode.instance,
            hint.unwrap_or(0)
        ),
    );
}
