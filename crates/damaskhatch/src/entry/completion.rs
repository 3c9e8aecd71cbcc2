//! Serves a completion from the caller's key to the last token.

use actix_web::{HttpRequest, HttpResponse, web};
use damaskhatch_policy::config::Snapshot;
use damaskhatch_policy::prelude::*;
use damaskhatch_policy::retry::{self, MAX_ATTEMPTS};
use damaskhatch_policy::schedule::ask::{Ask, BLOCK_TOKENS, MAX_BLOCKS};
use damaskhatch_policy::strike::{self, Strike};
use tokio::sync::mpsc;

use super::access::{Caller, authorize};
use super::charge::charge;
use super::closed::Closed;
use super::generate::{self, Done, Failure, Job};
use super::hold::Charged;
use super::idempotency;
use super::openai::{self, Completion, Style};
use super::place::acquire;
use super::refusal::Refusal;
use super::stream::{Piece, body, whole};
use super::{Entry, read_body};
use crate::control::strikes;
use crate::upstream::engine::{Error, attempt_tag};

/// Bytes of one prompt block.
const BLOCK_BYTES: usize = BLOCK_TOKENS as usize * 4;
/// The priority of a first attempt.
const PRIORITY_FIRST: i32 = 0;
/// The priority of an answer that has begun and must go on.
const PRIORITY_RESUMED: i32 = 1;

/// A completion that may run.
#[derive(Debug, Clone)]
struct Work {
    request: Request,
    caller: Caller,
    service: Tag,
    service_name: String,
    repeatable: bool,
    completion: Completion,
    max_tokens: u32,
    fingerprint: Tag,
    since: Instant,
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
    let joined = idempotency::begin(entry, request, &work.caller, work.fingerprint);
    let record = match joined.await {
        idempotency::Start::Run(record) => record,
        idempotency::Start::Answered(answer) => return answer.response(),
        idempotency::Start::Refused(refusal) => return entry.refuse(id, refusal),
    };
    if work.completion.stream {
        return stream(entry, work, closed, record).await;
    }
    let mut text = String::new();
    let ran = tokio::select! {
        ran = run(entry, &work, |token| text.push_str(token)) => ran,
        () = closed.wait() => return entry.record_cancellation("model", id),
    };
    let response = match ran {
        Ok(done) => {
            let Done { tokens, finish } = done;
            let body = openai::whole(&work.completion, id, &text, tokens, &finish);
            idempotency::Answer::json(200, &body, id)
        }
        Err(refusal) => {
            entry.record_refusal(id, &refusal);
            if record.drop_unless_run(&refusal) {
                return refusal.response(id);
            }
            idempotency::Answer::json(refusal.kind.answer().status, &refusal.body(id), id)
        }
    };
    record.finish(response.clone());
    response.response()
}

async fn prepare(
    style: Style,
    request: &HttpRequest,
    body: web::Payload,
    entry: &Entry,
    id: Request,
) -> Result<Work, Refusal> {
    let snapshot = require_snapshot(entry)?;
    let bytes = read_body(entry, body).await?;
    let completion = Completion::parse(style, &bytes)?;
    let service = snapshot
        .service(Tag::of(&completion.model))
        .filter(|s| crate::control::scheduling::is_model(snapshot.services[*s].kind))
        .ok_or(Refusal::from(Kind::UnknownService))?;
    let caller = authorize(request, &snapshot, service)?;
    let item = &snapshot.services[service];
    let limit = entry.shared.settings.limits.default_output_tokens as u32;
    Ok(Work {
        request: id,
        service: item.tag,
        service_name: item.name.clone(),
        repeatable: item.repeatable,
        max_tokens: completion.max_tokens.unwrap_or(limit),
        fingerprint: strike::fingerprint(caller.tag, &bytes),
        caller,
        completion,
        since: Instant::now(),
    })
}

