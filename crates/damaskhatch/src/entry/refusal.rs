//! Refusals and the HTTP responses that report them to callers.

use actix_web::HttpResponse;
use actix_web::http::StatusCode;
use actix_web::http::header::{HeaderValue, RETRY_AFTER};
use damaskhatch_policy::error::{Advice, Outcome};
use damaskhatch_policy::prelude::*;
use serde_json::json;

/// Why a request was refused or failed, and what its caller may do next.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Refusal {
    /// The reason, which decides the status, the advice and the message.
    pub kind: Kind,
    /// The delay before a retry; `None` applies the default of kinds that advise a retry.
    pub retry_after: Option<Duration>,
    /// Whether any attempt may have run; the kind describes only the last one.
    pub may_have_run: bool,
}

/// The refusal of a request that is not complete when its host must have stopped.
///
/// Whether it has run is not known where it is ended.
pub fn at_stop() -> Refusal {
    Refusal::from(Kind::UpstreamTimeout).with_may_have_run(true)
}

impl From<Kind> for Refusal {
    fn from(kind: Kind) -> Self {
        Self { kind, retry_after: None, may_have_run: false }
    }
}

impl Refusal {
    /// Creates a refusal that advises the caller to retry after a delay.
    pub const fn after(kind: Kind, retry_after: Duration) -> Self {
        Self { kind, retry_after: Some(retry_after), may_have_run: false }
    }

    /// Marks the refusal if any attempt may have run; never clears the mark.
    #[must_use]
    pub const fn with_may_have_run(mut self, may_have_run: bool) -> Self {
        self.may_have_run |= may_have_run;
        self
    }

    /// Whether the request may have run, over all its attempts.
    pub const fn outcome(&self) -> Outcome {
        if self.may_have_run { Outcome::Unknown } else { self.kind.answer().outcome }
    }

    /// Builds the JSON body.
    pub fn body(&self, request: impl std::fmt::Display) -> serde_json::Value {
        let answer = self.kind.answer();
        json!({ "error": {
            "code": self.kind,
            "message": self.kind.to_string(),
            "outcome": self.outcome(),
            "advice": answer.advice,
            "retry_after_ms": self.retry_delay().map(|delay| delay.as_millis() as u64),
            "request": request.to_string(),
        }})
    }

    /// Builds the HTTP response, with `Retry-After` where the kind advises a retry.
    pub fn response(&self, request: Request) -> HttpResponse {
        let status = StatusCode::from_u16(self.kind.answer().status);
        let status = status.unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
        let mut response = HttpResponse::build(status);
        response.insert_header(("x-request-id", request.to_string()));
        if let Some(delay) = self.retry_delay() {
            // `Retry-After` is in whole seconds; rounding down would invite retries too early.
            let seconds = delay.as_millis().div_ceil(1_000);
            if let Ok(value) = HeaderValue::from_str(&seconds.to_string()) {
                response.insert_header((RETRY_AFTER, value));
            }
        }
        response.json(self.body(request))
    }

    /// How long the caller should wait before a retry; `None` if the kind advises no timed retry.
    pub fn retry_delay(&self) -> Option<Duration> {
        let is_advised = self.kind.answer().advice == Advice::RetryAfter;
        is_advised.then(|| self.retry_after.unwrap_or(DEFAULT_RETRY_AFTER))
    }
}

/// The retry delay of refusals that carry none of their own.
const DEFAULT_RETRY_AFTER: Duration = Duration::from_secs(1);
