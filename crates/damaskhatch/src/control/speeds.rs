//! Exchanges how fast upstreams work with other hosts.
//!
//! What an upstream states holds for a moment, so it is told to all live hosts at once if it is news.
//! Samples of the time that work takes are told to the hosts of the domain from time to time. See
//! [docs/design/uneven-load.md](../../../../docs/design/uneven-load.md).

use damaskhatch_policy::membership::View;
use damaskhatch_policy::speed::Notice;
use damaskhatch_wire::prelude::Body;

use crate::prelude::*;
use crate::shared::Shared;

/// The number of heartbeats of which one also tells samples.
const SAMPLES_PERIOD: u64 = 5;
/// The number of notices in a datagram, of up to 30 bytes each.
const NOTICES_PER_DATAGRAM: usize = 40;

/// Tells other hosts what they have not been told, with a heartbeat of this host.
pub fn tell(shared: &Shared, view: &View, now: Instant) {
    let has_samples = view.own.count.is_multiple_of(SAMPLES_PERIOD);
    let untold = {
        let mut speeds = shared.speeds.lock();
        speeds.forget_old(now);
        speeds.take_untold(has_samples)
    };
    let (news, samples): (Vec<Notice>, Vec<Notice>) =
        untold.into_iter().partition(|notice| notice.stated.is_some());
    for (notices, is_near) in [(news, false), (samples, true)] {
        for notices in notices.chunks(NOTICES_PER_DATAGRAM) {
            let alive = view.members().filter(|member| member.is_alive(now));
            for member in alive.filter(|m| !is_near || m.record.domain == shared.domain) {
                shared.outbox.send(member.record.address, Body::Speeds(notices.to_vec()));
            }
        }
    }
}

/// Takes into account what another host tells.
pub fn merge(shared: &Shared, notices: &[Notice]) {
    let (mut speeds, now) = (shared.speeds.lock(), Instant::now());
    notices.iter().for_each(|notice| speeds.merge(notice, now));
}
