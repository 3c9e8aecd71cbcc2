//! The chunks of a configuration, which hosts keep and exchange compressed.
//!
//! See [docs/DESIGN.md](../../../docs/DESIGN.md#spreading-a-configuration).

use std::collections::HashMap;
use std::io::{Read, Write};
use std::sync::Arc;

use damaskhatch_store::error::{Error, Result};
use damaskhatch_store::store;
use flate2::Compression;
use flate2::read::DeflateDecoder;
use flate2::write::DeflateEncoder;

/// The longest text of a chunk, in bytes, so that a damaged one cannot fill the memory.
const MAX_TEXT_BYTES: u64 = 4 << 20;

/// Chunks by the digest of their text.
pub type Chunks = HashMap<String, Chunk>;

/// A chunk's text, compressed by DEFLATE (RFC 1951).
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Chunk(Arc<[u8]>);

impl Chunk {
    /// Compresses a chunk's text.
    pub fn compress(text: &str) -> Self {
        let mut encoder = DeflateEncoder::new(Vec::new(), Compression::fast());
        encoder.write_all(text.as_bytes()).expect("writing to a vector succeeds");
        Self(encoder.finish().expect("writing to a vector succeeds").into())
    }

    /// Takes a chunk as another host sent it; returns it with the digest of its text.
    pub fn receive(bytes: Vec<u8>) -> Result<(String, Self)> {
        let chunk = Self(bytes.into());
        let text = chunk.text()?;
        Ok((store::digest(&text), chunk))
    }

    /// The compressed bytes.
    pub fn as_bytes(&self) -> &[u8] {
        &self.0
    }

    /// The text; fails if the bytes are not a compressed text.
    pub fn text(&self) -> Result<String> {
        let mut text = String::new();
        let read =
            DeflateDecoder::new(self.as_bytes()).take(MAX_TEXT_BYTES).read_to_string(&mut text);
        read.map_err(|error| Error::Malformed(format!("compressed chunk: {error}")))?;
        Ok(text)
    }
}
