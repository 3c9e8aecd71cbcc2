//! Reads a caller's connection only while the HTTP server can use what it reads.
//!
//! The HTTP server reads on while it serves a request, and decodes all that it has read. Requests sent
//! ahead then wait decoded, which takes many times the memory of their bytes. So a connection is
//! read, a little at a time, while none of its requests is served, and while a handler waits for the rest
//! of its body. What a caller sends beyond that stays in the kernel, whose buffers are bounded.
//!
//! A read ends after an empty line, which ends every head and every chunked body, and with the length of a
//! body where it is known; line ends before a head are left out. So the server has nothing of the next
//! request while it serves one: it would take the body of the next one for an unread rest of this one, and
//! close the connection.
//!
//! The server keeps a long head that has no end yet. Beyond [`FREE_BYTES`] it counts among the bodies of
//! requests, so that many of them do not take the memory of others. See
//! [docs/design/untrusted-callers.md](../../../../docs/design/untrusted-callers.md).

use std::cell::{Cell, RefCell};
use std::future::Future as _;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, Waker};

use actix_web::body::MessageBody;
use actix_web::dev::{Payload, ServiceRequest, ServiceResponse};
use actix_web::error::PayloadError;
use actix_web::http::header::CONTENT_LENGTH;
use actix_web::middleware::Next;
use actix_web::web::Bytes;
use actix_web::{Error, HttpMessage as _, HttpRequest};
use bytes::Buf as _;
use damaskhatch_exchange::memory::Share;
use futures_util::Stream;
use prometheus::IntCounter;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::time::{Duration, Sleep, sleep};

use super::unread::Holding;

/// The most bytes that are read at a time, all of which may be requests of a few bytes each.
const MAX_READ: usize = 4 << 10;
/// The bytes of a head that do not count among the bodies of requests.
const FREE_BYTES: usize = 16 << 10;
/// How long a caller may take to send a head; the server limits the first of a connection itself.
pub const HEAD_TIMEOUT: Duration = Duration::from_secs(10);
/// How much of a buffer the server may have for each byte in it, as it doubles buffers that are full.
const BUFFER_FACTOR: usize = 2;

/// Whether a connection may be read; clones share it.
#[derive(Debug, Clone, Default)]
pub struct Gate(Rc<State>);

/// A part of a request.
#[derive(Debug, Clone, Copy, Default)]
enum Part {
    /// A head, or the empty lines before it.
    #[default]
    Head,
    /// A body of which so many bytes are left.
    Sized(usize),
    /// A body that tells its end itself.
    Chunked,
}

#[derive(Debug, Default)]
struct State {
    /// The requests of the connection that are served; more than one only while one ends.
    served: Cell<usize>,
    /// Whether a handler waits for bytes of its request's body.
    is_awaited: Cell<bool>,
    /// What the bytes that are read next belong to.
    part: Cell<Part>,
    /// The bytes of a head that has no end yet.
    head: Cell<usize>,
    /// Whether a request was served already; the server itself limits the time of the first head.
    has_served: Cell<bool>,
    /// The HTTP server's task, while it waits to read.
    reader: RefCell<Option<Waker>>,
}

impl State {
    /// Whether what is read next belongs to a head, or stands before one.
    fn is_in_head(&self) -> bool {
        self.served.get() == 0 && matches!(self.part.get(), Part::Head)
    }
}

impl Gate {
    /// The gate of a request's connection; `None` if the connection has none.
    fn of(request: &HttpRequest) -> Option<Self> {
        request.conn_data::<Self>().cloned()
    }

    fn is_open(&self) -> bool {
        let has_body = !matches!(self.0.part.get(), Part::Head);
        self.0.served.get() == 0 || (self.0.is_awaited.get() && has_body)
    }

    /// Lets the HTTP server read again if it waits to, and it may.
    fn wake(&self) {
        if self.is_open()
            && let Some(reader) = self.0.reader.take()
        {
            reader.wake();
        }
    }

