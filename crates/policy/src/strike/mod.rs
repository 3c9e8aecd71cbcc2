//! Quarantine of requests that crash the upstreams that run them.
//!
//! A request gets a strike when an upstream crashes while running it. So do the requests that
//! merely ran beside it, so the ledger looks for the one that explains most crashes. A
//! request that is repeated is recognized by its [`fingerprint`], and requests that share a part of
//! their prompts by that of the [`part`]; see [`Fingerprints`]. With strikes from two
//! separate events, three for a part, it is refused by every host, for longer after each further
//! crash; a complete response to it clears it. See
//! [docs/DESIGN.md](../../../docs/DESIGN.md#quarantine).

use std::cmp::Ordering;
use std::collections::{HashMap, HashSet};

use crate::prelude::*;

mod fingerprint;
mod proven;
mod report;
pub mod trial;

pub use fingerprint::{Fingerprints, MAX_PARTS, fingerprint, part};
use fingerprint::{first_bytes, is_part};
pub use proven::{Proof, Proven};
pub use report::{Crash, Report, Strike};
use trial::Trial;

/// The number of events from which a fingerprint is refused, unless another one explains them
/// just as well; then one more is needed.
pub const LIMIT: usize = 2;
/// The same for a part of prompts, which is shared with requests that crash nothing.
pub const PART_LIMIT: usize = 3;
/// How long a fingerprint at the limit is refused after its latest strike.
///
/// Doubles with each further event, since the first request after a quarantine crashes one
/// more upstream if nothing has changed.
pub const BASE_QUARANTINE: Duration = Duration::from_mins(10);
/// The longest time for which a fingerprint is refused after its latest strike.
pub const MAX_QUARANTINE: Duration = Duration::from_hours(1);
/// The time after its latest strike at which a fingerprint's strikes expire.
///
/// Longer than any quarantine, so that the next crash after one counts as a further one.
pub const RETENTION: Duration = Duration::from_hours(2);
/// Crashes this long apart are separate events even for attempts that ran at the same time.
///
/// Upstreams that end together, in a partition or a power loss, do so within a second.
const EVENT_GAP: Duration = Duration::from_secs(1);
/// Strikes for an upstream whose start time is unknown are attributed to the same crash if
/// they are less than this time apart; a crashed upstream needs longer to restart.
const SAME_CRASH_WINDOW: Duration = Duration::from_secs(5);
/// How much the order of events observed by different hosts may be off.
///
/// A report's age leaves out its time on the network, which is the same for all reports of a message
/// only; see [`Ledger::messages`].
const ORDER_TOLERANCE: Duration = Duration::from_millis(2);
/// A complete response changes what is known if it is this much later than the latest known one.
const PROOF_GAP: Duration = Duration::from_mins(10);
/// The maximum number of fingerprints kept; those with the fewest and oldest strikes are dropped.
pub const MAX_FINGERPRINTS: usize = 4_096;
/// The maximum number of strikes kept for a fingerprint, the oldest being dropped, and of reports in a
/// message.
pub const MAX_STRIKES: usize = 8;

plain! { state
    /// Why and for how long a request is refused.
    pub struct Quarantine {
        /// The fingerprint to which the crashes are attributed.
        pub fingerprint: Tag,
        /// The remaining time.
        pub left: Duration,
        /// The names of the upstreams whose crashes are attributed to it, oldest crash first.
        pub crashed: Vec<String>,
        /// When requests with it may run on trial; `None` if no response to one was ever complete.
        pub trial: Option<Trial>,
    }
}

/// The number of events from which a fingerprint is refused.
const fn limit(fingerprint: Tag) -> usize {
    if is_part(fingerprint) { PART_LIMIT } else { LIMIT }
}

#[derive(Debug, Clone)]
struct Entry {
    strike: Strike,
    crashed_at: Instant,
    is_cleared: bool,
}

impl Entry {
    /// Whether both entries are about the same run of an upstream.
    fn is_same_crash(&self, other: &Self) -> bool {
        let (own, others) = (&self.strike.crash, &other.strike.crash);
        let apart = self.crashed_at.max(other.crashed_at) - self.crashed_at.min(other.crashed_at);
        own.upstream == others.upstream
            && own.started_ms == others.started_ms
            && (own.started_ms != 0 || apart < SAME_CRASH_WINDOW)
    }

