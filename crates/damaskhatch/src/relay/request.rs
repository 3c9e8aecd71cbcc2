//! What a routed request is: read, checked and charged before anything is sent.

use actix_web::http::header::{self, HeaderMap as CallerHeaders};
use actix_web::{HttpRequest, web};
use bytes::Bytes;
use damaskhatch_exchange::{HeaderMap, Method};
use damaskhatch_policy::admission;
use damaskhatch_policy::config::Snapshot;
use damaskhatch_policy::prelude::*;
use damaskhatch_policy::routing::Route;

use crate::entry::access::{Caller, digest, identify};
use crate::entry::charge::charge;
use crate::entry::hold::Charged;
use crate::entry::refusal::Refusal;
use crate::entry::{Entry, read_body};
use crate::headers;
use crate::relay::dialect::{Dialect, Headers};

/// The tokens that a request names.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Tokens {
    /// Tokens of the prompt.
    pub prompt: u32,
    /// The most that the answer may have.
    pub most_output: u32,
    /// The caller's estimate of the answer.
    pub hint: Option<u32>,
}

/// A request that may be sent on.
#[derive(Debug)]
pub struct Routed {
    /// This host's id of the request.
    pub id: Request,
    /// The caller's id of it, for logs.
    pub label: String,
    /// Its route.
    pub route: Route,
    /// The service that the route's weights chose.
    pub service: Service,
    /// The team, unless the route is open.
    pub caller: Option<Caller>,
    /// The method.
    pub method: Method,
    /// Path and query, as the caller sent them.
    pub target: String,
    /// What every attempt passes on.
    pub headers: HeaderMap,
    /// The body.
    pub body: Bytes,
    /// Tokens, where the caller names them.
    pub tokens: Option<Tokens>,
    /// When the request arrived.
    pub arrived: Instant,
    /// When the caller must have its final answer.
    pub limit: Instant,
    /// How long after `limit` the caller itself gives up.
    pub deadline: Instant,
    /// The charge, given back if the request does not run.
    pub charged: Option<Charged>,
}

impl Routed {
    /// Notes that an upstream may have run the request, so that its charge stays.
    pub fn keep_charge(&mut self) {
        if let Some(charged) = &mut self.charged {
            charged.unused = 0.0;
        }
    }

    /// Notes that no upstream ran the request after all, so that its charge is given back.
    pub fn restore_charge(&mut self) {
        if let Some(charged) = &mut self.charged {
            charged.unused = charged.total;
        }
    }

    /// What is left until the caller gives up, in whole milliseconds.
    pub fn left_ms(&self, now: Instant) -> u64 {
        self.deadline.saturating_duration_since(now).as_millis() as u64
    }

    /// The rank at engines, 0 first.
    pub fn priority(&self, snapshot: &Snapshot) -> u8 {
        let team = self.caller.as_ref().and_then(|caller| caller.team);
        let own = team.and_then(|team| snapshot.teams.get(team)).and_then(|team| team.priority);
        own.unwrap_or(self.route.priority)
    }
}

/// Reads, checks and charges a request.
pub async fn prepare(
    request: &HttpRequest,
    payload: web::Payload,
    entry: &Entry,
    label: &str,
) -> Result<Routed, Refusal> {
    let arrived = Instant::now();
    let dialect = entry.shared.deployment.dialect;
    let snapshot = entry.shared.snapshot();
    if snapshot.revision == 0 {
        return Err(Kind::Unavailable.into());
    }
    let host = host_name(request);
    let path = request.uri().path();
    let route = snapshot.routes.find(host, path).ok_or(Refusal::from(Kind::UnknownService))?;
    let caller = authenticate(request, entry, &snapshot, route)?;
    let service =
        route.choose_service(rand::random()).and_then(|name| snapshot.service(Tag::of(name)));
    let service = service.ok_or(Refusal::from(Kind::NoUpstream))?;
    let headers = passed_on(request.headers(), dialect, caller.as_ref());
    let tokens = tokens(request.headers(), &dialect.headers);
    let asked = number(request.headers(), dialect.headers.deadline).map(Duration::from_millis);
    let deadline = arrived + asked.unwrap_or(route.time_limit);
    let route = route.clone();
    let body = read_body(entry, payload).await?;
    let id = entry.shared.next_request();
    let charged = match &caller {
        Some(caller) => {
            let patience = admission::patience(route.target_latency);
            let charged = charge_tokens(entry, &snapshot, id, caller, tokens, patience).await;
            charged.inspect_err(|refusal| {
                let Tokens { prompt, most_output, .. } = tokens.unwrap_or_default();
                entry.shared.journal.record(
                    label,
                    format_args!(
                        "event=not_charged reason={:?} team={} prompt={prompt} \
                         most_output={most_output}",
                        refusal.kind, caller.name
                    ),
                );
            })?
        }
        None => None,
    };
    Ok(Routed {
        id,
        label: label.to_owned(),
        service,
        caller,
        method: request.method().as_str().parse().map_err(|_error| Kind::Malformed)?,
        target: request.uri().path_and_query().map_or("/", |target| target.as_str()).to_owned(),
        headers,
        body,
        tokens,
        arrived,
        limit: (arrived + route.time_limit).min(deadline),
        deadline,
        charged,
        route,
    })
}

