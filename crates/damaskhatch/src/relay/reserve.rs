//! Reserves room for a request at a decode engine.
//!
//! The decode engine itself grants the reservation. While none has room, the request asks again in
//! rounds, in the order of [`super::turns`].

use damaskhatch_policy::admission::{self, Need};
use damaskhatch_policy::placement::{self, Load, Loads};
use damaskhatch_policy::prelude::*;
use damaskhatch_policy::registry;
use damaskhatch_policy::sheet::{EngineTerms, Role};

use super::candidates::{self, Candidates};
use super::held::Reservation;
use super::pair::Progress;
use super::permit::{self, Permit, Terms};
use super::request::{Routed, Tokens};
use super::turns::Turns;
use crate::entry::Entry;
use crate::entry::refusal::Refusal;

/// The maximum number of decode engines that are tried for a reservation in one round.
const MAX_RESERVATIONS_PER_ROUND: usize = 3;
/// The load by which a stream that waits for an engine of its version is counted.
const ONE_REQUEST: Load = Load { requests: 1, memory_tokens: 0, prefill_tokens: 0 };
/// The mean pause between two rounds while no engine has room, varied at random by up to half.
const ROUND_PAUSE: Duration = Duration::from_millis(60);

/// Reserves at the least loaded decode engine that has room, or refuses the request.
pub async fn reserve(
    entry: &Entry,
    routed: &Routed,
    terms: EngineTerms,
    progress: &Progress,
) -> Result<(Reservation, Permit), Refusal> {
    let Tokens { prompt, max_output, hint } = routed.tokens.unwrap_or_default();
    let capacity = terms.memory_tokens;
    let reserved = entry.shared.settings.schedule.reserve_percent as f64 / 100.0;
    let need = entry.with_learned(routed.service, |learned| {
        let tokens = (prompt, max_output);
        admission::need(&learned.lengths, tokens, hint, progress.tokens_done, (capacity, reserved))
    });
    let target = routed.route.target_latency;
    let has_begun = progress.last_event.is_some() || routed.is_resumed(entry);
    let patience = if has_begun {
        admission::resumption_patience(target)
    } else {
        admission::patience(target)
    };
    let version = progress.version.filter(|_| has_begun);
    let _waiting = version.map(|version| entry.shared.resuming.track(version, ONE_REQUEST));
    // For a resumed stream the target applies to the pause, not to the time since the request.
    let since = progress.last_event.map_or(routed.arrived_at, |_| Instant::now());
    let give_up_at = (since + patience).min(routed.limit);
    let may_use_all = !has_begun && progress.version.is_none() && progress.excluded.is_empty();
    let size = may_use_all.then_some(need.memory + need.headroom);
    let mut turns = Turns::new(entry, routed, size);
    let mut is_first = true;
    loop {
        if !turns.wait(give_up_at).await {
            return Err(refuse_full(entry, routed, need, None));
        }
        let loads = entry.known_loads();
        let Choice { engines, paused_until, closed } =
            decode_engines(entry, routed, &loads, progress, is_first);
        is_first = false;
        if let Some(until) = paused_until.filter(|until| *until >= give_up_at) {
            let wait = candidates::retry_after(until, Instant::now());
            return Err(Refusal::after(Kind::Overloaded, wait));
        }
        if let Some(reason) = closed {
            // An operator decides when that changes, which no request can wait for.
            entry.shared.journal.record(&routed.label, format_args!("event={reason}"));
            return Err(Refusal::after(Kind::Overloaded, return_after(entry, routed)));
        }
        if engines.is_empty() && !is_in_service(entry, routed, progress.version) {
            // Engines of other versions cannot go on with what this one began.
            entry.shared.journal.record(&routed.label, format_args!("event=no_engine_of_version"));
            return Err(Refusal::after(Kind::Overloaded, return_after(entry, routed)));
        }
        let total = need.memory + need.headroom;
        let fanout = placement::reservation_fanout(
            &engines,
            &loads,
            total,
            capacity,
            MAX_RESERVATIONS_PER_ROUND,
        );
        let ranked: Vec<&registry::Entry> = engines.iter().collect();
        let mut rest: &[&registry::Entry] = &ranked;
        let mut asked = 0;
        while asked < fanout {
            let limits = Terms::of(entry, routed, give_up_at);
            let chosen = if asked == 0 {
                permit::choose(entry, rest, limits).await
            } else {
                permit::choose_now(entry, rest, limits).await
            };
            let (engine, permit) = match chosen {
                Ok(chosen) => chosen,
                // Their limits allow none of them a request soon enough.
                Err(wait) if asked == 0 && !engines.is_empty() => {
                    permit::log_held_back(entry, routed, engines.len(), wait);
                    return Err(Refusal::after(
                        Kind::Overloaded,
                        wait.max(return_after(entry, routed)),
                    ));
                }
                Err(_wait) => break,
            };
            asked += 1;
            if let Some(reservation) =
                Reservation::acquire(entry, &engine, terms, need, routed).await
            {
                turns.end();
                return Ok((reservation, permit));
            }
            let at = rest.iter().position(|other| other.tag == engine.tag).unwrap_or(0);
            rest = &rest[at + 1..];
        }
        let pause = ROUND_PAUSE.mul_f64(0.5 + rand::random::<f64>());
        if !turns.pause(pause, give_up_at).await {
            return Err(refuse_full(entry, routed, need, Some(engines.len())));
        }
    }
}

