//! Gives up a host's slots after a restore of the store, and finds out when they can be held again.

use std::collections::HashSet;

use damaskhatch_policy::position::Position;
use damaskhatch_policy::tenure::{LEASE_TTL, Observed, Roster, VOUCH_TTL};

use super::{Keeper, SILENCE_MARGIN};
use crate::clock::steady;
use crate::prelude::*;

impl Keeper {
    /// The highest era in the epochs of other hosts; 0 if none has seen a restore of the store.
    ///
    /// A host that is cut off from the store has to give up its slots, too, before others may
    /// hold them.
    fn announced_era(&self) -> u64 {
        let hosts = self.shared.hosts();
        let announced = hosts.members().map(|member| Position::of(member.record.epoch).era);
        announced.max().unwrap_or(0)
    }

    /// Gives up the lease and all slots if the store was restored since the last call.
    pub(super) fn enter_era(&mut self) {
        let (seen, announced) = (self.shared.era.latest(), self.announced_era());
        if !self.tenure.enter_era(seen, announced) {
            return;
        }
        let era = seen.max(announced);
        log::warn!("event=slots_given_up era={era} reason=store_restored");
        (self.lease, self.confirmed) = (None, None);
        self.publish_tenure();
        self.publish_slots();
    }

    /// Enters the era of a restored store and runs the next step at once.
    pub(super) fn handle_restore(&mut self, ctx: &mut Context<Self>) {
        self.enter_era();
        if let Some(next) = self.next_step.take() {
            ctx.cancel_future(next);
            self.step(ctx);
        }
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
        let freshness = Duration::from_millis(self.shared.settings.limits.key_freshness_ms);
        let keys_expire = !freshness.is_zero();
        let limit = if keys_expire { freshness + SILENCE_MARGIN } else { LEASE_TTL + VOUCH_TTL };
        let era = self.shared.era.latest().max(self.announced_era());
        observed.is_settled = others.into_iter().all(|host| {
            if let Some(member) = hosts.member(host).filter(|member| member.is_alive(now)) {
                // A later epoch than the era's first shows a roster that this host has not read.
                let announced = Position::of(member.record.epoch);
                return announced.era >= era && announced.revision == 0;
            }
            let is_silent = hosts.is_silent(host, limit, started, now);
            if is_silent && !keys_expire {
                observed.unheard.extend(seats.iter().filter(|seat| seat.host == host));
            }
            is_silent
        });
    }
}
