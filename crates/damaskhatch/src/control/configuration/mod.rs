//! Holds the configuration in force and brings in newer ones.
//!
//! Some hosts of each domain watch the platform, the others pull from any peer
//! whose heartbeat names a higher revision. A withdrawn key spreads at once and
//! reaches the platform when that is back.

use std::collections::{HashMap, HashSet};
use std::sync::Arc;

use damaskhatch_policy::config::{Applied, Head, Snapshot, State};
use damaskhatch_policy::freshness::Freshness;
use damaskhatch_policy::sheet::Row;
use damaskhatch_store::error::Error;
use damaskhatch_store::prelude::{Client, Store};
use damaskhatch_wire::prelude::Body;
use tokio::sync::watch;

use crate::config_pull::{Foreign, Pulled, Source, pull};
use crate::control::Incoming;
use crate::control::dependency::Dependency;
use crate::peers::{Arrival, SharedCodec};
use crate::prelude::*;
use crate::shared::Shared;
use crate::supervise::guard;

pub mod archive;
mod handlers;
pub mod message;
mod reading;

pub use archive::{Archive, SharedArchive, respond};
pub use message::{Accept, Confirmations, GetConfirmations, GetRows, Issue, Pull, Rows, Withdraw};

/// How long one watch on the platform waits.
const WATCH_TIME: Duration = Duration::from_secs(5);
/// The same where the age of the configuration decides whether keys are good.
const FRESH_WATCH_TIME: Duration = Duration::from_secs(1);
/// The pause after a failed or needless look at the platform.
const WATCH_PAUSE: Duration = Duration::from_millis(500);
/// The pause after a failed look where the age of the configuration decides.
const FRESH_FAILED_PAUSE: Duration = Duration::from_millis(150);
/// The time between two looks at what peers have.
const PULL_INTERVAL: Duration = Duration::from_millis(100);
/// The pause before an unconfirmed withdrawal is sent again.
const WITHDRAW_RESEND: Duration = Duration::from_millis(200);
/// How long an unconfirmed withdrawal is sent again.
const WITHDRAW_LIFE: Duration = Duration::from_mins(5);
/// The pause between two attempts to save withdrawals in the platform.
const SAVE_INTERVAL: Duration = Duration::from_secs(1);

#[derive(Debug)]
struct Spread {
    since: Instant,
    sent: Instant,
    confirmed: HashSet<Tag>,
}

/// The actor that holds the configuration.
pub struct Configuration {
    shared: Shared,
    codec: SharedCodec,
    archive: SharedArchive,
    publish: watch::Sender<Arc<Snapshot>>,
    freshness: watch::Sender<Freshness>,
    store: Dependency,
    state: State,
    version: u64,
    pulling: bool,
    saving: bool,
    spreading: HashMap<String, Spread>,
}

impl std::fmt::Debug for Configuration {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Configuration").field("head", self.state.head()).finish_non_exhaustive()
    }
}

impl Configuration {
    /// Makes the actor; `publish` carries the snapshot to everybody.
    pub fn new(
        shared: Shared,
        codec: SharedCodec,
        archive: SharedArchive,
        publish: watch::Sender<Arc<Snapshot>>,
        freshness: watch::Sender<Freshness>,
    ) -> Self {
        Self {
            shared,
            codec,
            archive,
            publish,
            freshness,
            store: Dependency::new("store", "configuration"),
            state: State::default(),
            version: 0,
            pulling: false,
            saving: false,
            spreading: HashMap::new(),
        }
    }

    fn client(&self) -> Client {
        self.shared.store()
    }

    /// What the operators write in a form of their own, if they do.
    fn foreign(&self) -> Option<Foreign> {
        let catalogue = self.shared.deployment.catalogue?;
        Some(Foreign { catalogue, domains: self.shared.settings.host.domains.clone() })
    }

    /// Puts in force what was pulled, unless it is older than what is.
    fn take(&mut self, pulled: Pulled, source: &str) {
        let Pulled { head, version, rows, chunks, withdrawn } = pulled;
        self.version = self.version.max(version);
        let revision = head.revision;
        let mut changed = false;
        if let Some(rows) = rows
            && self.state.apply(head.clone(), rows) == Applied::InForce
        {
            log::info!("event=config_in_force revision={revision} source={source}");
            let mut archive = lock(&self.archive);
            archive.head = head;
            archive.chunks = chunks;
            changed = true;
        }
        for digest in withdrawn {
            changed |= self.state.withdraw(&digest);
        }
        if changed {
            self.publish();
        }
    }

    fn publish(&self) {
        let snapshot = self.state.snapshot();
        lock(&self.archive).withdrawn = snapshot.withdrawn().map(str::to_owned).collect();
        self.shared.metrics.revision.set(snapshot.revision as i64);
        self.publish.send_replace(snapshot);
    }

    /// Withdraws a key here; returns whether it was new.
    fn withdraw(&mut self, digest: &str) -> bool {
        let new = self.state.withdraw(digest);
        if new {
            let short = digest.get(..12).unwrap_or(digest);
            log::info!("event=key_withdrawn digest={short}");
            self.publish();
        }
        new
    }

    fn spread(&mut self, digest: &str) {
        let now = Instant::now();
        let own = HashSet::from([self.shared.host]);
        let spread = Spread { since: now, sent: now, confirmed: own };
        self.spreading.entry(digest.to_owned()).or_insert(spread);
        self.send_withdrawal(digest);
    }

