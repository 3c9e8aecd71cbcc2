//! Blocks of loopback addresses, so that fleets can run at the same time.

use std::io;
use std::net::{Ipv4Addr, SocketAddr, TcpListener};

/// The port at `127.a.b.254` whose listener owns the block `127.a.b.*`.
pub const BLOCK_PORT: u16 = 6_999;
/// The last octet of the platform's address.
pub const PLATFORM_OCTET: u8 = 150;
/// The last octet of the first upstream's address; the others follow.
pub const FIRST_UPSTREAM_OCTET: u8 = 151;
/// The difference between the last octets of a host's proxies and of the host.
pub const PROXY_OCTET_OFFSET: u8 = 200;
/// How many blocks are tried before a reservation fails.
const MAX_ATTEMPTS: u32 = 60_000;

/// The loopback addresses `127.a.b.*`, reserved for one fleet as long as this value lives.
///
/// Every process has an address of its own, so that no other process takes a port that was found
/// to be free for it.
#[derive(Debug)]
pub struct Block {
    a: u8,
    b: u8,
    _lock: TcpListener,
}

impl Block {
    /// Reserves the first free block, from a start that differs between processes.
    pub fn reserve() -> io::Result<Self> {
        // Knuth's multiplicative hash spreads consecutive process ids over the blocks.
        let start = std::process::id().wrapping_mul(2_654_435_761);
        for step in 0..MAX_ATTEMPTS {
            let [a, b, ..] = start.wrapping_add(step << 16).to_be_bytes();
            let (a, b) = (a % 250 + 1, b);
            if let Ok(lock) = TcpListener::bind((Ipv4Addr::new(127, a, b, 254), BLOCK_PORT)) {
                return Ok(Self { a, b, _lock: lock });
            }
        }
        let message = format!("no free block of loopback addresses in {MAX_ATTEMPTS} attempts");
        Err(io::Error::other(message))
    }

    /// The address of the block with this last octet.
    pub fn ip(&self, octet: u8) -> Ipv4Addr {
        Ipv4Addr::new(127, self.a, self.b, octet)
    }

    /// Finds `N` different free ports at an address of the block.
    pub fn free_addresses<const N: usize>(&self, octet: u8) -> io::Result<[SocketAddr; N]> {
        // All ports stay bound until the last is found, so that none is found twice.
        let listeners: Vec<TcpListener> =
            (0..N).map(|_| TcpListener::bind((self.ip(octet), 0))).collect::<Result<_, _>>()?;
        let found: Vec<SocketAddr> =
            listeners.iter().map(TcpListener::local_addr).collect::<Result<_, _>>()?;
        found.try_into().map_err(|found: Vec<_>| {
            let message =
                format!("bound {} ports at {}, requested {N}", found.len(), self.ip(octet));
            io::Error::other(message)
        })
    }

    /// Finds a free port at an address of the block.
    pub fn free_address(&self, octet: u8) -> io::Result<SocketAddr> {
        TcpListener::bind((self.ip(octet), 0))?.local_addr()
    }
}
