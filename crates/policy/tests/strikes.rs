//! The ledger of requests that crash upstreams: who is refused, for how long, and who is not.

use std::collections::HashMap;
use std::net::SocketAddr;

use damaskhatch_policy::prelude::*;
use damaskhatch_policy::registry::{Entry, NO_VERSION, Registry};
use damaskhatch_policy::strike::{
    BASE_QUARANTINE, Crash, LIMIT, Ledger, MAX_FINGERPRINTS, MAX_QUARANTINE, MAX_STRIKES,
    RETENTION, Report, Strike, fingerprint,
};
use damaskhatch_policy::suspect::{Suspect, Suspects};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

/// The fingerprint of the request that crashes upstreams.
const CULPRIT: Tag = Tag(1);
/// The fingerprint of a request that runs beside it.
const BYSTANDER: Tag = Tag(2);
/// How long requests run before their upstream crashes, unless a test says otherwise.
const RAN_FOR: Duration = Duration::from_millis(20);
/// The pause between two requests of a caller that repeats them.
const PAUSE: Duration = Duration::from_secs(3);

fn crash(upstream: u64) -> Crash {
    Crash { upstream: Tag(upstream), started_ms: 1_000 + upstream, name: format!("up-{upstream}") }
}

fn strike(fingerprint: Tag, upstream: u64) -> Strike {
    Strike { fingerprint, crash: crash(upstream), ran_for: RAN_FOR }
}

/// A report of a crash that happens now.
fn report(strike: Strike) -> Report {
    Report { strike, age: Duration::ZERO, is_cleared: false }
}

/// Records that upstreams crash one after the other under a request, the last one at the result.
fn crash_in_turn(
    ledger: &mut Ledger,
    fingerprint: Tag,
    upstreams: std::ops::Range<u64>,
    mut now: Instant,
) -> Instant {
    for upstream in upstreams {
        now += PAUSE;
        assert!(ledger.record(&report(strike(fingerprint, upstream)), now));
    }
    now
}

#[test]
fn a_quarantine_begins_with_the_second_crash_and_lasts_longer_after_each_further_one() {
    let mut ledger = Ledger::default();
    let start = Instant::now();
    let mut now = crash_in_turn(&mut ledger, CULPRIT, 0..1, start);
    assert_eq!(ledger.refused_for(CULPRIT, now), None);
    assert_eq!(ledger.suspected_crash(CULPRIT), Some(Tag(0)));
    let mut expected = BASE_QUARANTINE;
    for upstream in 1..6 {
        now = crash_in_turn(&mut ledger, CULPRIT, upstream..upstream + 1, now);
        assert_eq!(ledger.refused_for(CULPRIT, now), Some(expected), "upstream {upstream}");
        let names: Vec<String> =
            ledger.crashes_of(CULPRIT).into_iter().map(|crash| crash.name).collect();
        assert_eq!(names.len() as u64, upstream + 1, "{names:?}");
        now += expected;
        assert_eq!(ledger.refused_for(CULPRIT, now), None, "the quarantine does not end");
        expected = (expected * 2).min(MAX_QUARANTINE);
    }
    ledger.remove_expired(now + RETENTION);
    assert!(!ledger.is_struck(CULPRIT));
}

/// Guards against one crash that counts several times because several hosts observed it, or
/// because the same request ran on the upstream more than once.
#[test]
fn a_crash_counts_once_however_many_attempts_it_ended() {
    let mut ledger = Ledger::default();
    let start = Instant::now();
    assert!(ledger.record(&report(strike(CULPRIT, 0)), start));
    for ms in [0, 40, 7_000] {
        let later = Strike { ran_for: Duration::from_millis(ms), ..strike(CULPRIT, 0) };
        assert!(!ledger.record(&report(later), start + Duration::from_millis(ms)));
    }
    assert_eq!(ledger.count(CULPRIT), 1);
    // Without a start time, a later crash of an upstream with the same name is another one.
    let unknown = Crash { started_ms: 0, ..crash(9) };
    for (seconds, is_new) in [(0, true), (1, false), (20, true)] {
        let strike = Strike { crash: unknown.clone(), ..strike(BYSTANDER, 9) };
        let now = start + Duration::from_secs(seconds);
        assert_eq!(ledger.record(&report(strike), now), is_new, "after {seconds} s");
    }
}

