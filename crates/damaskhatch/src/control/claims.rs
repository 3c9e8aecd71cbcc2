//! Asks schedulers for pairs of engines and keeps the leases renewed.
//!
//! The scheduler of a service is found anew for every message, so that a role
//! that moved is followed without anybody having to announce it.

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

/// The time between two looks at what is due.
const TICK: Duration = Duration::from_millis(10);
/// The pause before an ask that nobody confirmed is sent again.
const RESEND_AFTER: Duration = Duration::from_millis(20);
/// After this long without confirmation the host decides alone.
const SILENCE_LIMIT: Duration = Duration::from_millis(80);
/// The time between two renewals of all leases.
const RENEW_INTERVAL: Duration = Duration::from_millis(250);
/// Claims that fit one datagram.
const CLAIMS_PER_FRAME: usize = 12;
/// How long an unconfirmed release is repeated.
const RELEASE_LIFE: Duration = Duration::from_secs(3);
/// The pause before an unconfirmed release is sent again.
const RELEASE_RESEND: Duration = Duration::from_millis(100);

/// What became of an ask.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Outcome {
    /// The pair is reserved.
    Granted {
        /// The pair.
        pair: Pair,
        /// The memory reserved.
        pieces: u32,
    },
    /// There will be no pair.
    Refused {
        /// Why.
        kind: Kind,
        /// When to come back.
        retry_after: Duration,
    },
    /// No scheduler answers; the host decides alone.
    Unconfirmed,
}

/// Asks for a pair.
#[derive(Debug, Message)]
#[rtype(result = "()")]
pub struct Acquire {
    /// The ask.
    pub demand: Demand,
    /// Where the outcome goes.
    pub reply: oneshot::Sender<Outcome>,
}

/// Notes a pair that the host chose alone, so that it is claimed too.
#[derive(Debug, Message)]
#[rtype(result = "()")]
pub struct Hold {
    /// The service.
    pub service: Tag,
    /// The claim.
    pub claim: Claim,
}

/// Notes progress of a request.
#[derive(Debug, Clone, Copy, Message)]
#[rtype(result = "()")]
pub struct Progress {
    /// The request.
    pub request: Request,
    /// How far it has come.
    pub phase: Phase,
    /// The mean time between its latest tokens; zero without any.
    pub gap: Duration,
}

/// Ends a lease or withdraws an ask.
#[derive(Debug, Message)]
#[rtype(result = "()")]
pub struct End {
    /// The service.
    pub service: Tag,
    /// The lease.
    pub release: Release,
}

#[derive(Debug)]
struct Waiter {
    ask: Demand,
    domain: Tag,
    reply: oneshot::Sender<Outcome>,
    since: Instant,
    asked: Instant,
    sent: Instant,
    confirmed: bool,
}

#[derive(Debug)]
struct Held {
    service: Tag,
    domain: Tag,
    claim: Claim,
}

#[derive(Debug)]
struct Ending {
    service: Tag,
    domain: Tag,
    release: Release,
    since: Instant,
    sent: Instant,
}

/// The actor that asks for pairs.
#[derive(Debug)]
pub struct Claims {
    shared: Shared,
    waiters: HashMap<Request, Waiter>,
    held: HashMap<Request, Held>,
    ending: HashMap<Request, Ending>,
}

impl Claims {
    /// Makes the actor.
    pub fn new(shared: Shared) -> Self {
        Self { shared, waiters: HashMap::new(), held: HashMap::new(), ending: HashMap::new() }
    }

    fn scheduler(&self, service: Tag, domain: Tag) -> Option<SocketAddr> {
        let hosts = self.shared.hosts();
        let eligible = hosts.eligible(domain, Instant::now());
        hosts.address(rendezvous::owner(scheduler_role(service, domain), eligible)?)
    }

    fn acquire(&mut self, message: Acquire) {
        let now = Instant::now();
        let Acquire { demand: ask, reply } = message;
        let domain = self.shared.domain;
        let waiter =
            Waiter { ask, domain, reply, since: now, asked: now, sent: now, confirmed: false };
        self.held.remove(&waiter.ask.request);
        self.ending.remove(&waiter.ask.request);
        self.send_ask(&waiter);
        self.waiters.insert(waiter.ask.request, waiter);
    }

    /// Sends the ask with the time that is left of it by now.
    fn send_ask(&self, waiter: &Waiter) {
        let Some(to) = self.scheduler(waiter.ask.service, waiter.domain) else {
            return;
        };
        let mut ask = waiter.ask.clone();
        let elapsed = waiter.since.elapsed();
        ask.due_in = ask.due_in.saturating_sub(elapsed);
        ask.patience = ask.patience.saturating_sub(elapsed);
        self.shared.outbox.send(to, Body::Enqueue(ask));
    }

    fn receive(&mut self, body: Body) {
        match body {
            Body::Queued(request) => {
                if let Some(waiter) = self.waiters.get_mut(&request) {
                    waiter.confirmed = true;
                }
            }
            Body::Grant { request, pair, pieces } => self.granted(request, pair, pieces),
            Body::Refuse { request, kind, retry_after } => {
                if let Some(waiter) = self.waiters.remove(&request) {
                    let _gone = waiter.reply.send(Outcome::Refused { kind, retry_after });
                }
            }
            Body::Redirect { request, domain } => self.redirected(request, domain),
            Body::UnknownRequests(requests) => {
                for request in requests {
                    if let Some(waiter) = self.waiters.get_mut(&request) {
                        waiter.confirmed = false;
                        waiter.asked = Instant::now();
                    }
                }
            }
            Body::Released(request) => {
                self.ending.remove(&request);
            }
            _ => {}
        }
    }

