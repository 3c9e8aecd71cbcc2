//! Requests pairs of engines from schedulers and renews the leases.
//!
//! The host that runs a service's scheduler is looked up for every message, so a
//! scheduler that moves to another host needs no announcement.

use std::collections::HashMap;
use std::net::SocketAddr;

use damaskhatch_policy::rendezvous;
use damaskhatch_policy::route::Pair;
use damaskhatch_policy::schedule::message::{Claim, Demand, Phase, Release};
use damaskhatch_wire::prelude::Body;
use tokio::sync::oneshot;

use crate::control::Incoming;
use crate::prelude::*;
use crate::shared::Shared;
use crate::supervise::guard;

/// The time between two checks for messages that are due to be sent again.
const TICK_INTERVAL: Duration = Duration::from_millis(10);
/// The time after which an unconfirmed demand is sent again.
const DEMAND_RESEND_INTERVAL: Duration = Duration::from_millis(20);
/// The time without confirmation after which the host chooses a pair without a scheduler.
const CONFIRMATION_TIMEOUT: Duration = Duration::from_millis(80);
/// The time between two renewals of all leases.
const RENEW_INTERVAL: Duration = Duration::from_millis(250);
/// The maximum number of claims in one frame, so that it fits a datagram.
const CLAIMS_PER_FRAME: usize = 12;
/// How long an unconfirmed release is resent.
const RELEASE_TTL: Duration = Duration::from_secs(3);
/// The time after which an unconfirmed release is sent again.
const RELEASE_RESEND_INTERVAL: Duration = Duration::from_millis(100);

/// The outcome of a demand.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Outcome {
    /// The scheduler granted a lease on a pair.
    Granted {
        /// The pair of engines.
        pair: Pair,
        /// Reserved engine memory, in pieces.
        pieces: u32,
    },
    /// The scheduler refused the demand.
    Refused {
        /// The reason of the refusal.
        kind: Kind,
        /// Time after which the caller may retry.
        retry_after: Duration,
    },
    /// No scheduler confirmed the demand in time; the host has to choose a pair itself.
    Unconfirmed,
}

/// Requests a pair from the service's scheduler.
#[derive(Debug, Message)]
#[rtype(result = "()")]
pub struct Acquire {
    /// What the request needs, with the times left from now on.
    pub demand: Demand,
    /// Receives the outcome; if it is closed by then, a granted lease is released.
    pub reply: oneshot::Sender<Outcome>,
}

/// Adds the claim to a pair that the host chose itself, so that it is renewed like a lease.
#[derive(Debug, Message)]
#[rtype(result = "()")]
pub struct Hold {
    /// The model service that runs the request.
    pub service: Tag,
    /// The claim that is sent to the service's scheduler.
    pub claim: Claim,
}

/// Updates a request's claim to the progress of its streams.
#[derive(Debug, Clone, Copy, Message)]
#[rtype(result = "()")]
pub struct Progress {
    /// The request's id.
    pub request: Request,
    /// The phase that the request has reached.
    pub phase: Phase,
    /// The mean time between its latest tokens; zero if there were none.
    pub gap: Duration,
}

/// Ends a lease or withdraws a demand that is still queued.
#[derive(Debug, Message)]
#[rtype(result = "()")]
pub struct End {
    /// The model service that runs the request.
    pub service: Tag,
    /// The release that is sent until the scheduler confirms it.
    pub release: Release,
}

/// A request that waits for a pair.
#[derive(Debug)]
struct Waiter {
    demand: Demand,
    /// The domain whose scheduler has the demand; another than this host's after a redirect.
    domain: Tag,
    reply: oneshot::Sender<Outcome>,
    enqueued_at: Instant,
    /// When the wait for the scheduler's confirmation began.
    unconfirmed_since: Instant,
    sent_at: Instant,
    is_confirmed: bool,
}

/// A lease that this host renews.
#[derive(Debug)]
struct Held {
    service: Tag,
    domain: Tag,
    claim: Claim,
}

/// A release that the scheduler has not confirmed.
#[derive(Debug)]
struct Ending {
    service: Tag,
    domain: Tag,
    release: Release,
    started_at: Instant,
    sent_at: Instant,
}

/// The actor that holds this host's demands, claims and releases.
#[derive(Debug)]
pub struct Claims {
    shared: Shared,
    waiters: HashMap<Request, Waiter>,
    held: HashMap<Request, Held>,
    ending: HashMap<Request, Ending>,
}

impl Claims {
    /// Creates the actor without any claims.
    pub fn new(shared: Shared) -> Self {
        Self { shared, waiters: HashMap::new(), held: HashMap::new(), ending: HashMap::new() }
    }

