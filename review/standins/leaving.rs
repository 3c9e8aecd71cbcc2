//! An engine that leaves ends in the middle of answers that have neither a length nor chunks.

use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use crate::engine::Engine;
use crate::host::{Host, Site, network};
use crate::http::{Connection, Request, connect};
use crate::record::Record;
use crate::store::Store;
use crate::{Case, Found, config, request};

/// The events of a stream, and the time between two: 4.5 s, well below its limit of 14 s.
const EVENTS: u64 = 30;
const PACE: Duration = Duration::from_millis(150);
/// The streams, at a machine with six decode engines.
const STREAMS: usize = 24;
/// The engine that leaves: one of eight.
const LEAVING: usize = 5;
/// When it is gone after its notice, as `scale_in` with `spot` says.
const GONE_AFTER: Duration = Duration::from_secs(2);

/// A sound stream without a length or chunks; it ends with its connection.
fn stream(engine: &Engine, request: &Request, connection: &mut Connection) {
    let id = request.header("Request-Id").unwrap_or("").to_owned();
    let last: u64 = request.header("Last-Event-Id").and_then(|v| v.parse().ok()).unwrap_or(0);
    engine.note_run(&id);
    let head = engine.stream_head(&id, "stamp").replace("Transfer-Encoding: chunked\r\n", "");
    let mut is_open = connection.write(head.as_bytes()).is_ok();
    for event in last + 1..=EVENTS {
        std::thread::sleep(PACE);
        is_open = is_open && !connection.is_closed();
        let text = format!("id: {event}\ndata: {event} of {id}\n\n");
        is_open = is_open && connection.write(text.as_bytes()).is_ok();
    }
    if is_open {
        engine.record.note(&format!("engine {} has made all events of {id}", engine.id));
    }
}

/// An engine of the case: IP, number, the record and its age in milliseconds.
pub fn engine_process(words: &[String]) -> ! {
    let number: usize = words[1].parse().expect("a number");
    let before = Duration::from_millis(words[3].parse().expect("a number"));
    let mut engine = engine(&words[0], number, &Record::append(&words[2], before));
    if number >= 2 {
        engine.trouble = Arc::new(|engine, request, connection| {
            let is_stream = !request.target.starts_with("/api/");
            if is_stream {
                stream(engine, request, connection);
            }
            is_stream
        });
    }
    engine.start();
    loop {
        std::thread::sleep(Duration::from_secs(1));
    }
}

fn engine(ip: &str, number: usize, record: &Record) -> Engine {
    let mut engine = Engine::new(ip, 8_080, &format!("i-model{number}"), "model", record);
    engine.stage = Some(if number < 2 { "prefill" } else { "decode" });
    engine
}

/// An engine's process, killed at the end of the case.
struct Process(Child);

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

pub fn run(case: &Case, scratch: &str) -> Found {
    let path = format!("{}/record.txt", case.folder);
    let record = Record::create(&path);
    let net = network();
    let store = Store::start(&format!("{net}200:8361"));
    store.put("op/config", &config(1));
    let mut processes = Vec::new();
    let mut entries = Vec::new();
    for number in 0..8_usize {
        let ip = format!("{net}{}", 40 + number);
        let before = record.elapsed().as_millis().to_string();
        let program = std::env::current_exe().expect("this program");
        let child = Command::new(program)
            .args(["engine-of-leaving", &ip, &number.to_string(), &path, &before])
            .stdin(Stdio::null())
            .spawn()
            .expect("the engine starts");
        processes.push(Some(Process(child)));
        entries.push(engine(&ip, number, &record));
    }
    std::thread::sleep(Duration::from_millis(300));
    for engine in &entries {
        store.put(&format!("servers/{}", engine.id), &engine.entry("ready"));
    }
    let seeds = [format!("{net}1:8367")];
    let site = Site { zones: &["zone-a"], seeds: &seeds, store: store.address, folder: scratch };
    let mut host = Host::new(&site, "edge-zone-a-1", "zone-a", &format!("{net}1"));
    host.start();
    if !host.wait_ready(Duration::from_secs(10)) {
        return Found::CouldNotRun("the machine was not ready within 10 s".to_owned());
    }
    std::thread::sleep(Duration::from_secs(1));
    let ends: Arc<Mutex<Vec<(bool, u64)>>> = Arc::default();
    let mut clients = Vec::new();
    for client in 0..STREAMS {
        let (record, front, ends) = (record.clone(), host.front, Arc::clone(&ends));
        clients.push(std::thread::spawn(move || {
            std::thread::sleep(Duration::from_millis(20 * client as u64));
            // Half of the streams may be resumed, the others run once.
            let route = if client % 2 == 0 { "summary" } else { "check" };
            let id = format!("{route}-{client}");
            let extra = "Model: m\r\nToken-Count: 100,720\r\nLength-Hint: 300\r\nPrompt-Prefix: a1:40,b2:60\r\n";
            let Ok(mut connection) = connect(front, Duration::from_secs(14)) else { return };
            record.note(&format!("client sends {id}"));
            let sent = connection
                .write(request(&format!("/{route}/1"), &id, 14_000, extra, "prompt").as_bytes());
            let Ok((200, _)) = sent.and_then(|()| connection.read_response_head()) else {
                record.note(&format!("client: {id} gets no stream"));
                return;
            };
            let mut last = 0;
            let is_complete = loop {
                match connection.read_chunk() {
                    Ok(chunk) if chunk.is_empty() => break true,
                    Ok(chunk) => {
                        let text = String::from_utf8_lossy(&chunk).into_owned();
                        let ids = text.lines().filter_map(|line| line.strip_prefix("id: "));
                        last = ids.filter_map(|id| id.parse().ok()).last().unwrap_or(last);
                    }
                    Err(_) => break false,
                }
            };
            let how = if is_complete { "ends as complete" } else { "is broken off" };
            record.note(&format!("client: {id} {how} after event {last} of {EVENTS}"));
            ends.lock().unwrap().push((is_complete, last));
        }));
    }
    std::thread::sleep(Duration::from_millis(1_200));
    if case.has_trouble {
        let leaving = &entries[LEAVING];
        record.note(&format!("engine {} reports that it is draining", leaving.id));
        store.put(&format!("servers/{}", leaving.id), &leaving.entry("draining"));
        std::thread::sleep(GONE_AFTER);
        record.note(&format!("engine {} is gone", leaving.id));
        processes[LEAVING] = None;
        store.remove(&format!("servers/{}", leaving.id));
    }
    for client in clients {
        let _ = client.join();
    }
    host.kill();
    drop(processes);
    let ends = ends.lock().unwrap();
    let whole = ends.iter().filter(|(is_complete, last)| *is_complete && *last == EVENTS).count();
    let short = ends.iter().filter(|(is_complete, last)| *is_complete && *last < EVENTS).count();
    let broken_off = ends.iter().filter(|(is_complete, _)| !is_complete).count();
    record.say(&format!(
        "{} streams: {whole} whole, {broken_off} broken off, {short} ended as complete before their last event",
        ends.len()
    ));
    if whole == 0 {
        return Found::CouldNotRun("no stream was served".to_owned());
    }
    if short > 0 { Found::Broken } else { Found::Held }
}
