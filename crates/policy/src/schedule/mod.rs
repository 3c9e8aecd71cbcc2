//! The scheduler of one service in one domain.
//!
//! A prefill starts only after its decode slot and memory are reserved, because
//! nothing else prevents wasted prefill work near capacity. Grants are leases
//! that entry hosts renew. Safety never depends on the scheduler, so it needs no
//! lease of its own. See [docs/DESIGN.md](../../../../docs/DESIGN.md#scheduling).

use std::collections::{BTreeMap, HashMap};

pub mod engine;
mod granting;
mod lease;
pub mod message;
pub mod queue;
pub mod rules;
pub mod throughput;

use engine::{Engine, Load};
pub use lease::Renewal;
use lease::{Lease, grant_decision};
use message::{Claim, Decision, Demand, Phase, Release};
use queue::{Entry, Queue};
pub use rules::Rules;
use throughput::Throughput;

use crate::prelude::*;
use crate::route::Pair;
use crate::sheet::Role;

/// Time after its last claim at which a lease or a queue entry expires.
pub const CLAIM_TTL: Duration = Duration::from_secs(1);
/// Interval between two scans for expired leases.
const EXPIRY_INTERVAL: Duration = Duration::from_millis(100);
/// Time for which a new scheduler only collects claims on leases before it makes grants.
pub const ADOPTION_TIME: Duration = Duration::from_millis(400);
/// The longest predicted wait in a prefill engine's backlog at which it is granted a prompt.
const MAX_PREFILL_WAIT_SECONDS: f64 = 0.25;
/// Time that first-token predictions assume for the cache transfer and the first decode step.
const TRANSFER_ESTIMATE: Duration = Duration::from_millis(60);
/// The shortest `retry_after` of a refusal.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(100);

/// Assigns pairs of engines to the requests of one service in one domain.
#[derive(Debug, Clone)]
pub struct Scheduler {
    rules: Rules,
    engines: BTreeMap<Tag, Engine>,
    queue: Queue,
    leases: HashMap<Request, Lease>,
    started_at: Instant,
    throughput: Throughput,
    next_expiry: Instant,
}

impl Scheduler {
    /// Creates a scheduler that collects claims for [`ADOPTION_TIME`] before its first grant.
    pub fn new(rules: Rules, now: Instant) -> Self {
        Self {
            rules,
            engines: BTreeMap::new(),
            queue: Queue::new(rules.burst_credit),
            leases: HashMap::new(),
            started_at: now,
            throughput: Throughput::new(now),
            next_expiry: now,
        }
    }

    /// Replaces the list of engines.
    ///
    /// An engine no longer listed gets no new grants and is dropped when no lease uses its slots.
    pub fn set_engines(&mut self, listed: &[(Tag, Role)], now: Instant) {
        for (tag, role) in listed {
            let engine = self.engines.entry(*tag).or_insert_with(|| Engine::new(*role, now));
            engine.role = *role;
        }
        self.engines.retain(|tag, engine| {
            engine.leaving |= !listed.iter().any(|(known, _)| known == tag);
            !engine.leaving || engine.running > 0 || listed.iter().any(|(known, _)| known == tag)
        });
    }

    /// Applies an engine's load report; reports of unknown engines are ignored.
    pub fn update_load(&mut self, engine: Tag, load: &Load) {
        if let Some(engine) = self.engines.get_mut(&engine) {
            engine.update_load(load);
        }
    }

    /// Excludes an engine that did not respond to a load query until its next report.
    pub fn mark_unreachable(&mut self, engine: Tag) {
        if let Some(engine) = self.engines.get_mut(&engine) {
            engine.mark_unreachable();
        }
    }

