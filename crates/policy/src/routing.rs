//! Routes: which service a request goes to, by its host and path.
//!
//! The longest prefix of the request's host that begins its path decides. A route
//! also says what may be repeated and how long a caller is kept waiting, so that
//! everything later in a request's life reads it from one place.

use std::collections::HashMap;

use serde::{Deserialize, Serialize};

use crate::prelude::*;

plain! { value
    /// What may be repeated of a request.
    #[derive(Eq)]
    #[serde(rename_all = "kebab-case")]
    pub enum Repeat {
        /// The request may run any number of times.
        Idempotent,
        /// The request may run once at most.
        Once,
        /// A stream that may run once at most.
        Stream,
        /// A stream that another engine may continue after the last event delivered.
        ResumableStream,
    }
}

impl Repeat {
    /// Whether a request that may have run may be sent again.
    pub const fn is_repeatable(self) -> bool {
        matches!(self, Self::Idempotent | Self::ResumableStream)
    }

    /// Whether the answer is a stream of events.
    pub const fn is_stream(self) -> bool {
        matches!(self, Self::Stream | Self::ResumableStream)
    }
}

plain! { data
    /// A part of a route's traffic.
    pub struct Target {
        /// The service's name.
        pub service: String,
        /// Its weight among the route's targets.
        pub weight: f64,
    }
}

plain! { data
    /// Where requests for a host and path prefix go.
    pub struct Route {
        /// The route's name.
        pub name: String,
        /// The host that callers name.
        pub host: String,
        /// The path prefix, with a slash at both ends.
        pub prefix: String,
        /// What may be repeated.
        pub repeat: Repeat,
        /// The longest that a caller is kept waiting for its final answer.
        pub time_limit: Duration,
        /// The target for the answer or, on a stream, for the first event.
        pub target_latency: Duration,
        /// The rank, 0 first.
        pub priority: u8,
        /// The services and their weights; never empty.
        pub targets: Vec<Target>,
        /// The most engines that one request may be sent to.
        pub max_attempts: u32,
        /// Whether callers need no key.
        pub open: bool,
    }
}

impl Route {
    /// The service for a request, by a number drawn evenly from 0 to 1.
    pub fn choose_service(&self, drawn: f64) -> Option<&str> {
        let total: f64 = self.targets.iter().map(|target| target.weight.max(0.0)).sum();
        let mut left = drawn * total;
        for target in &self.targets {
            left -= target.weight.max(0.0);
            if left < 0.0 {
                return Some(&target.service);
            }
        }
        self.targets.iter().rfind(|target| target.weight > 0.0).map(|t| t.service.as_str())
    }
}

/// All routes, by host and prefix.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Table {
    hosts: HashMap<String, HashMap<String, Route>>,
    count: usize,
}

impl Table {
    /// Adds a route; of two with the same host and prefix the later one counts.
    pub fn insert(&mut self, route: &Route) {
        let prefixes = self.hosts.entry(route.host.clone()).or_default();
        if prefixes.insert(route.prefix.clone(), route.clone()).is_none() {
            self.count += 1;
        }
    }

    /// The number of routes.
    pub const fn len(&self) -> usize {
        self.count
    }

    /// Whether there is no route.
    pub const fn is_empty(&self) -> bool {
        self.count == 0
    }

    /// The route of the longest prefix that begins `path`.
    ///
    /// Prefixes end with a slash, so only the path's own prefixes up to a slash
    /// are looked up: the cost does not grow with the number of routes.
    pub fn find(&self, host: &str, path: &str) -> Option<&Route> {
        let prefixes = self.hosts.get(host)?;
        path.rmatch_indices('/').find_map(|(at, _)| prefixes.get(&path[..=at]))
    }
}
