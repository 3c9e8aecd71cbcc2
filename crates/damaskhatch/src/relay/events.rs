//! Cuts a stream of bytes into whole events.
//!
//! An engine may break off in the middle of an event. Only whole events reach the
//! caller, so that another engine can go on after the last of them.

use bytes::{Bytes, BytesMut};

/// The blank line that ends an event.
const END: &[u8] = b"\n\n";

/// Collects bytes until events are whole.
#[derive(Debug, Default)]
pub struct Splitter {
    pending: BytesMut,
    last_id: Option<u64>,
}

impl Splitter {
    /// Takes in bytes and returns the whole events among what is there.
    pub fn push(&mut self, bytes: &[u8]) -> Bytes {
        // An end may lie across the border of two reads.
        let from = self.pending.len().saturating_sub(END.len() - 1);
        self.pending.extend_from_slice(bytes);
        let tail = &self.pending[from..];
        let Some(at) = tail.windows(END.len()).rposition(|window| window == END) else {
            return Bytes::new();
        };
        let whole = self.pending.split_to(from + at + END.len()).freeze();
        self.last_id = last_id(&whole).or(self.last_id);
        whole
    }

    /// The id of the last whole event.
    pub const fn last_id(&self) -> Option<u64> {
        self.last_id
    }

    /// What is left after the last whole event.
    pub fn rest(&mut self) -> Bytes {
        self.pending.split().freeze()
    }
}

fn last_id(events: &[u8]) -> Option<u64> {
    let text = std::str::from_utf8(events).ok()?;
    let ids = text.lines().filter_map(|line| line.strip_prefix("id:"));
    ids.rev().find_map(|id| id.trim().parse().ok())
}
