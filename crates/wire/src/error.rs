//! The error of sealing and opening frames.

use displaydoc::Display;

/// Why a frame was dropped, or could not be sealed.
///
/// The lower-case variant name is the `reason` label of the dropped-frames metric.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub enum Error {
    /// the frame is shorter than its header
    Short,
    /// the frame exceeds its size limit
    Long,
    /// the frame has an unsupported protocol version
    Version,
    /// the authentication code does not match
    Forged,
    /// the frame's timestamp differs too much from this host's clock
    Stale,
    /// the frame was received before, or is older than the replay window
    Repeated,
    /// the frame's body cannot be decoded
    Malformed,
}

impl std::error::Error for Error {}

/// A result whose error is a frame [`Error`].
pub type Result<T> = std::result::Result<T, Error>;
