//! Which upstream a routed request is sent to.
//!
//! Answers the pattern of many hosts that each see only a part of the traffic:
//! the load of an upstream is what this host has under way there plus what its
//! peers last said of theirs, and a reservation at the engine itself decides in
//! the end. Of upstreams with equal load the own domain's is taken, then one at
//! random, so that hosts do not all turn to the same.
//!
//! What peers said is old by the time of some heartbeats. Where no reservation
//! corrects it, the better of two upstreams drawn at random is taken: the least
//! loaded of all would get the work of every host until the next heartbeats.

use std::collections::HashMap;

use rand::RngExt;

use crate::prelude::*;
use crate::registry::Entry;

plain! { value
    /// Work under way at an upstream.
    #[derive(Default, Eq)]
    pub struct Load {
        /// Requests or streams.
        pub requests: u32,
        /// Tokens of memory that they hold or have reserved.
        pub memory_tokens: u32,
        /// Prompt tokens that wait for their prefill or are in it.
        pub prefill_tokens: u32,
    }
}

impl Load {
    /// Adds further work.
    pub const fn add(&mut self, other: Self) {
        self.requests += other.requests;
        self.memory_tokens += other.memory_tokens;
        self.prefill_tokens += other.prefill_tokens;
    }

    /// Takes work away that has ended.
    pub const fn remove(&mut self, other: Self) {
        self.requests = self.requests.saturating_sub(other.requests);
        self.memory_tokens = self.memory_tokens.saturating_sub(other.memory_tokens);
        self.prefill_tokens = self.prefill_tokens.saturating_sub(other.prefill_tokens);
    }

    /// Whether there is no work.
    pub const fn is_empty(&self) -> bool {
        self.requests == 0 && self.memory_tokens == 0 && self.prefill_tokens == 0
    }
}

/// The load of all upstreams as one host knows it.
pub type Loads = HashMap<Tag, Load>;

/// Orders upstreams by what `weigh` says of their load, the best first.
fn rank_by_load<'a>(
    candidates: impl Iterator<Item = &'a Entry>,
    loads: &Loads,
    domain: Tag,
    rng: &mut impl rand::Rng,
    weigh: impl Fn(&Load, &Entry) -> u64,
) -> Vec<&'a Entry> {
    let mut ranked: Vec<_> = candidates
        .map(|entry| {
            let load = loads.get(&entry.tag).copied().unwrap_or_default();
            let draw: u32 = rng.random();
            ((weigh(&load, entry), entry.domain != domain, draw), entry)
        })
        .collect();
    ranked.sort_by_key(|(rank, _)| *rank);
    ranked.into_iter().map(|(_, entry)| entry).collect()
}

/// Puts the better of two upstreams drawn at random before the others.
fn promote_better_of_two<'a>(
    mut ranked: Vec<&'a Entry>,
    rng: &mut impl rand::Rng,
) -> Vec<&'a Entry> {
    if ranked.len() > 2 {
        let one = rng.random_range(0..ranked.len());
        let other = rng.random_range(0..ranked.len() - 1);
        let better = one.min(if other < one { other } else { other + 1 });
        ranked[..=better].rotate_right(1);
    }
    ranked
}

/// Decode engines in the order in which to ask them for a reservation.
pub fn rank_decode<'a>(
    candidates: impl Iterator<Item = &'a Entry>,
    loads: &Loads,
    domain: Tag,
    rng: &mut impl rand::Rng,
) -> Vec<&'a Entry> {
    rank_by_load(candidates, loads, domain, rng, |load, _| u64::from(load.memory_tokens))
}

/// How many of the first `most` engines to ask for `memory` tokens: those that seem to have
/// room, or else only the first, for what is known of others' work lags.
pub fn reservation_fanout(
    ranked: &[Entry],
    loads: &Loads,
    memory: u32,
    capacity: u32,
    most: usize,
) -> usize {
    let has_room = |entry: &&Entry| {
        let used = loads.get(&entry.tag).map_or(0, |load| load.memory_tokens);
        used.saturating_add(memory) <= capacity
    };
    ranked.iter().take(most).filter(has_room).count().max(1)
}

/// Prefill engines, of two the one with the least prompt tokens ahead first.
pub fn rank_prefill<'a>(
    candidates: impl Iterator<Item = &'a Entry>,
    loads: &Loads,
    domain: Tag,
    rng: &mut impl rand::Rng,
) -> Vec<&'a Entry> {
    let ranked =
        rank_by_load(candidates, loads, domain, rng, |load, _| u64::from(load.prefill_tokens));
    promote_better_of_two(ranked, rng)
}

/// Plain upstreams, of two the one with the least requests for its slots first.
pub fn rank_plain<'a>(
    candidates: impl Iterator<Item = &'a Entry>,
    loads: &Loads,
    domain: Tag,
    rng: &mut impl rand::Rng,
) -> Vec<&'a Entry> {
    let ranked = rank_by_load(candidates, loads, domain, rng, |load, entry| {
        u64::from(load.requests) * 1_000 / u64::from(entry.slots.max(1))
    });
    promote_better_of_two(ranked, rng)
}
