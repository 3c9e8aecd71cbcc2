//! Sends and receives heartbeats, and publishes the view of all hosts.

use std::sync::Arc;

use crate::clock::steady;
use crate::prelude::*;
use crate::settings::Settings;
use damaskhatch_policy::availability::Notice;
use damaskhatch_policy::membership::{Count, HEARTBEAT_INTERVAL, Headroom, Listed, Record, View};
use damaskhatch_policy::position::Position;
use damaskhatch_store::message;
use damaskhatch_wire::prelude::Body;
use rand::SeedableRng;
use rand::seq::IteratorRandom;
use rand_pcg::Pcg64Mcg;
use tokio::sync::watch;

use crate::control::{Incoming, evacuation, on_change, on_restore, speeds};
use crate::shared::Shared;
use crate::supervise::guard;

/// The time between two reads of the store's list of hosts.
const LIST_INTERVAL: Duration = Duration::from_secs(1);
/// The time between two reads of the list after [`SETTLING_TIME`], in deployments whose upstreams
/// do not use that list to report that they are leaving.
const SETTLED_LIST_INTERVAL: Duration = Duration::from_secs(5);
/// How long a started host reads the list at the shorter interval; by then heartbeats from all
/// hosts have arrived.
const SETTLING_TIME: Duration = Duration::from_secs(15);
/// The pause after a failed registration of this host in the list.
const REGISTER_RETRY_INTERVAL: Duration = Duration::from_secs(1);
/// The number of hosts of a domain that read the store; the others query their peers.
pub const READERS_PER_DOMAIN: usize = 2;
/// The number of notices in a datagram, of up to 24 bytes each.
const NOTICES_PER_DATAGRAM: usize = 40;
/// The role by which rendezvous hashing selects the hosts that read the store.
pub const READER_ROLE: &str = "reader";

/// Sets the headroom of this host's schedulers, which heartbeats carry.
#[derive(Debug, Message)]
#[rtype(result = "()")]
pub struct SetHeadroom(pub Vec<Headroom>);

/// Sets the upstreams that have reported in their own responses that they are leaving.
#[derive(Debug, Message)]
#[rtype(result = "()")]
pub struct SetLeaving(pub Vec<Tag>);

/// Sets the bucket slots that heartbeats report as held by this host.
#[derive(Debug, Message)]
#[rtype(result = "()")]
pub struct SetSlots {
    /// One bit for each slot held, the lowest for slot 0.
    pub slots: u64,
    /// The epoch of the roster that assigns them.
    pub epoch: u64,
}

/// The actor that exchanges heartbeats and tracks which hosts are alive.
#[derive(Debug)]
pub struct Membership {
    shared: Shared,
    view: View,
    publish: watch::Sender<Arc<View>>,
    rng: Pcg64Mcg,
    /// Upstreams that are marked as leaving in the store's list of hosts.
    listed_leaving: Vec<Tag>,
    /// Upstreams that have reported themselves that they are leaving.
    reported_leaving: Vec<Tag>,
    /// When the list was last read; `None` before the first read.
    list_read_at: Option<Instant>,
}

impl Membership {
    /// Creates the actor, which publishes its view to all threads through `publish`.
    pub fn new(shared: Shared, publish: watch::Sender<Arc<View>>) -> Self {
        let rng = Pcg64Mcg::seed_from_u64(shared.host.0 ^ shared.incarnation);
        let view = initial_view(&shared.settings, shared.incarnation);
        let (listed_leaving, reported_leaving) = (Vec::new(), Vec::new());
        let list_read_at = None;
        Self { shared, view, publish, rng, listed_leaving, reported_leaving, list_read_at }
    }

    /// Updates what this host's own record says of its configuration and its stop.
    fn update_own(&mut self) {
        let snapshot = self.shared.snapshot();
        let own = &mut self.view.own;
        own.revision = snapshot.revision;
        own.withdrawn = snapshot.withdrawn().count() as u32;
        own.is_leaving = self.shared.is_draining();
    }

    /// Updates this host's own record and sends the heartbeats that are due.
    fn send_heartbeats(&mut self) {
        let now = Instant::now();
        self.update_own();
        let own = &mut self.view.own;
        own.loads = self.shared.loads.snapshot().into_iter().collect();
        own.leaving_upstreams.clone_from(&self.reported_leaving);
        own.leaving_upstreams.extend(&self.listed_leaving);
        let heartbeat = self.view.next_heartbeat(&mut self.rng, now);
        speeds::tell(&self.shared, &self.view, &heartbeat.to, now);
        let notices = self.notices(now);
        let evacuations = evacuation::statement(&self.shared);
        for to in heartbeat.to {
            if let Some(evacuations) = &evacuations {
                self.shared.outbox.send(to, evacuations.clone());
            }
            let (records, counts) = (heartbeat.records.clone(), heartbeat.counts.clone());
            self.shared.outbox.send(to, Body::Heartbeat { records, counts });
            if !notices.is_empty() {
                self.shared.outbox.send(to, Body::Availability(notices.clone()));
            }
        }
        let alive = self.view.members().filter(|member| member.is_alive(now)).count();
        self.shared.metrics.hosts_alive.set(alive as i64 + 1);
        self.publish();
    }

