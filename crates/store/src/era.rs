//! Tracks the era of the store that this host has seen, by which responses are ordered.

use damaskhatch_policy::position::Position;
use tokio::sync::watch;

use crate::error::{Error, Result};

/// The eras that the calls of a host have seen.
#[derive(Debug, Clone, Copy)]
pub struct Seen {
    first: u64,
    latest: u64,
}

/// The eras that any call of a host has seen; its clones share them.
#[derive(Debug, Clone)]
pub struct Tracker(watch::Sender<Option<Seen>>);

impl Default for Tracker {
    fn default() -> Self {
        Self(watch::Sender::new(None))
    }
}

impl Tracker {
    /// The latest era; 0 before the first response.
    pub fn latest(&self) -> u64 {
        self.0.borrow().map_or(0, |seen| seen.latest)
    }

    /// Whether this host knows that the store was restored, whatever its first era is.
    pub fn has_seen_restore(&self) -> bool {
        self.0.borrow().is_some_and(|seen| seen.latest > seen.first)
    }

    /// Records that the store has been in an earlier era than those that this host has seen.
    pub fn note_earlier(&self, era: u64) {
        self.0.send_if_modified(|seen| {
            if let Some(seen) = seen {
                seen.first = seen.first.min(era);
            }
            // The restore was before the first era that this host has seen.
            false
        });
    }

    /// A receiver that is notified of each restore from now on, but not of the first era.
    pub fn restores(&self) -> watch::Receiver<Option<Seen>> {
        self.0.subscribe()
    }

    /// Records the era of a response; fails if a later one has been seen, which makes the
    /// response one from before the restore.
    pub(crate) fn observe(&self, era: u64) -> Result<()> {
        self.0.send_if_modified(|seen| {
            let Some(seen) = seen else {
                *seen = Some(Seen { first: era, latest: era });
                return false;
            };
            let is_restored = era > seen.latest;
            if is_restored {
                log::warn!("event=store_restored era={era} before={}", seen.latest);
                seen.latest = era;
            }
            is_restored
        });
        let latest = self.latest();
        if era < latest {
            let reason = format!("response of era {era}, the store is in era {latest}");
            return Err(Error::Unreachable(reason));
        }
        Ok(())
    }
}

/// The version of a revision in an era.
pub(crate) fn version(era: u64, revision: u64) -> Result<u64> {
    let position = Position::new(era, revision);
    position.version().ok_or_else(|| {
        Error::Malformed(format!("position {position:?} is beyond {:?}", Position::MAX))
    })
}
