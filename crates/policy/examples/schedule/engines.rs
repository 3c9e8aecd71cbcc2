//! The cost model of the engines.

use damaskhatch_policy::prelude::*;
use damaskhatch_policy::route::Pair;
use damaskhatch_policy::schedule::message::{Claim, Phase, Release};

use crate::{
    FIRST_TOKEN_TARGET_SECONDS, GAP_TARGET_SECONDS, Job, KV_TTL, LINK_TOKENS_PER_SECOND, Policy,
    Prompt, SLOTS, STEP, Simulation, Stream, gap, is_decode,
};

impl Simulation {
    /// Advances every engine by one step.
    pub(crate) fn step_engines(&mut self) {
        let tags: Vec<Tag> = self.engines.keys().copied().collect();
        for tag in &tags {
            if is_decode(*tag) {
                self.step_decode(*tag);
            } else {
                self.step_prefill(*tag);
            }
        }
        for tag in tags.into_iter().filter(|tag| !is_decode(*tag)) {
            self.transfer_prompts(tag);
        }
    }

    /// Runs prompts on a prefill engine for one step.
    pub(crate) fn step_prefill(&mut self, tag: Tag) {
        let mut budget = self.prefill_rate * STEP.as_secs_f64();
        let now = self.now;
        let engine = self.engines.get_mut(&tag).expect("the engine exists");
        while budget > 0.0 {
            let Some(prompt) = engine.prompts.front_mut() else { return };
            let done = prompt.remaining.min(budget);
            prompt.remaining -= done;
            budget -= done;
            if prompt.remaining <= 0.0 {
                let prompt = engine.prompts.pop_front().expect("the front was just seen");
                engine.waiting.push((prompt, Some(now + KV_TTL)));
            }
        }
    }

    /// Moves finished prompts to decode engines with a free slot and discards expired ones.
    pub(crate) fn transfer_prompts(&mut self, tag: Tag) {
        let waiting = std::mem::take(&mut self.engines.get_mut(&tag).expect("it exists").waiting);
        let mut still_waiting = Vec::new();
        for (prompt, end) in waiting {
            let decode = match prompt.pair.decode {
                Tag(0) => self.free_decode_engine(),
                chosen => Some(chosen).filter(|tag| self.has_slot(*tag)),
            };
            if let Some(decode) = decode {
                self.start_stream(prompt, decode);
            } else if end.is_some_and(|end| end > self.now) {
                still_waiting.push((prompt, end));
            } else {
                self.discard(prompt);
            }
        }
        self.engines.get_mut(&tag).expect("it exists").waiting = still_waiting;
    }

    pub(crate) fn has_slot(&self, tag: Tag) -> bool {
        let engine = &self.engines[&tag];
        !engine.is_dead && (engine.streams.len() as u32) < SLOTS
    }

    /// The decode engine with the most free slots, if any has one.
    pub(crate) fn free_decode_engine(&self) -> Option<Tag> {
        let free = self.engines.iter().filter(|(tag, _)| is_decode(**tag) && self.has_slot(**tag));
        free.min_by_key(|(_, engine)| engine.streams.len()).map(|(tag, _)| *tag)
    }

    pub(crate) fn start_stream(&mut self, prompt: Prompt, decode: Tag) {
        let job = prompt.job;
        let transfer_time = Duration::from_secs_f64(f64::from(job.prompt) / LINK_TOKENS_PER_SECOND);
        let pair = Pair { decode, ..prompt.pair };
        let ready = self.now + transfer_time;
        let stream = Stream { job, pair, tokens: 0.0, first: None, ready };
        self.engines.get_mut(&decode).expect("it exists").streams.push(stream);
        self.renew(job.request, Phase::Decode, pair, 0);
    }

    /// Counts a prompt's prefill as wasted and handles its request as the policy does.
    pub(crate) fn discard(&mut self, prompt: Prompt) {
        self.score.wasted_tokens += f64::from(prompt.job.prompt);
        match self.policy {
            Policy::PrefillFirst => self.fifo.push_back(prompt.job),
            Policy::Unscheduled => self.refuse(prompt.job.request),
            Policy::Scheduler(_) => self.resubmit(prompt.job),
        }
    }

