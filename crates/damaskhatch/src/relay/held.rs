//! What a request holds at engines, given back however the request ends.

use std::net::SocketAddr;

use damaskhatch_policy::placement::Load;
use damaskhatch_policy::prelude::*;
use damaskhatch_policy::registry;
use damaskhatch_policy::sheet::EngineTerms;

use super::attempt::{call, call_at};
use super::dialect::Outgoing;
use super::load::Entered;
use super::request::Routed;
use crate::entry::Entry;

/// A slot and memory that a decode engine keeps for one request.
#[derive(Debug)]
pub struct Reservation {
    /// The engine.
    pub upstream: registry::Entry,
    /// The engine's name of the reservation.
    pub name: String,
    /// Whether a request that uses it may have reached the engine.
    pub is_used: bool,
    entry: Entry,
    _entered: Entered,
}

impl Reservation {
    /// Asks an engine for a reservation; `None` if it has no room or does not answer.
    pub async fn take(
        entry: &Entry,
        engine: &registry::Entry,
        terms: EngineTerms,
        memory: u32,
        routed: &Routed,
    ) -> Option<Self> {
        let dialect = entry.shared.deployment.dialect;
        let load = Load { requests: 1, memory_tokens: memory, prefill_tokens: 0 };
        // Counted from before the call, so that other requests of this host see it.
        let entered = entry.shared.loads.enter(engine.tag, load);
        let ttl = Duration::from_millis(u64::from(terms.reservation_ms));
        let outgoing = (dialect.reserve)(memory, ttl);
        let reason = match call(entry, engine, outgoing).await {
            Ok((status, body)) => match (dialect.decode_reservation)(&body) {
                Some(name) if (200..300).contains(&status) => {
                    return Some(Self {
                        upstream: engine.clone(),
                        name,
                        is_used: false,
                        entry: entry.clone(),
                        _entered: entered,
                    });
                }
                _ => format!("status {status}"),
            },
            Err(error) => {
                entry.outliers().fail(engine.tag, Instant::now());
                error.to_string()
            }
        };
        entry.shared.journal.record(
            &routed.label,
            format_args!("event=not_reserved upstream={} reason={reason:?}", engine.instance),
        );
        None
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        if !self.is_used {
            let outgoing = (self.entry.shared.deployment.dialect.release)(&self.name);
            give_back(self.upstream.address, outgoing, "reservation");
        }
    }
}

/// A KV cache that a prefill engine keeps for one request.
#[derive(Debug)]
pub struct Export {
    /// The engine.
    pub engine: registry::Entry,
    /// Whether the decode engine took it.
    pub is_used: bool,
    handle: String,
    entry: Entry,
}

impl Export {
    /// Notes an export.
    pub fn new(entry: &Entry, engine: registry::Entry, handle: String) -> Self {
        Self { engine, is_used: false, handle, entry: entry.clone() }
    }

    /// Where a decode engine fetches it.
    pub fn source(&self) -> String {
        format!("{}/{}", self.engine.address, self.handle)
    }
}

impl Drop for Export {
    fn drop(&mut self) {
        if !self.is_used {
            let outgoing = (self.entry.shared.deployment.dialect.free_export)(&self.handle);
            give_back(self.engine.address, outgoing, "export");
        }
    }
}

/// Tells an engine in the background; what it does not hear lapses by itself.
fn give_back(address: SocketAddr, outgoing: Outgoing, what: &'static str) {
    actix_rt::spawn(async move {
        if let Err(error) = call_at(address, None, outgoing).await {
            log::info!("event=not_given_back what={what} upstream={address} error={error}");
        }
    });
}
