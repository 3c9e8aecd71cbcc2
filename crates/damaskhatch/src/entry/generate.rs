//! Runs one attempt of a completion: prefill, transfer, tokens.
//!
//! A stream that breaks or goes silent is resumed at the next token over a new
//! connection, so that no token is missing and none comes twice.

use damaskhatch_policy::prelude::*;
use damaskhatch_policy::schedule::message::Phase;

use super::hold::Lease;
use crate::upstream::engine::{self, Error, Tokens};
use crate::upstream::message::{Decode, Event, Line, Prefill, Resume};

/// Resumptions of one attempt without a new token between them.
const MAX_RESUMPTIONS: u32 = 3;
/// Tokens over which the time between tokens is averaged.
const GAP_SPAN: u32 = 8;

/// What is generated.
#[derive(Debug)]
pub struct Job<'a> {
    /// The team, by name.
    pub team: &'a str,
    /// The prompt.
    pub prompt: &'a str,
    /// The most tokens to generate.
    pub max_tokens: u32,
    /// Higher runs first.
    pub priority: i32,
}

/// The end of an answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Done {
    /// Tokens generated.
    pub tokens: u32,
    /// Why it ended.
    pub finish: String,
}

/// Why an attempt failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Failure {
    /// The engine to blame.
    pub engine: Tag,
    /// What happened.
    pub error: Error,
    /// Whether the engine process died while it had the request.
    pub is_crash: bool,
}

/// Runs an attempt from token `next` on; `emit` gets each token once and in order.
pub async fn run(
    lease: &mut Lease,
    job: &Job<'_>,
    next: &mut u32,
    mut emit: impl FnMut(&str),
) -> Result<Done, Failure> {
    let kv = prefill(lease, job).await?;
    let call = Decode {
        request: lease.request.to_string(),
        team: job.team.to_owned(),
        prompt: job.prompt.to_owned(),
        kv,
        kv_address: lease.prefill_address.clone(),
        max_tokens: job.max_tokens,
        from: *next,
        priority: job.priority,
    };
    lease.touched_decode = true;
    let opened = engine::decode(&lease.decode_address, &call).await;
    let mut stream = match opened {
        Ok(stream) => stream,
        Err(error) => reopen(lease, *next, error).await?,
    };
    let mut pace = Pace::new();
    let mut resumptions = 0;
    loop {
        let line = stream.next().await;
        match line.map(|line| read(line, *next)) {
            Ok(Step::Token(text)) => {
                if *next == call.from {
                    lease.progress(Phase::Decode, Duration::ZERO);
                    lease.unused_prefill = 0;
                    // The import freed the exported cache, and only now is that certain.
                    lease.touched_prefill = false;
                }
                emit(&text);
                *next += 1;
                resumptions = 0;
                if let Some(gap) = pace.token() {
                    lease.progress(Phase::Decode, gap);
                }
            }
            Ok(Step::Nothing) => {}
            Ok(Step::Done(done)) => {
                lease.finish();
                return Ok(done);
            }
            Ok(Step::Failed) => return Err(fail(lease, lease.pair.decode, Error::Gone, false)),
            Ok(Step::Gap) | Err(_) => {
                resumptions += 1;
                if resumptions > MAX_RESUMPTIONS {
                    return Err(fail(lease, lease.pair.decode, Error::Silent, false));
                }
                stream = reopen(lease, *next, Error::Broken).await?;
                pace = Pace::new();
            }
        }
    }
}

async fn prefill(lease: &mut Lease, job: &Job<'_>) -> Result<String, Failure> {
    let call = Prefill {
        request: lease.request.to_string(),
        team: job.team.to_owned(),
        prompt: job.prompt.to_owned(),
        priority: job.priority,
    };
    lease.touched_prefill = true;
    match engine::prefill(&lease.prefill_address, &call).await {
        Ok(prefilled) => Ok(prefilled.kv),
        Err(error) => {
            let crash = error == Error::Broken && has_died(lease, &lease.prefill_address).await;
            Err(fail(lease, lease.pair.prefill, error, crash))
        }
    }
}

/// Goes on over a new connection after `error`.
///
/// An engine that refuses connections or has forgotten the request has died.
async fn reopen(lease: &mut Lease, from: u32, error: Error) -> Result<Tokens, Failure> {
    let engine = lease.pair.decode;
    if matches!(error, Error::Refused | Error::Connect | Error::Declined | Error::Gone) {
        return Err(fail(lease, engine, error, false));
    }
    let call = Resume { request: lease.request.to_string(), from };
    match engine::resume(&lease.decode_address, &call).await {
        Ok(stream) => Ok(stream),
        Err(again) => {
            let crash = is_dead(again) || again == Error::Gone;
            // The first error tells how far the call got, not the refused resumption.
            Err(fail(lease, engine, error, crash))
        }
    }
}

async fn has_died(lease: &Lease, address: &str) -> bool {
    engine::cancel(address, lease.request).await.is_err_and(is_dead)
}

/// Whether a new connection shows that nothing runs at the address any more.
///
/// Silence is no proof: a cut between the two ends looks the same.
const fn is_dead(error: Error) -> bool {
    matches!(error, Error::Refused | Error::Broken)
}

const fn fail(lease: &mut Lease, engine: Tag, error: Error, is_crash: bool) -> Failure {
    lease.failed = Some(engine);
    Failure { engine, error, is_crash }
}

enum Step {
    Token(String),
    Nothing,
    Done(Done),
    Failed,
    Gap,
}

/// What a line means when token `next` is expected.
fn read(line: Line, next: u32) -> Step {
    match line.event {
        Event::Token { index, text } if index == next => Step::Token(text),
        Event::Token { index, .. } if index > next => Step::Gap,
        Event::Token { .. } | Event::Beat => Step::Nothing,
        Event::Done { tokens, finish } if tokens == next => Step::Done(Done { tokens, finish }),
        Event::Done { .. } => Step::Gap,
        Event::Failed { .. } => Step::Failed,
    }
}

/// Averages the time between tokens.
struct Pace {
    since: Option<Instant>,
    tokens: u32,
}

impl Pace {
    const fn new() -> Self {
        Self { since: None, tokens: 0 }
    }

    /// Notes a token; returns the mean gap at the end of each span.
    fn token(&mut self) -> Option<Duration> {
        let now = Instant::now();
        let Some(since) = self.since else {
            self.since = Some(now);
            return None;
        };
        self.tokens += 1;
        if self.tokens < GAP_SPAN {
            return None;
        }
        let gap = now.saturating_duration_since(since) / self.tokens;
        (self.since, self.tokens) = (Some(now), 0);
        Some(gap)
    }
}
