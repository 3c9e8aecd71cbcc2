//! Imports KV caches and generates tokens.

use std::sync::Arc;
use std::time::Duration;

use actix_web::web::Bytes;
use damaskhatch::upstream::message::{Decode, Event, Line};
use damaskhatch_policy::schedule::message::PIECE_TOKENS;
use futures_util::Stream;
use tokio::sync::watch;
use tokio::time::{Instant, sleep, timeout};

use super::state::{Engine, Running};
use super::{CRASH_CODE, CRASH_DECODE_MARK, ENDLESS_MARK};
use crate::completion::{prompt_tokens, token};

/// The interval of heartbeats while a stream has no token to send.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(200);
/// How long the import of a KV cache may take.
const IMPORT_TIMEOUT: Duration = Duration::from_secs(2);
/// How long the token stream of a finished request can still be resumed.
const FINISHED_TTL: Duration = Duration::from_secs(1);

/// The text of each token without end, which is just short enough for a line.
const ENDLESS_TOKEN_BYTES: usize = 60_000;

/// Why a decode call was not started.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Refusal {
    /// The KV cache could not be imported, as when its exporter has dropped it.
    CacheMissing,
    /// No slot or too little memory became free before the KV cache expired.
    NoCapacity,
}

/// Waits for a slot, imports the KV cache and starts to generate.
pub async fn start(engine: &Arc<Engine>, call: &Decode) -> Result<(), Refusal> {
    let tokens = prompt_tokens(&call.prompt) + call.max_tokens;
    let (generated, _receiver) = watch::channel(call.from);
    let running = Running {
        pieces: tokens.div_ceil(PIECE_TOKENS),
        admitted: false,
        generated,
        prompt: call.prompt.clone(),
        max_tokens: call.max_tokens,
    };
    {
        let mut state = engine.lock();
        state.counts.started += 1;
        state.running.insert(call.request.clone(), running)
    };
    let admitted = timeout(engine.config.kv_ttl, wait_for_slot(engine, &call.request)).await;
    if admitted.is_err() {
        engine.lock().remove_request(&call.request);
        return Err(Refusal::NoCapacity);
    }
    if !import_cache(call).await {
        engine.lock().remove_request(&call.request);
        engine.changed.notify_waiters();
        return Err(Refusal::CacheMissing);
    }
    actix_web::rt::spawn(generate(Arc::clone(engine), call.request.clone(), call.from));
    Ok(())
}

/// Waits until a slot and enough memory are free, or until the request is cancelled.
async fn wait_for_slot(engine: &Engine, request: &str) {
    loop {
        let changed = engine.changed.notified();
        {
            let mut state = engine.lock();
            let batch = state.running.values().filter(|r| r.admitted).count() as u32;
            let free = engine.config.pieces.saturating_sub(state.used_pieces());
            let Some(running) = state.running.get_mut(request) else {
                return;
            };
            if batch < engine.config.slots && running.pieces <= free {
                running.admitted = true;
                return;
            }
        }
        changed.await;
    }
}

/// Fetches the KV cache from its exporter; returns whether that succeeded in time.
async fn import_cache(call: &Decode) -> bool {
    let url = format!("http://{}/kv/{}", call.kv_address, call.kv);
    let fetch = async {
        let response = awc::Client::new().get(url).send().await;
        response.is_ok_and(|response| response.status().is_success())
    };
    timeout(IMPORT_TIMEOUT, fetch).await.unwrap_or(false)
}

/// Generates the tokens of an admitted request, until its end or its cancellation.
async fn generate(engine: Arc<Engine>, request: String, from: u32) {
    let mut index = from;
    loop {
        sleep(engine.token_interval()).await;
        wait_out_stall(&engine).await;
        let mut state = engine.lock();
        let Some(running) = state.running.get(&request) else {
            return;
        };
        if running.prompt.contains(CRASH_DECODE_MARK) {
            std::process::exit(CRASH_CODE);
        }
        if index >= running.max_tokens {
            // The finished request is kept for `FINISHED_TTL`, so that its end can be resumed.
            break;
        }
        index += 1;
        running.generated.send_replace(index);
        state.counts.generated_tokens += 1;
    }
    engine.changed.notify_waiters();
    engine
        .lock()
        .running
        .get_mut(&request)
        .into_iter()
        .for_each(|running| running.admitted = false);
    sleep(FINISHED_TTL).await;
    engine.lock().running.remove(&request);
}

/// Waits until an injected stall is over.
async fn wait_out_stall(engine: &Engine) {
    let until = engine.lock().stalled_until;
    if let Some(until) = until.filter(|until| *until > Instant::now()) {
        tokio::time::sleep_until(until).await;
    }
}

/// The position of one token stream in the output of its request.
struct Cursor {
    engine: Arc<Engine>,
    request: String,
    prompt: String,
    max_tokens: u32,
    /// The index of the next token to send.
    next: u32,
    /// The index of the next token to generate, which `next` follows.
    generated: watch::Receiver<u32>,
    /// Whether the last event, an end or a failure, was returned.
    is_ended: bool,
}

/// Streams the lines of a request from token `from` on; returns `None` for an unknown request.
pub fn stream_lines(
    engine: &Arc<Engine>,
    request: &str,
    from: u32,
) -> Option<impl Stream<Item = Result<Bytes, std::io::Error>> + use<>> {
    let state = engine.lock();
    let running = state.running.get(request)?;
    let cursor = Cursor {
        engine: Arc::clone(engine),
        request: request.to_owned(),
        prompt: running.prompt.clone(),
        max_tokens: running.max_tokens,
        next: from,
        generated: running.generated.subscribe(),
        is_ended: false,
    };
    drop(state);
    Some(futures_util::stream::unfold(cursor, |mut cursor| async move {
        let event = cursor.next_event().await?;
        let line = Line { request: cursor.request.clone(), event };
        let mut text = serde_json::to_string(&line).expect("a line has only strings and numbers");
        text.push('\n');
        Some((Ok(Bytes::from(text)), cursor))
    }))
}

impl Cursor {
    /// Waits for the next token, the end or a due heartbeat; returns `None` after the end.
    async fn next_event(&mut self) -> Option<Event> {
        if self.is_ended {
            return None;
        }
        loop {
            if self.prompt.contains(ENDLESS_MARK) {
                let index = self.next;
                self.next += 1;
                return Some(Event::Token { index, text: "x".repeat(ENDLESS_TOKEN_BYTES) });
            }
            if self.next < *self.generated.borrow() {
                let index = self.next;
                self.next += 1;
                return Some(Event::Token { index, text: token(&self.prompt, index) });
            }
            if self.next >= self.max_tokens {
                self.is_ended = true;
                let (tokens, finish) = (self.max_tokens, "length".to_owned());
                return Some(Event::Done { tokens, finish });
            }
            if !self.engine.lock().running.contains_key(&self.request) {
                self.is_ended = true;
                return Some(Event::Failed { reason: "cancelled".to_owned() });
            }
            match timeout(HEARTBEAT_INTERVAL, self.generated.changed()).await {
                Ok(Ok(())) => {}
                Ok(Err(_closed)) => {
                    self.is_ended = true;
                    return Some(Event::Failed { reason: "cancelled".to_owned() });
                }
                Err(_elapsed) => return Some(Event::Beat),
            }
        }
    }
}
