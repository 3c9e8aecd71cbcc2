//! Clients leave while the engine of their stream has nothing to send.

use std::collections::HashMap;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crate::engine::Engine;
use crate::host::{Host, Site, network};
use crate::http::{Connection, Request, connect};
use crate::record::Record;
use crate::store::Store;
use crate::{Case, Found, config, request};

/// The streams, at two machines in turn; three of ten clients leave, as in the site's `give_up`.
const STREAMS: usize = 30;
/// The events of a stream, and the time between two.
const EVENTS: u64 = 20;
const PACE: Duration = Duration::from_millis(120);
/// Every second stream is preempted after this event, for this long.
const PREEMPTED_AFTER: u64 = 3;
const PAUSE: Duration = Duration::from_millis(3_300);
/// When the clients leave, within the site's 1,500 ms.
const LEAVES_AFTER: Duration = Duration::from_millis(1_000);
/// How long after a close an engine may be at work, by the rule.
const ALLOWED: Duration = Duration::from_millis(500);

type Works = Arc<Mutex<HashMap<String, Vec<(Instant, Instant)>>>>;

/// The number of the client in a request's id.
fn number(id: &str) -> usize {
    id.rsplit('-').next().and_then(|number| number.parse().ok()).unwrap_or(0)
}

fn stream(engine: &Engine, request: &Request, connection: &mut Connection, works: &Works) {
    let id = request.header("Request-Id").unwrap_or("").to_owned();
    let last: u64 = request.header("Last-Event-Id").and_then(|v| v.parse().ok()).unwrap_or(0);
    engine.record.note(&format!("engine {} begins {id} after event {last}", engine.id));
    let began = Instant::now();
    let mut is_open = connection.write(engine.stream_head(&id, "stamp").as_bytes()).is_ok();
    for event in last + 1..=EVENTS {
        let is_preempted = last == 0 && event == PREEMPTED_AFTER + 1 && number(&id) % 2 == 0;
        let until = Instant::now() + if is_preempted { PAUSE } else { PACE };
        while is_open && Instant::now() < until {
            is_open = !connection.is_closed();
            std::thread::sleep(Duration::from_millis(5));
        }
        let text = format!("id: {event}\ndata: {event} of {id}\n\n");
        let chunk = format!("{:x}\r\n{text}\r\n", text.len());
        is_open = is_open && connection.write(chunk.as_bytes()).is_ok();
        if !is_open {
            break;
        }
    }
    engine
        .record
        .note(&format!("engine {} ends {id}; its caller has closed: {}", engine.id, !is_open));
    works.lock().unwrap().entry(id).or_default().push((began, Instant::now()));
    if is_open {
        let _ = connection.write(b"0\r\n\r\n");
    }
}

pub fn run(case: &Case, scratch: &str) -> Found {
    let record = Record::create(&format!("{}/record.txt", case.folder));
    let net = network();
    let store = Store::start(&format!("{net}200:8361"));
    let works: Works = Arc::default();
    let mut engines = Vec::new();
    for n in 0..8_u16 {
        let id = format!("i-model{n}");
        let mut engine = Engine::new(&format!("{net}{}", 40 + n), 8_080, &id, "model", &record);
        engine.stage = Some(if n < 2 { "prefill" } else { "decode" });
        if n >= 2 {
            let works = Arc::clone(&works);
            engine.trouble = Arc::new(move |engine, request, connection| {
                let is_stream = !request.target.starts_with("/api/");
                if is_stream {
                    stream(engine, request, connection, &works);
                }
                is_stream
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
    let left: Arc<Mutex<HashMap<String, Instant>>> = Arc::default();
    let mut clients = Vec::new();
    for client in 0..STREAMS {
        let (record, front) = (record.clone(), hosts[client % 2].front);
        let leaves = case.has_trouble && matches!(client % 10, 0 | 3 | 6);
        let left = Arc::clone(&left);
        clients.push(std::thread::spawn(move || {
            std::thread::sleep(Duration::from_millis(300 * client as u64));
            let id = format!("summary-{client}");
            let extra = "Model: m\r\nToken-Count: 100,720\r\nLength-Hint: 300\r\nPrompt-Prefix: a1:40,b2:60\r\n";
            let Ok(mut connection) = connect(front, Duration::from_millis(3_600)) else { return 0 };
            let sent_at = Instant::now();
            let sent = connection.write(request("/summary/1", &id, 14_000, extra, "prompt").as_bytes());
            let Ok((status, _)) = sent.and_then(|()| connection.read_response_head()) else { return 0 };
            let mut events = 0;
            let mut end = "complete".to_owned();
            loop {
                if leaves {
                    // It reads what comes until it leaves, and closes its connection in order.
                    let wait = LEAVES_AFTER.saturating_sub(sent_at.elapsed());
                    if wait.is_zero() {
                        left.lock().unwrap().insert(id.clone(), Instant::now());
                        end = "the client leaves".to_owned();
                        break;
                    }
                    let _ = connection.stream.set_read_timeout(Some(wait));
                }
                match connection.read_chunk() {
                    Ok(chunk) if chunk.is_empty() => break,
                    Ok(chunk) => events += String::from_utf8_lossy(&chunk).matches("id: ").count(),
                    Err(_) if leaves => {}
                    Err(error) => {
                        end = error.to_string();
                        break;
                    }
                }
            }
            drop(connection);
            record.note(&format!("client: {id} gets {status} and {events} events, then: {end}"));
            events
        }));
    }
    let events: usize = clients.into_iter().map(|client| client.join().unwrap_or(0)).sum();
    std::thread::sleep(Duration::from_secs(5));
    hosts.iter_mut().for_each(Host::kill);
    std::thread::sleep(Duration::from_millis(300));
    let (left, works) = (left.lock().unwrap(), works.lock().unwrap());
    let (mut at_work, mut late) = (0, 0);
    for (id, left_at) in left.iter() {
        let none = Vec::new();
        let own = works.get(id).unwrap_or(&none);
        let until = *left_at + ALLOWED;
        at_work += usize::from(own.iter().any(|(began, ended)| *began < until && *ended > until));
        for (began, ended) in own.iter().filter(|(began, _)| *began > until) {
            late += 1;
            record.note(&format!(
                "{id} reaches another engine {:.2} s after its client has left, which works on it for {:.2} s",
                (*began - *left_at).as_secs_f64(),
                (*ended - *began).as_secs_f64()
            ));
        }
    }
    record.say(&format!(
        "{STREAMS} streams, {events} events; {} clients left; half a second later engines were still at work for \
         {at_work} of them, and later {late} requests of them reached engines",
        left.len()
    ));
    if events == 0 {
        return Found::CouldNotRun("no stream was served".to_owned());
    }
    if at_work * 4 > left.len() || late > 3 { Found::Broken } else { Found::Held }
}
