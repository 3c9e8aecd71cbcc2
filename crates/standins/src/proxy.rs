//! A fault-injecting proxy for TCP and UDP.

use std::collections::{HashMap, HashSet};
use std::io;
use std::net::{IpAddr, SocketAddr};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream, UdpSocket};
use tokio::sync::watch;
use tokio::time::sleep;

/// The largest datagram, in bytes.
const MAX_DATAGRAM_BYTES: usize = 65_536;
/// Bytes moved at once.
const CHUNK_BYTES: usize = 16 << 10;

/// What happens to traffic.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Rule {
    /// Open connections break, and new ones and datagrams get nowhere.
    pub is_partitioned: bool,
    /// Connections that are open now go silent; new ones work.
    pub blackhole_generation: u64,
    /// Every message takes this much longer.
    pub delay: Duration,
    /// Answers get lost; questions arrive.
    pub drops_replies: bool,
    /// Every so many datagrams one is dropped; 0 for none.
    pub drop_every: u32,
    /// Open connections break after this many bytes towards the target; 0 for no limit.
    pub close_after_bytes: u64,
    /// Sources whose traffic is cut.
    pub blocked: HashSet<IpAddr>,
}

/// Changes the rule of a running proxy.
#[derive(Debug, Clone)]
pub struct Handle {
    rule: watch::Sender<Rule>,
}

impl Handle {
    fn new() -> (Self, watch::Receiver<Rule>) {
        let (rule, seen) = watch::channel(Rule::default());
        (Self { rule }, seen)
    }

    /// Replaces the rule.
    pub fn set(&self, rule: Rule) {
        self.rule.send_replace(rule);
    }

    /// Lets all connections that are open now go silent for good.
    pub fn blackhole_open(&self) {
        self.rule.send_modify(|rule| rule.blackhole_generation += 1);
    }
}

/// Starts a TCP proxy; it runs as long as the runtime.
pub async fn tcp(listen: SocketAddr, target: SocketAddr) -> io::Result<(SocketAddr, Handle)> {
    let listener = TcpListener::bind(listen).await?;
    let address = listener.local_addr()?;
    let (handle, rule) = Handle::new();
    tokio::spawn(async move {
        loop {
            let Ok((stream, source)) = listener.accept().await else {
                continue;
            };
            let rule = rule.clone();
            tokio::spawn(async move {
                if let Err(error) = connect(stream, source, target, rule).await {
                    log::debug!("event=proxy_connection_ended error={error}");
                }
            });
        }
    });
    Ok((address, handle))
}

async fn connect(
    client: TcpStream,
    source: SocketAddr,
    target: SocketAddr,
    mut rule: watch::Receiver<Rule>,
) -> io::Result<()> {
    let is_partitioned = |rule: &Rule| rule.is_partitioned || rule.blocked.contains(&source.ip());
    if is_partitioned(&rule.borrow()) {
        return Ok(());
    }
    let server = TcpStream::connect(target).await?;
    let silence = rule.borrow().blackhole_generation;
    let (client_read, client_write) = client.into_split();
    let (server_read, server_write) = server.into_split();
    let forth = pump(client_read, server_write, rule.clone(), silence, true);
    let back = pump(server_read, client_write, rule.clone(), silence, false);
    let cut = async {
        let _gone = rule.wait_for(is_partitioned).await;
    };
    tokio::select! {
        (forth, back) = async { tokio::join!(forth, back) } => forth.and(back),
        () = cut => Ok(()),
    }
}

async fn pump(
    mut from: tokio::net::tcp::OwnedReadHalf,
    mut to: tokio::net::tcp::OwnedWriteHalf,
    rule: watch::Receiver<Rule>,
    silence: u64,
    is_forth: bool,
) -> io::Result<()> {
    let mut buffer = vec![0; CHUNK_BYTES];
    let mut moved = 0;
    loop {
        let length = from.read(&mut buffer).await?;
        if length == 0 {
            return to.shutdown().await;
        }
        let rule = rule.borrow().clone();
        if rule.blackhole_generation != silence || (rule.drops_replies && !is_forth) {
            continue;
        }
        if !rule.delay.is_zero() {
            sleep(rule.delay).await;
        }
        let limit = rule.close_after_bytes;
        if is_forth && limit > 0 && moved + length as u64 > limit {
            let rest = limit.saturating_sub(moved) as usize;
            to.write_all(&buffer[..rest]).await?;
            return Err(io::Error::other("cut after the given number of bytes"));
        }
        moved += length as u64;
        to.write_all(&buffer[..length]).await?;
    }
}

/// Starts a UDP proxy; sources keep their IP address towards the target's answers only.
pub async fn udp(listen: SocketAddr, target: SocketAddr) -> io::Result<(SocketAddr, Handle)> {
    let socket = Arc::new(UdpSocket::bind(listen).await?);
    let address = socket.local_addr()?;
    let (handle, rule) = Handle::new();
    let relay = Relay { socket, target, rule, paths: Arc::default(), count: Arc::default() };
    tokio::spawn(relay.run());
    Ok((address, handle))
}

type Paths = Arc<Mutex<HashMap<SocketAddr, Arc<UdpSocket>>>>;

#[derive(Clone)]
struct Relay {
    socket: Arc<UdpSocket>,
    target: SocketAddr,
    rule: watch::Receiver<Rule>,
    paths: Paths,
    count: Arc<Mutex<u32>>,
}

impl Relay {
    async fn run(self) {
        let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
        loop {
            let Ok((length, source)) = self.socket.recv_from(&mut buffer).await else {
                continue;
            };
            if self.is_lost(source.ip()) {
                continue;
            }
            let Ok(path) = self.path(source).await else {
                continue;
            };
            let (bytes, delay) = (buffer[..length].to_vec(), self.rule.borrow().delay);
            let target = self.target;
            tokio::spawn(async move {
                sleep(delay).await;
                let _lost = path.send_to(&bytes, target).await;
            });
        }
    }

    fn is_lost(&self, source: IpAddr) -> bool {
        let rule = self.rule.borrow();
        if rule.is_partitioned || rule.blocked.contains(&source) {
            return true;
        }
        let mut count = lock(&self.count);
        *count += 1;
        rule.drop_every > 0 && (*count).is_multiple_of(rule.drop_every)
    }

    /// The socket that stands for a source towards the target.
    async fn path(&self, source: SocketAddr) -> io::Result<Arc<UdpSocket>> {
        if let Some(path) = lock(&self.paths).get(&source) {
            return Ok(Arc::clone(path));
        }
        let path = Arc::new(UdpSocket::bind((source.ip(), 0)).await?);
        lock(&self.paths).insert(source, Arc::clone(&path));
        let (relay, back) = (self.clone(), Arc::clone(&path));
        tokio::spawn(async move { relay.answer(source, &back).await });
        Ok(path)
    }

    async fn answer(&self, source: SocketAddr, path: &UdpSocket) {
        let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
        loop {
            let Ok((length, _target)) = path.recv_from(&mut buffer).await else {
                continue;
            };
            let drops_replies = self.rule.borrow().drops_replies;
            if !drops_replies && !self.is_lost(source.ip()) {
                let _lost = self.socket.send_to(&buffer[..length], source).await;
            }
        }
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
