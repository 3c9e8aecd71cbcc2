//! The copy in the store of the strikes to which crashes are attributed, and of the latest complete
//! responses under their fingerprints.
//!
//! It is read once after each start. It is written by the host that observed the last strike
//! and by each domain's readers, of which all but the first find nothing left to write.

use damaskhatch_policy::strike::{Ledger, Proof, RETENTION, Report};
use damaskhatch_store::error::{Error, Result};
use damaskhatch_store::message::Swap;
use damaskhatch_store::prelude::Client;
use damaskhatch_wire::frame::wall_ms;
use serde::{Deserialize, Serialize};

use super::Strikes;
use crate::prelude::*;

/// The key of the copy.
const KEY: &str = "damaskhatch/strikes";
/// The pause before a failed read or write is tried again.
const RETRY_PAUSE: Duration = Duration::from_secs(1);
/// The maximum number of reports saved, which keeps the value far below a megabyte.
const MAX_SAVED: usize = 1_024;

/// The progress of reading and writing the copy.
#[derive(Debug, Default)]
pub struct State {
    /// Whether a write is in progress.
    is_saving: bool,
    /// Whether the strikes have changed since the write in progress began.
    is_changed: bool,
    /// The digest of the strikes that the copy is known to hold.
    known: u64,
}

/// A report as it is saved, with the time of its crash on the wall clock.
#[derive(Debug, Clone, Serialize, Deserialize)]
struct Saved {
    report: Report,
    /// In milliseconds since the Unix epoch; the age in the report is from the time of writing.
    crashed_ms: u64,
    /// When the latest known response under the fingerprint was complete, likewise.
    #[serde(default)]
    served_ms: Option<u64>,
}

impl Strikes {
    /// Reads the copy after a start, and again until that succeeds.
    pub(super) fn load(&self, ctx: &mut Context<Self>) {
        let client = self.shared.store("strikes");
        let loaded = async move { read(&client).await };
        ctx.spawn(loaded.into_actor(self).map(|loaded, actor, ctx| match loaded {
            Ok((saved, _version)) => {
                actor.store.known = digest(&saved);
                actor.take_over(&saved, ctx);
            }
            Err(error) => {
                log::info!("event=strikes_not_loaded key={KEY} error={error}");
                ctx.run_later(RETRY_PAUSE, |actor, ctx| actor.load(ctx));
            }
        }));
    }

    /// Writes the strikes to which crashes are attributed, unless the copy has them already.
    pub(super) fn save(&mut self, ctx: &mut Context<Self>) {
        if digest(&self.attributed(Instant::now())) == self.store.known {
            return;
        }
        self.store.is_changed = true;
        if !std::mem::replace(&mut self.store.is_saving, true) {
            self.write(ctx);
        }
    }

    /// Writes the copy again after the store was restored, which may have lost it.
    pub(super) fn save_again(&mut self, ctx: &mut Context<Self>) {
        if self.shared.is_reader() {
            self.store.known = digest(&[]);
            self.save(ctx);
        }
    }

    /// Merges what the copy has.
    fn take_over(&mut self, saved: &[Saved], ctx: &mut Context<Self>) {
        let now_ms = wall_ms();
        let reports: Vec<Report> = saved.iter().map(|saved| saved.report(now_ms)).collect();
        let proofs: Vec<Proof> = saved.iter().filter_map(|saved| saved.proof(now_ms)).collect();
        self.merge(&reports, "store", ctx);
        self.accept(&proofs, "store", ctx);
    }

    /// The strikes to which crashes are attributed, without those that are cleared.
    fn attributed(&self, now: Instant) -> Vec<Saved> {
        let now_ms = wall_ms();
        let reports = self.ledger.culprits().flat_map(|own| self.ledger.reports_of(own, now));
        let counted = reports.filter(|report| !report.is_cleared);
        let saved = counted.map(|report| {
            let served_at = self.ledger.proof(report.strike.fingerprint);
            let served_for = served_at.map(|at| now.saturating_duration_since(at));
            Saved {
                crashed_ms: before(now_ms, report.age),
                served_ms: served_for.map(|age| before(now_ms, age)),
                report,
            }
        });
        saved.collect()
    }

