//! The requests and parts of prompts that are known not to crash upstreams.

use std::collections::HashMap;

use super::fingerprint::is_part;
use super::{MAX_FINGERPRINTS, RETENTION};
use crate::prelude::*;

/// How long a part under which an upstream has completed a response gets no strikes.
///
/// Crashes that follow at once are then attributed to the parts that responses are not completed
/// under. A part that begins to crash upstreams later gets strikes from then on.
const PROVEN_FOR: Duration = Duration::from_secs(10);

plain! { data
    /// A complete response under a fingerprint, as hosts tell each other.
    pub struct Proof {
        /// The fingerprint of the request, or of a part of its prompt.
        pub fingerprint: Tag,
        /// The time since the response was complete.
        pub age: Duration,
    }
}

/// The complete responses under a fingerprint.
#[derive(Debug, Clone, Copy)]
struct Completed {
    latest: Instant,
    is_repeated: bool,
}

/// The fingerprints under which upstreams have completed responses, as far as one host knows.
#[derive(Debug, Clone, Default)]
pub struct Proven {
    completed: HashMap<Tag, Completed>,
}

impl Proven {
    /// Records a complete response under a fingerprint.
    pub fn record(&mut self, fingerprint: Tag, completed_at: Instant) {
        if let Some(known) = self.completed.get_mut(&fingerprint) {
            known.is_repeated = true;
            known.latest = known.latest.max(completed_at);
            return;
        }
        if self.completed.len() >= MAX_FINGERPRINTS {
            self.make_room(completed_at);
        }
        let completed = Completed { latest: completed_at, is_repeated: false };
        self.completed.insert(fingerprint, completed);
    }

    /// Whether a crash is not attributed to the fingerprint, a part of prompts under which a response was
    /// completed lately.
    pub fn contains(&self, fingerprint: Tag, now: Instant) -> bool {
        let latest = self.latest(fingerprint, now).filter(|_at| is_part(fingerprint));
        latest.is_some_and(|at| now.saturating_duration_since(at) < PROVEN_FOR)
    }

    /// When the latest response under the fingerprint was complete, within [`RETENTION`].
    pub fn latest(&self, fingerprint: Tag, now: Instant) -> Option<Instant> {
        let latest = self.completed.get(&fingerprint)?.latest;
        (now.saturating_duration_since(latest) < RETENTION).then_some(latest)
    }

    /// Removes what has expired and the older half of the rest.
    ///
    /// Fingerprints with one response go first: most are of requests that are never repeated.
    fn make_room(&mut self, now: Instant) {
        self.completed.retain(|_, known| now.saturating_duration_since(known.latest) < RETENTION);
        let rank = |known: &Completed| (known.is_repeated, known.latest);
        let mut ranks: Vec<_> = self.completed.values().map(rank).collect();
        if ranks.len() < MAX_FINGERPRINTS {
            return;
        }
        let (_, median, _) = ranks.select_nth_unstable(MAX_FINGERPRINTS / 2);
        let median = *median;
        self.completed.retain(|_, known| rank(known) > median);
    }
}
