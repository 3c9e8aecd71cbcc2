//! Forwards an upstream's response to the caller unchanged.

use actix_web::{HttpResponse, HttpResponseBuilder};

use crate::headers;

/// Starts a response to the caller with the upstream's status and end-to-end headers.
pub fn build_response(head: &damaskhatch_exchange::Head) -> HttpResponseBuilder {
    let status = actix_web::http::StatusCode::from_u16(head.status.as_u16());
    let status = status.unwrap_or(actix_web::http::StatusCode::BAD_GATEWAY);
    let mut response = HttpResponse::build(status);
    for (name, value) in headers::to_caller(&head.headers) {
        response.append_header((name, value));
    }
    response
}
