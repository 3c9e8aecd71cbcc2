//! `damaskhatch explain --log`: one request's story out of hosts' logs.

use damaskhatch::cli::story::Story;

const FIRST: &str = "\
[2026-08-28T00:02:15.112Z INFO  damaskhatch::decision] decision request=9d28 event=route team=h decode=i-1
[2026-08-28T00:02:15.200Z INFO  damaskhatch::decision] decision request=9d28f event=route team=h
event=log_lines_left_out count=7
[2026-08-28T00:02:17.003Z INFO  damaskhatch::decision] decision request=9d28 event=stream_ended how=complete
";
const SECOND: &str = "\
[2026-08-28T00:02:16.000Z INFO  damaskhatch::decision] decision request=9d28 event=attempt_failed phase=stream
[2026-08-28T00:02:16.001Z INFO  damaskhatch::control::listing] event=upstreams_read count=3 version=9
event=cut_off_without_a_time request=9d28";

#[test]
fn lines_about_one_request_come_by_time_over_all_hosts() {
    let mut story = Story::of("9d28");
    story.read("a.log", FIRST.as_bytes()).expect("it is read");
    story.read("b.log", SECOND.as_bytes()).expect("it is read");
    assert!(!story.is_empty());
    assert_eq!(story.left_out(), 7);
    let told = story.told();
    let events: Vec<_> =
        told.iter().filter_map(|line| line.split("event=").nth(1)?.split(' ').next()).collect();
    assert_eq!(events, ["cut_off_without_a_time", "route", "attempt_failed", "stream_ended"]);
    assert!(told[1].starts_with("a.log: [") && told[2].starts_with("b.log: ["), "{told:?}");
}

#[test]
fn no_line_is_taken_for_a_request_whose_id_only_begins_alike() {
    let mut story = Story::of("9d2");
    story.read("", FIRST.as_bytes()).expect("it is read");
    assert!(story.is_empty());
}

#[test]
fn bytes_that_are_no_text_hide_nothing_else() {
    let mut log = b"\xff\xfe request=1 event=spoilt\n".to_vec();
    log.extend_from_slice(b"[2026-08-28T00:02:15.112Z INFO x] request=1 event=whole\n");
    let mut story = Story::of("1");
    story.read("", log.as_slice()).expect("it is read");
    assert_eq!(story.told().len(), 2);
}
