//! The HTTP interface for callers, served by the traffic threads.

pub mod access;
pub mod blocks;
pub mod body;
pub mod charge;
pub mod closed;
pub mod closing;
pub mod completion;
pub mod gate;
pub mod generate;
pub mod hold;
pub mod idempotency;
pub mod openai;
pub mod place;
pub mod plain;
mod pool;
pub mod refusal;
pub mod refuser;
pub mod stream;
pub mod unread;

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use actix_web::http::ConnectionType;
use actix_web::{HttpRequest, HttpResponse, web};
use damaskhatch_exchange::memory::Buffer;
use damaskhatch_exchange::{self as exchange, Framing, HeaderMap, StatusCode};
use damaskhatch_policy::availability::Statement;
use damaskhatch_policy::backlog::Backlog;
use damaskhatch_policy::config::Snapshot;
use damaskhatch_policy::contest::Contest;
use damaskhatch_policy::ending::Verdict;
use damaskhatch_policy::length::Forecast;
use damaskhatch_policy::outlier::Outliers;
use damaskhatch_policy::pace;
use damaskhatch_policy::placement::Loads;
use damaskhatch_policy::prelude::*;
use damaskhatch_policy::retry::{self, Budget};
use damaskhatch_policy::strike::trial::Trials;
use damaskhatch_policy::strike::{Fingerprints, Quarantine, Strike};
use futures_util::StreamExt as _;
use serde_json::json;
use tokio::time::timeout_at;

use crate::clock::boot_time;
use crate::control::Control;
use crate::control::strikes::{Record, Served};
use crate::relay::request::Routed;
use crate::shared::Shared;
use crate::upstream::statement::{self, Run};
use hold::InFlight;
use openai::Style;
use refusal::Refusal;

/// The state that the request handlers of all traffic threads share.
#[derive(Debug, Clone)]
pub struct Entry {
    /// The state that all parts of the host share.
    pub shared: Shared,
    /// The control actors.
    pub control: Control,
    /// This host's requests in flight at each upstream.
    pub in_flight: InFlight,
    /// The host's retry budget for all its upstreams.
    pub budget: Arc<Mutex<Budget>>,
    /// Outlier detection for the upstreams of routed services.
    pub outliers: Arc<Mutex<Outliers>>,
    /// The statistics and retry budget of each routed service.
    pub learned: Arc<Mutex<HashMap<Service, Learned>>>,
    /// The recorded responses to requests with an idempotency key.
    pub responses: idempotency::Responses,
    /// The quarantined requests that run on trial.
    pub trials: Arc<Mutex<Trials>>,
}

/// A host's retry budget and statistics for a routed service, mostly from its responses.
#[derive(Debug)]
pub struct Learned {
    /// The retry budget of the service on this host.
    pub budget: Budget,
    /// The response lengths, used if the service is a model.
    pub lengths: Forecast,
    /// The backlog, used if the service is plain.
    pub backlog: Backlog,
    /// The order of the requests that wait for room, used if the service is a model.
    pub contest: Contest,
}

impl Default for Learned {
    fn default() -> Self {
        Self {
            budget: Budget::new(&retry::SERVICE, Instant::now()),
            lengths: Forecast::default(),
            backlog: Backlog::default(),
            contest: Contest::default(),
        }
    }
}

impl Entry {
    /// Creates the state of a host that has served no request yet.
    pub fn new(shared: Shared, control: Control) -> Self {
        let budget = Arc::new(Mutex::new(Budget::new(&retry::HOST, Instant::now())));
        let responses = idempotency::Responses::default();
        Self {
            shared,
            control,
            in_flight: InFlight::default(),
            budget,
            outliers: Arc::default(),
            learned: Arc::default(),
            responses,
            trials: Arc::default(),
        }
    }

    /// Earns a fraction of a retry in the host's budget for a new request.
    pub fn earn_retry(&self) {
        lock(&self.budget).earn();
    }

    /// Spends one retry of the host's budget; returns false if less than one is available.
    pub fn spend_retry(&self) -> bool {
        lock(&self.budget).spend(Instant::now())
    }

    /// Earns a fraction of a retry in a routed service's budget for a new request.
    pub fn earn_service_retry(&self, service: Service) {
        self.with_learned(service, |learned| learned.budget.earn());
    }

    /// Spends one retry of a routed service's budget; returns false if less than one is
    /// available.
    ///
    /// The last part is left to the most urgent requests of the service.
    pub fn spend_service_retry(&self, routed: &Routed) -> bool {
        let rank = routed.rank(&self.shared.snapshot());
        self.with_learned(routed.service, |learned| learned.budget.spend_as(rank, Instant::now()))
    }

    /// Calls `act` with the budget and statistics of a routed service, under their lock.
    pub fn with_learned<T>(&self, service: Service, act: impl FnOnce(&mut Learned) -> T) -> T {
        let mut learned = self.learned.lock().unwrap_or_else(PoisonError::into_inner);
        act(learned.entry(service).or_default())
    }

