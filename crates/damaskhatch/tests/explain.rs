//! Guards against a `damaskhatch explain --log` that omits lines about a request, shows lines of
//! another one, or does not order the lines of several hosts by time.

use damaskhatch::cli::timeline::Timeline;
use damaskhatch::decision::Journal;

const FIRST: &str = "\
[2026-08-28T00:02:15.112Z INFO  damaskhatch::decision] decision request=9d28 event=route team=h decode=i-1
[2026-08-28T00:02:15.200Z INFO  damaskhatch::decision] decision request=9d28f event=route team=h
event=log_lines_left_out count=7
[2026-08-28T00:02:17.003Z INFO  damaskhatch::decision] decision request=9d28 event=stream_ended how=complete
";
const SECOND: &str = "\
[2026-08-28T00:02:16.000Z INFO  damaskhatch::decision] decision request=9d28 event=attempt_failed phase=stream
[2026-08-28T00:02:16.001Z INFO  damaskhatch::control::listing] event=upstreams_read count=3 version=9
event=truncated_without_a_time request=9d28";

#[test]
fn lines_about_one_request_are_merged_by_time_across_hosts() {
    let mut timeline = Timeline::new("9d28");
    timeline.read("a.log", FIRST.as_bytes()).expect("the log is read");
    timeline.read("b.log", SECOND.as_bytes()).expect("the log is read");
    assert!(!timeline.is_empty());
    assert_eq!(timeline.dropped_lines(), 7);
    let lines = timeline.into_sorted();
    let events: Vec<_> =
        lines.iter().filter_map(|line| line.split("event=").nth(1)?.split(' ').next()).collect();
    assert_eq!(events, ["truncated_without_a_time", "route", "attempt_failed", "stream_ended"]);
    assert!(lines[1].starts_with("a.log: [") && lines[2].starts_with("b.log: ["), "{lines:?}");
}

#[test]
fn a_request_id_does_not_match_a_longer_one_with_the_same_prefix() {
    let mut timeline = Timeline::new("9d2");
    timeline.read("", FIRST.as_bytes()).expect("the log is read");
    assert!(timeline.is_empty());
}

#[test]
fn invalid_utf8_hides_no_line() {
    let mut log = b"\xff\xfe request=1 event=invalid_utf8\n".to_vec();
    log.extend_from_slice(b"[2026-08-28T00:02:15.112Z INFO x] request=1 event=valid_utf8\n");
    let mut timeline = Timeline::new("1");
    timeline.read("", log.as_slice()).expect("the log is read");
    assert_eq!(timeline.into_sorted().len(), 2);
}

/// Guards against long request ids that make the decisions kept take up all memory.
#[test]
fn decisions_are_kept_up_to_a_sum_of_bytes() {
    let journal = Journal::default();
    let id = |number: usize| format!("{number}-{}", "x".repeat(12_000));
    for number in 0..1_000 {
        journal.record(id(number), format_args!("event=test"));
    }
    let kept = (0..1_000).filter(|number| !journal.explain(&id(*number)).is_empty()).count();
    assert!((1..=100).contains(&kept), "{kept} decisions of 24 KB each are kept");
    assert_eq!(journal.explain(&id(999)).len(), 1, "the newest is kept");
}
