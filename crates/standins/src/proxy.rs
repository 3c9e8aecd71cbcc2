//! A proxy for TCP and UDP that injects network faults.

use std::collections::{HashMap, HashSet};
use std::io;
use std::net::{IpAddr, SocketAddr};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream, UdpSocket};
use tokio::sync::watch;
use tokio::time::{Instant, sleep, sleep_until};

/// The largest datagram, in bytes.
const MAX_DATAGRAM_BYTES: usize = 65_536;
/// The most bytes forwarded at once, which is also the granularity of faults.
const CHUNK_BYTES: usize = 16 << 10;

/// The faults that a proxy injects; by default it forwards everything.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Rule {
    /// Whether open connections are closed, and new ones and datagrams dropped.
    pub is_partitioned: bool,
    /// Connections opened at another value of this counter stay open but forward nothing.
    ///
    /// [`Handle::blackhole_open`] increments it, so that only later connections work.
    pub blackhole_generation: u64,
    /// The latency added to every chunk of a connection, and to datagrams towards the target.
    pub delay: Duration,
    /// Whether traffic from the target is dropped, while traffic towards it arrives.
    pub drops_replies: bool,
    /// One of this many datagrams is dropped, both directions counted together; 0 for none.
    pub drop_every: u32,
    /// Connections are closed after this many bytes towards the target; 0 for no limit.
    pub close_after_bytes: u64,
    /// The bytes a second that all connections together carry in each direction; 0 for no limit.
    pub bytes_per_s: u64,
    /// Sources whose traffic is dropped, as `is_partitioned` drops that of all sources.
    pub blocked: HashSet<IpAddr>,
}

/// Controls the faults of a running proxy.
#[derive(Debug, Clone)]
pub struct Handle {
    rule: watch::Sender<Rule>,
}

impl Handle {
    fn new() -> (Self, watch::Receiver<Rule>) {
        let (rule, receiver) = watch::channel(Rule::default());
        (Self { rule }, receiver)
    }

    /// Replaces the rule, for open connections as well as for new ones.
    pub fn set(&self, rule: Rule) {
        self.rule.send_replace(rule);
    }

    /// Stops forwarding on all connections that are open now, without closing them.
    ///
    /// They forward nothing even after the rule changes again, unless [`Handle::set`] restores the
    /// value of [`Rule::blackhole_generation`] at which they were opened.
    pub fn blackhole_open(&self) {
        self.rule.send_modify(|rule| rule.blackhole_generation += 1);
    }
}

/// Starts a TCP proxy; it runs as long as the runtime.
///
/// Returns the address it listens on, whose port the system chooses if `listen` has port 0.
pub async fn tcp(listen: SocketAddr, target: SocketAddr) -> io::Result<(SocketAddr, Handle)> {
    let listener = TcpListener::bind(listen).await?;
    let address = listener.local_addr()?;
    if address == target {
        return Err(io::Error::other(format!("proxy at {address} would forward to itself")));
    }
    let (handle, rule) = Handle::new();
    let pacers = [Pacer::default(), Pacer::default()];
    tokio::spawn(async move {
        loop {
            let Ok((stream, source)) = listener.accept().await else {
                continue;
            };
            let (rule, pacers) = (rule.clone(), pacers.clone());
            tokio::spawn(async move {
                if let Err(error) = relay_connection(stream, source, target, rule, pacers).await {
                    log::debug!(
                        "event=proxy_connection_ended source={source} target={target} error={error}"
                    );
                }
            });
        }
    });
    Ok((address, handle))
}

/// Spaces the bytes that all connections of a proxy carry in one direction.
#[derive(Debug, Clone, Default)]
struct Pacer {
    /// When the link has carried everything that was sent so far.
    idle_at: Arc<Mutex<Option<Instant>>>,
}

impl Pacer {
    /// Waits until the link has carried `length` more bytes.
    async fn carry(&self, length: usize, bytes_per_s: u64) {
        if bytes_per_s == 0 {
            return;
        }
        let duration = Duration::from_secs_f64(length as f64 / bytes_per_s as f64);
        let until = {
            let mut idle_at = lock(&self.idle_at);
            let until = idle_at.map_or_else(Instant::now, |at| at.max(Instant::now())) + duration;
            *idle_at = Some(until);
            until
        };
        sleep_until(until).await;
    }
}

async fn relay_connection(
    client: TcpStream,
    source: SocketAddr,
    target: SocketAddr,
    mut rule: watch::Receiver<Rule>,
    [to_pacer, from_pacer]: [Pacer; 2],
) -> io::Result<()> {
    let is_partitioned = |rule: &Rule| rule.is_partitioned || rule.blocked.contains(&source.ip());
    if is_partitioned(&rule.borrow()) {
        return Ok(());
    }
    let server = TcpStream::connect(target).await?;
    let generation = rule.borrow().blackhole_generation;
    let (client_read, client_write) = client.into_split();
    let (server_read, server_write) = server.into_split();
    let to_target = copy(client_read, server_write, rule.clone(), generation, true, to_pacer);
    let from_target = copy(server_read, client_write, rule.clone(), generation, false, from_pacer);
    let partitioned = async {
        let _closed = rule.wait_for(is_partitioned).await;
    };
    tokio::select! {
        (to_target, from_target) = async { tokio::join!(to_target, from_target) } =>
            to_target.and(from_target),
        () = partitioned => Ok(()),
    }
}

