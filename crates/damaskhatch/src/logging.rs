//! Non-blocking logging to standard output.
//!
//! If the process that reads standard output stalls, a direct write blocks every thread that
//! logs. Lines therefore pass through a bounded queue to a writer thread. Lines that find the
//! queue full are dropped, and `event=log_lines_left_out` gives their number.

use std::io::{self, Write};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, SyncSender, sync_channel};

/// The capacity of the queue in lines, about a megabyte in total.
const QUEUE_LINES: usize = 4_096;

/// Queues complete lines for the writer thread without blocking.
#[derive(Debug, Clone)]
struct Queue {
    lines: SyncSender<Vec<u8>>,
    dropped: Arc<AtomicU64>,
}

impl Write for Queue {
    fn write(&mut self, line: &[u8]) -> io::Result<usize> {
        if self.lines.try_send(line.to_vec()).is_err() {
            self.dropped.fetch_add(1, Ordering::Relaxed);
        }
        Ok(line.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Starts logging to standard output, at level `info` unless `RUST_LOG` says otherwise.
pub fn init() {
    let queue = spawn_writer(io::stdout());
    env_logger::Builder::from_env(env_logger::Env::default().default_filter_or("info"))
        .target(env_logger::Target::Pipe(Box::new(queue)))
        .format_timestamp_millis()
        .init();
}

/// Starts the thread that writes queued lines to `output`.
fn spawn_writer(output: impl Write + Send + 'static) -> Queue {
    let (lines, queued) = sync_channel(QUEUE_LINES);
    let dropped = Arc::new(AtomicU64::new(0));
    let counter = Arc::clone(&dropped);
    std::thread::spawn(move || write_lines(&queued, &counter, output));
    Queue { lines, dropped }
}

/// Writes lines until every [`Queue`] has been dropped or the output fails.
fn write_lines(queued: &Receiver<Vec<u8>>, dropped: &AtomicU64, mut output: impl Write) {
    while let Ok(line) = queued.recv() {
        let count = dropped.swap(0, Ordering::Relaxed);
        if count > 0 && writeln!(output, "event=log_lines_left_out count={count}").is_err() {
            return;
        }
        if output.write_all(&line).is_err() {
            return;
        }
    }
}

/// Creates the writer that [`init`] uses, on another output; for tests.
pub fn bounded_writer(output: impl Write + Send + 'static) -> impl Write {
    spawn_writer(output)
}
