//! A scheduler's model of one engine.

use std::collections::HashMap;

use super::message::{BLOCK_TOKENS, Demand};
use crate::prelude::*;
use crate::sheet::Role;

/// Target of the 95th percentile of the time between tokens on decode engines.
pub const GAP_TARGET: Duration = Duration::from_millis(54);
/// Fraction of [`GAP_TARGET`] above which an engine's batch limit is lowered.
const GAP_HIGH_FRACTION: f64 = 0.97;
/// Fraction of [`GAP_TARGET`] below which an engine's batch limit is raised.
const GAP_LOW_FRACTION: f64 = 0.90;
/// Shortest time between two changes of an engine's batch limit.
const LIMIT_INTERVAL: Duration = Duration::from_millis(500);
/// Weight of a new sample in the exponential moving averages.
const SAMPLE_WEIGHT: f64 = 0.1;
/// Prefill rate, in tokens per second, that is assumed before the first prompt has run.
const INITIAL_PREFILL_RATE: f64 = 10_000.0;
/// Decode slots assumed before the first report.
const INITIAL_SLOTS: u32 = 20;
/// Memory pieces assumed before the first report.
const INITIAL_PIECES: u32 = 200;
/// Maximum number of cached blocks tracked per engine.
const MAX_CACHED_BLOCKS: usize = 8_192;
/// Time for which an engine gets no grants after it failed a request.
const FAILURE_BACKOFF: Duration = Duration::from_secs(1);

plain! { data
    /// An engine's load report, which is already out of date when it arrives.
    #[derive(Default)]
    pub struct Load {
        /// Requests that are decoding.
        pub running: u32,
        /// Decode slots in total; 0 if the engine did not report them.
        pub slots: u32,
        /// Memory pieces in use.
        pub used_pieces: u32,
        /// Memory pieces in total; 0 if the engine did not report them.
        pub pieces: u32,
        /// Prompt tokens queued or running.
        pub queued_tokens: u64,
        /// Whether the engine is shutting down and accepts no new requests.
        pub leaving: bool,
    }
}

/// The state of one engine as the scheduler knows it.
#[derive(Debug, Clone)]
pub struct Engine {
    /// The phases that the engine runs.
    pub role: Role,
    /// Whether the engine is shutting down or no longer listed, and gets no new grants.
    pub leaving: bool,
    /// Decode slots held by this scheduler's leases.
    pub running: u32,
    /// Memory pieces held by this scheduler's leases.
    pub used_pieces: u32,
    /// Uncached prompt tokens that were granted and have not run yet.
    pub backlog: f64,
    /// The crashed upstreams of the suspect requests that run here, one entry per request.
    pub suspects: Vec<Tag>,
    slots: u32,
    pieces: u32,
    /// The batch limit, in decode slots.
    limit: u32,
    /// Requests that run here without a lease of this scheduler.
    unmanaged: u32,
    /// Moving average of the time between tokens, in seconds; 0 before the first sample.
    gap: f64,
    limit_changed_at: Instant,
    /// Moving average of the prefill rate, in tokens per second.
    prefill_rate: f64,
    last_prefill_end: Instant,
    backoff_until: Instant,
    /// Whether no query or request has failed since the last report.
    is_reachable: bool,
    /// Hashes of the blocks expected in the prefix cache, with the time of their last use.
    cached: HashMap<u32, Instant>,
}

impl Engine {
    /// Creates an engine with the assumed capacity, before any report.
    pub fn new(role: Role, now: Instant) -> Self {
        Self {
            role,
            leaving: false,
            running: 0,
            used_pieces: 0,
            backlog: 0.0,
            suspects: Vec::new(),
            slots: INITIAL_SLOTS,
            pieces: INITIAL_PIECES,
            limit: INITIAL_SLOTS,
            unmanaged: 0,
            gap: 0.0,
            limit_changed_at: now,
            prefill_rate: INITIAL_PREFILL_RATE,
            last_prefill_end: now,
            backoff_until: now,
            is_reachable: true,
            cached: HashMap::new(),
        }
    }

    /// Applies a load report; what this scheduler granted is counted by its own leases.
    ///
    /// Running requests beyond those leases were placed by hosts without the scheduler. Half of
    /// the first such excess is counted, because the report may have crossed with a release.
    pub fn update_load(&mut self, load: &Load) {
        let excess = load.running.saturating_sub(self.running);
        self.unmanaged = if self.unmanaged == 0 { excess / 2 } else { excess };
        self.leaving = load.leaving;
        self.is_reachable = true;
        if load.slots > 0 && load.slots != self.slots {
            self.slots = load.slots;
            self.limit = load.slots;
        }
        if load.pieces > 0 {
            self.pieces = load.pieces;
        }
    }

