//! What an engine holds.

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

/// How long a cancelled request's id is refused.
const CANCELLED_LIFE: Duration = Duration::from_mins(1);
/// Bytes of one prompt block.
const BLOCK_BYTES: usize = BLOCK_TOKENS as usize * 4;

/// One prompt on its way through prefill.
#[derive(Debug)]
pub enum Prompt {
    /// It waits or runs.
    Open,
    /// It was run.
    Finished(Prefilled),
}

/// A KV cache that can be imported.
#[derive(Debug)]
pub struct Export {
    /// The request.
    pub request: String,
    /// Its tokens.
    pub tokens: u32,
    /// When it is dropped.
    pub expires: Instant,
}

/// One request that decodes.
#[derive(Debug)]
pub struct Running {
    /// Memory pieces it holds.
    pub pieces: u32,
    /// Whether it has a slot, rather than waiting for one.
    pub admitted: bool,
    /// Tokens generated so far.
    pub generated: watch::Sender<u32>,
    /// The prompt, from which tokens are derived.
    pub prompt: String,
    /// Tokens to generate.
    pub max_tokens: u32,
}

/// What the engine counted; tests judge by it.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct Counts {
    /// Prompt tokens run.
    pub prefill_tokens: u64,
    /// Prompt tokens whose KV cache nobody imported.
    pub wasted_tokens: u64,
    /// Tokens generated.
    pub generated_tokens: u64,
    /// Requests that were started, prefill or decode.
    pub started: u64,
    /// Requests that were cancelled while the engine held something for them.
    pub cancelled: u64,
}

/// A request as it came in.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Seen {
    /// Its id.
    pub request: String,
    /// The path.
    pub path: String,
    /// All headers, as `name: value`.
    pub headers: Vec<String>,
}

/// A change of the prefix cache.
#[derive(Debug, Clone)]
pub struct CacheEvent {
    /// When it happened.
    pub at: Instant,
    /// What happened.
    pub text: String,
}

#[derive(Debug, Default)]
pub struct State {
    pub prompts: HashMap<String, Prompt>,
    pub queue: VecDeque<(i32, String, u32)>,
    pub busy: bool,
    pub exports: HashMap<String, Export>,
    pub running: HashMap<String, Running>,
    pub cancelled: HashMap<String, Instant>,
    pub cached: VecDeque<u64>,
    pub cached_set: HashSet<u64>,
    pub report: Load,
    pub counts: Counts,
    pub seen: Vec<Seen>,
    pub leaving: bool,
    pub stalled_until: Option<Instant>,
    pub fence: u64,
    pub next_export: u64,
    pub events: Vec<CacheEvent>,
}

/// An engine.
#[derive(Debug)]
pub struct Engine {
    /// How it behaves.
    pub config: Config,
    state: Mutex<State>,
    /// Wakes whoever waits for prefill, a slot or memory.
    pub changed: Notify,
    /// Held while a KV cache leaves over the link.
    pub link: tokio::sync::Mutex<()>,
}

impl Engine {
    /// Makes an idle engine.
    pub fn new(config: Config) -> Self {
        Self {
            config,
            state: Mutex::new(State::default()),
            changed: Notify::new(),
            link: tokio::sync::Mutex::new(()),
        }
    }

    /// Locks what the engine holds.
    pub fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// The load as it is now.
    pub fn load_now(&self) -> Load {
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

    /// Makes a load what reports say from now on.
    pub fn publish(&self, mut load: Load) {
        let mut state = self.lock();
        load.leaving = state.leaving;
        state.report = load;
    }

    /// Drops exports that nobody imported in time.
    pub fn expire(&self) {
        let now = Instant::now();
        let mut state = self.lock();
        let State { exports, counts, cancelled, prompts, .. } = &mut *state;
        exports.retain(|_, export| {
            let live = export.expires > now;
            if !live {
                counts.wasted_tokens += u64::from(export.tokens);
                prompts.remove(&export.request);
            }
            live
        });
        cancelled.retain(|_, at| now.saturating_duration_since(*at) < CANCELLED_LIFE);
        drop(state);
        self.changed.notify_waiters();
    }

    /// The time one token takes at the present batch.
    pub fn token_time(&self) -> Duration {
        let state = self.lock();
        let batch = state.running.values().filter(|running| running.admitted).count();
        self.config.gap + self.config.gap_per_request * (batch as u32).saturating_sub(1)
    }

    /// Frees all that is held for a request and refuses its id from now on.
    pub fn cancel(&self, request: &str) {
        let mut state = self.lock();
        state.cancelled.insert(request.to_owned(), Instant::now());
        let held = state.forget(request);
        state.counts.cancelled += u64::from(held);
        drop(state);
        self.changed.notify_waiters();
    }
}

impl State {
    /// Memory pieces in use, by decoding requests and exports.
    pub fn used_pieces(&self) -> u32 {
        let running = self.running.values().filter(|r| r.admitted).map(|r| r.pieces);
        let exported = self.exports.values().map(|export| export.tokens.div_ceil(PIECE_TOKENS));
        running.chain(exported).sum()
    }

    /// Drops everything of a request; returns whether there was anything.
    pub fn forget(&mut self, request: &str) -> bool {
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

    fn note(&mut self, text: String) {
        self.events.push(CacheEvent { at: Instant::now(), text });
    }

    /// Counts leading prompt tokens that are cached, and caches the whole prompt.
    pub fn use_cache(&mut self, prompt: &str, capacity: usize) -> u32 {
        let mut hasher = blake3::Hasher::new();
        let mut covered = 0;
        let mut unbroken = true;
        for block in prompt.as_bytes().chunks_exact(BLOCK_BYTES) {
            hasher.update(block);
            let digest = hasher.finalize();
            let (head, _) = digest.as_bytes().split_at(8);
            let key = u64::from_le_bytes(head.try_into().expect("eight bytes"));
            let known = !self.cached_set.insert(key);
            unbroken &= known;
            if unbroken {
                covered += BLOCK_TOKENS;
            }
            if !known {
                self.cached.push_back(key);
                self.note(format!("added {key:016x}"));
            }
        }
        while self.cached.len() > capacity {
            if let Some(evicted) = self.cached.pop_front() {
                self.cached_set.remove(&evicted);
                self.note(format!("evicted {evicted:016x}"));
            }
        }
        covered.min(prompt_tokens(prompt))
    }
}
