//! The rows of a configuration.

use crate::plain;
use crate::routing::Route;

plain! { value
    /// The kind of a service's upstreams.
    #[derive(Eq)]
    #[serde(rename_all = "lowercase")]
    pub enum Kind {
        /// Model engines, called in a prefill and a decode phase.
        Model,
        /// Plain HTTP back ends.
        Plain,
    }
}

plain! { value
    /// The phases that an upstream runs.
    #[derive(Eq)]
    #[serde(rename_all = "lowercase")]
    pub enum Role {
        /// Prefill only.
        Prefill,
        /// Decode only.
        Decode,
        /// Prefill and decode.
        Both,
        /// None: the upstream is a back end of a plain service.
        Plain,
    }
}

plain! { value
    /// The capacities and times that are the same for every engine of a model service.
    #[derive(Default)]
    pub struct EngineTerms {
        /// The number of requests that an engine decodes at once.
        pub slots: u32,
        /// The capacity of an engine's KV cache, in tokens.
        pub memory_tokens: u32,
        /// The number of tokens in one event of a stream.
        pub event_tokens: u32,
        /// The time for which an engine keeps an exported KV cache, in milliseconds.
        pub export_ttl_ms: u32,
        /// The maximum duration of a reservation, in milliseconds.
        pub reservation_ms: u32,
        /// The time that an engine takes to change its role, in milliseconds.
        pub role_change_ms: u32,
    }
}

plain! { value
    /// How much a service's upstreams bear while they are cold.
    pub struct Warming {
        /// How long an upstream is cold after its start, in milliseconds.
        pub duration_ms: u32,
        /// The requests a second that a cold one takes from all hosts together.
        pub per_s: f64,
    }
}

plain! { data
    /// One row of a configuration.
    pub enum Row {
        /// A failure domain.
        Domain {
            /// The domain's name.
            name: String,
            /// The fraction of every team's rate and burst for this domain; all sum to 1.
            share: f64,
        },
        /// A team.
        Team {
            /// The team's name.
            name: String,
            /// The rate limit over all hosts, in tokens per second.
            rate: f64,
            /// The burst limit over all hosts, in tokens.
            burst: f64,
        },
        /// A service.
        Service {
            /// The service's name, which callers give as the model or in the path.
            name: String,
            /// Whether the service runs on model engines or plain back ends.
            kind: Kind,
            /// Whether callers may omit the key.
            open: bool,
            /// Whether a request may run more than once.
            repeatable: bool,
            /// How much its upstreams bear while they are cold; `None` if that makes no difference.
            #[serde(default, skip_serializing_if = "Option::is_none")]
            warming: Option<Warming>,
        },
        /// An engine or a plain back end.
        Upstream {
            /// The upstream's name.
            name: String,
            /// The service that the upstream belongs to.
            service: String,
            /// The failure domain of the upstream.
            domain: String,
            /// The phases that the upstream runs.
            role: Role,
            /// The HTTP address as `IP:PORT`.
            address: String,
            /// Whether the upstream refuses orders with an outdated fencing number.
            fenced: bool,
        },
        /// The capacities and times of a model service's engines.
        Engines {
            /// The model service.
            service: String,
            /// The values that apply to each engine.
            terms: EngineTerms,
        },
        /// The cost and priority of a team's requests, and where they may be run.
        Tariff {
            /// The team.
            team: String,
            /// The tokens charged for a request that states no token count.
            plain_tokens: u32,
            /// Whether the team has a rate limit.
            is_limited: bool,
            /// The priority that overrides the route's, if any; 0 is the highest.
            priority: Option<u8>,
            /// The regions that the requests are bound to; empty if they may be run anywhere.
            #[serde(default, skip_serializing_if = "Vec::is_empty")]
            homes: Vec<String>,
        },
        /// The services and limits for requests with one host and path prefix.
        Route(Route),
        /// The permission of a team to call a service.
        Grant {
            /// The team.
            team: String,
            /// The service.
            service: String,
        },
        /// An issued key, by digest; never read from a sheet.
        Key {
            /// The digest of the key, in hexadecimal.
            digest: String,
            /// The team that the key belongs to.
            team: String,
        },
        /// A withdrawn key, by digest; never removed.
        Withdrawn {
            /// The digest of the key, in hexadecimal.
            digest: String,
        },
    }
}

impl Row {
    /// Whether the row comes from a sheet or the platform rather than from a key command.
    pub const fn is_planned(&self) -> bool {
        !matches!(self, Self::Key { .. } | Self::Withdrawn { .. })
    }

    /// The text that identifies the row, unique within a configuration.
    pub fn identity(&self) -> String {
        match self {
            Self::Domain { name, .. } => format!("domain {name}"),
            Self::Team { name, .. } => format!("team {name}"),
            Self::Service { name, .. } => format!("service {name}"),
            Self::Upstream { name, .. } => format!("upstream {name}"),
            Self::Engines { service, .. } => format!("engines {service}"),
            Self::Tariff { team, .. } => format!("tariff {team}"),
            Self::Route(route) => format!("route {} {}", route.host, route.prefix),
            Self::Grant { team, service } => format!("grant {team} {service}"),
            Self::Key { digest, .. } => format!("key {digest}"),
            Self::Withdrawn { digest } => format!("withdrawn {digest}"),
        }
    }
}
