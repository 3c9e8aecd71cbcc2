//! The memory that a stream needs at its decode engine, and how long it may wait for it.
//!
//! A stream's KV cache grows while it decodes. When an engine runs out of memory, it
//! preempts the newest stream, whose tokens must then be prefilled again. A stream
//! therefore reserves memory for its median predicted length. Streams that grow beyond
//! it use headroom that all streams of an engine share. Their deviations mostly cancel
//! out, so the headroom is far smaller than the sum of what each stream would need
//! alone.
//!
//! The streams of an engine are at different points of their responses, so while the newest
//! grow, the oldest end. Where an operator allows it, a stream reserves only a part of its
//! predicted length, and the headroom is larger instead; see
//! [docs/DESIGN.md](../../../docs/DESIGN.md#admission).

use crate::length::Forecast;
use crate::prelude::*;

/// The headroom that must be free when a stream is admitted, in standard deviations of the
/// total length of the engine's streams.
const HEADROOM_DEVIATIONS: f64 = 1.0;
/// The further headroom, in the same unit, for streams that reserve nothing of their responses.
const GROWTH_DEVIATIONS: f64 = 5.0 / 6.0;
/// The fraction of the first-token target that a request may wait for memory.
const PATIENCE_FRACTION: f64 = 0.45;
/// The time that a stream which has begun may wait for memory, in first-token targets.
const RESUMPTION_PATIENCE_FACTOR: f64 = 2.0;
/// The minimum `Retry-After` time of a request that found no engine with enough memory.
pub const MIN_RETRY_AFTER: Duration = Duration::from_millis(500);
/// The upper bound of the random time added to [`MIN_RETRY_AFTER`].
pub const RETRY_AFTER_JITTER: Duration = Duration::from_millis(1_500);

/// How much longer the least urgent requests of a service are told to wait than the most urgent
/// ones, as a factor less 1.
const LESS_URGENT_RETURN: f64 = 1.0;

/// The fraction of its remaining tokens, up to the maximum, that a response is expected to produce
/// when it is already longer than forecast.
const OVERRUN_FRACTION: f64 = 0.5;

/// The memory that a stream needs at its engine, in tokens of KV cache.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Need {
    /// Tokens to reserve for the stream.
    pub memory: u32,
    /// Tokens that must be free beyond the reservation when the stream is admitted.
    pub headroom: u32,
}

/// Computes the memory for a response at an engine with `capacity` tokens of KV cache.
///
/// `prompt` and `max_output` are the prompt length and the maximum output length, `hint`
/// is the caller's estimate of the output length, and `done` is the number of output tokens
/// that earlier attempts have produced. `reserved` is the fraction of the rest of the response for
/// which memory is reserved.
pub fn need(
    forecast: &Forecast,
    (prompt, max_output): (u32, u32),
    hint: Option<u32>,
    done: u32,
    (capacity, reserved): (u32, f64),
) -> Need {
    let median = forecast.bound(max_output, hint, 0.0);
    let remaining = f64::from(max_output.saturating_sub(done)) * OVERRUN_FRACTION;
    let output = if median > done { median } else { done + remaining.ceil() as u32 };
    let rest = f64::from(output.saturating_sub(done));
    let memory = prompt + done + (rest * reserved).ceil() as u32;
    let streams = f64::from(capacity) / f64::from((prompt + output).max(1));
    // Assume that the engine's other streams have estimates if this one does.
    let typical = hint.map(|_| forecast.bound(max_output, None, 0.0));
    let deviation = forecast.deviation(max_output, typical) * streams.max(1.0).sqrt();
    // A stream that takes most of an engine's memory must still fit an idle engine.
    let deviations = HEADROOM_DEVIATIONS + (1.0 - reserved) * GROWTH_DEVIATIONS;
    let headroom = (deviation * deviations) as u32;
    Need { memory, headroom: headroom.min(capacity.saturating_sub(memory)) }
}

/// When a request that was refused for lack of room may come back.
///
/// `sample` is uniform in [0, 1), so that returns do not coincide. The less urgent return later and
/// over a longer time; `rank` is the request's place among the priorities of its service.
pub fn return_after(rank: f64, sample: f64) -> Duration {
    stretch(MIN_RETRY_AFTER + RETRY_AFTER_JITTER.mul_f64(sample), rank)
}

/// The wait of a request with the place `rank`, where the most urgent are told to wait for `wait`.
pub fn stretch(wait: Duration, rank: f64) -> Duration {
    wait.mul_f64(1.0 + rank * LESS_URGENT_RETURN)
}

/// How long a request may wait for memory, given its route's first-token target.
pub fn patience(target: Duration) -> Duration {
    target.mul_f64(PATIENCE_FRACTION)
}

/// How long a stream that has begun may wait for memory at an engine that can go on with it.
///
/// Longer than a new one, which can go to other engines or come back: its caller has part of the
/// response already, and gives up a silent stream only after four times the target.
pub fn resumption_patience(target_latency: Duration) -> Duration {
    target_latency.mul_f64(RESUMPTION_PATIENCE_FACTOR)
}
