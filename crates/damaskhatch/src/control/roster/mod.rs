//! Renews this host's lease and maintains its entry in the roster of its domain.
//!
//! Each step renews the lease, reads the roster, stores the epoch that it confirms, and then
//! changes the roster if slots should move. While the store does not respond, the host
//! requests vouches from the other hosts of the roster.

use damaskhatch_policy::rendezvous;
use damaskhatch_policy::tenure::{Confirmed, Lapses, Observed, Roster, Seat, Tenure};
use damaskhatch_store::error::{Error, Result};
use damaskhatch_store::message::{Grant, Swap};
use damaskhatch_store::prelude::Client;
use damaskhatch_wire::prelude::Body;

use crate::clock::steady;
use crate::control::membership::{Membership, SetSlots};
use crate::control::quota::{Quota, SetTenure};
use crate::control::{Incoming, on_restore};
use crate::peers::Arrival;
use crate::prelude::*;
use crate::shared::Shared;
use crate::supervise::guard;

mod era;
mod observe;
mod store;

use store::{Keys, Query, Reading, encode, read};

/// The time between two steps of a host that holds slots or should hold some.
const STEP_INTERVAL: Duration = Duration::from_secs(1);
/// The time between two reads by a host without slots; heartbeats name new holders sooner.
const IDLE_READ_INTERVAL: Duration = Duration::from_secs(8);
/// The pause after a step that changed the roster or tried to.
const CHANGED_PAUSE: Duration = Duration::from_millis(200);
/// The number of hosts that share the slots of a domain of any size.
const HOLDERS_PER_DOMAIN: usize = 4;
/// The role by which rendezvous hashing selects the hosts that hold slots.
const HOLDER_ROLE: &str = "keeper";
/// The delay of the first step after a start, in which heartbeats arrive from the other hosts.
const FIRST_STEP_DELAY: Duration = Duration::from_secs(2);
/// The time between two rounds of requests for vouches.
const VOUCH_INTERVAL: Duration = Duration::from_millis(400);

/// The actor that decides which bucket slots this host holds.
#[derive(Debug)]
pub struct Keeper {
    shared: Shared,
    membership: Addr<Membership>,
    quota: Addr<Quota>,
    tenure: Tenure,
    keys: Keys,
    /// The lease in the store; `None` before it is granted and on a host without slots.
    lease: Option<Grant>,
    confirmed: Option<Confirmed>,
    /// The version of the key of what this host confirmed; 0 before it has written the key.
    confirmed_version: u64,
    /// The timer of the next step; `None` while a step runs.
    next_step: Option<SpawnHandle>,
    /// Whether the roster has an earlier incarnation of this host as a member.
    is_returning: bool,
    /// Whether a peer has reported a newer epoch, which a stale read might not show.
    has_news: bool,
    /// Since when the leases of silent hosts have been expired.
    lapses: Lapses,
    started_at: Instant,
}

impl Keeper {
    /// Creates the actor, without a lease or a roster.
    pub fn new(shared: Shared, membership: Addr<Membership>, quota: Addr<Quota>) -> Self {
        let seat = Seat { host: shared.host, incarnation: shared.incarnation };
        let keys = Keys { domain: shared.settings.host.domain.clone() };
        Self {
            shared,
            membership,
            quota,
            tenure: Tenure::new(seat),
            keys,
            lease: None,
            confirmed: None,
            confirmed_version: 0,
            next_step: None,
            is_returning: false,
            has_news: false,
            lapses: Lapses::default(),
            started_at: steady(),
        }
    }

    fn seat(&self) -> Seat {
        Seat { host: self.shared.host, incarnation: self.shared.incarnation }
    }

    fn client(&self) -> Client {
        self.shared.store("roster")
    }

    /// Runs the first step at once if the roster lists an earlier incarnation of this host: no host
    /// may spend the full rate of its slots until this incarnation has registered. Any other
    /// host charges at the holders that it finds, and first waits for heartbeats from other hosts.
    /// A roster that is some seconds old delays the first step at most.
    fn read_initial_roster(&self, ctx: &mut Context<Self>) {
        let (client, key) = (self.client(), self.keys.roster());
        let read = async move {
            let item = client.get_stale(&key).await?;
            Ok::<_, Error>((store::decode::<Roster>(&item.value)?, item.version))
        };
        ctx.spawn(read.into_actor(self).map(|read, actor, ctx| match read {
            Ok((roster, version)) => {
                let host = actor.shared.host;
                if roster.members.iter().any(|member| member.seat.host == host) {
                    actor.is_returning = true;
                    actor.step(ctx);
                } else {
                    actor.apply_roster(roster, version);
                    actor.schedule(FIRST_STEP_DELAY, ctx);
                }
            }
            Err(Error::Missing) => actor.schedule(FIRST_STEP_DELAY, ctx),
            Err(error) => {
                log::info!("event=roster_not_read error={error}");
                actor.schedule(FIRST_STEP_DELAY, ctx);
            }
        }));
    }

