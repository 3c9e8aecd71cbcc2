//! Splits a byte stream of server-sent events into complete events.
//!
//! An engine's response may break off in the middle of an event. Only complete events are
//! forwarded to the caller, so that another engine can resume after the last of them, and so that
//! a body that stops inside an event is recognized. Lines end in LF, CRLF or CR, and a blank line
//! ends an event, as the format's publisher, the WHATWG, defines. See
//! [docs/DESIGN.md](../../../../docs/DESIGN.md#ends-of-responses).

use std::ops::Range;

use bytes::{Bytes, BytesMut};
use damaskhatch_exchange::{HeaderMap, header};
use damaskhatch_policy::ending::Content;
use displaydoc::Display;

/// How much of a whole body is examined at a time, in bytes, so that it is not copied as a whole.
const PIECE_BYTES: usize = 64 << 10;
/// The encoding of U+FEFF, which a stream may begin with.
const BYTE_ORDER_MARK: &[u8] = b"\xef\xbb\xbf";

/// The longest event of a stream, in bytes; also the longest comment.
///
/// An event is kept until it is complete, so without a bound an engine that never ends one takes up
/// all memory. See [docs/DESIGN.md](../../../../docs/DESIGN.md#memory).
pub const MAX_EVENT_BYTES: usize = 256 << 10;

/// Why the bytes of a response are no part of the caller's stream.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub enum Error {
    /// resumed stream is out of order: got event {found} after event {last}
    Gap {
        /// Id of the last event before the stream was resumed.
        last: u64,
        /// Id of the first event afterwards.
        found: u64,
    },
    /// resumed stream is out of order: got an event without id after event {last}
    Unnamed {
        /// Id of the last event before the stream was resumed.
        last: u64,
    },
    /// event exceeds {0} bytes
    TooLong(usize),
}

impl std::error::Error for Error {}

/// What follows in the bytes received.
enum Step {
    /// The end of a line whose content is at this range.
    Line(Range<usize>),
    /// The LF of a CRLF, whose CR has ended the line.
    LineFeed,
}

/// Finds the ends of lines in the bytes of one response.
#[derive(Debug, Clone, Default)]
struct Lines {
    /// The bytes that have not been returned.
    pending: BytesMut,
    /// Up to where `pending` has been searched for the end of a line.
    searched: usize,
    /// Where the line begins whose end has not been found.
    start: usize,
    /// The number of lines that have ended.
    ended: usize,
    /// Whether the last line ended in CR, to which a following LF belongs.
    is_after_cr: bool,
    /// Whether any line has ended in CRLF.
    has_crlf: bool,
}

impl Lines {
    /// Moves past the next end of a line; `None` if it has not been received.
    fn next(&mut self) -> Option<Step> {
        let next = *self.pending.get(self.searched)?;
        if std::mem::take(&mut self.is_after_cr) && next == b'\n' {
            self.has_crlf = true;
            self.searched += 1;
            self.start = self.searched;
            return Some(Step::LineFeed);
        }
        let tail = &self.pending[self.searched..];
        let Some(length) = tail.iter().position(|byte| matches!(byte, b'\n' | b'\r')) else {
            self.searched = self.pending.len();
            return None;
        };
        let end = self.searched + length;
        let line = self.start..end;
        self.is_after_cr = self.pending[end] == b'\r';
        self.searched = end + 1;
        self.start = self.searched;
        self.ended += 1;
        Some(Step::Line(line))
    }

    /// Removes and returns the first `length` bytes, which end at the end of a line.
    fn split_to(&mut self, length: usize) -> Bytes {
        self.searched -= length;
        self.start -= length;
        self.pending.split_to(length).freeze()
    }
}

/// Buffers bytes until they complete an event.
///
/// Comments between two events are passed on at once, because engines send them to keep a
/// connection alive.
#[derive(Debug, Clone)]
pub struct Splitter {
    lines: Lines,
    /// The longest event, in bytes.
    max_bytes: usize,
    /// Whether a field of an event has been received, but not the blank line that ends it.
    is_inside: bool,
    /// The id of the event that has not ended.
    open_id: Option<u64>,
    has_event: bool,
    last_id: Option<u64>,
    /// Whether the last complete event had an id.
    is_last_named: bool,
    next: Next,
}

/// What is known about the next event.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Next {
    /// It comes from the engine of the last one, or is the first of the stream.
    Same,
    /// It is the first from another engine.
    Resumed,
    /// The same, and an earlier engine had more to send after the last complete event.
    Owed,
}

impl Default for Splitter {
    fn default() -> Self {
        Self::new(MAX_EVENT_BYTES)
    }
}

impl Splitter {
    /// Creates a splitter of events of at most `max_bytes`.
    fn new(max_bytes: usize) -> Self {
        Self {
            lines: Lines::default(),
            max_bytes,
            is_inside: false,
            open_id: None,
            has_event: false,
            last_id: None,
            is_last_named: false,
            next: Next::Same,
        }
    }

    /// Adds bytes and returns the events that are complete with them, possibly none.
    ///
    /// # Errors
    ///
    /// Fails if the first event after [`Self::resume`] does not have the id that is the next, or if more
    /// bytes than an event may have do not complete one.
    pub fn push(&mut self, bytes: &[u8]) -> Result<Bytes, Error> {
        self.lines.pending.extend_from_slice(bytes);
        // The length of the prefix that does not end inside an event.
        let mut complete = 0;
        while let Some(step) = self.lines.next() {
            match step {
                Step::Line(line) => {
                    let line = self.without_mark(line);
                    self.end_line(line)?;
                    if !self.is_inside {
                        complete = self.lines.searched;
                    }
                }
                Step::LineFeed if !self.is_inside => complete = self.lines.searched,
                Step::LineFeed => {}
            }
        }
        let complete = self.lines.split_to(complete);
        if self.rest_bytes() > self.max_bytes {
            return Err(Error::TooLong(self.max_bytes));
        }
        Ok(complete)
    }

