//! The scheduler's rules, each of which the `schedule` example can switch off or change alone.

use crate::prelude::*;

/// Default fraction of the decode slots that late demands leave free.
const LATE_RESERVE: f64 = 0.04;
/// Default lead of a team over its fair share, in seconds of its rate.
const BURST_CREDIT_SECONDS: f64 = 4.0;
/// Default time before the end of its patience from which a late demand may use the reserve.
const LAST_CALL: Duration = Duration::from_secs(2);

/// The scheduler's rules and their parameters.
#[derive(Debug, Clone, Copy, PartialEq)]
#[expect(clippy::struct_excessive_bools, reason = "each rule is switched on its own")]
pub struct Rules {
    /// Whether demands that can no longer meet their target wait behind all others; they are not
    /// refused for that.
    pub late_lane: bool,
    /// Whether teams share by weight; otherwise the queue is first come, first served.
    pub fair_queue: bool,
    /// Whether the prefix cache counts in the choice of a prefill engine.
    pub prefix_affinity: bool,
    /// Whether the time between tokens limits the batch of a decode engine.
    pub batch_limit: bool,
    /// Fraction of the decode slots that late demands leave free for those on time.
    pub late_reserve: f64,
    /// How far a team may run ahead of its fair share, in seconds of its rate, before it waits
    /// behind other teams.
    pub burst_credit: f64,
    /// A late demand with less patience left than this may use the reserve as well.
    pub last_call: Duration,
}

impl Default for Rules {
    fn default() -> Self {
        Self {
            late_lane: true,
            fair_queue: true,
            prefix_affinity: true,
            batch_limit: true,
            late_reserve: LATE_RESERVE,
            burst_credit: BURST_CREDIT_SECONDS,
            last_call: LAST_CALL,
        }
    }
}
