//! Replays the recorded response to requests that repeat an `Idempotency-Key`.
//!
//! A request with a key runs once per host, team and key. A repeat waits while the
//! first request runs, and gets its recorded response afterwards.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, PoisonError};

use actix_web::http::StatusCode;
use actix_web::http::header::{CONTENT_TYPE, HeaderMap, HeaderName, HeaderValue};
use actix_web::{HttpRequest, HttpResponse, web::Bytes};
use damaskhatch_policy::error::Outcome;
use damaskhatch_policy::prelude::*;
use tokio::sync::watch;

use super::Entry;
use super::access::Caller;
use super::body;
use super::refusal::Refusal;
use crate::shared::Shared;

/// The request header that carries the idempotency key.
pub const HEADER: &str = "idempotency-key";
/// How long a response is kept, counted from the start of its request.
const RETENTION: Duration = Duration::from_mins(10);
/// From this number of slots on, expired ones are evicted before another is added.
const EVICTION_THRESHOLD: usize = 4_096;
/// The most bytes of recorded bodies; the oldest are forgotten first.
const MAX_RECORDED_BYTES: usize = 4 << 20;
/// The longest accepted key, in bytes.
const MAX_KEY_BYTES: usize = 200;

/// A complete response, which can be sent more than once.
#[derive(Debug, Clone)]
pub struct Response {
    /// The status code.
    pub status: StatusCode,
    /// The headers for the caller, without those of the upstream's connection.
    pub headers: HeaderMap,
    /// The complete body.
    pub body: Bytes,
}

impl Response {
    /// Creates a response with a JSON body.
    pub fn json(status: u16, body: &serde_json::Value, request: Request) -> Self {
        Self::new(status, "application/json", body.to_string(), request)
    }

    /// Creates the response that replays a finished event stream.
    pub fn event_stream(body: String, request: Request) -> Self {
        Self::new(200, "text/event-stream", body, request)
    }

    /// The response to a repeat whose original has been forgotten.
    fn forgotten() -> Self {
        let status = Kind::UpstreamFailed.answer().status;
        let status = StatusCode::from_u16(status).unwrap_or(StatusCode::BAD_GATEWAY);
        Self { status, headers: HeaderMap::new(), body: Bytes::new() }
    }

    fn new(status: u16, content_type: &'static str, body: String, request: Request) -> Self {
        let mut headers = HeaderMap::new();
        headers.insert(CONTENT_TYPE, HeaderValue::from_static(content_type));
        if let Ok(value) = HeaderValue::from_str(&request.to_string()) {
            headers.insert(HeaderName::from_static("x-request-id"), value);
        }
        let status = StatusCode::from_u16(status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
        Self { status, headers, body: body.into() }
    }

    /// Converts the response to the type of the HTTP server.
    pub fn to_http(&self, shared: &Shared) -> HttpResponse {
        let mut response = HttpResponse::build(self.status);
        for (name, value) in &self.headers {
            response.append_header((name.clone(), value.clone()));
        }
        body::complete(shared, response, self.body.clone())
    }
}

/// The team's tag and the idempotency key, so that equal keys of two teams do not collide.
type Key = (Tag, String);

/// The first request with a key, and its response once there is one.
#[derive(Debug)]
struct Slot {
    fingerprint: Tag,
    started_at: Instant,
    response: watch::Sender<Option<Response>>,
}

/// The recorded and awaited responses of a host, by key.
#[derive(Debug, Clone, Default)]
pub struct Responses {
    slots: Arc<Mutex<Slots>>,
}

/// The first requests by their keys.
#[derive(Debug, Default)]
struct Slots {
    by_key: HashMap<Key, Slot>,
    /// The sum of the lengths of the recorded bodies.
    recorded_bytes: usize,
}

impl Slots {
    /// Records a response, and forgets the oldest bodies if their sum is too long.
    ///
    /// What is forgotten may not run again: a repeat is told that its outcome is unknown.
    fn record(&mut self, key: &Key, response: Response) {
        let Some(slot) = self.by_key.get(key) else { return };
        self.recorded_bytes += response.body.len();
        slot.response.send_replace(Some(response));
        while self.recorded_bytes > MAX_RECORDED_BYTES {
            let recorded = self.by_key.values().filter(|slot| slot.recorded_bytes() > 0);
            let Some(oldest) = recorded.min_by_key(|slot| slot.started_at) else { return };
            self.recorded_bytes -= oldest.recorded_bytes();
            oldest.response.send_replace(Some(Response::forgotten()));
        }
    }

