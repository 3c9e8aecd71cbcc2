//! Logs each routing and placement decision, and keeps the most recent ones in memory.
//!
//! A line consists of `key=value` pairs. `damaskhatch explain` queries the buffers of the hosts.

use std::collections::VecDeque;
use std::fmt;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use serde::Serialize;

/// The number of decisions kept; the oldest is dropped first.
const CAPACITY: usize = 4_096;
/// The most bytes of decisions kept, since callers and upstreams choose part of their text.
const MAX_BYTES: usize = 2 << 20;

/// A recorded decision.
#[derive(Debug, Clone, Serialize)]
pub struct Line {
    /// The time of the decision, in milliseconds since the Unix epoch.
    pub at_ms: u64,
    /// The id of the request.
    pub request: String,
    /// The line as logged.
    pub text: String,
}

impl Line {
    const fn bytes(&self) -> usize {
        self.request.len() + self.text.len()
    }
}

/// A bounded buffer of a host's most recent decisions; clones share it.
#[derive(Debug, Clone, Default)]
pub struct Journal {
    kept: Arc<Mutex<Kept>>,
}

/// The decisions kept, oldest first.
#[derive(Debug, Default)]
struct Kept {
    lines: VecDeque<Line>,
    /// The sum of their lengths.
    bytes: usize,
}

impl Kept {
    fn push(&mut self, line: Line) {
        self.bytes += line.bytes();
        self.lines.push_back(line);
        while self.lines.len() > CAPACITY || self.bytes > MAX_BYTES {
            let Some(oldest) = self.lines.pop_front() else { return };
            self.bytes -= oldest.bytes();
        }
    }
}

impl Journal {
    /// Logs a decision on a request and keeps it in the buffer.
    pub fn record(&self, request: impl fmt::Display, details: fmt::Arguments<'_>) {
        let text = format!("decision request={request} {details}");
        log::info!("{text}");
        let at_ms = damaskhatch_wire::frame::wall_ms();
        let line = Line { at_ms, request: request.to_string(), text };
        self.lock().push(line);
    }

    fn lock(&self) -> MutexGuard<'_, Kept> {
        self.kept.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// The decisions on a request that are still in the buffer, oldest first.
    pub fn explain(&self, request: &str) -> Vec<Line> {
        self.lock().lines.iter().filter(|line| line.request == request).cloned().collect()
    }
}
