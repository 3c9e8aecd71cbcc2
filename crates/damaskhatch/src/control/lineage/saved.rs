//! What the store keeps: the versions of streams, in batches, and which versions have served.
//!
//! A batch is a key of its own under the lease of its writer, so that it is written once, without a
//! read, and goes by itself after the life of its streams. The versions that have served are under
//! one key without a lease, written by one host of the fleet when they change.

use damaskhatch_policy::lineage::{STREAM_LIFE, Saved};
use damaskhatch_policy::rendezvous;
use damaskhatch_store::error::{Error, Result};
use damaskhatch_store::message::{Grant, Listing, Swap};

use super::{Lineage, by_version};
use crate::prelude::*;

/// The key prefix of the batches; host, incarnation and number follow.
const BATCHES_PREFIX: &str = "damaskhatch/lineage/";
/// The key of the versions that have served.
const SERVED_KEY: &str = "damaskhatch/served-versions";
/// The role by which rendezvous hashing selects the host that writes [`SERVED_KEY`].
const SERVED_ROLE: &str = "served-versions";
/// The least time between the begins of two writes of batches by a host.
const WRITE_INTERVAL: Duration = Duration::from_millis(50);
/// The pause after a failed read or write.
const RETRY_PAUSE: Duration = Duration::from_millis(500);
/// The least time between the begins of two reads of the batches.
const LOAD_INTERVAL: Duration = Duration::from_millis(500);
/// How long a lease serves for new batches; they outlive it by [`STREAM_LIFE`].
const LEASE_TIME: Duration = Duration::from_secs(15);
/// How long a recorder keeps streams that the first recorder should have saved.
const STANDBY_TIME: Duration = Duration::from_secs(5);

/// The progress of reads and writes.
#[derive(Debug, Default)]
pub struct State {
    /// Streams that are not saved, with their versions, and when they were told.
    unsaved: Vec<(Instant, (Tag, Tag))>,
    is_writing: bool,
    lease: Option<(Grant, Instant)>,
    /// The number of batches written by this process.
    batches: u64,
    is_loading: bool,
    /// When the last successful read began.
    loaded_at: Option<Instant>,
    /// The versions that have served, as this host knows the store to have them, and their version.
    served: Option<(Saved, u64)>,
    /// Whether a read or a write of the versions that have served is in progress.
    is_served_busy: bool,
}

impl State {
    /// Forgets what the store is known to have.
    pub fn forget(&mut self) {
        self.lease = None;
        self.served = None;
        self.loaded_at = None;
    }
}

impl Lineage {
    /// Saves streams, if this host is the first recorder of its domain, or keeps them for when it is.
    pub(super) fn save(&mut self, streams: Vec<(Tag, Tag)>, ctx: &mut Context<Self>) {
        let now = Instant::now();
        let fresh = |at: &Instant| now.saturating_duration_since(*at) < STANDBY_TIME;
        if self.recorders(self.shared.domain).first() != Some(&self.shared.host) {
            self.store.unsaved.retain(|(at, _)| fresh(at));
        }
        self.store.unsaved.extend(streams.into_iter().map(|stream| (now, stream)));
        self.write(ctx);
    }

    /// Writes all unsaved streams as one batch, unless a write is in progress.
    fn write(&mut self, ctx: &mut Context<Self>) {
        let is_first = self.recorders(self.shared.domain).first() == Some(&self.shared.host);
        if self.store.is_writing || self.store.unsaved.is_empty() || !is_first {
            return;
        }
        self.store.is_writing = true;
        let began = Instant::now();
        let batch = std::mem::take(&mut self.store.unsaved);
        let streams: Vec<_> = batch.iter().map(|(_, stream)| *stream).collect();
        let State { lease, batches, .. } = &mut self.store;
        *batches += 1;
        let (host, incarnation) = (self.shared.host, self.shared.incarnation);
        let key = format!("{BATCHES_PREFIX}{host}/{incarnation:x}-{batches:x}");
        let lease = lease.filter(|(_, at)| at.elapsed() < LEASE_TIME);
        let value = serde_json::to_string(&by_version(&streams)).expect("tags are numbers");
        let client = self.shared.store("lineage");
        let written = async move {
            let (lease, granted_at) = match lease {
                Some(lease) => lease,
                None => (client.grant_lease(LEASE_TIME + STREAM_LIFE).await?, began),
            };
            let swap = Swap { value, expect: 0, lease: Some(lease) };
            client.compare_and_swap(&key, &swap).await?;
            Ok::<_, Error>((lease, granted_at))
        };
        ctx.spawn(written.into_actor(self).map(move |written, actor, ctx| {
            let pause = match written {
                Ok(lease) => {
                    actor.store.lease = Some(lease);
                    WRITE_INTERVAL.saturating_sub(began.elapsed())
                }
                Err(error) => {
                    log::info!("event=lineage_not_saved streams={} error={error}", streams.len());
                    actor.store.lease = None;
                    actor.store.unsaved.splice(..0, batch);
                    RETRY_PAUSE
                }
            };
            ctx.run_later(pause, |actor, ctx| {
                actor.store.is_writing = false;
                actor.write(ctx);
            });
        }));
    }

