//! How long ago this host last knew that its configuration was the newest.
//!
//! A withdrawn key must stop on hosts that no longer hear of changes, so keys are
//! good only while this age is below a bound. Ages are taken on a clock that runs
//! on while the machine is suspended, and from before the confirming read was
//! sent, so that delays only ever make them larger.

use std::time::Duration;

/// A point on a clock that also runs while the machine is suspended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Default)]
pub struct BootTime(pub Duration);

impl BootTime {
    /// The time since an earlier point.
    pub const fn since(self, earlier: Self) -> Duration {
        self.0.saturating_sub(earlier.0)
    }
}

/// When the configuration was last known to be the newest.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Freshness {
    confirmed: Option<BootTime>,
}

impl Freshness {
    /// Notes a read that began at `began` and brought nothing newer than what is in force.
    pub fn confirm(&mut self, began: BootTime) {
        self.confirmed = self.confirmed.max(Some(began));
    }

    /// Notes a peer's answer to a question sent at `asked`.
    ///
    /// `age` is the peer's own, so the sum never understates the true age.
    pub fn confirm_from_peer(&mut self, asked: BootTime, age: Duration) {
        if let Some(began) = asked.0.checked_sub(age) {
            self.confirm(BootTime(began));
        }
    }

    /// The age at `now`; `None` before the first confirmation.
    pub fn age(&self, now: BootTime) -> Option<Duration> {
        self.confirmed.map(|confirmed| now.since(confirmed))
    }

    /// Whether keys may be accepted.
    pub fn is_fresh(&self, now: BootTime, limit: Duration) -> bool {
        self.age(now).is_some_and(|age| age < limit)
    }
}
