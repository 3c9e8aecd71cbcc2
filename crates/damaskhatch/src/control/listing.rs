//! Follows the upstreams that register themselves in the store.

use std::collections::HashMap;
use std::sync::Arc;

use damaskhatch_policy::registry::{Change, Entry, Registry};
use damaskhatch_store::error::{Error, Result};
use damaskhatch_store::message::{self, Item};
use tokio::sync::watch;

use crate::control::configuration::SharedArchive;
use crate::control::dependency::{Dependency, retry_delay};
use crate::control::follow::ALONE_AFTER;
use crate::deployment::Catalogue;
use crate::prelude::*;
use crate::shared::Shared;
use crate::supervise::guard;

/// How long one watch waits; a silent one is noticed a second later.
const WATCH_TIME: Duration = Duration::from_millis(1_500);
/// The pause after a change, so that many changes at once take few calls.
///
/// With a follower's question it stays far below the two seconds after which nothing may
/// be sent to an upstream that is leaving.
const CHANGED_PAUSE: Duration = Duration::from_millis(200);
/// The pause after a failed read.
const FAILED_PAUSE: Duration = Duration::from_millis(300);
/// The time between two looks at whether this host should read at all.
const IDLE_PAUSE: Duration = Duration::from_millis(500);

/// The actor that follows registered upstreams.
#[derive(Debug)]
pub struct Listing {
    shared: Shared,
    catalogue: Catalogue,
    publish: watch::Sender<Arc<Registry>>,
    archive: SharedArchive,
    registry: Registry,
    /// The version of the store up to which the registry was read, while it is followed.
    version: Option<u64>,
    store: Dependency,
}

/// A list that a peer has and that may be newer.
#[derive(Debug, Message)]
#[rtype(result = "()")]
pub struct Offer {
    /// Its version.
    pub version: u64,
    /// The version after which `changes` are all changes; `None` if they are the whole list.
    pub since: Option<u64>,
    /// What is listed or has changed, by key and in order.
    pub changes: Vec<(String, Change)>,
}

impl Listing {
    /// Makes the actor; `publish` carries the registry to everybody.
    pub fn new(
        shared: Shared,
        catalogue: Catalogue,
        archive: SharedArchive,
        publish: watch::Sender<Arc<Registry>>,
    ) -> Self {
        Self {
            shared,
            catalogue,
            publish,
            archive,
            registry: Registry::default(),
            version: None,
            store: Dependency::new("store", "listing"),
        }
    }

    /// Reads everything, then only what changes.
    fn read(&mut self, ctx: &mut Context<Self>) {
        let is_alone =
            self.registry.is_empty() || self.shared.config_age().is_none_or(|a| a > ALONE_AFTER);
        if !self.shared.is_reader() && !is_alone {
            self.version = None;
            ctx.run_later(IDLE_PAUSE, Self::read);
            return;
        }
        let (client, version) = (self.shared.store(), self.version);
        let prefix = self.catalogue.upstream_prefix;
        let read = async move {
            match version {
                None => client.list(prefix, false).await,
                Some(version) => client.watch_prefix(prefix, version, WATCH_TIME).await,
            }
        };
        ctx.spawn(read.into_actor(self).map(|read, actor, ctx| {
            let pause = actor.take(read);
            ctx.run_later(pause, Self::read);
        }));
    }

    /// Takes in what was read; returns the pause until the next read.
    fn take(&mut self, read: Result<message::Listing>) -> Duration {
        let result = if read.is_ok() { "ok" } else { "failed" };
        self.shared.metrics.platform_calls.with_label_values(&[result]).inc();
        match read {
            Ok(listing) => {
                self.store.record_result(None::<&Error>);
                let is_quiet = listing.items.is_empty();
                self.apply(listing);
                if is_quiet { Duration::ZERO } else { CHANGED_PAUSE }
            }
            Err(Error::Missing) => {
                log::info!("event=listing_reread reason=history_gone");
                self.version = None;
                CHANGED_PAUSE
            }
            Err(error) => {
                self.store.record_result(Some(&error));
                // A watch that failed may have lost changes with its connection.
                self.version = None;
                retry_delay(self.shared.is_reader(), FAILED_PAUSE)
            }
        }
    }

    fn apply(&mut self, listing: message::Listing) {
        let is_whole = self.version.is_none();
        let items = listing.items.into_iter();
        let changes = items.map(|(key, item)| {
            let change = self.decode(&key, item.as_ref());
            (key, change)
        });
        let changes: Vec<(String, Change)> = changes.collect();
        self.version = Some(listing.version);
        if is_whole {
            let listed = listed(changes);
            log::info!("event=upstreams_read count={} version={}", listed.len(), listing.version);
            self.registry.replace(listed, listing.version);
            self.publish();
            return;
        }
        for (key, change) in &changes {
            let state = match change {
                Change::Listed(entry) if entry.is_leaving => "leaving",
                Change::Listed(_) => "listed",
                Change::Removed => "gone",
            };
            let version = listing.version;
            log::info!("event=upstream_changed key={key} state={state} version={version}");
        }
        if self.registry.apply(changes, listing.version) {
            self.publish();
        }
    }

    fn publish(&self) {
        let registry = Arc::new(self.registry.clone());
        let mut archive = self.archive.lock().unwrap_or_else(std::sync::PoisonError::into_inner);
        archive.upstreams = Arc::clone(&registry);
        drop(archive);
        self.publish.send_replace(registry);
    }

    /// Takes over a peer's list if it is newer than what this host read.
    fn follow(&mut self, offer: Offer) {
        let Offer { version, since, changes } = offer;
        if version <= self.registry.version() || self.version.is_some() {
            return;
        }
        let count = changes.len();
        match since {
            None => self.registry.replace(listed(changes), version),
            Some(since) if since == self.registry.version() => {
                self.registry.apply(changes, version);
                self.registry.advance_version(version);
            }
            // The list has changed since this host asked; it asks again.
            Some(_) => return,
        }
        let is_partial = since.is_some();
        log::info!("event=upstreams_followed count={count} partial={is_partial} version={version}");
        self.publish();
    }

    fn decode(&self, key: &str, item: Option<&Item>) -> Change {
        let Some(item) = item else { return Change::Removed };
        match (self.catalogue.decode_upstream)(key, &item.value) {
            Ok(entry) => Change::Listed(entry),
            Err(error) => {
                log::warn!("event=upstream_entry_left_out key={key} error={error}");
                Change::Removed
            }
        }
    }
}

/// The entries of a whole list by key.
fn listed(changes: Vec<(String, Change)>) -> HashMap<String, Entry> {
    let listed = changes.into_iter().filter_map(|(key, change)| match change {
        Change::Listed(entry) => Some((key, entry)),
        Change::Removed => None,
    });
    listed.collect()
}

impl Actor for Listing {
    type Context = Context<Self>;

    fn started(&mut self, ctx: &mut Context<Self>) {
        self.read(ctx);
    }
}

impl Handler<Offer> for Listing {
    type Result = ();

    fn handle(&mut self, offer: Offer, ctx: &mut Context<Self>) {
        guard(self, ctx, |actor, _| actor.follow(offer));
    }
}

impl Supervised for Listing {
    fn restarting(&mut self, _ctx: &mut Context<Self>) {
        self.version = None;
    }
}