/// Guards against a popular request that is refused because upstreams end together, as in a
/// partition, a power loss or the removal of several at once.
#[test]
fn a_request_that_ran_on_several_upstreams_that_end_together_is_not_refused() {
    let mut ledger = Ledger::default();
    let start = Instant::now();
    for upstream in 0..5 {
        let strike = Strike { ran_for: Duration::from_millis(500), ..strike(BYSTANDER, upstream) };
        ledger.record(&report(strike), start + Duration::from_millis(60 * upstream));
    }
    assert_eq!(ledger.count(BYSTANDER), 1);
    assert_eq!(ledger.refused_for(BYSTANDER, start + Duration::from_secs(1)), None);
    // A retry that was sent after one of these crashes is separate evidence.
    let at = start + Duration::from_millis(400);
    ledger.record(&report(strike(BYSTANDER, 7)), at);
    assert!(ledger.refused_for(BYSTANDER, at).is_some());
}

/// Guards against a request that is refused for crashes that another one explains.
#[test]
fn two_requests_with_the_same_crashes_run_until_a_third_crash_tells_them_apart() {
    let mut ledger = Ledger::default();
    let mut now = Instant::now();
    for upstream in 0..LIMIT as u64 {
        now += PAUSE;
        for fingerprint in [CULPRIT, BYSTANDER] {
            ledger.record(&report(strike(fingerprint, upstream)), now);
        }
    }
    for fingerprint in [CULPRIT, BYSTANDER] {
        assert_eq!(ledger.refused_for(fingerprint, now), None, "refused although ambiguous");
    }
    now = crash_in_turn(&mut ledger, CULPRIT, 2..3, now);
    assert!(ledger.refused_for(CULPRIT, now).is_some());
    assert_eq!(ledger.refused_for(BYSTANDER, now), None);
    assert_eq!(ledger.suspected_crash(BYSTANDER), None, "still suspected of an explained crash");
    assert_eq!(ledger.culprits().collect::<Vec<_>>(), [CULPRIT]);
}

/// Guards against strikes that outlast the proof that the request does no harm.
#[test]
fn a_complete_response_clears_earlier_strikes_for_good_on_every_host() {
    let mut ledger = Ledger::default();
    let now = crash_in_turn(&mut ledger, BYSTANDER, 0..1, Instant::now());
    let mut other = ledger.clone();
    let served_at = now + PAUSE;
    let cleared = ledger.clear(BYSTANDER, served_at, served_at);
    assert_eq!(cleared.len(), 1);
    assert!(other.record(&cleared[0], served_at) && !other.is_struck(BYSTANDER));
    assert_eq!(ledger.digest(), other.digest());
    // A host that has missed the response tells its own copy again.
    assert!(!ledger.record(&report(strike(BYSTANDER, 0)), served_at));
    let now = crash_in_turn(&mut ledger, BYSTANDER, 1..2, served_at);
    assert_eq!(ledger.refused_for(BYSTANDER, now), None, "a cleared strike counts");
    assert!(ledger.has_crashed(Tag(1), served_at) && !ledger.has_crashed(Tag(0), served_at));
}

/// Guards against a caller that fills the memory of hosts, or displaces a quarantine, by many
/// different requests on upstreams that crash.
#[test]
fn a_flood_of_struck_requests_is_bounded_and_displaces_no_quarantine() {
    let mut ledger = Ledger::default();
    let mut now = crash_in_turn(&mut ledger, CULPRIT, 0..2, Instant::now());
    for serial in 0..2 * MAX_FINGERPRINTS as u64 {
        now += Duration::from_millis(1);
        let flooded = strike(Tag(1_000 + serial), 100 + serial / 12);
        ledger.record(&report(flooded), now);
    }
    assert!(ledger.reports(now).len() <= MAX_FINGERPRINTS + 1);
    assert!(ledger.refused_for(CULPRIT, now).is_some(), "the quarantine was displaced");
}

