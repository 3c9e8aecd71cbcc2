//! Follows the upstreams that register themselves in the store.
//!
//! Readers watch the store; the other hosts apply a peer's list.

use std::collections::HashMap;
use std::sync::Arc;

use damaskhatch_policy::registry::{Change, Entry, Registry};
use damaskhatch_store::error::{Error, Result};
use damaskhatch_store::message::{self, Item};
use tokio::sync::watch;

use crate::control::configuration::SharedArchive;
use crate::control::dependency::{Dependency, retry_delay};
use crate::control::follow::DIRECT_READ_AFTER;
use crate::deployment::Catalogue;
use crate::prelude::*;
use crate::shared::Shared;
use crate::supervise::guard;

/// How long one watch waits; a call without a response fails a second after that.
const WATCH_TIMEOUT: Duration = Duration::from_millis(1_500);
/// The pause after a change, so that many changes at once take few calls.
///
/// Together with a follower's query interval it is far below the 2 s after which nothing may be
/// sent to an upstream that is leaving.
const CHANGED_PAUSE: Duration = Duration::from_millis(200);
/// The pause after a failed read.
const FAILED_PAUSE: Duration = Duration::from_millis(300);
/// The time between two checks whether this host has to read the store.
const IDLE_PAUSE: Duration = Duration::from_millis(500);

/// The actor that follows registered upstreams.
#[derive(Debug)]
pub struct Listing {
    shared: Shared,
    catalogue: Catalogue,
    publish: watch::Sender<Arc<Registry>>,
    archive: SharedArchive,
    registry: Registry,
    /// The version of the store up to which the registry was read; `None` while this host does
    /// not read the store or has to read the complete list again.
    version: Option<u64>,
    /// The versions of malformed entries, by key, each of which is logged once.
    left_out: HashMap<String, u64>,
    store: Dependency,
}

/// A peer's list of upstreams, which may be newer than this host's.
#[derive(Debug, Message)]
#[rtype(result = "()")]
pub struct Offer {
    /// The store's version that the list is from.
    pub version: u64,
    /// The version after which `changes` holds all changes; `None` if it is the complete list.
    pub since: Option<u64>,
    /// The entries that are listed or have changed, by key, in the order of their changes.
    pub changes: Vec<(String, Change)>,
}

