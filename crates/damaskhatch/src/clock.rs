//! The clock that runs on while the machine is suspended.
//!
//! The runtime's own clock stands still meanwhile, so a lease that is checked
//! against it would look valid long after the store has let it lapse.

use std::sync::LazyLock;
use std::time::Duration;

use damaskhatch_policy::freshness::BootTime;
use damaskhatch_policy::prelude::Instant;
use rustix::time::{ClockId, clock_gettime};

/// The same moment on both clocks, taken when the process first asks.
static ORIGIN: LazyLock<(Instant, BootTime)> = LazyLock::new(|| (Instant::now(), boot_time()));

/// The time since the machine started, suspended time included.
pub fn boot_time() -> BootTime {
    let now = clock_gettime(ClockId::Boottime);
    BootTime(Duration::new(now.tv_sec.unsigned_abs(), now.tv_nsec as u32))
}

/// The present as an [`Instant`] that suspended time has moved on.
///
/// Rights that end unless renewed, and the buckets that hang on them, are reckoned
/// in it; it may be ahead of the runtime's clock and never falls behind it for long.
pub fn steady() -> Instant {
    let (instant, at) = *ORIGIN;
    instant + boot_time().since(at)
}
