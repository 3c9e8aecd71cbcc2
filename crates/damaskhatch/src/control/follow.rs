//! Queries other hosts for what they read from the store.
//!
//! Two hosts of a domain read the store; the others query them, and so does a reader that cannot
//! reach the store. A query carries a serial, and the reply carries the
//! age of the replying host's configuration. That age is added to the time since the query was
//! sent, so the result is never below the true age, also along a chain of hosts that query each
//! other.

use std::collections::HashMap;
use std::net::SocketAddr;

use damaskhatch_policy::freshness::{BootTime, Freshness};
use damaskhatch_policy::registry::Change;
use damaskhatch_policy::rendezvous;
use damaskhatch_wire::prelude::Body;
use tokio::sync::watch;

use crate::clock::boot_time;
use crate::control::configuration::{Configuration, Pull};
use crate::control::listing::{Listing, Offer};
use crate::control::membership::{READER_ROLE, READERS_PER_DOMAIN};
use crate::control::{Incoming, evacuation};
use crate::peers::{Arrival, SharedCodec, query};
use crate::prelude::*;
use crate::shared::Shared;
use crate::supervise::guard;

/// The time between two queries.
const QUERY_INTERVAL: Duration = Duration::from_millis(300);
/// The time between two queries of a host that has a configuration, but has never known it to be the
/// newest, and so refuses keys.
const FIRST_QUERY_INTERVAL: Duration = Duration::from_millis(100);
/// The age of the configuration from which a reader queries other hosts as well.
///
/// While the store is reachable, a reader's age rises up to the length of a watch, 1 s, and of
/// the call that follows it.
const READER_QUERIES_AFTER: Duration = Duration::from_millis(1_600);
/// The age in a reply from which the next query goes to another host.
const STALE_REPLY_AGE: Duration = Duration::from_millis(1_500);
/// The age of the configuration from which a host that gets no reply from readers reads
/// the store itself.
///
/// A reader's age rises up to the length of two watches, 2 s, so that a host that gets every second
/// reply to its queries stays below this. It leaves time for a read before keys are refused.
pub const DIRECT_READ_AFTER: Duration = Duration::from_millis(2_700);
/// The time from which a pull of the list of upstreams counts as stalled, so that the next one goes to
/// another host.
///
/// Less than [`QUERY_INTERVAL`], so that the next reply which shows a newer list already sees it.
const PULL_PATIENCE: Duration = Duration::from_millis(250);
/// How long a reply to a query is accepted.
const QUERY_TTL: Duration = Duration::from_secs(2);

/// The actor that keeps this host's freshness up to date by querying other hosts.
#[derive(Debug)]
pub struct Follow {
    shared: Shared,
    codec: SharedCodec,
    configuration: Addr<Configuration>,
    listing: Addr<Listing>,
    freshness: watch::Sender<Freshness>,
    /// When each open query was sent, by serial.
    open_queries: HashMap<u64, BootTime>,
    /// The serial of the latest query.
    serial: u64,
    /// The number of queries that got no reply or a stale one, and of pulls that stalled or failed;
    /// chooses the host to query.
    misses: usize,
    /// The hosts from which the list of upstreams is being pulled, with the time of the request.
    pulls: HashMap<SocketAddr, Instant>,
}

impl Follow {
    /// Creates the actor, which publishes confirmations over `freshness`.
    pub fn new(
        shared: Shared,
        codec: SharedCodec,
        configuration: Addr<Configuration>,
        listing: Addr<Listing>,
        freshness: watch::Sender<Freshness>,
    ) -> Self {
        Self {
            shared,
            codec,
            configuration,
            listing,
            freshness,
            open_queries: HashMap::new(),
            serial: 0,
            misses: 0,
            pulls: HashMap::new(),
        }
    }

    /// Sends the next query if the configuration is old enough to need one.
    fn send_query(&mut self) {
        let is_reader = self.shared.is_reader();
        let threshold = if is_reader { READER_QUERIES_AFTER } else { Duration::ZERO };
        if self.shared.config_age().is_some_and(|age| age < threshold) {
            return;
        }
        let now = boot_time();
        let open_before = self.open_queries.len();
        self.open_queries.retain(|_, sent_at| now.since(*sent_at) < QUERY_TTL);
        // A query that is still open after an interval counts as unanswered.
        if open_before > 0 {
            self.misses += 1;
        }
        let candidates = self.candidates();
        if candidates.is_empty() {
            return;
        }
        let to = candidates[self.misses % candidates.len()];
        self.serial += 1;
        self.open_queries.insert(self.serial, now);
        self.shared.outbox.send(to, Body::GetFreshness { serial: self.serial });
    }

    /// The hosts to query: readers of this host's domain, then those of the other domains.
    fn candidates(&self) -> Vec<SocketAddr> {
        let now = Instant::now();
        let hosts = self.shared.hosts();
        let mut domains: Vec<Tag> = hosts.members().map(|m| m.record.domain).collect();
        domains.push(self.shared.domain);
        domains.sort_by_key(|domain| (*domain != self.shared.domain, *domain));
        domains.dedup();
        let role = Tag::of(READER_ROLE);
        let readers = domains.iter().flat_map(|domain| {
            let owners = rendezvous::owners(role, hosts.eligible(*domain, now), READERS_PER_DOMAIN);
            rendezvous::order_for(owners, self.shared.host)
        });
        let others = readers.filter(|host| *host != self.shared.host);
        others.filter_map(|host| hosts.address(host)).collect()
    }

