//! Who holds a bucket slot, and how much of it that holder may spend.
//!
//! A holder spends its whole part while the platform or every other host of its
//! roster backs it, half of it otherwise; whoever takes over from a holder not
//! known to be gone gets the other half. So old and new together never spend
//! more than the whole, whatever is paused, cut off or late. The argument is in
//! [docs/DESIGN.md](../../../../docs/DESIGN.md#tenure).

use std::collections::{HashMap, HashSet};

use crate::prelude::*;

pub mod roster;

pub use roster::{Confirmed, Holding, Member, Observed, Roster, Seat};
use roster::{fair_share, forget_gone_priors, is_gone};

/// Bucket slots of a domain; each team belongs to one.
pub const SLOTS: u32 = 16;
/// How long a host's lease lasts in the platform without renewal.
pub const LEASE_TTL: Duration = Duration::from_secs(3);
/// How long a voucher promises not to take over.
pub const VOUCH_TTL: Duration = Duration::from_secs(3);
/// What is allowed for clocks that run at different speeds.
const DRIFT_MARGIN: Duration = Duration::from_millis(200);

/// The slot of a team.
pub const fn slot(team: Tag) -> u32 {
    (team.0 % SLOTS as u64) as u32
}

/// What a host may spend of one slot.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Allowance {
    /// The part of the domain's share, 0 to 1.
    pub part: f64,
    /// When it began to hold the slot, with nothing in its buckets; `None` if it held
    /// the slot first of all, with full ones.
    pub since: Option<Instant>,
}

/// One host's knowledge of its own tenure.
#[derive(Debug, Clone)]
pub struct Tenure {
    me: Seat,
    roster: Option<Roster>,
    version: u64,
    backed_until: Option<Instant>,
    vouched_until: HashMap<Seat, Instant>,
    promised_until: HashMap<Tag, Instant>,
    unsettled: Option<u64>,
    must_register: bool,
    stopped: HashSet<u32>,
    since: HashMap<u32, Option<Instant>>,
}

impl Tenure {
    /// Makes the tenure of a host that knows nothing yet.
    pub fn new(me: Seat) -> Self {
        Self {
            me,
            roster: None,
            version: 0,
            backed_until: None,
            vouched_until: HashMap::new(),
            promised_until: HashMap::new(),
            unsettled: None,
            must_register: true,
            stopped: HashSet::new(),
            since: HashMap::new(),
        }
    }

    /// The roster last read.
    pub const fn roster(&self) -> Option<&Roster> {
        self.roster.as_ref()
    }

    /// The epoch of the roster last read, 0 without one.
    pub fn epoch(&self) -> u64 {
        self.roster.as_ref().map_or(0, |roster| roster.epoch)
    }

    /// The version of the roster last read, on which the next one is swapped in.
    pub const fn version(&self) -> u64 {
        self.version
    }

    /// Whether this life of the host stands in the roster.
    pub fn is_member(&self) -> bool {
        self.roster.as_ref().is_some_and(|roster| roster.joined(self.me).is_some())
    }

    /// Takes in the roster as read at `version`; `None` if the platform has none.
    pub fn update_roster(&mut self, roster: Option<Roster>, version: u64, now: Instant) {
        if version < self.version {
            return;
        }
        self.version = version;
        if self.unsettled.is_some_and(|tried| version > tried) {
            self.unsettled = None;
        }
        let Some(roster) = roster else { return };
        let is_first = roster.epoch == 1;
        let held: HashSet<u32> = self.held_slots_in(&roster).collect();
        self.since.retain(|slot, _| held.contains(slot));
        self.stopped.retain(|slot| held.contains(slot));
        for slot in held {
            self.since.entry(slot).or_insert((!is_first).then_some(now));
        }
        if roster.epoch != self.epoch() {
            // Promises were made to the holder of the roster that was asked for.
            self.vouched_until.clear();
        }
        self.roster = Some(roster);
    }

