//! When a domain's second reader reads the store itself.
//!
//! One host of a domain reads the store for all. A second one stands by: it follows the first like
//! any other host, and reads as soon as the first no longer keeps the configuration fresh, before
//! the others would all begin to. See [docs/DESIGN.md](../../../docs/DESIGN.md#age-of-the-configuration).

use crate::prelude::*;

/// The age of the configuration from which the standby reads.
///
/// While the first reader works, its age rises up to the length of two watches, 2 s, and a
/// follower's by the interval of its queries, 0.3 s, more.
pub const READ_AFTER: Duration = Duration::from_millis(2_400);
/// How long the standby reads before it relies on the first reader again.
const READ_FOR: Duration = Duration::from_secs(10);

/// Whether a host that stands by reads the store now.
#[derive(Debug, Clone, Copy, Default)]
pub struct Standby {
    reads_until: Option<Instant>,
}

impl Standby {
    /// Whether the store has to be read; `age` is that of the configuration.
    pub fn must_read(&mut self, age: Option<Duration>, now: Instant) -> bool {
        if age.is_none_or(|age| age > READ_AFTER) {
            self.reads_until = Some(now + READ_FOR);
        }
        self.reads_until.is_some_and(|until| now < until)
    }
}
