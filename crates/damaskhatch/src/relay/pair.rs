//! Runs a request on a pair of engines: reserve at the decode engine, prefill, decode.
//!
//! The decode engine itself grants the reservation, before anything is prefilled.
//! So reservations are exact across all hosts, and a prefill is rarely wasted.
//! While no engine has room, a request waits for a fraction of its target latency only
//! and is then refused, because later it would miss the target anyway.
//!
//! An interrupted stream is started in the same way after the last event that its
//! caller has received; see [docs/DESIGN.md](../../../../docs/DESIGN.md#resumption).

use std::collections::HashSet;

use damaskhatch_exchange::{Connection, Response};
use damaskhatch_policy::attempt::{History, Outcome};
use damaskhatch_policy::placement::{self, Load};
use damaskhatch_policy::prelude::*;
use damaskhatch_policy::registry;
use damaskhatch_policy::sheet::Role;

use super::attempt::{Attempt, Failure, check_admission, record_failure, send, try_acquire_retry};
use super::held::{Export, Reservation};
use super::permit::{self, Permit, Terms};
use super::request::{Routed, Tokens};
use super::reserve::{reserve, return_after};
use super::version::{check_version, pin_version};
use crate::entry::Entry;
use crate::entry::refusal::Refusal;
use crate::headers;

/// The maximum number of prefill calls; if all fail, the decode engine runs the prefill itself.
const MAX_PREFILL_ATTEMPTS: usize = 2;
/// The maximum length of the response to a prefill, in bytes.
const MAX_PREFILL_RESPONSE_BYTES: usize = 64 << 10;

/// The attempts at a request so far, and how much of the response its caller has received.
#[derive(Debug, Default)]
pub struct Progress {
    /// Counts of the attempts, and whether any may have run.
    pub history: History,
    /// Decode engines that failed the request and are not tried again.
    pub excluded: HashSet<Tag>,
    /// Id of the last event sent to the caller, set once the stream has broken off after it.
    pub last_event: Option<u64>,
    /// Tokens of the response that the caller has already received.
    pub tokens_done: u32,
    /// The software version of all engines of the response, set once the first one is chosen.
    pub version: Option<Tag>,
    /// Whether a prefill was requested before; further prefill calls count as retries.
    was_prefill_requested: bool,
}

impl Progress {
    /// The initial progress, after the last event that the caller names in a header, if any.
    pub fn from_caller(entry: &Entry, routed: &Routed) -> Self {
        let last = routed.headers.get(entry.header_names().last_event);
        let last: Option<u32> = last.and_then(|last| last.to_str().ok()?.trim().parse().ok());
        let snapshot = entry.shared.snapshot();
        let terms = snapshot.services[routed.service].engines.unwrap_or_default();
        let tokens_done = last.unwrap_or(0).saturating_mul(terms.event_tokens);
        Self { tokens_done, ..Self::default() }
    }
}

/// A request to which a decode engine is responding.
#[derive(Debug)]
pub struct Running {
    /// The reservation that the request holds at the decode engine.
    pub reservation: Reservation,
    /// The engine's response, of which only the head has been read.
    pub response: Response,
    /// Tokens carried by one event.
    pub event_tokens: u32,
    /// When the request was sent to the decode engine.
    pub sent_at: Instant,
}

/// Starts a request on a pair of engines, or resumes it after `progress.last_event`.
///
/// Further pairs are tried while the route and the retry budget allow it.
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
    let mut export = None;
    loop {
        check_admission(entry, routed, progress.history)?;
        let reserved = reserve(entry, routed, terms, progress).await;
        // After an attempt that may have run, a status that means "not run" would be false.
        let (mut reservation, permit) = reserved.map_err(|refusal| {
            let failed = Refusal::from(Kind::UpstreamFailed).with_may_have_run(true);
            if progress.history.may_have_run { failed } else { refusal }
        })?;
        if progress.version.is_none() {
            pin_version(entry, routed, progress, &reservation.upstream);
        }
        if export.is_none() {
            export = prefill(entry, routed, progress).await?;
        }
        if !entry.may_ask(&reservation.upstream) || permit.is_outdated(entry, &reservation.upstream)
        {
            // What it takes has changed since it was chosen. Nothing was sent.
            entry.shared.journal.record(
                &routed.label,
                format_args!(
                    "event=reservation_dropped upstream={}",
                    reservation.upstream.instance
                ),
            );
            continue;
        }
        check_admission(entry, routed, progress.history)?;
        let mut extra = vec![
            (entry.header_names().reservation, reservation.name().to_owned()),
            (entry.header_names().urgency, urgency.min(9).to_string()),
        ];
        if let Some(export) = &export {
            extra.push((entry.header_names().kv_source, export.source()));
        }
        log_route(entry, routed, &reservation.upstream, export.as_ref(), progress);
        reservation.mark_used();
        routed.keep_charge();
        let sent_at = Instant::now();
        // A stream may run once only.
        let new = Connection::New;
        let sent = send(entry, routed, &reservation.upstream, permit, new, &extra).await;
        let sent = sent.and_then(|(response, _statement)| {
            check_version(entry, routed, &reservation.upstream, response)
        });
        let failure = match sent {
            Ok(response) => {
                progress.history.record(Outcome::Ran);
                if let Some(export) = &mut export {
                    export.is_used = true;
                }
                let event_tokens = terms.event_tokens;
                return Ok(Running { reservation, response, event_tokens, sent_at });
            }
            Err(failure) => failure,
        };
        // The engine may have fetched it.
        export = None;
        progress.history.record(failure.outcome);
        let (upstream, history) = (&reservation.upstream, progress.history);
        let attempt = Attempt { upstream, sent_at, phase: "decode", history };
        record_failure(entry, routed, attempt, &failure).await;
        progress.excluded.insert(reservation.upstream.tag);
        if !history.may_have_run {
            routed.restore_charge();
        }
        if !try_acquire_retry(entry, routed, history) {
            let kind = history.failure_kind(Instant::now() >= routed.limit);
            let wait = return_after(entry, routed);
            return Err(Refusal::after(kind, wait).with_may_have_run(history.may_have_run));
        }
    }
}

