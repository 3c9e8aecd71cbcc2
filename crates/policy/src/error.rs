//! The kinds of refusals and the HTTP response for each kind.
//!
//! Every refusal that a caller can see is one of these kinds, so that this table alone
//! decides which refusals state "not run"; see
//! [docs/OPERATIONS.md](../../../docs/OPERATIONS.md).

use displaydoc::Display;
use serde::{Deserialize, Serialize};

/// Why a request was refused or failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Display, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Kind {
    /// the request is malformed
    Malformed,
    /// the request body is larger than the host accepts
    TooLarge,
    /// no valid key came with the request
    Unauthenticated,
    /// the key was withdrawn
    KeyWithdrawn,
    /// the team may not use this service
    Forbidden,
    /// there is no such service or model
    UnknownService,
    /// the request needs more tokens than the team's burst can ever hold
    OverBurst,
    /// the team is over its token rate
    OverRate,
    /// no capacity was free within the request's patience
    Overloaded,
    /// no upstream of the service can be reached
    NoUpstream,
    /// requests with this body crashed several upstreams
    Quarantined,
    /// the host has no configuration yet, is leaving, or got no reply from a holder of the rate
    Unavailable,
    /// a request with the same idempotency key and another body was seen
    KeyReused,
    /// the upstream refused the request before running it
    UpstreamRefused,
    /// the upstream failed while it ran the request
    UpstreamFailed,
    /// the upstream did not answer in time
    UpstreamTimeout,
    /// the request body did not arrive in time
    TooSlow,
}

/// Whether the request may have run on an upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Outcome {
    /// No byte of the request reached an upstream, or the upstream responded that it did not run.
    NotRun,
    /// The request may have run.
    Unknown,
}

/// Whether a caller should retry after a refusal.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Advice {
    /// Retrying the unchanged request cannot succeed.
    DoNotRetry,
    /// The request may be retried after the `Retry-After` time.
    RetryAfter,
    /// The request may be retried only if it is idempotent.
    RetryIfIdempotent,
}

/// The HTTP response to the caller for a kind of refusal.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Answer {
    /// The HTTP status code.
    pub status: u16,
    /// Whether the caller should retry.
    pub advice: Advice,
    /// Whether the request may have run.
    pub outcome: Outcome,
}

impl Kind {
    /// Every kind, in the order of the table in the operators' documentation.
    pub const ALL: [Self; 17] = [
        Self::Malformed,
        Self::TooLarge,
        Self::Unauthenticated,
        Self::KeyWithdrawn,
        Self::Forbidden,
        Self::UnknownService,
        Self::OverBurst,
        Self::OverRate,
        Self::Overloaded,
        Self::NoUpstream,
        Self::Quarantined,
        Self::Unavailable,
        Self::KeyReused,
        Self::UpstreamRefused,
        Self::UpstreamFailed,
        Self::UpstreamTimeout,
        Self::TooSlow,
    ];

    /// Whether a newer configuration may allow what a host refuses for this reason.
    ///
    /// Not so for a withdrawn key, since no configuration undoes a withdrawal.
    pub const fn depends_on_revision(self) -> bool {
        matches!(self, Self::Unauthenticated | Self::Forbidden | Self::UnknownService)
    }

    /// The HTTP response that a caller receives for this kind of refusal.
    pub const fn answer(self) -> Answer {
        use Advice::{DoNotRetry, RetryAfter, RetryIfIdempotent};
        use Outcome::{NotRun, Unknown};
        let (status, advice, outcome) = match self {
            Self::Malformed => (400, DoNotRetry, NotRun),
            Self::TooLarge | Self::OverBurst => (413, DoNotRetry, NotRun),
            Self::Unauthenticated | Self::KeyWithdrawn => (401, DoNotRetry, NotRun),
            Self::Forbidden => (403, DoNotRetry, NotRun),
            Self::UnknownService => (404, DoNotRetry, NotRun),
            Self::TooSlow => (408, RetryAfter, NotRun),
            Self::OverRate | Self::Quarantined => (429, RetryAfter, NotRun),
            Self::Overloaded | Self::NoUpstream | Self::Unavailable => (503, RetryAfter, NotRun),
            Self::KeyReused => (422, DoNotRetry, Unknown),
            Self::UpstreamRefused => (502, RetryAfter, NotRun),
            Self::UpstreamFailed => (502, RetryIfIdempotent, Unknown),
            Self::UpstreamTimeout => (504, RetryIfIdempotent, Unknown),
        };
        Answer { status, advice, outcome }
    }
}
