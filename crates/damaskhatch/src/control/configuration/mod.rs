//! Holds the configuration in force and replaces it with newer revisions.
//!
//! Some hosts of each domain watch the store; the others pull from any peer
//! whose heartbeat names a higher revision. A key withdrawal is sent to all hosts
//! at once and is saved in the store as soon as the store is reachable.

use std::collections::{HashMap, HashSet};
use std::sync::Arc;

use damaskhatch_policy::config::{Applied, Head, Snapshot, State};
use damaskhatch_policy::freshness::{BootTime, Freshness};
use damaskhatch_policy::sheet::Row;
use damaskhatch_store::error::Error;
use damaskhatch_store::prelude::{Client, Store};
use damaskhatch_wire::prelude::Body;
use tokio::sync::watch;

use crate::clock::boot_time;
use crate::config_pull::{self, Cost, Evacuations, Foreign, Pulled, Source, encode_chunks};
use crate::control::Incoming;
use crate::control::dependency::Dependency;
use crate::control::evacuation;
use crate::peers::{Arrival, SharedCodec};
use crate::prelude::*;
use crate::shared::Shared;
use crate::supervise::guard;

pub mod archive;
mod handlers;
pub mod message;
mod reading;
mod restored;

use archive::lock;
pub use archive::{Archive, SharedArchive, respond};
pub use message::{Accept, Confirmations, GetConfirmations, GetRows, Issue, Pull, Rows, Withdraw};
use restored::Lost;

/// How long one watch on the store waits for a change.
const WATCH_TIMEOUT: Duration = Duration::from_secs(5);
/// How long one watch waits where keys are accepted only while the configuration is fresh.
const FRESHNESS_WATCH_TIMEOUT: Duration = Duration::from_secs(1);
/// How long the first watch waits on a host that takes over from a reader, whose configuration is
/// already old.
const FIRST_WATCH_TIMEOUT: Duration = Duration::from_millis(1);
/// The pause after a read that failed or found no configuration, and between two checks
/// whether this host has to read at all.
const WATCH_PAUSE: Duration = Duration::from_millis(500);
/// The pause after a failed read where keys are accepted only while the configuration is fresh.
const FRESHNESS_RETRY_PAUSE: Duration = Duration::from_millis(150);
/// The time between two checks for a peer with a newer configuration.
const PULL_INTERVAL: Duration = Duration::from_millis(100);
/// The number of peers that one pull asks in turn, so that peers that do not answer hold up the
/// choice of others by at most a few seconds.
const MAX_PEERS_PER_PULL: usize = 4;
/// The number of pulls that may fail in a row before a host reads the store instead.
///
/// Pulls fail within a moment where the peers are busy, and after seconds where they do not answer.
const MAX_FAILED_PULLS: u32 = 10;
/// The time after which a withdrawal is sent again to hosts that have not confirmed it.
const WITHDRAWAL_RESEND_INTERVAL: Duration = Duration::from_millis(200);
/// How long a withdrawal is resent to hosts that have not confirmed it.
const WITHDRAWAL_TTL: Duration = Duration::from_mins(5);
/// The pause between two attempts to save withdrawals in the store.
const SAVE_INTERVAL: Duration = Duration::from_secs(1);

/// Why a started host refuses changes after a restore of the store.
const HELD_BACK: &str = "the store was restored, and may lack the newest configuration";

/// A withdrawal that is sent to all hosts.
#[derive(Debug)]
struct Broadcast {
    started_at: Instant,
    sent_at: Instant,
    /// The hosts that have applied it, this one included.
    confirmed: HashSet<Tag>,
}

/// The channels on which the configuration's actor publishes to all threads.
#[derive(Debug)]
pub struct Channels {
    /// The configuration in force.
    pub config: watch::Sender<Arc<Snapshot>>,
    /// When it was last confirmed to be the newest.
    pub freshness: watch::Sender<Freshness>,
    /// Until when a configuration may be held back that was read from a restored store.
    pub held_until: watch::Sender<Option<BootTime>>,
}

/// The actor that holds the configuration.
pub struct Configuration {
    shared: Shared,
    codec: SharedCodec,
    archive: SharedArchive,
    publish: Channels,
    store: Dependency,
    /// What this host knows of restores of the store.
    restored: restored::State,
    state: State,
    /// The version after which the store is watched; 0 makes the next read a plain one.
    version: u64,
    /// Whether the last check had this host read the store.
    is_reading: bool,
    is_pulling: bool,
    /// The number of pulls that failed since one succeeded.
    failed_pulls: u32,
    is_saving: bool,
    /// The withdrawals that are still resent, by the digest of the key.
    broadcasts: HashMap<String, Broadcast>,
}

