//! Remembers which software version began each stream, also through a kill of all hosts.
//!
//! Each host knows the streams that it began. While streams of several versions may be taken up, it
//! also tells them to two hosts of its domain, the recorders, of which the first saves them in the
//! store, many in one write. A host that does not know a stream asks the recorders of all domains;
//! a recorder that does not know it reads what is saved.

mod saved;

use std::collections::HashMap;
use std::net::SocketAddr;

use damaskhatch_policy::lineage::{Served, Streams};
use damaskhatch_policy::rendezvous;
use damaskhatch_wire::prelude::Body;
use tokio::sync::oneshot;

use crate::control::follow::DIRECT_READ_AFTER;
use crate::control::{Incoming, on_change, on_restore};
use crate::peers::Arrival;
use crate::prelude::*;
use crate::shared::Shared;
use crate::supervise::guard;

/// The role by which rendezvous hashing selects the recorders of a domain.
const RECORDER_ROLE: &str = "lineage-recorder";
/// The number of recorders in each domain.
const RECORDERS_PER_DOMAIN: usize = 2;
/// The time between two looks at the registered engines.
const OBSERVE_INTERVAL: Duration = Duration::from_millis(250);
/// The age of what the store says up to which the list of engines counts as up to date.
const MAX_LIST_AGE: Duration = DIRECT_READ_AFTER;
/// How long a host collects streams before it tells the recorders.
const TELL_DELAY: Duration = Duration::from_millis(5);
/// The number of streams in a datagram, of up to ten bytes each.
const STREAMS_PER_DATAGRAM: usize = 100;
/// The time after which a query without a reply is sent again.
const RESEND_INTERVAL: Duration = Duration::from_millis(40);
/// How long a query may take, a read of the store included.
const FIND_TIMEOUT: Duration = Duration::from_millis(500);

/// Records that the engine of a stream is of a version.
#[derive(Debug, Clone, Copy, Message)]
#[rtype(result = "()")]
pub struct Begin {
    /// The tag of the id of the request that begins the stream.
    pub stream: Tag,
    /// The version of the engine's software.
    pub version: Tag,
}

/// Finds out which version began a stream.
#[derive(Debug, Message)]
#[rtype(result = "()")]
pub struct Find {
    /// The tag of the id of the request that began the stream; `None` if the caller names none.
    pub stream: Option<Tag>,
    /// The tag of the service.
    pub service: Tag,
    /// Gets the version, or `None` if nobody knows it.
    pub reply: oneshot::Sender<Option<Tag>>,
}

/// Who asked for the version of a stream.
#[derive(Debug)]
enum Asker {
    /// A request of this host.
    Request(oneshot::Sender<Option<Tag>>),
    /// Another host, under the number of its query.
    Host(SocketAddr, u64),
}

/// A query for a stream that this host does not know yet.
#[derive(Debug)]
struct Search {
    stream: Tag,
    asker: Asker,
    /// The recorders that have not replied.
    open: Vec<SocketAddr>,
    /// Whether this host still has to read what is saved.
    awaits_load: bool,
    asked_at: Instant,
    sent_at: Instant,
}

/// The actor that remembers the versions of streams.
#[derive(Debug)]
pub struct Lineage {
    shared: Shared,
    streams: Streams,
    served: Served,
    /// Streams that the recorders have not been told yet, with their versions.
    untold: Vec<(Tag, Tag)>,
    is_telling: bool,
    /// Whether streams were told to the recorders at the last look.
    was_recording: bool,
    /// Whether the list of engines was out of date at the last look, as it is before the first.
    was_stale: bool,
    searches: HashMap<u64, Search>,
    /// The number of queries so far.
    serial: u64,
    store: saved::State,
}

impl Lineage {
    /// Creates the actor, which knows no stream.
    pub fn new(shared: Shared) -> Self {
        Self {
            shared,
            streams: Streams::default(),
            served: Served::default(),
            untold: Vec::new(),
            is_telling: false,
            was_recording: false,
            was_stale: true,
            searches: HashMap::new(),
            serial: 0,
            store: saved::State::default(),
        }
    }

    /// Whether a stream may be taken up while engines of another version serve or did lately.
    fn is_recording(&self) -> bool {
        self.served.is_mixed() || !self.served.is_complete(Instant::now())
    }

    fn begin(&mut self, begin: Begin, ctx: &mut Context<Self>) {
        let Begin { stream, version } = begin;
        self.streams.record(stream, version, Instant::now());
        if self.is_recording() {
            self.untold.push((stream, version));
            self.tell_later(ctx);
        }
    }

