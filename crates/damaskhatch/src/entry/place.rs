//! Gets a request a pair of engines, from a scheduler or, when none answers, alone.

use damaskhatch_policy::config::{Snapshot, UpstreamEntry};
use damaskhatch_policy::prelude::*;
use damaskhatch_policy::route::{self, Candidate, Pair, SAMPLES};
use damaskhatch_policy::schedule::message::{Claim, Demand, Phase};
use damaskhatch_policy::sheet::Role;
use futures_util::future::join_all;
use rand::seq::IteratorRandom;
use tokio::sync::oneshot;

use super::Entry;
use super::access::Caller;
use super::hold::{Lease, Place};
use super::refusal::Refusal;
use crate::control::claims::{Acquire, Hold, Outcome};
use crate::upstream::engine;

/// What a handler waits beyond the patience of its request, for a late refusal.
const MARGIN: Duration = Duration::from_millis(500);

/// The pause before a host that found nothing by itself asks a scheduler again.
const ALONE_PAUSE: Duration = Duration::from_millis(50);

/// Waits for a pair; a key that is withdrawn meanwhile ends the wait.
///
/// While no scheduler answers and no engine seems free, both are tried again: the
/// role moves to another host within seconds.
pub async fn acquire(entry: &Entry, caller: &Caller, mut ask: Demand) -> Result<Lease, Refusal> {
    let since = Instant::now();
    let Demand { due_in, patience, .. } = ask;
    let pair = loop {
        match wait(entry, caller, &ask).await? {
            Outcome::Granted { pair, .. } => break pair,
            Outcome::Refused { kind, retry_after } => {
                return Err(Refusal::after(kind, retry_after));
            }
            Outcome::Unconfirmed => {}
        }
        match choose_alone(entry, &ask).await {
            Ok(pair) => break pair,
            Err(refusal) if since.elapsed() + ALONE_PAUSE >= patience => return Err(refusal),
            Err(_nothing_free) => tokio::time::sleep(ALONE_PAUSE).await,
        }
        ask.due_in = due_in.saturating_sub(since.elapsed());
        ask.patience = patience.saturating_sub(since.elapsed());
    };
    entry.shared.metrics.queue_wait.observe(since.elapsed().as_secs_f64());
    lease(entry, ask.request, ask.service, pair, ask.prompt_tokens)
}

async fn wait(entry: &Entry, caller: &Caller, ask: &Demand) -> Result<Outcome, Refusal> {
    let (reply, mut answer) = oneshot::channel();
    let mut place = Place {
        control: entry.control.clone(),
        request: ask.request,
        service: ask.service,
        is_settled: false,
    };
    let patience = ask.patience;
    entry.control.claims.do_send(Acquire { demand: ask.clone(), reply });
    let mut config = entry.shared.config.clone();
    let deadline = tokio::time::sleep(patience + MARGIN);
    tokio::pin!(deadline);
    loop {
        tokio::select! {
            outcome = &mut answer => {
                place.is_settled = true;
                // The control thread may have restarted; then the request is like one refused.
                return outcome.map_err(|_gone| Refusal::from(Kind::Unavailable));
            }
            changed = config.changed() => {
                if changed.is_err() || caller.is_withdrawn(&config.borrow()) {
                    return Err(Kind::KeyWithdrawn.into());
                }
            }
            () = &mut deadline => return Err(Kind::Overloaded.into()),
        }
    }
}

fn lease(
    entry: &Entry,
    request: Request,
    service: Tag,
    pair: Pair,
    prompt_tokens: u32,
) -> Result<Lease, Refusal> {
    let snapshot = entry.shared.snapshot();
    let address = |tag| snapshot.upstream(tag).map(|u| snapshot.upstreams[u].address.clone());
    let (prefill, decode) = (address(pair.prefill), address(pair.decode));
    let (Some(prefill_address), Some(decode_address)) = (prefill, decode) else {
        return Err(Kind::NoUpstream.into());
    };
    Ok(Lease {
        control: entry.control.clone(),
        metrics: entry.shared.metrics.clone(),
        request,
        service,
        pair,
        prefill_address,
        decode_address,
        unused_prefill: prompt_tokens,
        touched_prefill: false,
        touched_decode: false,
        failed: None,
        entered: [entry.in_flight.enter(pair.prefill), entry.in_flight.enter(pair.decode)],
    })
}

/// Chooses by lagging reports of a few engines, because no scheduler answers.
async fn choose_alone(entry: &Entry, ask: &Demand) -> Result<Pair, Refusal> {
    let snapshot = entry.shared.snapshot();
    let engines = sample(&snapshot, entry.shared.domain, ask);
    let read = engines.iter().map(async |engine| {
        let load = engine::load(&engine.address).await.filter(|load| !load.leaving)?;
        Some(Candidate {
            upstream: engine.tag,
            role: engine.role,
            running: load.running,
            slots: load.slots,
            queued_tokens: load.queued_tokens,
        })
    });
    let candidates: Vec<Candidate> = join_all(read).await.into_iter().flatten().collect();
    let pair = route::choose_pair(&candidates, &entry.in_flight.snapshot());
    let Some(pair) = pair else {
        let kind = if candidates.is_empty() { Kind::NoUpstream } else { Kind::Overloaded };
        return Err(kind.into());
    };
    entry.shared.metrics.fallbacks.inc();
    let (request, service, team) = (ask.request, ask.service, ask.team);
    let Pair { prefill, decode } = pair;
    entry.shared.journal.record(
        request,
        format_args!(
            "event=grant team={team} service={service} prefill={prefill} decode={decode} \
             reason=scheduler_silent"
        ),
    );
    let claim = Claim {
        request,
        phase: Phase::Prefill,
        pair: Some(pair),
        pieces: ask.pieces(),
        gap_micros: 0,
    };
    entry.control.claims.do_send(Hold { service, claim });
    Ok(pair)
}

/// A few engines of each phase, drawn at random so that hosts do not herd.
fn sample<'a>(snapshot: &'a Snapshot, domain: Tag, ask: &Demand) -> Vec<&'a UpstreamEntry> {
    let Some(service) = snapshot.service(ask.service) else {
        return Vec::new();
    };
    let entries = snapshot.services[service].upstreams.iter().map(|u| &snapshot.upstreams[*u]);
    let usable: Vec<&UpstreamEntry> =
        entries.filter(|e| e.domain == domain && !ask.avoid.contains(&e.tag)).collect();
    let mut rng = rand::rng();
    let mut drawn = Vec::new();
    for wanted in [Role::Prefill, Role::Decode] {
        let fitting = usable.iter().copied().filter(|e| e.role == wanted || e.role == Role::Both);
        drawn.extend(fitting.sample(&mut rng, SAMPLES));
    }
    drawn.sort_by_key(|engine| engine.tag);
    drawn.dedup_by_key(|engine| engine.tag);
    drawn
}
