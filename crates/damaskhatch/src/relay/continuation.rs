//! Which responses go on with a stream that has broken off or stalled.
//!
//! The caller has the head of the first response, so another one has to be of the same kind: only then
//! its body is more of the same stream. See [docs/DESIGN.md](../../../../docs/DESIGN.md#resumption).

use bytes::BytesMut;
use damaskhatch_exchange::{Head, StatusCode, header};

use crate::upstream::events::{self, Splitter, is_event_stream};

/// Whether the body of a response can be continued by that of another one.
pub fn is_resumable(first: &Head) -> bool {
    first.status == StatusCode::OK
}

/// Whether the body of `next` can follow in that of `first`.
///
/// A success without a body or with a part of one is no continuation. Where the first response names the
/// type of its body, the next one must do so too.
pub fn can_follow(first: &Head, next: &Head) -> bool {
    if first.status != StatusCode::OK || next.status != StatusCode::OK {
        return false;
    }
    if is_event_stream(&first.headers, true) {
        let is_implied = !first.headers.contains_key(header::CONTENT_TYPE);
        return is_event_stream(&next.headers, is_implied);
    }
    [header::CONTENT_TYPE, header::CONTENT_ENCODING]
        .iter()
        .all(|name| first.headers.get(name) == next.headers.get(name))
}

/// What a stalled engine has sent while another one is sought.
#[derive(Debug)]
pub struct Stalled {
    /// The splitter as it would be with these bytes.
    pub ahead: Splitter,
    /// The bytes.
    pub received: BytesMut,
    /// Set once the bytes are no events, so that nothing more is read.
    pub failure: Option<events::Error>,
}

impl Stalled {
    /// Before the first byte after those that `splitter` has.
    pub fn new(splitter: &Splitter) -> Self {
        Self { ahead: splitter.clone(), received: BytesMut::new(), failure: None }
    }

    /// Adds bytes; returns whether they complete an event or show that the stream is out of order.
    ///
    /// Bytes that complete no event must not end the search for another engine: more may follow.
    pub fn push(&mut self, bytes: &[u8]) -> bool {
        let before = self.ahead.progress();
        match self.ahead.push(bytes) {
            Ok(_complete) => {
                self.received.extend_from_slice(bytes);
                self.ahead.progress() != before
            }
            Err(too_long @ events::Error::TooLong(_)) => {
                self.received = BytesMut::new();
                self.failure = Some(too_long);
                false
            }
            Err(_out_of_order) => {
                self.received.extend_from_slice(bytes);
                true
            }
        }
    }
}
