//! What holders of buckets and hosts of requests tell each other.

use super::ADMISSION_TTL;
use crate::bucket::Terms;
use crate::prelude::*;

plain! { value
    /// The rate and burst of a team over all hosts.
    pub struct Limits {
        /// Tokens per second.
        pub rate: f64,
        /// Tokens at once.
        pub burst: f64,
    }
}

/// The part of the slack that is added to bursts.
///
/// The rest covers requests that were admitted over a longer time than they arrive in at
/// their upstreams: they wait there for up to half a second, in which a team earns more.
const SLACK_PART: f64 = 0.8;

impl Limits {
    /// The same limits where a team may get `slack` tokens beyond them within some seconds.
    ///
    /// Without it a team that stays within its limits over all domains would be refused
    /// when its requests come to one domain faster than loans from the others.
    #[must_use]
    pub fn with_slack(self, slack: f64) -> Self {
        Self { burst: self.burst + slack * SLACK_PART, ..self }
    }

    /// The terms of the bucket with `part` of these limits.
    ///
    /// The cap leaves room for what may be on its way between holder and host,
    /// at most the refill of one [`ADMISSION_TTL`], so that level and transit together
    /// stay within the burst.
    pub fn terms(&self, part: f64) -> Terms {
        let transit = self.rate * ADMISSION_TTL.as_secs_f64();
        Terms { rate: self.rate * part, cap: ((self.burst - transit) * part).max(0.0) }
    }
}

plain! { value
    /// A request's charge.
    pub struct Charge {
        /// The request and thereby the host that asks.
        pub request: Request,
        /// The team that pays.
        pub team: Tag,
        /// Prompt and output limit, in tokens.
        pub tokens: f64,
    }
}

plain! { value
    /// The answer to a charge.
    pub enum Verdict {
        /// The tokens are deducted.
        Admitted,
        /// All reachable buckets together are short.
        Short {
            /// When the team will have earned what is missing.
            retry_after: Duration,
        },
        /// No waiting would help.
        OverBurst,
    }
}

plain! { value
    /// The identity of a loan: borrower, its incarnation and a count.
    #[derive(Eq, Hash)]
    pub struct Loan {
        /// The host that borrows.
        pub borrower: Tag,
        /// Its incarnation.
        pub incarnation: u64,
        /// The count of its loans.
        pub serial: u64,
    }
}

plain! { value
    /// What a loan is for.
    pub enum Purpose {
        /// A request waits for it.
        Charge,
        /// Nobody waits yet; the two buckets should be equally full.
        Rebalance {
            /// The borrower's level.
            level: f64,
            /// The most that the borrower's bucket holds.
            cap: f64,
        },
    }
}

/// What a holder does next.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Decision {
    /// Answer the host of the request.
    Answer(Charge, Verdict),
    /// Ask the holder in `lender` for a loan.
    Borrow {
        /// The lender's domain.
        lender: Tag,
        /// The loan.
        loan: Loan,
        /// The team.
        team: Tag,
        /// The tokens wanted.
        tokens: f64,
        /// What for.
        purpose: Purpose,
    },
    /// Give a loan back, in whole or in part.
    Repay {
        /// The lender's domain.
        lender: Tag,
        /// The loan.
        loan: Loan,
        /// The team.
        team: Tag,
        /// The tokens given back.
        tokens: f64,
    },
}

/// What a holder may spend for a team at this moment.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Allowance {
    /// The team's limits over all hosts.
    pub limits: Limits,
    /// This domain's share times what the holder's tenure allows, 0 to 1.
    pub part: f64,
    /// When the holder began with empty buckets; `None` if it was the first, with full ones.
    pub since: Option<Instant>,
}
