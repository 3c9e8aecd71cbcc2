//! Sends and receives frames between hosts: UDP for small messages, TCP for configurations.
//!
//! A host sends all frames from its own IP address, so that each network link between hosts is
//! identified by the addresses of its two ends.

use std::net::{IpAddr, SocketAddr};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use damaskhatch_policy::prelude::Tag;
use damaskhatch_wire::frame::{MAX_DATAGRAM_BYTES, MAX_STREAM_BYTES};
use damaskhatch_wire::prelude::*;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpSocket, TcpStream, UdpSocket};
use tokio::sync::{Semaphore, mpsc};
use tokio::time::timeout;

use crate::metrics::Metrics;
use crate::supervise::contain;

/// How long connecting may take, and the next byte in either direction.
const PROGRESS_TIMEOUT: Duration = Duration::from_secs(2);
/// How long one query and its reply over TCP may take as long as they make progress.
///
/// Below the age at which a frame is rejected; the largest takes less than half of it at 10 Mbit/s.
const EXCHANGE_TIMEOUT: Duration = Duration::from_secs(8);
/// The most bytes that are written before the next check for progress.
const PIECE_BYTES: usize = 64 << 10;
/// The number of hosts to which this one sends configuration chunks at a time; others are told to
/// ask elsewhere.
///
/// The hosts that have the chunks then soon send them, too, while a host that sent to all of them at
/// a time would complete none for long.
const MAX_TRANSFERS: usize = 4;

/// A message in the queue of the sending task.
#[derive(Debug)]
pub struct Envelope {
    /// The address of the receiver.
    pub to: SocketAddr,
    /// The message.
    pub body: Body,
}

/// A message received from another host, or from this host itself.
#[derive(Debug, Clone)]
pub struct Arrival {
    /// The tag of the sender, authenticated by the frame.
    pub from: Tag,
    /// The incarnation of the sender.
    pub incarnation: u64,
    /// The address to which a reply is sent.
    pub source: SocketAddr,
    /// The message.
    pub body: Body,
}

/// A handle that queues messages for the sending task.
#[derive(Debug, Clone)]
pub struct Outbox {
    sender: mpsc::UnboundedSender<Envelope>,
}

impl Outbox {
    /// Creates an outbox and the receiving end of its queue, for [`Datagrams::run`].
    pub fn new() -> (Self, mpsc::UnboundedReceiver<Envelope>) {
        let (sender, receiver) = mpsc::unbounded_channel();
        (Self { sender }, receiver)
    }

    /// Queues a message; it may be lost like any datagram.
    pub fn send(&self, to: SocketAddr, body: Body) {
        if self.sender.send(Envelope { to, body }).is_err() {
            log::debug!("event=send_after_stop to={to}");
        }
    }
}

/// The frame codec that the tasks of one host share.
pub type SharedCodec = Arc<Mutex<Codec>>;

/// The task that sends and receives a host's UDP frames.
pub struct Datagrams<F> {
    /// The socket, bound to the host's peer address.
    pub socket: UdpSocket,
    /// Seals and opens frames.
    pub codec: SharedCodec,
    /// The tag of this host.
    pub host: Tag,
    /// The incarnation of this process.
    pub incarnation: u64,
    /// The addresses of this host itself; messages to them skip the network.
    pub own_addresses: Vec<SocketAddr>,
    /// The metrics that count bytes and frames.
    pub metrics: Metrics,
    /// Called with each message received.
    pub deliver: F,
}

impl<F> std::fmt::Debug for Datagrams<F> {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Datagrams")
            .field("own_addresses", &self.own_addresses)
            .finish_non_exhaustive()
    }
}

impl<F: Fn(Arrival)> Datagrams<F> {
    /// Sends and receives until every [`Outbox`] has been dropped.
    pub async fn run(self, mut outgoing: mpsc::UnboundedReceiver<Envelope>) {
        let mut buffer = vec![0; MAX_DATAGRAM_BYTES + 1];
        loop {
            tokio::select! {
                envelope = outgoing.recv() => match envelope {
                    Some(envelope) => self.send(envelope).await,
                    None => return,
                },
                received = self.socket.recv_from(&mut buffer) => match received {
                    Ok((length, source)) => contain(|| self.receive(&buffer[..length], source)),
                    // An earlier datagram was refused; the socket remains usable.
                    Err(error) => log::debug!("event=udp_receive error={error}"),
                },
            }
        }
    }

