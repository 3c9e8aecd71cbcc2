//! Clients take up their streams at other machines after the machine that served them was killed.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crate::engine::Engine;
use crate::host::{Host, Site, network};
use crate::http::connect;
use crate::record::Record;
use crate::store::Store;
use crate::{Case, Found, config, request};

/// The clients whose streams run through the machine that is killed.
const CLIENTS: usize = 24;
/// How long the killed process stays away: the bench starts one again half a second after `node_kill`.
const AWAY: Duration = Duration::from_millis(500);
const EXTRA: &str =
    "Model: m\r\nToken-Count: 100,720\r\nLength-Hint: 300\r\nPrompt-Prefix: a1:40,b2:60\r\n";

/// How an attempt at a stream ended.
enum End {
    Complete,
    /// With the id of the last event that arrived.
    Broken(u64),
    Status(u16),
}

/// Sends one attempt and reads its events; `first` is set once one has arrived.
///
/// The client closes its connection itself after the event at which `quits` is set.
fn attempt(
    front: SocketAddr,
    id: &str,
    extra: &str,
    first: &AtomicBool,
    quits: &AtomicBool,
) -> End {
    let Ok(mut connection) = connect(front, Duration::from_secs(14)) else { return End::Broken(0) };
    let sent = connection.write(request("/summary/1", id, 14_000, extra, "prompt").as_bytes());
    match sent.and_then(|()| connection.read_response_head()) {
        Ok((200, _)) => {}
        Ok((status, _)) => return End::Status(status),
        Err(_) => return End::Broken(0),
    }
    let mut last = 0;
    loop {
        match connection.read_chunk() {
            Ok(chunk) if chunk.is_empty() => return End::Complete,
            Ok(chunk) => {
                for line in String::from_utf8_lossy(&chunk).lines() {
                    if let Some(id) = line.strip_prefix("id: ").and_then(|id| id.parse().ok()) {
                        last = id;
                        first.store(true, Ordering::SeqCst);
                    }
                }
                if quits.load(Ordering::SeqCst) {
                    return End::Broken(last);
                }
            }
            Err(_) => return End::Broken(last),
        }
    }
}

