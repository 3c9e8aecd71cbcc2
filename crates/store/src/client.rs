//! A client of the store; each operation is one HTTP request with a time limit.
//!
//! A list is the exception: it takes one request for each page.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use damaskhatch_exchange as exchange;
use damaskhatch_exchange::memory::Budget;
use damaskhatch_policy::position::Position;
use tokio::time::{Instant, timeout, timeout_at};

use crate::calls::Calls;
use crate::era;
use crate::error::{Error, Result};
use crate::message::{Grant, Host, Item, Listing, Swap};
use crate::protocol::{Call, Protocol, Request, Response, to_json};

/// Time limit until the first byte of a response's body, beyond the time that the store may hold a
/// watch, and between two bytes of it.
const CALL_TIMEOUT: Duration = Duration::from_millis(700);
/// Time limit for the whole body of a response that makes progress.
///
/// The largest takes a tenth of this over a link of 10 Mbit/s.
const BODY_TIMEOUT: Duration = Duration::from_secs(10);
/// Time limit for connecting, within that of the request.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
/// The most calls for one overwrite: with the expected version, as for no key if that is of an earlier
/// era, and with the version that the store says.
const MAX_OVERWRITES: usize = 3;
/// The largest response body, in bytes; a value has up to a megabyte, and base64 adds a third.
const MAX_RESPONSE_BYTES: usize = 8 << 20;

/// A client of the store at one address.
///
/// Its versions and leases hold the era of the store besides the store's own numbers. A call with
/// one of an earlier era fails as if the store had dropped it.
#[derive(Debug, Clone)]
pub struct Client {
    address: SocketAddr,
    protocol: Protocol,
    era: era::Tracker,
    calls: Calls,
    memory: Budget,
}

impl Client {
    /// Creates a client of the store at `address` that speaks `protocol`, records the eras that it
    /// sees in `era`, counts its calls in `calls` and takes the bodies of responses from `memory`.
    pub const fn new(
        address: SocketAddr,
        protocol: Protocol,
        era: era::Tracker,
        calls: Calls,
        memory: Budget,
    ) -> Self {
        Self { address, protocol, era, calls, memory }
    }

    /// Writes this host's entry in the list of hosts; does nothing where the platform keeps
    /// that list itself.
    pub async fn register_host(&self, host: &Host) -> Result<()> {
        let Some(prefix) = self.protocol.hosts_prefix else {
            return Ok(());
        };
        let value = String::from_utf8_lossy(&to_json(host)).into_owned();
        self.overwrite(&format!("{prefix}{}", host.name), &value, None, 0).await.map(drop)
    }

    /// Writes a key at whatever version it has, and returns the new version.
    ///
    /// It takes one call if the key has the version `expect`, 0 for none, and otherwise one more, since
    /// the store says which version it has. Only for keys with a single writer: it fails with
    /// [`Error::Conflict`] if another write comes between the two.
    pub async fn overwrite(
        &self,
        key: &str,
        value: &str,
        lease: Option<Grant>,
        expect: u64,
    ) -> Result<u64> {
        let mut swap = Swap { value: value.to_owned(), expect, lease };
        for _ in 0..MAX_OVERWRITES {
            match self.compare_and_swap(key, &swap).await {
                Err(Error::Conflict(found)) if found != swap.expect => swap.expect = found,
                written => return written,
            }
        }
        Err(Error::Conflict(swap.expect))
    }

    /// Reads a key; fails with [`Error::Missing`] if it does not exist.
    pub async fn get(&self, key: &str) -> Result<Item> {
        self.call_for_item(Call::Get(key), Duration::ZERO).await
    }

    /// Reads a key; where the store offers stale reads, the value may be some seconds old.
    pub async fn get_stale(&self, key: &str) -> Result<Item> {
        match self.list(key, true).await {
            Ok(listing) => {
                let found = listing.items.into_iter().find(|(listed, _)| listed == key);
                found.and_then(|(_, item)| item).ok_or(Error::Missing)
            }
            // This store offers no stale reads.
            Err(Error::Unsupported) => self.get(key).await,
            Err(error) => Err(error),
        }
    }

