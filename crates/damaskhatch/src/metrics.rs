//! The Prometheus metrics that the operator port exports.
//!
//! docs/OPERATIONS.md describes how to respond to a change of each metric.

use damaskhatch_store::calls;
use prometheus::{
    GaugeVec, Histogram, HistogramOpts, IntCounter, IntCounterVec, IntGauge, Opts, Registry,
    TextEncoder,
};

/// Histogram bounds for queue waits and times to the first token, in seconds.
///
/// 0.76 is the default of the setting `first_token_ms`.
const WAIT_BOUNDS_SECONDS: [f64; 12] =
    [0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 0.76, 1.0, 2.5, 5.0, 10.0];
/// Histogram bounds for the time between tokens, in seconds.
const GAP_BOUNDS_SECONDS: [f64; 9] = [0.005, 0.01, 0.02, 0.03, 0.04, 0.054, 0.08, 0.15, 0.5];

/// The metrics of a host; clones share the same values.
#[derive(Debug, Clone)]
pub struct Metrics {
    registry: Registry,
    /// Requests, by kind of service and outcome.
    pub requests: IntCounterVec,
    /// Refusals, by kind of refusal.
    pub refusals: IntCounterVec,
    /// Time from the request to the first token, in seconds.
    pub first_token: Histogram,
    /// Time between consecutive tokens of a stream, in seconds.
    pub token_gap: Histogram,
    /// Time that a request waited for a pair of engines, in seconds.
    pub queue_wait: Histogram,
    /// Tokens streamed to callers.
    pub tokens: IntCounter,
    /// Prompt tokens that were prefilled but not used by any response.
    pub wasted_prefill: IntCounter,
    /// Attempts after the first, by the failure of the previous one.
    pub retries: IntCounterVec,
    /// Bodies of upstreams' responses that ended without an error, by framing and verdict.
    pub bodies: IntCounterVec,
    /// Crashes of upstreams under requests, observed by this host.
    pub strikes: IntCounter,
    /// Fingerprints of requests that are refused because they crashed upstreams.
    pub quarantined: IntGauge,
    /// The limits that upstreams have named, in requests a second, by upstream.
    pub limits: GaugeVec,
    /// Requests of this host to limited upstreams, by upstream and by whether one was permitted.
    pub limited: IntCounterVec,
    /// Requests that waited for room in turn with others, by priority and result.
    pub turns: IntCounterVec,
    /// What upstreams newly said of themselves to this host, by kind.
    pub statements: IntCounterVec,
    /// Choices for which upstreams were left out, by reason.
    pub left_out: IntCounterVec,
    /// Upstreams that are cold, as this host knows.
    pub cold_upstreams: IntGauge,
    /// Domains that operators have evacuated, as this host knows.
    pub evacuated_domains: IntGauge,
    /// Entries of upstreams that were left out because they are malformed.
    pub left_out_entries: IntCounter,
    /// Pairs of engines that this host chose itself, without a scheduler.
    pub fallbacks: IntCounter,
    /// Cancellations that an engine has not confirmed yet.
    pub cancels_open: IntGauge,
    /// Received frames that were dropped, by reason.
    pub frames_dropped: IntCounterVec,
    /// Bytes sent to other hosts.
    pub peer_bytes: IntCounter,
    /// Messages sent to other hosts, by kind.
    pub peer_frames: IntCounterVec,
    /// Calls to the platform's store, by purpose, call and result.
    pub platform_calls: IntCounterVec,
    /// Requests that may be repeated, by the connection that they were sent on: `new`, `kept`, or
    /// `stale` where a kept one ended under them.
    pub upstream_exchanges: IntCounterVec,
    /// Responses that were given up because their callers left them unread while memory was short.
    pub unread: IntCounter,
    /// Connections that were closed because a head without an end left no memory for others.
    pub refused_heads: IntCounter,
    /// The configuration revision in force.
    pub revision: IntGauge,
    /// Hosts considered alive, this one included.
    pub hosts_alive: IntGauge,
    /// Bucket slots that this host holds.
    pub slots_held: IntGauge,
    /// Requests in flight.
    pub in_flight: IntGauge,
}