    fn tell_later(&mut self, ctx: &mut Context<Self>) {
        if !self.untold.is_empty() && !std::mem::replace(&mut self.is_telling, true) {
            ctx.run_later(TELL_DELAY, |actor, ctx| {
                guard(actor, ctx, |actor, ctx| {
                    actor.is_telling = false;
                    actor.tell(ctx);
                });
            });
        }
    }

    /// Tells the recorders of this host's domain which streams have begun.
    fn tell(&mut self, ctx: &mut Context<Self>) {
        let untold = std::mem::take(&mut self.untold);
        let recorders = self.recorders(self.shared.domain);
        for streams in untold.chunks(STREAMS_PER_DATAGRAM) {
            let body = Body::Begun(by_version(streams));
            for recorder in recorders.iter().filter(|host| **host != self.shared.host) {
                if let Some(address) = self.shared.hosts().address(*recorder) {
                    self.shared.outbox.send(address, body.clone());
                }
            }
        }
        if recorders.contains(&self.shared.host) {
            self.save(untold, ctx);
        }
    }

    /// Records what another host tells this one as a recorder.
    fn record(&mut self, begun: &[(Tag, Vec<Tag>)], ctx: &mut Context<Self>) {
        let now = Instant::now();
        let mut new = Vec::new();
        for (version, streams) in begun {
            for stream in streams {
                self.streams.record(*stream, *version, now);
                new.push((*stream, *version));
            }
        }
        self.save(new, ctx);
    }

    fn recorders(&self, domain: Tag) -> Vec<Tag> {
        let eligible = self.shared.hosts().eligible(domain, Instant::now());
        rendezvous::owners(Tag::of(RECORDER_ROLE), eligible, RECORDERS_PER_DOMAIN)
    }

    /// The addresses of the recorders of all domains, without this host.
    fn all_recorders(&self) -> Vec<SocketAddr> {
        let hosts = self.shared.hosts();
        let domains = hosts.live_domains(Instant::now()).into_iter();
        let recorders = domains.flat_map(|domain| self.recorders(domain));
        let others = recorders.filter(|host| *host != self.shared.host);
        others.filter_map(|host| hosts.address(host)).collect()
    }

    fn find(&mut self, find: Find, ctx: &mut Context<Self>) {
        let now = Instant::now();
        let Find { stream, service, reply } = find;
        let known = stream.and_then(|stream| self.streams.version(stream));
        let known = known.or_else(|| self.served.sole(service, now));
        let Some(stream) = stream.filter(|_| known.is_none()) else {
            let _caller_left = reply.send(known);
            return;
        };
        let open = self.all_recorders();
        // Alone, or cut off, it knows what is saved if it reads it itself.
        let awaits_load =
            open.is_empty() || self.recorders(self.shared.domain).contains(&self.shared.host);
        self.search(stream, Asker::Request(reply), open, awaits_load, ctx);
    }

    fn search(
        &mut self,
        stream: Tag,
        asker: Asker,
        open: Vec<SocketAddr>,
        awaits_load: bool,
        ctx: &mut Context<Self>,
    ) {
        let now = Instant::now();
        self.serial += 1;
        let serial = self.serial;
        for address in &open {
            self.shared.outbox.send(*address, Body::FindStream { serial, stream });
        }
        let search = Search { stream, asker, open, awaits_load, asked_at: now, sent_at: now };
        self.searches.insert(serial, search);
        if awaits_load {
            self.load(ctx);
        }
        ctx.run_later(RESEND_INTERVAL, move |actor, ctx| {
            guard(actor, ctx, |actor, ctx| actor.look_after(serial, ctx));
        });
    }

    /// Sends a query again to the recorders that have not replied, or gives it up.
    fn look_after(&mut self, serial: u64, ctx: &mut Context<Self>) {
        let now = Instant::now();
        let Some(search) = self.searches.get_mut(&serial) else { return };
        if now.saturating_duration_since(search.asked_at) >= FIND_TIMEOUT {
            self.answer(serial, None);
            return;
        }
        if now.saturating_duration_since(search.sent_at) >= RESEND_INTERVAL {
            search.sent_at = now;
            for address in &search.open {
                let body = Body::FindStream { serial, stream: search.stream };
                self.shared.outbox.send(*address, body);
            }
        }
        ctx.run_later(RESEND_INTERVAL, move |actor, ctx| {
            guard(actor, ctx, |actor, ctx| actor.look_after(serial, ctx));
        });
    }

    /// Answers the searches whose result is known, after a reply or a read of the store.
    fn settle(&mut self) {
        let known = self.searches.iter().filter_map(|(serial, search)| {
            let version = self.streams.version(search.stream);
            let is_over = search.open.is_empty() && !search.awaits_load;
            (version.is_some() || is_over).then_some((*serial, version))
        });
        for (serial, version) in known.collect::<Vec<_>>() {
            self.answer(serial, version);
        }
    }

