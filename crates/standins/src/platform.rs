//! A stand-in for the platform: key-value service with leases and watches, host list.

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::io;
use std::net::SocketAddr;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use actix_web::{App, HttpResponse, HttpServer, web};
use damaskhatch_store::message::{Host, Item, Lease, Swap, Term, Version};
use serde::{Deserialize, Serialize};
use tokio::sync::Notify;
use tokio::time::{Instant, sleep, timeout};

/// How late the list of hosts is.
const LIST_LAG: Duration = Duration::from_millis(500);
/// The largest value, in bytes.
const MAX_VALUE_BYTES: usize = 1 << 20;
/// How long a call hangs during an outage, like one to a host that is down.
const OUTAGE_HANG: Duration = Duration::from_secs(2);

/// What a test asks the platform to get wrong.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct Fault {
    /// No call is carried out for this long, in milliseconds.
    #[serde(default)]
    pub outage_ms: u64,
    /// Every call takes this much longer, in milliseconds.
    #[serde(default)]
    pub slow_ms: u64,
    /// This many writes take effect and lose their replies.
    #[serde(default)]
    pub lose_replies: u32,
}

/// Calls so far.
#[derive(Debug, Clone, Copy, Default, Serialize, Deserialize)]
pub struct Counts {
    /// Reads and waiting watches.
    pub reads: u64,
    /// Writes and leases.
    pub writes: u64,
}

#[derive(Debug, Default)]
struct State {
    items: BTreeMap<String, (Item, Option<u64>)>,
    versions: HashMap<String, u64>,
    leases: HashMap<u64, (Instant, Duration)>,
    next_lease: u64,
    lists: VecDeque<(Instant, Vec<Host>)>,
    fault: Fault,
    outage_until: Option<Instant>,
    counts: Counts,
}

#[derive(Debug, Default)]
struct Platform {
    state: Mutex<State>,
    changed: Notify,
}

type Shared = web::Data<Platform>;

impl Platform {
    fn lock(&self) -> MutexGuard<'_, State> {
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        state.end_leases();
        state
    }

    /// Counts a call and lets the injected faults happen to it.
    async fn enter(&self, write: bool) -> Result<(), HttpResponse> {
        let (outage, slow) = {
            let mut state = self.lock();
            if write {
                state.counts.writes += 1;
            } else {
                state.counts.reads += 1;
            }
            let outage = state.outage_until.is_some_and(|until| until > Instant::now());
            (outage, Duration::from_millis(state.fault.slow_ms))
        };
        if outage {
            sleep(OUTAGE_HANG).await;
            return Err(HttpResponse::ServiceUnavailable().finish());
        }
        sleep(slow).await;
        Ok(())
    }

    /// The answer to a write that took effect, unless a test wants it lost.
    async fn leave(&self, response: HttpResponse) -> HttpResponse {
        let lost = {
            let mut state = self.lock();
            let lost = state.fault.lose_replies > 0;
            state.fault.lose_replies = state.fault.lose_replies.saturating_sub(1);
            lost
        };
        if lost {
            sleep(OUTAGE_HANG).await;
            return HttpResponse::ServiceUnavailable().finish();
        }
        response
    }
}

impl State {
    fn end_leases(&mut self) {
        let now = Instant::now();
        let ended: Vec<u64> =
            self.leases.iter().filter(|(_, (end, _))| *end <= now).map(|(l, _)| *l).collect();
        for lease in ended {
            self.end_lease(lease);
        }
    }

    fn end_lease(&mut self, lease: u64) {
        self.leases.remove(&lease);
        self.items.retain(|_, (_, held)| *held != Some(lease));
    }

    fn swap(&mut self, key: &str, swap: Swap) -> Result<u64, u64> {
        let current = self.items.get(key).map_or(0, |(item, _)| item.version);
        if current != swap.expect {
            return Err(current);
        }
        // Versions go on growing when a key ends and comes back.
        let version = self.versions.entry(key.to_owned()).or_insert(0);
        *version += 1;
        let item = Item { value: swap.value, version: *version };
        self.items.insert(key.to_owned(), (item, swap.lease));
        Ok(*version)
    }

    fn list(&self) -> Vec<Host> {
        let seen = Instant::now().checked_sub(LIST_LAG);
        let visible = self.lists.iter().rev().find(|(at, _)| seen.is_none_or(|seen| *at <= seen));
        visible.map(|(_, list)| list.clone()).unwrap_or_default()
    }
}

