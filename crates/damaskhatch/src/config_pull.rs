//! Pulls the newest configuration from the platform's store or from a peer.

use std::net::{IpAddr, SocketAddr};
use std::time::Duration;

use damaskhatch_policy::config::{self, Head};
use damaskhatch_policy::evacuation;
use damaskhatch_policy::prelude::{Instant, Tag};
use damaskhatch_policy::sheet::Row;
use damaskhatch_store::error::Error as StoreError;
use damaskhatch_store::message::Listing;
use damaskhatch_store::prelude::{Client, Store};
use damaskhatch_store::store;
use damaskhatch_wire::prelude::Body;
use displaydoc::Display;

use crate::chunk::{Chunk, Chunks};
use crate::control::configuration::archive::{SharedArchive, lock};
use crate::deployment::Catalogue;
use crate::metrics::Metrics;
use crate::peers::{SharedCodec, query};

/// The number of chunks requested from a peer in one query.
const CHUNKS_PER_EXCHANGE: usize = 32;

/// Why no configuration was pulled.
#[derive(Debug, Clone, PartialEq, Eq, Display)]
pub enum Error {
    /// {0}
    Store(StoreError),
    /// peer {peer}: {reason}
    Peer {
        /// The last peer that was asked.
        peer: SocketAddr,
        /// What failed there.
        reason: String,
    },
    /// no peer has the configuration
    NoPeer,
}

impl std::error::Error for Error {}

impl From<StoreError> for Error {
    fn from(error: StoreError) -> Self {
        Self::Store(error)
    }
}

/// A result whose error is a pull's [`Error`].
pub type Result<T> = std::result::Result<T, Error>;

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
    /// Other hosts, in the order in which to ask them.
    Peers {
        /// The IP address that this host connects from.
        from: IpAddr,
        /// The peer addresses of the other hosts.
        to: Vec<SocketAddr>,
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
    /// The chunks that the head names; empty without rows.
    pub chunks: Chunks,
    /// Digests of the withdrawn keys that a peer reported; empty from the platform.
    pub withdrawn: Vec<String>,
    /// The domains that are evacuated, as far as the read shows; unchanged from a peer.
    pub evacuations: Evacuations,
    /// Whether operators wrote the configuration while it was being watched; never true of one that hosts
    /// write.
    pub is_change: bool,
    /// What it took to read, for logs.
    pub cost: Cost,
}

/// What a read of the store shows of the domains that operators have evacuated.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub enum Evacuations {
    /// Nothing: the source has no such entries.
    #[default]
    Unknown,
    /// All evacuated domains, as of this version of the store.
    All(Vec<Tag>, u64),
    /// The changes up to this version of the store.
    Changed(Vec<evacuation::Change>, u64),
}

impl Evacuations {
    /// Finds the entries of evacuated domains in a complete listing or in the changes of a watch.
    fn find(prefix: &str, listing: &Listing, is_complete: bool) -> Self {
        let changes = listing.items.iter().filter_map(|(key, item)| {
            let domain = Tag::of(key.strip_prefix(prefix)?);
            Some(evacuation::Change { domain, is_evacuated: item.is_some() })
        });
        let changes: Vec<evacuation::Change> = changes.collect();
        if is_complete {
            let domains = changes.iter().map(|change| change.domain).collect();
            return Self::All(domains, listing.version);
        }
        Self::Changed(changes, listing.version)
    }
}

/// What it took to read a configuration.
#[derive(Debug, Clone, Copy, Default)]
pub struct Cost {
    /// The bytes read, compressed ones from a peer, without framing.
    pub bytes: usize,
    /// The time from the request for the head, or from the start of the watch, to the last byte.
    pub reading: Duration,
    /// The time for decoding.
    pub decoding: Duration,
}