    /// Notes that the lease was renewed and the roster read after that.
    ///
    /// `sent` is a moment before the renewal was sent, so that the platform's
    /// lease can only end later.
    pub fn confirm_lease(&mut self, sent: Instant) {
        if !self.must_register && self.is_member() {
            self.backed_until = Some(sent + LEASE_TTL.saturating_sub(DRIFT_MARGIN));
        }
    }

    /// Notes that the lease had ended; the host must change the roster before it counts again.
    ///
    /// A host that looked for the ended lease may be about to take over. Changing
    /// the roster makes its swap fail.
    pub const fn lose_lease(&mut self) {
        self.backed_until = None;
        self.must_register = true;
    }

    /// Whether the platform backs this host.
    pub fn has_valid_lease(&self, now: Instant) -> bool {
        self.backed_until.is_some_and(|until| now < until)
    }

    /// Whether this host should ask the others to vouch for it.
    pub fn needs_vouchers(&self, now: Instant) -> bool {
        let soon = now + LEASE_TTL / 2;
        self.is_member() && !self.has_valid_lease(soon) && self.held_slots().next().is_some()
    }

    /// The hosts whose word would replace the platform's.
    pub fn vouchers(&self) -> impl Iterator<Item = Seat> {
        let members = self.roster.iter().flat_map(|roster| roster.members.iter());
        members.map(|member| member.seat).filter(|seat| *seat != self.me)
    }

    /// Notes another host's promise; `asked` is a moment before it was asked for.
    pub fn record_vouch(&mut self, by: Seat, epoch: u64, asked: Instant) {
        if epoch == self.epoch() {
            let until = asked + VOUCH_TTL.saturating_sub(DRIFT_MARGIN);
            self.vouched_until.insert(by, until);
        }
    }

    /// Promises not to take over from `asker` for [`VOUCH_TTL`], or declines.
    pub fn vouch_for(&mut self, asker: Tag, epoch: u64, now: Instant) -> bool {
        // A swap whose outcome is not known may still take the slots.
        if epoch != self.epoch() || !self.is_member() || self.unsettled.is_some() {
            return false;
        }
        self.promised_until.insert(asker, now + VOUCH_TTL);
        true
    }

    /// What this host may spend of a slot now.
    pub fn allowance(&self, slot: u32, now: Instant) -> Allowance {
        let none = Allowance { part: 0.0, since: None };
        let Some(roster) = &self.roster else { return none };
        let Some(holding) = roster.slots.get(slot as usize) else { return none };
        if holding.holder != self.me || self.stopped.contains(&slot) {
            return none;
        }
        let is_vouched = || {
            let mut others = self.vouchers();
            others.all(|seat| self.vouched_until.get(&seat).is_some_and(|until| now < *until))
        };
        let whole = self.has_valid_lease(now) || is_vouched();
        let part = if whole { holding.part } else { holding.part / 2.0 };
        Allowance { part, since: self.since.get(&slot).copied().flatten() }
    }

    /// The host that the roster last read names as a slot's holder.
    pub fn holder(&self, slot: u32) -> Option<Tag> {
        let holding = self.roster.as_ref()?.slots.get(slot as usize)?;
        Some(holding.holder.host)
    }

    /// The slots that the roster gives this host, stopped ones included.
    pub fn held_slots(&self) -> impl Iterator<Item = u32> {
        self.roster.iter().flat_map(|roster| self.held_slots_in(roster))
    }

    /// The slots that this host spends from, one bit each.
    pub fn spendable_slots(&self) -> u64 {
        let slots = self.held_slots().filter(|slot| !self.stopped.contains(slot));
        slots.fold(0, |bits, slot| bits | 1 << slot)
    }

