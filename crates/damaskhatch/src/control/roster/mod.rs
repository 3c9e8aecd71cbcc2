//! Keeps this host's lease and its place in the roster of its domain.
//!
//! One step after the other: renew the lease, read the roster, write down what
//! was confirmed, then change the roster if something should move. While the
//! platform does not answer, the other hosts are asked to vouch.

use std::collections::HashSet;

use damaskhatch_policy::rendezvous;
use damaskhatch_policy::tenure::{Confirmed, Observed, Roster, Seat, Tenure};
use damaskhatch_store::error::{Error, Result};
use damaskhatch_store::message::Swap;
use damaskhatch_store::prelude::Client;
use damaskhatch_wire::prelude::Body;

use crate::clock::steady;
use crate::control::Incoming;
use crate::control::membership::{Membership, SetSlots};
use crate::control::quota::{Quota, SetTenure};
use crate::peers::Arrival;
use crate::prelude::*;
use crate::shared::Shared;
use crate::supervise::guard;

mod store;

use store::{Keys, Reading, encode, read};

/// The time between two steps.
const STEP_INTERVAL: Duration = Duration::from_secs(1);
/// The time between two looks of a host that holds no slots; heartbeats name new holders sooner.
const LOOK_INTERVAL: Duration = Duration::from_secs(2);
/// The pause after a step that changed the roster.
const CHANGED_INTERVAL: Duration = Duration::from_millis(200);
/// What is added to the time that keys stay good, for heartbeats that travel through
/// other hosts and answers that are still under way.
const SILENCE_MARGIN: Duration = Duration::from_secs(4);
/// The hosts of a domain that hold its slots, whatever the size of the domain.
const KEEPERS: usize = 4;
/// The role of those hosts.
const KEEPER: &str = "keeper";
/// How long a started host waits for heartbeats that show who else is there.
const FIRST_STEP_DELAY: Duration = Duration::from_secs(2);
/// The time between two rounds of asking for vouchers.
const VOUCH_INTERVAL: Duration = Duration::from_millis(400);

/// The actor that knows which bucket slots this host holds.
#[derive(Debug)]
pub struct Keeper {
    shared: Shared,
    membership: Addr<Membership>,
    quota: Addr<Quota>,
    tenure: Tenure,
    keys: Keys,
    lease: Option<u64>,
    confirmed: Option<Confirmed>,
    next_step: Option<SpawnHandle>,
    /// Whether an earlier life of this host stands in the roster.
    is_returning: bool,
    started: Instant,
}

