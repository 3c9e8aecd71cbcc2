//! The upstreams that are cold, as one host knows them.
//!
//! An upstream that has just started, or that was emptied, bears few requests a second for some seconds.
//! While it is cold its service's warming rate limits it like a limit that it names itself, over all
//! hosts together. See [docs/design/cold-engines.md](../../../../docs/design/cold-engines.md).

use std::collections::HashMap;
use std::sync::Arc;

use crate::prelude::*;

/// The longest time for which one statement makes an upstream cold.
///
/// An upstream that states an hour by mistake is not throttled for that long.
pub const MAX_COLD: Duration = Duration::from_mins(1);

/// What the list of upstreams says of one start of an upstream.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Listed {
    /// The upstream.
    pub upstream: Tag,
    /// Its start, in milliseconds since the Unix epoch; 0 if it is unknown.
    pub started_ms: u64,
    /// How much longer it was cold when it wrote its entry.
    pub left: Duration,
    /// How long upstreams of its service are cold after a start.
    pub after_start: Duration,
    /// The requests a second that it takes from all hosts while it is cold; `None` if its service names
    /// no warming rate.
    pub per_s: Option<f64>,
}

#[derive(Debug, Clone, Copy)]
struct Known {
    listed: Listed,
    /// Until when it is cold. The time left counts from when this host learns it, so that it ends rather
    /// late than early.
    until: Instant,
}

/// What a list of upstreams has changed.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct News {
    /// Upstreams that have become cold.
    pub cold: Vec<Listed>,
    /// Upstreams that are not listed any more.
    pub ended: Vec<Tag>,
}

/// The upstreams of one host's list, and until when they are cold; clones share them.
#[derive(Debug, Clone, Default)]
pub struct Table {
    known: Arc<HashMap<Tag, Known>>,
}

impl Table {
    /// Takes the list of upstreams into account.
    ///
    /// What the list says of an upstream counts once: an entry that is listed again unchanged does not
    /// make it cold again. A later start of a known upstream is cold for as long as its service says, also
    /// where its entry does not say so yet.
    pub fn observe(&mut self, listed: impl IntoIterator<Item = Listed>, now: Instant) -> News {
        let mut known = HashMap::new();
        let mut news = News::default();
        for listed in listed {
            let earlier = self.known.get(&listed.upstream);
            let until = match earlier {
                Some(earlier) if is_same(&earlier.listed, &listed) => earlier.until,
                Some(earlier) if earlier.listed.started_ms < listed.started_ms => {
                    now + listed.left.max(listed.after_start).min(MAX_COLD)
                }
                _ => now + listed.left.min(MAX_COLD),
            };
            let was_cold = earlier.is_some_and(|known| known.until > now);
            if listed.per_s.is_some() && until > now && !was_cold {
                news.cold.push(listed);
            }
            known.insert(listed.upstream, Known { listed, until });
        }
        let ended = self.known.keys().filter(|upstream| !known.contains_key(*upstream));
        news.ended = ended.copied().collect();
        self.known = Arc::new(known);
        news
    }

    /// The requests a second that an upstream takes from all hosts; `None` if it is not cold.
    pub fn rate(&self, upstream: Tag, now: Instant) -> Option<f64> {
        let known = self.known.get(&upstream).filter(|known| known.until > now)?;
        known.listed.per_s
    }

    /// The upstreams that are cold.
    pub fn cold(&self, now: Instant) -> impl Iterator<Item = Tag> {
        self.known.iter().filter_map(move |(upstream, known)| {
            (known.until > now && known.listed.per_s.is_some()).then_some(*upstream)
        })
    }
}

/// Whether two entries say the same of an upstream's time to be cold.
fn is_same(one: &Listed, other: &Listed) -> bool {
    (one.started_ms, one.left) == (other.started_ms, other.left)
}
