//! Guards against requests to upstreams that have said that they leave or want a pause, and against
//! upstreams that are lost for good by what one response says.

use damaskhatch_policy::availability::{MAX_PAUSE, Notice, Standing, Statement, Table, Values};
use damaskhatch_policy::prelude::*;
use proptest::prelude::*;

const UPSTREAM: Tag = Tag(7);
const START: u64 = 1_000;

fn leaving() -> Statement {
    Statement::parse(&Values { leaving: vec!["1"], ..Values::default() }, 200)
}

fn silent() -> Statement {
    Statement::parse(&Values::default(), 200)
}

fn declined(retry_after: &str) -> Statement {
    Statement::parse(&Values { retry_after: vec![retry_after], ..Values::default() }, 503)
}

fn seconds(seconds: f64) -> Duration {
    Duration::from_secs_f64(seconds)
}

/// Guards against a leaving upstream that gets requests again because a later response, another host
/// or an older entry of the list says nothing of it.
#[test]
fn only_a_new_start_lifts_that_an_upstream_is_leaving() {
    let (mut table, now) = (Table::default(), Instant::now());
    assert!(table.observe((UPSTREAM, START), &leaving(), now, now).is_leaving);
    let later = now + seconds(30.0);
    table.observe((UPSTREAM, START), &silent(), later, later);
    let contradiction =
        Notice { upstream: UPSTREAM, started_ms: START, is_leaving: false, pause: Duration::ZERO };
    table.merge(&contradiction, later);
    assert_eq!(table.standing(UPSTREAM, START, later), Standing::Leaving);
    assert_eq!(table.standing(UPSTREAM, START - 1, later), Standing::Leaving, "an older entry");
    assert_eq!(table.standing(UPSTREAM, START + 1, later), Standing::Available);
    table.observe((UPSTREAM, START + 1), &declined("1"), later, later);
    assert!(
        !table.observe((UPSTREAM, START), &leaving(), later, later).is_leaving,
        "a late response"
    );
    assert!(matches!(table.standing(UPSTREAM, START + 1, later), Standing::Paused(_)));
}

/// Guards against an upstream without a known start that never gets requests again.
#[test]
fn without_a_known_start_a_later_response_or_time_lifts_it() {
    let (mut table, now) = (Table::default(), Instant::now());
    table.observe((UPSTREAM, 0), &leaving(), now, now);
    table.observe((UPSTREAM, 0), &silent(), now - seconds(1.0), now + seconds(1.0));
    let soon = now + seconds(2.0);
    assert_eq!(table.standing(UPSTREAM, 0, soon), Standing::Leaving, "sent before it said so");
    assert!(table.observe((UPSTREAM, 0), &silent(), soon, soon).has_stayed);
    assert_eq!(table.standing(UPSTREAM, 0, soon), Standing::Available);
    table.observe((UPSTREAM, 0), &leaving(), soon, soon);
    assert_eq!(table.standing(UPSTREAM, 0, soon + seconds(61.0)), Standing::Available);
}

/// Guards against a pause that ends early, by a shorter one or by a response of another kind.
#[test]
fn a_pause_lasts_to_its_end() {
    let (mut table, now) = (Table::default(), Instant::now());
    let news = table.observe((UPSTREAM, START), &declined("3.5"), now, now);
    assert_eq!(news.pause, Some(seconds(3.5)));
    table.observe((UPSTREAM, START), &declined("0.1"), now, now);
    table.observe((UPSTREAM, START), &silent(), now, now);
    let standing = |at: f64| table.standing(UPSTREAM, START, now + seconds(at));
    assert_eq!(standing(3.4), Standing::Paused(now + seconds(3.5)));
    assert_eq!(standing(3.6), Standing::Available);
}

/// Guards against a pause that binds hosts which the upstream has not asked for it, and against
/// hearsay that never ends.
#[test]
fn other_hosts_learn_a_pause_as_a_hint_and_do_not_pass_it_on() {
    let (mut table, mut peer, now) = (Table::default(), Table::default(), Instant::now());
    table.observe((UPSTREAM, START), &declined("4"), now, now);
    let told = table.take_untold(now + seconds(1.0));
    assert_eq!(told.len(), 1);
    assert!(table.take_untold(now).is_empty(), "told once");
    peer.merge(&told[0], now);
    assert_eq!(peer.standing(UPSTREAM, START, now + seconds(2.9)), Standing::Discouraged);
    assert_eq!(peer.standing(UPSTREAM, START, now + seconds(3.1)), Standing::Available);
    assert_eq!(peer.notices(now).count(), 0);
    table.observe((UPSTREAM, 0), &leaving(), now, now);
    assert_eq!(table.standing(UPSTREAM, START, now), Standing::Paused(now + seconds(4.0)));
}

