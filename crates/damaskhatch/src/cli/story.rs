//! One request's decisions, collected from the logs of several hosts.

use std::io::{self, BufRead};

/// What a host writes instead of lines that its log's reader was too slow for.
const LEFT_OUT: &str = "event=log_lines_left_out count=";

/// A log line about a request.
#[derive(Debug, Clone, PartialEq, Eq)]
struct Line {
    /// The time that the host gave it, as text that sorts by time; empty if it has none.
    at: String,
    text: String,
}

/// Lines about one request out of any number of logs.
#[derive(Debug, Clone)]
pub struct Story {
    word: String,
    lines: Vec<Line>,
    left_out: u64,
}

impl Story {
    /// Collects what is about the request with this id.
    pub fn of(request: &str) -> Self {
        Self { word: format!("request={request}"), lines: Vec::new(), left_out: 0 }
    }

    /// Reads a log to its end; `source` names it before each line unless it is empty.
    pub fn read(&mut self, source: &str, mut log: impl BufRead) -> io::Result<()> {
        let mut bytes = Vec::new();
        while log.read_until(b'\n', &mut bytes)? > 0 {
            // A line that was cut in the middle of a character still tells something.
            self.take(source, String::from_utf8_lossy(&bytes).trim_end());
            bytes.clear();
        }
        Ok(())
    }

    fn take(&mut self, source: &str, line: &str) {
        if let Some((_, count)) = line.split_once(LEFT_OUT) {
            self.left_out += count.trim().parse::<u64>().unwrap_or(0);
        }
        if !line.split_whitespace().any(|word| word == self.word) {
            return;
        }
        let at = line.split_once('[').and_then(|(_, rest)| rest.split_whitespace().next());
        let at = at.unwrap_or_default().to_owned();
        let text = if source.is_empty() { line.to_owned() } else { format!("{source}: {line}") };
        self.lines.push(Line { at, text });
    }

    /// Whether no line was about the request.
    pub const fn is_empty(&self) -> bool {
        self.lines.is_empty()
    }

    /// Lines that hosts left out of the logs that were read, about whatever request.
    pub const fn left_out(&self) -> u64 {
        self.left_out
    }

    /// The lines by the time that their hosts gave them.
    pub fn told(mut self) -> Vec<String> {
        self.lines.sort_by(|one, other| one.at.cmp(&other.at));
        self.lines.into_iter().map(|line| line.text).collect()
    }
}
