//! A stream whose engine was only slow goes on at another engine, whose answer is lost.

use std::collections::HashMap;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crate::engine::Engine;
use crate::host::{Host, Site, network};
use crate::http::connect;
use crate::record::Record;
use crate::store::Store;
use crate::{Case, Found, config, request};

/// The streams of the case, at two machines in turn.
const STREAMS: usize = 16;
/// The decode engines, and how many of them lose answers: with the prefill engine three of five.
const DECODE_ENGINES: u16 = 4;
const LOSING_ENGINES: u16 = 3;
/// The events of a stream, and the time between two.
const EVENTS: u64 = 20;
const PACE: Duration = Duration::from_millis(120);
/// The event after which a stream is preempted at its first engine, and how long it takes until that
/// engine has read it in again: less than the 3.6 s after which its client would leave.
const PREEMPTED_AFTER: u64 = 5;
const PAUSE: Duration = Duration::from_millis(3_300);
/// The longest time for which two engines may work on a request, by the rule.
const ALLOWED: Duration = Duration::from_millis(400);

/// The work of one engine on one request.
struct Work {
    engine: String,
    began: Instant,
    ended: Instant,
}

type Works = Arc<Mutex<HashMap<String, Vec<Work>>>>;

/// Works until `until`, or until the caller closes its connection; returns whether it did not.
fn work_until(connection: &mut crate::http::Connection, until: Instant) -> bool {
    while Instant::now() < until {
        if connection.is_closed() {
            return false;
        }
        std::thread::sleep(Duration::from_millis(5));
    }
    true
}

fn decode(
    engine: &Engine,
    request: &crate::http::Request,
    connection: &mut crate::http::Connection,
    loses: bool,
    works: &Works,
) {
    let id = request.header("Request-Id").unwrap_or("").to_owned();
    let last: u64 = request.header("Last-Event-Id").and_then(|v| v.parse().ok()).unwrap_or(0);
    engine.note_run(&id);
    let began = Instant::now();
    // The answer to what goes on is lost: the engine runs it and nothing comes back.
    let is_lost = loses && last > 0;
    let mut is_open = true;
    if !is_lost {
        is_open = connection.write(engine.stream_head(&id, "stamp").as_bytes()).is_ok();
    }
    for event in last + 1..=EVENTS {
        let pause = if last == 0 && event == PREEMPTED_AFTER + 1 { PAUSE } else { PACE };
        if !is_open || !work_until(connection, Instant::now() + pause) {
            is_open = false;
            break;
        }
        let text = format!("id: {event}\ndata: {event} of {id}\n\n");
        let chunk = format!("{:x}\r\n{text}\r\n", text.len());
        if !is_lost {
            is_open = connection.write(chunk.as_bytes()).is_ok();
        }
    }
    let ended = Instant::now();
    engine.record.note(&format!(
        "engine {} ends its work on {id}; its caller has closed: {}",
        engine.id, !is_open
    ));
    let work = Work { engine: engine.id.clone(), began, ended };
    works.lock().unwrap().entry(id).or_default().push(work);
    if !is_open {
        return;
    }
    if is_lost {
        // A connection on which an answer is lost returns nothing further.
        work_until(connection, Instant::now() + Duration::from_secs(20));
    } else {
        let _ = connection.write(b"0\r\n\r\n");
    }
}

