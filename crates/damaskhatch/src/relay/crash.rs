//! Finds out whether an upstream crashed under a request, and reports it as a strike.

use std::net::SocketAddr;

use damaskhatch_policy::ending::{Upstream, Verdict};
use damaskhatch_policy::prelude::*;
use damaskhatch_policy::registry;
use damaskhatch_policy::strike::{Crash, Fingerprints, Strike};
use damaskhatch_policy::suspect::Suspect;
use tokio::io::AsyncReadExt;
use tokio::net::TcpStream;

use super::request::Routed;
use crate::control::strikes::Watch;
use crate::entry::Entry;

/// The time limit for a connection that only shows whether the upstream still listens.
const PROBE_TIMEOUT: Duration = Duration::from_millis(250);
/// How long an accepted connection is watched for a close.
///
/// The kernel resets the connections of an ending process one by one, the listener's too, so
/// the first one may break before new ones are refused.
const CLOSE_TIMEOUT: Duration = Duration::from_millis(5);
/// The pause before an upstream is probed again that was not seen to have ended.
///
/// While a process ends, a connection to it may be accepted, or left without a response.
const PROBE_PAUSE: Duration = Duration::from_millis(100);
/// How long a new start counts as evidence for an upstream that accepts connections.
///
/// Long enough for a restarted upstream to register itself, and shorter than the time in which
/// an upstream that leaves is replaced.
const RESTARTED_WITHIN: Duration = Duration::from_secs(3);
/// The same for an upstream that does not respond to connections.
const RETURNED_WITHIN: Duration = Duration::from_secs(30);

/// The time without a byte from an upstream after which it is examined if the caller leaves.
///
/// Most callers that leave are only impatient; the upstream has responded to others meanwhile.
const SILENT_AFTER: Duration = Duration::from_secs(1);

/// What a new connection shows about an upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Evidence {
    /// The connection was refused: no process listens at the address.
    Refused,
    /// The connection was accepted and closed at once: the process ends, or has too many.
    Closed,
    /// The connection was accepted, by this run of the upstream or by a later one.
    Accepted,
    /// Nothing came back: the upstream is down, unreachable or overloaded.
    Silent,
    /// The upstream is leaving, so that its end says nothing about its requests.
    Leaving,
}

/// An attempt that an upstream has not completed.
#[derive(Debug, Clone)]
pub struct Broken {
    /// The request's label, for logs.
    pub label: String,
    /// The request and the parts of its prompt.
    pub fingerprints: Fingerprints,
    /// The upstream.
    pub upstream: registry::Entry,
    /// When the request was sent to it.
    pub sent_at: Instant,
    /// When the attempt broke off.
    pub broke_at: Instant,
}

impl Broken {
    /// Describes an attempt at a request that has just broken off.
    pub fn new(routed: &Routed, upstream: &registry::Entry, sent_at: Instant) -> Self {
        Self {
            label: routed.label.clone(),
            fingerprints: routed.fingerprints.clone(),
            upstream: upstream.clone(),
            sent_at,
            broke_at: Instant::now(),
        }
    }

    /// The strikes that the request and the parts of its prompt get if the upstream has crashed.
    fn strikes(&self) -> Vec<Strike> {
        let crash = Crash {
            upstream: self.upstream.tag,
            started_ms: self.upstream.started_ms,
            name: self.upstream.instance.clone(),
        };
        Strike::all(&self.fingerprints, &crash, self.sent_at, self.broke_at)
    }
}

/// An attempt in progress, examined on drop if its upstream was silent.
///
/// It is dropped unsettled when the caller closes its connection, which callers of a silent
/// upstream do before the time limit.
#[derive(Debug)]
pub struct Pending<'a> {
    entry: &'a Entry,
    routed: &'a Routed,
    upstream: &'a registry::Entry,
    sent_at: Instant,
    is_settled: bool,
}

impl<'a> Pending<'a> {
    /// Begins an attempt at an upstream.
    pub fn new(entry: &'a Entry, routed: &'a Routed, upstream: &'a registry::Entry) -> Self {
        Self { entry, routed, upstream, sent_at: Instant::now(), is_settled: false }
    }

    /// Ends the attempt with a response or a failure, which others examine.
    pub const fn settle(&mut self) {
        self.is_settled = true;
    }
}

impl Drop for Pending<'_> {
    fn drop(&mut self) {
        if !self.is_settled {
            let Self { entry, routed, upstream, sent_at, .. } = *self;
            examine_if_silent(entry, Broken::new(routed, upstream, sent_at), sent_at);
        }
    }
}

/// Examines in the background the upstream of an attempt whose caller has left, if no byte has
/// come from it for long.
pub fn examine_if_silent(entry: &Entry, broken: Broken, last_byte_at: Instant) {
    if broken.broke_at.saturating_duration_since(last_byte_at) >= SILENT_AFTER {
        actix_rt::spawn(examine(entry.clone(), broken));
    }
}