/// The host that the caller named, without a port.
fn host_name(request: &HttpRequest) -> &str {
    let named = request.headers().get(header::HOST).and_then(|host| host.to_str().ok());
    let named = named.or_else(|| request.uri().host()).unwrap_or("");
    named.rsplit_once(':').map_or(named, |(host, _port)| host)
}

/// The caller's team, or `None` where the route or the configuration asks for no key.
fn authenticate(
    request: &HttpRequest,
    entry: &Entry,
    snapshot: &Snapshot,
    route: &Route,
) -> Result<Option<Caller>, Refusal> {
    let scheme = entry.shared.deployment.dialect.key_scheme;
    let sent = request.headers().get(header::AUTHORIZATION).and_then(|sent| sent.to_str().ok());
    let key = sent
        .and_then(|sent| sent.split_once(' '))
        .filter(|(named, key)| named.eq_ignore_ascii_case(scheme) && !key.trim().is_empty());
    let known = identify(snapshot, key.map(|(_, key)| digest(key.trim())));
    if route.open || snapshot.teams.is_empty() {
        // The team of a key that is good is still told to the upstream.
        return Ok(known.ok().filter(|_| entry.shared.are_keys_fresh()));
    }
    if !entry.shared.are_keys_fresh() {
        // The key may have been withdrawn in a configuration that this host has not seen.
        return Err(Refusal::after(Kind::Unavailable, STALE_RETRY));
    }
    known.map(Some)
}

/// When a caller returns whose key could not be checked; another host may know more.
const STALE_RETRY: Duration = Duration::from_millis(300);

async fn charge_tokens(
    entry: &Entry,
    snapshot: &Snapshot,
    id: Request,
    caller: &Caller,
    tokens: Option<Tokens>,
    patience: Duration,
) -> Result<Option<Charged>, Refusal> {
    let team = caller.team.and_then(|team| snapshot.teams.get(team));
    let Some(team) = team.filter(|team| team.is_limited) else {
        return Ok(None);
    };
    let cost = tokens.map_or(team.plain_tokens, |tokens| tokens.prompt + tokens.most_output);
    let first = charge(entry, id, caller, f64::from(cost)).await;
    let wait = match &first {
        Err(Refusal { kind: Kind::OverRate, retry_after: Some(wait), .. }) => *wait,
        _ => return first,
    };
    if wait > patience {
        return first;
    }
    // The team earns what is missing within the time that the request may wait anyway.
    tokio::time::sleep(wait).await;
    charge(entry, entry.shared.next_request(), caller, f64::from(cost)).await
}

/// The headers that every attempt passes on: never a key, nothing the system sets itself.
fn passed_on(sent: &CallerHeaders, dialect: &Dialect, caller: Option<&Caller>) -> HeaderMap {
    let own = &dialect.headers;
    let set_by_us = [
        own.team,
        own.instance,
        own.urgency,
        own.phase,
        own.kv_source,
        own.reservation,
        own.deadline,
        own.not_run,
    ];
    let mut kept = headers::to_upstream(sent, |name| {
        let mut ours = set_by_us.iter().chain(own.reserved);
        ours.any(|ours| ours.eq_ignore_ascii_case(name))
    });
    if let Some(caller) = caller {
        headers::set(&mut kept, own.team, &caller.name);
    }
    kept
}

fn tokens(headers: &CallerHeaders, names: &Headers) -> Option<Tokens> {
    let text = headers.get(names.tokens)?.to_str().ok()?;
    let (prompt, output) = text.split_once(',')?;
    let hint = number(headers, names.length_hint).map(|hint| hint as u32);
    let (prompt, most_output) = (prompt.trim().parse().ok()?, output.trim().parse().ok()?);
    Some(Tokens { prompt, most_output, hint })
}

fn number(headers: &CallerHeaders, name: &str) -> Option<u64> {
    headers.get(name)?.to_str().ok()?.trim().parse().ok()
}