pub fn run(case: &Case, scratch: &str) -> Found {
    let record = Record::create(&format!("{}/record.txt", case.folder));
    let net = network();
    let store = Store::start(&format!("{net}200:8361"));
    let works: Works = Arc::default();
    let mut engines = Vec::new();
    for n in 0..=DECODE_ENGINES {
        let id = format!("i-model{n}");
        let mut engine = Engine::new(&format!("{net}{}", 40 + n), 8_080, &id, "model", &record);
        engine.stage = Some(if n == 0 { "prefill" } else { "decode" });
        if n > 0 {
            let (works, loses) = (Arc::clone(&works), case.has_trouble && n <= LOSING_ENGINES);
            engine.trouble = Arc::new(move |engine, request, connection| {
                if request.target.starts_with("/api/") {
                    return false;
                }
                decode(engine, request, connection, loses, &works);
                true
            });
        }
        engines.push(engine.start());
    }
    store.put("op/config", &config(1));
    for engine in &engines {
        store.put(&format!("servers/{}", engine.id), &engine.entry("ready"));
    }
    let seeds = [format!("{net}1:8367")];
    let site = Site { zones: &["zone-a"], seeds: &seeds, store: store.address, folder: scratch };
    let mut hosts = Vec::new();
    for n in 1..=2 {
        let name = format!("edge-zone-a-{n}");
        let mut host = Host::new(&site, &name, "zone-a", &format!("{net}{n}"));
        host.start();
        hosts.push(host);
    }
    if !hosts.iter().all(|host| host.wait_ready(Duration::from_secs(10))) {
        return Found::CouldNotRun("a machine was not ready within 10 s".to_owned());
    }
    std::thread::sleep(Duration::from_secs(1));
    let mut clients = Vec::new();
    for client in 0..STREAMS {
        let (record, front) = (record.clone(), hosts[client % 2].front);
        clients.push(std::thread::spawn(move || {
            std::thread::sleep(Duration::from_millis(400 * client as u64));
            let id = format!("summary-{client}");
            let extra = "Model: m\r\nToken-Count: 100,720\r\nLength-Hint: 300\r\nPrompt-Prefix: a1:40,b2:60\r\n";
            // The client leaves after a gap of 3.6 s, four times the objective.
            let Ok(mut connection) = connect(front, Duration::from_millis(3_600)) else { return 0 };
            record.note(&format!("client sends {id}"));
            let sent = connection.write(request("/summary/1", &id, 14_000, extra, "prompt").as_bytes());
            let Ok((status, _)) = sent.and_then(|()| connection.read_response_head()) else { return 0 };
            let mut events = 0;
            let end = loop {
                match connection.read_chunk() {
                    Ok(chunk) if chunk.is_empty() => break "complete".to_owned(),
                    Ok(chunk) => events += String::from_utf8_lossy(&chunk).matches("id: ").count(),
                    Err(error) => break format!("{error}"),
                }
            };
            record.note(&format!("client: {id} gets {status} and {events} events, then: {end}"));
            events
        }));
    }
    let events: usize = clients.into_iter().map(|client| client.join().unwrap_or(0)).sum();
    // Engines notice a close within milliseconds.
    std::thread::sleep(Duration::from_millis(500));
    hosts.iter_mut().for_each(Host::kill);
    std::thread::sleep(Duration::from_millis(300));
    let works = works.lock().unwrap();
    let (mut gone_on, mut overlaps) = (0, 0);
    for (id, works) in works.iter() {
        let Some(first) = works.iter().min_by_key(|work| work.began) else { continue };
        for next in works.iter().filter(|work| work.began > first.began) {
            gone_on += 1;
            let overlap = first.ended.saturating_duration_since(next.began);
            record.note(&format!(
                "{id} goes on at {} {:.2} s after its begin at {}, which works on it for {:.2} s more, while {} does for {:.2} s",
                next.engine,
                (next.began - first.began).as_secs_f64(),
                first.engine,
                overlap.as_secs_f64(),
                next.engine,
                (next.ended - next.began).as_secs_f64(),
            ));
            overlaps += usize::from(overlap > ALLOWED);
        }
    }
    record.say(&format!(
        "{STREAMS} streams, {events} events; went on at another engine {gone_on} times, of which {overlaps} while the \
         engine before still worked on it over 400 ms later"
    ));
    if events == 0 || gone_on == 0 {
        return Found::CouldNotRun("no stream went on at another engine".to_owned());
    }
    if overlaps > 0 { Found::Broken } else { Found::Held }
}
