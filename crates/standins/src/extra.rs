//! Further headers of a stand-in's responses, and calls that it declines, set by tests at
//! `/test/header` and `/test/decline`.

use std::collections::HashMap;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Mutex, PoisonError};

use actix_web::body::MessageBody;
use actix_web::dev::{ServiceRequest, ServiceResponse};
use actix_web::http::header::{HeaderName, HeaderValue};
use actix_web::middleware::Next;
use actix_web::{HttpResponse, web};
use serde::Deserialize;

/// The header by which an upstream names its limit.
pub const LIMIT: &str = "x-damaskhatch-limit";
/// The header by which an engine names the version of its software.
pub const VERSION: &str = "x-damaskhatch-version";

/// The header by which an upstream says that it leaves.
pub const LEAVING: &str = "x-damaskhatch-leaving";

/// The paths of calls that run nothing, which are never declined.
const FREE_PATHS: [&str; 4] = ["/load", "/requests", "/cancel", "/test/"];

/// What a stand-in adds to its responses.
#[derive(Debug, Default)]
pub struct Extra {
    /// The headers of every response, by name.
    headers: Mutex<HashMap<String, String>>,
    /// The `Retry-After` with which calls are declined, if they are.
    declined: Mutex<Option<String>>,
    /// The number of calls that were declined.
    count: AtomicUsize,
}

/// The body of a call that makes the stand-in decline calls.
#[derive(Debug, Deserialize)]
struct Decline {
    retry_after: Option<String>,
}

/// The body of a call that sets a header.
#[derive(Debug, Deserialize)]
struct Setting {
    name: String,
    value: String,
}

/// Adds the route by which tests set headers.
pub fn configure(config: &mut web::ServiceConfig) {
    config
        .route("/test/header", web::post().to(set))
        .route("/test/decline", web::post().to(decline))
        .route("/test/declined", web::get().to(count_declined));
}

async fn set(extra: web::Data<Extra>, setting: web::Json<Setting>) -> HttpResponse {
    let Setting { name, value } = setting.into_inner();
    extra.headers.lock().unwrap_or_else(PoisonError::into_inner).insert(name, value);
    HttpResponse::Ok().finish()
}

async fn decline(extra: web::Data<Extra>, body: web::Json<Decline>) -> HttpResponse {
    *extra.declined.lock().unwrap_or_else(PoisonError::into_inner) = body.into_inner().retry_after;
    HttpResponse::Ok().finish()
}

async fn count_declined(extra: web::Data<Extra>) -> HttpResponse {
    HttpResponse::Ok().json(extra.count.load(Ordering::Relaxed))
}

/// The `Retry-After` with which a call is declined; `None` if it is not.
fn find_decline(extra: &Extra, path: &str) -> Option<String> {
    let declined = extra.declined.lock().unwrap_or_else(PoisonError::into_inner).clone();
    declined.filter(|_| !FREE_PATHS.iter().any(|free| path.starts_with(free)))
}

/// Adds the headers to a response, whatever its status is.
pub async fn add(
    request: ServiceRequest,
    next: Next<impl MessageBody + 'static>,
) -> Result<ServiceResponse, actix_web::Error> {
    let Some(extra) = request.app_data::<web::Data<Extra>>().cloned() else {
        return Ok(next.call(request).await?.map_into_boxed_body());
    };
    if let Some(retry_after) = find_decline(&extra, request.path()) {
        extra.count.fetch_add(1, Ordering::Relaxed);
        let mut response = HttpResponse::ServiceUnavailable();
        response.insert_header(("x-not-run", "full")).insert_header(("retry-after", retry_after));
        return Ok(request.into_response(response.finish()));
    }
    let mut response = next.call(request).await?.map_into_boxed_body();
    for (name, value) in &*extra.headers.lock().unwrap_or_else(PoisonError::into_inner) {
        if let (Ok(name), Ok(value)) = (name.parse::<HeaderName>(), HeaderValue::from_str(value)) {
            response.headers_mut().insert(name, value);
        }
    }
    Ok(response)
}
