//! Crashes that no request causes, beside those of a part of prompts that does, in a fleet whose hosts
//! hear of them late: which requests are refused, and how many upstreams crash.

mod fleet;

use damaskhatch_policy::prelude::*;
use damaskhatch_policy::strike::trial::{PAUSE, STEP, Trial, Trials};
use damaskhatch_policy::strike::{
    BASE_QUARANTINE, Crash, Fingerprints, LIMIT, Ledger, MAX_FINGERPRINTS, PART_LIMIT, Proof,
    Proven, RETENTION, Report, Strike, fingerprint,
};
use fleet::{BAD, Fleet, Play, SHARED, id, request};

fn report(fingerprint: Tag, run: u64) -> Report {
    let crash = Crash { upstream: Tag(run), started_ms: 1 + run, name: format!("up-{run}") };
    let strike = Strike { fingerprint, crash, ran_for: Duration::ZERO };
    Report { strike, age: Duration::ZERO, is_cleared: false }
}

/// Records that a run of an upstream ended under a request.
fn crash(ledger: &mut Ledger, run: u64, request: &Fingerprints, now: Instant) {
    request.all().for_each(|own| assert!(ledger.record(&report(own, run), now)));
}

/// Guards against sound requests that are refused with the part that all share, because a crash of
/// another cause leaves it as the only explanation of all crashes.
#[test]
fn a_crash_of_another_cause_does_not_make_a_shared_part_the_culprit() {
    for others in 1..3 {
        let (mut ledger, mut now) = (Ledger::default(), Instant::now());
        for run in 0..PART_LIMIT as u64 {
            now += PAUSE;
            crash(&mut ledger, run, &request(run, &[SHARED, BAD]), now);
        }
        for run in 0..others {
            now += PAUSE;
            crash(&mut ledger, 100 + run, &request(100 + run, &[SHARED]), now);
        }
        ledger.prove(id(SHARED), now.checked_sub(Duration::from_mins(1)).expect("a time"), now);
        let quarantines = |parts: &[&str]| ledger.quarantines_of(&request(200, parts), now);
        assert!(quarantines(&[SHARED]).is_empty(), "after {others} crashes of another cause");
        let bad = quarantines(&[SHARED, BAD]);
        assert_eq!(bad.iter().map(|own| own.fingerprint).collect::<Vec<_>>(), [id(BAD)]);
        assert_eq!(bad[0].trial, None, "a part that no response was completed under is on trial");
    }
}

/// Guards against a quarantine that keeps back the responses that would end it: of parts, and of whole
/// requests that are repeated.
#[test]
fn what_responses_were_completed_under_runs_on_trial() {
    for (own, limit) in [(id(SHARED), PART_LIMIT), (fingerprint(Tag(1), &[b"own"]), LIMIT)] {
        let (mut ledger, start) = (Ledger::default(), Instant::now());
        for run in 0..limit as u64 {
            ledger.record(&report(own, run), start + Duration::from_millis(350 * run));
        }
        let last = start + Duration::from_millis(350 * (limit as u64 - 1));
        let trial = |ledger: &Ledger, now| ledger.quarantine(own, now).expect("refused").trial;
        assert_eq!(trial(&ledger, last), None);
        assert!(ledger.prove(own, start, last));
        assert!(!ledger.prove(own, start, last), "it is told to other hosts without end");
        let first = trial(&ledger, last).expect("a trial");
        assert_eq!(first, Trial { crashed_at: last, opens_at: last + PAUSE });
        // Each trial that ends in a crash is followed by a longer pause, up to the quarantine.
        let (mut pause, mut latest) = (PAUSE, last);
        for run in 10..14 {
            latest = latest + pause + STEP / 2;
            ledger.record(&report(own, run), latest);
            let next = trial(&ledger, latest).expect("a trial").opens_at - latest;
            assert!(next >= 3 * pause, "{next:?} after {pause:?}");
            pause = next;
        }
        assert!(pause >= BASE_QUARANTINE / 2);
        ledger.clear(own, latest + pause, latest + pause);
        assert_eq!(ledger.refused_for(own, latest + pause), None);
    }
}