    fn granted(&mut self, request: Request, pair: Pair, pieces: u32) {
        let Some(waiter) = self.waiters.remove(&request) else {
            if !self.held.contains_key(&request) && !self.ending.contains_key(&request) {
                log::debug!("event=late_grant request={request}");
            }
            return;
        };
        let (service, domain) = (waiter.ask.service, waiter.domain);
        let claim =
            Claim { request, phase: Phase::Prefill, pair: Some(pair), pieces, gap_micros: 0 };
        self.held.insert(request, Held { service, domain, claim });
        if waiter.reply.send(Outcome::Granted { pair, pieces }).is_err() {
            self.end(service, Release { request, failed: None });
        }
    }

    fn redirected(&mut self, request: Request, domain: Tag) {
        let Some(mut waiter) = self.waiters.remove(&request) else {
            return;
        };
        let from = waiter.domain;
        self.shared.journal.record(
            request,
            format_args!("event=redirect from={from} to={domain} reason=late_at_home"),
        );
        waiter.domain = domain;
        waiter.ask.redirected = true;
        waiter.confirmed = false;
        (waiter.asked, waiter.sent) = (Instant::now(), Instant::now());
        self.send_ask(&waiter);
        self.waiters.insert(request, waiter);
    }

    fn progress(&mut self, progress: Progress) {
        let Some(held) = self.held.get_mut(&progress.request) else {
            return;
        };
        let moved = held.claim.phase != progress.phase;
        held.claim.phase = progress.phase;
        held.claim.gap_micros = progress.gap.as_micros().min(u128::from(u32::MAX)) as u32;
        if moved {
            let (service, domain, claims) = (held.service, held.domain, vec![held.claim]);
            if let Some(to) = self.scheduler(service, domain) {
                self.shared.outbox.send(to, Body::Renew { service, claims });
            }
        }
    }

    fn end(&mut self, service: Tag, release: Release) {
        let request = release.request;
        let held = self.held.remove(&request).map(|held| held.domain);
        let waited = self.waiters.remove(&request).map(|waiter| waiter.domain);
        let Some(domain) = held.or(waited) else {
            return;
        };
        let now = Instant::now();
        let ending = Ending { service, domain, release, since: now, sent: now };
        self.send_release(&ending);
        self.ending.insert(request, ending);
    }

    fn send_release(&self, ending: &Ending) {
        if let Some(to) = self.scheduler(ending.service, ending.domain) {
            let (service, release) = (ending.service, ending.release);
            self.shared.outbox.send(to, Body::Release { service, release });
        }
    }

    fn tick(&mut self) {
        let now = Instant::now();
        self.resend_asks(now);
        self.ending.retain(|_, e| now.saturating_duration_since(e.since) < RELEASE_LIFE);
        let mut due = Vec::new();
        for ending in self.ending.values_mut() {
            if now.saturating_duration_since(ending.sent) >= RELEASE_RESEND {
                ending.sent = now;
                due.push(ending.release.request);
            }
        }
        due.iter().for_each(|request| self.send_release(&self.ending[request]));
    }

    fn resend_asks(&mut self, now: Instant) {
        let open: Vec<Request> =
            self.waiters.iter().filter(|(_, w)| !w.confirmed).map(|(r, _)| *r).collect();
        for request in open {
            let waiter = self.waiters.get_mut(&request).expect("the waiter was just seen");
            if now.saturating_duration_since(waiter.asked) >= SILENCE_LIMIT {
                let waiter = self.waiters.remove(&request).expect("the waiter was just seen");
                let _gone = waiter.reply.send(Outcome::Unconfirmed);
            } else if now.saturating_duration_since(waiter.sent) >= RESEND_AFTER {
                waiter.sent = now;
                self.send_ask(&self.waiters[&request]);
            }
        }
    }

    fn renew(&mut self) {
        let mut claims: HashMap<(Tag, Tag), Vec<Claim>> = HashMap::new();
        for held in self.held.values() {
            claims.entry((held.service, held.domain)).or_default().push(held.claim);
        }
        for waiter in self.waiters.values().filter(|waiter| waiter.confirmed) {
            let request = waiter.ask.request;
            let claim =
                Claim { request, phase: Phase::Waiting, pair: None, pieces: 0, gap_micros: 0 };
            claims.entry((waiter.ask.service, waiter.domain)).or_default().push(claim);
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

/// The role that names the scheduler of a service in a domain.
pub fn scheduler_role(service: Tag, domain: Tag) -> Tag {
    Tag(service.0 ^ domain.0.rotate_left(17))
}

impl Actor for Claims {
    type Context = Context<Self>;

    fn started(&mut self, ctx: &mut Context<Self>) {
        ctx.run_interval(TICK, |actor, ctx| guard(actor, ctx, |actor, _| actor.tick()));
        ctx.run_interval(RENEW_INTERVAL, |actor, ctx| {
            guard(actor, ctx, |actor, _| actor.renew());
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
        guard(self, ctx, |actor, _| actor.progress(message));
    }
}

impl Handler<End> for Claims {
    type Result = ();

    fn handle(&mut self, message: End, ctx: &mut Context<Self>) {
        guard(self, ctx, |actor, _| actor.end(message.service, message.release));
    }
}
