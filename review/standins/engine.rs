//! Engines: plain ones, and model engines with prefill and decode.

use std::net::{SocketAddr, TcpListener};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crate::http::{Connection, Request, respond, serve};
use crate::record::Record;

/// What a test does with a request in place of the sound engine; returns whether it did anything.
pub type Trouble = dyn Fn(&Engine, &Request, &mut Connection) -> bool + Send + Sync;

#[derive(Clone)]
pub struct Engine {
    pub id: String,
    pub address: SocketAddr,
    pub service: String,
    pub version: String,
    pub zone: String,
    /// `prefill`, `decode`, or nothing for a plain engine.
    pub stage: Option<&'static str>,
    /// How long a plain request takes, or the time between two events.
    pub pace: Duration,
    /// The number of events of a stream.
    pub events: u64,
    pub record: Record,
    pub running: Arc<AtomicUsize>,
    pub runs: Arc<Mutex<Vec<(String, Instant)>>>,
    pub trouble: Arc<Trouble>,
    serial: Arc<AtomicUsize>,
}

/// The places of an engine.
pub const SLOTS: usize = 12;

impl Engine {
    pub fn new(ip: &str, port: u16, id: &str, service: &str, record: &Record) -> Self {
        Self {
            id: id.to_owned(),
            address: format!("{ip}:{port}").parse().expect("an address"),
            service: service.to_owned(),
            version: "v1".to_owned(),
            zone: "zone-a".to_owned(),
            stage: None,
            pace: Duration::from_millis(60),
            events: 1,
            record: record.clone(),
            running: Arc::default(),
            runs: Arc::default(),
            trouble: Arc::new(|_, _, _| false),
            serial: Arc::default(),
        }
    }

    pub fn start(self) -> Self {
        let listener = TcpListener::bind(self.address).expect("a free port for an engine");
        let served = self.clone();
        serve(listener, move |connection| served.handle(connection));
        self
    }

    /// The entry that the engine writes to the store.
    pub fn entry(&self, state: &str) -> String {
        let Self { service, address, zone, version, .. } = self;
        let stage = self.stage.map_or(String::new(), |stage| {
            format!(",\"stage\":\"{stage}\",\"models\":[{{\"name\":\"m\",\"version\":1,\"adapters\":[]}}]")
        });
        format!(
            "{{\"service\":\"{service}\",\"address\":\"{address}\",\"zone\":\"{zone}\",\
             \"version\":\"{version}\",\"slots\":{SLOTS},\"state\":\"{state}\",\"cold_left_ms\":0,\
             \"seq\":1,\"born\":1700000000000{stage}}}"
        )
    }

    fn handle(&self, mut connection: Connection) {
        while let Ok(Some(request)) = connection.read_request() {
            if (self.trouble)(self, &request, &mut connection) {
                return;
            }
            if !self.answer(&request, &mut connection) {
                return;
            }
        }
    }

    /// Answers as a sound engine does; returns whether the connection is kept.
    pub fn answer(&self, request: &Request, connection: &mut Connection) -> bool {
        let path = request.target.split('?').next().unwrap_or("");
        let id = request.header("Request-Id").unwrap_or("").to_owned();
        let json = [("Content-Type", "application/json")];
        let mut send = |bytes: Vec<u8>| connection.write(&bytes).is_ok();
        if request.header("Expect-Instance").is_some_and(|expected| expected != self.id) {
            return send(respond(421, &[("Request-Id", &id)], b""));
        }
        let serial = self.serial.fetch_add(1, Ordering::Relaxed);
        if path == "/api/hold-take" {
            let body = format!("{{\"hold\":\"h-{}-{serial}\"}}", self.id);
            return send(respond(200, &json, body.as_bytes()));
        }
        if path == "/api/report" {
            let body = format!(
                "{{\"stage\":\"{}\",\"busy\":false,\"seq\":0,\"queued\":0,\"running\":0,\"kv_used\":0,\"kv_total\":80233,\"kv_handles\":0}}",
                self.stage.unwrap_or("")
            );
            return send(respond(200, &json, body.as_bytes()));
        }
        if path.starts_with("/api/") {
            self.record.note(&format!("engine {} gets {} {}", self.id, request.method, path));
            return send(respond(200, &json, b"{}"));
        }
        if id.is_empty() {
            return send(respond(400, &[("Not-Executed", "1")], b""));
        }
        let stamp = format!("{}.{serial}", self.id);
        let own = [("Request-Id", id.as_str()), ("Response-Stamp", stamp.as_str())];
        let is_prefill = request.header("Serving-Stage") == Some("prefill");
        match self.stage {
            None => {
                if self.running.fetch_add(1, Ordering::SeqCst) >= SLOTS {
                    self.running.fetch_sub(1, Ordering::SeqCst);
                    let full = [("Request-Id", id.as_str()), ("Not-Executed", "1")];
                    return send(respond(503, &full, b""));
                }
                self.note_run(&id);
                std::thread::sleep(self.pace);
                self.running.fetch_sub(1, Ordering::SeqCst);
                let body = format!("body of {id} by {}", self.id);
                send(respond(200, &own, body.as_bytes()))
            }
            Some("prefill") if is_prefill => {
                std::thread::sleep(Duration::from_millis(20));
                let body =
                    format!("{{\"kv_handle\":\"kv-{serial}\",\"tokens\":100,\"version\":1}}");
                let extra = [("Request-Id", id.as_str()), ("Content-Type", "application/json")];
                send(respond(200, &extra, body.as_bytes()))
            }
            Some("decode") if !is_prefill => {
                self.note_run(&id);
                let last =
                    request.header("Last-Event-Id").and_then(|v| v.parse().ok()).unwrap_or(0);
                self.stream(&id, &stamp, last, connection)
            }
            _ => send(respond(421, &[("Request-Id", &id)], b"")),
        }
    }

    /// The head of a stream's response.
    pub fn stream_head(&self, id: &str, stamp: &str) -> String {
        format!(
            "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nResponse-Stamp: {stamp}\r\n\
             Weight-Versions: 1\r\nContent-Type: text/event-stream\r\n\
             Transfer-Encoding: chunked\r\n\r\n"
        )
    }

    fn stream(&self, id: &str, stamp: &str, last: u64, connection: &mut Connection) -> bool {
        if connection.write(self.stream_head(id, stamp).as_bytes()).is_err() {
            return false;
        }
        for event in last + 1..=self.events {
            std::thread::sleep(self.pace);
            let text = format!("id: {event}\ndata: {}-{event} of {id}\n\n", self.version);
            let chunk = format!("{:x}\r\n{text}\r\n", text.len());
            if connection.write(chunk.as_bytes()).is_err() || connection.is_closed() {
                self.record.note(&format!("engine {} stops {id} after event {event}", self.id));
                return false;
            }
        }
        connection.write(b"0\r\n\r\n").is_ok()
    }

    pub fn note_run(&self, id: &str) {
        self.runs.lock().unwrap().push((id.to_owned(), Instant::now()));
        self.record.note(&format!("engine {} runs {id}", self.id));
    }

    pub fn has_run(&self, id: &str) -> usize {
        self.runs.lock().unwrap().iter().filter(|(own, _)| own == id).count()
    }
}
