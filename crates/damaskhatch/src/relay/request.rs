//! Prepares a routed request: it is read, authenticated and charged before any attempt.

use actix_web::http::header::{self, HeaderMap as CallerHeaders};
use actix_web::{HttpRequest, web};
use bytes::Bytes;
use damaskhatch_exchange::{HeaderMap, Method};
use damaskhatch_policy::admission;
use damaskhatch_policy::config::Snapshot;
use damaskhatch_policy::prelude::*;
use damaskhatch_policy::routing::Route;
use damaskhatch_policy::strike::{self, Fingerprints, MAX_PARTS};
use damaskhatch_policy::urgency;

use crate::entry::access::{Caller, digest, identify};
use crate::entry::charge::charge;
use crate::entry::hold::Charged;
use crate::entry::refusal::Refusal;
use crate::entry::{Entry, read_body};
use crate::headers;
use crate::relay::dialect::{Dialect, Headers};

/// The token counts that a caller declares in its request's headers.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Tokens {
    /// The length of the prompt, in tokens.
    pub prompt: u32,
    /// The upper bound of the response's length, in tokens.
    pub max_output: u32,
    /// The caller's estimate of the response's length in tokens, if it sent one.
    pub hint: Option<u32>,
}

/// A request that has been matched to a route, authenticated and charged.
#[derive(Debug)]
pub struct Routed {
    /// The id that this host assigned to the request.
    pub id: Request,
    /// The id that the caller sent with it, for logs; `unnamed` if it sent none.
    pub label: String,
    /// The route that matches its host and path.
    pub route: Route,
    /// The service drawn at random by the weights of the route's targets.
    pub service: Service,
    /// The authenticated team; `None` where no key is required and none could be verified.
    pub caller: Option<Caller>,
    /// The regions that the sender's team is bound to, also where its key is not required.
    pub team_homes: Vec<String>,
    /// The HTTP method, the same for every attempt.
    pub method: Method,
    /// The request target: path and query, as the caller sent them.
    pub target: String,
    /// The headers that every attempt forwards.
    pub headers: HeaderMap,
    /// The complete request body, kept so that it can be sent again.
    pub body: Bytes,
    /// Identifies the request among repeats by its caller, and the parts of its prompt; see
    /// [`fingerprint`] and [`parse_parts`].
    pub fingerprints: Fingerprints,
    /// The declared token counts; `None` if the header is missing or malformed.
    pub tokens: Option<Tokens>,
    /// When this host received the request's head.
    pub arrived_at: Instant,
    /// When attempts end: at the route's time limit or at `deadline`, whichever is earlier.
    pub limit: Instant,
    /// When the caller itself stops waiting; by default at the route's time limit.
    pub deadline: Instant,
    /// The charge, refunded on drop if the request did not run; `None` if there is none.
    pub charged: Option<Charged>,
}

impl Routed {
    /// Makes the charge final, because an upstream may have run the request.
    pub fn keep_charge(&mut self) {
        if let Some(charged) = &mut self.charged {
            charged.unused = 0.0;
        }
    }

    /// Makes the charge refundable again, because no upstream ran the request after all.
    pub fn restore_charge(&mut self) {
        if let Some(charged) = &mut self.charged {
            charged.unused = charged.total;
        }
    }

    /// Whether the caller has events of the response already, from this host or another.
    pub fn is_resumed(&self, entry: &Entry) -> bool {
        // A resumption at another engine sets the header, too.
        self.headers.contains_key(entry.header_names().last_event)
    }

    /// The time until the caller's deadline, in whole milliseconds; 0 if it has passed.
    pub fn remaining_ms(&self, now: Instant) -> u64 {
        self.deadline.saturating_duration_since(now).as_millis() as u64
    }

    /// The priority at engines, 0 the most urgent; the team's own precedes the route's.
    pub fn priority(&self, snapshot: &Snapshot) -> u8 {
        let team = self.caller.as_ref().and_then(|caller| caller.team);
        let own = team.and_then(|team| snapshot.teams.get(team)).and_then(|team| team.priority);
        own.unwrap_or(self.route.priority)
    }

    /// The place of its priority among those of its service, from 0 for the most urgent to 1.
    pub fn rank(&self, snapshot: &Snapshot) -> f64 {
        urgency::rank(snapshot, self.service, self.priority(snapshot))
    }
}

