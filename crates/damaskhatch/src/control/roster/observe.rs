//! What a host knows of the other hosts of its domain before it changes the roster.

use std::collections::HashSet;

use damaskhatch_policy::position::Position;
use damaskhatch_policy::tenure::{LEASE_TTL, Observed, Roster, Seat, VOUCH_TTL};

use super::Keeper;
use crate::clock::steady;
use crate::prelude::*;

/// Added to the TTL of keys to cover relayed heartbeats and responses that are in transit.
const SILENCE_MARGIN: Duration = Duration::from_secs(4);

impl Keeper {
    /// Members and current or earlier holders that send no heartbeats, and whose leases are therefore
    /// read.
    pub(super) fn silent_seats(&self) -> Vec<Seat> {
        let hosts = self.shared.hosts();
        let now = steady();
        let is_alive = |seat: &Seat| {
            let member = hosts.member(seat.host);
            member.is_some_and(|m| m.is_alive(now) && m.record.incarnation == seat.incarnation)
        };
        let Some(roster) = self.tenure.roster() else { return Vec::new() };
        let members = roster.members.iter().map(|member| member.seat);
        let holders = roster.slots.iter().map(|holding| holding.holder);
        let priors = roster.slots.iter().flat_map(|holding| holding.priors.iter().copied());
        let all: HashSet<Seat> = members.chain(holders).chain(priors).collect();
        all.into_iter().filter(|seat| *seat != self.seat() && !is_alive(seat)).collect()
    }

    /// Current or earlier holders that can no longer spend.
    ///
    /// A host accepts keys only while it reaches the store, where it renews its lease, or a host that
    /// does. If for longer than keys stay valid no heartbeat of it arrives, direct or relayed, and
    /// its lease has been expired, it spends nothing.
    pub(super) fn dropped_seats(&self) -> HashSet<Seat> {
        let Some(limit) = self.silence_limit() else { return HashSet::new() };
        let (hosts, now, started) = (self.shared.hosts(), steady(), self.shared.started);
        let freshness = Duration::from_millis(self.shared.settings.limits.key_freshness_ms);
        let lapsed = self.lapses.longer_than(freshness, now);
        lapsed.filter(|seat| hosts.is_silent(seat.host, limit, started, now)).collect()
    }

    /// How long a host must be silent before it certainly accepts no keys and spends nothing; `None`
    /// where keys do not expire.
    fn silence_limit(&self) -> Option<Duration> {
        let freshness = self.shared.settings.limits.key_freshness_ms;
        (freshness > 0).then(|| Duration::from_millis(freshness) + SILENCE_MARGIN)
    }

    /// Finds out whether any host may still spend by a roster from before a restore of the store.
    ///
    /// A host that announces an epoch of this era has given up its earlier slots. A host that was
    /// not heard for longer than keys stay valid spends nothing.
    pub(super) fn observe_earlier_eras(&self, observed: &mut Observed) {
        let (hosts, now, started) = (self.shared.hosts(), steady(), self.shared.started);
        let seats = self.tenure.roster().map(Roster::seats).unwrap_or_default();
        let in_domain = hosts.members().map(|member| &member.record);
        let in_domain = in_domain.filter(|record| record.domain == self.shared.domain);
        let mut others: HashSet<Tag> = in_domain.map(|record| record.host).collect();
        others.extend(seats.iter().map(|seat| seat.host));
        others.remove(&self.shared.host);
        let expiry = self.silence_limit();
        let limit = expiry.unwrap_or(LEASE_TTL + VOUCH_TTL);
        let era = self.shared.era.latest().max(self.shared.announced_era());
        observed.is_settled = others.into_iter().all(|host| {
            if let Some(member) = hosts.member(host).filter(|member| member.is_alive(now)) {
                // A later epoch than the era's first shows a roster that this host has not read.
                let announced = Position::of(member.record.epoch);
                return announced.era >= era && announced.revision == 0;
            }
            let is_silent = hosts.is_silent(host, limit, started, now);
            if is_silent && expiry.is_none() {
                observed.unheard.extend(seats.iter().filter(|seat| seat.host == host));
            }
            is_silent
        });
    }
}
