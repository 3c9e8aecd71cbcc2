//! The order in which requests of one service that wait on one host look for room.
//!
//! Without an order, room goes to whoever asks first after it becomes free, so urgent requests
//! fare no better than others, and a team fares the better the more it sends. Requests
//! therefore take turns: the most urgent first, then the team with the fewest grants lately, then
//! the oldest. Whoever would get less than a fraction of the share of all is owed a grant, and
//! a request that others have passed too often holds back those that are no more urgent, so that
//! small ones do not take the room that it waits for.

use std::collections::HashMap;

use crate::prelude::*;

/// The pause of a request between two turns.
const TURN_PAUSE: Duration = Duration::from_millis(20);
/// The time that a request has for its turn before the next one may begin.
const MAX_TURN: Duration = Duration::from_millis(40);
/// The fraction of the share of all waiting requests that each priority and each team gets at least.
const FLOOR: f64 = 0.25;
/// The maximum number of grants that a priority or a team is owed, or has had in advance.
const MAX_OWED: f64 = 4.0;
/// The weight of one request in the share that is granted.
const SHARE_WEIGHT: f64 = 0.05;
/// The time constant with which grants to a team lose weight.
const GRANT_MEMORY: Duration = Duration::from_secs(5);
/// The number of grants to others behind it after which a request holds back the others.
const MAX_PASSES: u32 = 6;
/// The longest time for which a request holds back the others.
const MAX_HOLD: Duration = Duration::from_millis(400);
/// The number of teams and priorities that are remembered while none of their requests wait.
const MAX_REMEMBERED: usize = 1_024;

plain! { value
    /// How urgent a request is, and on whose behalf it was sent.
    #[derive(Eq, Hash)]
    pub struct Rank {
        /// The priority, 0 being the highest.
        pub priority: u8,
        /// The team.
        pub team: Tag,
    }
}

/// The number of a waiting request, counted up from the oldest.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Ticket(u64);

/// A waiting request.
#[derive(Debug, Clone)]
struct Waiter {
    ticket: Ticket,
    rank: Rank,
    /// The room that it needs.
    size: u32,
    /// When its current or last turn began; `None` before the first.
    turn_at: Option<Instant>,
    /// Whether it has not ended its last turn; others wait for it for [`MAX_TURN`] at most.
    is_asking: bool,
    /// Grants to others that came after it in the order.
    passes: u32,
    /// Until when it holds back the others, once they have passed it too often.
    holds_until: Option<Instant>,
}

/// What a priority or a team was granted.
#[derive(Debug, Clone, Copy)]
struct Account {
    /// Grants that it is owed so that it gets [`FLOOR`] of the share of all.
    owed: f64,
    /// Grants lately, as of `at`.
    grants: f64,
    at: Instant,
}

impl Account {
    const fn new(now: Instant) -> Self {
        Self { owed: 0.0, grants: 0.0, at: now }
    }

    /// Grants lately, as of `now`.
    fn lately(&self, now: Instant) -> f64 {
        let age = now.saturating_duration_since(self.at).as_secs_f64();
        self.grants * (-age / GRANT_MEMORY.as_secs_f64()).exp()
    }

    fn enter(&mut self, share: f64) {
        self.owed = (self.owed + FLOOR * share).min(MAX_OWED);
    }

    fn grant(&mut self, now: Instant) {
        self.owed = (self.owed - 1.0).max(-MAX_OWED);
        self.grants = self.lately(now) + 1.0;
        self.at = now;
    }

    fn is_owed(&self) -> bool {
        self.owed >= 1.0
    }
}

/// The requests of one service that wait on one host.
#[derive(Debug, Clone)]
pub struct Contest {
    waiting: Vec<Waiter>,
    entered: u64,
    /// The share of the requests that got room, of those that waited lately.
    share: f64,
    priorities: HashMap<u8, Account>,
    teams: HashMap<Rank, Account>,
}

impl Default for Contest {
    fn default() -> Self {
        Self {
            waiting: Vec::new(),
            entered: 0,
            share: 1.0,
            priorities: HashMap::new(),
            teams: HashMap::new(),
        }
    }
}

impl Contest {
    /// Whether no request waits, so that a new one need not wait for others either.
    pub const fn is_idle(&self) -> bool {
        self.waiting.is_empty()
    }

