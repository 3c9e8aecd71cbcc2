//! The clock that runs on while the machine is suspended.

use std::time::Duration;

use damaskhatch_policy::freshness::Boot;
use rustix::time::{ClockId, clock_gettime};

/// The time since the machine started, suspended time included.
pub fn boot() -> Boot {
    let now = clock_gettime(ClockId::Boottime);
    Boot(Duration::new(now.tv_sec.unsigned_abs(), now.tv_nsec as u32))
}
