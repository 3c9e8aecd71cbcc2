//! Configurations in the store: content-addressed chunks under one head.
//!
//! Chunks are immutable, so they can be written in any order and read from any
//! host; only the compare-and-swap of the head decides which configuration is next.

use damaskhatch_policy::config::{self, Head};
use damaskhatch_policy::sheet::Row;

use crate::client::Client;
use crate::error::{Error, Result};
use crate::message::Swap;

/// The key of the configuration head.
pub const HEAD_KEY: &str = "damaskhatch/head";

/// The digest of a chunk's text, in hexadecimal, by which the chunk is addressed.
pub fn digest(text: &str) -> String {
    blake3::hash(text.as_bytes()).to_hex().to_string()
}

/// Encodes the rows of a chunk as JSON.
pub fn encode(rows: &[Row]) -> String {
    serde_json::to_string(rows).expect("rows have only strings and finite numbers")
}

/// Decodes a chunk; fails if its text does not have the digest `expected` or is not valid JSON.
pub fn decode(expected: &str, text: &str) -> Result<Vec<Row>> {
    let actual = digest(text);
    if actual != expected {
        return Err(Error::Malformed(format!(
            "chunk {expected}: the digest of its text is {actual}"
        )));
    }
    serde_json::from_str(text)
        .map_err(|error| Error::Malformed(format!("chunk {expected}: {error}")))
}

/// Reads and writes configurations in the store.
#[derive(Debug, Clone)]
pub struct Store {
    client: Client,
}

impl Store {
    /// Creates a store that sends its operations through `client`.
    pub const fn new(client: Client) -> Self {
        Self { client }
    }

    /// Reads the head and its key's version; an empty head and 0 if none is stored.
    pub async fn head(&self) -> Result<(Head, u64)> {
        match self.client.get(HEAD_KEY).await {
            Ok(item) => Ok((decode_head(&item.value)?, item.version)),
            Err(Error::Missing) => Ok((Head::default(), 0)),
            Err(error) => Err(error),
        }
    }

    /// Waits for at most `wait` for a head whose key has a version above `after`.
    ///
    /// Returns an empty head and 0 if none is stored.
    pub async fn watch(&self, after: u64, wait: std::time::Duration) -> Result<(Head, u64)> {
        match self.client.watch(HEAD_KEY, after, wait).await {
            Ok(item) => Ok((decode_head(&item.value)?, item.version)),
            Err(Error::Missing) => Ok((Head::default(), 0)),
            Err(error) => Err(error),
        }
    }

    /// Reads the text of the chunk with this digest.
    pub async fn chunk(&self, digest: &str) -> Result<String> {
        Ok(self.client.get(&chunk_key(digest)).await?.value)
    }

    /// Writes `rows` as the revision that follows revision `base`.
    ///
    /// Fails with [`Error::Superseded`] if another revision already follows it.
    ///
    /// If the response is lost, the head is read again to see whether it includes `operation`.
    pub async fn accept(&self, rows: &[Row], base: u64, operation: &str) -> Result<Head> {
        let (current, version) = self.head().await?;
        if current.includes(operation) {
            return Ok(current);
        }
        if current.revision != base {
            return Err(Error::Superseded(current.revision));
        }
        let head = current.next(operation, self.write_chunks(rows).await?);
        match self.swap_head(&head, version).await {
            Ok(()) => Ok(head),
            Err(Error::Malformed(reason)) => Err(Error::Malformed(reason)),
            Err(error) => self.resolve_swap(&head, error).await,
        }
    }

    /// Writes a head again that the restored store has lost, in place of the one at `version`.
    pub async fn write_again(&self, head: &Head, rows: &[Row], version: u64) -> Result<()> {
        self.write_chunks(rows).await?;
        self.swap_head(head, version).await
    }

    /// Replaces the head at `version`.
    async fn swap_head(&self, head: &Head, version: u64) -> Result<()> {
        let value = serde_json::to_string(head).expect("a head has only strings and numbers");
        let swap = Swap { value, expect: version, lease: None };
        self.client.compare_and_swap(HEAD_KEY, &swap).await.map(drop)
    }

    /// Reads the head again to find out whether a swap that failed with `error` took effect.
    async fn resolve_swap(&self, head: &Head, error: Error) -> Result<Head> {
        let (current, _version) = self.head().await.map_err(|_unreachable| error.clone())?;
        if current.includes(&head.operation) {
            return Ok(current);
        }
        if current.revision >= head.revision {
            return Err(Error::Superseded(current.revision));
        }
        Err(error)
    }

    /// Writes the chunks of `rows` and returns their digests.
    async fn write_chunks(&self, rows: &[Row]) -> Result<Vec<String>> {
        let mut digests = Vec::new();
        for chunk in config::split(rows) {
            digests.push(self.write_chunk(&encode(&chunk)).await?);
        }
        Ok(digests)
    }

    async fn write_chunk(&self, text: &str) -> Result<String> {
        let digest = digest(text);
        let swap = Swap { value: text.to_owned(), expect: 0, lease: None };
        match self.client.compare_and_swap(&chunk_key(&digest), &swap).await {
            // A conflict means that the chunk is stored already, with the same content.
            Ok(_) | Err(Error::Conflict(_)) => Ok(digest),
            Err(error) => Err(error),
        }
    }
}

fn chunk_key(digest: &str) -> String {
    format!("damaskhatch/chunks/{digest}")
}

/// Decodes a head from JSON.
pub fn decode_head(text: &str) -> Result<Head> {
    serde_json::from_str(text)
        .map_err(|error| Error::Malformed(format!("configuration head: {error}")))
}