    /// The address of the host that runs the service's scheduler in `domain`.
    fn scheduler(&self, service: Tag, domain: Tag) -> Option<SocketAddr> {
        let hosts = self.shared.hosts();
        let eligible = hosts.eligible(domain, Instant::now());
        hosts.address(rendezvous::owner(scheduler_role(service, domain), eligible)?)
    }

    fn acquire(&mut self, message: Acquire) {
        let now = Instant::now();
        let Acquire { demand, reply } = message;
        let domain = self.shared.domain;
        let waiter = Waiter {
            demand,
            domain,
            reply,
            enqueued_at: now,
            unconfirmed_since: now,
            sent_at: now,
            is_confirmed: false,
        };
        self.held.remove(&waiter.demand.request);
        self.ending.remove(&waiter.demand.request);
        self.send_demand(&waiter);
        self.waiters.insert(waiter.demand.request, waiter);
    }

    /// Sends the demand with its remaining times.
    fn send_demand(&self, waiter: &Waiter) {
        let Some(to) = self.scheduler(waiter.demand.service, waiter.domain) else {
            return;
        };
        let mut demand = waiter.demand.clone();
        let elapsed = waiter.enqueued_at.elapsed();
        demand.due_in = demand.due_in.saturating_sub(elapsed);
        demand.patience = demand.patience.saturating_sub(elapsed);
        self.shared.outbox.send(to, Body::Enqueue(demand));
    }

    fn receive(&mut self, body: Body) {
        match body {
            Body::Queued(request) => {
                if let Some(waiter) = self.waiters.get_mut(&request) {
                    waiter.is_confirmed = true;
                }
            }
            Body::Grant { request, pair, pieces } => self.handle_grant(request, pair, pieces),
            Body::Refuse { request, kind, retry_after } => {
                if let Some(waiter) = self.waiters.remove(&request) {
                    let _gone = waiter.reply.send(Outcome::Refused { kind, retry_after });
                }
            }
            Body::Redirect { request, domain } => self.handle_redirect(request, domain),
            Body::UnknownRequests(requests) => {
                for request in requests {
                    if let Some(waiter) = self.waiters.get_mut(&request) {
                        waiter.is_confirmed = false;
                        waiter.unconfirmed_since = Instant::now();
                    }
                }
            }
            Body::Released(request) => {
                self.ending.remove(&request);
            }
            _ => {}
        }
    }

    fn handle_grant(&mut self, request: Request, pair: Pair, pieces: u32) {
        let Some(waiter) = self.waiters.remove(&request) else {
            if !self.held.contains_key(&request) && !self.ending.contains_key(&request) {
                log::debug!("event=late_grant request={request}");
            }
            return;
        };
        let (service, domain) = (waiter.demand.service, waiter.domain);
        let claim =
            Claim { request, phase: Phase::Prefill, pair: Some(pair), pieces, gap_micros: 0 };
        self.held.insert(request, Held { service, domain, claim });
        if waiter.reply.send(Outcome::Granted { pair, pieces }).is_err() {
            self.release(service, Release { request, failed: None });
        }
    }

    fn handle_redirect(&mut self, request: Request, domain: Tag) {
        let Some(mut waiter) = self.waiters.remove(&request) else {
            return;
        };
        let from = waiter.domain;
        self.shared.journal.record(
            request,
            format_args!("event=redirect from={from} to={domain} reason=late_in_own_domain"),
        );
        waiter.domain = domain;
        waiter.demand.redirected = true;
        waiter.is_confirmed = false;
        (waiter.unconfirmed_since, waiter.sent_at) = (Instant::now(), Instant::now());
        self.send_demand(&waiter);
        self.waiters.insert(request, waiter);
    }

    /// Updates a claim; a change of phase is sent at once instead of with the next renewal.
    fn record_progress(&mut self, progress: Progress) {
        let Some(held) = self.held.get_mut(&progress.request) else {
            return;
        };
        let phase_changed = held.claim.phase != progress.phase;
        held.claim.phase = progress.phase;
        held.claim.gap_micros = progress.gap.as_micros().min(u128::from(u32::MAX)) as u32;
        if phase_changed {
            let (service, domain, claims) = (held.service, held.domain, vec![held.claim]);
            if let Some(to) = self.scheduler(service, domain) {
                self.shared.outbox.send(to, Body::Renew { service, claims });
            }
        }
    }

    fn release(&mut self, service: Tag, release: Release) {
        let request = release.request;
        let held = self.held.remove(&request).map(|held| held.domain);
        let waited = self.waiters.remove(&request).map(|waiter| waiter.domain);
        let Some(domain) = held.or(waited) else {
            return;
        };
        let now = Instant::now();
        let ending = Ending { service, domain, release, started_at: now, sent_at: now };
        self.send_release(&ending);
        self.ending.insert(request, ending);
    }