/// Guards against hosts that disagree on who is refused, because their requests noticed the same
/// silent crash at different times.
#[test]
fn hosts_that_notice_a_crash_at_different_times_agree_on_the_earliest() {
    let start = Instant::now();
    let mut ledgers = [Ledger::default(), Ledger::default()];
    for (ledger, seconds) in ledgers.iter_mut().zip([1, 19]) {
        let now = start + Duration::from_secs(seconds);
        ledger.record(&report(strike(CULPRIT, 3)), now);
    }
    let now = start + Duration::from_secs(20);
    let [mut one, mut other] = ledgers;
    let (of_one, of_other) = (one.reports(now), other.reports(now));
    assert!(other.record(&of_one[0], now), "the earlier time is new");
    assert!(!one.record(&of_other[0], now), "the later time is not");
    assert_eq!(one.reports(now), other.reports(now));
}

/// Guards against hosts that take two crashes for one because they heard of the first one late: an
/// attempt that began after a crash then seems to have begun before it, and crashes one upstream more.
#[test]
fn a_host_that_heard_late_of_a_crash_knows_that_the_next_attempt_began_after_it() {
    let start = Instant::now();
    for (first_ms, second_ms) in [(0, 0), (6, 2), (6, 0), (400, 1), (1, 400)] {
        let delays = [first_ms, second_ms].map(Duration::from_millis);
        let (mut own, mut other) = (Ledger::default(), Ledger::default());
        for (upstream, delay) in delays.into_iter().enumerate() {
            // The request is sent again as soon as the crash is known.
            let now = start + RAN_FOR * upstream as u32;
            let new = vec![report(strike(CULPRIT, upstream as u64))];
            assert!(own.record(&new[0], now));
            for message in own.messages(&new, now) {
                for report in &message {
                    other.record(report, now + delay);
                }
            }
        }
        let now = start + Duration::from_secs(1);
        for ledger in [&own, &other] {
            assert!(ledger.refused_for(CULPRIT, now).is_some(), "{first_ms} ms, {second_ms} ms");
        }
    }
}

/// Guards against messages that do not fit a datagram, or that lack a strike.
#[test]
fn messages_to_other_hosts_are_bounded_and_complete() {
    let (mut ledger, mut new) = (Ledger::default(), Vec::new());
    let mut now = Instant::now();
    for upstream in 0..5 {
        now += PAUSE;
        new = (0..17).map(|part| report(strike(Tag(part), upstream))).collect();
        new.iter().for_each(|report| assert!(ledger.record(report, now)));
    }
    let messages = ledger.messages(&new, now);
    assert!(messages.iter().all(|message| (1..=MAX_STRIKES).contains(&message.len())));
    let mut other = Ledger::default();
    messages.iter().flatten().for_each(|report| assert!(other.record(report, now)));
    assert_eq!(other.digest(), ledger.digest());
    // Only what has changed is told.
    let told = ledger.messages(&new[..1], now);
    assert!(told.iter().flatten().all(|report| report.strike.fingerprint == Tag(0)));
    assert_eq!(ledger.messages(&[], now), Vec::<Vec<Report>>::new());
}

#[test]
fn the_parts_of_a_fingerprint_do_not_run_into_each_other() {
    let one = fingerprint(Tag(7), &[b"/a", b"bc"]);
    assert_eq!(one, fingerprint(Tag(7), &[b"/a", b"bc"]));
    for (team, parts) in
        [(7, [&b"/ab"[..], b"c"]), (7, [b"/a", b"b"]), (8, [b"/a", b"bc"]), (7, [b"bc", b"/a"])]
    {
        assert_ne!(one, fingerprint(Tag(team), &parts), "team {team}, {parts:?}");
    }
}

