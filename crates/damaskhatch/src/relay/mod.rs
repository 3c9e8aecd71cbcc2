//! Requests by host and path: routed, sent to an upstream, and answered byte for byte.
//!
//! A request is answered exactly once: by an upstream's whole answer, or by a
//! refusal of the closed table at its time limit at the latest. An answer that
//! breaks off ends the caller's connection without its end, so that it never
//! looks complete.

pub mod answer;
pub mod attempt;
pub mod dialect;
pub mod events;
pub mod forward;
pub mod generate;
pub mod held;
pub mod load;
pub mod pair;
pub mod request;
pub mod stream;

use std::time::Duration;

use actix_web::http::StatusCode;
use actix_web::{HttpRequest, HttpResponse, web};

use crate::entry::Entry;
use crate::entry::closed::Closed;
use crate::entry::refusal::Refusal;

/// Sends every request of callers to its route.
pub fn configure(config: &mut web::ServiceConfig) {
    config.default_service(web::route().to(handle));
}

/// Handles one request of a caller.
pub async fn handle(
    request: HttpRequest,
    payload: web::Payload,
    entry: web::Data<Entry>,
) -> HttpResponse {
    let names = &entry.shared.deployment.dialect.headers;
    let label = request.headers().get(names.request).and_then(|id| id.to_str().ok());
    let label = label.unwrap_or("unnamed").to_owned();
    let closed = Closed::watch(&request);
    entry.shared.metrics.in_flight.inc();
    let answered = tokio::select! {
        answered = answer(&request, payload, &entry, &label) => answered,
        () = closed.wait() => {
            entry.shared.journal.record(&label, format_args!("event=cancelled reason=caller_closed"));
            entry.shared.metrics.requests.with_label_values(&["routed", "cancelled"]).inc();
            Ok(HttpResponse::BadRequest().finish())
        }
    };
    entry.shared.metrics.in_flight.dec();
    let mut response = answered.unwrap_or_else(|refusal| refuse(&entry, &label, &refusal));
    if entry.shared.is_draining() {
        // The caller's next request then finds a host that stays.
        response.head_mut().set_connection_type(actix_web::http::ConnectionType::Close);
    }
    response
}

async fn answer(
    request: &HttpRequest,
    payload: web::Payload,
    entry: &web::Data<Entry>,
    label: &str,
) -> Result<HttpResponse, Refusal> {
    let routed = request::prepare(request, payload, entry, label).await?;
    let snapshot = entry.shared.snapshot();
    let is_model = snapshot.services[routed.service].engines.is_some();
    if is_model && routed.tokens.is_some() {
        generate::run(entry, routed).await
    } else {
        forward::run(entry, routed).await
    }
}

/// Logs, counts and answers a refusal.
fn refuse(entry: &Entry, label: &str, refusal: &Refusal) -> HttpResponse {
    let Refusal { kind, retry_after, may_have_run } = refusal;
    let retry_ms = retry_after.map_or(0, |wait| wait.as_millis());
    let revision = entry.shared.snapshot().revision;
    let age_ms = entry.shared.config_age().map_or(-1, |age| age.as_millis() as i64);
    entry.shared.journal.record(
        label,
        format_args!(
            "event=refused reason={kind:?} may_have_run={may_have_run} \
             retry_after_ms={retry_ms} revision={revision} config_age_ms={age_ms}"
        ),
    );
    entry.shared.metrics.refusals.with_label_values(&[&format!("{kind:?}")]).inc();
    let status = StatusCode::from_u16(kind.answer().status);
    let mut response = HttpResponse::build(status.unwrap_or(StatusCode::INTERNAL_SERVER_ERROR));
    if let Some(wait) = refusal.retry_delay() {
        response.insert_header(("retry-after", retry_after_text(entry, wait)));
    }
    response.json(refusal.body(label))
}

fn retry_after_text(entry: &Entry, wait: Duration) -> String {
    if entry.shared.deployment.dialect.has_fractional_retry {
        return format!("{:.3}", wait.as_secs_f64());
    }
    // Rounded up, so that a caller that obeys is never early.
    wait.as_millis().div_ceil(1_000).to_string()
}
