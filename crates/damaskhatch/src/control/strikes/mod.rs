//! Records the strikes against requests that crash upstreams, and shares them with all hosts.
//!
//! A strike is sent to every live host at once. Datagrams get lost and hosts start later, so
//! hosts also compare digests of what they know and pull what they lack. The requests to which
//! crashes are attributed are saved in the store as well, for a fleet that restarts as a whole.
//! Complete responses to requests with strikes go the same ways.

mod saved;

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::Arc;

use damaskhatch_policy::strike::{Fingerprints, Ledger, Proof, Proven, Report, Strike};
use damaskhatch_policy::suspect::{Suspect, Suspects};
use damaskhatch_wire::prelude::Body;
use rand::seq::IteratorRandom;
use tokio::sync::watch;

use crate::control::scheduling::{ClearSuspicion, Scheduling};
use crate::control::{Incoming, on_restore};
use crate::peers::{SharedCodec, query};
use crate::prelude::*;
use crate::shared::Shared;
use crate::supervise::guard;

/// The time between two comparisons of strikes with another host.
///
/// A started host must know all strikes well within 3 s, and a comparison takes 54 bytes.
const COMPARE_INTERVAL: Duration = Duration::from_secs(1);
/// The time between two checks of the suspects against the registry, and of responses for theirs.
const CHECK_INTERVAL: Duration = Duration::from_millis(250);
/// How long an upstream must outlive a response for it to clear the request of its strikes.
const SETTLING_TIME: Duration = Duration::from_secs(2);
/// The maximum number of proofs in a message, which fits a datagram.
const MAX_PROOFS: usize = 64;

/// Records the strikes of a request that this host observed; once answered, every thread knows them.
#[derive(Debug, Message)]
#[rtype(result = "()")]
pub struct Record {
    /// The strikes, of the request and of the parts of its prompt.
    pub strikes: Vec<Strike>,
    /// When the attempt at the crashed upstream broke off.
    pub crashed_at: Instant,
}

/// Watches an attempt that may have crashed its upstream.
#[derive(Debug, Message)]
#[rtype(result = "()")]
pub struct Watch(pub Suspect);

/// Reports a complete response to a request.
#[derive(Debug, Clone, Message)]
#[rtype(result = "()")]
pub struct Served {
    /// The request and the parts of its prompt.
    pub fingerprints: Fingerprints,
    /// The upstream that responded.
    pub upstream: Tag,
}

/// Clears the strikes of a fingerprint at an operator's request; returns how many there were.
#[derive(Debug, Clone, Copy, Message)]
#[rtype(result = "usize")]
pub struct Lift(pub Tag);

/// The channels and codec that the actor shares with the host's other parts.
#[derive(Debug)]
pub struct Channels {
    /// Seals the queries to other hosts.
    pub codec: SharedCodec,
    /// Publishes the ledger to all threads, and to other hosts that pull it.
    pub publish: watch::Sender<Arc<Ledger>>,
}

/// The actor that records which requests crash upstreams.
#[derive(Debug)]
pub struct Strikes {
    shared: Shared,
    scheduling: Addr<Scheduling>,
    channels: Channels,
    ledger: Ledger,
    /// Attempts that may have crashed their upstream.
    suspects: Suspects,
    /// The complete responses whose upstreams may still turn out to have crashed, oldest first.
    settling: VecDeque<(Instant, Served)>,
    /// Requests and parts of prompts under which responses were completed.
    proven: Proven,
    is_pulling: bool,
    store: saved::State,
}

impl Strikes {
    /// Creates the actor, without any strikes.
    pub fn new(shared: Shared, scheduling: Addr<Scheduling>, channels: Channels) -> Self {
        Self {
            shared,
            scheduling,
            channels,
            ledger: Ledger::default(),
            suspects: Suspects::default(),
            settling: VecDeque::new(),
            proven: Proven::default(),
            is_pulling: false,
            store: saved::State::default(),
        }
    }

    /// Records strikes that this host observed and sends them to every live host.
    fn observe(&mut self, record: Record, ctx: &mut Context<Self>) {
        let now = Instant::now();
        let Record { strikes, crashed_at } = record;
        let age = now.saturating_duration_since(crashed_at);
        let strikes = strikes.into_iter().filter(|own| !self.proven.contains(own.fingerprint, now));
        let reports = strikes.map(|strike| Report { strike, age, is_cleared: false });
        let new: Vec<Report> = reports.filter(|report| self.ledger.record(report, now)).collect();
        if new.is_empty() {
            return;
        }
        self.shared.metrics.strikes.inc();
        new.iter().for_each(|report| self.log(report, "observed"));
        self.broadcast(&new);
        self.testify(new.iter().map(|report| report.strike.fingerprint), now);
        self.publish(true, ctx);
    }

