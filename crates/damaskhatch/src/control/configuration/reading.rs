//! Reads the configuration from the store and from peers.

use std::net::SocketAddr;
use std::sync::Arc;

use damaskhatch_store::error::Error;

use super::{
    Configuration, FIRST_WATCH_TIMEOUT, FRESHNESS_RETRY_PAUSE, FRESHNESS_WATCH_TIMEOUT,
    MAX_FAILED_PULLS, MAX_PEERS_PER_PULL, WATCH_PAUSE, WATCH_TIMEOUT, restored,
};
use crate::clock::boot_time;
use crate::config_pull::{self, Source, pull};
use crate::control::dependency;
use crate::control::follow::DIRECT_READ_AFTER;
use crate::prelude::*;
use crate::shared::SETTLING_TIME;

impl Configuration {
    /// Watches the store with one call at a time.
    ///
    /// A host that is not a reader reads only if no reader keeps its configuration fresh, and no peer
    /// has a newer one: the pull from that peer takes less, and the two would share one link.
    pub(super) fn watch_store(&mut self, ctx: &mut Context<Self>) {
        if !self.restored.held.is_empty() && self.state.head().revision > 0 {
            // A peer had a newer one; what was held back beside it is read again.
            self.restored.held.clear();
            self.version = 0;
        }
        if self.version > 0 && self.foreign().is_some() && self.shared.is_settling() {
            // Of the hosts that start together, most would watch the store for a moment only.
            ctx.run_later(WATCH_PAUSE, Self::watch_store);
            return;
        }
        let is_pull_due = self.shared.is_behind_peer() && self.failed_pulls < MAX_FAILED_PULLS;
        let reads_directly = self.foreign().is_some()
            && !is_pull_due
            && self.shared.config_age().is_none_or(|age| age > DIRECT_READ_AFTER);
        if !self.shared.is_reader() && !reads_directly {
            self.is_reading = false;
            ctx.run_later(WATCH_PAUSE, Self::watch_store);
            return;
        }
        let was_reading = std::mem::replace(&mut self.is_reading, true);
        let foreign = self.foreign();
        let failed_pause = if foreign.is_some() { FRESHNESS_RETRY_PAUSE } else { WATCH_PAUSE };
        let source = Source::Platform {
            client: self.client(),
            foreign,
            after: self.version,
            // A plain read returns at once, so it detects a recovered store before a watch would.
            wait: if self.version == 0 || !self.store.is_reachable() {
                Duration::ZERO
            } else if was_reading {
                self.watch_timeout()
            } else {
                FIRST_WATCH_TIMEOUT
            },
        };
        let (sent_at, after, started) = (boot_time(), self.version, Instant::now());
        let archive = Arc::clone(&self.archive);
        let revision = self.state.head().revision;
        let records = self.unread_records();
        let read = async move { restored::read(source, revision, archive, records).await };
        ctx.spawn(read.into_actor(self).map(move |read, actor, ctx| {
            let pause = match read {
                Ok(read) => {
                    actor.store.record_result(None::<&Error>);
                    let is_missing = read.pulled.version == 0;
                    if is_missing && after > 0 {
                        // Also where the store was restored since; only a read shows what it has.
                        actor.version = 0;
                    } else if let Some(lost) = actor.lost_head(&read.pulled) {
                        actor.write_lost(lost, ctx);
                    }
                    actor.apply_read(read, sent_at);
                    actor.confirm(sent_at);
                    actor.record_era(ctx);
                    match (is_missing, actor.shared.is_reader()) {
                        (false, false) if !actor.restored.held.is_empty() => DIRECT_READ_AFTER,
                        (false, _) => Duration::ZERO,
                        (true, true) => WATCH_PAUSE,
                        // The readers announce the first configuration.
                        (true, false) => DIRECT_READ_AFTER,
                    }
                }
                Err(error) => {
                    actor.store.record_result(Some(&error));
                    log_failure("platform", revision, started, &error);
                    let is_missing = error == config_pull::Error::Store(Error::Missing);
                    if is_missing {
                        // The store has dropped the history after the watched version, or there is
                        // no configuration yet.
                        actor.version = 0;
                    }
                    match (is_missing && after == 0, actor.shared.is_settling()) {
                        // Most of the hosts that start together will learn of it from readers.
                        (true, true) => SETTLING_TIME.mul_f64(1.0 + rand::random::<f64>()),
                        (true, false) => {
                            dependency::retry_delay(actor.shared.is_reader(), WATCH_PAUSE)
                        }
                        _ => dependency::retry_delay(actor.shared.is_reader(), failed_pause),
                    }
                }
            };
            ctx.run_later(pause, Self::watch_store);
        }));
    }

    /// How long a watch waits; no longer than a configuration is held back.
    pub(super) fn watch_timeout(&self) -> Duration {
        let timeout =
            if self.foreign().is_some() { FRESHNESS_WATCH_TIMEOUT } else { WATCH_TIMEOUT };
        let (Some(era), Some(read)) =
            (self.restored.era.filter(|_| !self.restored.held.is_empty()), self.restored.last_read)
        else {
            return timeout;
        };
        // A call that is sent after the wait ends it.
        if era.wait(read.sent_at).is_zero() {
            return timeout;
        }
        era.wait(boot_time()).clamp(FIRST_WATCH_TIMEOUT, timeout)
    }

    /// Pulls from peers with a newer configuration, if there are any.
    pub(super) fn pull_from_peers(&mut self, ctx: &mut Context<Self>) {
        let ahead = self.shared.hosts().peers_ahead(Instant::now(), &mut rand::rng());
        if !ahead.is_empty() {
            self.pull_from(ahead, ctx);
        }
    }

    /// Pulls from the first of `peers` that has the configuration and is not busy.
    pub(super) fn pull_from(&mut self, mut peers: Vec<SocketAddr>, ctx: &mut Context<Self>) {
        if self.is_pulling {
            return;
        }
        self.is_pulling = true;
        peers.truncate(MAX_PEERS_PER_PULL);
        let names = peers.iter().map(ToString::to_string).collect::<Vec<_>>().join(",");
        let source = Source::Peers {
            from: self.shared.settings.host.peer.ip(),
            to: peers,
            codec: Arc::clone(&self.codec),
            metrics: self.shared.metrics.clone(),
        };
        let archive = Arc::clone(&self.archive);
        let (revision, started) = (self.state.head().revision, Instant::now());
        let pulled = async move { pull(source, revision, archive).await };
        ctx.spawn(pulled.into_actor(self).map(move |pulled, actor, _ctx| {
            actor.is_pulling = false;
            let source = format_args!("peer peers={names}");
            match pulled {
                Ok(pulled) => {
                    actor.failed_pulls = 0;
                    actor.apply_pulled(pulled, source);
                }
                Err(error) => {
                    actor.failed_pulls += 1;
                    log_failure(source, revision, started, &error);
                }
            }
        }));
    }
}

/// Logs a read that put no configuration in force; there is at most one at a time from each source.
fn log_failure(
    source: impl std::fmt::Display,
    revision: u64,
    started: Instant,
    error: &config_pull::Error,
) {
    let took = started.elapsed().as_millis();
    log::info!(
        "event=config_not_read source={source} revision={revision} took_ms={took} error={error}"
    );
}
