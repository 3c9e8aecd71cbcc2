//! Crashes and strikes as hosts tell them to each other.

use super::Fingerprints;
use crate::prelude::*;

plain! { data
    /// A run of an upstream that ended.
    #[derive(Eq)]
    pub struct Crash {
        /// The tag of the upstream.
        pub upstream: Tag,
        /// When the run started, in milliseconds since the Unix epoch; 0 if that is unknown.
        pub started_ms: u64,
        /// The name of the upstream, for operators.
        pub name: String,
    }
}

plain! { data
    /// A crash of one upstream while it ran a request.
    pub struct Strike {
        /// The fingerprint of the request; see [`fingerprint`].
        pub fingerprint: Tag,
        /// The run of the upstream that ended.
        pub crash: Crash,
        /// How long the request had been at the upstream.
        pub ran_for: Duration,
    }
}

impl Strike {
    /// The strikes for a crash at `broke_at` of everything that may have caused it.
    pub fn all(
        fingerprints: &Fingerprints,
        crash: &Crash,
        sent_at: Instant,
        broke_at: Instant,
    ) -> Vec<Self> {
        let all = fingerprints.all();
        all.map(|own| Self::new(own, crash.clone(), sent_at, broke_at)).collect()
    }

    /// A strike for a crash at `broke_at` of a request that was sent to the upstream at `sent_at`.
    pub fn new(fingerprint: Tag, crash: Crash, sent_at: Instant, broke_at: Instant) -> Self {
        Self { fingerprint, crash, ran_for: broke_at.saturating_duration_since(sent_at) }
    }
}

plain! { data
    /// A strike as hosts tell it to each other.
    pub struct Report {
        /// The strike.
        pub strike: Strike,
        /// The time since the crash.
        pub age: Duration,
        /// Whether a later request with the fingerprint got a complete response.
        pub is_cleared: bool,
    }
}