pub fn run(case: &Case, scratch: &str) -> Found {
    let record = Record::create(&format!("{}/record.txt", case.folder));
    let net = network();
    let store = Store::start(&format!("{net}200:8361"));
    let zones = ["hu-central-a", "hu-central-b", "hu-central-c"];
    // As in the site file: eight model engines, three with the prefill stage.
    let mut engines = Vec::new();
    for n in 0..8_u16 {
        let id = format!("i-model{n}");
        let mut engine = Engine::new(&format!("{net}{}", 40 + n), 8_080, &id, "model", &record);
        engine.stage = Some(if n < 2 { "prefill" } else { "decode" });
        (engine.events, engine.pace) = (20, Duration::from_millis(150));
        engine.zone = zones[usize::from(n) % 3].to_owned();
        engines.push(engine.start());
    }
    store.put("op/config", &config(1));
    for engine in &engines {
        store.put(&format!("servers/{}", engine.id), &engine.entry("ready"));
    }
    let seeds = [format!("{net}1:8367"), format!("{net}4:8367"), format!("{net}5:8367")];
    let site = Site { zones: &zones, seeds: &seeds, store: store.address, folder: scratch };
    let machines = [
        ("edge-hu-central-a-1", 0),
        ("edge-hu-central-a-2", 0),
        ("edge-hu-central-a-3", 0),
        ("edge-hu-central-b-1", 1),
        ("edge-hu-central-c-1", 2),
        ("edge-hu-central-c-2", 2),
    ];
    let mut hosts: Vec<Host> = Vec::new();
    for (at, (name, zone)) in machines.iter().enumerate() {
        let mut host = Host::new(&site, name, zones[*zone], &format!("{net}{}", at + 1));
        host.start();
        hosts.push(host);
    }
    for host in &hosts {
        if !host.wait_ready(Duration::from_secs(15)) {
            return Found::CouldNotRun(format!("{} was not ready within 15 s", host.name));
        }
    }
    // Long after the start, so that all machines know each other and what has served.
    let settle = std::env::var("SETTLE_S").ok().and_then(|s| s.parse().ok()).unwrap_or(36);
    std::thread::sleep(Duration::from_secs(settle));
    let fronts: Vec<SocketAddr> = hosts.iter().map(|host| host.front).collect();
    let victim: usize = std::env::var("VICTIM").ok().and_then(|v| v.parse().ok()).unwrap_or(3);
    let others: Vec<SocketAddr> =
        fronts.iter().copied().filter(|front| *front != fronts[victim]).collect();
    let results: Arc<Mutex<Vec<(bool, bool)>>> = Arc::default();
    let begun = Arc::new(AtomicUsize::new(0));
    // Without the disruption, the clients break their connections themselves.
    let quits = Arc::new(AtomicBool::new(false));
    let mut clients = Vec::new();
    for client in 0..CLIENTS {
        let (record, results) = (record.clone(), Arc::clone(&results));
        let (victim, other) = (fronts[victim], others[client % others.len()]);
        let (begun, quits) = (Arc::clone(&begun), Arc::clone(&quits));
        clients.push(std::thread::spawn(move || {
            std::thread::sleep(Duration::from_millis(20 * client as u64));
            let first = format!("summary-{client}-1");
            record.note(&format!("client {client} sends {first}"));
            let has_begun = AtomicBool::new(false);
            let end = attempt(victim, &first, EXTRA, &has_begun, &quits);
            begun.fetch_add(usize::from(has_begun.load(Ordering::SeqCst)), Ordering::SeqCst);
            let last = match end {
                End::Complete => {
                    record.note(&format!("client {client}: {first} is complete"));
                    return;
                }
                End::Status(status) => {
                    record.note(&format!("client {client}: {first} gets {status}"));
                    return;
                }
                End::Broken(last) => last,
            };
            if last == 0 {
                record.note(&format!("client {client}: {first} breaks off before its first event"));
                return;
            }
            // One retry, as on the sheet, at another machine.
            let second = format!("summary-{client}-2");
            record.note(&format!(
                "client {client}: {first} breaks off after event {last}; it is taken up as {second} at {other}"
            ));
            let extra = format!("{EXTRA}Last-Event-Id: {last}\r\nResumes: {first}\r\n");
            let (sent_at, goes_on) = (Instant::now(), AtomicBool::new(false));
            let end = attempt(other, &second, &extra, &goes_on, &AtomicBool::new(false));
            let goes_on = goes_on.load(Ordering::SeqCst);
            let how = match end {
                End::Complete => "complete".to_owned(),
                End::Broken(last) => format!("broken off after event {last}"),
                End::Status(status) => format!("status {status}"),
            };
            record.note(&format!(
                "client {client}: {second} ends after {} ms: {how}; goes on: {goes_on}",
                sent_at.elapsed().as_millis()
            ));
            results.lock().unwrap().push((true, goes_on));
        }));
    }
    // New streams at the other machines, all the while.
    let is_over = Arc::new(AtomicBool::new(false));
    let (new, new_begun) = (Arc::new(AtomicUsize::new(0)), Arc::new(AtomicUsize::new(0)));
    for client in 0..4_usize {
        let (record, is_over, front) = (record.clone(), Arc::clone(&is_over), others[client]);
        let (new, new_begun) = (Arc::clone(&new), Arc::clone(&new_begun));
        clients.push(std::thread::spawn(move || {
            let mut number = 0;
            while !is_over.load(Ordering::SeqCst) {
                number += 1;
                let id = format!("new-{client}-{number}");
                let has_begun = AtomicBool::new(false);
                let end = attempt(front, &id, EXTRA, &has_begun, &AtomicBool::new(false));
                new.fetch_add(1, Ordering::SeqCst);
                new_begun
                    .fetch_add(usize::from(has_begun.load(Ordering::SeqCst)), Ordering::SeqCst);
                let status = if let End::Status(status) = end { status } else { 200 };
                record.note(&format!("new client {client}: {id} ends with {status}"));
            }
        }));
    }
    std::thread::sleep(Duration::from_millis(1_800));
    if case.has_trouble {
        record.note(&format!("{} is killed", hosts[victim].name));
        hosts[victim].kill();
    } else {
        record.note("the clients close their connections");
        quits.store(true, Ordering::SeqCst);
    }
    std::thread::sleep(AWAY);
    if case.has_trouble {
        hosts[victim].start();
        record.note(&format!("{} is started again", hosts[victim].name));
    }
    std::thread::sleep(Duration::from_secs(4));
    is_over.store(true, Ordering::SeqCst);
    for client in clients {
        let _ = client.join();
    }
    let results = results.lock().unwrap();
    let taken_up = results.len();
    let gone_on = results.iter().filter(|(_, goes_on)| *goes_on).count();
    let (new, new_begun) = (new.load(Ordering::SeqCst), new_begun.load(Ordering::SeqCst));
    let begun = begun.load(Ordering::SeqCst);
    record.say(&format!(
        "streams begun at the machine {begun} of {CLIENTS}; taken up at others {taken_up}, of which {gone_on} went on; \
         new streams {new}, of which {new_begun} began"
    ));
    if begun < 12 || new == 0 {
        return Found::CouldNotRun("too few streams began".to_owned());
    }
    let share = |part: usize, whole: usize| part as f64 / whole.max(1) as f64;
    let is_broken = taken_up >= 12 && share(gone_on, taken_up) < share(new_begun, new) / 2.0;
    if is_broken { Found::Broken } else { Found::Held }
}
