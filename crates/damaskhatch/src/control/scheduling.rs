//! Runs the schedulers of this host's domain whose role this host holds.
//!
//! A scheduler is dropped as soon as another host holds its role. Its leases are
//! then claimed at that host, and the scheduler here would cancel them as unclaimed.

use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;

use damaskhatch_exchange::Head;
use damaskhatch_policy::config::Snapshot;
use damaskhatch_policy::membership::{Headroom, View};
use damaskhatch_policy::rendezvous;
use damaskhatch_policy::route::Pair;
use damaskhatch_policy::schedule::Scheduler;
use damaskhatch_policy::schedule::message::{Claim, Decision, Demand};
use damaskhatch_policy::sheet::{self, Role};
use damaskhatch_wire::prelude::Body;

use crate::control::Incoming;
use crate::control::claims::scheduler_role;
use crate::control::limits::Limits;
use crate::control::membership::{Membership, SetHeadroom, SetLeaving};
use crate::entry::completion::upstream_name;
use crate::peers::Arrival;
use crate::prelude::*;
use crate::shared::Shared;
use crate::supervise::guard;
use crate::upstream::engine;
use crate::upstream::statement::{Run, hear};

/// The time between two ticks of the schedulers.
const TICK_INTERVAL: Duration = Duration::from_millis(10);
/// The time between two reads of the engines' load.
const LOAD_INTERVAL: Duration = Duration::from_millis(250);
/// The time between two searches of the engines for requests that no host claims.
const SWEEP_INTERVAL: Duration = Duration::from_secs(1);
/// The maximum number of requests in one frame.
const REQUESTS_PER_FRAME: usize = 24;

/// Clears the requests suspected of this upstream's crash, since its cause was found.
#[derive(Debug, Message)]
#[rtype(result = "()")]
pub struct ClearSuspicion(pub Tag);

/// The actor that runs schedulers.
#[derive(Debug)]
pub struct Scheduling {
    shared: Shared,
    membership: Addr<Membership>,
    limits: Addr<Limits>,
    /// The running schedulers, by service.
    schedulers: HashMap<Tag, Scheduler>,
    /// The address from which each host sent its latest message.
    sources: HashMap<Tag, SocketAddr>,
    /// Whether each polled upstream reports that it is leaving.
    leaving: HashMap<Tag, bool>,
}

impl Scheduling {
    /// Creates the actor, which reports headroom and leaving upstreams to `membership`.
    pub fn new(shared: Shared, membership: Addr<Membership>, limits: Addr<Limits>) -> Self {
        Self {
            shared,
            membership,
            limits,
            schedulers: HashMap::new(),
            sources: HashMap::new(),
            leaving: HashMap::new(),
        }
    }

    fn receive(&mut self, arrival: Arrival) {
        let now = Instant::now();
        self.sources.insert(arrival.from, arrival.source);
        match arrival.body {
            Body::Enqueue(demand) => self.enqueue(demand, arrival.source, now),
            Body::Renew { service, claims } => {
                self.renew_claims(service, &claims, arrival.source, now);
            }
            Body::Release { service, release } => {
                if let Some(scheduler) = self.schedulers.get_mut(&service) {
                    scheduler.release(release, now);
                    self.advance(service, now);
                }
                self.shared.outbox.send(arrival.source, Body::Released(release.request));
            }
            _ => {}
        }
    }

    fn enqueue(&mut self, demand: Demand, source: SocketAddr, now: Instant) {
        let service = demand.service;
        let request = demand.request;
        let other_domains = self.shared.hosts().headroom(service, now);
        let other_domain = other_domains.first().filter(|(_, slots)| *slots > 0).map(|(d, _)| *d);
        let decision = self.scheduler(service, now).enqueue(demand, other_domain, now);
        self.shared.outbox.send(source, Body::Queued(request));
        self.execute(service, decision, now);
        self.advance(service, now);
    }

    fn renew_claims(&mut self, service: Tag, claims: &[Claim], source: SocketAddr, now: Instant) {
        let renewal = self.scheduler(service, now).renew(claims, now);
        for requests in renewal.unknown.chunks(REQUESTS_PER_FRAME) {
            self.shared.outbox.send(source, Body::UnknownRequests(requests.to_vec()));
        }
        self.execute(service, renewal.resent, now);
        self.advance(service, now);
    }

