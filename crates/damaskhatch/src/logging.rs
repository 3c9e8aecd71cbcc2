//! Log lines on standard output that never hold up whoever writes them.
//!
//! A reader that stops reading would block every thread of the host. Lines pass
//! through a bounded queue to a thread of their own; what finds it full is left
//! out, and a line says how many were.

use std::io::{self, Write};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, SyncSender, sync_channel};

/// Lines that may wait for a slow reader; about a megabyte.
const QUEUE_LINES: usize = 4_096;

/// Takes in whole lines and never waits.
#[derive(Debug, Clone)]
struct Queue {
    lines: SyncSender<Vec<u8>>,
    left_out: Arc<AtomicU64>,
}

impl Write for Queue {
    fn write(&mut self, line: &[u8]) -> io::Result<usize> {
        if self.lines.try_send(line.to_vec()).is_err() {
            self.left_out.fetch_add(1, Ordering::Relaxed);
        }
        Ok(line.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Starts logging to standard output, at level `info` unless `RUST_LOG` says otherwise.
pub fn init() {
    let queue = start(io::stdout());
    env_logger::Builder::from_env(env_logger::Env::default().default_filter_or("info"))
        .target(env_logger::Target::Pipe(Box::new(queue)))
        .format_timestamp_millis()
        .init();
}

/// Starts the thread that writes lines to `output`.
fn start(output: impl Write + Send + 'static) -> Queue {
    let (lines, waiting) = sync_channel(QUEUE_LINES);
    let left_out = Arc::new(AtomicU64::new(0));
    let counter = Arc::clone(&left_out);
    std::thread::spawn(move || write_all(&waiting, &counter, output));
    Queue { lines, left_out }
}

/// Writes lines until nobody can send any more or the reader is gone.
fn write_all(waiting: &Receiver<Vec<u8>>, left_out: &AtomicU64, mut output: impl Write) {
    while let Ok(line) = waiting.recv() {
        let missed = left_out.swap(0, Ordering::Relaxed);
        if missed > 0 && writeln!(output, "event=log_lines_left_out count={missed}").is_err() {
            return;
        }
        if output.write_all(&line).is_err() {
            return;
        }
    }
}

/// A writer like that of [`init`] before another output, for tests of its bounds.
pub fn bounded(output: impl Write + Send + 'static) -> impl Write {
    start(output)
}
