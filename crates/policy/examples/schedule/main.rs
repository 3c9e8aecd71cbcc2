//! Measures scheduling rules on the shipped code, with a cost model of engines and a paused clock.
//!
//! `cargo run --release -p damaskhatch-policy --example schedule -- [SEEDS]` prints CSV; the
//! tables in docs/MEASUREMENTS.md come from it.

mod arrivals;
mod engines;

use std::collections::{BTreeMap, HashMap, VecDeque};

use damaskhatch_policy::prelude::*;
use damaskhatch_policy::route::{Candidate, Pair};
use damaskhatch_policy::schedule::{Rules, Scheduler};
use rand_pcg::Pcg64Mcg;

const STEP: Duration = Duration::from_millis(5);
const RUN: Duration = Duration::from_mins(2);
const WARM_UP: Duration = Duration::from_secs(10);
/// Requests that come later than this before the end may not end within the run.
const COOL_DOWN: Duration = Duration::from_secs(25);
const FIRST_TOKEN: f64 = 0.76;
const GAP: f64 = 0.054;
const PREFILLS: usize = 4;
const DECODES: usize = 4;
const SLOTS: u32 = 20;
const PIECES: u32 = 200;
const PREFILL_RATE: f64 = 20_000.0;
/// Prompt tokens per second of engines that prefill, not decode, makes scarce.
const SLOW_PREFILL_RATE: f64 = 13_000.0;
const BASE_GAP: f64 = 0.020;
const GAP_PER_REQUEST: f64 = 0.001_5;
const LINK_RATE: f64 = 500_000.0;
const KV_LIFE: Duration = Duration::from_millis(800);
const REPORT_LAG: Duration = Duration::from_millis(250);
const CLAIM_INTERVAL: Duration = Duration::from_millis(250);
const PATIENCE: Duration = Duration::from_secs(5);
/// Arrivals of each team as parts of all; the first sends more than the others together.
const TEAMS: [f64; 5] = [0.60, 0.15, 0.10, 0.10, 0.05];
/// The first team sends five times its fifth of the capacity, the others 60 percent of theirs.
const FLOOD: [f64; 5] = [0.676, 0.081, 0.081, 0.081, 0.081];
/// The load at which [`FLOOD`] is that.
const FLOOD_LOAD: f64 = 1.48;
/// Time between tokens that each further request adds on engines too slow for a full batch.
const SLOW_GAP_PER_REQUEST: f64 = 0.002_2;
/// Mean output tokens of the drawn requests, of which half are short.
const MEAN_OUTPUT: f64 = 140.0;

/// How requests get their engines.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Policy {
    Scheduler(Rules),
    /// Each of two hosts chooses alone, by lagging reports.
    Alone,
    /// Prompts run as they come and look for a slot afterwards.
    PrefillFirst,
}

#[derive(Debug, Clone, Copy)]
struct Job {
    request: Request,
    team: usize,
    prompt: u32,
    output: u32,
    prefix: u32,
    arrived: Instant,
    measured: bool,
}

#[derive(Debug, Clone, Copy)]
struct Prompt {
    job: Job,
    pair: Pair,
    left: f64,
}

#[derive(Debug, Clone, Copy)]
struct Stream {
    job: Job,
    pair: Pair,
    tokens: f64,
    first: Option<Instant>,
    ready: Instant,
}

#[derive(Debug, Clone, Default)]
struct Engine {
    prompts: VecDeque<Prompt>,
    streams: Vec<Stream>,
    /// Run prompts whose KV cache waits for a slot, with the end of its life.
    waiting: Vec<(Prompt, Option<Instant>)>,
    cached: Vec<u32>,
    is_dead: bool,
}

#[derive(Debug, Clone, Copy, Default)]
struct TeamScore {
    arrived: u32,
    good: u32,
}

#[derive(Debug, Default)]
struct Score {
    teams: [TeamScore; 5],
    refused: u32,
    late: u32,
    prefill_tokens: f64,
    wasted_tokens: f64,
    first_tokens: Vec<f64>,
}

