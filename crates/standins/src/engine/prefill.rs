//! Runs prompts one at a time, the highest priority first.

use std::time::Duration;

use damaskhatch::upstream::message::{Prefill, Prefilled};
use tokio::time::{Instant, sleep};

use super::state::{Engine, Export, Prompt};
use super::{CRASH_CODE, CRASH_MARK};
use crate::completion::prompt_tokens;

/// How long a prompt that kills the engine runs before it does.
const CRASH_DELAY: Duration = Duration::from_millis(60);

/// Runs a prompt; `None` if it was cancelled meanwhile.
pub async fn run(engine: &Engine, call: &Prefill) -> Option<Prefilled> {
    let tokens = prompt_tokens(&call.prompt);
    enter(engine, call, tokens);
    wait_for_turn(engine, &call.request).await?;
    if call.prompt.contains(CRASH_MARK) {
        sleep(CRASH_DELAY).await;
        std::process::exit(CRASH_CODE);
    }
    let cached = engine.lock().use_cache(&call.prompt, engine.config.cache_blocks);
    let fresh = tokens - cached;
    sleep(Duration::from_secs_f64(f64::from(fresh) / engine.config.prefill_rate)).await;
    let mut state = engine.lock();
    state.busy = false;
    state.counts.prefill_tokens += u64::from(fresh);
    let known = state.prompts.contains_key(&call.request);
    let prefilled = known.then(|| {
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
        state.counts.wasted_tokens += u64::from(fresh);
    }
    drop(state);
    engine.changed.notify_waiters();
    prefilled
}

fn enter(engine: &Engine, call: &Prefill, tokens: u32) {
    let mut state = engine.lock();
    state.counts.started += 1;
    state.prompts.insert(call.request.clone(), Prompt::Open);
    let behind = state.queue.iter().position(|(priority, ..)| *priority < call.priority);
    let at = behind.unwrap_or(state.queue.len());
    state.queue.insert(at, (call.priority, call.request.clone(), tokens));
}

async fn wait_for_turn(engine: &Engine, request: &str) -> Option<()> {
    loop {
        let changed = engine.changed.notified();
        {
            let mut state = engine.lock();
            if !state.prompts.contains_key(request) {
                return None;
            }
            let first = state.queue.front().is_some_and(|(_, queued, _)| queued == request);
            if first && !state.busy {
                state.busy = true;
                state.queue.pop_front();
                return Some(());
            }
        }
        changed.await;
    }
}