/// Reads the newest configuration if its revision is above `revision`.
///
/// Chunks in the archive are not read again. Those that are read are added to it one by one, so that
/// a further read goes on where this one fails.
pub async fn pull(source: Source, revision: u64, archive: SharedArchive) -> Result<Pulled> {
    let started = Instant::now();
    let Latest { head, version, withdrawn, rows, evacuations, is_change, mut cost } =
        read_head(&source).await?;
    let complete = |head, rows, chunks, cost| Pulled {
        head,
        version,
        rows,
        chunks,
        withdrawn,
        evacuations,
        is_change,
        cost,
    };
    if let Some(rows) = rows.filter(|_| head.revision > revision) {
        let decoded_at = Instant::now();
        let (head, chunks) = encode_chunks(head.revision, &rows, &archive);
        cost.decoding += decoded_at.elapsed();
        return Ok(complete(head, Some(rows), chunks, cost));
    }
    if head.revision <= revision {
        return Ok(complete(head, None, Chunks::new(), cost));
    }
    cost.bytes += read_chunks(&source, &head, &archive).await?;
    cost.reading = started.elapsed();
    let mut rows = Vec::new();
    let mut chunks = Chunks::new();
    for digest in &head.chunks {
        let chunk = lock(&archive).chunk(digest).cloned().ok_or(StoreError::Missing)?;
        rows.extend(store::decode(digest, &chunk.text()?)?);
        chunks.insert(digest.clone(), chunk);
    }
    cost.decoding = started.elapsed().saturating_sub(cost.reading);
    Ok(complete(head, Some(rows), chunks, cost))
}

/// The head of the newest configuration, with the other data that its source sends.
struct Latest {
    head: Head,
    version: u64,
    withdrawn: Vec<String>,
    /// The rows, if the source stores the configuration under a single key.
    rows: Option<Vec<Row>>,
    /// The domains that are evacuated.
    evacuations: Evacuations,
    /// Whether operators wrote the rows during a watch.
    is_change: bool,
    /// What it took to read those rows.
    cost: Cost,
}

impl Latest {
    fn without_rows(head: Head, version: u64, withdrawn: Vec<String>) -> Self {
        let (evacuations, cost) = (Evacuations::Unknown, Cost::default());
        Self { head, version, withdrawn, rows: None, evacuations, is_change: false, cost }
    }
}

/// Splits rows into the chunks that peers pull, and makes the head that lists them.
pub fn encode_chunks(revision: u64, rows: &[Row], archive: &SharedArchive) -> (Head, Chunks) {
    let texts = config::split(rows).into_iter().map(|rows| store::encode(&rows));
    let chunks: Vec<(String, Chunk)> = texts
        .map(|text| {
            let digest = store::digest(&text);
            let known = lock(archive).chunk(&digest).cloned();
            (digest, known.unwrap_or_else(|| Chunk::compress(&text)))
        })
        .collect();
    let digests = chunks.iter().map(|(digest, _)| digest.clone()).collect();
    (Head { revision, chunks: digests, ..Head::default() }, chunks.into_iter().collect())
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
    let Catalogue { operator_prefix: prefix, config_key: key, evacuation_prefix, .. } =
        foreign.catalogue;
    let started = Instant::now();
    let is_complete = wait.is_zero();
    let listing = if is_complete {
        // Watch from the store's version, not the key's: the store may have dropped the history
        // since the key's version, and every watch from there would fail.
        client.list(prefix, false).await?
    } else {
        client.watch_prefix(prefix, after, wait).await?
    };
    let evacuations = Evacuations::find(evacuation_prefix, &listing, is_complete);
    let version = listing.version;
    let last = listing.items.into_iter().rfind(|(listed, _)| listed == key);
    let Some(item) = last.and_then(|(_, item)| item) else {
        if is_complete {
            return Err(StoreError::Missing.into());
        }
        let latest = Latest::without_rows(Head::default(), version, Vec::new());
        return Ok(Latest { evacuations, ..latest });
    };
    let reading = started.elapsed();
    let configuration = (foreign.catalogue.decode_config)(&item.value, &foreign.domains)?;
    let head = Head { revision: configuration.revision, ..Head::default() };
    let decoding = started.elapsed().saturating_sub(reading);
    let cost = Cost { bytes: item.value.len(), reading, decoding };
    Ok(Latest {
        head,
        version,
        withdrawn: Vec::new(),
        rows: Some(configuration.rows),
        evacuations,
        is_change: !is_complete,
        cost,
    })
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
        Source::Peers { from, to, codec, metrics } => {
            let mut failure = Error::NoPeer;
            for peer in to {
                let reason = match query(*from, *peer, codec, metrics, Body::GetHead).await {
                    Ok(Body::Head { head, withdrawn }) => {
                        return Ok(Latest::without_rows(head, 0, withdrawn));
                    }
                    Ok(_other) => "its reply is no head".to_owned(),
                    Err(error) => error.to_string(),
                };
                failure = Error::Peer { peer: *peer, reason };
            }
            Err(failure)
        }
    }
}

