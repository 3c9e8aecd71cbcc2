//! Tests of how long callers may take to send their bodies.

use damaskhatch_policy::pace::time_for;
use damaskhatch_policy::prelude::*;

const GRACE: Duration = Duration::from_secs(25);

/// When a caller that sends at this rate is cut off, in whole seconds; `None` if it never is within `until`.
fn cut_off_after(bytes_per_s: usize, until: u64) -> Option<u64> {
    (1..=until).find(|&second| {
        let sent = bytes_per_s * second as usize;
        Duration::from_secs(second) > time_for(sent, GRACE)
    })
}

/// Load: bodies that begin and are never sent, or whose bytes come one at a time.
#[test]
fn callers_that_send_next_to_nothing_are_cut_off_after_the_grace_time() {
    assert_eq!(cut_off_after(0, 3_600), Some(26));
    assert_eq!(cut_off_after(20, 3_600), Some(26));
}

/// Load: bodies without an end below the minimum rate, which gain time with each byte.
#[test]
fn callers_below_the_minimum_rate_are_cut_off_in_the_end() {
    assert_eq!(cut_off_after(500, 3_600), Some(51));
    assert_eq!(cut_off_after(900, 3_600), Some(251));
}

/// Load: callers behind a thin link, with bodies of 4 MiB.
#[test]
fn slow_callers_may_send_long_bodies() {
    for bytes_per_s in [1_000, 10_000] {
        assert_eq!(cut_off_after(bytes_per_s, (4 << 20) / bytes_per_s as u64), None);
    }
}

/// Load: a caller that stands still for 20 s, at the start or amid its body.
#[test]
fn callers_may_pause() {
    for sent in [0, 1, 100_000] {
        let paused_at = Duration::from_secs_f64(sent as f64 / 10_000.0);
        assert!(paused_at + Duration::from_secs(20) < time_for(sent, GRACE));
    }
}
