//! Pulls the newest configuration from the platform's store or from a peer.

use std::collections::HashMap;
use std::net::{IpAddr, SocketAddr};
use std::time::Duration;

use damaskhatch_policy::config::{self, Head};
use damaskhatch_policy::prelude::Instant;
use damaskhatch_policy::sheet::Row;
use damaskhatch_store::error::{Error, Result};
use damaskhatch_store::prelude::{Client, Store};
use damaskhatch_store::store;
use damaskhatch_wire::prelude::Body;

use crate::deployment::Catalogue;
use crate::metrics::Metrics;
use crate::peers::{SharedCodec, query};

/// The number of chunks requested from a peer in one query.
const CHUNKS_PER_EXCHANGE: usize = 32;

/// Where a configuration is read from.
#[derive(Debug)]
pub enum Source {
    /// The platform's store.
    Platform {
        /// The client of the store.
        client: Client,
        /// Set if operators write the configuration in the platform's own format.
        foreign: Option<Foreign>,
        /// Watches for changes with a version above this one; unused if `wait` is zero.
        after: u64,
        /// How long to wait for a change; zero reads the configuration without a watch.
        wait: Duration,
    },
    /// Another host.
    Peer {
        /// The IP address that this host connects from.
        from: IpAddr,
        /// The peer address of the other host.
        to: SocketAddr,
        /// Seals the queries and opens the replies.
        codec: SharedCodec,
        /// The metrics that count the bytes sent.
        metrics: Metrics,
    },
}

/// How to read a configuration that operators write in the platform's own format.
#[derive(Debug, Clone)]
pub struct Foreign {
    /// Where the configuration is stored and how it is decoded.
    pub catalogue: Catalogue,
    /// The names of the failure domains, which that format does not contain.
    pub domains: Vec<String>,
}

/// The result of a pull.
#[derive(Debug)]
pub struct Pulled {
    /// The head of the configuration.
    pub head: Head,
    /// The store's version to watch from; 0 from a peer.
    pub version: u64,
    /// The rows; `None` if the revision is not above the reader's own.
    pub rows: Option<Vec<Row>>,
    /// The text of each chunk by its digest.
    pub chunks: HashMap<String, String>,
    /// Digests of the withdrawn keys that a peer reported; empty from the platform.
    pub withdrawn: Vec<String>,
    /// What it took to read, for logs.
    pub cost: Cost,
}

/// What it took to read a configuration.
#[derive(Debug, Clone, Copy, Default)]
pub struct Cost {
    /// The bytes of text read, without framing.
    pub bytes: usize,
    /// The time from the request for the head, or from the start of the watch, to the last byte.
    pub reading: Duration,
    /// The time for decoding.
    pub decoding: Duration,
}

/// Reads the newest configuration if its revision is above `revision`.
///
/// Chunks in `known`, by digest, are not read again.
pub async fn pull(
    source: Source,
    revision: u64,
    mut known: HashMap<String, String>,
) -> Result<Pulled> {
    let started = Instant::now();
    let Latest { head, version, withdrawn, rows, mut cost } = read_head(&source).await?;
    if let Some(rows) = rows.filter(|_| head.revision > revision) {
        let decoded_at = Instant::now();
        let (head, chunks) = encode_chunks(head.revision, &rows);
        cost.decoding += decoded_at.elapsed();
        return Ok(Pulled { head, version, rows: Some(rows), chunks, withdrawn, cost });
    }
    if head.revision <= revision {
        return Ok(Pulled { head, version, rows: None, chunks: known, withdrawn, cost });
    }
    let missing: Vec<String> =
        head.chunks.iter().filter(|digest| !known.contains_key(*digest)).cloned().collect();
    for text in read_chunks(&source, &missing).await? {
        cost.bytes += text.len();
        known.insert(store::digest(&text), text);
    }
    cost.reading = started.elapsed();
    let mut rows = Vec::new();
    let mut chunks = HashMap::new();
    for digest in &head.chunks {
        let text = known.remove(digest).or_else(|| chunks.get(digest).cloned());
        let text: String = text.ok_or(Error::Missing)?;
        rows.extend(store::decode(digest, &text)?);
        chunks.insert(digest.clone(), text);
    }
    cost.decoding = started.elapsed().saturating_sub(cost.reading);
    Ok(Pulled { head, version, rows: Some(rows), chunks, withdrawn, cost })
}

/// The head of the newest configuration, with the other data that its source sends.
struct Latest {
    head: Head,
    version: u64,
    withdrawn: Vec<String>,
    /// The rows, if the source stores the configuration under a single key.
    rows: Option<Vec<Row>>,
    /// What it took to read those rows.
    cost: Cost,
}

