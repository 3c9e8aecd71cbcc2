//! What every part of a host may read, and how it reaches the others.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};

use damaskhatch_policy::config::Snapshot;
use damaskhatch_policy::freshness::Freshness;
use damaskhatch_policy::membership::View;
use damaskhatch_policy::prelude::*;
use damaskhatch_policy::registry::Registry;
use damaskhatch_policy::rendezvous;
use damaskhatch_store::prelude::Client;
use tokio::sync::watch;

use crate::control::membership::{READER_ROLE, READERS_PER_DOMAIN};
use crate::decision::Journal;
use crate::deployment::Deployment;
use crate::metrics::Metrics;
use crate::peers::Outbox;
use crate::relay::load::Loads;
use crate::settings::Settings;

/// What every part of a host may read.
#[derive(Debug, Clone)]
pub struct Shared {
    /// The settings.
    pub settings: Arc<Settings>,
    /// This host.
    pub host: Tag,
    /// This host's domain.
    pub domain: Tag,
    /// The start of this process, in milliseconds since the Unix epoch.
    pub incarnation: u64,
    /// When the process started, by the runtime's clock.
    pub started: Instant,
    /// Sends messages to other hosts.
    pub outbox: Outbox,
    /// The metrics.
    pub metrics: Metrics,
    /// The latest decisions.
    pub journal: Journal,
    /// The configuration in force.
    pub config: watch::Receiver<Arc<Snapshot>>,
    /// The hosts as this one sees them.
    pub view: watch::Receiver<Arc<View>>,
    /// The upstreams that registered themselves.
    pub registry: watch::Receiver<Arc<Registry>>,
    /// When the configuration was last known to be the newest.
    pub freshness: watch::Receiver<Freshness>,
    /// Work that this host has under way at each upstream.
    pub loads: Loads,
    /// What differs between the places that the host may run in.
    pub deployment: Deployment,
    /// Whether the host takes no new callers because it is leaving.
    pub draining: Arc<AtomicBool>,
    /// Counts requests.
    pub serial: Arc<AtomicU64>,
}

impl Shared {
    /// The configuration in force now.
    pub fn snapshot(&self) -> Arc<Snapshot> {
        Arc::clone(&self.config.borrow())
    }

    /// The hosts as seen now.
    pub fn hosts(&self) -> Arc<View> {
        Arc::clone(&self.view.borrow())
    }

    /// The registered upstreams as of now.
    pub fn upstreams(&self) -> Arc<Registry> {
        Arc::clone(&self.registry.borrow())
    }

    /// Whether this host is among the `count` hosts of its domain that hold a role.
    pub fn is_owner(&self, role: &str, count: usize) -> bool {
        let eligible = self.hosts().eligible(self.domain, Instant::now());
        rendezvous::owners(Tag::of(role), eligible, count).contains(&self.host)
    }

    /// Whether this host reads the store for its domain.
    pub fn is_reader(&self) -> bool {
        self.is_owner(READER_ROLE, READERS_PER_DOMAIN)
    }

    /// How long ago the configuration was known to be the newest.
    pub fn config_age(&self) -> Option<Duration> {
        self.freshness.borrow().age(crate::clock::boot())
    }

    /// A client of the platform's store.
    pub fn store(&self) -> Client {
        self.deployment.store(self.settings.platform.address)
    }

    /// Whether keys may be accepted, by the age of the configuration.
    pub fn are_keys_fresh(&self) -> bool {
        let limit = Duration::from_millis(self.settings.limits.key_freshness_ms);
        limit.is_zero() || self.freshness.borrow().is_fresh(crate::clock::boot(), limit)
    }

    /// A new request id.
    pub fn next_request(&self) -> Request {
        let serial = self.serial.fetch_add(1, Ordering::Relaxed);
        Request { host: self.host, incarnation: self.incarnation, serial }
    }

    /// Whether the host is leaving.
    pub fn is_draining(&self) -> bool {
        self.draining.load(Ordering::Relaxed)
    }
}
