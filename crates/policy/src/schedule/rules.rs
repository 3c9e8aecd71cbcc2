//! The scheduler's rules, which measurements change one at a time.

use crate::prelude::*;

/// The part of the decode slots that late demands leave free.
const LATE_RESERVE: f64 = 0.04;
/// How far a team may run ahead of its share, in seconds of its rate.
const BURST_CREDIT_SECONDS: f64 = 4.0;
/// How long before its caller gives up a late demand may use the reserve.
const LAST_CALL: Duration = Duration::from_secs(2);

/// The rules that measurements switch off one at a time.
#[derive(Debug, Clone, Copy, PartialEq)]
#[expect(clippy::struct_excessive_bools, reason = "each rule is switched on its own")]
pub struct Rules {
    /// Asks that are late wait behind the others instead of being refused.
    pub late_lane: bool,
    /// Teams share by weight instead of first come, first served.
    pub fair: bool,
    /// Prefill engines are chosen by what they have cached.
    pub prefix: bool,
    /// The batch is bounded by the time between tokens.
    pub batch_limit: bool,
    /// The part of the decode slots that late demands leave free for those still on time.
    pub late_reserve: f64,
    /// How far a team may run ahead of its share before it waits behind others, in seconds of its rate.
    pub burst_credit: f64,
    /// A late demand this close to the end of its patience uses the reserve too.
    pub last_call: Duration,
}

impl Default for Rules {
    fn default() -> Self {
        Self {
            late_lane: true,
            fair: true,
            prefix: true,
            batch_limit: true,
            late_reserve: LATE_RESERVE,
            burst_credit: BURST_CREDIT_SECONDS,
            last_call: LAST_CALL,
        }
    }
}