fn entry(instance: &str, port: u16, started_ms: u64, is_leaving: bool) -> (String, Entry) {
    let entry = Entry {
        instance: instance.to_owned(),
        tag: Tag::of(instance),
        service: Tag(5),
        address: SocketAddr::from(([127, 0, 0, 1], port)),
        domain: Tag(6),
        slots: 1,
        is_leaving,
        role: None,
        started_ms,
        software: NO_VERSION,
        cold_left: Duration::ZERO,
    };
    (instance.to_owned(), entry)
}

/// Guards against silence, departure or an unrelated restart that count as a crash, and against
/// a silent crash that counts never.
#[test]
fn an_upstream_has_crashed_only_if_it_started_again_while_it_was_watched() {
    let start = Instant::now();
    let seconds = Duration::from_secs;
    let cases = [
        ("the same run goes on", vec![entry("a", 1, 100, false)], 1, false),
        ("it is not listed", vec![], 1, false),
        ("it is leaving", vec![entry("a", 1, 100, true)], 1, false),
        ("another upstream started elsewhere", vec![entry("b", 2, 200, false)], 1, false),
        ("it started again under its name", vec![entry("a", 1, 200, false)], 1, true),
        ("it started again elsewhere", vec![entry("a", 2, 200, false)], 1, true),
        ("another one has its address", vec![entry("b", 1, 200, false)], 1, true),
        (
            "its old entry has not expired yet",
            vec![entry("a", 1, 100, false), entry("b", 1, 200, false)],
            1,
            true,
        ),
    ];
    for (name, listed, after, is_crash) in cases {
        let mut suspects = Suspects::default();
        let strike = Strike {
            fingerprint: CULPRIT,
            crash: Crash { upstream: Tag::of("a"), started_ms: 100, name: "a".to_owned() },
            ran_for: RAN_FOR,
        };
        let address = SocketAddr::from(([127, 0, 0, 1], 1));
        let suspect = Suspect { strike, address, broke_at: start, watch_until: start + seconds(3) };
        assert!(suspects.add(suspect));
        let mut registry = Registry::default();
        registry.replace(HashMap::from_iter(listed), 1);
        let crashed = suspects.take_crashed(&registry, start + seconds(after));
        assert_eq!(crashed.len(), usize::from(is_crash), "{name}");
        // Once decided, or watched for long enough, it is forgotten.
        suspects.take_crashed(&registry, start + seconds(4));
        registry.replace(HashMap::from_iter([entry("c", 1, 300, false)]), 2);
        assert!(suspects.take_crashed(&registry, start + seconds(5)).is_empty(), "{name}");
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 2_000,
        rng_seed: RngSeed::Fixed(20_261_204),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// Guards against hosts that compare digests for ever: once both have told each other all
    /// they know, in any order, they agree on who is refused.
    #[test]
    fn hosts_that_have_exchanged_their_strikes_agree(
        events in prop::collection::vec(
            (0..4_u64, 0..6_u64, 0..20_000_u64, any::<bool>(), any::<bool>()),
            0..24,
        )
    ) {
        let start = Instant::now();
        let mut ledgers = [Ledger::default(), Ledger::default()];
        let mut events = events;
        events.sort_by_key(|event| event.2);
        for (fingerprint, upstream, at_ms, first, is_served) in events {
            let now = start + Duration::from_millis(at_ms);
            let ledger = &mut ledgers[usize::from(first)];
            if is_served {
                ledger.clear(Tag(fingerprint), now, now);
            } else {
                ledger.record(&report(strike(Tag(fingerprint), upstream)), now);
            }
        }
        let now = start + Duration::from_secs(30);
        let [mut one, mut other] = ledgers;
        for report in one.reports(now) {
            other.record(&report, now);
        }
        for report in other.reports(now) {
            one.record(&report, now);
        }
        prop_assert_eq!(one.digest(), other.digest());
        for fingerprint in 0..4 {
            let refused = [&one, &other].map(|l| l.refused_for(Tag(fingerprint), now).is_some());
            prop_assert_eq!(refused[0], refused[1]);
        }
    }
}
