//! The roster of a domain, as stored in the platform.

use std::collections::{HashMap, HashSet};

use super::SLOTS;
use crate::prelude::*;

plain! { value
    /// One incarnation of a host.
    #[derive(Eq, Hash)]
    pub struct Seat {
        /// The tag of the host's name.
        pub host: Tag,
        /// The start time of its process; a later incarnation has a higher one.
        pub incarnation: u64,
    }
}

plain! { value
    /// A member of a roster.
    #[derive(Eq)]
    pub struct Member {
        /// The incarnation of the host that joined.
        pub seat: Seat,
        /// The epoch of the first roster that lists it.
        pub joined: u64,
    }
}

plain! { data
    /// The holder of one slot of a roster.
    pub struct Holding {
        /// The host that holds the slot.
        pub holder: Seat,
        /// The fraction of the slot that the holder may spend with a valid lease, 0 to 1.
        pub part: f64,
        /// Earlier holders that may still be running and spend the rest of the slot.
        pub priors: Vec<Seat>,
    }
}

plain! { data
    /// The hosts of a domain and the holders of its slots.
    pub struct Roster {
        /// The number of rosters written so far, 1 for the first.
        ///
        /// After a restore of the store it also holds the era, as
        /// [`Position`](crate::position::Position) encodes it, so that it never decreases.
        pub epoch: u64,
        /// The hosts that may hold slots or vouch for a holder.
        pub members: Vec<Member>,
        /// The holder of each slot; [`SLOTS`] entries.
        pub slots: Vec<Holding>,
    }
}

impl Roster {
    /// The members, and all current and earlier holders.
    pub fn seats(&self) -> HashSet<Seat> {
        let members = self.members.iter().map(|member| member.seat);
        let holders = self.slots.iter().map(|holding| holding.holder);
        let priors = self.slots.iter().flat_map(|holding| holding.priors.iter().copied());
        members.chain(holders).chain(priors).collect()
    }

    /// The epoch in which `seat` joined; `None` if it is not a member.
    pub(super) fn joined(&self, seat: Seat) -> Option<u64> {
        self.members.iter().find(|member| member.seat == seat).map(|member| member.joined)
    }
}

plain! { value
    /// The last roster that a host is known to have read; each host stores its own.
    #[derive(Eq)]
    pub struct Confirmed {
        /// The host that wrote it.
        pub seat: Seat,
        /// The epoch of the roster that the host had read.
        pub epoch: u64,
    }
}

/// What a host knows before it proposes a roster.
///
/// `lapsed` and `confirmed` are read from the platform; `dropped` and `eligible` come from the
/// heartbeats that the host has received.
#[derive(Debug, Clone, Default)]
pub struct Observed {
    /// Members and holders whose leases were looked up and had expired.
    pub lapsed: HashSet<Seat>,
    /// The last confirmation of each lapsed host; absent if it never stored one.
    pub confirmed: HashMap<Tag, Confirmed>,
    /// Holders and priors that can no longer spend, because no heartbeat of their hosts has arrived,
    /// and their leases have been expired, for longer than keys stay valid; empty if
    /// `key_freshness_ms` is 0.
    pub dropped: HashSet<Seat>,
    /// Live hosts that may receive slots.
    pub eligible: HashSet<Tag>,
    /// Whether no other host spends by a roster of an earlier era than the store's, except for
    /// those in `unheard`, and none is known to have read a roster of this era.
    pub is_settled: bool,
    /// Holders in rosters of earlier eras that were not heard in this one and, as keys do not
    /// expire, may still spend.
    pub unheard: Vec<Seat>,
}

/// The number of slots per host when they are spread evenly, rounded up.
pub(super) const fn fair_share(hosts: usize) -> usize {
    (SLOTS as usize).div_ceil(if hosts == 0 { 1 } else { hosts })
}

/// Whether an incarnation of a host has certainly ended, so that it spends nothing any more.
pub(super) fn has_ended(roster: &Roster, seat: Seat, observed: &Observed) -> bool {
    is_replaced(roster, seat) || observed.dropped.contains(&seat)
}

/// Whether a later incarnation of the same host is a member of the roster.
fn is_replaced(roster: &Roster, seat: Seat) -> bool {
    let later = |m: &Member| m.seat.host == seat.host && m.seat.incarnation > seat.incarnation;
    roster.members.iter().any(later)
}

/// Drops priors that have ended; a holder without priors may spend the full slot.
pub(super) fn drop_ended_priors(next: &mut Roster, observed: &Observed) {
    let members = next.clone();
    for holding in &mut next.slots {
        holding.priors.retain(|prior| !has_ended(&members, *prior, observed));
        if holding.priors.is_empty() {
            holding.part = 1.0;
        }
    }
}