/// Guards against proofs that outlast the strikes, or that take memory without them.
#[test]
fn a_proof_is_kept_with_strikes_and_as_long() {
    let (mut ledger, start) = (Ledger::default(), Instant::now());
    assert!(!ledger.prove(id(SHARED), start, start), "kept without a strike");
    ledger.record(&report(id(SHARED), 0), start);
    assert!(ledger.prove(id(SHARED), start, start));
    assert_eq!(ledger.proofs(start).count(), 0, "told although one strike refuses nothing");
    ledger.record(&report(id(SHARED), 1), start + PAUSE);
    let age = Duration::from_secs(5);
    let told: Vec<Proof> = ledger.proofs(start + age).collect();
    assert_eq!(told, [Proof { fingerprint: id(SHARED), age }]);
    assert!(!ledger.prove(id(SHARED), start, start + RETENTION), "expired");
    ledger.remove_expired(start + RETENTION);
    assert_eq!(ledger.proof(id(SHARED)), None);
}

/// Guards against requests that are never repeated and displace what is known of the shared parts.
#[test]
fn a_flood_of_requests_displaces_no_part_under_which_responses_are_completed() {
    let (mut proven, start) = (Proven::default(), Instant::now());
    proven.record(id(SHARED), start);
    proven.record(id(SHARED), start);
    let mut now = start;
    for number in 0..4 * MAX_FINGERPRINTS as u64 {
        now += Duration::from_millis(10);
        proven.record(fingerprint(Tag(1), &[&number.to_le_bytes()]), now);
    }
    assert_eq!(proven.latest(id(SHARED), now), Some(start));
    let newest = 4 * MAX_FINGERPRINTS as u64 - 1;
    assert_eq!(proven.latest(fingerprint(Tag(1), &[&newest.to_le_bytes()]), now), Some(now));
    assert_eq!(proven.latest(id(SHARED), start + RETENTION), None);
}

/// Guards against requests that are refused for a bad part and take the place of a sound one on trial.
#[test]
fn a_request_with_a_bad_part_takes_no_place_on_trial() {
    let (mut ledger, mut now) = (Ledger::default(), Instant::now());
    for run in 0..2 * PART_LIMIT as u64 {
        now += PAUSE;
        let parts: &[&str] = if run % 2 == 0 { &[SHARED] } else { &[BAD] };
        crash(&mut ledger, run, &request(run, parts), now);
    }
    assert!(ledger.prove(id(SHARED), now, now));
    now += PAUSE;
    let mut trials = Trials::default();
    let mut admit = |number, parts: &[&str]| {
        let request = request(number, parts);
        let quarantines = ledger.quarantines_of(&request, now);
        assert!(!quarantines.is_empty(), "{parts:?}");
        trials.admit_all(quarantines, |_| 0, request.request, now)
    };
    for number in 100..110 {
        let refused = admit(number, &[SHARED, BAD]).expect_err("refused").0;
        assert_eq!(refused.fingerprint, id(BAD));
    }
    assert!(admit(200, &[SHARED]).is_ok(), "its place was taken");
    let (_, wait) = admit(201, &[SHARED]).expect_err("only one at first");
    assert!(wait <= STEP);
}

/// Guards against a trial that sends many requests to upstreams before it has shown anything.
#[test]
fn the_number_of_requests_on_trial_doubles_while_no_upstream_crashes() {
    let (mut trials, start) = (Trials::default(), Instant::now());
    let trial = Trial { crashed_at: start, opens_at: start + PAUSE };
    let own = id(SHARED);
    let early = trials.admit(own, trial, 0, Tag(1), start);
    assert_eq!(early, Err(PAUSE));
    let mut now = start + PAUSE;
    assert!(trials.clone().admit(own, trial, 1, Tag(1), now).is_err(), "two hosts begin at once");
    let mut admitted = 0;
    for step in 0..5 {
        let is_admitted = |number: &u64| trials.admit(own, trial, 0, Tag(*number), now).is_ok();
        admitted += (1_000 * step..1_000 * step + 100).filter(is_admitted).count();
        assert_eq!(admitted, 1 << step, "after {step} steps");
        assert_eq!(trials.admit(own, trial, 0, Tag(0), now), Ok(()), "no longer admitted");
        assert!(trials.admit(own, trial, 0, Tag(9_999), now).is_err_and(|wait| wait <= STEP));
        now += STEP;
    }
    // A crash ends all of it.
    let next = Trial { crashed_at: now, opens_at: now + 4 * PAUSE };
    assert!(trials.admit(own, next, 0, Tag(0), now).is_err());
    now += 4 * PAUSE;
    assert_eq!(trials.admit(own, next, 0, Tag(7), now), Ok(()));
    assert!(trials.admit(own, next, 0, Tag(0), now).is_err());
}

