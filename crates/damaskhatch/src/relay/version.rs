//! Keeps each stream at the software version that began it.
//!
//! See [docs/DESIGN.md](../../../../docs/DESIGN.md#software-versions).

use damaskhatch_exchange::Response;
use damaskhatch_policy::attempt::Outcome;
use damaskhatch_policy::prelude::*;
use damaskhatch_policy::registry::{self, NO_VERSION};
use tokio::sync::oneshot;

use super::attempt::Failure;
use super::pair::Progress;
use super::request::Routed;
use crate::control::lineage::{Begin, Find};
use crate::entry::Entry;
use crate::entry::refusal::Refusal;

/// Rejects the response of an engine that has started again with another software version since it
/// was chosen.
pub fn check_version(
    entry: &Entry,
    routed: &Routed,
    chosen: &registry::Entry,
    response: Response,
) -> Result<Response, Failure> {
    let service = entry.shared.snapshot().services[routed.service].tag;
    let registry = entry.shared.upstreams();
    match registry.upstream(service, chosen.tag) {
        Some(now) if now.software != chosen.software => Err(Failure {
            outcome: Outcome::Unknown,
            reason: format!(
                "the engine has changed from software version {} to {} since it was chosen",
                chosen.software, now.software
            ),
            is_upstream_at_fault: false,
        }),
        _ => Ok(response),
    }
}

/// Binds a response to the software version of its first engine, and records that for take-ups.
///
/// Recorded before the prefill, the version is saved by the time of the first event, and no further
/// engine of the response has another one.
pub fn pin_version(
    entry: &Entry,
    routed: &Routed,
    progress: &mut Progress,
    engine: &registry::Entry,
) {
    progress.version = Some(engine.software);
    if let Some(lineage) = &entry.control.lineage {
        lineage.do_send(Begin { stream: Tag::of(&routed.label), version: engine.software });
    }
}

/// Finds the software version that began the stream which a caller takes up.
///
/// # Errors
///
/// Refuses the request if nobody knows the version, so that its caller can begin anew.
pub async fn find_version(entry: &Entry, routed: &Routed) -> Result<Tag, Refusal> {
    let Some(lineage) = &entry.control.lineage else { return Ok(NO_VERSION) };
    let first = routed.headers.get(entry.header_names().resumes);
    let first = first.and_then(|first| first.to_str().ok()).map(|first| first.trim().to_owned());
    let stream = first.as_deref().map(Tag::of);
    let service = entry.shared.snapshot().services[routed.service].tag;
    let (reply, found) = oneshot::channel();
    lineage.do_send(Find { stream, service, reply });
    // The channel closes without an answer if the control thread restarts.
    let version = found.await.unwrap_or_default();
    entry.shared.journal.record(
        &routed.label,
        format_args!(
            "event=taken_up first={} version={}",
            first.as_deref().unwrap_or("unnamed"),
            version.map_or_else(|| "unknown".to_owned(), |version| version.to_string())
        ),
    );
    let version = version.ok_or(Refusal::after(Kind::Unavailable, UNKNOWN_RETRY_AFTER))?;
    if let Some(stream) = stream {
        // Taken up again, the stream is known here.
        lineage.do_send(Begin { stream, version });
    }
    Ok(version)
}

/// When a caller may begin anew whose stream is of a version that nobody knows.
const UNKNOWN_RETRY_AFTER: Duration = Duration::from_millis(200);
