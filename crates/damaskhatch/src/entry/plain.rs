//! Forwards calls to plain services.
//!
//! A call that is not repeatable is sent to another upstream only if the failed one
//! cannot have run it. It also continues after its caller disconnects, so that a
//! repeat with the same idempotency key gets its response.

use std::collections::HashSet;

use actix_web::http::header::HeaderMap as CallerHeaders;
use actix_web::http::{Method, StatusCode};
use actix_web::{HttpRequest, HttpResponse, web};
use damaskhatch_exchange::{Head, HeaderMap};
use damaskhatch_policy::config::Snapshot;
use damaskhatch_policy::ending::Verdict;
use damaskhatch_policy::prelude::*;
use damaskhatch_policy::retry::{self, MAX_ATTEMPTS};
use damaskhatch_policy::route;
use damaskhatch_policy::sheet;
use damaskhatch_policy::strike::{self, Crash, Fingerprints, Strike};

use super::access::{Caller, authorize};
use super::charge::charge;
use super::closed::Closed;
use super::completion::upstream_name;
use super::hold::Charged;
use super::idempotency::{self, Response};
use super::openai::estimate_tokens;
use super::pool::{Pool, first_pause, usable_upstreams};
use super::refusal::Refusal;
use super::{Entry, read_body};
use crate::headers;
use crate::relay::candidates;
use crate::relay::permit::{self, Permit, Terms};
use crate::upstream::engine::Error;
use crate::upstream::plain;
use crate::upstream::statement::Run;

/// How long a call waits for a permit if all upstreams have used up their limits.
const PERMIT_PATIENCE: Duration = Duration::from_millis(250);

/// A call that is parsed and authorized.
#[derive(Debug)]
struct Work {
    request: Request,
    caller: Caller,
    service: Service,
    repeatable: bool,
    call: plain::Call,
    fingerprints: Fingerprints,
}

/// Handles `/services/NAME/...`.
pub async fn handle(
    request: HttpRequest,
    body: web::Payload,
    entry: web::Data<Entry>,
) -> HttpResponse {
    let id = entry.shared.next_request();
    let closed = Closed::watch(&request);
    let prepared = tokio::select! {
        prepared = prepare(&request, body, &entry, id) => prepared,
        () = closed.wait() => return entry.record_cancellation("plain", id),
    };
    let work = match prepared {
        Ok(work) => work,
        Err(refusal) => return entry.refuse(id, refusal),
    };
    let record =
        match idempotency::begin(&entry, &request, &work.caller, work.fingerprints.request).await {
            idempotency::Start::Run(record) => record,
            idempotency::Start::Replay(response) => return response.to_http(&entry.shared),
            idempotency::Start::Refused(refusal) => return entry.refuse(id, refusal),
        };
    let repeatable = work.repeatable;
    let task_entry = entry.clone();
    let task = actix_rt::spawn(async move {
        match run(&task_entry, &work).await {
            Ok(response) => {
                record.finish(response.clone());
                response.to_http(&task_entry.shared)
            }
            Err(refusal) => {
                task_entry.record_refusal(id, &refusal);
                if !record.allows_rerun(&refusal) {
                    let status = refusal.kind.answer().status;
                    record.finish(Response::json(status, &refusal.body(id), id));
                }
                refusal.response(id)
            }
        }
    });
    let abort = task.abort_handle();
    tokio::select! {
        response = task => {
            response.unwrap_or_else(|_aborted| entry.record_cancellation("plain", id))
        }
        () = closed.wait() => {
            // A call that is not repeatable runs to completion, so that a repeat gets its response.
            if repeatable {
                abort.abort();
            }
            entry.record_cancellation("plain", id)
        }
    }
}

/// Reads and authorizes a call and builds the request to the upstream.
async fn prepare(
    request: &HttpRequest,
    body: web::Payload,
    entry: &Entry,
    id: Request,
) -> Result<Work, Refusal> {
    let snapshot = entry.configuration()?;
    let name = request.match_info().get("name").unwrap_or("");
    let service = snapshot
        .service(Tag::of(name))
        .filter(|service| snapshot.services[*service].kind == Some(sheet::Kind::Plain))
        .ok_or(Refusal::from(Kind::UnknownService))?;
    let caller = authorize(request, &snapshot, service)?;
    let body = read_body(entry, body).await?;
    let target = upstream_target(request);
    Ok(Work {
        request: id,
        service,
        repeatable: snapshot.services[service].repeatable || is_safe_method(request.method()),
        fingerprints: Fingerprints::of_request(strike::fingerprint(
            caller.tag,
            &[target.as_bytes(), &body],
        )),
        call: plain::Call {
            method: request.method().clone(),
            target,
            headers: upstream_headers(request.headers(), &caller, id),
            body,
            timeout: Duration::from_millis(entry.shared.settings.limits.plain_timeout_ms),
        },
        caller,
    })
}