    /// Whether the engine may get new grants now.
    pub fn is_usable(&self, now: Instant) -> bool {
        !self.leaving && self.is_reachable && now >= self.backoff_until
    }

    /// Whether the engine runs prompts.
    pub const fn is_prefill(&self) -> bool {
        matches!(self.role, Role::Prefill | Role::Both)
    }

    /// Whether the engine generates tokens.
    pub const fn is_decode(&self) -> bool {
        matches!(self.role, Role::Decode | Role::Both)
    }

    /// Decode slots that the batch limit allows.
    pub fn slot_limit(&self) -> u32 {
        self.limit.min(self.slots)
    }

    /// Free decode slots within the batch limit.
    pub fn free_slots(&self) -> u32 {
        self.slot_limit().saturating_sub(self.running + self.unmanaged)
    }

    /// Memory pieces that no lease holds.
    pub const fn free_pieces(&self) -> u32 {
        self.pieces.saturating_sub(self.used_pieces)
    }

    /// Whether a request of this size fits into the engine's memory when it is empty.
    pub const fn has_capacity_for(&self, pieces: u32) -> bool {
        pieces <= self.pieces
    }

    /// Predicted seconds until the engine has run its granted prompts.
    pub fn prefill_wait(&self) -> f64 {
        self.backlog / self.prefill_rate
    }

    /// Predicted seconds to run the uncached part of the prompt.
    pub fn prefill_time(&self, demand: &Demand) -> f64 {
        f64::from(demand.prompt_tokens - self.cached_tokens(demand)) / self.prefill_rate
    }

    /// Leading prompt tokens expected in the engine's prefix cache.
    pub fn cached_tokens(&self, demand: &Demand) -> u32 {
        let blocks = demand.blocks.iter().take_while(|block| self.cached.contains_key(block));
        (blocks.count() as u32 * BLOCK_TOKENS).min(demand.prompt_tokens)
    }

    /// Records that the prompt's blocks will be in the prefix cache.
    pub fn record_blocks(&mut self, demand: &Demand, now: Instant) {
        for block in &demand.blocks {
            self.cached.insert(*block, now);
        }
        if self.cached.len() > MAX_CACHED_BLOCKS {
            self.evict_oldest_blocks();
        }
    }

    /// Evicts the older half of the blocks, so that the amortized cost of the bound is low.
    fn evict_oldest_blocks(&mut self) {
        let mut times: Vec<Instant> = self.cached.values().copied().collect();
        let middle = times.len() / 2;
        let (_, median, _) = times.select_nth_unstable(middle);
        let median = *median;
        self.cached.retain(|_, at| *at > median);
    }

    /// Drops all tracked cache blocks, for use after a gap in the engine's cache events.
    pub fn clear_cache(&mut self) {
        self.cached.clear();
    }

    /// Records the end of a prompt of `tokens` uncached tokens that was granted at `granted_at`.
    pub fn finish_prefill(&mut self, tokens: f64, granted_at: Instant, now: Instant) {
        self.backlog = (self.backlog - tokens).max(0.0);
        let busy =
            now.saturating_duration_since(self.last_prefill_end.max(granted_at)).as_secs_f64();
        self.last_prefill_end = now;
        if busy > 0.0 && tokens >= f64::from(BLOCK_TOKENS) {
            let sample = tokens / busy;
            self.prefill_rate += SAMPLE_WEIGHT * (sample - self.prefill_rate);
        }
    }

    /// Adjusts the batch limit to a new sample of the time between tokens.
    pub fn observe_gap(&mut self, gap: Duration, now: Instant) {
        let gap = gap.as_secs_f64();
        self.gap = if self.gap == 0.0 { gap } else { self.gap + SAMPLE_WEIGHT * (gap - self.gap) };
        if now.saturating_duration_since(self.limit_changed_at) < LIMIT_INTERVAL {
            return;
        }
        let target = GAP_TARGET.as_secs_f64();
        if self.gap > target * GAP_HIGH_FRACTION && self.limit > 1 {
            self.limit = self.limit.min(self.running.max(2)) - 1;
            self.limit_changed_at = now;
        } else if self.gap < target * GAP_LOW_FRACTION && self.limit < self.slots {
            self.limit += 1;
            self.limit_changed_at = now;
        }
    }

    /// Excludes the engine from grants until its next report.
    pub const fn mark_unreachable(&mut self) {
        self.is_reachable = false;
    }

    /// Excludes the engine after a failed request, for `FAILURE_BACKOFF` and until its next
    /// report.
    pub fn record_failure(&mut self, now: Instant) {
        self.is_reachable = false;
        self.backoff_until = now + FAILURE_BACKOFF;
        self.clear_cache();
    }
}