impl Metrics {
    /// Registers all metrics in a new registry, so that hosts in one process do not share them.
    pub fn new() -> Self {
        let registry = Registry::new();
        let r = &registry;
        Self {
            requests: counters(r, "requests_total", "Requests.", &["kind", "outcome"]),
            refusals: counters(r, "refusals_total", "Refusals.", &["kind"]),
            first_token: histogram(
                r,
                "first_token_seconds",
                "Time to first token.",
                &WAIT_BOUNDS_SECONDS,
            ),
            token_gap: histogram(
                r,
                "token_gap_seconds",
                "Time between tokens.",
                &GAP_BOUNDS_SECONDS,
            ),
            queue_wait: histogram(
                r,
                "queue_wait_seconds",
                "Wait for engines.",
                &WAIT_BOUNDS_SECONDS,
            ),
            tokens: counter(r, "tokens_total", "Tokens streamed."),
            wasted_prefill: counter(r, "wasted_prefill_tokens_total", "Prefill tokens unused."),
            retries: counters(r, "retries_total", "Attempts after the first.", &["reason"]),
            bodies: counters(
                r,
                "bodies_ended_total",
                "Ends of response bodies.",
                &["framing", "verdict"],
            ),
            strikes: counter(r, "strikes_total", "Crashes of upstreams under requests."),
            quarantined: gauge(r, "quarantined", "Requests refused for crashing upstreams."),
            limits: gauges(r, "upstream_limit", "Requests a second allowed.", &["upstream"]),
            limited: counters(
                r,
                "limited_requests_total",
                "Requests to limited upstreams.",
                &["upstream", "result"],
            ),
            turns: counters(
                r,
                "waits_in_turn_total",
                "Requests that waited in turn.",
                &["priority", "result"],
            ),
            statements: counters(
                r,
                "upstream_statements_total",
                "New statements of upstreams.",
                &["kind"],
            ),
            left_out: counters(r, "left_out_total", "Choices without some upstreams.", &["reason"]),
            cold_upstreams: gauge(r, "cold_upstreams", "Upstreams that are cold."),
            evacuated_domains: gauge(r, "evacuated_domains", "Evacuated domains."),
            left_out_entries: counter(r, "entries_left_out_total", "Malformed entries."),
            fallbacks: counter(r, "fallbacks_total", "Pairs chosen without a scheduler."),
            cancels_open: gauge(r, "cancels_open", "Cancellations not confirmed yet."),
            frames_dropped: counters(r, "frames_dropped_total", "Frames dropped.", &["reason"]),
            peer_bytes: counter(r, "peer_bytes_total", "Bytes sent to other hosts."),
            peer_frames: counters(r, "peer_frames_total", "Frames sent.", &["kind"]),
            platform_calls: counters(r, "platform_calls_total", "Platform calls.", &calls::LABELS),
            upstream_exchanges: counters(
                r,
                "upstream_exchanges_total",
                "Repeatable requests to upstreams.",
                &["connection"],
            ),
            unread: counter(r, "unread_responses_total", "Responses cut off unread."),
            refused_heads: counter(r, "refused_heads_total", "Heads refused for want of memory."),
            revision: gauge(r, "revision", "Configuration revision in force."),
            hosts_alive: gauge(r, "hosts_alive", "Hosts that count as alive."),
            slots_held: gauge(r, "slots_held", "Bucket slots held."),
            in_flight: gauge(r, "in_flight", "Requests in flight."),
            registry,
        }
    }

    /// Renders all metrics in the Prometheus text format.
    pub fn render(&self) -> String {
        TextEncoder::new().encode_to_string(&self.registry.gather()).unwrap_or_default()
    }
}

impl Default for Metrics {
    fn default() -> Self {
        Self::new()
    }
}

fn full_name(short: &str) -> String {
    format!("damaskhatch_{short}")
}

fn register<C: prometheus::core::Collector + Clone + 'static>(registry: &Registry, metric: C) -> C {
    registry.register(Box::new(metric.clone())).expect("each metric is registered once");
    metric
}

fn counter(registry: &Registry, short: &str, help: &str) -> IntCounter {
    register(registry, IntCounter::new(full_name(short), help).expect("the name is valid"))
}

fn counters(registry: &Registry, short: &str, help: &str, labels: &[&str]) -> IntCounterVec {
    let metric = IntCounterVec::new(Opts::new(full_name(short), help), labels);
    register(registry, metric.expect("the name is valid"))
}

fn gauges(registry: &Registry, short: &str, help: &str, labels: &[&str]) -> GaugeVec {
    let metric = GaugeVec::new(Opts::new(full_name(short), help), labels);
    register(registry, metric.expect("the name is valid"))
}

fn gauge(registry: &Registry, short: &str, help: &str) -> IntGauge {
    register(registry, IntGauge::new(full_name(short), help).expect("the name is valid"))
}

fn histogram(registry: &Registry, short: &str, help: &str, bounds: &[f64]) -> Histogram {
    let options = HistogramOpts::new(full_name(short), help).buckets(bounds.to_vec());
    register(registry, Histogram::with_opts(options).expect("the bounds ascend"))
}
