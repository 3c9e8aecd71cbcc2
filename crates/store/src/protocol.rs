//! What a store can be asked, and the HTTP that carries it.
//!
//! The operations are fixed; how each becomes a request, and its answer a
//! [`Reply`], is a [`Protocol`]. This crate brings its own, described in
//! [docs/PLATFORM.md](../../../docs/PLATFORM.md); an adapter brings another.

use std::time::Duration;

use damaskhatch_exchange::{Method, StatusCode};
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::error::{Error, Result};
use crate::message::{Host, Item, Lease, Listing, Swap, Term, Version};

/// One call to the store.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Call<'a> {
    /// Reads a key.
    Get(&'a str),
    /// Reads all keys that begin with a prefix.
    List {
        /// The prefix.
        prefix: &'a str,
        /// Keys up to this one were on the page before.
        after: Option<&'a str>,
        /// Whether an answer that is some seconds old will do.
        may_be_stale: bool,
    },
    /// Waits for a change of a key, or of any key under a prefix.
    Watch {
        /// The key, or the prefix.
        prefix: &'a str,
        /// Only changes after this version are of interest.
        after: u64,
        /// How long the store may hold the call.
        wait: Duration,
    },
    /// Writes a key if it has the expected version.
    Swap(&'a str, &'a Swap),
    /// Takes a lease.
    Lease(Duration),
    /// Renews a lease.
    Renew(u64),
    /// Ends a lease and the keys that hang on it.
    Revoke(u64),
    /// Reads the lagging list of hosts.
    Hosts,
}

/// What a call brought.
#[derive(Debug, Clone, PartialEq)]
pub enum Reply {
    /// A key's value.
    Item(Item),
    /// Keys under a prefix, or what changed there.
    Listing(Listing),
    /// The version after a write.
    Version(u64),
    /// A lease.
    Lease(u64),
    /// The call was carried out and has nothing to tell.
    Done,
    /// The list of hosts.
    Hosts(Vec<Host>),
}

/// A request before it is sent.
#[derive(Debug, Clone, PartialEq)]
pub struct Request {
    /// The method.
    pub method: Method,
    /// Path and query.
    pub target: String,
    /// The JSON body, empty if there is none.
    pub body: Vec<u8>,
}

/// How calls are spoken to one kind of store.
#[derive(Debug, Clone, Copy)]
pub struct Protocol {
    /// Turns a call into a request; `None` where this store has no such call.
    pub encode: fn(&Call<'_>) -> Option<Request>,
    /// Turns the answer to a call into a reply.
    pub decode: fn(&Call<'_>, StatusCode, &[u8]) -> Result<Reply>,
    /// The prefix under which hosts write their own entries of the list of hosts; `None`
    /// where the platform keeps that list itself.
    pub hosts_prefix: Option<&'static str>,
}

impl Protocol {
    /// The protocol that [docs/PLATFORM.md](../../../docs/PLATFORM.md) describes.
    pub const OWN: Self = Self { encode, decode, hosts_prefix: None };
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
        Call::Renew(lease) => post(format!("/leases/{lease}/renew"), Vec::new()),
        Call::Revoke(lease) => {
            Request { method: Method::DELETE, target: format!("/leases/{lease}"), body: Vec::new() }
        }
        Call::Hosts => get("/hosts".to_owned()),
        Call::List { .. } => return None,
    })
}

fn decode(call: &Call<'_>, status: StatusCode, body: &[u8]) -> Result<Reply> {
    match status {
        StatusCode::CONFLICT => return Err(Error::Conflict(from_json::<Version>(body)?.version)),
        StatusCode::NOT_FOUND => return Err(Error::Missing),
        status if !status.is_success() => {
            return Err(Error::Unreachable(format!("status {status}")));
        }
        _ => {}
    }
    Ok(match call {
        Call::Get(_) | Call::Watch { .. } => Reply::Item(from_json(body)?),
        Call::Swap(..) => Reply::Version(from_json::<Version>(body)?.version),
        Call::Lease(_) => Reply::Lease(from_json::<Lease>(body)?.lease),
        Call::Renew(_) | Call::Revoke(_) => Reply::Done,
        Call::Hosts => Reply::Hosts(from_json(body)?),
        Call::List { .. } => return Err(Error::Unsupported),
    })
}

/// Encodes a body.
pub fn to_json(value: &impl Serialize) -> Vec<u8> {
    serde_json::to_vec(value).expect("bodies have only strings and finite numbers")
}

/// Decodes a body, or says why it is not understood.
pub fn from_json<T: DeserializeOwned>(bytes: &[u8]) -> Result<T> {
    serde_json::from_slice(bytes).map_err(|error| Error::Malformed(error.to_string()))
}
