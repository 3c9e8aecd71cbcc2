//! Further headers of a stand-in's responses, set by tests at `/test/header`.

use std::collections::HashMap;
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

/// The headers that are added to every response, by name.
#[derive(Debug, Default)]
pub struct Extra(Mutex<HashMap<String, String>>);

/// The body of a call that sets a header.
#[derive(Debug, Deserialize)]
struct Setting {
    name: String,
    value: String,
}

/// Adds the route by which tests set headers.
pub fn configure(config: &mut web::ServiceConfig) {
    config.route("/test/header", web::post().to(set));
}

async fn set(extra: web::Data<Extra>, setting: web::Json<Setting>) -> HttpResponse {
    let Setting { name, value } = setting.into_inner();
    extra.0.lock().unwrap_or_else(PoisonError::into_inner).insert(name, value);
    HttpResponse::Ok().finish()
}

/// Adds the headers to a response, whatever its status is.
pub async fn add(
    request: ServiceRequest,
    next: Next<impl MessageBody>,
) -> Result<ServiceResponse<impl MessageBody>, actix_web::Error> {
    let extra = request.app_data::<web::Data<Extra>>().cloned();
    let mut response = next.call(request).await?;
    let Some(extra) = extra else { return Ok(response) };
    for (name, value) in &*extra.0.lock().unwrap_or_else(PoisonError::into_inner) {
        if let (Ok(name), Ok(value)) = (name.parse::<HeaderName>(), HeaderValue::from_str(value)) {
            response.headers_mut().insert(name, value);
        }
    }
    Ok(response)
}
