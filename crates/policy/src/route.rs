//! What an entry host decides itself: the domain to ask, and a pair of engines
//! when no scheduler answers.
//!
//! The scheduler's silence costs goodput and never safety, so the fallback uses
//! what any host can see: lagging reports and its own requests in flight.

use std::collections::HashMap;

use rand::seq::IndexedRandom;

use crate::prelude::*;
use crate::sheet::Role;

/// Engines of each phase whose load is read for one fallback decision.
pub const SAMPLES: usize = 4;
/// The part of an engine's slots that a host may fill without a scheduler.
const FALLBACK_PART: f64 = 0.5;

/// An engine as the fallback sees it.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Candidate {
    /// The engine.
    pub upstream: Tag,
    /// The phase it runs.
    pub role: Role,
    /// Requests it reported, late.
    pub running: u32,
    /// Its decode slots.
    pub slots: u32,
    /// Prefill tokens it reported as queued, late.
    pub queued_tokens: u64,
}

plain! { value
    /// The engines of one request.
    #[derive(Eq)]
    pub struct Pair {
        /// Runs the prompt.
        pub prefill: Tag,
        /// Generates the tokens.
        pub decode: Tag,
    }
}

/// Picks a pair by lagging reports and this host's own requests in flight.
pub fn choose_pair(candidates: &[Candidate], own: &HashMap<Tag, u32>) -> Option<Pair> {
    let running = |c: &Candidate| c.running.max(own.get(&c.upstream).copied().unwrap_or(0));
    let prefill = candidates
        .iter()
        .filter(|c| matches!(c.role, Role::Prefill | Role::Both))
        .min_by_key(|c| (c.queued_tokens, running(c), c.upstream))?;
    let decode = candidates
        .iter()
        .filter(|c| matches!(c.role, Role::Decode | Role::Both))
        .filter(|c| running(c) < c.slots)
        .filter(|c| {
            let own = own.get(&c.upstream).copied().unwrap_or(0);
            f64::from(own) < f64::from(c.slots) * FALLBACK_PART
        })
        .min_by_key(|c| (running(c), c.upstream))?;
    Some(Pair { prefill: prefill.upstream, decode: decode.upstream })
}

/// Picks the plain upstream with fewer requests of this host, of two drawn at random.
pub fn choose_plain(
    upstreams: &[Tag],
    own: &HashMap<Tag, u32>,
    rng: &mut impl rand::Rng,
) -> Option<Tag> {
    let drawn = upstreams.sample(rng, 2).copied();
    drawn.min_by_key(|upstream| (own.get(upstream).copied().unwrap_or(0), *upstream))
}
