//! Start-time fair queueing over teams, in an on-time lane and a late lane.
//!
//! Within a team the earliest deadline goes first. All operations cost the
//! logarithm of the queue.

use std::collections::{BTreeSet, HashMap};

use super::message::Demand;
use crate::prelude::*;

/// Idle teams remembered before those that have no debt are looked for.
const FINISHED_SLACK: usize = 1_024;

/// A point in a lane's virtual time, in tokens per weight.
#[derive(Debug, Clone, Copy, PartialEq)]
struct Virtual(f64);

impl Eq for Virtual {}

impl PartialOrd for Virtual {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Virtual {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        self.0.total_cmp(&other.0)
    }
}

/// A demand with the times worked out when it came.
#[derive(Debug, Clone, PartialEq)]
pub struct Entry {
    /// The demand.
    pub demand: Demand,
    /// When it came.
    pub since: Instant,
    /// When its first token is due.
    pub due: Instant,
    /// The last moment at which a start still meets the first-token target.
    pub latest_start: Instant,
    /// When its caller gives up.
    pub patience_end: Instant,
    /// When its host last claimed it.
    pub claimed: Instant,
    /// Whether it is in the late lane.
    pub is_late: bool,
}

#[derive(Debug, Clone)]
struct Flow {
    /// Where the flow stands in the order: its next start less the credit.
    key: Virtual,
    /// The end of what was served, without credit.
    finish: f64,
    weight: f64,
    cost: f64,
    demands: BTreeSet<(Instant, Request)>,
}

/// The flows of one lane.
#[derive(Debug, Clone, Default)]
struct Lane {
    credit: f64,
    now: f64,
    weight: f64,
    cost: f64,
    flows: HashMap<Tag, Flow>,
    order: BTreeSet<(Virtual, Tag)>,
    finished: HashMap<Tag, f64>,
}

impl Lane {
    fn push(&mut self, entry: &Entry) {
        let team = entry.demand.team;
        if !self.flows.contains_key(&team) {
            let finish = self.finished.remove(&team).unwrap_or(0.0);
            let key = self.key(finish);
            let weight = entry.demand.weight.max(1.0);
            let flow = Flow { key, finish, weight, cost: 0.0, demands: BTreeSet::new() };
            self.weight += weight;
            self.order.insert((key, team));
            self.flows.insert(team, flow);
        }
        let flow = self.flows.get_mut(&team).expect("the flow was just made");
        flow.cost += entry.demand.cost();
        self.cost += entry.demand.cost();
        flow.demands.insert((entry.due, entry.demand.request));
    }

    fn remove(&mut self, entry: &Entry) {
        let Some(flow) = self.flows.get_mut(&entry.demand.team) else {
            return;
        };
        if flow.demands.remove(&(entry.due, entry.demand.request)) {
            flow.cost -= entry.demand.cost();
            self.cost -= entry.demand.cost();
        }
        if flow.demands.is_empty() {
            self.retire(entry.demand.team);
        }
    }

    fn first(&self) -> Option<Request> {
        let (_, team) = self.order.first()?;
        self.flows[team].demands.first().map(|(_, request)| *request)
    }

    /// Charges the team of `entry`, which leaves the lane because it is served.
    fn serve(&mut self, entry: &Entry) {
        let team = entry.demand.team;
        let Some(flow) = self.flows.get_mut(&team) else { return };
        self.order.remove(&(flow.key, team));
        self.now = self.now.max(flow.key.0);
        flow.finish = flow.finish.max(self.now) + entry.demand.cost() / flow.weight;
        flow.key = Virtual(self.now.max(flow.finish - self.credit));
        self.order.insert((flow.key, team));
        self.remove(entry);
    }

    /// Where a flow stands that has been served up to `finish`.
    ///
    /// The credit lets a team that is within its share on average send a few
    /// requests at once; one that always has requests waiting has used it up.
    fn key(&self, finish: f64) -> Virtual {
        Virtual(self.now.max(finish - self.credit))
    }

    fn retire(&mut self, team: Tag) {
        let Some(flow) = self.flows.remove(&team) else {
            return;
        };
        self.order.remove(&(flow.key, team));
        self.weight -= flow.weight;
        self.finished.insert(team, flow.finish);
        if self.finished.len() > self.flows.len() + FINISHED_SLACK {
            let now = self.now;
            self.finished.retain(|_, finished| *finished > now);
        }
    }

