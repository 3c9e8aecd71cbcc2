//! Remembers which software version began each stream, also through a kill of all hosts.
//!
//! Each host knows the streams that it began. While streams of several versions may be taken up, it
//! also tells them to two hosts of its domain, the recorders, of which the first saves them in the
//! store, many in one write, and to the recorders of two other domains, which know them if the domain
//! is lost while the store is away or before it is restored from an older copy. A host that does not
//! know a stream asks the recorders of all domains; a recorder that does not know it reads what is
//! saved.

mod saved;
mod search;

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
use search::{Asker, Recorders, Search};

/// The role by which rendezvous hashing selects the recorders of a domain.
const RECORDER_ROLE: &str = "lineage-recorder";
/// The number of recorders in each domain.
const RECORDERS_PER_DOMAIN: usize = 2;
/// The time between two looks at the registered engines.
const OBSERVE_INTERVAL: Duration = Duration::from_millis(250);
/// The age of what the store says up to which the list of engines counts as up to date.
const MAX_LIST_AGE: Duration = DIRECT_READ_AFTER;
/// The number of other domains whose recorders are told as well, so that streams outlive the loss of as
/// many domains besides their own.
const BACKUP_DOMAINS: usize = 2;
/// How long a host collects streams before it tells the recorders of its domain.
const TELL_DELAY: Duration = Duration::from_millis(5);
/// How long a host collects streams before it tells the recorders of other domains.
///
/// As long as a stream may take to be saved; at 90 streams a second a datagram then holds several.
const BACKUP_DELAY: Duration = Duration::from_millis(50);
/// The number of streams in a datagram, of up to ten bytes each.
const STREAMS_PER_DATAGRAM: usize = 100;

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

/// Which recorders are told of a stream.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
enum Audience {
    /// Those of this host's domain.
    Own,
    /// Those of the domains that know this domain's streams as well.
    Backup,
}

/// Streams that recorders have not been told yet.
#[derive(Debug, Default)]
struct Untold {
    /// The streams with their versions.
    streams: Vec<(Tag, Tag)>,
    /// Whether they are about to be told.
    is_due: bool,
}

/// The actor that remembers the versions of streams.
#[derive(Debug)]
pub struct Lineage {
    shared: Shared,
    streams: Streams,
    served: Served,
    untold: HashMap<Audience, Untold>,
    /// Whether streams were told to the recorders at the last look.
    was_recording: bool,
    /// Whether the list of engines was out of date at the last look, as it is before the first.
    was_stale: bool,
    searches: search::State,
    store: saved::State,
}

impl Lineage {
    /// Creates the actor, which knows no stream.
    pub fn new(shared: Shared) -> Self {
        Self {
            shared,
            streams: Streams::default(),
            served: Served::default(),
            untold: HashMap::new(),
            was_recording: false,
            was_stale: true,
            searches: search::State::default(),
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
            for audience in [Audience::Own, Audience::Backup] {
                self.tell_later(audience, [(stream, version)], ctx);
            }
        }
    }

    /// Tells recorders of these streams, together with others that begin within a moment.
    fn tell_later(
        &mut self,
        audience: Audience,
        streams: impl IntoIterator<Item = (Tag, Tag)>,
        ctx: &mut Context<Self>,
    ) {
        let untold = self.untold.entry(audience).or_default();
        untold.streams.extend(streams);
        if untold.streams.is_empty() || std::mem::replace(&mut untold.is_due, true) {
            return;
        }
        let delay = match audience {
            Audience::Own => TELL_DELAY,
            Audience::Backup => BACKUP_DELAY,
        };
        ctx.run_later(delay, move |actor, ctx| {
            guard(actor, ctx, |actor, ctx| actor.tell(audience, ctx));
        });
    }

