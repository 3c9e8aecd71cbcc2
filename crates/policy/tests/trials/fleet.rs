//! A simulated fleet before engines that crash, under a bad part of prompts and for other reasons.

use damaskhatch_policy::prelude::*;
use damaskhatch_policy::rendezvous;
use damaskhatch_policy::strike::trial::Trials;
use damaskhatch_policy::strike::{
    Crash, Fingerprints, Ledger, Proof, Proven, Report, Strike, fingerprint, part,
};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

/// The first part of all prompts.
pub const SHARED: &str = "shared";
/// The part that crashes upstreams.
pub const BAD: &str = "bad";

/// The length of a simulation step.
const STEP_TIME: Duration = Duration::from_millis(50);
/// The steps in a second.
const SECOND: u64 = 20;
/// The steps from the first to the last sound request before a lull, and to the first one after it.
const LULL: std::ops::Range<u64> = 3 * SECOND..15 * SECOND;
/// The step at which the first bad requests come, when sound ones are running again.
const FIRST_CRASH: u64 = LULL.end + 6;
/// The step at which a host that was cut off is back, and another one has started.
const BACK: u64 = FIRST_CRASH + 5 * SECOND;
const END: u64 = LULL.end + 40 * SECOND;
/// How long a crashed engine is down.
const DOWN: u64 = 4 * SECOND;
/// How long an engine must outlive a response for it to count.
const SETTLING: u64 = 2 * SECOND;
/// How long the answer to a sound request takes.
const SOUND: u64 = 3 * SECOND;
/// The time after a crash from which on refusals of sound requests are counted.
const COUNTED_AFTER: u64 = 6 * SECOND;
/// The steps between two crashes that no request causes.
const OTHERS_APART: u64 = 7;
const ENGINES: usize = 4;
const SLOTS: usize = 40;

pub fn id(name: &str) -> Tag {
    part(Tag(7), name.as_bytes())
}

/// A request that is unlike all others, whose prompt has these parts.
pub fn request(number: u64, parts: &[&str]) -> Fingerprints {
    let request = fingerprint(Tag(1), &[&number.to_le_bytes()]);
    Fingerprints { request, parts: parts.iter().map(|name| id(name)).collect() }
}

/// What happens to a fleet.
#[derive(Debug, Clone, Copy)]
pub struct Play {
    pub hosts: usize,
    /// The number of requests with the bad part that come at once; later one comes every second.
    pub bad: usize,
    /// The crashes that no request causes, a third of a second apart.
    pub others: usize,
    /// Whether responses with the bad part were completed before it became bad.
    pub was_sound: bool,
    /// Whether one host is cut off during the crashes and another one starts after them.
    pub is_disturbed: bool,
    /// Whether complete responses count for longer than [`Proven::contains`] does.
    pub has_proofs: bool,
}

/// What a play has shown.
#[derive(Debug, Default, Clone, Copy)]
pub struct Outcome {
    /// The upstreams that crashed under the bad part.
    pub bad_crashes: u32,
    /// The sound requests from 6 s after the last crash on.
    pub sound: u32,
    /// Those of them that were refused.
    pub refused: u32,
}

/// A request on a simulated engine.
#[derive(Debug, Clone)]
struct Running {
    request: Fingerprints,
    host: usize,
    is_bad: bool,
    began: u64,
    ends: u64,
}

/// What hosts tell each other.
#[derive(Debug, Clone, Default)]
struct News {
    reports: Vec<Report>,
    proofs: Vec<Proof>,
}

/// News on their way to a host.
#[derive(Debug, Clone)]
struct Message {
    at: u64,
    to: usize,
    news: News,
}

/// A complete response whose engine may still turn out to have crashed.
#[derive(Debug, Clone)]
struct Completed {
    at: u64,
    run: Running,
    engine: usize,
}

#[derive(Debug, Clone, Default)]
struct Host {
    ledger: Ledger,
    proven: Proven,
    trials: Trials,
}

impl Host {
    /// Whether a request may run at this host, whose place among all is `rank` for a fingerprint.
    fn admits(
        &mut self,
        request: &Fingerprints,
        rank: impl Fn(Tag) -> usize,
        now: Instant,
    ) -> bool {
        let quarantines = self.ledger.quarantines_of(request, now);
        self.trials.admit_all(quarantines, rank, request.request, now).is_ok()
    }

