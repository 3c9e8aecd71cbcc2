//! One HTTP call each, with a time limit.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use damaskhatch_exchange as exchange;

use crate::error::{Error, Result};
use crate::message::{Host, Item, Listing, Swap};
use crate::protocol::{Call, Protocol, Reply, Request, to_json};

/// How long a call may take.
const CALL_TIMEOUT: Duration = Duration::from_millis(700);
/// How long a connection may take to be made.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
/// The largest answer, in bytes; values hold up to a megabyte, base64 adds a third.
const MAX_ANSWER_BYTES: usize = 8 << 20;

/// A client of the store at one address.
#[derive(Debug, Clone, Copy)]
pub struct Client {
    address: SocketAddr,
    protocol: Protocol,
}

impl Client {
    /// Makes a client for the store at `address`, IP and port.
    pub const fn new(address: SocketAddr, protocol: Protocol) -> Self {
        Self { address, protocol }
    }

    /// Writes this host's own entry of the list of hosts, where hosts do that themselves.
    pub async fn register_host(&self, host: &Host) -> Result<()> {
        let Some(prefix) = self.protocol.hosts_prefix else {
            return Ok(());
        };
        let value = String::from_utf8_lossy(&to_json(host)).into_owned();
        self.overwrite(&format!("{prefix}{}", host.name), &value, None).await.map(drop)
    }

    /// Writes a key that only one host writes, whatever its version; returns the new one.
    pub async fn overwrite(&self, key: &str, value: &str, lease: Option<u64>) -> Result<u64> {
        let expect = match self.get(key).await {
            Ok(item) => item.version,
            Err(Error::Missing) => 0,
            Err(error) => return Err(error),
        };
        self.compare_and_swap(key, &Swap { value: value.to_owned(), expect, lease }).await
    }

    /// Reads a key.
    pub async fn get(&self, key: &str) -> Result<Item> {
        self.item(Call::Get(key), Duration::ZERO).await
    }

    /// Reads a key; an answer that is some seconds old will do.
    pub async fn get_stale(&self, key: &str) -> Result<Item> {
        match self.list(key, true).await {
            Ok(listing) => {
                let found = listing.items.into_iter().find(|(named, _)| named == key);
                found.and_then(|(_, item)| item).ok_or(Error::Missing)
            }
            // This store answers all reads alike.
            Err(Error::Unsupported) => self.get(key).await,
            Err(error) => Err(error),
        }
    }

    /// Reads all keys under a prefix, page by page.
    pub async fn list(&self, prefix: &str, may_be_stale: bool) -> Result<Listing> {
        let mut all = Listing::default();
        loop {
            let last = all.items.last().map(|(key, _)| key.clone());
            let call = Call::List { prefix, after: last.as_deref(), may_be_stale };
            let page = self.listing(call, Duration::ZERO).await?;
            // Pages are no snapshot; a watch from the oldest page misses nothing.
            all.version = if last.is_none() { page.version } else { all.version };
            let is_stuck = page.items.is_empty();
            all.items.extend(page.items);
            if !page.is_truncated || is_stuck {
                return Ok(all);
            }
        }
    }

    /// Waits until a key has a version above `after`, or `wait` is over.
    pub async fn watch(&self, key: &str, after: u64, wait: Duration) -> Result<Item> {
        self.item(Call::Watch { prefix: key, after, wait }, wait).await
    }

    /// Waits for changes under a prefix after a version, or until `wait` is over.
    pub async fn watch_prefix(&self, prefix: &str, after: u64, wait: Duration) -> Result<Listing> {
        self.listing(Call::Watch { prefix, after, wait }, wait).await
    }

    /// Writes a key if it has the expected version; returns the new one.
    pub async fn compare_and_swap(&self, key: &str, swap: &Swap) -> Result<u64> {
        match self.call(Call::Swap(key, swap), Duration::ZERO).await? {
            Reply::Version(version) => Ok(version),
            other => Err(unexpected(&other)),
        }
    }

    /// Takes a lease.
    pub async fn grant_lease(&self, ttl: Duration) -> Result<u64> {
        match self.call(Call::Lease(ttl), Duration::ZERO).await? {
            Reply::Lease(lease) => Ok(lease),
            other => Err(unexpected(&other)),
        }
    }

    /// Renews a lease.
    pub async fn renew_lease(&self, lease: u64) -> Result<()> {
        self.call(Call::Renew(lease), Duration::ZERO).await.map(drop)
    }

    /// Ends a lease and the keys that hang on it.
    pub async fn revoke_lease(&self, lease: u64) -> Result<()> {
        self.call(Call::Revoke(lease), Duration::ZERO).await.map(drop)
    }

    /// Reads the lagging list of hosts.
    pub async fn list_hosts(&self) -> Result<Vec<Host>> {
        match self.call(Call::Hosts, Duration::ZERO).await? {
            Reply::Hosts(hosts) => Ok(hosts),
            other => Err(unexpected(&other)),
        }
    }

    async fn item(&self, call: Call<'_>, wait: Duration) -> Result<Item> {
        match self.call(call, wait).await? {
            Reply::Item(item) => Ok(item),
            other => Err(unexpected(&other)),
        }
    }

    async fn listing(&self, call: Call<'_>, wait: Duration) -> Result<Listing> {
        match self.call(call, wait).await? {
            Reply::Listing(listing) => Ok(listing),
            other => Err(unexpected(&other)),
        }
    }

    async fn call(&self, call: Call<'_>, wait: Duration) -> Result<Reply> {
        let Request { method, target, body } =
            (self.protocol.encode)(&call).ok_or(Error::Unsupported)?;
        let mut request = exchange::Request::builder()
            .method(method)
            .uri(target)
            .header("host", self.address.to_string());
        if !body.is_empty() {
            request = request.header("content-type", "application/json");
        }
        let request = request.body(Bytes::from(body));
        let request = request.map_err(|error| Error::Malformed(error.to_string()))?;
        let answered = tokio::time::timeout(wait + CALL_TIMEOUT, async {
            let mut answer = exchange::send(self.address, CONNECT_TIMEOUT, request).await?;
            let body = answer.read_body(MAX_ANSWER_BYTES).await?;
            Ok::<_, exchange::Error>((answer.head.status, body))
        });
        let (status, body) = answered
            .await
            .map_err(|elapsed| Error::Unreachable(elapsed.to_string()))?
            .map_err(|error| Error::Unreachable(error.to_string()))?;
        (self.protocol.decode)(&call, status, &body)
    }
}

fn unexpected(reply: &Reply) -> Error {
    Error::Malformed(format!("the answer belongs to another call: {reply:?}"))
}
