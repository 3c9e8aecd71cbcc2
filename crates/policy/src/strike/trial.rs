//! Requests that run although they are quarantined, to show whether the quarantine is justified.
//!
//! A fingerprint under which responses were completed is probably innocent: upstreams crash for other
//! reasons, too, and without trials the quarantine would keep back the responses that clear it. See
//! [docs/DESIGN.md](../../../docs/DESIGN.md#quarantine).

use std::collections::{HashMap, HashSet};

use super::{MAX_FINGERPRINTS, MAX_QUARANTINE, Quarantine};
use crate::prelude::*;

/// The time without a crash after which a trial may begin.
pub const PAUSE: Duration = Duration::from_secs(2);
/// The time without a crash in which the number of requests on trial doubles.
///
/// A request that crashes its upstream mostly does so earlier.
pub const STEP: Duration = Duration::from_secs(1);
/// The time between the first trials of two hosts, in which the second one hears of a crash.
const STAGGER: Duration = STEP;
/// The factor by which the pause grows with each trial that ended in a crash.
const BACKOFF: u32 = 4;
/// The doublings after which the number of requests on trial does not grow any more.
const MAX_DOUBLINGS: u32 = 16;

/// The time after the latest crash at which a trial may begin.
///
/// `events` are the crashes attributed to a fingerprint, oldest first, of which the first `limit` began
/// its quarantine. A later one is that of a trial, unless it followed another one at once.
pub(super) fn pause(events: &[Instant], limit: usize) -> Duration {
    let since_limit = events.get(limit.saturating_sub(1)..).unwrap_or_default();
    let failed = since_limit.windows(2).filter(|pair| pair[1] - pair[0] >= PAUSE).count();
    let factor = BACKOFF.saturating_pow(u32::try_from(failed).unwrap_or(u32::MAX));
    PAUSE.saturating_mul(factor).min(MAX_QUARANTINE)
}

/// When requests with a quarantined fingerprint may run on trial.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Trial {
    /// The latest crash that is attributed to the fingerprint.
    pub crashed_at: Instant,
    /// When the first host may begin.
    pub opens_at: Instant,
}

/// The requests on trial of one fingerprint, since its latest crash.
#[derive(Debug, Clone)]
struct Round {
    crashed_at: Instant,
    began_at: Instant,
    requests: HashSet<Tag>,
}

/// The requests that one host runs on trial.
#[derive(Debug, Clone, Default)]
pub struct Trials {
    rounds: HashMap<Tag, Round>,
}

impl Trials {
    /// Admits a request to the trials of all its quarantines, or returns the one that refuses it for
    /// longest, and for how long.
    ///
    /// `rank_for` is the place of this host among the live ones for a fingerprint.
    pub fn admit_all(
        &mut self,
        quarantines: Vec<Quarantine>,
        rank_for: impl Fn(Tag) -> usize,
        request: Tag,
        now: Instant,
    ) -> Result<(), (Quarantine, Duration)> {
        // A request that is refused anyway must not take a place that another one could use.
        let (open, closed): (Vec<_>, Vec<_>) =
            quarantines.into_iter().partition(|quarantine| quarantine.trial.is_some());
        if let Some(longest) = closed.into_iter().max_by_key(|quarantine| quarantine.left) {
            let left = longest.left;
            return Err((longest, left));
        }
        let refused = open.into_iter().filter_map(|quarantine| {
            let rank = rank_for(quarantine.fingerprint);
            let admitted =
                self.admit(quarantine.fingerprint, quarantine.trial?, rank, request, now);
            Some((quarantine, admitted.err()?))
        });
        refused.max_by_key(|(_, wait)| *wait).map_or(Ok(()), Err)
    }

    /// Admits a request with a quarantined fingerprint to its trial, or returns the time after which
    /// another one may be admitted.
    ///
    /// `rank` is the place of this host among the live ones, which begin one after the other. A request
    /// that was admitted stays so until an upstream crashes.
    pub fn admit(
        &mut self,
        fingerprint: Tag,
        trial: Trial,
        rank: usize,
        request: Tag,
        now: Instant,
    ) -> Result<(), Duration> {
        let stagger = STAGGER.saturating_mul(u32::try_from(rank).unwrap_or(u32::MAX));
        let opens_in = (trial.opens_at + stagger).saturating_duration_since(now);
        if !opens_in.is_zero() {
            // Another host may have finished its trial by then.
            let first_in = trial.opens_at.saturating_duration_since(now);
            return Err(opens_in.min(first_in + STEP));
        }
        if self.rounds.len() >= MAX_FINGERPRINTS && !self.rounds.contains_key(&fingerprint) {
            self.rounds.retain(|_, round| now - round.crashed_at < MAX_QUARANTINE);
            if self.rounds.len() >= MAX_FINGERPRINTS {
                return Err(STEP);
            }
        }
        let new =
            || Round { crashed_at: trial.crashed_at, began_at: now, requests: HashSet::new() };
        let round = self.rounds.entry(fingerprint).or_insert_with(new);
        if round.crashed_at < trial.crashed_at {
            *round = new();
        }
        if round.requests.contains(&request) {
            return Ok(());
        }
        let elapsed = now.saturating_duration_since(round.began_at);
        let steps = (elapsed.as_millis() / STEP.as_millis()) as u32;
        if round.requests.len() < 1 << steps.min(MAX_DOUBLINGS) {
            round.requests.insert(request);
            return Ok(());
        }
        Err((STEP * (steps + 1)).saturating_sub(elapsed))
    }
}
