//! The routing table, which maps a request's host and path to a service.
//!
//! Among the routes of the request's host, the one with the longest path prefix
//! matches. A route also holds the retry rule, the time limits and the priority, so
//! that every later stage of a request reads them from one place.

use std::collections::HashMap;

use serde::{Deserialize, Serialize};

use crate::prelude::*;

plain! { value
    /// Whether a request may run more than once, and whether its response is a stream.
    #[derive(Eq)]
    #[serde(rename_all = "kebab-case")]
    pub enum Repeat {
        /// The request may run any number of times.
        Idempotent,
        /// The request may run at most once.
        Once,
        /// The response is a stream, and the request may run at most once.
        Stream,
        /// The response is a stream that another engine may resume after the last delivered event.
        ResumableStream,
    }
}

impl Repeat {
    /// Whether a request may be sent again although an earlier attempt may have run it.
    pub const fn is_repeatable(self) -> bool {
        matches!(self, Self::Idempotent | Self::ResumableStream)
    }

    /// Whether the response is a stream of events.
    pub const fn is_stream(self) -> bool {
        matches!(self, Self::Stream | Self::ResumableStream)
    }
}

plain! { data
    /// A service that receives a share of a route's traffic.
    pub struct Target {
        /// The service's name.
        pub service: String,
        /// The weight relative to the route's other targets; negative values count as 0.
        pub weight: f64,
    }
}

plain! { data
    /// The services and limits for requests with one host and path prefix.
    pub struct Route {
        /// The route's name.
        pub name: String,
        /// The host that the request names.
        pub host: String,
        /// The path prefix, which begins and ends with a slash.
        pub prefix: String,
        /// Whether requests may run more than once.
        pub repeat: Repeat,
        /// The maximum time until the caller has the complete response.
        pub time_limit: Duration,
        /// The target latency of the response or, for a stream, of the first event.
        pub target_latency: Duration,
        /// The priority; 0 is the highest.
        pub priority: u8,
        /// The services and their weights; never empty.
        pub targets: Vec<Target>,
        /// The maximum number of attempts for one request once any of them may have run.
        pub max_attempts: u32,
        /// Whether callers may omit the key.
        pub open: bool,
        /// The regions that requests are bound to; empty if they may be run anywhere.
        #[serde(default, skip_serializing_if = "Vec::is_empty")]
        pub homes: Vec<String>,
    }
}

impl Route {
    /// Chooses a target's service by weight; `sample` is uniform in [0, 1).
    ///
    /// Returns `None` only if no target has a positive weight.
    pub fn choose_service(&self, sample: f64) -> Option<&str> {
        let total: f64 = self.targets.iter().map(|target| target.weight.max(0.0)).sum();
        let mut remaining = sample * total;
        for target in &self.targets {
            remaining -= target.weight.max(0.0);
            if remaining < 0.0 {
                return Some(&target.service);
            }
        }
        self.targets.iter().rfind(|target| target.weight > 0.0).map(|t| t.service.as_str())
    }
}

/// All routes, keyed by host and prefix.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Table {
    hosts: HashMap<String, HashMap<String, Route>>,
    count: usize,
}

impl Table {
    /// Adds a route and replaces an earlier one with the same host and prefix.
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

    /// All routes, in any order.
    pub fn iter(&self) -> impl Iterator<Item = &Route> {
        self.hosts.values().flat_map(HashMap::values)
    }

    /// Whether the table has no routes.
    pub const fn is_empty(&self) -> bool {
        self.count == 0
    }

    /// The route of `host` with the longest prefix that matches `path`.
    ///
    /// Prefixes end with a slash, so only the parts of the path up to each of its slashes
    /// are looked up, and the cost does not grow with the number of routes.
    pub fn find(&self, host: &str, path: &str) -> Option<&Route> {
        let prefixes = self.hosts.get(host)?;
        path.rmatch_indices('/').find_map(|(at, _)| prefixes.get(&path[..=at]))
    }
}
