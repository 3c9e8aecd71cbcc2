//! Judges whether a response body that ended without an error is complete.
//!
//! A length or the last chunk shows that all bytes have arrived, but not that the upstream had
//! written all of them. A body without either ends with its connection, whether the upstream has
//! finished or crashed. So the content counts as well; see
//! [docs/DESIGN.md](../../../docs/DESIGN.md#ends-of-responses).

/// Where the content of a body ends.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Content {
    /// Somewhere in content that is not a stream of events.
    Opaque,
    /// After an event of a stream.
    AfterEvent,
    /// Inside an event of a stream, or before the rest of one that an earlier body has begun.
    InsideEvent,
    /// Before the first event of a stream that was requested from its beginning, or of one that goes on
    /// with an earlier body.
    BeforeEvents,
}

/// What an upstream does after the end of its response.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Upstream {
    /// It accepts connections, so it had no reason to break off.
    Listening,
    /// It refuses connections, so its process has ended together with the response.
    Gone,
    /// It gives no clear sign.
    Unknown,
}

/// Whether a body is complete.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// It is.
    Complete,
    /// It is not: the upstream broke off.
    Truncated,
    /// Nothing shows whether it is.
    Unverified,
}

impl Verdict {
    /// Judges a body by its bytes alone.
    ///
    /// `is_framed` is whether a length or chunks mark its end.
    pub const fn of_body(is_framed: bool, content: Content) -> Self {
        match (content, is_framed) {
            (Content::InsideEvent, _) | (Content::BeforeEvents, false) => Self::Truncated,
            (_, true) => Self::Complete,
            (Content::AfterEvent | Content::Opaque, false) => Self::Unverified,
        }
    }

    /// Refines the verdict by what the upstream does after the end of its response.
    #[must_use]
    pub const fn with_upstream(self, upstream: Upstream) -> Self {
        match (self, upstream) {
            (Self::Unverified, Upstream::Listening) => Self::Complete,
            (Self::Unverified, Upstream::Gone) => Self::Truncated,
            (verdict, _) => verdict,
        }
    }

    /// The name in logs and metrics.
    pub const fn name(self) -> &'static str {
        match self {
            Self::Complete => "complete",
            Self::Truncated => "truncated",
            Self::Unverified => "unverified",
        }
    }
}