    /// Notes whether a handler waits for bytes of its request's body.
    fn set_awaited(&self, is_awaited: bool) {
        self.0.is_awaited.set(is_awaited);
        self.wake();
    }
}

/// Keeps the gate closed while a request is served, from its start until its response has been handed over.
#[derive(Debug)]
struct Served(Gate);

impl Served {
    /// Begins a request whose head has been read, and whose body, if any, is `part`.
    fn new(gate: Gate, part: Part) -> Self {
        gate.0.served.set(gate.0.served.get() + 1);
        gate.0.head.set(0);
        gate.0.has_served.set(true);
        gate.0.part.set(part);
        Self(gate)
    }
}

impl Drop for Served {
    fn drop(&mut self) {
        let Self(gate) = self;
        gate.0.served.set(gate.0.served.get().saturating_sub(1));
        gate.wake();
    }
}

/// A caller's connection that is read while its gate is open.
#[derive(Debug)]
pub struct Gated<S> {
    stream: S,
    gate: Gate,
    /// What was read behind the end of the last read's part.
    ahead: Bytes,
    /// Whether the bytes given last end with a line end, and perhaps a carriage return.
    is_at_line_start: bool,
    /// Whether the HTTP server has been given bytes that it has not decoded yet.
    has_given: bool,
    /// The memory of a long head.
    share: Share,
    /// The end of the time for a head that has begun.
    head_end: Option<Pin<Box<Sleep>>>,
    /// Counts heads that were refused for want of memory.
    refused: IntCounter,
}

impl<S> Gated<S> {
    /// Puts a gate, which is open, before a connection.
    ///
    /// Long heads use `share`, and `refused` counts those for which it has no room.
    pub fn new(stream: S, share: Share, refused: IntCounter) -> Self {
        Self {
            stream,
            gate: Gate::default(),
            ahead: Bytes::new(),
            is_at_line_start: false,
            has_given: false,
            share,
            head_end: None,
            refused,
        }
    }

    /// The connection behind the gate.
    pub const fn stream(&self) -> &S {
        &self.stream
    }

    /// The gate, for the connection's data.
    pub const fn gate(&self) -> &Gate {
        &self.gate
    }

    /// Whether the next byte may be the first of a head.
    fn is_before_head(&self) -> bool {
        self.gate.0.is_in_head() && self.gate.0.head.get() == 0
    }

    /// The length of what is given at once of `bytes`: to an empty line, or to the end of a body.
    fn length_to_end(&mut self, bytes: &[u8]) -> usize {
        if let Part::Sized(left) = self.gate.0.part.get() {
            let length = bytes.len().min(left);
            self.gate.0.part.set(if length < left {
                Part::Sized(left - length)
            } else {
                Part::Head
            });
            self.is_at_line_start = false;
            return length;
        }
        for (at, byte) in bytes.iter().enumerate() {
            match byte {
                b'\n' if self.is_at_line_start => {
                    self.is_at_line_start = false;
                    return at + 1;
                }
                b'\n' => self.is_at_line_start = true,
                b'\r' => {}
                _ => self.is_at_line_start = false,
            }
        }
        bytes.len()
    }

    /// Counts the bytes of a head that has no end yet, `more` of them new.
    fn count_head(&mut self, more: usize) -> io::Result<()> {
        let state = &self.gate.0;
        let bytes = if state.is_in_head() { state.head.get() + more } else { 0 };
        state.head.set(bytes);
        if bytes == 0 {
            self.head_end = None;
        }
        let counted = BUFFER_FACTOR * bytes.saturating_sub(FREE_BYTES);
        self.share.resize(counted).map_err(|error| {
            log::warn!("event=head_refused bytes={bytes} error={error}");
            self.refused.inc();
            io::Error::other(error)
        })
    }

