//! Which host holds a bucket slot, and how much of the slot it may spend.
//!
//! A holder spends its full fraction while its lease is valid or every other member of
//! the roster vouches for it, and half of it otherwise. A host that takes over
//! from a holder that may still be running gets the other half. Together they never
//! spend more than the slot, whichever of them is paused, partitioned or delayed. See
//! [docs/DESIGN.md](../../../../docs/DESIGN.md#tenure).

use std::collections::{HashMap, HashSet};

use crate::position::Position;
use crate::prelude::*;

mod era;
mod lapse;
pub mod roster;

pub use lapse::Lapses;
pub use roster::{Confirmed, Holding, Member, Observed, Roster, Seat};
use roster::{drop_ended_priors, fair_share, has_ended};

/// Bucket slots per domain; each team is hashed to one of them.
pub const SLOTS: u32 = 16;
/// How long a host's lease stays valid in the platform without renewal.
pub const LEASE_TTL: Duration = Duration::from_secs(3);
/// How long a host that vouched for a holder does not take over its slots.
pub const VOUCH_TTL: Duration = Duration::from_secs(3);
/// Subtracted from [`LEASE_TTL`] and [`VOUCH_TTL`], since the clocks of two hosts may run at
/// different rates.
const CLOCK_DRIFT_MARGIN: Duration = Duration::from_millis(200);

/// Returns the slot that a team's bucket belongs to.
pub const fn slot(team: Tag) -> u32 {
    (team.0 % SLOTS as u64) as u32
}

/// What a host may spend of one slot.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Allowance {
    /// The fraction of the domain's share, 0 to 1.
    pub fraction: f64,
    /// When the host became the holder, with empty buckets; `None` for the first holder
    /// of the slot, whose buckets start full.
    pub since: Option<Instant>,
}

/// What one host knows about its roster, its lease and the slots that it holds.
#[derive(Debug, Clone)]
pub struct Tenure {
    me: Seat,
    /// The store's era as of the last read; `None` before the first.
    era: Option<u64>,
    /// Whether the store was restored since this process started.
    has_seen_restore: bool,
    roster: Option<Roster>,
    /// The version of the roster last read; 0 before the first read.
    version: u64,
    lease_valid_until: Option<Instant>,
    /// Until when each other member vouches for this host.
    vouched_until: HashMap<Seat, Instant>,
    /// Until when this host vouches for others.
    vouching_until: HashMap<Tag, Instant>,
    /// The version that a swap with unknown outcome was to replace.
    pending_swap: Option<u64>,
    /// Whether the host must write a roster before its lease counts.
    must_register: bool,
    /// Held slots that this host no longer spends from, so that they can be handed over.
    stopped: HashSet<u32>,
    /// [`Allowance::since`] of each held slot.
    held_since: HashMap<u32, Option<Instant>>,
}

impl Tenure {
    /// Creates the state of a host that has not read a roster.
    pub fn new(me: Seat) -> Self {
        Self {
            me,
            era: None,
            has_seen_restore: false,
            roster: None,
            version: 0,
            lease_valid_until: None,
            vouched_until: HashMap::new(),
            vouching_until: HashMap::new(),
            pending_swap: None,
            must_register: true,
            stopped: HashSet::new(),
            held_since: HashMap::new(),
        }
    }

    /// The roster last read; `None` until there is one.
    pub const fn roster(&self) -> Option<&Roster> {
        self.roster.as_ref()
    }

    /// The epoch of the roster last read, 0 without one.
    ///
    /// While that roster is from an earlier era, it is the era's epoch before the first roster,
    /// which tells other hosts that this one spends nothing by an earlier roster.
    pub fn epoch(&self) -> u64 {
        let current = self.current_roster().map_or(0, |roster| roster.epoch);
        current.max(self.first_epoch())
    }

    /// The version of the roster last read, which the next compare-and-swap expects.
    pub const fn version(&self) -> u64 {
        self.version
    }

    /// Whether this incarnation of the host is a member of the roster.
    pub fn is_member(&self) -> bool {
        self.current_roster().is_some_and(|roster| roster.joined(self.me).is_some())
    }