/// Examines the upstream of an attempt that broke off.
///
/// Returns once a strike is known to all threads of this host, so that the request's next
/// attempt takes it into account. Without evidence at once, it goes on in the background.
pub async fn examine(entry: Entry, broken: Broken) {
    let watch_for = match conclude(&entry, &broken).await {
        Evidence::Refused | Evidence::Leaving => return,
        Evidence::Accepted | Evidence::Closed => RESTARTED_WITHIN,
        Evidence::Silent => RETURNED_WITHIN,
    };
    let (address, broke_at) = (broken.upstream.address, broken.broke_at);
    let watch_until = broke_at + watch_for;
    for strike in broken.strikes() {
        let suspect = Suspect { strike, address, broke_at, watch_until };
        entry.control.strikes.do_send(Watch(suspect));
    }
    actix_rt::spawn(async move {
        tokio::time::sleep(PROBE_PAUSE).await;
        conclude(&entry, &broken).await;
    });
}

/// Judges a body that ended with its connection and whose content does not show it to be cut off.
///
/// A process that crashes closes its connections in order, unless it has not read all that it was
/// sent. That the upstream was leaving does not show that it had finished: one that leaves in order ends
/// its responses first and its process later. Costs one connection, which is opened for such bodies only.
/// Returns at `limit` at the latest, the time limit of the request.
pub async fn judge_close(entry: &Entry, broken: Broken, limit: Instant) -> Verdict {
    let evidence = probe_again(broken.upstream.address);
    let evidence = tokio::time::timeout_at(limit, evidence).await.unwrap_or(Evidence::Silent);
    let upstream = match evidence {
        Evidence::Accepted => Upstream::Listening,
        Evidence::Refused => Upstream::Gone,
        Evidence::Closed | Evidence::Silent | Evidence::Leaving => Upstream::Unknown,
    };
    let verdict = Verdict::Unverified.with_upstream(upstream);
    let (instance, verdict_name) = (&broken.upstream.instance, verdict.name());
    entry.shared.journal.record(
        &broken.label,
        format_args!(
            "event=end_judged upstream={instance} evidence={evidence:?} verdict={verdict_name}"
        ),
    );
    if matches!(evidence, Evidence::Closed | Evidence::Silent) {
        actix_rt::spawn(examine(entry.clone(), broken));
    }
    verdict
}

/// Looks for evidence of a crash, and reports a strike if it is found.
async fn conclude(entry: &Entry, broken: &Broken) -> Evidence {
    let Broken { label, fingerprints: Fingerprints { request, parts }, upstream, .. } = broken;
    let evidence = find_evidence(entry, upstream).await;
    entry.shared.journal.record(
        label,
        format_args!(
            "event=upstream_examined upstream={} fingerprint={request} parts={} \
             evidence={evidence:?}",
            upstream.instance,
            parts.len()
        ),
    );
    if evidence == Evidence::Refused {
        entry.report_strikes(broken.strikes(), broken.broke_at).await;
    }
    evidence
}

/// Probes an upstream, and disregards the end of one that was leaving.
///
/// Some upstreams only remove themselves from the registry before they end. One that is not
/// listed counts as leaving unless it is silent, as a crashed one whose entry has expired is.
async fn find_evidence(entry: &Entry, upstream: &registry::Entry) -> Evidence {
    let registry = entry.shared.upstreams();
    let mut listed = registry.entries().map(|(_, entry)| entry);
    let listed = listed.find(|listed| listed.tag == upstream.tag);
    if listed.is_some_and(|listed| listed.is_leaving) {
        return Evidence::Leaving;
    }
    let evidence = probe_again(upstream.address).await;
    if listed.is_none() && evidence != Evidence::Silent { Evidence::Leaving } else { evidence }
}

/// Probes an upstream, a second time if its process seems to end.
async fn probe_again(address: SocketAddr) -> Evidence {
    match probe(address).await {
        Evidence::Closed => probe(address).await,
        evidence => evidence,
    }
}

/// Opens a connection to an upstream and closes it again.
pub async fn probe(address: SocketAddr) -> Evidence {
    use std::io::ErrorKind::{BrokenPipe, ConnectionAborted, ConnectionRefused, ConnectionReset};
    let connected = tokio::time::timeout(PROBE_TIMEOUT, TcpStream::connect(address)).await;
    match connected.map_err(|_elapsed| Evidence::Silent) {
        Ok(Ok(mut stream)) => {
            let closed = tokio::time::timeout(CLOSE_TIMEOUT, stream.read(&mut [0; 1])).await;
            if closed.is_ok() { Evidence::Closed } else { Evidence::Accepted }
        }
        Ok(Err(error)) => match error.kind() {
            ConnectionRefused => Evidence::Refused,
            // The listener was closed between the two ends of the handshake.
            ConnectionReset | ConnectionAborted | BrokenPipe => Evidence::Closed,
            _ => Evidence::Silent,
        },
        Err(silent) => silent,
    }
}
