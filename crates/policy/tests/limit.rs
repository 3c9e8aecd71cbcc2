//! Guards against limits of upstreams that are exceeded by all hosts together, wasted, or lifted by
//! a response that says nothing about them.

use damaskhatch_policy::limit::{
    Ask, Id, Named, Pacer, Seen, Statement, Table, Verdict, fraction, holders,
};
use damaskhatch_policy::prelude::*;
use proptest::prelude::*;

const UPSTREAM: Tag = Tag(7);
const TICK: Duration = Duration::from_millis(5);

fn statement(serial: u32, per_s: Option<f64>) -> Statement {
    Statement { upstream: UPSTREAM, started_ms: 1, serial, per_s }
}

fn id(serial: u64) -> Id {
    Id { host: Tag(1), incarnation: 1, serial }
}

fn ask(per_s: f64, team: u64, priority: u8, patience: Duration) -> Ask {
    Ask { statement: statement(1, Some(per_s)), team: Tag(team), priority, patience }
}

/// The most grants within any span of this length.
fn most_within(grants: &[Instant], span: Duration) -> usize {
    let counts = grants
        .iter()
        .enumerate()
        .map(|(at, start)| grants[at..].iter().take_while(|time| **time < *start + span).count());
    counts.max().unwrap_or(0)
}

proptest! {
    /// Guards against bursts after pauses, and against waiting requests that get more than the rate.
    #[test]
    fn no_window_has_more_grants_than_the_limit_allows(
        per_s in 0.5_f64..300.0,
        asks in prop::collection::vec((0_u64..400, 0_u64..3, 0_u8..3, 0_u64..900), 1..200),
    ) {
        let start = Instant::now();
        let mut pacer = Pacer::default();
        let mut now = start;
        let mut grants = Vec::new();
        for (serial, (pause, team, priority, patience)) in asks.iter().enumerate() {
            let until = now + Duration::from_millis(*pause);
            while now < until {
                now += TICK;
                let answers = pacer.tick(|_| 1.0, now);
                let granted = answers.iter().filter(|(.., verdict)| *verdict == Verdict::Granted);
                grants.extend(granted.map(|_| now));
            }
            let ask = ask(per_s, *team, *priority, Duration::from_millis(*patience));
            if pacer.ask(id(serial as u64), &ask, 1.0, now) == Verdict::Granted {
                grants.push(now);
            }
        }
        for span in [Duration::from_secs(1), Duration::from_secs(4)] {
            let allowed = per_s * (span.as_secs_f64() + 0.02) + 1.0;
            let most = most_within(&grants, span);
            prop_assert!(most as f64 <= allowed + 1e-6, "{most} in {span:?}, limit {per_s}");
        }
    }

    /// Guards against two hosts that disagree for ever about which limit is in force.
    #[test]
    fn hosts_that_have_seen_the_same_words_agree(
        statements in prop::collection::vec((0_u32..4, prop::option::of(1_u32..5)), 1..8),
        order in prop::collection::vec(any::<prop::sample::Index>(), 8),
    ) {
        let now = Instant::now();
        let statements: Vec<Statement> =
            statements.into_iter().map(|(n, rate)| statement(n, rate.map(f64::from))).collect();
        let (mut one, mut other) = (Table::default(), Table::default());
        for statement in &statements {
            one.merge(statement, now);
        }
        let mut shuffled = statements;
        for index in order {
            let at = index.index(shuffled.len());
            shuffled.rotate_left(at);
            other.merge(&shuffled[0], now);
        }
        for statement in &shuffled {
            other.merge(statement, now);
        }
        prop_assert_eq!(one.limit(UPSTREAM, 1), other.limit(UPSTREAM, 1));
    }
}

/// Guards against a limit of which less than nine tenths are used while callers wait.
#[test]
fn waiting_requests_use_the_limit() {
    for (per_s, hosts) in [(5.8, 3), (2.5, 10), (5.8, 64), (250.0, 64)] {
        let start = Instant::now();
        let mut pacer = Pacer::default();
        let mut granted = 0;
        let mut now = start;
        let mut serial = 0;
        while now < start + Duration::from_mins(1) {
            now += TICK;
            let answers = pacer.tick(|_| 1.0, now);
            let is_granted = |(.., verdict): &&(Id, Tag, Verdict)| *verdict == Verdict::Granted;
            granted += answers.iter().filter(is_granted).count();
            // Twice as many requests as the limit allows, each of which can wait for 135 ms.
            while (serial as f64) < 2.0 * per_s * (now - start).as_secs_f64() {
                serial += 1;
                let id = Id { host: Tag(serial % hosts), incarnation: 1, serial };
                let ask = ask(per_s, 1, 0, Duration::from_millis(135));
                granted += usize::from(pacer.ask(id, &ask, 1.0, now) == Verdict::Granted);
            }
        }
        let used = granted as f64 / (per_s * 60.0);
        assert!((0.9..=1.01).contains(&used), "{used:.3} of {per_s} a second");
    }
}

/// Guards against a request that is granted twice because its ask was sent again.
#[test]
fn an_ask_that_comes_again_gets_the_same_answer() {
    let start = Instant::now();
    let mut pacer = Pacer::default();
    let patient = ask(1.0, 1, 0, Duration::from_secs(2));
    assert_eq!(pacer.ask(id(1), &patient, 1.0, start), Verdict::Queued);
    assert_eq!(pacer.ask(id(1), &patient, 1.0, start), Verdict::Queued);
    let later = start + Duration::from_secs(1);
    assert_eq!(pacer.tick(|_| 1.0, later), [(id(1), UPSTREAM, Verdict::Granted)]);
    assert_eq!(pacer.ask(id(1), &patient, 1.0, later), Verdict::Granted);
    assert!(matches!(
        pacer.ask(id(2), &ask(1.0, 1, 0, Duration::ZERO), 1.0, later),
        Verdict::Refused { .. }
    ));
}

