//! A router for separate prefill and decode pools.
//!
//! The binaries `damaskhatchd` and `damaskhatch` are thin wrappers around this library.
//! `damaskhatch-policy` makes the decisions without any I/O, and this crate executes them:
//! it owns the sockets, the actors and the clock. The modules and their responsibilities are
//! described in [docs/DESIGN.md](../../../docs/DESIGN.md).

pub mod chunk;
pub mod cli;
pub mod clock;
pub mod config_pull;
pub mod control;
pub mod daemon;
pub mod decision;
pub mod deployment;
pub mod diff;
pub mod entry;
pub mod headers;
pub mod host;
pub mod listeners;
pub mod logging;
pub mod memory;
pub mod metrics;
pub mod operator;
pub mod peers;
pub mod prelude;
pub mod quarantine;
pub mod relay;
pub mod settings;
pub mod shared;
pub mod signals;
pub mod stop;
pub mod supervise;
pub mod upstream;
