//! Exchanges how fast upstreams work with other hosts.
//!
//! What an upstream states holds for a moment, so news of it go with the next heartbeat, to as many hosts.
//! Samples of the time that work takes are told to the hosts of the domain from time to time. See
//! [docs/design/uneven-load.md](../../../../docs/design/uneven-load.md).

use std::net::SocketAddr;

use damaskhatch_policy::membership::View;
use damaskhatch_policy::speed::Notice;
use damaskhatch_wire::prelude::Body;
use rand::seq::IteratorRandom;

use crate::prelude::*;
use crate::shared::Shared;

/// The number of heartbeats of which one also tells samples.
const SAMPLES_PERIOD: u64 = 5;
/// The most samples of upstreams that are sent at a time, over all hosts that get them; some hosts of a
/// large domain get none.
const MAX_SAMPLES: usize = 120;
/// The number of notices in a datagram, of up to 30 bytes each.
const NOTICES_PER_DATAGRAM: usize = 40;

/// Tells other hosts what they have not been told, with a heartbeat of this host to `heard`.
pub fn tell(shared: &Shared, view: &View, heard: &[SocketAddr], now: Instant) {
    let has_samples = view.own.count.is_multiple_of(SAMPLES_PERIOD);
    let untold = {
        let mut speeds = shared.speeds.lock();
        speeds.forget_old(now);
        speeds.take_untold(has_samples)
    };
    if untold.is_empty() {
        return;
    }
    let (news, samples): (Vec<Notice>, Vec<Notice>) =
        untold.into_iter().partition(|notice| notice.stated.is_some());
    heard.iter().for_each(|to| send(shared, *to, &news));
    let alive = view.members().filter(|member| member.is_alive(now));
    let near = alive.filter(|member| member.record.domain == shared.domain);
    let recipients = MAX_SAMPLES / samples.len().max(1);
    for member in near.sample(&mut rand::rng(), recipients.max(1)) {
        send(shared, member.record.address, &samples);
    }
}

fn send(shared: &Shared, to: SocketAddr, notices: &[Notice]) {
    for notices in notices.chunks(NOTICES_PER_DATAGRAM) {
        shared.outbox.send(to, Body::Speeds(notices.to_vec()));
    }
}

/// Takes into account what another host tells.
pub fn merge(shared: &Shared, notices: &[Notice]) {
    let (mut speeds, now) = (shared.speeds.lock(), Instant::now());
    notices.iter().for_each(|notice| speeds.merge(notice, now));
}
