//! When a caller that sends slowly is cut off, so that it does not hold its connection without end.
//!
//! What a caller sends may take a grace time, and beyond that the time that its bytes need at
//! [`MIN_BYTES_PER_S`]. A caller may thus pause, and be slow, but not send a byte now and then for as long
//! as it likes. See [docs/design/untrusted-callers.md](../../../docs/design/untrusted-callers.md).

use crate::prelude::*;

/// The rate that earns a caller further time, a tenth of that of a slow link.
pub const MIN_BYTES_PER_S: u32 = 1_000;

/// How long a caller may take that has sent `bytes`, with this grace time.
pub fn time_for(bytes: usize, grace: Duration) -> Duration {
    grace + Duration::from_secs_f64(bytes as f64 / f64::from(MIN_BYTES_PER_S))
}
