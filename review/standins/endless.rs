//! An engine that sends bytes without end, and the memory of the machine that forwards them.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use crate::engine::Engine;
use crate::host::{Host, Site, network};
use crate::http::{connect, header};
use crate::record::Record;
use crate::store::Store;
use crate::{Case, Found, config, request};

/// `limits.memory_mb` of the site's machines.
const MEMORY_MB: f64 = 110.0;
/// The bytes a second that the engine in trouble sends: a quarter of what a machine's link carries.
const BYTES_PER_S: usize = 30_000_000;
/// How long the case is played after the machine is ready.
const LENGTH: Duration = Duration::from_secs(30);

pub fn run(case: &Case, scratch: &str) -> Found {
    let record = Record::create(&format!("{}/record.txt", case.folder));
    let net = network();
    let store = Store::start(&format!("{net}7:8361"));
    let has_trouble = case.has_trouble;
    let app = |n: u16| {
        let mut engine =
            Engine::new(&format!("{net}{}", 20 + n), 8_668, &format!("i-app{n}"), "app", &record);
        engine.pace = Duration::from_millis(150);
        engine
    };
    let model = |n: u16, stage| {
        let mut engine = Engine::new(
            &format!("{net}{}", 40 + n),
            8_080,
            &format!("i-model{n}"),
            "model",
            &record,
        );
        (engine.stage, engine.events, engine.pace) = (Some(stage), 10, Duration::from_millis(100));
        engine
    };
    let mut decode = model(2, "decode");
    if has_trouble {
        decode.trouble = Arc::new(|engine, request, connection| {
            if request.target.starts_with("/api/") {
                return false;
            }
            let id = request.header("Request-Id").unwrap_or("").to_owned();
            engine.note_run(&id);
            let _ = connection.write(engine.stream_head(&id, "stamp").as_bytes());
            // One sound event, then bytes that are no event, until the caller closes.
            let event = format!("id: 1\ndata: 1 of {id}\n\n");
            let _ = connection.write(format!("{:x}\r\n{event}\r\n", event.len()).as_bytes());
            let garbage = vec![b'x'; 16_384];
            let mut chunk = format!("{:x}\r\n", garbage.len()).into_bytes();
            chunk.extend_from_slice(&garbage);
            chunk.extend_from_slice(b"\r\n");
            let (began, mut sent) = (Instant::now(), 0);
            while connection.write(&chunk).is_ok() {
                sent += chunk.len();
                let due = began + Duration::from_secs_f64(sent as f64 / BYTES_PER_S as f64);
                crate::http::sleep_until(due);
            }
            engine.record.note(&format!(
                "engine {} sees the close of {id} after {:.1} s and {:.1} MB",
                engine.id,
                began.elapsed().as_secs_f64(),
                sent as f64 / 1e6
            ));
            true
        });
    }
    let engines = [app(1).start(), app(2).start(), model(1, "prefill").start(), decode.start()];
    store.put("op/config", &config(1));
    for engine in &engines {
        store.put(&format!("servers/{}", engine.id), &engine.entry("ready"));
    }
    let seeds = [format!("{net}1:8367")];
    let site = Site { zones: &["zone-a"], seeds: &seeds, store: store.address, folder: scratch };
    let mut host = Host::new(&site, "edge-zone-a-1", "zone-a", &format!("{net}1"));
    host.start();
    if !host.wait_ready(Duration::from_secs(10)) {
        return Found::CouldNotRun("the machine was not ready within 10 s".to_owned());
    }
    std::thread::sleep(Duration::from_millis(500));
    let began = Instant::now();
    let is_over = Arc::new(AtomicBool::new(false));
    let (lost, served) = (Arc::new(AtomicUsize::new(0)), Arc::new(AtomicUsize::new(0)));
    let front = host.front;
    let mut clients = Vec::new();
    // Bookings, each client on a connection that it keeps.
    for client in 0..6 {
        let (record, is_over) = (record.clone(), Arc::clone(&is_over));
        let (lost, served) = (Arc::clone(&lost), Arc::clone(&served));
        let apps = [engines[0].clone(), engines[1].clone()];
        clients.push(std::thread::spawn(move || {
            let (mut kept, mut number, mut on_kept) = (None, 0, false);
            while !is_over.load(Ordering::Relaxed) {
                let mut connection = match kept.take() {
                    Some(connection) => connection,
                    None => match connect(front, Duration::from_secs(4)) {
                        Ok(connection) => {
                            on_kept = false;
                            connection
                        }
                        Err(_) => {
                            std::thread::sleep(Duration::from_millis(200));
                            continue;
                        }
                    },
                };
                number += 1;
                let id = format!("booking-{client}-{number}");
                let sent = connection.write(request("/booking/1", &id, 4_000, "", "drum").as_bytes());
                let answer = sent.and_then(|()| connection.read_response());
                match answer {
                    Ok(answer) => {
                        record.note(&format!("client {client}: {id} gets {}", answer.status));
                        if answer.status == 200 {
                            served.fetch_add(1, Ordering::Relaxed);
                        }
                        let closes = header(&answer.headers, "connection").is_some_and(|v| v == "close");
                        if !closes {
                            (kept, on_kept) = (Some(connection), true);
                        }
                    }
                    Err(error) => {
                        let ran = apps.iter().any(|engine| engine.has_run(&id) > 0);
                        if ran && on_kept {
                            lost.fetch_add(1, Ordering::Relaxed);
                        }
                        record.note(&format!(
                            "client {client}: {id} gets no answer ({error}); a sound engine ran it: {ran}; kept connection: {on_kept}"
                        ));
                    }
                }
                std::thread::sleep(Duration::from_millis(50));
            }
        }));
    }
    // One summary after the other, by one client.
    let summaries = {
        let (record, is_over) = (record.clone(), Arc::clone(&is_over));
        std::thread::spawn(move || {
            let mut number = 0;
            std::thread::sleep(Duration::from_secs(2));
            while !is_over.load(Ordering::Relaxed) {
                number += 1;
                let id = format!("check-{number}");
                let extra = "Model: m\r\nToken-Count: 100,720\r\nLength-Hint: 300\r\nPrompt-Prefix: a1:40,b2:60\r\n";
                let Ok(mut connection) = connect(front, Duration::from_secs(15)) else {
                    std::thread::sleep(Duration::from_millis(500));
                    continue;
                };
                record.note(&format!("summary client sends {id}"));
                let sent =
                    connection.write(request("/check/1", &id, 14_000, extra, "prompt").as_bytes());
                let head = sent.and_then(|()| connection.read_response_head());
                let mut events = 0;
                let end = match head {
                    Ok((200, _)) => loop {
                        match connection.read_chunk() {
                            Ok(chunk) if chunk.is_empty() => break "complete".to_owned(),
                            Ok(_) => events += 1,
                            Err(error) => break format!("broken off: {error}"),
                        }
                    },
                    Ok((status, _)) => format!("status {status}"),
                    Err(error) => format!("no answer: {error}"),
                };
                record.note(&format!("summary client: {id} ends after {events} events: {end}"));
                std::thread::sleep(Duration::from_millis(500));
            }
        })
    };
    let (mut peak, mut kills, mut noted) = (0.0_f64, 0, Instant::now());
    while began.elapsed() < LENGTH {
        std::thread::sleep(Duration::from_millis(20));
        let memory = host.memory_mb();
        peak = peak.max(memory);
        if noted.elapsed() >= Duration::from_millis(250) {
            record.note(&format!("the machine's process uses {memory:.1} MiB"));
            noted = Instant::now();
        }
        if memory > MEMORY_MB || host.has_ended() {
            kills += 1;
            record.note(&format!(
                "the machine's process uses {memory:.1} MiB, more than {MEMORY_MB}: the platform kills it"
            ));
            host.kill();
            std::thread::sleep(Duration::from_millis(1_000));
            host.start();
        }
    }
    is_over.store(true, Ordering::Relaxed);
    for client in clients {
        let _ = client.join();
    }
    host.kill();
    let _ = summaries.join();
    let (lost, served) = (lost.load(Ordering::Relaxed), served.load(Ordering::Relaxed));
    record.say(&format!(
        "peak memory {peak:.1} MiB, ended by the platform for its memory {kills} times; bookings served {served}, \
         passed on to a sound engine from a kept connection and left without an answer {lost} (3 are allowed)"
    ));
    if served == 0 {
        return Found::CouldNotRun("no booking was served".to_owned());
    }
    if lost > 3 { Found::Broken } else { Found::Held }
}
