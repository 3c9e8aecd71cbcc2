//! The time since this host's configuration was last confirmed to be the newest.
//!
//! Hosts that no longer receive configuration changes must stop accepting withdrawn
//! keys, so keys are accepted only while this age is below a bound. The age is measured
//! on a clock that includes suspended time, and from before the confirming read was
//! sent, so that delays can only overstate it.

use std::time::Duration;

/// A point on a clock that includes suspended time: the time since the machine booted.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Default)]
pub struct BootTime(pub Duration);

impl BootTime {
    /// The time since `earlier`; zero if `earlier` is later than this point.
    pub const fn since(self, earlier: Self) -> Duration {
        self.0.saturating_sub(earlier.0)
    }
}

/// The latest point at which the configuration was known to be the newest.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Freshness {
    confirmed_at: Option<BootTime>,
}

impl Freshness {
    /// Records a read that was sent at `sent_at` and found no newer configuration.
    pub fn confirm(&mut self, sent_at: BootTime) {
        self.confirmed_at = self.confirmed_at.max(Some(sent_at));
    }

    /// Records a peer's reply to a query that was sent at `sent_at`.
    ///
    /// `age` is the age of the peer's configuration when it replied. It is subtracted
    /// from the time of the query, so the resulting age is never understated.
    pub fn confirm_from_peer(&mut self, sent_at: BootTime, age: Duration) {
        if let Some(confirmed_at) = sent_at.0.checked_sub(age) {
            self.confirm(BootTime(confirmed_at));
        }
    }

    /// The age at `now`; `None` before the first confirmation.
    pub fn age(&self, now: BootTime) -> Option<Duration> {
        self.confirmed_at.map(|confirmed_at| now.since(confirmed_at))
    }

    /// Whether the age is known and below `limit`, so that keys may be accepted.
    pub fn is_fresh(&self, now: BootTime, limit: Duration) -> bool {
        self.age(now).is_some_and(|age| age < limit)
    }
}
