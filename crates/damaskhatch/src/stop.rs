//! The planned stop of a host.
//!
//! A host that is asked to stop has a limited time, at whose end it is killed. Requests that are not
//! complete by then end shortly before, each with a response that says what is known of it. See
//! [docs/DESIGN.md](../../../docs/DESIGN.md#planned-stop).

use damaskhatch_policy::prelude::*;
use tokio::sync::watch;
use tokio::time::sleep_until;

/// How long before its time is up a host ends the requests that are not complete.
const END_MARGIN: Duration = Duration::from_millis(500);
/// The largest part of its time for which a host that stops still accepts connections, as a divisor.
const NOTICE_PART: u32 = 2;

/// Whether and when the host stops; clones share it.
#[derive(Debug, Clone, Default)]
pub struct Stop {
    requests_end: watch::Sender<Option<Instant>>,
}

impl Stop {
    /// Begins to stop, with this much time for it; returns when requests end at the latest.
    pub fn begin(&self, time: Duration) -> Instant {
        let requests_end = Instant::now() + time.saturating_sub(END_MARGIN);
        self.requests_end.send_replace(Some(requests_end));
        requests_end
    }

    /// Whether the host has begun to stop.
    pub fn has_begun(&self) -> bool {
        self.requests_end().is_some()
    }

    /// When requests end at the latest; `None` unless the host stops.
    pub fn requests_end(&self) -> Option<Instant> {
        *self.requests_end.borrow()
    }

    /// Waits until requests must end.
    pub async fn wait(&self) {
        let mut seen = self.requests_end.subscribe();
        let end = seen.wait_for(Option::is_some).await.map_or(None, |end| *end);
        match end {
            Some(end) => sleep_until(end).await,
            // Not while this exists, which holds a sender.
            None => std::future::pending().await,
        }
    }
}

/// How long a host that has `time` to stop still accepts connections, if the settings say `notice`.
pub fn notice_time(notice: Duration, time: Duration) -> Duration {
    notice.min(time / NOTICE_PART)
}
