//! Records the strikes against requests that crash upstreams, and shares them with all hosts.
//!
//! A strike is sent to every live host at once.

use std::sync::Arc;

use damaskhatch_policy::strike::{Ledger, Report, Strike};
use damaskhatch_policy::suspect::{Suspect, Suspects};
use damaskhatch_wire::prelude::Body;
use tokio::sync::watch;

use crate::control::Incoming;
use crate::control::scheduling::{ClearSuspicion, Scheduling};
use crate::prelude::*;
use crate::shared::Shared;
use crate::supervise::guard;

/// The time between two checks of the suspects against the registry.
const CHECK_INTERVAL: Duration = Duration::from_millis(250);
/// How long an upstream must outlive a response for it to clear the request of its strikes.
const SETTLING_TIME: Duration = Duration::from_secs(2);

/// Records a strike that this host observed; once answered, every thread knows it.
#[derive(Debug, Message)]
#[rtype(result = "()")]
pub struct Record {
    /// The strike.
    pub strike: Strike,
    /// When the attempt at the crashed upstream broke off.
    pub crashed_at: Instant,
}

/// Watches an attempt that may have crashed its upstream.
#[derive(Debug, Message)]
#[rtype(result = "()")]
pub struct Watch(pub Suspect);

/// Reports a complete response to a request that has strikes.
#[derive(Debug, Clone, Copy, Message)]
#[rtype(result = "()")]
pub struct Served {
    /// The fingerprint of the request.
    pub fingerprint: Tag,
    /// The upstream that responded.
    pub upstream: Tag,
}

/// The actor that records which requests crash upstreams.
#[derive(Debug)]
pub struct Strikes {
    shared: Shared,
    scheduling: Addr<Scheduling>,
    /// Publishes the ledger to all threads.
    publish: watch::Sender<Arc<Ledger>>,
    ledger: Ledger,
    /// Attempts that may have crashed their upstream.
    suspects: Suspects,
}

impl Strikes {
    /// Creates the actor, without any strikes.
    pub fn new(
        shared: Shared,
        scheduling: Addr<Scheduling>,
        publish: watch::Sender<Arc<Ledger>>,
    ) -> Self {
        Self {
            shared,
            scheduling,
            publish,
            ledger: Ledger::default(),
            suspects: Suspects::default(),
        }
    }

    /// Records a strike that this host observed and sends it to every live host.
    fn observe(&mut self, record: Record) {
        let now = Instant::now();
        let Record { strike, crashed_at } = record;
        let age = now.saturating_duration_since(crashed_at);
        let report = Report { strike, age, is_cleared: false };
        if !self.ledger.record(&report, now) {
            return;
        }
        self.shared.metrics.strikes.inc();
        self.log(&report, "observed");
        self.broadcast(&[report]);
        self.publish();
    }

    /// Merges what another host or the store knows.
    fn merge(&mut self, reports: &[Report], source: &str) {
        let now = Instant::now();
        let mut has_changed = false;
        for report in reports {
            if self.ledger.record(report, now) {
                has_changed = true;
                self.log(report, source);
            }
        }
        if has_changed {
            self.publish();
        }
    }

    fn log(&self, report: &Report, source: &str) {
        let Report { strike, age, is_cleared } = report;
        let Strike { fingerprint, crash, ran_for } = strike;
        let count = self.ledger.count(*fingerprint);
        log::warn!(
            "event=strike fingerprint={fingerprint} upstream={} started_ms={} ran_ms={} age_ms={} \
             cleared={is_cleared} count={count} source={source}",
            crash.name,
            crash.started_ms,
            ran_for.as_millis(),
            age.as_millis()
        );
    }

    fn broadcast(&self, reports: &[Report]) {
        let (hosts, now) = (self.shared.hosts(), Instant::now());
        for member in hosts.members().filter(|member| member.is_alive(now)) {
            self.shared.outbox.send(member.record.address, Body::Strikes(reports.to_vec()));
        }
    }

    /// Makes the ledger visible to all threads.
    fn publish(&self) {
        let ledger = Arc::new(self.ledger.clone());
        self.publish.send_replace(ledger);
        let culprits: Vec<Tag> = self.ledger.culprits().collect();
        self.shared.metrics.quarantined.set(culprits.len() as i64);
        for crash in culprits.iter().flat_map(|culprit| self.ledger.crashes_of(*culprit)) {
            self.scheduling.do_send(ClearSuspicion(crash.upstream));
        }
    }

    /// Clears the strikes of a request that was served, if its upstream is still running.
    fn settle(&mut self, served: Served, served_at: Instant) {
        let Served { fingerprint, upstream } = served;
        if self.ledger.has_crashed(upstream, served_at) {
            return;
        }
        let cleared = self.ledger.clear(fingerprint, served_at, Instant::now());
        if !cleared.is_empty() {
            let strikes = cleared.len();
            log::info!("event=strikes_cleared fingerprint={fingerprint} strikes={strikes}");
            self.broadcast(&cleared);
            self.publish();
        }
    }
}

impl Actor for Strikes {
    type Context = Context<Self>;

    fn started(&mut self, ctx: &mut Context<Self>) {
        ctx.run_interval(CHECK_INTERVAL, |actor, ctx| {
            guard(actor, ctx, |actor, _| {
                let registry = actor.shared.upstreams();
                for suspect in actor.suspects.take_crashed(&registry, Instant::now()) {
                    let Suspect { strike, broke_at: crashed_at, .. } = suspect;
                    actor.observe(Record { strike, crashed_at });
                }
            });
        });
    }
}

impl Supervised for Strikes {
    fn restarting(&mut self, _ctx: &mut Context<Self>) {
        self.ledger = Ledger::default();
        self.suspects = Suspects::default();
    }
}

impl Handler<Incoming> for Strikes {
    type Result = ();

    fn handle(&mut self, message: Incoming, ctx: &mut Context<Self>) {
        guard(self, ctx, |actor, _| {
            if let Body::Strikes(reports) = &message.0.body {
                actor.merge(reports, "peer");
            }
        });
    }
}

impl Handler<Record> for Strikes {
    type Result = ();

    fn handle(&mut self, message: Record, ctx: &mut Context<Self>) {
        guard(self, ctx, |actor, _| actor.observe(message));
    }
}

impl Handler<Watch> for Strikes {
    type Result = ();

    fn handle(&mut self, message: Watch, ctx: &mut Context<Self>) {
        let fingerprint = message.0.strike.fingerprint;
        guard(self, ctx, |actor, _| {
            if !actor.suspects.add(message.0) {
                log::warn!("event=suspect_dropped fingerprint={fingerprint} reason=too_many");
            }
        });
    }
}

impl Handler<Served> for Strikes {
    type Result = ();

    fn handle(&mut self, message: Served, ctx: &mut Context<Self>) {
        let served_at = Instant::now();
        ctx.run_later(SETTLING_TIME, move |actor, ctx| {
            guard(actor, ctx, |actor, _| actor.settle(message, served_at));
        });
    }
}