    fn send_withdrawal(&self, digest: &str) {
        let Some(spread) = self.spreading.get(digest) else {
            return;
        };
        let hosts = self.shared.hosts();
        let waiting = hosts.members().filter(|m| !spread.confirmed.contains(&m.record.host));
        for member in waiting {
            let body = Body::Withdraw(digest.to_owned());
            self.shared.outbox.send(member.record.address, body);
        }
    }

    fn resend_withdrawals(&mut self) {
        let now = Instant::now();
        self.spreading.retain(|_, s| now.saturating_duration_since(s.since) < WITHDRAW_LIFE);
        let mut due = Vec::new();
        for (digest, spread) in &mut self.spreading {
            if now.saturating_duration_since(spread.sent) >= WITHDRAW_RESEND {
                spread.sent = now;
                due.push(digest.clone());
            }
        }
        due.iter().for_each(|digest| self.send_withdrawal(digest));
    }

    fn receive(&mut self, arrival: Arrival) {
        match arrival.body {
            Body::Withdraw(digest) => {
                self.withdraw(&digest);
                self.shared.outbox.send(arrival.source, Body::Withdrawn(digest));
            }
            Body::Withdrawn(digest) => {
                if let Some(spread) = self.spreading.get_mut(&digest) {
                    spread.confirmed.insert(arrival.from);
                }
            }
            _ => {}
        }
    }

    /// Writes withdrawals that the platform does not have yet.
    fn save_withdrawals(&mut self, ctx: &mut Context<Self>) {
        if self.saving || !self.state.has_unsaved_withdrawal() || !self.shared.is_reader() {
            return;
        }
        self.saving = true;
        let operation = format!("withdraw-{}", self.shared.next_request());
        let saved = self.change(ctx, operation, |state| {
            // Another host may have saved them; a revision that changes nothing only
            // gets in the way of an operator's.
            if state.has_unsaved_withdrawal() {
                Ok(state.with_row(None))
            } else {
                Err(Error::Missing)
            }
        });
        ctx.spawn(saved.map(|saved, actor, _ctx| {
            actor.saving = false;
            if let Err(error) = saved {
                log::debug!("event=withdrawals_unsaved error={error}");
            }
        }));
    }

    /// Brings this host up to the platform's revision, then writes the next one.
    fn change(
        &self,
        _ctx: &mut Context<Self>,
        operation: String,
        rows: impl FnOnce(&State) -> Result<Vec<Row>, Error> + 'static,
    ) -> ResponseActFuture<Self, Result<Head, Error>> {
        let client = self.client();
        let (after, wait) = (0, Duration::ZERO);
        let source = Source::Platform { client, foreign: None, after, wait };
        let known = self.known_chunks();
        let revision = self.state.head().revision;
        let pulled = async move { pull(source, revision, known).await };
        let written = pulled.into_actor(self).then(move |pulled, actor, _ctx| {
            let prepared = pulled.and_then(|pulled| {
                actor.take(pulled, "platform");
                Ok((rows(&actor.state)?, actor.state.head().revision))
            });
            async move {
                let (rows, base) = prepared?;
                Store::new(client).accept(&rows, base, &operation).await.map(|head| (head, rows))
            }
            .into_actor(actor)
        });
        Box::pin(written.map(|written, actor, _ctx| {
            let (head, rows) = written?;
            actor.take_written(&head, rows);
            Ok(head)
        }))
    }

    /// Puts in force what this host itself wrote.
    fn take_written(&mut self, head: &Head, rows: Vec<Row>) {
        let split = damaskhatch_policy::config::split(&rows);
        let texts = split.iter().map(|rows| damaskhatch_store::store::encode(rows));
        let chunks: HashMap<String, String> =
            texts.map(|text| (damaskhatch_store::store::digest(&text), text)).collect();
        // After a lost reply the head may be a later one, with rows this host has not read.
        if head.chunks.iter().all(|digest| chunks.contains_key(digest)) {
            let (head, version) = (head.clone(), 0);
            let rows = Some(rows);
            self.take(Pulled { head, version, rows, chunks, withdrawn: Vec::new() }, "operator");
        }
    }
}

fn lock(archive: &SharedArchive) -> std::sync::MutexGuard<'_, Archive> {
    archive.lock().unwrap_or_else(std::sync::PoisonError::into_inner)
}

impl Actor for Configuration {
    type Context = Context<Self>;

    fn started(&mut self, ctx: &mut Context<Self>) {
        self.watch(ctx);
        ctx.run_interval(PULL_INTERVAL, |actor, ctx| {
            guard(actor, ctx, |actor, ctx| {
                actor.pull_from_peer(ctx);
                actor.resend_withdrawals();
            });
        });
        ctx.run_interval(SAVE_INTERVAL, |actor, ctx| {
            guard(actor, ctx, Configuration::save_withdrawals);
        });
    }
}

impl Supervised for Configuration {
    /// The state stays: it only ever moves forward, and nothing derived hangs on it.
    fn restarting(&mut self, _ctx: &mut Context<Self>) {
        self.pulling = false;
        self.saving = false;
        self.version = 0;
    }
}

impl Handler<Incoming> for Configuration {
    type Result = ();

    fn handle(&mut self, message: Incoming, ctx: &mut Context<Self>) {
        guard(self, ctx, |actor, _| actor.receive(message.0));
    }
}
