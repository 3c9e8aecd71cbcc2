//! Compares scheduling rules by simulation: the shipped scheduler on a simulated clock, with a
//! cost model of the engines.
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

/// Time step of the simulation.
const STEP: Duration = Duration::from_millis(5);
const RUN_TIME: Duration = Duration::from_mins(2);
/// Requests that arrive earlier than this are not measured.
const WARM_UP: Duration = Duration::from_secs(10);
/// Requests that arrive later than this before the end are not measured: they may not finish.
const COOL_DOWN: Duration = Duration::from_secs(25);
/// Longest time to the first token of a request that counts as good.
const FIRST_TOKEN_TARGET_SECONDS: f64 = 0.76;
/// Longest mean time between tokens of a request that counts as good.
const GAP_TARGET_SECONDS: f64 = 0.054;
const PREFILL_ENGINES: usize = 4;
const DECODE_ENGINES: usize = 4;
/// Decode slots per engine.
const SLOTS: u32 = 20;
/// Memory pieces per engine.
const PIECES: u32 = 200;
const PREFILL_TOKENS_PER_SECOND: f64 = 20_000.0;
/// Prefill rate at which prefill instead of decode is the bottleneck.
const SLOW_PREFILL_TOKENS_PER_SECOND: f64 = 13_000.0;
/// Time between tokens at a batch of one request.
const BASE_GAP_SECONDS: f64 = 0.020;
/// Time between tokens that each further request of the batch adds.
const GAP_PER_REQUEST_SECONDS: f64 = 0.001_5;
/// Transfer rate of the KV cache between engines, as prompt tokens per second.
const LINK_TOKENS_PER_SECOND: f64 = 500_000.0;
/// Time for which a prefill engine keeps a finished KV cache that no decode engine fetched.
const KV_TTL: Duration = Duration::from_millis(800);
/// Interval between two load reports, and their least age at hosts without a scheduler.
const REPORT_LAG: Duration = Duration::from_millis(250);
const CLAIM_INTERVAL: Duration = Duration::from_millis(250);
const PATIENCE: Duration = Duration::from_secs(5);
/// Each team's fraction of the arrivals; the first sends more than the others together.
const TEAM_MIX: [f64; 5] = [0.60, 0.15, 0.10, 0.10, 0.05];
/// Each team's fraction of the arrivals when the first team sends five times its fifth of the
/// capacity and the others send 60 percent of theirs.
const FLOOD_MIX: [f64; 5] = [0.676, 0.081, 0.081, 0.081, 0.081];
/// The load that gives [`FLOOD_MIX`] these proportions of the capacity.
const FLOOD_LOAD: f64 = 1.48;
/// Time between tokens that each further request adds on engines too slow to meet the target with
/// a full batch.
const SLOW_GAP_PER_REQUEST_SECONDS: f64 = 0.002_2;
/// Mean output tokens of the generated requests, of which half are short.
const MEAN_OUTPUT_TOKENS: f64 = 140.0;

/// How requests are assigned to engines.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Policy {
    /// The shipped scheduler, with these rules.
    Scheduler(Rules),
    /// Hosts choose pairs without a scheduler, from load reports that lag.
    Unscheduled,
    /// Prompts run in order of arrival and wait for a decode slot afterwards.
    PrefillFirst,
}

/// A simulated request.
#[derive(Debug, Clone, Copy)]
struct Job {
    request: Request,
    team: usize,
    prompt: u32,
    output: u32,
    /// The shared text that the prompt starts with.
    prefix: u32,
    arrived: Instant,
    is_measured: bool,
}

/// A prompt at a prefill engine; decode tag 0 means that none is chosen yet.
#[derive(Debug, Clone, Copy)]
struct Prompt {
    job: Job,
    pair: Pair,
    /// Prompt tokens still to run.
    remaining: f64,
}