impl Listing {
    /// Creates the actor, which sends every new registry over `publish`.
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
            left_out: HashMap::new(),
            store: Dependency::new("store", "listing"),
        }
    }

    /// Reads the complete list first and watches for changes from then on.
    fn read_store(&mut self, ctx: &mut Context<Self>) {
        if self.version.is_some() && self.shared.is_settling() {
            // Of the hosts that start together, most would watch the list for a moment only.
            ctx.run_later(IDLE_PAUSE, Self::read_store);
            return;
        }
        // A list that was read may be empty, which hosts that follow another one learn from it.
        let reads_directly = self.registry.version() == 0
            || self.shared.config_age().is_none_or(|a| a > DIRECT_READ_AFTER);
        if !self.shared.is_reader() && !reads_directly {
            self.version = None;
            ctx.run_later(IDLE_PAUSE, Self::read_store);
            return;
        }
        let (client, version) = (self.shared.store("upstreams"), self.version);
        let prefix = self.catalogue.upstream_prefix;
        let read = async move {
            match version {
                None => client.list(prefix, false).await,
                Some(version) => client.watch_prefix(prefix, version, WATCH_TIMEOUT).await,
            }
        };
        ctx.spawn(read.into_actor(self).map(|read, actor, ctx| {
            let pause = actor.apply_read(read);
            ctx.run_later(pause, Self::read_store);
        }));
    }

    /// Applies the result of a read; returns the pause until the next one.
    fn apply_read(&mut self, read: Result<message::Listing>) -> Duration {
        match read {
            Ok(listing) => {
                self.store.record_result(None::<&Error>);
                let is_unchanged = listing.items.is_empty();
                self.apply_listing(listing);
                if is_unchanged { Duration::ZERO } else { CHANGED_PAUSE }
            }
            Err(Error::Missing) => {
                log::info!("event=listing_reread reason=history_dropped");
                self.version = None;
                CHANGED_PAUSE
            }
            Err(error) => {
                self.store.record_result(Some(&error));
                // Changes may have been lost with the connection of a failed watch.
                self.version = None;
                retry_delay(self.shared.is_reader(), FAILED_PAUSE)
            }
        }
    }

    /// Applies a complete list or a list of changes that was read from the store.
    fn apply_listing(&mut self, listing: message::Listing) {
        let is_complete = self.version.is_none();
        if is_complete {
            let listed = |key: &String| listing.items.iter().any(|(other, _)| other == key);
            self.left_out.retain(|key, _| listed(key));
        }
        let items = listing.items.into_iter();
        let changes = items.map(|(key, item)| {
            let change = self.decode(&key, item.as_ref());
            (key, change)
        });
        let changes: Vec<(String, Change)> = changes.collect();
        self.version = Some(listing.version);
        if is_complete {
            let entries = listed_entries(changes);
            log::info!("event=upstreams_read count={} version={}", entries.len(), listing.version);
            self.registry.replace(entries, listing.version);
            self.publish_registry();
            return;
        }
        for (key, change) in &changes {
            let state = match change {
                Change::Listed(entry) if entry.is_leaving => "leaving",
                Change::Listed(_) => "listed",
                Change::Removed => "removed",
            };
            let version = listing.version;
            log::info!("event=upstream_changed key={key} state={state} version={version}");
        }
        if self.registry.apply(changes, listing.version) {
            self.publish_registry();
        }
    }

    fn publish_registry(&self) {
        let registry = Arc::new(self.registry.clone());
        let mut archive = self.archive.lock().unwrap_or_else(std::sync::PoisonError::into_inner);
        archive.upstreams = Arc::clone(&registry);
        drop(archive);
        self.publish.send_replace(registry);
    }

    /// Applies a peer's list if it is newer and this host does not read the store itself.
    fn apply_offer(&mut self, offer: Offer) {
        let Offer { version, since, changes } = offer;
        if version <= self.registry.version() || self.version.is_some() {
            return;
        }
        let count = changes.len();
        match since {
            None => self.registry.replace(listed_entries(changes), version),
            Some(since) if since == self.registry.version() => {
                self.registry.apply(changes, version);
                self.registry.advance_version(version);
            }
            // The registry has changed since the request was sent; the next reply makes this
            // host request the list again.
            Some(_) => return,
        }
        let is_partial = since.is_some();
        log::info!("event=upstreams_followed count={count} partial={is_partial} version={version}");
        self.publish_registry();
    }

    /// Decodes an item of the store; an item that is malformed counts as removed.
    fn decode(&mut self, key: &str, item: Option<&Item>) -> Change {
        let decoded = item.map(|item| (self.catalogue.decode_upstream)(key, &item.value));
        let error = match decoded {
            Some(Ok(entry)) => {
                self.left_out.remove(key);
                return Change::Listed(entry);
            }
            Some(Err(error)) => error,
            None => {
                self.left_out.remove(key);
                return Change::Removed;
            }
        };
        let version = item.map_or(0, |item| item.version);
        if self.left_out.insert(key.to_owned(), version) != Some(version) {
            self.shared.metrics.left_out_entries.inc();
            log::warn!("event=upstream_entry_left_out key={key:?} version={version} error={error}");
        }
        Change::Removed
    }
}

/// The entries of a complete list, by key.
fn listed_entries(changes: Vec<(String, Change)>) -> HashMap<String, Entry> {
    let entries = changes.into_iter().filter_map(|(key, change)| match change {
        Change::Listed(entry) => Some((key, entry)),
        Change::Removed => None,
    });
    entries.collect()
}

impl Actor for Listing {
    type Context = Context<Self>;

    fn started(&mut self, ctx: &mut Context<Self>) {
        self.read_store(ctx);
    }
}

impl Handler<Offer> for Listing {
    type Result = ();

    fn handle(&mut self, offer: Offer, ctx: &mut Context<Self>) {
        guard(self, ctx, |actor, _| actor.apply_offer(offer));
    }
}

impl Supervised for Listing {
    fn restarting(&mut self, _ctx: &mut Context<Self>) {
        self.version = None;
    }
}
