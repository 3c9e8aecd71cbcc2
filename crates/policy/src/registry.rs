//! The upstreams that have registered themselves, as one host last read them.
//!
//! Upstreams start and stop without a change of the configuration, so they are not
//! part of it. An upstream that is leaving stays listed until its requests have ended,
//! but gets no new ones.

use std::collections::{HashMap, VecDeque};
use std::net::SocketAddr;

use crate::prelude::*;
use crate::sheet::Role;

/// Stands for the software version of an upstream that gives none.
pub const NO_VERSION: Tag = Tag(0);

const fn no_version() -> Tag {
    NO_VERSION
}

plain! { data
    /// An upstream as it registered itself.
    pub struct Entry {
        /// The name of this run of the upstream; most upstreams choose a new one at each start.
        pub instance: String,
        /// The tag of `instance`, which hosts use between themselves.
        pub tag: Tag,
        /// The tag of the service that the upstream belongs to.
        pub service: Tag,
        /// The upstream's HTTP address.
        pub address: SocketAddr,
        /// The domain that the upstream runs in.
        pub domain: Tag,
        /// The maximum number of requests that it processes concurrently.
        pub slots: u32,
        /// Whether it is leaving and gets no new requests.
        pub is_leaving: bool,
        /// The phase that it runs; `None` if it is not a model engine.
        pub role: Option<Role>,
        /// The start time in milliseconds since the Unix epoch; 0 if the upstream gives none.
        pub started_ms: u64,
        /// The tag of the version of its software; [`NO_VERSION`] if it gives none.
        ///
        /// Hosts send it to each other apart from the entry, because earlier ones do not expect it.
        #[serde(skip, default = "no_version")]
        pub software: Tag,
        /// How much longer it was cold when it wrote the entry; hosts send it apart like the version.
        #[serde(skip)]
        pub cold_left: Duration,
    }
}

plain! { value
    /// What hosts send to each other apart from an entry.
    pub struct Detail {
        /// See [`Entry::software`].
        pub software: Tag,
        /// See [`Entry::cold_left`].
        pub cold_left: Duration,
    }
}

impl Detail {
    /// The detail of a change; that of a removal says nothing.
    pub const fn of(change: &Change) -> Self {
        match change {
            Change::Listed(entry) => Self { software: entry.software, cold_left: entry.cold_left },
            Change::Removed => Self { software: NO_VERSION, cold_left: Duration::ZERO },
        }
    }

    /// Completes the entry of a change.
    pub const fn complete(&self, change: &mut Change) {
        if let Change::Listed(entry) = change {
            entry.software = self.software;
            entry.cold_left = self.cold_left;
        }
    }
}

plain! { data
    /// A change to one entry of the registry.
    pub enum Change {
        /// The entry was added or replaced.
        Listed(Entry),
        /// The entry was removed or does not describe an upstream.
        Removed,
    }
}

/// The maximum number of changes kept for hosts that know an earlier version.
const MAX_RECENT_CHANGES: usize = 1_024;
/// The maximum number of full listings over which the differences are kept.
const MAX_JUMPS: usize = 16;

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
    /// The sorted keys of each service's entries.
    services: HashMap<Tag, Vec<String>>,
    version: u64,
    /// The latest changes, oldest first.
    recent: VecDeque<Recent>,
    /// The version after which `recent` has every change, or the difference over a jump.
    complete_after: u64,
    /// The versions before and after each full listing that replaced an earlier one, oldest first.
    ///
    /// An entry may have come and gone between the two, which `recent` does not show.
    jumps: VecDeque<(u64, u64)>,
}

impl Registry {
    /// The version of the store that the content is known to match; 0 before the first read.
    pub const fn version(&self) -> u64 {
        self.version
    }

    /// Replaces all entries by a full listing, by key, as of `version`.
    ///
    /// The differences are kept as changes at that version, so that hosts which follow this one need
    /// the full list only if they are behind the first listing, or between this one and the last read.
    pub fn replace(&mut self, entries: HashMap<String, Entry>, version: u64) {
        if self.version == 0 {
            self.entries = entries;
            self.version = version;
            self.complete_after = version;
            self.rebuild_index();
            return;
        }
        let version = version.max(self.version);
        self.jumps.push_back((self.version, version));
        let removed = self.entries.keys().filter(|key| !entries.contains_key(*key));
        let removed: Vec<_> = removed.map(|key| (key.clone(), Change::Removed)).collect();
        let listed = entries.into_iter().map(|(key, entry)| (key, Change::Listed(entry)));
        self.apply(removed.into_iter().chain(listed), version);
        self.version = version;
        self.drop_oldest_changes();
    }

    /// Applies changes in order, up to `version`; returns whether any had an effect.
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

    /// Records that the content is unchanged at a later version.
    pub const fn advance_version(&mut self, version: u64) {
        if version > self.version {
            self.version = version;
        }
    }

    /// The changes after a version in order, or `None` if the host needs the full list.
    ///
    /// A change is stored with the version at which it was read, which may be later than that
    /// of the change itself. A host may therefore receive a change twice, which is harmless
    /// since the order is kept.
    pub fn changes_since(&self, version: u64) -> Option<Vec<(String, Change)>> {
        let is_in_jump = self.jumps.iter().any(|(from, to)| (from + 1..*to).contains(&version));
        if version < self.complete_after || version > self.version || is_in_jump {
            return None;
        }
        let later = self.recent.iter().filter(|recent| recent.version > version);
        Some(later.map(|recent| (recent.key.clone(), recent.change.clone())).collect())
    }

    fn drop_oldest_changes(&mut self) {
        while self.recent.len() > MAX_RECENT_CHANGES {
            let oldest = self.recent.pop_front().map_or(0, |recent| recent.version);
            self.complete_after = self.complete_after.max(oldest);
        }
        self.jumps.retain(|(_, to)| *to > self.complete_after);
        if self.jumps.len() > MAX_JUMPS {
            self.complete_after = self.jumps.pop_front().map_or(0, |(_, to)| to);
        }
    }

    /// The upstreams of a service that accept new requests.
    pub fn usable(&self, service: Tag) -> impl Iterator<Item = &Entry> {
        let keys = self.services.get(&service).into_iter().flatten();
        keys.filter_map(|key| self.entries.get(key)).filter(|entry| !entry.is_leaving)
    }

    /// The upstream of a service with this tag, also if it is leaving.
    pub fn upstream(&self, service: Tag, tag: Tag) -> Option<&Entry> {
        let keys = self.services.get(&service).into_iter().flatten();
        keys.filter_map(|key| self.entries.get(key)).find(|entry| entry.tag == tag)
    }

    /// All entries with their keys, including those that are leaving.
    pub fn entries(&self) -> impl Iterator<Item = (&String, &Entry)> {
        self.entries.iter()
    }

    /// Whether no upstream is registered.
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
