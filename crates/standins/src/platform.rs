//! A stand-in for the platform: a key-value store with leases and watches, and the host list.

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::io;
use std::net::SocketAddr;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use actix_web::body::{BoxBody, MessageBody};
use actix_web::dev::{ServiceRequest, ServiceResponse};
use actix_web::http::header::{HeaderName, HeaderValue};
use actix_web::middleware::{Next, from_fn};
use actix_web::{App, HttpResponse, HttpServer, web};
use damaskhatch_store::message::{Host, Item, Lease, Swap, Term, Version};
use damaskhatch_store::protocol::ERA_HEADER;
use serde::{Deserialize, Serialize};
use tokio::sync::Notify;
use tokio::time::{Instant, sleep, timeout};

/// The delay after which a change of the host list becomes visible.
const HOST_LIST_LAG: Duration = Duration::from_millis(500);
/// The largest value that a key can hold, in bytes.
const MAX_VALUE_BYTES: usize = 1 << 20;
/// The shortest time between two copies of the store.
const COPY_INTERVAL: Duration = Duration::from_millis(100);
/// How far back the store can be restored.
const COPIES_KEPT: Duration = Duration::from_secs(20);
/// How long a failing call blocks before its error, as a call to a host that is down does.
const FAILURE_DELAY: Duration = Duration::from_secs(2);

/// The faults that a test injects.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct Fault {
    /// How long every call fails without being carried out, in milliseconds.
    #[serde(default)]
    pub outage_ms: u64,
    /// The latency added to every call, in milliseconds.
    #[serde(default)]
    pub slow_ms: u64,
    /// The number of further writes that take effect but get an error as their response.
    #[serde(default)]
    pub lose_replies: u32,
    /// Restores the store from its copy of this age, in milliseconds; 0 does nothing.
    #[serde(default)]
    pub restore_ms: u64,
}

/// Calls received since the platform started, including those that failed.
#[derive(Debug, Clone, Copy, Default, Serialize, Deserialize)]
pub struct Counts {
    /// Reads, watches and host lists.
    pub reads: u64,
    /// Writes, and grants, renewals and revocations of leases.
    pub writes: u64,
}

/// What a copy of the store holds.
#[derive(Debug, Clone, Default)]
struct Content {
    /// Items by key, each with the lease it is attached to.
    items: BTreeMap<String, (Item, Option<u64>)>,
    /// The last version of every key, which outlives the key.
    versions: HashMap<String, u64>,
    /// When each lease expires, and its TTL.
    leases: HashMap<u64, (Instant, Duration)>,
    next_lease: u64,
}

#[derive(Debug, Default)]
struct State {
    content: Content,
    /// Earlier contents, oldest first, and until when each was so.
    copies: VecDeque<(Instant, Content)>,
    /// How often the store was restored.
    era: u64,
    /// Every host list that was set, and when.
    host_lists: VecDeque<(Instant, Vec<Host>)>,
    fault: Fault,
    outage_until: Option<Instant>,
    counts: Counts,
}

#[derive(Debug, Default)]
struct Platform {
    state: Mutex<State>,
    /// Wakes the watches that wait.
    changed: Notify,
}

type Shared = web::Data<Platform>;

impl Platform {
    /// Locks the state, after the removal of expired leases.
    fn lock(&self) -> MutexGuard<'_, State> {
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        state.expire_leases();
        state
    }

    /// Counts a call and applies the injected outage or latency to it.
    async fn begin_call(&self, is_write: bool) -> Result<(), HttpResponse> {
        let (is_down, latency) = {
            let mut state = self.lock();
            if is_write {
                state.counts.writes += 1;
            } else {
                state.counts.reads += 1;
            }
            let is_down = state.outage_until.is_some_and(|until| until > Instant::now());
            (is_down, Duration::from_millis(state.fault.slow_ms))
        };
        if is_down {
            sleep(FAILURE_DELAY).await;
            return Err(HttpResponse::ServiceUnavailable().finish());
        }
        sleep(latency).await;
        Ok(())
    }

    /// Returns the response to a write that took effect, or an error if [`Fault::lose_replies`]
    /// applies to it.
    async fn finish_write(&self, response: HttpResponse) -> HttpResponse {
        let is_lost = {
            let mut state = self.lock();
            let is_lost = state.fault.lose_replies > 0;
            state.fault.lose_replies = state.fault.lose_replies.saturating_sub(1);
            is_lost
        };
        if is_lost {
            sleep(FAILURE_DELAY).await;
            return HttpResponse::ServiceUnavailable().finish();
        }
        response
    }
}

