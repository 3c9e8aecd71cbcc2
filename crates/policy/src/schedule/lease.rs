//! Leases on pairs of engines.

use super::message::{Decision, Phase};
use crate::prelude::*;
use crate::route::Pair;

/// A lease on a pair of engines, which lasts while its host claims it.
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

/// The replies to a host's claims.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Renewal {
    /// Waiting requests that are not in the queue, which the host has to enqueue again.
    pub unknown: Vec<Request>,
    /// Grants of requests that their host still claims as waiting, to be sent again.
    pub repeated: Vec<Decision>,
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