/// The refusal of a request for which no engine has had room; `engines` were asked last, if any.
fn refuse_full(entry: &Entry, routed: &Routed, need: Need, engines: Option<usize>) -> Refusal {
    let engines = engines.map_or("waiting".to_owned(), |engines| engines.to_string());
    entry.shared.journal.record(
        &routed.label,
        format_args!(
            "event=no_room engines={engines} memory_tokens={} headroom_tokens={}",
            need.memory, need.headroom
        ),
    );
    Refusal::after(Kind::Overloaded, return_after(entry, routed))
}

/// Whether any engine of the version that a response is bound to is registered and not leaving.
///
/// Where there is one, decode engines that have crashed come back with the same version.
fn is_in_service(entry: &Entry, routed: &Routed, version: Option<Tag>) -> bool {
    let service = entry.shared.snapshot().services[routed.service].tag;
    let registry = entry.shared.upstreams();
    let availability = &entry.shared.availability;
    let stays = |engine: &&registry::Entry| !availability.standing_of(engine).is_closed();
    let mut staying = registry.usable(service).filter(stays);
    version.is_none_or(|version| staying.any(|own| own.software == version))
}

/// Retry delay for a caller refused for lack of room; random, so that retries do not coincide, and
/// longer for the less urgent.
pub fn return_after(entry: &Entry, routed: &Routed) -> Duration {
    admission::return_after(routed.rank(&entry.shared.snapshot()), rand::random())
}

/// The decode engines that may be asked for a reservation.
#[derive(Debug)]
struct Choice {
    /// The engines, ranked by placement.
    engines: Vec<registry::Entry>,
    /// When the first may be asked, if all have asked for a pause.
    paused_until: Option<Instant>,
    /// Why no request can wait for any, if so; see [`Candidates::closed`].
    closed: Option<&'static str>,
}

/// The usable decode engines, ranked by placement.
///
/// Of the version that a response is bound to, ejected ones count too if there is no other.
fn decode_engines(
    entry: &Entry,
    routed: &Routed,
    loads: &Loads,
    progress: &Progress,
    is_recorded: bool,
) -> Choice {
    let registry = entry.shared.upstreams();
    let now = Instant::now();
    let outliers = entry.outliers();
    let candidates = entry.candidates(&registry, routed, |e| {
        e.role == Some(Role::Decode)
            && !progress.excluded.contains(&e.tag)
            && progress.version.is_none_or(|version| e.software == version)
    });
    if is_recorded {
        candidates.record(entry, &routed.label);
    }
    let closed = candidates.closed();
    let Candidates { entries: usable, paused_until, .. } = candidates;
    let mut healthy: Vec<_> =
        usable.iter().copied().filter(|e| !outliers.is_ejected(e.tag, now)).collect();
    if progress.version.is_some() {
        healthy = if healthy.is_empty() { usable } else { healthy };
    } else {
        // New streams leave the engines of a version to the streams that can only go on there.
        let resuming = entry.shared.resuming.snapshot();
        let is_free = |e: &&registry::Entry| !resuming.contains_key(&e.software);
        let free: Vec<_> = healthy.iter().copied().filter(is_free).collect();
        healthy = if free.is_empty() { healthy } else { free };
    }
    let domain = entry.shared.domain;
    let ranked = placement::rank_decode(healthy.into_iter(), loads, domain, &mut rand::rng());
    Choice { engines: ranked.into_iter().cloned().collect(), paused_until, closed }
}
