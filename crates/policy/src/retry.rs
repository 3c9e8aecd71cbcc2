//! Retry budgets, and the rule for when a failed attempt may be retried at another upstream.
//!
//! Each first attempt earns a fraction of a retry, so that an outage does not multiply
//! the load on the remaining upstreams.

use crate::prelude::*;

/// The rates and bounds of a retry budget, in retries.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Policy {
    /// Retries earned per first attempt.
    pub ratio: f64,
    /// The initial level, and the level up to which the budget refills without traffic.
    ///
    /// It lets a host with little traffic retry at all.
    pub floor: f64,
    /// The maximum level that traffic can earn.
    pub cap: f64,
    /// Retries regained per second without traffic, up to the floor.
    pub refill_per_s: f64,
}

/// The policy of a host's budget for all its upstreams.
pub const HOST: Policy = Policy { ratio: 0.1, floor: 10.0, cap: 100.0, refill_per_s: 1.0 };

/// The policy of a host's budget for one routed service.
///
/// A fleet guarantees that retries are at most a fifth of a service's requests over 10 s.
/// The retries that hosts have accumulated come on top, so cap and refill are small.
pub const SERVICE: Policy = Policy { ratio: 0.15, floor: 3.0, cap: 5.0, refill_per_s: 0.1 };

/// The part of a budget's floor that is left to the most urgent requests, when the least urgent ask.
const KEPT_PART: f64 = 0.4;

/// The maximum number of attempts for one request, including the first.
pub const MAX_ATTEMPTS: u32 = 4;

/// How far a failed attempt got.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Reach {
    /// No byte of the request was written to the upstream.
    Unsent,
    /// The upstream itself responded that it did not run the request.
    Declined,
    /// The upstream may have run the request.
    MayHaveRun,
}

/// Whether a request may be retried, leaving the budget aside.
///
/// A request that is not `repeatable` must not run twice.
pub const fn is_safe(reach: Reach, repeatable: bool) -> bool {
    match reach {
        Reach::Unsent | Reach::Declined => true,
        Reach::MayHaveRun => repeatable,
    }
}

/// A retry budget of one host: a token bucket that first attempts fill.
#[derive(Debug, Clone)]
pub struct Budget {
    policy: Policy,
    /// Available retries; may be fractional.
    level: f64,
    refilled_at: Instant,
}

impl Budget {
    /// Makes a budget whose level is the policy's floor.
    pub fn new(policy: &Policy, now: Instant) -> Self {
        Self { policy: *policy, level: policy.floor, refilled_at: now }
    }

    /// Records a first attempt, which earns a fraction of a retry.
    pub fn earn(&mut self) {
        self.level = (self.level + self.policy.ratio).min(self.policy.cap);
    }

    /// Spends one retry; returns false if less than one is available.
    pub fn spend(&mut self, now: Instant) -> bool {
        self.spend_as(0.0, now)
    }

    /// Spends one retry for a request with the place `rank` among the priorities of its service, from
    /// 0 for the most urgent to 1.
    ///
    /// The last part of the budget is left to the more urgent ones.
    pub fn spend_as(&mut self, rank: f64, now: Instant) -> bool {
        let elapsed = now.saturating_duration_since(self.refilled_at).as_secs_f64();
        self.refilled_at = now;
        let Policy { floor, refill_per_s, .. } = self.policy;
        if self.level < floor {
            self.level = (self.level + elapsed * refill_per_s).min(floor);
        }
        if self.level < 1.0 + rank * KEPT_PART * floor {
            return false;
        }
        self.level -= 1.0;
        true
    }
}
