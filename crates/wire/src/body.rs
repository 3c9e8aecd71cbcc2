//! The messages that hosts exchange.
//!
//! Postcard encodes variants and fields by position, so their order is part of the protocol.

use damaskhatch_policy::availability::Notice;
use damaskhatch_policy::config::Head;
use damaskhatch_policy::limit::{Ask, Statement, Verdict as Permission};
use damaskhatch_policy::membership::{Count, Record};
use damaskhatch_policy::prelude::*;
use damaskhatch_policy::quota::{Charge, Loan, Purpose, Verdict};
use damaskhatch_policy::registry::{Change, Detail};
use damaskhatch_policy::route::Pair;
use damaskhatch_policy::schedule::message::{Claim, Demand, Release};
use damaskhatch_policy::speed;
use damaskhatch_policy::strike::{Proof, Report};

plain! { data
    /// The payload of a frame.
    pub enum Body {
        /// Reports the liveness, configuration revision and roles of some hosts.
        Heartbeat {
            /// The sender's own record, followed by some of other hosts.
            records: Vec<Record>,
            /// The latest heartbeat counts that the sender knows of other hosts.
            counts: Vec<Count>,
        },
        /// Asks the holder of a team's bucket to charge it for a request.
        Charge(Charge),
        /// Replies to [`Body::Charge`].
        Charged {
            /// The charged request.
            request: Request,
            /// The domain of the holder that decided.
            domain: Tag,
            /// The holder's decision.
            verdict: Verdict,
        },
        /// Refunds the charged tokens that a request did not use.
        Credit {
            /// The charged request.
            request: Request,
            /// The team that was charged.
            team: Tag,
            /// The unused tokens.
            tokens: f64,
        },
        /// Asks the holder of the same bucket in another domain for a loan.
        Borrow {
            /// The identity of the loan, assigned by the borrower.
            loan: Loan,
            /// The team whose bucket borrows.
            team: Tag,
            /// The tokens requested.
            tokens: f64,
            /// Why the borrower needs them.
            purpose: Purpose,
        },
        /// Replies to [`Body::Borrow`] with tokens that the lender has already deducted.
        Lend {
            /// The identity of the loan, as in [`Body::Borrow`].
            loan: Loan,
            /// The lender's domain.
            lender: Tag,
            /// The team whose bucket lends.
            team: Tag,
            /// The tokens lent.
            tokens: f64,
        },
        /// Repays a loan.
        Repay {
            /// The identity of the loan.
            loan: Loan,
            /// The team whose bucket borrowed.
            team: Tag,
            /// The tokens repaid.
            tokens: f64,
        },
        /// Asks a scheduler for a pair of engines.
        Enqueue(Demand),
        /// Confirms that the scheduler has queued the request.
        Queued(Request),
        /// Grants a queued request its pair of engines.
        Grant {
            /// The request.
            request: Request,
            /// The prefill and the decode engine.
            pair: Pair,
            /// The engine memory reserved, in pieces of `PIECE_TOKENS` tokens.
            pieces: u32,
        },
        /// Refuses to grant a request a pair of engines.
        Refuse {
            /// The request.
            request: Request,
            /// Why it is refused.
            kind: Kind,
            /// How long the caller should wait before a retry.
            retry_after: Duration,
        },
        /// Refers a queued request to the scheduler of another domain.
        Redirect {
            /// The request.
            request: Request,
            /// The domain whose scheduler should get the request instead.
            domain: Tag,
        },
        /// Renews leases on pairs of engines and on places in a queue.
        Renew {
            /// The service that all of the leases belong to.
            service: Tag,
            /// One claim for each lease.
            claims: Vec<Claim>,
        },
        /// Lists renewed requests that the scheduler does not know; their hosts queue them again.
        UnknownRequests(Vec<Request>),
        /// Ends a lease.
        Release {
            /// The service that the lease belongs to.
            service: Tag,
            /// The request that held it, and the engine that failed, if one did.
            release: Release,
        },
        /// Confirms the end of a lease.
        Released(Request),
        /// Reports requests under which upstreams crashed; also replies to [`Body::GetStrikes`].
        Strikes(Vec<Report>),
        /// Withdraws the API key with this digest.
        Withdraw(String),
        /// Confirms that the sender rejects the API key with this digest.
        Withdrawn(String),
        /// Asks for the configuration head in force and the withdrawn keys; TCP only.
        GetHead,
        /// Replies to [`Body::GetHead`]; TCP only.
        Head {
            /// The configuration head in force on the sender.
            head: Head,
            /// The digests of the withdrawn API keys.
            withdrawn: Vec<String>,
        },
        /// Asks for configuration chunks by digest; TCP only.
        GetChunks(Vec<String>),
        /// Replies to [`Body::GetChunks`] with JSON texts, which the receiver checks against their
        /// digests; TCP only.
        Chunks(Vec<String>),
        /// Asks when the receiver's configuration was last known to be the newest.
        GetFreshness {
            /// The number of the query, which the reply returns.
            serial: u64,
        },
        /// Replies to [`Body::GetFreshness`].
        Freshness {
            /// The number of the query.
            serial: u64,
            /// The configuration revision in force on the sender.
            revision: u64,
            /// The time since the sender last knew this revision to be the newest.
            age: Duration,
            /// The version of the sender's list of registered upstreams; 0 if it has none.
            listing: u64,
        },
        /// Asks for changes to the list of registered upstreams; TCP only.
        GetListing {
            /// The version of the sender's list; 0 if it has none.
            since: u64,
        },
        /// Replies to [`Body::GetListing`] with the list or its changes; TCP only.
        Listing {
            /// The version of the list after these changes.
            version: u64,
            /// Whether `changes` starts at the requested version, or else is the complete list.
            is_partial: bool,
            /// Each key with its change, in the order in which to apply them.
            changes: Vec<(String, Change)>,
        },
        /// Replies to [`Body::GetVouch`]: vouches for a holder that cannot reach the platform.
        Vouch {
            /// The roster's epoch.
            epoch: u64,
            /// The number of the query.
            serial: u64,
        },
        /// Asks another host of the roster to vouch for the sender.
        GetVouch {
            /// The roster's epoch.
            epoch: u64,
            /// The number of the query, which the reply returns.
            serial: u64,
        },
        /// Notifies the hosts of a domain that their roster has changed.
        RosterChanged {
            /// The new epoch.
            epoch: u64,
        },
        /// Transfers bucket levels to the new holder of a slot; the sender no longer spends them.
        HandOver {
            /// Each team with the remaining tokens of its bucket.
            levels: Vec<(Tag, f64)>,
        },
        /// Tells which strikes the sender knows, so that the receiver can pull missing ones.
        StrikeDigest {
            /// The digest of the sender's strikes.
            digest: u64,
            /// Whether this is a reply, which needs none itself.
            is_reply: bool,
        },
        /// Asks for all strikes that the receiver knows; TCP only.
        GetStrikes,
        /// Asks for configuration chunks by digest, compressed; TCP only.
        GetCompressedChunks(Vec<String>),
        /// Replies to [`Body::GetCompressedChunks`] with the chunks that the sender has; TCP only.
        CompressedChunks(Vec<Vec<u8>>),
        /// Replies to a query whose sender should ask another host, since this one is sending to
        /// as many as it may; TCP only.
        Busy,
        /// Tells what upstreams have said about the requests a second that they take.
        Limits(Vec<Statement>),
        /// Asks for the limits that the receiver knows.
        GetLimits,
        /// Asks for one request to a limited upstream.
        Ask {
            /// The number of the ask, which the reply returns.
            serial: u64,
            /// What is asked for.
            ask: Ask,
        },
        /// Replies to [`Body::Ask`], with a second reply if the first one is that it is queued.
        Permit {
            /// The number of the ask.
            serial: u64,
            /// The answer.
            permission: Permission,
        },
        /// Asks for changes to the list of registered upstreams, with software versions; TCP only.
        GetUpstreams {
            /// The version of the sender's list; 0 if it has none.
            since: u64,
        },
        /// Replies to [`Body::GetUpstreams`] as [`Body::Listing`] does; TCP only.
        Upstreams {
            /// The version of the list after these changes.
            version: u64,
            /// Whether `changes` starts at the requested version, or else is the complete list.
            is_partial: bool,
            /// Each key with its change, in the order in which to apply them.
            changes: Vec<(String, Change)>,
            /// The software version of each change's entry.
            software: Vec<Tag>,
        },
        /// Tells which software versions began streams: each version with its streams.
        Begun(Vec<(Tag, Vec<Tag>)>),
        /// Asks which software version began a stream.
        FindStream {
            /// The number of the query, which the reply returns.
            serial: u64,
            /// The stream.
            stream: Tag,
        },
        /// Replies to [`Body::FindStream`].
        StreamFound {
            /// The number of the query.
            serial: u64,
            /// The version; `None` if the sender does not know the stream.
            version: Option<Tag>,
        },
        /// Tells what upstreams have said about new requests.
        Availability(Vec<Notice>),
        /// Tells which domains operators have evacuated.
        Evacuations {
            /// The version of the store that the set is from.
            version: u64,
            /// The evacuated domains.
            domains: Vec<Tag>,
        },
        /// Asks for changes to the list of registered upstreams, with their details; TCP only.
        GetEntries {
            /// The version of the sender's list; 0 if it has none.
            since: u64,
        },
        /// Replies to [`Body::GetEntries`] as [`Body::Listing`] does; TCP only.
        Entries {
            /// The version of the list after these changes.
            version: u64,
            /// Whether `changes` starts at the requested version, or else is the complete list.
            is_partial: bool,
            /// Each key with its change, in the order in which to apply them.
            changes: Vec<(String, Change)>,
            /// The detail of each change.
            details: Vec<Detail>,
        },
        /// Tells how fast upstreams work.
        Speeds(Vec<speed::Notice>),
        /// Tells of complete responses under fingerprints that have strikes.
        Proofs(Vec<Proof>),
    }
}