    /// Enqueues a request under a new id, as entry hosts do after a failed attempt.
    pub(crate) fn resubmit(&mut self, mut job: Job) {
        self.scheduler.release(Release { request: job.request, failed: None }, self.now);
        self.jobs.remove(&job.request);
        self.serial += 1;
        job.request.serial = self.serial;
        self.jobs.insert(job.request, job);
        self.enqueue(job);
    }

    /// Generates tokens on a decode engine for one step.
    pub(crate) fn step_decode(&mut self, tag: Tag) {
        let now = self.now;
        let engine = self.engines.get_mut(&tag).expect("it exists");
        let batch = engine.streams.len();
        let mut ended = Vec::new();
        for stream in engine.streams.iter_mut().filter(|stream| stream.ready <= now) {
            stream.tokens += STEP.as_secs_f64() / gap(batch, self.gap_per_request);
            if stream.tokens >= 1.0 && stream.first.is_none() {
                stream.first = Some(now);
            }
            if stream.tokens >= f64::from(stream.job.output) {
                ended.push(*stream);
            }
        }
        engine.streams.retain(|stream| stream.tokens < f64::from(stream.job.output));
        for stream in ended {
            self.finish_stream(&stream);
        }
    }

    /// Ends a finished request and scores it if it is measured.
    pub(crate) fn finish_stream(&mut self, stream: &Stream) {
        let job = stream.job;
        self.jobs.remove(&job.request);
        self.scheduler.release(Release { request: job.request, failed: None }, self.now);
        let Some(first) = stream.first.filter(|_| job.is_measured) else { return };
        let first_token = (first - job.arrived).as_secs_f64();
        let mean_gap = (self.now - first).as_secs_f64() / f64::from(job.output.max(2) - 1);
        self.score.first_tokens.push(first_token);
        if first_token <= FIRST_TOKEN_TARGET_SECONDS && mean_gap <= GAP_TARGET_SECONDS {
            self.score.teams[job.team].good += 1;
        } else {
            self.score.late += 1;
        }
    }

    /// Renews a lease as its entry host would.
    pub(crate) fn renew(&mut self, request: Request, phase: Phase, pair: Pair, gap_micros: u32) {
        let claim = Claim { request, phase, pair: Some(pair), pieces: 1, gap_micros };
        if matches!(self.policy, Policy::Scheduler(_)) {
            self.scheduler.renew(&[claim], self.now);
        }
    }

    /// Claims all open requests at the scheduler.
    pub(crate) fn send_claims(&mut self) {
        let mut claims = Vec::new();
        for engine in self.engines.values() {
            let micros = (gap(engine.streams.len(), self.gap_per_request) * 1e6) as u32;
            let streams = engine.streams.iter();
            claims.extend(streams.map(|s| (s.job.request, Phase::Decode, s.pair, micros)));
            let waiting = engine.waiting.iter().map(|(prompt, _)| prompt);
            let prompts = engine.prompts.iter().chain(waiting);
            claims.extend(prompts.map(|p| (p.job.request, Phase::Prefill, p.pair, 0)));
        }
        let held: Vec<Request> = claims.iter().map(|claim| claim.0).collect();
        for (request, phase, pair, micros) in claims {
            self.renew(request, phase, pair, micros);
        }
        if !matches!(self.policy, Policy::Scheduler(_)) {
            return;
        }
        let waiting = self.jobs.keys().filter(|request| !held.contains(request));
        let waiting: Vec<Claim> = waiting
            .map(|request| Claim {
                request: *request,
                phase: Phase::Waiting,
                pair: None,
                pieces: 0,
                gap_micros: 0,
            })
            .collect();
        self.scheduler.renew(&waiting, self.now);
    }

    /// Crashes a decode engine; its requests are placed again.
    pub(crate) fn crash_engine(&mut self, tag: Tag) {
        let engine = self.engines.get_mut(&tag).expect("it exists");
        engine.is_dead = true;
        let streams = std::mem::take(&mut engine.streams);
        self.scheduler.mark_unreachable(tag);
        for stream in streams {
            self.score.wasted_tokens += f64::from(stream.job.prompt);
            match self.policy {
                Policy::Scheduler(_) => self.resubmit(stream.job),
                Policy::Unscheduled => self.place_unscheduled(stream.job),
                Policy::PrefillFirst => self.fifo.push_back(stream.job),
            }
        }
    }
}
