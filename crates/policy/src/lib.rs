//! The decision logic of damaskhatch, as state machines without I/O.
//!
//! Nothing here opens a socket, spawns a task or reads a clock. Each state machine takes
//! an event and the current [`time::Instant`](tokio::time::Instant) and returns decisions,
//! so that the daemons, the property tests and the benchmarks drive the same code. The
//! design is described in [docs/DESIGN.md](../../../docs/DESIGN.md).

pub mod admission;
pub mod attempt;
pub mod availability;
pub mod backlog;
pub mod bucket;
pub mod config;
pub mod contest;
pub mod ending;
pub mod error;
pub mod evacuation;
pub mod freshness;
pub mod homes;
pub mod id;
pub mod length;
pub mod limit;
pub mod lineage;
pub mod macros;
pub mod membership;
pub mod outlier;
pub mod pace;
pub mod placement;
pub mod position;
pub mod quota;
pub mod registry;
pub mod rendezvous;
pub mod restore;
pub mod retry;
pub mod route;
pub mod routing;
pub mod schedule;
pub mod sheet;
pub mod silence;
pub mod speed;
pub mod stages;
pub mod strike;
pub mod suspect;
pub mod tenure;
pub mod unread;
pub mod urgency;

pub mod prelude {
    //! The types that nearly every module of the workspace uses.
    pub use std::time::Duration;

    pub use tokio::time::Instant;

    pub use crate::error::Kind;
    pub use crate::id::{Domain, Map, Request, Service, Tag, Team, Upstream};
    pub use crate::plain;
}
