//! The names of headers and the bodies of calls that routes are spoken with.
//!
//! Nothing else in this crate knows a header's name on routes. An adapter brings
//! a [`Dialect`] of its own; [`Dialect::OWN`] is described in
//! [docs/UPSTREAMS.md](../../../../docs/UPSTREAMS.md#routes).

use std::time::Duration;

use bytes::Bytes;
use damaskhatch_exchange::Method;
use damaskhatch_policy::sheet::Role;

/// A call to an engine that is not a caller's request.
#[derive(Debug, Clone, PartialEq)]
pub struct Call {
    /// The method.
    pub method: Method,
    /// Path and query.
    pub target: String,
    /// The JSON body, empty if there is none.
    pub body: Bytes,
}

/// The KV cache that a prefill left at its engine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Export {
    /// The name under which the engine hands it out, once.
    pub handle: String,
}

/// An order to change an engine's role.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Order<'a> {
    /// The role.
    pub role: Role,
    /// Who orders.
    pub holder: &'a str,
    /// The fencing number, higher with each later giver.
    pub fence: u64,
}

/// Headers that only the system sets; whatever callers send under these names is dropped.
#[derive(Debug, Clone, Copy)]
pub struct Headers {
    /// The caller's id of the request.
    pub request: &'static str,
    /// How long the caller waits, in milliseconds.
    pub deadline: &'static str,
    /// Tokens of the prompt and the most of the answer, by a comma.
    pub tokens: &'static str,
    /// The caller's estimate of the answer's tokens.
    pub length_hint: &'static str,
    /// The last event that was delivered, to resume after it.
    pub last_event: &'static str,
    /// The team, towards upstreams.
    pub team: &'static str,
    /// The upstream that is meant, by its instance.
    pub instance: &'static str,
    /// The rank of a request at an engine, 0 first.
    pub urgency: &'static str,
    /// The phase that is asked for.
    pub phase: &'static str,
    /// Where the KV cache is: address and handle.
    pub kv_source: &'static str,
    /// The reservation that a request uses.
    pub reservation: &'static str,
    /// On answers: the upstream did not run the request.
    pub not_run: &'static str,
    /// On answers: the requests that run and that wait there, and the slots, by commas.
    pub load: &'static str,
    /// Further headers that callers may not set.
    pub reserved: &'static [&'static str],
}

/// How routes are spoken to callers and engines.
#[derive(Debug, Clone, Copy)]
pub struct Dialect {
    /// The headers.
    pub headers: Headers,
    /// The scheme of keys in `Authorization`.
    pub key_scheme: &'static str,
    /// The phase header's value for a prefill.
    pub prefill_phase: &'static str,
    /// Whether `Retry-After` may have fractions of a second.
    pub has_fractional_retry: bool,
    /// Reserves a slot and memory for some tokens and time at a decode engine.
    pub reserve: fn(tokens: u32, ttl: Duration) -> Call,
    /// Decodes a granted reservation's name.
    pub decode_reservation: fn(&[u8]) -> Option<String>,
    /// Gives up a reservation.
    pub release: fn(reservation: &str) -> Call,
    /// Decodes the answer to a prefill.
    pub decode_export: fn(&[u8]) -> Option<Export>,
    /// Frees an exported KV cache.
    pub free_export: fn(handle: &str) -> Call,
    /// Orders a change of role.
    pub order: fn(&Order<'_>) -> Call,
}

impl Dialect {
    /// The product's own names.
    pub const OWN: Self = Self {
        headers: Headers {
            request: "x-request-id",
            deadline: "x-damaskhatch-deadline-ms",
            tokens: "x-damaskhatch-tokens",
            length_hint: "x-damaskhatch-length-hint",
            last_event: "last-event-id",
            team: "x-damaskhatch-team",
            instance: "x-damaskhatch-instance",
            urgency: "x-damaskhatch-urgency",
            phase: "x-damaskhatch-phase",
            kv_source: "x-damaskhatch-kv-source",
            reservation: "x-damaskhatch-reservation",
            not_run: "x-damaskhatch-not-run",
            load: "x-damaskhatch-load",
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

/// A call with a JSON body.
pub fn post(target: &str, body: &serde_json::Value) -> Call {
    let body = Bytes::from(body.to_string());
    Call { method: Method::POST, target: target.to_owned(), body }
}

/// A call that takes something away.
pub const fn delete(target: String) -> Call {
    Call { method: Method::DELETE, target, body: Bytes::new() }
}

/// A text field of a JSON object.
pub fn text_field(body: &[u8], name: &str) -> Option<String> {
    let value: serde_json::Value = serde_json::from_slice(body).ok()?;
    value.get(name)?.as_str().map(str::to_owned)
}