    /// Renews the lease, reads the roster, confirms its epoch, and swaps in a change if one is due.
    fn step(&mut self, ctx: &mut Context<Self>) {
        let has_slots = self.tenure.held_slots().next().is_some();
        let is_idle = !self.is_selected() && !has_slots && !std::mem::take(&mut self.is_returning);
        if is_idle {
            self.read_without_lease(ctx);
            return;
        }
        let sent_at = steady();
        let has_news = std::mem::take(&mut self.has_news);
        let query = Query {
            seat: self.seat(),
            lease: self.lease,
            silent: self.silent_seats(),
            may_be_stale: !has_news && self.tenure.may_read_stale(sent_at),
        };
        let reading = read(self.client(), self.keys.clone(), query);
        let step = reading.into_actor(self).then(move |reading, actor, _ctx| {
            let confirmation = reading.map(|reading| actor.apply_reading(reading));
            actor.confirm(confirmation)
        });
        ctx.spawn(
            step.then(move |observed, actor, _ctx| {
                if observed.is_ok() {
                    actor.tenure.confirm_lease(sent_at);
                }
                actor.swap_roster(observed)
            })
            .map(|changed, actor, ctx| {
                let pause = if changed { CHANGED_PAUSE } else { STEP_INTERVAL };
                actor.schedule(pause, ctx);
                actor.publish_slots();
            }),
        );
    }

    /// Reads which hosts hold the slots, without a lease or an entry in the roster.
    fn read_without_lease(&mut self, ctx: &mut Context<Self>) {
        self.lease = None;
        let (client, key) = (self.client(), self.keys.roster());
        let read = async move {
            let item = client.get_stale(&key).await?;
            Ok::<_, Error>((store::decode::<Roster>(&item.value)?, item.version))
        };
        ctx.spawn(read.into_actor(self).map(|read, actor, ctx| {
            match read {
                Ok((roster, version)) => actor.apply_roster(roster, version),
                Err(Error::Missing) => {}
                Err(error) => log::info!("event=roster_not_read error={error}"),
            }
            actor.schedule(IDLE_READ_INTERVAL, ctx);
        }));
    }

    /// Stores a roster in which this host need not be a member.
    fn apply_roster(&mut self, roster: Roster, version: u64) {
        self.enter_era();
        self.tenure.update_roster(Some(roster), version, steady());
        self.publish_tenure();
    }

    fn schedule(&mut self, pause: Duration, ctx: &mut Context<Self>) {
        let next = ctx.run_later(pause, |actor, ctx| {
            guard(actor, ctx, |actor, ctx| {
                actor.next_step = None;
                actor.step(ctx);
            });
        });
        self.next_step = Some(next);
    }

    /// Runs the next step at once, unless one is running, because a peer reports a newer epoch.
    fn step_early(&mut self, epoch: u64, ctx: &mut Context<Self>) {
        if epoch <= self.tenure.epoch() {
            return;
        }
        self.has_news = true;
        if let Some(next) = self.next_step.take() {
            ctx.cancel_future(next);
            self.step(ctx);
        }
    }

    /// Whether this host is selected to hold slots of its domain.
    fn is_selected(&self) -> bool {
        self.shared.is_owner(HOLDER_ROLE, HOLDERS_PER_DOMAIN)
    }

    /// Updates the tenure from a reading; returns what was observed of the other hosts.
    fn apply_reading(&mut self, reading: Reading) -> Observed {
        self.enter_era();
        if reading.was_lost {
            self.tenure.lose_lease();
        }
        self.lease = Some(reading.lease);
        self.tenure.update_roster(reading.roster, reading.version, steady());
        let mut observed = reading.observed;
        let hosts = self.shared.hosts();
        let eligible = hosts.eligible(self.shared.domain, steady());
        self.lapses.observe(&observed.lapsed, steady());
        observed.dropped = self.dropped_seats();
        let selected = rendezvous::owners(Tag::of(HOLDER_ROLE), eligible, HOLDERS_PER_DOMAIN);
        observed.eligible = selected.into_iter().collect();
        if self.tenure.awaits_first_roster() {
            self.observe_earlier_eras(&mut observed);
        }
        observed
    }

    /// Stores the epoch that was read as confirmed, unless the store already has it.
    fn confirm(&self, observed: Result<Observed>) -> ResponseActFuture<Self, Result<Observed>> {
        let confirmed = Confirmed { seat: self.seat(), epoch: self.tenure.epoch() };
        let is_due = self.tenure.is_member() && self.confirmed != Some(confirmed);
        let (client, key) = (self.client(), self.keys.confirmed(self.shared.host));
        let version = self.confirmed_version;
        let written = async move {
            let observed = observed?;
            if !is_due {
                return Ok((observed, version));
            }
            let written = client.overwrite(&key, &encode(&confirmed), None, version).await?;
            Ok((observed, written))
        };
        Box::pin(written.into_actor(self).map(move |written: Result<_>, actor, _ctx| {
            let (observed, version) = written?;
            if is_due {
                actor.confirmed = Some(confirmed);
            }
            actor.confirmed_version = version;
            Ok(observed)
        }))
    }

