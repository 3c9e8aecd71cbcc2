//! Leases on pairs of engines.

use super::message::{Decision, Phase};
use crate::prelude::*;
use crate::route::Pair;

/// A lease on a pair of engines, which lasts while its host claims it.
#[derive(Debug, Clone)]
pub struct Lease {
    pub team: Tag,
    pub pair: Pair,
    /// Engine memory reserved at the decode engine, in pieces.
    pub pieces: u32,
    /// Uncached prompt tokens, as predicted at the grant.
    pub prefill_tokens: f64,
    pub phase: Phase,
    pub granted_at: Instant,
    /// When its host last claimed it, at first the time of the grant.
    pub claimed_at: Instant,
    /// The upstream whose crash the request is suspected to have caused, if any.
    pub suspect: Option<Tag>,
    /// Prompt tokens expected in the prefix cache at the grant.
    pub cached_tokens: u32,
    /// Time that the request spent in the queue.
    pub waited: Duration,
    /// Whether the request came from the late lane.
    pub is_late: bool,
}

/// The replies to a host's claims.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Renewal {
    /// Waiting requests that are not in the queue, which the host has to enqueue again.
    pub unknown: Vec<Request>,
    /// Grants of requests that their host still claims as waiting, to be sent again.
    pub resent: Vec<Decision>,
}

/// Builds the decision that reports a lease to its host.
pub(super) fn grant_decision(request: Request, lease: &Lease) -> Decision {
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
