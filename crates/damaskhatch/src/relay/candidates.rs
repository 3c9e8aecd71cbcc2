//! The upstreams that a request may be sent to, by what the upstreams have said of themselves.

use std::fmt;

use damaskhatch_policy::availability::{Standing, Table};
use damaskhatch_policy::homes;
use damaskhatch_policy::prelude::*;
use damaskhatch_policy::registry;

use super::request::Routed;
use crate::entry::Entry;

/// The most that is added at random to the time after which a caller may come back whose upstreams
/// have all asked for a pause, as a fraction of what is left of the first pause.
const SPREAD_FRACTION: f64 = 0.5;
/// The same for a short pause.
const MIN_SPREAD: Duration = Duration::from_secs(1);

/// The suitable upstreams of a service, without those that may not be sent requests.
#[derive(Debug)]
pub struct Candidates<'a> {
    /// Those that may be sent a request now. Upstreams that have asked another host for a pause are
    /// among them only if there are no others.
    pub entries: Vec<&'a registry::Entry>,
    /// When the first of the pauses ends, if all suitable upstreams are paused.
    pub paused_until: Option<Instant>,
    leaving: Vec<&'a str>,
    paused: Vec<&'a str>,
    evacuated: Vec<&'a str>,
    /// Those in regions that the request is not bound to.
    away: Vec<&'a str>,
}

impl<'a> Candidates<'a> {
    /// Divides suitable upstreams by their standing.
    fn divide(
        suitable: impl Iterator<Item = &'a registry::Entry>,
        is_at_home: impl Fn(&registry::Entry) -> bool,
        table: &Table,
        now: Instant,
    ) -> Self {
        let (mut available, mut discouraged) = (Vec::new(), Vec::new());
        let (mut leaving, mut paused, mut evacuated) = (Vec::new(), Vec::new(), Vec::new());
        let (mut soonest, mut away) = (None::<Instant>, Vec::new());
        for entry in suitable {
            if !is_at_home(entry) {
                away.push(entry.instance.as_str());
                continue;
            }
            match table.standing_in(entry.domain, entry.tag, entry.started_ms, now) {
                Standing::Available => available.push(entry),
                Standing::Discouraged => discouraged.push(entry),
                Standing::Leaving => leaving.push(entry.instance.as_str()),
                Standing::Evacuated => evacuated.push(entry.instance.as_str()),
                Standing::Paused(until) => {
                    paused.push(entry.instance.as_str());
                    soonest = Some(soonest.map_or(until, |soonest| soonest.min(until)));
                }
            }
        }
        let entries = if available.is_empty() { discouraged } else { available };
        let paused_until = soonest.filter(|_| entries.is_empty());
        Self { entries, paused_until, leaving, paused, evacuated, away }
    }

    /// Why no request can wait for an upstream here; `None` if there are some, or may soon be.
    ///
    /// Evacuated domains are used again, and homes change, only as an operator decides.
    pub const fn closed(&self) -> Option<&'static str> {
        if !self.entries.is_empty() || self.paused_until.is_some() {
            return None;
        }
        match (self.evacuated.is_empty(), self.away.is_empty()) {
            (false, _) => Some("all_evacuated"),
            (true, false) => Some("none_at_home"),
            (true, true) => None,
        }
    }

    /// Logs and counts which upstreams were left out of a choice.
    pub fn record(&self, entry: &Entry, label: impl fmt::Display) {
        let Self { leaving, paused, evacuated, away, entries, .. } = self;
        let reasons =
            [(leaving, "leaving"), (paused, "paused"), (evacuated, "evacuated"), (away, "away")];
        if reasons.iter().all(|(names, _)| names.is_empty()) {
            return;
        }
        for (names, reason) in reasons {
            if !names.is_empty() {
                entry.shared.metrics.left_out.with_label_values(&[reason]).inc();
            }
        }
        entry.shared.journal.record(
            label,
            format_args!(
                "event=left_out leaving={} paused={} remaining={} evacuated={} away={}",
                leaving.join(","),
                paused.join(","),
                entries.len(),
                evacuated.join(","),
                away.len()
            ),
        );
    }
}

impl Entry {
    /// The upstreams that a request may be sent to, of those of its service that suit it.
    ///
    /// Every choice of an upstream for a route's request begins here, so that its homes bind all of them.
    pub fn candidates<'a>(
        &self,
        registry: &'a registry::Registry,
        routed: &Routed,
        suits: impl Fn(&registry::Entry) -> bool,
    ) -> Candidates<'a> {
        let service = self.shared.snapshot().services[routed.service].tag;
        let suitable = registry.usable(service).filter(|entry| suits(entry));
        let is_at_home = |entry: &registry::Entry| {
            let region = self.shared.regions.of(entry.domain);
            homes::allows(&routed.route.homes, &routed.team_homes, region)
        };
        Candidates::divide(suitable, is_at_home, &self.shared.availability.lock(), Instant::now())
    }

    /// Whether this host may send a request to an upstream of the configuration now; nothing is known against
    /// one that the configuration no longer lists.
    pub fn standing(&self, upstream: Tag) -> Standing {
        let snapshot = self.shared.snapshot();
        let listed = snapshot.upstream(upstream).map(|listed| &snapshot.upstreams[listed]);
        listed.map_or(Standing::Available, |listed| {
            self.shared.availability.standing_of_configured(listed)
        })
    }

    /// Whether a request may be sent to an upstream that was chosen some time ago: it is still listed, and
    /// has neither begun to leave nor asked for a pause.
    pub fn may_ask(&self, upstream: &registry::Entry) -> bool {
        let registry = self.shared.upstreams();
        let listed = registry.upstream(upstream.service, upstream.tag);
        listed.is_some_and(|listed| !listed.is_leaving)
            && self.shared.availability.standing_of(upstream).allows_requests()
    }
}

/// When a caller may come back whose upstreams are all paused until `until` at least.
///
/// It is random, so that callers do not all come back as the pause ends.
pub fn retry_after(until: Instant, now: Instant) -> Duration {
    let left = until.saturating_duration_since(now);
    left + left.mul_f64(SPREAD_FRACTION).max(MIN_SPREAD).mul_f64(rand::random())
}
