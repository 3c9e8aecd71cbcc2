//! Follows the upstreams that register themselves in the store.

use std::collections::HashMap;
use std::sync::Arc;

use damaskhatch_policy::registry::{Change, Entry, Registry};
use damaskhatch_store::error::{Error, Result};
use damaskhatch_store::message::{self, Item};
use tokio::sync::watch;

use crate::deployment::Catalogue;
use crate::prelude::*;
use crate::shared::Shared;

/// How long one watch waits; a silent one is noticed a second later.
const WATCH_TIME: Duration = Duration::from_millis(1_500);
/// The pause after a failed read.
const FAILED_PAUSE: Duration = Duration::from_millis(300);

/// The actor that follows registered upstreams.
#[derive(Debug)]
pub struct Listing {
    shared: Shared,
    catalogue: Catalogue,
    publish: watch::Sender<Arc<Registry>>,
    registry: Registry,
    version: Option<u64>,
    is_reachable: bool,
}

impl Listing {
    /// Makes the actor; `publish` carries the registry to everybody.
    pub fn new(
        shared: Shared,
        catalogue: Catalogue,
        publish: watch::Sender<Arc<Registry>>,
    ) -> Self {
        let registry = Registry::default();
        Self { shared, catalogue, publish, registry, version: None, is_reachable: true }
    }

    /// Reads everything, then only what changes.
    fn read(&self, ctx: &mut Context<Self>) {
        let (client, version) = (self.shared.store(), self.version);
        let prefix = self.catalogue.upstream_prefix;
        let read = async move {
            match version {
                None => client.list(prefix, false).await,
                Some(version) => client.changes(prefix, version, WATCH_TIME).await,
            }
        };
        ctx.spawn(read.into_actor(self).map(|read, actor, ctx| {
            let pause = actor.take(read);
            ctx.run_later(pause, |actor, ctx| actor.read(ctx));
        }));
    }

    /// Takes in what was read; returns the pause until the next read.
    fn take(&mut self, read: Result<message::Listing>) -> Duration {
        let result = if read.is_ok() { "ok" } else { "failed" };
        self.shared.metrics.platform_calls.with_label_values(&[result]).inc();
        match read {
            Ok(listing) => {
                self.note_reachable(None);
                self.apply(listing);
                Duration::ZERO
            }
            Err(Error::Missing) => {
                log::info!("event=listing_reread reason=history_gone");
                self.version = None;
                Duration::ZERO
            }
            Err(error) => {
                self.note_reachable(Some(&error));
                // A watch that failed may have lost changes with its connection.
                self.version = None;
                FAILED_PAUSE
            }
        }
    }

    fn note_reachable(&mut self, error: Option<&Error>) {
        if self.is_reachable != error.is_none() {
            self.is_reachable = error.is_none();
            match error {
                None => log::info!("event=dependency_regained what=store reader=listing"),
                Some(error) => {
                    log::warn!("event=dependency_lost what=store reader=listing error={error}");
                }
            }
        }
    }

    fn apply(&mut self, listing: message::Listing) {
        let is_whole = self.version.is_none();
        if !is_whole && listing.items.is_empty() {
            self.version = Some(listing.version);
            return;
        }
        let items = listing.items.into_iter();
        let changes = items.map(|(key, item)| {
            let change = self.decode(&key, item.as_ref());
            (key, change)
        });
        let changes: Vec<(String, Change)> = changes.collect();
        if is_whole {
            let listed = changes.into_iter().filter_map(|(key, change)| match change {
                Change::Listed(entry) => Some((key, entry)),
                Change::Gone => None,
            });
            let listed: HashMap<String, Entry> = listed.collect();
            log::info!("event=upstreams_read count={} version={}", listed.len(), listing.version);
            self.registry.replace(listed);
        } else {
            for (key, change) in &changes {
                let state = match change {
                    Change::Listed(entry) if entry.is_leaving => "leaving",
                    Change::Listed(_) => "listed",
                    Change::Gone => "gone",
                };
                let version = listing.version;
                log::info!("event=upstream_changed key={key} state={state} version={version}");
            }
            self.registry.apply(changes);
        }
        self.version = Some(listing.version);
        self.publish.send_replace(Arc::new(self.registry.clone()));
    }

    fn decode(&self, key: &str, item: Option<&Item>) -> Change {
        let Some(item) = item else { return Change::Gone };
        match (self.catalogue.decode_upstream)(key, &item.value) {
            Ok(entry) => Change::Listed(entry),
            Err(error) => {
                log::warn!("event=upstream_entry_left_out key={key} error={error}");
                Change::Gone
            }
        }
    }
}

impl Actor for Listing {
    type Context = Context<Self>;

    fn started(&mut self, ctx: &mut Context<Self>) {
        self.read(ctx);
    }
}

impl Supervised for Listing {
    fn restarting(&mut self, _ctx: &mut Context<Self>) {
        self.version = None;
    }
}
