//! Parts of prompts that crash upstreams: which requests are refused, and how many upstreams crash.

use damaskhatch_policy::prelude::*;
use damaskhatch_policy::strike::{
    Crash, Fingerprints, Ledger, PART_LIMIT, Proven, Report, Strike, fingerprint, part,
};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

/// The service of all requests.
const SERVICE: Tag = Tag(7);
/// The crashes after which the users count what reaches upstreams, and what may reach them then.
const MAX_CRASHES: u32 = 5 + 3;

fn id(name: &str) -> Tag {
    part(SERVICE, name.as_bytes())
}

/// A request that is unlike all others, whose prompt has these parts.
fn request(number: u64, parts: &[&str]) -> Fingerprints {
    let request = fingerprint(Tag(1), &[&number.to_le_bytes()]);
    Fingerprints { request, parts: parts.iter().map(|name| id(name)).collect() }
}

/// Records that a run of an upstream ended under a request.
fn crash(ledger: &mut Ledger, run: u64, request: &Fingerprints, now: Instant) {
    let crash = Crash { upstream: Tag(run), started_ms: 1 + run, name: format!("up-{run}") };
    for strike in Strike::all(request, &crash, now, now) {
        ledger.record(&Report { strike, age: Duration::ZERO, is_cleared: false }, now);
    }
}

fn is_refused(ledger: &Ledger, request: &Fingerprints, now: Instant) -> bool {
    ledger.quarantine_of(request, now).is_some()
}

/// Guards against parts that no limit holds for because the requests with them are never alike.
#[test]
fn a_part_is_refused_from_its_third_crash_on() {
    let (mut ledger, mut now) = (Ledger::default(), Instant::now());
    for run in 0..PART_LIMIT as u64 {
        assert!(!is_refused(&ledger, &request(100 + run, &["bad"]), now), "after {run} crashes");
        now += Duration::from_secs(2);
        crash(&mut ledger, run, &request(run, &["bad"]), now);
    }
    assert!(is_refused(&ledger, &request(200, &["bad"]), now));
    assert!(is_refused(&ledger, &request(201, &["other", "bad", "third"]), now));
    assert!(!is_refused(&ledger, &request(202, &["other"]), now));
    assert_eq!(ledger.culprits().collect::<Vec<_>>(), [id("bad")]);
}

/// Guards against sound requests that are refused for a part that came with the bad one only.
#[test]
fn of_parts_that_came_together_requests_with_all_are_refused_until_one_is_cleared() {
    let (mut ledger, mut now) = (Ledger::default(), Instant::now());
    for run in 0..6 {
        now += Duration::from_secs(2);
        crash(&mut ledger, run, &request(run, &["first", "bad"]), now);
    }
    assert!(is_refused(&ledger, &request(100, &["first", "bad"]), now));
    assert!(!is_refused(&ledger, &request(101, &["first"]), now));
    assert!(!is_refused(&ledger, &request(102, &["bad"]), now));
    // A complete response with the first part leaves the other as the only explanation.
    now += Duration::from_secs(1);
    ledger.clear(id("first"), now, now);
    assert!(!is_refused(&ledger, &request(103, &["first"]), now));
    assert!(is_refused(&ledger, &request(104, &["bad"]), now));
}

/// Guards against a part that is taken for sound for ever because it once was.
#[test]
fn a_response_proves_a_part_for_some_seconds() {
    let (mut proven, now) = (Proven::default(), Instant::now());
    proven.record(id("first"), now);
    assert!(proven.contains(id("first"), now + Duration::from_secs(9)));
    assert!(!proven.contains(id("first"), now + Duration::from_secs(11)));
    assert!(!proven.contains(id("bad"), now));
}

#[test]
fn requests_and_parts_never_have_the_same_fingerprint() {
    for number in 0_u64..1_000 {
        let id = number.to_le_bytes();
        assert_ne!(fingerprint(SERVICE, &[&id]), part(SERVICE, &id));
    }
}

/// A request on a simulated upstream, with the step at which it began and that at which it ends.
#[derive(Debug, Clone)]
struct Running {
    request: Fingerprints,
    is_bad: bool,
    began: u64,
    ends: u64,
}

/// What a simulated play has shown.
#[derive(Debug, Default)]
struct Outcome {
    crashes: u32,
    /// Sound requests with the first part of the bad ones: all of them, and those refused.
    sound: u32,
    refused: u32,
}

