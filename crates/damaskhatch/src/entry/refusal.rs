//! Refusals as callers see them.

use actix_web::HttpResponse;
use actix_web::http::StatusCode;
use actix_web::http::header::{HeaderValue, RETRY_AFTER};
use damaskhatch_policy::error::{Advice, Outcome};
use damaskhatch_policy::prelude::*;
use serde_json::json;

/// A refusal of one request.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Refusal {
    /// Why.
    pub kind: Kind,
    /// When to come back, where the kind advises it.
    pub retry_after: Option<Duration>,
    /// Whether some attempt may have run, whatever the kind says of the last.
    pub may_have_run: bool,
}

impl From<Kind> for Refusal {
    fn from(kind: Kind) -> Self {
        Self { kind, retry_after: None, may_have_run: false }
    }
}

impl Refusal {
    /// A refusal that names the time to come back.
    pub const fn after(kind: Kind, retry_after: Duration) -> Self {
        Self { kind, retry_after: Some(retry_after), may_have_run: false }
    }

    /// The same refusal of a request of which an attempt may have run.
    #[must_use]
    pub const fn with_run(mut self, may_have_run: bool) -> Self {
        self.may_have_run |= may_have_run;
        self
    }

    /// Whether the request may have run.
    pub const fn outcome(&self) -> Outcome {
        if self.may_have_run { Outcome::Unknown } else { self.kind.answer().outcome }
    }

    /// The JSON body.
    pub fn body(&self, request: impl std::fmt::Display) -> serde_json::Value {
        let answer = self.kind.answer();
        json!({ "error": {
            "code": self.kind,
            "message": self.kind.to_string(),
            "outcome": self.outcome(),
            "advice": answer.advice,
            "retry_after_ms": self.retry_delay().map(|wait| wait.as_millis() as u64),
            "request": request.to_string(),
        }})
    }

    /// The HTTP response.
    pub fn response(&self, request: Request) -> HttpResponse {
        let status = StatusCode::from_u16(self.kind.answer().status);
        let status = status.unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
        let mut response = HttpResponse::build(status);
        response.insert_header(("x-request-id", request.to_string()));
        if let Some(wait) = self.retry_delay() {
            // Whole seconds, rounded up, so that a caller that obeys is never early.
            let seconds = wait.as_millis().div_ceil(1_000);
            if let Ok(value) = HeaderValue::from_str(&seconds.to_string()) {
                response.insert_header((RETRY_AFTER, value));
            }
        }
        response.json(self.body(request))
    }

    /// When to come back, where the kind advises it.
    pub fn retry_delay(&self) -> Option<Duration> {
        let advised = self.kind.answer().advice == Advice::RetryAfter;
        advised.then(|| self.retry_after.unwrap_or(DEFAULT_RETRY_AFTER))
    }
}

/// The wait that a refusal names when nothing better is known.
const DEFAULT_RETRY_AFTER: Duration = Duration::from_secs(1);
