//! Why a call to the store failed.

use displaydoc::Display;

/// Why a call to the store failed.
#[derive(Debug, Clone, PartialEq, Eq, Display)]
pub enum Error {
    /// the platform's store cannot be reached or does not answer in time: {0}
    Unreachable(String),
    /// the key changed meanwhile; its version is {0}
    Conflict(u64),
    /// the key or lease does not exist
    Missing,
    /// the platform's store gave an answer that is not understood: {0}
    Malformed(String),
    /// this store has no such call
    Unsupported,
    /// another operator's revision {0} was accepted first
    Superseded(u64),
}

impl std::error::Error for Error {}

/// The result of this layer.
pub type Result<T> = std::result::Result<T, Error>;