impl Latest {
    fn without_rows(head: Head, version: u64, withdrawn: Vec<String>) -> Self {
        Self { head, version, withdrawn, rows: None, cost: Cost::default() }
    }
}

/// Splits rows into the chunks that peers pull, and makes the head that lists them.
fn encode_chunks(revision: u64, rows: &[Row]) -> (Head, HashMap<String, String>) {
    let texts = config::split(rows).into_iter().map(|rows| store::encode(&rows));
    let texts: Vec<(String, String)> = texts.map(|text| (store::digest(&text), text)).collect();
    let chunks = texts.iter().map(|(digest, _)| digest.clone()).collect();
    (Head { revision, chunks, ..Head::default() }, texts.into_iter().collect())
}

/// Reads a configuration in the platform's own format.
///
/// A watch that sees no change within `wait` returns a head of revision 0 without rows.
async fn read_foreign(
    client: &Client,
    foreign: &Foreign,
    after: u64,
    wait: Duration,
) -> Result<Latest> {
    let key = foreign.catalogue.config_key;
    let started = Instant::now();
    let (item, version) = if wait.is_zero() {
        // Watch from the store's version, not the key's: the store may have dropped the history
        // since the key's version, and every watch from there would fail.
        let listing = client.list(key, false).await?;
        let found = listing.items.into_iter().find(|(listed, _)| listed == key);
        let item = found.and_then(|(_, item)| item).ok_or(Error::Missing)?;
        (Some(item), listing.version)
    } else {
        let changes = client.watch_prefix(key, after, wait).await?;
        let last = changes.items.into_iter().rfind(|(changed, _)| changed == key);
        (last.and_then(|(_, item)| item), changes.version)
    };
    let Some(item) = item else {
        return Ok(Latest::without_rows(Head::default(), version, Vec::new()));
    };
    let reading = started.elapsed();
    let configuration = (foreign.catalogue.decode_config)(&item.value, &foreign.domains)?;
    let head = Head { revision: configuration.revision, ..Head::default() };
    let decoding = started.elapsed().saturating_sub(reading);
    let cost = Cost { bytes: item.value.len(), reading, decoding };
    Ok(Latest { head, version, withdrawn: Vec::new(), rows: Some(configuration.rows), cost })
}

/// Reads the head of the newest configuration; with a watch, waits for a change first.
async fn read_head(source: &Source) -> Result<Latest> {
    match source {
        Source::Platform { client, foreign: Some(foreign), after, wait } => {
            read_foreign(client, foreign, *after, *wait).await
        }
        Source::Platform { client, foreign: None, after, wait } => {
            let store = Store::new(client.clone());
            let (head, version) = if wait.is_zero() {
                store.head().await?
            } else {
                store.watch(*after, *wait).await?
            };
            Ok(Latest::without_rows(head, version, Vec::new()))
        }
        Source::Peer { from, to, codec, metrics } => {
            match peer_reply(query(*from, *to, codec, metrics, Body::GetHead).await)? {
                Body::Head { head, withdrawn } => Ok(Latest::without_rows(head, 0, withdrawn)),
                _ => Err(Error::Malformed(
                    "unexpected reply from the peer to a query for the configuration head"
                        .to_owned(),
                )),
            }
        }
    }
}

/// Reads the texts of the chunks with the digests `missing`.
async fn read_chunks(source: &Source, missing: &[String]) -> Result<Vec<String>> {
    let mut texts = Vec::new();
    match source {
        Source::Platform { client, .. } => {
            let store = Store::new(client.clone());
            for digest in missing {
                texts.push(store.chunk(digest).await?);
            }
        }
        Source::Peer { from, to, codec, metrics } => {
            for batch in missing.chunks(CHUNKS_PER_EXCHANGE) {
                let request = Body::GetChunks(batch.to_vec());
                match peer_reply(query(*from, *to, codec, metrics, request).await)? {
                    Body::Chunks(chunks) => texts.extend(chunks),
                    _ => {
                        return Err(Error::Malformed(
                            "unexpected reply from the peer to a query for configuration chunks"
                                .to_owned(),
                        ));
                    }
                }
            }
        }
    }
    Ok(texts)
}

/// Converts the error of a query to a peer into the store's error type.
fn peer_reply(reply: damaskhatch_wire::error::Result<Body>) -> Result<Body> {
    reply.map_err(|error| Error::Unreachable(error.to_string()))
}
