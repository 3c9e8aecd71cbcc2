//! The frames that hosts exchange over UDP and TCP.
//!
//! A frame is a `postcard` encoding preceded by a keyed BLAKE3 message
//! authentication code. A frame that is malformed, of another version, altered,
//! stale or replayed is dropped before it is processed. See
//! [docs/DESIGN.md](../../../docs/DESIGN.md#frames).

pub mod body;
pub mod error;
pub mod frame;
pub mod replay;

pub mod prelude {
    //! The types needed to send and receive frames.
    pub use crate::body::Body;
    pub use crate::error::{Error, Result};
    pub use crate::frame::{Codec, Frame};
}
