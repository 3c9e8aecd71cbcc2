//! When a stream whose engine sends no events is taken for stalled.
//!
//! Bytes that complete no event do not count: an engine may send comments, or a byte at a time, and
//! never go on. A slow engine is not taken for a stalled one, because the limit grows with the pauses
//! that the stream has had. See [docs/DESIGN.md](../../../docs/DESIGN.md#resumption).

use crate::prelude::*;

/// The shortest pause that is taken for a stall.
const MIN_LIMIT: Duration = Duration::from_secs(1);
/// The limit relative to the target latency of the first event.
const TARGET_FACTOR: u32 = 2;
/// The limit relative to the longest pause that the stream has had.
const PAUSE_FACTOR: u32 = 4;

/// The pauses between the events of one stream.
#[derive(Debug, Clone, Copy)]
pub struct Watch {
    target_latency: Duration,
    last_event_at: Instant,
    longest_pause: Duration,
    /// Whether the stream goes on waiting for its engine until the next event.
    is_waived: bool,
}

impl Watch {
    /// Starts with the response of the first engine.
    pub const fn new(target_latency: Duration, now: Instant) -> Self {
        let longest_pause = Duration::ZERO;
        Self { target_latency, last_event_at: now, longest_pause, is_waived: false }
    }

    /// Records that a complete event has arrived.
    pub fn record_event(&mut self, now: Instant) {
        self.longest_pause = self.longest_pause.max(now - self.last_event_at);
        self.last_event_at = now;
        self.is_waived = false;
    }

    /// Starts again with the response of another engine.
    pub const fn restart(&mut self, now: Instant) {
        self.last_event_at = now;
        self.is_waived = false;
    }

    /// Gives up watching until the next event, because no other engine can take the stream over.
    pub const fn waive(&mut self) {
        self.is_waived = true;
    }

    /// When the stream counts as stalled without another event; `None` while that is waived.
    pub fn stalled_at(&self) -> Option<Instant> {
        let limit = (self.target_latency * TARGET_FACTOR).max(self.longest_pause * PAUSE_FACTOR);
        (!self.is_waived).then(|| self.last_event_at + limit.max(MIN_LIMIT))
    }
}
