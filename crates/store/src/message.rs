//! The JSON bodies of the store's HTTP interface, and lists of its keys.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

/// The value and version of a key.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Item {
    /// The text stored under the key.
    pub value: String,
    /// The version; it grows with every write to the key, and with every restore of the store.
    ///
    /// [`Position`](damaskhatch_policy::position::Position) decodes it.
    pub version: u64,
}

/// The keys under a prefix, or their changes since a version.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Listing {
    /// Each key with its value; `None` for a key that was removed.
    pub items: Vec<(String, Option<Item>)>,
    /// The version of the store up to which the list is complete.
    pub version: u64,
    /// Whether more keys follow on the next page.
    pub is_truncated: bool,
}

/// The body of a compare-and-swap.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Swap {
    /// The value to write.
    pub value: String,
    /// The version that the key must have; 0 if the key must not exist.
    pub expect: u64,
    /// The lease to which the key is attached; `None` for a key that outlives its writer.
    #[serde(default)]
    pub lease: Option<Grant>,
}

/// The version after a write, or the current one that made the write conflict.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Version {
    /// The key's version.
    pub version: u64,
}

/// The body of a request for a lease.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Term {
    /// How long the lease lasts without renewal, in milliseconds.
    pub ttl_ms: u64,
}

/// The body of the response to a request for a lease.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Lease {
    /// The lease's number.
    pub lease: u64,
}

/// A granted lease.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Grant {
    /// The era in which it was granted; the same number may stand for another lease in others.
    #[serde(skip)]
    pub era: u64,
    /// The store's number of the lease.
    pub number: u64,
}

/// An entry in the list of hosts.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Host {
    /// The host's name.
    pub name: String,
    /// The IP address and port at which it receives frames of other hosts.
    pub address: SocketAddr,
    /// The name of the host's failure domain.
    pub domain: String,
    /// Whether the host is leaving the fleet.
    #[serde(default)]
    pub leaving: bool,
}
