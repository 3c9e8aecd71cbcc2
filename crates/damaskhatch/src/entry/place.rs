//! Obtains a pair of engines for a request: from a scheduler or, if none replies, by a
//! choice of this host alone.

use damaskhatch_exchange::Head;
use damaskhatch_policy::availability::Standing;
use damaskhatch_policy::config::{Snapshot, UpstreamEntry};
use damaskhatch_policy::prelude::*;
use damaskhatch_policy::route::{self, Candidate, LOAD_SAMPLES, Pair};
use damaskhatch_policy::schedule::message::{Claim, Demand, Phase};
use damaskhatch_policy::sheet::Role;
use futures_util::future::join_all;
use rand::seq::IteratorRandom;
use tokio::sync::oneshot;

use super::Entry;
use super::access::Caller;
use super::generate;
use super::hold::{Lease, Place};
use super::refusal::Refusal;
use crate::control::claims::{Acquire, Hold, Outcome};
use crate::relay::candidates;
use crate::relay::permit::{self, Permit, Terms};
use crate::upstream::engine;

/// How long a handler waits beyond the patience of its request, to receive a late refusal.
const REFUSAL_MARGIN: Duration = Duration::from_millis(500);

/// The pause before the demand is sent to a scheduler again if the fallback found no pair.
const FALLBACK_PAUSE: Duration = Duration::from_millis(50);

/// How long an attempt waits for a permit of an engine that has used up its limit.
const PERMIT_PATIENCE: Duration = Duration::from_millis(250);

/// Waits for a pair and leases it; fails if the caller's key is withdrawn during the wait.
///
/// While no scheduler replies and the fallback finds no free engine, both are retried
/// until the patience of the request ends: the scheduler's role moves to another host
/// within seconds.
pub async fn acquire(entry: &Entry, caller: &Caller, mut demand: Demand) -> Result<Lease, Refusal> {
    let started_at = Instant::now();
    let Demand { due_in, patience, .. } = demand;
    let pair = loop {
        match wait_for_outcome(entry, caller, &demand).await? {
            Outcome::Granted { pair, .. } => break pair,
            Outcome::Refused { kind, retry_after } => {
                return Err(Refusal::after(kind, retry_after));
            }
            Outcome::Unconfirmed => {}
        }
        match choose_fallback(entry, &demand).await {
            Ok(pair) => break pair,
            Err(refusal) if started_at.elapsed() + FALLBACK_PAUSE >= patience => {
                return Err(refusal);
            }
            Err(_no_pair) => tokio::time::sleep(FALLBACK_PAUSE).await,
        }
        demand.due_in = due_in.saturating_sub(started_at.elapsed());
        demand.patience = patience.saturating_sub(started_at.elapsed());
    };
    entry.shared.metrics.queue_wait.observe(started_at.elapsed().as_secs_f64());
    start_lease(entry, demand.request, demand.service, pair, demand.prompt_tokens)
}

/// Sends the demand to a scheduler and waits for the outcome.
///
/// Fails if the caller's key is withdrawn or no outcome arrives in time.
async fn wait_for_outcome(
    entry: &Entry,
    caller: &Caller,
    demand: &Demand,
) -> Result<Outcome, Refusal> {
    let (reply, mut outcome) = oneshot::channel();
    let mut place = Place {
        control: entry.control.clone(),
        request: demand.request,
        service: demand.service,
        is_settled: false,
    };
    let patience = demand.patience;
    entry.control.claims.do_send(Acquire { demand: demand.clone(), reply });
    let mut config = entry.shared.config.clone();
    let deadline = tokio::time::sleep(patience + REFUSAL_MARGIN);
    tokio::pin!(deadline);
    loop {
        tokio::select! {
            received = &mut outcome => {
                place.is_settled = true;
                // The channel closes without an outcome if the control thread restarts.
                return received.map_err(|_closed| Refusal::from(Kind::Unavailable));
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

/// Creates the lease on a pair; fails if either engine is no longer configured.
fn start_lease(
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
        unused_prefill_tokens: prompt_tokens,
        needs_prefill_cancel: false,
        needs_decode_cancel: false,
        failed: None,
        entered: [entry.in_flight.enter(pair.prefill), entry.in_flight.enter(pair.decode)],
    })
}

/// Chooses a pair without a scheduler, by the load reports of a few random engines.
///
/// The reports may be out of date. The control thread claims the chosen pair, so that a
/// scheduler counts it once it replies again.
async fn choose_fallback(entry: &Entry, demand: &Demand) -> Result<Pair, Refusal> {
    let snapshot = entry.shared.snapshot();
    let mut engines = sample_engines(&snapshot, entry.shared.domain, demand);
    let availability = &entry.shared.availability;
    engines.retain(|engine| availability.standing_of_configured(engine).allows_requests());
    let reads = engines.iter().map(async |engine| {
        let sent_at = Instant::now();
        let learn = |head: &Head| generate::hear(entry, engine.tag, sent_at, head);
        let load = engine::fetch_load(&engine.address, &entry.shared.memory.responses, learn).await;
        let load = load.filter(|load| !load.leaving)?;
        Some(Candidate {
            upstream: engine.tag,
            role: engine.role,
            running: load.running,
            slots: load.slots,
            queued_tokens: load.queued_tokens,
        })
    });
    let candidates: Vec<Candidate> = join_all(reads).await.into_iter().flatten().collect();
    let pair = route::choose_pair(&candidates, &entry.in_flight.snapshot());
    let Some(pair) = pair else {
        let kind = if candidates.is_empty() { Kind::NoUpstream } else { Kind::Overloaded };
        return Err(kind.into());
    };
    entry.shared.metrics.fallbacks.inc();
    let (request, service, team) = (demand.request, demand.service, demand.team);
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
        pieces: demand.pieces(),
        gap_micros: 0,
    };
    entry.control.claims.do_send(Hold { service, claim });
    Ok(pair)
}

/// Samples up to [`SAMPLES`] engines of each phase at random, so that hosts do not all choose
/// the same engine.
fn sample_engines<'a>(
    snapshot: &'a Snapshot,
    domain: Tag,
    demand: &Demand,
) -> Vec<&'a UpstreamEntry> {
    let Some(service) = snapshot.service(demand.service) else {
        return Vec::new();
    };
    let entries = snapshot.services[service].upstreams.iter().map(|u| &snapshot.upstreams[*u]);
    let usable: Vec<&UpstreamEntry> =
        entries.filter(|e| e.domain == domain && !demand.avoid.contains(&e.tag)).collect();
    let mut rng = rand::rng();
    let mut sampled = Vec::new();
    for role in [Role::Prefill, Role::Decode] {
        let suitable = usable.iter().copied().filter(|e| e.role == role || e.role == Role::Both);
        sampled.extend(suitable.sample(&mut rng, LOAD_SAMPLES));
    }
    sampled.sort_by_key(|engine| engine.tag);
    sampled.dedup_by_key(|engine| engine.tag);
    sampled
}