/// Guards against an upstream that is lost by a malformed value, and against values that are not
/// reported.
#[test]
fn malformed_values_say_nothing() {
    let bad =
        ["", "-1", "soon", "NaN", "inf", "1e3", "Wed, 21 Oct 2026 07:28:00 GMT", "0x10", "+1"];
    for value in bad {
        let statement = declined(value);
        assert_eq!(statement.pause, None, "{value:?}");
        assert!(!statement.malformed.is_empty(), "{value:?}");
    }
    for value in ["yes", "2", "true", ""] {
        let statement =
            Statement::parse(&Values { leaving: vec![value], ..Values::default() }, 200);
        assert!(!statement.is_leaving, "{value:?}");
        assert!(!statement.malformed.is_empty(), "{value:?}");
    }
    let long = declined(&"9".repeat(400));
    assert_eq!(long.pause, Some(MAX_PAUSE));
    assert_eq!(declined("3600").pause, Some(MAX_PAUSE));
    assert_eq!(declined("0").pause, None);
    for status in [200, 429, 500] {
        let values = Values { retry_after: vec!["5"], ..Values::default() };
        assert_eq!(Statement::parse(&values, status).pause, None, "status {status}");
    }
    let doubled = Values { retry_after: vec!["1", "2.5", "x"], ..Values::default() };
    assert_eq!(Statement::parse(&doubled, 503).pause, Some(seconds(2.5)));
    let mut table = Table::default();
    assert!(table.note_malformed(UPSTREAM, "x"));
    assert!(!table.note_malformed(UPSTREAM, "x"), "logged once");
}

#[derive(Debug, Clone)]
enum Step {
    Leave(u64),
    Pause(u64, f64),
    Answer(u64),
    Hear(Notice),
}

fn steps() -> impl Strategy<Value = Vec<(Step, f64)>> {
    let start = 1_u64..4;
    let notice =
        (start.clone(), any::<bool>(), 0.0_f64..8.0).prop_map(|(started_ms, is_leaving, s)| {
            Notice { upstream: UPSTREAM, started_ms, is_leaving, pause: seconds(s) }
        });
    let step = prop_oneof![
        start.clone().prop_map(Step::Leave),
        (start.clone(), 0.0_f64..8.0).prop_map(|(start, pause)| Step::Pause(start, pause)),
        start.prop_map(Step::Answer),
        notice.prop_map(Step::Hear),
    ];
    prop::collection::vec((step, 0.0_f64..3.0), 1..40)
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(2_000))]

    /// Guards against any order of responses and messages after which a host sends a request to a
    /// start of an upstream that has told it to leave, or inside a pause that it was asked for.
    #[test]
    fn what_an_upstream_told_this_host_binds_it(steps in steps()) {
        let (mut table, mut now) = (Table::default(), Instant::now());
        let mut newest = 0;
        let mut left = false;
        let mut paused_until = now;
        for (step, pause) in steps {
            now += seconds(pause);
            let (start, statement) = match &step {
                Step::Leave(start) => (*start, Some(leaving())),
                Step::Pause(start, pause) => (*start, Some(declined(&format!("{pause:.3}")))),
                Step::Answer(start) => (*start, Some(silent())),
                Step::Hear(notice) => (notice.started_ms, None),
            };
            if let Some(statement) = &statement {
                table.observe((UPSTREAM, start), statement, now, now);
            } else if let Step::Hear(notice) = &step {
                table.merge(notice, now);
            }
            if start > newest {
                // A response that says nothing does not make a new start known.
                (newest, left, paused_until) = (start, false, now);
            }
            if let Some(statement) = statement.filter(|_| start == newest) {
                left |= statement.is_leaving;
                paused_until = statement.pause.map_or(paused_until, |p| paused_until.max(now + p));
            }
            let standing = table.standing(UPSTREAM, newest, now);
            prop_assert!(!left || standing == Standing::Leaving, "{standing:?}");
            let is_paused = paused_until > now;
            prop_assert!(!is_paused || !standing.allows_requests(), "{standing:?}");
        }
    }
}
