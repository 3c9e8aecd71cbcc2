//! The parts of prompts that are known not to crash upstreams.

use std::collections::HashMap;

use super::MAX_FINGERPRINTS;
use crate::prelude::*;

/// How long a part under which an upstream has completed a response gets no strikes.
///
/// Crashes that follow at once are then attributed to the parts that responses are not completed
/// under. A part that begins to crash upstreams later gets strikes from then on.
const PROVEN_FOR: Duration = Duration::from_secs(10);
/// The parts of prompts under which upstreams have lately completed responses, as seen by one host.
#[derive(Debug, Clone, Default)]
pub struct Proven {
    completed_at: HashMap<Tag, Instant>,
}

impl Proven {
    /// Records a complete response under a part.
    pub fn record(&mut self, part: Tag, completed_at: Instant) {
        if self.completed_at.len() >= MAX_FINGERPRINTS {
            self.completed_at
                .retain(|_, at| completed_at.saturating_duration_since(*at) < PROVEN_FOR);
        }
        if self.completed_at.len() < MAX_FINGERPRINTS {
            self.completed_at.insert(part, completed_at);
        }
    }

    /// Whether a crash is not attributed to the part, because a response was completed lately.
    pub fn contains(&self, part: Tag, now: Instant) -> bool {
        let completed_at = self.completed_at.get(&part);
        completed_at.is_some_and(|at| now.saturating_duration_since(*at) < PROVEN_FOR)
    }
}
