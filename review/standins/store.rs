//! The platform's metadata store: keys, ranges, watches, transactions and leases.

use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

use crate::http::{Connection, Request, respond, serve};
use crate::json::{Value, base64, parse, quote};

#[derive(Clone)]
struct Item {
    value: String,
    revision: u64,
    created: u64,
    lease: u64,
}

#[derive(Clone, Default)]
struct State {
    items: BTreeMap<String, Item>,
    /// Each change: its revision, its key and, unless it removed the key, the item.
    events: Vec<(u64, String, Option<Item>)>,
    revision: u64,
    leases: BTreeMap<u64, (Instant, Duration)>,
    era: u64,
    /// The revision up to which the history is dropped.
    dropped: u64,
    is_away: bool,
}

impl State {
    fn change(&mut self, key: &str, value: Option<(String, u64)>) {
        self.revision += 1;
        let revision = self.revision;
        let created = self.items.get(key).map_or(revision, |item| item.created);
        let item = value.map(|(value, lease)| Item { value, revision, created, lease });
        match &item {
            Some(item) => drop(self.items.insert(key.to_owned(), item.clone())),
            None => drop(self.items.remove(key)),
        }
        self.events.push((revision, key.to_owned(), item));
    }

    fn end_leases(&mut self) {
        let now = Instant::now();
        let ended: Vec<u64> =
            self.leases.iter().filter(|(_, (until, _))| *until <= now).map(|(id, _)| *id).collect();
        ended.into_iter().for_each(|lease| self.end_lease(lease));
    }

    fn end_lease(&mut self, lease: u64) {
        self.leases.remove(&lease);
        let keys: Vec<String> = self
            .items
            .iter()
            .filter(|(_, item)| item.lease == lease)
            .map(|(key, _)| key.clone())
            .collect();
        keys.iter().for_each(|key| self.change(key, None));
    }
}

fn item_json(key: &str, item: &Item) -> String {
    let Item { value, revision, created, lease } = item;
    format!(
        "{{\"key\":{},\"value\":\"{value}\",\"revision\":{revision},\"created\":{created},\"lease\":{lease}}}",
        quote(key)
    )
}

/// A copy of the store's content, to be restored later.
pub struct Copy(State);

#[derive(Clone)]
pub struct Store {
    pub address: SocketAddr,
    shared: Arc<(Mutex<State>, Condvar)>,
}

impl Store {
    pub fn start(address: &str) -> Self {
        let listener = TcpListener::bind(address).expect("a free port for the store");
        let state = State { revision: 100, era: 1, ..State::default() };
        let shared = Arc::new((Mutex::new(state), Condvar::new()));
        let store = Self { address: listener.local_addr().expect("an address"), shared };
        let served = store.clone();
        serve(listener, move |connection| served.handle(connection));
        let ticking = store.clone();
        std::thread::spawn(move || {
            loop {
                std::thread::sleep(Duration::from_millis(50));
                let mut state = ticking.shared.0.lock().unwrap();
                if !state.is_away {
                    state.end_leases();
                }
                drop(state);
                ticking.shared.1.notify_all();
            }
        });
        store
    }

    /// Writes a key as the operator or an engine does.
    pub fn put(&self, key: &str, text: &str) {
        self.shared.0.lock().unwrap().change(key, Some((base64(text.as_bytes()), 0)));
        self.shared.1.notify_all();
    }

    pub fn remove(&self, key: &str) {
        self.shared.0.lock().unwrap().change(key, None);
        self.shared.1.notify_all();
    }

    pub fn keys(&self, prefix: &str) -> Vec<String> {
        let state = self.shared.0.lock().unwrap();
        state.items.keys().filter(|key| key.starts_with(prefix)).cloned().collect()
    }

    pub fn copy(&self) -> Copy {
        Copy(self.shared.0.lock().unwrap().clone())
    }

    /// While the store is away it answers nothing.
    pub fn set_away(&self, is_away: bool) {
        self.shared.0.lock().unwrap().is_away = is_away;
        self.shared.1.notify_all();
    }

    /// Comes back from a copy: what was written since is gone, and the era rises by one.
    pub fn restore(&self, copy: &Copy) {
        let mut state = self.shared.0.lock().unwrap();
        let era = state.era + 1;
        *state = copy.0.clone();
        let now = Instant::now();
        for (until, ttl) in state.leases.values_mut() {
            *until = now + *ttl;
        }
        state.era = era;
        state.dropped = state.revision;
        state.events.clear();
        state.is_away = false;
        drop(state);
        self.shared.1.notify_all();
    }

    fn handle(&self, mut connection: Connection) {
        while let Ok(Some(request)) = connection.read_request() {
            let (status, body, era) = self.answer(&request);
            std::thread::sleep(Duration::from_millis(4));
            let mut state = self.shared.0.lock().unwrap();
            while state.is_away {
                state = self.shared.1.wait(state).unwrap();
            }
            if state.era != era {
                // A response from before a restore is lost with its connection.
                return;
            }
            drop(state);
            let era = era.to_string();
            let extra = [("Content-Type", "application/json"), ("Store-Era", era.as_str())];
            if connection.write(&respond(status, &extra, body.as_bytes())).is_err() {
                return;
            }
        }
    }

