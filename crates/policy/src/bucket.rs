//! A token bucket whose rate and cap may change while it is in use.

use crate::prelude::*;

/// The part of a team's rate and burst that one bucket has.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Terms {
    /// Tokens per second.
    pub rate: f64,
    /// The most tokens that the bucket holds.
    pub cap: f64,
}

impl Terms {
    /// The terms of a bucket that may not spend.
    pub const NONE: Self = Self { rate: 0.0, cap: 0.0 };
}

/// A token bucket; its level is as of the last [`set_terms`](Self::set_terms).
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Bucket {
    level: f64,
    terms: Terms,
    refilled_at: Instant,
}

impl Bucket {
    /// Creates a bucket filled to `level` or to its cap, whichever is lower.
    pub fn new(level: f64, terms: Terms, now: Instant) -> Self {
        Self { level: level.min(terms.cap), terms, refilled_at: now }
    }

    /// Adds the tokens earned up to `now`, then applies `terms`.
    ///
    /// Tokens are earned at the lower of the old and the new rate, since the time at which
    /// the terms changed is not known.
    pub fn set_terms(&mut self, terms: Terms, now: Instant) {
        let elapsed = now.saturating_duration_since(self.refilled_at).as_secs_f64();
        let rate = self.terms.rate.min(terms.rate);
        self.level = (self.level + elapsed * rate).min(terms.cap).max(0.0);
        self.terms = terms;
        self.refilled_at = self.refilled_at.max(now);
    }

    /// The tokens in the bucket, as of the last [`set_terms`](Self::set_terms).
    pub const fn level(&self) -> f64 {
        self.level
    }

    /// The terms in force.
    pub const fn terms(&self) -> Terms {
        self.terms
    }

    /// Removes `tokens` if the bucket holds that many; returns whether it did.
    pub fn try_take(&mut self, tokens: f64) -> bool {
        if self.level < tokens {
            return false;
        }
        self.level -= tokens;
        true
    }

    /// Removes up to `tokens` and returns how many it removed.
    pub fn take_up_to(&mut self, tokens: f64) -> f64 {
        let taken = self.level.min(tokens).max(0.0);
        self.level -= taken;
        taken
    }

    /// Adds tokens; those that exceed the cap are lost.
    pub fn deposit(&mut self, tokens: f64) {
        debug_assert!(tokens >= 0.0, "deposit of {tokens} tokens is negative");
        self.level = (self.level + tokens).min(self.terms.cap);
    }
}
