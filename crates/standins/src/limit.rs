//! The limit that a stand-in names in its responses, set by tests at `/test/limit`.

use std::sync::{Mutex, PoisonError};

use actix_web::body::MessageBody;
use actix_web::dev::{ServiceRequest, ServiceResponse};
use actix_web::http::header::{HeaderName, HeaderValue};
use actix_web::middleware::Next;
use actix_web::{HttpResponse, web};
use serde::Deserialize;

/// The header that names the limit.
const HEADER: &str = "x-damaskhatch-limit";

/// The limit in force, as the header's value; `None` without one.
#[derive(Debug, Default)]
pub struct Limit(Mutex<Option<String>>);

/// The body of a call that sets the limit.
#[derive(Debug, Deserialize)]
struct Setting {
    /// The header's value, which need not be a number; `None` lifts the limit.
    value: Option<String>,
}

/// Adds the route by which tests set the limit.
pub fn configure(config: &mut web::ServiceConfig) {
    config.route("/test/limit", web::post().to(set));
}

async fn set(limit: web::Data<Limit>, setting: web::Json<Setting>) -> HttpResponse {
    *limit.0.lock().unwrap_or_else(PoisonError::into_inner) = setting.into_inner().value;
    HttpResponse::Ok().finish()
}

/// Adds the header to a response, whatever its status is.
pub async fn name(
    request: ServiceRequest,
    next: Next<impl MessageBody>,
) -> Result<ServiceResponse<impl MessageBody>, actix_web::Error> {
    let limit = request.app_data::<web::Data<Limit>>().cloned();
    let mut response = next.call(request).await?;
    let value = limit.and_then(|limit| limit.0.lock().ok()?.clone());
    if let Some(value) = value.and_then(|value| HeaderValue::from_str(&value).ok()) {
        response.headers_mut().insert(HeaderName::from_static(HEADER), value);
    }
    Ok(response)
}
