//! Records the strikes against requests that crash upstreams, and sends them to all hosts.

use damaskhatch_policy::strike::{Ledger, Strike};
use damaskhatch_wire::prelude::Body;

use crate::control::Incoming;
use crate::control::scheduling::{ClearSuspicion, Scheduling};
use crate::prelude::*;
use crate::shared::Shared;
use crate::supervise::guard;

/// Records a strike that this host observed.
#[derive(Debug, Message)]
#[rtype(result = "()")]
pub struct Record(pub Strike);

/// Requests the standing of a fingerprint, which decides whether its requests may run.
#[derive(Debug, Message)]
#[rtype(result = "Standing")]
pub struct Check(pub Tag);

/// The standing of a request's fingerprint, by the strikes recorded against it.
#[derive(Debug, Clone, Copy, Default, PartialEq, MessageResponse)]
pub struct Standing {
    /// How much longer its requests are refused; `None` if they may run.
    pub refused_for: Option<Duration>,
    /// The upstream that it is suspected of having crashed.
    pub suspect: Option<Tag>,
}

/// The actor that records which requests crash upstreams.
#[derive(Debug)]
pub struct Strikes {
    shared: Shared,
    scheduling: Addr<Scheduling>,
    ledger: Ledger,
}

impl Strikes {
    /// Creates the actor, without any strikes.
    pub fn new(shared: Shared, scheduling: Addr<Scheduling>) -> Self {
        Self { shared, scheduling, ledger: Ledger::default() }
    }

    /// Records a strike and, if it is new, sends it to every live host.
    fn record(&mut self, strike: Strike) {
        let now = Instant::now();
        if !self.ledger.record(strike, now) {
            return;
        }
        let Strike { fingerprint, upstream, .. } = strike;
        let count = self.ledger.count(fingerprint, now);
        log::warn!("event=strike fingerprint={fingerprint} upstream={upstream} count={count}");
        for upstream in self.ledger.crashes_of(fingerprint, now) {
            self.scheduling.do_send(ClearSuspicion(upstream));
        }
        let hosts = self.shared.hosts();
        for member in hosts.members().filter(|member| member.is_alive(now)) {
            self.shared.outbox.send(member.record.address, Body::Strike(strike));
        }
    }
}

impl Actor for Strikes {
    type Context = Context<Self>;
}

impl Supervised for Strikes {
    fn restarting(&mut self, _ctx: &mut Context<Self>) {
        self.ledger = Ledger::default();
    }
}

impl Handler<Incoming> for Strikes {
    type Result = ();

    fn handle(&mut self, message: Incoming, ctx: &mut Context<Self>) {
        guard(self, ctx, |actor, _| {
            if let Body::Strike(strike) = message.0.body {
                actor.record(strike);
            }
        });
    }
}

impl Handler<Record> for Strikes {
    type Result = ();

    fn handle(&mut self, message: Record, ctx: &mut Context<Self>) {
        guard(self, ctx, |actor, _| actor.record(message.0));
    }
}

impl Handler<Check> for Strikes {
    type Result = Standing;

    fn handle(&mut self, message: Check, _ctx: &mut Context<Self>) -> Standing {
        let now = Instant::now();
        Standing {
            refused_for: self.ledger.refused_for(message.0, now),
            suspect: self.ledger.suspected_crash(message.0, now),
        }
    }
}