    fn answer(&self, request: &Request) -> (u16, String, u64) {
        let path = request.target.split('?').next().unwrap_or("");
        let mut state = self.shared.0.lock().unwrap();
        while state.is_away {
            state = self.shared.1.wait(state).unwrap();
        }
        state.end_leases();
        let era = state.era;
        let none = || "{}".to_owned();
        let lease_of = |path: &str| path.rsplit('/').next().and_then(|id| id.parse::<u64>().ok());
        let (status, body) = match path {
            "/api/kv-key" => {
                let key = request.query("key").unwrap_or_default();
                match state.items.get(&key) {
                    Some(item) => (200, item_json(&key, item)),
                    None => (404, none()),
                }
            }
            "/api/kv-range" => {
                let prefix = request.query("prefix").unwrap_or_default();
                let items: Vec<String> = state
                    .items
                    .iter()
                    .filter(|(key, _)| key.starts_with(&prefix))
                    .map(|(key, item)| item_json(key, item))
                    .collect();
                let as_of = state.revision;
                let items = items.join(",");
                (200, format!("{{\"items\":[{items}],\"truncated\":false,\"as_of\":{as_of}}}"))
            }
            "/api/kv-watch" => {
                let prefix = request.query("prefix").unwrap_or_default();
                let number =
                    |name| request.query(name).and_then(|v| v.parse().ok()).unwrap_or(0_u64);
                let (after, wait) = (number("after"), Duration::from_millis(number("wait_ms")));
                let until = Instant::now() + wait;
                loop {
                    if state.era != era || after < state.dropped || after > state.revision {
                        let era = state.era;
                        return (410, none(), era);
                    }
                    let events: Vec<String> = state
                        .events
                        .iter()
                        .filter(|(revision, key, _)| *revision > after && key.starts_with(&prefix))
                        .map(|(revision, key, item)| match item {
                            Some(item) => item_json(key, item),
                            None => format!(
                                "{{\"key\":{},\"revision\":{revision},\"removed\":true}}",
                                quote(key)
                            ),
                        })
                        .collect();
                    let left = until.saturating_duration_since(Instant::now());
                    if !state.is_away && (!events.is_empty() || left.is_zero()) {
                        let (events, as_of) = (events.join(","), state.revision);
                        break (200, format!("{{\"events\":[{events}],\"as_of\":{as_of}}}"));
                    }
                    let left = left.max(Duration::from_millis(1));
                    state = self.shared.1.wait_timeout(state, left).unwrap().0;
                }
            }
            "/api/kv-txn" => {
                let body = parse(&String::from_utf8_lossy(&request.body)).unwrap_or(Value::Null);
                let expected = body.list("expected");
                let is_current = expected.iter().all(|row| {
                    let now = state.items.get(row.text("key")).map_or(0, |item| item.revision);
                    now == row.number("revision")
                });
                let writes = body.list("writes");
                let has_leases = writes.iter().all(|write| {
                    let lease = write.number("lease");
                    lease == 0 || state.leases.contains_key(&lease)
                });
                if !has_leases {
                    (404, none())
                } else if !is_current {
                    let items: Vec<String> = expected
                        .iter()
                        .filter_map(|row| {
                            let key = row.text("key");
                            state.items.get(key).map(|item| item_json(key, item))
                        })
                        .collect();
                    (412, format!("{{\"items\":[{}]}}", items.join(",")))
                } else {
                    for write in writes {
                        let value = (write.text("value").to_owned(), write.number("lease"));
                        state.change(write.text("key"), Some(value));
                    }
                    for key in body.list("deletes") {
                        if let Value::Text(key) = key {
                            state.change(key, None);
                        }
                    }
                    (200, format!("{{\"revision\":{}}}", state.revision))
                }
            }
            "/api/kv-lease" => {
                let body = parse(&String::from_utf8_lossy(&request.body)).unwrap_or(Value::Null);
                let ttl = Duration::from_millis(body.number("ttl_ms").clamp(1_000, 600_000));
                state.revision += 1;
                let lease = state.revision;
                state.leases.insert(lease, (Instant::now() + ttl, ttl));
                (200, format!("{{\"lease\":{lease},\"ttl_ms\":{}}}", ttl.as_millis()))
            }
            path if path.starts_with("/api/kv-keep/") => {
                match lease_of(path).and_then(|id| state.leases.get_mut(&id)) {
                    Some((until, ttl)) => {
                        *until = Instant::now() + *ttl;
                        (200, none())
                    }
                    None => (404, none()),
                }
            }
            path if path.starts_with("/api/kv-lease-end/") => {
                if let Some(lease) = lease_of(path) {
                    state.end_lease(lease);
                }
                (200, none())
            }
            _ => (404, none()),
        };
        drop(state);
        self.shared.1.notify_all();
        (status, body, era)
    }
}
