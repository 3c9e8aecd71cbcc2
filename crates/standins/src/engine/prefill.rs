//! Runs prompts one at a time, the highest priority first.

use std::time::Duration;

use damaskhatch::upstream::message::{Prefill, Prefilled};
use tokio::time::{Instant, sleep};

use super::state::{Engine, Export, Prompt};
use super::{CRASH_CODE, CRASH_MARK};
use crate::completion::prompt_tokens;

/// How long a prompt with [`CRASH_MARK`] runs before the engine exits.
const CRASH_DELAY: Duration = Duration::from_millis(60);

/// Runs a prompt and exports its KV cache; returns `None` if it is cancelled first.
pub async fn run(engine: &Engine, call: &Prefill) -> Option<Prefilled> {
    let tokens = prompt_tokens(&call.prompt);
    enqueue(engine, call, tokens);
    wait_for_turn(engine, &call.request).await?;
    if call.prompt.contains(CRASH_MARK) {
        sleep(CRASH_DELAY).await;
        std::process::exit(CRASH_CODE);
    }
    let cached = engine.lock().cache_prompt(&call.prompt, engine.config.cache_blocks);
    let uncached = tokens - cached;
    sleep(Duration::from_secs_f64(f64::from(uncached) / engine.config.prefill_rate)).await;
    let mut state = engine.lock();
    state.is_prefilling = false;
    state.counts.prefill_tokens += u64::from(uncached);
    let is_registered = state.prompts.contains_key(&call.request);
    let prefilled = is_registered.then(|| {
        state.next_export += 1;
        let kv = format!("kv-{}", state.next_export);
        let expires = Instant::now() + engine.config.kv_ttl;
        let request = call.request.clone();
        state.exports.insert(kv.clone(), Export { request, tokens, expires });
        let request = call.request.clone();
        let prefilled = Prefilled { request, kv, cached_tokens: cached };
        state.prompts.insert(call.request.clone(), Prompt::Finished(prefilled.clone()));
        prefilled
    });
    if prefilled.is_none() {
        state.counts.wasted_tokens += u64::from(uncached);
    }
    drop(state);
    engine.changed.notify_waiters();
    prefilled
}

/// Adds a prompt to the queue, behind those of the same or a higher priority.
fn enqueue(engine: &Engine, call: &Prefill, tokens: u32) {
    let mut state = engine.lock();
    state.counts.started += 1;
    state.prompts.insert(call.request.clone(), Prompt::Pending);
    let first_lower = state.queue.iter().position(|(priority, ..)| *priority < call.priority);
    let at = first_lower.unwrap_or(state.queue.len());
    state.queue.insert(at, (call.priority, call.request.clone(), tokens));
}

/// Waits until no prompt runs and this one is first in the queue.
///
/// Returns `None` if the request is cancelled.
async fn wait_for_turn(engine: &Engine, request: &str) -> Option<()> {
    loop {
        let changed = engine.changed.notified();
        {
            let mut state = engine.lock();
            if !state.prompts.contains_key(request) {
                return None;
            }
            let is_first = state.queue.front().is_some_and(|(_, queued, _)| queued == request);
            if is_first && !state.is_prefilling {
                state.is_prefilling = true;
                state.queue.pop_front();
                return Some(());
            }
        }
        changed.await;
    }
}
