//! The messages between bucket holders and the hosts of requests, and the limits they apply.

use super::ADMISSION_TTL;
use crate::bucket::Terms;
use crate::prelude::*;

plain! { value
    /// The rate and burst of a team over all hosts.
    pub struct Limits {
        /// Tokens per second.
        pub rate: f64,
        /// The most tokens that can be spent at once.
        pub burst: f64,
    }
}

/// The part of the slack that is added to bursts.
///
/// The rest covers requests that reach their upstreams within a shorter time than they were
/// admitted in. They are queued for up to half a second, and the team earns tokens meanwhile.
const SLACK_PART: f64 = 0.8;

impl Limits {
    /// Returns the limits with a burst that lets a team exceed them by `slack` tokens in a
    /// window of some seconds.
    ///
    /// Without slack, a team that stays within its limits over all domains would be refused
    /// when its requests reach one domain faster than loans from the others.
    #[must_use]
    pub fn with_slack(self, slack: f64) -> Self {
        Self { burst: self.burst + slack * SLACK_PART, ..self }
    }

    /// Returns the terms of a bucket with `part` of these limits, 0 to 1.
    ///
    /// The cap leaves room for tokens in transit between holder and host, at most the refill of
    /// one [`ADMISSION_TTL`], so that level and transit together stay within the burst.
    pub fn terms(&self, part: f64) -> Terms {
        let transit = self.rate * ADMISSION_TTL.as_secs_f64();
        Terms { rate: self.rate * part, cap: ((self.burst - transit) * part).max(0.0) }
    }
}

plain! { value
    /// The tokens that a request is charged before it runs.
    pub struct Charge {
        /// The request, which also names the host that sends the charge.
        pub request: Request,
        /// The team whose bucket is charged.
        pub team: Tag,
        /// Length of the prompt plus output limit, in tokens.
        pub tokens: f64,
    }
}

plain! { value
    /// The answer to a charge.
    pub enum Verdict {
        /// The tokens were deducted and the request may run.
        Admitted,
        /// All reachable buckets together hold too few tokens.
        Short {
            /// The time in which the team earns the missing tokens.
            retry_after: Duration,
        },
        /// The charge exceeds what a full bucket holds, so waiting would not help.
        OverBurst,
    }
}

plain! { value
    /// The identity of a loan.
    #[derive(Eq, Hash)]
    pub struct Loan {
        /// The host that borrows.
        pub borrower: Tag,
        /// The incarnation of the borrower.
        pub incarnation: u64,
        /// The number of loans that this incarnation has requested, from 1.
        pub serial: u64,
    }
}

plain! { value
    /// What a loan is for.
    pub enum Purpose {
        /// A charge waits for it.
        Charge,
        /// No charge waits; both buckets should end up filled to the same part.
        Rebalance {
            /// The level of the borrower's bucket, in tokens.
            level: f64,
            /// The cap of the borrower's bucket, in tokens.
            cap: f64,
        },
    }
}

/// A message that a holder sends as the result of an event.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Decision {
    /// Answers the host of the request.
    Answer(Charge, Verdict),
    /// Requests a loan from the holder in another domain.
    Borrow {
        /// The lender's domain.
        lender: Tag,
        /// The id of the loan.
        loan: Loan,
        /// The team whose bucket is concerned.
        team: Tag,
        /// The tokens requested.
        tokens: f64,
        /// Whether a charge waits for the loan.
        purpose: Purpose,
    },
    /// Returns a loan, in whole or in part.
    Repay {
        /// The lender's domain.
        lender: Tag,
        /// The id of the loan.
        loan: Loan,
        /// The team whose bucket is concerned.
        team: Tag,
        /// The tokens returned.
        tokens: f64,
    },
}

/// What a holder may spend for a team at present.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Allowance {
    /// The team's limits over all hosts.
    pub limits: Limits,
    /// The domain's share times the part that the holder's tenure allows, 0 to 1.
    pub part: f64,
    /// When the holder took over, with empty buckets; `None` for the first holder, whose buckets
    /// start full.
    pub since: Option<Instant>,
}
