//! The HTTP proxy: routes requests by host and path and forwards responses byte for byte.
//!
//! Each request gets exactly one response: an upstream's complete response, or a [`Refusal`]
//! of one of the fixed kinds no later than at the request's time limit. If a response breaks
//! off after it has begun, the caller's connection is closed without the end of the body (see
//! [`crate::entry::body`]), so that a truncated response never looks complete.

pub mod attempt;
pub mod candidates;
pub mod continuation;
pub mod crash;
pub mod dialect;
pub mod forward;
pub mod generate;
pub mod held;
pub mod load;
pub mod pair;
pub mod permit;
pub mod request;
pub mod reserve;
pub mod response;
pub mod stream;
pub mod turns;
pub mod version;

use actix_web::http::StatusCode;
use actix_web::{HttpRequest, HttpResponse, web};

use crate::entry::closed::Closed;
use crate::entry::refusal::Refusal;
use crate::entry::{Entry, close_if_draining, refusal};

/// Registers the handler that serves every path of the callers' interface.
pub fn configure(config: &mut web::ServiceConfig) {
    config.default_service(web::route().to(handle));
}

/// Handles a caller's request, and abandons it when the caller closes its connection.
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
    let result = tokio::select! {
        result = run(&request, payload, &entry, &label) => result,
        () = closed.wait() => {
            entry.shared.journal.record(
                &label,
                format_args!("event=cancelled reason=caller_closed"),
            );
            entry.shared.metrics.requests.with_label_values(&["routed", "cancelled"]).inc();
            Ok(HttpResponse::BadRequest().finish())
        }
        () = entry.shared.stop.wait() => Err(refusal::at_stop()),
    };
    entry.shared.metrics.in_flight.dec();
    let mut response = result.unwrap_or_else(|refusal| refuse(&entry, &label, refusal));
    close_if_draining(&entry, &mut response);
    response
}

/// Prepares a request and runs it on engines or on a plain upstream.
async fn run(
    request: &HttpRequest,
    payload: web::Payload,
    entry: &web::Data<Entry>,
    label: &str,
) -> Result<HttpResponse, Refusal> {
    let routed = request::prepare(request, payload, entry, label).await?;
    let snapshot = entry.shared.snapshot();
    let is_model = snapshot.services[routed.service].engines.is_some();
    if is_model && routed.tokens.is_some() {
        generate::run(entry, routed, request).await
    } else {
        forward::run(entry, routed).await
    }
}

/// Logs and counts a refusal and builds the response that reports it.
fn refuse(entry: &Entry, label: &str, refusal: Refusal) -> HttpResponse {
    let refusal = entry.defer_if_behind(refusal);
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
    let dialect = entry.shared.deployment.dialect;
    if let Some(wait) = refusal.retry_delay() {
        response.insert_header(("retry-after", dialect.retry_after(wait)));
    }
    response.json(refusal.body(label))
}