    /// Queues a request, or returns the decision if it can be made at once.
    ///
    /// A request that already holds a lease is sent its grant again; one whose predicted wait is
    /// too long, or that no engine can run, is redirected or refused.
    ///
    /// `other_domain` is the one with the most headroom, or `None` if no other domain has any.
    pub fn enqueue(
        &mut self,
        demand: Demand,
        other_domain: Option<Tag>,
        now: Instant,
    ) -> Option<Decision> {
        debug_assert!(now >= self.started_at, "time does not run backwards");
        let request = demand.request;
        if let Some(lease) = self.leases.get(&request) {
            return Some(grant_decision(request, lease));
        }
        if let Some(entry) = self.queue.get_mut(request) {
            entry.claimed_at = now;
            return None;
        }
        let usable = self
            .engines
            .iter()
            .filter(|(tag, engine)| !engine.leaving && !demand.avoid.contains(tag))
            .map(|(_, engine)| engine);
        let fits = |engine: &Engine| engine.has_capacity_for(demand.pieces());
        let can_decode = usable.clone().any(|engine| engine.is_decode() && fits(engine));
        let can_prefill = usable.clone().any(Engine::is_prefill);
        let redirect = other_domain.filter(|_| !demand.redirected);
        if !can_decode || !can_prefill {
            return Some(redirect.map_or_else(
                || self.refusal(&demand, Kind::NoUpstream),
                |domain| Decision::Redirect { request, domain },
            ));
        }
        let service = self.service_time(&demand);
        let predicted = self.predicted_wait(&demand, false) + service;
        if let Some(domain) = redirect.filter(|_| predicted > demand.due_in) {
            return Some(Decision::Redirect { request, domain });
        }
        if self.predicted_wait(&demand, true) > demand.patience {
            return Some(self.refusal(&demand, Kind::Overloaded));
        }
        let due = now + demand.due_in;
        let entry = Entry {
            enqueued_at: now,
            due: if self.rules.fair_queue { due } else { now },
            latest_start: due.checked_sub(service).unwrap_or(now),
            patience_end: now + demand.patience,
            claimed_at: now,
            is_late: self.rules.late_lane && service > demand.due_in,
            demand: self.apply_rules(demand),
        };
        self.queue.push(entry);
        None
    }

    /// Renews the leases and queue entries that a host claims, and adopts unknown leases.
    pub fn renew(&mut self, claims: &[Claim], now: Instant) -> Renewal {
        let mut renewal = Renewal::default();
        for claim in claims {
            if let Some(entry) = self.queue.get_mut(claim.request) {
                entry.claimed_at = now;
                continue;
            }
            self.renew_lease(claim, &mut renewal, now);
        }
        renewal
    }

    /// Ends a request's lease or removes it from the queue.
    pub fn release(&mut self, release: Release, now: Instant) {
        debug_assert!(
            self.leases.get(&release.request).is_none_or(|lease| now >= lease.granted_at),
            "a lease ends after it was granted"
        );
        self.queue.remove(release.request);
        self.end_lease(release.request);
        if let Some(engine) = release.failed.and_then(|tag| self.engines.get_mut(&tag)) {
            engine.record_failure(now);
        }
    }

    /// Clears the requests suspected of this upstream's crash once its cause was found.
    pub fn clear_suspicion(&mut self, upstream: Tag) {
        self.queue.clear_suspicion(upstream);
        self.engines.values_mut().for_each(|e| e.suspects.retain(|s| *s != upstream));
        self.leases.values_mut().for_each(|lease| {
            lease.suspect = lease.suspect.filter(|suspect| *suspect != upstream);
        });
    }

    /// Advances to `now` and returns the grants, refusals and cancellations that are due.
    pub fn tick(&mut self, now: Instant) -> Vec<Decision> {
        debug_assert!(now >= self.started_at, "time does not run backwards");
        let mut decisions = self.expire_unclaimed(now);
        self.throughput.advance(!self.queue.is_empty(), now);
        while let Some(entry) = self.queue.pop_timed_out(now) {
            decisions.push(self.refusal(&entry.demand, Kind::Overloaded));
        }
        if self.rules.late_lane {
            self.queue.demote_late(now);
        }
        if now.saturating_duration_since(self.started_at) >= ADOPTION_TIME {
            self.grant_ready(&mut decisions, now);
        }
        decisions
    }

    /// Free decode slots minus queued requests; negative when more requests wait than fit.
    pub fn headroom(&self) -> i32 {
        let free: u32 = self
            .engines
            .values()
            .filter(|engine| engine.is_decode() && !engine.leaving)
            .map(Engine::free_slots)
            .sum();
        free as i32 - self.queue.len() as i32
    }

    /// The number of queued requests.
    pub fn queued(&self) -> usize {
        self.queue.len()
    }

    /// The requests that hold a lease, in no particular order.
    pub fn leased(&self) -> impl Iterator<Item = Request> {
        self.leases.keys().copied()
    }