    /// Identifies the entry's content between hosts.
    fn digest(&self) -> u64 {
        let Strike { fingerprint, crash, .. } = &self.strike;
        let mut hasher = blake3::Hasher::new();
        for value in [fingerprint.0, crash.upstream.0, crash.started_ms, self.is_cleared.into()] {
            hasher.update(&value.to_le_bytes());
        }
        first_bytes(&hasher).0
    }
}

/// The first crash of each separate event that the entries stem from, oldest first.
///
/// An attempt that began after a crash is a separate event; one that was running already is so
/// only if its upstream crashed distinctly later.
fn events<'a>(entries: impl Iterator<Item = &'a Entry>) -> Vec<Instant> {
    let mut entries: Vec<&Entry> = entries.collect();
    entries.sort_by_key(|entry| entry.crashed_at);
    let mut events: Vec<Instant> = Vec::new();
    for entry in entries {
        let is_separate = events.last().is_none_or(|first| {
            let since = entry.crashed_at - *first;
            since >= EVENT_GAP || entry.strike.ran_for <= since + ORDER_TOLERANCE
        });
        if is_separate {
            events.push(entry.crashed_at);
        }
    }
    events
}

/// The number of separate events that the entries stem from.
fn count_events<'a>(entries: impl Iterator<Item = &'a Entry>) -> usize {
    events(entries).len()
}

/// The strikes observed by a host and by its peers, by fingerprint.
#[derive(Debug, Clone, Default)]
pub struct Ledger {
    strikes: HashMap<Tag, Vec<Entry>>,
    /// The latest complete response under each fingerprint that has strikes, cleared or not.
    proofs: HashMap<Tag, Instant>,
}

impl Ledger {
    /// Merges a report; returns false if it changes nothing but the time of a crash, by little.
    pub fn record(&mut self, report: &Report, now: Instant) -> bool {
        let Report { strike, age, is_cleared } = report;
        let Some(crashed_at) = now.checked_sub(*age).filter(|_| *age < RETENTION) else {
            return false;
        };
        let entry = Entry { strike: strike.clone(), crashed_at, is_cleared: *is_cleared };
        let known = self.strikes.entry(strike.fingerprint).or_default();
        if let Some(same) = known.iter_mut().find(|known| known.is_same_crash(&entry)) {
            let is_newly_cleared = *is_cleared && !std::mem::replace(&mut same.is_cleared, true);
            // Requests notice a silent end at different times; hosts agree on the earliest.
            let is_earlier = same.crashed_at.saturating_duration_since(crashed_at) >= EVENT_GAP;
            if crashed_at < same.crashed_at {
                same.crashed_at = crashed_at;
                same.strike.ran_for = strike.ran_for;
                known.sort_by_key(|entry| entry.crashed_at);
            }
            return is_newly_cleared || is_earlier;
        }
        known.push(entry);
        known.sort_by_key(|entry| entry.crashed_at);
        let excess = known.len().saturating_sub(MAX_STRIKES);
        known.drain(..excess);
        self.drop_least_struck();
        true
    }

    /// Clears the strikes of a fingerprint for crashes before `before`, because an upstream has
    /// completed such a request since. Returns the reports that have changed.
    pub fn clear(&mut self, fingerprint: Tag, before: Instant, now: Instant) -> Vec<Report> {
        let known = self.strikes.get_mut(&fingerprint).into_iter().flatten();
        let cleared = known.filter(|entry| !entry.is_cleared && entry.crashed_at < before);
        cleared
            .map(|entry| {
                entry.is_cleared = true;
                report(entry, now)
            })
            .collect()
    }

    /// Records a complete response under a fingerprint that has strikes; returns false if that changes
    /// nothing.
    ///
    /// Kept for as long as strikes are, and known to all hosts as they are: a host that has heard of the
    /// crashes only would suspect what others have seen completed.
    pub fn prove(&mut self, fingerprint: Tag, completed_at: Instant, now: Instant) -> bool {
        let is_expired = now.saturating_duration_since(completed_at) >= RETENTION;
        if is_expired || !self.strikes.contains_key(&fingerprint) {
            return false;
        }
        let known = self.proofs.get(&fingerprint).copied();
        if known.is_some_and(|known| completed_at < known + PROOF_GAP) {
            return false;
        }
        self.proofs.insert(fingerprint, completed_at);
        true
    }

