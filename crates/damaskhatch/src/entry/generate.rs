//! Runs one attempt of a completion: prefill, transfer of the KV cache, decode.
//!
//! A token stream that breaks or goes silent is resumed at the next token over a new
//! connection, so that no token is lost or duplicated.

use damaskhatch_exchange::Head;
use damaskhatch_exchange::memory::{Budget, Share};
use damaskhatch_policy::prelude::*;
use damaskhatch_policy::schedule::message::Phase;

use super::Entry;
use super::completion::upstream_name;
use super::hold::Lease;
use crate::relay::permit::Permit;
use crate::upstream::engine::{self, Error, Tokens};
use crate::upstream::message::{Decode, Event, Line, Prefill, Resume};
use crate::upstream::statement::Run;

/// The maximum number of resumptions in one attempt without a new token between them.
const MAX_RESUMPTIONS: u32 = 3;
/// The number of tokens over which the time between tokens is averaged.
const GAP_WINDOW_TOKENS: u32 = 8;

/// What an attempt generates.
#[derive(Debug)]
pub struct Job<'a> {
    /// The state shared by this host's handlers.
    pub entry: &'a Entry,
    /// The name of the team.
    pub team: &'a str,
    /// The prompt as text.
    pub prompt: &'a str,
    /// The maximum number of tokens to generate.
    pub max_tokens: u32,
    /// The priority at the engines; higher runs first.
    pub priority: i32,
}

/// How much of a response has been generated, over all attempts.
#[derive(Debug)]
pub struct Progress {
    /// The index of the next token to generate.
    pub next: u32,
    /// The software version of the engine that generated the first one, if it named any.
    version: Option<String>,
    /// The length of the text so far, in bytes.
    text_bytes: usize,
    /// The memory of that text, which a slow caller has not received yet.
    memory: Share,
}

impl Progress {
    /// Before the first token of a response, whose text is taken from `memory`.
    pub fn new(memory: &Budget) -> Self {
        Self { next: 0, version: None, text_bytes: 0, memory: memory.share() }
    }

    /// Adds a token; returns false if the response may not become that long.
    fn add(&mut self, text: &str, max_tokens: u32) -> bool {
        self.text_bytes += text.len();
        self.next += 1;
        self.next <= max_tokens && self.memory.resize(self.text_bytes).is_ok()
    }

    /// Whether an engine of this version may generate the next token.
    fn fits(&self, version: Option<&str>) -> bool {
        self.next == 0 || self.version.as_deref() == version
    }
}

/// The end of a complete response.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Done {
    /// The number of tokens generated.
    pub tokens: u32,
    /// Why the generation ended: `stop` or `length`.
    pub finish: String,
}

/// Why an attempt failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Failure {
    /// The engine that failed.
    pub engine: Tag,
    /// The error of the call that failed.
    pub error: Error,
    /// Whether the engine process crashed while it had the request.
    pub is_crash: bool,
}

/// Runs an attempt from the next token on, and advances `progress`.
///
/// `permits` are those for the requests to the prefill engine and to the decode engine. `emit` is
/// called once for each token, in order.
pub async fn run(
    lease: &mut Lease,
    job: &Job<'_>,
    permits: [Permit; 2],
    progress: &mut Progress,
    mut emit: impl FnMut(&str),
) -> Result<Done, Failure> {
    let [prefill_permit, decode_permit] = permits;
    prefill_permit.spend();
    let kv = prefill(lease, job).await?;
    let call = Decode {
        request: lease.request.to_string(),
        team: job.team.to_owned(),
        prompt: job.prompt.to_owned(),
        kv,
        kv_address: lease.prefill_address.clone(),
        max_tokens: job.max_tokens,
        from: progress.next,
        priority: job.priority,
    };
    let (engine, sent_at) = (lease.pair.decode, Instant::now());
    if !job.entry.standing(engine).allows_requests() {
        // It has asked for a pause or begun to leave since it was chosen. Nothing was sent.
        return Err(record_failure(lease, engine, Error::Declined, false));
    }
    lease.needs_decode_cancel = true;
    decode_permit.spend();
    let learn = |head: &Head| hear(job.entry, engine, sent_at, head);
    let opened = engine::decode(&lease.decode_address, &call, learn).await;
    let mut stream = match opened {
        Ok(stream) => stream,
        Err(error) => resume_stream(lease, progress.next, error).await?,
    };
    if !progress.fits(stream.version()) {
        return Err(record_failure(lease, engine, Error::OtherVersion, false));
    }
    let mut pace = Pace::new();
    let mut resumptions = 0;
    loop {
        let line = stream.next().await;
        match line.map(|line| interpret(line, progress.next)) {
            Ok(Step::Token(text)) => {
                if progress.next == call.from {
                    if progress.next == 0 {
                        progress.version = stream.version().map(str::to_owned);
                    }
                    lease.report_progress(Phase::Decode, Duration::ZERO);
                    lease.unused_prefill_tokens = 0;
                    // The first token proves that the KV cache was imported, and the import
                    // freed the export on the prefill engine.
                    lease.needs_prefill_cancel = false;
                }
                if !progress.add(&text, job.max_tokens) {
                    return Err(record_failure(lease, engine, Error::Malformed, false));
                }
                emit(&text);
                resumptions = 0;
                if let Some(gap) = pace.record_token() {
                    lease.report_progress(Phase::Decode, gap);
                }
            }
            Ok(Step::Nothing) => {}
            Ok(Step::Done(done)) => {
                lease.finish();
                return Ok(done);
            }
            Ok(Step::Failed) => {
                return Err(record_failure(lease, lease.pair.decode, Error::Gone, false));
            }
            Ok(Step::Missing) | Err(_) => {
                resumptions += 1;
                if resumptions > MAX_RESUMPTIONS {
                    return Err(record_failure(lease, lease.pair.decode, Error::Silent, false));
                }
                stream = resume_stream(lease, progress.next, Error::Broken).await?;
                if !progress.fits(stream.version()) {
                    return Err(record_failure(lease, engine, Error::OtherVersion, false));
                }
                pace = Pace::new();
            }
        }
    }
}

