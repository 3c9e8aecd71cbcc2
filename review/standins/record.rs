//! The record of a case: what was sent, answered and run, with the time since its start.

use std::fs::File;
use std::io::Write;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

#[derive(Clone)]
pub struct Record {
    began: Instant,
    file: Arc<Mutex<File>>,
}

impl Record {
    pub fn create(path: &str) -> Self {
        drop(File::create(path).expect("the record can be written"));
        let file = File::options().append(true).open(path).expect("the record can be written");
        Self { began: Instant::now(), file: Arc::new(Mutex::new(file)) }
    }

    /// Writes on in the record of another process, which began it `before` ago.
    pub fn append(path: &str, before: Duration) -> Self {
        let file = File::options().append(true).open(path).expect("the record exists");
        let began = Instant::now() - before;
        Self { began, file: Arc::new(Mutex::new(file)) }
    }

    /// The time since the record began.
    pub fn elapsed(&self) -> Duration {
        self.began.elapsed()
    }

    pub fn note(&self, text: &str) {
        let at = self.began.elapsed().as_secs_f64();
        let mut file = self.file.lock().unwrap();
        // One write, so that lines of several processes do not mix.
        let _ = file.write_all(format!("{at:8.3} s  {text}\n").as_bytes());
    }

    pub fn say(&self, text: &str) {
        self.note(text);
        println!("{text}");
    }
}
