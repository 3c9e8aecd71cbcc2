//! Learns the limits that upstreams name, and obtains permits for requests to limited upstreams.
//!
//! For each limited upstream one live host of the fleet grants the requests of all hosts, one by
//! one, by datagram. A host that gets no reply from it asks the one that stands in for it.

mod cold;
mod statements;

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;

use damaskhatch_policy::limit::{
    self, Ask, COLD_SERIAL, Id, Pacer, Seen, Statement, Table, Verdict,
};
use damaskhatch_wire::prelude::Body;
use tokio::sync::{oneshot, watch};

use crate::control::{Incoming, on_change};
use crate::peers::Arrival;
use crate::prelude::*;
use crate::shared::Shared;
use crate::supervise::guard;

/// The time between two looks at waiting requests, while there are any.
const TICK_INTERVAL: Duration = Duration::from_millis(5);
/// The time between two announcements of the known limits to another host.
const ANNOUNCE_INTERVAL: Duration = Duration::from_secs(1);
/// The time after which an ask without a reply is sent again.
const RESEND_INTERVAL: Duration = Duration::from_millis(20);
/// The time after which a holder counts as not responding to an ask.
const HOLDER_TIMEOUT: Duration = Duration::from_millis(70);
/// The number of asks in a row without a reply after which the stand-in is asked instead.
const MAX_UNANSWERED: u32 = 3;
/// How long the stand-in is asked before the holder is tried again.
const STAND_IN_TIME: Duration = Duration::from_secs(1);
/// When a caller may come back whose request got no reply from a holder.
const UNANSWERED_RETRY_AFTER: Duration = Duration::from_millis(300);
/// The longest time for which a holder is not asked again after a refusal.
///
/// It is half the time between two permits, if that is shorter.
const MAX_REFUSAL_TIME: Duration = Duration::from_millis(100);
/// How long a permit that was not used serves another request.
const PERMIT_TTL: Duration = Duration::from_millis(500);

/// The value of the metric's `result` label for requests that were permitted.
const PERMITTED: &str = "permitted";
/// The same for requests that were not.
const HELD_BACK: &str = "held_back";

/// Reports what a response said about the limit of its upstream.
#[derive(Debug, Message)]
#[rtype(result = "()")]
pub struct Observe {
    /// What the response said.
    pub seen: Seen,
    /// The name of the upstream, for logs.
    pub name: String,
}

/// Obtains a permit for one request to a limited upstream.
#[derive(Debug, Message)]
#[rtype(result = "()")]
pub struct Acquire {
    /// What is asked for.
    pub ask: Ask,
    /// Gets the answer; an error is the time after which a request may come back.
    pub reply: oneshot::Sender<std::result::Result<(), Duration>>,
}

/// Returns a permit that was not used.
#[derive(Debug, Clone, Copy, Message)]
#[rtype(result = "()")]
pub struct Return(pub Tag);

/// An ask of this host without a final answer.
#[derive(Debug)]
struct Waiter {
    ask: Ask,
    reply: oneshot::Sender<std::result::Result<(), Duration>>,
    holder: Tag,
    asked_at: Instant,
    sent_at: Instant,
    is_queued: bool,
}

/// How a holder has responded lately.
#[derive(Debug, Clone, Copy)]
struct Silence {
    /// Asks in a row without a reply.
    unanswered: u32,
    last_at: Instant,
}

/// A refusal of a holder.
#[derive(Debug, Clone, Copy)]
struct Refused {
    /// Before when an ask that cannot wait until then is refused without asking the holder.
    until: Instant,
    /// The time after which the refused request may come back.
    retry_after: Duration,
}

/// The actor that learns limits and asks for permits, and grants them where this host is a holder.
#[derive(Debug)]
pub struct Limits {
    shared: Shared,
    publish: watch::Sender<Arc<Table>>,
    table: Table,
    pacer: Pacer,
    waiters: HashMap<u64, Waiter>,
    /// The address to which the answer to each waiting ask of another host is sent.
    askers: HashMap<Id, SocketAddr>,
    silent: HashMap<Tag, Silence>,
    /// The last refusal for each upstream whose limit is used up.
    refused: HashMap<Tag, Refused>,
    /// When permits expire that were returned, by upstream.
    returned: HashMap<Tag, Vec<Instant>>,
    /// The last malformed limit of each upstream, which is logged once.
    malformed: HashMap<Tag, String>,
    /// The number of asks so far.
    serial: u64,
    is_ticking: bool,
    has_asked: bool,
}

impl Limits {
    /// Creates the actor, which publishes the known limits to all threads.
    pub fn new(shared: Shared, publish: watch::Sender<Arc<Table>>) -> Self {
        Self {
            shared,
            publish,
            table: Table::default(),
            pacer: Pacer::default(),
            waiters: HashMap::new(),
            askers: HashMap::new(),
            silent: HashMap::new(),
            refused: HashMap::new(),
            returned: HashMap::new(),
            malformed: HashMap::new(),
            serial: 0,
            is_ticking: false,
            has_asked: false,
        }
    }