/// Runs the prefill on a prefill engine; `None` leaves it to the decode engine.
async fn prefill(
    entry: &Entry,
    routed: &Routed,
    progress: &mut Progress,
) -> Result<Option<Export>, Refusal> {
    let registry = entry.shared.upstreams();
    let phase = entry.shared.deployment.dialect.prefill_phase.to_owned();
    let prompt = routed.tokens.unwrap_or_default().prompt + progress.tokens_done;
    for _ in 0..MAX_PREFILL_ATTEMPTS {
        // The first of two engines may have crashed under the request.
        check_admission(entry, routed, progress.history)?;
        let now = Instant::now();
        let loads = entry.known_loads();
        let ranked = {
            let outliers = entry.outliers();
            let candidates = entry.candidates(&registry, routed, |e| {
                e.role == Some(Role::Prefill)
                    && !outliers.is_ejected(e.tag, now)
                    // What one version exports does not fit another, which then reads the prompt
                    // itself.
                    && progress.version.is_none_or(|version| e.software == version)
            });
            drop(outliers);
            candidates.record(entry, &routed.label);
            let domain = entry.shared.domain;
            let tags = candidates.entries.iter().map(|engine| engine.tag);
            let slowness = entry.shared.speeds.lock().slowness(tags, now);
            let usable = candidates.entries.into_iter();
            let rng = &mut rand::rng();
            placement::rank_prefill(usable, (&loads, &slowness), prompt, domain, rng)
        };
        let limits = Terms::of(entry, routed, now);
        let Ok((engine, permit)) = permit::choose_now(entry, &ranked, limits).await else {
            return Ok(None);
        };

        // All calls after the first are charged to the retry budget, however the first ended.
        if std::mem::replace(&mut progress.was_prefill_requested, true)
            && !entry.spend_service_retry(routed)
        {
            return Ok(None);
        }
        let ahead = loads.get(&engine.tag).map_or(0, |load| load.prefill_tokens);
        let load = Load { prefill_tokens: prompt, ..Load::default() };
        let _guard = entry.shared.loads.track(engine.tag, load);
        let sent_at = Instant::now();
        match request_export(entry, routed, (&engine, permit), &phase).await {
            Ok(export) => {
                let (run, units) = ((engine.tag, engine.started_ms), f64::from(ahead + prompt));
                entry.shared.speeds.lock().observe(run, units, sent_at.elapsed(), Instant::now());
                return Ok(Some(export));
            }
            Err(mut failure) => {
                // An engine that declines prefills, being full or changing its role, goes on to do so
                // for a while, and each further one makes the request reach one engine more.
                failure.is_upstream_at_fault |= failure.outcome == Outcome::NotRun;
                let (sent_at, history) = (now, progress.history);
                let attempt = Attempt { upstream: &engine, sent_at, phase: "prefill", history };
                record_failure(entry, routed, attempt, &failure).await;
            }
        }
    }
    Ok(None)
}

/// Requests one prefill engine to process the prompt and to export its KV cache.
async fn request_export(
    entry: &Entry,
    routed: &Routed,
    (engine, permit): (&registry::Entry, Permit),
    phase: &str,
) -> Result<Export, Failure> {
    let extra = [(entry.header_names().phase, phase.to_owned())];
    let sent = send(entry, routed, engine, permit, Connection::Kept, &extra).await;
    let (mut response, _statement) = sent?;
    let read = response.read_body(MAX_PREFILL_RESPONSE_BYTES, &entry.shared.memory.responses);
    let body = tokio::time::timeout_at(routed.limit, read)
        .await
        .map_err(|_elapsed| Failure::timed_out())?
        .map_err(|error| Failure::from_exchange(&error))?;
    let decode = entry.shared.deployment.dialect.decode_export;
    let decoded = decode(&body).filter(|_| response.head.status.is_success());
    let decoded = decoded.ok_or_else(|| Failure {
        outcome: Outcome::Unknown,
        reason: format!("prefill response with status {} has no export", response.head.status),
        is_upstream_at_fault: false,
    })?;
    entry.outliers().record_success(engine.tag);
    Ok(Export::new(entry, engine.clone(), decoded.handle))
}

/// Logs the chosen pair of engines.
fn log_route(
    entry: &Entry,
    routed: &Routed,
    decode: &registry::Entry,
    export: Option<&Export>,
    progress: &Progress,
) {
    let team = routed.caller.as_ref().map_or("none", |caller| caller.name.as_str());
    let prefill = export.map_or("none", |export| export.engine.instance.as_str());
    let waited = routed.arrived_at.elapsed().as_millis();
    let Tokens { prompt, max_output, hint } = routed.tokens.unwrap_or_default();
    entry.shared.journal.record(
        &routed.label,
        format_args!(
            "event=route team={team} route={} decode={} prefill={prefill} waited_ms={waited} \
             prompt={prompt} most_output={max_output} hint={} last_event={}",
            routed.route.name,
            decode.instance,
            hint.unwrap_or(0),
            progress.last_event.unwrap_or(0)
        ),
    );
}