impl Keeper {
    /// Makes the actor.
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
            next_step: None,
            is_returning: false,
            started: steady(),
        }
    }

    fn seat(&self) -> Seat {
        Seat { host: self.shared.host, incarnation: self.shared.incarnation }
    }

    fn client(&self) -> Client {
        self.shared.store()
    }

    /// Takes the first step at once where an earlier life of this host held slots, for
    /// nobody may spend from them whole until this life has registered. Any other host
    /// asks the holders that it finds, and first waits for heartbeats that show who else
    /// is there.
    fn begin(&self, ctx: &mut Context<Self>) {
        let (client, key) = (self.client(), self.keys.roster());
        let known = async move {
            let item = client.get(&key).await?;
            Ok::<_, Error>((store::decode::<Roster>(&item.value)?, item.version))
        };
        ctx.spawn(known.into_actor(self).map(|known, actor, ctx| match known {
            Ok((roster, version)) => {
                let host = actor.shared.host;
                if roster.members.iter().any(|member| member.seat.host == host) {
                    actor.is_returning = true;
                    actor.step(ctx);
                } else {
                    actor.look(roster, version);
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

    /// Renews, reads and confirms; then proposes a change if there is one.
    fn step(&mut self, ctx: &mut Context<Self>) {
        let holds = self.tenure.held_slots().next().is_some();
        let is_idle = !self.is_keeper() && !holds && !std::mem::take(&mut self.is_returning);
        if is_idle {
            self.look_on(ctx);
            return;
        }
        let sent = steady();
        let reading =
            read(self.client(), self.keys.clone(), self.seat(), self.lease, self.silent());
        let step = reading.into_actor(self).then(move |reading, actor, _ctx| {
            let confirmation = reading.map(|reading| actor.take(reading));
            actor.confirm(confirmation)
        });
        ctx.spawn(
            step.then(move |observed, actor, _ctx| {
                if observed.is_ok() {
                    actor.tenure.confirm_lease(sent);
                }
                actor.propose(observed)
            })
            .map(|changed, actor, ctx| {
                let pause = if changed { CHANGED_INTERVAL } else { STEP_INTERVAL };
                actor.schedule(pause, ctx);
                actor.publish_slots();
            }),
        );
    }

    /// Reads who holds the slots, without a lease or a place in the roster.
    fn look_on(&mut self, ctx: &mut Context<Self>) {
        self.lease = None;
        let (client, key) = (self.client(), self.keys.roster());
        let read = async move {
            let item = client.get_stale(&key).await?;
            Ok::<_, Error>((store::decode::<Roster>(&item.value)?, item.version))
        };
        ctx.spawn(read.into_actor(self).map(|read, actor, ctx| {
            match read {
                Ok((roster, version)) => actor.look(roster, version),
                Err(Error::Missing) => {}
                Err(error) => log::info!("event=roster_not_read error={error}"),
            }
            actor.schedule(LOOK_INTERVAL, ctx);
        }));
    }

    /// Takes in a roster that this host need not be part of.
    fn look(&mut self, roster: Roster, version: u64) {
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

    /// Reads the roster at once, unless a step is under way, because a peer says it changed.
    fn hurry(&mut self, epoch: u64, ctx: &mut Context<Self>) {
        if epoch <= self.tenure.epoch() {
            return;
        }
        if let Some(next) = self.next_step.take() {
            ctx.cancel_future(next);
            self.step(ctx);
        }
    }

    /// Whether this host should hold slots of its domain.
    fn is_keeper(&self) -> bool {
        self.shared.is_owner(KEEPER, KEEPERS)
    }

    /// The seats whose hosts are silent, whose leases are therefore looked at.
    fn silent(&self) -> Vec<Seat> {
        let hosts = self.shared.hosts();
        let now = steady();
        let heard = |seat: &Seat| {
            let member = hosts.member(seat.host);
            member.is_some_and(|m| m.is_alive(now) && m.record.incarnation == seat.incarnation)
        };
        let Some(roster) = self.tenure.roster() else { return Vec::new() };
        let members = roster.members.iter().map(|member| member.seat);
        let holders = roster.slots.iter().map(|holding| holding.holder);
        let all: HashSet<Seat> = members.chain(holders).collect();
        all.into_iter().filter(|seat| *seat != self.seat() && !heard(seat)).collect()
    }

    /// Takes in what was read; returns what the host found out about others.
    fn take(&mut self, reading: Reading) -> Observed {
        self.shared.metrics.platform_calls.with_label_values(&["ok"]).inc();
        if reading.was_lost {
            self.tenure.lose_lease();
        }
        self.lease = Some(reading.lease);
        self.tenure.update_roster(reading.roster, reading.version, steady());
        let mut observed = reading.observed;
        let hosts = self.shared.hosts();
        let eligible = hosts.eligible(self.shared.domain, steady());
        observed.dropped = self.dropped();
        let keepers = rendezvous::owners(Tag::of(KEEPER), eligible, KEEPERS);
        observed.eligible = keepers.into_iter().collect();
        observed
    }

    /// Earlier holders that cannot be spending any more.
    ///
    /// A host accepts keys only while it reaches the store or a host that does; one of
    /// which nothing was heard for longer than keys stay good, by any path, spends nothing.
    fn dropped(&self) -> HashSet<Tag> {
        let freshness = self.shared.settings.limits.key_freshness_ms;
        let Some(roster) = self.tenure.roster().filter(|_| freshness > 0) else {
            return HashSet::new();
        };
        let limit = Duration::from_millis(freshness) + SILENCE_MARGIN;
        let (hosts, now, started) = (self.shared.hosts(), Instant::now(), self.shared.started);
        let holders = roster.slots.iter().map(|holding| holding.holder);
        let priors = roster.slots.iter().flat_map(|holding| holding.priors.iter().copied());
        let seats = holders.chain(priors).map(|seat| seat.host);
        seats.filter(|host| hosts.is_silent(*host, limit, started, now)).collect()
    }

    /// Writes down the epoch that was read, if the platform does not have it.
    fn confirm(&self, observed: Result<Observed>) -> ResponseActFuture<Self, Result<Observed>> {
        let confirmed = Confirmed { seat: self.seat(), epoch: self.tenure.epoch() };
        let is_due = self.tenure.is_member() && self.confirmed != Some(confirmed);
        let (client, key) = (self.client(), self.keys.confirmed(self.shared.host));
        let written = async move {
            let observed = observed?;
            if is_due {
                client.overwrite(&key, &encode(&confirmed), None).await?;
            }
            Ok(observed)
        };
        Box::pin(written.into_actor(self).map(move |written, actor, _ctx| {
            if written.is_ok() && is_due {
                actor.confirmed = Some(confirmed);
            }
            written
        }))
    }

    /// Swaps in the next roster, if one is due; returns whether it did.
    fn propose(&mut self, observed: Result<Observed>) -> ResponseActFuture<Self, bool> {
        let observed = match observed {
            Ok(observed) => observed,
            Err(error) => {
                self.shared.metrics.platform_calls.with_label_values(&["failed"]).inc();
                log::debug!("event=roster_step_failed error={error}");
                self.publish_tenure();
                return Box::pin(async { false }.into_actor(self));
            }
        };
        let is_leaving = self.shared.is_draining() || !self.is_keeper();
        self.tenure.stop_surplus_slots(&observed.eligible, is_leaving);
        let plan = self.tenure.propose_roster(&observed, steady());
        // Stopped slots must not be spent from any more before the swap can be seen.
        let stopped = self.quota.send(SetTenure(Box::new(self.tenure.clone())));
        let Some(next) = plan else {
            return Box::pin(async { stopped.await.is_err() }.into_actor(self));
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
                Ok(version) => actor.swapped(next, version),
                Err(error) => log::debug!("event=roster_not_swapped error={error}"),
            }
            true
        }))
    }

    fn swapped(&mut self, roster: Roster, version: u64) {
        let hosts = self.shared.hosts();
        for member in roster.members.iter().filter(|member| member.seat != self.seat()) {
            if let Some(to) = hosts.address(member.seat.host) {
                let epoch = roster.epoch;
                self.shared.outbox.send(to, Body::RosterChanged { epoch });
            }
        }
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

    /// Asks every other host of the roster to vouch, when the platform may fall away.
    fn ask_vouchers(&self) {
        let now = steady();
        if !self.tenure.needs_vouchers(now) {
            return;
        }
        let hosts = self.shared.hosts();
        let serial = now.saturating_duration_since(self.started).as_millis() as u64;
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
                let promised = self.tenure.vouch_for(arrival.from, epoch, now);
                if promised {
                    self.shared.outbox.send(arrival.source, Body::Vouch { epoch, serial });
                }
            }
            Body::Vouch { epoch, serial } => {
                let seat = Seat { host: arrival.from, incarnation: arrival.incarnation };
                let asked = self.started + Duration::from_millis(serial);
                // A serial from the future is no answer to a question of this host.
                if asked <= now {
                    self.tenure.record_vouch(seat, epoch, asked);
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
        self.begin(ctx);
        ctx.run_interval(VOUCH_INTERVAL, |actor, ctx| {
            guard(actor, ctx, |actor, _| actor.ask_vouchers());
        });
    }
}

impl Supervised for Keeper {
    /// A restarted keeper spends nothing until it has read the roster again.
    fn restarting(&mut self, _ctx: &mut Context<Self>) {
        self.tenure = Tenure::new(self.seat());
        self.lease = None;
        self.next_step = None;
        self.confirmed = None;
    }
}

impl Handler<Incoming> for Keeper {
    type Result = ();

    fn handle(&mut self, message: Incoming, ctx: &mut Context<Self>) {
        guard(self, ctx, |actor, ctx| match message.0.body {
            Body::RosterChanged { epoch } => actor.hurry(epoch, ctx),
            _ => actor.receive(&message.0),
        });
    }
}