    /// The scheduler of a service, created when the first host sends a message to it.
    fn scheduler(&mut self, service: Tag, now: Instant) -> &mut Scheduler {
        if !self.schedulers.contains_key(&service) {
            let mut scheduler = Scheduler::new(self.shared.settings.schedule.rules(), now);
            let engines = local_engines(&self.shared.snapshot(), service, self.shared.domain);
            scheduler.set_engines(&engines, now);
            log::info!("event=scheduler_started service={service} engines={}", engines.len());
            self.schedulers.insert(service, scheduler);
        }
        self.schedulers.get_mut(&service).expect("the scheduler was just inserted")
    }

    /// Runs a tick of one scheduler and executes its decisions.
    fn advance(&mut self, service: Tag, now: Instant) {
        let Some(scheduler) = self.schedulers.get_mut(&service) else {
            return;
        };
        let decisions = scheduler.tick(now);
        self.execute(service, decisions, now);
    }

    /// Logs decisions and sends them to the hosts that accepted the requests.
    fn execute(
        &mut self,
        service: Tag,
        decisions: impl IntoIterator<Item = Decision>,
        now: Instant,
    ) {
        for decision in decisions {
            self.log_decision(service, &decision);
            match decision {
                Decision::Grant { request, pair, pieces, .. } => {
                    self.reply(request, Body::Grant { request, pair, pieces });
                }
                Decision::Refuse { request, kind, retry_after, .. } => {
                    self.reply(request, Body::Refuse { request, kind, retry_after });
                }
                Decision::Redirect { request, domain } => {
                    self.reply(request, Body::Redirect { request, domain });
                }
                Decision::Cancel { request, pair } => self.cancel_orphan(request, pair, now),
            }
        }
    }

    fn log_decision(&self, service: Tag, decision: &Decision) {
        let domain = self.shared.domain;
        match decision {
            Decision::Grant { request, team, pair, cached_tokens, waited, is_late, .. } => {
                let snapshot = self.shared.snapshot();
                let prefill = display_name(&snapshot, pair.prefill);
                let decode = display_name(&snapshot, pair.decode);
                let wait = waited.as_millis();
                let reason = if *is_late { "late_lane" } else { "least_finish" };
                self.shared.journal.record(
                    *request,
                    format_args!(
                        "event=grant team={team} service={service} domain={domain} \
                         prefill={prefill} decode={decode} cached={cached_tokens} reason={reason} \
                         wait_ms={wait}"
                    ),
                );
            }
            Decision::Refuse { request, team, kind, retry_after } => {
                let retry = retry_after.as_millis();
                self.shared.journal.record(
                    *request,
                    format_args!(
                        "event=refuse team={team} service={service} domain={domain} \
                         reason={kind:?} retry_after_ms={retry}"
                    ),
                );
            }
            Decision::Redirect { request, domain: to } => self.shared.journal.record(
                *request,
                format_args!("event=send_away service={service} from={domain} to={to}"),
            ),
            Decision::Cancel { request, .. } => self.shared.journal.record(
                *request,
                format_args!("event=lapse service={service} domain={domain} reason=unclaimed"),
            ),
        }
    }

    /// Sends a message to the host that accepted the request.
    fn reply(&self, request: Request, body: Body) {
        let source = self.sources.get(&request.host).copied();
        let to = source.or_else(|| self.shared.hosts().address(request.host));
        if let Some(to) = to {
            self.shared.outbox.send(to, body);
        }
    }

    /// Cancels a request on its engines if the process that accepted it no longer runs.
    ///
    /// A live host cancels its own requests, and may claim this one at another scheduler.
    fn cancel_orphan(&self, request: Request, pair: Pair, now: Instant) {
        if is_orphan(&self.shared.hosts(), request, now) {
            self.cancel_on(request, &[pair.prefill, pair.decode]);
        }
    }

