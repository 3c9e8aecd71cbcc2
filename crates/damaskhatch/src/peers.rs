//! Sends and receives frames: UDP for small messages, TCP for configurations.
//!
//! Everything a host sends leaves from its own IP address, so that the network
//! between hosts can be told apart by its two ends.

use std::net::{IpAddr, SocketAddr};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use damaskhatch_policy::prelude::Tag;
use damaskhatch_wire::frame::{MAX_DATAGRAM_BYTES, MAX_STREAM_BYTES};
use damaskhatch_wire::prelude::*;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpSocket, TcpStream, UdpSocket};
use tokio::sync::mpsc;
use tokio::time::timeout;

use crate::metrics::Metrics;

/// How long one exchange over TCP may take.
const EXCHANGE_TIMEOUT: Duration = Duration::from_secs(2);

/// A message on its way out.
#[derive(Debug)]
pub struct Parcel {
    /// Where to.
    pub to: SocketAddr,
    /// The message.
    pub body: Body,
}

/// A message that came in.
#[derive(Debug, Clone)]
pub struct Arrival {
    /// The host that sent it.
    pub from: Tag,
    /// The incarnation of that host.
    pub incarnation: u64,
    /// Where an answer is sent to.
    pub source: SocketAddr,
    /// The message.
    pub body: Body,
}

/// Hands messages to the sending task.
#[derive(Debug, Clone)]
pub struct Outbox {
    sender: mpsc::UnboundedSender<Parcel>,
}

impl Outbox {
    /// Makes an outbox and the queue that the sending task empties.
    pub fn new() -> (Self, mpsc::UnboundedReceiver<Parcel>) {
        let (sender, receiver) = mpsc::unbounded_channel();
        (Self { sender }, receiver)
    }

    /// Sends a message; it may be lost like any datagram.
    pub fn send(&self, to: SocketAddr, body: Body) {
        if self.sender.send(Parcel { to, body }).is_err() {
            log::debug!("event=send_after_stop to={to}");
        }
    }
}

/// A codec that the tasks of one host share.
pub type SharedCodec = Arc<Mutex<Codec>>;

/// The UDP side of a host.
pub struct Datagrams<F> {
    /// The socket, bound to the peer address.
    pub socket: UdpSocket,
    /// The codec.
    pub codec: SharedCodec,
    /// This host.
    pub host: Tag,
    /// The start of this process.
    pub incarnation: u64,
    /// The addresses that mean this host itself.
    pub own: Vec<SocketAddr>,
    /// The host's metrics.
    pub metrics: Metrics,
    /// What is done with a message that came in.
    pub deliver: F,
}

impl<F> std::fmt::Debug for Datagrams<F> {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Datagrams").field("own", &self.own).finish_non_exhaustive()
    }
}

impl<F: Fn(Arrival)> Datagrams<F> {
    /// Sends and receives until the outbox is gone.
    pub async fn run(self, mut outgoing: mpsc::UnboundedReceiver<Parcel>) {
        let mut buffer = vec![0; MAX_DATAGRAM_BYTES + 1];
        loop {
            tokio::select! {
                parcel = outgoing.recv() => match parcel {
                    Some(parcel) => self.send(parcel).await,
                    None => return,
                },
                received = self.socket.recv_from(&mut buffer) => match received {
                    Ok((length, source)) => self.receive(&buffer[..length], source),
                    // An earlier datagram was refused; the socket itself still works.
                    Err(error) => log::debug!("event=udp_receive error={error}"),
                },
            }
        }
    }

    async fn send(&self, parcel: Parcel) {
        let Parcel { to, body } = parcel;
        if self.own.contains(&to) {
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
            Err(error) => drop_frame(&self.metrics, source, error),
        }
    }
}