    /// The cost ahead of a new demand of `team`, as if each flow got its weight's part.
    fn cost_ahead(&self, team: Tag, weight: f64, cost: f64) -> f64 {
        let own = self.flows.get(&team);
        let queued = own.map_or(0.0, |flow| flow.cost) + cost;
        let weight = weight.max(1.0);
        let others = self.weight - own.map_or(0.0, |flow| flow.weight);
        let fair = queued * (others + weight) / weight;
        fair.min(self.cost + cost)
    }
}

/// All demands that wait for a pair.
#[derive(Debug, Clone, Default)]
pub struct Queue {
    entries: HashMap<Request, Entry>,
    on_time: Lane,
    late: Lane,
    starts: BTreeSet<(Instant, Request)>,
    ends: BTreeSet<(Instant, Request)>,
}

impl Queue {
    /// Makes an empty queue; `credit` is in seconds of each team's weight.
    pub fn new(credit: f64) -> Self {
        let lane = || Lane { credit, ..Lane::default() };
        Self { on_time: lane(), late: lane(), ..Self::default() }
    }

    /// Adds a demand.
    pub fn push(&mut self, entry: Entry) {
        let request = entry.demand.request;
        self.remove(request);
        if !entry.is_late {
            self.starts.insert((entry.latest_start, request));
        }
        self.ends.insert((entry.patience_end, request));
        self.lane(entry.is_late).push(&entry);
        self.entries.insert(request, entry);
    }

    /// Takes a demand out that will not be served.
    pub fn remove(&mut self, request: Request) -> Option<Entry> {
        let entry = self.entries.remove(&request)?;
        self.unlink(&entry);
        self.lane(entry.is_late).remove(&entry);
        Some(entry)
    }

    /// Takes a demand out that is served now.
    pub fn serve(&mut self, request: Request) -> Option<Entry> {
        let entry = self.entries.remove(&request)?;
        self.unlink(&entry);
        self.lane(entry.is_late).serve(&entry);
        Some(entry)
    }

    /// The demand to serve next: any on time before all that are late.
    pub fn first(&self) -> Option<&Entry> {
        let request = self.on_time.first().or_else(|| self.late.first())?;
        self.entries.get(&request)
    }

    /// The entry of a request.
    pub fn get_mut(&mut self, request: Request) -> Option<&mut Entry> {
        self.entries.get_mut(&request)
    }

    /// Moves a demand to the late lane.
    pub fn move_to_late(&mut self, request: Request) {
        if let Some(mut entry) = self.remove(request) {
            entry.is_late = true;
            self.push(entry);
        }
    }

    /// Moves demands that can no longer start on time to the late lane.
    pub fn demote_late(&mut self, now: Instant) {
        while let Some((start, request)) = self.starts.first().copied() {
            if start >= now {
                return;
            }
            self.move_to_late(request);
        }
    }

    /// Takes out the next demand whose caller gives up.
    pub fn pop_timed_out(&mut self, now: Instant) -> Option<Entry> {
        let (end, request) = self.ends.first().copied()?;
        if end > now {
            return None;
        }
        self.remove(request)
    }

    /// Takes out the demands whose host has not claimed them since `limit`.
    pub fn remove_unclaimed(&mut self, limit: Instant) -> Vec<Request> {
        let stale = self.entries.values().filter(|entry| entry.claimed < limit);
        let stale: Vec<Request> = stale.map(|entry| entry.demand.request).collect();
        for request in &stale {
            self.remove(*request);
        }
        stale
    }

    /// The cost that is served before a new demand of this team would end, on time or late.
    pub fn cost_ahead(&self, team: Tag, weight: f64, cost: f64, late: bool) -> f64 {
        let ahead = self.on_time.cost_ahead(team, weight, cost);
        if late { ahead + self.late.cost_ahead(team, weight, cost) } else { ahead }
    }

    /// Lifts the suspicion of one upstream's crash from all demands.
    pub fn clear_suspicion(&mut self, upstream: Tag) {
        for entry in self.entries.values_mut().filter(|e| e.demand.suspect == Some(upstream)) {
            entry.demand.suspect = None;
        }
    }

    /// The number of demands.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether no demand waits.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    const fn lane(&mut self, late: bool) -> &mut Lane {
        if late { &mut self.late } else { &mut self.on_time }
    }

    fn unlink(&mut self, entry: &Entry) {
        self.starts.remove(&(entry.latest_start, entry.demand.request));
        self.ends.remove(&(entry.patience_end, entry.demand.request));
    }
}
