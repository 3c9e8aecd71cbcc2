//! Learns what upstreams say of themselves in their responses.
//!
//! Every response of every kind of call is decoded here, on routes and on the own interface. See
//! [docs/DESIGN.md](../../../../docs/DESIGN.md#statements-of-upstreams).

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use damaskhatch_exchange::{HeaderMap, StatusCode, header};
use damaskhatch_policy::availability::{Standing, Statement, Table, Values};
use damaskhatch_policy::config::UpstreamEntry;
use damaskhatch_policy::limit::{Named, Seen};
use damaskhatch_policy::{registry, speed};

use crate::control::limits::{Limits, Observe};
use crate::prelude::*;
use crate::relay::dialect::Headers;
use crate::shared::Shared;

/// What the upstreams have said about new requests, shared by the threads of a host.
///
/// A statement binds as soon as it was heard, so it is not sent through an actor.
#[derive(Debug, Clone, Default)]
pub struct Availability(Arc<Mutex<Table>>);

impl Availability {
    /// Locks the table.
    pub fn lock(&self) -> MutexGuard<'_, Table> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Whether this host may send a request to a registered upstream now.
    pub fn standing_of(&self, upstream: &registry::Entry) -> Standing {
        let registry::Entry { domain, tag, started_ms, .. } = *upstream;
        self.lock().standing_in(domain, tag, started_ms, Instant::now())
    }

    /// Whether this host may send a request to an upstream of the configuration now.
    ///
    /// The configuration does not say when an upstream has started.
    pub fn standing_of_configured(&self, upstream: &UpstreamEntry) -> Standing {
        self.lock().standing_in(upstream.domain, upstream.tag, 0, Instant::now())
    }
}

/// How fast upstreams work, shared by the threads of a host.
#[derive(Debug, Clone, Default)]
pub struct Speeds(Arc<Mutex<speed::Table>>);

impl Speeds {
    /// Locks the table.
    pub fn lock(&self) -> MutexGuard<'_, speed::Table> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// One run of an upstream, between a start of its process and its end.
#[derive(Debug, Clone, Copy)]
pub struct Run<'a> {
    /// The upstream's name.
    pub name: &'a str,
    /// The tag of the name.
    pub tag: Tag,
    /// The start, in milliseconds since the Unix epoch; 0 if it is unknown.
    pub started_ms: u64,
}

impl<'a> From<&'a registry::Entry> for Run<'a> {
    fn from(entry: &'a registry::Entry) -> Self {
        Self { name: &entry.instance, tag: entry.tag, started_ms: entry.started_ms }
    }
}

/// Decodes what a response says of its upstream.
pub fn decode(names: &Headers, status: StatusCode, headers: &HeaderMap) -> Statement {
    let values = |name: &str| {
        let values = headers.get_all(name).iter();
        values.map(|value| value.to_str().unwrap_or("?")).collect()
    };
    let values = Values {
        load: values(names.load),
        limit: values(names.limit),
        leaving: values(names.leaving),
        retry_after: values(header::RETRY_AFTER.as_str()),
    };
    Statement::parse(&values, status.as_u16())
}

/// Takes into account what a response says of its upstream, and returns that.
pub fn hear(
    shared: &Shared,
    limits: &Addr<Limits>,
    run: Run<'_>,
    sent_at: Instant,
    (status, headers): (StatusCode, &HeaderMap),
) -> Statement {
    let statement = decode(&shared.deployment.dialect.headers, status, headers);
    let Run { name, tag, started_ms } = run;
    if statement.limit != Named::Nothing || shared.known_limits().is_limited(tag) {
        let named = statement.limit.clone();
        let seen = Seen { upstream: tag, started_ms, sent_at, named };
        limits.do_send(Observe { seen, name: name.to_owned() });
    }
    if let Some(slowness) = statement.slowness {
        shared.speeds.lock().state(tag, started_ms, slowness, Instant::now());
    }
    let news =
        shared.availability.lock().observe((tag, started_ms), &statement, sent_at, Instant::now());
    let count = |kind| shared.metrics.statements.with_label_values(&[kind]).inc();
    if news.is_leaving {
        count("leaving");
        log::info!(
            "event=upstream_leaving upstream={name} started_ms={started_ms} source=response"
        );
    }
    if news.has_stayed {
        log::info!("event=upstream_stayed upstream={name}");
    }
    if let Some(pause) = news.pause {
        count("paused");
        let pause_ms = pause.as_millis();
        log::info!("event=upstream_paused upstream={name} status={status} pause_ms={pause_ms}");
    }
    if !statement.malformed.is_empty() {
        let values = statement.malformed.join(", ");
        if shared.availability.lock().note_malformed(tag, &values) {
            count("malformed");
            log::warn!(
                "event=statement_malformed upstream={name} status={status} values={values:?}"
            );
        }
    }
    statement
}
