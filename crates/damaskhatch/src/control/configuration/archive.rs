//! The configuration and the registered upstreams, which peers pull over TCP.

use std::sync::{Arc, Mutex, MutexGuard};

use damaskhatch_policy::config::Head;
use damaskhatch_policy::prelude::Instant;
use damaskhatch_policy::registry::{Change, Detail, NO_VERSION, Registry};
use damaskhatch_policy::strike::Ledger;
use damaskhatch_wire::prelude::Body;

use crate::chunk::{Chunk, Chunks};

/// What peers may pull from this host.
#[derive(Debug, Clone, Default)]
pub struct Archive {
    /// The head of the configuration in force.
    pub head: Head,
    /// The chunks that the head names.
    pub chunks: Chunks,
    /// Chunks of a newer configuration whose transfer is not complete, or was cut off.
    pub incoming: Chunks,
    /// The digests of the withdrawn keys, including those that are not saved in the store.
    pub withdrawn: Vec<String>,
    /// The upstreams registered in the store; empty without a catalogue.
    pub upstreams: Arc<Registry>,
}

/// The archive, shared between the control actors that update it and the TCP server.
pub type SharedArchive = Arc<Mutex<Archive>>;

impl Archive {
    /// The chunk with this digest, if this host has it.
    pub fn chunk(&self, digest: &str) -> Option<&Chunk> {
        self.chunks.get(digest).or_else(|| self.incoming.get(digest))
    }
}

/// Locks the archive.
pub fn lock(archive: &SharedArchive) -> MutexGuard<'_, Archive> {
    archive.lock().unwrap_or_else(std::sync::PoisonError::into_inner)
}

/// Builds the reply to a peer's query; `None` for a body that is no such query.
///
/// `ledger` returns the requests that crashed upstreams, as known now.
pub fn respond(
    archive: &SharedArchive,
    ledger: impl FnOnce() -> Arc<Ledger>,
    query: Body,
) -> Option<Body> {
    let archive = lock(archive);
    match query {
        Body::GetHead => {
            let (head, withdrawn) = (archive.head.clone(), archive.withdrawn.clone());
            Some(Body::Head { head, withdrawn })
        }
        // Hosts of earlier versions ask for the texts.
        Body::GetChunks(digests) => {
            let chunks = digests.iter().filter_map(|digest| archive.chunks.get(digest));
            Some(Body::Chunks(chunks.filter_map(|chunk| chunk.text().ok()).collect()))
        }
        Body::GetCompressedChunks(digests) => {
            let chunks = digests.iter().filter_map(|digest| archive.chunks.get(digest));
            let chunks = chunks.map(|chunk| chunk.as_bytes().to_vec());
            Some(Body::CompressedChunks(chunks.collect()))
        }
        Body::GetListing { since } => {
            let upstreams = Arc::clone(&archive.upstreams);
            drop(archive);
            let (version, is_partial, changes) = changes_since(&upstreams, since)?;
            Some(Body::Listing { version, is_partial, changes })
        }
        Body::GetUpstreams { since } => {
            let upstreams = Arc::clone(&archive.upstreams);
            drop(archive);
            let (version, is_partial, changes) = changes_since(&upstreams, since)?;
            let software = changes.iter().map(|(_, change)| match change {
                Change::Listed(entry) => entry.software,
                Change::Removed => NO_VERSION,
            });
            let software = software.collect();
            Some(Body::Upstreams { version, is_partial, changes, software })
        }
        Body::GetEntries { since } => {
            let upstreams = Arc::clone(&archive.upstreams);
            drop(archive);
            let (version, is_partial, changes) = changes_since(&upstreams, since)?;
            let details = changes.iter().map(|(_, change)| Detail::of(change)).collect();
            Some(Body::Entries { version, is_partial, changes, details })
        }
        Body::GetStrikes => {
            drop(archive);
            Some(Body::Strikes(ledger().reports(Instant::now())))
        }
        _ => None,
    }
}

/// Keys with their changes, in the order in which to apply them.
type Changes = Vec<(String, Change)>;

/// The version of the list, whether the changes are partial, and the changes; `None` without a list.
fn changes_since(upstreams: &Registry, since: u64) -> Option<(u64, bool, Changes)> {
    let version = upstreams.version();
    let partial = upstreams.changes_since(since).filter(|_| since > 0);
    let is_partial = partial.is_some();
    let changes = partial.unwrap_or_else(|| all_entries(upstreams));
    (version > 0).then_some((version, is_partial, changes))
}

fn all_entries(upstreams: &Registry) -> Vec<(String, Change)> {
    let entries = upstreams.entries();
    entries.map(|(key, entry)| (key.clone(), Change::Listed(entry.clone()))).collect()
}