    /// Replaces the roster by the one read at `version`; `None` if the platform has none.
    ///
    /// Ignores a version older than the last one read, or from before a restore of the store.
    pub fn update_roster(&mut self, roster: Option<Roster>, version: u64, now: Instant) {
        let is_of_earlier_era = version > 0 && version < self.first_epoch();
        if version < self.version || is_of_earlier_era {
            return;
        }
        self.version = version;
        if self.pending_swap.is_some_and(|expected| version > expected) {
            self.pending_swap = None;
        }
        let Some(roster) = roster else { return };
        if !self.is_current(&roster) {
            // Of the rosters that no longer count, the newest says most about who held slots.
            self.roster =
                self.roster.take().filter(|own| own.epoch > roster.epoch).or(Some(roster));
            return;
        }
        let is_first = Position::of(roster.epoch).revision == 1;
        let held: HashSet<u32> = self.held_slots_in(&roster).collect();
        self.held_since.retain(|slot, _| held.contains(slot));
        self.stopped.retain(|slot| held.contains(slot));
        for slot in held {
            self.held_since.entry(slot).or_insert((!is_first).then_some(now));
        }
        if roster.epoch != self.epoch() {
            // A member vouches only for the epoch named in the request.
            self.vouched_until.clear();
        }
        self.roster = Some(roster);
    }

    /// Records that the lease was renewed and the roster read afterwards.
    ///
    /// `sent_at` is a time before the renewal was sent, so that the lease in the platform
    /// cannot end earlier than this host assumes.
    pub fn confirm_lease(&mut self, sent_at: Instant) {
        if !self.must_register && self.is_member() {
            self.lease_valid_until = Some(sent_at + LEASE_TTL.saturating_sub(CLOCK_DRIFT_MARGIN));
        }
    }

    /// Records that the lease expired; a new one counts only once the host has written a roster.
    ///
    /// Another host that saw the expired lease may be about to take over. Writing
    /// the roster makes its compare-and-swap fail.
    pub const fn lose_lease(&mut self) {
        self.lease_valid_until = None;
        self.must_register = true;
    }

    /// Whether the lease in the platform is certain to be valid.
    pub fn has_valid_lease(&self, now: Instant) -> bool {
        self.lease_valid_until.is_some_and(|until| now < until)
    }

    /// Whether a roster that is some seconds old will do for the next read.
    ///
    /// While its lease has not ended, no other host takes this one's slots, and what it may be given
    /// can wait. After a swap whose outcome is unknown, the roster has to be the newest.
    pub fn may_read_stale(&self, now: Instant) -> bool {
        self.is_member()
            && !self.must_register
            && self.pending_swap.is_none()
            && self.has_valid_lease(now)
    }

    /// Whether this host holds slots and its lease may expire within half of [`LEASE_TTL`].
    pub fn needs_vouchers(&self, now: Instant) -> bool {
        let soon = now + LEASE_TTL / 2;
        self.is_member() && !self.has_valid_lease(soon) && self.held_slots().next().is_some()
    }

    /// The other members of the roster, which must all vouch in place of the lease.
    pub fn vouchers(&self) -> impl Iterator<Item = Seat> {
        let members = self.roster.iter().flat_map(|roster| roster.members.iter());
        members.map(|member| member.seat).filter(|seat| *seat != self.me)
    }

    /// Records that another member vouched; `requested_at` is a time before the request was sent.
    pub fn record_vouch(&mut self, by: Seat, epoch: u64, requested_at: Instant) {
        if epoch == self.epoch() {
            let until = requested_at + VOUCH_TTL.saturating_sub(CLOCK_DRIFT_MARGIN);
            self.vouched_until.insert(by, until);
        }
    }

    /// Agrees not to take over from `holder` for [`VOUCH_TTL`]; returns false if it declines.
    pub fn vouch_for(&mut self, holder: Tag, epoch: u64, now: Instant) -> bool {
        // A swap whose outcome is unknown may still take the holder's slots.
        if epoch != self.epoch() || !self.is_member() || self.pending_swap.is_some() {
            return false;
        }
        self.vouching_until.insert(holder, now + VOUCH_TTL);
        true
    }

