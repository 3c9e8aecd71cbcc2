//! The outcome of an attempt at an upstream, and whether another attempt is allowed.
//!
//! An attempt did not run, ran, or its outcome is unknown. A request that may run at
//! most once is attempted again only if no earlier attempt may have run it. A refusal
//! states "not run" only if no attempt may have run.

use crate::prelude::*;
use crate::routing::Repeat;

/// The outcome of one attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// The connection failed, or the upstream itself responded that the request did not run.
    NotRun,
    /// The upstream ran the request and its response arrived complete.
    Ran,
    /// The request was sent but no complete response arrived.
    Unknown,
}

/// The combined outcome of all attempts at one request so far.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct History {
    /// The number of attempts, whatever their outcome.
    pub attempts: u32,
    /// Whether any attempt may have run.
    pub may_have_run: bool,
}

impl History {
    /// Adds the outcome of an attempt.
    pub fn record(&mut self, outcome: Outcome) {
        self.attempts += 1;
        self.may_have_run |= outcome != Outcome::NotRun;
    }

    /// Whether another attempt at the request is allowed.
    pub const fn may_retry(&self, repeat: Repeat, max_attempts: u32) -> bool {
        if self.may_have_run {
            return repeat.is_repeatable() && self.attempts < max_attempts;
        }
        // The route's limit applies only once an upstream may have run the request.
        self.attempts < MAX_UNRUN_ATTEMPTS
    }

    /// The kind of the refusal if no further attempt is made.
    ///
    /// `is_late` is whether the request's time limit has passed.
    pub const fn failure_kind(&self, is_late: bool) -> Kind {
        match (self.may_have_run, is_late) {
            (true, true) => Kind::UpstreamTimeout,
            (true, false) => Kind::UpstreamFailed,
            (false, _) => Kind::Overloaded,
        }
    }
}

/// The maximum number of attempts while no upstream may have run the request.
const MAX_UNRUN_ATTEMPTS: u32 = 4;
