//! Logs each routing and placement decision, and keeps the most recent ones in memory.
//!
//! A line consists of `key=value` pairs. `damaskhatch explain` queries the buffers of the hosts.

use std::collections::VecDeque;
use std::fmt;
use std::sync::{Arc, Mutex};

use serde::Serialize;

/// The number of decisions kept; the oldest is dropped first.
const CAPACITY: usize = 4_096;

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

/// A bounded buffer of a host's most recent decisions; clones share it.
#[derive(Debug, Clone, Default)]
pub struct Journal {
    lines: Arc<Mutex<VecDeque<Line>>>,
}

impl Journal {
    /// Logs a decision on a request and keeps it in the buffer.
    pub fn record(&self, request: impl fmt::Display, details: fmt::Arguments<'_>) {
        let text = format!("decision request={request} {details}");
        log::info!("{text}");
        let at_ms = damaskhatch_wire::frame::wall_ms();
        let line = Line { at_ms, request: request.to_string(), text };
        let mut lines = self.lines.lock().unwrap_or_else(std::sync::PoisonError::into_inner);
        if lines.len() == CAPACITY {
            lines.pop_front();
        }
        lines.push_back(line);
    }

    /// The decisions on a request that are still in the buffer, oldest first.
    pub fn explain(&self, request: &str) -> Vec<Line> {
        let lines = self.lines.lock().unwrap_or_else(std::sync::PoisonError::into_inner);
        lines.iter().filter(|line| line.request == request).cloned().collect()
    }
}
