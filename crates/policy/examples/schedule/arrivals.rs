//! Arrival, queueing and placement of requests.

use std::collections::{BTreeMap, HashMap, VecDeque};

use damaskhatch_policy::prelude::*;
use damaskhatch_policy::route::{self, Candidate, Pair};
use damaskhatch_policy::schedule::engine::Load;
use damaskhatch_policy::schedule::message::{BLOCK_TOKENS, Decision, Demand};
use damaskhatch_policy::schedule::{Rules, Scheduler};
use damaskhatch_policy::sheet::Role;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

use crate::{
    CLAIM_INTERVAL, COOL_DOWN, DECODE_ENGINES, Engine, FIRST_TOKEN_TARGET_SECONDS,
    GAP_PER_REQUEST_SECONDS, Job, PATIENCE, PIECES, PREFILL_ENGINES, PREFILL_TOKENS_PER_SECOND,
    Policy, Prompt, REPORT_LAG, RUN_TIME, SLOTS, STEP, Score, Simulation, TEAM_MIX, TeamScore,
    WARM_UP, capacity, decode_tag, is_decode, prefill_tag,
};

impl Simulation {
    pub(crate) fn new(policy: Policy, seed: u64) -> Self {
        let now = Instant::now();
        let rules = if let Policy::Scheduler(rules) = policy { rules } else { Rules::default() };
        let mut scheduler = Scheduler::new(rules, now);
        let mut engines = BTreeMap::new();
        let prefills = (0..PREFILL_ENGINES).map(|index| (prefill_tag(index), Role::Prefill));
        let decodes = (0..DECODE_ENGINES).map(|index| (decode_tag(index), Role::Decode));
        let listed: Vec<(Tag, Role)> = prefills.chain(decodes).collect();
        scheduler.set_engines(&listed, now);
        for (tag, _) in listed {
            engines.insert(tag, Engine::default());
        }
        Self {
            now,
            start: now,
            policy,
            team_mix: TEAM_MIX,
            gap_per_request: GAP_PER_REQUEST_SECONDS,
            prefill_rate: PREFILL_TOKENS_PER_SECOND,
            rng: Pcg64Mcg::seed_from_u64(seed),
            engines,
            scheduler,
            reports: VecDeque::new(),
            jobs: HashMap::new(),
            fifo: VecDeque::new(),
            serial: 0,
            score: Score::default(),
        }
    }

    /// Runs the simulation at `load` times the capacity, on request with bursts or with the crash
    /// of a decode engine halfway.
    pub(crate) fn run(&mut self, load: f64, has_bursts: bool, has_crash: bool) {
        let mut claim_at = self.now;
        let mut report_at = self.now;
        let mut has_crashed = false;
        while self.now - self.start < RUN_TIME {
            self.now += STEP;
            let second = (self.now - self.start).as_secs();
            // A burst doubles the load in one second of eight; the others compensate for it.
            let factor = match (has_bursts, second.is_multiple_of(8)) {
                (false, _) => 1.0,
                (true, true) => 2.0,
                (true, false) => 6.0 / 7.0,
            };
            self.draw_arrival(load * factor * capacity() * STEP.as_secs_f64());
            if has_crash && !has_crashed && self.now - self.start > RUN_TIME / 2 {
                has_crashed = true;
                self.crash_engine(decode_tag(0));
            }
            if self.now >= report_at {
                report_at = self.now + REPORT_LAG;
                self.send_reports();
            }
            self.step_engines();
            if self.now >= claim_at {
                claim_at = self.now + CLAIM_INTERVAL;
                self.send_claims();
            }
            self.place_requests();
        }
    }