impl std::fmt::Debug for Configuration {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Configuration").field("head", self.state.head()).finish_non_exhaustive()
    }
}

impl Configuration {
    /// Creates the actor, which sends every new snapshot over `publish`.
    pub fn new(
        shared: Shared,
        codec: SharedCodec,
        archive: SharedArchive,
        publish: Channels,
    ) -> Self {
        Self {
            shared,
            codec,
            archive,
            publish,
            store: Dependency::new("store", "configuration"),
            restored: restored::State::default(),
            state: State::default(),
            version: 0,
            is_reading: false,
            is_pulling: false,
            failed_pulls: 0,
            is_saving: false,
            broadcasts: HashMap::new(),
        }
    }

    fn client(&self) -> Client {
        self.shared.store("configuration")
    }

    /// The configuration in the operators' own format; `None` if they use the sheet.
    fn foreign(&self) -> Option<Foreign> {
        let catalogue = self.shared.deployment.catalogue?;
        Some(Foreign { catalogue, domains: self.shared.settings.host.domains.clone() })
    }

    /// Puts a pulled configuration in force, unless one as new or newer already is.
    ///
    /// Its withdrawals are applied in either case.
    fn apply_pulled(&mut self, pulled: Pulled, source: impl std::fmt::Display) {
        let Pulled { head, version, rows, chunks, withdrawn, evacuations, cost, is_change: _ } =
            pulled;
        evacuation::learn(&self.shared, evacuations);
        self.version = self.version.max(version);
        let revision = head.revision;
        let mut changed = false;
        let started = Instant::now();
        if let Some(rows) = rows
            && self.state.apply(head.clone(), rows) == Applied::InForce
        {
            log::info!(
                "event=config_in_force revision={revision} source={source} bytes={} read_ms={} \
                 decode_ms={} index_ms={}",
                cost.bytes,
                cost.reading.as_millis(),
                cost.decoding.as_millis(),
                started.elapsed().as_millis()
            );
            let mut archive = lock(&self.archive);
            archive.head = head;
            archive.chunks = chunks;
            archive.incoming.clear();
            changed = true;
        }
        for digest in withdrawn {
            changed |= self.state.withdraw(&digest);
        }
        if changed {
            self.publish_snapshot();
        }
    }

    fn publish_snapshot(&self) {
        let snapshot = self.state.snapshot();
        lock(&self.archive).withdrawn = snapshot.withdrawn().map(str::to_owned).collect();
        self.shared.metrics.revision.set(snapshot.revision as i64);
        self.publish.config.send_replace(snapshot);
    }

    /// Withdraws a key on this host; returns false if it was already withdrawn.
    fn withdraw(&mut self, digest: &str) -> bool {
        let is_new = self.state.withdraw(digest);
        if is_new {
            let short = digest.get(..12).unwrap_or(digest);
            log::info!("event=key_withdrawn digest={short}");
            self.publish_snapshot();
        }
        is_new
    }

    /// Sends a withdrawal to all hosts, and again to those that do not confirm it.
    fn broadcast_withdrawal(&mut self, digest: &str) {
        let now = Instant::now();
        let own = HashSet::from([self.shared.host]);
        let broadcast = Broadcast { started_at: now, sent_at: now, confirmed: own };
        self.broadcasts.entry(digest.to_owned()).or_insert(broadcast);
        self.send_withdrawal(digest);
    }

    fn send_withdrawal(&self, digest: &str) {
        let Some(broadcast) = self.broadcasts.get(digest) else {
            return;
        };
        let hosts = self.shared.hosts();
        let unconfirmed = hosts.members().filter(|m| !broadcast.confirmed.contains(&m.record.host));
        for member in unconfirmed {
            let body = Body::Withdraw(digest.to_owned());
            self.shared.outbox.send(member.record.address, body);
        }
    }

    fn resend_withdrawals(&mut self) {
        let now = Instant::now();
        self.broadcasts.retain(|_, b| now.saturating_duration_since(b.started_at) < WITHDRAWAL_TTL);
        let mut due = Vec::new();
        for (digest, broadcast) in &mut self.broadcasts {
            if now.saturating_duration_since(broadcast.sent_at) >= WITHDRAWAL_RESEND_INTERVAL {
                broadcast.sent_at = now;
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
                if let Some(broadcast) = self.broadcasts.get_mut(&digest) {
                    broadcast.confirmed.insert(arrival.from);
                }
            }
            _ => {}
        }
    }

