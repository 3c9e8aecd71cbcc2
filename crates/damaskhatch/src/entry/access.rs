//! Identifies callers by their API keys and checks that they may call a service.

use actix_web::HttpRequest;
use actix_web::http::header::AUTHORIZATION;
use damaskhatch_policy::config::{Access, ServiceEntry, Snapshot, TeamEntry};
use damaskhatch_policy::prelude::*;

use super::refusal::Refusal;

/// The maximum length of a key in bytes; longer keys are refused without a lookup.
const MAX_KEY_BYTES: usize = 256;

/// A caller: the team of its key, or an anonymous caller of an open service.
#[derive(Debug, Clone, PartialEq)]
pub struct Caller {
    /// The team's index; `None` for an anonymous caller.
    pub team: Option<Team>,
    /// The tag that identifies the team between hosts; 0 for an anonymous caller.
    pub tag: Tag,
    /// The team's name, or `anonymous`.
    pub name: String,
    /// The team's weight in fair queues, which is its rate; 1 for an anonymous caller.
    pub weight: f64,
    /// The digest of the key, which shows whether the key has been withdrawn since; `None` for
    /// an anonymous caller.
    pub digest: Option<String>,
}

/// The digest under which a key is stored: BLAKE3 in hexadecimal.
pub fn digest(key: &str) -> String {
    blake3::hash(key.as_bytes()).to_hex().to_string()
}

/// The digest of the key in a request's `Authorization` header, or `None` without the header.
///
/// Fails unless the header holds a bearer token of a permitted length.
pub fn key_digest(request: &HttpRequest) -> Result<Option<String>, Refusal> {
    let Some(header) = request.headers().get(AUTHORIZATION) else {
        return Ok(None);
    };
    let text = header.to_str().map_err(|_error| Refusal::from(Kind::Unauthenticated))?;
    let (scheme, key) = text.split_once(' ').unwrap_or((text, ""));
    let key = key.trim();
    let has_valid_length = !key.is_empty() && key.len() <= MAX_KEY_BYTES;
    if !scheme.eq_ignore_ascii_case("bearer") || !has_valid_length {
        return Err(Kind::Unauthenticated.into());
    }
    Ok(Some(digest(key)))
}

/// Identifies the caller and checks that its team may call the service.
///
/// If the service is open, a caller without a valid key or without a grant is anonymous.
pub fn authorize(
    request: &HttpRequest,
    snapshot: &Snapshot,
    service: Service,
) -> Result<Caller, Refusal> {
    let entry = &snapshot.services[service];
    let digest = match key_digest(request) {
        Ok(digest) => digest,
        Err(_malformed) if entry.open => None,
        Err(refusal) => return Err(refusal),
    };
    match identify(snapshot, digest) {
        Err(_invalid_key) if entry.open => Ok(anonymous()),
        Ok(caller) => check_grant(snapshot, service, entry, caller),
        Err(refusal) => Err(refusal),
    }
}

/// Identifies the caller by the digest of its key.
pub fn identify(snapshot: &Snapshot, digest: Option<String>) -> Result<Caller, Refusal> {
    let digest = digest.ok_or(Refusal::from(Kind::Unauthenticated))?;
    match snapshot.access(&digest) {
        Access::Team(team) => Ok(caller(team, &snapshot.teams[team], digest)),
        Access::Withdrawn => Err(Kind::KeyWithdrawn.into()),
        Access::Unknown => Err(Kind::Unauthenticated.into()),
    }
}

/// Checks that the caller's team may call the service; without a grant, the caller of an open
/// service is anonymous.
fn check_grant(
    snapshot: &Snapshot,
    service: Service,
    entry: &ServiceEntry,
    caller: Caller,
) -> Result<Caller, Refusal> {
    let granted = caller.team.is_some_and(|team| snapshot.is_granted(team, service));
    match (granted, entry.open) {
        (true, _) => Ok(caller),
        (false, true) => Ok(anonymous()),
        (false, false) => Err(Kind::Forbidden.into()),
    }
}

fn caller(team: Team, entry: &TeamEntry, digest: String) -> Caller {
    let TeamEntry { name, tag, rate, .. } = entry;
    Caller { team: Some(team), tag: *tag, name: name.clone(), weight: *rate, digest: Some(digest) }
}

fn anonymous() -> Caller {
    let name = "anonymous".to_owned();
    Caller { team: None, tag: Tag(0), name, weight: 1.0, digest: None }
}

impl Caller {
    /// Whether the caller's key is withdrawn in `snapshot`, which may be newer than the one by
    /// which the caller was identified.
    pub fn is_withdrawn(&self, snapshot: &Snapshot) -> bool {
        let digest = self.digest.as_deref();
        digest.is_some_and(|digest| snapshot.access(digest) == Access::Withdrawn)
    }
}
