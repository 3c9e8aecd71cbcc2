//! Serves completions: checks and charges a request, runs its attempts and sends the response.

use actix_web::{HttpRequest, HttpResponse, web};
use damaskhatch_policy::config::Snapshot;
use damaskhatch_policy::prelude::*;
use damaskhatch_policy::retry::{self, MAX_ATTEMPTS};
use damaskhatch_policy::schedule::message::Demand;
use damaskhatch_policy::strike::{self, Crash, Fingerprints, Strike};
use tokio::sync::mpsc;

use super::access::{Caller, authorize};
use super::blocks::{hash_blocks, shared_blocks};
use super::body;
use super::charge::charge;
use super::closed::Closed;
use super::generate::{self, Done, Failure, Job};
use super::hold::Charged;
use super::idempotency;
use super::openai::{self, Completion, Style};
use super::place::{HeldBack, acquire, acquire_permits, find_unavailable};
use super::refusal::Refusal;
use super::stream::{Piece, complete_response, events};
use super::{Entry, read_body};
use crate::relay::candidates;
use crate::upstream::engine::Error;

/// The priority of an attempt for a request without a token yet.
const PRIORITY_NEW: i32 = 0;
/// The priority of an attempt that continues a response whose first tokens are generated.
const PRIORITY_RESUMED: i32 = 1;

/// A request that was parsed and authorized.
#[derive(Debug, Clone)]
struct Work {
    request: Request,
    caller: Caller,
    service: Tag,
    service_name: String,
    repeatable: bool,
    completion: Completion,
    max_tokens: u32,
    fingerprints: Fingerprints,
    prepared_at: Instant,
}

/// Handles `/v1/completions` and `/v1/chat/completions`.
pub async fn handle(
    style: Style,
    request: &HttpRequest,
    body: web::Payload,
    entry: &web::Data<Entry>,
) -> HttpResponse {
    let id = entry.shared.next_request();
    let closed = Closed::watch(request);
    let prepared = tokio::select! {
        prepared = prepare(style, request, body, entry, id) => prepared,
        () = closed.wait() => return entry.record_cancellation("model", id),
    };
    let work = match prepared {
        Ok(work) => work,
        Err(refusal) => return entry.refuse(id, refusal),
    };
    let started = idempotency::begin(entry, request, &work.caller, work.fingerprints.request);
    let record = match started.await {
        idempotency::Start::Run(record) => record,
        idempotency::Start::Replay(response) => return response.to_http(&entry.shared),
        idempotency::Start::Refused(refusal) => return entry.refuse(id, refusal),
    };
    if work.completion.stream {
        return stream(entry, request, work, closed, record).await;
    }
    let mut text = String::new();
    let result = tokio::select! {
        result = run(entry, &work, |token| text.push_str(token)) => result,
        () = closed.wait() => return entry.record_cancellation("model", id),
    };
    let response = match result {
        Ok(done) => {
            let Done { tokens, finish } = done;
            let body = openai::response(&work.completion, id, &text, tokens, &finish);
            idempotency::Response::json(200, &body, id)
        }
        Err(refusal) => {
            entry.record_refusal(id, &refusal);
            if record.allows_rerun(&refusal) {
                return refusal.response(id);
            }
            idempotency::Response::json(refusal.kind.answer().status, &refusal.body(id), id)
        }
    };
    record.finish(response.clone());
    response.to_http(&entry.shared)
}

/// Reads, parses and authorizes a request.
async fn prepare(
    style: Style,
    request: &HttpRequest,
    body: web::Payload,
    entry: &Entry,
    id: Request,
) -> Result<Work, Refusal> {
    let snapshot = entry.configuration()?;
    let bytes = read_body(entry, body).await?;
    let completion = Completion::parse(style, &bytes)?;
    let service = snapshot
        .service(Tag::of(&completion.model))
        .filter(|s| crate::control::scheduling::is_model(snapshot.services[*s].kind))
        .ok_or(Refusal::from(Kind::UnknownService))?;
    let caller = authorize(request, &snapshot, service)?;
    let item = &snapshot.services[service];
    let default_tokens = entry.shared.settings.limits.default_output_tokens as u32;
    Ok(Work {
        request: id,
        service: item.tag,
        service_name: item.name.clone(),
        repeatable: item.repeatable,
        max_tokens: completion.max_tokens.unwrap_or(default_tokens),
        fingerprints: Fingerprints {
            request: strike::fingerprint(caller.tag, &[&bytes]),
            parts: shared_blocks(item.tag, &completion.prompt),
        },
        caller,
        completion,
        prepared_at: Instant::now(),
    })
}