    /// Fails once the time for a head that has begun is over.
    fn poll_head_end(&mut self, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let State { served, has_served, head, .. } = &*self.gate.0;
        if served.get() == 0 && has_served.get() && head.get() > 0 {
            let end = self.head_end.get_or_insert_with(|| Box::pin(sleep(HEAD_TIMEOUT)));
            std::task::ready!(end.as_mut().poll(cx));
            return Poll::Ready(Err(io::ErrorKind::TimedOut.into()));
        }
        Poll::Pending
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for Gated<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if std::mem::take(&mut self.has_given) {
            // The server reads until there is nothing more, and decodes only then.
            cx.waker().wake_by_ref();
            return Poll::Pending;
        }
        // A head that has been decoded since is kept no longer.
        self.count_head(0)?;
        if !self.gate.is_open() {
            self.gate.0.reader.replace(Some(cx.waker().clone()));
            return Poll::Pending;
        }
        if self.ahead.is_empty() {
            let mut bytes = [0; MAX_READ];
            let mut read = ReadBuf::new(&mut bytes);
            match Pin::new(&mut self.stream).poll_read(cx, &mut read) {
                Poll::Pending => return self.poll_head_end(cx),
                Poll::Ready(result) => result?,
            }
            self.ahead = Bytes::copy_from_slice(read.filled());
            if self.ahead.is_empty() {
                return Poll::Ready(Ok(()));
            }
        }
        if self.is_before_head() {
            // Line ends before a head are part of none, and the server would look at each of them anew.
            let first = self.ahead.iter().position(|byte| !matches!(byte, b'\r' | b'\n'));
            let skipped = first.unwrap_or(self.ahead.len());
            self.ahead.advance(skipped);
            if self.ahead.is_empty() {
                cx.waker().wake_by_ref();
                return Poll::Pending;
            }
        }
        let bytes = self.ahead.slice(..self.ahead.len().min(buffer.remaining()));
        let length = self.length_to_end(&bytes);
        buffer.put_slice(&self.ahead.split_to(length));
        self.has_given = true;
        Poll::Ready(self.count_head(length))
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for Gated<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(cx, bytes)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}

/// A request's body, which opens the gate while its handler waits for more.
struct Awaited {
    body: Payload,
    gate: Gate,
}

impl Stream for Awaited {
    type Item = Result<Bytes, PayloadError>;

    fn poll_next(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Option<Self::Item>> {
        let polled = Pin::new(&mut self.body).poll_next(cx);
        if matches!(polled, Poll::Ready(None)) {
            self.gate.0.part.set(Part::Head);
        }
        self.gate.set_awaited(polled.is_pending());
        polled
    }
}

impl Drop for Awaited {
    fn drop(&mut self) {
        // A handler that refuses a body may not have taken its end, which is there already.
        let mut cx = Context::from_waker(Waker::noop());
        while let Poll::Ready(Some(Ok(_rest))) = Pin::new(&mut *self).poll_next(&mut cx) {}
        self.gate.set_awaited(false);
    }
}

/// The body of a request, as its head announces it.
fn body_of(request: &HttpRequest) -> Part {
    if request.chunked().unwrap_or(false) {
        return Part::Chunked;
    }
    let length = request.headers().get(CONTENT_LENGTH);
    let length = length.and_then(|length| length.to_str().ok()?.trim().parse().ok());
    length.filter(|length| *length > 0).map_or(Part::Head, Part::Sized)
}

/// Closes the gate of a request's connection while the request is served.
///
/// # Errors
///
/// Fails as the handler does.
pub async fn close_while_served(
    mut request: ServiceRequest,
    next: Next<impl MessageBody + 'static>,
) -> Result<ServiceResponse<impl MessageBody>, Error> {
    let gate = Gate::of(request.request());
    if let Some(gate) = gate.clone() {
        let body = Awaited { body: request.take_payload(), gate };
        request.set_payload(Payload::Stream { payload: Box::pin(body) });
    }
    let part = body_of(request.request());
    let served = gate.map(|gate| Served::new(gate, part));
    let response = next.call(request).await?.map_into_boxed_body();
    Ok(response.map_body(|_head, body| Holding::new(body, served)))
}