/// Plays a minute of six engines that crash soon after they begin on a bad part, and in some plays
/// for other reasons, too. Sound requests draw one of `first_parts`, bad ones one of `bad_parts`.
fn simulate(seed: u64, first_parts: u64, bad_parts: u64, has_other_crashes: bool) -> Outcome {
    const ENGINES: usize = 6;
    const STEP: Duration = Duration::from_millis(50);
    const RESTART_STEPS: u64 = 60;
    const SLOTS: usize = 8;
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let (mut ledger, mut proven) = (Ledger::default(), Proven::default());
    let mut outcome = Outcome::default();
    let mut up_at = [0_u64; ENGINES];
    let mut runs = [0_u64; ENGINES];
    let mut running: Vec<Vec<Running>> = vec![Vec::new(); ENGINES];
    let start = Instant::now();
    for step in 0..1_200 {
        let now = start + STEP * step as u32;
        for _ in 0..rng.random_range(0..3) {
            let is_bad = step > 200 && rng.random_bool(0.25);
            let first = if is_bad { 0 } else { rng.random_range(0..first_parts) };
            let name = format!("first-{first}");
            let bad = format!("bad-{}", rng.random_range(0..bad_parts));
            let parts: Vec<&str> = if is_bad { vec![&name, &bad] } else { vec![&name] };
            let request = request(rng.random(), &parts);
            let is_refused = is_refused(&ledger, &request, now);
            let shares_first = !is_bad && first == 0 && step > 400;
            outcome.sound += u32::from(shares_first);
            outcome.refused += u32::from(shares_first && is_refused);
            let free: Vec<usize> = (0..ENGINES)
                .filter(|engine| up_at[*engine] <= step && running[*engine].len() < SLOTS)
                .collect();
            if is_refused || free.is_empty() {
                continue;
            }
            let engine = free[rng.random_range(0..free.len())];
            let ends = step + if is_bad { 1 } else { rng.random_range(4..30) };
            running[engine].push(Running { request, is_bad, began: step, ends });
        }
        for engine in 0..ENGINES {
            let ended = |run: &Running| run.ends <= step;
            let is_hit = running[engine].iter().any(|run| run.is_bad && ended(run));
            if is_hit || (has_other_crashes && rng.random_bool(0.002)) {
                outcome.crashes += u32::from(is_hit);
                (runs[engine], up_at[engine]) = (runs[engine] + 1, step + RESTART_STEPS);
                let (upstream, started_ms) = (Tag(engine as u64), runs[engine]);
                let crash = Crash { upstream, started_ms, name: format!("up-{engine}") };
                for run in running[engine].drain(..) {
                    let sent_at = start + STEP * run.began as u32;
                    for strike in Strike::all(&run.request, &crash, sent_at, now) {
                        if !proven.contains(strike.fingerprint, now) {
                            let report = Report { strike, age: Duration::ZERO, is_cleared: false };
                            ledger.record(&report, now);
                        }
                    }
                }
            }
            for run in running[engine].extract_if(.., |run| run.ends <= step) {
                for own in run.request.all() {
                    ledger.clear(own, now, now);
                }
                run.request.parts.iter().for_each(|part| proven.record(*part, now));
            }
        }
    }
    outcome
}

/// The users' bounds: from the fifth crash on at most three more requests reach upstreams, and sound
/// requests that share the first part begin at least half as often.
#[test]
fn a_bad_part_crashes_few_upstreams_and_sound_requests_go_on() {
    let cases = [(1, 1), (4, 1), (50, 1), (4, 2), (50, 3)];
    for ((first_parts, bad_parts), has_other_crashes) in
        cases.into_iter().flat_map(|case| [(case, false), (case, true)])
    {
        let case = format!("{first_parts} first and {bad_parts} bad, others {has_other_crashes}");
        let (mut most, mut sound, mut refused) = (0, 0, 0);
        for seed in 0..60 {
            let outcome = simulate(seed, first_parts, bad_parts, has_other_crashes);
            let limit = MAX_CRASHES * bad_parts as u32;
            assert!((1..=limit).contains(&outcome.crashes), "{case}, seed {seed}: {outcome:?}");
            most = most.max(outcome.crashes);
            sound += outcome.sound;
            refused += outcome.refused;
        }
        println!("{case}: at most {most} crashes, {refused} of {sound} sound requests refused");
        assert!(2 * refused <= sound, "{case}: {refused} of {sound} sound requests refused");
    }
}
