//! The limits that a host knows, and which of two different statements about an upstream is the later.

use std::collections::HashMap;

use super::cold;
use crate::prelude::*;

/// The highest limit that is believed, in requests a second.
const MAX_PER_S: f64 = 1e6;

plain! { value
    /// What an upstream last said about the requests a second that it takes.
    pub struct Statement {
        /// The upstream.
        pub upstream: Tag,
        /// The upstream's start, in milliseconds since the Unix epoch; 0 if it is unknown.
        pub started_ms: u64,
        /// The number of the statement among those about this start; hosts count on from the last one
        /// that they know.
        pub serial: u32,
        /// The limit in requests a second; `None` once it is lifted.
        pub per_s: Option<f64>,
    }
}

impl Statement {
    /// Whether this statement replaces another one about the same upstream.
    ///
    /// Of two statements with the same number the lower limit holds on all hosts: a limit that is lifted
    /// late costs little.
    fn replaces(&self, other: &Self) -> bool {
        let order = |statement: &Self| (statement.started_ms, statement.serial);
        let rate = |statement: &Self| statement.per_s.unwrap_or(f64::INFINITY);
        order(self) > order(other) || order(self) == order(other) && rate(self) < rate(other)
    }
}

/// What a response says about the limit of its upstream.
#[derive(Debug, Clone, PartialEq)]
pub enum Named {
    /// Nothing; the upstream has no limit when it responds.
    Nothing,
    /// This limit, in requests a second.
    Limit(f64),
    /// Something that is no limit.
    Malformed(String),
}

impl Named {
    /// Decodes the values of a response's header; of several limits the lowest counts.
    pub fn parse<'a>(values: impl IntoIterator<Item = &'a str>) -> Self {
        let mut named = Self::Nothing;
        for part in values.into_iter().flat_map(|value| value.split(',')) {
            let limit: Option<f64> = part.trim().parse().ok();
            let limit = limit.filter(|limit| *limit > 0.0 && *limit <= MAX_PER_S);
            named = match (named, limit) {
                (Self::Limit(other), Some(limit)) => Self::Limit(limit.min(other)),
                (_, Some(limit)) => Self::Limit(limit),
                (Self::Nothing, None) => Self::Malformed(part.trim().to_owned()),
                (other, None) => other,
            };
        }
        named
    }
}

/// What one response said.
#[derive(Debug, Clone, PartialEq)]
pub struct Seen {
    /// The upstream that responded.
    pub upstream: Tag,
    /// The start of the upstream for which the request was meant.
    pub started_ms: u64,
    /// When the request was sent.
    pub sent_at: Instant,
    /// What the response said.
    pub named: Named,
}

#[derive(Debug, Clone, Copy)]
struct Known {
    statement: Statement,
    /// When this host learned the statement or last saw a response that confirmed it.
    confirmed_at: Instant,
}

/// The limits that one host knows.
#[derive(Debug, Clone, Default)]
pub struct Table {
    known: HashMap<Tag, Known>,
    /// The upstreams that are limited because they are cold.
    pub cold: cold::Table,
}

/// The number of a statement that no response has made: its upstream is cold.
///
/// Those that responses make are numbered from 1, so each of them replaces it on hosts that do not know
/// its meaning.
pub const COLD_SERIAL: u32 = 0;

impl Table {
    /// The statement in force about a start of an upstream, if it names a limit.
    pub fn limit(&self, upstream: Tag, started_ms: u64) -> Option<Statement> {
        let statement = self.known.get(&upstream)?.statement;
        (statement.per_s.is_some() && statement.started_ms >= started_ms).then_some(statement)
    }

    /// The limit in force for a start of an upstream: the one that it names, or that of a cold upstream if
    /// that is lower.
    pub fn effective(&self, upstream: Tag, started_ms: u64, now: Instant) -> Option<Statement> {
        let named = self.limit(upstream, started_ms);
        let Some(rate) = self.cold.rate(upstream, now) else { return named };
        if named.and_then(|named| named.per_s).is_some_and(|per_s| per_s <= rate) {
            return named;
        }
        Some(Statement { upstream, started_ms, serial: COLD_SERIAL, per_s: Some(rate) })
    }

    /// All statements, including those by which a limit was lifted.
    pub fn statements(&self) -> impl Iterator<Item = Statement> {
        self.known.values().map(|known| known.statement)
    }

    /// Whether nothing is known of any upstream.
    pub fn is_empty(&self) -> bool {
        self.known.is_empty()
    }

    /// Whether a response of the upstream that names no limit may change anything.
    pub fn is_limited(&self, upstream: Tag) -> bool {
        self.known.get(&upstream).is_some_and(|known| known.statement.per_s.is_some())
    }

    /// Takes a response into account; returns the statement if it is a new one.
    ///
    /// A response lifts a limit only if its request was sent after the limit was last confirmed
    /// here, because one sent before may have been answered before the upstream named it. For the
    /// same reason such a response does not raise a limit.
    pub fn observe(&mut self, seen: &Seen, now: Instant) -> Option<Statement> {
        let per_s = match seen.named {
            Named::Nothing => None,
            Named::Limit(limit) => Some(limit),
            Named::Malformed(_) => return None,
        };
        let Some(known) = self.known.get_mut(&seen.upstream) else {
            per_s?;
            let Seen { upstream, started_ms, .. } = *seen;
            let statement = Statement { upstream, started_ms, serial: 1, per_s };
            self.known.insert(upstream, Known { statement, confirmed_at: now });
            return Some(statement);
        };
        if seen.started_ms < known.statement.started_ms {
            return None;
        }
        if seen.started_ms > known.statement.started_ms {
            per_s?;
            let statement =
                Statement { started_ms: seen.started_ms, serial: 1, per_s, ..known.statement };
            *known = Known { statement, confirmed_at: now };
            return Some(statement);
        }
        if per_s == known.statement.per_s {
            known.confirmed_at = now;
            return None;
        }
        let rate = |per_s: Option<f64>| per_s.unwrap_or(f64::INFINITY);
        let is_later = seen.sent_at > known.confirmed_at;
        if !is_later && rate(per_s) > rate(known.statement.per_s) {
            return None;
        }
        let statement = Statement { serial: known.statement.serial + 1, per_s, ..known.statement };
        *known = Known { statement, confirmed_at: now };
        Some(statement)
    }

    /// Takes a statement of another host into account; returns whether it is new here.
    pub fn merge(&mut self, statement: &Statement, now: Instant) -> bool {
        let known = Known { statement: *statement, confirmed_at: now };
        match self.known.get_mut(&statement.upstream) {
            Some(own) if !statement.replaces(&own.statement) => false,
            Some(own) => {
                *own = known;
                true
            }
            None => {
                self.known.insert(statement.upstream, known);
                true
            }
        }
    }

    /// Forgets upstreams for which `is_running` is false; returns whether there were any.
    ///
    /// It is called with the upstream and the start that a statement is about.
    pub fn retain(&mut self, mut is_running: impl FnMut(Tag, u64) -> bool) -> bool {
        let before = self.known.len();
        self.known.retain(|upstream, known| is_running(*upstream, known.statement.started_ms));
        self.known.len() < before
    }
}
