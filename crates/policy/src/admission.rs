//! How much memory a stream needs at its decode engine, and how long it may wait for it.
//!
//! Answers the pattern of memory-bound decode: a stream's memory grows while it
//! runs, and when an engine runs out the newest stream is preempted and read again.

use crate::length::Forecast;
use crate::prelude::*;

/// Standard deviations above the forecast length that are reserved.
const RESERVED_DEVIATIONS: f64 = 0.85;
/// The part of the first-token target that a request may wait for room.
const PATIENCE: f64 = 0.45;
/// The least time after which a caller who found no room returns.
pub const RETURN_AFTER: Duration = Duration::from_millis(500);
/// What is added at random to that time.
pub const RETURN_SPREAD: Duration = Duration::from_millis(1_500);

/// The tokens of memory to reserve.
pub fn memory(forecast: &Forecast, prompt: u32, most_output: u32, hint: Option<u32>) -> u32 {
    prompt + forecast.bound(most_output, hint, RESERVED_DEVIATIONS)
}

/// How long a request may wait for room.
pub fn patience(target: Duration) -> Duration {
    target.mul_f64(PATIENCE)
}