    fn receive(&mut self, arrival: &Arrival, ctx: &mut Context<Self>) {
        match arrival.body {
            Body::GetFreshness { serial } => {
                let Some(age) = self.shared.config_age() else { return };
                let revision = self.shared.snapshot().revision;
                let listing = self.shared.upstreams().version();
                // Before the confirmation, so that a host which takes itself for up to date knows it.
                if let Some(evacuations) = evacuation::statement(&self.shared) {
                    self.shared.outbox.send(arrival.source, evacuations);
                }
                let body = Body::Freshness { serial, revision, age, listing };
                self.shared.outbox.send(arrival.source, body);
            }
            Body::Freshness { serial, revision, age, listing } => {
                let Some(sent_at) = self.open_queries.remove(&serial) else { return };
                // This reply also makes those to the other open queries unnecessary.
                self.open_queries.clear();
                self.misses = if age < STALE_REPLY_AGE { self.misses } else { self.misses + 1 };
                if revision > self.shared.snapshot().revision {
                    self.configuration.do_send(Pull(arrival.source));
                } else {
                    self.freshness.send_modify(|own| own.confirm_from_peer(sent_at, age));
                }
                if listing > self.shared.upstreams().version() {
                    self.pull_listing(arrival.source, ctx);
                }
            }
            _ => {}
        }
    }

    /// Pulls the list of upstreams from a peer that has a newer version of it.
    ///
    /// While a pull is stalled, another one goes to the next host: a request may reach an upstream that
    /// is leaving for as long as the list is late.
    fn pull_listing(&mut self, from: SocketAddr, ctx: &mut Context<Self>) {
        let now = Instant::now();
        if self.pulls.values().any(|since| now.duration_since(*since) < PULL_PATIENCE) {
            return;
        }
        if self.pulls.contains_key(&from) {
            self.misses += 1;
            return;
        }
        self.pulls.insert(from, now);
        let own = self.shared.settings.host.peer.ip();
        let (codec, metrics) = (SharedCodec::clone(&self.codec), self.shared.metrics.clone());
        let since = self.shared.upstreams().version();
        let reply = async move {
            // A host of an earlier version does not know a query, and closes the connection.
            let queries = [Body::GetEntries { since }, Body::GetUpstreams { since }];
            for request in queries {
                if let Ok(reply) = query(own, from, &codec, &metrics, request).await {
                    return Ok(reply);
                }
            }
            query(own, from, &codec, &metrics, Body::GetListing { since }).await
        };
        ctx.spawn(reply.into_actor(self).map(move |reply, actor, _ctx| {
            actor.pulls.remove(&from);
            if reply.is_err() {
                actor.misses += 1;
            }
            let (version, is_partial, changes) = match reply {
                Ok(Body::Entries { version, is_partial, mut changes, details }) => {
                    for ((_, change), detail) in changes.iter_mut().zip(details) {
                        detail.complete(change);
                    }
                    (version, is_partial, changes)
                }
                Ok(Body::Upstreams { version, is_partial, mut changes, software }) => {
                    for ((_, change), software) in changes.iter_mut().zip(software) {
                        if let Change::Listed(entry) = change {
                            entry.software = software;
                        }
                    }
                    (version, is_partial, changes)
                }
                Ok(Body::Listing { version, is_partial, changes }) => {
                    (version, is_partial, changes)
                }
                Ok(_other) => {
                    return log::warn!("event=listing_not_pulled peer={from} reason=not_a_list");
                }
                Err(error) => {
                    return log::info!("event=listing_not_pulled peer={from} error={error}");
                }
            };
            let since = is_partial.then_some(since);
            actor.listing.do_send(Offer { version, since, changes });
        }));
    }
}

impl Actor for Follow {
    type Context = Context<Self>;

    fn started(&mut self, ctx: &mut Context<Self>) {
        ctx.run_interval(QUERY_INTERVAL, |actor, ctx| {
            guard(actor, ctx, |actor, _| actor.send_query());
        });
        ctx.run_interval(FIRST_QUERY_INTERVAL, |actor, ctx| {
            let awaits_first = actor.shared.config_age().is_none();
            if awaits_first && actor.shared.snapshot().revision > 0 {
                guard(actor, ctx, |actor, _| actor.send_query());
            }
        });
    }
}

impl Supervised for Follow {
    fn restarting(&mut self, _ctx: &mut Context<Self>) {
        self.open_queries.clear();
        self.pulls.clear();
    }
}

impl Handler<Incoming> for Follow {
    type Result = ();

    fn handle(&mut self, message: Incoming, ctx: &mut Context<Self>) {
        guard(self, ctx, |actor, ctx| actor.receive(&message.0, ctx));
    }
}
