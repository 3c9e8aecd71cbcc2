//! Configurations in the platform: content-addressed chunks under one head.
//!
//! Chunks never change, so they can be written in any order and read from
//! anyone; only the swap of the head decides which configuration is next.

use damaskhatch_policy::config::{self, Head};
use damaskhatch_policy::sheet::Row;

use crate::client::Client;
use crate::error::{Error, Result};
use crate::message::Swap;

/// The key of the head.
pub const HEAD_KEY: &str = "damaskhatch/head";

/// The digest that names a chunk.
pub fn digest(text: &str) -> String {
    blake3::hash(text.as_bytes()).to_hex().to_string()
}

/// Encodes a chunk's rows.
pub fn encode(rows: &[Row]) -> String {
    serde_json::to_string(rows).expect("rows have only strings and finite numbers")
}

/// Decodes a chunk, or says why it is not what `named` names.
pub fn decode(named: &str, text: &str) -> Result<Vec<Row>> {
    if digest(text) != named {
        return Err(Error::Malformed(format!("chunk {named} has another digest")));
    }
    serde_json::from_str(text).map_err(|error| Error::Malformed(error.to_string()))
}

/// Reads and writes configurations.
#[derive(Debug, Clone)]
pub struct Store {
    client: Client,
}

impl Store {
    /// Makes a store on a client.
    pub const fn new(client: Client) -> Self {
        Self { client }
    }

    /// Reads the head and its version; an empty head at version 0 if there is none.
    pub async fn head(&self) -> Result<(Head, u64)> {
        match self.client.get(HEAD_KEY).await {
            Ok(item) => Ok((decode_head(&item.value)?, item.version)),
            Err(Error::Missing) => Ok((Head::default(), 0)),
            Err(error) => Err(error),
        }
    }

    /// Waits for a head with a version above `after`.
    pub async fn watch(&self, after: u64, wait: std::time::Duration) -> Result<(Head, u64)> {
        match self.client.watch(HEAD_KEY, after, wait).await {
            Ok(item) => Ok((decode_head(&item.value)?, item.version)),
            Err(Error::Missing) => Ok((Head::default(), 0)),
            Err(error) => Err(error),
        }
    }

    /// Reads one chunk as text.
    pub async fn chunk(&self, named: &str) -> Result<String> {
        Ok(self.client.get(&chunk_key(named)).await?.value)
    }

    /// Writes `rows` as the revision after `base`, or says which revision came first.
    ///
    /// A lost reply is settled by reading back for `operation`.
    pub async fn accept(&self, rows: &[Row], base: u64, operation: &str) -> Result<Head> {
        let (current, version) = self.head().await?;
        if current.includes(operation) {
            return Ok(current);
        }
        if current.revision != base {
            return Err(Error::Superseded(current.revision));
        }
        let mut chunks = Vec::new();
        for chunk in config::split(rows) {
            chunks.push(self.write_chunk(&encode(&chunk)).await?);
        }
        let head = current.next(operation, chunks);
        let value = serde_json::to_string(&head).expect("a head has only strings and numbers");
        let swap = Swap { value, expect: version, lease: None };
        match self.client.compare_and_swap(HEAD_KEY, &swap).await {
            Ok(_version) => Ok(head),
            Err(Error::Malformed(reason)) => Err(Error::Malformed(reason)),
            Err(error) => self.settle(&head, error).await,
        }
    }

    /// Finds out whether a swap whose reply is missing took effect.
    async fn settle(&self, head: &Head, error: Error) -> Result<Head> {
        let (current, _version) = self.head().await.map_err(|_unreachable| error.clone())?;
        if current.includes(&head.operation) {
            return Ok(current);
        }
        if current.revision >= head.revision {
            return Err(Error::Superseded(current.revision));
        }
        Err(error)
    }

    async fn write_chunk(&self, text: &str) -> Result<String> {
        let named = digest(text);
        let swap = Swap { value: text.to_owned(), expect: 0, lease: None };
        match self.client.compare_and_swap(&chunk_key(&named), &swap).await {
            // The same content may be there already, which is as good.
            Ok(_) | Err(Error::Conflict(_)) => Ok(named),
            Err(error) => Err(error),
        }
    }
}

fn chunk_key(named: &str) -> String {
    format!("damaskhatch/chunks/{named}")
}

/// Decodes a head.
pub fn decode_head(text: &str) -> Result<Head> {
    serde_json::from_str(text).map_err(|error| Error::Malformed(error.to_string()))
}
