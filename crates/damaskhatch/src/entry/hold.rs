//! The resources that a request holds while it runs, each released by `Drop`.
//!
//! A handler may be dropped at any await point, when its caller closes the connection or
//! a deadline passes, so no code at its end can be relied on to release them.

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
    /// A copy of the current counts; upstreams without requests are absent.
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

/// One request in flight at an upstream, counted until this is dropped.
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

/// The tokens that a request was charged; those it did not use are credited on drop.
#[derive(Debug)]
pub struct Charged {
    /// The control actors.
    pub control: Control,
    /// The request.
    pub request: Request,
    /// The team that was charged.
    pub team: Tag,
    /// The domain whose slot holder took the charge and gets the credit.
    pub domain: Tag,
    /// Tokens charged.
    pub total: f64,
    /// Tokens not used so far.
    pub unused: f64,
}

impl Charged {
    /// Counts tokens as used.
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

/// A place in a scheduler's queue; dropping it withdraws the request unless it is settled.
#[derive(Debug)]
pub struct Place {
    /// The control actors.
    pub control: Control,
    /// The request.
    pub request: Request,
    /// The service whose scheduler has the request.
    pub service: Tag,
    /// Whether the wait ended with a pair or a refusal, after which drop withdraws nothing.
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

/// A lease on a pair of engines.
///
/// Dropping it cancels the request at engines that may still hold state of it, and releases
/// the pair to the scheduler.
#[derive(Debug)]
pub struct Lease {
    /// The control actors.
    pub control: Control,
    /// The host's metrics.
    pub metrics: Metrics,
    /// The request.
    pub request: Request,
    /// The service that the engines belong to.
    pub service: Tag,
    /// The prefill engine and the decode engine.
    pub pair: Pair,
    /// The prefill engine's address, as IP and port.
    pub prefill_address: String,
    /// The decode engine's address, as IP and port.
    pub decode_address: String,
    /// Prompt tokens whose prefill is wasted if the lease ends now.
    pub unused_prefill_tokens: u32,
    /// Whether the prefill engine may hold state of the request, so that drop cancels it there.
    pub needs_prefill_cancel: bool,
    /// Whether the decode engine may hold state of the request, so that drop cancels it there.
    pub needs_decode_cancel: bool,
    /// The engine that failed the request, if one did; drop reports it to the scheduler.
    pub failed: Option<Tag>,
    /// Counts the request as in flight at both engines while the lease lives.
    pub entered: [Entered; 2],
}

impl Lease {
    /// Reports the phase of the request to the scheduler, with the mean time between its latest
    /// tokens (zero without any).
    pub fn report_progress(&self, phase: Phase, gap: Duration) {
        self.control.claims.do_send(Progress { request: self.request, phase, gap });
    }

    /// Records that neither engine holds state of the request any more.
    pub const fn finish(&mut self) {
        self.needs_prefill_cancel = false;
        self.needs_decode_cancel = false;
        self.unused_prefill_tokens = 0;
    }

    /// Cancels the request at one engine, in the background.
    fn cancel_at(&self, address: &str) {
        let open = self.metrics.cancels_open.clone();
        engine::cancel_in_background(address.to_owned(), self.request, open);
    }
}

impl Drop for Lease {
    fn drop(&mut self) {
        if self.needs_prefill_cancel {
            self.cancel_at(&self.prefill_address);
        }
        if self.needs_decode_cancel {
            self.cancel_at(&self.decode_address);
        }
        self.metrics.wasted_prefill.inc_by(u64::from(self.unused_prefill_tokens));
        let release = Release { request: self.request, failed: self.failed };
        self.control.claims.do_send(End { service: self.service, release });
    }
}