    /// The holders of an upstream, the one to ask first.
    fn holders(&self, upstream: Tag, now: Instant) -> Vec<Tag> {
        limit::holders(upstream, self.shared.hosts().all_eligible(now))
    }

    fn acquire(&mut self, acquire: Acquire, ctx: &mut Context<Self>) {
        let now = Instant::now();
        let Acquire { ask, reply } = acquire;
        let upstream = ask.statement.upstream;
        if self.take_returned(upstream, now) {
            self.answer(upstream, reply, Ok(()));
            return;
        }
        let refused = self.refused.get(&upstream);
        if let Some(refused) = refused.filter(|refused| refused.until > now + ask.patience) {
            // Spread, because many requests may get this answer.
            let retry_after = refused.retry_after.mul_f64(1.0 + rand::random::<f64>());
            self.answer(upstream, reply, Err(retry_after));
            return;
        }
        let Some(holder) = self.choose_holder(upstream, now) else {
            self.answer(upstream, reply, Err(UNANSWERED_RETRY_AFTER));
            return;
        };
        self.serial += 1;
        let serial = self.serial;
        let waiter = Waiter { ask, reply, holder, asked_at: now, sent_at: now, is_queued: false };
        self.waiters.insert(serial, waiter);
        self.send_ask(serial, now);
        self.start_ticking(ctx);
    }

    fn take_returned(&mut self, upstream: Tag, now: Instant) -> bool {
        let Some(expiries) = self.returned.get_mut(&upstream) else { return false };
        expiries.retain(|expiry| *expiry > now);
        expiries.pop().is_some()
    }

    /// The holder, or the host that stands in for it if it has not responded lately.
    fn choose_holder(&self, upstream: Tag, now: Instant) -> Option<Tag> {
        let is_silent = |host: &Tag| {
            self.silent.get(host).is_some_and(|silence| {
                silence.unanswered >= MAX_UNANSWERED
                    && now.saturating_duration_since(silence.last_at) < STAND_IN_TIME
            })
        };
        let holders = self.holders(upstream, now);
        holders.iter().find(|host| !is_silent(host)).or(holders.first()).copied()
    }

    fn send_ask(&mut self, serial: u64, now: Instant) {
        let Some(waiter) = self.waiters.get_mut(&serial) else { return };
        waiter.sent_at = now;
        let (holder, ask) = (waiter.holder, waiter.ask);
        if holder == self.shared.host {
            let id = Id { host: holder, incarnation: self.shared.incarnation, serial };
            let permission = self.decide(id, &ask, now);
            self.settle(serial, permission, now);
        } else if let Some(address) = self.shared.hosts().address(holder) {
            self.shared.outbox.send(address, Body::Ask { serial, ask });
        }
    }

    /// Decides on an ask as the holder of its upstream.
    fn decide(&mut self, id: Id, ask: &Ask, now: Instant) -> Verdict {
        let asked = ask.statement;
        self.merge(&[asked]);
        let upstream = asked.upstream;
        // The list of upstreams may reach the host that asks before it reaches this one.
        let known = self.table.effective(upstream, asked.started_ms, now);
        let told = known.into_iter().chain((asked.serial == COLD_SERIAL).then_some(asked));
        let rate = |statement: &Statement| statement.per_s.unwrap_or(f64::INFINITY);
        let Some(statement) = told.min_by(|one, other| rate(one).total_cmp(&rate(other))) else {
            return Verdict::Granted;
        };
        match self.fraction(upstream, now) {
            Some(fraction) => self.pacer.ask(id, &Ask { statement, ..*ask }, fraction, now),
            None => Verdict::Refused { retry_after: UNANSWERED_RETRY_AFTER },
        }
    }

    /// Applies the answer to an ask of this host.
    fn settle(&mut self, serial: u64, permission: Verdict, now: Instant) {
        let Some(waiter) = self.waiters.get_mut(&serial) else { return };
        self.silent.remove(&waiter.holder);
        let upstream = waiter.ask.statement.upstream;
        let result = match permission {
            Verdict::Queued => {
                waiter.is_queued = true;
                return;
            }
            Verdict::Granted => Ok(()),
            Verdict::Refused { retry_after } => Err(retry_after),
        };
        let Some(Waiter { ask, reply, .. }) = self.waiters.remove(&serial) else { return };
        if let (Err(retry_after), Some(per_s)) = (result, ask.statement.per_s) {
            let pause = Duration::try_from_secs_f64(0.5 / per_s).unwrap_or(MAX_REFUSAL_TIME);
            let until = now + pause.min(MAX_REFUSAL_TIME);
            self.refused.insert(upstream, Refused { until, retry_after });
        }
        self.answer(upstream, reply, result);
    }

    /// Sends the answer to a request; a permit that nobody awaits any more is kept for another one.
    fn answer(
        &mut self,
        upstream: Tag,
        reply: oneshot::Sender<std::result::Result<(), Duration>>,
        result: std::result::Result<(), Duration>,
    ) {
        let label = if result.is_ok() { PERMITTED } else { HELD_BACK };
        let name = self.name(upstream);
        if reply.send(result).is_ok() {
            self.shared.metrics.limited.with_label_values(&[name.as_str(), label]).inc();
        } else if result.is_ok() {
            self.give_back(upstream);
        }
    }