    /// The complete responses under fingerprints with several strikes, for another host.
    ///
    /// One strike refuses nothing, and most fingerprints have no more.
    pub fn proofs(&self, now: Instant) -> impl Iterator<Item = Proof> {
        let several = self.proofs.iter().filter(|(own, _)| self.counted(**own).nth(1).is_some());
        several.map(move |(fingerprint, completed_at)| Proof {
            fingerprint: *fingerprint,
            age: now.saturating_duration_since(*completed_at),
        })
    }

    /// When the latest known response under a fingerprint with strikes was complete.
    pub fn proof(&self, fingerprint: Tag) -> Option<Instant> {
        self.proofs.get(&fingerprint).copied()
    }

    /// Whether the fingerprint has a strike that is not cleared.
    pub fn is_struck(&self, fingerprint: Tag) -> bool {
        self.counted(fingerprint).next().is_some()
    }

    /// Whether an upstream has crashed since, under any request.
    pub fn has_crashed(&self, upstream: Tag, since: Instant) -> bool {
        let mut entries = self.strikes.values().flatten();
        entries.any(|e| e.strike.crash.upstream == upstream && e.crashed_at >= since)
    }

    /// The number of separate events in which upstreams crashed under the fingerprint.
    pub fn count(&self, fingerprint: Tag) -> usize {
        count_events(self.counted(fingerprint))
    }

    /// The upstream of the latest crash that the fingerprint is suspected of.
    ///
    /// `None` if it has no strike, or if each of its crashes is explained by a fingerprint
    /// with more.
    pub fn suspected_crash(&self, fingerprint: Tag) -> Option<Tag> {
        let latest = self.unexplained(fingerprint).max_by_key(|entry| entry.crashed_at)?;
        Some(latest.strike.crash.upstream)
    }

    /// The quarantines of a request's fingerprints; none if it may run.
    ///
    /// Where fingerprints explain the same crashes, a request with all of them is refused, and one with
    /// some of them may run: its response, or its crash, shows which it is.
    pub fn quarantines_of(&self, request: &Fingerprints, now: Instant) -> Vec<Quarantine> {
        let all: Vec<Tag> = request.all().collect();
        let is_beside = |other| all.contains(&other);
        all.iter().filter_map(|own| self.quarantine_beside(*own, is_beside, now)).collect()
    }

    /// The longest quarantine of a request's fingerprints; see [`Ledger::quarantines_of`].
    pub fn quarantine_of(&self, request: &Fingerprints, now: Instant) -> Option<Quarantine> {
        let quarantines = self.quarantines_of(request, now);
        quarantines.into_iter().max_by_key(|quarantine| quarantine.left)
    }

    /// The quarantine of the fingerprint; `None` if it may run.
    ///
    /// That of a part holds for requests with all parts that explain the same crashes.
    pub fn quarantine(&self, fingerprint: Tag, now: Instant) -> Option<Quarantine> {
        self.quarantine_beside(fingerprint, |_other| is_part(fingerprint), now)
    }

    /// The quarantine of the fingerprint in a request that also has those that `is_beside` holds for.
    fn quarantine_beside(
        &self,
        fingerprint: Tag,
        is_beside: impl Fn(Tag) -> bool,
        now: Instant,
    ) -> Option<Quarantine> {
        let (events, own) = self.attributed(fingerprint, is_beside)?;
        let doublings = u32::try_from(events - limit(fingerprint)).unwrap_or(u32::MAX);
        let length = BASE_QUARANTINE.saturating_mul(2_u32.saturating_pow(doublings));
        let latest = own.iter().map(|entry| entry.crashed_at).max()?;
        let until = latest + length.min(MAX_QUARANTINE);
        let left = until.checked_duration_since(now).filter(|left| !left.is_zero())?;
        let trial = self.proofs.contains_key(&fingerprint).then(|| {
            let pause = trial::pause(&self::events(own.iter().copied()), limit(fingerprint));
            Trial { crashed_at: latest, opens_at: latest + pause }
        });
        let crashed = own.into_iter().map(|entry| entry.strike.crash.name.clone()).collect();
        Some(Quarantine { fingerprint, left, crashed, trial })
    }

