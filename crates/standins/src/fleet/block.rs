//! Blocks of loopback addresses, so that fleets can run at the same time.

use std::io;
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::ops::Range;
use std::sync::atomic::{AtomicU16, Ordering};

/// The port at `127.a.b.254` whose listener owns the block `127.a.b.*`.
pub const BLOCK_PORT: u16 = 6_999;
/// The last octet of the platform's address.
pub const PLATFORM_OCTET: u8 = 150;
/// The last octet of the first upstream's address; the others follow.
pub const FIRST_UPSTREAM_OCTET: u8 = 151;
/// The difference between the last octets of a host's proxies and of the host.
pub const PROXY_OCTET_OFFSET: u8 = 200;
/// The ports that are given out, all below those that the system chooses itself.
const PORTS: Range<u16> = 7_000..32_000;
/// How many blocks are tried before a reservation fails.
const MAX_ATTEMPTS: u32 = 60_000;

/// How many ports were given out, counted for all blocks together, because the proxies of an ended
/// fleet listen until their runtime ends.
static GIVEN_OUT: AtomicU16 = AtomicU16::new(0);

/// The loopback addresses `127.a.b.*`, reserved for one fleet as long as this value lives.
///
/// Every process has an address of its own, and ports from a range from which the system takes none
/// for connections or for sockets bound to port 0, so that nothing else takes a port before its
/// process binds it.
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

    /// Gives out `N` ports at an address of the block.
    pub fn next_addresses<const N: usize>(&self, octet: u8) -> [SocketAddr; N] {
        std::array::from_fn(|_| self.next_address(octet))
    }

    /// Gives out a port at an address of the block, without binding it.
    ///
    /// A listener that tries the port would be inherited by a process that another thread is
    /// starting, and the port would stay in use until that process runs its program.
    pub fn next_address(&self, octet: u8) -> SocketAddr {
        let count = GIVEN_OUT.fetch_add(1, Ordering::Relaxed);
        let port = PORTS.start + count % (PORTS.end - PORTS.start);
        SocketAddr::from((self.ip(octet), port))
    }
}