    /// Cancels a request on the given engines, in the background.
    fn cancel_on(&self, request: Request, engines: &[Tag]) {
        let snapshot = self.shared.snapshot();
        for engine in engines {
            let Some(upstream) = snapshot.upstream(*engine) else {
                continue;
            };
            let entry = &snapshot.upstreams[upstream];
            let name = &entry.name;
            self.shared
                .journal
                .record(request, format_args!("event=cancel engine={name} reason=host_gone"));
            engine::cancel_in_background(
                entry.address.clone(),
                request,
                self.shared.metrics.cancels_open.clone(),
            );
        }
    }

    fn tick_schedulers(&mut self) {
        let now = Instant::now();
        let services: Vec<Tag> = self.schedulers.keys().copied().collect();
        for service in services {
            self.advance(service, now);
        }
    }

    /// Creates and drops schedulers as their roles move, and reads the engines' load.
    fn update_schedulers(&mut self, ctx: &mut Context<Self>) {
        let now = Instant::now();
        let snapshot = self.shared.snapshot();
        let held = self.held_services(&snapshot, now);
        self.schedulers.retain(|service, _| held.contains(service));
        for service in &held {
            let engines = local_engines(&snapshot, *service, self.shared.domain);
            self.scheduler(*service, now).set_engines(&engines, now);
        }
        let leaving = self.shared.hosts().leaving_upstreams(now);
        let polled = polled_upstreams(&snapshot, self.shared.domain, &held);
        self.leaving.retain(|tag, _| polled.iter().any(|(upstream, _)| upstream == tag));
        for (tag, address) in polled {
            let is_announced_leaving = leaving.contains(&tag);
            let (shared, limits) = (self.shared.clone(), self.limits.clone());
            let name = upstream_name(&snapshot, tag);
            let read = async move {
                let (run, sent_at) = (Run { name: &name, tag, started_ms: 0 }, Instant::now());
                let learn = |head: &Head| {
                    hear(&shared, &limits, run, sent_at, (head.status, &head.headers));
                };
                engine::fetch_load(&address, &shared.memory.responses, learn).await
            };
            ctx.spawn(read.into_actor(self).map(move |load, actor, _ctx| {
                let Some(mut load) = load else {
                    actor.schedulers.values_mut().for_each(|s| s.mark_unreachable(tag));
                    return;
                };
                actor.leaving.insert(tag, load.leaving);
                let (domain, now) = (actor.shared.domain, Instant::now());
                let standing = actor.shared.availability.lock().standing_in(domain, tag, 0, now);
                load.leaving |= is_announced_leaving || standing.is_closed();
                for scheduler in actor.schedulers.values_mut() {
                    scheduler.update_load(tag, &load);
                }
            }));
        }
        self.report_to_membership();
    }

    /// Sets the headroom and the leaving upstreams that heartbeats announce.
    fn report_to_membership(&self) {
        let headroom = self.schedulers.iter().map(|(service, scheduler)| Headroom {
            service: *service,
            slots: scheduler.headroom(),
        });
        self.membership.do_send(SetHeadroom(headroom.collect()));
        let leaving = self.leaving.iter().filter(|(_, leaving)| **leaving).map(|(tag, _)| *tag);
        self.membership.do_send(SetLeaving(leaving.collect()));
    }

    /// The services whose scheduler role this host holds in its domain.
    fn held_services(&self, snapshot: &Snapshot, now: Instant) -> HashSet<Tag> {
        let hosts = self.shared.hosts();
        let eligible = hosts.eligible(self.shared.domain, now);
        let services = snapshot.services.iter().filter(|(_, entry)| entry.kind.is_some());
        let held = services.filter(|(_, entry)| {
            let role = scheduler_role(entry.tag, self.shared.domain);
            let owner = rendezvous::owner(role, eligible.iter().copied());
            owner == Some(self.shared.host)
        });
        held.map(|(_, entry)| entry.tag).collect()
    }

