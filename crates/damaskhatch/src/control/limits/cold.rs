//! Learns from the list of upstreams which of them are cold, and what part of a limit this host may grant.

use damaskhatch_policy::limit;
use damaskhatch_policy::limit::cold::{Listed, News};

use super::Limits;
use crate::prelude::*;

impl Limits {
    /// Takes the list of upstreams and the services' warming rates into account.
    pub(super) fn observe_cold(&mut self) {
        let (registry, snapshot) = (self.shared.upstreams(), self.shared.snapshot());
        if snapshot.services.iter().all(|(_, service)| service.warming.is_none()) {
            return;
        }
        let now = Instant::now();
        let listed = registry.entries().map(|(_, entry)| {
            let service = snapshot.service(entry.service).map(|index| &snapshot.services[index]);
            let warming = service.and_then(|service| service.warming);
            let after_start = warming.map_or(0, |warming| warming.duration_ms);
            Listed {
                upstream: entry.tag,
                started_ms: entry.started_ms,
                left: entry.cold_left,
                after_start: Duration::from_millis(u64::from(after_start)),
                per_s: warming.map(|warming| warming.per_s),
            }
        });
        let News { cold, ended } = self.table.cold.observe(listed, now);
        self.publish();
        for Listed { upstream, left, per_s, .. } in cold {
            let (name, left_ms) = (self.name(upstream), left.as_millis());
            let per_s = per_s.unwrap_or_default();
            log::info!("event=upstream_cold upstream={name} left_ms={left_ms} per_s={per_s}");
        }
        ended.into_iter().for_each(|upstream| self.forget(upstream));
        self.count_cold();
    }

    /// The part of an upstream's limit that this host may grant; `None` if it is not a holder.
    pub(super) fn fraction(&self, upstream: Tag, now: Instant) -> Option<f64> {
        let live = self.shared.hosts().live_domains(now);
        let snapshot = self.shared.snapshot();
        let (mut reachable, mut all) = (0.0, 0.0);
        for (_, domain) in snapshot.domains.iter() {
            all += domain.share;
            reachable += if live.contains(&domain.tag) { domain.share } else { 0.0 };
        }
        let reachable = if all > 0.0 { reachable / all } else { 1.0 };
        let is_cold = self.table.cold.rate(upstream, now).is_some();
        let in_touch = if is_cold { self.share_in_touch(now) } else { 1.0 };
        limit::fraction(self.shared.host, &self.holders(upstream, now), reachable * in_touch)
    }

    /// The share of the hosts of the own domain that this host hears.
    ///
    /// Hosts that have lost touch with the others each take themselves for a holder.
    fn share_in_touch(&self, now: Instant) -> f64 {
        let (hosts, domain) = (self.shared.hosts(), self.shared.domain);
        let (mut alive, mut known) = (1.0, 1.0);
        for member in hosts.members().filter(|member| member.record.domain == domain) {
            known += 1.0;
            alive += f64::from(u8::from(member.is_alive(now)));
        }
        alive / known
    }

    /// Shows the number of cold upstreams in the metrics.
    pub(super) fn count_cold(&self) {
        let cold = self.table.cold.cold(Instant::now()).count();
        self.shared.metrics.cold_upstreams.set(cold as i64);
    }
}
