//! Learns what upstreams have said about their limits, and tells other hosts.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;

use damaskhatch_policy::limit::{COLD_SERIAL, Named, Statement};
use damaskhatch_wire::prelude::Body;
use rand::seq::IteratorRandom;

use super::{HELD_BACK, Limits, Observe, PERMITTED};
use crate::prelude::*;

/// The number of statements in a datagram, of up to 37 bytes each.
const STATEMENTS_PER_DATAGRAM: usize = 32;
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
        if let Some(statement) = self.table.observe(seen, now) {
            self.apply(&statement, "response");
            self.publish();
            let (hosts, statements) = (self.shared.hosts(), vec![statement]);
            for member in hosts.members().filter(|member| member.is_alive(now)) {
                self.shared.outbox.send(member.record.address, Body::Limits(statements.clone()));
            }
        }
    }

    pub(super) fn merge(&mut self, statements: &[Statement]) {
        let now = Instant::now();
        let mut has_changed = false;
        // No upstream has named the limit of a cold one, which asks contain and hosts of earlier versions
        // tell on.
        for statement in statements.iter().filter(|statement| statement.serial != COLD_SERIAL) {
            if self.table.merge(statement, now) {
                has_changed = true;
                self.apply(statement, "peer");
            }
        }
        if has_changed {
            self.publish();
        }
    }

    /// Logs a new statement and shows it in the metrics.
    fn apply(&mut self, statement: &Statement, source: &str) {
        let Statement { upstream, started_ms, serial, per_s } = *statement;
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
        // Fails if there is none, where a lift is the first statement that this host hears.
        let _absent = self.shared.metrics.limits.remove_label_values(&[name]);
    }

    /// Forgets what is kept for an upstream that has ended.
    pub(super) fn forget(&mut self, upstream: Tag) {
        let name = self.name(upstream);
        self.forget_metric(&name);
        for label in [PERMITTED, HELD_BACK] {
            let _absent = self.shared.metrics.limited.remove_label_values(&[name.as_str(), label]);
        }
        self.refused.remove(&upstream);
        self.returned.remove(&upstream);
        self.malformed.remove(&upstream);
        log::info!("event=limit_forgotten upstream={name} reason=ended");
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

    pub(super) fn publish(&self) {
        self.publish.send_replace(Arc::new(self.table.clone()));
    }

    /// Sends the known limits to another host, and forgets those of upstreams that have ended.
    pub(super) fn announce(&mut self) {
        if !self.has_asked {
            self.ask_peers();
        }
        self.count_cold();
        if self.table.is_empty() {
            return;
        }
        self.forget_ended();
        let (hosts, now) = (self.shared.hosts(), Instant::now());
        let alive = hosts.members().filter(|member| member.is_alive(now));
        if let Some(member) = alive.choose(&mut rand::rng()) {
            self.send_statements(member.record.address);
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

    pub(super) fn send_statements(&self, to: SocketAddr) {
        let statements: Vec<Statement> = self.table.statements().collect();
        for statements in statements.chunks(STATEMENTS_PER_DATAGRAM) {
            self.shared.outbox.send(to, Body::Limits(statements.to_vec()));
        }
    }

    fn forget_ended(&mut self) {
        let (registry, snapshot) = (self.shared.upstreams(), self.shared.snapshot());
        if registry.is_empty() && self.shared.deployment.catalogue.is_some() {
            return;
        }
        let running: HashMap<Tag, u64> =
            registry.entries().map(|(_, entry)| (entry.tag, entry.started_ms)).collect();
        let ended: Vec<Statement> = self
            .table
            .statements()
            .filter(|statement| match running.get(&statement.upstream) {
                Some(started_ms) => statement.started_ms < *started_ms,
                None => snapshot.upstream(statement.upstream).is_none(),
            })
            .collect();
        ended.iter().for_each(|statement| self.forget(statement.upstream));
        let is_ended = |upstream| ended.iter().any(|statement| statement.upstream == upstream);
        if self.table.retain(|upstream, _started| !is_ended(upstream)) {
            self.publish();
        }
    }
}
