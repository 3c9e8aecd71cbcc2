//! Learns from the list of upstreams which of them are cold.

use damaskhatch_policy::limit::cold::Listed;

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
            Listed {
                upstream: entry.tag,
                started_ms: entry.started_ms,
                left: entry.cold_left,
                per_s: warming.map(|warming| warming.per_s),
            }
        });
        let news = self.table.cold.observe(listed, now);
        self.publish();
        for Listed { upstream, left, per_s, .. } in news {
            let (name, left_ms) = (self.name(upstream), left.as_millis());
            let per_s = per_s.unwrap_or_default();
            log::info!("event=upstream_cold upstream={name} left_ms={left_ms} per_s={per_s}");
        }
        self.count_cold();
    }

    /// Shows the number of cold upstreams in the metrics.
    pub(super) fn count_cold(&self) {
        let cold = self.table.cold.cold(Instant::now()).count();
        self.shared.metrics.cold_upstreams.set(cold as i64);
    }
}
