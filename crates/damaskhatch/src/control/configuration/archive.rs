//! The configuration and the registered upstreams as peers may pull it over TCP.

use std::collections::HashMap;
use std::sync::{Arc, Mutex};

use damaskhatch_policy::config::Head;
use damaskhatch_policy::registry::{Change, Registry};
use damaskhatch_wire::prelude::Body;

/// A configuration as peers may pull it.
#[derive(Debug, Clone, Default)]
pub struct Archive {
    /// The head in force.
    pub head: Head,
    /// Its chunks by digest.
    pub chunks: HashMap<String, String>,
    /// Digests of withdrawn keys.
    pub withdrawn: Vec<String>,
    /// The registered upstreams.
    pub upstreams: Arc<Registry>,
}

/// The archive that the TCP server reads.
pub type SharedArchive = Arc<Mutex<Archive>>;

/// Answers a peer's question about the configuration.
pub fn respond(archive: &SharedArchive, question: Body) -> Option<Body> {
    let archive = archive.lock().unwrap_or_else(std::sync::PoisonError::into_inner);
    match question {
        Body::GetHead => {
            let (head, withdrawn) = (archive.head.clone(), archive.withdrawn.clone());
            Some(Body::Head { head, withdrawn })
        }
        Body::GetChunks(named) => {
            let chunks = named.iter().filter_map(|digest| archive.chunks.get(digest).cloned());
            Some(Body::Chunks(chunks.collect()))
        }
        Body::GetListing { since } => {
            let upstreams = Arc::clone(&archive.upstreams);
            drop(archive);
            let version = upstreams.version();
            let partial = upstreams.changes_since(since).filter(|_| since > 0);
            let is_partial = partial.is_some();
            let changes = partial.unwrap_or_else(|| whole(&upstreams));
            (version > 0).then_some(Body::Listing { version, is_partial, changes })
        }
        _ => None,
    }
}

fn whole(upstreams: &Registry) -> Vec<(String, Change)> {
    let listed = upstreams.entries();
    listed.map(|(key, entry)| (key.clone(), Change::Listed(entry.clone()))).collect()
}