    /// Reads all keys under a prefix, page by page.
    ///
    /// With `may_be_stale`, the values may be some seconds old.
    pub async fn list(&self, prefix: &str, may_be_stale: bool) -> Result<Listing> {
        let mut all = Listing::default();
        loop {
            let last = all.items.last().map(|(key, _)| key.clone());
            let call = Call::List { prefix, after: last.as_deref(), may_be_stale };
            let page = self.call_for_listing(call, Duration::ZERO).await?;
            // The pages are not one snapshot. The version of the first page is the oldest, so a
            // watch from there misses no change.
            all.version = if last.is_none() { page.version } else { all.version };
            let is_empty = page.items.is_empty();
            all.items.extend(page.items);
            // An empty page has no last key after which to continue.
            if !page.is_truncated || is_empty {
                return Ok(all);
            }
        }
    }

    /// Waits for at most `wait` until a key has a version above `after`, and reads it.
    pub async fn watch(&self, key: &str, after: u64, wait: Duration) -> Result<Item> {
        self.call_for_item(Call::Watch { prefix: key, after, wait }, wait).await
    }

    /// Waits for at most `wait` for changes under a prefix after version `after`.
    pub async fn watch_prefix(&self, prefix: &str, after: u64, wait: Duration) -> Result<Listing> {
        self.call_for_listing(Call::Watch { prefix, after, wait }, wait).await
    }

    /// Writes a key if it has the expected version, and returns the new version.
    ///
    /// Fails with [`Error::Conflict`] if the key has another version.
    pub async fn compare_and_swap(&self, key: &str, swap: &Swap) -> Result<u64> {
        match self.call(Call::Swap(key, swap), Duration::ZERO).await? {
            Response::Version(version) => Ok(version),
            other => Err(unexpected_response(&other)),
        }
    }

    /// Requests a lease that ends after `ttl` without renewal, and returns it.
    pub async fn grant_lease(&self, ttl: Duration) -> Result<Grant> {
        match self.call(Call::Lease(ttl), Duration::ZERO).await? {
            Response::Lease(lease) => Ok(lease),
            other => Err(unexpected_response(&other)),
        }
    }

    /// Renews a lease for its time to live; fails with [`Error::Missing`] if it has ended.
    pub async fn renew_lease(&self, lease: Grant) -> Result<()> {
        self.call(Call::Renew(lease), Duration::ZERO).await.map(drop)
    }

    /// Ends a lease and deletes the keys attached to it.
    pub async fn revoke_lease(&self, lease: Grant) -> Result<()> {
        self.call(Call::Revoke(lease), Duration::ZERO).await.map(drop)
    }

    /// Reads the platform's list of hosts, which lags behind.
    pub async fn list_hosts(&self) -> Result<Vec<Host>> {
        match self.call(Call::Hosts, Duration::ZERO).await? {
            Response::Hosts(hosts) => Ok(hosts),
            other => Err(unexpected_response(&other)),
        }
    }

    async fn call_for_item(&self, call: Call<'_>, wait: Duration) -> Result<Item> {
        match self.call(call, wait).await? {
            Response::Item(item) => Ok(item),
            other => Err(unexpected_response(&other)),
        }
    }

    async fn call_for_listing(&self, call: Call<'_>, wait: Duration) -> Result<Listing> {
        match self.call(call, wait).await? {
            Response::Listing(listing) => Ok(listing),
            other => Err(unexpected_response(&other)),
        }
    }

    /// Sends a call in the latest era that has been seen.
    async fn call(&self, call: Call<'_>, wait: Duration) -> Result<Response> {
        let sent_in = self.era.latest();
        match call {
            Call::Watch { prefix, after, wait: held } => {
                let after = revision(after, sent_in).ok_or(Error::Missing)?;
                self.call_in(sent_in, Call::Watch { prefix, after, wait: held }, wait).await
            }
            Call::Swap(key, swap) => {
                // A key of an earlier era has none of its versions now.
                let expect = revision(swap.expect, sent_in).ok_or(Error::Conflict(0))?;
                if swap.lease.is_some_and(|lease| lease.era != sent_in) {
                    return Err(Error::Missing);
                }
                let swap = Swap { expect, ..swap.clone() };
                self.call_in(sent_in, Call::Swap(key, &swap), wait).await
            }
            Call::Renew(lease) | Call::Revoke(lease) if lease.era != sent_in => Err(Error::Missing),
            _ => self.call_in(sent_in, call, wait).await,
        }
    }

