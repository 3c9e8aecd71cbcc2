//! Limits that upstreams name: the requests a second that one takes from all hosts together.
//!
//! An upstream names its limit in its responses, so that any host may be the first to learn it.
//! [`Table`] is what a host knows of the limits, from responses and from other hosts. [`Pacer`]
//! grants the requests to limited upstreams one by one. One host does that for each upstream, so
//! that no part of a limit is left where nobody asks for it; see
//! [docs/DESIGN.md](../../../../docs/DESIGN.md#limits-of-upstreams).

pub mod cold;
pub mod pacer;
pub mod table;

pub use pacer::{Ask, Id, Pacer, Verdict};
pub use table::{COLD_SERIAL, Named, Seen, Statement, Table};

use crate::prelude::*;
use crate::rendezvous;

/// The number of hosts that may grant requests to an upstream: the holder, and the one that stands
/// in for it while it does not respond.
const HOLDERS: usize = 2;
/// The part of a limit that is granted by the host that stands in for a holder.
///
/// The holder may go on granting the whole to hosts that still reach it.
const STAND_IN_FRACTION: f64 = 0.5;

/// The hosts that may grant requests to an upstream: its holder, and the one that stands in for it.
pub fn holders(upstream: Tag, hosts: impl IntoIterator<Item = Tag>) -> Vec<Tag> {
    rendezvous::owners(Tag(upstream.0.rotate_left(17)), hosts, HOLDERS)
}

/// The fraction of an upstream's limit that a host may grant; `None` if it is not a holder.
///
/// `reachable` is the share of the domains of which the host knows a live host. Domains that are
/// cut off from each other then grant the whole limit at most, together.
pub fn fraction(own: Tag, holders: &[Tag], reachable: f64) -> Option<f64> {
    let place = holders.iter().position(|holder| *holder == own)?;
    Some(if place == 0 { reachable } else { reachable * STAND_IN_FRACTION })
}
