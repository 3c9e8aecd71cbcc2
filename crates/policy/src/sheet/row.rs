//! The records of a configuration.

use crate::plain;
use crate::routing::Route;

plain! { value
    /// What a service's upstreams are.
    #[derive(Eq)]
    #[serde(rename_all = "lowercase")]
    pub enum Kind {
        /// Model engines, reached by prefill and decode.
        Model,
        /// Plain HTTP services.
        Plain,
    }
}

plain! { value
    /// Which phase an engine runs.
    #[derive(Eq)]
    #[serde(rename_all = "lowercase")]
    pub enum Role {
        /// Prefill only.
        Prefill,
        /// Decode only.
        Decode,
        /// Prefill and decode.
        Both,
        /// A plain service's back end.
        Plain,
    }
}

plain! { value
    /// What every engine of a model service can hold.
    #[derive(Default)]
    pub struct EngineTerms {
        /// Requests that an engine decodes at once.
        pub slots: u32,
        /// Tokens of KV cache that an engine's memory holds.
        pub memory_tokens: u32,
        /// Tokens that one event of a stream carries.
        pub event_tokens: u32,
        /// How long an exported KV cache is kept, in milliseconds.
        pub export_ttl_ms: u32,
        /// The longest reservation, in milliseconds.
        pub reservation_ms: u32,
        /// How long an engine takes to change its role, in milliseconds.
        pub role_change_ms: u32,
    }
}

plain! { data
    /// One record of a configuration.
    pub enum Row {
        /// A failure domain.
        Domain {
            /// Its name.
            name: String,
            /// Its part of every team's rate and burst; all sum to 1.
            share: f64,
        },
        /// A team.
        Team {
            /// Its name.
            name: String,
            /// Tokens per second over all hosts.
            rate: f64,
            /// Tokens at once over all hosts.
            burst: f64,
        },
        /// A service.
        Service {
            /// Its name, which callers use as model or path.
            name: String,
            /// Model or plain.
            kind: Kind,
            /// Whether callers need no key.
            open: bool,
            /// Whether a call may run more than once.
            repeatable: bool,
        },
        /// An engine or a plain back end.
        Upstream {
            /// Its name.
            name: String,
            /// The service it belongs to.
            service: String,
            /// The domain it stands in.
            domain: String,
            /// The phase it runs.
            role: Role,
            /// Its HTTP address, IP and port.
            address: String,
            /// Whether it refuses orders with an old fencing number.
            fenced: bool,
        },
        /// What the engines of a model service can hold.
        Engines {
            /// The service.
            service: String,
            /// What each holds.
            terms: EngineTerms,
        },
        /// How a team's requests are counted and ranked.
        Tariff {
            /// The team.
            team: String,
            /// Tokens that a request costs which names no number of its own.
            plain_tokens: u32,
            /// Whether the team has a rate at all.
            is_limited: bool,
            /// The rank of the team's requests in place of their route's, 0 first.
            priority: Option<u8>,
        },
        /// Where requests for a host and path prefix go.
        Route(Route),
        /// Leave for a team to call a service.
        Grant {
            /// The team.
            team: String,
            /// The service.
            service: String,
        },
        /// An issued key, by digest; it never comes from a sheet.
        Key {
            /// Hexadecimal digest of the key.
            digest: String,
            /// The team it belongs to.
            team: String,
        },
        /// A withdrawn key, by digest; it is never removed.
        Withdrawn {
            /// Hexadecimal digest of the key.
            digest: String,
        },
    }
}

impl Row {
    /// Whether the row comes from a sheet rather than from key commands.
    pub const fn is_planned(&self) -> bool {
        !matches!(self, Self::Key { .. } | Self::Withdrawn { .. })
    }

    /// What the row is about, unique within a configuration.
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
