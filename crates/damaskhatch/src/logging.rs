//! Non-blocking logging to standard output.
//!
//! If the process that reads standard output stalls, a direct write blocks every thread that
//! logs. Lines therefore pass through a bounded queue to a writer thread. Lines that find the
//! queue full are dropped, and `event=log_lines_left_out` gives their number. The thread ends with
//! the process, so the last lines are written only if [`Log::flush`] waits for them.

use std::io::{self, Write};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, SyncSender, TrySendError, sync_channel};
use std::time::{Duration, Instant};

/// The capacity of the queue in lines, about a megabyte in total.
const QUEUE_LINES: usize = 4_096;

/// How often [`Log::flush`] looks for a free place in the queue.
const FLUSH_INTERVAL: Duration = Duration::from_millis(1);

/// What the writer thread is given.
#[derive(Debug)]
enum Item {
    Line(Vec<u8>),
    /// Reports that all lines before it are written.
    Flush(SyncSender<()>),
}

/// Queues complete lines for the writer thread without blocking.
#[derive(Debug, Clone)]
struct Queue {
    items: SyncSender<Item>,
    dropped: Arc<AtomicU64>,
}

/// A handle on the log of the process.
#[derive(Debug)]
pub struct Log(Queue);

impl Log {
    /// Waits until the lines logged so far are written, for `time` at most.
    ///
    /// Blocks the thread, so it is for the end of a process.
    pub fn flush(&self, time: Duration) {
        let until = Instant::now() + time;
        let (done, written) = sync_channel(1);
        let mut item = Item::Flush(done);
        while let Err(TrySendError::Full(unsent)) = self.0.items.try_send(item) {
            if Instant::now() >= until {
                return;
            }
            item = unsent;
            std::thread::sleep(FLUSH_INTERVAL);
        }
        // Without a reader of the output there is nothing to be done about the rest.
        let _result = written.recv_timeout(until.saturating_duration_since(Instant::now()));
    }
}

impl Write for Queue {
    fn write(&mut self, line: &[u8]) -> io::Result<usize> {
        if self.items.try_send(Item::Line(line.to_vec())).is_err() {
            self.dropped.fetch_add(1, Ordering::Relaxed);
        }
        Ok(line.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Starts logging to standard output, at level `info` unless `RUST_LOG` says otherwise.
///
/// Panics are logged too, because the runtime catches those of tasks.
pub fn init() -> Log {
    let queue = spawn_writer(io::stdout());
    let log = Log(queue.clone());
    env_logger::Builder::from_env(env_logger::Env::default().default_filter_or("info"))
        .target(env_logger::Target::Pipe(Box::new(queue)))
        .format_timestamp_millis()
        .init();
    let report = std::panic::take_hook();
    std::panic::set_hook(Box::new(move |panic| {
        let thread = std::thread::current();
        let location = panic.location().map_or_else(|| "unknown".to_owned(), ToString::to_string);
        let message = panic.payload_as_str().unwrap_or("no text");
        log::error!(
            "event=panic thread={} location={location} message={message:?}",
            thread.name().unwrap_or("unnamed")
        );
        report(panic);
    }));
    log
}

/// Starts the thread that writes queued lines to `output`.
fn spawn_writer(output: impl Write + Send + 'static) -> Queue {
    let (items, queued) = sync_channel(QUEUE_LINES);
    let dropped = Arc::new(AtomicU64::new(0));
    let counter = Arc::clone(&dropped);
    std::thread::spawn(move || write_lines(&queued, &counter, output));
    Queue { items, dropped }
}

/// Writes lines until every [`Queue`] has been dropped or the output fails.
fn write_lines(queued: &Receiver<Item>, dropped: &AtomicU64, mut output: impl Write) {
    while let Ok(item) = queued.recv() {
        let line = match item {
            Item::Line(line) => line,
            Item::Flush(done) => {
                if output.flush().is_err() {
                    return;
                }
                // An error says that nobody waits any more.
                let _result = done.send(());
                continue;
            }
        };
        let count = dropped.swap(0, Ordering::Relaxed);
        if count > 0 && writeln!(output, "event=log_lines_left_out count={count}").is_err() {
            return;
        }
        if output.write_all(&line).is_err() {
            return;
        }
    }
}

/// Creates the writer that [`init`] uses, on another output, and its handle; for tests.
pub fn bounded_writer(output: impl Write + Send + 'static) -> (impl Write, Log) {
    let queue = spawn_writer(output);
    (queue.clone(), Log(queue))
}
