//! A bound on the bytes that a process keeps of bodies, over all connections.
//!
//! A limit on each body does not bound their sum: that grows with the callers and with what a faulty peer
//! sends to each of them. The bodies of a [`Budget`] share its bytes as buffers share the memory of a
//! switch: each may keep as many bytes as are still free. A single body may have half of all, many that
//! grow without end get equal parts, and part of the memory stays free, so that short bodies pass beside
//! them. See [docs/DESIGN.md](../../../docs/DESIGN.md#memory).

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use bytes::Bytes;

use crate::{Error, Result};

/// The first allocation for a body, in bytes.
const FIRST_BYTES: usize = 4 << 10;

/// The memory that bodies share; clones share it too.
#[derive(Debug, Clone)]
pub struct Budget {
    total: usize,
    used: Arc<AtomicUsize>,
}

impl Budget {
    /// Creates a budget of `total` bytes.
    pub fn new(total: usize) -> Self {
        Self { total, used: Arc::default() }
    }

    /// The number of bytes in use.
    pub fn used(&self) -> usize {
        self.used.load(Ordering::Relaxed)
    }

    /// The number of bytes that bodies may use.
    pub const fn total(&self) -> usize {
        self.total
    }

    /// A share without bytes.
    pub fn share(&self) -> Share {
        Share { budget: self.clone(), bytes: 0 }
    }
}

/// The bytes of a [`Budget`] that one body uses, returned on drop.
#[derive(Debug)]
pub struct Share {
    budget: Budget,
    bytes: usize,
}

impl Share {
    /// Changes the share to `bytes`.
    ///
    /// # Errors
    ///
    /// Fails with [`Error::Exhausted`] if it grows and fewer bytes would then be free than it has.
    pub fn resize(&mut self, bytes: usize) -> Result<()> {
        let Budget { total, used } = &self.budget;
        if let Some(fewer) = self.bytes.checked_sub(bytes) {
            used.fetch_sub(fewer, Ordering::Relaxed);
            self.bytes = bytes;
            return Ok(());
        }
        let more = bytes - self.bytes;
        let grown = used.fetch_update(Ordering::Relaxed, Ordering::Relaxed, |used| {
            let used = used.checked_add(more)?;
            (bytes <= total.checked_sub(used)?).then_some(used)
        });
        grown.map_err(|used| Error::Exhausted { bytes, used })?;
        self.bytes = bytes;
        Ok(())
    }
}

impl Drop for Share {
    fn drop(&mut self) {
        self.budget.used.fetch_sub(self.bytes, Ordering::Relaxed);
    }
}

/// A body that is being received.
#[derive(Debug)]
pub struct Buffer {
    bytes: Vec<u8>,
    share: Share,
    limit: usize,
}

impl Buffer {
    /// Creates an empty body of at most `limit` bytes.
    pub fn new(budget: &Budget, limit: usize) -> Self {
        Self { bytes: Vec::new(), share: budget.share(), limit }
    }

    /// The number of bytes received.
    pub const fn len(&self) -> usize {
        self.bytes.len()
    }

    /// Whether nothing has been received.
    pub const fn is_empty(&self) -> bool {
        self.bytes.is_empty()
    }

    /// Adds bytes.
    ///
    /// # Errors
    ///
    /// Fails with [`Error::TooLong`] beyond the limit, and with [`Error::Exhausted`] if the budget has
    /// too little left.
    pub fn push(&mut self, bytes: &[u8]) -> Result<()> {
        let length = self.bytes.len() + bytes.len();
        if length > self.limit {
            return Err(Error::TooLong(self.limit));
        }
        let capacity = self.bytes.capacity();
        if length > capacity {
            // Doubled, so that a long body is copied a few times only; less where little is left.
            let doubled = length.max(2 * capacity).max(FIRST_BYTES);
            let grown = self.share.resize(doubled).map(|()| doubled);
            let grown = grown.or_else(|_exhausted| self.share.resize(length).map(|()| length))?;
            self.bytes.reserve_exact(grown - self.bytes.len());
        }
        self.bytes.extend_from_slice(bytes);
        Ok(())
    }

    /// Returns the body, whose bytes stay in use until the last clone of it is dropped.
    pub fn freeze(self) -> Bytes {
        if self.is_empty() { Bytes::new() } else { Bytes::from_owner(self) }
    }
}

impl AsRef<[u8]> for Buffer {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}