struct World {
    now: Instant,
    start: Instant,
    policy: Policy,
    mix: [f64; 5],
    gap_per_request: f64,
    prefill_rate: f64,
    rng: Pcg64Mcg,
    engines: BTreeMap<Tag, Engine>,
    scheduler: Scheduler,
    reports: VecDeque<(Instant, Vec<Candidate>)>,
    jobs: HashMap<Request, Job>,
    fifo: VecDeque<Job>,
    serial: u64,
    score: Score,
}

fn prefill_tag(index: usize) -> Tag {
    Tag(index as u64 + 1)
}

fn decode_tag(index: usize) -> Tag {
    Tag(index as u64 + 101)
}

fn is_decode(tag: Tag) -> bool {
    tag.0 > 100
}

/// Seconds between tokens when each further request adds `per_request`.
fn gap(batch: usize, per_request: f64) -> f64 {
    BASE_GAP + per_request * (batch.saturating_sub(1)) as f64
}

/// Requests per second that the decode slots can end at the most.
fn capacity() -> f64 {
    f64::from(SLOTS) * DECODES as f64 / (MEAN_OUTPUT * gap(SLOTS as usize, GAP_PER_REQUEST))
}

fn main() {
    let seeds: u64 = std::env::args().nth(1).and_then(|seeds| seeds.parse().ok()).unwrap_or(5);
    let rules = Rules::default();
    let policies = [
        ("scheduler", Policy::Scheduler(rules)),
        ("alone", Policy::Alone),
        ("prefill_first", Policy::PrefillFirst),
        ("no_late_lane", Policy::Scheduler(Rules { late_lane: false, ..rules })),
        ("no_fair_queue", Policy::Scheduler(Rules { fair_queue: false, ..rules })),
        ("no_prefix", Policy::Scheduler(Rules { prefix_affinity: false, ..rules })),
        ("no_batch_limit", Policy::Scheduler(Rules { batch_limit: false, ..rules })),
        ("no_late_reserve", Policy::Scheduler(Rules { late_reserve: 0.0, ..rules })),
        ("no_last_call", Policy::Scheduler(Rules { last_call: Duration::ZERO, ..rules })),
        ("no_burst_credit", Policy::Scheduler(Rules { burst_credit: 0.0, ..rules })),
        ("burst_credit_2", Policy::Scheduler(Rules { burst_credit: 2.0, ..rules })),
        ("burst_credit_1", Policy::Scheduler(Rules { burst_credit: 1.0, ..rules })),
        ("late_reserve_10", Policy::Scheduler(Rules { late_reserve: 0.10, ..rules })),
    ];
    println!(
        "policy,load,seed,arrived,good,goodput_of_best,wasted_prefill,worst_team,refused,\
         first_token_p95_s"
    );
    for load in [0.5, 0.7, 0.9, 1.0, 1.1, 1.3] {
        for (name, policy) in policies {
            for seed in 0..seeds {
                let mut world = World::new(policy, seed);
                world.run(load, false, false);
                println!("{}", world.row(name, load, seed));
            }
        }
    }
    for (name, policy) in policies {
        for seed in 0..seeds {
            let mut world = World::new(policy, seed);
            world.run(0.9, true, false);
            println!("{}", world.row(&format!("{name}_bursts"), 0.9, seed));
            let mut world = World::new(policy, seed);
            world.run(0.7, false, true);
            println!("{}", world.row(&format!("{name}_engine_lost"), 0.7, seed));
            let mut world = World::new(policy, seed);
            world.gap_per_request = SLOW_GAP_PER_REQUEST;
            world.run(0.9, false, false);
            println!("{}", world.row(&format!("{name}_slow"), 0.9, seed));
            let mut world = World::new(policy, seed);
            world.prefill_rate = SLOW_PREFILL_RATE;
            world.run(0.7, false, false);
            println!("{}", world.row(&format!("{name}_slow_prefill"), 0.7, seed));
            let mut world = World::new(policy, seed);
            world.mix = FLOOD;
            world.run(FLOOD_LOAD, false, false);
            println!("{}", world.row(&format!("{name}_flood"), FLOOD_LOAD, seed));
        }
    }
}
