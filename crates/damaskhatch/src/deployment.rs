//! What differs between the places that damaskhatch runs in.
//!
//! The daemons of this crate speak [`Deployment::OWN`]; an adapter for another
//! environment fills in its own tables and functions and decides nothing.

use std::net::SocketAddr;

use damaskhatch_policy::registry::Entry;
use damaskhatch_policy::sheet::Row;
use damaskhatch_store::error::Error;
use damaskhatch_store::prelude::{Client, Protocol};

use crate::relay::dialect::Dialect;

/// A configuration that operators write in a form of their own.
#[derive(Debug, Clone)]
pub struct Configuration {
    /// Its revision.
    pub revision: u64,
    /// Its rows.
    pub rows: Vec<Row>,
}

/// Where an environment keeps what its operators and upstreams write.
#[derive(Debug, Clone, Copy)]
pub struct Catalogue {
    /// The key that holds the newest configuration in full.
    pub config_key: &'static str,
    /// Decodes that key's value; the domains are the host's own setting.
    pub decode_config: fn(&str, &[String]) -> Result<Configuration, Error>,
    /// The prefix under which upstreams register themselves.
    pub upstream_prefix: &'static str,
    /// Decodes one registration from its key and value.
    pub decode_upstream: fn(&str, &str) -> Result<Entry, Error>,
}

/// What differs between the places that damaskhatch runs in.
#[derive(Debug, Clone, Copy)]
pub struct Deployment {
    /// How the store is spoken to.
    pub protocol: Protocol,
    /// How callers and engines are spoken to on routes.
    pub dialect: &'static Dialect,
    /// What others keep in the store; `None` where the product's own sheets rule.
    pub catalogue: Option<Catalogue>,
}

impl Deployment {
    /// The product's own protocols.
    pub const OWN: Self = Self { protocol: Protocol::OWN, dialect: &Dialect::OWN, catalogue: None };

    /// A client of the store at `address`.
    pub const fn store(&self, address: SocketAddr) -> Client {
        Client::new(address, self.protocol)
    }
}
