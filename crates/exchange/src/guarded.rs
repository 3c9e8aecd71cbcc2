//! A connection on which the bytes between two parts of a response are limited.
//!
//! The HTTP library skips any number of interim responses, and of zeros before the length of a chunk. It
//! does so without a pause while more bytes are there, so that one connection could keep a whole thread
//! busy, until a time limit of its reader.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::task::{Context, Poll};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// The most bytes that are read on a connection before its reader gets a head or bytes of a body.
///
/// The longest head, and as much of a body as is read ahead with it.
pub const MAX_BYTES_WITHOUT_PROGRESS: usize = 128 << 10;

/// What is known of the bytes on a connection; clones share it.
#[derive(Debug, Clone, Default)]
pub struct Guard(Arc<Counts>);

#[derive(Debug, Default)]
struct Counts {
    /// The bytes read since the reader last got any part of a response.
    unused: AtomicUsize,
    /// Whether bytes wait until the other end has read earlier ones, or cannot be sent any more.
    is_blocked: AtomicBool,
}

impl Guard {
    /// Begins to count anew: a request is sent, or a part of its response has been received.
    pub fn record_progress(&self) {
        self.0.unused.store(0, Ordering::Relaxed);
    }

    /// Whether a part of the request has not been sent, because the other end does not take it.
    pub fn is_blocked(&self) -> bool {
        self.0.is_blocked.load(Ordering::Relaxed)
    }

    /// Takes into account the result of a write, which is passed on.
    fn record_write(&self, written: Poll<io::Result<usize>>) -> Poll<io::Result<usize>> {
        match &written {
            Poll::Pending | Poll::Ready(Err(_)) => {
                self.0.is_blocked.store(true, Ordering::Relaxed);
            }
            Poll::Ready(Ok(_)) => self.0.is_blocked.store(false, Ordering::Relaxed),
        }
        written
    }
}

/// A connection with a [`Guard`].
#[derive(Debug)]
pub struct Stream {
    inner: TcpStream,
    guard: Guard,
}

impl Stream {
    /// Guards a connection on which nothing has been read.
    pub fn new(inner: TcpStream) -> (Self, Guard) {
        let guard = Guard::default();
        (Self { inner, guard: guard.clone() }, guard)
    }
}

impl AsyncRead for Stream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        let read = Pin::new(&mut self.inner).poll_read(context, buffer);
        let count = &self.guard.0.unused;
        let counted = count.load(Ordering::Relaxed) + buffer.filled().len() - before;
        count.store(counted, Ordering::Relaxed);
        if counted > MAX_BYTES_WITHOUT_PROGRESS {
            let reason = format!("no part of a response in {counted} bytes");
            return Poll::Ready(Err(io::Error::new(io::ErrorKind::InvalidData, reason)));
        }
        read
    }
}

impl AsyncWrite for Stream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.inner).poll_write(context, bytes);
        self.guard.record_write(written)
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_shutdown(context)
    }

    fn is_write_vectored(&self) -> bool {
        self.inner.is_write_vectored()
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        pieces: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.inner).poll_write_vectored(context, pieces);
        self.guard.record_write(written)
    }
}
