//! Outlier detection: ejects upstreams whose requests fail.
//!
//! An upstream may pass its health check while it is unreachable, truncates its
//! responses or sends none. Each further failure in a row doubles the ejection time, and
//! one success ends the ejection.

use std::collections::HashMap;

use crate::prelude::*;

/// The ejection time after the first failure.
const BASE_EJECTION: Duration = Duration::from_millis(500);
/// The maximum ejection time; crashed upstreams restart within seconds.
const MAX_EJECTION: Duration = Duration::from_secs(4);

#[derive(Debug, Clone, Copy)]
struct Record {
    /// Consecutive failures, without those during an ejection.
    failures: u32,
    ejected_until: Instant,
}

/// The upstreams whose last recorded result is a failure.
#[derive(Debug, Clone, Default)]
pub struct Outliers {
    records: HashMap<Tag, Record>,
}

impl Outliers {
    /// Records a failure that the upstream itself may have caused, and ejects the upstream.
    pub fn record_failure(&mut self, upstream: Tag, now: Instant) {
        let record =
            self.records.entry(upstream).or_insert(Record { failures: 0, ejected_until: now });
        if now < record.ejected_until {
            // The attempt was already running when the upstream was ejected: no new evidence.
            return;
        }
        let ejection = BASE_EJECTION * 2_u32.saturating_pow(record.failures.min(8));
        record.failures += 1;
        record.ejected_until = now + ejection.min(MAX_EJECTION);
    }

    /// Records a complete response, which ends an ejection and resets the failure count.
    pub fn record_success(&mut self, upstream: Tag) {
        self.records.remove(&upstream);
    }

    /// Whether the upstream is ejected at `now`.
    pub fn is_ejected(&self, upstream: Tag, now: Instant) -> bool {
        self.records.get(&upstream).is_some_and(|record| now < record.ejected_until)
    }
}