    /// What this host may spend of a slot; the fraction is 0 if the slot is stopped or not held.
    pub fn allowance(&self, slot: u32, now: Instant) -> Allowance {
        let none = Allowance { fraction: 0.0, since: None };
        let Some(roster) = self.current_roster() else { return none };
        let Some(holding) = roster.slots.get(slot as usize) else { return none };
        if holding.holder != self.me || self.stopped.contains(&slot) {
            return none;
        }
        let is_vouched = || {
            let mut others = self.vouchers();
            others.all(|seat| self.vouched_until.get(&seat).is_some_and(|until| now < *until))
        };
        let may_spend_fully = self.has_valid_lease(now) || is_vouched();
        let fraction = if may_spend_fully { holding.part } else { holding.part / 2.0 };
        Allowance { fraction, since: self.held_since.get(&slot).copied().flatten() }
    }

    /// The holder of a slot according to the roster last read.
    pub fn holder(&self, slot: u32) -> Option<Tag> {
        let holding = self.current_roster()?.slots.get(slot as usize)?;
        Some(holding.holder.host)
    }

    /// The slots that this host holds in the roster last read, including stopped ones.
    pub fn held_slots(&self) -> impl Iterator<Item = u32> {
        self.current_roster().into_iter().flat_map(|roster| self.held_slots_in(roster))
    }

    /// The held slots that are not stopped, as a bit set.
    pub fn spendable_slots(&self) -> u64 {
        let slots = self.held_slots().filter(|slot| !self.stopped.contains(slot));
        slots.fold(0, |bits, slot| bits | 1 << slot)
    }

    /// Stops spending from slots that should move to other `eligible` hosts.
    ///
    /// Only a stopped slot is handed over. A leaving host stops all of its slots as soon as
    /// another host can receive them.
    pub fn stop_surplus_slots(&mut self, eligible: &HashSet<Tag>, is_leaving: bool) {
        if self.pending_swap.is_some() {
            // The pending swap may still hand the stopped slots over.
            return;
        }
        self.stopped.clear();
        let Some(roster) = self.current_roster() else { return };
        let others: Vec<Seat> = self.receivers(roster, eligible).collect();
        let fair = fair_share(others.len() + 1);
        let count = |seat: Seat| roster.slots.iter().filter(|h| h.holder == seat).count();
        let room: usize = others.iter().map(|seat| fair.saturating_sub(count(*seat))).sum();
        let held: Vec<u32> = self.held_slots().collect();
        let moving = match (is_leaving, others.is_empty()) {
            (_, true) => 0,
            (true, false) => held.len(),
            (false, false) => held.len().saturating_sub(fair).min(room),
        };
        self.stopped.extend(held.iter().rev().take(moving));
    }