    /// Draws whether a request arrives in this step, where `mean` are expected, and submits it.
    pub(crate) fn draw_arrival(&mut self, mean: f64) {
        if self.rng.random::<f64>() >= mean {
            return;
        }
        let mut draw = self.rng.random::<f64>();
        let team = self.team_mix.iter().position(|part| {
            draw -= part;
            draw < 0.0
        });
        let short = self.rng.random::<bool>();
        let (prompt, output) = if short {
            (self.rng.random_range(30..400), self.rng.random_range(20..60))
        } else {
            (self.rng.random_range(1_500..9_000), self.rng.random_range(120..360))
        };
        self.serial += 1;
        let request = Request { host: Tag(1), incarnation: 1, serial: self.serial };
        let job = Job {
            request,
            team: team.unwrap_or(0),
            prompt,
            output,
            prefix: self.rng.random_range(0..12),
            arrived: self.now,
            is_measured: self.now - self.start > WARM_UP
                && self.now - self.start + COOL_DOWN < RUN_TIME,
        };
        if job.is_measured {
            self.score.teams[job.team].arrived += 1;
        }
        self.jobs.insert(request, job);
        match self.policy {
            Policy::Scheduler(_) => self.enqueue(job),
            Policy::Unscheduled => self.place_unscheduled(job),
            Policy::PrefillFirst => self.fifo.push_back(job),
        }
    }

    /// Submits a request to the scheduler.
    pub(crate) fn enqueue(&mut self, job: Job) {
        // Prompts start with one of a few shared texts, as the summaries of a team do.
        let shared = (job.prompt / BLOCK_TOKENS).min(4);
        let blocks = (0..job.prompt / BLOCK_TOKENS).map(|index| {
            let own = (job.request.serial as u32).wrapping_mul(2_654_435_761);
            if index < shared { job.prefix * 100 + index } else { own.wrapping_add(index) }
        });
        let demand = Demand {
            request: job.request,
            attempt: 0,
            service: Tag(1),
            team: Tag(job.team as u64 + 1),
            // Each team's rate is a fifth of the capacity; the first team sends more than that.
            weight: 6_800.0,
            prompt_tokens: job.prompt,
            output_tokens: job.output,
            blocks: blocks.collect(),
            due_in: Duration::from_secs_f64(FIRST_TOKEN_TARGET_SECONDS),
            patience: PATIENCE,
            suspect: None,
            avoid: Vec::new(),
            redirected: false,
        };
        let decision = self.scheduler.enqueue(demand, None, self.now);
        decision.into_iter().for_each(|decision| self.apply(&decision));
    }

    /// Applies the placements that are due by now.
    pub(crate) fn place_requests(&mut self) {
        match self.policy {
            Policy::Scheduler(_) => {
                for decision in self.scheduler.tick(self.now) {
                    self.apply(&decision);
                }
            }
            Policy::Unscheduled => {}
            Policy::PrefillFirst => self.start_queued_prompts(),
        }
    }

    pub(crate) fn apply(&mut self, decision: &Decision) {
        match *decision {
            Decision::Grant { request, pair, .. } => {
                let job = self.jobs[&request];
                self.start_prompt(job, pair);
            }
            Decision::Refuse { request, .. } => self.refuse(request),
            Decision::Redirect { .. } | Decision::Cancel { .. } => {}
        }
    }

    pub(crate) fn refuse(&mut self, request: Request) {
        if self.jobs.remove(&request).is_some_and(|job| job.is_measured) {
            self.score.refused += 1;
        }
    }

    /// Queues a prompt at its prefill engine and updates the engine's prefix cache.
    pub(crate) fn start_prompt(&mut self, job: Job, pair: Pair) {
        let engine = self.engines.get_mut(&pair.prefill).expect("the engine exists");
        let shared = (job.prompt / BLOCK_TOKENS).min(4) * BLOCK_TOKENS;
        let is_cached = shared > 0 && engine.cached.contains(&job.prefix);
        engine.cached.retain(|prefix| *prefix != job.prefix);
        engine.cached.push(job.prefix);
        // The prefix cache holds four of the twelve shared texts.
        if engine.cached.len() > 4 {
            engine.cached.remove(0);
        }
        let remaining = f64::from(job.prompt - if is_cached { shared } else { 0 });
        self.score.prefill_tokens += remaining;
        engine.prompts.push_back(Prompt { job, pair, remaining });
    }

