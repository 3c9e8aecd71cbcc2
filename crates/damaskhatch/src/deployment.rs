//! The protocols and key layouts of the environments that damaskhatch runs in.
//!
//! The daemon of this crate uses [`Deployment::OWN`]. An adapter for another environment
//! provides its own tables and functions but makes no decisions.

use std::net::SocketAddr;

use damaskhatch_exchange::memory::Budget;
use damaskhatch_policy::registry::Entry;
use damaskhatch_policy::sheet::Row;
use damaskhatch_store::calls::Calls;
use damaskhatch_store::era;
use damaskhatch_store::error::Error;
use damaskhatch_store::prelude::{Client, Protocol};

use crate::relay::dialect::Dialect;

/// A configuration decoded from the environment's own format.
#[derive(Debug, Clone)]
pub struct Configuration {
    /// Its revision; a configuration with a higher one replaces it.
    pub revision: u64,
    /// Its rows, as a sheet would contain them.
    pub rows: Vec<Row>,
}

/// Where an environment stores its configuration and its upstreams, and how they are decoded.
#[derive(Debug, Clone, Copy)]
pub struct Catalogue {
    /// The prefix of all keys that operators write, which one watch follows.
    pub operator_prefix: &'static str,
    /// The key under which the complete newest configuration is stored.
    pub config_key: &'static str,
    /// Decodes that key's value; the second argument is the setting `domains` of the host.
    pub decode_config: fn(&str, &[String]) -> Result<Configuration, Error>,
    /// The prefix of a key for each evacuated domain; the rest of the key is the domain's name, and the
    /// value says nothing.
    pub evacuation_prefix: &'static str,
    /// The prefix under which upstreams register themselves.
    pub upstream_prefix: &'static str,
    /// Decodes one registration from its key and value.
    pub decode_upstream: fn(&str, &str) -> Result<Entry, Error>,
}

/// An environment that damaskhatch runs in.
#[derive(Debug, Clone, Copy)]
pub struct Deployment {
    /// The protocol of the store.
    pub protocol: Protocol,
    /// The HTTP dialect of callers and engines on routes.
    pub dialect: &'static Dialect,
    /// The environment's catalogue; `None` if the configuration comes from damaskhatch's sheets.
    pub catalogue: Option<Catalogue>,
}

impl Deployment {
    /// Damaskhatch's own protocols and sheets.
    pub const OWN: Self = Self { protocol: Protocol::OWN, dialect: &Dialect::OWN, catalogue: None };

    /// Makes a client of the store at `address`, which shares `era` with the host's other clients.
    ///
    /// The bodies of its responses are taken from `memory`.
    pub const fn store(
        &self,
        address: SocketAddr,
        era: era::Tracker,
        calls: Calls,
        memory: Budget,
    ) -> Client {
        Client::new(address, self.protocol, era, calls, memory)
    }
}
