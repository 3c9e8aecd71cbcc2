//! Closes callers' connections so that the last response is not lost.
//!
//! The kernel resets a connection that is closed with unread bytes, and a reset discards what the
//! caller has not read yet. So a connection that the HTTP server is done with is closed in one
//! direction first, and what the caller still sends is read and discarded until the caller closes, for
//! a limited time and amount. See
//! [docs/DESIGN.md](../../../../docs/DESIGN.md#closed-connections).

use std::io;
use std::net::TcpStream;
use std::os::fd::OwnedFd;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use damaskhatch_policy::pace;
use damaskhatch_policy::prelude::{Duration, Instant};
use tokio::io::AsyncWriteExt;
use tokio::sync::mpsc;
use tokio::task::{JoinSet, consume_budget};
use tokio::time::timeout;

/// How long what a caller sends is discarded.
const MAX_TIME: Duration = Duration::from_secs(20);
/// How long a caller may send nothing meanwhile, or next to nothing; see [`pace`].
const MAX_PAUSE: Duration = Duration::from_secs(5);
/// The most bytes of one caller that are discarded.
const MAX_BYTES: usize = 64 << 20;
/// The most connections that wait for their callers to close them.
const MAX_CONNECTIONS: usize = 512;
/// The most bytes that are discarded at a time.
const BUFFER_BYTES: usize = 16 << 10;
/// The pause between two looks at the connections that are left.
const FINISH_PAUSE: Duration = Duration::from_millis(20);

/// The connections that the HTTP server is done with; clones share them.
#[derive(Debug, Clone)]
pub struct Closing {
    ended: mpsc::UnboundedSender<OwnedFd>,
    open: Arc<AtomicUsize>,
}

/// The queue of connections to close, for [`Queue::run`].
#[derive(Debug)]
pub struct Queue {
    ended: mpsc::UnboundedReceiver<OwnedFd>,
    open: Arc<AtomicUsize>,
}

impl Closing {
    /// Creates an empty queue, which has no effect until it runs.
    pub fn new() -> (Self, Queue) {
        let (sender, ended) = mpsc::unbounded_channel();
        let open = Arc::new(AtomicUsize::new(0));
        (Self { ended: sender, open: Arc::clone(&open) }, Queue { ended, open })
    }

    /// Closes a connection, given by a duplicate of its descriptor.
    ///
    /// The connection is closed at once if too many are open already.
    pub fn close(&self, descriptor: OwnedFd) {
        if self.open.fetch_add(1, Ordering::Relaxed) >= MAX_CONNECTIONS
            || self.ended.send(descriptor).is_err()
        {
            self.open.fetch_sub(1, Ordering::Relaxed);
        }
    }

    /// Waits until all connections are closed, but not beyond `until`.
    pub async fn finish(&self, until: Instant) {
        while self.open.load(Ordering::Relaxed) > 0 && Instant::now() < until {
            tokio::time::sleep(FINISH_PAUSE).await;
        }
    }
}

impl Queue {
    /// Closes the connections that are handed over, until there are no more senders.
    pub async fn run(mut self) {
        let mut tasks = JoinSet::new();
        loop {
            tokio::select! {
                descriptor = self.ended.recv() => {
                    let Some(descriptor) = descriptor else { return };
                    let open = Arc::clone(&self.open);
                    tasks.spawn(async move {
                        let _ended = timeout(MAX_TIME, discard(descriptor)).await;
                        open.fetch_sub(1, Ordering::Relaxed);
                    });
                }
                Some(_ended) = tasks.join_next() => {}
            }
        }
    }
}

/// Announces the end of a connection to its caller and discards what it sends until it closes.
async fn discard(descriptor: OwnedFd) {
    let Ok(mut stream) = tokio::net::TcpStream::from_std(TcpStream::from(descriptor)) else {
        return;
    };
    // Fails if the caller has reset the connection, which leaves nothing to do.
    if stream.shutdown().await.is_err() {
        return;
    }
    let mut total = 0;
    let started_at = Instant::now();
    while total < MAX_BYTES && started_at.elapsed() < pace::time_for(total, MAX_PAUSE) {
        // A caller that sends fast would otherwise keep the other tasks of the thread waiting.
        consume_budget().await;
        if !matches!(timeout(MAX_PAUSE, stream.readable()).await, Ok(Ok(()))) {
            return;
        }
        match discard_some(&stream) {
            Ok(0) => return,
            Ok(read) => total += read,
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
            Err(_broken) => return,
        }
    }
}

/// Reads what is there; the buffer lives no longer, so that waiting connections have none.
fn discard_some(stream: &tokio::net::TcpStream) -> io::Result<usize> {
    let mut buffer = [0; BUFFER_BYTES];
    stream.try_read(&mut buffer)
}