    async fn send(&self, envelope: Envelope) {
        let Envelope { to, body } = envelope;
        if self.own_addresses.contains(&to) {
            return (self.deliver)(Arrival {
                from: self.host,
                incarnation: self.incarnation,
                source: to,
                body,
            });
        }
        let kind = kind(&body);
        let sealed = lock(&self.codec).seal(body, MAX_DATAGRAM_BYTES);
        let bytes = match sealed {
            Ok(bytes) => bytes,
            Err(error) => return log::error!("event=frame_unsent kind={kind} reason={error}"),
        };
        self.metrics.peer_bytes.inc_by(bytes.len() as u64);
        self.metrics.peer_frames.with_label_values(&[kind]).inc();
        if let Err(error) = self.socket.send_to(&bytes, to).await {
            log::debug!("event=udp_send to={to} error={error}");
        }
    }

    fn receive(&self, bytes: &[u8], source: SocketAddr) {
        let opened = lock(&self.codec).open(bytes, MAX_DATAGRAM_BYTES);
        match opened {
            Ok(frame) => {
                let (from, incarnation, body) = (frame.from, frame.incarnation, frame.body);
                (self.deliver)(Arrival { from, incarnation, source, body });
            }
            Err(error) => record_dropped_frame(&self.metrics, source, error),
        }
    }
}

/// Serves queries over TCP.
///
/// `respond` returns the reply to a query, or `None` for a message that is not a query.
pub async fn serve<F>(listener: TcpListener, codec: SharedCodec, metrics: Metrics, respond: F)
where
    F: Fn(Body) -> Option<Body> + Clone + 'static,
{
    let transfers = Arc::new(Semaphore::new(MAX_TRANSFERS));
    loop {
        let (stream, source) = match listener.accept().await {
            Ok(accepted) => accepted,
            Err(error) => {
                log::warn!("event=tcp_accept error={error}");
                // Avoids a busy loop while accepting keeps failing.
                tokio::time::sleep(Duration::from_millis(100)).await;
                continue;
            }
        };
        let (codec, metrics, respond) = (Arc::clone(&codec), metrics.clone(), respond.clone());
        let transfers = Arc::clone(&transfers);
        actix_rt::spawn(async move {
            let exchange = serve_query(stream, &codec, &metrics, &transfers, respond);
            match timeout(EXCHANGE_TIMEOUT, exchange).await {
                Ok(Ok(())) => {}
                Ok(Err(error)) => record_dropped_frame(&metrics, source, error),
                Err(_elapsed) => log::debug!("event=tcp_timeout source={source}"),
            }
        });
    }
}

async fn serve_query(
    mut stream: TcpStream,
    codec: &SharedCodec,
    metrics: &Metrics,
    transfers: &Semaphore,
    respond: impl Fn(Body) -> Option<Body>,
) -> Result<()> {
    let bytes = read_frame(&mut stream).await?;
    let query = lock(codec).open(&bytes, MAX_STREAM_BYTES)?;
    let is_transfer = matches!(query.body, Body::GetChunks(_) | Body::GetCompressedChunks(_));
    let permit = is_transfer.then(|| transfers.try_acquire());
    let reply = match &permit {
        Some(Err(_none_left)) => Some(Body::Busy),
        _ => respond(query.body),
    };
    if let Some(body) = reply {
        let bytes = lock(codec).seal(body, MAX_STREAM_BYTES)?;
        metrics.peer_bytes.inc_by(bytes.len() as u64);
        write_frame(&mut stream, &bytes).await?;
    }
    if let Some(Ok(_permit)) = permit {
        // The kernel takes a reply long before the link has carried it.
        let _closed = timeout(PROGRESS_TIMEOUT, stream.read(&mut [0; 1])).await;
    }
    Ok(())
}

/// Sends a query to a peer over a new TCP connection from the address `from` and returns the
/// reply.
///
/// Fails with [`Error::Short`] if the connection fails, breaks, makes no progress for 2 seconds or
/// takes more than 8 in all.
pub async fn query(
    from: IpAddr,
    to: SocketAddr,
    codec: &SharedCodec,
    metrics: &Metrics,
    query: Body,
) -> Result<Body> {
    let exchange = async {
        let mut stream = in_progress(connect(from, to)).await?;
        let bytes = lock(codec).seal(query, MAX_STREAM_BYTES)?;
        metrics.peer_bytes.inc_by(bytes.len() as u64);
        write_frame(&mut stream, &bytes).await?;
        let bytes = read_frame(&mut stream).await?;
        Ok(lock(codec).open(&bytes, MAX_STREAM_BYTES)?.body)
    };
    timeout(EXCHANGE_TIMEOUT, exchange).await.unwrap_or(Err(Error::Short))
}

