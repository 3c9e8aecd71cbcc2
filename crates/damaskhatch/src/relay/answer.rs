//! Passes an upstream's answer on to the caller unchanged.

use actix_web::http::header::{HeaderName, HeaderValue};
use actix_web::{HttpResponse, HttpResponseBuilder};
use damaskhatch_exchange::HeaderMap;

/// Headers of an answer that concern one connection only.
const PER_CONNECTION: [&str; 7] = [
    "connection",
    "keep-alive",
    "proxy-connection",
    "trailer",
    "transfer-encoding",
    "upgrade",
    "content-length",
];

/// Begins an answer with the upstream's status and headers.
pub fn begin(head: &damaskhatch_exchange::Head) -> HttpResponseBuilder {
    let status = actix_web::http::StatusCode::from_u16(head.status.as_u16());
    let status = status.unwrap_or(actix_web::http::StatusCode::BAD_GATEWAY);
    let mut response = HttpResponse::build(status);
    copy(&head.headers, &mut response);
    response
}

fn copy(headers: &HeaderMap, response: &mut HttpResponseBuilder) {
    for (name, value) in headers {
        if PER_CONNECTION.contains(&name.as_str()) {
            continue;
        }
        let name = HeaderName::from_bytes(name.as_str().as_bytes());
        let value = HeaderValue::from_bytes(value.as_bytes());
        if let (Ok(name), Ok(value)) = (name, value) {
            response.append_header((name, value));
        }
    }
}