/// What the plays of one kind have shown together.
#[derive(Debug, Default, Clone, Copy)]
struct Summary {
    /// The upstreams that the bad part crashed, at most and on average.
    most: u32,
    mean: f64,
    /// The share of all sound requests that were refused.
    refused: f64,
    /// The plays in which more than half of the sound requests were refused.
    locked_out: u32,
}

impl std::fmt::Display for Summary {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let Self { most, mean, refused, locked_out } = self;
        write!(f, "crashes {most} ({mean:.2}), refused {refused:.3}, locked out {locked_out}")
    }
}

fn summarize(play: Play) -> Summary {
    const SEEDS: u32 = 40;
    let mut summary = Summary::default();
    let (mut crashes, mut sound, mut refused) = (0, 0, 0);
    for seed in 0..SEEDS {
        let outcome = Fleet::play(seed.into(), play);
        summary.most = summary.most.max(outcome.bad_crashes);
        summary.locked_out += u32::from(2 * outcome.refused > outcome.sound);
        crashes += outcome.bad_crashes;
        sound += outcome.sound;
        refused += outcome.refused;
    }
    summary.mean = f64::from(crashes) / f64::from(SEEDS);
    summary.refused = f64::from(refused) / f64::from(sound.max(1));
    summary
}

/// The stated bounds: a bad part crashes three upstreams, and three more at a host that is cut off or
/// one that starts without knowing of it, but for requests that were sent at once; and sound requests
/// that share the first part begin at least half as often as before. The play without proofs shows what
/// rules do that forget complete responses after seconds.
#[test]
fn crashes_of_other_causes_lock_nobody_out_beside_a_part_that_crashes_upstreams() {
    let plain = Play {
        hosts: 3,
        bad: 0,
        others: 0,
        was_sound: false,
        is_disturbed: false,
        has_proofs: true,
    };
    let kinds = [(1, 0), (1, 1), (1, 2), (12, 0), (12, 1), (0, 4), (0, 6)];
    let mut locked_out_without = 0;
    for hosts in [3, 24, 63] {
        for (bad, others) in kinds {
            for is_disturbed in [false, true] {
                let play = Play { hosts, bad, others, is_disturbed, ..plain };
                let (with, without) =
                    (summarize(play), summarize(Play { has_proofs: false, ..play }));
                println!(
                    "{hosts} hosts, {bad} bad, {others} others, disturbed {is_disturbed}: \
                     {with}; without proofs {without}"
                );
                let unheard = if is_disturbed { 2 } else { 1 };
                let at_once = if bad > 1 { bad as u32 } else { 0 };
                let bound = at_once + unheard * PART_LIMIT as u32;
                assert!(with.most <= bound, "{play:?}: {with}");
                assert_eq!(with.locked_out, 0, "{play:?}: {with}");
                locked_out_without += without.locked_out;
            }
        }
    }
    assert!(locked_out_without > 0, "the plays show nothing");
}

/// Guards against a part that becomes bad after responses were completed under it, and crashes one
/// upstream after the other on trial.
#[test]
fn a_part_that_becomes_bad_crashes_few_upstreams() {
    for hosts in [3, 24, 63] {
        let play = Play {
            hosts,
            bad: 1,
            others: 0,
            was_sound: true,
            is_disturbed: false,
            has_proofs: true,
        };
        let summary = summarize(play);
        println!("{hosts} hosts, in 25 s: {summary}");
        // Three begin the quarantine; trials follow after 2, 8 and 32 s.
        assert!(summary.most <= PART_LIMIT as u32 + 3, "{hosts} hosts: {summary}");
    }
}
