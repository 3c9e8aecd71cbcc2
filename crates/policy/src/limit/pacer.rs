//! Grants requests to limited upstreams one by one, by priority and fairly over teams.
//!
//! Each upstream has a token bucket that starts empty and holds hardly more than one request, so
//! that neither a new holder nor a pause of the callers leads to a burst. Requests wait in the
//! holder's queue only if their turn comes within their patience; all others are refused at once,
//! and told to come back one after the other, at the rate of the limit.

use std::collections::HashMap;

use super::Statement;
use crate::prelude::*;

/// The most requests that a bucket holds beyond what flows in during [`SLACK`].
const BURST: f64 = 1.0;
/// How late a grant may be without a loss: waiting requests are looked at from time to time.
const SLACK: Duration = Duration::from_millis(20);
/// How long a grant is remembered, to answer repeats of the same ask.
const GRANT_TTL: Duration = Duration::from_secs(2);
/// How long an upstream's bucket is kept after the last ask.
const IDLE_TTL: Duration = Duration::from_secs(30);
/// The latest time at which a refused request is told to come back.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(5);

plain! { value
    /// Identifies an ask over all hosts.
    #[derive(Eq, PartialOrd, Ord, Hash)]
    pub struct Id {
        /// The host that asks.
        pub host: Tag,
        /// The start of its process.
        pub incarnation: u64,
        /// The number of the ask within it.
        pub serial: u64,
    }
}

plain! { value
    /// Asks for one request to an upstream.
    pub struct Ask {
        /// The limit, as known to the host that asks.
        pub statement: Statement,
        /// The team whose request it is.
        pub team: Tag,
        /// The priority, 0 being the highest.
        pub priority: u8,
        /// How long the request can wait.
        pub patience: Duration,
    }
}

plain! { value
    /// The answer to an ask.
    #[derive(Eq)]
    pub enum Verdict {
        /// The request may be sent now.
        Granted,
        /// Another answer follows, within the patience of the request.
        Queued,
        /// The request may not be sent.
        Refused {
            /// When a request may come back.
            retry_after: Duration,
        },
    }
}

#[derive(Debug, Clone)]
struct Waiting {
    id: Id,
    ask: Ask,
    arrived: u64,
    until: Instant,
}

/// The bucket of one upstream and the requests that wait for it.
#[derive(Debug, Clone)]
struct Queue {
    statement: Statement,
    /// Requests that may be granted now; may be fractional.
    level: f64,
    refilled_at: Instant,
    asked_at: Instant,
    waiting: Vec<Waiting>,
    granted: HashMap<Id, Instant>,
    /// The grants to each team since requests last waited.
    grants: HashMap<Tag, u32>,
    /// Until when refused requests have been told to come back.
    promised_until: Instant,
}

impl Queue {
    fn new(statement: Statement, now: Instant) -> Self {
        Self {
            statement,
            level: 0.0,
            refilled_at: now,
            asked_at: now,
            waiting: Vec::new(),
            granted: HashMap::new(),
            grants: HashMap::new(),
            promised_until: now,
        }
    }

    fn refill(&mut self, rate: f64, now: Instant) {
        let elapsed = now.saturating_duration_since(self.refilled_at).as_secs_f64();
        self.refilled_at = now;
        let most = BURST + rate * SLACK.as_secs_f64();
        self.level = (self.level + rate * elapsed).min(most);
    }

    fn grant(&mut self, id: Id, team: Tag, now: Instant) {
        self.level -= 1.0;
        self.granted.insert(id, now);
        *self.grants.entry(team).or_default() += 1;
    }

    /// The position in the queue of the next request to be granted.
    fn next(&self) -> Option<usize> {
        let rank = |waiting: &Waiting| {
            let grants = self.grants.get(&waiting.ask.team).copied().unwrap_or(0);
            (waiting.ask.priority, grants, waiting.arrived)
        };
        (0..self.waiting.len()).min_by_key(|at| rank(&self.waiting[*at]))
    }