/// The configuration, unless the host has none yet.
pub fn require_snapshot(entry: &Entry) -> Result<std::sync::Arc<Snapshot>, Refusal> {
    let snapshot = entry.shared.snapshot();
    if snapshot.revision == 0 { Err(Kind::Unavailable.into()) } else { Ok(snapshot) }
}

/// Streams the answer; the stream goes on in a task that the caller's close ends.
async fn stream(
    entry: &web::Data<Entry>,
    work: Work,
    closed: Closed,
    record: idempotency::Record,
) -> HttpResponse {
    let (sender, mut receiver) = mpsc::unbounded_channel::<Piece>();
    let id = work.request;
    let task_entry = entry.clone();
    actix_rt::spawn(async move {
        let ran = run(&task_entry, &work, |token| {
            let text = openai::chunk(&work.completion, id, token);
            let _gone = sender.send(Piece::Text(text));
        });
        tokio::select! {
            ran = ran => {
                if let Err(refusal) = &ran {
                    task_entry.record_refusal(id, refusal);
                }
                let _gone = sender.send(Piece::End(ran.map(|done| {
                    openai::last_chunk(&work.completion, id, &done.finish)
                })));
            }
            () = closed.wait() => drop(task_entry.record_cancellation("model", id)),
        }
    });
    // A refusal before the first token is still an ordinary response with its status.
    let first = match receiver.recv().await {
        Some(Piece::Text(text)) => text,
        Some(Piece::End(Ok(text))) => return whole(id, text.into()),
        Some(Piece::End(Err(refusal))) => {
            record.drop_unless_run(&refusal);
            return refusal.response(id);
        }
        None => return entry.record_cancellation("model", id),
    };
    let body = body(first, receiver, id, record);
    HttpResponse::Ok()
        .content_type("text/event-stream")
        .insert_header(("x-request-id", id.to_string()))
        .streaming(body)
}

/// Charges the request, then attempts it until it is answered or given up.
async fn run(entry: &Entry, work: &Work, mut emit: impl FnMut(&str)) -> Result<Done, Refusal> {
    let _counted = Counted::new(entry);
    check_strikes(entry, work.fingerprint).await?;
    let tokens = f64::from(work.completion.prompt_tokens()) + f64::from(work.max_tokens);
    let mut charged = charge(entry, work.request, &work.caller, tokens).await?;
    entry.earn_retry();
    let metrics = &entry.shared.metrics;
    let mut next = 0;
    let mut may_have_run = false;
    let mut avoid = Vec::new();
    let mut last: Option<Instant> = None;
    for attempt in 0..MAX_ATTEMPTS {
        let id = if attempt == 0 { work.request } else { entry.shared.next_request() };
        let suspect =
            check_strikes(entry, work.fingerprint).await.map_err(|r| r.with_run(may_have_run))?;
        let ask = ask(entry, work, id, Progress { attempt, next, suspect }, &avoid);
        let acquired = acquire(entry, &work.caller, ask).await;
        let mut lease = acquired.map_err(|refusal| refusal.with_run(may_have_run))?;
        if work.caller.is_withdrawn(&entry.shared.snapshot()) {
            return Err(Refusal::from(Kind::KeyWithdrawn).with_run(may_have_run));
        }
        let job = Job {
            team: &work.caller.name,
            prompt: &work.completion.prompt,
            max_tokens: work.max_tokens,
            priority: if next > 0 { PRIORITY_RESUMED } else { PRIORITY_FIRST },
        };
        let ran = generate::run(&mut lease, &job, &mut next, |token| {
            observe(metrics, work.since, &mut last);
            spend(&mut charged, work);
            emit(token);
        });
        let failure = match ran.await {
            Ok(done) => {
                metrics.requests.with_label_values(&["model", "answered"]).inc();
                return Ok(done);
            }
            Err(failure) => failure,
        };
        let is_prefilled = failure.engine == lease.pair.decode;
        drop(lease);
        let reach = failure.error.reach();
        may_have_run |= is_prefilled || reach == retry::Reach::MayHaveRun;
        note_failure(entry, work, id, attempt, &failure);
        avoid.push(failure.engine);
        if !retry::is_safe(reach, work.repeatable) || !entry.spend_retry() {
            return Err(failed(&failure).with_run(may_have_run));
        }
    }
    Err(Refusal::from(Kind::UpstreamFailed).with_run(may_have_run))
}

