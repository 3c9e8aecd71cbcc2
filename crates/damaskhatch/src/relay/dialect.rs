//! The header names and control calls that are used with callers and upstreams of routes.
//!
//! Nothing else in this crate contains the name of such a header. An adapter defines
//! a [`Dialect`] of its own; [`Dialect::OWN`] is described in
//! [docs/UPSTREAMS.md](../../../../docs/UPSTREAMS.md#routes).

use std::time::Duration;

use bytes::Bytes;
use damaskhatch_exchange::Method;
use damaskhatch_policy::sheet::Role;

/// A control call to an engine, as opposed to a caller's request.
#[derive(Debug, Clone, PartialEq)]
pub struct Call {
    /// The HTTP method.
    pub method: Method,
    /// The request target: path and query.
    pub target: String,
    /// The JSON body; empty if the call has none.
    pub body: Bytes,
}

/// A KV cache that a prefill engine offers to decode engines.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Export {
    /// The name under which the engine serves it; it can be fetched only once.
    pub handle: String,
}

/// An order to change an engine's role.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Order<'a> {
    /// The role that the engine is to change to.
    pub role: Role,
    /// The name of the host that issues the order.
    pub holder: &'a str,
    /// The fencing token, higher for each later holder.
    pub fence: u64,
}

/// The names of the headers that the router reads or sets.
///
/// Those that only the router sets are dropped from callers' requests.
#[derive(Debug, Clone, Copy)]
pub struct Headers {
    /// The caller's id of the request; an upstream may echo it in its response.
    pub request: &'static str,
    /// The time until the caller's deadline in milliseconds, computed anew for each attempt.
    pub deadline: &'static str,
    /// Tokens of the prompt and maximum tokens of the response, separated by a comma.
    pub tokens: &'static str,
    /// The caller's estimate of the response's length, in tokens.
    pub length_hint: &'static str,
    /// The parts of the prompt in order, as `ID:TOKENS` separated by commas; requests may share all
    /// but the last.
    pub prompt_parts: &'static str,
    /// The id of the last event that the caller received, after which to resume.
    pub last_event: &'static str,
    /// The id of the request that brought the first event of the stream that is resumed.
    pub resumes: &'static str,
    /// Towards upstreams: the name of the caller's team.
    pub team: &'static str,
    /// Towards upstreams: the instance that the request is meant for.
    pub instance: &'static str,
    /// Towards engines: the priority of the request, 0 the most urgent.
    pub urgency: &'static str,
    /// Towards engines: the phase to run; sent for a prefill only.
    pub phase: &'static str,
    /// Towards decode engines: where to fetch the KV cache, as `ADDRESS/HANDLE`.
    pub kv_source: &'static str,
    /// Towards decode engines: the name of the reservation that the request uses.
    pub reservation: &'static str,
    /// On responses: present if the upstream did not run the request.
    pub not_run: &'static str,
    /// On responses: the upstream's running requests, waiting requests and slots, separated by
    /// commas.
    pub load: &'static str,
    /// On responses: the requests a second that the upstream takes from all hosts together.
    pub limit: &'static str,
    /// On responses: `1` if the upstream is leaving and takes no new requests.
    pub leaving: &'static str,
    /// Further headers that are dropped from callers' requests.
    pub reserved: &'static [&'static str],
}

/// The HTTP conventions of a deployment's callers and engines on routes.
#[derive(Debug, Clone, Copy)]
pub struct Dialect {
    /// The names of headers.
    pub headers: Headers,
    /// The authentication scheme of keys in `Authorization`.
    pub key_scheme: &'static str,
    /// The value of the phase header that requests a prefill.
    pub prefill_phase: &'static str,
    /// Whether `Retry-After` is written in fractional rather than whole seconds.
    pub has_fractional_retry: bool,
    /// The call that reserves a slot and memory for `tokens` at a decode engine, for `ttl`.
    pub reserve: fn(tokens: u32, ttl: Duration) -> Call,
    /// Decodes the name of the reservation from the response; `None` if it has none.
    pub decode_reservation: fn(&[u8]) -> Option<String>,
    /// The call that releases a reservation.
    pub release: fn(reservation: &str) -> Call,
    /// Decodes the export from the response to a prefill; `None` if it has none.
    pub decode_export: fn(&[u8]) -> Option<Export>,
    /// The call that frees an exported KV cache.
    pub free_export: fn(handle: &str) -> Call,
    /// The call that orders an engine to change its role.
    pub order: fn(&Order<'_>) -> Call,
}

impl Dialect {
    /// The value of `Retry-After`, in seconds.
    pub fn retry_after(&self, wait: Duration) -> String {
        if self.has_fractional_retry {
            return format!("{:.3}", wait.as_secs_f64());
        }
        // Rounded up to whole seconds, so that a caller that complies never retries too early.
        wait.as_millis().div_ceil(1_000).to_string()
    }

    /// The default dialect, for deployments without an adapter.
    pub const OWN: Self = Self {
        headers: Headers {
            request: "x-request-id",
            deadline: "x-damaskhatch-deadline-ms",
            tokens: "x-damaskhatch-tokens",
            length_hint: "x-damaskhatch-length-hint",
            prompt_parts: "x-damaskhatch-prompt-parts",
            last_event: "last-event-id",
            resumes: "x-damaskhatch-resumes",
            team: "x-damaskhatch-team",
            instance: "x-damaskhatch-instance",
            urgency: "x-damaskhatch-urgency",
            phase: "x-damaskhatch-phase",
            kv_source: "x-damaskhatch-kv-source",
            reservation: "x-damaskhatch-reservation",
            not_run: "x-damaskhatch-not-run",
            load: "x-damaskhatch-load",
            limit: "x-damaskhatch-limit",
            leaving: "x-damaskhatch-leaving",
            reserved: &[],
        },
        key_scheme: "Bearer",
        prefill_phase: "prefill",
        has_fractional_retry: false,
        reserve: |tokens, ttl| {
            let ttl_ms = ttl.as_millis() as u64;
            post("/reservations", &serde_json::json!({ "tokens": tokens, "ttl_ms": ttl_ms }))
        },
        decode_reservation: |body| text_field(body, "reservation"),
        release: |reservation| delete(format!("/reservations/{reservation}")),
        decode_export: |body| text_field(body, "export").map(|handle| Export { handle }),
        free_export: |handle| delete(format!("/exports/{handle}")),
        order: |order| {
            let Order { role, holder, fence } = order;
            post("/role", &serde_json::json!({ "role": role, "holder": holder, "fence": fence }))
        },
    };
}

/// A POST call with a JSON body.
pub fn post(target: &str, body: &serde_json::Value) -> Call {
    let body = Bytes::from(body.to_string());
    Call { method: Method::POST, target: target.to_owned(), body }
}

/// A DELETE call without a body.
pub const fn delete(target: String) -> Call {
    Call { method: Method::DELETE, target, body: Bytes::new() }
}

/// The text in field `name` of a JSON object; `None` if `body` has no such field.
pub fn text_field(body: &[u8], name: &str) -> Option<String> {
    let value: serde_json::Value = serde_json::from_slice(body).ok()?;
    value.get(name)?.as_str().map(str::to_owned)
}
