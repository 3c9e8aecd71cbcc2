//! Refuses the requests on connections that reach a host after it has ceased to take new ones.
//!
//! The kernel accepts connections for a listener before the process does, and resets those in its
//! queue when the listener is closed, although their callers may have sent a request. So the listener
//! of a stopping host stays open until nothing else is left to do, and each connection gets a refusal,
//! which says that its request did not run. See
//! [docs/DESIGN.md](../../../../docs/DESIGN.md#planned-stop).

use std::io;

use damaskhatch_policy::prelude::*;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::oneshot;
use tokio::task::{JoinHandle, JoinSet};
use tokio::time::{sleep, timeout, timeout_at};

use super::refusal::Refusal;
use crate::shared::Shared;

/// How long a caller may take to send its request's head.
const HEAD_TIMEOUT: Duration = Duration::from_secs(2);
/// How long refusals may take after the listener has been closed.
const FINISH_TIMEOUT: Duration = Duration::from_secs(1);
/// The longest head that is read, in bytes; a longer one is refused without its rest.
const MAX_HEAD_BYTES: usize = 16 << 10;
/// The most connections that are refused at a time; further ones wait in the listener's queue.
const MAX_CONNECTIONS: usize = 512;
/// The pause after a connection could not be accepted.
const ACCEPT_PAUSE: Duration = Duration::from_millis(100);
/// When a refused caller may come back; other hosts can serve it.
const RETRY_AFTER: Duration = Duration::from_millis(300);

/// The task that refuses connections.
#[derive(Debug)]
pub struct Refuser {
    close: oneshot::Sender<()>,
    task: JoinHandle<()>,
}

impl Refuser {
    /// Starts to accept and refuse the connections of a listener.
    ///
    /// # Errors
    ///
    /// Fails if the listener cannot be registered with the runtime.
    pub fn start(listener: std::net::TcpListener, shared: &Shared) -> io::Result<Self> {
        listener.set_nonblocking(true)?;
        let listener = TcpListener::from_std(listener)?;
        let (close, closed) = oneshot::channel();
        let task = actix_rt::spawn(run(listener, shared.clone(), closed));
        Ok(Self { close, task })
    }

    /// Closes the listener once its queue is empty, and waits for the refusals, until `until` at most.
    pub async fn finish(self, until: Instant) {
        // The task has ended if nobody receives this.
        let _result = self.close.send(());
        let until = until.min(Instant::now() + FINISH_TIMEOUT);
        if timeout_at(until, self.task).await.is_err() {
            log::warn!("event=refusals_incomplete");
        }
    }
}

async fn run(listener: TcpListener, shared: Shared, mut closed: oneshot::Receiver<()>) {
    let mut refused = JoinSet::new();
    loop {
        let has_room = refused.len() < MAX_CONNECTIONS;
        tokio::select! {
            _closed = &mut closed => break,
            accepted = listener.accept(), if has_room => match accepted {
                Ok((stream, _source)) => drop(refused.spawn(refuse(stream, shared.clone()))),
                Err(error) => {
                    log::warn!("event=tcp_accept error={error}");
                    sleep(ACCEPT_PAUSE).await;
                }
            },
            Some(_ended) = refused.join_next() => {}
        }
    }
    // The runtime would not look at connections that have come since it last waited.
    match listener.into_std() {
        Ok(listener) => {
            let queued = std::iter::from_fn(|| listener.accept().ok());
            for (stream, _source) in queued {
                match stream.set_nonblocking(true).and_then(|()| TcpStream::from_std(stream)) {
                    Ok(stream) => drop(refused.spawn(refuse(stream, shared.clone()))),
                    Err(error) => log::warn!("event=tcp_accept error={error}"),
                }
            }
        }
        Err(error) => log::warn!("event=queue_not_emptied error={error}"),
    }
    while refused.join_next().await.is_some() {}
}

/// Responds to the first request of a connection, and hands the connection over to be closed.
async fn refuse(mut stream: TcpStream, shared: Shared) {
    // Without a request there is nothing to be answered.
    let Ok(Ok(Some(head))) = timeout(HEAD_TIMEOUT, read_head(&mut stream)).await else { return };
    let mut response = response(&shared);
    if head.starts_with(b"HEAD ") {
        let head_bytes = response.find("\r\n\r\n").map_or(response.len(), |end| end + 4);
        response.truncate(head_bytes);
    }
    // The caller may have left.
    if stream.write_all(response.as_bytes()).await.is_err() {
        return;
    }
    match stream.into_std() {
        Ok(stream) => shared.closing.close(stream.into()),
        Err(error) => log::warn!("event=connection_not_closed_in_order error={error}"),
    }
}

/// Reads until the end of a request's head; returns `None` if the caller ends before.
async fn read_head(stream: &mut TcpStream) -> io::Result<Option<Vec<u8>>> {
    let (mut head, mut buffer) = (Vec::new(), [0; 1_024]);
    let is_complete = |head: &[u8]| {
        let ends_with_lines = |end: &[u8]| head.windows(end.len()).any(|part| part == end);
        ends_with_lines(b"\r\n\r\n") || ends_with_lines(b"\n\n")
    };
    while !is_complete(&head) && head.len() < MAX_HEAD_BYTES {
        let read = stream.read(&mut buffer).await?;
        if read == 0 {
            return Ok(None);
        }
        head.extend_from_slice(&buffer[..read]);
    }
    Ok(Some(head))
}

/// The refusal, as bytes.
fn response(shared: &Shared) -> String {
    let refusal = Refusal::after(Kind::Unavailable, RETRY_AFTER);
    let request = shared.next_request();
    let (kind, retry_ms) = (refusal.kind, RETRY_AFTER.as_millis());
    shared.journal.record(
        request,
        format_args!("event=refused reason={kind:?} retry_after_ms={retry_ms} phase=stopping"),
    );
    shared.metrics.refusals.with_label_values(&[&format!("{kind:?}")]).inc();
    let body = refusal.body(request).to_string();
    let retry_after = shared.deployment.dialect.retry_after(RETRY_AFTER);
    format!(
        "HTTP/1.1 503 Service Unavailable\r\nconnection: close\r\nretry-after: {retry_after}\r\n\
         content-type: application/json\r\ncontent-length: {}\r\n\r\n{body}",
        body.len()
    )
}