/// A request at a decode engine.
#[derive(Debug, Clone, Copy)]
struct Stream {
    job: Job,
    pair: Pair,
    tokens: f64,
    first: Option<Instant>,
    /// When the KV cache has arrived.
    ready: Instant,
}

#[derive(Debug, Clone, Default)]
struct Engine {
    prompts: VecDeque<Prompt>,
    streams: Vec<Stream>,
    /// Finished prompts whose KV cache waits for a decode slot, with the time of its expiry.
    waiting: Vec<(Prompt, Option<Instant>)>,
    /// Shared texts in the prefix cache, the least recently used first.
    cached: Vec<u32>,
    is_dead: bool,
}

#[derive(Debug, Clone, Copy, Default)]
struct TeamScore {
    arrived: u32,
    /// Requests that met both latency targets.
    good: u32,
}

#[derive(Debug, Default)]
struct Score {
    teams: [TeamScore; 5],
    refused: u32,
    /// Requests that finished but missed a latency target.
    late: u32,
    prefill_tokens: f64,
    wasted_tokens: f64,
    first_tokens: Vec<f64>,
}

struct Simulation {
    now: Instant,
    start: Instant,
    policy: Policy,
    team_mix: [f64; 5],
    gap_per_request: f64,
    prefill_rate: f64,
    rng: Pcg64Mcg,
    engines: BTreeMap<Tag, Engine>,
    scheduler: Scheduler,
    /// The latest load reports with their times, for [`Policy::Unscheduled`].
    reports: VecDeque<(Instant, Vec<Candidate>)>,
    jobs: HashMap<Request, Job>,
    /// Waiting requests of [`Policy::PrefillFirst`].
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

/// Seconds between tokens of a batch, of which each request after the first adds `per_request`.
fn gap(batch: usize, per_request: f64) -> f64 {
    BASE_GAP_SECONDS + per_request * (batch.saturating_sub(1)) as f64
}

/// Requests per second that the decode engines can finish with all slots full.
fn capacity() -> f64 {
    f64::from(SLOTS) * DECODE_ENGINES as f64
        / (MEAN_OUTPUT_TOKENS * gap(SLOTS as usize, GAP_PER_REQUEST_SECONDS))
}

fn main() {
    let seeds: u64 = std::env::args().nth(1).and_then(|seeds| seeds.parse().ok()).unwrap_or(5);
    let rules = Rules::default();
    let policies = [
        ("scheduler", Policy::Scheduler(rules)),
        ("alone", Policy::Unscheduled),
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
                let mut simulation = Simulation::new(policy, seed);
                simulation.run(load, false, false);
                println!("{}", simulation.csv_row(name, load, seed));
            }
        }
    }
    for (name, policy) in policies {
        for seed in 0..seeds {
            let mut simulation = Simulation::new(policy, seed);
            simulation.run(0.9, true, false);
            println!("{}", simulation.csv_row(&format!("{name}_bursts"), 0.9, seed));
            let mut simulation = Simulation::new(policy, seed);
            simulation.run(0.7, false, true);
            println!("{}", simulation.csv_row(&format!("{name}_engine_lost"), 0.7, seed));
            let mut simulation = Simulation::new(policy, seed);
            simulation.gap_per_request = SLOW_GAP_PER_REQUEST_SECONDS;
            simulation.run(0.9, false, false);
            println!("{}", simulation.csv_row(&format!("{name}_slow"), 0.9, seed));
            let mut simulation = Simulation::new(policy, seed);
            simulation.prefill_rate = SLOW_PREFILL_TOKENS_PER_SECOND;
            simulation.run(0.7, false, false);
            println!("{}", simulation.csv_row(&format!("{name}_slow_prefill"), 0.7, seed));
            let mut simulation = Simulation::new(policy, seed);
            simulation.team_mix = FLOOD_MIX;
            simulation.run(FLOOD_LOAD, false, false);
            println!("{}", simulation.csv_row(&format!("{name}_flood"), FLOOD_LOAD, seed));
        }
    }
}
