//! Answers a repeated request with the answer to the first.
//!
//! A request that names an `Idempotency-Key` runs once per host and key; a repeat
//! joins the first while it runs and gets its recorded answer afterwards.

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
use super::refusal::Refusal;

/// The header that names a request for repeats.
pub const HEADER: &str = "idempotency-key";
/// How long an answer is remembered.
const LIFE: Duration = Duration::from_mins(10);
/// Answers that a host remembers.
const CAPACITY: usize = 4_096;
/// The longest key, in bytes.
const MAX_KEY_BYTES: usize = 200;

/// A recorded answer.
#[derive(Debug, Clone)]
pub struct Answer {
    /// The status.
    pub status: StatusCode,
    /// The headers that are passed on.
    pub headers: HeaderMap,
    /// The body.
    pub body: Bytes,
}

impl Answer {
    /// An answer with a JSON body.
    pub fn json(status: u16, body: &serde_json::Value, request: Request) -> Self {
        Self::new(status, "application/json", body.to_string(), request)
    }

    /// A finished event stream.
    pub fn event_stream(body: String, request: Request) -> Self {
        Self::new(200, "text/event-stream", body, request)
    }

    fn new(status: u16, content: &'static str, body: String, request: Request) -> Self {
        let mut headers = HeaderMap::new();
        headers.insert(CONTENT_TYPE, HeaderValue::from_static(content));
        if let Ok(value) = HeaderValue::from_str(&request.to_string()) {
            headers.insert(HeaderName::from_static("x-request-id"), value);
        }
        let status = StatusCode::from_u16(status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
        Self { status, headers, body: body.into() }
    }

    /// The HTTP response.
    pub fn response(&self) -> HttpResponse {
        let mut response = HttpResponse::build(self.status);
        for (name, value) in &self.headers {
            response.append_header((name.clone(), value.clone()));
        }
        response.body(self.body.clone())
    }
}

type Key = (Tag, String);

#[derive(Debug)]
struct Slot {
    fingerprint: Tag,
    since: Instant,
    answer: watch::Sender<Option<Answer>>,
}

/// The answers that a host remembers.
#[derive(Debug, Clone, Default)]
pub struct Answers {
    slots: Arc<Mutex<HashMap<Key, Slot>>>,
}

/// What becomes of a request that may be a repeat.
#[derive(Debug)]
pub enum Start {
    /// It runs and records its answer.
    Run(Record),
    /// It was answered before.
    Answered(Answer),
    /// It is not the request that its key names.
    Refused(Refusal),
}

/// Records the answer of a request that runs; dropped unfinished, it lets a repeat run.
#[derive(Debug)]
pub struct Record {
    kept: Option<(Answers, Key)>,
}

impl Record {
    /// Whether anybody may ask for the answer again.
    pub const fn is_kept(&self) -> bool {
        self.kept.is_some()
    }

    /// Records the answer.
    pub fn finish(mut self, answer: Answer) {
        let Some((answers, key)) = self.kept.take() else {
            return;
        };
        if let Some(slot) = answers.lock().get(&key) {
            slot.answer.send_replace(Some(answer));
        }
    }

    /// Whether the refusal leaves a repeat free to run, because nothing has run.
    pub fn drop_unless_run(&self, refusal: &Refusal) -> bool {
        refusal.outcome() == Outcome::NotRun
    }
}

impl Drop for Record {
    fn drop(&mut self) {
        if let Some((answers, key)) = self.kept.take() {
            answers.lock().remove(&key);
        }
    }
}

impl Answers {
    fn lock(&self) -> std::sync::MutexGuard<'_, HashMap<Key, Slot>> {
        self.slots.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Takes the slot of a key, or returns the answer that is awaited or recorded there.
    fn claim(&self, key: &Key, fingerprint: Tag) -> Claim {
        let mut slots = self.lock();
        if slots.len() >= CAPACITY {
            slots.retain(|_, slot| slot.since.elapsed() < LIFE);
        }
        if let Some(slot) = slots.get(key).filter(|slot| slot.since.elapsed() < LIFE) {
            if slot.fingerprint != fingerprint {
                return Claim::Other;
            }
            return Claim::Repeat(slot.answer.subscribe());
        }
        let (answer, _receiver) = watch::channel(None);
        slots.insert(key.clone(), Slot { fingerprint, since: Instant::now(), answer });
        Claim::First
    }
}

enum Claim {
    First,
    Repeat(watch::Receiver<Option<Answer>>),
    Other,
}

/// Finds out whether the request is a repeat, and waits for the first one's answer if so.
pub async fn begin(
    entry: &Entry,
    request: &HttpRequest,
    caller: &Caller,
    fingerprint: Tag,
) -> Start {
    let Some(header) = request.headers().get(HEADER) else {
        return Start::Run(Record { kept: None });
    };
    let text = header.to_str().unwrap_or("");
    if text.is_empty() || text.len() > MAX_KEY_BYTES {
        return Start::Refused(Kind::Malformed.into());
    }
    let key = (caller.tag, text.to_owned());
    loop {
        match entry.responses.claim(&key, fingerprint) {
            Claim::First => {
                return Start::Run(Record { kept: Some((entry.responses.clone(), key)) });
            }
            Claim::Other => return Start::Refused(Kind::KeyReused.into()),
            Claim::Repeat(mut answer) => {
                // The first may end without an answer; then this repeat may be the first.
                if let Ok(found) = answer.wait_for(Option::is_some).await
                    && let Some(found) = found.as_ref()
                {
                    return Start::Answered(found.clone());
                }
            }
        }
    }
}
