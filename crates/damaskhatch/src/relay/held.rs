//! The resources that a request holds at engines, released on drop however the request ends.

use bytes::Bytes;
use damaskhatch_exchange as exchange;
use damaskhatch_exchange::pool::Pool;
use damaskhatch_policy::admission::Need;
use damaskhatch_policy::placement::Load;
use damaskhatch_policy::prelude::*;
use damaskhatch_policy::registry;
use damaskhatch_policy::sheet::EngineTerms;

use super::attempt;
use super::dialect::Call;
use super::load::Guard;
use super::request::Routed;
use crate::entry::Entry;

/// A slot and memory reserved for one request at a decode engine.
#[derive(Debug)]
pub struct Reservation {
    /// The decode engine that granted it.
    pub upstream: registry::Entry,
    hold: Hold,
    _guard: Guard,
}

impl Reservation {
    /// Reserves at an engine; `None` if it has no room or does not respond.
    ///
    /// First reserves the memory together with the headroom, releases that at once and
    /// then reserves the memory alone. So the engine itself, which knows the reservations
    /// of all hosts, confirms that the headroom is free. All three calls use one connection.
    pub async fn acquire(
        entry: &Entry,
        engine: &registry::Entry,
        terms: EngineTerms,
        need: Need,
        routed: &Routed,
    ) -> Option<Self> {
        let Need { memory, headroom } = need;
        let load = Load { requests: 1, memory_tokens: memory, prefill_tokens: 0 };
        // Counted before the calls, so that other requests of this host take it into account.
        let guard = entry.shared.loads.track(engine.tag, load);
        let pool = Pool::private();
        let acquire = |memory| Hold::acquire(entry, engine, &pool, terms, memory);
        let grant = async {
            if headroom > 0 {
                let trial = acquire(memory + headroom).await?;
                trial.release(&pool).await?;
            }
            acquire(memory).await
        };
        match grant.await {
            Ok(hold) => Some(Self { upstream: engine.clone(), hold, _guard: guard }),
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

    /// The name that the engine assigned to the reservation.
    pub fn name(&self) -> &str {
        &self.hold.name
    }

    /// Prevents the release on drop, because a request that uses it may reach the engine.
    pub fn mark_used(&mut self) {
        self.hold.is_settled = true;
    }
}

/// A reservation at an engine under one name, released on drop unless it is settled.
#[derive(Debug)]
struct Hold {
    name: String,
    engine: registry::Entry,
    /// Whether it needs no release: the engine has released it, or a request may have used it.
    is_settled: bool,
    entry: Entry,
}

impl Hold {
    /// Reserves a slot and `memory` tokens; fails with the reason, for logs.
    async fn acquire(
        entry: &Entry,
        engine: &registry::Entry,
        pool: &Pool,
        terms: EngineTerms,
        memory: u32,
    ) -> Result<Self, String> {
        let dialect = entry.shared.deployment.dialect;
        let ttl = Duration::from_millis(u64::from(terms.reservation_ms));
        let reserve = (dialect.reserve)(memory, ttl);
        let (status, body) = match call_engine(entry, engine, Some(pool), reserve).await {
            Ok(response) => response,
            Err(error) => {
                entry.outliers().record_failure(engine.tag, Instant::now());
                return Err(error.to_string());
            }
        };
        let name = (dialect.decode_reservation)(&body).filter(|_| (200..300).contains(&status));
        let name = name.ok_or_else(|| format!("status {status}"))?;
        Ok(Self { name, engine: engine.clone(), is_settled: false, entry: entry.clone() })
    }

    /// Releases the reservation and waits for the engine's response.
    async fn release(mut self, pool: &Pool) -> Result<(), String> {
        let dialect = self.entry.shared.deployment.dialect;
        let release = (dialect.release)(&self.name);
        let called = call_engine(&self.entry, &self.engine, Some(pool), release).await;
        let (_status, body) = called.map_err(|error| error.to_string())?;
        if (dialect.decode_reservation)(&body).is_some() {
            return Err("the response is a copy of that to the reservation".to_owned());
        }
        self.is_settled = true;
        Ok(())
    }
}

impl Drop for Hold {
    fn drop(&mut self) {
        if !self.is_settled {
            let release = (self.entry.shared.deployment.dialect.release)(&self.name);
            release_in_background(&self.entry, &self.engine, release, "reservation");
        }
    }
}

/// A KV cache that a prefill engine exports for one request, freed on drop unless it was used.
#[derive(Debug)]
pub struct Export {
    /// The prefill engine that holds it.
    pub engine: registry::Entry,
    /// Whether a decode engine has responded to a request that named it as its source.
    pub is_used: bool,
    handle: String,
    entry: Entry,
}

impl Export {
    /// Creates the owner of an export, which frees it on drop.
    pub fn new(entry: &Entry, engine: registry::Entry, handle: String) -> Self {
        Self { engine, is_used: false, handle, entry: entry.clone() }
    }

    /// The address and handle from which a decode engine fetches it, as `ADDRESS/HANDLE`.
    pub fn source(&self) -> String {
        format!("{}/{}", self.engine.address, self.handle)
    }
}

impl Drop for Export {
    fn drop(&mut self) {
        if !self.is_used {
            let release = (self.entry.shared.deployment.dialect.free_export)(&self.handle);
            release_in_background(&self.entry, &self.engine, release, "export");
        }
    }
}

/// Sends a release in the background; if it fails, the engine frees the resource at its TTL.
fn release_in_background(
    entry: &Entry,
    engine: &registry::Entry,
    release: Call,
    what: &'static str,
) {
    let (entry, engine) = (entry.clone(), engine.clone());
    actix_rt::spawn(async move {
        if let Err(error) = call_engine(&entry, &engine, None, release).await {
            let upstream = &engine.instance;
            log::info!("event=not_given_back what={what} upstream={upstream} error={error}");
        }
    });
}

async fn call_engine(
    entry: &Entry,
    engine: &registry::Entry,
    pool: Option<&Pool>,
    call: Call,
) -> Result<(u16, Bytes), exchange::Error> {
    // A reservation that is made twice ends by itself, and a second release has no effect.
    attempt::call(&entry.shared, &entry.control.limits, engine, pool, call).await
}
