//! Since when the leases of other hosts have been seen expired.

use std::collections::{HashMap, HashSet};

use super::{LEASE_TTL, Seat};
use crate::prelude::*;

/// The incarnations whose leases this host has seen expired in all reads since some moment.
///
/// A host that no other hears may still reach the store, where it learns that keys are valid and
/// renews its lease. Only once its lease has been expired for longer than keys stay valid does it
/// certainly spend nothing.
#[derive(Debug, Clone, Default)]
pub struct Lapses {
    since: HashMap<Seat, Instant>,
    observed_at: Option<Instant>,
}

impl Lapses {
    /// Records a read of the leases, in which those of `lapsed` had expired.
    pub fn observe(&mut self, lapsed: &HashSet<Seat>, now: Instant) {
        // Between two reads that are further apart, a lease may have been valid once more.
        let is_gapless = self
            .observed_at
            .is_some_and(|before| now.saturating_duration_since(before) < LEASE_TTL);
        self.observed_at = Some(now);
        self.since.retain(|seat, _| is_gapless && lapsed.contains(seat));
        for seat in lapsed {
            self.since.entry(*seat).or_insert(now);
        }
    }

    /// The incarnations whose leases have been expired for longer than `limit`.
    pub fn longer_than(&self, limit: Duration, now: Instant) -> impl Iterator<Item = Seat> {
        let lapsed = self.since.iter();
        let long = lapsed.filter(move |(_, since)| now.saturating_duration_since(**since) > limit);
        long.map(|(seat, _)| *seat)
    }
}
