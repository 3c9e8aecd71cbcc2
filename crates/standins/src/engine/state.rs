//! The state of an engine: its prompts, KV caches, decoding requests and counters.

use std::collections::{HashMap, HashSet, VecDeque};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use damaskhatch::upstream::message::Prefilled;
use damaskhatch_policy::schedule::engine::Load;
use damaskhatch_policy::schedule::message::{BLOCK_TOKENS, PIECE_TOKENS};
use serde::{Deserialize, Serialize};
use tokio::sync::{Notify, watch};
use tokio::time::Instant;

use super::Config;
use crate::completion::prompt_tokens;

/// How long calls with a cancelled request's id are refused.
const CANCELLED_TTL: Duration = Duration::from_mins(1);
/// Length of a block of the prefix cache, in bytes of prompt.
const BLOCK_BYTES: usize = BLOCK_TOKENS as usize * 4;

/// The progress of a prompt through prefill.
#[derive(Debug)]
pub enum Prompt {
    /// It waits or runs.
    Pending,
    /// It has run, and its KV cache awaits import.
    Finished(Prefilled),
}

/// A KV cache that a decode engine can import.
#[derive(Debug)]
pub struct Export {
    /// The id of its request.
    pub request: String,
    /// Its length, in tokens.
    pub tokens: u32,
    /// When it is dropped if no engine has imported it.
    pub expires: Instant,
}

/// A request that decodes or waits for a slot.
#[derive(Debug)]
pub struct Running {
    /// Pieces of KV memory that it needs, and holds once admitted.
    pub pieces: u32,
    /// Whether it holds a slot; false before its start and after its last token.
    pub admitted: bool,
    /// The index of the next token to generate.
    pub generated: watch::Sender<u32>,
    /// The prompt, which determines the tokens.
    pub prompt: String,
    /// The index at which generation ends.
    pub max_tokens: u32,
}

/// The counters of an engine.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct Counts {
    /// Prompt tokens that were run, without those found in the prefix cache.
    pub prefill_tokens: u64,
    /// Prompt tokens whose KV cache was dropped before any engine imported it.
    pub wasted_tokens: u64,
    /// Output tokens that were generated.
    pub generated_tokens: u64,
    /// Calls of prefill and decode that were started.
    pub started: u64,
    /// Requests that were cancelled while the engine held state for them.
    pub cancelled: u64,
}

/// A call of prefill or decode as it was received.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Call {
    /// The request's id.
    pub request: String,
    /// The path of the call.
    pub path: String,
    /// All headers of the call, as `name: value`.
    pub headers: Vec<String>,
}

/// A change of the prefix cache.
#[derive(Debug, Clone)]
pub struct CacheEvent {
    /// When the block was added or evicted.
    pub recorded_at: Instant,
    /// `added` or `evicted`, and the block's hash.
    pub text: String,
}

/// What an engine holds at present.
#[derive(Debug, Default)]
pub struct State {
    /// Prompts by request, until their KV cache is imported or dropped.
    pub prompts: HashMap<String, Prompt>,
    /// Prompts that wait, as priority, request and tokens, the next to run first.
    pub queue: VecDeque<(i32, String, u32)>,
    /// Whether a prompt runs.
    pub is_prefilling: bool,
    /// KV caches by handle.
    pub exports: HashMap<String, Export>,
    /// Decoding requests by id.
    pub running: HashMap<String, Running>,
    /// When each request was cancelled.
    pub cancelled: HashMap<String, Instant>,
    /// The cached blocks in the order of their eviction.
    pub eviction_queue: VecDeque<u64>,
    /// The cached blocks; a block's hash covers the prompt from its beginning.
    pub cached_blocks: HashSet<u64>,
    /// The published load report, which is older than the present load.
    pub report: Load,
    pub counts: Counts,
    /// Calls of prefill and decode since the start.
    pub calls: Vec<Call>,
    /// Whether load reports say that the engine is leaving, which only a test sets.
    pub leaving: bool,
    /// No token is generated until then.
    pub stalled_until: Option<Instant>,
    /// The fencing number of the last accepted order.
    pub fence: u64,
    /// The number of KV caches exported so far, from which the next handle is made.
    pub next_export: u64,
    /// All cache events since the start.
    pub events: Vec<CacheEvent>,
}

/// An engine's configuration, state and synchronization.
#[derive(Debug)]
pub struct Engine {
    /// The engine's configuration.
    pub config: Config,
    state: Mutex<State>,
    /// Wakes the tasks that wait for prefill, a slot or memory.
    pub changed: Notify,
    /// Held while a KV cache is transferred to another engine.
    pub link: tokio::sync::Mutex<()>,
}

