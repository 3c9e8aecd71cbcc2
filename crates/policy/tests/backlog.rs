//! Admission control by many hosts in front of an overloaded plain service.
//!
//! Guards against queues that make every response late, against refusals that leave
//! upstreams idle, and against refusals below the capacity.

use std::collections::VecDeque;

use damaskhatch_policy::backlog::{Backlog, Report};
use damaskhatch_policy::prelude::*;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

const HOSTS: usize = 20;
const UPSTREAMS: usize = 5;
/// The number of requests that an upstream processes at once.
const SLOTS: usize = 6;
/// The maximum number of requests that wait at an upstream.
const QUEUE: usize = 24;
/// The mean service time of a request, in steps of 1 ms.
const SERVICE_TIME: u64 = 60;
/// The latency target.
const TARGET: Duration = Duration::from_millis(300);
/// The capacity of all upstreams, in requests per second.
const CAPACITY: f64 = (UPSTREAMS * SLOTS) as f64 * 1_000.0 / SERVICE_TIME as f64;

#[derive(Default)]
struct Upstream {
    /// Running requests: the host, the step of arrival and the step of completion.
    running: Vec<(usize, u64, u64)>,
    /// Waiting requests: the host and the step of arrival.
    waiting: VecDeque<(usize, u64)>,
}

#[derive(Debug, Default)]
struct Outcome {
    offered: usize,
    in_time: usize,
    late: usize,
    refused: usize,
}

/// Offers `load` times the capacity for 20 s, after one second at half the capacity.
fn run(seed: u64, load: f64, refuses: bool) -> Outcome {
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let start = Instant::now();
    let mut hosts = vec![Backlog::default(); HOSTS];
    let mut upstreams: Vec<Upstream> = (0..UPSTREAMS).map(|_| Upstream::default()).collect();
    let mut outcome = Outcome::default();
    for step in 0..21_000_u64 {
        let now = start + Duration::from_millis(step);
        for upstream in &mut upstreams {
            while let Some(at) = upstream.running.iter().position(|(_, _, end)| *end <= step) {
                let (host, arrived, _) = upstream.running.swap_remove(at);
                let (running, waiting) = (upstream.running.len(), upstream.waiting.len());
                let report = Report { running: running as u32, waiting: waiting as u32, slots: 6 };
                let took = Duration::from_millis(step - arrived);
                hosts[host].observe(report, took, now);
                if step > 1_000 {
                    let counter =
                        if took <= TARGET { &mut outcome.in_time } else { &mut outcome.late };
                    *counter += 1;
                }
            }
            while upstream.running.len() < SLOTS && !upstream.waiting.is_empty() {
                let (host, arrived) = upstream.waiting.pop_front().expect("it is not empty");
                let service_time = SERVICE_TIME / 2 + rng.random_range(0..=SERVICE_TIME);
                upstream.running.push((host, arrived, step + service_time));
            }
        }
        let per_step = CAPACITY / 1_000.0 * if step < 1_000 { 0.5 } else { load };
        let arrivals = per_step as usize + usize::from(rng.random_bool(per_step.fract()));
        for _ in 0..arrivals {
            let host = rng.random_range(0..HOSTS);
            let is_counted = step > 1_000;
            outcome.offered += usize::from(is_counted);
            // Hosts know each other's load only partly: take the better of two random upstreams.
            let drawn = [rng.random_range(0..UPSTREAMS), rng.random_range(0..UPSTREAMS)];
            let better = drawn.into_iter().min_by_key(|at| upstreams[*at].waiting.len());
            let upstream = &mut upstreams[better.expect("two were drawn")];
            let accepted = !refuses || hosts[host].accepts(TARGET, rng.random(), now);
            if accepted && upstream.waiting.len() < QUEUE {
                upstream.waiting.push_back((host, step));
            } else {
                outcome.refused += usize::from(is_counted);
            }
        }
    }
    outcome
}

