//! The error of operations on the store.

use displaydoc::Display;

/// Why an operation on the store failed.
#[derive(Debug, Clone, PartialEq, Eq, Display)]
pub enum Error {
    /// request to the platform's store failed: {0}
    Unreachable(String),
    /// the key does not have the expected version; its version is {0}
    Conflict(u64),
    /// the key or lease does not exist
    Missing,
    /// malformed response from the platform's store: {0}
    Malformed(String),
    /// the store does not support this operation
    Unsupported,
    /// another operator's revision {0} was accepted first
    Superseded(u64),
}

impl std::error::Error for Error {}

/// A result whose error is a store [`Error`].
pub type Result<T> = std::result::Result<T, Error>;
