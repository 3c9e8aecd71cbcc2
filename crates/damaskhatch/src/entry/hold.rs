//! What a request holds while it runs, given back however it ends.
//!
//! A handler may be dropped at any point, when its caller closes or a deadline
//! passes, so everything is given back by `Drop`.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, PoisonError};

use damaskhatch_policy::prelude::*;
use damaskhatch_policy::route::Pair;
use damaskhatch_policy::schedule::message::{Phase, Release};

use crate::control::Control;
use crate::control::claims::{End, Progress};
use crate::control::quota::Credit;
use crate::metrics::Metrics;
use crate::upstream::engine;

/// This host's requests in flight at each upstream.
#[derive(Debug, Clone, Default)]
pub struct InFlight {
    counts: Arc<Mutex<HashMap<Tag, u32>>>,
}

impl InFlight {
    /// The counts as of now.
    pub fn snapshot(&self) -> HashMap<Tag, u32> {
        self.counts.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Counts one request at an upstream until the returned value is dropped.
    pub fn enter(&self, upstream: Tag) -> Entered {
        let mut counts = self.counts.lock().unwrap_or_else(PoisonError::into_inner);
        *counts.entry(upstream).or_insert(0) += 1;
        Entered { in_flight: self.clone(), upstream }
    }
}

/// One counted request at an upstream.
#[derive(Debug)]
pub struct Entered {
    in_flight: InFlight,
    upstream: Tag,
}

impl Drop for Entered {
    fn drop(&mut self) {
        let counts = &self.in_flight.counts;
        let mut counts = counts.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(count) = counts.get_mut(&self.upstream) {
            *count -= 1;
            if *count == 0 {
                counts.remove(&self.upstream);
            }
        }
    }
}

/// The tokens a request was charged; what it did not use is credited at the end.
#[derive(Debug)]
pub struct Charged {
    /// The control actors.
    pub control: Control,
    /// The request.
    pub request: Request,
    /// The team that paid.
    pub team: Tag,
    /// The domain whose holder was paid.
    pub domain: Tag,
    /// Tokens charged.
    pub total: f64,
    /// Tokens not used so far.
    pub unused: f64,
}

impl Charged {
    /// Notes tokens as used.
    pub fn spend(&mut self, tokens: u32) {
        self.unused = (self.unused - f64::from(tokens)).max(0.0);
    }
}

impl Drop for Charged {
    fn drop(&mut self) {
        if self.unused > 0.0 {
            let Self { request, team, domain, unused: tokens, .. } = *self;
            self.control.quota.do_send(Credit { request, team, domain, tokens });
        }
    }
}

/// A place in a scheduler's queue; given up unless the pair was received.
#[derive(Debug)]
pub struct Place {
    /// The control actors.
    pub control: Control,
    /// The request.
    pub request: Request,
    /// The service.
    pub service: Tag,
    /// Whether the place has turned into a pair or a refusal.
    pub is_settled: bool,
}

impl Drop for Place {
    fn drop(&mut self) {
        if !self.is_settled {
            let release = Release { request: self.request, failed: None };
            self.control.claims.do_send(End { service: self.service, release });
        }
    }
}

/// A pair of engines in use.
#[derive(Debug)]
pub struct Lease {
    /// The control actors.
    pub control: Control,
    /// The metrics.
    pub metrics: Metrics,
    /// The request.
    pub request: Request,
    /// The service.
    pub service: Tag,
    /// The pair.
    pub pair: Pair,
    /// Where the prefill engine is reached.
    pub prefill_address: String,
    /// Where the decode engine is reached.
    pub decode_address: String,
    /// Prompt tokens whose prefill is wasted if the lease ends now.
    pub unused_prefill: u32,
    /// Whether a prefill call may have reached its engine.
    pub touched_prefill: bool,
    /// Whether a decode call may have reached its engine.
    pub touched_decode: bool,
    /// The engine that failed the request, if one did.
    pub failed: Option<Tag>,
    /// Counts at both engines.
    pub entered: [Entered; 2],
}

impl Lease {
    /// Tells the scheduler how far the request has come.
    pub fn progress(&self, phase: Phase, gap: Duration) {
        self.control.claims.do_send(Progress { request: self.request, phase, gap });
    }

    /// Notes that both engines have nothing left of the request.
    pub const fn finish(&mut self) {
        self.touched_prefill = false;
        self.touched_decode = false;
        self.unused_prefill = 0;
    }

    fn cancel(&self, address: &str) {
        let open = self.metrics.cancels_open.clone();
        engine::cancel_in_background(address.to_owned(), self.request, open);
    }
}

impl Drop for Lease {
    fn drop(&mut self) {
        if self.touched_prefill {
            self.cancel(&self.prefill_address);
        }
        if self.touched_decode {
            self.cancel(&self.decode_address);
        }
        self.metrics.wasted_prefill.inc_by(u64::from(self.unused_prefill));
        let release = Release { request: self.request, failed: self.failed };
        self.control.claims.do_send(End { service: self.service, release });
    }
}
