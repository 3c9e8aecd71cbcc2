//! The engine's HTTP interface, and what tests may ask of it.

use std::time::Duration;

use actix_web::{HttpRequest, HttpResponse, web};
use damaskhatch::upstream::message::{Decode, Prefill, RequestId, Requests, Resume};
use serde::{Deserialize, Serialize};
use tokio::time::{Instant, sleep};

use super::state::{Counts, Engine, Prompt, Seen};
use super::{decode, prefill};

type Shared = web::Data<Engine>;

/// What tests judge an engine by.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Stats {
    /// Its counts.
    pub counts: Counts,
    /// Requests that decode or wait to.
    pub running: usize,
    /// Prompts that wait, run or are exported.
    pub prompts: usize,
    /// Memory pieces in use.
    pub used_pieces: u32,
}

/// An order to load a model or change role.
#[derive(Debug, Deserialize)]
struct Order {
    fence: u64,
}

/// A fault that a test injects.
#[derive(Debug, Deserialize)]
struct Fault {
    #[serde(default)]
    leaving: bool,
    #[serde(default)]
    stall_ms: u64,
}

/// The largest request body, in bytes.
const MAX_BODY_BYTES: usize = 64 << 20;
/// How late cache events are published.
const EVENT_LAG: Duration = Duration::from_millis(200);
/// Every so many cache events one is lost.
const EVENT_LOSS: usize = 10;

/// Adds the routes.
pub fn configure(config: &mut web::ServiceConfig) {
    config
        .app_data(web::JsonConfig::default().limit(MAX_BODY_BYTES))
        .route("/prefill", web::post().to(run_prefill))
        .route("/prefilled", web::post().to(prefilled))
        .route("/kv/{kv}", web::get().to(export))
        .route("/decode", web::post().to(start_decode))
        .route("/resume", web::post().to(resume))
        .route("/cancel", web::post().to(cancel))
        .route("/requests", web::get().to(requests))
        .route("/load", web::get().to(load))
        .route("/events", web::get().to(events))
        .route("/order", web::post().to(order))
        .route("/test/stats", web::get().to(stats))
        .route("/test/seen", web::get().to(seen))
        .route("/test/fault", web::post().to(fault));
}

fn note(engine: &Engine, request: &HttpRequest, id: &str) -> bool {
    let headers = request.headers().iter();
    let headers = headers.map(|(name, value)| format!("{name}: {}", value.to_str().unwrap_or("?")));
    let path = request.path().to_owned();
    let seen = Seen { request: id.to_owned(), path, headers: headers.collect() };
    let mut state = engine.lock();
    state.seen.push(seen);
    !state.cancelled.contains_key(id)
}

async fn run_prefill(http: HttpRequest, engine: Shared, call: web::Json<Prefill>) -> HttpResponse {
    if !note(&engine, &http, &call.request) {
        return HttpResponse::Gone().finish();
    }
    // The prompt runs on when the connection breaks, so that it can be probed for.
    let task = {
        let engine = engine.clone();
        actix_web::rt::spawn(async move { prefill::run(&engine, &call).await })
    };
    match task.await.ok().flatten() {
        Some(prefilled) => HttpResponse::Ok().json(prefilled),
        None => HttpResponse::Gone().finish(),
    }
}

async fn prefilled(engine: Shared, body: web::Json<RequestId>) -> HttpResponse {
    match engine.lock().prompts.get(&body.request) {
        Some(Prompt::Finished(prefilled)) => HttpResponse::Ok().json(prefilled),
        Some(Prompt::Open) => HttpResponse::Accepted().finish(),
        None => HttpResponse::NotFound().finish(),
    }
}

async fn export(engine: Shared, kv: web::Path<String>) -> HttpResponse {
    let Some(tokens) = engine.lock().exports.get(kv.as_str()).map(|export| export.tokens) else {
        return HttpResponse::NotFound().finish();
    };
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
    if !note(&engine, &http, &call.request) {
        return HttpResponse::Gone().finish();
    }
    let engine = engine.into_inner();
    let (request, from) = (call.request.clone(), call.from);
    let task = {
        let engine = std::sync::Arc::clone(&engine);
        actix_web::rt::spawn(async move { decode::start(&engine, &call).await })
    };
    match task.await {
        Ok(Ok(())) => stream(&engine, &request, from),
        Ok(Err(decode::Refused::Full)) => HttpResponse::ServiceUnavailable().finish(),
        Ok(Err(decode::Refused::NoCache)) | Err(_) => HttpResponse::Gone().finish(),
    }
}

async fn resume(engine: Shared, call: web::Json<Resume>) -> HttpResponse {
    stream(&engine.into_inner(), &call.request, call.from)
}

fn stream(engine: &std::sync::Arc<Engine>, request: &str, from: u32) -> HttpResponse {
    match decode::lines(engine, request, from) {
        Some(lines) => HttpResponse::Ok().streaming(lines),
        None => HttpResponse::NotFound().finish(),
    }
}

async fn cancel(engine: Shared, body: web::Json<RequestId>) -> HttpResponse {
    engine.cancel(&body.request);
    HttpResponse::Ok().json(&*body)
}

async fn requests(engine: Shared) -> HttpResponse {
    let state = engine.lock();
    let held = state.prompts.keys().chain(state.running.keys()).cloned();
    HttpResponse::Ok().json(Requests { requests: held.collect() })
}

async fn load(engine: Shared) -> HttpResponse {
    HttpResponse::Ok().json(&engine.lock().report)
}

async fn events(engine: Shared) -> HttpResponse {
    let state = engine.lock();
    let kept = state.events.iter().enumerate().filter(|(index, _)| index % EVENT_LOSS != 0);
    let late = kept.filter(|(_, event)| event.at.elapsed() >= EVENT_LAG);
    let kept: Vec<_> = late.map(|(index, event)| (index, event.text.clone())).collect();
    HttpResponse::Ok().json(kept)
}

async fn order(engine: Shared, order: web::Json<Order>) -> HttpResponse {
    let mut state = engine.lock();
    if engine.config.fenced && order.fence < state.fence {
        return HttpResponse::Conflict().json(state.fence);
    }
    state.fence = order.fence;
    HttpResponse::Ok().json(order.fence)
}

async fn stats(engine: Shared) -> HttpResponse {
    let state = engine.lock();
    HttpResponse::Ok().json(Stats {
        counts: state.counts.clone(),
        running: state.running.len(),
        prompts: state.prompts.len(),
        used_pieces: state.used_pieces(),
    })
}

async fn seen(engine: Shared) -> HttpResponse {
    HttpResponse::Ok().json(&engine.lock().seen)
}

async fn fault(engine: Shared, fault: web::Json<Fault>) -> HttpResponse {
    let mut state = engine.lock();
    state.leaving = fault.leaving;
    let stall = Duration::from_millis(fault.stall_ms);
    state.stalled_until = Some(Instant::now() + stall);
    HttpResponse::Ok().finish()
}
