//! A client of the platform's store: its key-value service and its list of hosts.
//!
//! The platform is the only durable storage of the fleet. Every request has a
//! time limit, and a write whose response was lost is resolved by reading the key
//! again. The protocol is in
//! [docs/PLATFORM.md](../../../docs/PLATFORM.md).

pub mod calls;
pub mod client;
pub mod era;
pub mod error;
pub mod message;
pub mod protocol;
pub mod store;

pub mod prelude {
    //! The types needed to read and write the store.
    pub use crate::client::Client;
    pub use crate::error::{Error, Result};
    pub use crate::protocol::Protocol;
    pub use crate::store::Store;
}
