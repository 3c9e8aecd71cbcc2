//! Outlier detection: ejects upstreams whose requests fail, or that decline all requests.
//!
//! An upstream may pass its health check while it is unreachable, truncates its
//! responses or sends none. Each further failure in a row doubles the ejection time, and
//! one success ends the ejection.
//!
//! One that declines at once looks idle, and would attract the requests that others could serve. A
//! single decline is no reason to avoid it, because an upstream may be full for a moment. After a
//! few in a row it is ejected for a short time, which each further one doubles; then one request
//! at a time finds out whether it serves again.

use std::collections::HashMap;

use crate::prelude::*;

/// The ejection time after the first failure.
const BASE_EJECTION: Duration = Duration::from_millis(500);
/// The maximum ejection time; crashed upstreams restart within seconds.
const MAX_EJECTION: Duration = Duration::from_secs(4);
/// The declines in a row after which an upstream is ejected.
const MAX_DECLINES: u32 = 2;
/// The ejection time after them.
const BASE_DECLINE_EJECTION: Duration = Duration::from_millis(100);

#[derive(Debug, Clone, Copy)]
struct Record {
    /// Consecutive failures, without those during an ejection.
    failures: u32,
    /// Consecutive declines, without those during an ejection.
    declines: u32,
    ejected_until: Instant,
    /// Whether a request is on its way to learn whether the upstream still declines.
    is_probed: bool,
}

impl Record {
    const fn new(now: Instant) -> Self {
        Self { failures: 0, declines: 0, ejected_until: now, is_probed: false }
    }

    /// Whether an attempt that has ended says something about the upstream.
    ///
    /// Most that end during an ejection were already running when it began.
    fn is_evidence(&mut self, now: Instant) -> bool {
        std::mem::take(&mut self.is_probed) || now >= self.ejected_until
    }
}

/// The upstreams whose last recorded result is a failure or a decline.
#[derive(Debug, Clone, Default)]
pub struct Outliers {
    records: HashMap<Tag, Record>,
}

impl Outliers {
    /// Records a failure that the upstream itself may have caused, and ejects the upstream.
    pub fn record_failure(&mut self, upstream: Tag, now: Instant) {
        let record = self.records.entry(upstream).or_insert(Record::new(now));
        if !record.is_evidence(now) {
            return;
        }
        let ejection = BASE_EJECTION * 2_u32.saturating_pow(record.failures.min(8));
        record.failures += 1;
        record.ejected_until = now + ejection.min(MAX_EJECTION);
    }

    /// Records that the upstream has declined a request, and ejects it if it has declined several in
    /// a row.
    pub fn record_decline(&mut self, upstream: Tag, now: Instant) {
        let record = self.records.entry(upstream).or_insert(Record::new(now));
        if !record.is_evidence(now) {
            return;
        }
        record.declines += 1;
        if let Some(further) = record.declines.checked_sub(MAX_DECLINES) {
            let ejection = BASE_DECLINE_EJECTION * 2_u32.saturating_pow(further.min(8));
            record.ejected_until = now + ejection.min(MAX_EJECTION);
        }
    }

    /// Records that a request is about to be sent to the upstream.
    ///
    /// If the upstream has been ejected for its declines, the request is the only one for a while.
    pub fn begin_attempt(&mut self, upstream: Tag, now: Instant) {
        if let Some(record) = self.records.get_mut(&upstream)
            && record.declines >= MAX_DECLINES
            && now >= record.ejected_until
        {
            record.is_probed = true;
            record.ejected_until = now + BASE_DECLINE_EJECTION;
        }
    }

    /// Records a complete response, which ends an ejection and resets the counts.
    pub fn record_success(&mut self, upstream: Tag) {
        self.records.remove(&upstream);
    }

    /// Whether the upstream is ejected at `now`.
    pub fn is_ejected(&self, upstream: Tag, now: Instant) -> bool {
        self.records.get(&upstream).is_some_and(|record| now < record.ejected_until)
    }
}