/// Streams the response from a separate task, which ends when the caller closes its connection.
async fn stream(
    entry: &web::Data<Entry>,
    request: &HttpRequest,
    work: Work,
    closed: Closed,
    record: idempotency::Record,
) -> HttpResponse {
    let (sender, mut receiver) = mpsc::unbounded_channel::<Piece>();
    let id = work.request;
    let task_entry = entry.clone();
    actix_rt::spawn(async move {
        let running = run(&task_entry, &work, |token| {
            let text = openai::chunk(&work.completion, id, token);
            let _closed = sender.send(Piece::Text(text));
        });
        tokio::select! {
            result = running => {
                if let Err(refusal) = &result {
                    task_entry.record_refusal(id, refusal);
                }
                let _closed = sender.send(Piece::End(result.map(|done| {
                    openai::last_chunk(&work.completion, id, &done.finish)
                })));
            }
            () = closed.wait() => drop(task_entry.record_cancellation("model", id)),
        }
    });
    // A request refused before its first token gets an ordinary response with the refusal's
    // status, since the response head is not sent yet.
    let first = match receiver.recv().await {
        Some(Piece::Text(text)) => text,
        Some(Piece::End(Ok(text))) => return complete_response(id, text.into()),
        Some(Piece::End(Err(refusal))) => {
            record.allows_rerun(&refusal);
            return refusal.response(id);
        }
        None => return entry.record_cancellation("model", id),
    };
    let mut response = HttpResponse::Ok();
    response.content_type("text/event-stream").insert_header(("x-request-id", id.to_string()));
    body::streaming(request, response, events(first, receiver, id, record))
}

/// Charges the request, then makes attempts until one completes or no retry is allowed.
///
/// A later attempt continues at the first token that is still missing. `emit` is called
/// once for each token, in order.
async fn run(entry: &Entry, work: &Work, mut emit: impl FnMut(&str)) -> Result<Done, Refusal> {
    let _counted = Counted::new(entry);
    entry.check_quarantine(work.request, &work.fingerprints, false)?;
    let tokens = f64::from(work.completion.prompt_tokens()) + f64::from(work.max_tokens);
    let mut charged = charge(entry, work.request, &work.caller, tokens).await?;
    entry.earn_retry();
    let metrics = &entry.shared.metrics;
    let mut generated = generate::Progress::new(&entry.shared.memory.responses);
    let mut may_have_run = false;
    let mut avoid = Vec::new();
    // The refusal if no further attempt is made.
    let mut held_back = Refusal::from(Kind::UpstreamFailed);
    let mut is_retry = false;
    let mut last_token_at: Option<Instant> = None;
    for attempt in 0..MAX_ATTEMPTS {
        let id = if attempt == 0 { work.request } else { entry.shared.next_request() };
        let suspect = entry.check_quarantine(work.request, &work.fingerprints, may_have_run)?;
        let progress = Progress { attempt, next: generated.next, suspect };
        let unavailable = find_unavailable(entry, work.service);
        if let Some(until) = unavailable.paused_until {
            let wait = candidates::retry_after(until, Instant::now());
            entry.shared.journal.record(
                work.request,
                format_args!("event=all_paused retry_after_ms={}", wait.as_millis()),
            );
            let refusal = Refusal::after(Kind::Overloaded, wait);
            return Err(refusal.with_may_have_run(may_have_run));
        }
        let avoid_now: Vec<Tag> = avoid.iter().chain(&unavailable.engines).copied().collect();
        let demand = build_demand(entry, work, id, progress, &avoid_now);
        let acquired = acquire(entry, &work.caller, demand).await;
        let mut lease = acquired.map_err(|refusal| refusal.with_may_have_run(may_have_run))?;
        if work.caller.is_withdrawn(&entry.shared.snapshot()) {
            return Err(Refusal::from(Kind::KeyWithdrawn).with_may_have_run(may_have_run));
        }
        let permits = match acquire_permits(entry, &lease, work.caller.tag).await {
            Ok(permits) => permits,
            Err(HeldBack { engine, retry_after }) => {
                // Nothing was sent: another pair is tried, and no retry spent.
                lease.finish();
                avoid.push(engine);
                held_back = Refusal::after(Kind::Overloaded, retry_after);
                continue;
            }
        };
        // Spent once the engines may get the request, so that none is spent in vain.
        if is_retry && !entry.spend_retry() {
            lease.finish();
            return Err(held_back.with_may_have_run(may_have_run));
        }
        let job = Job {
            entry,
            team: &work.caller.name,
            prompt: &work.completion.prompt,
            max_tokens: work.max_tokens,
            priority: if generated.next > 0 { PRIORITY_RESUMED } else { PRIORITY_NEW },
        };
        let sent_at = Instant::now();
        let running = generate::run(&mut lease, &job, permits, &mut generated, |token| {
            observe_token(metrics, work.prepared_at, &mut last_token_at);
            spend_token(&mut charged, work);
            emit(token);
        });
        let failure = match running.await {
            Ok(done) => {
                metrics.requests.with_label_values(&["model", "answered"]).inc();
                entry.report_served(&work.fingerprints, lease.pair.decode);
                return Ok(done);
            }
            Err(failure) => failure,
        };
        let is_prefilled = failure.engine == lease.pair.decode;
        drop(lease);
        let reach = failure.error.reach();
        may_have_run |= is_prefilled || reach == retry::Reach::MayHaveRun;
        record_failure(entry, work, Attempt { id, number: attempt, sent_at }, &failure).await;
        avoid.push(failure.engine);
        is_retry = true;
        held_back = refusal_for(&failure);
        if !retry::is_safe(reach, work.repeatable) {
            return Err(held_back.with_may_have_run(may_have_run));
        }
    }
    Err(held_back.with_may_have_run(may_have_run))
}

