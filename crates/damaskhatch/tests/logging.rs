//! Guards against a host that blocks on logging because the reader of its output has stalled, and
//! against one that loses its last lines.

use std::io::Write;
use std::sync::mpsc::{Receiver, Sender, channel};
use std::time::{Duration, Instant};

use damaskhatch::logging::bounded_writer;

/// An output that reports the start of each write, then blocks until the test permits it.
struct Stalled {
    entered: Sender<()>,
    permits: Receiver<()>,
    written: Sender<String>,
}

impl Write for Stalled {
    fn write(&mut self, bytes: &[u8]) -> std::io::Result<usize> {
        self.entered.send(()).map_err(std::io::Error::other)?;
        self.permits.recv().map_err(std::io::Error::other)?;
        let text = String::from_utf8_lossy(bytes).into_owned();
        self.written.send(text).map_err(std::io::Error::other)?;
        Ok(bytes.len())
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

#[test]
fn a_stalled_reader_costs_lines_but_blocks_no_writer() {
    let (entered, entries) = channel();
    let (permit, permits) = channel();
    let (written, read) = channel();
    let (mut log, _handle) = bounded_writer(Stalled { entered, permits, written });
    let started = Instant::now();
    log.write_all(b"line 0\n").expect("the line is queued");
    // The writer thread reports dropped lines before the line it took from the queue. It must
    // therefore have passed that report for line 0 before the queue can overflow.
    entries.recv().expect("the writer thread runs");
    for number in 1..20_000 {
        log.write_all(format!("line {number}\n").as_bytes()).expect("a line is queued or dropped");
    }
    assert!(started.elapsed() < Duration::from_secs(5), "no write waits for the reader");
    for _ in 0..30_000 {
        permit.send(()).expect("the writer thread runs");
    }
    let mut all = String::new();
    while let Ok(text) = read.recv_timeout(Duration::from_secs(1)) {
        all.push_str(&text);
    }
    assert!(all.starts_with("line 0\n"));
    let lines = all.lines().filter(|line| line.starts_with("line ")).count();
    assert!(lines < 20_000, "the queue is bounded");
    log.write_all(b"line last\n").expect("the line is queued");
    while let Ok(text) = read.recv_timeout(Duration::from_secs(1)) {
        all.push_str(&text);
    }
    let dropped: usize = all
        .lines()
        .filter_map(|line| line.strip_prefix("event=log_lines_left_out count="))
        .map(|count| count.parse::<usize>().expect("a number"))
        .sum();
    assert_eq!(lines + dropped, 20_000, "every line is written or counted as dropped");
}

/// An output that takes some time for each line.
struct Slow(Sender<String>);

impl Write for Slow {
    fn write(&mut self, bytes: &[u8]) -> std::io::Result<usize> {
        std::thread::sleep(Duration::from_millis(2));
        self.0.send(String::from_utf8_lossy(bytes).into_owned()).map_err(std::io::Error::other)?;
        Ok(bytes.len())
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

/// Guards against a process whose last lines, which say why it ends, are never written.
#[test]
fn a_flush_waits_until_all_lines_are_written() {
    let (written, read) = channel();
    let (mut log, handle) = bounded_writer(Slow(written));
    for number in 0..100 {
        log.write_all(format!("line {number}\n").as_bytes()).expect("the line is queued");
    }
    handle.flush(Duration::from_secs(10));
    assert_eq!(read.try_iter().count(), 100);
}

/// Guards against a process that cannot end because the reader of its output has stalled.
#[test]
fn a_flush_ends_although_the_reader_is_stalled() {
    let (entered, _entries) = channel();
    let (_permit, permits) = channel();
    let (written, _read) = channel();
    let (mut log, handle) = bounded_writer(Stalled { entered, permits, written });
    for number in 0..20_000 {
        log.write_all(format!("line {number}\n").as_bytes()).expect("a line is queued or dropped");
    }
    let started = Instant::now();
    handle.flush(Duration::from_millis(300));
    assert!(started.elapsed() < Duration::from_secs(3), "took {:?}", started.elapsed());
}
