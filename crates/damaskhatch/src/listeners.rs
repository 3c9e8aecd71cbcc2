//! The ports that a host listens on.

use std::io;
use std::net::SocketAddr;

use tokio::net::{TcpListener, TcpSocket, UdpSocket};

use crate::settings::Host;

/// How many connections to a port may wait to be accepted.
const BACKLOG: u32 = 1_024;

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
    /// The operator port.
    pub operator: std::net::TcpListener,
    /// The port of the readiness path, if the settings contain an address for it.
    pub ready: Option<std::net::TcpListener>,
}

impl Listeners {
    /// Binds all ports; an error names the port that could not be bound.
    pub async fn bind(host: &Host) -> io::Result<Self> {
        let datagrams = UdpSocket::bind(host.peer).await;
        let ready = host.ready.map(|address| listen("ready", address)?.into_std()).transpose()?;
        Ok(Self {
            datagrams: datagrams.map_err(|error| cannot_bind("peer", host.peer, &error))?,
            peers: listen("peer", host.peer)?,
            caller: listen("caller", host.caller)?.into_std()?,
            operator: listen("operator", host.operator)?.into_std()?,
            ready,
        })
    }
}

fn listen(port: &str, address: SocketAddr) -> io::Result<TcpListener> {
    let bound = || {
        let socket = if address.is_ipv4() { TcpSocket::new_v4()? } else { TcpSocket::new_v6()? };
        socket.set_reuseaddr(true)?;
        socket.bind(address)?;
        socket.listen(BACKLOG)
    };
    bound().map_err(|error| cannot_bind(port, address, &error))
}

fn cannot_bind(port: &str, address: SocketAddr, error: &io::Error) -> io::Error {
    io::Error::new(error.kind(), format!("cannot listen on the {port} port {address}: {error}"))
}
