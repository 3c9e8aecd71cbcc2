//! The messages between hosts.

use damaskhatch_policy::config::Head;
use damaskhatch_policy::membership::{Count, Record};
use damaskhatch_policy::prelude::*;
use damaskhatch_policy::quota::{Charge, Loan, Purpose, Verdict};
use damaskhatch_policy::registry::Change;
use damaskhatch_policy::route::Pair;
use damaskhatch_policy::schedule::message::{Claim, Demand, Release};
use damaskhatch_policy::strike::Strike;

plain! { data
    /// A message between hosts.
    pub enum Body {
        /// Liveness, revisions and roles of some hosts.
        Heartbeat {
            /// The sender's record, then some of others.
            records: Vec<Record>,
            /// How far other hosts' heartbeats have come.
            counts: Vec<Count>,
        },
        /// Asks the holder of a team's bucket to charge a request.
        Charge(Charge),
        /// Answers a charge.
        Charged {
            /// The request.
            request: Request,
            /// The domain whose holder answers.
            domain: Tag,
            /// The answer.
            verdict: Verdict,
        },
        /// Gives back what a request did not use.
        Credit {
            /// The request.
            request: Request,
            /// The team that paid.
            team: Tag,
            /// Tokens not used.
            tokens: f64,
        },
        /// Asks another domain's holder for a loan.
        Borrow {
            /// The loan.
            loan: Loan,
            /// The team.
            team: Tag,
            /// Tokens wanted.
            tokens: f64,
            /// What for.
            purpose: Purpose,
        },
        /// Lends; the tokens are already deducted.
        Lend {
            /// The loan.
            loan: Loan,
            /// The lender's domain.
            lender: Tag,
            /// The team.
            team: Tag,
            /// Tokens lent.
            tokens: f64,
        },
        /// Gives a loan back.
        Repay {
            /// The loan.
            loan: Loan,
            /// The team.
            team: Tag,
            /// Tokens given back.
            tokens: f64,
        },
        /// Asks a scheduler for a pair.
        Enqueue(Demand),
        /// Confirms that a scheduler knows the request.
        Queued(Request),
        /// Grants a pair.
        Grant {
            /// The request.
            request: Request,
            /// The pair.
            pair: Pair,
            /// The memory reserved.
            pieces: u32,
        },
        /// Refuses a pair.
        Refuse {
            /// The request.
            request: Request,
            /// Why.
            kind: Kind,
            /// When to come back.
            retry_after: Duration,
        },
        /// Sends a request to another domain's scheduler.
        Redirect {
            /// The request.
            request: Request,
            /// The other domain.
            domain: Tag,
        },
        /// Renews leases of a service.
        Renew {
            /// The service.
            service: Tag,
            /// The leases.
            claims: Vec<Claim>,
        },
        /// Names requests that the scheduler does not know.
        Unknown(Vec<Request>),
        /// Ends a lease.
        Release {
            /// The service.
            service: Tag,
            /// The lease.
            release: Release,
        },
        /// Confirms the end of a lease.
        Released(Request),
        /// Tells of a crash while a request ran.
        Strike(Strike),
        /// Withdraws a key, by digest.
        Withdraw(String),
        /// Confirms that a key, by digest, is withdrawn on the sender.
        Withdrawn(String),
        /// Asks for the head in force and the withdrawn keys; TCP only.
        GetHead,
        /// The head in force and the withdrawn keys; TCP only.
        Head {
            /// The head.
            head: Head,
            /// Digests of withdrawn keys.
            withdrawn: Vec<String>,
        },
        /// Asks for chunks by digest; TCP only.
        GetChunks(Vec<String>),
        /// Chunks as text, each checked against its digest; TCP only.
        Chunks(Vec<String>),
        /// Asks what a host last read from the store.
        GetNews {
            /// The question, by which its answer is told from earlier ones.
            serial: u64,
        },
        /// What a host last read from the store.
        News {
            /// The question that this answers.
            serial: u64,
            /// The revision in force there.
            revision: u64,
            /// How long ago it was known to be the newest.
            age: Duration,
            /// The version of its list of registered upstreams; 0 without one.
            listing: u64,
        },
        /// Asks for changes of the registered upstreams; TCP only.
        GetListing {
            /// The version that the asking host has, 0 without any.
            since: u64,
        },
        /// The registered upstreams, or what changed of them; TCP only.
        Listing {
            /// The version of the list.
            version: u64,
            /// Whether these are the changes since the version that was asked for.
            is_partial: bool,
            /// What is listed or has changed, by key and in order.
            changes: Vec<(String, Change)>,
        },
        /// Vouches for a holder that cannot reach the platform.
        Vouch {
            /// The roster's epoch.
            epoch: u64,
            /// The question that this answers.
            serial: u64,
        },
        /// Asks the hosts of a roster to vouch.
        GetVouch {
            /// The roster's epoch.
            epoch: u64,
            /// The question, by which its answer is told from earlier ones.
            serial: u64,
        },
        /// Tells the hosts of a domain that their roster has changed.
        RosterChanged {
            /// The new epoch.
            epoch: u64,
        },
        /// Hands over a slot's levels after the sender stopped spending them.
        HandOver {
            /// Team and tokens.
            levels: Vec<(Tag, f64)>,
        },
    }
}