#[test]
fn accepted_requests_above_capacity_are_in_time_and_keep_upstreams_busy() {
    for seed in 1..=3 {
        for load in [1.3, 2.0] {
            let with = run(seed, load, true);
            let without = run(seed, load, false);
            let finished = with.in_time + with.late;
            let fraction = with.in_time as f64 / finished as f64;
            assert!(fraction > 0.9, "seed {seed} load {load}: {with:?}");
            let fraction_without = without.in_time as f64 / (without.in_time + without.late) as f64;
            assert!(fraction_without < 0.7, "seed {seed} load {load}: {without:?}");
            assert!(finished as f64 > 0.93 * CAPACITY * 20.0, "seed {seed} load {load}: {with:?}");
        }
    }
}

#[test]
fn almost_no_request_is_refused_below_capacity() {
    for seed in 1..=3 {
        let outcome = run(seed, 0.8, true);
        let fraction = outcome.refused as f64 / outcome.offered as f64;
        assert!(fraction < 0.005, "seed {seed}: {outcome:?}");
    }
}

#[test]
fn all_requests_are_accepted_again_after_two_seconds_without_reports() {
    let now = Instant::now();
    let mut backlog = Backlog::default();
    assert!(backlog.accepts(TARGET, 0.99, now), "refused before the first report");
    let idle = Report { running: 1, waiting: 0, slots: 6 };
    backlog.observe(idle, Duration::from_millis(60), now);
    for _ in 0..20 {
        let full = Report { running: 6, waiting: 60, slots: 6 };
        backlog.observe(full, Duration::from_millis(600), now);
    }
    assert!(!backlog.accepts(TARGET, 0.0, now));
    assert!(backlog.accepts(TARGET, 0.99, now + Duration::from_secs(2)));
}

#[test]
fn only_three_numbers_with_slots_are_parsed_as_a_report() {
    let report = Report { running: 3, waiting: 0, slots: 8 };
    for right in ["3, 0,8", "3,0,8,1", "3,0,8,400", "3,0,8,x", "3,0,8,", "3,0,8,0,7", "3,0,8,-1"] {
        assert_eq!(Report::parse(right), Some(report), "{right}");
    }
    for wrong in ["", "3", "3,0", "3,0,0", "3,0,0,100", "3,x,8", "3,x,8,100", "-1,0,8", ",,,"] {
        assert_eq!(Report::parse(wrong), None, "{wrong}");
    }
}

/// A backlog with this many requests waiting for each slot, each of which takes 60 ms.
fn backlog_of(waiting: u32, now: Instant) -> Backlog {
    let mut backlog = Backlog::default();
    let took = Duration::from_millis(60 * (1 + u64::from(waiting)));
    backlog.observe(Report { running: 6, waiting: waiting * 6, slots: 6 }, took, now);
    backlog
}

/// The fraction of requests that are accepted.
fn accepted(backlog: &Backlog, rank: f64, now: Instant) -> f64 {
    let samples = (0..1_000).map(|sample| f64::from(sample) / 1_000.0);
    let accepted = samples.filter(|sample| backlog.accepts_as(rank, TARGET, *sample, now));
    accepted.count() as f64 / 1_000.0
}

/// Guards against less urgent requests that are accepted more often than urgent ones or refused while
/// nothing waits, and against an order in which they are starved.
#[test]
fn less_urgent_requests_are_refused_first_and_never_starved() {
    let now = Instant::now();
    for waiting in 0..6 {
        let backlog = backlog_of(waiting, now);
        let shares = [0.0, 0.5, 1.0].map(|rank| accepted(&backlog, rank, now));
        assert!(shares.is_sorted_by(|urgent, other| urgent >= other), "{waiting}: {shares:?}");
        assert!(shares[2] >= 0.25 * shares[0] - 0.001, "{waiting}: {shares:?}");
        if waiting == 0 {
            assert!(shares.iter().all(|share| *share >= 1.0), "{shares:?}");
        }
    }
    let backlog = backlog_of(2, now);
    assert!(accepted(&backlog, 1.0, now) < accepted(&backlog, 0.0, now));
}