    /// The remaining time for which the fingerprint is refused; `None` if it may run.
    pub fn refused_for(&self, fingerprint: Tag, now: Instant) -> Option<Duration> {
        self.quarantine(fingerprint, now).map(|quarantine| quarantine.left)
    }

    /// The crashes attributed to the fingerprint, oldest first; empty below the limit.
    pub fn crashes_of(&self, fingerprint: Tag) -> Vec<Crash> {
        let attributed = self.attributed(fingerprint, |_other| is_part(fingerprint));
        let own = attributed.map(|(_events, own)| own).unwrap_or_default();
        own.into_iter().map(|entry| entry.strike.crash.clone()).collect()
    }

    /// The fingerprints to which crashes are attributed, also those whose quarantine is over.
    pub fn culprits(&self) -> impl Iterator<Item = Tag> {
        let all = self.strikes.keys().copied();
        all.filter(|own| self.attributed(*own, |_other| is_part(*own)).is_some())
    }

    /// All unexpired strikes, for another host.
    pub fn reports(&self, now: Instant) -> Vec<Report> {
        self.strikes.values().flatten().map(|entry| report(entry, now)).collect()
    }

    /// The strikes of a fingerprint, for another host.
    pub fn reports_of(&self, fingerprint: Tag, now: Instant) -> Vec<Report> {
        let known = self.strikes.get(&fingerprint).into_iter().flatten();
        known.map(|entry| report(entry, now)).collect()
    }

    /// What other hosts are told of changed strikes, in messages of up to [`MAX_STRIKES`] reports.
    ///
    /// All strikes of a fingerprint go in one message: hosts hear of crashes with different delays, and
    /// could not tell from their own clocks whether an attempt began after an earlier crash.
    pub fn messages(&self, changed: &[Report], now: Instant) -> Vec<Vec<Report>> {
        let mut messages: Vec<Vec<Report>> = Vec::new();
        let mut told = HashSet::new();
        for report in changed {
            let fingerprint = report.strike.fingerprint;
            if !told.insert(fingerprint) {
                continue;
            }
            let mut reports = self.reports_of(fingerprint, now);
            if reports.is_empty() {
                // Dropped for want of room here; others may have more.
                reports.push(report.clone());
            }
            match messages.last_mut() {
                Some(last) if last.len() + reports.len() <= MAX_STRIKES => last.extend(reports),
                _ => messages.push(reports),
            }
        }
        messages
    }

    /// A digest of all strikes, the same on hosts that know the same ones.
    pub fn digest(&self) -> u64 {
        self.strikes.values().flatten().fold(0, |sum, entry| sum.wrapping_add(entry.digest()))
    }

    /// Removes the strikes of fingerprints whose latest strike is older than [`RETENTION`].
    pub fn remove_expired(&mut self, now: Instant) {
        self.strikes.retain(|_, known| {
            let latest = known.iter().map(|entry| entry.crashed_at).max();
            latest.is_some_and(|at| now.saturating_duration_since(at) < RETENTION)
        });
        self.proofs.retain(|fingerprint, completed_at| {
            self.strikes.contains_key(fingerprint)
                && now.saturating_duration_since(*completed_at) < RETENTION
        });
    }

    /// The strikes of a fingerprint that are not cleared.
    fn counted(&self, fingerprint: Tag) -> impl Iterator<Item = &Entry> {
        let known = self.strikes.get(&fingerprint).into_iter().flatten();
        known.filter(|entry| !entry.is_cleared)
    }

    /// The strikes of a fingerprint without those for crashes that another one explains better.
    fn unexplained(&self, fingerprint: Tag) -> impl Iterator<Item = &Entry> {
        let own_suspicion = self.suspicion(fingerprint);
        self.counted(fingerprint).filter(move |own| {
            let mut others = self.others_struck_for(fingerprint, own);
            !others.any(|other| self.suspicion(other).compare(own_suspicion) == Ordering::Greater)
        })
    }

