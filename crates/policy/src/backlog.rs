//! Admission control for plain services, by the latency predicted from upstream backlogs.
//!
//! Upstreams queue the requests above their capacity. Once their queues take longer than
//! the latency target, every response is late although throughput stays the same. Refusing
//! a fraction of the requests at the entry host keeps the queues short, so that accepted
//! requests finish in time.
//!
//! Each response reports how many requests waited at its upstream. The accepted fraction
//! falls gradually as the predicted latency rises: many hosts act on the same reports at
//! the same time, and a hard threshold would make all of them accept or refuse at once.

use crate::prelude::*;

/// The time constant with which earlier reports lose weight.
const SMOOTHING_TIME: Duration = Duration::from_millis(200);
/// The minimum weight of a new report.
const MIN_REPORT_WEIGHT: f64 = 0.3;
/// The time constant with which a backlog is assumed to drain while no reports arrive.
const DRAIN_TIME: Duration = Duration::from_millis(500);
/// The weight of one response in the mean service time.
const SERVICE_TIME_WEIGHT: f64 = 0.05;
/// The predicted latency, as a fraction of the target, up to which all requests are accepted.
const ACCEPT_ALL_FRACTION: f64 = 0.4;
/// The predicted latency, as a fraction of the target, from which all requests are refused.
const REFUSE_ALL_FRACTION: f64 = 0.8;
/// The part by which both fractions are nearer to the latency without a queue for the least urgent
/// requests of a service.
const LESS_URGENT_PART: f64 = 0.5;
/// The part of the accepted fraction of the most urgent requests that all others get at least.
const FLOOR: f64 = 0.25;

plain! { value
    /// The load of an upstream, as reported in a response.
    #[derive(Eq)]
    pub struct Report {
        /// Requests that are being processed.
        pub running: u32,
        /// Requests that are queued.
        pub waiting: u32,
        /// The maximum number of requests processed at once; never 0 when parsed.
        pub slots: u32,
    }
}

impl Report {
    /// Parses `RUNNING,WAITING,SLOTS`; returns `None` for any other beginning and for 0 slots.
    ///
    /// Further figures do not count here, so that one that is odd does not hide the load.
    pub fn parse(text: &str) -> Option<Self> {
        let mut numbers = text.split(',').map(|number| number.trim().parse().ok());
        let report =
            Self { running: numbers.next()??, waiting: numbers.next()??, slots: numbers.next()?? };
        (report.slots > 0).then_some(report)
    }
}

/// One host's estimate of the backlog of a service.
#[derive(Debug, Clone, Default)]
pub struct Backlog {
    /// Smoothed number of waiting requests per slot, and the time of the last report.
    waiting: Option<(f64, Instant)>,
    /// The mean service time of a request, without queueing, in seconds.
    service_time: Option<f64>,
}

impl Backlog {
    /// Updates the estimate with the report of a response that took `took`.
    pub fn observe(&mut self, report: Report, took: Duration, now: Instant) {
        let reported = f64::from(report.waiting) / f64::from(report.slots.max(1));
        let level = self.waiting.map_or(reported, |(level, at)| {
            let age = now.saturating_duration_since(at).as_secs_f64();
            let weight = (1.0 - (-age / SMOOTHING_TIME.as_secs_f64()).exp()).max(MIN_REPORT_WEIGHT);
            level + weight * (reported - level)
        });
        self.waiting = Some((level, now));
        // Requests that waited count too, as upstreams may be slower when nearly full.
        let sample = took.as_secs_f64() / (1.0 + reported);
        self.service_time = Some(
            self.service_time.map_or(sample, |mean| mean + SERVICE_TIME_WEIGHT * (sample - mean)),
        );
    }

    /// The predicted latency of a new request; `None` before the first report.
    pub fn predicted_latency(&self, now: Instant) -> Option<Duration> {
        let (level, at) = self.waiting?;
        let age = now.saturating_duration_since(at).as_secs_f64();
        let waiting = level * (-age / DRAIN_TIME.as_secs_f64()).exp();
        Some(Duration::from_secs_f64(self.service_time? * (1.0 + waiting)))
    }

    /// Whether to accept a request with latency target `target`; `sample` is uniform in [0, 1).
    ///
    /// Accepts every request before the first report.
    pub fn accepts(&self, target: Duration, sample: f64, now: Instant) -> bool {
        self.accepts_as(0.0, target, sample, now)
    }

    /// Whether to accept a request with the place `rank` among the priorities of the service, from 0 for
    /// the most urgent to 1; as [`Self::accepts`] does for the most urgent.
    ///
    /// The less urgent are refused from a lower predicted latency on, so that the queues have room for the
    /// urgent ones; but never for the time that the request takes without any queue.
    pub fn accepts_as(&self, rank: f64, target: Duration, sample: f64, now: Instant) -> bool {
        let Some(predicted) = self.predicted_latency(now) else { return true };
        let target = target.as_secs_f64().max(f64::EPSILON);
        let fraction = predicted.as_secs_f64() / target;
        let accepted = |accept_all: f64, refuse_all: f64| {
            ((refuse_all - fraction) / (refuse_all - accept_all)).clamp(0.0, 1.0)
        };
        let most_urgent = accepted(ACCEPT_ALL_FRACTION, REFUSE_ALL_FRACTION);
        let unqueued = (self.service_time.unwrap_or_default() / target).min(ACCEPT_ALL_FRACTION);
        let nearer = |limit: f64| limit - (limit - unqueued) * rank * LESS_URGENT_PART;
        let own = accepted(nearer(ACCEPT_ALL_FRACTION), nearer(REFUSE_ALL_FRACTION));
        sample < own.max(FLOOR * most_urgent)
    }
}
