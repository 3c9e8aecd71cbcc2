//! The ports that a host listens on.
//!
//! A port may be in use for some seconds, by a process that is about to end or by a connection to
//! which the system gave it. So a port that is in use is tried again. A host serves callers without
//! its operator port, which may become free at any later time. See
//! [docs/DESIGN.md](../../../docs/DESIGN.md#ports).

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use damaskhatch_policy::prelude::Instant;

use tokio::net::{TcpListener, TcpSocket, UdpSocket};

use crate::settings::Host;

/// How many connections to a port may wait to be accepted.
const BACKLOG: u32 = 1_024;
/// How long a start waits for a port that is in use.
const BIND_TIMEOUT: Duration = Duration::from_secs(30);
/// The pause before a port in use is tried again.
const BIND_PAUSE: Duration = Duration::from_millis(100);

/// The bound ports of a host.
///
/// All are bound before the host makes its first connection: connections to other hosts come from
/// the host's own address, and the system could give one of them a port that the settings name.
#[derive(Debug)]
pub struct Listeners {
    /// The peer port, for datagrams.
    pub datagrams: UdpSocket,
    /// The peer port, for connections.
    pub peers: TcpListener,
    /// The caller port.
    pub caller: std::net::TcpListener,
    /// The operator port; `None` if it is in use.
    pub operator: Option<std::net::TcpListener>,
    /// The port of the readiness path, if the settings contain an address for it.
    pub ready: Option<std::net::TcpListener>,
}

impl Listeners {
    /// Binds all ports, and waits for those in use for [`BIND_TIMEOUT`], except for the operator port.
    ///
    /// # Errors
    ///
    /// The error names the port that could not be bound.
    pub async fn bind(host: &Host) -> io::Result<Self> {
        let operator = match listen(host.operator) {
            Ok(listener) => Some(listener.into_std()?),
            Err(error) if is_in_use(&error) => {
                log_in_use("operator", host.operator, &error);
                None
            }
            Err(error) => return Err(cannot_bind("operator", host.operator, &error)),
        };
        let until = Instant::now() + BIND_TIMEOUT;
        let bind = async |address| UdpSocket::bind(address).await;
        let datagrams = retry("peer", host.peer, until, bind).await?;
        let peers = retry("peer", host.peer, until, async |address| listen(address)).await?;
        let ready = match host.ready {
            Some(ready) => {
                Some(retry("ready", ready, until, async |address| listen(address)).await?)
            }
            None => None,
        };
        // Last, because callers can connect from then on, and nobody serves them during a wait.
        let caller = retry("caller", host.caller, until, async |address| listen(address)).await?;
        Ok(Self {
            datagrams,
            peers,
            caller: caller.into_std()?,
            operator,
            ready: ready.map(TcpListener::into_std).transpose()?,
        })
    }
}

/// Waits until the operator port is bound, however long it is in use.
///
/// # Errors
///
/// Fails if the port cannot be bound for another reason.
pub async fn bind_operator(address: SocketAddr) -> io::Result<std::net::TcpListener> {
    loop {
        match listen(address) {
            Ok(listener) => {
                log::info!("event=port_bound port=operator address={address}");
                return listener.into_std();
            }
            Err(error) if is_in_use(&error) => tokio::time::sleep(BIND_PAUSE).await,
            Err(error) => return Err(cannot_bind("operator", address, &error)),
        }
    }
}

/// Binds a port, again and again while it is in use, until `until`.
async fn retry<T>(
    port: &str,
    address: SocketAddr,
    until: Instant,
    bind: impl AsyncFn(SocketAddr) -> io::Result<T>,
) -> io::Result<T> {
    let mut is_logged = false;
    loop {
        match bind(address).await {
            Ok(bound) => {
                if is_logged {
                    log::info!("event=port_bound port={port} address={address}");
                }
                return Ok(bound);
            }
            Err(error) if is_in_use(&error) && Instant::now() < until => {
                if !std::mem::replace(&mut is_logged, true) {
                    log_in_use(port, address, &error);
                }
                tokio::time::sleep(BIND_PAUSE).await;
            }
            Err(error) => return Err(cannot_bind(port, address, &error)),
        }
    }
}

/// Whether a port may become free, or its address available, without a change of the settings.
fn is_in_use(error: &io::Error) -> bool {
    matches!(error.kind(), io::ErrorKind::AddrInUse | io::ErrorKind::AddrNotAvailable)
}

fn log_in_use(port: &str, address: SocketAddr, error: &io::Error) {
    log::warn!("event=port_in_use port={port} address={address} error={error} action=retry");
}

fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = if address.is_ipv4() { TcpSocket::new_v4()? } else { TcpSocket::new_v6()? };
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(BACKLOG)
}

fn cannot_bind(port: &str, address: SocketAddr, error: &io::Error) -> io::Error {
    io::Error::new(error.kind(), format!("cannot listen on the {port} port {address}: {error}"))
}