/// Forwards one direction of a connection until it is closed at the source.
async fn copy(
    mut from: tokio::net::tcp::OwnedReadHalf,
    mut to: tokio::net::tcp::OwnedWriteHalf,
    rule: watch::Receiver<Rule>,
    generation: u64,
    is_to_target: bool,
    pacer: Pacer,
) -> io::Result<()> {
    let mut buffer = vec![0; CHUNK_BYTES];
    let mut forwarded = 0;
    loop {
        let length = from.read(&mut buffer).await?;
        if length == 0 {
            return to.shutdown().await;
        }
        let rule = rule.borrow().clone();
        if rule.blackhole_generation != generation || (rule.drops_replies && !is_to_target) {
            continue;
        }
        if !rule.delay.is_zero() {
            sleep(rule.delay).await;
        }
        pacer.carry(length, rule.bytes_per_s).await;
        let limit = rule.close_after_bytes;
        if is_to_target && limit > 0 && forwarded + length as u64 > limit {
            let rest = limit.saturating_sub(forwarded) as usize;
            to.write_all(&buffer[..rest]).await?;
            let message = format!("connection closed after {limit} bytes towards the target");
            return Err(io::Error::other(message));
        }
        forwarded += length as u64;
        to.write_all(&buffer[..length]).await?;
    }
}

/// Starts a UDP proxy; it runs as long as the runtime.
///
/// The target sees datagrams from the IP address of their source, but from another port.
pub async fn udp(listen: SocketAddr, target: SocketAddr) -> io::Result<(SocketAddr, Handle)> {
    let socket = Arc::new(UdpSocket::bind(listen).await?);
    let address = socket.local_addr()?;
    let (handle, rule) = Handle::new();
    let relay = Relay { socket, target, rule, sockets: Arc::default(), count: Arc::default() };
    tokio::spawn(relay.run());
    Ok((address, handle))
}

/// The socket that sends to the target on behalf of each source.
type Sockets = Arc<Mutex<HashMap<SocketAddr, Arc<UdpSocket>>>>;

#[derive(Clone)]
struct Relay {
    socket: Arc<UdpSocket>,
    target: SocketAddr,
    rule: watch::Receiver<Rule>,
    sockets: Sockets,
    /// Datagrams in both directions so far, for [`Rule::drop_every`].
    count: Arc<Mutex<u32>>,
}

impl Relay {
    async fn run(self) {
        let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
        loop {
            let Ok((length, source)) = self.socket.recv_from(&mut buffer).await else {
                continue;
            };
            if self.should_drop(source.ip()) {
                continue;
            }
            let Ok(socket) = self.socket_for(source).await else {
                continue;
            };
            let (bytes, delay) = (buffer[..length].to_vec(), self.rule.borrow().delay);
            let target = self.target;
            tokio::spawn(async move {
                sleep(delay).await;
                let _lost = socket.send_to(&bytes, target).await;
            });
        }
    }

    /// Counts a datagram from or to a source; returns whether the rule drops it.
    fn should_drop(&self, source: IpAddr) -> bool {
        let rule = self.rule.borrow();
        if rule.is_partitioned || rule.blocked.contains(&source) {
            return true;
        }
        let mut count = lock(&self.count);
        *count += 1;
        rule.drop_every > 0 && (*count).is_multiple_of(rule.drop_every)
    }

    /// Returns the socket that sends to the target on behalf of a source, opening it if needed.
    async fn socket_for(&self, source: SocketAddr) -> io::Result<Arc<UdpSocket>> {
        if let Some(socket) = lock(&self.sockets).get(&source) {
            return Ok(Arc::clone(socket));
        }
        let socket = Arc::new(UdpSocket::bind((source.ip(), 0)).await?);
        lock(&self.sockets).insert(source, Arc::clone(&socket));
        let (relay, reply_socket) = (self.clone(), Arc::clone(&socket));
        tokio::spawn(async move { relay.forward_replies(source, &reply_socket).await });
        Ok(socket)
    }

    async fn forward_replies(&self, source: SocketAddr, socket: &UdpSocket) {
        let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
        loop {
            let Ok((length, _target)) = socket.recv_from(&mut buffer).await else {
                continue;
            };
            let drops_replies = self.rule.borrow().drops_replies;
            if !drops_replies && !self.should_drop(source.ip()) {
                let _lost = self.socket.send_to(&buffer[..length], source).await;
            }
        }
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
