//! A reader of the log that stops never holds up the host.

use std::io::Write;
use std::sync::mpsc::{Receiver, Sender, channel};
use std::time::{Duration, Instant};

use damaskhatch::logging::bounded;

/// An output that hands on what it is given and waits until it may go on.
struct Stuck {
    go_on: Receiver<()>,
    written: Sender<String>,
}

impl Write for Stuck {
    fn write(&mut self, bytes: &[u8]) -> std::io::Result<usize> {
        self.go_on.recv().map_err(std::io::Error::other)?;
        let text = String::from_utf8_lossy(bytes).into_owned();
        self.written.send(text).map_err(std::io::Error::other)?;
        Ok(bytes.len())
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

#[test]
fn a_reader_that_stops_costs_lines_and_no_time() {
    let (release, go_on) = channel();
    let (written, read) = channel();
    let mut log = bounded(Stuck { go_on, written });
    let started = Instant::now();
    for number in 0..20_000 {
        log.write_all(format!("line {number}\n").as_bytes()).expect("a line is taken or left out");
    }
    assert!(started.elapsed() < Duration::from_secs(5), "nothing waits for the reader");
    for _ in 0..30_000 {
        release.send(()).expect("the output is there");
    }
    let mut all = String::new();
    while let Ok(text) = read.recv_timeout(Duration::from_secs(1)) {
        all.push_str(&text);
    }
    assert!(all.starts_with("line 0\n"));
    let lines = all.lines().filter(|line| line.starts_with("line ")).count();
    assert!(lines < 20_000, "the queue is bounded");
    log.write_all(b"line last\n").expect("taken");
    while let Ok(text) = read.recv_timeout(Duration::from_secs(1)) {
        all.push_str(&text);
    }
    let missed: usize = all
        .lines()
        .filter_map(|line| line.strip_prefix("event=log_lines_left_out count="))
        .map(|count| count.parse::<usize>().expect("a number"))
        .sum();
    assert_eq!(lines + missed, 20_000, "every line is written or counted");
}
