//! Detects that a caller has closed its connection while a handler is pending.
//!
//! The HTTP server does not poll a connection while a handler is pending. A duplicate
//! of the connection's descriptor, registered with the runtime separately, becomes
//! ready as soon as the caller closes or resets the connection. See
//! [docs/DESIGN.md](../../../../docs/DESIGN.md#closed-callers).

use std::os::fd::{AsFd, OwnedFd};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use actix_web::dev::Extensions;
use actix_web::{HttpRequest, rt::net::TcpStream};
use rustix::event::{PollFd, PollFlags, Timespec, poll};
use socket2::SockRef;
use tokio::io::Interest;
use tokio::io::unix::AsyncFd;

use super::closing::Closing;

/// A duplicate of a connection's descriptor, which keeps the connection open after the HTTP server has
/// ended it.
#[derive(Debug)]
struct Duplicate {
    /// `None` once the connection has been handed over to be closed.
    descriptor: Option<OwnedFd>,
    is_reset: AtomicBool,
    closing: Closing,
}

impl Drop for Duplicate {
    fn drop(&mut self) {
        if let Some(descriptor) = self.descriptor.take()
            && !*self.is_reset.get_mut()
        {
            self.closing.close(descriptor);
        }
    }
}

/// The duplicate, shared by the connection and its requests.
#[derive(Debug, Clone)]
struct Descriptor(Arc<Duplicate>);

/// Stores a duplicate of each new connection's descriptor as connection data.
///
/// The kernel resets the connection once the caller has taken none of the bytes sent to it for
/// `unread_limit`; a connection with nothing to send is not affected.
pub fn on_connect(
    stream: &TcpStream,
    data: &mut Extensions,
    closing: &Closing,
    unread_limit: Duration,
) {
    if let Err(error) = SockRef::from(stream).set_tcp_user_timeout(Some(unread_limit)) {
        log::warn!("event=unread_limit_not_set error={error}");
    }
    match stream.as_fd().try_clone_to_owned() {
        Ok(descriptor) => {
            data.insert(Descriptor(Arc::new(Duplicate {
                descriptor: Some(descriptor),
                is_reset: AtomicBool::new(false),
                closing: closing.clone(),
            })));
        }
        Err(error) => log::warn!("event=descriptor_not_duplicated error={error}"),
    }
}

/// A caller's connection.
#[derive(Debug, Clone)]
pub struct Connection(Descriptor);

impl Connection {
    /// The connection of a request; `None` if its descriptor could not be duplicated.
    pub fn of(request: &HttpRequest) -> Option<Self> {
        request.conn_data::<Descriptor>().cloned().map(Self)
    }

    /// Makes the connection's close a reset, which the caller cannot take for the end of a body.
    ///
    /// The kernel closes the connections of a process that is killed, and obeys this too.
    pub fn reset_on_close(&self) {
        self.set_reset(true);
    }

    /// Undoes [`Self::reset_on_close`], for a body that has come to its end.
    pub fn end_on_close(&self) {
        self.set_reset(false);
    }

    /// Returns once the kernel takes further bytes for the caller, or the connection has ended.
    ///
    /// A caller that reads nothing thus gets no further request served, whose response would be kept for it.
    pub async fn wait_writable(&self) {
        let Some(descriptor) = self.0.0.descriptor.as_ref() else { return };
        let mut polled = [PollFd::new(descriptor, PollFlags::OUT)];
        if poll(&mut polled, Some(&Timespec::default())).is_ok_and(|ready| ready > 0) {
            return;
        }
        #[expect(
            deprecated,
            reason = "an owned descriptor meets the safety requirement of the unsafe replacement"
        )]
        let watched = descriptor
            .try_clone()
            .and_then(|duplicate| AsyncFd::with_interest(duplicate, Interest::WRITABLE));
        if let Ok(watched) = watched {
            let _ready = watched.writable().await;
        }
    }

    fn set_reset(&self, is_reset: bool) {
        let Duplicate { descriptor: Some(descriptor), is_reset: stored, .. } = &*self.0.0 else {
            return;
        };
        stored.store(is_reset, Ordering::Relaxed);
        let linger = is_reset.then_some(Duration::ZERO);
        if let Err(error) = SockRef::from(descriptor).set_linger(linger) {
            log::warn!("event=linger_not_set linger={linger:?} error={error}");
        }
    }
}

/// Watches one caller's connection for its close.
#[derive(Debug)]
pub struct Closed {
    /// `None` if the descriptor could not be duplicated or registered.
    descriptor: Option<AsyncFd<OwnedFd>>,
}

impl Closed {
    /// Starts watching the connection of a request.
    #[expect(
        deprecated,
        reason = "an owned descriptor meets the safety requirement of the unsafe replacement"
    )]
    pub fn watch(request: &HttpRequest) -> Self {
        let stored = request.conn_data::<Descriptor>();
        // A descriptor can be registered only once, so each watch registers a duplicate.
        let duplicate = stored.and_then(|stored| stored.0.descriptor.as_ref()?.try_clone().ok());
        let descriptor = duplicate
            .and_then(|duplicate| AsyncFd::with_interest(duplicate, Interest::READABLE).ok());
        Self { descriptor }
    }

    /// Returns once the caller has closed or reset its connection.
    ///
    /// Never returns if the connection cannot be watched. A pipelined request also makes the
    /// connection readable but is not a close.
    pub async fn wait(&self) {
        let Some(descriptor) = &self.descriptor else {
            return std::future::pending().await;
        };
        loop {
            let Ok(mut guard) = descriptor.ready(Interest::READABLE).await else {
                return;
            };
            let ready = guard.ready();
            if ready.is_read_closed() || ready.is_error() {
                return;
            }
            guard.clear_ready();
        }
    }
}
