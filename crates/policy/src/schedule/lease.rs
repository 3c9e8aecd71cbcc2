//! Pairs of engines in use.

use super::message::{Decision, Phase};
use crate::prelude::*;
use crate::route::Pair;

/// A pair in use, until its host stops claiming it.
#[derive(Debug, Clone)]
pub struct Lease {
    pub team: Tag,
    pub pair: Pair,
    pub pieces: u32,
    pub prefill_tokens: f64,
    pub phase: Phase,
    pub granted: Instant,
    pub claimed: Instant,
    pub suspect: Option<Tag>,
    pub cached_tokens: u32,
    pub waited: Duration,
    pub is_late: bool,
}

/// What a renewal brought to light.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Renewal {
    /// Requests that wait but are not in the queue.
    pub unknown: Vec<Request>,
    /// Grants that their host has not heard of.
    pub repeated: Vec<Decision>,
}

/// The decision that tells a host of its lease.
pub(super) fn grant(request: Request, lease: &Lease) -> Decision {
    Decision::Grant {
        request,
        team: lease.team,
        pair: lease.pair,
        pieces: lease.pieces,
        cached_tokens: lease.cached_tokens,
        waited: lease.waited,
        is_late: lease.is_late,
    }
}