/// Whether HTTP defines the method as safe: it changes nothing, so it can be repeated.
const fn is_safe_method(method: &Method) -> bool {
    matches!(*method, Method::GET | Method::HEAD | Method::OPTIONS)
}

/// The path below `/services/NAME`, with the query.
fn upstream_target(request: &HttpRequest) -> String {
    let path = request.match_info().get("path").unwrap_or("");
    match request.query_string() {
        "" => format!("/{path}"),
        query => format!("/{path}?{query}"),
    }
}

/// The caller's headers without its credentials, with the request's id and the team's name.
fn upstream_headers(sent: &CallerHeaders, caller: &Caller, id: Request) -> HeaderMap {
    let mut kept = headers::to_upstream(sent, |name| {
        let is_secret = name == "cookie" || name.contains("api-key");
        is_secret || name == "host" || name.starts_with("x-damaskhatch")
    });
    headers::set(&mut kept, "x-request-id", &id.to_string());
    headers::set(&mut kept, "x-damaskhatch-team", &caller.name);
    kept
}

/// Charges the call, then attempts it until a response arrives or no retry is allowed.
async fn run(entry: &Entry, work: &Work) -> Result<Response, Refusal> {
    entry.check_quarantine(work.request, &work.fingerprints, false)?;
    let tokens = 1 + estimate_tokens(work.call.body.len());
    let mut charged = charge(entry, work.request, &work.caller, f64::from(tokens)).await?;
    entry.earn_retry();
    let mut may_have_run = false;
    let mut avoid = HashSet::new();
    // How the last attempt ended.
    let mut last = Refusal::from(Kind::NoUpstream);
    for attempt in 0..MAX_ATTEMPTS {
        entry.check_quarantine(work.request, &work.fingerprints, may_have_run)?;
        let snapshot = entry.shared.snapshot();
        if work.caller.is_withdrawn(&snapshot) {
            return Err(Refusal::from(Kind::KeyWithdrawn).with_may_have_run(may_have_run));
        }
        let chosen = choose_upstream(entry, &snapshot, work, &avoid, attempt).await;
        let (upstream, permit) =
            chosen.map_err(|refusal| refusal.with_may_have_run(may_have_run))?;
        // Spent once the upstream may get the call, so that none is spent in vain.
        if attempt > 0 && !entry.spend_retry() {
            return Err(last.with_may_have_run(may_have_run));
        }
        let _entered = entry.in_flight.enter(upstream);
        entry.outliers().begin_attempt(upstream, Instant::now());
        let address = snapshot.upstream(upstream).map(|u| snapshot.upstreams[u].address.clone());
        let sent_at = Instant::now();
        let address = address.unwrap_or_default();
        permit.spend();
        let name = upstream_name(&snapshot, upstream);
        let run = Run { name: &name, tag: upstream, started_ms: 0 };
        let learn = |head: &Head| {
            entry.hear(run, sent_at, (head.status, &head.headers));
        };
        let memory = &entry.shared.memory.responses;
        let called = plain::call(&address, &work.call, work.request, memory, learn).await;
        let error = match called {
            Ok((response, verdict)) => {
                record_response(entry, upstream, response.status, verdict);
                spend_all(&mut charged);
                entry.shared.metrics.requests.with_label_values(&["plain", "answered"]).inc();
                if verdict == Verdict::Complete {
                    entry.report_served(&work.fingerprints, upstream);
                }
                return Ok(response);
            }
            Err(error) => error,
        };
        let reach = error.reach();
        may_have_run |= reach == retry::Reach::MayHaveRun;
        if may_have_run {
            spend_all(&mut charged);
        }
        let failed = Failed { upstream, attempt, error, sent_at };
        record_failure(entry, work, &failed, &snapshot).await;
        avoid.insert(upstream);
        last = refusal_for(error);
        if !retry::is_safe(reach, work.repeatable) {
            return Err(last.with_may_have_run(may_have_run));
        }
    }
    Err(Refusal::from(Kind::NoUpstream).with_may_have_run(may_have_run))
}

/// Records what a response says about whether its upstream serves.
fn record_response(entry: &Entry, upstream: Tag, status: StatusCode, verdict: Verdict) {
    if status == StatusCode::SERVICE_UNAVAILABLE {
        entry.outliers().record_decline(upstream, Instant::now());
    } else if verdict == Verdict::Complete && !status.is_server_error() {
        entry.outliers().record_success(upstream);
    }
}