    /// What is to be compared with other explanations of the crashes under the fingerprint.
    fn suspicion(&self, fingerprint: Tag) -> Suspicion {
        let events = self.count(fingerprint);
        Suspicion {
            events,
            is_proven: self.proofs.contains_key(&fingerprint),
            is_repeated: events >= LIMIT,
        }
    }

    /// The strikes attributed to the fingerprint, oldest first, and the number of their events;
    /// `None` below the limit.
    ///
    /// Fingerprints that `is_beside` holds for are not considered as other explanations.
    fn attributed(
        &self,
        fingerprint: Tag,
        is_beside: impl Fn(Tag) -> bool,
    ) -> Option<(usize, Vec<&Entry>)> {
        let limit = limit(fingerprint);
        // Most requests with strikes have one, which needs no comparison with all others.
        if self.counted(fingerprint).count() < limit {
            return None;
        }
        let own: Vec<&Entry> = self.unexplained(fingerprint).collect();
        let events = count_events(own.iter().copied());
        // A part is refused only if it is the only explanation, however many crashes there are:
        // other requests need it, and tell the explanations apart.
        let may_be_ambiguous = events > limit && !is_part(fingerprint);
        let is_attributed = events >= limit
            && (may_be_ambiguous || !self.is_ambiguous(fingerprint, &own, is_beside));
        is_attributed.then_some((events, own))
    }

    /// Whether another fingerprint that is as suspicious explains all of `own`.
    fn is_ambiguous(
        &self,
        fingerprint: Tag,
        own: &[&Entry],
        is_beside: impl Fn(Tag) -> bool,
    ) -> bool {
        let Some((first, rest)) = own.split_first() else { return false };
        let suspicion = self.suspicion(fingerprint);
        let mut others =
            self.others_struck_for(fingerprint, first).filter(|other| !is_beside(*other));
        others.any(|other| {
            self.suspicion(other).compare(suspicion) == Ordering::Equal
                && rest.iter().all(|own| self.counted(other).any(|e| e.is_same_crash(own)))
        })
    }

    /// The other fingerprints that have a strike for the same crash.
    fn others_struck_for(&self, fingerprint: Tag, own: &Entry) -> impl Iterator<Item = Tag> {
        let others = self.strikes.iter().filter(move |(other, _)| **other != fingerprint);
        let struck = others.filter(move |(_, known)| {
            known.iter().any(|entry| !entry.is_cleared && entry.is_same_crash(own))
        });
        struck.map(|(other, _)| *other)
    }

    fn drop_least_struck(&mut self) {
        while self.strikes.len() > MAX_FINGERPRINTS {
            let least = self.strikes.iter().min_by_key(|(_, known)| {
                let counted = known.iter().filter(|entry| !entry.is_cleared).count();
                (counted, known.iter().map(|entry| entry.crashed_at).max())
            });
            let Some(fingerprint) = least.map(|(fingerprint, _)| *fingerprint) else { return };
            self.strikes.remove(&fingerprint);
            self.proofs.remove(&fingerprint);
        }
    }
}

/// How likely it is that crashes under a fingerprint are due to it.
#[derive(Debug, Clone, Copy)]
struct Suspicion {
    /// The number of separate events in which upstreams crashed under it.
    events: usize,
    /// Whether a response under it was completed.
    is_proven: bool,
    /// Whether several events count against it, so that it is hardly there by chance.
    is_repeated: bool,
}

impl Suspicion {
    /// Compares two explanations of a crash.
    ///
    /// More events make one likelier. But no upstream has survived what no response was completed under,
    /// so that it is likelier than what upstreams survive, with some crashes of other causes beside it.
    fn compare(self, other: Self) -> Ordering {
        match (self.is_proven, other.is_proven) {
            (false, true) if self.is_repeated => Ordering::Greater,
            (true, false) if other.is_repeated => Ordering::Less,
            _ => self.events.cmp(&other.events),
        }
    }
}

fn report(entry: &Entry, now: Instant) -> Report {
    let age = now.saturating_duration_since(entry.crashed_at);
    Report { strike: entry.strike.clone(), age, is_cleared: entry.is_cleared }
}
