//! The engine's HTTP interface; tests inspect and control it by the paths below `/test`.

use std::time::Duration;

use actix_web::{HttpRequest, HttpResponse, web};
use damaskhatch::upstream::message::{Decode, Prefill, RequestId, Requests, Resume};
use serde::{Deserialize, Serialize};
use tokio::time::{Instant, sleep};

use super::state::{Call, Counts, Engine, Prompt};
use super::{decode, prefill};

type Shared = web::Data<Engine>;

/// The state of an engine that tests check.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Stats {
    /// What it has counted since it started.
    pub counts: Counts,
    /// Requests that decode, wait for a slot, or have ended but can still be resumed.
    pub running: usize,
    /// Prompts that wait, run, or have a KV cache to export.
    pub prompts: usize,
    /// Pieces of KV memory in use.
    pub used_pieces: u32,
}

/// An order to load a model or change role.
#[derive(Debug, Deserialize)]
struct Order {
    /// The sender's fencing number.
    fence: u64,
}

/// The faults that a test injects.
#[derive(Debug, Deserialize)]
struct Fault {
    /// Whether load reports say that the engine is leaving.
    #[serde(default)]
    leaving: bool,
    /// How long no token is generated, in milliseconds.
    #[serde(default)]
    stall_ms: u64,
}

/// The largest request body, in bytes.
const MAX_BODY_BYTES: usize = 64 << 20;
/// The delay after which a cache event is published.
const EVENT_LAG: Duration = Duration::from_millis(200);
/// One of this many cache events is never published.
const EVENT_LOSS_INTERVAL: usize = 10;

/// Adds the routes of an engine.
pub fn configure(config: &mut web::ServiceConfig) {
    config
        .app_data(web::JsonConfig::default().limit(MAX_BODY_BYTES))
        .route("/prefill", web::post().to(run_prefill))
        .route("/prefilled", web::post().to(probe_prefill))
        .route("/kv/{kv}", web::get().to(export_cache))
        .route("/decode", web::post().to(start_decode))
        .route("/resume", web::post().to(resume_decode))
        .route("/cancel", web::post().to(cancel_request))
        .route("/requests", web::get().to(list_requests))
        .route("/load", web::get().to(report_load))
        .route("/events", web::get().to(list_cache_events))
        .route("/order", web::post().to(apply_order))
        .route("/test/stats", web::get().to(report_stats))
        .route("/test/seen", web::get().to(list_calls))
        .route("/test/fault", web::post().to(inject_fault));
}

/// Records a call; returns whether its request has not been cancelled.
fn record_call(engine: &Engine, request: &HttpRequest, id: &str) -> bool {
    let headers = request.headers().iter();
    let headers = headers.map(|(name, value)| format!("{name}: {}", value.to_str().unwrap_or("?")));
    let path = request.path().to_owned();
    let call = Call { request: id.to_owned(), path, headers: headers.collect() };
    let mut state = engine.lock();
    state.calls.push(call);
    !state.cancelled.contains_key(id)
}

async fn run_prefill(http: HttpRequest, engine: Shared, call: web::Json<Prefill>) -> HttpResponse {
    if !record_call(&engine, &http, &call.request) {
        return HttpResponse::Gone().finish();
    }
    // A task of its own keeps running when the connection breaks, so that `POST /prefilled` can
    // find the result.
    let task = {
        let engine = engine.clone();
        actix_web::rt::spawn(async move { prefill::run(&engine, &call).await })
    };
    match task.await.ok().flatten() {
        Some(prefilled) => HttpResponse::Ok().json(prefilled),
        None => HttpResponse::Gone().finish(),
    }
}

async fn probe_prefill(engine: Shared, body: web::Json<RequestId>) -> HttpResponse {
    match engine.lock().prompts.get(&body.request) {
        Some(Prompt::Finished(prefilled)) => HttpResponse::Ok().json(prefilled),
        Some(Prompt::Pending) => HttpResponse::Accepted().finish(),
        None => HttpResponse::NotFound().finish(),
    }
}