    /// When the last of the requests that are told to come back would find its turn, after one more.
    fn promise(&mut self, rate: f64, now: Instant) -> Duration {
        let backlog = self.waiting.len() as f64 + 1.0 - self.level;
        let free_in = Duration::try_from_secs_f64(backlog / rate).unwrap_or(MAX_RETRY_AFTER);
        let one = Duration::try_from_secs_f64(1.0 / rate).unwrap_or(MAX_RETRY_AFTER);
        let earliest = now + free_in.min(MAX_RETRY_AFTER);
        let turn = (self.promised_until + one.min(MAX_RETRY_AFTER)).max(earliest);
        self.promised_until = turn.min(now + MAX_RETRY_AFTER);
        self.promised_until.saturating_duration_since(now)
    }
}

/// Grants the requests to the upstreams for which one host is a holder.
#[derive(Debug, Clone, Default)]
pub struct Pacer {
    queues: HashMap<Tag, Queue>,
    /// The number of asks so far, which orders those that wait.
    asks: u64,
}

impl Pacer {
    /// Decides on an ask; `fraction` is the part of the limit that this host may grant.
    ///
    /// An ask that comes again gets the same answer, so that it may be sent again.
    pub fn ask(&mut self, id: Id, ask: &Ask, fraction: f64, now: Instant) -> Verdict {
        let Some(per_s) = ask.statement.per_s else { return Verdict::Granted };
        let queue = self
            .queues
            .entry(ask.statement.upstream)
            .or_insert_with(|| Queue::new(ask.statement, now));
        let rate = per_s * fraction;
        queue.statement = ask.statement;
        queue.asked_at = now;
        if queue.granted.contains_key(&id) {
            return Verdict::Granted;
        }
        if queue.waiting.iter().any(|waiting| waiting.id == id) {
            return Verdict::Queued;
        }
        queue.refill(rate, now);
        if queue.waiting.is_empty() && queue.level >= 1.0 {
            queue.grant(id, ask.team, now);
            return Verdict::Granted;
        }
        let ahead = queue.waiting.iter().filter(|other| other.ask.priority <= ask.priority).count();
        let wait = (ahead as f64 + 1.0 - queue.level).max(0.0) / rate;
        if wait > ask.patience.as_secs_f64() {
            return Verdict::Refused { retry_after: queue.promise(rate, now) };
        }
        self.asks += 1;
        let (arrived, until) = (self.asks, now + ask.patience + SLACK);
        queue.waiting.push(Waiting { id, ask: *ask, arrived, until });
        Verdict::Queued
    }

    /// Grants what has become free; `fraction` gives the part of a limit that this host may grant.
    ///
    /// Also returns the refusals of requests whose patience has ended.
    pub fn tick(
        &mut self,
        mut fraction: impl FnMut(Tag) -> f64,
        now: Instant,
    ) -> Vec<(Id, Tag, Verdict)> {
        let mut answers = Vec::new();
        for (upstream, queue) in &mut self.queues {
            let rate = queue.statement.per_s.unwrap_or(f64::INFINITY) * fraction(*upstream);
            queue.refill(rate, now);
            while queue.level >= 1.0 {
                let Some(next) = queue.next() else { break };
                let Waiting { id, ask, .. } = queue.waiting.swap_remove(next);
                queue.grant(id, ask.team, now);
                answers.push((id, *upstream, Verdict::Granted));
            }
            let (kept, ended) =
                std::mem::take(&mut queue.waiting).into_iter().partition(|w| w.until > now);
            queue.waiting = kept;
            for Waiting { id, .. } in ended {
                let retry_after = queue.promise(rate, now);
                answers.push((id, *upstream, Verdict::Refused { retry_after }));
            }
            if queue.waiting.is_empty() {
                queue.grants.clear();
            }
            queue.granted.retain(|_, at| now.saturating_duration_since(*at) < GRANT_TTL);
        }
        self.queues.retain(|_, queue| {
            !queue.waiting.is_empty() || now.saturating_duration_since(queue.asked_at) < IDLE_TTL
        });
        answers
    }

    /// Whether any request waits.
    pub fn has_waiting(&self) -> bool {
        self.queues.values().any(|queue| !queue.waiting.is_empty())
    }
}
