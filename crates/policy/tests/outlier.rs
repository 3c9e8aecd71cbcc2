//! Ejection of upstreams that decline requests.

use damaskhatch_policy::outlier::Outliers;
use damaskhatch_policy::prelude::*;
use proptest::prelude::*;

const UPSTREAM: Tag = Tag(1);

fn after(start: Instant, ms: u64) -> Instant {
    start + Duration::from_millis(ms)
}

/// Guards against an upstream that is avoided because it was full for a moment.
#[test]
fn a_single_decline_ejects_no_upstream() {
    let (start, mut outliers) = (Instant::now(), Outliers::default());
    for ms in 0..100 {
        outliers.record_decline(UPSTREAM, after(start, ms));
        assert!(!outliers.is_ejected(UPSTREAM, after(start, ms)));
        outliers.record_success(UPSTREAM);
    }
}

/// Guards against an upstream that declines all requests and goes on to attract them, and against one
/// that is never asked again.
#[test]
fn an_upstream_that_declines_all_is_asked_less_and_less_but_every_few_seconds() {
    let (start, mut outliers) = (Instant::now(), Outliers::default());
    let mut asked = Vec::new();
    for ms in 0..60_000 {
        let now = after(start, ms);
        if !outliers.is_ejected(UPSTREAM, now) {
            outliers.begin_attempt(UPSTREAM, now);
            outliers.record_decline(UPSTREAM, now);
            asked.push(ms);
        }
    }
    let pauses: Vec<u64> = asked.windows(2).map(|pair| pair[1] - pair[0]).collect();
    assert!(pauses.is_sorted(), "{pauses:?}");
    assert_eq!(pauses.last(), Some(&4_000), "{pauses:?}");
    assert!(asked.len() < 25, "asked {} times in a minute: {asked:?}", asked.len());
}

/// Guards against requests that all go to an upstream at the moment at which its ejection ends.
#[test]
fn one_request_at_a_time_goes_to_an_upstream_whose_ejection_has_ended() {
    let (start, mut outliers) = (Instant::now(), Outliers::default());
    outliers.record_decline(UPSTREAM, start);
    outliers.record_decline(UPSTREAM, start);
    assert!(outliers.is_ejected(UPSTREAM, start));
    let end = after(start, 100);
    assert!(!outliers.is_ejected(UPSTREAM, end));
    outliers.begin_attempt(UPSTREAM, end);
    assert!(outliers.is_ejected(UPSTREAM, end));
    // The probe's decline counts although the upstream is ejected, that of an earlier request does not.
    outliers.record_decline(UPSTREAM, after(end, 10));
    outliers.record_decline(UPSTREAM, after(end, 20));
    assert!(outliers.is_ejected(UPSTREAM, after(end, 209)));
    assert!(!outliers.is_ejected(UPSTREAM, after(end, 210)));
    // A probe that never ends makes way for another one.
    outliers.begin_attempt(UPSTREAM, after(end, 210));
    assert!(!outliers.is_ejected(UPSTREAM, after(end, 310)));
}

proptest! {
    /// Guards against an ejection that outlasts a success, or that never ends.
    #[test]
    fn an_ejection_ends_with_a_success_and_within_four_seconds(
        events in prop::collection::vec((0_u8..3, 0_u64..500), 1..60),
    ) {
        let (mut now, mut outliers) = (Instant::now(), Outliers::default());
        for (event, pause_ms) in events {
            now += Duration::from_millis(pause_ms);
            match event {
                0 => outliers.record_decline(UPSTREAM, now),
                1 => outliers.record_failure(UPSTREAM, now),
                _ => outliers.begin_attempt(UPSTREAM, now),
            }
            prop_assert!(!outliers.is_ejected(UPSTREAM, now + Duration::from_secs(4)));
        }
        outliers.record_success(UPSTREAM);
        prop_assert!(!outliers.is_ejected(UPSTREAM, now));
    }
}