/// The engines of a service that this host may not send requests to.
#[derive(Debug)]
pub struct Unavailable {
    /// The engines.
    pub engines: Vec<Tag>,
    /// When the first one may be asked, if all those of a phase have asked for a pause.
    pub paused_until: Option<Instant>,
}

/// Finds the engines of a service that have said that they leave or want a pause, and those of evacuated
/// domains.
pub fn find_unavailable(entry: &Entry, service: Tag) -> Unavailable {
    let (snapshot, now) = (entry.shared.snapshot(), Instant::now());
    let table = entry.shared.availability.lock();
    let mut unavailable = Unavailable { engines: Vec::new(), paused_until: None };
    let Some(service) = snapshot.service(service) else { return unavailable };
    for role in [Role::Prefill, Role::Decode] {
        let engines = snapshot.services[service].upstreams.iter().map(|u| &snapshot.upstreams[*u]);
        let engines = engines.filter(|engine| engine.role == role || engine.role == Role::Both);
        let (mut soonest, mut is_any_available) = (None::<Instant>, false);
        for engine in engines {
            let standing = table.standing_in(engine.domain, engine.tag, 0, now);
            is_any_available |= standing.allows_requests();
            if let Standing::Paused(until) = standing {
                soonest = Some(soonest.map_or(until, |soonest| soonest.min(until)));
            }
            if !standing.allows_requests() && !unavailable.engines.contains(&engine.tag) {
                unavailable.engines.push(engine.tag);
            }
        }
        if !is_any_available {
            unavailable.paused_until = unavailable.paused_until.max(soonest);
        }
    }
    unavailable
}

/// An engine whose limit is used up, that has asked for a pause, is leaving or is in an evacuated domain,
/// and when a request may come back.
#[derive(Debug)]
pub struct HeldBack {
    /// The engine.
    pub engine: Tag,
    /// The time after which a request may come back.
    pub retry_after: Duration,
}

/// Obtains the permits for the requests to the prefill engine and to the decode engine of a pair.
pub async fn acquire_permits(
    entry: &Entry,
    lease: &Lease,
    team: Tag,
) -> Result<[Permit; 2], HeldBack> {
    let terms = Terms { team, priority: 0, patience: PERMIT_PATIENCE };
    let acquire = async |engine| {
        let retry_after = match entry.standing(engine) {
            Standing::Paused(until) => Some(candidates::retry_after(until, Instant::now())),
            Standing::Leaving | Standing::Evacuated => Some(Duration::ZERO),
            Standing::Available | Standing::Discouraged => None,
        };
        if let Some(retry_after) = retry_after {
            return Err(HeldBack { engine, retry_after });
        }
        let acquired = permit::acquire(entry, (engine, 0), terms).await;
        acquired.map_err(|retry_after| HeldBack { engine, retry_after })
    };
    let decode = acquire(lease.pair.decode).await?;
    Ok([acquire(lease.pair.prefill).await?, decode])
}