    /// Whether a host claims a request that runs on an engine.
    ///
    /// For twice [`CLAIM_TTL`] after the scheduler started every request counts as claimed,
    /// because its host may not have sent the claim yet.
    pub fn is_claimed(&self, request: Request, now: Instant) -> bool {
        let is_collecting = now.saturating_duration_since(self.started_at) < CLAIM_TTL * 2;
        is_collecting || self.leases.contains_key(&request)
    }

    /// Removes from a demand what the disabled rules would use.
    fn apply_rules(&self, mut demand: Demand) -> Demand {
        if !self.rules.fair_queue {
            demand.team = Tag(0);
        }
        if !self.rules.prefix_affinity {
            demand.blocks.clear();
        }
        demand
    }

    fn renew_lease(&mut self, claim: &Claim, renewal: &mut Renewal, now: Instant) {
        if !self.leases.contains_key(&claim.request) {
            match claim.pair {
                Some(pair) => self.adopt(claim, pair, now),
                None => renewal.unknown.push(claim.request),
            }
            return;
        }
        let lease = self.leases.get_mut(&claim.request).expect("the lease was just seen");
        lease.claimed_at = now;
        if claim.phase == Phase::Waiting {
            renewal.resent.push(grant_decision(claim.request, lease));
            return;
        }
        if lease.phase == Phase::Prefill && claim.phase == Phase::Decode {
            lease.phase = Phase::Decode;
            let (tokens, granted_at, pair) = (lease.prefill_tokens, lease.granted_at, lease.pair);
            if let Some(engine) = self.engines.get_mut(&pair.prefill) {
                engine.finish_prefill(tokens, granted_at, now);
            }
        }
        let gap = Duration::from_micros(u64::from(claim.gap_micros));
        if self.rules.batch_limit && !gap.is_zero() {
            let decode = claim.pair.and_then(|pair| self.engines.get_mut(&pair.decode));
            if let Some(engine) = decode {
                engine.observe_gap(gap, now);
            }
        }
    }

    /// Adopts a lease that an earlier scheduler granted, or that its host granted without one.
    fn adopt(&mut self, claim: &Claim, pair: Pair, now: Instant) {
        if let Some(engine) = self.engines.get_mut(&pair.decode) {
            engine.running += 1;
            engine.used_pieces += claim.pieces;
        }
        let lease = Lease {
            team: Tag(0),
            pair,
            pieces: claim.pieces,
            prefill_tokens: 0.0,
            phase: claim.phase,
            granted_at: now,
            claimed_at: now,
            suspect: None,
            cached_tokens: 0,
            waited: Duration::ZERO,
            is_late: false,
        };
        self.leases.insert(claim.request, lease);
    }

    fn end_lease(&mut self, request: Request) -> Option<Lease> {
        let lease = self.leases.remove(&request)?;
        if let Some(engine) = self.engines.get_mut(&lease.pair.decode) {
            engine.running = engine.running.saturating_sub(1);
            engine.used_pieces = engine.used_pieces.saturating_sub(lease.pieces);
            if let Some(at) = engine.suspects.iter().position(|s| Some(*s) == lease.suspect) {
                engine.suspects.swap_remove(at);
            }
        }
        let prefill = self.engines.get_mut(&lease.pair.prefill);
        if let Some(engine) = prefill.filter(|_| lease.phase == Phase::Prefill) {
            engine.backlog = (engine.backlog - lease.prefill_tokens).max(0.0);
        }
        Some(lease)
    }

    /// Cancels leases and drops queue entries whose last claim is older than [`CLAIM_TTL`].
    fn expire_unclaimed(&mut self, now: Instant) -> Vec<Decision> {
        if now < self.next_expiry {
            return Vec::new();
        }
        self.next_expiry = now + EXPIRY_INTERVAL;
        let Some(limit) = now.checked_sub(CLAIM_TTL) else {
            return Vec::new();
        };
        self.queue.remove_unclaimed(limit);
        let expired = self.leases.iter().filter(|(_, lease)| lease.claimed_at < limit);
        let expired: Vec<Request> = expired.map(|(request, _)| *request).collect();
        let cancelled = expired.into_iter().filter_map(|request| {
            let lease = self.end_lease(request)?;
            Some(Decision::Cancel { request, pair: lease.pair })
        });
        cancelled.collect()
    }
}
