//! When a failed attempt may be repeated elsewhere.
//!
//! Retries are paid from a budget that recent traffic fills, so that an outage
//! does not multiply the load on the upstreams that are left.

use crate::prelude::*;

/// What a budget earns and holds.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Terms {
    /// The share of recent requests that may be retried.
    pub ratio: f64,
    /// Retries that are always possible, so that a quiet host can retry at all.
    pub floor: f64,
    /// The most retries that quiet times can save up.
    pub cap: f64,
    /// Retries that come back per second without traffic, up to the floor.
    pub refill_per_s: f64,
}

/// The budget of a host for all its upstreams.
pub const HOST: Terms = Terms { ratio: 0.1, floor: 10.0, cap: 100.0, refill_per_s: 1.0 };

/// The budget of a host for one routed service.
///
/// Fleets promise at most a fifth of a service's requests in repeats over 10 s; what
/// hosts save up comes on top, so cap and refill are small.
pub const SERVICE: Terms = Terms { ratio: 0.15, floor: 3.0, cap: 5.0, refill_per_s: 0.1 };

/// Attempts for one request, the first included.
pub const MAX_ATTEMPTS: u32 = 4;

/// How far a failed attempt got.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Reach {
    /// No byte of the request was written to the upstream.
    Unsent,
    /// The upstream itself answered that it did not run the request.
    Declined,
    /// The upstream may have run the request.
    MayHaveRun,
}

/// Whether a call may be repeated at all, whatever the budget says.
pub const fn is_safe(reach: Reach, repeatable: bool) -> bool {
    match reach {
        Reach::Unsent | Reach::Declined => true,
        Reach::MayHaveRun => repeatable,
    }
}

/// The retry budget of one host.
#[derive(Debug, Clone)]
pub struct Budget {
    terms: Terms,
    level: f64,
    at: Instant,
}

impl Budget {
    /// Makes a budget that allows the floor at once.
    pub fn new(terms: &Terms, now: Instant) -> Self {
        Self { terms: *terms, level: terms.floor, at: now }
    }

    /// Records a first attempt, which earns a part of a retry.
    pub fn earn(&mut self) {
        self.level = (self.level + self.terms.ratio).min(self.terms.cap);
    }

    /// Takes one retry from the budget, or returns false when it is spent.
    pub fn spend(&mut self, now: Instant) -> bool {
        let idle = now.saturating_duration_since(self.at).as_secs_f64();
        self.at = now;
        let Terms { floor, refill_per_s, .. } = self.terms;
        if self.level < floor {
            self.level = (self.level + idle * refill_per_s).min(floor);
        }
        if self.level < 1.0 {
            return false;
        }
        self.level -= 1.0;
        true
    }
}
