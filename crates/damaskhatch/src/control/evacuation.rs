//! Learns which domains operators have evacuated, and tells other hosts.
//!
//! The hosts that read the store see the entries together with the configuration. All others learn the
//! set from datagrams: at once when it changes, and with heartbeats from then on. See
//! [docs/design/evacuation.md](../../../../docs/design/evacuation.md).

use damaskhatch_policy::evacuation::News;
use damaskhatch_wire::prelude::Body;

use crate::config_pull::Evacuations;
use crate::prelude::*;
use crate::shared::Shared;

/// Takes into account what a read of the store shows, and tells all live hosts what is new.
pub fn learn(shared: &Shared, read: Evacuations) {
    let mut availability = shared.availability.lock();
    let table = &mut availability.evacuations;
    let news = match read {
        Evacuations::Unknown => return,
        Evacuations::All(domains, version) => table.replace(domains, version),
        Evacuations::Changed(changes, version) => table.apply(&changes, version),
    };
    let version = table.version();
    drop(availability);
    record(shared, &news, version, "store");
    if news.is_empty() {
        return;
    }
    let Some(body) = statement(shared) else { return };
    let now = Instant::now();
    for member in shared.hosts().members().filter(|member| member.is_alive(now)) {
        shared.outbox.send(member.record.address, body.clone());
    }
}

/// Takes into account the set that another host knows.
pub fn merge(shared: &Shared, domains: &[Tag], version: u64) {
    let news = shared.availability.lock().evacuations.merge(domains.iter().copied(), version);
    record(shared, &news, version, "peer");
}

/// What to tell other hosts; `None` while no domain has been evacuated since the start of this host.
pub fn statement(shared: &Shared) -> Option<Body> {
    let availability = shared.availability.lock();
    let table = &availability.evacuations;
    let statement =
        || Body::Evacuations { version: table.version(), domains: table.domains().collect() };
    table.has_been_used().then(statement)
}

/// Logs and counts the domains whose state has changed.
fn record(shared: &Shared, news: &News, version: u64, source: &str) {
    if news.is_empty() {
        return;
    }
    for domain in &news.evacuated {
        let domain = shared.domain_name(*domain);
        log::info!("event=domain_evacuated domain={domain} version={version} source={source}");
    }
    for domain in &news.taken_back {
        let domain = shared.domain_name(*domain);
        log::info!("event=domain_taken_back domain={domain} version={version} source={source}");
    }
    let evacuated = shared.availability.lock().evacuations.domains().count();
    shared.metrics.evacuated_domains.set(evacuated as i64);
}