impl Engine {
    /// Creates an idle engine.
    pub fn new(config: Config) -> Self {
        Self {
            config,
            state: Mutex::new(State::default()),
            changed: Notify::new(),
            link: tokio::sync::Mutex::new(()),
        }
    }

    /// Locks the engine's state.
    pub fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Computes the load at present, which load reports show only later.
    pub fn current_load(&self) -> Load {
        let state = self.lock();
        let running = state.running.values().filter(|running| running.admitted);
        Load {
            running: running.count() as u32,
            slots: self.config.slots,
            used_pieces: state.used_pieces(),
            pieces: self.config.pieces,
            queued_tokens: state.queue.iter().map(|(_, _, tokens)| u64::from(*tokens)).sum(),
            leaving: state.leaving,
        }
    }

    /// Publishes a load report; whether the engine is leaving is published without delay.
    pub fn publish_load(&self, mut load: Load) {
        let mut state = self.lock();
        load.leaving = state.leaving;
        state.report = load;
    }

    /// Drops exports that were not imported in time, and old cancellations.
    pub fn remove_expired(&self) {
        let now = Instant::now();
        let mut state = self.lock();
        let State { exports, counts, cancelled, prompts, .. } = &mut *state;
        exports.retain(|_, export| {
            let is_live = export.expires > now;
            if !is_live {
                counts.wasted_tokens += u64::from(export.tokens);
                prompts.remove(&export.request);
            }
            is_live
        });
        cancelled.retain(|_, at| now.saturating_duration_since(*at) < CANCELLED_TTL);
        drop(state);
        self.changed.notify_waiters();
    }

    /// The time between two tokens at the present batch size.
    pub fn token_interval(&self) -> Duration {
        let state = self.lock();
        let batch = state.running.values().filter(|running| running.admitted).count();
        self.config.gap + self.config.gap_per_request * (batch as u32).saturating_sub(1)
    }

    /// Drops all state of a request, and refuses further calls with its id.
    pub fn cancel(&self, request: &str) {
        let mut state = self.lock();
        state.cancelled.insert(request.to_owned(), Instant::now());
        let had_state = state.remove_request(request);
        state.counts.cancelled += u64::from(had_state);
        drop(state);
        self.changed.notify_waiters();
    }
}

impl State {
    /// Pieces of KV memory that decoding requests and exports hold.
    pub fn used_pieces(&self) -> u32 {
        let running = self.running.values().filter(|r| r.admitted).map(|r| r.pieces);
        let exported = self.exports.values().map(|export| export.tokens.div_ceil(PIECE_TOKENS));
        running.chain(exported).sum()
    }

    /// Drops all state of a request; returns whether there was any.
    pub fn remove_request(&mut self, request: &str) -> bool {
        let prompt = self.prompts.remove(request).is_some();
        self.queue.retain(|(_, queued, _)| queued != request);
        let running = self.running.remove(request).is_some();
        let before = self.exports.len();
        let mut wasted = 0;
        self.exports.retain(|_, export| {
            let keep = export.request != request;
            wasted += if keep { 0 } else { u64::from(export.tokens) };
            keep
        });
        self.counts.wasted_tokens += wasted;
        prompt || running || self.exports.len() < before
    }

    fn record_event(&mut self, text: String) {
        self.events.push(CacheEvent { recorded_at: Instant::now(), text });
    }

    /// Adds a prompt to the prefix cache; returns how many leading tokens were cached before.
    ///
    /// Blocks are evicted in the order of their addition.
    pub fn cache_prompt(&mut self, prompt: &str, capacity: usize) -> u32 {
        let mut hasher = blake3::Hasher::new();
        let mut cached_tokens = 0;
        let mut is_prefix = true;
        for block in prompt.as_bytes().chunks_exact(BLOCK_BYTES) {
            hasher.update(block);
            let digest = hasher.finalize();
            let (head, _) = digest.as_bytes().split_at(8);
            let key = u64::from_le_bytes(head.try_into().expect("eight bytes"));
            let is_cached = !self.cached_blocks.insert(key);
            is_prefix &= is_cached;
            if is_prefix {
                cached_tokens += BLOCK_TOKENS;
            }
            if !is_cached {
                self.eviction_queue.push_back(key);
                self.record_event(format!("added {key:016x}"));
            }
        }
        while self.eviction_queue.len() > capacity {
            if let Some(evicted) = self.eviction_queue.pop_front() {
                self.cached_blocks.remove(&evicted);
                self.record_event(format!("evicted {evicted:016x}"));
            }
        }
        cached_tokens.min(prompt_tokens(prompt))
    }
}