/// Guards against a team or a low priority that crowds out the others at a limited upstream.
#[test]
fn grants_go_by_priority_and_then_fairly_over_teams() {
    let start = Instant::now();
    let mut pacer = Pacer::default();
    let wait = Duration::from_secs(10);
    for serial in 0..4 {
        pacer.ask(id(serial), &ask(1.0, 1, 1, wait), 1.0, start);
    }
    pacer.ask(id(10), &ask(1.0, 2, 1, wait), 1.0, start);
    pacer.ask(id(11), &ask(1.0, 1, 0, wait), 1.0, start);
    let order = (1..=4).flat_map(|second| {
        let answers = pacer.tick(|_| 1.0, start + Duration::from_millis(second * 1_000));
        answers.into_iter().map(|(id, ..)| id.serial).collect::<Vec<_>>()
    });
    assert_eq!(order.collect::<Vec<_>>(), [11, 10, 0, 1]);
}

/// Guards against refused callers that all come back at the same moment.
#[test]
fn refused_requests_come_back_one_after_the_other() {
    let start = Instant::now();
    let mut pacer = Pacer::default();
    let waits = (0..8).map(|serial| {
        match pacer.ask(id(serial), &ask(2.0, 1, 0, Duration::ZERO), 1.0, start) {
            Verdict::Refused { retry_after } => retry_after.as_millis(),
            other => panic!("{other:?}"),
        }
    });
    assert_eq!(waits.collect::<Vec<_>>(), [500, 1000, 1500, 2000, 2500, 3000, 3500, 4000]);
}

fn seen(named: Named, sent_at: Instant) -> Seen {
    Seen { upstream: UPSTREAM, started_ms: 1, sent_at, named }
}

/// Guards against a limit that is lifted by a response to a request that was sent before the
/// upstream named it, or by an earlier start of the upstream.
#[test]
fn only_a_response_to_a_later_request_lifts_a_limit() {
    let start = Instant::now();
    let at = |ms| start + Duration::from_millis(ms);
    let mut table = Table::default();
    assert!(table.observe(&seen(Named::Limit(4.0), at(0)), at(10)).is_some());
    assert_eq!(table.observe(&seen(Named::Nothing, at(5)), at(20)), None);
    assert_eq!(table.observe(&seen(Named::Limit(9.0), at(5)), at(20)), None);
    let earlier = Seen { started_ms: 0, ..seen(Named::Nothing, at(30)) };
    assert_eq!(table.observe(&earlier, at(40)), None);
    assert_eq!(table.limit(UPSTREAM, 1).and_then(|statement| statement.per_s), Some(4.0));
    let lifted = table.observe(&seen(Named::Nothing, at(30)), at(40)).expect("a new statement");
    assert_eq!((lifted.serial, lifted.per_s), (2, None));
    assert_eq!(table.limit(UPSTREAM, 1), None);
    // A response that is still on its way may be from after the lift.
    let again = table.observe(&seen(Named::Limit(4.0), at(30)), at(50)).expect("a new statement");
    assert_eq!((again.serial, again.per_s), (3, Some(4.0)));
    assert_eq!(table.limit(UPSTREAM, 2), None, "a later start has no limit yet");
}

/// Guards against an upstream that is lost, or a limit that is dropped, because of a bad value.
#[test]
fn a_malformed_limit_says_nothing() {
    for text in ["0", "-3", "NaN", "inf", "many", "", "1e300", "3;4"] {
        assert_eq!(Named::parse([text]), Named::Malformed(text.to_owned()), "{text}");
    }
    assert_eq!(Named::parse([]), Named::Nothing);
    assert_eq!(Named::parse([" 5.8 "]), Named::Limit(5.8));
    assert_eq!(Named::parse(["7, 5", "6"]), Named::Limit(5.0));
    assert_eq!(Named::parse(["x, 5"]), Named::Limit(5.0));
    let now = Instant::now();
    let mut table = Table::default();
    assert!(table.observe(&seen(Named::Limit(4.0), now), now).is_some());
    let bad = seen(Named::Malformed("0".to_owned()), now + TICK);
    assert_eq!(table.observe(&bad, now + TICK), None);
    assert_eq!(table.limit(UPSTREAM, 1).and_then(|statement| statement.per_s), Some(4.0));
}

/// Guards against the sides of a partition that together grant more than the limit.
#[test]
fn domains_that_are_cut_off_grant_the_limit_together() {
    let hosts: Vec<Tag> = (1..=9).map(Tag).collect();
    let sides = [(&hosts[..3], 1.0 / 3.0), (&hosts[3..], 2.0 / 3.0)];
    let granted = sides.map(|(side, share)| {
        let chosen = holders(UPSTREAM, side.iter().copied());
        assert_eq!(fraction(chosen[0], &chosen, share), Some(share));
        assert_eq!(fraction(chosen[1], &chosen, share), Some(share / 2.0), "it stands in");
        let other = side.iter().find(|host| !chosen.contains(host)).expect("a third host");
        assert_eq!(fraction(*other, &chosen, share), None);
        share
    });
    assert!(granted.iter().sum::<f64>() <= 1.0);
}