    /// Cancels the requests on the engines that no live host claims.
    fn cancel_orphans(&self, ctx: &mut Context<Self>) {
        let snapshot = self.shared.snapshot();
        let services: HashSet<Tag> = self.schedulers.keys().copied().collect();
        for (tag, address) in polled_upstreams(&snapshot, self.shared.domain, &services) {
            let memory = self.shared.memory.responses.clone();
            let read = async move { engine::list_requests(&address, &memory).await };
            ctx.spawn(read.into_actor(self).map(move |requests, actor, _ctx| {
                let now = Instant::now();
                let hosts = actor.shared.hosts();
                for request in requests.unwrap_or_default() {
                    let is_claimed = actor.schedulers.values().any(|s| s.is_claimed(request, now));
                    if !is_claimed && is_orphan(&hosts, request, now) {
                        actor.cancel_on(request, &[tag]);
                    }
                }
            }));
        }
    }
}

/// Whether the process that accepted the request no longer runs, by its host's liveness and
/// incarnation.
fn is_orphan(hosts: &View, request: Request, now: Instant) -> bool {
    if request.host == hosts.own.host {
        return request.incarnation != hosts.own.incarnation;
    }
    hosts.member(request.host).is_none_or(|member| {
        !member.is_alive(now) || member.record.incarnation != request.incarnation
    })
}

/// The service's engines in `domain`, with their roles.
fn local_engines(snapshot: &Snapshot, service: Tag, domain: Tag) -> Vec<(Tag, Role)> {
    let Some(service) = snapshot.service(service) else {
        return Vec::new();
    };
    let entries = snapshot.services[service].upstreams.iter().map(|u| &snapshot.upstreams[*u]);
    entries.filter(|entry| entry.domain == domain).map(|entry| (entry.tag, entry.role)).collect()
}

/// The upstreams of `services` in `domain`, which this host polls, with their addresses.
fn polled_upstreams(
    snapshot: &Snapshot,
    domain: Tag,
    services: &HashSet<Tag>,
) -> Vec<(Tag, String)> {
    let entries = snapshot.services.iter().filter(|(_, entry)| services.contains(&entry.tag));
    let upstreams = entries.flat_map(|(_, entry)| entry.upstreams.iter());
    let upstreams = upstreams.map(|upstream| &snapshot.upstreams[*upstream]);
    let local = upstreams.filter(|entry| entry.domain == domain);
    local.map(|entry| (entry.tag, entry.address.clone())).collect()
}

/// The upstream's index and name, as log lines show it.
fn display_name(snapshot: &Snapshot, upstream: Tag) -> String {
    match snapshot.upstream(upstream) {
        Some(index) => format!("{index}:{}", snapshot.upstreams[index].name),
        None => upstream.to_string(),
    }
}

/// Whether a service of this kind runs on engines; a service without a kind does not.
pub fn is_model(kind: Option<sheet::Kind>) -> bool {
    kind == Some(sheet::Kind::Model)
}

impl Actor for Scheduling {
    type Context = Context<Self>;

    fn started(&mut self, ctx: &mut Context<Self>) {
        ctx.run_interval(TICK_INTERVAL, |actor, ctx| {
            guard(actor, ctx, |actor, _| actor.tick_schedulers());
        });
        ctx.run_interval(LOAD_INTERVAL, |actor, ctx| {
            guard(actor, ctx, Scheduling::update_schedulers);
        });
        ctx.run_interval(SWEEP_INTERVAL, |actor, ctx| {
            guard(actor, ctx, |actor, ctx| actor.cancel_orphans(ctx));
        });
    }
}

impl Supervised for Scheduling {
    fn restarting(&mut self, _ctx: &mut Context<Self>) {
        self.schedulers.clear();
        self.leaving.clear();
    }
}

impl Handler<ClearSuspicion> for Scheduling {
    type Result = ();

    fn handle(&mut self, message: ClearSuspicion, ctx: &mut Context<Self>) {
        guard(self, ctx, |actor, _| {
            actor.schedulers.values_mut().for_each(|s| s.clear_suspicion(message.0));
        });
    }
}

impl Handler<Incoming> for Scheduling {
    type Result = ();

    fn handle(&mut self, message: Incoming, ctx: &mut Context<Self>) {
        guard(self, ctx, |actor, _| actor.receive(message.0));
    }
}
