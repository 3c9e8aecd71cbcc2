//! What a request holds at engines, given back however the request ends.

use std::net::SocketAddr;

use damaskhatch_policy::admission::Need;
use damaskhatch_policy::placement::Load;
use damaskhatch_policy::prelude::*;
use damaskhatch_policy::registry;
use damaskhatch_policy::sheet::EngineTerms;

use super::attempt::{call, call_at};
use super::dialect::Call;
use super::load::Entered;
use super::request::Routed;
use crate::entry::Entry;

/// A slot and memory that a decode engine keeps for one request.
#[derive(Debug)]
pub struct Reservation {
    /// The engine.
    pub upstream: registry::Entry,
    room: Room,
    _entered: Entered,
}

impl Reservation {
    /// Reserves at an engine; `None` if it has no room or does not answer.
    ///
    /// The headroom is reserved as well at first and given back at once: that is how
    /// the engine itself says, for all hosts, that it is free.
    pub async fn take(
        entry: &Entry,
        engine: &registry::Entry,
        terms: EngineTerms,
        need: Need,
        routed: &Routed,
    ) -> Option<Self> {
        let Need { memory, headroom } = need;
        let load = Load { requests: 1, memory_tokens: memory, prefill_tokens: 0 };
        // Counted from before the calls, so that other requests of this host see it.
        let entered = entry.shared.loads.enter(engine.tag, load);
        let taken = async {
            if headroom > 0 {
                let all = Room::take(entry, engine, terms, memory + headroom).await?;
                all.give_back(engine).await?;
            }
            Room::take(entry, engine, terms, memory).await
        };
        match taken.await {
            Ok(room) => Some(Self { upstream: engine.clone(), room, _entered: entered }),
            Err(reason) => {
                let instance = &engine.instance;
                entry.shared.journal.record(
                    &routed.label,
                    format_args!("event=not_reserved upstream={instance} reason={reason:?}"),
                );
                None
            }
        }
    }

    /// The engine's name of the reservation.
    pub fn name(&self) -> &str {
        &self.room.name
    }

    /// Notes that a request that uses it may have reached the engine.
    pub fn note_used(&mut self) {
        self.room.is_gone = true;
    }
}

/// What an engine keeps under one name, given back when this is dropped.
#[derive(Debug)]
struct Room {
    name: String,
    address: SocketAddr,
    is_gone: bool,
    entry: Entry,
}

impl Room {
    /// Reserves a slot and memory, or says why there is none.
    async fn take(
        entry: &Entry,
        engine: &registry::Entry,
        terms: EngineTerms,
        memory: u32,
    ) -> Result<Self, String> {
        let dialect = entry.shared.deployment.dialect;
        let ttl = Duration::from_millis(u64::from(terms.reservation_ms));
        let (status, body) = match call(entry, engine, (dialect.reserve)(memory, ttl)).await {
            Ok(answer) => answer,
            Err(error) => {
                entry.outliers().fail(engine.tag, Instant::now());
                return Err(error.to_string());
            }
        };
        let name = (dialect.decode_reservation)(&body).filter(|_| (200..300).contains(&status));
        let name = name.ok_or_else(|| format!("status {status}"))?;
        Ok(Self { name, address: engine.address, is_gone: false, entry: entry.clone() })
    }

    /// Gives it back and waits until the engine has heard it.
    async fn give_back(mut self, engine: &registry::Entry) -> Result<(), String> {
        let outgoing = (self.entry.shared.deployment.dialect.release)(&self.name);
        let called = call(&self.entry, engine, outgoing).await;
        self.is_gone = called.is_ok();
        called.map(|_answer| ()).map_err(|error| error.to_string())
    }
}

impl Drop for Room {
    fn drop(&mut self) {
        if !self.is_gone {
            let outgoing = (self.entry.shared.deployment.dialect.release)(&self.name);
            give_back(self.address, outgoing, "reservation");
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
fn give_back(address: SocketAddr, outgoing: Call, what: &'static str) {
    actix_rt::spawn(async move {
        if let Err(error) = call_at(address, None, outgoing).await {
            log::info!("event=not_given_back what={what} upstream={address} error={error}");
        }
    });
}
