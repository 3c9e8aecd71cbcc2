//! Many hosts in front of a plain service that gets more requests than it can work on.

use std::collections::VecDeque;

use damaskhatch_policy::backlog::{Backlog, Report};
use damaskhatch_policy::prelude::*;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

const HOSTS: usize = 20;
const UPSTREAMS: usize = 5;
const SLOTS: usize = 6;
/// Requests that an upstream lets wait.
const QUEUE: usize = 24;
/// The time of work on a request, in steps of 1 ms.
const WORK: u64 = 60;
const TARGET: Duration = Duration::from_millis(300);
/// Requests a second that the upstreams can work on.
const CAPACITY: f64 = (UPSTREAMS * SLOTS) as f64 * 1_000.0 / WORK as f64;

#[derive(Default)]
struct Upstream {
    /// Requests that run: the host, when they came, and when they end.
    running: Vec<(usize, u64, u64)>,
    waiting: VecDeque<(usize, u64)>,
}

#[derive(Debug, Default)]
struct Outcome {
    offered: usize,
    in_time: usize,
    late: usize,
    refused: usize,
}

/// Offers `load` times the capacity for 20 s, after a second below it.
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
                let (host, came, _) = upstream.running.swap_remove(at);
                let (running, waiting) = (upstream.running.len(), upstream.waiting.len());
                let told = Report { running: running as u32, waiting: waiting as u32, slots: 6 };
                let took = Duration::from_millis(step - came);
                hosts[host].observe(told, took, now);
                if step > 1_000 {
                    let counter =
                        if took <= TARGET { &mut outcome.in_time } else { &mut outcome.late };
                    *counter += 1;
                }
            }
            while upstream.running.len() < SLOTS && !upstream.waiting.is_empty() {
                let (host, came) = upstream.waiting.pop_front().expect("it is not empty");
                let work = WORK / 2 + rng.random_range(0..=WORK);
                upstream.running.push((host, came, step + work));
            }
        }
        let per_step = CAPACITY / 1_000.0 * if step < 1_000 { 0.5 } else { load };
        let arrivals = per_step as usize + usize::from(rng.random_bool(per_step.fract()));
        for _ in 0..arrivals {
            let host = rng.random_range(0..HOSTS);
            let is_counted = step > 1_000;
            outcome.offered += usize::from(is_counted);
            // Hosts know a part of each other's work: the better of two is taken.
            let two = [rng.random_range(0..UPSTREAMS), rng.random_range(0..UPSTREAMS)];
            let better = two.into_iter().min_by_key(|at| upstreams[*at].waiting.len());
            let upstream = &mut upstreams[better.expect("two of them")];
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
fn what_is_accepted_above_the_capacity_is_in_time_and_no_work_is_lost() {
    for seed in 1..=3 {
        for load in [1.3, 2.0] {
            let with = run(seed, load, true);
            let without = run(seed, load, false);
            let answered = with.in_time + with.late;
            let part = with.in_time as f64 / answered as f64;
            assert!(part > 0.9, "seed {seed} load {load}: {with:?}");
            let part_without = without.in_time as f64 / (without.in_time + without.late) as f64;
            assert!(part_without < 0.7, "seed {seed} load {load}: {without:?}");
            assert!(answered as f64 > 0.93 * CAPACITY * 20.0, "seed {seed} load {load}: {with:?}");
        }
    }
}

#[test]
fn nobody_is_refused_below_the_capacity() {
    for seed in 1..=3 {
        let outcome = run(seed, 0.8, true);
        let part = outcome.refused as f64 / outcome.offered as f64;
        assert!(part < 0.005, "seed {seed}: {outcome:?}");
    }
}

#[test]
fn without_news_everybody_is_accepted_again() {
    let now = Instant::now();
    let mut backlog = Backlog::default();
    assert!(backlog.accepts(TARGET, 0.99, now), "nothing was heard yet");
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
fn only_three_numbers_are_news() {
    assert_eq!(Report::parse("3, 0,8"), Some(Report { running: 3, waiting: 0, slots: 8 }));
    for wrong in ["", "3", "3,0", "3,0,0", "3,0,8,1", "3,x,8", "-1,0,8"] {
        assert_eq!(Report::parse(wrong), None, "{wrong}");
    }
}