    fn answer(&mut self, serial: u64, version: Option<Tag>) {
        let Some(Search { asker, asked_at, stream, .. }) = self.searches.remove(&serial) else {
            return;
        };
        match asker {
            Asker::Request(reply) => {
                let waited_ms = asked_at.elapsed().as_millis();
                let result = if version.is_some() { "known" } else { "unknown" };
                log::info!(
                    "event=stream_searched stream={stream} result={result} waited_ms={waited_ms}"
                );
                let _caller_left = reply.send(version);
            }
            Asker::Host(address, serial) => {
                self.shared.outbox.send(address, Body::StreamFound { serial, version });
            }
        }
    }

    fn receive(&mut self, arrival: &Arrival, ctx: &mut Context<Self>) {
        let source = arrival.source;
        match &arrival.body {
            Body::Begun(begun) => self.record(begun, ctx),
            Body::FindStream { serial, stream } => {
                let asker = Asker::Host(source, *serial);
                match self.streams.version(*stream) {
                    Some(version) => {
                        let body = Body::StreamFound { serial: *serial, version: Some(version) };
                        self.shared.outbox.send(source, body);
                    }
                    None => self.search(*stream, asker, Vec::new(), true, ctx),
                }
            }
            Body::StreamFound { serial, version } => {
                let Some(search) = self.searches.get_mut(serial) else { return };
                search.open.retain(|address| *address != source);
                if let Some(version) = version {
                    self.streams.record(search.stream, *version, Instant::now());
                }
                self.settle();
            }
            _ => {}
        }
    }

    /// Takes the registered engines into account, and saves which versions have served.
    fn observe(&mut self, ctx: &mut Context<Self>) {
        let is_stale = self.shared.config_age().is_none_or(|age| age > MAX_LIST_AGE);
        if is_stale {
            // Engines of other versions may come and go unseen.
            self.served.interrupt();
        } else {
            let registry = self.shared.upstreams();
            self.served.observe(registry.entries().map(|(_, entry)| entry), Instant::now());
            if self.was_stale {
                self.load_served(ctx);
            }
        }
        self.was_stale = is_stale;
        let is_recording = self.is_recording();
        if is_recording != self.was_recording {
            log::info!(
                "event=lineage_recording active={is_recording} mixed={}",
                self.served.is_mixed()
            );
            if is_recording {
                self.untold = self.streams.iter().collect();
                self.tell_later(ctx);
            }
        }
        self.was_recording = is_recording;
        self.save_served(ctx);
    }

    /// Writes what the restored store may have lost again.
    fn save_again(&mut self, ctx: &mut Context<Self>) {
        self.store.forget();
        if self.is_recording() {
            self.untold = self.streams.iter().collect();
            self.tell_later(ctx);
        }
    }
}

/// Groups streams by their versions, for a datagram or a saved batch.
fn by_version(streams: &[(Tag, Tag)]) -> Vec<(Tag, Vec<Tag>)> {
    let mut versions: HashMap<Tag, Vec<Tag>> = HashMap::new();
    for (stream, version) in streams {
        versions.entry(*version).or_default().push(*stream);
    }
    versions.into_iter().collect()
}

impl Actor for Lineage {
    type Context = Context<Self>;

    fn started(&mut self, ctx: &mut Context<Self>) {
        on_restore(&self.shared.era, ctx, Self::save_again);
        on_change(self.shared.registry.clone(), ctx, Self::observe);
        ctx.run_interval(OBSERVE_INTERVAL, |actor, ctx| guard(actor, ctx, Self::observe));
    }
}

impl Supervised for Lineage {
    fn restarting(&mut self, _ctx: &mut Context<Self>) {
        self.searches.clear();
        self.is_telling = false;
        self.store = saved::State::default();
    }
}

impl Handler<Begin> for Lineage {
    type Result = ();

    fn handle(&mut self, message: Begin, ctx: &mut Context<Self>) {
        guard(self, ctx, |actor, ctx| actor.begin(message, ctx));
    }
}

impl Handler<Find> for Lineage {
    type Result = ();

    fn handle(&mut self, message: Find, ctx: &mut Context<Self>) {
        guard(self, ctx, |actor, ctx| actor.find(message, ctx));
    }
}

impl Handler<Incoming> for Lineage {
    type Result = ();

    fn handle(&mut self, message: Incoming, ctx: &mut Context<Self>) {
        guard(self, ctx, |actor, ctx| actor.receive(&message.0, ctx));
    }
}