/// Routes, authenticates, reads and charges a request, or refuses it.
pub async fn prepare(
    request: &HttpRequest,
    payload: web::Payload,
    entry: &Entry,
    label: &str,
) -> Result<Routed, Refusal> {
    let arrived_at = Instant::now();
    let dialect = entry.shared.deployment.dialect;
    let snapshot = entry.configuration()?;
    let host = host_name(request);
    let path = request.uri().path();
    let route = snapshot.routes.find(host, path).ok_or(Refusal::from(Kind::UnknownService))?;
    let identified = identify_sender(request, entry, &snapshot);
    let team = identified.as_ref().ok().and_then(|caller| snapshot.teams.get(caller.team?));
    let team_homes = team.map_or_else(Vec::new, |team| team.homes.clone());
    let caller = authenticate(identified, entry, &snapshot, route)?;
    let service =
        route.choose_service(rand::random()).and_then(|name| snapshot.service(Tag::of(name)));
    let service = service.ok_or(Refusal::from(Kind::NoUpstream))?;
    let headers = forwarded_headers(request.headers(), dialect, caller.as_ref());
    let tokens = parse_tokens(request.headers(), &dialect.headers);
    let requested =
        parse_number(request.headers(), dialect.headers.deadline).map(Duration::from_millis);
    let deadline = arrived_at + requested.unwrap_or(route.time_limit);
    // An upstream must not go on when this host has ended.
    let deadline = entry.shared.stop.requests_end().map_or(deadline, |end| deadline.min(end));
    let route = route.clone();
    let body = read_body(entry, payload).await?;
    let team = caller.as_ref().map_or(Tag(0), |caller| caller.tag);
    let service_tag = snapshot.services[service].tag;
    let fingerprints = Fingerprints {
        request: fingerprint(team, request, &body),
        parts: parse_parts(request.headers(), &dialect.headers, service_tag),
    };
    entry.check_quarantine(label, &fingerprints, false)?;
    let id = entry.shared.next_request();
    let charged = match &caller {
        Some(caller) => {
            let patience = admission::patience(route.target_latency);
            let charged = charge_tokens(entry, &snapshot, id, caller, tokens, patience).await;
            charged.inspect_err(|refusal| {
                let Tokens { prompt, max_output, .. } = tokens.unwrap_or_default();
                entry.shared.journal.record(
                    label,
                    format_args!(
                        "event=not_charged reason={:?} team={} prompt={prompt} \
                         most_output={max_output}",
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
        team_homes,
        method: request.method().as_str().parse().map_err(|_error| Kind::Malformed)?,
        target: request.uri().path_and_query().map_or("/", |target| target.as_str()).to_owned(),
        headers,
        body,
        fingerprints,
        tokens,
        arrived_at,
        limit: (arrived_at + route.time_limit).min(deadline),
        deadline,
        charged,
        route,
    })
}

/// Digests what a repeat of the request has in common with it: team, method, host, target and body.
///
/// Headers are left out, because each repeat has its own id and deadline, and so is the key,
/// which a team may replace.
fn fingerprint(team: Tag, request: &HttpRequest, body: &[u8]) -> Tag {
    let host = host_name(request).to_ascii_lowercase();
    let target = request.uri().path_and_query().map_or("/", |target| target.as_str());
    let method = request.method().as_str();
    strike::fingerprint(team, &[method.as_bytes(), host.as_bytes(), target.as_bytes(), body])
}

/// The value of the `Host` header or of the target's authority, without the port.
fn host_name(request: &HttpRequest) -> &str {
    let named = request.headers().get(header::HOST).and_then(|host| host.to_str().ok());
    let named = named.or_else(|| request.uri().host()).unwrap_or("");
    named.rsplit_once(':').map_or(named, |(host, _port)| host)
}

/// Identifies the caller by the key that it sent.
fn identify_sender(
    request: &HttpRequest,
    entry: &Entry,
    snapshot: &Snapshot,
) -> Result<Caller, Refusal> {
    let scheme = entry.shared.deployment.dialect.key_scheme;
    let sent = request.headers().get(header::AUTHORIZATION).and_then(|sent| sent.to_str().ok());
    let key = sent
        .and_then(|sent| sent.split_once(' '))
        .filter(|(named, key)| named.eq_ignore_ascii_case(scheme) && !key.trim().is_empty());
    identify(snapshot, key.map(|(_, key)| digest(key.trim())))
}

/// Checks whether the caller may use the route; `None` where no key is required and none could be verified.
fn authenticate(
    identified: Result<Caller, Refusal>,
    entry: &Entry,
    snapshot: &Snapshot,
    route: &Route,
) -> Result<Option<Caller>, Refusal> {
    if route.open || snapshot.teams.is_empty() {
        // A valid key is not required, but its team is still forwarded to the upstream.
        return Ok(identified.ok().filter(|_| entry.shared.are_keys_fresh()));
    }
    if !entry.shared.are_keys_fresh() {
        // A configuration that has not reached this host yet may have withdrawn the key.
        return Err(Refusal::after(Kind::Unavailable, STALE_KEYS_RETRY_AFTER));
    }
    identified.map(Some)
}

/// Retry delay for a caller whose key could not be checked; another host may be up to date.
const STALE_KEYS_RETRY_AFTER: Duration = Duration::from_millis(300);

/// Charges the team for a request; if it is short of tokens, tries once more after a wait of
/// up to `patience`.
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
    let cost = tokens.map_or(team.plain_tokens, |tokens| tokens.prompt + tokens.max_output);
    let first = charge(entry, id, caller, f64::from(cost)).await;
    let wait = match &first {
        Err(Refusal { kind: Kind::OverRate, retry_after: Some(wait), .. }) => *wait,
        _ => return first,
    };
    if wait > patience {
        return first;
    }
    // By then the team's rate has made up the shortfall; the request may wait that long anyway.
    tokio::time::sleep(wait).await;
    charge(entry, entry.shared.next_request(), caller, f64::from(cost)).await
}

/// The caller's headers without its key and without the headers that only the router sets.
fn forwarded_headers(
    sent: &CallerHeaders,
    dialect: &Dialect,
    caller: Option<&Caller>,
) -> HeaderMap {
    let names = &dialect.headers;
    let set_by_router = [
        names.team,
        names.instance,
        names.urgency,
        names.phase,
        names.kv_source,
        names.reservation,
        names.deadline,
        names.not_run,
    ];
    let mut forwarded = headers::to_upstream(sent, |name| {
        let mut dropped = set_by_router.iter().chain(names.reserved);
        dropped.any(|dropped| dropped.eq_ignore_ascii_case(name))
    });
    if let Some(caller) = caller {
        headers::set(&mut forwarded, names.team, &caller.name);
    }
    forwarded
}

/// The declared token counts; `None` if their header is missing or malformed.
fn parse_tokens(headers: &CallerHeaders, names: &Headers) -> Option<Tokens> {
    let text = headers.get(names.tokens)?.to_str().ok()?;
    let (prompt, output) = text.split_once(',')?;
    let hint = parse_number(headers, names.length_hint).map(|hint| hint as u32);
    let (prompt, max_output) = (prompt.trim().parse().ok()?, output.trim().parse().ok()?);
    Some(Tokens { prompt, max_output, hint })
}

/// The fingerprints of the leading parts of the prompt, without the last one, which belongs to the
/// request alone or to its session.
fn parse_parts(headers: &CallerHeaders, names: &Headers, service: Tag) -> Vec<Tag> {
    let listed = headers.get(names.prompt_parts).and_then(|parts| parts.to_str().ok());
    let ids =
        listed.unwrap_or("").split(',').map(|part| part.split(':').next().unwrap_or("").trim());
    let ids: Vec<&str> = ids.collect();
    let (_own, shared) = ids.split_last().unwrap_or((&"", &[]));
    let shared = shared.iter().filter(|id| !id.is_empty()).take(MAX_PARTS);
    shared.map(|id| strike::part(service, id.to_ascii_lowercase().as_bytes())).collect()
}

/// The header's value as a number; `None` if it is missing or malformed.
fn parse_number(headers: &CallerHeaders, name: &str) -> Option<u64> {
    headers.get(name)?.to_str().ok()?.trim().parse().ok()
}
