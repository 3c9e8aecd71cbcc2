//! Logs once when a dependency of a host becomes unreachable, and once when it is reachable again.

use std::fmt;
use std::time::Duration;

/// The mean delay after a failed read by a host that reads the store itself only because no
/// reader replies.
///
/// While the store is down, this holds for all hosts of a fleet. With this delay, 400 hosts
/// send fewer than 300 calls a second. A shorter delay would not help API keys, which expire
/// during such an outage in any case.
const FALLBACK_RETRY_DELAY: Duration = Duration::from_millis(1_500);

/// The delay after a failed read: `pause` for a reader, longer and with jitter for other hosts.
pub fn retry_delay(is_reader: bool, pause: Duration) -> Duration {
    if is_reader { pause } else { FALLBACK_RETRY_DELAY.mul_f64(0.5 + rand::random::<f64>()) }
}

/// The reachability of one dependency, such as the store, as seen by one of its readers.
#[derive(Debug)]
pub struct Dependency {
    name: &'static str,
    reader: &'static str,
    is_reachable: bool,
}

impl Dependency {
    /// Creates a dependency that counts as reachable until a call fails.
    pub const fn new(name: &'static str, reader: &'static str) -> Self {
        Self { name, reader, is_reachable: true }
    }

    /// Whether the last call succeeded.
    pub const fn is_reachable(&self) -> bool {
        self.is_reachable
    }

    /// Records the result of a call, and logs a change of reachability.
    pub fn record_result(&mut self, error: Option<&impl fmt::Display>) {
        if self.is_reachable == error.is_none() {
            return;
        }
        self.is_reachable = error.is_none();
        let Self { name, reader, .. } = self;
        match error {
            None => log::info!("event=dependency_regained what={name} reader={reader}"),
            Some(error) => {
                log::warn!("event=dependency_lost what={name} reader={reader} error={error}");
            }
        }
    }
}