    fn write(&mut self, ctx: &mut Context<Self>) {
        self.store.is_changed = false;
        let now = Instant::now();
        let own = self.attributed(now);
        let cleared = self.ledger.reports(now).into_iter().filter(|report| report.is_cleared);
        let (client, cleared) = (self.shared.store("strikes"), cleared.collect::<Vec<_>>());
        let known = digest(&own);
        let written = async move { write(&client, &own, &cleared).await };
        ctx.spawn(written.into_actor(self).map(move |written, actor, ctx| {
            match written {
                Ok(others) => {
                    actor.store.known = known;
                    actor.take_over(&others, ctx);
                }
                Err(error) => {
                    log::info!("event=strikes_not_saved key={KEY} error={error}");
                    actor.store.is_changed = true;
                }
            }
            if !actor.store.is_changed {
                actor.store.is_saving = false;
                return;
            }
            ctx.run_later(RETRY_PAUSE, Self::write);
        }));
    }
}

impl Saved {
    /// The report with its age as of `now_ms`.
    fn report(&self, now_ms: u64) -> Report {
        Report { age: age(now_ms, self.crashed_ms), ..self.report.clone() }
    }

    /// The complete response, with its age as of `now_ms`.
    fn proof(&self, now_ms: u64) -> Option<Proof> {
        let fingerprint = self.report.strike.fingerprint;
        Some(Proof { fingerprint, age: age(now_ms, self.served_ms?) })
    }
}

/// The time on the wall clock that was `age` ago, in milliseconds since the Unix epoch.
const fn before(now_ms: u64, age: Duration) -> u64 {
    now_ms.saturating_sub(age.as_millis() as u64)
}

/// The time since a moment on the wall clock.
const fn age(now_ms: u64, at_ms: u64) -> Duration {
    Duration::from_millis(now_ms.saturating_sub(at_ms))
}

/// Whether two reports are about the same strike.
fn is_same(one: &Report, other: &Report) -> bool {
    one.strike.fingerprint == other.strike.fingerprint && one.strike.crash == other.strike.crash
}

/// A digest of some strikes, in any order, and of which of their fingerprints have complete responses.
fn digest(saved: &[Saved]) -> u64 {
    let mut ledger = Ledger::default();
    let mut served: Vec<Tag> = Vec::new();
    for Saved { report, served_ms, .. } in saved {
        ledger.record(report, Instant::now());
        served.extend(served_ms.map(|_at| report.strike.fingerprint));
    }
    served.sort_by_key(|fingerprint| fingerprint.0);
    served.dedup();
    served.iter().fold(ledger.digest(), |sum, own| sum.wrapping_add(own.0))
}

/// Reads the copy and its version; nothing and 0 if there is none.
async fn read(client: &Client) -> Result<(Vec<Saved>, u64)> {
    let item = match client.get(KEY).await {
        Ok(item) => item,
        Err(Error::Missing) => return Ok((Vec::new(), 0)),
        Err(error) => return Err(error),
    };
    let saved = serde_json::from_str(&item.value).unwrap_or_else(|error| {
        log::warn!("event=strikes_unreadable key={KEY} error={error} action=overwrite");
        Vec::new()
    });
    Ok((saved, item.version))
}

/// Adds `own` to the copy and removes strikes that are cleared or have expired; returns what the copy
/// had besides.
async fn write(client: &Client, own: &[Saved], cleared: &[Report]) -> Result<Vec<Saved>> {
    let now_ms = wall_ms();
    let (mut saved, version) = read(client).await?;
    let before = saved.len();
    saved.retain(|saved| {
        let is_cleared = cleared.iter().any(|cleared| is_same(cleared, &saved.report));
        !is_cleared && age(now_ms, saved.crashed_ms) < RETENTION
    });
    let others = saved.clone();
    let mut is_changed = saved.len() != before;
    for own in own {
        match saved.iter_mut().find(|known| is_same(&known.report, &own.report)) {
            Some(known) if known.served_ms.is_none() && own.served_ms.is_some() => {
                known.served_ms = own.served_ms;
                is_changed = true;
            }
            Some(_known) => {}
            None => {
                saved.push(own.clone());
                is_changed = true;
            }
        }
    }
    if is_changed {
        saved.sort_by_key(|saved| saved.crashed_ms);
        let excess = saved.len().saturating_sub(MAX_SAVED);
        saved.drain(..excess);
        let value = serde_json::to_string(&saved).expect("reports have only strings and numbers");
        let swap = Swap { value, expect: version, lease: None };
        client.compare_and_swap(KEY, &swap).await?;
    }
    Ok(others)
}