/// Runs the platform until the process ends.
pub async fn run(listen: SocketAddr) -> io::Result<()> {
    let data = web::Data::new(Platform::default());
    HttpServer::new(move || {
        App::new()
            .app_data(data.clone())
            .app_data(web::JsonConfig::default().limit(2 * MAX_VALUE_BYTES))
            .route("/kv/{key:.*}", web::get().to(get))
            .route("/kv/{key:.*}", web::post().to(swap))
            .route("/watch/{key:.*}", web::get().to(watch))
            .route("/leases", web::post().to(lease))
            .route("/leases/{lease}/renew", web::post().to(renew))
            .route("/leases/{lease}", web::delete().to(revoke))
            .route("/hosts", web::get().to(hosts))
            .route("/test/hosts", web::post().to(set_hosts))
            .route("/test/fault", web::post().to(fault))
            .route("/test/counts", web::get().to(counts))
    })
    .workers(1)
    .bind(listen)?
    .run()
    .await
}

async fn get(platform: Shared, key: web::Path<String>) -> HttpResponse {
    if let Err(response) = platform.enter(false).await {
        return response;
    }
    match platform.lock().items.get(key.as_str()) {
        Some((item, _)) => HttpResponse::Ok().json(item),
        None => HttpResponse::NotFound().finish(),
    }
}

async fn swap(platform: Shared, key: web::Path<String>, swap: web::Json<Swap>) -> HttpResponse {
    if let Err(response) = platform.enter(true).await {
        return response;
    }
    if swap.value.len() > MAX_VALUE_BYTES {
        return HttpResponse::PayloadTooLarge().finish();
    }
    if swap.lease.is_some_and(|lease| !platform.lock().leases.contains_key(&lease)) {
        return HttpResponse::NotFound().finish();
    }
    let swapped = platform.lock().swap(&key, swap.into_inner());
    match swapped {
        Ok(version) => {
            platform.changed.notify_waiters();
            platform.leave(HttpResponse::Ok().json(Version { version })).await
        }
        Err(version) => HttpResponse::Conflict().json(Version { version }),
    }
}

#[derive(Debug, Deserialize)]
struct Watch {
    after: u64,
    wait_ms: u64,
}

async fn watch(platform: Shared, key: web::Path<String>, query: web::Query<Watch>) -> HttpResponse {
    if let Err(response) = platform.enter(false).await {
        return response;
    }
    let newer = async {
        loop {
            let changed = platform.changed.notified();
            let found = platform.lock().items.get(key.as_str()).map(|(item, _)| item.clone());
            if found.as_ref().is_some_and(|item| item.version > query.after) {
                return;
            }
            changed.await;
        }
    };
    let _ended = timeout(Duration::from_millis(query.wait_ms), newer).await;
    match platform.lock().items.get(key.as_str()) {
        Some((item, _)) => HttpResponse::Ok().json(item),
        None => HttpResponse::NotFound().finish(),
    }
}

async fn lease(platform: Shared, term: web::Json<Term>) -> HttpResponse {
    if let Err(response) = platform.enter(true).await {
        return response;
    }
    let lease = {
        let mut state = platform.lock();
        state.next_lease += 1;
        let lease = state.next_lease;
        let ttl = Duration::from_millis(term.ttl_ms);
        state.leases.insert(lease, (Instant::now() + ttl, ttl));
        lease
    };
    platform.leave(HttpResponse::Ok().json(Lease { lease })).await
}

async fn renew(platform: Shared, lease: web::Path<u64>) -> HttpResponse {
    if let Err(response) = platform.enter(true).await {
        return response;
    }
    let lease = lease.into_inner();
    let known = platform.lock().leases.get_mut(&lease).map(|(end, ttl)| {
        *end = Instant::now() + *ttl;
    });
    match known {
        Some(()) => platform.leave(HttpResponse::Ok().json(Lease { lease })).await,
        None => HttpResponse::NotFound().finish(),
    }
}

async fn revoke(platform: Shared, lease: web::Path<u64>) -> HttpResponse {
    if let Err(response) = platform.enter(true).await {
        return response;
    }
    let lease = lease.into_inner();
    platform.lock().end_lease(lease);
    platform.changed.notify_waiters();
    HttpResponse::Ok().json(Lease { lease })
}

async fn hosts(platform: Shared) -> HttpResponse {
    if let Err(response) = platform.enter(false).await {
        return response;
    }
    HttpResponse::Ok().json(platform.lock().list())
}

async fn set_hosts(platform: Shared, list: web::Json<Vec<Host>>) -> HttpResponse {
    let mut state = platform.lock();
    state.lists.push_back((Instant::now(), list.into_inner()));
    HttpResponse::Ok().finish()
}

async fn fault(platform: Shared, fault: web::Json<Fault>) -> HttpResponse {
    let mut state = platform.lock();
    state.outage_until = Some(Instant::now() + Duration::from_millis(fault.outage_ms));
    state.fault = fault.into_inner();
    HttpResponse::Ok().finish()
}

async fn counts(platform: Shared) -> HttpResponse {
    HttpResponse::Ok().json(platform.lock().counts)
}
