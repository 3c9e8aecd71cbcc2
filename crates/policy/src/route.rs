//! The placement decisions that an entry host takes without a scheduler: the engine
//! pair for a model request if no scheduler replies, and the upstream of a plain request.
//!
//! An unreachable scheduler may cost goodput but never safety, so the fallback uses only
//! data that every host has: delayed load reports and its own requests in flight.

use std::collections::HashMap;

use rand::seq::IndexedRandom;

use crate::prelude::*;
use crate::sheet::Role;

/// The number of engines of each phase whose load is read for one fallback decision.
pub const LOAD_SAMPLES: usize = 4;
/// The fraction of an engine's slots that one host may fill without a scheduler.
const MAX_FALLBACK_FRACTION: f64 = 0.5;

/// An engine that the fallback may choose, with its last known load.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Candidate {
    /// The engine.
    pub upstream: Tag,
    /// The phase it runs.
    pub role: Role,
    /// Running requests, from the delayed load report.
    pub running: u32,
    /// The number of decode slots.
    pub slots: u32,
    /// Queued prefill tokens, from the delayed load report.
    pub queued_tokens: u64,
}

plain! { value
    /// The prefill engine and the decode engine of one request.
    #[derive(Eq)]
    pub struct Pair {
        /// The engine that runs the prompt.
        pub prefill: Tag,
        /// The engine that generates the tokens.
        pub decode: Tag,
    }
}

/// Chooses the least loaded prefill and decode engines from delayed reports and from
/// `in_flight`, this host's own requests on each engine.
///
/// Returns `None` if no prefill engine is known or no decode engine has a free slot
/// that this host may use.
pub fn choose_pair(candidates: &[Candidate], in_flight: &HashMap<Tag, u32>) -> Option<Pair> {
    let running = |c: &Candidate| c.running.max(in_flight.get(&c.upstream).copied().unwrap_or(0));
    let prefill = candidates
        .iter()
        .filter(|c| matches!(c.role, Role::Prefill | Role::Both))
        .min_by_key(|c| (c.queued_tokens, running(c), c.upstream))?;
    let decode = candidates
        .iter()
        .filter(|c| matches!(c.role, Role::Decode | Role::Both))
        .filter(|c| running(c) < c.slots)
        .filter(|c| {
            let own = in_flight.get(&c.upstream).copied().unwrap_or(0);
            f64::from(own) < f64::from(c.slots) * MAX_FALLBACK_FRACTION
        })
        .min_by_key(|c| (running(c), c.upstream))?;
    Some(Pair { prefill: prefill.upstream, decode: decode.upstream })
}

/// Draws two plain upstreams at random and chooses the one with fewer requests of this host.
pub fn choose_plain(
    upstreams: &[Tag],
    in_flight: &HashMap<Tag, u32>,
    rng: &mut impl rand::Rng,
) -> Option<Tag> {
    let drawn = upstreams.sample(rng, 2).copied();
    drawn.min_by_key(|upstream| (in_flight.get(upstream).copied().unwrap_or(0), *upstream))
}
