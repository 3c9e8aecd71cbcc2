//! A stand-in for a plain service, which counts how often each call ran.
//!
//! A call is identified by the id that the test's caller sets in [`CALL_HEADER`].

use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::sync::{Mutex, PoisonError};
use std::time::Duration;

use actix_web::http::ConnectionType;
use actix_web::middleware::from_fn;
use actix_web::{App, HttpRequest, HttpResponse, HttpResponseBuilder, HttpServer, web};
use futures_util::stream::{StreamExt, once, unfold};
use serde::{Deserialize, Serialize};
use serde_json::json;
use tokio::time::sleep;

use crate::engine::CRASH_CODE;
use crate::extra::{self, Extra};

/// The header that carries the caller's id of a call.
pub const CALL_HEADER: &str = "x-call-id";

/// The calls that a service received.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct Record {
    /// How often each call ran, by the caller's id.
    pub calls: HashMap<String, u32>,
    /// The headers of all calls, as `name: value`, in the order of arrival.
    pub headers: Vec<String>,
    /// Whether the service's load reports say that it is leaving.
    pub leaving: bool,
}

#[derive(Debug, Default)]
struct Service {
    record: Mutex<Record>,
}

/// The query of a call, by which a test controls how the service runs it.
#[derive(Debug, Deserialize)]
struct Options {
    /// How long the call takes, in milliseconds.
    #[serde(default)]
    sleep_ms: u64,
    /// Whether the response has neither a length nor chunks and ends with its connection.
    #[serde(default)]
    is_unframed: bool,
    /// The number of bytes of such a response after which the process crashes.
    crash_after_bytes: Option<usize>,
    /// The bytes a second of a body without end.
    endless_bytes_per_s: Option<usize>,
}

/// The time in which the bytes before a crash reach the caller.
const CRASH_DELAY: Duration = Duration::from_millis(20);

/// A piece of a body without end.
const ENDLESS_PIECE: &[u8] = &[b'x'; 64 << 10];

type Shared = web::Data<Service>;

/// Serves the service's HTTP interface at an address until the process ends.
pub async fn run(listen: SocketAddr) -> io::Result<()> {
    let data = web::Data::new(Service::default());
    let extra = web::Data::new(Extra::default());
    HttpServer::new(move || {
        App::new()
            .app_data(data.clone())
            .app_data(extra.clone())
            .wrap(from_fn(extra::add))
            .configure(extra::configure)
            .route("/load", web::get().to(report_load))
            .route("/requests", web::get().to(list_requests))
            .route("/test/record", web::get().to(read_record))
            .route("/test/leave", web::post().to(set_leaving))
            .default_service(web::route().to(run_call))
    })
    .workers(1)
    .bind(listen)?
    .run()
    .await
}

async fn run_call(
    request: HttpRequest,
    body: web::Bytes,
    options: web::Query<Options>,
    service: Shared,
) -> HttpResponse {
    let header = |name: &str| {
        let value = request.headers().get(name).and_then(|value| value.to_str().ok());
        value.unwrap_or("").to_owned()
    };
    let id = header(CALL_HEADER);
    {
        let mut record = lock(&service);
        *record.calls.entry(id.clone()).or_insert(0) += 1;
        let headers = request.headers().iter();
        let headers =
            headers.map(|(name, value)| format!("{name}: {}", value.to_str().unwrap_or("?")));
        record.headers.extend(headers);
    };
    sleep(Duration::from_millis(options.sleep_ms)).await;
    let text = String::from_utf8_lossy(&body).into_owned();
    let body = json!({ "call": id, "path": request.path(), "body": text });
    let mut response = HttpResponse::Ok();
    response.insert_header(("x-request-id", header("x-request-id")));
    if let Some(bytes_per_s) = options.endless_bytes_per_s {
        let body = unfold((), move |()| async move {
            sleep(Duration::from_secs_f64(ENDLESS_PIECE.len() as f64 / bytes_per_s as f64)).await;
            Some((Ok::<_, io::Error>(web::Bytes::from_static(ENDLESS_PIECE)), ()))
        });
        response.streaming(body)
    } else if options.is_unframed {
        respond_unframed(response, body.to_string(), options.crash_after_bytes)
    } else {
        response.json(body)
    }
}

/// Sends a body whose end only the end of the connection marks, or crashes inside it.
fn respond_unframed(
    mut response: HttpResponseBuilder,
    mut body: String,
    crash_after_bytes: Option<usize>,
) -> HttpResponse {
    if let Some(bytes) = crash_after_bytes {
        body.truncate(bytes);
    }
    let crash = once(async move {
        if crash_after_bytes.is_some() {
            sleep(CRASH_DELAY).await;
            std::process::exit(CRASH_CODE);
        }
        Ok(web::Bytes::new())
    });
    let body = once(async { Ok::<_, io::Error>(web::Bytes::from(body)) }).chain(crash);
    let mut response = response.streaming(body);
    response.head_mut().no_chunking(true);
    response.head_mut().set_connection_type(ConnectionType::Close);
    response
}

async fn report_load(service: Shared) -> HttpResponse {
    let leaving = lock(&service).leaving;
    HttpResponse::Ok()
        .json(damaskhatch_policy::schedule::engine::Load { leaving, ..Default::default() })
}

async fn list_requests() -> HttpResponse {
    HttpResponse::Ok().json(json!({ "requests": [] }))
}

async fn read_record(service: Shared) -> HttpResponse {
    HttpResponse::Ok().json(&*lock(&service))
}

async fn set_leaving(service: Shared) -> HttpResponse {
    lock(&service).leaving = true;
    HttpResponse::Ok().finish()
}

fn lock(service: &Service) -> std::sync::MutexGuard<'_, Record> {
    service.record.lock().unwrap_or_else(PoisonError::into_inner)
}