    /// Sends what upstreams have newly said to all live hosts; returns what heartbeats repeat.
    fn notices(&self, now: Instant) -> Vec<Notice> {
        let mut table = self.shared.availability.lock();
        if table.is_empty() {
            return Vec::new();
        }
        table.forget_old(now);
        let untold = table.take_untold(now);
        let repeated = table.notices(now).sample(&mut rand::rng(), NOTICES_PER_DATAGRAM);
        drop(table);
        for notices in untold.chunks(NOTICES_PER_DATAGRAM) {
            for member in self.view.members().filter(|member| member.is_alive(now)) {
                let body = Body::Availability(notices.to_vec());
                self.shared.outbox.send(member.record.address, body);
            }
        }
        repeated
    }

    /// Takes into account what other hosts have heard from upstreams.
    fn merge_notices(&self, notices: &[Notice]) {
        let now = Instant::now();
        let mut table = self.shared.availability.lock();
        for notice in notices {
            if table.merge(notice, now) {
                let Notice { upstream, started_ms, .. } = notice;
                log::info!(
                    "event=upstream_leaving upstream={upstream} started_ms={started_ms} source=peer"
                );
            }
        }
    }

    /// Sends this host's record to all live hosts of its domain, without waiting for heartbeats.
    fn announce(&mut self) {
        let now = Instant::now();
        self.view.own.revision = self.shared.snapshot().revision;
        self.view.own.count += 1;
        let records = vec![self.view.own.clone()];
        let alive = self.view.members().filter(|member| member.is_alive(now));
        for member in alive.filter(|member| member.record.domain == self.shared.domain) {
            let heartbeat = Body::Heartbeat { records: records.clone(), counts: Vec::new() };
            self.shared.outbox.send(member.record.address, heartbeat);
        }
    }

    /// Sends this host's record to a host that has just started, which may have an older configuration.
    ///
    /// The next heartbeat to it comes later by a heartbeat interval at least, and where there are many
    /// hosts by several.
    fn greet(&mut self, started: &Record) {
        self.update_own();
        let heartbeat =
            Body::Heartbeat { records: vec![self.view.own.clone()], counts: Vec::new() };
        self.shared.outbox.send(started.address, heartbeat);
    }

    /// Merges a heartbeat from the host `from`, and replies if that host has just started.
    fn receive_heartbeat(&mut self, from: Tag, records: &[Record], counts: &[Count]) {
        let own_record = records.iter().find(|record| record.host == from);
        let started = own_record.filter(|record| {
            let known = self.view.member(record.host).map(|member| member.record.incarnation);
            known.is_none_or(|known| known < record.incarnation)
        });
        self.view.merge(records, counts, Instant::now());
        self.publish();
        if let Some(started) = started {
            self.greet(started);
        }
    }

    /// Announces a new configuration if this host is a reader, from which the others then pull it.
    ///
    /// They learn of hosts that have pulled it from the usual heartbeats, so that a change costs a
    /// domain two messages a host.
    fn announce_revision(&mut self) {
        if self.shared.is_reader() && self.shared.snapshot().revision > self.view.own.revision {
            self.announce();
        }
    }

    fn publish(&self) {
        self.publish.send_replace(Arc::new(self.view.clone()));
    }

    /// Registers this host's address in the store's list of hosts, and retries until that succeeds.
    fn register(&self, ctx: &mut Context<Self>) {
        let host = &self.shared.settings.host;
        let own = message::Host {
            name: host.name.clone(),
            address: self.shared.settings.advertised(),
            domain: host.domain.clone(),
            leaving: false,
        };
        let client = self.shared.store("registration");
        let registered = async move { client.register_host(&own).await };
        ctx.spawn(registered.into_actor(self).map(|registered, _actor, ctx| {
            if let Err(error) = registered {
                log::info!("event=host_not_registered error={error}");
                ctx.run_later(REGISTER_RETRY_INTERVAL, |actor, ctx| actor.register(ctx));
            }
        }));
    }

