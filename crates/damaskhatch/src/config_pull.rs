//! Reads a configuration from the platform or from a peer.

use std::collections::HashMap;
use std::net::{IpAddr, SocketAddr};
use std::time::Duration;

use damaskhatch_policy::config::{self, Head};
use damaskhatch_policy::sheet::Row;
use damaskhatch_store::error::{Error, Result};
use damaskhatch_store::prelude::{Client, Store};
use damaskhatch_store::store;
use damaskhatch_wire::prelude::Body;

use crate::deployment::Catalogue;
use crate::metrics::Metrics;
use crate::peers::{SharedCodec, query};

/// Chunks asked for in one exchange with a peer.
const CHUNKS_PER_EXCHANGE: usize = 32;

/// Where a configuration is read from.
#[derive(Debug)]
pub enum Source {
    /// The platform.
    Platform {
        /// The client.
        client: Client,
        /// What operators write in a form of their own, if they do.
        foreign: Option<Foreign>,
        /// Only a head with a higher version is of interest.
        after: u64,
        /// How long to wait for one.
        wait: Duration,
    },
    /// Another host.
    Peer {
        /// This host's own IP address.
        from: IpAddr,
        /// The other host.
        to: SocketAddr,
        /// The codec.
        codec: SharedCodec,
        /// This host's metrics.
        metrics: Metrics,
    },
}

/// A configuration that operators write in a form of their own.
#[derive(Debug, Clone)]
pub struct Foreign {
    /// Where it is and how it is decoded.
    pub catalogue: Catalogue,
    /// The failure domains, which it does not name.
    pub domains: Vec<String>,
}

/// What was read.
#[derive(Debug)]
pub struct Pulled {
    /// The head.
    pub head: Head,
    /// The version of the head's key; 0 from a peer.
    pub version: u64,
    /// The rows, unless the head is not newer than what the reader has.
    pub rows: Option<Vec<Row>>,
    /// The chunks by digest.
    pub chunks: HashMap<String, String>,
    /// Withdrawn keys that the source knows of.
    pub withdrawn: Vec<String>,
}

/// Reads the newest configuration; chunks already `known` are not read again.
pub async fn pull(
    source: Source,
    revision: u64,
    mut known: HashMap<String, String>,
) -> Result<Pulled> {
    let Top { head, version, withdrawn, rows } = top(&source).await?;
    if let Some(rows) = rows.filter(|_| head.revision > revision) {
        let (head, chunks) = chunked(head.revision, &rows);
        return Ok(Pulled { head, version, rows: Some(rows), chunks, withdrawn });
    }
    if head.revision <= revision {
        return Ok(Pulled { head, version, rows: None, chunks: known, withdrawn });
    }
    let missing: Vec<String> =
        head.chunks.iter().filter(|digest| !known.contains_key(*digest)).cloned().collect();
    for text in read_chunks(&source, &missing).await? {
        known.insert(store::digest(&text), text);
    }
    let mut rows = Vec::new();
    let mut chunks = HashMap::new();
    for digest in &head.chunks {
        let text = known.remove(digest).or_else(|| chunks.get(digest).cloned());
        let text: String = text.ok_or(Error::Missing)?;
        rows.extend(store::decode(digest, &text)?);
        chunks.insert(digest.clone(), text);
    }
    Ok(Pulled { head, version, rows: Some(rows), chunks, withdrawn })
}

struct Top {
    head: Head,
    version: u64,
    withdrawn: Vec<String>,
    /// The rows, where they come with the head.
    rows: Option<Vec<Row>>,
}

/// A configuration as peers pull it.
fn chunked(revision: u64, rows: &[Row]) -> (Head, HashMap<String, String>) {
    let texts = config::split(rows).into_iter().map(|rows| store::encode(&rows));
    let texts: Vec<(String, String)> = texts.map(|text| (store::digest(&text), text)).collect();
    let chunks = texts.iter().map(|(digest, _)| digest.clone()).collect();
    (Head { revision, chunks, ..Head::default() }, texts.into_iter().collect())
}

/// Reads a configuration in the operators' own form, or learns that there is no newer one.
async fn foreign_top(
    client: &Client,
    foreign: &Foreign,
    after: u64,
    wait: Duration,
) -> Result<Top> {
    let key = foreign.catalogue.config_key;
    let (item, version) = if wait.is_zero() {
        // The store's own version, not the key's: a watch from a version whose history
        // the store has dropped would fail again and again.
        let listing = client.list(key, false).await?;
        let found = listing.items.into_iter().find(|(named, _)| named == key);
        let item = found.and_then(|(_, item)| item).ok_or(Error::Missing)?;
        (Some(item), listing.version)
    } else {
        let changes = client.watch_prefix(key, after, wait).await?;
        let last = changes.items.into_iter().rfind(|(changed, _)| changed == key);
        (last.and_then(|(_, item)| item), changes.version)
    };
    let Some(item) = item else {
        return Ok(Top { head: Head::default(), version, withdrawn: Vec::new(), rows: None });
    };
    let written = (foreign.catalogue.decode_config)(&item.value, &foreign.domains)?;
    let head = Head { revision: written.revision, ..Head::default() };
    Ok(Top { head, version, withdrawn: Vec::new(), rows: Some(written.rows) })
}

async fn top(source: &Source) -> Result<Top> {
    match source {
        Source::Platform { client, foreign: Some(foreign), after, wait } => {
            foreign_top(client, foreign, *after, *wait).await
        }
        Source::Platform { client, foreign: None, after, wait } => {
            let store = Store::new(*client);
            let (head, version) = if wait.is_zero() {
                store.head().await?
            } else {
                store.watch(*after, *wait).await?
            };
            Ok(Top { head, version, withdrawn: Vec::new(), rows: None })
        }
        Source::Peer { from, to, codec, metrics } => {
            match exchange(query(*from, *to, codec, metrics, Body::GetHead).await)? {
                Body::Head { head, withdrawn } => {
                    Ok(Top { head, version: 0, withdrawn, rows: None })
                }
                _ => Err(Error::Malformed("the peer answered something else".to_owned())),
            }
        }
    }
}

async fn read_chunks(source: &Source, missing: &[String]) -> Result<Vec<String>> {
    let mut texts = Vec::new();
    match source {
        Source::Platform { client, .. } => {
            let store = Store::new(*client);
            for digest in missing {
                texts.push(store.chunk(digest).await?);
            }
        }
        Source::Peer { from, to, codec, metrics } => {
            for part in missing.chunks(CHUNKS_PER_EXCHANGE) {
                let question = Body::GetChunks(part.to_vec());
                match exchange(query(*from, *to, codec, metrics, question).await)? {
                    Body::Chunks(part) => texts.extend(part),
                    _ => return Err(Error::Malformed("the peer sent no chunks".to_owned())),
                }
            }
        }
    }
    Ok(texts)
}

fn exchange(answer: damaskhatch_wire::error::Result<Body>) -> Result<Body> {
    answer.map_err(|error| Error::Unreachable(error.to_string()))
}
