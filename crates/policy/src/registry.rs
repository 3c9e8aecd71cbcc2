//! The upstreams that have registered themselves, as one host last read them.
//!
//! Upstreams come and go without a change of the configuration, so they are kept
//! apart from it. An upstream that has said that it is leaving stays on the list
//! while its work ends, and gets nothing new.

use std::collections::{HashMap, VecDeque};
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

plain! { data
    /// What became of an entry.
    pub enum Change {
        /// The upstream is listed, perhaps with other content than before.
        Listed(Entry),
        /// The entry with this key is gone or names no upstream.
        Removed,
    }
}

/// Changes that are kept for those that know an earlier version.
const MAX_RECENT: usize = 1_024;

#[derive(Debug, Clone, PartialEq)]
struct Recent {
    version: u64,
    key: String,
    change: Change,
}

/// All registered upstreams, as of a version of the store.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Registry {
    entries: HashMap<String, Entry>,
    services: HashMap<Tag, Vec<String>>,
    version: u64,
    /// The latest changes in order.
    recent: VecDeque<Recent>,
    /// The version after which `recent` has every change.
    complete_after: u64,
}

impl Registry {
    /// The version of the store at which the content last changed; 0 before the first reading.
    pub const fn version(&self) -> u64 {
        self.version
    }

    /// Replaces everything by what was listed, by key, as of a version.
    ///
    /// What changed on the way there is not known, so nobody with an earlier version can
    /// be told changes only.
    pub fn replace(&mut self, entries: HashMap<String, Entry>, version: u64) {
        if version <= self.version && self.entries == entries {
            return;
        }
        self.entries = entries;
        self.version = self.version.max(version);
        self.recent.clear();
        self.complete_after = self.version;
        self.rebuild_index();
    }

    /// Applies changes in order, up to a version; returns whether they changed anything.
    pub fn apply(
        &mut self,
        changes: impl IntoIterator<Item = (String, Change)>,
        version: u64,
    ) -> bool {
        let mut has_changed = false;
        for (key, change) in changes {
            let has_effect = match &change {
                Change::Listed(entry) => self.entries.get(&key) != Some(entry),
                Change::Removed => self.entries.contains_key(&key),
            };
            if !has_effect {
                continue;
            }
            has_changed = true;
            match &change {
                Change::Listed(entry) => self.entries.insert(key.clone(), entry.clone()),
                Change::Removed => self.entries.remove(&key),
            };
            self.recent.push_back(Recent { version, key, change });
        }
        if has_changed {
            self.version = self.version.max(version);
            self.drop_oldest_changes();
            self.rebuild_index();
        }
        has_changed
    }

    /// Notes that the content is also that of a later version.
    pub const fn advance_version(&mut self, version: u64) {
        if version > self.version {
            self.version = version;
        }
    }

    /// The changes after a version in order, or `None` if only the whole list will do.
    ///
    /// A change is kept under the version at which it was read, which may be later than
    /// that of the change itself; so some may be told twice, in order and without harm.
    pub fn changes_since(&self, version: u64) -> Option<Vec<(String, Change)>> {
        if version < self.complete_after || version > self.version {
            return None;
        }
        let later = self.recent.iter().filter(|recent| recent.version > version);
        Some(later.map(|recent| (recent.key.clone(), recent.change.clone())).collect())
    }

    fn drop_oldest_changes(&mut self) {
        while self.recent.len() > MAX_RECENT {
            let oldest = self.recent.pop_front().map_or(0, |recent| recent.version);
            self.complete_after = self.complete_after.max(oldest);
        }
    }

    /// The upstreams of a service that take new work.
    pub fn usable(&self, service: Tag) -> impl Iterator<Item = &Entry> {
        let keys = self.services.get(&service).into_iter().flatten();
        keys.filter_map(|key| self.entries.get(key)).filter(|entry| !entry.is_leaving)
    }

    /// All entries by key.
    pub fn entries(&self) -> impl Iterator<Item = (&String, &Entry)> {
        self.entries.iter()
    }

    /// Whether nothing is registered.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    fn rebuild_index(&mut self) {
        self.services.clear();
        let mut keys: Vec<&String> = self.entries.keys().collect();
        keys.sort();
        for key in keys {
            let service = self.entries[key].service;
            self.services.entry(service).or_default().push(key.clone());
        }
    }
}
