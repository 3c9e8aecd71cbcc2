//! Which request gets which pair of engines, and when.

use super::engine::Engine;
use super::lease::{Lease, grant};
use super::message::{Decision, Demand, Phase};
use super::queue::Entry;
use super::{MAX_PREFILL_WAIT_SECONDS, MIN_RETRY_AFTER, Scheduler, TRANSFER_ESTIMATE};
use crate::prelude::*;
use crate::route::Pair;

impl Scheduler {
    pub(super) fn grant_ready(&mut self, decisions: &mut Vec<Decision>, now: Instant) {
        let mut passed = Vec::new();
        while let Some(entry) = self.queue.first() {
            let request = entry.demand.request;
            if self.free_part() <= self.part_kept_free(entry, now) {
                break;
            }
            let Some(pair) = self.choose(&entry.demand, now) else {
                // A suspect may wait for an engine of its own; others need not wait with it.
                if entry.demand.suspect.is_none() {
                    break;
                }
                passed.extend(self.queue.remove(request));
                continue;
            };
            let entry = self.queue.serve(request).expect("the first entry is in the queue");
            self.throughput.serve(entry.demand.cost());
            decisions.push(self.reserve(&entry, pair, now));
        }
        passed.into_iter().for_each(|entry| self.queue.push(entry));
    }

    /// The part of the decode slots that is free.
    fn free_part(&self) -> f64 {
        let decodes = || self.engines.values().filter(|e| e.is_decode() && !e.leaving);
        let free: u32 = decodes().map(Engine::free_slots).sum();
        let all: u32 = decodes().map(Engine::slot_limit).sum();
        f64::from(free) / f64::from(all.max(1))
    }

    /// The part of the decode slots that must be more than free before this demand is served.
    ///
    /// Without a reserve a request that is on time waits for the next slot to be
    /// released, and a long prompt then misses its target.
    fn part_kept_free(&self, entry: &Entry, now: Instant) -> f64 {
        let is_last_call = entry.patience_end <= now + self.rules.last_call;
        if entry.is_late && !is_last_call { self.rules.late_reserve } else { 0.0 }
    }

    /// The pair with a decode slot and memory free and the least predicted prefill finish.
    fn choose(&self, demand: &Demand, now: Instant) -> Option<Pair> {
        let usable =
            |tag: &Tag, engine: &Engine| engine.is_usable(now) && !demand.avoid.contains(tag);
        let clear = |engine: &Engine| demand.suspect.is_none_or(|s| !engine.suspects.contains(&s));
        let (decode, _) = self
            .engines
            .iter()
            .filter(|(tag, engine)| engine.is_decode() && usable(tag, engine) && clear(engine))
            .filter(|(_, engine)| {
                engine.free_slots() > 0 && engine.free_pieces() >= demand.pieces()
            })
            .max_by_key(|(tag, engine)| (engine.free_slots(), engine.free_pieces(), **tag))?;
        let (prefill, _) = self
            .engines
            .iter()
            .filter(|(tag, engine)| engine.is_prefill() && usable(tag, engine) && clear(engine))
            .filter(|(_, engine)| engine.prefill_wait() <= MAX_PREFILL_WAIT_SECONDS)
            .min_by(|(_, a), (_, b)| {
                let finish = |engine: &Engine| engine.prefill_wait() + engine.prefill_time(demand);
                finish(a).total_cmp(&finish(b))
            })?;
        Some(Pair { prefill: *prefill, decode: *decode })
    }

    fn reserve(&mut self, entry: &Entry, pair: Pair, now: Instant) -> Decision {
        let demand = &entry.demand;
        let prefill = self.engines.get_mut(&pair.prefill).expect("the engine was just chosen");
        let cached_tokens = prefill.cached_tokens(demand);
        let prefill_tokens = f64::from(demand.prompt_tokens - cached_tokens);
        prefill.backlog += prefill_tokens;
        prefill.remember(demand, now);
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
            waited: now.saturating_duration_since(entry.since),
            is_late: entry.is_late,
        };
        let decision = grant(demand.request, &lease);
        self.leases.insert(demand.request, lease);
        decision
    }

    /// Prefill, transfer and the first token on an idle engine.
    pub(super) fn service_time(&self, demand: &Demand) -> Duration {
        let prefills = self.engines.values().filter(|engine| engine.is_prefill());
        let best = prefills.map(|engine| engine.prefill_time(demand)).fold(f64::INFINITY, f64::min);
        let prefill = Duration::try_from_secs_f64(best).unwrap_or(Duration::ZERO);
        prefill + TRANSFER_ESTIMATE
    }

    /// How long the queue ahead of the demand takes at the throughput of late.
    pub(super) fn predicted_wait(&self, demand: &Demand, late: bool) -> Duration {
        let Some(rate) = self.throughput.rate().filter(|_| !self.queue.is_empty()) else {
            return Duration::ZERO;
        };
        let ahead = self.queue.cost_ahead(demand.team, demand.weight, demand.cost(), late);
        Duration::try_from_secs_f64(ahead / rate).unwrap_or(Duration::MAX)
    }

    pub(super) fn refusal(&self, demand: &Demand, kind: Kind) -> Decision {
        let wait = self.predicted_wait(demand, true);
        let retry_after = wait.saturating_sub(demand.patience / 2).max(MIN_RETRY_AFTER);
        Decision::Refuse { request: demand.request, team: demand.team, kind, retry_after }
    }
}
