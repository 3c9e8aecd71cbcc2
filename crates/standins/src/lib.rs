//! Stand-ins for the processes around damaskhatch, for its demo and its tests.
//!
//! They implement the protocols of [docs/UPSTREAMS.md](../../../docs/UPSTREAMS.md) and
//! [docs/PLATFORM.md](../../../docs/PLATFORM.md) and record the calls they receive, so that tests
//! check the router against these records and not against its own reports.

pub mod args;
pub mod completion;
pub mod demo;
pub mod engine;
pub mod extra;
pub mod fleet;
pub mod load;
pub mod platform;
pub mod proxy;
pub mod restores;
pub mod service;
pub mod slopes;