/// Answers exchanges over TCP; `answer` returns nothing for what is not a question.
pub async fn serve<F>(listener: TcpListener, codec: SharedCodec, metrics: Metrics, answer: F)
where
    F: Fn(Body) -> Option<Body> + Clone + 'static,
{
    loop {
        let (stream, source) = match listener.accept().await {
            Ok(accepted) => accepted,
            Err(error) => {
                log::warn!("event=tcp_accept error={error}");
                tokio::time::sleep(Duration::from_millis(100)).await;
                continue;
            }
        };
        let (codec, metrics, answer) = (Arc::clone(&codec), metrics.clone(), answer.clone());
        actix_rt::spawn(async move {
            let exchange = answer_one(stream, &codec, &metrics, answer);
            match timeout(EXCHANGE_TIMEOUT, exchange).await {
                Ok(Ok(())) => {}
                Ok(Err(error)) => drop_frame(&metrics, source, error),
                Err(_elapsed) => log::debug!("event=tcp_timeout source={source}"),
            }
        });
    }
}

async fn answer_one(
    mut stream: TcpStream,
    codec: &SharedCodec,
    metrics: &Metrics,
    answer: impl Fn(Body) -> Option<Body>,
) -> Result<()> {
    let bytes = read_frame(&mut stream).await?;
    let question = lock(codec).open(&bytes, MAX_STREAM_BYTES)?;
    if let Some(body) = answer(question.body) {
        let bytes = lock(codec).seal(body, MAX_STREAM_BYTES)?;
        metrics.peer_bytes.inc_by(bytes.len() as u64);
        write_frame(&mut stream, &bytes).await?;
    }
    Ok(())
}

/// Asks a peer over a new TCP connection, from this host's own IP address.
pub async fn query(
    from: IpAddr,
    to: SocketAddr,
    codec: &SharedCodec,
    metrics: &Metrics,
    question: Body,
) -> Result<Body> {
    let exchange = async {
        let mut stream = connect(from, to).await.map_err(|_error| Error::Short)?;
        let bytes = lock(codec).seal(question, MAX_STREAM_BYTES)?;
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

async fn read_frame(stream: &mut TcpStream) -> Result<Vec<u8>> {
    let length = stream.read_u32().await.map_err(|_error| Error::Short)? as usize;
    if length > MAX_STREAM_BYTES {
        return Err(Error::Long);
    }
    let mut bytes = Vec::new();
    // The buffer grows with what arrives, not with what the length promises.
    let mut body = stream.take(length as u64);
    body.read_to_end(&mut bytes).await.map_err(|_error| Error::Short)?;
    if bytes.len() < length { Err(Error::Short) } else { Ok(bytes) }
}

async fn write_frame(stream: &mut TcpStream, bytes: &[u8]) -> Result<()> {
    stream.write_u32(bytes.len() as u32).await.map_err(|_error| Error::Short)?;
    stream.write_all(bytes).await.map_err(|_error| Error::Short)
}

fn lock(codec: &SharedCodec) -> std::sync::MutexGuard<'_, Codec> {
    codec.lock().unwrap_or_else(std::sync::PoisonError::into_inner)
}

fn drop_frame(metrics: &Metrics, source: SocketAddr, error: Error) {
    metrics.frames_dropped.with_label_values(&[&format!("{error:?}").to_lowercase()]).inc();
    log::debug!("event=frame_dropped source={source} reason={error}");
}

/// The name of a message's kind, for metrics.
const fn kind(body: &Body) -> &'static str {
    match body {
        Body::Heartbeat { .. } => "heartbeat",
        Body::Charge(_) | Body::Charged { .. } | Body::Credit { .. } => "charge",
        Body::Borrow { .. } | Body::Lend { .. } | Body::Repay { .. } => "loan",
        Body::Enqueue(_) | Body::Queued(_) | Body::Redirect { .. } => "enqueue",
        Body::Grant { .. } | Body::Refuse { .. } => "grant",
        Body::Renew { .. } | Body::UnknownRequests(_) => "renew",
        Body::Release { .. } | Body::Released(_) => "release",
        Body::Strike(_) => "strike",
        Body::Withdraw(_) | Body::Withdrawn(_) => "withdraw",
        Body::GetHead
        | Body::Head { .. }
        | Body::GetChunks(_)
        | Body::Chunks(_)
        | Body::GetListing { .. }
        | Body::Listing { .. } => "config",
        Body::GetFreshness { .. } | Body::Freshness { .. } => "news",
        Body::Vouch { .. }
        | Body::GetVouch { .. }
        | Body::RosterChanged { .. }
        | Body::HandOver { .. } => "tenure",
    }
}
