//! State and handles that all actors and request handlers of a host share.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use damaskhatch_exchange::pool::Pool;
use damaskhatch_policy::config::Snapshot;
use damaskhatch_policy::freshness::{BootTime, Freshness};
use damaskhatch_policy::homes::Regions;
use damaskhatch_policy::limit;
use damaskhatch_policy::membership::View;
use damaskhatch_policy::position::Position;
use damaskhatch_policy::prelude::*;
use damaskhatch_policy::registry::Registry;
use damaskhatch_policy::rendezvous;
use damaskhatch_policy::strike::Ledger;
use damaskhatch_store::calls::Calls;
use damaskhatch_store::era;
use damaskhatch_store::prelude::Client;
use tokio::sync::watch;

use crate::control::membership::{READER_ROLE, READERS_PER_DOMAIN};
use crate::decision::Journal;
use crate::deployment::Deployment;
use crate::entry::closing::Closing;
use crate::memory::Budgets;
use crate::metrics::Metrics;
use crate::peers::Outbox;
use crate::relay::load::Loads;
use crate::settings::Settings;
use crate::stop::Stop;
use crate::upstream::statement::{Availability, Speeds};

/// The shared state and handles of a host, cloned into every actor and worker thread.
#[derive(Debug, Clone)]
pub struct Shared {
    /// The settings that the process was started with.
    pub settings: Arc<Settings>,
    /// The tag of this host's name.
    pub host: Tag,
    /// The tag of this host's failure domain.
    pub domain: Tag,
    /// The wall-clock time at which the process started, in milliseconds since the Unix epoch.
    ///
    /// Distinguishes this process from earlier ones of the same host.
    pub incarnation: u64,
    /// When the process started, on the runtime's clock.
    pub started: Instant,
    /// Sends datagrams to other hosts.
    pub outbox: Outbox,
    /// Closes callers' connections.
    pub closing: Closing,
    /// The metrics, exported on the operator port.
    pub metrics: Metrics,
    /// The most recent routing and placement decisions.
    pub journal: Journal,
    /// The configuration in force; its revision is 0 until one has been read.
    pub config: watch::Receiver<Arc<Snapshot>>,
    /// This host's view of the fleet's membership.
    pub view: watch::Receiver<Arc<View>>,
    /// The upstreams that registered themselves in the store.
    pub registry: watch::Receiver<Arc<Registry>>,
    /// When the configuration was last known to be the newest.
    pub freshness: watch::Receiver<Freshness>,
    /// Until when a configuration may be held back that was read from a restored store.
    pub held_until: watch::Receiver<Option<BootTime>>,
    /// The requests that crashed upstreams.
    pub strikes: watch::Receiver<Arc<Ledger>>,
    /// The limits that upstreams have named.
    pub limits: watch::Receiver<Arc<limit::Table>>,
    /// What upstreams have said of themselves about new requests.
    pub availability: Availability,
    /// The region of each domain.
    pub regions: Arc<Regions>,
    /// How fast upstreams work.
    pub speeds: Speeds,
    /// The memory for bodies.
    pub memory: Budgets,
    /// Connections to upstreams that are kept for requests which may be repeated.
    pub pool: Pool,
    /// Requests and tokens that this host has in flight at each upstream.
    pub loads: Loads,
    /// Streams of this host that wait to go on, by the tag of their software version.
    pub resuming: Loads,
    /// The latest era of the store that a call of this host has seen.
    pub era: era::Tracker,
    /// The protocols and key layout of the environment that the host runs in.
    pub deployment: Deployment,
    /// The host's planned stop.
    pub stop: Stop,
    /// The serial number of the next request.
    pub serial: Arc<AtomicU64>,
}

/// The time after a start in which a host hears from most of the hosts of its domain.
pub const SETTLING_TIME: Duration = Duration::from_millis(1_200);

impl Shared {
    /// The configuration in force now.
    pub fn snapshot(&self) -> Arc<Snapshot> {
        Arc::clone(&self.config.borrow())
    }

    /// The current view of the fleet's membership.
    pub fn hosts(&self) -> Arc<View> {
        Arc::clone(&self.view.borrow())
    }