    /// Refuses a request that has crashed several upstreams, on every path to an upstream.
    ///
    /// Otherwise returns the upstream whose crash the request is suspected of, if any. The
    /// refusal says that the request did not run only if no attempt of it may have run.
    pub fn check_quarantine(
        &self,
        label: impl std::fmt::Display,
        fingerprints: &Fingerprints,
        may_have_run: bool,
    ) -> Result<Option<Tag>, Refusal> {
        let ledger = self.shared.strike_ledger();
        if !fingerprints.all().any(|own| ledger.is_struck(own)) {
            return Ok(None);
        }
        let now = Instant::now();
        let quarantines = ledger.quarantines_of(fingerprints, now);
        if quarantines.is_empty() {
            return Ok(ledger.suspected_crash(fingerprints.request));
        }
        let request = Tag::of(&format!("{label} {}", fingerprints.request));
        let rank_for = |fingerprint| self.shared.rank_for(fingerprint, now);
        let admitted = self.trials().admit_all(quarantines, rank_for, request, now);
        let Err((quarantine, left)) = admitted else {
            self.shared.journal.record(label, format_args!("event=on_trial"));
            return Ok(ledger.suspected_crash(fingerprints.request));
        };
        let Quarantine { fingerprint, crashed, trial, .. } = quarantine;
        self.shared.journal.record(
            label,
            format_args!(
                "event=quarantined fingerprint={fingerprint} crashed={} left_s={} has_trial={}",
                crashed.join(","),
                left.as_secs(),
                trial.is_some()
            ),
        );
        Err(if may_have_run {
            Refusal::from(Kind::UpstreamFailed).with_may_have_run(true)
        } else {
            Refusal::after(Kind::Quarantined, left)
        })
    }

    /// Locks the trials of quarantined requests.
    fn trials(&self) -> MutexGuard<'_, Trials> {
        self.trials.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Reports a crash of an upstream under a request; returns once every thread knows of it.
    pub async fn report_strikes(&self, strikes: Vec<Strike>, crashed_at: Instant) {
        let fingerprint = strikes.first().map_or(Tag(0), |strike| strike.fingerprint);
        if let Err(error) = self.control.strikes.send(Record { strikes, crashed_at }).await {
            log::warn!("event=strike_lost fingerprint={fingerprint} error={error}");
        }
    }

    /// Reports a complete response, which clears the request and the parts of its prompt of their
    /// strikes if they have any, and is evidence for them if they get some later.
    pub fn report_served(&self, fingerprints: &Fingerprints, upstream: Tag) {
        let fingerprints = fingerprints.clone();
        self.control.strikes.do_send(Served { fingerprints, upstream });
    }

    /// Takes into account what a response says of its upstream, and returns that.
    pub fn hear(
        &self,
        run: Run<'_>,
        sent_at: Instant,
        response: (StatusCode, &HeaderMap),
    ) -> Statement {
        statement::hear(&self.shared, &self.control.limits, run, sent_at, response)
    }

    /// Counts the end of a response's body.
    pub fn count_end(&self, framing: Framing, verdict: Verdict) {
        let labels = [framing.to_string(), verdict.name().to_owned()];
        self.shared.metrics.bodies.with_label_values(&labels).inc();
    }

    /// Locks the outlier detection for the upstreams of routed services.
    pub fn outliers(&self) -> MutexGuard<'_, Outliers> {
        self.outliers.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// The load of each registered upstream: this host's requests and those that live peers
    /// report.
    pub fn known_loads(&self) -> Loads {
        let mut loads = self.shared.loads.snapshot();
        let now = Instant::now();
        let hosts = self.shared.hosts();
        for member in hosts.members().filter(|member| member.is_alive(now)) {
            for (upstream, load) in &member.record.loads {
                loads.entry(*upstream).or_default().add(*load);
            }
        }
        loads
    }

    /// The header names of the deployment's dialect, for calls to routed services.
    pub fn header_names(&self) -> &'static crate::relay::dialect::Headers {
        &self.shared.deployment.dialect.headers
    }

    /// Logs and counts a refusal, and returns the response to it.
    pub fn refuse(&self, request: Request, refusal: Refusal) -> HttpResponse {
        let refusal = self.defer_if_behind(refusal);
        self.record_refusal(request, &refusal);
        refusal.response(request)
    }

    /// Asks the caller to come back where this host knows that a newer configuration, which may allow
    /// the request, is on its way.
    pub fn defer_if_behind(&self, refusal: Refusal) -> Refusal {
        if refusal.kind.depends_on_revision() && self.shared.is_behind_peer() {
            return Refusal::after(Kind::Unavailable, BEHIND_RETRY_AFTER);
        }
        refusal
    }

    /// The configuration in force; without one, asks the caller to come back when there should be one.
    pub fn configuration(&self) -> Result<Arc<Snapshot>, Refusal> {
        let snapshot = self.shared.snapshot();
        if snapshot.revision > 0 {
            return Ok(snapshot);
        }
        if self.shared.is_behind_peer() {
            return Err(Refusal::after(Kind::Unavailable, BEHIND_RETRY_AFTER));
        }
        let held_until = *self.shared.held_until.borrow();
        let wait = held_until.map(|until| until.since(boot_time())).filter(|wait| !wait.is_zero());
        Err(wait.map_or(Kind::Unavailable.into(), |wait| Refusal::after(Kind::Unavailable, wait)))
    }

    /// Logs and counts a request whose caller has closed its connection.
    ///
    /// `kind` is the value of the metric's `kind` label.
    pub fn record_cancellation(&self, kind: &str, request: Request) -> HttpResponse {
        self.shared.journal.record(request, format_args!("event=cancelled reason=caller_closed"));
        self.shared.metrics.requests.with_label_values(&[kind, "cancelled"]).inc();
        // The connection is closed, but the server needs a response to end the exchange.
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

/// Retry delay for a caller that a newer configuration may allow; another host may have it already.
const BEHIND_RETRY_AFTER: Duration = Duration::from_millis(300);

fn lock(budget: &Mutex<Budget>) -> std::sync::MutexGuard<'_, Budget> {
    budget.lock().unwrap_or_else(std::sync::PoisonError::into_inner)
}

