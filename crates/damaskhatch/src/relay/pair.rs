//! A request on a pair of engines: reserve at the decode engine, prefill, decode.
//!
//! The reservation is made at the engine itself before anything is prefilled, so
//! that it is exact over all hosts and a prefill is hardly ever in vain. While no
//! engine has room a request waits for a part of its target only and is then
//! refused: later it would miss the target anyway.
//!
//! A stream that was broken off is started in the same way after the last event
//! that its caller has; see [docs/DESIGN.md](../../../../docs/DESIGN.md#resumption).

use std::collections::HashSet;

use damaskhatch_exchange::Response;
use damaskhatch_policy::admission;
use damaskhatch_policy::attempt::{History, Outcome};
use damaskhatch_policy::placement::{self, Known, Load};
use damaskhatch_policy::prelude::*;
use damaskhatch_policy::registry;
use damaskhatch_policy::sheet::{EngineTerms, Role};

use super::attempt::{Failure, may_go_on, note_failure, send};
use super::held::{Export, Reservation};
use super::request::{Routed, Tokens};
use crate::entry::Entry;
use crate::entry::refusal::Refusal;
use crate::headers;

/// Decode engines asked for a reservation in one round.
const ASKED_PER_ROUND: usize = 3;
/// The pause between two rounds while no engine has room.
const ROUND_PAUSE: Duration = Duration::from_millis(60);
/// Prefill engines tried for one run.
const MAX_PREFILLS: usize = 2;
/// The largest answer to a prefill, in bytes.
const MAX_EXPORT_BYTES: usize = 64 << 10;

/// What became of a request so far.
#[derive(Debug, Default)]
pub struct Progress {
    /// The attempts.
    pub history: History,
    /// Decode engines that failed it.
    pub avoid: HashSet<Tag>,
    /// The last event that its caller has, if it was broken off after one.
    pub last_event: Option<u64>,
    /// Tokens of the answer that its caller has.
    pub tokens_done: u32,
    /// Whether an engine was asked to prefill it; all but the first such call are retries.
    has_prefilled: bool,
}

impl Progress {
    /// The progress of a request whose caller names the last event that it has.
    pub fn named_by_caller(entry: &Entry, routed: &Routed) -> Self {
        let last = routed.headers.get(entry.header_names().last_event);
        let last: Option<u32> = last.and_then(|last| last.to_str().ok()?.trim().parse().ok());
        let snapshot = entry.shared.snapshot();
        let terms = snapshot.services[routed.service].engines.unwrap_or_default();
        let tokens_done = last.unwrap_or(0).saturating_mul(terms.event_tokens);
        Self { tokens_done, ..Self::default() }
    }
}

/// An engine's answer and what the engine keeps for it.
#[derive(Debug)]
pub struct Running {
    /// The decode engine.
    pub reservation: Reservation,
    /// Its answer.
    pub answer: Response,
    /// Tokens that one event carries.
    pub event_tokens: u32,
}

/// Starts a request, or continues it after its last event, on a pair of engines.
pub async fn start(
    entry: &Entry,
    routed: &mut Routed,
    progress: &mut Progress,
) -> Result<Running, Refusal> {
    let snapshot = entry.shared.snapshot();
    let terms = snapshot.services[routed.service].engines.unwrap_or_default();
    let urgency = routed.priority(&snapshot);
    if let Some(last) = progress.last_event {
        headers::set(&mut routed.headers, entry.header_names().last_event, &last.to_string());
    }
    loop {
        let mut reservation = reserve(entry, routed, terms, progress).await?;
        let export = prefill(entry, routed, progress).await;
        let mut extra = vec![
            (entry.header_names().reservation, reservation.name().to_owned()),
            (entry.header_names().urgency, urgency.min(9).to_string()),
        ];
        if let Some(export) = &export {
            extra.push((entry.header_names().kv_source, export.source()));
        }
        note(entry, routed, &reservation.upstream, export.as_ref(), progress);
        reservation.note_used();
        routed.keep_charge();
        let sent = send(entry, routed, &reservation.upstream, &extra).await;
        let failure = match sent {
            Ok(answer) => {
                progress.history.record(Outcome::Ran);
                if let Some(mut export) = export {
                    export.is_used = true;
                }
                return Ok(Running { reservation, answer, event_tokens: terms.event_tokens });
            }
            Err(failure) => failure,
        };
        progress.history.record(failure.outcome);
        note_failure(entry, routed, &reservation.upstream, &failure, "decode");
        progress.avoid.insert(reservation.upstream.tag);
        let history = progress.history;
        if !history.may_have_run {
            routed.restore_charge();
        }
        if !may_go_on(entry, routed, history) {
            let kind = history.failure_kind(Instant::now() >= routed.limit);
            return Err(Refusal::after(kind, retry_after()).with_run(history.may_have_run));
        }
    }
}