    fn give_back(&mut self, upstream: Tag) {
        self.returned.entry(upstream).or_default().push(Instant::now() + PERMIT_TTL);
    }

    fn start_ticking(&mut self, ctx: &mut Context<Self>) {
        if !self.is_ticking && (!self.waiters.is_empty() || self.pacer.has_waiting()) {
            self.is_ticking = true;
            ctx.run_later(TICK_INTERVAL, |actor, ctx| {
                guard(actor, ctx, |actor, ctx| {
                    actor.is_ticking = false;
                    actor.tick();
                    actor.start_ticking(ctx);
                });
            });
        }
    }

    /// Grants what has become free, and looks after the asks of this host.
    fn tick(&mut self) {
        let now = Instant::now();
        let mut pacer = std::mem::take(&mut self.pacer);
        let answers = pacer.tick(|upstream| self.fraction(upstream, now).unwrap_or(0.0), now);
        self.pacer = pacer;
        for (id, _upstream, permission) in answers {
            if id.host == self.shared.host {
                self.settle(id.serial, permission, now);
            } else if let Some(to) = self.askers.remove(&id) {
                self.shared.outbox.send(to, Body::Permit { serial: id.serial, permission });
            }
        }
        let serials: Vec<u64> = self.waiters.keys().copied().collect();
        for serial in serials {
            self.look_after(serial, now);
        }
    }

    /// Sends an ask again that has no answer, and ends one that has waited for too long.
    fn look_after(&mut self, serial: u64, now: Instant) {
        let Some(waiter) = self.waiters.get(&serial) else { return };
        let Waiter { ask, holder, asked_at, sent_at, is_queued, .. } = waiter;
        let elapsed = now.saturating_duration_since(*asked_at);
        let (holder, upstream) = (*holder, ask.statement.upstream);
        let limit = if *is_queued { ask.patience + HOLDER_TIMEOUT } else { HOLDER_TIMEOUT };
        let is_due = now.saturating_duration_since(*sent_at) >= RESEND_INTERVAL;
        if elapsed >= limit {
            let silence =
                self.silent.entry(holder).or_insert(Silence { unanswered: 0, last_at: now });
            silence.unanswered += 1;
            silence.last_at = now;
            log::info!("event=permit_unanswered holder={holder} waited_ms={}", elapsed.as_millis());
            if let Some(Waiter { reply, .. }) = self.waiters.remove(&serial) {
                self.answer(upstream, reply, Err(UNANSWERED_RETRY_AFTER));
            }
        } else if is_due && holder != self.shared.host {
            self.send_ask(serial, now);
        }
    }

    fn receive(&mut self, arrival: &Arrival, ctx: &mut Context<Self>) {
        let now = Instant::now();
        match &arrival.body {
            Body::Limits(statements) => self.merge(statements),
            Body::GetLimits => self.send_statements(arrival.source),
            Body::Ask { serial, ask } => {
                let Arrival { from, incarnation, source, .. } = arrival;
                let id = Id { host: *from, incarnation: *incarnation, serial: *serial };
                let permission = self.decide(id, ask, now);
                if permission == Verdict::Queued {
                    self.askers.insert(id, *source);
                    self.start_ticking(ctx);
                }
                self.shared.outbox.send(*source, Body::Permit { serial: *serial, permission });
            }
            Body::Permit { serial, permission } => self.settle(*serial, *permission, now),
            _ => {}
        }
    }
}

impl Actor for Limits {
    type Context = Context<Self>;

    fn started(&mut self, ctx: &mut Context<Self>) {
        on_change(self.shared.registry.clone(), ctx, |actor, _ctx| actor.observe_cold());
        on_change(self.shared.config.clone(), ctx, |actor, _ctx| actor.observe_cold());
        ctx.run_interval(ANNOUNCE_INTERVAL, |actor, ctx| {
            guard(actor, ctx, |actor, _| actor.announce());
        });
    }
}

impl Supervised for Limits {
    fn restarting(&mut self, _ctx: &mut Context<Self>) {
        self.observe_cold();
        self.pacer = Pacer::default();
        self.waiters.clear();
        self.askers.clear();
        self.is_ticking = false;
        self.has_asked = false;
    }
}

impl Handler<Observe> for Limits {
    type Result = ();

    fn handle(&mut self, message: Observe, ctx: &mut Context<Self>) {
        guard(self, ctx, |actor, _| actor.observe(&message));
    }
}

impl Handler<Acquire> for Limits {
    type Result = ();

    fn handle(&mut self, message: Acquire, ctx: &mut Context<Self>) {
        guard(self, ctx, |actor, ctx| actor.acquire(message, ctx));
    }
}

impl Handler<Return> for Limits {
    type Result = ();

    fn handle(&mut self, message: Return, _ctx: &mut Context<Self>) {
        self.give_back(message.0);
    }
}

impl Handler<Incoming> for Limits {
    type Result = ();

    fn handle(&mut self, message: Incoming, ctx: &mut Context<Self>) {
        guard(self, ctx, |actor, ctx| actor.receive(&message.0, ctx));
    }
}