/// Marks every charged token as used, so that none is credited back.
fn spend_all(charged: &mut Option<Charged>) {
    if let Some(charged) = charged {
        charged.unused = 0.0;
    }
}

/// Chooses an upstream in this host's domain, or in another if this one has no usable upstream, and
/// obtains the permit for the call.
///
/// Upstreams whose limit is used up are left to others; if all are, the call waits for a permit of
/// one of them for [`PERMIT_PATIENCE`].
async fn choose_upstream(
    entry: &Entry,
    snapshot: &Snapshot,
    work: &Work,
    avoid: &HashSet<Tag>,
    attempt: u32,
) -> Result<(Tag, Permit), Refusal> {
    let mut held_back = avoid.clone();
    let mut soonest: Option<Duration> = None;
    let terms = Terms { team: work.caller.tag, priority: 0, patience: Duration::ZERO };
    let mut first = None;
    while let Some(pool) = usable_upstreams(entry, snapshot, work.service, &held_back) {
        let Pool { upstreams, reason } = pool;
        let chosen = route::choose_plain(&upstreams, &entry.in_flight.snapshot(), &mut rand::rng());
        let Some(chosen) = chosen else { break };
        first.get_or_insert((chosen, reason));
        match permit::acquire(entry, (chosen, 0), terms).await {
            Ok(permit) => {
                log_route(entry, snapshot, work, (chosen, reason), attempt);
                return Ok((chosen, permit));
            }
            Err(wait) => soonest = Some(soonest.map_or(wait, |soonest| soonest.min(wait))),
        }
        held_back.insert(chosen);
    }
    let (Some((chosen, reason)), Some(soonest)) = (first, soonest) else {
        let refusal = first_pause(entry, snapshot, work.service, avoid).map(|until| {
            Refusal::after(Kind::Overloaded, candidates::retry_after(until, Instant::now()))
        });
        return Err(refusal.unwrap_or(Kind::NoUpstream.into()));
    };
    let terms = Terms { patience: PERMIT_PATIENCE, ..terms };
    match permit::acquire(entry, (chosen, 0), terms).await {
        Ok(permit) => {
            log_route(entry, snapshot, work, (chosen, reason), attempt);
            Ok((chosen, permit))
        }
        Err(wait) => Err(Refusal::after(Kind::Overloaded, wait.min(soonest))),
    }
}

/// Logs the chosen upstream.
fn log_route(
    entry: &Entry,
    snapshot: &Snapshot,
    work: &Work,
    (chosen, reason): (Tag, &str),
    attempt: u32,
) {
    let (team, service) = (&work.caller.name, &snapshot.services[work.service].name);
    let name = upstream_name(snapshot, chosen);
    entry.shared.journal.record(
        work.request,
        format_args!(
            "event=route team={team} service={service} upstream={chosen}:{name} \
             reason={reason} attempt={attempt}"
        ),
    );
}

/// A failed attempt at a call.
#[derive(Debug, Clone, Copy)]
struct Failed {
    upstream: Tag,
    /// The number of attempts made before.
    attempt: u32,
    error: Error,
    sent_at: Instant,
}

/// Logs and counts a failed attempt, and reports a strike if it crashed the upstream.
async fn record_failure(entry: &Entry, work: &Work, failed: &Failed, snapshot: &Snapshot) {
    let Failed { upstream, attempt, error, sent_at } = *failed;
    let broke_at = Instant::now();
    entry.shared.journal.record(
        work.request,
        format_args!("event=attempt_failed attempt={attempt} upstream={upstream} reason={error:?}"),
    );
    entry.shared.metrics.retries.with_label_values(&[&format!("{error:?}")]).inc();
    match error {
        Error::Declined => entry.outliers().record_decline(upstream, broke_at),
        _ => entry.outliers().record_failure(upstream, broke_at),
    }
    let Some(index) = snapshot.upstream(upstream) else {
        return;
    };
    // The end of an upstream that was leaving says nothing about its requests.
    if error == Error::Broken
        && !entry.shared.hosts().leaving_upstreams(broke_at).contains(&upstream)
        && plain::is_dead(&snapshot.upstreams[index].address).await
    {
        let crash = Crash { upstream, started_ms: 0, name: upstream_name(snapshot, upstream) };
        let strikes = Strike::all(&work.fingerprints, &crash, sent_at, broke_at);
        entry.report_strikes(strikes, broke_at).await;
    }
}

/// Maps the error of the last attempt to a refusal.
fn refusal_for(error: Error) -> Refusal {
    match error {
        Error::Connect | Error::Refused => Kind::NoUpstream.into(),
        Error::Declined => Kind::UpstreamRefused.into(),
        Error::Silent => Kind::UpstreamTimeout.into(),
        _ => Kind::UpstreamFailed.into(),
    }
}