/// Reads the chunks that `head` names and the archive does not have into it; returns their bytes.
async fn read_chunks(source: &Source, head: &Head, archive: &SharedArchive) -> Result<usize> {
    match source {
        Source::Platform { client, .. } => {
            let store = Store::new(client.clone());
            let mut bytes = 0;
            for digest in missing(head, archive) {
                let text = store.chunk(&digest).await?;
                bytes += text.len();
                lock(archive).incoming.insert(store::digest(&text), Chunk::compress(&text));
            }
            Ok(bytes)
        }
        Source::Peers { from, to, codec, metrics } => {
            let mut bytes = 0;
            let mut failure = Error::NoPeer;
            for peer in to {
                let ask = async |body| query(*from, *peer, codec, metrics, body).await;
                match read_chunks_from(ask, head, archive).await {
                    Ok(length) => bytes += length,
                    Err(reason) => failure = Error::Peer { peer: *peer, reason },
                }
                if missing(head, archive).is_empty() {
                    return Ok(bytes);
                }
            }
            Err(failure)
        }
    }
}

/// Reads the missing chunks that one peer has; `ask` sends it a query and returns its reply.
///
/// Returns their bytes, or why not all could be read.
async fn read_chunks_from(
    ask: impl AsyncFn(Body) -> damaskhatch_wire::error::Result<Body>,
    head: &Head,
    archive: &SharedArchive,
) -> std::result::Result<usize, String> {
    let mut bytes = 0;
    for batch in missing(head, archive).chunks(CHUNKS_PER_EXCHANGE) {
        let mut reply = ask(Body::GetCompressedChunks(batch.to_vec())).await;
        if reply == Err(damaskhatch_wire::error::Error::Short) {
            // A host of an earlier version closes the connection at a query that it does not know.
            reply = ask(Body::GetChunks(batch.to_vec())).await;
        }
        let chunks = match reply.map_err(|error| error.to_string())? {
            Body::CompressedChunks(chunks) => {
                bytes += chunks.iter().map(Vec::len).sum::<usize>();
                chunks.into_iter().map(Chunk::receive).collect()
            }
            Body::Chunks(texts) => {
                bytes += texts.iter().map(String::len).sum::<usize>();
                Ok(texts.iter().map(|text| (store::digest(text), Chunk::compress(text))).collect())
            }
            Body::Busy => return Err("busy, it sends to other hosts".to_owned()),
            _ => return Err("its reply has no chunks".to_owned()),
        };
        let chunks: Vec<(String, Chunk)> = chunks.map_err(|error: StoreError| error.to_string())?;
        lock(archive).incoming.extend(chunks);
    }
    Ok(bytes)
}

/// The digests of the chunks that `head` names and the archive does not have.
fn missing(head: &Head, archive: &SharedArchive) -> Vec<String> {
    let archive = lock(archive);
    head.chunks.iter().filter(|digest| archive.chunk(digest).is_none()).cloned().collect()
}
