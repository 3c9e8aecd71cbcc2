//! Says once when something that a host depends on is lost, and once when it is back.

use std::fmt;
use std::time::Duration;

/// The mean pause after a failed read of a host that reads only because no reader helps it.
///
/// While the store is down, all hosts of a fleet are such hosts: at this pause 400 of them
/// send fewer than 300 calls a second, and keys, which stop anyway, need no sooner read.
const FALLBACK_RETRY_DELAY: Duration = Duration::from_millis(1_500);

/// The pause after a failed read: `pause` for a reader, longer and spread for others.
pub fn retry_delay(is_reader: bool, pause: Duration) -> Duration {
    if is_reader { pause } else { FALLBACK_RETRY_DELAY.mul_f64(0.5 + rand::random::<f64>()) }
}

/// Whether one reader reaches what it depends on.
#[derive(Debug)]
pub struct Dependency {
    what: &'static str,
    reader: &'static str,
    is_reachable: bool,
}

impl Dependency {
    /// A dependency that counts as reachable until it fails.
    pub const fn new(what: &'static str, reader: &'static str) -> Self {
        Self { what, reader, is_reachable: true }
    }

    /// Whether the last call succeeded.
    pub const fn is_reachable(&self) -> bool {
        self.is_reachable
    }

    /// Notes how a call ended, and logs a change.
    pub fn record_result(&mut self, error: Option<&impl fmt::Display>) {
        if self.is_reachable == error.is_none() {
            return;
        }
        self.is_reachable = error.is_none();
        let Self { what, reader, .. } = self;
        match error {
            None => log::info!("event=dependency_regained what={what} reader={reader}"),
            Some(error) => {
                log::warn!("event=dependency_lost what={what} reader={reader} error={error}");
            }
        }
    }
}