async fn connect(from: IpAddr, to: SocketAddr) -> std::io::Result<TcpStream> {
    let socket = if to.is_ipv4() { TcpSocket::new_v4()? } else { TcpSocket::new_v6()? };
    socket.bind(SocketAddr::new(from, 0))?;
    socket.connect(to).await
}

/// Waits for one step of an exchange, for at most [`PROGRESS_TIMEOUT`].
async fn in_progress<T>(step: impl Future<Output = std::io::Result<T>>) -> Result<T> {
    match timeout(PROGRESS_TIMEOUT, step).await {
        Ok(Ok(result)) => Ok(result),
        Ok(Err(_)) | Err(_) => Err(Error::Short),
    }
}

async fn read_frame(stream: &mut TcpStream) -> Result<Vec<u8>> {
    let length = in_progress(stream.read_u32()).await? as usize;
    if length > MAX_STREAM_BYTES {
        return Err(Error::Long);
    }
    let mut bytes = Vec::new();
    // Grows with the bytes received, so that a false length cannot make it allocate much.
    let mut body = stream.take(length as u64);
    while bytes.len() < length {
        bytes.reserve(PIECE_BYTES.min(length - bytes.len()));
        if in_progress(body.read_buf(&mut bytes)).await? == 0 {
            return Err(Error::Short);
        }
    }
    Ok(bytes)
}

async fn write_frame(stream: &mut TcpStream, bytes: &[u8]) -> Result<()> {
    in_progress(stream.write_u32(bytes.len() as u32)).await?;
    for piece in bytes.chunks(PIECE_BYTES) {
        in_progress(stream.write_all(piece)).await?;
    }
    Ok(())
}

fn lock(codec: &SharedCodec) -> std::sync::MutexGuard<'_, Codec> {
    codec.lock().unwrap_or_else(std::sync::PoisonError::into_inner)
}

fn record_dropped_frame(metrics: &Metrics, source: SocketAddr, error: Error) {
    metrics.frames_dropped.with_label_values(&[&format!("{error:?}").to_lowercase()]).inc();
    log::debug!("event=frame_dropped source={source} reason={error}");
}

/// The kind of a message as a metric label.
const fn kind(body: &Body) -> &'static str {
    match body {
        Body::Heartbeat { .. } | Body::Availability(_) => "heartbeat",
        Body::Evacuations { .. } => "evacuations",
        Body::Speeds(_) => "speeds",
        Body::Charge(_) | Body::Charged { .. } | Body::Credit { .. } => "charge",
        Body::Borrow { .. } | Body::Lend { .. } | Body::Repay { .. } => "loan",
        Body::Enqueue(_) | Body::Queued(_) | Body::Redirect { .. } => "enqueue",
        Body::Grant { .. } | Body::Refuse { .. } => "grant",
        Body::Renew { .. } | Body::UnknownRequests(_) => "renew",
        Body::Release { .. } | Body::Released(_) => "release",
        Body::Strikes(_) | Body::StrikeDigest { .. } | Body::GetStrikes | Body::Proofs(_) => {
            "strike"
        }
        Body::Withdraw(_) | Body::Withdrawn(_) => "withdraw",
        Body::GetHead
        | Body::Head { .. }
        | Body::GetChunks(_)
        | Body::GetCompressedChunks(_)
        | Body::CompressedChunks(_)
        | Body::Busy
        | Body::Chunks(_)
        | Body::GetListing { .. }
        | Body::Listing { .. }
        | Body::GetUpstreams { .. }
        | Body::Upstreams { .. }
        | Body::GetEntries { .. }
        | Body::Entries { .. } => "config",
        Body::Begun(_) | Body::FindStream { .. } | Body::StreamFound { .. } => "lineage",
        Body::GetFreshness { .. } | Body::Freshness { .. } => "news",
        Body::Limits(_) | Body::GetLimits | Body::Ask { .. } | Body::Permit { .. } => "limit",
        Body::Vouch { .. }
        | Body::GetVouch { .. }
        | Body::RosterChanged { .. }
        | Body::HandOver { .. } => "tenure",
    }
}
