//! A router for separate prefill and decode pools.
//!
//! The library holds everything; the daemon and the operators' tool are thin.
//! Decisions live in `damaskhatch-policy`, and this crate carries them out. The
//! parts and how they share the work are described in
//! [docs/DESIGN.md](../../../docs/DESIGN.md).

pub mod cli;
pub mod clock;
pub mod config_pull;
pub mod control;
pub mod decision;
pub mod deployment;
pub mod diff;
pub mod entry;
pub mod headers;
pub mod host;
pub mod logging;
pub mod metrics;
pub mod operator;
pub mod peers;
pub mod prelude;
pub mod relay;
pub mod settings;
pub mod shared;
pub mod supervise;
pub mod upstream;
