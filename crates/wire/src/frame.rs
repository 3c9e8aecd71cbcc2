//! Encoding, authentication and size limits of frames.

use std::time::{Duration, SystemTime};

use serde::{Deserialize, Serialize};

use crate::body::Body;
use crate::error::{Error, Result};
use crate::replay::Filter;
use damaskhatch_policy::prelude::Tag;

/// The version of the protocol; frames of any other version are dropped.
const VERSION: u8 = 1;
/// Size of the message authentication code (MAC), in bytes.
const MAC_BYTES: usize = 32;
/// Size of the header, in bytes: version and MAC.
const HEADER_BYTES: usize = 1 + MAC_BYTES;
/// The largest frame over UDP, in bytes.
pub const MAX_DATAGRAM_BYTES: usize = 1_400;
/// The largest frame over TCP, in bytes.
pub const MAX_STREAM_BYTES: usize = 4 << 20;
/// The largest accepted difference between the sender's and the receiver's wall clocks.
pub const MAX_SKEW: Duration = Duration::from_secs(10);
/// The key derivation context, which separates this key from other uses of the same secret.
const KEY_CONTEXT: &str = "damaskhatch 2026-12 peer frames";

/// A message with its sender, its sequence number and the time at which it was sealed.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Frame {
    /// The sending host.
    pub from: Tag,
    /// The sender's incarnation, which grows with each start of its process.
    pub incarnation: u64,
    /// The frame's number within that incarnation, from 1.
    pub serial: u64,
    /// The sender's wall clock when it sealed the frame, in milliseconds since the Unix epoch.
    pub sent_ms: u64,
    /// The message.
    pub body: Body,
}

/// Authenticates outgoing frames and verifies incoming ones with the secret that all hosts share.
///
/// Frames are authenticated but not encrypted.
#[derive(Clone)]
pub struct Codec {
    key: [u8; 32],
    from: Tag,
    incarnation: u64,
    serial: u64,
    replays: Filter,
}

impl std::fmt::Debug for Codec {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        // Keeps the key out of logs.
        f.debug_struct("Codec").field("from", &self.from).finish_non_exhaustive()
    }
}

impl Codec {
    /// Creates a codec that seals frames as host `from` in this `incarnation`.
    pub fn new(secret: &str, from: Tag, incarnation: u64) -> Self {
        let key = blake3::derive_key(KEY_CONTEXT, secret.as_bytes());
        Self { key, from, incarnation, serial: 0, replays: Filter::default() }
    }

    /// Encodes and authenticates a message; fails if the frame exceeds `limit` bytes.
    pub fn seal(&mut self, body: Body, limit: usize) -> Result<Vec<u8>> {
        self.serial += 1;
        let frame = Frame {
            from: self.from,
            incarnation: self.incarnation,
            serial: self.serial,
            sent_ms: wall_ms(),
            body,
        };
        let mut bytes = vec![0; HEADER_BYTES];
        bytes[0] = VERSION;
        bytes = postcard::to_extend(&frame, bytes).map_err(|_error| Error::Malformed)?;
        if bytes.len() > limit {
            return Err(Error::Long);
        }
        let mac = blake3::keyed_hash(&self.key, &bytes[HEADER_BYTES..]);
        bytes[1..HEADER_BYTES].copy_from_slice(mac.as_bytes());
        Ok(bytes)
    }

    /// Verifies and decodes a frame of at most `limit` bytes.
    ///
    /// The MAC is checked before the body is decoded, so only authentic bytes reach the decoder.
    pub fn open(&mut self, bytes: &[u8], limit: usize) -> Result<Frame> {
        if bytes.len() > limit {
            return Err(Error::Long);
        }
        if bytes.len() < HEADER_BYTES {
            return Err(Error::Short);
        }
        if bytes[0] != VERSION {
            return Err(Error::Version);
        }
        let mac: [u8; MAC_BYTES] =
            bytes[1..HEADER_BYTES].try_into().map_err(|_error| Error::Short)?;
        // `blake3::Hash` compares in constant time.
        if blake3::keyed_hash(&self.key, &bytes[HEADER_BYTES..]) != blake3::Hash::from(mac) {
            return Err(Error::Forged);
        }
        let frame: Frame =
            postcard::from_bytes(&bytes[HEADER_BYTES..]).map_err(|_error| Error::Malformed)?;
        if wall_ms().abs_diff(frame.sent_ms) > MAX_SKEW.as_millis() as u64 {
            return Err(Error::Stale);
        }
        if !self.replays.accept(frame.from, frame.incarnation, frame.serial) {
            return Err(Error::Repeated);
        }
        Ok(frame)
    }
}

/// The wall clock, in milliseconds since the Unix epoch; 0 if it is set before the epoch.
pub fn wall_ms() -> u64 {
    let since = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
    since.unwrap_or_default().as_millis() as u64
}
