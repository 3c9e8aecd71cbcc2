//! What a restore of the store from an older copy does to a host's tenure.
//!
//! See [docs/DESIGN.md](../../../../docs/DESIGN.md#restored-store).

use super::{Holding, Member, Observed, Roster, SLOTS, Tenure};
use crate::position::Position;

impl Tenure {
    /// The epoch before the first roster of the store's era; 0 if the store was never restored.
    pub(super) fn first_epoch(&self) -> u64 {
        let first = Position::new(self.era.unwrap_or(0), 0);
        let is_restored = self.has_seen_restore || first.follows_restore();
        if is_restored { first.version().unwrap_or(0) } else { 0 }
    }

    /// The roster last read, unless it is from an earlier era than the store's.
    pub(super) fn current_roster(&self) -> Option<&Roster> {
        self.roster.as_ref().filter(|roster| self.is_current(roster))
    }

    /// Whether a roster was written in the store's era.
    pub(super) fn is_current(&self, roster: &Roster) -> bool {
        roster.epoch >= self.first_epoch()
    }

    /// Whether this host waits until no other host can spend by a roster from before a restore.
    pub fn awaits_first_roster(&self) -> bool {
        self.first_epoch() > 0 && self.current_roster().is_none()
    }

    /// Records the store's era. If the store was restored, gives up the lease and all slots.
    ///
    /// The restored store may have lost any roster that this host or others have read, so no
    /// earlier roster shows who holds a slot. Returns whether slots may have been given up.
    ///
    /// `announced` is the highest era in other hosts' epochs. Since epochs hold an era only after a
    /// restore, it tells a host that has started since.
    pub fn enter_era(&mut self, era: u64, announced: u64) -> bool {
        let known = self.era;
        let latest = known.max(Some(era.max(announced)));
        let is_restored = (known.is_some() && latest > known) || announced > 0;
        self.era = latest;
        if !is_restored || (latest == known && self.has_seen_restore) {
            return false;
        }
        self.has_seen_restore = true;
        // The restored store may have no roster, whose version is 0.
        self.version = 0;
        self.lose_lease();
        self.pending_swap = None;
        self.vouched_until.clear();
        self.stopped.clear();
        self.held_since.clear();
        true
    }

    /// The first roster of the domain, or of the store's era.
    ///
    /// Only the first of the domain has the epoch 1, by which its holders' buckets start full.
    pub(super) fn first_roster(&self, observed: &Observed) -> Roster {
        let earlier = self.roster.as_ref().map_or(0, |roster| Position::of(roster.epoch).revision);
        let is_first_ever = self.first_epoch() == 0;
        let epoch = if is_first_ever { 1 } else { self.first_epoch() + earlier.max(1) + 1 };
        // Earlier holders that were not heard may still spend the other half.
        let priors = observed.unheard.clone();
        let part = if priors.is_empty() { 1.0 } else { 0.5 };
        let holding = Holding { holder: self.me, part, priors };
        Roster {
            epoch,
            members: vec![Member { seat: self.me, joined: epoch }],
            slots: vec![holding; SLOTS as usize],
        }
    }
}
