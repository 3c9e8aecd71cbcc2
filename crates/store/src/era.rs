//! Tracks the era of the store that this host has seen, by which responses are ordered.

use damaskhatch_policy::position::Position;
use tokio::sync::watch;

use crate::error::{Error, Result};

/// The latest era that any call of a host has seen; its clones share it.
#[derive(Debug, Clone)]
pub struct Tracker(watch::Sender<Option<u64>>);

impl Default for Tracker {
    fn default() -> Self {
        Self(watch::Sender::new(None))
    }
}

impl Tracker {
    /// The latest era; 0 before the first response.
    pub fn latest(&self) -> u64 {
        self.0.borrow().unwrap_or(0)
    }

    /// A receiver that is notified of each restore from now on, but not of the first era.
    pub fn restores(&self) -> watch::Receiver<Option<u64>> {
        self.0.subscribe()
    }

    /// Records the era of a response; fails if a later one has been seen, which makes the
    /// response one from before the restore.
    pub(crate) fn observe(&self, era: u64) -> Result<()> {
        self.0.send_if_modified(|seen| {
            let before = *seen;
            *seen = before.max(Some(era));
            let is_restored = before.is_some() && *seen > before;
            if is_restored && let Some(before) = before {
                log::warn!("event=store_restored era={era} before={before}");
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
