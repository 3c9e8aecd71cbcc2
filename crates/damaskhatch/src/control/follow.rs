//! Learns from other hosts what they read from the store.
//!
//! Two hosts of a domain read the store; the others, and those that lost their way
//! to it, ask them. The question carries a serial and the answer the reader's own
//! age, so that the age counted from before the question never understates the
//! truth. A chain of hosts that ask each other adds up ages.

use std::collections::HashMap;
use std::net::SocketAddr;

use damaskhatch_policy::freshness::{BootTime, Freshness};
use damaskhatch_policy::rendezvous;
use damaskhatch_wire::prelude::Body;
use tokio::sync::watch;

use crate::clock::boot_time;
use crate::control::Incoming;
use crate::control::configuration::{Configuration, Pull};
use crate::control::listing::{Listing, Offer};
use crate::control::membership::{READER, READERS};
use crate::peers::{Arrival, SharedCodec, query};
use crate::prelude::*;
use crate::shared::Shared;
use crate::supervise::guard;

/// The time between two questions.
const ASK_INTERVAL: Duration = Duration::from_millis(300);
/// The age from which on a reader that lost its way to the store asks as well.
///
/// A reader's own age swings up to a watch of 1 s and the call that follows it.
const READER_ASKS_AFTER: Duration = Duration::from_millis(1_600);
/// The age of an answer from which on another host is asked next.
const UNHELPFUL_AGE: Duration = Duration::from_millis(1_500);
/// The age of the configuration from which on a host that no reader answers reads itself.
///
/// Half of the age at which keys stop, so that one failed read is not yet the end.
pub const ALONE_AFTER: Duration = Duration::from_millis(2_200);
/// How long a question is remembered.
const QUESTION_LIFE: Duration = Duration::from_secs(2);

/// The actor that follows other hosts.
#[derive(Debug)]
pub struct Follow {
    shared: Shared,
    codec: SharedCodec,
    configuration: Addr<Configuration>,
    listing: Addr<Listing>,
    freshness: watch::Sender<Freshness>,
    asked: HashMap<u64, BootTime>,
    serial: u64,
    /// How many hosts in turn have not helped.
    misses: usize,
    is_pulling: bool,
}

impl Follow {
    /// Makes the actor; `freshness` carries the age to everybody.
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
            asked: HashMap::new(),
            serial: 0,
            misses: 0,
            is_pulling: false,
        }
    }

    fn tick(&mut self) {
        let is_reader = self.shared.is_reader();
        let needed_after = if is_reader { READER_ASKS_AFTER } else { Duration::ZERO };
        if self.shared.config_age().is_some_and(|age| age < needed_after) {
            return;
        }
        let now = boot_time();
        let before = self.asked.len();
        self.asked.retain(|_, at| now.since(*at) < QUESTION_LIFE);
        // A question that is still open after an interval was not answered.
        if before > 0 {
            self.misses += 1;
        }
        let candidates = self.candidates();
        if candidates.is_empty() {
            return;
        }
        let to = candidates[self.misses % candidates.len()];
        self.serial += 1;
        self.asked.insert(self.serial, now);
        self.shared.outbox.send(to, Body::GetFreshness { serial: self.serial });
    }

    /// The hosts to ask: readers of the own domain, then those of the others.
    fn candidates(&self) -> Vec<SocketAddr> {
        let now = Instant::now();
        let hosts = self.shared.hosts();
        let mut domains: Vec<Tag> = hosts.members().map(|m| m.record.domain).collect();
        domains.push(self.shared.domain);
        domains.sort_by_key(|domain| (*domain != self.shared.domain, *domain));
        domains.dedup();
        let role = Tag::of(READER);
        let readers = domains
            .iter()
            .flat_map(|domain| rendezvous::owners(role, hosts.eligible(*domain, now), READERS));
        let others = readers.filter(|host| *host != self.shared.host);
        others.filter_map(|host| hosts.address(host)).collect()
    }

    fn receive(&mut self, arrival: &Arrival, ctx: &mut Context<Self>) {
        match arrival.body {
            Body::GetFreshness { serial } => {
                let Some(age) = self.shared.config_age() else { return };
                let revision = self.shared.snapshot().revision;
                let listing = self.shared.upstreams().version();
                let body = Body::Freshness { serial, revision, age, listing };
                self.shared.outbox.send(arrival.source, body);
            }
            Body::Freshness { serial, revision, age, listing } => {
                let Some(asked) = self.asked.remove(&serial) else { return };
                // Earlier questions need no answer any more.
                self.asked.clear();
                self.misses = if age < UNHELPFUL_AGE { self.misses } else { self.misses + 1 };
                if revision > self.shared.snapshot().revision {
                    self.configuration.do_send(Pull(arrival.source));
                } else {
                    self.freshness.send_modify(|own| own.confirm_from_peer(asked, age));
                }
                if listing > self.shared.upstreams().version() {
                    self.pull_listing(arrival.source, ctx);
                }
            }
            _ => {}
        }
    }

    fn pull_listing(&mut self, from: SocketAddr, ctx: &mut Context<Self>) {
        if self.is_pulling {
            return;
        }
        self.is_pulling = true;
        let own = self.shared.settings.host.peer.ip();
        let (codec, metrics) = (SharedCodec::clone(&self.codec), self.shared.metrics.clone());
        let since = self.shared.upstreams().version();
        let question = Body::GetListing { since };
        let asked = async move { query(own, from, &codec, &metrics, question).await };
        ctx.spawn(asked.into_actor(self).map(move |answer, actor, _ctx| {
            actor.is_pulling = false;
            match answer {
                Ok(Body::Listing { version, is_partial, changes }) => {
                    let since = is_partial.then_some(since);
                    actor.listing.do_send(Offer { version, since, changes });
                }
                Ok(_other) => log::warn!("event=listing_not_pulled peer={from} reason=no_list"),
                Err(error) => log::info!("event=listing_not_pulled peer={from} error={error}"),
            }
        }));
    }
}

impl Actor for Follow {
    type Context = Context<Self>;

    fn started(&mut self, ctx: &mut Context<Self>) {
        ctx.run_interval(ASK_INTERVAL, |actor, ctx| guard(actor, ctx, |actor, _| actor.tick()));
    }
}

impl Supervised for Follow {
    fn restarting(&mut self, _ctx: &mut Context<Self>) {
        self.asked.clear();
        self.is_pulling = false;
    }
}

impl Handler<Incoming> for Follow {
    type Result = ();

    fn handle(&mut self, message: Incoming, ctx: &mut Context<Self>) {
        guard(self, ctx, |actor, ctx| actor.receive(&message.0, ctx));
    }
}