async fn export_cache(engine: Shared, kv: web::Path<String>) -> HttpResponse {
    let Some(tokens) = engine.lock().exports.get(kv.as_str()).map(|export| export.tokens) else {
        return HttpResponse::NotFound().finish();
    };
    // Transfers share the link's bandwidth, so they run one at a time.
    let link = engine.link.lock().await;
    sleep(Duration::from_secs_f64(f64::from(tokens) / engine.config.link_rate)).await;
    drop(link);
    let mut state = engine.lock();
    let Some(export) = state.exports.remove(kv.as_str()) else {
        return HttpResponse::NotFound().finish();
    };
    state.prompts.remove(&export.request);
    drop(state);
    engine.changed.notify_waiters();
    HttpResponse::Ok().finish()
}

async fn start_decode(http: HttpRequest, engine: Shared, call: web::Json<Decode>) -> HttpResponse {
    if !record_call(&engine, &http, &call.request) {
        return HttpResponse::Gone().finish();
    }
    let engine = engine.into_inner();
    let (request, from) = (call.request.clone(), call.from);
    let task = {
        let engine = std::sync::Arc::clone(&engine);
        actix_web::rt::spawn(async move { decode::start(&engine, &call).await })
    };
    match task.await {
        Ok(Ok(())) => stream_response(&engine, &request, from),
        Ok(Err(decode::Refusal::NoCapacity)) => HttpResponse::ServiceUnavailable().finish(),
        Ok(Err(decode::Refusal::CacheMissing)) | Err(_) => HttpResponse::Gone().finish(),
    }
}

async fn resume_decode(engine: Shared, call: web::Json<Resume>) -> HttpResponse {
    stream_response(&engine.into_inner(), &call.request, call.from)
}

fn stream_response(engine: &std::sync::Arc<Engine>, request: &str, from: u32) -> HttpResponse {
    match decode::stream_lines(engine, request, from) {
        Some(lines) => HttpResponse::Ok().streaming(lines),
        None => HttpResponse::NotFound().finish(),
    }
}

async fn cancel_request(engine: Shared, body: web::Json<RequestId>) -> HttpResponse {
    engine.cancel(&body.request);
    HttpResponse::Ok().json(&*body)
}

async fn list_requests(engine: Shared) -> HttpResponse {
    let state = engine.lock();
    let held = state.prompts.keys().chain(state.running.keys()).cloned();
    HttpResponse::Ok().json(Requests { requests: held.collect() })
}

async fn report_load(engine: Shared) -> HttpResponse {
    HttpResponse::Ok().json(&engine.lock().report)
}

async fn list_cache_events(engine: Shared) -> HttpResponse {
    let state = engine.lock();
    let delivered =
        state.events.iter().enumerate().filter(|(index, _)| index % EVENT_LOSS_INTERVAL != 0);
    let due = delivered.filter(|(_, event)| event.recorded_at.elapsed() >= EVENT_LAG);
    let published: Vec<_> = due.map(|(index, event)| (index, event.text.clone())).collect();
    HttpResponse::Ok().json(published)
}

async fn apply_order(engine: Shared, order: web::Json<Order>) -> HttpResponse {
    let mut state = engine.lock();
    if engine.config.fenced && order.fence < state.fence {
        return HttpResponse::Conflict().json(state.fence);
    }
    state.fence = order.fence;
    HttpResponse::Ok().json(order.fence)
}

async fn report_stats(engine: Shared) -> HttpResponse {
    let state = engine.lock();
    HttpResponse::Ok().json(Stats {
        counts: state.counts.clone(),
        running: state.running.len(),
        prompts: state.prompts.len(),
        used_pieces: state.used_pieces(),
    })
}

async fn list_calls(engine: Shared) -> HttpResponse {
    HttpResponse::Ok().json(&engine.lock().calls)
}

async fn inject_fault(engine: Shared, fault: web::Json<Fault>) -> HttpResponse {
    let mut state = engine.lock();
    state.leaving = fault.leaving;
    let stall = Duration::from_millis(fault.stall_ms);
    state.stalled_until = Some(Instant::now() + stall);
    HttpResponse::Ok().finish()
}
