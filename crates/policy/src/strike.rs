//! Requests that crash the upstreams that run them.
//!
//! A fingerprint is charged when an upstream dies while running it. After one
//! strike the request may run only without another suspect beside it; after
//! two it is refused on every host for a time. See [docs/DESIGN.md](../../../docs/DESIGN.md#failure).

use std::collections::HashMap;

use crate::prelude::*;

/// Strikes after which a fingerprint is refused.
pub const LIMIT: u8 = 2;
/// Strikes for one upstream within this time are taken for the same crash.
const CRASH_SPAN: Duration = Duration::from_secs(5);
/// How long a strike counts.
pub const LIFETIME: Duration = Duration::from_mins(10);

plain! { value
    /// One upstream's death while it ran a fingerprint.
    #[derive(Eq)]
    pub struct Strike {
        /// The team and body digest of the request.
        pub fingerprint: Tag,
        /// The upstream that died.
        pub upstream: Tag,
        /// The attempt that saw it die, so that a strike heard twice counts once.
        pub attempt: Tag,
    }
}

/// The fingerprint of a request body of a team.
pub fn fingerprint(team: Tag, body: &[u8]) -> Tag {
    let mut hasher = blake3::Hasher::new();
    hasher.update(&team.0.to_le_bytes());
    hasher.update(body);
    let digest = hasher.finalize();
    let (head, _) = digest.as_bytes().split_at(8);
    Tag(u64::from_le_bytes(head.try_into().expect("eight bytes")))
}

#[derive(Debug, Clone, Copy)]
struct Entry {
    strike: Strike,
    at: Instant,
}

impl Entry {
    fn is_live(&self, now: Instant) -> bool {
        now.saturating_duration_since(self.at) < LIFETIME
    }
}

/// What a host knows of strikes, its own and those of its peers.
#[derive(Debug, Clone, Default)]
pub struct Ledger {
    strikes: HashMap<Tag, Vec<Entry>>,
}

impl Ledger {
    /// Records a strike; returns false if it was known, so that it is not sent on.
    pub fn record(&mut self, strike: Strike, now: Instant) -> bool {
        self.forget(now);
        let known = self.strikes.entry(strike.fingerprint).or_default();
        if known.iter().any(|entry| entry.strike.attempt == strike.attempt) {
            return false;
        }
        known.push(Entry { strike, at: now });
        true
    }

    /// How many upstreams the fingerprint has crashed lately.
    pub fn count(&self, fingerprint: Tag, now: Instant) -> u8 {
        let Some(known) = self.strikes.get(&fingerprint) else {
            return 0;
        };
        let live = known.iter().filter(|entry| entry.is_live(now));
        live.count().min(usize::from(u8::MAX)) as u8
    }

    /// The upstream whose crash the fingerprint is suspected of, if there is one.
    ///
    /// A crash for which a culprit was found casts no suspicion on the others.
    pub fn suspected_crash(&self, fingerprint: Tag, now: Instant) -> Option<Tag> {
        let known = self.strikes.get(&fingerprint)?;
        let mut open = known.iter().rev().filter(|e| e.is_live(now) && !self.is_solved(e, now));
        open.next().map(|entry| entry.strike.upstream)
    }

    /// The upstreams whose crashes the fingerprint is the culprit of; none below the limit.
    pub fn crashes_of(&self, fingerprint: Tag, now: Instant) -> Vec<Tag> {
        if self.count(fingerprint, now) < LIMIT {
            return Vec::new();
        }
        let known = self.strikes.get(&fingerprint).into_iter().flatten();
        known.filter(|e| e.is_live(now)).map(|e| e.strike.upstream).collect()
    }

    /// Whether a culprit was struck for the same crash.
    fn is_solved(&self, entry: &Entry, now: Instant) -> bool {
        let same = |other: &Entry| {
            let apart = other.at.max(entry.at) - other.at.min(entry.at);
            other.strike.upstream == entry.strike.upstream && apart < CRASH_SPAN
        };
        let culprits = self.strikes.iter().filter(|(f, _)| self.count(**f, now) >= LIMIT);
        let mut struck = culprits.flat_map(|(_, known)| known.iter());
        struck.any(same)
    }

    /// How long the fingerprint is still refused, if it is.
    pub fn refused_for(&self, fingerprint: Tag, now: Instant) -> Option<Duration> {
        if self.count(fingerprint, now) < LIMIT {
            return None;
        }
        let oldest = self.strikes.get(&fingerprint)?.iter().map(|entry| entry.at).min()?;
        Some(LIFETIME.saturating_sub(now.saturating_duration_since(oldest)))
    }

    /// Drops strikes past their lifetime.
    fn forget(&mut self, now: Instant) {
        self.strikes.retain(|_, known| {
            known.retain(|entry| entry.is_live(now));
            !known.is_empty()
        });
    }
}