    /// Merges news and returns what this host can prove of them.
    fn merge(&mut self, news: &News, has_proofs: bool, now: Instant) -> Vec<Proof> {
        // Proofs are of use for the strikes that come with them.
        for Proof { fingerprint, age } in &news.proofs {
            let at = now.checked_sub(*age).expect("a time");
            self.proven.record(*fingerprint, at);
            self.ledger.prove(*fingerprint, at, now);
        }
        let mut proofs = Vec::new();
        for report in &news.reports {
            let own = report.strike.fingerprint;
            self.ledger.record(report, now);
            let proof = self.proven.latest(own, now).filter(|_at| has_proofs);
            if let Some(at) = proof.filter(|at| self.ledger.prove(own, *at, now)) {
                proofs.push(Proof { fingerprint: own, age: now.saturating_duration_since(at) });
            }
        }
        proofs
    }
}

/// A simulated fleet and its engines.
#[derive(Debug)]
pub struct Fleet {
    play: Play,
    rng: Pcg64Mcg,
    start: Instant,
    step: u64,
    last_crash: u64,
    hosts: Vec<Host>,
    messages: Vec<Message>,
    running: Vec<Vec<Running>>,
    completed: Vec<Completed>,
    up_at: [u64; ENGINES],
    runs: [u64; ENGINES],
    outcome: Outcome,
}

impl Fleet {
    /// Plays three seconds of sound requests, a lull of twelve, and then crashes under sound and bad
    /// ones.
    pub fn play(seed: u64, play: Play) -> Outcome {
        let mut fleet = Self {
            play,
            rng: Pcg64Mcg::seed_from_u64(seed),
            start: Instant::now(),
            step: 0,
            last_crash: FIRST_CRASH,
            hosts: vec![Host::default(); play.hosts],
            messages: Vec::new(),
            running: vec![Vec::new(); ENGINES],
            completed: Vec::new(),
            up_at: [0; ENGINES],
            runs: [0; ENGINES],
            outcome: Outcome::default(),
        };
        for step in 0..END {
            fleet.step = step;
            if play.is_disturbed && step == BACK {
                fleet.compare();
            }
            fleet.deliver();
            fleet.arrive();
            fleet.run_engines();
            fleet.settle();
        }
        fleet.outcome
    }

    fn time(&self, step: u64) -> Instant {
        self.start + STEP_TIME * step as u32
    }

    fn now(&self) -> Instant {
        self.time(self.step)
    }

    fn is_cut(&self, host: usize) -> bool {
        self.play.is_disturbed && host == 0 && (FIRST_CRASH..BACK).contains(&self.step)
    }

    /// Tells all hosts, each with a delay of its own.
    fn tell(&mut self, from: usize, news: &News) {
        if news.reports.is_empty() && news.proofs.is_empty() || self.is_cut(from) {
            return;
        }
        for to in 0..self.play.hosts {
            if !self.is_cut(to) {
                let at = self.step + self.rng.random_range(1..4);
                self.messages.push(Message { at, to, news: news.clone() });
            }
        }
    }

    /// Has a host that starts now, and one that is back, learn what another one knows.
    fn compare(&mut self) {
        let now = self.now();
        self.hosts[1] = Host::default();
        let known = &self.hosts[2].ledger;
        let news = News { reports: known.reports(now), proofs: known.proofs(now).collect() };
        for host in [0, 1] {
            self.messages.push(Message { at: self.step, to: host, news: news.clone() });
        }
    }

    fn deliver(&mut self) {
        let (step, now) = (self.step, self.now());
        let due: Vec<Message> = self.messages.extract_if(.., |own| own.at <= step).collect();
        for Message { to, news, .. } in due {
            let proofs = self.hosts[to].merge(&news, self.play.has_proofs, now);
            self.tell(to, &News { proofs, reports: Vec::new() });
        }
    }