/// Registers the handlers of the callers' paths.
pub fn configure(config: &mut web::ServiceConfig) {
    config
        .route("/v1/completions", web::post().to(completions))
        .route("/v1/chat/completions", web::post().to(chat_completions))
        .route("/v1/models", web::get().to(list_models))
        .route("/services/{name}", web::route().to(plain_service))
        .route("/services/{name}/{path:.*}", web::route().to(plain_service))
        .default_service(web::route().to(refuse_unknown_path));
}

async fn completions(
    request: HttpRequest,
    body: web::Payload,
    entry: web::Data<Entry>,
) -> HttpResponse {
    end_at_stop(&entry, completion::handle(Style::Text, &request, body, &entry)).await
}

async fn chat_completions(
    request: HttpRequest,
    body: web::Payload,
    entry: web::Data<Entry>,
) -> HttpResponse {
    end_at_stop(&entry, completion::handle(Style::Chat, &request, body, &entry)).await
}

async fn plain_service(
    request: HttpRequest,
    body: web::Payload,
    entry: web::Data<Entry>,
) -> HttpResponse {
    end_at_stop(&entry, plain::handle(request, body, entry.clone())).await
}

/// Responds for a handler that is not done when this host must have stopped.
fn end_at_stop(
    entry: &Entry,
    handled: impl Future<Output = HttpResponse>,
) -> impl Future<Output = HttpResponse> {
    let handled = Box::pin(handled);
    async move {
        let mut response = tokio::select! {
            response = handled => response,
            () = entry.shared.stop.wait() => {
                entry.refuse(entry.shared.next_request(), refusal::at_stop())
            }
        };
        close_if_draining(entry, &mut response);
        response
    }
}

/// Has the caller open a new connection, which reaches a host that is not draining.
pub fn close_if_draining(entry: &Entry, response: &mut HttpResponse) {
    if entry.shared.is_draining() {
        response.head_mut().set_connection_type(ConnectionType::Close);
    }
}

async fn refuse_unknown_path(entry: web::Data<Entry>) -> HttpResponse {
    entry.refuse(entry.shared.next_request(), Kind::UnknownService.into())
}

/// Lists the models that the caller's team may use, which include the open ones.
async fn list_models(request: HttpRequest, entry: web::Data<Entry>) -> HttpResponse {
    let identified = entry.configuration().and_then(|snapshot| {
        let caller = access::identify(&snapshot, access::key_digest(&request)?)?;
        Ok((snapshot, caller))
    });
    let (snapshot, caller) = match identified {
        Ok(identified) => identified,
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

/// Reads a request body of at most `max_body_bytes`, as far as the host's memory allows.
///
/// A body that comes too slowly is refused; see [`pace`].
pub async fn read_body(entry: &Entry, mut body: web::Payload) -> Result<web::Bytes, Refusal> {
    let limit = entry.shared.settings.limits.max_body_bytes as usize;
    let mut buffer = Buffer::new(&entry.shared.memory.requests, limit);
    let grace = Duration::from_millis(entry.shared.settings.limits.body_grace_ms);
    let (started_at, mut received) = (Instant::now(), 0);
    loop {
        let end = started_at + pace::time_for(received, grace);
        let next = timeout_at(end, body.next()).await.map_err(|_elapsed| Kind::TooSlow)?;
        let Some(chunk) = next else { return Ok(buffer.freeze()) };
        let chunk = chunk.map_err(|_payload_error| Refusal::from(Kind::Malformed))?;
        received += chunk.len();
        buffer.push(&chunk).map_err(|error| match error {
            exchange::Error::TooLong(_) => Refusal::from(Kind::TooLarge),
            _ => Refusal::after(Kind::Overloaded, MEMORY_RETRY_AFTER),
        })?;
    }
}

/// Retry delay for a caller whose body does not fit beside those of others.
const MEMORY_RETRY_AFTER: Duration = Duration::from_millis(500);
