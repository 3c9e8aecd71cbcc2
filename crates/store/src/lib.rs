//! The client of the platform's store: its key-value service and its list of hosts.
//!
//! The platform is the only place that lasts. Every call has a time limit, and
//! a write whose reply was lost is settled by reading back. The protocol is in
//! [docs/PLATFORM.md](../../../docs/PLATFORM.md).

pub mod client;
pub mod error;
pub mod message;
pub mod protocol;
pub mod store;

pub mod prelude {
    //! The types that users of the platform need.
    pub use crate::client::Client;
    pub use crate::error::{Error, Result};
    pub use crate::protocol::Protocol;
    pub use crate::store::Store;
}