    /// Writes the withdrawals to the store that it does not have yet.
    fn save_withdrawals(&mut self, ctx: &mut Context<Self>) {
        if self.is_saving || !self.state.has_unsaved_withdrawal() || !self.shared.is_reader() {
            return;
        }
        self.is_saving = true;
        let operation = format!("withdraw-{}", self.shared.next_request());
        let saved = self.write_revision(ctx, operation, |state| {
            // Another host may have saved them meanwhile. A revision without a change is not
            // written, since it would supersede the base of an operator's change.
            if state.has_unsaved_withdrawal() {
                Ok(state.with_row(None))
            } else {
                Err(Error::Missing)
            }
        });
        ctx.spawn(saved.map(|saved, actor, _ctx| {
            actor.is_saving = false;
            if let Err(error) = saved {
                log::debug!("event=withdrawals_unsaved error={error}");
            }
        }));
    }

    /// Applies the store's newest revision, then writes the next one with `rows`.
    fn write_revision(
        &self,
        _ctx: &mut Context<Self>,
        operation: String,
        rows: impl FnOnce(&State) -> Result<Vec<Row>, Error> + 'static,
    ) -> ResponseActFuture<Self, Result<Head, Error>> {
        let client = self.client();
        let (after, wait) = (0, Duration::ZERO);
        let source = Source::Platform { client: client.clone(), foreign: None, after, wait };
        let archive = SharedArchive::clone(&self.archive);
        let revision = self.state.head().revision;
        let (records, sent_at) = (self.unread_records(), boot_time());
        let read = async move { restored::read(source, revision, archive, records).await };
        let written = read.into_actor(self).then(move |read, actor, _ctx| {
            let read = read.map_err(|error| match error {
                config_pull::Error::Store(error) => error,
                other => Error::Unreachable(other.to_string()),
            });
            let prepared = read.and_then(|read| {
                let lost = actor.lost_head(&read.pulled);
                actor.apply_read(read, sent_at);
                if !actor.restored.held.is_empty() {
                    return Err(Error::Unreachable(HELD_BACK.to_owned()));
                }
                Ok((rows(&actor.state)?, actor.state.head().revision, lost))
            });
            async move {
                let (rows, base, lost) = prepared?;
                if let Some(Lost { head, rows, version }) = lost {
                    Store::new(client.clone()).write_again(&head, &rows, version).await?;
                }
                Store::new(client).accept(&rows, base, &operation).await.map(|head| (head, rows))
            }
            .into_actor(actor)
        });
        Box::pin(written.map(|written, actor, _ctx| {
            let (head, rows) = written?;
            actor.apply_written(&head, rows);
            Ok(head)
        }))
    }

    /// Puts in force a revision that this host wrote.
    fn apply_written(&mut self, head: &Head, rows: Vec<Row>) {
        let (_head, chunks) = encode_chunks(head.revision, &rows, &self.archive);
        // If the response to an earlier attempt was lost, the head may belong to a later revision,
        // whose rows this host has not read.
        if head.chunks.iter().all(|digest| chunks.contains_key(digest)) {
            let (head, version) = (head.clone(), 0);
            let rows = Some(rows);
            let (withdrawn, evacuations) = (Vec::new(), Evacuations::Unknown);
            let cost = Cost::default();
            let is_change = false;
            let written =
                Pulled { head, version, rows, chunks, withdrawn, evacuations, is_change, cost };
            self.apply_pulled(written, "operator");
        }
    }
}

impl Actor for Configuration {
    type Context = Context<Self>;

    fn started(&mut self, ctx: &mut Context<Self>) {
        self.watch_store(ctx);
        ctx.run_interval(PULL_INTERVAL, |actor, ctx| {
            guard(actor, ctx, |actor, ctx| {
                actor.pull_from_peers(ctx);
                actor.resend_withdrawals();
            });
        });
        ctx.run_interval(SAVE_INTERVAL, |actor, ctx| {
            guard(actor, ctx, Configuration::save_withdrawals);
            guard(actor, ctx, Configuration::record_era);
        });
    }
}

impl Supervised for Configuration {
    /// Keeps the state: its revision only ever rises, and no other state is derived from it.
    fn restarting(&mut self, _ctx: &mut Context<Self>) {
        self.is_pulling = false;
        self.is_saving = false;
        self.restored.is_recording = false;
        self.version = 0;
    }
}

impl Handler<Incoming> for Configuration {
    type Result = ();

    fn handle(&mut self, message: Incoming, ctx: &mut Context<Self>) {
        guard(self, ctx, |actor, _| actor.receive(message.0));
    }
}
