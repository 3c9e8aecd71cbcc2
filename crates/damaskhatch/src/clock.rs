//! A monotonic clock that includes the time during which the machine is suspended.
//!
//! The runtime's clock stops during suspension, so a lease checked against it would still look
//! valid long after it has expired in the store.

use std::sync::LazyLock;
use std::time::Duration;

use damaskhatch_policy::freshness::BootTime;
use damaskhatch_policy::prelude::Instant;
use rustix::time::{ClockId, clock_gettime};

/// The same moment on both clocks, taken at the first use.
static ORIGIN: LazyLock<(Instant, BootTime)> = LazyLock::new(|| (Instant::now(), boot_time()));

/// The time since the machine started, suspended time included.
pub fn boot_time() -> BootTime {
    let now = clock_gettime(ClockId::Boottime);
    BootTime(Duration::new(now.tv_sec.unsigned_abs(), now.tv_nsec as u32))
}

/// The current time as an [`Instant`] that includes suspended time.
///
/// Leases and the buckets that depend on them are timed with it. It may be ahead of the runtime's
/// clock, and never falls behind it for long.
pub fn steady() -> Instant {
    let (instant, at) = *ORIGIN;
    instant + boot_time().since(at)
}