/// Observes the latency of a token: since the request was prepared for the first one, since
/// the previous token for any other.
fn observe_token(
    metrics: &crate::metrics::Metrics,
    prepared_at: Instant,
    last_token_at: &mut Option<Instant>,
) {
    let now = Instant::now();
    match last_token_at.replace(now) {
        None => metrics.first_token.observe((now - prepared_at).as_secs_f64()),
        Some(previous) => metrics.token_gap.observe((now - previous).as_secs_f64()),
    }
    metrics.tokens.inc();
}

/// Counts one generated token as used; the first one also uses the prompt's tokens.
fn spend_token(charged: &mut Option<Charged>, work: &Work) {
    let Some(charged) = charged else { return };
    let max_output = f64::from(work.max_tokens);
    if charged.unused > max_output {
        charged.unused = max_output;
    }
    charged.spend(1);
}

/// The progress of a request before an attempt.
#[derive(Debug, Clone, Copy)]
struct Progress {
    /// The number of attempts made before.
    attempt: u32,
    /// The index of the next token to generate.
    next: u32,
    /// The upstream whose crash the request is suspected of.
    suspect: Option<Tag>,
}

/// Builds the demand for a pair of engines, with the times left to the request.
fn build_demand(
    entry: &Entry,
    work: &Work,
    request: Request,
    progress: Progress,
    avoid: &[Tag],
) -> Demand {
    let Progress { attempt, next, suspect } = progress;
    let limits = &entry.shared.settings.limits;
    let elapsed = work.prepared_at.elapsed();
    let patience = work.completion.patience.unwrap_or(limits.patience()).min(limits.patience());
    Demand {
        request,
        attempt,
        service: work.service,
        team: work.caller.tag,
        weight: work.caller.weight,
        prompt_tokens: work.completion.prompt_tokens(),
        output_tokens: work.max_tokens,
        blocks: hash_blocks(&work.completion.prompt),
        due_in: limits.first_token().saturating_sub(elapsed),
        // A response that has begun should be completed, so its patience starts anew.
        patience: if next > 0 { patience } else { patience.saturating_sub(elapsed) },
        suspect,
        avoid: avoid.to_vec(),
        redirected: false,
    }
}

/// An attempt at a request.
#[derive(Debug, Clone, Copy)]
struct Attempt {
    /// The id under which the engines know it.
    id: Request,
    /// The number of attempts made before.
    number: u32,
    sent_at: Instant,
}

/// Logs and counts a failed attempt; a crash also counts as a strike against the request.
async fn record_failure(entry: &Entry, work: &Work, attempt: Attempt, failure: &Failure) {
    let Attempt { id, number: attempt, sent_at } = attempt;
    let Failure { engine, error, is_crash } = *failure;
    let service = &work.service_name;
    entry.shared.journal.record(
        work.request,
        format_args!(
            "event=attempt_failed attempt={attempt} id={id} service={service} engine={engine} \
             reason={error:?} crash={is_crash}"
        ),
    );
    entry.shared.metrics.retries.with_label_values(&[&format!("{error:?}")]).inc();
    if is_crash {
        let name = upstream_name(&entry.shared.snapshot(), engine);
        let crash = Crash { upstream: engine, started_ms: 0, name };
        let now = Instant::now();
        entry.report_strikes(Strike::all(&work.fingerprints, &crash, sent_at, now), now).await;
    }
}

/// The name of an upstream, or its tag if the configuration no longer has it.
pub fn upstream_name(snapshot: &Snapshot, tag: Tag) -> String {
    let index = snapshot.upstream(tag);
    index.map_or_else(|| tag.to_string(), |index| snapshot.upstreams[index].name.clone())
}

/// Maps the error of the last attempt to a refusal.
fn refusal_for(failure: &Failure) -> Refusal {
    match failure.error {
        Error::Connect | Error::Refused => Kind::NoUpstream.into(),
        Error::Declined => Kind::UpstreamRefused.into(),
        Error::Silent => Kind::UpstreamTimeout.into(),
        Error::Broken | Error::Crossed | Error::Malformed | Error::Gone | Error::OtherVersion => {
            Kind::UpstreamFailed.into()
        }
    }
}

/// Counts a request in the `in_flight` metric until this is dropped.
struct Counted<'a> {
    entry: &'a Entry,
}

impl<'a> Counted<'a> {
    fn new(entry: &'a Entry) -> Self {
        entry.shared.metrics.in_flight.inc();
        Self { entry }
    }
}

impl Drop for Counted<'_> {
    fn drop(&mut self) {
        self.entry.shared.metrics.in_flight.dec();
    }
}
