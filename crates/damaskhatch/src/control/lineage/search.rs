//! Finds the version of a stream that a host does not know.

use std::collections::HashMap;
use std::net::SocketAddr;

use damaskhatch_wire::prelude::Body;
use tokio::sync::oneshot;

use super::{Find, Lineage};
use crate::prelude::*;
use crate::shared::Shared;
use crate::supervise::guard;

/// The time after which a query without a reply is sent again.
const RESEND_INTERVAL: Duration = Duration::from_millis(40);
/// The time without a reply after which a recorder no longer decides when a search ends.
///
/// A host that has just ended counts as alive for longer than callers wait. A host that is only slow,
/// or whose replies are lost twice, replies within this time.
const SILENT_AFTER: Duration = Duration::from_millis(120);
/// How long a query may take, a read of the store included.
const FIND_TIMEOUT: Duration = Duration::from_millis(500);

/// Who asked for the version of a stream.
#[derive(Debug)]
pub(super) enum Asker {
    /// A request of this host, to a service.
    Request(oneshot::Sender<Option<Tag>>, Tag),
    /// Another host, under the number of its query.
    Host(SocketAddr, u64),
}

/// Whether a search waits for the recorders that have not replied.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Recorders {
    /// It does.
    Awaited,
    /// They are silent, and the store is being read in their place.
    Silent,
    /// The store has been read in their place.
    Replaced,
}

/// A query for a stream that this host does not know yet.
#[derive(Debug)]
pub(super) struct Search {
    /// `None` if the caller names none.
    pub(super) stream: Option<Tag>,
    pub(super) asker: Asker,
    /// The recorders that have not replied.
    pub(super) open: Vec<SocketAddr>,
    /// Whether this host still has to read what is saved.
    pub(super) awaits_load: bool,
    /// Whether this host still has to read which engines are registered.
    pub(super) awaits_list: bool,
    /// Whether the store has been read in place of the recorders that have not replied.
    pub(super) recorders: Recorders,
    pub(super) asked_at: Instant,
    pub(super) sent_at: Instant,
}

impl Search {
    /// Whether it waits for a read of the registered engines.
    fn needs_list(&self) -> bool {
        self.awaits_list || self.recorders == Recorders::Silent
    }
}

/// The queries in progress.
#[derive(Debug, Default)]
pub struct State {
    /// Those without an answer, by number.
    pub(super) open: HashMap<u64, Search>,
    /// The number of queries so far.
    serial: u64,
    is_reading_list: bool,
}

impl Lineage {
    /// Finds the version that began a stream.
    ///
    /// A stream that this host does not know may have begun at a version that it has not heard of
    /// either, however recently it has read the list of engines. So it asks the recorders even if it
    /// knows of one version only. Where they may not all reply, it reads the list itself.
    pub(super) fn find(&mut self, find: Find, ctx: &mut Context<Self>) {
        let Find { stream, service, reply } = find;
        if let Some(version) = stream.and_then(|stream| self.streams.version(stream)) {
            let _caller_left = reply.send(Some(version));
            return;
        }
        self.notice_stale_list();
        let open = if stream.is_some() { self.all_recorders() } else { Vec::new() };
        let awaits_list = open.is_empty() || !self.hears_all_domains();
        let is_recorder = self.recorders(self.shared.domain).contains(&self.shared.host);
        // Alone, or cut off, it knows what is saved if it reads it itself.
        let awaits_load =
            stream.is_some() && self.is_recording() && (open.is_empty() || is_recorder);
        let search = Search {
            stream,
            asker: Asker::Request(reply, service),
            open,
            awaits_load,
            awaits_list,
            recorders: Recorders::Awaited,
            asked_at: Instant::now(),
            sent_at: Instant::now(),
        };
        self.search(search, ctx);
    }

    /// Whether a host of each domain is alive, as far as this host knows.
    fn hears_all_domains(&self) -> bool {
        let live = self.shared.hosts().live_domains(Instant::now());
        self.shared.snapshot().domains.iter().all(|(_, domain)| live.contains(&domain.tag))
    }

    pub(super) fn search(&mut self, search: Search, ctx: &mut Context<Self>) {
        self.searches.serial += 1;
        let serial = self.searches.serial;
        send_queries(&self.shared, serial, &search);
        let (awaits_load, awaits_list) = (search.awaits_load, search.awaits_list);
        self.searches.open.insert(serial, search);
        if awaits_load {
            self.load(ctx);
        }
        if awaits_list {
            self.read_list(ctx);
        }
        ctx.run_later(RESEND_INTERVAL, move |actor, ctx| {
            guard(actor, ctx, |actor, ctx| actor.look_after(serial, ctx));
        });
    }