    /// Adds a request that waits for room of this size, in any unit that is the same for all.
    pub fn enter(&mut self, rank: Rank, size: u32, now: Instant) -> Ticket {
        if self.teams.len() >= MAX_REMEMBERED {
            let waiting: Vec<Rank> = self.waiting.iter().map(|waiter| waiter.rank).collect();
            self.teams.retain(|rank, _| waiting.contains(rank));
        }
        self.entered += 1;
        let ticket = Ticket(self.entered);
        let share = self.share;
        self.priorities.entry(rank.priority).or_insert(Account::new(now)).enter(share);
        self.teams.entry(rank).or_insert(Account::new(now)).enter(share);
        let waiter = Waiter {
            ticket,
            rank,
            size,
            turn_at: None,
            is_asking: false,
            passes: 0,
            holds_until: None,
        };
        self.waiting.push(waiter);
        ticket
    }

    /// Whether a request may look for room now; if so, its turn begins.
    ///
    /// Its turn ends with [`Self::leave`], with [`Self::rest`] or after a short time.
    pub fn may_go(&mut self, ticket: Ticket, now: Instant) -> bool {
        if !self.is_next(ticket, now) {
            return false;
        }
        let Some(waiter) = self.waiting.iter_mut().find(|waiter| waiter.ticket == ticket) else {
            return false;
        };
        waiter.turn_at = Some(now);
        waiter.is_asking = true;
        if waiter.passes >= MAX_PASSES && waiter.holds_until.is_none() {
            waiter.holds_until = Some(now + MAX_HOLD);
        }
        true
    }

    /// Ends the turn of a request that has found no room.
    pub fn rest(&mut self, ticket: Ticket, now: Instant) {
        let waiter = self.waiting.iter_mut().find(|waiter| waiter.ticket == ticket);
        if let Some(waiter) = waiter {
            waiter.is_asking = false;
            // The others need not wait for the end of the turn.
            waiter.turn_at = Some(now.checked_sub(MAX_TURN).unwrap_or(now));
            if waiter.holds_until.is_some_and(|until| until <= now) {
                (waiter.passes, waiter.holds_until) = (0, None);
            }
        }
    }

    /// Removes a request, which has got room or has given up.
    pub fn leave(&mut self, ticket: Ticket, is_granted: bool, now: Instant) {
        let Some(at) = self.waiting.iter().position(|waiter| waiter.ticket == ticket) else {
            return;
        };
        let left = self.waiting.remove(at);
        let outcome = if is_granted { 1.0 } else { 0.0 };
        self.share += SHARE_WEIGHT * (outcome - self.share);
        if !is_granted {
            return;
        }
        let place = self.order(&left, now);
        let passed: Vec<bool> =
            self.waiting.iter().map(|waiter| self.order(waiter, now) < place).collect();
        for (waiter, is_passed) in self.waiting.iter_mut().zip(passed) {
            waiter.passes += u32::from(is_passed);
        }
        self.priorities.entry(left.rank.priority).or_insert(Account::new(now)).grant(now);
        self.teams.entry(left.rank).or_insert(Account::new(now)).grant(now);
    }

    /// Whether a request may begin a turn: none has one, and neither it nor one before it that needs no
    /// more room has found none just now.
    ///
    /// A request that is still asking after its time, at an engine that does not respond, says nothing of the
    /// room for others.
    fn is_next(&self, ticket: Ticket, now: Instant) -> bool {
        let age = |waiter: &Waiter| waiter.turn_at.map(|at| now.saturating_duration_since(at));
        let is_rested = |waiter: &Waiter| {
            !waiter.is_asking && age(waiter).is_none_or(|age| age >= MAX_TURN + TURN_PAUSE)
        };
        let own = self.waiting.iter().find(|waiter| waiter.ticket == ticket);
        let Some(own) = own.filter(|own| is_rested(own)) else { return false };
        if self.waiting.iter().any(|waiter| age(waiter).is_some_and(|age| age < MAX_TURN)) {
            return false;
        }
        let place = self.order(own, now);
        !self.waiting.iter().filter(|other| other.ticket != ticket).any(|other| {
            let is_holding = other.holds_until.is_some_and(|until| until > now)
                && other.rank.priority <= own.rank.priority;
            let found_none = !other.is_asking && other.size <= own.size;
            let is_before = is_rested(other) || found_none || is_holding;
            is_before && self.order(other, now) < place
        })
    }

    /// What requests are ordered by; the least has the next turn.
    fn order(&self, waiter: &Waiter, now: Instant) -> (bool, u8, bool, bool, f64, Ticket) {
        let Waiter { ticket, rank, passes, .. } = waiter;
        let is_priority_owed = self.priorities.get(&rank.priority).is_some_and(Account::is_owed);
        let team = self.teams.get(rank);
        let is_team_owed = team.is_some_and(Account::is_owed);
        let grants = team.map_or(0.0, |team| team.lately(now));
        let is_passed = *passes >= MAX_PASSES;
        (!is_priority_owed, rank.priority, !is_passed, !is_team_owed, grants, *ticket)
    }
}