    /// Reads the store's list of hosts if this host is a reader and a read is due.
    fn read_host_list(&mut self, ctx: &mut Context<Self>) {
        if !self.shared.is_reader() || !self.is_list_due() {
            return;
        }
        self.list_read_at = Some(steady());
        let client = self.shared.store("host_list");
        let read = async move { client.list_hosts().await };
        ctx.spawn(read.into_actor(self).map(|listed, actor, _ctx| match listed {
            Ok(listed) => actor.apply_host_list(&listed),
            Err(error) => log::debug!("event=host_list_failed error={error}"),
        }));
    }

    fn is_list_due(&self) -> bool {
        let has_settled = self.shared.deployment.catalogue.is_some()
            && steady().saturating_duration_since(self.shared.started) > SETTLING_TIME;
        let age = self.list_read_at.map(|at| steady().saturating_duration_since(at));
        !has_settled || age.is_none_or(|age| age > SETTLED_LIST_INTERVAL)
    }

    /// Divides the list into hosts and upstreams that are leaving, since both register there.
    fn apply_host_list(&mut self, listed: &[message::Host]) {
        let snapshot = self.shared.snapshot();
        let is_upstream = |tag: Tag| snapshot.upstream(tag).is_some();
        let mut hosts = Vec::new();
        self.listed_leaving.clear();
        for entry in listed {
            let tag = Tag::of(&entry.name);
            if !is_upstream(tag) {
                hosts.push(Listed { host: tag, address: entry.address, is_leaving: entry.leaving });
            } else if entry.leaving {
                self.listed_leaving.push(tag);
            }
        }
        self.view.apply_listing(&hosts);
    }
}

/// The view of a started host, which contains only itself and the seed addresses.
pub fn initial_view(settings: &Settings, incarnation: u64) -> View {
    let own = Record {
        host: Tag::of(&settings.host.name),
        domain: Tag::of(&settings.host.domain),
        address: settings.advertised(),
        incarnation,
        count: 0,
        is_leaving: false,
        revision: 0,
        withdrawn: 0,
        epoch: 0,
        slots: 0,
        headroom: Vec::new(),
        loads: Vec::new(),
        leaving_upstreams: Vec::new(),
    };
    View::new(own, settings.host.seeds.clone())
}

impl Actor for Membership {
    type Context = Context<Self>;

    fn started(&mut self, ctx: &mut Context<Self>) {
        self.register(ctx);
        // A restored store may have lost the entry.
        on_restore(&self.shared.era, ctx, |actor, ctx| actor.register(ctx));
        on_change(self.shared.config.clone(), ctx, |actor, _ctx| actor.announce_revision());
        self.send_heartbeats();
        ctx.run_interval(HEARTBEAT_INTERVAL, |actor, ctx| {
            guard(actor, ctx, |actor, _| actor.send_heartbeats());
        });
        ctx.run_interval(LIST_INTERVAL, |actor, ctx| {
            guard(actor, ctx, Self::read_host_list);
        });
    }
}

impl Supervised for Membership {
    fn restarting(&mut self, _ctx: &mut Context<Self>) {
        let count = self.view.own.count;
        self.view = initial_view(&self.shared.settings, self.shared.incarnation);
        self.view.own.count = count;
    }
}

impl Handler<Incoming> for Membership {
    type Result = ();

    fn handle(&mut self, message: Incoming, ctx: &mut Context<Self>) {
        guard(self, ctx, |actor, _| match &message.0.body {
            Body::Heartbeat { records, counts } => {
                actor.receive_heartbeat(message.0.from, records, counts);
            }
            Body::Availability(notices) => actor.merge_notices(notices),
            Body::Speeds(notices) => speeds::merge(&actor.shared, notices),
            Body::Evacuations { version, domains } => {
                evacuation::merge(&actor.shared, domains, *version);
            }
            _ => {}
        });
    }
}

impl Handler<SetHeadroom> for Membership {
    type Result = ();

    fn handle(&mut self, message: SetHeadroom, _ctx: &mut Context<Self>) {
        self.view.own.headroom = message.0;
    }
}

impl Handler<SetLeaving> for Membership {
    type Result = ();

    fn handle(&mut self, message: SetLeaving, _ctx: &mut Context<Self>) {
        self.reported_leaving = message.0;
    }
}

impl Handler<SetSlots> for Membership {
    type Result = ();

    fn handle(&mut self, message: SetSlots, _ctx: &mut Context<Self>) {
        let entered = Position::of(message.epoch).era > Position::of(self.view.own.epoch).era;
        self.view.own.slots = message.slots;
        self.view.own.epoch = message.epoch;
        if entered {
            // No host may hold slots until all hosts of the domain have announced the new era, which
            // takes several seconds by the usual heartbeats alone.
            self.announce();
        }
        self.publish();
    }
}