/// Runs the prefill; returns the handle of the KV cache that the engine exports.
async fn prefill(lease: &mut Lease, job: &Job<'_>) -> Result<String, Failure> {
    let call = Prefill {
        request: lease.request.to_string(),
        team: job.team.to_owned(),
        prompt: job.prompt.to_owned(),
        priority: job.priority,
    };
    lease.needs_prefill_cancel = true;
    let (engine, sent_at) = (lease.pair.prefill, Instant::now());
    let learn = |head: &Head| hear(job.entry, engine, sent_at, head);
    let memory = &job.entry.shared.memory.responses;
    match engine::prefill(&lease.prefill_address, &call, memory, learn).await {
        Ok(prefilled) => Ok(prefilled.kv),
        Err(error) => {
            let is_crash =
                error == Error::Broken && has_crashed(lease, &lease.prefill_address).await;
            Err(record_failure(lease, lease.pair.prefill, error, is_crash))
        }
    }
}

/// Takes into account what an engine's response says of the engine.
pub fn hear(entry: &Entry, engine: Tag, sent_at: Instant, head: &Head) {
    let name = upstream_name(&entry.shared.snapshot(), engine);
    let run = Run { name: &name, tag: engine, started_ms: 0 };
    entry.hear(run, sent_at, (head.status, &head.headers));
}

/// Resumes the stream over a new connection after `error`.
///
/// An engine that refuses or breaks the new connection or no longer knows the request has
/// crashed.
async fn resume_stream(lease: &mut Lease, from: u32, error: Error) -> Result<Tokens, Failure> {
    let engine = lease.pair.decode;
    if matches!(error, Error::Refused | Error::Connect | Error::Declined | Error::Gone) {
        return Err(record_failure(lease, engine, error, false));
    }
    let call = Resume { request: lease.request.to_string(), from };
    match engine::resume(&lease.decode_address, &call).await {
        Ok(stream) => Ok(stream),
        Err(resume_error) => {
            let is_crash = is_crash_sign(resume_error) || resume_error == Error::Gone;
            // The first error shows how far the call got; that of the resumption does not.
            Err(record_failure(lease, engine, error, is_crash))
        }
    }
}

/// Tests whether the engine process has crashed, by cancelling the request there.
async fn has_crashed(lease: &Lease, address: &str) -> bool {
    engine::cancel(address, lease.request).await.is_err_and(is_crash_sign)
}

/// Whether this error on a new connection shows that the engine process has crashed.
///
/// A timeout does not show it: a network partition between the hosts looks the same.
const fn is_crash_sign(error: Error) -> bool {
    matches!(error, Error::Refused | Error::Broken)
}

/// Records in the lease which engine failed, and builds the failure to return.
const fn record_failure(lease: &mut Lease, engine: Tag, error: Error, is_crash: bool) -> Failure {
    lease.failed = Some(engine);
    Failure { engine, error, is_crash }
}

/// What a line of the token stream means for the attempt.
enum Step {
    /// The expected token.
    Token(String),
    /// A heartbeat, or a token that was received before.
    Nothing,
    /// The end of the complete response.
    Done(Done),
    /// The engine failed the request.
    Failed,
    /// Tokens before this line are missing.
    Missing,
}

/// Interprets a line when token `next` is expected.
fn interpret(line: Line, next: u32) -> Step {
    match line.event {
        Event::Token { index, text } if index == next => Step::Token(text),
        Event::Token { index, .. } if index > next => Step::Missing,
        Event::Token { .. } | Event::Beat => Step::Nothing,
        Event::Done { tokens, finish } if tokens == next => Step::Done(Done { tokens, finish }),
        Event::Done { .. } => Step::Missing,
        Event::Failed { .. } => Step::Failed,
    }
}

/// Averages the time between tokens over [`GAP_WINDOW_TOKENS`] tokens.
struct Pace {
    /// When the last token before the current window arrived; `None` before the first token.
    started_at: Option<Instant>,
    /// The number of tokens in the current window.
    tokens: u32,
}

impl Pace {
    const fn new() -> Self {
        Self { started_at: None, tokens: 0 }
    }

    /// Counts a token; returns the mean time between tokens at the end of each window.
    fn record_token(&mut self) -> Option<Duration> {
        let now = Instant::now();
        let Some(started_at) = self.started_at else {
            self.started_at = Some(now);
            return None;
        };
        self.tokens += 1;
        if self.tokens < GAP_WINDOW_TOKENS {
            return None;
        }
        let gap = now.saturating_duration_since(started_at) / self.tokens;
        (self.started_at, self.tokens) = (Some(now), 0);
        Some(gap)
    }
}
