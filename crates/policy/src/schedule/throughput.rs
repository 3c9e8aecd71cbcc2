//! Throughput of a scheduler while requests wait.

use crate::prelude::*;

/// Time with a backlog that one sample covers.
const SAMPLE_TIME: Duration = Duration::from_millis(500);
/// Weight of a new sample in the exponential moving average.
const SAMPLE_WEIGHT: f64 = 0.2;

/// Measures the cost granted per second while there is a backlog.
///
/// Grants of an idle scheduler do not show how fast a queue would shrink, so they are not counted.
#[derive(Debug, Clone)]
pub struct Throughput {
    rate: Option<f64>,
    served: f64,
    busy: Duration,
    is_busy: bool,
    updated: Instant,
}

impl Throughput {
    /// Creates a measurement without samples.
    pub const fn new(now: Instant) -> Self {
        Self { rate: None, served: 0.0, busy: Duration::ZERO, is_busy: false, updated: now }
    }

    /// Cost granted per second; `None` until a backlog has lasted for one sample.
    pub const fn rate(&self) -> Option<f64> {
        self.rate
    }

    /// Adds the cost of a grant, if requests were waiting at the last update.
    pub fn record_grant(&mut self, cost: f64) {
        if self.is_busy {
            self.served += cost;
        }
    }

    /// Advances to `now`; `is_busy` is whether requests wait from now on.
    pub fn advance(&mut self, is_busy: bool, now: Instant) {
        if self.is_busy {
            self.busy += now.saturating_duration_since(self.updated);
        }
        self.is_busy = is_busy;
        self.updated = now;
        if self.busy < SAMPLE_TIME {
            return;
        }
        let sample = self.served / self.busy.as_secs_f64();
        let rate = self.rate.map_or(sample, |rate| rate + SAMPLE_WEIGHT * (sample - rate));
        // A rate of zero, after a sample without grants, would predict infinite waits.
        self.rate = Some(rate).filter(|rate| *rate > 0.0);
        self.served = 0.0;
        self.busy = Duration::ZERO;
    }
}
