//! HTTP clients for engines and plain services.
//!
//! The HTTP interface is described in [docs/UPSTREAMS.md](../../../../docs/UPSTREAMS.md).

pub mod engine;
pub mod events;
pub mod message;
pub mod plain;
pub mod statement;