    fn send_release(&self, ending: &Ending) {
        if let Some(to) = self.scheduler(ending.service, ending.domain) {
            let (service, release) = (ending.service, ending.release);
            self.shared.outbox.send(to, Body::Release { service, release });
        }
    }

    /// Resends the demands and releases whose confirmation is overdue.
    fn resend_due(&mut self) {
        let now = Instant::now();
        self.resend_demands(now);
        self.ending.retain(|_, e| now.saturating_duration_since(e.started_at) < RELEASE_TTL);
        let mut due = Vec::new();
        for ending in self.ending.values_mut() {
            if now.saturating_duration_since(ending.sent_at) >= RELEASE_RESEND_INTERVAL {
                ending.sent_at = now;
                due.push(ending.release.request);
            }
        }
        due.iter().for_each(|request| self.send_release(&self.ending[request]));
    }

    fn resend_demands(&mut self, now: Instant) {
        let open: Vec<Request> =
            self.waiters.iter().filter(|(_, w)| !w.is_confirmed).map(|(r, _)| *r).collect();
        for request in open {
            let waiter = self.waiters.get_mut(&request).expect("the waiter was just seen");
            if now.saturating_duration_since(waiter.unconfirmed_since) >= CONFIRMATION_TIMEOUT {
                let waiter = self.waiters.remove(&request).expect("the waiter was just seen");
                let _gone = waiter.reply.send(Outcome::Unconfirmed);
            } else if now.saturating_duration_since(waiter.sent_at) >= DEMAND_RESEND_INTERVAL {
                waiter.sent_at = now;
                self.send_demand(&self.waiters[&request]);
            }
        }
    }

    /// Sends the claims of all leases and confirmed demands to their schedulers.
    fn renew_claims(&mut self) {
        let mut claims: HashMap<(Tag, Tag), Vec<Claim>> = HashMap::new();
        for held in self.held.values() {
            claims.entry((held.service, held.domain)).or_default().push(held.claim);
        }
        for waiter in self.waiters.values().filter(|waiter| waiter.is_confirmed) {
            let request = waiter.demand.request;
            let claim =
                Claim { request, phase: Phase::Waiting, pair: None, pieces: 0, gap_micros: 0 };
            claims.entry((waiter.demand.service, waiter.domain)).or_default().push(claim);
        }
        for ((service, domain), claims) in claims {
            let Some(to) = self.scheduler(service, domain) else {
                continue;
            };
            for claims in claims.chunks(CLAIMS_PER_FRAME) {
                self.shared.outbox.send(to, Body::Renew { service, claims: claims.to_vec() });
            }
        }
    }
}

/// The role of a service's scheduler in a domain, by which rendezvous hashing chooses its host.
pub fn scheduler_role(service: Tag, domain: Tag) -> Tag {
    Tag(service.0 ^ domain.0.rotate_left(17))
}

impl Actor for Claims {
    type Context = Context<Self>;

    fn started(&mut self, ctx: &mut Context<Self>) {
        ctx.run_interval(TICK_INTERVAL, |actor, ctx| {
            guard(actor, ctx, |actor, _| actor.resend_due());
        });
        ctx.run_interval(RENEW_INTERVAL, |actor, ctx| {
            guard(actor, ctx, |actor, _| actor.renew_claims());
        });
    }
}

impl Supervised for Claims {
    fn restarting(&mut self, _ctx: &mut Context<Self>) {
        self.waiters.clear();
        self.held.clear();
        self.ending.clear();
    }
}

impl Handler<Incoming> for Claims {
    type Result = ();

    fn handle(&mut self, message: Incoming, ctx: &mut Context<Self>) {
        guard(self, ctx, |actor, _| actor.receive(message.0.body));
    }
}

impl Handler<Acquire> for Claims {
    type Result = ();

    fn handle(&mut self, message: Acquire, ctx: &mut Context<Self>) {
        guard(self, ctx, |actor, _| actor.acquire(message));
    }
}

impl Handler<Hold> for Claims {
    type Result = ();

    fn handle(&mut self, message: Hold, _ctx: &mut Context<Self>) {
        let Hold { service, claim } = message;
        let held = Held { service, domain: self.shared.domain, claim };
        self.held.insert(claim.request, held);
    }
}

impl Handler<Progress> for Claims {
    type Result = ();

    fn handle(&mut self, message: Progress, ctx: &mut Context<Self>) {
        guard(self, ctx, |actor, _| actor.record_progress(message));
    }
}

impl Handler<End> for Claims {
    type Result = ();

    fn handle(&mut self, message: End, ctx: &mut Context<Self>) {
        guard(self, ctx, |actor, _| actor.release(message.service, message.release));
    }
}