    /// Sends and counts a call with the store's own numbers, which are those of the era `sent_in`.
    async fn call_in(&self, sent_in: u64, call: Call<'_>, wait: Duration) -> Result<Response> {
        let result = self.send(sent_in, call, wait).await;
        self.calls.count(&call, result.as_ref().err());
        result
    }

    async fn send(&self, sent_in: u64, call: Call<'_>, wait: Duration) -> Result<Response> {
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
        let limit = wait + CALL_TIMEOUT;
        let deadline = Instant::now() + limit;
        let unreachable = |error: exchange::Error| Error::Unreachable(error.to_string());
        let sent = exchange::send(self.address, CONNECT_TIMEOUT, request);
        let mut response = timeout_at(deadline, sent)
            .await
            .map_err(|_elapsed| Error::Unreachable(format!("no response within {limit:?}")))?
            .map_err(unreachable)?;
        let body = response.read_body_in_progress(
            MAX_RESPONSE_BYTES,
            &self.memory,
            deadline,
            CALL_TIMEOUT,
        );
        let body = timeout(BODY_TIMEOUT, body).await.map_err(|_elapsed| {
            Error::Unreachable(format!("the body was not complete within {BODY_TIMEOUT:?}"))
        })?;
        let (head, body) = (response.head, body.map_err(unreachable)?);
        let era = head.headers.get(self.protocol.era_header);
        let era = era.and_then(|era| era.to_str().ok()?.trim().parse().ok()).unwrap_or(sent_in);
        self.era.observe(era)?;
        if era != sent_in {
            check_restored(&call, era)?;
        }
        match (self.protocol.decode)(&call, head.status, &body) {
            Ok(response) => with_era(response, era),
            Err(Error::Conflict(revision)) => Err(Error::Conflict(era::version(era, revision)?)),
            Err(error) => Err(error),
        }
    }
}

/// The store's own number of a version; `None` if it is from another era than `era`.
///
/// 0 stands for no key, or for the beginning of a history, in each era.
fn revision(version: u64, era: u64) -> Option<u64> {
    let position = Position::of(version);
    (version == 0 || position.era == era).then_some(position.revision)
}

/// Fails for a call with numbers of an earlier era, if the store has begun `era` meanwhile, where
/// they may stand for something else.
fn check_restored(call: &Call<'_>, era: u64) -> Result<()> {
    match call {
        Call::Watch { after: 1.., .. } | Call::Renew(_) | Call::Revoke(_) => Err(Error::Missing),
        Call::Swap(_, Swap { expect: 1.., .. } | Swap { lease: Some(_), .. }) => {
            Err(Error::Unreachable(format!("the store was restored, era {era}")))
        }
        _ => Ok(()),
    }
}

/// Adds the era to the numbers in a response.
fn with_era(response: Response, era: u64) -> Result<Response> {
    let item = |item: Item| {
        Ok::<_, Error>(Item { version: era::version(era, item.version)?, value: item.value })
    };
    Ok(match response {
        Response::Item(found) => Response::Item(item(found)?),
        Response::Listing(listing) => {
            let items = listing.items.into_iter();
            let items = items.map(|(key, found)| Ok((key, found.map(item).transpose()?)));
            let items = items.collect::<Result<Vec<_>>>()?;
            Response::Listing(Listing {
                items,
                version: era::version(era, listing.version)?,
                is_truncated: listing.is_truncated,
            })
        }
        Response::Version(revision) => Response::Version(era::version(era, revision)?),
        Response::Lease(lease) => Response::Lease(Grant { era, ..lease }),
        Response::Done | Response::Hosts(_) => response,
    })
}

fn unexpected_response(response: &Response) -> Error {
    Error::Malformed(format!("the response belongs to another operation: {response:?}"))
}
