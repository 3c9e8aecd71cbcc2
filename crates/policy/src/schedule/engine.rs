//! What a scheduler knows of one engine.

use std::collections::HashMap;

use super::message::{BLOCK_TOKENS, Demand};
use crate::prelude::*;
use crate::sheet::Role;

/// The time between tokens that decode engines must keep for 95 in 100.
pub const GAP_TARGET: Duration = Duration::from_millis(54);
/// Above this part of the target an engine takes fewer requests.
const GAP_HIGH: f64 = 0.97;
/// Below this part of the target an engine may take more.
const GAP_LOW: f64 = 0.90;
/// The pause between two changes of an engine's batch limit.
const LIMIT_INTERVAL: Duration = Duration::from_millis(500);
/// The weight of a new sample in a moving average.
const SAMPLE_WEIGHT: f64 = 0.1;
/// Prompt tokens per second that an engine is taken to run until it was seen.
const INITIAL_PREFILL_RATE: f64 = 10_000.0;
/// Decode slots until the first report.
const INITIAL_SLOTS: u32 = 20;
/// Memory pieces until the first report.
const INITIAL_PIECES: u32 = 200;
/// Cached blocks remembered per engine.
const MAX_CACHED_BLOCKS: usize = 8_192;
/// How long an engine that failed a request is passed over.
const AVOID_AFTER_FAILURE: Duration = Duration::from_secs(1);

plain! { data
    /// What an engine says of its load, late.
    #[derive(Default)]
    pub struct Load {
        /// Requests that decode now.
        pub running: u32,
        /// Decode slots.
        pub slots: u32,
        /// Memory pieces in use.
        pub used_pieces: u32,
        /// Memory pieces.
        pub pieces: u32,
        /// Prompt tokens queued or running.
        pub queued_tokens: u64,
        /// Whether the engine is leaving and wants nothing new.
        pub leaving: bool,
    }
}

/// One engine of a scheduler.
#[derive(Debug, Clone)]
pub struct Engine {
    /// The phase it runs.
    pub role: Role,
    /// Whether it gets nothing new.
    pub leaving: bool,
    /// Requests that hold a decode slot by this scheduler's grants.
    pub running: u32,
    /// Memory pieces reserved by this scheduler's grants.
    pub used_pieces: u32,
    /// Prompt tokens granted and not yet run.
    pub backlog: f64,
    /// Crashes whose suspects run here.
    pub suspects: Vec<Tag>,
    slots: u32,
    pieces: u32,
    limit: u32,
    foreign: u32,
    gap: f64,
    limit_changed: Instant,
    prefill_rate: f64,
    prefill_mark: Instant,
    avoid_until: Instant,
    is_reachable: bool,
    cached: HashMap<u32, Instant>,
}

