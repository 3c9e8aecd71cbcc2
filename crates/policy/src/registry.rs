//! The upstreams that have registered themselves, as one host last read them.
//!
//! Upstreams come and go without a change of the configuration, so they are kept
//! apart from it. An upstream that has said that it is leaving stays on the list
//! while its work ends, and gets nothing new.

use std::collections::HashMap;
use std::net::SocketAddr;

use crate::prelude::*;
use crate::sheet::Role;

plain! { data
    /// An upstream as it registered itself.
    pub struct Entry {
    /// The name of this life of the upstream, new at most starts.
    pub instance: String,
    /// Its name between hosts.
    pub tag: Tag,
    /// The service it belongs to.
    pub service: Tag,
    /// Where it is reached.
    pub address: SocketAddr,
    /// Its domain.
    pub domain: Tag,
    /// Requests that it works on at once.
    pub slots: u32,
    /// Whether it gets nothing new because it is leaving.
    pub is_leaving: bool,
    /// The phase that it runs, if it is a model engine.
    pub role: Option<Role>,
    /// When it started, in milliseconds since the Unix epoch, if it says so.
    pub started_ms: u64,
}
}

/// All registered upstreams.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Registry {
    entries: HashMap<String, Entry>,
    services: HashMap<Tag, Vec<String>>,
    version: u64,
}

/// What became of an entry.
#[derive(Debug, Clone, PartialEq)]
pub enum Change {
    /// The upstream is listed, perhaps with other content than before.
    Listed(Entry),
    /// The entry with this key is gone or names no upstream.
    Gone,
}

impl Registry {
    /// The version of the store at which the content was last known to change; 0 before
    /// the first reading.
    pub const fn version(&self) -> u64 {
        self.version
    }

    /// Notes the version of the store at which the content was read or changed.
    pub const fn set_version(&mut self, version: u64) {
        if version > self.version {
            self.version = version;
        }
    }

    /// Replaces everything by what was listed, by key.
    pub fn replace(&mut self, entries: HashMap<String, Entry>) {
        self.entries = entries;
        self.index();
    }

    /// Applies changes in order.
    pub fn apply(&mut self, changes: impl IntoIterator<Item = (String, Change)>) {
        for (key, change) in changes {
            match change {
                Change::Listed(entry) => self.entries.insert(key, entry),
                Change::Gone => self.entries.remove(&key),
            };
        }
        self.index();
    }

    /// The upstreams of a service that take new work.
    pub fn usable(&self, service: Tag) -> impl Iterator<Item = &Entry> {
        let keys = self.services.get(&service).into_iter().flatten();
        keys.filter_map(|key| self.entries.get(key)).filter(|entry| !entry.is_leaving)
    }

    /// All entries by key.
    pub fn keyed(&self) -> impl Iterator<Item = (&String, &Entry)> {
        self.entries.iter()
    }

    /// Whether nothing is registered.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    fn index(&mut self) {
        self.services.clear();
        let mut keys: Vec<&String> = self.entries.keys().collect();
        keys.sort();
        for key in keys {
            let service = self.entries[key].service;
            self.services.entry(service).or_default().push(key.clone());
        }
    }
}
