//! Selects the next request to serve and its pair of engines.

use super::engine::Engine;
use super::lease::{Lease, grant_decision};
use super::message::{Decision, Demand, Phase};
use super::queue::Entry;
use super::{MAX_PREFILL_WAIT_SECONDS, MIN_RETRY_AFTER, Scheduler, TRANSFER_ESTIMATE};
use crate::prelude::*;
use crate::route::Pair;

impl Scheduler {
    /// Grants pairs in queue order while engines have room.
    pub(super) fn grant_ready(&mut self, decisions: &mut Vec<Decision>, now: Instant) {
        let mut skipped = Vec::new();
        while let Some(entry) = self.queue.first() {
            let request = entry.demand.request;
            if self.free_fraction() <= self.reserved_fraction(entry, now) {
                break;
            }
            let Some(pair) = self.choose_pair(&entry.demand, now) else {
                // A suspect may have to wait for engines without another suspect of the same
                // crash; it must not block the requests behind it.
                if entry.demand.suspect.is_none() {
                    break;
                }
                skipped.extend(self.queue.remove(request));
                continue;
            };
            let entry = self.queue.serve(request).expect("the first entry is in the queue");
            self.throughput.record_grant(entry.demand.cost());
            decisions.push(self.reserve(&entry, pair, now));
        }
        skipped.into_iter().for_each(|entry| self.queue.push(entry));
    }

    /// The free fraction of the decode slots.
    fn free_fraction(&self) -> f64 {
        let decodes = || self.engines.values().filter(|e| e.is_decode() && !e.leaving);
        let free: u32 = decodes().map(Engine::free_slots).sum();
        let all: u32 = decodes().map(Engine::slot_limit).sum();
        f64::from(free) / f64::from(all.max(1))
    }

    /// The free fraction of the decode slots that must be exceeded for this demand to be served.
    ///
    /// Without this reserve an on-time request has to wait until a slot is released, and a long
    /// prompt then misses its first-token target.
    fn reserved_fraction(&self, entry: &Entry, now: Instant) -> f64 {
        let is_last_call = entry.patience_end <= now + self.rules.last_call;
        if entry.is_late && !is_last_call { self.rules.late_reserve } else { 0.0 }
    }

    /// Chooses the decode engine with the most free slots, and the prefill engine with the
    /// earliest predicted end of the prompt.
    fn choose_pair(&self, demand: &Demand, now: Instant) -> Option<Pair> {
        let usable =
            |tag: &Tag, engine: &Engine| engine.is_usable(now) && !demand.avoid.contains(tag);
        let is_apart =
            |engine: &Engine| demand.suspect.is_none_or(|s| !engine.suspects.contains(&s));
        let (decode, _) = self
            .engines
            .iter()
            .filter(|(tag, engine)| engine.is_decode() && usable(tag, engine) && is_apart(engine))
            .filter(|(_, engine)| {
                engine.free_slots() > 0 && engine.free_pieces() >= demand.pieces()
            })
            .max_by_key(|(tag, engine)| (engine.free_slots(), engine.free_pieces(), **tag))?;
        let (prefill, _) = self
            .engines
            .iter()
            .filter(|(tag, engine)| engine.is_prefill() && usable(tag, engine) && is_apart(engine))
            .filter(|(_, engine)| engine.prefill_wait() <= MAX_PREFILL_WAIT_SECONDS)
            .min_by(|(_, a), (_, b)| {
                let finish = |engine: &Engine| engine.prefill_wait() + engine.prefill_time(demand);
                finish(a).total_cmp(&finish(b))
            })?;
        Some(Pair { prefill: *prefill, decode: *decode })
    }

    /// Reserves the pair and records its lease.
    fn reserve(&mut self, entry: &Entry, pair: Pair, now: Instant) -> Decision {
        let demand = &entry.demand;
        let prefill = self.engines.get_mut(&pair.prefill).expect("the engine was just chosen");
        let cached_tokens = prefill.cached_tokens(demand);
        let prefill_tokens = f64::from(demand.prompt_tokens - cached_tokens);
        prefill.backlog += prefill_tokens;
        prefill.record_blocks(demand, now);
        let decode = self.engines.get_mut(&pair.decode).expect("the engine was just chosen");
        decode.running += 1;
        decode.used_pieces += demand.pieces();
        decode.suspects.extend(demand.suspect);
        let lease = Lease {
            team: demand.team,
            pair,
            pieces: demand.pieces(),
            prefill_tokens,
            phase: Phase::Prefill,
            granted: now,
            claimed: now,
            suspect: demand.suspect,
            cached_tokens,
            waited: now.saturating_duration_since(entry.enqueued),
            is_late: entry.is_late,
        };
        let decision = grant_decision(demand.request, &lease);
        self.leases.insert(demand.request, lease);
        decision
    }

    /// Predicted time to the first token on idle engines: prefill, transfer and one decode step.
    pub(super) fn service_time(&self, demand: &Demand) -> Duration {
        let prefills = self.engines.values().filter(|engine| engine.is_prefill());
        let best = prefills.map(|engine| engine.prefill_time(demand)).fold(f64::INFINITY, f64::min);
        let prefill = Duration::try_from_secs_f64(best).unwrap_or(Duration::ZERO);
        prefill + TRANSFER_ESTIMATE
    }

    /// Predicted wait behind the demands ahead at recent throughput; zero while it is unknown.
    pub(super) fn predicted_wait(&self, demand: &Demand, is_late: bool) -> Duration {
        let Some(rate) = self.throughput.rate().filter(|_| !self.queue.is_empty()) else {
            return Duration::ZERO;
        };
        let ahead = self.queue.cost_ahead(demand.team, demand.weight, demand.cost(), is_late);
        Duration::try_from_secs_f64(ahead / rate).unwrap_or(Duration::MAX)
    }

    /// A refusal whose `retry_after` grows with the predicted wait.
    pub(super) fn refusal(&self, demand: &Demand, kind: Kind) -> Decision {
        let wait = self.predicted_wait(demand, true);
        let retry_after = wait.saturating_sub(demand.patience / 2).max(MIN_RETRY_AFTER);
        Decision::Refuse { request: demand.request, team: demand.team, kind, retry_after }
    }
}