    /// Other members of the roster that may receive slots.
    fn receivers<'a>(
        &self,
        roster: &'a Roster,
        eligible: &'a HashSet<Tag>,
    ) -> impl Iterator<Item = Seat> + use<'a> {
        let me = self.me;
        let seats = roster.members.iter().map(|member| member.seat);
        seats.filter(move |seat| *seat != me && eligible.contains(&seat.host))
    }

    /// Returns the roster that this host should write next; `None` if nothing has to change.
    pub fn propose_roster(&self, observed: &Observed, now: Instant) -> Option<Roster> {
        let Some(current) = self.current_roster() else {
            let may_found = !self.awaits_first_roster() || observed.is_settled;
            return may_found.then(|| self.first_roster(observed));
        };
        let mut next = current.clone();
        next.epoch += 1;
        self.register(&mut next);
        self.drop_lapsed_members(&mut next, observed);
        if observed.eligible.contains(&self.me.host) {
            self.take_over_slots(&mut next, current, observed, now);
        }
        self.hand_over_slots(&mut next, observed);
        drop_ended_priors(&mut next, observed);
        let changed = next.members != current.members || next.slots != current.slots;
        (changed || self.must_register).then_some(next)
    }

    /// Records that a compare-and-swap on the current version was sent.
    pub const fn begin_swap(&mut self) {
        self.pending_swap = Some(self.version);
    }

    /// Records that the compare-and-swap wrote this roster at `version`.
    pub fn complete_swap(&mut self, roster: Roster, version: u64, now: Instant) {
        let is_current = self.is_current(&roster);
        self.update_roster(Some(roster), version, now);
        if is_current {
            self.must_register = false;
        }
    }

    fn held_slots_in(&self, roster: &Roster) -> impl Iterator<Item = u32> + use<> {
        let me = self.me;
        let slots: Vec<u32> = (0..SLOTS)
            .filter(|slot| roster.slots.get(*slot as usize).is_some_and(|h| h.holder == me))
            .collect();
        slots.into_iter()
    }

    /// Adds this incarnation of the host and removes earlier ones, which marks them as ended.
    fn register(&self, next: &mut Roster) {
        if next.joined(self.me).is_none() {
            next.members.retain(|member| member.seat.host != self.me.host);
            next.members.push(Member { seat: self.me, joined: next.epoch });
        }
        for holding in next.slots.iter_mut().filter(|holding| holding.holder != self.me) {
            // This incarnation does not spend from a slot that another host holds.
            holding.priors.retain(|prior| *prior != self.me);
        }
    }

    fn drop_lapsed_members(&self, next: &mut Roster, observed: &Observed) {
        let holders: HashSet<Seat> = next.slots.iter().map(|holding| holding.holder).collect();
        next.members.retain(|member| {
            member.seat == self.me
                || holders.contains(&member.seat)
                || !observed.lapsed.contains(&member.seat)
        });
    }

    /// Takes slots of lapsed holders, up to this host's fair share.
    fn take_over_slots(
        &self,
        next: &mut Roster,
        current: &Roster,
        observed: &Observed,
        now: Instant,
    ) {
        let mut room = fair_share(observed.eligible.len().max(1))
            .saturating_sub(self.held_slots_in(next).count());
        for slot in 0..next.slots.len() {
            let holder = next.slots[slot].holder;
            let has_ended = has_ended(next, holder, observed);
            if holder == self.me || room == 0 {
                continue;
            }
            if !has_ended && !self.may_take_over(current, holder, observed, now) {
                continue;
            }
            room -= 1;
            let holding = &mut next.slots[slot];
            if !has_ended {
                holding.priors.push(holder);
                holding.part /= 2.0;
            }
            holding.holder = self.me;
        }
    }

    /// Whether the holder's lease has expired and the holder spends at most half of its fraction.
    fn may_take_over(
        &self,
        current: &Roster,
        holder: Seat,
        observed: &Observed,
        now: Instant,
    ) -> bool {
        let is_vouching = self.vouching_until.get(&holder.host).is_some_and(|until| now < *until);
        if is_vouching || !observed.lapsed.contains(&holder) {
            return false;
        }
        // The holder requests vouchers only from the members of the roster that it last read. A
        // host that joined later got no request, so the holder may have all that it needs.
        let Some(joined) = current.joined(self.me) else { return false };
        let confirmed = observed.confirmed.get(&holder.host).filter(|c| c.seat == holder);
        // A holder without a confirmation has read at least the roster in which it joined.
        // Its confirmation may be from before a restore of the store.
        let known_epoch = confirmed.map(|confirmed| confirmed.epoch).max(current.joined(holder));
        known_epoch.is_some_and(|epoch| joined <= epoch)
    }

    /// Gives each stopped slot to the receiver that holds the fewest slots.
    fn hand_over_slots(&self, next: &mut Roster, observed: &Observed) {
        let mut stopped: Vec<u32> = self.stopped.iter().copied().collect();
        stopped.sort_unstable();
        for slot in stopped {
            let counts = |seat: Seat| next.slots.iter().filter(|h| h.holder == seat).count();
            let others = self.receivers(next, &observed.eligible);
            let others = others.filter(|seat| !observed.lapsed.contains(seat));
            let Some(receiver) = others.min_by_key(|seat| (counts(*seat), seat.host)) else {
                return;
            };
            next.slots[slot as usize].holder = receiver;
        }
    }
}
