//! Guards against slow streams that are taken for stalled ones, and stalled ones that are not.

use damaskhatch_policy::prelude::*;
use damaskhatch_policy::silence::Watch;

const TARGET: Duration = Duration::from_millis(800);

#[test]
fn a_stream_without_events_is_stalled_after_twice_its_target() {
    let start = Instant::now();
    let watch = Watch::new(TARGET, start);
    assert_eq!(watch.stalled_at(), Some(start + TARGET * 2));
    let quick = Watch::new(Duration::from_millis(100), start);
    assert_eq!(quick.stalled_at(), Some(start + Duration::from_secs(1)));
}

#[test]
fn a_slow_stream_is_not_stalled_while_it_keeps_its_pace() {
    let mut now = Instant::now();
    let mut watch = Watch::new(TARGET, now);
    for pause_ms in [700, 1_500, 1_500, 5_900, 1_500, 20_000] {
        let pause = Duration::from_millis(pause_ms);
        assert!(watch.stalled_at().is_some_and(|at| at > now + pause), "{pause:?}");
        now += pause;
        watch.record_event(now);
    }
}

#[test]
fn a_waived_watch_begins_again_with_the_next_event_or_engine() {
    let start = Instant::now();
    let later = start + Duration::from_secs(3);
    for begin in [Watch::record_event, Watch::restart] {
        let mut watch = Watch::new(TARGET, start);
        watch.waive();
        assert_eq!(watch.stalled_at(), None);
        begin(&mut watch, later);
        assert!(watch.stalled_at().is_some_and(|at| at > later));
    }
}