    /// Leaves a byte-order mark out of the first line of a response.
    ///
    /// In the middle of a resumed stream it would be part of a field's name, so it is removed.
    fn without_mark(&mut self, line: Range<usize>) -> Range<usize> {
        let length = BYTE_ORDER_MARK.len();
        if self.lines.ended > 1 || !self.lines.pending[line.clone()].starts_with(BYTE_ORDER_MARK) {
            return line;
        }
        if self.next == Next::Same {
            return line.start + length..line.end;
        }
        self.lines.split_to(length);
        line.start..line.end - length
    }

    /// Interprets a line: a field, a comment, or the blank line that ends an event.
    fn end_line(&mut self, line: Range<usize>) -> Result<(), Error> {
        match &self.lines.pending[line] {
            [] => self.end_event()?,
            [b':', ..] => {}
            field => {
                self.is_inside = true;
                self.open_id = event_id(field).or(self.open_id);
            }
        }
        Ok(())
    }

    /// Ends the event that a blank line completes, if there is one.
    fn end_event(&mut self) -> Result<(), Error> {
        if !std::mem::take(&mut self.is_inside) {
            return Ok(());
        }
        let id = self.open_id.take();
        if let Some(last) = self.last_id.filter(|_| self.next != Next::Same) {
            // An engine may report a failure as an event, which has no id.
            let found = id.ok_or(Error::Unnamed { last })?;
            if found != last + 1 {
                return Err(Error::Gap { last, found });
            }
        }
        self.next = Next::Same;
        (self.has_event, self.is_last_named) = (true, id.is_some());
        self.last_id = id.or(self.last_id);
        Ok(())
    }

    /// Discards an incomplete event before another engine's bytes are added, and returns the id
    /// of the last complete event.
    pub fn resume(&mut self) -> Option<u64> {
        let Self { has_event, last_id, is_last_named, max_bytes, .. } = *self;
        let is_owed = self.next == Next::Owed || self.rest_bytes() > 0;
        let next = if is_owed { Next::Owed } else { Next::Resumed };
        *self = Self { has_event, last_id, is_last_named, next, ..Self::new(max_bytes) };
        last_id
    }

    /// Notes that a stream that has been resumed does not end after the last complete event.
    pub const fn expect_more(&mut self) {
        self.next = Next::Owed;
    }

    /// Whether another engine can be told after which event to go on: none, or one with an id.
    pub const fn has_resume_point(&self) -> bool {
        !self.has_event || self.is_last_named
    }

    /// The id of the last complete event; `None` if no event had one.
    pub const fn last_id(&self) -> Option<u64> {
        self.last_id
    }

    /// Whether any event was complete.
    pub const fn has_event(&self) -> bool {
        self.has_event
    }

    /// How far the complete events go: whether there is one, and the id of the last.
    pub const fn progress(&self) -> (bool, Option<u64>) {
        (self.has_event, self.last_id)
    }

    /// The number of bytes received after the last complete event or comment.
    pub fn rest_bytes(&self) -> usize {
        self.lines.pending.len()
    }

    /// Where a body that ends here ends.
    ///
    /// `is_resumed` is whether the body was requested from a later event than the first. After
    /// [`Self::resume`], a body without an event has none of the rest, which is right only if there is
    /// no rest.
    pub fn content(&self, is_resumed: bool) -> Content {
        if self.is_cut() || self.next == Next::Owed {
            Content::InsideEvent
        } else if (self.has_event || is_resumed) && self.next == Next::Same {
            Content::AfterEvent
        } else {
            Content::BeforeEvents
        }
    }

    /// Whether a body that ends here was cut off: inside an event, a line or a line's end.
    pub fn is_cut(&self) -> bool {
        // A lone CR ends a line too, but not in a stream whose lines end in CRLF.
        self.rest_bytes() > 0 || (self.lines.is_after_cr && self.lines.has_crlf)
    }
}

/// Where a body ends that has been received as a whole, with its response's headers.
///
/// `is_implied` and `is_resumed` are as for [`is_event_stream`] and [`Splitter::content`].
pub fn content(headers: &HeaderMap, body: &[u8], is_implied: bool, is_resumed: bool) -> Content {
    if !is_event_stream(headers, is_implied) {
        return Content::Opaque;
    }
    let mut splitter = Splitter::new(usize::MAX);
    for piece in body.chunks(PIECE_BYTES) {
        if splitter.push(piece).is_err() {
            // Without a resumption in its middle, a body has no gap.
            return Content::Opaque;
        }
    }
    splitter.content(is_resumed)
}

/// Whether the body of a response is a stream of events, by its headers.
///
/// `is_implied` is whether it is one if no type is given, because the request's route is for streams.
pub fn is_event_stream(headers: &HeaderMap, is_implied: bool) -> bool {
    let value = |name| headers.get(name).map(|value| value.to_str().unwrap_or("").trim());
    let is_type = value(header::CONTENT_TYPE).map_or(is_implied, |value| {
        let essence = value.split(';').next().unwrap_or("").trim();
        essence.eq_ignore_ascii_case("text/event-stream")
    });
    let is_plain = value(header::CONTENT_ENCODING)
        .is_none_or(|value| value.is_empty() || value.eq_ignore_ascii_case("identity"));
    is_type && is_plain
}

/// The id that a line gives its event.
fn event_id(line: &[u8]) -> Option<u64> {
    let value = line.strip_prefix(b"id:")?;
    std::str::from_utf8(value).ok()?.trim().parse().ok()
}