    /// Removes the slots that are older than [`RETENTION`].
    fn evict(&mut self) {
        self.by_key.retain(|_, slot| slot.started_at.elapsed() < RETENTION);
        self.recorded_bytes = self.by_key.values().map(Slot::recorded_bytes).sum();
    }

    fn remove(&mut self, key: &Key) {
        let removed = self.by_key.remove(key);
        self.recorded_bytes -= removed.map_or(0, |slot| slot.recorded_bytes());
    }
}

impl Slot {
    /// The length of the recorded body; 0 if there is none or it was forgotten.
    fn recorded_bytes(&self) -> usize {
        self.response.borrow().as_ref().map_or(0, |response| response.body.len())
    }
}

/// How to proceed with a request that may be a repeat.
#[derive(Debug)]
pub enum Start {
    /// Run the request and record its response.
    Run(Record),
    /// Send the recorded response.
    Replay(Response),
    /// Refuse: the key is invalid or belongs to a different request.
    Refused(Refusal),
}

/// Records the response of a running request; if dropped unfinished, a repeat may run.
#[derive(Debug)]
pub struct Record {
    target: Option<(Responses, Key)>,
}

impl Record {
    /// The record of a request without a key, of which nothing is kept.
    pub const UNKEYED: Self = Self { target: None };

    /// Whether the request has an idempotency key, so that its response must be recorded.
    pub const fn is_keyed(&self) -> bool {
        self.target.is_some()
    }

    /// Records the response and wakes the repeats that wait for it.
    pub fn finish(mut self, response: Response) {
        let Some((responses, key)) = self.target.take() else {
            return;
        };
        responses.lock().record(&key, response);
    }

    /// Whether a repeat may run after this refusal, because no attempt has run.
    pub fn allows_rerun(&self, refusal: &Refusal) -> bool {
        refusal.outcome() == Outcome::NotRun
    }
}

impl Drop for Record {
    fn drop(&mut self) {
        if let Some((responses, key)) = self.target.take() {
            responses.lock().remove(&key);
        }
    }
}

impl Responses {
    fn lock(&self) -> std::sync::MutexGuard<'_, Slots> {
        self.slots.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Claims a key for its first request, or returns the response to wait for.
    fn claim(&self, key: &Key, fingerprint: Tag) -> Claim {
        let mut slots = self.lock();
        if slots.by_key.len() >= EVICTION_THRESHOLD {
            slots.evict();
        }
        if let Some(slot) =
            slots.by_key.get(key).filter(|slot| slot.started_at.elapsed() < RETENTION)
        {
            if slot.fingerprint != fingerprint {
                return Claim::Mismatch;
            }
            return Claim::Repeat(slot.response.subscribe());
        }
        let (response, _receiver) = watch::channel(None);
        slots.remove(key);
        let slot = Slot { fingerprint, started_at: Instant::now(), response };
        slots.by_key.insert(key.clone(), slot);
        Claim::First
    }
}

/// The result of an attempt to claim a key.
enum Claim {
    /// The key was unused or expired; the caller runs the request.
    First,
    /// The key is claimed by the same request, whose response the receiver gets.
    Repeat(watch::Receiver<Option<Response>>),
    /// The key is claimed by a different request.
    Mismatch,
}

/// Decides whether the request runs; a repeat first waits for the original's response.
pub async fn begin(
    entry: &Entry,
    request: &HttpRequest,
    caller: &Caller,
    fingerprint: Tag,
) -> Start {
    let Some(header) = request.headers().get(HEADER) else {
        return Start::Run(Record::UNKEYED);
    };
    let text = header.to_str().unwrap_or("");
    if text.is_empty() || text.len() > MAX_KEY_BYTES {
        return Start::Refused(Kind::Malformed.into());
    }
    let key = (caller.tag, text.to_owned());
    loop {
        match entry.responses.claim(&key, fingerprint) {
            Claim::First => {
                return Start::Run(Record { target: Some((entry.responses.clone(), key)) });
            }
            Claim::Mismatch => return Start::Refused(Kind::KeyReused.into()),
            Claim::Repeat(mut response) => {
                // If the original ends without a response, the sender is dropped and this
                // repeat competes to run in its place.
                if let Ok(found) = response.wait_for(Option::is_some).await
                    && let Some(found) = found.as_ref()
                {
                    return Start::Replay(found.clone());
                }
            }
        }
    }
}