fn observe(metrics: &crate::metrics::Metrics, since: Instant, last: &mut Option<Instant>) {
    let now = Instant::now();
    match last.replace(now) {
        None => metrics.first_token.observe((now - since).as_secs_f64()),
        Some(before) => metrics.token_gap.observe((now - before).as_secs_f64()),
    }
    metrics.tokens.inc();
}

/// Counts a token, and the prompt with the first one, as used.
fn spend(charged: &mut Option<Charged>, work: &Work) {
    let Some(charged) = charged else { return };
    let whole = f64::from(work.max_tokens);
    if charged.unused > whole {
        charged.unused = whole;
    }
    charged.spend(1);
}

/// Refuses a request that crashed several upstreams; names the crash it is suspected of.
pub async fn check_strikes(entry: &Entry, fingerprint: Tag) -> Result<Option<Tag>, Refusal> {
    let standing = entry.control.strikes.send(strikes::Check(fingerprint)).await;
    let standing = standing.unwrap_or_default();
    match standing.refused_for {
        Some(wait) => Err(Refusal::after(Kind::Quarantined, wait)),
        None => Ok(standing.suspect),
    }
}

/// How far a request has come before an attempt.
#[derive(Debug, Clone, Copy)]
struct Progress {
    attempt: u32,
    next: u32,
    suspect: Option<Tag>,
}

fn ask(entry: &Entry, work: &Work, request: Request, progress: Progress, avoid: &[Tag]) -> Ask {
    let Progress { attempt, next, suspect } = progress;
    let limits = &entry.shared.settings.limits;
    let elapsed = work.since.elapsed();
    let patience = work.completion.patience.unwrap_or(limits.patience()).min(limits.patience());
    Ask {
        request,
        attempt,
        service: work.service,
        team: work.caller.tag,
        weight: work.caller.weight,
        prompt_tokens: work.completion.prompt_tokens(),
        output_tokens: work.max_tokens,
        blocks: blocks(&work.completion.prompt),
        due_in: limits.first_token().saturating_sub(elapsed),
        // An answer that has begun is owed its end, so its patience starts anew.
        patience: if next > 0 { patience } else { patience.saturating_sub(elapsed) },
        suspect,
        avoid: avoid.to_vec(),
        redirected: false,
    }
}

/// Cumulative hashes of the prompt's leading blocks.
fn blocks(prompt: &str) -> Vec<u32> {
    let mut hasher = blake3::Hasher::new();
    let whole = prompt.as_bytes().chunks_exact(BLOCK_BYTES).take(MAX_BLOCKS);
    let digests = whole.map(|block| {
        hasher.update(block);
        let digest = hasher.finalize();
        let bytes = digest.as_bytes();
        u32::from_le_bytes([bytes[0], bytes[1], bytes[2], bytes[3]])
    });
    digests.collect()
}

fn note_failure(entry: &Entry, work: &Work, id: Request, attempt: u32, failure: &Failure) {
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
        let attempt = attempt_tag(id, engine, attempt);
        let strike = Strike { fingerprint: work.fingerprint, upstream: engine, attempt };
        entry.control.strikes.do_send(strikes::Record(strike));
    }
}

fn failed(failure: &Failure) -> Refusal {
    match failure.error {
        Error::Connect | Error::Refused => Kind::NoUpstream.into(),
        Error::Declined => Kind::UpstreamRefused.into(),
        Error::Silent => Kind::UpstreamTimeout.into(),
        Error::Broken | Error::Crossed | Error::Malformed | Error::Gone => {
            Kind::UpstreamFailed.into()
        }
    }
}

/// Counts a request in flight while it lives.
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