/// Reserves at the decode engine with the most room, or refuses.
async fn reserve(
    entry: &Entry,
    routed: &Routed,
    terms: EngineTerms,
    progress: &Progress,
) -> Result<Reservation, Refusal> {
    let Tokens { prompt, most_output, hint } = routed.tokens.unwrap_or_default();
    let room = terms.memory_tokens;
    let need = entry.with_learned(routed.service, |learned| {
        let tokens = (prompt, most_output);
        admission::need(&learned.lengths, tokens, hint, progress.tokens_done, room)
    });
    let patience = admission::patience(routed.route.target_latency);
    // The caller of a broken stream counts the pause, not the time since its request.
    let since = progress.last_event.map_or(routed.arrived, |_| Instant::now());
    let give_up = (since + patience).min(routed.limit);
    loop {
        let known = entry.known_loads();
        let engines = decode_engines(entry, routed, &known, &progress.avoid);
        let all = need.memory + need.headroom;
        let asked = placement::worth_asking(&engines, &known, all, room, ASKED_PER_ROUND);
        for engine in engines.iter().take(asked) {
            if let Some(held) = Reservation::take(entry, engine, terms, need, routed).await {
                return Ok(held);
            }
        }
        let next = Instant::now() + ROUND_PAUSE.mul_f64(0.5 + rand::random::<f64>());
        if next >= give_up {
            let engines = engines.len();
            entry.shared.journal.record(
                &routed.label,
                format_args!(
                    "event=no_room engines={engines} memory_tokens={} headroom_tokens={}",
                    need.memory, need.headroom
                ),
            );
            return Err(Refusal::after(Kind::Overloaded, retry_after()));
        }
        tokio::time::sleep_until(next).await;
    }
}

/// When a caller returns who found no room, spread so that callers do not return together.
fn retry_after() -> Duration {
    admission::MIN_RETRY_AFTER + admission::RETRY_AFTER_JITTER.mul_f64(rand::random())
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
async fn prefill(entry: &Entry, routed: &Routed, progress: &mut Progress) -> Option<Export> {
    let registry = entry.shared.upstreams();
    let service = entry.shared.snapshot().services[routed.service].tag;
    let phase = entry.shared.deployment.dialect.prefill_phase.to_owned();
    for _ in 0..MAX_PREFILLS {
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
        if std::mem::replace(&mut progress.has_prefilled, true)
            && !entry.spend_service_retry(routed.service)
        {
            return None;
        }
        let prompt = routed.tokens.unwrap_or_default().prompt + progress.tokens_done;
        let load = Load { prefill_tokens: prompt, ..Load::default() };
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
    let extra = [(entry.header_names().phase, phase.to_owned())];
    let mut answer = send(entry, routed, engine, &extra).await?;
    let body = answer.read_body(MAX_EXPORT_BYTES).await.map_err(|error| Failure::of(&error))?;
    let decode = entry.shared.deployment.dialect.decode_export;
    let decoded = decode(&body).filter(|_| answer.head.status.is_success());
    let decoded = decoded.ok_or_else(|| Failure {
        outcome: Outcome::Unknown,
        reason: format!("no export in an answer with status {}", answer.head.status),
        is_upstream_bad: false,
    })?;
    entry.outliers().record_success(engine.tag);
    Ok(Export::new(entry, engine.clone(), decoded.handle))
}

fn note(
    entry: &Entry,
    routed: &Routed,
    decode: &registry::Entry,
    export: Option<&Export>,
    progress: &Progress,
) {
    let team = routed.caller.as_ref().map_or("none", |caller| caller.name.as_str());
    let prefill = export.map_or("none", |export| export.engine.instance.as_str());
    let waited = routed.arrived.elapsed().as_millis();
    let Tokens { prompt, most_output, hint } = routed.tokens.unwrap_or_default();
    entry.shared.journal.record(
        &routed.label,
        format_args!(
            "event=route team={team} route={} decode={} prefill={prefill} waited_ms={waited} \
             prompt={prompt} most_output={most_output} hint={} last_event={}",
            routed.route.name,
            decode.instance,
            hint.unwrap_or(0),
            progress.last_event.unwrap_or(0)
        ),
    );
}
