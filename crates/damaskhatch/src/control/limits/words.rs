//! Learns what upstreams have said about their limits, and tells other hosts.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;

use damaskhatch_policy::limit::{Named, Word};
use damaskhatch_wire::prelude::Body;
use rand::seq::IteratorRandom;

use super::{Limits, Observe};
use crate::prelude::*;

/// The number of words in a datagram, of up to 37 bytes each.
const WORDS_PER_DATAGRAM: usize = 32;
/// The number of hosts that a started host asks for the limits that they know.
const ASKED_AT_START: usize = 3;

impl Limits {
    pub(super) fn observe(&mut self, observe: &Observe) {
        let Observe { seen, name } = observe;
        if let Named::Malformed(value) = &seen.named {
            let last = self.malformed.insert(seen.upstream, value.clone());
            if last.as_ref() != Some(value) {
                log::warn!("event=limit_malformed upstream={name} value={value:?}");
            }
            return;
        }
        let now = Instant::now();
        if let Some(word) = self.table.observe(seen, now) {
            self.apply(&word, "response");
            self.publish();
            let (hosts, words) = (self.shared.hosts(), vec![word]);
            for member in hosts.members().filter(|member| member.is_alive(now)) {
                self.shared.outbox.send(member.record.address, Body::Limits(words.clone()));
            }
        }
    }

    pub(super) fn merge(&mut self, words: &[Word]) {
        let now = Instant::now();
        let mut has_changed = false;
        for word in words {
            if self.table.merge(word, now) {
                has_changed = true;
                self.apply(word, "peer");
            }
        }
        if has_changed {
            self.publish();
        }
    }

    /// Logs a new word and shows it in the metrics.
    fn apply(&mut self, word: &Word, source: &str) {
        let Word { upstream, started_ms, serial, per_s } = *word;
        let name = self.name(upstream);
        self.refused.remove(&upstream);
        let Some(per_s) = per_s else {
            self.forget_metric(&name);
            log::info!(
                "event=limit_lifted upstream={name} started_ms={started_ms} serial={serial} \
                 source={source}"
            );
            return;
        };
        self.shared.metrics.limits.with_label_values(&[&name]).set(per_s);
        log::info!(
            "event=limit_named upstream={name} per_s={per_s} started_ms={started_ms} \
             serial={serial} source={source}"
        );
    }

    fn forget_metric(&self, name: &str) {
        // Fails if there is none, where a lift is the first word that this host hears.
        let _absent = self.shared.metrics.limits.remove_label_values(&[name]);
    }

    /// The name of an upstream, or its tag if this host does not know it.
    pub(super) fn name(&self, upstream: Tag) -> String {
        let registry = self.shared.upstreams();
        let listed = registry.entries().find(|(_, entry)| entry.tag == upstream);
        listed.map_or_else(
            || crate::entry::completion::upstream_name(&self.shared.snapshot(), upstream),
            |(_, entry)| entry.instance.clone(),
        )
    }

    fn publish(&self) {
        self.publish.send_replace(Arc::new(self.table.clone()));
    }

    /// Sends the known limits to another host, and forgets those of upstreams that have ended.
    pub(super) fn announce(&mut self) {
        if !self.has_asked {
            self.ask_peers();
        }
        if self.table.is_empty() {
            return;
        }
        self.forget_ended();
        let (hosts, now) = (self.shared.hosts(), Instant::now());
        let alive = hosts.members().filter(|member| member.is_alive(now));
        if let Some(member) = alive.choose(&mut rand::rng()) {
            self.send_words(member.record.address);
        }
    }

    /// Asks some hosts for the limits that they know, after a start.
    fn ask_peers(&mut self) {
        let (hosts, now) = (self.shared.hosts(), Instant::now());
        let alive = hosts.members().filter(|member| member.is_alive(now));
        for member in alive.sample(&mut rand::rng(), ASKED_AT_START) {
            self.has_asked = true;
            self.shared.outbox.send(member.record.address, Body::GetLimits);
        }
    }

    pub(super) fn send_words(&self, to: SocketAddr) {
        let words: Vec<Word> = self.table.words().collect();
        for words in words.chunks(WORDS_PER_DATAGRAM) {
            self.shared.outbox.send(to, Body::Limits(words.to_vec()));
        }
    }

    fn forget_ended(&mut self) {
        let (registry, snapshot) = (self.shared.upstreams(), self.shared.snapshot());
        if registry.is_empty() && self.shared.deployment.catalogue.is_some() {
            return;
        }
        let running: HashMap<Tag, u64> =
            registry.entries().map(|(_, entry)| (entry.tag, entry.started_ms)).collect();
        let ended: Vec<Word> = self
            .table
            .words()
            .filter(|word| match running.get(&word.upstream) {
                Some(started_ms) => word.started_ms < *started_ms,
                None => snapshot.upstream(word.upstream).is_none(),
            })
            .collect();
        for word in &ended {
            let name = self.name(word.upstream);
            self.forget_metric(&name);
            log::info!("event=limit_forgotten upstream={name} reason=ended");
        }
        let is_ended = |upstream| ended.iter().any(|word| word.upstream == upstream);
        if self.table.retain(|upstream, _started| !is_ended(upstream)) {
            self.publish();
        }
    }
}
