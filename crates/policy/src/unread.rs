//! When a response that its caller leaves unread is given up, so that others get its memory.
//!
//! While there is memory for all, a caller may pause for as long as the kernel's limit allows. Callers that
//! ask for long responses and read none would otherwise hold all memory for that long.

use crate::prelude::*;

/// For how long a caller may take nothing of a response while memory is short.
pub const MAX_PAUSE: Duration = Duration::from_secs(1);
/// The part of the memory for responses beyond which it is short: one in this many.
const SHORT_PART: usize = 2;

/// Whether a response is given up of which the caller has taken nothing for `paused`.
///
/// `used` and `total` are the bytes of all responses, and those that they may have.
pub fn is_given_up(paused: Duration, used: usize, total: usize) -> bool {
    paused >= MAX_PAUSE && used >= total / SHORT_PART
}
