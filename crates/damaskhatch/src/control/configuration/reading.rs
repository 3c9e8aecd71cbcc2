//! Reads the configuration from the platform and from peers.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;

use damaskhatch_store::error::Error;

use super::{Configuration, FRESH_FAILED_PAUSE, FRESH_WATCH_TIME, WATCH_PAUSE, WATCH_TIME, lock};
use crate::clock::boot_time;
use crate::config_pull::{Source, pull};
use crate::control::dependency;
use crate::control::follow::ALONE_AFTER;
use crate::prelude::*;

impl Configuration {
    /// Watches the platform, one call at a time.
    pub(super) fn watch(&self, ctx: &mut Context<Self>) {
        let is_alone = self.foreign().is_some()
            && self.shared.config_age().is_none_or(|age| age > ALONE_AFTER);
        if !self.shared.is_reader() && !is_alone {
            ctx.run_later(WATCH_PAUSE, |actor, ctx| actor.watch(ctx));
            return;
        }
        let foreign = self.foreign();
        let (longest, failed_pause) = if foreign.is_some() {
            (FRESH_WATCH_TIME, FRESH_FAILED_PAUSE)
        } else {
            (WATCH_TIME, WATCH_PAUSE)
        };
        let source = Source::Platform {
            client: self.client(),
            foreign,
            after: self.version,
            // A plain read notices sooner than a watch that the store is back.
            wait: if self.version == 0 || !self.store.is_reachable() {
                Duration::ZERO
            } else {
                longest
            },
        };
        let began = boot_time();
        let known = self.known_chunks();
        let revision = self.state.head().revision;
        let pulled = async move { pull(source, revision, known).await };
        ctx.spawn(pulled.into_actor(self).map(move |pulled, actor, ctx| {
            let result = if pulled.is_ok() { "ok" } else { "failed" };
            actor.shared.metrics.platform_calls.with_label_values(&[result]).inc();
            let pause = match pulled {
                Ok(pulled) => {
                    actor.store.note(None::<&Error>);
                    let idle = pulled.version == 0;
                    actor.take(pulled, "platform");
                    actor.freshness.send_modify(|freshness| freshness.confirm(began));
                    if idle { WATCH_PAUSE } else { Duration::ZERO }
                }
                Err(error) => {
                    actor.store.note(Some(&error));
                    if error == Error::Missing {
                        // The store no longer has the history that the watch asked for.
                        actor.version = 0;
                    }
                    dependency::failed_pause(actor.shared.is_reader(), failed_pause)
                }
            };
            ctx.run_later(pause, |actor, ctx| actor.watch(ctx));
        }));
    }

    pub(super) fn known_chunks(&self) -> HashMap<String, String> {
        lock(&self.archive).chunks.clone()
    }

    /// Pulls from a peer that is ahead, one at a time.
    pub(super) fn pull_from_peer(&mut self, ctx: &mut Context<Self>) {
        if let Some(peer) = self.shared.hosts().peers_ahead(Instant::now()).first() {
            self.pull_from(*peer, ctx);
        }
    }

    pub(super) fn pull_from(&mut self, peer: SocketAddr, ctx: &mut Context<Self>) {
        if self.pulling {
            return;
        }
        self.pulling = true;
        let source = Source::Peer {
            from: self.shared.settings.host.peer.ip(),
            to: peer,
            codec: Arc::clone(&self.codec),
            metrics: self.shared.metrics.clone(),
        };
        let known = self.known_chunks();
        let revision = self.state.head().revision;
        let pulled = async move { pull(source, revision, known).await };
        ctx.spawn(pulled.into_actor(self).map(move |pulled, actor, _ctx| {
            actor.pulling = false;
            match pulled {
                Ok(pulled) => actor.take(pulled, "peer"),
                Err(error) => log::debug!("event=pull_failed peer={peer} error={error}"),
            }
        }));
    }
}
