//! Collects the lines about one request from the logs of several hosts.

use std::io::{self, BufRead};

/// Precedes the number of lines that a host dropped because the reader of its log was too slow.
const DROPPED_EVENT: &str = "event=log_lines_left_out count=";

/// A log line about a request.
#[derive(Debug, Clone, PartialEq, Eq)]
struct Line {
    /// The host's timestamp, as text that sorts by time; empty if the line has none.
    logged_at: String,
    text: String,
}

/// The lines about one request from any number of logs.
#[derive(Debug, Clone)]
pub struct Timeline {
    /// The `request=ID` pair that marks a line about the request.
    marker: String,
    lines: Vec<Line>,
    dropped_lines: u64,
}

impl Timeline {
    /// Creates an empty timeline of the request with this id.
    pub fn new(request: &str) -> Self {
        Self { marker: format!("request={request}"), lines: Vec::new(), dropped_lines: 0 }
    }

    /// Reads a log to its end. Unless `source` is empty, it is prefixed to each line of the log.
    pub fn read(&mut self, source: &str, mut log: impl BufRead) -> io::Result<()> {
        let mut bytes = Vec::new();
        while log.read_until(b'\n', &mut bytes)? > 0 {
            // A line truncated inside a character is still kept.
            self.add_line(source, String::from_utf8_lossy(&bytes).trim_end());
            bytes.clear();
        }
        Ok(())
    }

    fn add_line(&mut self, source: &str, line: &str) {
        if let Some((_, count)) = line.split_once(DROPPED_EVENT) {
            self.dropped_lines += count.trim().parse::<u64>().unwrap_or(0);
        }
        if !line.split_whitespace().any(|word| word == self.marker) {
            return;
        }
        let logged_at = line.split_once('[').and_then(|(_, rest)| rest.split_whitespace().next());
        let logged_at = logged_at.unwrap_or_default().to_owned();
        let text = if source.is_empty() { line.to_owned() } else { format!("{source}: {line}") };
        self.lines.push(Line { logged_at, text });
    }

    /// Whether no log that was read has a line about the request.
    pub const fn is_empty(&self) -> bool {
        self.lines.is_empty()
    }

    /// The number of lines, about any request, that hosts dropped from the logs that were read.
    pub const fn dropped_lines(&self) -> u64 {
        self.dropped_lines
    }

    /// Returns the lines ordered by their hosts' timestamps.
    pub fn into_sorted(mut self) -> Vec<String> {
        self.lines.sort_by(|one, other| one.logged_at.cmp(&other.logged_at));
        self.lines.into_iter().map(|line| line.text).collect()
    }
}
