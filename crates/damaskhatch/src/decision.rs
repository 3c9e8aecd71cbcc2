//! One log line per routing or placement decision, and a ring of the latest.
//!
//! Lines are `key=value`; `damaskhatch explain` reads the ring of every host.

use std::collections::VecDeque;
use std::fmt;
use std::sync::{Arc, Mutex};

use serde::Serialize;

/// Decisions that a host remembers.
const CAPACITY: usize = 4_096;

/// One remembered decision.
#[derive(Debug, Clone, Serialize)]
pub struct Line {
    /// Milliseconds since the Unix epoch.
    pub at_ms: u64,
    /// The request.
    pub request: String,
    /// The whole line.
    pub text: String,
}

/// The latest decisions of a host, shared by its threads.
#[derive(Debug, Clone, Default)]
pub struct Journal {
    lines: Arc<Mutex<VecDeque<Line>>>,
}

impl Journal {
    /// Logs a decision and remembers it.
    pub fn record(&self, request: impl fmt::Display, what: fmt::Arguments<'_>) {
        let text = format!("decision request={request} {what}");
        log::info!("{text}");
        let at_ms = damaskhatch_wire::frame::wall_ms();
        let line = Line { at_ms, request: request.to_string(), text };
        let mut lines = self.lines.lock().unwrap_or_else(std::sync::PoisonError::into_inner);
        if lines.len() == CAPACITY {
            lines.pop_front();
        }
        lines.push_back(line);
    }

    /// The remembered decisions on a request, oldest first.
    pub fn explain(&self, request: &str) -> Vec<Line> {
        let lines = self.lines.lock().unwrap_or_else(std::sync::PoisonError::into_inner);
        lines.iter().filter(|line| line.request == request).cloned().collect()
    }
}
