//! Which software version of a service began which stream, and which versions have served.
//!
//! What two versions write does not fit together, so a stream goes on only at the version that
//! began it. A host that does not know that version must not guess it; see
//! [docs/DESIGN.md](../../../docs/DESIGN.md#software-versions).

use std::collections::{HashMap, VecDeque};

use crate::prelude::*;
use crate::registry::Entry;

/// The longest time from the choice of a stream's engine to the last time that it is taken up.
///
/// Twice the time that callers wait for a stream.
pub const STREAM_LIFE: Duration = Duration::from_secs(30);

/// The versions that began streams, for [`STREAM_LIFE`] after each was last used.
#[derive(Debug, Clone, Default)]
pub struct Streams {
    /// The version of each stream, and when it was last recorded.
    known: HashMap<Tag, (Tag, Instant)>,
    /// The order in which streams were recorded; one that was recorded again is in it twice.
    order: VecDeque<(Instant, Tag)>,
}

impl Streams {
    /// Records the version that began a stream; returns whether that was not known.
    ///
    /// What was recorded first holds: a stream has one first event.
    pub fn record(&mut self, stream: Tag, version: Tag, now: Instant) -> bool {
        self.remove_expired(now);
        self.order.push_back((now, stream));
        match self.known.get_mut(&stream) {
            Some((_version, recorded_at)) => {
                *recorded_at = now;
                false
            }
            None => self.known.insert(stream, (version, now)).is_none(),
        }
    }

    /// The version that began a stream, if it is known.
    pub fn version(&self, stream: Tag) -> Option<Tag> {
        self.known.get(&stream).map(|(version, _)| *version)
    }

    /// All streams with their versions.
    pub fn iter(&self) -> impl Iterator<Item = (Tag, Tag)> {
        self.known.iter().map(|(stream, (version, _))| (*stream, *version))
    }

    fn remove_expired(&mut self, now: Instant) {
        while let Some((at, stream)) = self.order.front().copied() {
            if now.saturating_duration_since(at) < STREAM_LIFE {
                return;
            }
            self.order.pop_front();
            if self.known.get(&stream).is_some_and(|(_, recorded_at)| *recorded_at == at) {
                self.known.remove(&stream);
            }
        }
    }
}

/// The versions of each service of engines that have served within the life of a stream.
#[derive(Debug, Clone, Default)]
pub struct Served {
    services: HashMap<Tag, HashMap<Tag, Instant>>,
    /// From when on the versions are complete; `None` before anything was observed.
    complete_from: Option<Instant>,
}

/// Versions as they are saved: each service with those that have served, in ascending order.
pub type Saved = Vec<(Tag, Vec<Tag>)>;

impl Served {
    /// Takes the engines that are registered now into account.
    pub fn observe<'a>(&mut self, entries: impl Iterator<Item = &'a Entry>, now: Instant) {
        let mut is_empty = true;
        for entry in entries.filter(|entry| entry.role.is_some()) {
            is_empty = false;
            self.services.entry(entry.service).or_default().insert(entry.software, now);
        }
        if !is_empty && self.complete_from.is_none() {
            self.complete_from = Some(now + STREAM_LIFE);
        }
        for versions in self.services.values_mut() {
            versions.retain(|_, seen| now.saturating_duration_since(*seen) < STREAM_LIFE);
        }
    }

    /// Takes into account which versions had served when another process saved them.
    ///
    /// They count as if they had served until now, because nobody knows how old the copy is.
    pub fn restore(&mut self, saved: &Saved, now: Instant) {
        for (service, versions) in saved {
            let known = self.services.entry(*service).or_default();
            versions.iter().for_each(|version| {
                known.insert(*version, now);
            });
        }
    }

    /// Records that engines may have come and gone unseen, because the list of them is out of date.
    ///
    /// The versions are complete again once a whole life of a stream has been observed, or what another
    /// process saved has been restored.
    pub const fn interrupt(&mut self) {
        self.complete_from = None;
    }

    /// Records that nothing has served that is not known, after [`Self::restore`].
    pub fn complete(&mut self, now: Instant) {
        self.complete_from = Some(now);
    }

    /// Whether every version that has served within the life of a stream is known.
    pub fn is_complete(&self, now: Instant) -> bool {
        self.complete_from.is_some_and(|from| now >= from)
    }

    /// Whether a service has had several versions within the life of a stream.
    pub fn is_mixed(&self) -> bool {
        self.services.values().any(|versions| versions.len() > 1)
    }

    /// The version that began every stream of a service, if there was only one.
    pub fn sole(&self, service: Tag, now: Instant) -> Option<Tag> {
        let versions = self.services.get(&service).filter(|_| self.is_complete(now))?;
        let mut versions = versions.keys();
        versions.next().copied().filter(|_| versions.next().is_none())
    }

    /// What to save for processes that start later.
    pub fn to_save(&self) -> Saved {
        let sorted = self.services.iter().map(|(service, versions)| {
            let mut versions: Vec<Tag> = versions.keys().copied().collect();
            versions.sort_unstable();
            (*service, versions)
        });
        let mut saved: Saved = sorted.filter(|(_, versions)| !versions.is_empty()).collect();
        saved.sort_unstable();
        saved
    }
}
