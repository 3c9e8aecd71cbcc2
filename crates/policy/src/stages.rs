//! Balances a service's engines between the prefill and the decode role.
//!
//! Engines may start in a proportion that does not fit the traffic: prefill
//! engines idle while streams are refused because decode memory is full. A role
//! change takes seconds, so it is made before traffic arrives where possible, and
//! later only when the proportion has been wrong for some time: a crashed engine
//! restarts sooner than a role change would help.

use std::collections::HashMap;

use crate::prelude::*;
use crate::registry::Entry;
use crate::sheet::Role;

/// Time for which a proportion must have been wrong before a role is changed.
const SETTLED_AFTER: Duration = Duration::from_secs(8);
/// The same before the first change of a service's first pool, when it has no traffic yet.
const FIRST_SETTLED_AFTER: Duration = Duration::from_millis(500);
/// Shortest time between two changes of a pool, longer than one change takes.
const CHANGE_INTERVAL: Duration = Duration::from_secs(12);

/// A change of one engine's role.
#[derive(Debug, Clone, PartialEq)]
pub struct Change {
    /// The engine to change.
    pub engine: Entry,
    /// Its new role.
    pub role: Role,
}

/// The fewest engines of a software version whose roles are balanced apart from other versions.
///
/// Of fewer than three, a prefill engine would be a half.
const MIN_VERSION_ENGINES: usize = 3;

/// Divides a service's engines into pools in which prefills and decodes go together.
///
/// While several software versions serve, each is a pool of its own, since engines of different ones
/// do not work together. A version of a few engines is none: it comes or goes.
pub fn pools<'a>(engines: impl Iterator<Item = &'a Entry>) -> HashMap<Tag, Vec<&'a Entry>> {
    let mut pools: HashMap<Tag, Vec<&Entry>> = HashMap::new();
    engines.for_each(|engine| pools.entry(engine.software).or_default().push(engine));
    if pools.len() > 1 {
        pools.retain(|_, engines| engines.len() >= MIN_VERSION_ENGINES);
    }
    pools
}

/// The change that brings a pool of engines closer to `prefill_share`, or `None` if none does.
///
/// A role never loses its last engine.
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
        engine_of_largest_domain(&prefill)
            .map(|engine| Change { engine: engine.clone(), role: Role::Decode })
    } else if prefill.len() < wanted && decode.len() > 1 {
        engine_of_largest_domain(&decode)
            .map(|engine| Change { engine: engine.clone(), role: Role::Prefill })
    } else {
        None
    }
}

/// An engine of the domain with the most of these engines, so that roles stay spread.
fn engine_of_largest_domain<'a>(engines: &[&'a Entry]) -> Option<&'a Entry> {
    let mut per_domain: HashMap<Tag, usize> = HashMap::new();
    engines.iter().for_each(|engine| *per_domain.entry(engine.domain).or_default() += 1);
    engines.iter().copied().max_by_key(|engine| (per_domain[&engine.domain], engine.tag))
}

/// Delays the role changes of one pool until its proportion has been wrong for long enough.
#[derive(Debug, Clone, Copy, Default)]
pub struct Debounce {
    /// Since when a change has been wanted without interruption.
    wanted_since: Option<Instant>,
    /// When the last change was ordered; `None` before the first.
    changed_at: Option<Instant>,
    /// Whether the first change waits as long as later ones do.
    is_growing: bool,
}

impl Debounce {
    /// The debounce of a pool that appears while others serve, and may still grow.
    pub const fn growing() -> Self {
        Self { wanted_since: None, changed_at: None, is_growing: true }
    }

    /// Updates the debounce with whether a change is wanted, and returns whether it is due now.
    pub fn is_due(&mut self, is_wanted: bool, now: Instant) -> bool {
        if !is_wanted {
            self.wanted_since = None;
            return false;
        }
        let since = *self.wanted_since.get_or_insert(now);
        let is_first = self.changed_at.is_none() && !self.is_growing;
        let settled = if is_first { FIRST_SETTLED_AFTER } else { SETTLED_AFTER };
        let is_interval_over =
            self.changed_at.is_none_or(|changed_at| now >= changed_at + CHANGE_INTERVAL);
        is_interval_over && now >= since + settled
    }

    /// Records that a change was ordered, or may have been.
    pub const fn record_change(&mut self, now: Instant) {
        self.changed_at = Some(now);
        self.wanted_since = None;
    }
}

/// Time after a new claim during which its holder may not order a role change.
///
/// The last order of the previous holder arrives at most [`CONFIRMED_FOR`] after it read that its
/// claim was still in force; orders of two holders must be at least 3 s apart.
pub const CLAIM_WAIT: Duration = Duration::from_millis(5_500);
/// Time after a read that confirmed the claim within which an order may arrive at its engine.
pub const CONFIRMED_FOR: Duration = Duration::from_millis(1_500);