    /// The upstreams registered now.
    pub fn upstreams(&self) -> Arc<Registry> {
        Arc::clone(&self.registry.borrow())
    }

    /// The requests that crashed upstreams, as known now.
    pub fn strike_ledger(&self) -> Arc<Ledger> {
        Arc::clone(&self.strikes.borrow())
    }

    /// The highest era in the epochs of other hosts; 0 if none has seen a restore of the store.
    pub fn announced_era(&self) -> u64 {
        let hosts = self.hosts();
        let announced = hosts.members().map(|member| Position::of(member.record.epoch).era);
        announced.max().unwrap_or(0)
    }

    /// Whether the store may have been restored before a position, as far as its era, the calls of this
    /// host, the record of an earlier era and what other hosts announce show.
    pub fn may_follow_restore(&self, position: Position) -> bool {
        position.follows_restore() || self.era.has_seen_restore() || self.announced_era() > 0
    }

    /// The place of this host among the live hosts in the rendezvous order of a role, from 0.
    pub fn rank_for(&self, role: Tag, now: Instant) -> usize {
        let hosts = self.hosts();
        let alive = hosts.members().filter(|member| member.is_alive(now));
        rendezvous::rank(role, self.host, alive.map(|member| member.record.host))
    }

    /// The limits that upstreams have named, as known now.
    pub fn known_limits(&self) -> Arc<limit::Table> {
        Arc::clone(&self.limits.borrow())
    }

    /// The name of a domain, or its tag if the configuration does not list it.
    pub fn domain_name(&self, domain: Tag) -> String {
        let snapshot = self.snapshot();
        let known = snapshot.domain(domain).map(|known| snapshot.domains[known].name.clone());
        known.unwrap_or_else(|| domain.to_string())
    }

    /// Whether rendezvous hashing makes this host one of the `count` owners of a role in its
    /// domain.
    pub fn is_owner(&self, role: &str, count: usize) -> bool {
        let eligible = self.hosts().eligible(self.domain, Instant::now());
        rendezvous::owners(Tag::of(role), eligible, count).contains(&self.host)
    }

    /// Whether this host has started so lately that it may not know which hosts hold which roles.
    pub fn is_settling(&self) -> bool {
        !self.settings.host.seeds.is_empty() && self.started.elapsed() < SETTLING_TIME
    }

    /// Whether this host reads the store for its domain.
    pub fn is_reader(&self) -> bool {
        self.is_owner(READER_ROLE, READERS_PER_DOMAIN)
    }

    /// How long ago the configuration was confirmed to be the newest; `None` if it never was.
    pub fn config_age(&self) -> Option<Duration> {
        self.freshness.borrow().age(crate::clock::boot_time())
    }

    /// Whether a live host announces a newer configuration than the one in force here.
    pub fn is_behind_peer(&self) -> bool {
        let (hosts, now, revision) = (self.hosts(), Instant::now(), self.snapshot().revision);
        hosts.members().any(|member| member.is_alive(now) && member.record.revision > revision)
    }

    /// Makes a client of the platform's store, whose calls are counted as for `purpose`.
    pub fn store(&self, purpose: &'static str) -> Client {
        let calls = Calls::new(self.metrics.platform_calls.clone(), purpose);
        let (address, memory) = (self.settings.platform.address, self.memory.store.clone());
        self.deployment.store(address, self.era.clone(), calls, memory)
    }

    /// Whether the configuration is fresh enough for callers' keys to be accepted.
    ///
    /// Always true if `key_freshness_ms` is 0.
    pub fn are_keys_fresh(&self) -> bool {
        let limit = Duration::from_millis(self.settings.limits.key_freshness_ms);
        limit.is_zero() || self.freshness.borrow().is_fresh(crate::clock::boot_time(), limit)
    }

    /// Allocates a request id that no other request of the fleet has.
    pub fn next_request(&self) -> Request {
        let serial = self.serial.fetch_add(1, Ordering::Relaxed);
        Request { host: self.host, incarnation: self.incarnation, serial }
    }

    /// Whether the host has begun to stop.
    pub fn is_draining(&self) -> bool {
        self.stop.has_begun()
    }
}
