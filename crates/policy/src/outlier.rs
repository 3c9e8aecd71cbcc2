//! Leaves out upstreams whose own answers show that they fail.
//!
//! Answers the pattern of an upstream whose health check is good while it is dark,
//! breaks off or does not answer: after failures in a row it is left out for a time
//! that doubles, and one success takes it back.

use std::collections::HashMap;

use crate::prelude::*;

/// How long an upstream is left out after the first failure.
const BASE_EJECTION: Duration = Duration::from_millis(500);
/// The longest time that an upstream is left out; crashed ones are back within seconds.
const MAX_EJECTION: Duration = Duration::from_secs(4);

#[derive(Debug, Clone, Copy)]
struct Record {
    failures: u32,
    until: Instant,
}

/// The upstreams that failed lately.
#[derive(Debug, Clone, Default)]
pub struct Outliers {
    records: HashMap<Tag, Record>,
}

impl Outliers {
    /// Notes a failure that puts the upstream itself in doubt.
    pub fn record_failure(&mut self, upstream: Tag, now: Instant) {
        let record = self.records.entry(upstream).or_insert(Record { failures: 0, until: now });
        if now < record.until {
            // Attempts that were under way when the upstream was left out tell nothing new.
            return;
        }
        let ejection = BASE_EJECTION * 2_u32.saturating_pow(record.failures.min(8));
        record.failures += 1;
        record.until = now + ejection.min(MAX_EJECTION);
    }

    /// Notes a whole answer.
    pub fn record_success(&mut self, upstream: Tag) {
        self.records.remove(&upstream);
    }

    /// Whether the upstream is left out.
    pub fn is_ejected(&self, upstream: Tag, now: Instant) -> bool {
        self.records.get(&upstream).is_some_and(|record| now < record.until)
    }
}
