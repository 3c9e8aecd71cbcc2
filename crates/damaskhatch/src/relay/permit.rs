//! Chooses upstreams that may get a request now, by the limits that they have named.
//!
//! Every request to an upstream carries a [`Permit`]: first attempts, retries, prefills and
//! resumptions. See [docs/DESIGN.md](../../../../docs/DESIGN.md#limits-of-upstreams).

use damaskhatch_policy::limit::{Ask, Statement};
use damaskhatch_policy::prelude::*;
use damaskhatch_policy::registry;
use tokio::sync::oneshot;

use super::request::Routed;
use crate::control::Control;
use crate::control::limits::{Acquire, Return};
use crate::entry::Entry;

/// Permission for one request to an upstream; given back on drop unless the request was sent.
#[derive(Debug)]
pub struct Permit {
    /// The control actors and the upstream, if it is limited.
    limited: Option<(Control, Tag)>,
}

impl Permit {
    /// Permission for a request to an upstream without a limit.
    pub const fn unlimited() -> Self {
        Self { limited: None }
    }

    /// Whether the upstream has become limited since it was unlimited when the permit was obtained.
    pub fn is_outdated(&self, entry: &Entry, upstream: &registry::Entry) -> bool {
        let (tag, started_ms) = (upstream.tag, upstream.started_ms);
        let limits = entry.shared.known_limits();
        self.limited.is_none() && limits.effective(tag, started_ms, Instant::now()).is_some()
    }

    /// Marks the permit as used, because the request is about to be sent.
    pub fn spend(mut self) {
        self.limited = None;
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        if let Some((control, upstream)) = self.limited.take() {
            control.limits.do_send(Return(upstream));
        }
    }
}

/// On whose behalf a permit is asked for, and how long the request can wait.
#[derive(Debug, Clone, Copy)]
pub struct Terms {
    /// The team.
    pub team: Tag,
    /// The priority, 0 being the highest.
    pub priority: u8,
    /// The longest wait.
    pub patience: Duration,
}

impl Terms {
    /// The terms of a routed request that waits until `until` at the latest.
    pub fn of(entry: &Entry, routed: &Routed, until: Instant) -> Self {
        Self {
            team: routed.caller.as_ref().map_or(Tag(0), |caller| caller.tag),
            priority: routed.priority(&entry.shared.snapshot()),
            patience: until.saturating_duration_since(Instant::now()),
        }
    }
}

/// Obtains a permit for a request to one upstream.
///
/// # Errors
///
/// Returns the time after which a request may come back, if there is none within the patience.
pub async fn acquire(
    entry: &Entry,
    (upstream, started_ms): (Tag, u64),
    terms: Terms,
) -> Result<Permit, Duration> {
    let limit = entry.shared.known_limits().effective(upstream, started_ms, Instant::now());
    match limit {
        None => Ok(Permit::unlimited()),
        Some(statement) => ask(entry, statement, terms).await,
    }
}

async fn ask(entry: &Entry, statement: Statement, terms: Terms) -> Result<Permit, Duration> {
    let Terms { team, priority, patience } = terms;
    let (reply, answer) = oneshot::channel();
    let ask = Ask { statement, team, priority, patience };
    entry.control.limits.do_send(Acquire { ask, reply });
    // The channel closes without an answer if the control thread restarts.
    answer.await.unwrap_or(Err(RESTART_RETRY_AFTER))?;
    Ok(Permit { limited: Some((entry.control.clone(), statement.upstream)) })
}

/// When a request may come back whose ask was lost in a restart of the control thread.
const RESTART_RETRY_AFTER: Duration = Duration::from_millis(300);

/// The first of the ranked upstreams that may get a request at once, with the permit.
///
/// # Errors
///
/// Returns the shortest time after which a request may come back to one of them; zero if there is
/// no upstream.
pub async fn choose_now(
    entry: &Entry,
    ranked: &[&registry::Entry],
    terms: Terms,
) -> Result<(registry::Entry, Permit), Duration> {
    let terms = Terms { patience: Duration::ZERO, ..terms };
    let mut soonest: Option<Duration> = None;
    for upstream in ranked {
        match acquire(entry, (upstream.tag, upstream.started_ms), terms).await {
            Ok(permit) => return Ok(((*upstream).clone(), permit)),
            Err(wait) => soonest = Some(soonest.map_or(wait, |soonest| soonest.min(wait))),
        }
    }
    Err(soonest.unwrap_or_default())
}

/// The first of the ranked upstreams that may get a request, at once or within the patience.
///
/// # Errors
///
/// As [`choose_now`] does.
pub async fn choose(
    entry: &Entry,
    ranked: &[&registry::Entry],
    terms: Terms,
) -> Result<(registry::Entry, Permit), Duration> {
    let soonest = match choose_now(entry, ranked, terms).await {
        Ok(chosen) => return Ok(chosen),
        Err(soonest) => soonest,
    };
    // All are limited, so that waiting for the first is as good as for any other.
    let Some(first) = ranked.first().filter(|_| !terms.patience.is_zero()) else {
        return Err(soonest);
    };
    let permit = acquire(entry, (first.tag, first.started_ms), terms).await?;
    Ok(((*first).clone(), permit))
}

/// Logs that the limits of all upstreams of a request are used up.
pub fn log_held_back(entry: &Entry, routed: &Routed, upstreams: usize, retry_after: Duration) {
    entry.shared.journal.record(
        &routed.label,
        format_args!(
            "event=limits_used_up upstreams={upstreams} retry_after_ms={}",
            retry_after.as_millis()
        ),
    );
}
