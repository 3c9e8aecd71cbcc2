//! Reads a caller's connection only while the HTTP server can use what it reads.
//!
//! The HTTP server reads on while it serves a request, and decodes all that it has read. Requests sent
//! ahead then wait decoded, which takes many times the memory of their bytes. So a connection is
//! read, a little at a time, while none of its requests is served, and while a handler waits for the rest
//! of its body. What a caller sends beyond that stays in the kernel, whose buffers are bounded.
//!
//! The server keeps a long head that has no end yet. Beyond [`FREE_BYTES`] it counts among the bodies of
//! requests, so that many of them do not take the memory of others. See
//! [docs/design/untrusted-callers.md](../../../../docs/design/untrusted-callers.md).

use std::cell::{Cell, RefCell};
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, Waker};

use actix_web::body::{BodySize, MessageBody};
use actix_web::dev::{Payload, ServiceRequest, ServiceResponse};
use actix_web::error::PayloadError;
use actix_web::middleware::Next;
use actix_web::web::Bytes;
use actix_web::{Error, HttpMessage as _, HttpRequest};
use damaskhatch_exchange::memory::Share;
use futures_util::Stream;
use prometheus::IntCounter;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

/// The most bytes that are read at a time, all of which may be requests of a few bytes each.
const MAX_READ: usize = 4 << 10;
/// The bytes of a head that do not count among the bodies of requests.
const FREE_BYTES: usize = 8 << 10;
/// How much of a buffer the server may have for each byte in it, as it doubles buffers that are full.
const BUFFER_FACTOR: usize = 2;

/// Whether a connection may be read; clones share it.
#[derive(Debug, Clone, Default)]
pub struct Gate(Rc<State>);

#[derive(Debug, Default)]
struct State {
    /// The requests of the connection that are served; more than one only while one ends.
    served: Cell<usize>,
    /// Whether a handler waits for bytes of its request's body.
    is_awaited: Cell<bool>,
    /// The bytes that were read since the last request began to be served.
    unserved: Cell<usize>,
    /// The HTTP server's task, while it waits to read.
    reader: RefCell<Option<Waker>>,
}

impl Gate {
    /// The gate of a request's connection; `None` if the connection has none.
    fn of(request: &HttpRequest) -> Option<Self> {
        request.conn_data::<Self>().cloned()
    }

    fn is_open(&self) -> bool {
        self.0.served.get() == 0 || self.0.is_awaited.get()
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
    fn new(gate: Gate) -> Self {
        gate.0.served.set(gate.0.served.get() + 1);
        gate.0.unserved.set(0);
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
    /// The memory of a long head.
    share: Share,
    /// Counts heads that were refused for want of memory.
    refused: IntCounter,
    /// Whether the HTTP server has been given bytes that it has not decoded yet.
    has_given: bool,
}

impl<S> Gated<S> {
    /// Puts a gate, which is open, before a connection.
    ///
    /// Long heads use `share`, and `refused` counts those for which it has no room.
    pub fn new(stream: S, share: Share, refused: IntCounter) -> Self {
        Self { stream, gate: Gate::default(), share, refused, has_given: false }
    }

    /// The connection behind the gate.
    pub const fn stream(&self) -> &S {
        &self.stream
    }

    /// The gate, for the connection's data.
    pub const fn gate(&self) -> &Gate {
        &self.gate
    }

    /// Makes room for further bytes of a head that has no end yet.
    fn reserve(&mut self, more: usize) -> io::Result<()> {
        let State { served, unserved, .. } = &*self.gate.0;
        let bytes = if served.get() == 0 { unserved.get() + more } else { 0 };
        unserved.set(bytes);
        let counted = BUFFER_FACTOR * bytes.saturating_sub(FREE_BYTES);
        self.share.resize(counted).map_err(|error| {
            log::warn!("event=head_refused bytes={bytes} error={error}");
            self.refused.inc();
            io::Error::other(error)
        })
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
        if !self.gate.is_open() {
            self.gate.0.reader.replace(Some(cx.waker().clone()));
            return Poll::Pending;
        }
        let length = buffer.remaining().min(MAX_READ);
        let mut part = ReadBuf::new(buffer.initialize_unfilled_to(length));
        std::task::ready!(Pin::new(&mut self.stream).poll_read(cx, &mut part))?;
        let read = part.filled().len();
        buffer.advance(read);
        self.has_given = read > 0;
        Poll::Ready(self.reserve(read))
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
        self.gate.set_awaited(polled.is_pending());
        polled
    }
}

impl Drop for Awaited {
    fn drop(&mut self) {
        self.gate.set_awaited(false);
    }
}

/// A response's body that keeps the gate closed until the server is done with it.
struct Held<B> {
    body: B,
    _served: Option<Served>,
}

impl<B: MessageBody + Unpin> MessageBody for Held<B> {
    type Error = B::Error;

    fn size(&self) -> BodySize {
        self.body.size()
    }

    fn poll_next(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Bytes, Self::Error>>> {
        Pin::new(&mut self.body).poll_next(cx)
    }
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
    let served = gate.map(Served::new);
    let response = next.call(request).await?.map_into_boxed_body();
    Ok(response.map_body(|_head, body| Held { body, _served: served }))
}