impl State {
    /// Removes the leases whose TTL has passed, and the keys attached to them.
    fn expire_leases(&mut self) {
        let now = Instant::now();
        let expired: Vec<u64> = self
            .content
            .leases
            .iter()
            .filter(|(_, (end, _))| *end <= now)
            .map(|(lease, _)| *lease)
            .collect();
        for lease in expired {
            self.remove_lease(lease);
        }
    }

    fn remove_lease(&mut self, lease: u64) {
        self.content.leases.remove(&lease);
        self.content.items.retain(|_, (_, attached)| *attached != Some(lease));
    }

    /// Writes a value if the key is still at the expected version, where 0 stands for no key.
    ///
    /// Returns the new version, or the current one as the error.
    fn compare_and_swap(&mut self, key: &str, swap: Swap) -> Result<u64, u64> {
        let current = self.content.items.get(key).map_or(0, |(item, _)| item.version);
        if current != swap.expect {
            return Err(current);
        }
        self.keep_copy();
        // Versions keep increasing when a key is removed and created again.
        let version = self.content.versions.entry(key.to_owned()).or_insert(0);
        *version += 1;
        let item = Item { value: swap.value, version: *version };
        self.content.items.insert(key.to_owned(), (item, swap.lease.map(|lease| lease.number)));
        Ok(*version)
    }

    /// Keeps a copy of the content before a write, unless the last copy is recent.
    fn keep_copy(&mut self) {
        let now = Instant::now();
        let is_recent = |(until, _): &(Instant, Content)| *until + COPY_INTERVAL > now;
        if self.copies.back().is_some_and(is_recent) {
            return;
        }
        self.copies.retain(|(until, _)| now.saturating_duration_since(*until) < COPIES_KEPT);
        self.copies.push_back((now, self.content.clone()));
    }

    /// Begins an era with the content of `age` ago.
    fn restore(&mut self, age: Duration) {
        let then = Instant::now().checked_sub(age);
        let is_later = |until: &Instant| then.is_none_or(|then| *until > then);
        if let Some((_, copy)) = self.copies.iter().find(|(until, _)| is_later(until)) {
            self.content = copy.clone();
        }
        self.copies.clear();
        self.era += 1;
    }

    /// Returns the host list as it was [`HOST_LIST_LAG`] ago.
    fn visible_hosts(&self) -> Vec<Host> {
        let until = Instant::now().checked_sub(HOST_LIST_LAG);
        let visible =
            self.host_lists.iter().rev().find(|(at, _)| until.is_none_or(|until| *at <= until));
        visible.map(|(_, list)| list.clone()).unwrap_or_default()
    }
}

/// Serves the platform's HTTP interface at an address until the process ends.
pub async fn run(listen: SocketAddr) -> io::Result<()> {
    let data = web::Data::new(Platform::default());
    HttpServer::new(move || {
        App::new()
            .app_data(data.clone())
            .wrap(from_fn(add_era))
            .app_data(web::JsonConfig::default().limit(2 * MAX_VALUE_BYTES))
            .route("/kv/{key:.*}", web::get().to(read_key))
            .route("/kv/{key:.*}", web::post().to(compare_and_swap))
            .route("/watch/{key:.*}", web::get().to(watch_key))
            .route("/leases", web::post().to(grant_lease))
            .route("/leases/{lease}/renew", web::post().to(renew_lease))
            .route("/leases/{lease}", web::delete().to(revoke_lease))
            .route("/hosts", web::get().to(list_hosts))
            .route("/test/hosts", web::post().to(set_hosts))
            .route("/test/fault", web::post().to(inject_fault))
            .route("/test/counts", web::get().to(read_counts))
    })
    .workers(1)
    .bind(listen)?
    .run()
    .await
}

/// Adds the era, as of the end of the call, to the response.
async fn add_era(
    request: ServiceRequest,
    next: Next<impl MessageBody + 'static>,
) -> Result<ServiceResponse<BoxBody>, actix_web::Error> {
    let platform = request.app_data::<Shared>().expect("the app has the platform").clone();
    let mut response = next.call(request).await?.map_into_boxed_body();
    let era = HeaderValue::from(platform.lock().era);
    response.headers_mut().insert(HeaderName::from_static(ERA_HEADER), era);
    Ok(response)
}

async fn read_key(platform: Shared, key: web::Path<String>) -> HttpResponse {
    if let Err(response) = platform.begin_call(false).await {
        return response;
    }
    match platform.lock().content.items.get(key.as_str()) {
        Some((item, _)) => HttpResponse::Ok().json(item),
        None => HttpResponse::NotFound().finish(),
    }
}

