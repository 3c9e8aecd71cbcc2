//! The callers' HTTP interface, run by the traffic threads.

pub mod access;
pub mod charge;
pub mod closed;
pub mod completion;
pub mod generate;
pub mod hold;
pub mod idempotency;
pub mod openai;
pub mod place;
pub mod plain;
pub mod refusal;
pub mod stream;

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use actix_web::{HttpRequest, HttpResponse, web};
use damaskhatch_policy::backlog::Backlog;
use damaskhatch_policy::length::Forecast;
use damaskhatch_policy::outlier::Outliers;
use damaskhatch_policy::placement::Known;
use damaskhatch_policy::prelude::*;
use damaskhatch_policy::retry::{self, Budget};
use serde_json::json;

use crate::control::Control;
use crate::shared::Shared;
use hold::InFlight;
use openai::Style;
use refusal::Refusal;

/// What handlers need.
#[derive(Debug, Clone)]
pub struct Entry {
    /// What every part of the host may read.
    pub shared: Shared,
    /// The control actors.
    pub control: Control,
    /// Requests in flight at each upstream.
    pub in_flight: InFlight,
    /// The host's retry budget.
    pub budget: Arc<Mutex<Budget>>,
    /// Upstreams of routed services that failed lately.
    pub outliers: Arc<Mutex<Outliers>>,
    /// What was learned of routed services.
    pub learned: Arc<Mutex<HashMap<Service, Learned>>>,
    /// Answers to requests that named an idempotency key.
    pub responses: idempotency::Answers,
}

/// What a host has learned of a routed service, mostly from its answers.
#[derive(Debug)]
pub struct Learned {
    /// The retry budget.
    pub budget: Budget,
    /// The lengths of answers, if it is a model.
    pub lengths: Forecast,
    /// The backlog, if it is plain.
    pub backlog: Backlog,
}

impl Default for Learned {
    fn default() -> Self {
        Self {
            budget: Budget::new(&retry::SERVICE, Instant::now()),
            lengths: Forecast::default(),
            backlog: Backlog::default(),
        }
    }
}

impl Entry {
    /// Makes the state that all traffic threads share.
    pub fn new(shared: Shared, control: Control) -> Self {
        let budget = Arc::new(Mutex::new(Budget::new(&retry::HOST, Instant::now())));
        let responses = idempotency::Answers::default();
        Self {
            shared,
            control,
            in_flight: InFlight::default(),
            budget,
            outliers: Arc::default(),
            learned: Arc::default(),
            responses,
        }
    }

    /// Earns a part of a retry for a new request.
    pub fn earn_retry(&self) {
        lock(&self.budget).earn();
    }

    /// Takes one retry from the host's budget, or returns false when it is spent.
    pub fn spend_retry(&self) -> bool {
        lock(&self.budget).spend(Instant::now())
    }

    /// Earns a part of a retry for a new request to a routed service.
    pub fn earn_service_retry(&self, service: Service) {
        self.with_learned(service, |learned| learned.budget.earn());
    }

    /// Takes one retry from a routed service's budget, or returns false when it is spent.
    pub fn spend_service_retry(&self, service: Service) -> bool {
        self.with_learned(service, |learned| learned.budget.spend(Instant::now()))
    }

    /// Reads or changes what this host has learned of a routed service.
    pub fn with_learned<T>(&self, service: Service, act: impl FnOnce(&mut Learned) -> T) -> T {
        let mut learned = self.learned.lock().unwrap_or_else(PoisonError::into_inner);
        act(learned.entry(service).or_default())
    }

    /// Upstreams of routed services that failed lately.
    pub fn outliers(&self) -> MutexGuard<'_, Outliers> {
        self.outliers.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// The load of registered upstreams, by this host's own work and what peers said of theirs.
    pub fn known_loads(&self) -> Known {
        let mut known = self.shared.loads.snapshot();
        let now = Instant::now();
        let hosts = self.shared.hosts();
        for member in hosts.members().filter(|member| member.is_alive(now)) {
            for (upstream, load) in &member.record.loads {
                known.entry(*upstream).or_default().add(*load);
            }
        }
        known
    }

