//! Requests as they arrive, wait and are placed.

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
    CLAIM_INTERVAL, COOL_DOWN, DECODES, Engine, FIRST_TOKEN, GAP_PER_REQUEST, Job, PATIENCE,
    PIECES, PREFILL_RATE, PREFILLS, Policy, Prompt, REPORT_LAG, RUN, SLOTS, STEP, Score, TEAMS,
    TeamScore, WARM_UP, World, capacity, decode_tag, is_decode, prefill_tag,
};

impl World {
    pub(crate) fn new(policy: Policy, seed: u64) -> Self {
        let now = Instant::now();
        let rules = if let Policy::Scheduler(rules) = policy { rules } else { Rules::default() };
        let mut scheduler = Scheduler::new(rules, now);
        let mut engines = BTreeMap::new();
        let prefills = (0..PREFILLS).map(|index| (prefill_tag(index), Role::Prefill));
        let decodes = (0..DECODES).map(|index| (decode_tag(index), Role::Decode));
        let listed: Vec<(Tag, Role)> = prefills.chain(decodes).collect();
        scheduler.set_engines(&listed, now);
        for (tag, _) in listed {
            engines.insert(tag, Engine::default());
        }
        Self {
            now,
            start: now,
            policy,
            mix: TEAMS,
            gap_per_request: GAP_PER_REQUEST,
            prefill_rate: PREFILL_RATE,
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

    pub(crate) fn run(&mut self, load: f64, bursts: bool, kill: bool) {
        let mut claim_at = self.now;
        let mut report_at = self.now;
        let mut killed = false;
        while self.now - self.start < RUN {
            self.now += STEP;
            let second = (self.now - self.start).as_secs();
            // A burst doubles one second in eight and thins the others out.
            let factor = match (bursts, second.is_multiple_of(8)) {
                (false, _) => 1.0,
                (true, true) => 2.0,
                (true, false) => 6.0 / 7.0,
            };
            self.arrive(load * factor * capacity() * STEP.as_secs_f64());
            if kill && !killed && self.now - self.start > RUN / 2 {
                killed = true;
                self.kill(decode_tag(0));
            }
            if self.now >= report_at {
                report_at = self.now + REPORT_LAG;
                self.report();
            }
            self.work();
            if self.now >= claim_at {
                claim_at = self.now + CLAIM_INTERVAL;
                self.claim();
            }
            self.place();
        }
    }

    pub(crate) fn arrive(&mut self, mean: f64) {
        if self.rng.random::<f64>() >= mean {
            return;
        }
        let mut draw = self.rng.random::<f64>();
        let team = self.mix.iter().position(|part| {
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
            measured: self.now - self.start > WARM_UP && self.now - self.start + COOL_DOWN < RUN,
        };
        if job.measured {
            self.score.teams[job.team].arrived += 1;
        }
        self.jobs.insert(request, job);
        match self.policy {
            Policy::Scheduler(_) => self.enqueue(job),
            Policy::Alone => self.choose_alone(job),
            Policy::PrefillFirst => self.fifo.push_back(job),
        }
    }

    pub(crate) fn enqueue(&mut self, job: Job) {
        // Summaries of a team start with one of a few shared texts.
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
            // Every team has bought a fifth of the capacity; the first sends more than it.
            weight: 6_800.0,
            prompt_tokens: job.prompt,
            output_tokens: job.output,
            blocks: blocks.collect(),
            due_in: Duration::from_secs_f64(FIRST_TOKEN),
            patience: PATIENCE,
            suspect: None,
            avoid: Vec::new(),
            redirected: false,
        };
        let decision = self.scheduler.enqueue(demand, None, self.now);
        decision.into_iter().for_each(|decision| self.carry_out(&decision));
    }

    pub(crate) fn place(&mut self) {
        match self.policy {
            Policy::Scheduler(_) => {
                for decision in self.scheduler.tick(self.now) {
                    self.carry_out(&decision);
                }
            }
            Policy::Alone => {}
            Policy::PrefillFirst => self.run_prompts_first(),
        }
    }

    pub(crate) fn carry_out(&mut self, decision: &Decision) {
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
        if self.jobs.remove(&request).is_some_and(|job| job.measured) {
            self.score.refused += 1;
        }
    }

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
        let left = f64::from(job.prompt - if is_cached { shared } else { 0 });
        self.score.prefill_tokens += left;
        engine.prompts.push_back(Prompt { job, pair, left });
    }

    pub(crate) fn choose_alone(&mut self, job: Job) {
        let seen = self.now - REPORT_LAG;
        let report = self.reports.iter().rev().find(|(at, _)| *at <= seen);
        let candidates = report.map(|(_, candidates)| candidates.clone()).unwrap_or_default();
        match route::fallback(&candidates, &HashMap::new()) {
            Some(pair) => self.start_prompt(job, pair),
            None => self.refuse(job.request),
        }
    }

    pub(crate) fn run_prompts_first(&mut self) {
        let now = self.now;
        while self.fifo.front().is_some_and(|job| now - job.arrived > PATIENCE) {
            let job = self.fifo.pop_front().expect("the front was just seen");
            self.refuse(job.request);
        }
        while let Some(job) = self.fifo.front().copied() {
            let prefills = self.engines.iter().filter(|(tag, _)| !is_decode(**tag));
            let backlog = |e: &Engine| e.prompts.iter().map(|p| p.left).sum::<f64>();
            let best = prefills.min_by(|(_, a), (_, b)| backlog(a).total_cmp(&backlog(b)));
            let Some((tag, engine)) = best else { return };
            if backlog(engine) > PREFILL_RATE * 0.25 {
                return;
            }
            let pair = Pair { prefill: *tag, decode: Tag(0) };
            self.fifo.pop_front();
            self.start_prompt(job, pair);
        }
    }

    pub(crate) fn report(&mut self) {
        let mut candidates = Vec::new();
        for (tag, engine) in self.engines.iter().filter(|(_, engine)| !engine.is_dead) {
            let running = engine.streams.len() as u32;
            let queued = engine.prompts.iter().map(|prompt| prompt.left).sum::<f64>();
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

    /// One CSV row of what was measured.
    pub(crate) fn row(&self, name: &str, load: f64, seed: u64) -> String {
        let arrived: u32 = self.score.teams.iter().map(|team| team.arrived).sum();
        let good: u32 = self.score.teams.iter().map(|team| team.good).sum();
        let best = f64::from(arrived) * (1.0 / load).min(1.0);
        let fair = |team: &TeamScore| {
            // Equal weights: a fifth of the capacity is each team's, more if others leave some.
            let share = capacity() * RUN.saturating_sub(WARM_UP + COOL_DOWN).as_secs_f64() / 5.0;
            let due = f64::from(team.arrived).min(share);
            f64::from(team.good) / due.max(1.0)
        };
        let worst = self.score.teams.iter().map(fair).fold(f64::INFINITY, f64::min);
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