    /// Places a request without a scheduler, from the latest report of at least [`REPORT_LAG`].
    pub(crate) fn place_unscheduled(&mut self, job: Job) {
        let visible_until = self.now - REPORT_LAG;
        let report = self.reports.iter().rev().find(|(at, _)| *at <= visible_until);
        let candidates = report.map(|(_, candidates)| candidates.clone()).unwrap_or_default();
        match route::choose_pair(&candidates, &HashMap::new()) {
            Some(pair) => self.start_prompt(job, pair),
            None => self.refuse(job.request),
        }
    }

    /// Refuses requests out of patience and starts others while a prefill engine has little queued.
    pub(crate) fn start_queued_prompts(&mut self) {
        let now = self.now;
        while self.fifo.front().is_some_and(|job| now - job.arrived > PATIENCE) {
            let job = self.fifo.pop_front().expect("the front was just seen");
            self.refuse(job.request);
        }
        while let Some(job) = self.fifo.front().copied() {
            let prefills = self.engines.iter().filter(|(tag, _)| !is_decode(**tag));
            let backlog = |e: &Engine| e.prompts.iter().map(|p| p.remaining).sum::<f64>();
            let best = prefills.min_by(|(_, a), (_, b)| backlog(a).total_cmp(&backlog(b)));
            let Some((tag, engine)) = best else { return };
            if backlog(engine) > PREFILL_TOKENS_PER_SECOND * 0.25 {
                return;
            }
            let pair = Pair { prefill: *tag, decode: Tag(0) };
            self.fifo.pop_front();
            self.start_prompt(job, pair);
        }
    }

    /// Reports the load of all live engines to the scheduler and to hosts without one.
    pub(crate) fn send_reports(&mut self) {
        let mut candidates = Vec::new();
        for (tag, engine) in self.engines.iter().filter(|(_, engine)| !engine.is_dead) {
            let running = engine.streams.len() as u32;
            let queued = engine.prompts.iter().map(|prompt| prompt.remaining).sum::<f64>();
            let role = if is_decode(*tag) { Role::Decode } else { Role::Prefill };
            candidates.push(Candidate {
                upstream: *tag,
                role,
                running,
                slots: SLOTS,
                queued_tokens: queued as u64,
            });
            let load = Load { running, slots: SLOTS, pieces: PIECES, ..Load::default() };
            self.scheduler.update_load(*tag, &load);
        }
        self.reports.push_back((self.now, candidates));
        if self.reports.len() > 8 {
            self.reports.pop_front();
        }
    }

    /// Formats the results as one CSV row.
    pub(crate) fn csv_row(&self, name: &str, load: f64, seed: u64) -> String {
        let arrived: u32 = self.score.teams.iter().map(|team| team.arrived).sum();
        let good: u32 = self.score.teams.iter().map(|team| team.good).sum();
        let best = f64::from(arrived) * (1.0 / load).min(1.0);
        let fair_share_met = |team: &TeamScore| {
            // Weights are equal, so each team is entitled to a fifth of the capacity, and to more
            // if others use less.
            let share =
                capacity() * RUN_TIME.saturating_sub(WARM_UP + COOL_DOWN).as_secs_f64() / 5.0;
            let due = f64::from(team.arrived).min(share);
            f64::from(team.good) / due.max(1.0)
        };
        let worst = self.score.teams.iter().map(fair_share_met).fold(f64::INFINITY, f64::min);
        let mut first = self.score.first_tokens.clone();
        first.sort_by(f64::total_cmp);
        let p95 = first.get(first.len() * 95 / 100).copied().unwrap_or(0.0);
        format!(
            "{name},{load},{seed},{arrived},{good},{:.4},{:.4},{:.4},{:.4},{:.3}",
            f64::from(good) / best,
            self.score.wasted_tokens / self.score.prefill_tokens.max(1.0),
            worst.min(1.0),
            f64::from(self.score.refused) / f64::from(arrived.max(1)),
            p95,
        )
    }
}
