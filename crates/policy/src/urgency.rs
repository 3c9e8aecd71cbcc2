//! How urgent a request is among those of its service.
//!
//! Priorities mean something only beside others. Where the configuration gives all requests of a
//! service the same one, none is treated differently from any other.

use std::collections::BTreeSet;

use crate::config::Snapshot;
use crate::prelude::*;

/// The place of a priority among those that the requests of a service can have: 0 for the most urgent, and
/// for each where there is only one, up to 1 for the least urgent.
pub fn rank(snapshot: &Snapshot, service: Service, priority: u8) -> f64 {
    place(&snapshot.services[service].priorities, priority)
}

/// Whether the requests of a service can have different priorities.
pub fn differs(snapshot: &Snapshot, service: Service) -> bool {
    snapshot.services[service].priorities.len() > 1
}

/// The place of a priority in a set, as [`rank`] defines it.
pub fn place(priorities: &BTreeSet<u8>, priority: u8) -> f64 {
    let last = priorities.len().saturating_sub(1);
    if last == 0 {
        return 0.0;
    }
    let before = priorities.iter().filter(|other| **other < priority).count();
    before.min(last) as f64 / last as f64
}