    /// Stops spending from slots that should move to other hosts of `eligible`.
    ///
    /// Only a stopped slot is handed over. A leaving host stops all of its slots.
    pub fn stop_surplus_slots(&mut self, eligible: &HashSet<Tag>, is_leaving: bool) {
        if self.unsettled.is_some() {
            // The slots of a swap that may still take effect stay stopped.
            return;
        }
        self.stopped.clear();
        let Some(roster) = &self.roster else { return };
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

    /// Other hosts of the roster that may be given slots.
    fn receivers<'a>(
        &self,
        roster: &'a Roster,
        eligible: &'a HashSet<Tag>,
    ) -> impl Iterator<Item = Seat> + use<'a> {
        let me = self.me;
        let seats = roster.members.iter().map(|member| member.seat);
        seats.filter(move |seat| *seat != me && eligible.contains(&seat.host))
    }

    /// The roster that this host should try to swap in, if any.
    pub fn propose_roster(&self, observed: &Observed, now: Instant) -> Option<Roster> {
        let Some(current) = &self.roster else { return Some(self.first_roster()) };
        let mut next = current.clone();
        next.epoch += 1;
        self.register(&mut next);
        self.drop_lapsed_members(&mut next, observed);
        if observed.eligible.contains(&self.me.host) {
            self.take_over(&mut next, current, observed, now);
        }
        self.hand_over(&mut next, observed);
        forget_gone_priors(&mut next, observed);
        let changed = next.members != current.members || next.slots != current.slots;
        (changed || self.must_register).then_some(next)
    }

    /// Notes that a swap on the present version is on its way.
    pub const fn begin_swap(&mut self) {
        self.unsettled = Some(self.version);
    }

    /// Notes that the swap took effect with this roster and version.
    pub fn complete_swap(&mut self, roster: Roster, version: u64, now: Instant) {
        self.update_roster(Some(roster), version, now);
        self.must_register = false;
    }

    fn held_slots_in(&self, roster: &Roster) -> impl Iterator<Item = u32> + use<> {
        let me = self.me;
        let slots: Vec<u32> = (0..SLOTS)
            .filter(|slot| roster.slots.get(*slot as usize).is_some_and(|h| h.holder == me))
            .collect();
        slots.into_iter()
    }

    fn first_roster(&self) -> Roster {
        let holding = Holding { holder: self.me, part: 1.0, priors: Vec::new() };
        Roster {
            epoch: 1,
            members: vec![Member { seat: self.me, joined: 1 }],
            slots: vec![holding; SLOTS as usize],
        }
    }

    /// Adds this life of the host, in place of earlier ones, which are thereby known to be gone.
    fn register(&self, next: &mut Roster) {
        if next.joined(self.me).is_none() {
            next.members.retain(|member| member.seat.host != self.me.host);
            next.members.push(Member { seat: self.me, joined: next.epoch });
        }
        for holding in next.slots.iter_mut().filter(|holding| holding.holder != self.me) {
            // This life no longer spends from a slot that another holds.
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

    fn take_over(&self, next: &mut Roster, current: &Roster, observed: &Observed, now: Instant) {
        let mut room = fair_share(observed.eligible.len().max(1))
            .saturating_sub(self.held_slots_in(next).count());
        for slot in 0..next.slots.len() {
            let holder = next.slots[slot].holder;
            let is_gone = is_gone(next, holder, observed);
            if holder == self.me || room == 0 {
                continue;
            }
            if !is_gone && !self.may_take_over(current, holder, observed, now) {
                continue;
            }
            room -= 1;
            let holding = &mut next.slots[slot];
            if !is_gone {
                holding.priors.push(holder);
                holding.part /= 2.0;
            }
            holding.holder = self.me;
        }
    }

    /// Whether the holder's lease has ended and the holder cannot be spending its whole part.
    fn may_take_over(
        &self,
        current: &Roster,
        holder: Seat,
        observed: &Observed,
        now: Instant,
    ) -> bool {
        let promised = self.promised_until.get(&holder.host).is_some_and(|until| now < *until);
        if promised || !observed.lapsed.contains(&holder) {
            return false;
        }
        // A host that joined after the holder's last confirmation is not among those
        // whose vouchers the holder needs, so it may not act as if it had declined.
        let Some(joined) = current.joined(self.me) else { return false };
        let written = observed.confirmed.get(&holder.host).filter(|c| c.seat == holder);
        // Without a confirmation the holder knows at least the roster in which it joined.
        let known = written.map(|confirmed| confirmed.epoch).or(current.joined(holder));
        known.is_some_and(|epoch| joined <= epoch)
    }

    fn hand_over(&self, next: &mut Roster, observed: &Observed) {
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
