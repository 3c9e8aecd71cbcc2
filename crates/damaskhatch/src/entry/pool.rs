//! The upstreams of a plain service that a call may be sent to.

use std::collections::HashSet;

use damaskhatch_policy::availability::Standing;
use damaskhatch_policy::config::Snapshot;
use damaskhatch_policy::prelude::*;

use super::Entry;

/// The upstreams of one choice, and why these.
#[derive(Debug)]
pub struct Pool {
    /// The upstreams.
    pub upstreams: Vec<Tag>,
    /// The reason, for logs.
    pub reason: &'static str,
}

/// The usable upstreams of this host's domain, or of all others; `None` if there is none.
///
/// Ejected ones come last, those of this domain too, because they may still respond.
pub fn usable_upstreams(
    entry: &Entry,
    snapshot: &Snapshot,
    service: Service,
    avoid: &HashSet<Tag>,
) -> Option<Pool> {
    let leaving = entry.shared.hosts().leaving_upstreams(Instant::now());
    let listed = snapshot.services[service].upstreams.iter();
    let standing = |item| entry.shared.availability.standing_of_configured(item);
    let usable = listed.map(|upstream| &snapshot.upstreams[*upstream]).filter(|item| {
        let is_avoided = leaving.contains(&item.tag) || avoid.contains(&item.tag);
        !is_avoided && standing(item).allows_requests()
    });
    let now = Instant::now();
    let (ejected, healthy): (Vec<_>, Vec<_>) =
        usable.partition(|item| entry.outliers().is_ejected(item.tag, now));
    let usable = if healthy.is_empty() { ejected } else { healthy };
    let (local, remote): (Vec<_>, Vec<_>) =
        usable.into_iter().partition(|item| item.domain == entry.shared.domain);
    let (pool, reason) =
        if local.is_empty() { (remote, "other_domain") } else { (local, "own_domain") };
    let upstreams: Vec<Tag> = pool.iter().map(|item| item.tag).collect();
    (!upstreams.is_empty()).then_some(Pool { upstreams, reason })
}

/// When the first of the upstreams that have asked for a pause may be asked again.
pub fn first_pause(
    entry: &Entry,
    snapshot: &Snapshot,
    service: Service,
    avoid: &HashSet<Tag>,
) -> Option<Instant> {
    let listed = snapshot.services[service].upstreams.iter();
    let listed = listed.map(|upstream| &snapshot.upstreams[*upstream]);
    let pauses = listed.filter(|item| !avoid.contains(&item.tag)).filter_map(|item| {
        match entry.shared.availability.standing_of_configured(item) {
            Standing::Paused(until) => Some(until),
            _ => None,
        }
    });
    pauses.min()
}
