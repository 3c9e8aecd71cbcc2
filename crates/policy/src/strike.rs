//! Quarantine of requests that crash the upstreams that run them.
//!
//! A request's fingerprint gets a strike when an upstream crashes while running the
//! request. After one strike, the request may not share an upstream with another suspect;
//! after two, every host refuses it until a strike expires. See
//! [docs/DESIGN.md](../../../docs/DESIGN.md#failure).

use std::collections::HashMap;

use crate::prelude::*;

/// The number of strikes from which a fingerprint is refused.
pub const LIMIT: u8 = 2;
/// Strikes for one upstream less than this time apart are attributed to the same crash.
const SAME_CRASH_WINDOW: Duration = Duration::from_secs(5);
/// The time after which a strike expires.
pub const TTL: Duration = Duration::from_mins(10);

plain! { value
    /// A crash of one upstream while it ran a request.
    #[derive(Eq)]
    pub struct Strike {
        /// The fingerprint of the request; see [`fingerprint`].
        pub fingerprint: Tag,
        /// The upstream that crashed.
        pub upstream: Tag,
        /// The attempt that observed the crash; makes a strike received twice count once.
        pub attempt: Tag,
    }
}

/// Digests the parts that make two requests of a team the same, each with its length.
pub fn fingerprint(team: Tag, parts: &[&[u8]]) -> Tag {
    let mut hasher = blake3::Hasher::new();
    hasher.update(&team.0.to_le_bytes());
    for part in parts {
        hasher.update(&(part.len() as u64).to_le_bytes());
        hasher.update(part);
    }
    let digest = hasher.finalize();
    let (head, _) = digest.as_bytes().split_at(8);
    Tag(u64::from_le_bytes(head.try_into().expect("eight bytes")))
}

#[derive(Debug, Clone, Copy)]
struct Entry {
    strike: Strike,
    recorded_at: Instant,
}

impl Entry {
    fn is_live(&self, now: Instant) -> bool {
        now.saturating_duration_since(self.recorded_at) < TTL
    }
}

/// The strikes observed by a host and by its peers, keyed by fingerprint.
#[derive(Debug, Clone, Default)]
pub struct Ledger {
    strikes: HashMap<Tag, Vec<Entry>>,
}

impl Ledger {
    /// Records a strike; returns false if it was known and need not be forwarded to peers.
    pub fn record(&mut self, strike: Strike, now: Instant) -> bool {
        self.remove_expired(now);
        let known = self.strikes.entry(strike.fingerprint).or_default();
        if known.iter().any(|entry| entry.strike.attempt == strike.attempt) {
            return false;
        }
        known.push(Entry { strike, recorded_at: now });
        true
    }

    /// The number of unexpired strikes of the fingerprint.
    pub fn count(&self, fingerprint: Tag, now: Instant) -> u8 {
        let Some(known) = self.strikes.get(&fingerprint) else {
            return 0;
        };
        let live = known.iter().filter(|entry| entry.is_live(now));
        live.count().min(usize::from(u8::MAX)) as u8
    }

    /// The upstream of the latest crash that the fingerprint is suspected of.
    ///
    /// `None` if it has no unexpired strike, or if each of its crashes is attributed to a
    /// fingerprint at the limit, which clears the other fingerprints of that crash.
    pub fn suspected_crash(&self, fingerprint: Tag, now: Instant) -> Option<Tag> {
        let known = self.strikes.get(&fingerprint)?;
        let mut open = known.iter().rev().filter(|e| e.is_live(now) && !self.is_attributed(e, now));
        open.next().map(|entry| entry.strike.upstream)
    }

    /// The upstreams whose crashes are attributed to the fingerprint; empty below the limit.
    pub fn crashes_of(&self, fingerprint: Tag, now: Instant) -> Vec<Tag> {
        if self.count(fingerprint, now) < LIMIT {
            return Vec::new();
        }
        let known = self.strikes.get(&fingerprint).into_iter().flatten();
        known.filter(|e| e.is_live(now)).map(|e| e.strike.upstream).collect()
    }

    /// Whether a fingerprint at the limit has a strike for the same crash.
    fn is_attributed(&self, entry: &Entry, now: Instant) -> bool {
        let is_same_crash = |other: &Entry| {
            let apart =
                other.recorded_at.max(entry.recorded_at) - other.recorded_at.min(entry.recorded_at);
            other.strike.upstream == entry.strike.upstream && apart < SAME_CRASH_WINDOW
        };
        let culprits = self.strikes.iter().filter(|(f, _)| self.count(**f, now) >= LIMIT);
        let mut entries = culprits.flat_map(|(_, known)| known.iter());
        entries.any(is_same_crash)
    }

    /// The remaining time for which the fingerprint is refused; `None` below the limit.
    pub fn refused_for(&self, fingerprint: Tag, now: Instant) -> Option<Duration> {
        if self.count(fingerprint, now) < LIMIT {
            return None;
        }
        let oldest = self.strikes.get(&fingerprint)?.iter().map(|entry| entry.recorded_at).min()?;
        Some(TTL.saturating_sub(now.saturating_duration_since(oldest)))
    }

    /// Removes strikes older than [`TTL`].
    fn remove_expired(&mut self, now: Instant) {
        self.strikes.retain(|_, known| {
            known.retain(|entry| entry.is_live(now));
            !known.is_empty()
        });
    }
}