async fn compare_and_swap(
    platform: Shared,
    key: web::Path<String>,
    swap: web::Json<Swap>,
) -> HttpResponse {
    if let Err(response) = platform.begin_call(true).await {
        return response;
    }
    if swap.value.len() > MAX_VALUE_BYTES {
        return HttpResponse::PayloadTooLarge().finish();
    }
    if swap.lease.is_some_and(|lease| !platform.lock().content.leases.contains_key(&lease.number)) {
        return HttpResponse::NotFound().finish();
    }
    let swapped = platform.lock().compare_and_swap(&key, swap.into_inner());
    match swapped {
        Ok(version) => {
            platform.changed.notify_waiters();
            platform.finish_write(HttpResponse::Ok().json(Version { version })).await
        }
        Err(version) => HttpResponse::Conflict().json(Version { version }),
    }
}

/// The query of a watch: wait until the version exceeds `after`, for at most `wait_ms`.
#[derive(Debug, Deserialize)]
struct Watch {
    after: u64,
    wait_ms: u64,
}

async fn watch_key(
    platform: Shared,
    key: web::Path<String>,
    query: web::Query<Watch>,
) -> HttpResponse {
    if let Err(response) = platform.begin_call(false).await {
        return response;
    }
    let newer = async {
        loop {
            let changed = platform.changed.notified();
            let found =
                platform.lock().content.items.get(key.as_str()).map(|(item, _)| item.clone());
            if found.as_ref().is_some_and(|item| item.version > query.after) {
                return;
            }
            changed.await;
        }
    };
    let _timed_out = timeout(Duration::from_millis(query.wait_ms), newer).await;
    match platform.lock().content.items.get(key.as_str()) {
        Some((item, _)) => HttpResponse::Ok().json(item),
        None => HttpResponse::NotFound().finish(),
    }
}

async fn grant_lease(platform: Shared, term: web::Json<Term>) -> HttpResponse {
    if let Err(response) = platform.begin_call(true).await {
        return response;
    }
    let lease = {
        let mut state = platform.lock();
        state.keep_copy();
        state.content.next_lease += 1;
        let lease = state.content.next_lease;
        let ttl = Duration::from_millis(term.ttl_ms);
        state.content.leases.insert(lease, (Instant::now() + ttl, ttl));
        lease
    };
    platform.finish_write(HttpResponse::Ok().json(Lease { lease })).await
}

async fn renew_lease(platform: Shared, lease: web::Path<u64>) -> HttpResponse {
    if let Err(response) = platform.begin_call(true).await {
        return response;
    }
    let lease = lease.into_inner();
    let renewed = platform.lock().content.leases.get_mut(&lease).map(|(end, ttl)| {
        *end = Instant::now() + *ttl;
    });
    match renewed {
        Some(()) => platform.finish_write(HttpResponse::Ok().json(Lease { lease })).await,
        None => HttpResponse::NotFound().finish(),
    }
}

async fn revoke_lease(platform: Shared, lease: web::Path<u64>) -> HttpResponse {
    if let Err(response) = platform.begin_call(true).await {
        return response;
    }
    let lease = lease.into_inner();
    platform.lock().remove_lease(lease);
    platform.changed.notify_waiters();
    HttpResponse::Ok().json(Lease { lease })
}

async fn list_hosts(platform: Shared) -> HttpResponse {
    if let Err(response) = platform.begin_call(false).await {
        return response;
    }
    HttpResponse::Ok().json(platform.lock().visible_hosts())
}

async fn set_hosts(platform: Shared, list: web::Json<Vec<Host>>) -> HttpResponse {
    let mut state = platform.lock();
    state.host_lists.push_back((Instant::now(), list.into_inner()));
    HttpResponse::Ok().finish()
}

async fn inject_fault(platform: Shared, fault: web::Json<Fault>) -> HttpResponse {
    let mut state = platform.lock();
    state.outage_until = Some(Instant::now() + Duration::from_millis(fault.outage_ms));
    state.fault = fault.into_inner();
    if state.fault.restore_ms > 0 {
        let age = Duration::from_millis(state.fault.restore_ms);
        state.restore(age);
        drop(state);
        platform.changed.notify_waiters();
    }
    HttpResponse::Ok().finish()
}

async fn read_counts(platform: Shared) -> HttpResponse {
    HttpResponse::Ok().json(platform.lock().counts)
}