    /// Merges what another host or the store knows.
    fn merge(&mut self, reports: &[Report], source: &str, ctx: &mut Context<Self>) {
        let now = Instant::now();
        let is_new = |report: &&Report| self.ledger.record(report, now);
        let new: Vec<Report> = reports.iter().filter(is_new).cloned().collect();
        new.iter().for_each(|report| self.log(report, source));
        if !new.is_empty() {
            self.testify(new.iter().map(|report| report.strike.fingerprint), now);
            // Each domain's readers save it, in case the host that observed it has gone since.
            self.publish(self.shared.is_reader(), ctx);
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

    /// Records which struck fingerprints this host knows complete responses under, and tells all live
    /// hosts; returns false if none of that is new.
    fn testify(&mut self, struck: impl Iterator<Item = Tag>, now: Instant) -> bool {
        let mut proofs = Vec::new();
        for fingerprint in struck {
            let Some(completed_at) = self.proven.latest(fingerprint, now) else { continue };
            if self.ledger.prove(fingerprint, completed_at, now) {
                let age = now.saturating_duration_since(completed_at);
                proofs.push(Proof { fingerprint, age });
            }
        }
        if proofs.is_empty() {
            return false;
        }
        let hosts = self.shared.hosts();
        for member in hosts.members().filter(|member| member.is_alive(now)) {
            self.send_proofs(member.record.address, &proofs);
        }
        true
    }

    fn send_proofs(&self, to: SocketAddr, proofs: &[Proof]) {
        for proofs in proofs.chunks(MAX_PROOFS) {
            self.shared.outbox.send(to, Body::Proofs(proofs.to_vec()));
        }
    }

    /// Records complete responses that another host or the store knows of.
    fn accept(&mut self, proofs: &[Proof], source: &str, ctx: &mut Context<Self>) {
        let now = Instant::now();
        let mut has_changed = false;
        for Proof { fingerprint, age } in proofs {
            let Some(completed_at) = now.checked_sub(*age) else { continue };
            // The strikes may come later than the proof.
            self.proven.record(*fingerprint, completed_at);
            if self.ledger.prove(*fingerprint, completed_at, now) {
                has_changed = true;
                log::info!(
                    "event=proof fingerprint={fingerprint} age_ms={} source={source}",
                    age.as_millis()
                );
            }
        }
        if has_changed {
            self.publish(self.shared.is_reader(), ctx);
        }
    }

    /// Tells all live hosts of changed strikes.
    fn broadcast(&self, changed: &[Report]) {
        let (hosts, now) = (self.shared.hosts(), Instant::now());
        // A message fits a datagram if the names of upstreams have up to a hundred bytes.
        let messages = self.ledger.messages(changed, now);
        for member in hosts.members().filter(|member| member.is_alive(now)) {
            for reports in &messages {
                self.shared.outbox.send(member.record.address, Body::Strikes(reports.clone()));
            }
        }
    }

    /// Makes the ledger visible to all threads and peers, and saves it if `may_save`.
    fn publish(&mut self, may_save: bool, ctx: &mut Context<Self>) {
        self.channels.publish.send_replace(Arc::new(self.ledger.clone()));
        for crash in self.ledger.culprits().flat_map(|culprit| self.ledger.crashes_of(culprit)) {
            self.scheduling.do_send(ClearSuspicion(crash.upstream));
        }
        if may_save {
            self.save(ctx);
        }
    }

    /// Settles the responses that are old enough.
    fn settle_due(&mut self, ctx: &mut Context<Self>) {
        let now = Instant::now();
        let is_due = |(served_at, _): &mut (Instant, Served)| {
            now.saturating_duration_since(*served_at) >= SETTLING_TIME
        };
        while let Some((served_at, served)) = self.settling.pop_front_if(is_due) {
            self.settle(&served, served_at, ctx);
        }
    }

    /// Clears the strikes of a request that was served, if its upstream is still running.
    fn settle(&mut self, served: &Served, served_at: Instant, ctx: &mut Context<Self>) {
        let Served { fingerprints, upstream } = served;
        if self.ledger.has_crashed(*upstream, served_at) {
            return;
        }
        let now = Instant::now();
        fingerprints.all().for_each(|own| self.proven.record(own, served_at));
        if self.testify(fingerprints.all(), now) {
            self.publish(true, ctx);
        }
        for fingerprint in fingerprints.all() {
            self.clear(fingerprint, served_at, "served", ctx);
        }
    }

    /// Clears the strikes for crashes before a moment on all hosts; returns how many there were.
    fn clear(
        &mut self,
        fingerprint: Tag,
        before: Instant,
        reason: &str,
        ctx: &mut Context<Self>,
    ) -> usize {
        let cleared = self.ledger.clear(fingerprint, before, Instant::now());
        let strikes = cleared.len();
        if strikes > 0 {
            log::info!(
                "event=strikes_cleared fingerprint={fingerprint} strikes={strikes} reason={reason}"
            );
            self.broadcast(&cleared);
            self.publish(true, ctx);
        }
        strikes
    }

    /// Sends the digest of this host's strikes, and its proofs, to another host chosen at random.
    fn compare(&mut self) {
        let now = Instant::now();
        self.ledger.remove_expired(now);
        let culprits = self.ledger.culprits();
        let refused = culprits.filter(|culprit| self.ledger.refused_for(*culprit, now).is_some());
        self.shared.metrics.quarantined.set(refused.count() as i64);
        let hosts = self.shared.hosts();
        let alive = hosts.members().filter(|member| member.is_alive(now));
        if let Some(member) = alive.choose(&mut rand::rng()) {
            let body = Body::StrikeDigest { digest: self.ledger.digest(), is_reply: false };
            self.shared.outbox.send(member.record.address, body);
            let proofs = self.ledger.proofs(now).sample(&mut rand::rng(), MAX_PROOFS);
            self.send_proofs(member.record.address, &proofs);
        }
    }

    /// Pulls the strikes of a host that knows others than this one.
    fn pull(&mut self, from: SocketAddr, ctx: &mut Context<Self>) {
        if std::mem::replace(&mut self.is_pulling, true) {
            return;
        }
        let own = self.shared.settings.host.peer.ip();
        let codec = SharedCodec::clone(&self.channels.codec);
        let metrics = self.shared.metrics.clone();
        let pulled = async move { query(own, from, &codec, &metrics, Body::GetStrikes).await };
        ctx.spawn(pulled.into_actor(self).map(move |pulled, actor, ctx| {
            actor.is_pulling = false;
            match pulled {
                Ok(Body::Strikes(reports)) => actor.merge(&reports, "peer", ctx),
                Ok(_other) => log::warn!("event=strikes_not_pulled peer={from} reason=not_strikes"),
                Err(error) => log::info!("event=strikes_not_pulled peer={from} error={error}"),
            }
        }));
    }
}

impl Actor for Strikes {
    type Context = Context<Self>;

    fn started(&mut self, ctx: &mut Context<Self>) {
        self.load(ctx);
        on_restore(&self.shared.era, ctx, Self::save_again);
        ctx.run_interval(COMPARE_INTERVAL, |actor, ctx| {
            guard(actor, ctx, |actor, _| actor.compare());
        });
        ctx.run_interval(CHECK_INTERVAL, |actor, ctx| {
            guard(actor, ctx, |actor, ctx| {
                let registry = actor.shared.upstreams();
                for suspect in actor.suspects.take_crashed(&registry, Instant::now()) {
                    let Suspect { strike, broke_at: crashed_at, .. } = suspect;
                    actor.observe(Record { strikes: vec![strike], crashed_at }, ctx);
                }
                actor.settle_due(ctx);
            });
        });
    }
}

impl Supervised for Strikes {
    fn restarting(&mut self, _ctx: &mut Context<Self>) {
        // The store and the other hosts know the strikes; `started` reads them again.
        self.ledger = Ledger::default();
        self.suspects = Suspects::default();
        self.settling = VecDeque::new();
        self.proven = Proven::default();
        self.is_pulling = false;
        self.store = saved::State::default();
    }
}

impl Handler<Incoming> for Strikes {
    type Result = ();

    fn handle(&mut self, message: Incoming, ctx: &mut Context<Self>) {
        let arrival = message.0;
        guard(self, ctx, |actor, ctx| match arrival.body {
            Body::Strikes(reports) => actor.merge(&reports, "peer", ctx),
            Body::Proofs(proofs) => actor.accept(&proofs, "peer", ctx),
            Body::StrikeDigest { digest, is_reply } if digest != actor.ledger.digest() => {
                if !is_reply {
                    let digest = actor.ledger.digest();
                    let body = Body::StrikeDigest { digest, is_reply: true };
                    actor.shared.outbox.send(arrival.source, body);
                }
                actor.pull(arrival.source, ctx);
            }
            _ => {}
        });
    }
}

impl Handler<Record> for Strikes {
    type Result = ();

    fn handle(&mut self, message: Record, ctx: &mut Context<Self>) {
        guard(self, ctx, |actor, ctx| actor.observe(message, ctx));
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

    fn handle(&mut self, message: Served, _ctx: &mut Context<Self>) {
        self.settling.push_back((Instant::now(), message));
    }
}

impl Handler<Lift> for Strikes {
    type Result = usize;

    fn handle(&mut self, message: Lift, ctx: &mut Context<Self>) -> usize {
        self.clear(message.0, Instant::now(), "operator", ctx)
    }
}
