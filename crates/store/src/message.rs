//! The JSON bodies of the store's HTTP interface.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

/// The value of a key.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Item {
    /// The value.
    pub value: String,
    /// The version, from 1; it grows with every write to the key.
    pub version: u64,
}

/// Keys under a prefix, or what changed there.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Listing {
    /// Keys with their values; `None` for a key that was removed.
    pub items: Vec<(String, Option<Item>)>,
    /// The version of the store up to which this is complete.
    pub version: u64,
    /// Whether more keys follow on another page.
    pub is_truncated: bool,
}

/// A compare-and-swap.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Swap {
    /// The new value.
    pub value: String,
    /// The version that the key must have; 0 if it must not exist.
    pub expect: u64,
    /// The lease with which the key ends, if any.
    #[serde(default)]
    pub lease: Option<u64>,
}

/// The version after a write, or the one that stood in its way.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Version {
    /// The version.
    pub version: u64,
}

/// Asks for a lease.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Term {
    /// How long the lease lasts without renewal, in milliseconds.
    pub ttl_ms: u64,
}

/// A lease.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Lease {
    /// Its number.
    pub lease: u64,
}

/// One host of the list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Host {
    /// The host's name.
    pub name: String,
    /// Its peer address.
    pub address: SocketAddr,
    /// Its domain's name.
    pub domain: String,
    /// Whether it is leaving.
    #[serde(default)]
    pub leaving: bool,
}
