//! Splits a byte stream of server-sent events into complete events.
//!
//! An engine's response may break off in the middle of an event. Only complete events are
//! forwarded to the caller, so that another engine can resume after the last of them.

use bytes::{Bytes, BytesMut};
use displaydoc::Display;

/// The blank line that ends an event.
const EVENT_END: &[u8] = b"\n\n";

/// resumed stream is out of order: got event {found} after event {last}
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub struct Gap {
    /// Id of the last event before the stream was resumed.
    pub last: u64,
    /// Id of the first event afterwards.
    pub found: u64,
}

impl std::error::Error for Gap {}

/// Buffers bytes until they complete an event.
#[derive(Debug, Default)]
pub struct Splitter {
    pending: BytesMut,
    last_id: Option<u64>,
    /// Whether the next event is the first from another engine.
    is_resumed: bool,
}

impl Splitter {
    /// Adds bytes and returns the events that are complete with them, possibly none.
    ///
    /// # Errors
    ///
    /// Fails if the first event after [`Self::resume`] has an id that is not the next.
    pub fn push(&mut self, bytes: &[u8]) -> Result<Bytes, Gap> {
        // The blank line may be split between two reads.
        let from = self.pending.len().saturating_sub(EVENT_END.len() - 1);
        self.pending.extend_from_slice(bytes);
        let tail = &self.pending[from..];
        let Some(at) = tail.windows(EVENT_END.len()).rposition(|window| window == EVENT_END) else {
            return Ok(Bytes::new());
        };
        let complete = self.pending.split_to(from + at + EVENT_END.len()).freeze();
        if std::mem::take(&mut self.is_resumed) {
            self.check_next(&complete)?;
        }
        self.last_id = event_ids(&complete).last().or(self.last_id);
        Ok(complete)
    }

    /// Checks that the ids of `events` continue after the last complete event.
    fn check_next(&self, events: &[u8]) -> Result<(), Gap> {
        match (self.last_id, event_ids(events).next()) {
            (Some(last), Some(found)) if found != last + 1 => Err(Gap { last, found }),
            _ => Ok(()),
        }
    }

    /// Discards an incomplete event before another engine's bytes are added, and returns the id
    /// of the last complete event.
    pub fn resume(&mut self) -> Option<u64> {
        self.pending.clear();
        self.is_resumed = true;
        self.last_id
    }

    /// The id of the last complete event; `None` if no event had one.
    pub const fn last_id(&self) -> Option<u64> {
        self.last_id
    }

    /// Removes and returns the bytes that follow the last complete event.
    pub fn take_rest(&mut self) -> Bytes {
        self.pending.split().freeze()
    }
}

/// The ids of `events`, in their order.
fn event_ids(events: &[u8]) -> impl Iterator<Item = u64> {
    let lines = std::str::from_utf8(events).unwrap_or_default().lines();
    lines.filter_map(|line| line.strip_prefix("id:")?.trim().parse().ok())
}