    /// Reads the saved batches, and then answers the searches that wait for them.
    pub(super) fn load(&mut self, ctx: &mut Context<Self>) {
        if self.store.loaded_at.is_some_and(|at| at.elapsed() < LOAD_INTERVAL) {
            self.end_load();
            return;
        }
        if std::mem::replace(&mut self.store.is_loading, true) {
            return;
        }
        let began = Instant::now();
        let client = self.shared.store("lineage");
        let read = async move { client.list(BATCHES_PREFIX, false).await };
        ctx.spawn(read.into_actor(self).map(move |read, actor, _ctx| {
            actor.store.is_loading = false;
            match read {
                Ok(listing) => {
                    actor.store.loaded_at = Some(began);
                    actor.apply_batches(listing);
                }
                Err(error) => log::info!("event=lineage_not_loaded error={error}"),
            }
            actor.end_load();
        }));
    }

    fn apply_batches(&mut self, listing: Listing) {
        let now = Instant::now();
        let (batches, mut streams) = (listing.items.len(), 0);
        for (key, item) in listing.items {
            let value = item.map(|item| item.value).unwrap_or_default();
            let batch: Vec<(Tag, Vec<Tag>)> = match serde_json::from_str(&value) {
                Ok(batch) => batch,
                Err(error) => {
                    log::warn!("event=lineage_unreadable key={key} error={error}");
                    continue;
                }
            };
            for (version, begun) in batch {
                for stream in begun {
                    streams += usize::from(self.streams.record(stream, version, now));
                }
            }
        }
        log::info!("event=lineage_loaded batches={batches} new_streams={streams}");
    }

    fn end_load(&mut self) {
        self.searches.open.values_mut().for_each(|search| search.awaits_load = false);
        self.settle();
    }

    /// Reads which versions have served while this host did not see them, until that succeeds.
    pub(super) fn load_served(&mut self, ctx: &mut Context<Self>) {
        if std::mem::replace(&mut self.store.is_served_busy, true) {
            ctx.run_later(RETRY_PAUSE, Self::load_served);
            return;
        }
        let client = self.shared.store("lineage");
        let read = async move { read_served(client.get(SERVED_KEY).await) };
        ctx.spawn(read.into_actor(self).map(|read, actor, ctx| {
            actor.store.is_served_busy = false;
            match read {
                Ok(Some((saved, version))) => {
                    let now = Instant::now();
                    actor.served.restore(&saved, now);
                    actor.served.complete(now);
                    actor.store.served = Some((saved, version));
                    actor.observe(ctx);
                }
                // Nothing is known of the time before; it is over after the life of a stream.
                Ok(None) => actor.store.served = Some((Saved::new(), 0)),
                Err(error) => {
                    log::info!("event=served_versions_not_loaded error={error}");
                    ctx.run_later(RETRY_PAUSE, Self::load_served);
                }
            }
        }));
    }

    /// Saves which versions have served, if that has changed and this host is the one to do it.
    pub(super) fn save_served(&mut self, ctx: &mut Context<Self>) {
        let now = Instant::now();
        let eligible = self.shared.hosts().all_eligible(now);
        let writer = rendezvous::owner(Tag::of(SERVED_ROLE), eligible);
        if writer != Some(self.shared.host)
            || self.store.is_served_busy
            || !self.served.is_complete(now)
        {
            return;
        }
        let saved = self.served.to_save();
        let known = self.store.served.as_ref();
        if saved.is_empty() || known.is_some_and(|(known, _)| *known == saved) {
            return;
        }
        self.store.is_served_busy = true;
        let known = known.map(|(_, version)| *version);
        let client = self.shared.store("lineage");
        let value = serde_json::to_string(&saved).expect("tags are numbers");
        let written = async move {
            let expect = match known {
                Some(version) => version,
                None => {
                    read_served(client.get(SERVED_KEY).await)?.map_or(0, |(_, version)| version)
                }
            };
            client.compare_and_swap(SERVED_KEY, &Swap { value, expect, lease: None }).await
        };
        ctx.spawn(written.into_actor(self).map(move |written, actor, ctx| {
            match written {
                Ok(version) => {
                    log::info!("event=served_versions_saved versions={saved:?}");
                    actor.store.served = Some((saved, version));
                    actor.store.is_served_busy = false;
                }
                Err(error) => {
                    // Another host has written, or the response was lost.
                    log::info!("event=served_versions_not_saved error={error}");
                    actor.store.served = None;
                    ctx.run_later(RETRY_PAUSE, |actor, _ctx| actor.store.is_served_busy = false);
                }
            }
        }));
    }
}

/// Decodes the versions that have served and their key's version; `None` if there is no such key.
fn read_served(read: Result<damaskhatch_store::message::Item>) -> Result<Option<(Saved, u64)>> {
    match read {
        Ok(item) => {
            let saved = serde_json::from_str(&item.value)
                .map_err(|error| Error::Malformed(format!("{SERVED_KEY}: {error}")))?;
            Ok(Some((saved, item.version)))
        }
        Err(Error::Missing) => Ok(None),
        Err(error) => Err(error),
    }
}
