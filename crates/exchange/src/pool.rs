//! Connections that are kept for the next request to the same address.
//!
//! A request goes on a kept connection only if it may be repeated, because the other end may close the
//! connection at that moment. Each response must name its request: a second copy of an earlier one may
//! arrive at any time. Only calls that belong together need no id. See [docs/DESIGN.md](../../../docs/DESIGN.md#calls).

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderName, HeaderValue, Request, Version, header};
use http_body_util::Full;
use hyper::client::conn::http1::SendRequest;
use tokio::time::{Instant, timeout};

use crate::guarded::Guard;
use crate::{
    Connected, Connection, Driver, Error, Framing, Head, Response, Result, connect, describe,
};

/// The most connections kept to one address; further ones are closed.
///
/// With hundreds of hosts their sum must stay below what an upstream accepts in all.
const MAX_KEPT_PER_ADDRESS: usize = 2;
/// The longest time for which a connection is kept.
///
/// A path that breaks in this time is noticed only by the next request's time limit.
const MAX_IDLE: Duration = Duration::from_millis(1_500);
/// How long a connection is kept if the response does not say how long the other end keeps it.
const UNSTATED_IDLE: Duration = Duration::from_millis(250);
/// How long a kept connection may take to accept the next request.
const READY_TIMEOUT: Duration = Duration::from_millis(5);
/// The time between two searches for connections that are kept no longer.
const SWEEP_INTERVAL: Duration = Duration::from_millis(500);

/// A client that keeps connections, shared by its clones.
#[derive(Debug, Clone, Default)]
pub struct Pool {
    connections: Arc<Mutex<Connections>>,
    /// Whether all requests belong to one task, which checks the responses by their content.
    is_private: bool,
}

#[derive(Debug, Default)]
struct Connections {
    kept: HashMap<SocketAddr, Vec<Kept>>,
    swept_at: Option<Instant>,
}

/// A connection without a request.
#[derive(Debug)]
struct Kept {
    connected: Connected,
    until: Instant,
}

/// What returns a connection to its pool once the response's body is complete.
#[derive(Debug)]
pub struct Return {
    pool: Pool,
    address: SocketAddr,
    sender: SendRequest<Full<Bytes>>,
    guard: Guard,
    idle: Duration,
}

impl Return {
    /// Returns the connection that `driver` drives.
    pub(crate) fn keep(self, driver: Driver) {
        let Self { pool, address, sender, guard, idle } = self;
        let now = Instant::now();
        let mut connections = pool.lock();
        connections.sweep(now);
        let kept = connections.kept.entry(address).or_default();
        if kept.len() < MAX_KEPT_PER_ADDRESS {
            kept.push(Kept { connected: Connected { sender, driver, guard }, until: now + idle });
        }
    }
}

impl Connections {
    /// Closes the connections that are kept no longer.
    fn sweep(&mut self, now: Instant) {
        if self.swept_at.is_some_and(|at| now.duration_since(at) < SWEEP_INTERVAL) {
            return;
        }
        self.swept_at = Some(now);
        self.kept.retain(|_, kept| {
            kept.retain(|one| now < one.until && !one.connected.sender.is_closed());
            !kept.is_empty()
        });
    }
}

impl Pool {
    /// Creates a pool for the calls of one task, whose responses need not name their requests.
    pub fn private() -> Self {
        Self { is_private: true, ..Self::default() }
    }

    fn lock(&self) -> MutexGuard<'_, Connections> {
        self.connections.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Closes the connections kept to an address, after one of them has proved useless.
    pub fn forget(&self, address: SocketAddr) {
        self.lock().kept.remove(&address);
    }

    /// The number of connections kept to an address.
    pub fn count(&self, address: SocketAddr) -> usize {
        self.lock().kept.get(&address).map_or(0, Vec::len)
    }

    /// Takes the connection to an address that was used last.
    fn take(&self, address: SocketAddr) -> Option<Kept> {
        let now = Instant::now();
        let mut connections = self.lock();
        connections.sweep(now);
        let kept = connections.kept.get_mut(&address)?;
        kept.retain(|one| now < one.until && !one.connected.sender.is_closed());
        kept.pop()
    }