    /// The names of headers on routes.
    pub fn header_names(&self) -> &'static crate::relay::dialect::Headers {
        &self.shared.deployment.dialect.headers
    }

    /// Logs, counts and answers a refusal.
    pub fn refuse(&self, request: Request, refusal: Refusal) -> HttpResponse {
        self.record_refusal(request, &refusal);
        refusal.response(request)
    }

    /// Logs and counts a request whose caller has closed.
    pub fn record_cancellation(&self, kind: &str, request: Request) -> HttpResponse {
        self.shared.journal.record(request, format_args!("event=cancelled reason=caller_closed"));
        self.shared.metrics.requests.with_label_values(&[kind, "cancelled"]).inc();
        // Nobody reads this; the server needs something to end the exchange with.
        HttpResponse::BadRequest().finish()
    }

    /// Logs and counts a refusal.
    pub fn record_refusal(&self, request: Request, refusal: &Refusal) {
        let Refusal { kind, retry_after, .. } = refusal;
        let retry = retry_after.map_or(0, |wait| wait.as_millis());
        let outcome = refusal.outcome();
        self.shared.journal.record(
            request,
            format_args!(
                "event=refused reason={kind:?} outcome={outcome:?} retry_after_ms={retry}"
            ),
        );
        self.shared.metrics.refusals.with_label_values(&[&format!("{kind:?}")]).inc();
    }
}

fn lock(budget: &Mutex<Budget>) -> std::sync::MutexGuard<'_, Budget> {
    budget.lock().unwrap_or_else(std::sync::PoisonError::into_inner)
}

/// Adds the callers' routes.
pub fn configure(config: &mut web::ServiceConfig) {
    config
        .route("/v1/completions", web::post().to(text))
        .route("/v1/chat/completions", web::post().to(chat))
        .route("/v1/models", web::get().to(models))
        .route("/services/{name}", web::route().to(plain::handle))
        .route("/services/{name}/{path:.*}", web::route().to(plain::handle))
        .default_service(web::route().to(unknown));
}

async fn text(request: HttpRequest, body: web::Payload, entry: web::Data<Entry>) -> HttpResponse {
    completion::handle(Style::Text, &request, body, &entry).await
}

async fn chat(request: HttpRequest, body: web::Payload, entry: web::Data<Entry>) -> HttpResponse {
    completion::handle(Style::Chat, &request, body, &entry).await
}

async fn unknown(entry: web::Data<Entry>) -> HttpResponse {
    entry.refuse(entry.shared.next_request(), Kind::UnknownService.into())
}

/// Lists the models that the caller's team may use.
async fn models(request: HttpRequest, entry: web::Data<Entry>) -> HttpResponse {
    let snapshot = entry.shared.snapshot();
    let caller =
        access::key_digest(&request).and_then(|digest| access::identify(&snapshot, digest));
    let caller = match caller {
        Ok(caller) => caller,
        Err(refusal) => return entry.refuse(entry.shared.next_request(), refusal),
    };
    let usable = snapshot.services.iter().filter(|(service, item)| {
        let granted = caller.team.is_some_and(|team| snapshot.is_granted(team, *service));
        crate::control::scheduling::is_model(item.kind) && (granted || item.open)
    });
    let data: Vec<_> =
        usable.map(|(_, item)| json!({ "id": item.name, "object": "model" })).collect();
    HttpResponse::Ok().json(json!({ "object": "list", "data": data }))
}

/// Reads a request body up to the limit.
pub async fn read_body(entry: &Entry, body: web::Payload) -> Result<web::Bytes, Refusal> {
    let limit = entry.shared.settings.limits.max_body_bytes as usize;
    match body.to_bytes_limited(limit).await {
        Ok(Ok(bytes)) => Ok(bytes),
        Ok(Err(_broken)) => Err(Kind::Malformed.into()),
        Err(_too_long) => Err(Kind::TooLarge.into()),
    }
}