    /// Reads which engines are registered, for the searches that wait for it.
    fn read_list(&mut self, ctx: &mut Context<Self>) {
        let Some(catalogue) = self.shared.deployment.catalogue else { return };
        if std::mem::replace(&mut self.searches.is_reading_list, true) {
            return;
        }
        let began = Instant::now();
        let client = self.shared.store("lineage");
        let read = async move { client.list(catalogue.upstream_prefix, false).await };
        ctx.spawn(read.into_actor(self).map(move |read, actor, ctx| {
            actor.searches.is_reading_list = false;
            match read {
                Ok(listing) => {
                    let items = listing.items.into_iter();
                    let entries = items.filter_map(|(key, item)| {
                        (catalogue.decode_upstream)(&key, &item?.value).ok()
                    });
                    let entries: Vec<_> = entries.collect();
                    actor.served.observe(entries.iter(), Instant::now());
                    actor.end_list(began, ctx);
                }
                Err(error) => {
                    log::info!("event=engines_not_read error={error}");
                    let waiting =
                        actor.searches.open.iter().filter(|(_, search)| search.awaits_list);
                    for serial in waiting.map(|(serial, _)| *serial).collect::<Vec<_>>() {
                        actor.answer(serial, None);
                    }
                }
            }
        }));
    }

    /// Goes on with the searches that began before the list was read.
    fn end_list(&mut self, began: Instant, ctx: &mut Context<Self>) {
        let (is_mixed, mut reads_again, mut loads) = (self.served.is_mixed(), false, false);
        for search in self.searches.open.values_mut().filter(|search| search.needs_list()) {
            if search.asked_at > began {
                reads_again = true;
                continue;
            }
            search.awaits_list = false;
            if search.recorders == Recorders::Silent {
                search.recorders = Recorders::Replaced;
            }
            // Another version has joined, so that streams are being saved.
            if is_mixed && search.stream.is_some() {
                (search.awaits_load, loads) = (true, true);
            }
        }
        if loads {
            self.load(ctx);
        }
        if reads_again {
            self.read_list(ctx);
        }
        self.settle();
    }

    /// Sends a query again to the recorders that have not replied, reads the store in their place, or
    /// gives the search up.
    fn look_after(&mut self, serial: u64, ctx: &mut Context<Self>) {
        let now = Instant::now();
        let Some(search) = self.searches.open.get_mut(&serial) else { return };
        let waited = now.saturating_duration_since(search.asked_at);
        if waited >= FIND_TIMEOUT {
            self.answer(serial, None);
            return;
        }
        if now.saturating_duration_since(search.sent_at) >= RESEND_INTERVAL {
            search.sent_at = now;
            send_queries(&self.shared, serial, search);
        }
        if waited >= SILENT_AFTER
            && search.recorders == Recorders::Awaited
            && !search.open.is_empty()
        {
            search.recorders = Recorders::Silent;
            self.read_list(ctx);
        }
        ctx.run_later(RESEND_INTERVAL, move |actor, ctx| {
            guard(actor, ctx, |actor, ctx| actor.look_after(serial, ctx));
        });
    }

    /// Answers the searches whose result is known, after a reply or a read of the store.
    pub(super) fn settle(&mut self) {
        let now = Instant::now();
        let known = self.searches.open.iter().filter_map(|(serial, search)| {
            let version = search.stream.and_then(|stream| self.streams.version(stream));
            let has_replies = search.open.is_empty() || search.recorders == Recorders::Replaced;
            let is_over = has_replies && !search.awaits_load && !search.awaits_list;
            let sole = match search.asker {
                Asker::Request(_, service) => self.served.sole(service, now),
                Asker::Host(..) => None,
            };
            (version.is_some() || is_over).then_some((*serial, version.or(sole)))
        });
        for (serial, version) in known.collect::<Vec<_>>() {
            self.answer(serial, version);
        }
    }

    fn answer(&mut self, serial: u64, version: Option<Tag>) {
        let Some(search) = self.searches.open.remove(&serial) else { return };
        let Search { asker, asked_at, stream, open, .. } = search;
        match asker {
            Asker::Request(reply, _service) => {
                let stream = stream.map_or_else(|| "unnamed".to_owned(), |s| s.to_string());
                let waited_ms = asked_at.elapsed().as_millis();
                let result = if version.is_some() { "known" } else { "unknown" };
                let silent = open.len();
                log::info!(
                    "event=stream_searched stream={stream} result={result} waited_ms={waited_ms} \
                     without_reply={silent}"
                );
                let _caller_left = reply.send(version);
            }
            Asker::Host(address, serial) => {
                self.shared.outbox.send(address, Body::StreamFound { serial, version });
            }
        }
    }
}

/// Asks the recorders that have not replied.
fn send_queries(shared: &Shared, serial: u64, search: &Search) {
    let Some(stream) = search.stream else { return };
    for address in &search.open {
        shared.outbox.send(*address, Body::FindStream { serial, stream });
    }
}
