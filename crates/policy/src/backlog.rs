//! Whether a request would wait too long at the upstreams of a plain service.
//!
//! Answers the pattern of a burst above the capacity of a service: upstreams queue
//! what they cannot work on yet, and once their queues take longer than the target,
//! every answer is late although no more are made. Refusing a part of the requests
//! at the door keeps the queues short, so that what is accepted is in time.
//!
//! Each answer tells how many requests waited at its upstream. The part that is
//! accepted falls with the predicted time in steps far smaller than all or nothing,
//! because many hosts decide by the same news at the same time.

use crate::prelude::*;

/// How long what an upstream told keeps most of its weight.
const MEMORY: Duration = Duration::from_millis(200);
/// The least weight of what was told last.
const LEAST_WEIGHT: f64 = 0.3;
/// The time in which a backlog of which nothing is heard is taken to drain to a third.
const DRAIN_TIME: Duration = Duration::from_millis(500);
/// The weight of one answer in the mean time of work.
const WORK_WEIGHT: f64 = 0.05;
/// The part of the target up to which a predicted time refuses nobody.
const ALL_ACCEPTED: f64 = 0.4;
/// The part of the target from which on a predicted time refuses everybody.
const NONE_ACCEPTED: f64 = 0.8;

plain! { value
    /// What an upstream says of its load in an answer.
    #[derive(Eq)]
    pub struct Report {
        /// Requests that it works on.
        pub running: u32,
        /// Requests that wait there.
        pub waiting: u32,
        /// Requests that it works on at once.
        pub slots: u32,
    }
}

impl Report {
    /// Reads three numbers with commas between them.
    pub fn parse(text: &str) -> Option<Self> {
        let mut numbers = text.split(',').map(|number| number.trim().parse().ok());
        let told =
            Self { running: numbers.next()??, waiting: numbers.next()??, slots: numbers.next()?? };
        (numbers.next().is_none() && told.slots > 0).then_some(told)
    }
}

/// What one host has heard of the backlog of a service.
#[derive(Debug, Clone, Default)]
pub struct Backlog {
    /// Requests waiting for each slot, and when that was heard.
    waiting: Option<(f64, Instant)>,
    /// The mean time of work on a request, in seconds.
    work: Option<f64>,
}

impl Backlog {
    /// Takes in what an upstream told in an answer that took `took`.
    pub fn observe(&mut self, told: Report, took: Duration, now: Instant) {
        let heard = f64::from(told.waiting) / f64::from(told.slots.max(1));
        let level = self.waiting.map_or(heard, |(level, at)| {
            let age = now.saturating_duration_since(at).as_secs_f64();
            let weight = (1.0 - (-age / MEMORY.as_secs_f64()).exp()).max(LEAST_WEIGHT);
            level + weight * (heard - level)
        });
        self.waiting = Some((level, now));
        // Upstreams may be slower when they are nearly full, so answers that waited count too.
        let work = took.as_secs_f64() / (1.0 + heard);
        self.work = Some(self.work.map_or(work, |mean| mean + WORK_WEIGHT * (work - mean)));
    }

    /// The time that a request would take, as far as is known.
    pub fn predicted_latency(&self, now: Instant) -> Option<Duration> {
        let (level, at) = self.waiting?;
        let age = now.saturating_duration_since(at).as_secs_f64();
        let waiting = level * (-age / DRAIN_TIME.as_secs_f64()).exp();
        Some(Duration::from_secs_f64(self.work? * (1.0 + waiting)))
    }

    /// Whether to accept a request with a target, by a number drawn evenly from 0 to 1.
    pub fn accepts(&self, target: Duration, drawn: f64, now: Instant) -> bool {
        let Some(predicted) = self.predicted_latency(now) else { return true };
        let part = predicted.as_secs_f64() / target.as_secs_f64().max(f64::EPSILON);
        drawn < (NONE_ACCEPTED - part) / (NONE_ACCEPTED - ALL_ACCEPTED)
    }
}