    /// Sends this step's requests to hosts, and from them to engines.
    fn arrive(&mut self) {
        let (step, play) = (self.step, self.play);
        let sound = if LULL.contains(&step) { 0 } else { self.rng.random_range(0..2) };
        let bad = match step.checked_sub(FIRST_CRASH) {
            Some(0) => play.bad,
            Some(since) => usize::from(play.bad > 0 && since % SECOND == SECOND - 1),
            None => 0,
        };
        for is_bad in (0..sound + bad).map(|number| number >= sound) {
            let has_bad = is_bad || (play.was_sound && step < LULL.start);
            let parts: &[&str] = if has_bad { &[SHARED, BAD] } else { &[SHARED] };
            let request = request(self.rng.random(), parts);
            let host = self.rng.random_range(0..play.hosts);
            let name = |host: usize| Tag(1 + host as u64);
            let rank = |role| rendezvous::rank(role, name(host), (0..play.hosts).map(name));
            let now = self.now();
            let is_admitted = self.hosts[host].admits(&request, rank, now);
            if !is_bad && step >= self.last_crash + COUNTED_AFTER {
                self.outcome.sound += 1;
                self.outcome.refused += u32::from(!is_admitted);
            }
            let is_free =
                |engine: &usize| self.up_at[*engine] <= step && self.running[*engine].len() < SLOTS;
            let free: Vec<usize> = (0..ENGINES).filter(is_free).collect();
            if is_admitted && !free.is_empty() {
                let engine = free[self.rng.random_range(0..free.len())];
                let ends = step + if is_bad { self.rng.random_range(2..8) } else { SOUND };
                self.running[engine].push(Running { request, host, is_bad, began: step, ends });
            }
        }
    }

    /// Ends the responses that are complete and the engines that crash now.
    fn run_engines(&mut self) {
        let step = self.step;
        let since = step.checked_sub(FIRST_CRASH + 3);
        let is_other = since.is_some_and(|since| {
            since % OTHERS_APART == 0 && since / OTHERS_APART < self.play.others as u64
        });
        let is_busy = |engine: &usize| is_other && !self.running[*engine].is_empty();
        let busy: Vec<usize> = (0..ENGINES).filter(is_busy).collect();
        let other = (!busy.is_empty()).then(|| busy[self.rng.random_range(0..busy.len())]);
        for engine in 0..ENGINES {
            let is_hit = self.running[engine].iter().any(|run| run.is_bad && run.ends <= step);
            self.outcome.bad_crashes += u32::from(is_hit);
            if is_hit || other == Some(engine) {
                self.crash(engine);
            }
            let ended = self.running[engine].extract_if(.., |run| run.ends <= step);
            self.completed.extend(ended.map(|run| Completed { at: step, run, engine }));
        }
    }

    fn crash(&mut self, engine: usize) {
        let now = self.now();
        self.last_crash = self.step;
        self.runs[engine] += 1;
        self.up_at[engine] = self.step + DOWN;
        let (upstream, started_ms) = (Tag(engine as u64), self.runs[engine]);
        let crash = Crash { upstream, started_ms, name: format!("up-{engine}") };
        for run in std::mem::take(&mut self.running[engine]) {
            let strikes = Strike::all(&run.request, &crash, self.time(run.began), now);
            let host = &mut self.hosts[run.host];
            let reports: Vec<Report> = strikes
                .into_iter()
                .filter(|strike| !host.proven.contains(strike.fingerprint, now))
                .map(|strike| Report { strike, age: Duration::ZERO, is_cleared: false })
                .collect();
            let news = News { reports, proofs: Vec::new() };
            let proofs = host.merge(&news, self.play.has_proofs, now);
            let reports = host.ledger.messages(&news.reports, now).concat();
            self.tell(run.host, &News { reports, proofs });
        }
    }

    /// Counts complete responses for their fingerprints.
    fn settle(&mut self) {
        let (step, now) = (self.step, self.now());
        let due: Vec<Completed> =
            self.completed.extract_if(.., |own| own.at + SETTLING <= step).collect();
        for Completed { at, run, engine } in due {
            let served_at = self.time(at);
            let host = &mut self.hosts[run.host];
            if host.ledger.has_crashed(Tag(engine as u64), served_at) {
                continue;
            }
            let mut news = News::default();
            for own in run.request.all() {
                host.proven.record(own, served_at);
                if self.play.has_proofs && host.ledger.prove(own, served_at, now) {
                    let age = now.saturating_duration_since(served_at);
                    news.proofs.push(Proof { fingerprint: own, age });
                }
                news.reports.extend(host.ledger.clear(own, served_at, now));
            }
            self.tell(run.host, &news);
        }
    }
}