    /// Sends a request that may be repeated to `address`, on a kept connection if there is one, and
    /// waits for the head of the response.
    ///
    /// The header `id` identifies the request, and the response must repeat it for the connection to
    /// be kept, unless the pool is private. Fails with [`Error::Stale`] if a kept connection ends without
    /// a response. A new connection is subject to `connect_timeout`, as with [`send`](crate::send).
    pub async fn send(
        &self,
        address: SocketAddr,
        connect_timeout: Duration,
        request: Request<Bytes>,
        id: &HeaderName,
    ) -> Result<Response> {
        let own_id = request.headers().get(id).cloned();
        let mut request = request.map(Full::new);
        // Nothing would tell the response to a request without an id from an earlier one.
        let may_take = self.is_private || own_id.is_some();
        while let Some(Kept { mut connected, .. }) = may_take.then(|| self.take(address)).flatten()
        {
            let ready = timeout(READY_TIMEOUT, connected.sender.ready()).await;
            if !matches!(ready, Ok(Ok(()))) {
                continue;
            }
            connected.guard.record_progress();
            let mut unsent = match connected.sender.try_send_request(request).await {
                Ok(response) => {
                    let built = self.build(address, response, connected, own_id.as_ref(), id);
                    let mut response = built.inspect_err(|_broken| self.forget(address))?;
                    response.connection = Connection::Kept;
                    if !self.is_answer(&response.head, id, own_id.as_ref()) {
                        self.forget(address);
                        let reason = "the response on a kept connection is not that of the request";
                        return Err(Error::Broken(reason.to_owned()));
                    }
                    return Ok(response);
                }
                Err(unsent) => unsent,
            };
            self.forget(address);
            let Some(returned) = unsent.take_message() else {
                return Err(Error::Stale(describe(unsent.error())));
            };
            request = returned;
        }
        let connected = connect(address, connect_timeout).await;
        let mut connected = connected.inspect_err(|_failed| self.forget(address))?;
        let response = connected.sender.send_request(request).await;
        let response = response.map_err(|error| Error::Broken(describe(&error)))?;
        self.build(address, response, connected, own_id.as_ref(), id)
    }

    /// Whether a response is known to be that of the request `own_id`, which it must name once.
    fn is_answer(&self, head: &Head, id: &HeaderName, own_id: Option<&HeaderValue>) -> bool {
        let mut named = head.headers.get_all(id).iter();
        self.is_private || (own_id.is_some() && named.next() == own_id && named.next().is_none())
    }

    /// Makes the response, which returns its connection if that may be used again.
    fn build(
        &self,
        address: SocketAddr,
        response: http::Response<hyper::body::Incoming>,
        connected: Connected,
        own_id: Option<&HeaderValue>,
        id: &HeaderName,
    ) -> Result<Response> {
        let Connected { sender, driver, guard } = connected;
        let mut response = Response::new(response, driver, guard.clone())?;
        let idle = idle_time(&response.head);
        let is_delimited = response.framing != Framing::Close;
        if is_delimited && self.is_answer(&response.head, id, own_id) && !idle.is_zero() {
            response.return_to = Some(Return { pool: self.clone(), address, sender, guard, idle });
        }
        Ok(response)
    }
}

/// How long a connection may be kept after a response with this head.
///
/// Half of what the other end states, so that it does not close the connection just as a request comes.
fn idle_time(head: &Head) -> Duration {
    let values = |name| head.headers.get_all(name).iter().filter_map(|value| value.to_str().ok());
    let mut options = values(header::CONNECTION).flat_map(|value| value.split(','));
    if head.version != Version::HTTP_11 || options.any(|o| o.trim().eq_ignore_ascii_case("close")) {
        return Duration::ZERO;
    }
    let keep_alive = HeaderName::from_static("keep-alive");
    let mut parameters = values(keep_alive).flat_map(|value| value.split(','));
    let timeout = parameters.find_map(|parameter| {
        let (name, value) = parameter.split_once('=')?;
        name.trim()
            .eq_ignore_ascii_case("timeout")
            .then(|| value.trim().trim_matches('"').parse().ok())
    });
    match timeout {
        Some(Some(seconds)) => Duration::from_secs(seconds).min(2 * MAX_IDLE) / 2,
        Some(None) => Duration::ZERO,
        None => UNSTATED_IDLE,
    }
}