    /// Tells recorders which streams have begun.
    fn tell(&mut self, audience: Audience, ctx: &mut Context<Self>) {
        let Untold { streams, .. } = self.untold.remove(&audience).unwrap_or_default();
        let recorders = match audience {
            Audience::Own => self.recorders(self.shared.domain),
            Audience::Backup => self.backup_recorders(),
        };
        for streams in streams.chunks(STREAMS_PER_DATAGRAM) {
            let body = Body::Begun(by_version(streams));
            for recorder in recorders.iter().filter(|host| **host != self.shared.host) {
                if let Some(address) = self.shared.hosts().address(*recorder) {
                    self.shared.outbox.send(address, body.clone());
                }
            }
        }
        if recorders.contains(&self.shared.host) {
            self.save(streams, ctx);
        }
    }

    /// Records what another host tells this one as a recorder; streams of this host's domain are saved.
    fn record(&mut self, from: Tag, begun: &[(Tag, Vec<Tag>)], ctx: &mut Context<Self>) {
        let now = Instant::now();
        let mut new = Vec::new();
        for (version, streams) in begun {
            for stream in streams {
                self.streams.record(*stream, *version, now);
                new.push((*stream, *version));
            }
        }
        let hosts = self.shared.hosts();
        let domain = hosts.member(from).map_or(self.shared.domain, |member| member.record.domain);
        if domain == self.shared.domain {
            self.save(new, ctx);
        }
    }

    /// The recorders of the other domains that know this domain's streams.
    fn backup_recorders(&self) -> Vec<Tag> {
        let own = self.shared.domain;
        let live = self.shared.hosts().live_domains(Instant::now());
        let others = live.into_iter().filter(|domain| *domain != own);
        let backups = rendezvous::owners(own, others, BACKUP_DOMAINS).into_iter();
        backups.flat_map(|domain| self.recorders(domain)).collect()
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

    fn receive(&mut self, arrival: &Arrival, ctx: &mut Context<Self>) {
        let source = arrival.source;
        match &arrival.body {
            Body::Begun(begun) => self.record(arrival.from, begun, ctx),
            Body::FindStream { serial, stream } => {
                if let version @ Some(_) = self.streams.version(*stream) {
                    let body = Body::StreamFound { serial: *serial, version };
                    self.shared.outbox.send(source, body);
                    return;
                }
                let asker = Asker::Host(source, *serial);
                self.notice_stale_list();
                let search = Search {
                    stream: Some(*stream),
                    asker,
                    open: Vec::new(),
                    awaits_load: self.is_recording(),
                    awaits_list: false,
                    recorders: Recorders::Awaited,
                    asked_at: Instant::now(),
                    sent_at: Instant::now(),
                };
                self.search(search, ctx);
                self.settle();
            }
            Body::StreamFound { serial, version } => {
                let Some(search) = self.searches.open.get_mut(serial) else { return };
                search.open.retain(|address| *address != source);
                if let (Some(stream), Some(version)) = (search.stream, version) {
                    self.streams.record(stream, *version, Instant::now());
                }
                self.settle();
            }
            _ => {}
        }
    }

    /// Finds out whether the list of engines is out of date, in which case engines of other versions
    /// may come and go unseen.
    fn notice_stale_list(&mut self) -> bool {
        let is_stale = self.shared.config_age().is_none_or(|age| age > MAX_LIST_AGE);
        if is_stale {
            self.served.interrupt();
            self.was_stale = true;
        }
        is_stale
    }

    /// Takes the registered engines into account, and saves which versions have served.
    fn observe(&mut self, ctx: &mut Context<Self>) {
        let is_stale = self.notice_stale_list();
        if !is_stale {
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
                let streams: Vec<(Tag, Tag)> = self.streams.iter().collect();
                self.tell_later(Audience::Backup, streams.iter().copied(), ctx);
                self.tell_later(Audience::Own, streams, ctx);
            }
        }
        self.was_recording = is_recording;
        self.save_served(ctx);
    }

    /// Writes what the restored store may have lost again.
    fn save_again(&mut self, ctx: &mut Context<Self>) {
        self.store.forget();
        if self.is_recording() {
            let streams: Vec<(Tag, Tag)> = self.streams.iter().collect();
            self.tell_later(Audience::Own, streams, ctx);
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
        self.searches = search::State::default();
        self.untold.values_mut().for_each(|untold| untold.is_due = false);
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
