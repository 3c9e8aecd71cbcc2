//! The failure domains that an operator has evacuated, as one host knows them.
//!
//! Nothing new is sent to the upstreams of an evacuated domain until the operator takes it back. The
//! set is tiny, so hosts exchange it whole, and the one from the later version of the store holds.
//! See [docs/design/evacuation.md](../../../docs/design/evacuation.md).

use std::collections::BTreeSet;

use crate::prelude::*;

/// The evacuated domains as of a version of the store.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Table {
    domains: BTreeSet<Tag>,
    /// The version of the store that the set was read at; 0 before the first read.
    version: u64,
    /// Whether any domain has been evacuated since the host started.
    has_been_used: bool,
}

/// The domains whose state changes with a newer set.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct News {
    /// Domains that are evacuated now and were not before.
    pub evacuated: Vec<Tag>,
    /// Domains that were evacuated before and are not any more.
    pub taken_back: Vec<Tag>,
}

impl News {
    /// Whether no domain's state changes.
    pub const fn is_empty(&self) -> bool {
        self.evacuated.is_empty() && self.taken_back.is_empty()
    }
}

/// One operator's entry, in the order in which the store lists its changes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Change {
    /// The domain that the entry names.
    pub domain: Tag,
    /// Whether the entry exists.
    pub is_evacuated: bool,
}

impl Table {
    /// The version of the store that the set is from; 0 if none has been read.
    pub const fn version(&self) -> u64 {
        self.version
    }

    /// The evacuated domains, in ascending order.
    pub fn domains(&self) -> impl Iterator<Item = Tag> {
        self.domains.iter().copied()
    }

    /// Whether any domain has been evacuated since the host started, so that hosts have to hear of its end.
    pub const fn has_been_used(&self) -> bool {
        self.has_been_used
    }

    /// Whether nothing new may be sent to the upstreams of a domain.
    pub fn is_evacuated(&self, domain: Tag) -> bool {
        self.domains.contains(&domain)
    }

    /// Replaces the set by the complete one of a version of the store, unless a later one is known.
    pub fn replace(&mut self, domains: impl IntoIterator<Item = Tag>, version: u64) -> News {
        if version < self.version {
            return News::default();
        }
        let domains: BTreeSet<Tag> = domains.into_iter().collect();
        let news = News {
            evacuated: domains.difference(&self.domains).copied().collect(),
            taken_back: self.domains.difference(&domains).copied().collect(),
        };
        let has_been_used = self.has_been_used || !domains.is_empty();
        *self = Self { domains, version, has_been_used };
        news
    }

    /// Takes into account the set that another host knows.
    ///
    /// A list in pages is no snapshot, so two hosts may have read different sets at one version, and each
    /// keeps its own until a later one. A host that has an older set hears the later one from this host.
    pub fn merge(&mut self, domains: impl IntoIterator<Item = Tag>, version: u64) -> News {
        if version > self.version {
            return self.replace(domains, version);
        }
        self.has_been_used |= version < self.version && domains.into_iter().next().is_some();
        News::default()
    }

    /// Applies the changes that a watch has brought, in order, up to `version`.
    ///
    /// A watch starts where the last read ended, so a set that another host has told meanwhile and
    /// that is from a later version already contains them.
    pub fn apply(&mut self, changes: &[Change], version: u64) -> News {
        let mut domains = self.domains.clone();
        for change in changes {
            if change.is_evacuated {
                domains.insert(change.domain);
            } else {
                domains.remove(&change.domain);
            }
        }
        self.replace(domains, version)
    }
}
