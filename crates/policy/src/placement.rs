//! Ranks the upstreams to which a routed request may be sent.
//!
//! Each host sees only a fraction of the traffic. The load of an upstream is this
//! host's own work there plus the work that its peers last reported, and a
//! reservation at the engine itself makes the final decision. Among upstreams
//! with equal load, those of the host's own domain come first, then the order
//! is random, so that hosts do not all choose the same one.
//!
//! The peers' reports are some heartbeats old. Where no reservation corrects
//! them, the better of two upstreams drawn at random comes first: the least
//! loaded of all would get the work of every host until the next heartbeats.

use std::collections::HashMap;

use rand::RngExt;

use crate::prelude::*;
use crate::registry::Entry;
use crate::speed;

plain! { value
    /// Work in progress at an upstream.
    #[derive(Default, Eq)]
    pub struct Load {
        /// Requests in progress, streams included.
        pub requests: u32,
        /// Engine memory that they hold or have reserved, in tokens.
        pub memory_tokens: u32,
        /// Prompt tokens queued for prefill or being prefilled.
        pub prefill_tokens: u32,
    }
}

impl Load {
    /// Adds work that has started.
    pub const fn add(&mut self, other: Self) {
        self.requests += other.requests;
        self.memory_tokens += other.memory_tokens;
        self.prefill_tokens += other.prefill_tokens;
    }

    /// Subtracts work that has ended, down to zero.
    pub const fn remove(&mut self, other: Self) {
        self.requests = self.requests.saturating_sub(other.requests);
        self.memory_tokens = self.memory_tokens.saturating_sub(other.memory_tokens);
        self.prefill_tokens = self.prefill_tokens.saturating_sub(other.prefill_tokens);
    }

    /// Whether no work is in progress.
    pub const fn is_empty(&self) -> bool {
        self.requests == 0 && self.memory_tokens == 0 && self.prefill_tokens == 0
    }
}

/// The load of each upstream as one host knows it; an absent upstream has none.
pub type Loads = HashMap<Tag, Load>;

/// How much longer work takes at upstreams than usual; an absent one works as fast as usual.
pub type Slowness = HashMap<Tag, f64>;

/// The cost of work of which `queued` is known and `own` is added, at an upstream of this slowness.
///
/// At an upstream that works as fast as usual it is the known work alone: what is added is the same
/// wherever it goes.
fn scale(queued: u64, own: u64, slowness: f64) -> i64 {
    let added = own as f64 * (slowness - speed::USUAL);
    (queued as f64 * slowness + added) as i64
}

/// Orders upstreams by ascending `cost` of their load.
fn rank_by_load<'a>(
    candidates: impl Iterator<Item = &'a Entry>,
    loads: &Loads,
    domain: Tag,
    rng: &mut impl rand::Rng,
    cost: impl Fn(&Load, &Entry) -> i64,
) -> Vec<&'a Entry> {
    let mut ranked: Vec<_> = candidates
        .map(|entry| {
            let load = loads.get(&entry.tag).copied().unwrap_or_default();
            let draw: u32 = rng.random();
            ((cost(&load, entry), entry.domain != domain, draw), entry)
        })
        .collect();
    ranked.sort_by_key(|(rank, _)| *rank);
    ranked.into_iter().map(|(_, entry)| entry).collect()
}

/// Moves the better of two upstreams drawn at random to the front.
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

/// Ranks decode engines by memory in use, the order in which to request reservations.
pub fn rank_decode<'a>(
    candidates: impl Iterator<Item = &'a Entry>,
    loads: &Loads,
    domain: Tag,
    rng: &mut impl rand::Rng,
) -> Vec<&'a Entry> {
    rank_by_load(candidates, loads, domain, rng, |load, _| i64::from(load.memory_tokens))
}

/// The number of engines from which to request a reservation of `memory` tokens in one round.
///
/// It counts those of the first `max` that seem to have room. It is at least 1, because the load
/// reports lag and even an engine that seems full may have room.
pub fn reservation_fanout(
    ranked: &[Entry],
    loads: &Loads,
    memory: u32,
    capacity: u32,
    max: usize,
) -> usize {
    let has_room = |entry: &&Entry| {
        let used = loads.get(&entry.tag).map_or(0, |load| load.memory_tokens);
        used.saturating_add(memory) <= capacity
    };
    ranked.iter().take(max).filter(has_room).count().max(1)
}

/// Ranks prefill engines by the time that their queued prompt tokens and a prompt of `prompt` tokens
/// take, the better of two drawn at random first.
pub fn rank_prefill<'a>(
    candidates: impl Iterator<Item = &'a Entry>,
    (loads, slowness): (&Loads, &Slowness),
    prompt: u32,
    domain: Tag,
    rng: &mut impl rand::Rng,
) -> Vec<&'a Entry> {
    let ranked = rank_by_load(candidates, loads, domain, rng, |load, entry| {
        let slowness = slowness.get(&entry.tag).copied().unwrap_or(speed::USUAL);
        scale(u64::from(load.prefill_tokens), u64::from(prompt), slowness)
    });
    promote_better_of_two(ranked, rng)
}

/// Ranks plain upstreams by the time that their requests take per slot, the better of two drawn at
/// random first.
pub fn rank_plain<'a>(
    candidates: impl Iterator<Item = &'a Entry>,
    (loads, slowness): (&Loads, &Slowness),
    domain: Tag,
    rng: &mut impl rand::Rng,
) -> Vec<&'a Entry> {
    let ranked = rank_by_load(candidates, loads, domain, rng, |load, entry| {
        let per_slot = |requests: u32| u64::from(requests) * 1_000 / u64::from(entry.slots.max(1));
        let slowness = slowness.get(&entry.tag).copied().unwrap_or(speed::USUAL);
        scale(per_slot(load.requests), per_slot(1), slowness)
    });
    promote_better_of_two(ranked, rng)
}
