//! Stand-ins for what surrounds damaskhatch, for its demo and tests.
//!
//! They keep to the protocols of [docs/UPSTREAMS.md](../../../docs/UPSTREAMS.md) and
//! [docs/PLATFORM.md](../../../docs/PLATFORM.md) and record what they see, so that tests
//! judge by their records and not by what the router says of itself.

pub mod args;
pub mod completion;
pub mod demo;
pub mod engine;
pub mod fleet;
pub mod load;
pub mod platform;
pub mod proxy;
pub mod service;
pub mod slopes;
