//! The operations on a store, and their mapping to HTTP.
//!
//! The operations are fixed. A [`Protocol`] maps each [`Call`] to an HTTP request,
//! and the response to a [`Response`]. This crate has one, described in
//! [docs/PLATFORM.md](../../../docs/PLATFORM.md); an adapter for another platform
//! provides its own.

use std::time::Duration;

use damaskhatch_exchange::{Method, StatusCode};
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::error::{Error, Result};
use crate::message::{Grant, Host, Item, Lease, Listing, Swap, Term, Version};

/// The response header of [`Protocol::OWN`] with the number of the store's era.
pub const ERA_HEADER: &str = "era";

/// An operation on the store.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Call<'a> {
    /// Reads a key.
    Get(&'a str),
    /// Reads all keys that begin with a prefix.
    List {
        /// The prefix.
        prefix: &'a str,
        /// The last key of the previous page; `None` for the first page.
        after: Option<&'a str>,
        /// Whether the values may be some seconds old.
        may_be_stale: bool,
    },
    /// Waits for a change to a key, or to any key under a prefix.
    Watch {
        /// The key or the prefix.
        prefix: &'a str,
        /// Only changes after this version end the wait.
        after: u64,
        /// How long the store may hold the request without a change.
        wait: Duration,
    },
    /// Writes a key if it has the expected version.
    Swap(&'a str, &'a Swap),
    /// Requests a lease with this time to live.
    Lease(Duration),
    /// Renews a lease.
    Renew(Grant),
    /// Ends a lease and deletes the keys attached to it.
    Revoke(Grant),
    /// Reads the platform's list of hosts, which lags behind.
    Hosts,
}

/// The result of a successful [`Call`].
#[derive(Debug, Clone, PartialEq)]
pub enum Response {
    /// The value and version of a key.
    Item(Item),
    /// The keys under a prefix, or their changes.
    Listing(Listing),
    /// The key's version after a write.
    Version(u64),
    /// A new lease, to which the client adds the era.
    Lease(Grant),
    /// The operation succeeded and returns no data.
    Done,
    /// The list of hosts.
    Hosts(Vec<Host>),
}

/// An HTTP request to the store, apart from its headers.
#[derive(Debug, Clone, PartialEq)]
pub struct Request {
    /// The HTTP method.
    pub method: Method,
    /// The path and query.
    pub target: String,
    /// The JSON body, empty if there is none.
    pub body: Vec<u8>,
}

/// The mapping of operations to the HTTP interface of one kind of store.
#[derive(Debug, Clone, Copy)]
pub struct Protocol {
    /// Encodes a call as a request; `None` if this store does not support it.
    pub encode: fn(&Call<'_>) -> Option<Request>,
    /// Decodes the status and body of the response to a call.
    pub decode: fn(&Call<'_>, StatusCode, &[u8]) -> Result<Response>,
    /// The response header with the number of the store's era.
    pub era_header: &'static str,
    /// The key prefix under which hosts write their own entries in the list of hosts; `None`
    /// if the platform keeps that list itself.
    pub hosts_prefix: Option<&'static str>,
}

impl Protocol {
    /// The protocol that [docs/PLATFORM.md](../../../docs/PLATFORM.md) describes.
    pub const OWN: Self = Self { encode, decode, era_header: ERA_HEADER, hosts_prefix: None };
}

fn encode(call: &Call<'_>) -> Option<Request> {
    let get = |target: String| Request { method: Method::GET, target, body: Vec::new() };
    let post = |target: String, body| Request { method: Method::POST, target, body };
    Some(match call {
        Call::Get(key) => get(format!("/kv/{key}")),
        Call::Watch { prefix: key, after, wait } => {
            get(format!("/watch/{key}?after={after}&wait_ms={}", wait.as_millis()))
        }
        Call::Swap(key, swap) => post(format!("/kv/{key}"), to_json(swap)),
        Call::Lease(ttl) => {
            post("/leases".to_owned(), to_json(&Term { ttl_ms: ttl.as_millis() as u64 }))
        }
        Call::Renew(lease) => post(format!("/leases/{}/renew", lease.number), Vec::new()),
        Call::Revoke(lease) => Request {
            method: Method::DELETE,
            target: format!("/leases/{}", lease.number),
            body: Vec::new(),
        },
        Call::Hosts => get("/hosts".to_owned()),
        Call::List { .. } => return None,
    })
}

fn decode(call: &Call<'_>, status: StatusCode, body: &[u8]) -> Result<Response> {
    match status {
        StatusCode::CONFLICT => return Err(Error::Conflict(from_json::<Version>(body)?.version)),
        StatusCode::NOT_FOUND => return Err(Error::Missing),
        status if !status.is_success() => {
            return Err(Error::Unreachable(format!("status {status}")));
        }
        _ => {}
    }
    Ok(match call {
        Call::Get(_) | Call::Watch { .. } => Response::Item(from_json(body)?),
        Call::Swap(..) => Response::Version(from_json::<Version>(body)?.version),
        Call::Lease(_) => {
            Response::Lease(Grant { era: 0, number: from_json::<Lease>(body)?.lease })
        }
        Call::Renew(_) | Call::Revoke(_) => Response::Done,
        Call::Hosts => Response::Hosts(from_json(body)?),
        Call::List { .. } => return Err(Error::Unsupported),
    })
}

/// Encodes a request body.
pub fn to_json(value: &impl Serialize) -> Vec<u8> {
    serde_json::to_vec(value).expect("bodies have only strings and finite numbers")
}

/// Decodes a response body; fails with [`Error::Malformed`] if it is not the expected JSON.
pub fn from_json<T: DeserializeOwned>(bytes: &[u8]) -> Result<T> {
    serde_json::from_slice(bytes).map_err(|error| Error::Malformed(error.to_string()))
}
