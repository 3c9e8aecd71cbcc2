//! How many of a service's engines prefill and how many decode.
//!
//! Answers the pattern of engines that start in a proportion that does not fit the
//! traffic: too many prefill engines idle while streams are refused for want of
//! decode memory. A change takes seconds, so it is made before traffic where
//! possible and later only when a proportion has been wrong for a while; a crashed
//! engine is back sooner than a change would help.

use std::collections::HashMap;

use crate::prelude::*;
use crate::registry::Entry;
use crate::sheet::Role;

/// How long a proportion must have been wrong before it is changed.
const SETTLED_AFTER: Duration = Duration::from_secs(8);
/// The same before the first change of a service, when there is no traffic yet.
const FIRST_SETTLED_AFTER: Duration = Duration::from_millis(500);
/// The time between two changes of a service beyond how long a change takes.
const CHANGE_INTERVAL: Duration = Duration::from_secs(12);

/// A change of one engine's role.
#[derive(Debug, Clone, PartialEq)]
pub struct Change {
    /// The engine.
    pub engine: Entry,
    /// Its new role.
    pub role: Role,
}

/// The change that brings a service nearer to its proportion, if one does.
///
/// Neither role ever loses its last engine.
pub fn next_change<'a>(
    engines: impl Iterator<Item = &'a Entry>,
    prefill_share: f64,
) -> Option<Change> {
    let (mut prefill, mut decode) = (Vec::new(), Vec::new());
    for engine in engines {
        match engine.role {
            Some(Role::Prefill) => prefill.push(engine),
            Some(Role::Decode) => decode.push(engine),
            _ => {}
        }
    }
    let total = prefill.len() + decode.len();
    let wanted = ((total as f64 * prefill_share).round() as usize).clamp(1, total.max(2) - 1);
    if prefill.len() > wanted {
        most_crowded(&prefill).map(|engine| Change { engine: engine.clone(), role: Role::Decode })
    } else if prefill.len() < wanted && decode.len() > 1 {
        most_crowded(&decode).map(|engine| Change { engine: engine.clone(), role: Role::Prefill })
    } else {
        None
    }
}

/// An engine of the domain that has the most of them, so that roles stay spread.
fn most_crowded<'a>(engines: &[&'a Entry]) -> Option<&'a Entry> {
    let mut per_domain: HashMap<Tag, usize> = HashMap::new();
    engines.iter().for_each(|engine| *per_domain.entry(engine.domain).or_default() += 1);
    engines.iter().copied().max_by_key(|engine| (per_domain[&engine.domain], engine.tag))
}

/// When the next change of one service may be made.
#[derive(Debug, Clone, Copy, Default)]
pub struct Debounce {
    wrong_since: Option<Instant>,
    changed: Option<Instant>,
}

impl Debounce {
    /// Notes whether a change is wanted; returns whether it is due.
    pub fn is_due(&mut self, is_wanted: bool, now: Instant) -> bool {
        if !is_wanted {
            self.wrong_since = None;
            return false;
        }
        let since = *self.wrong_since.get_or_insert(now);
        let settled = if self.changed.is_none() { FIRST_SETTLED_AFTER } else { SETTLED_AFTER };
        let rested = self.changed.is_none_or(|changed| now >= changed + CHANGE_INTERVAL);
        rested && now >= since + settled
    }

    /// Notes that a change was ordered, or may have been.
    pub const fn record_change(&mut self, now: Instant) {
        self.changed = Some(now);
        self.wrong_since = None;
    }
}

/// How long after a new claim no order may be given.
///
/// An earlier giver's last order arrives at most [`CONFIRMED_FOR`] after it read
/// that its claim still stood; two givers' orders must be 3 s apart.
pub const CLAIM_WAIT: Duration = Duration::from_millis(5_500);
/// How long after a read that confirmed the claim an order may arrive at its engine.
pub const CONFIRMED_FOR: Duration = Duration::from_millis(1_500);