    /// Swaps in the next roster, if one is due; returns whether the next step should follow soon.
    fn swap_roster(&mut self, observed: Result<Observed>) -> ResponseActFuture<Self, bool> {
        let observed = match observed {
            Ok(observed) => observed,
            Err(error) => {
                log::debug!("event=roster_step_failed error={error}");
                self.publish_tenure();
                return Box::pin(async { false }.into_actor(self));
            }
        };
        let is_leaving = self.shared.is_draining() || !self.is_selected();
        self.tenure.stop_surplus_slots(&observed.eligible, is_leaving);
        let proposed = self.tenure.propose_roster(&observed, steady());
        // Other hosts may see the swap only after this host has ceased to spend from stopped slots.
        let stopped = self.quota.send(SetTenure(Box::new(self.tenure.clone())));
        let Some(next) = proposed else {
            let is_waiting = self.tenure.awaits_first_roster();
            return Box::pin(async move { stopped.await.is_err() || is_waiting }.into_actor(self));
        };
        self.tenure.begin_swap();
        let (client, key) = (self.client(), self.keys.roster());
        let swap = Swap { value: encode(&next), expect: self.tenure.version(), lease: None };
        let swapped = async move {
            stopped.await.map_err(|error| Error::Unreachable(error.to_string()))?;
            client.compare_and_swap(&key, &swap).await
        };
        Box::pin(swapped.into_actor(self).map(move |swapped, actor, _ctx| {
            match swapped {
                Ok(version) => actor.complete_swap(next, version),
                Err(error) => log::debug!("event=roster_not_swapped error={error}"),
            }
            true
        }))
    }

    fn complete_swap(&mut self, roster: Roster, version: u64) {
        let hosts = self.shared.hosts();
        for member in roster.members.iter().filter(|member| member.seat != self.seat()) {
            if let Some(to) = hosts.address(member.seat.host) {
                let epoch = roster.epoch;
                self.shared.outbox.send(to, Body::RosterChanged { epoch });
            }
        }
        self.enter_era();
        let domain = &self.shared.settings.host.domain;
        let (epoch, members) = (roster.epoch, roster.members.len());
        self.tenure.complete_swap(roster, version, steady());
        let held = self.tenure.held_slots().count();
        log::info!(
            "event=roster_changed domain={domain} epoch={epoch} members={members} held={held}"
        );
        self.publish_tenure();
    }

    fn publish_tenure(&self) {
        self.quota.do_send(SetTenure(Box::new(self.tenure.clone())));
    }

    fn publish_slots(&self) {
        let slots = self.tenure.spendable_slots();
        self.shared.metrics.slots_held.set(i64::from(slots.count_ones()));
        self.membership.do_send(SetSlots { slots, epoch: self.tenure.epoch() });
    }

    /// Asks the other hosts of the roster to vouch, when the store may have become unreachable.
    fn request_vouches(&mut self) {
        self.enter_era();
        let now = steady();
        if !self.tenure.needs_vouchers(now) {
            return;
        }
        let hosts = self.shared.hosts();
        let serial = now.saturating_duration_since(self.started_at).as_millis() as u64;
        let epoch = self.tenure.epoch();
        for seat in self.tenure.vouchers() {
            if let Some(to) = hosts.address(seat.host) {
                self.shared.outbox.send(to, Body::GetVouch { epoch, serial });
            }
        }
    }

    fn receive(&mut self, arrival: &Arrival) {
        let now = steady();
        match arrival.body {
            Body::GetVouch { epoch, serial } => {
                let is_vouched = self.tenure.vouch_for(arrival.from, epoch, now);
                if is_vouched {
                    self.shared.outbox.send(arrival.source, Body::Vouch { epoch, serial });
                }
            }
            Body::Vouch { epoch, serial } => {
                let seat = Seat { host: arrival.from, incarnation: arrival.incarnation };
                let requested_at = self.started_at + Duration::from_millis(serial);
                // A serial that lies in the future does not belong to a request of this host.
                if requested_at <= now {
                    self.tenure.record_vouch(seat, epoch, requested_at);
                    self.publish_tenure();
                }
            }
            _ => {}
        }
    }
}

impl Actor for Keeper {
    type Context = Context<Self>;

    fn started(&mut self, ctx: &mut Context<Self>) {
        self.read_initial_roster(ctx);
        on_restore(&self.shared.era, ctx, Self::handle_restore);
        ctx.run_interval(VOUCH_INTERVAL, |actor, ctx| {
            guard(actor, ctx, |actor, _| actor.request_vouches());
        });
    }
}

impl Supervised for Keeper {
    /// Clears the tenure, so that nothing is spent until the roster has been read again.
    fn restarting(&mut self, _ctx: &mut Context<Self>) {
        self.tenure = Tenure::new(self.seat());
        self.lease = None;
        self.next_step = None;
        self.confirmed = None;
        self.lapses = Lapses::default();
    }
}

impl Handler<Incoming> for Keeper {
    type Result = ();

    fn handle(&mut self, message: Incoming, ctx: &mut Context<Self>) {
        guard(self, ctx, |actor, ctx| match message.0.body {
            Body::RosterChanged { epoch } => actor.step_early(epoch, ctx),
            _ => actor.receive(&message.0),
        });
    }
}