impl Engine {
    /// Makes an engine that nothing is known of.
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
            foreign: 0,
            gap: 0.0,
            limit_changed: now,
            prefill_rate: INITIAL_PREFILL_RATE,
            prefill_mark: now,
            avoid_until: now,
            is_reachable: true,
            cached: HashMap::new(),
        }
    }

    /// Takes in a report; own grants stay the truth for what they cover.
    ///
    /// Requests beyond the own grants were placed by hosts that decided alone.
    /// The lower of two reports counts, for one may have crossed with a release.
    pub fn update_load(&mut self, load: &Load) {
        let excess = load.running.saturating_sub(self.running);
        self.foreign = if self.foreign == 0 { excess / 2 } else { excess };
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

    /// Whether the engine may be given work for this phase.
    pub fn is_usable(&self, now: Instant) -> bool {
        !self.leaving && self.is_reachable && now >= self.avoid_until
    }

    /// Whether it runs prompts.
    pub const fn is_prefill(&self) -> bool {
        matches!(self.role, Role::Prefill | Role::Both)
    }

    /// Whether it generates tokens.
    pub const fn is_decode(&self) -> bool {
        matches!(self.role, Role::Decode | Role::Both)
    }

    /// Decode slots under the batch limit.
    pub fn slot_limit(&self) -> u32 {
        self.limit.min(self.slots)
    }

    /// Free decode slots under the batch limit.
    pub fn free_slots(&self) -> u32 {
        self.slot_limit().saturating_sub(self.running + self.foreign)
    }

    /// Free memory pieces.
    pub const fn free_pieces(&self) -> u32 {
        self.pieces.saturating_sub(self.used_pieces)
    }

    /// Whether a request of this size could ever fit.
    pub const fn could_hold(&self, pieces: u32) -> bool {
        pieces <= self.pieces
    }

    /// Seconds until the engine has run its granted prompts.
    pub fn prefill_wait(&self) -> f64 {
        self.backlog / self.prefill_rate
    }

    /// Seconds that the uncached part of the prompt takes.
    pub fn prefill_time(&self, demand: &Demand) -> f64 {
        f64::from(demand.prompt_tokens - self.cached_tokens(demand)) / self.prefill_rate
    }

    /// Leading prompt tokens that should be in the engine's prefix cache.
    pub fn cached_tokens(&self, demand: &Demand) -> u32 {
        let blocks = demand.blocks.iter().take_while(|block| self.cached.contains_key(block));
        (blocks.count() as u32 * BLOCK_TOKENS).min(demand.prompt_tokens)
    }

    /// Notes that the prompt's blocks will be in the cache.
    pub fn remember(&mut self, demand: &Demand, now: Instant) {
        for block in &demand.blocks {
            self.cached.insert(*block, now);
        }
        if self.cached.len() > MAX_CACHED_BLOCKS {
            self.forget_oldest();
        }
    }

    /// Drops the older half, so that the bound costs little on average.
    fn forget_oldest(&mut self) {
        let mut times: Vec<Instant> = self.cached.values().copied().collect();
        let middle = times.len() / 2;
        let (_, median, _) = times.select_nth_unstable(middle);
        let median = *median;
        self.cached.retain(|_, at| *at > median);
    }

    /// Drops everything known of the prefix cache, after gaps in its events.
    pub fn forget_cache(&mut self) {
        self.cached.clear();
    }

    /// Notes the end of a prompt of `tokens` that was granted at `granted`.
    pub fn finish_prefill(&mut self, tokens: f64, granted: Instant, now: Instant) {
        self.backlog = (self.backlog - tokens).max(0.0);
        let busy = now.saturating_duration_since(self.prefill_mark.max(granted)).as_secs_f64();
        self.prefill_mark = now;
        if busy > 0.0 && tokens >= f64::from(BLOCK_TOKENS) {
            let sample = tokens / busy;
            self.prefill_rate += SAMPLE_WEIGHT * (sample - self.prefill_rate);
        }
    }

    /// Learns from the time between tokens how many requests keep the target.
    pub fn observe_gap(&mut self, gap: Duration, now: Instant) {
        let gap = gap.as_secs_f64();
        self.gap = if self.gap == 0.0 { gap } else { self.gap + SAMPLE_WEIGHT * (gap - self.gap) };
        if now.saturating_duration_since(self.limit_changed) < LIMIT_INTERVAL {
            return;
        }
        let target = GAP_TARGET.as_secs_f64();
        if self.gap > target * GAP_HIGH && self.limit > 1 {
            self.limit = self.limit.min(self.running.max(2)) - 1;
            self.limit_changed = now;
        } else if self.gap < target * GAP_LOW && self.limit < self.slots {
            self.limit += 1;
            self.limit_changed = now;
        }
    }

    /// Passes the engine over until it reports again.
    pub const fn mark_unreachable(&mut self) {
        self.is_reachable = false;
    }

    /// Passes the engine over for a while after it failed a request, and until it reports again.
    pub fn fail(&mut self, now: Instant) {
        self.is_reachable = false;
        self.avoid_until = now + AVOID_AFTER_FAILURE;
        self.forget_cache();
    }
}
