//! How much memory a stream needs at its decode engine, and how long it may wait for it.
//!
//! Answers the pattern of memory-bound decode: a stream's memory grows while it
//! runs, and when an engine runs out the newest stream is preempted and read again.
//! A stream reserves the length that it stays under with even chance. What longer
//! streams take beyond that comes out of headroom that all streams of an engine
//! share: their deviations mostly cancel out, so it is far less than the sum of what
//! each would need alone; see [docs/DESIGN.md](../../../docs/DESIGN.md#admission).

use crate::length::Forecast;
use crate::prelude::*;

/// Standard deviations of the sum of an engine's streams that stay free when one is admitted.
const HEADROOM_DEVIATIONS: f64 = 1.0;
/// The part of the first-token target that a request may wait for room.
const PATIENCE: f64 = 0.45;
/// The least time after which a caller who found no room returns.
pub const MIN_RETRY_AFTER: Duration = Duration::from_millis(500);
/// What is added at random to that time.
pub const RETRY_AFTER_JITTER: Duration = Duration::from_millis(1_500);

/// The part of what is left up to its maximum that an answer is expected to take that has
/// outlived its forecast.
const OUTLIVED_REST: f64 = 0.5;

/// What a stream needs at its engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Need {
    /// The tokens of memory to reserve.
    pub memory: u32,
    /// The tokens that must be free beside them when the stream is admitted.
    pub headroom: u32,
}

/// What an answer needs of which `done` tokens are there, at an engine with `capacity` tokens.
pub fn need(
    forecast: &Forecast,
    (prompt, most_output): (u32, u32),
    hint: Option<u32>,
    done: u32,
    capacity: u32,
) -> Need {
    let median = forecast.bound(most_output, hint, 0.0);
    let left = f64::from(most_output.saturating_sub(done)) * OUTLIVED_REST;
    let output = if median > done { median } else { done + left.ceil() as u32 };
    let memory = prompt + output;
    let streams = f64::from(capacity) / f64::from(memory.max(1));
    // The streams that run there are taken to have estimates if this one has.
    let typical = hint.map(|_| forecast.bound(most_output, None, 0.0));
    let deviation = forecast.deviation(most_output, typical) * streams.max(1.0).sqrt();
    // A stream that is large for its engine must still fit when nothing else runs there.
    let headroom = (deviation * HEADROOM_DEVIATIONS) as u32;
    Need { memory, headroom: headroom.min(capacity.saturating_sub(memory)) }
}

/// How long a request may wait for room.
pub fn patience(target: Duration) -> Duration {
    target.mul_f64(PATIENCE)
}
