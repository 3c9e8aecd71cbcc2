//! Start-time fair queueing over teams, in an on-time lane and a late lane.
//!
//! Within a team the earliest deadline goes first. Each change of one demand
//! takes time logarithmic in the length of the queue.

use std::collections::{BTreeSet, HashMap};

use super::message::Demand;
use crate::prelude::*;

/// Idle teams tracked beyond the number of active ones before those without debt are dropped.
const IDLE_TEAMS_SLACK: usize = 1_024;

/// A point in a lane's virtual time, in tokens per unit of weight.
#[derive(Debug, Clone, Copy, PartialEq)]
struct VirtualTime(f64);

impl Eq for VirtualTime {}

impl PartialOrd for VirtualTime {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for VirtualTime {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        self.0.total_cmp(&other.0)
    }
}

/// A queued demand with the times computed when it was enqueued.
#[derive(Debug, Clone, PartialEq)]
pub struct Entry {
    /// The demand, after the scheduler's rules were applied.
    pub demand: Demand,
    /// When it was enqueued.
    pub enqueued: Instant,
    /// When its first token is due; the time of enqueueing if fair queueing is off.
    pub due: Instant,
    /// The latest start that still meets the first-token target.
    pub latest_start: Instant,
    /// When its caller gives up and the demand is refused.
    pub patience_end: Instant,
    /// When its host last claimed it, at first the time of enqueueing.
    pub claimed: Instant,
    /// Whether it is in the late lane.
    pub is_late: bool,
}

/// The demands of one team in one lane.
#[derive(Debug, Clone)]
struct Flow {
    /// The start tag of the next demand, less the credit; it orders the flows.
    start_tag: VirtualTime,
    /// The finish tag of the last served demand, without credit.
    finish_tag: f64,
    weight: f64,
    cost: f64,
    demands: BTreeSet<(Instant, Request)>,
}

/// The flows of one lane.
#[derive(Debug, Clone, Default)]
struct Lane {
    /// Lead that a team may have over its share, in virtual time.
    credit: f64,
    virtual_time: f64,
    /// Total weight of the flows.
    weight: f64,
    /// Total cost of the queued demands.
    cost: f64,
    flows: HashMap<Tag, Flow>,
    order: BTreeSet<(VirtualTime, Tag)>,
    /// Finish tags of teams without queued demands.
    idle: HashMap<Tag, f64>,
}

impl Lane {
    fn push(&mut self, entry: &Entry) {
        let team = entry.demand.team;
        if !self.flows.contains_key(&team) {
            let finish_tag = self.idle.remove(&team).unwrap_or(0.0);
            let start_tag = self.start_tag(finish_tag);
            let weight = entry.demand.weight.max(1.0);
            let flow = Flow { start_tag, finish_tag, weight, cost: 0.0, demands: BTreeSet::new() };
            self.weight += weight;
            self.order.insert((start_tag, team));
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
            self.remove_flow(entry.demand.team);
        }
    }

    fn first(&self) -> Option<Request> {
        let (_, team) = self.order.first()?;
        self.flows[team].demands.first().map(|(_, request)| *request)
    }

    /// Removes an entry that is served now and charges its cost to its team.
    fn serve(&mut self, entry: &Entry) {
        let team = entry.demand.team;
        let Some(flow) = self.flows.get_mut(&team) else { return };
        self.order.remove(&(flow.start_tag, team));
        self.virtual_time = self.virtual_time.max(flow.start_tag.0);
        flow.finish_tag =
            flow.finish_tag.max(self.virtual_time) + entry.demand.cost() / flow.weight;
        flow.start_tag = VirtualTime(self.virtual_time.max(flow.finish_tag - self.credit));
        self.order.insert((flow.start_tag, team));
        self.remove(entry);
    }

    /// The start tag of a flow whose last finish tag is `finish_tag`.
    ///
    /// The credit lets a team that stays within its share on average send short bursts; a team
    /// that always has requests queued has used it up.
    fn start_tag(&self, finish_tag: f64) -> VirtualTime {
        VirtualTime(self.virtual_time.max(finish_tag - self.credit))
    }

    /// Removes an empty flow, and drops idle teams without debt if too many are tracked.
    fn remove_flow(&mut self, team: Tag) {
        let Some(flow) = self.flows.remove(&team) else {
            return;
        };
        self.order.remove(&(flow.start_tag, team));
        self.weight -= flow.weight;
        self.idle.insert(team, flow.finish_tag);
        if self.idle.len() > self.flows.len() + IDLE_TEAMS_SLACK {
            let virtual_time = self.virtual_time;
            self.idle.retain(|_, finish_tag| *finish_tag > virtual_time);
        }
    }

    /// The cost served until a new demand of `team` ends, if each flow is served by its weight.
    fn cost_ahead(&self, team: Tag, weight: f64, cost: f64) -> f64 {
        let own = self.flows.get(&team);
        let queued = own.map_or(0.0, |flow| flow.cost) + cost;
        let weight = weight.max(1.0);
        let others = self.weight - own.map_or(0.0, |flow| flow.weight);
        let fair = queued * (others + weight) / weight;
        fair.min(self.cost + cost)
    }
}

/// The demands that wait for a pair.
#[derive(Debug, Clone, Default)]
pub struct Queue {
    entries: HashMap<Request, Entry>,
    on_time: Lane,
    late: Lane,
    by_latest_start: BTreeSet<(Instant, Request)>,
    by_patience_end: BTreeSet<(Instant, Request)>,
}

impl Queue {
    /// Creates an empty queue; `credit` is in seconds of each team's rate, its weight.
    pub fn new(credit: f64) -> Self {
        let lane = || Lane { credit, ..Lane::default() };
        Self { on_time: lane(), late: lane(), ..Self::default() }
    }

    /// Adds a demand, or replaces the one of the same request.
    pub fn push(&mut self, entry: Entry) {
        let request = entry.demand.request;
        self.remove(request);
        if !entry.is_late {
            self.by_latest_start.insert((entry.latest_start, request));
        }
        self.by_patience_end.insert((entry.patience_end, request));
        self.lane(entry.is_late).push(&entry);
        self.entries.insert(request, entry);
    }

    /// Removes a demand without charging its team.
    pub fn remove(&mut self, request: Request) -> Option<Entry> {
        let entry = self.entries.remove(&request)?;
        self.remove_times(&entry);
        self.lane(entry.is_late).remove(&entry);
        Some(entry)
    }

    /// Removes a demand that is served now and charges its team.
    pub fn serve(&mut self, request: Request) -> Option<Entry> {
        let entry = self.entries.remove(&request)?;
        self.remove_times(&entry);
        self.lane(entry.is_late).serve(&entry);
        Some(entry)
    }

    /// The demand to serve next; on-time demands precede late ones.
    pub fn first(&self) -> Option<&Entry> {
        let request = self.on_time.first().or_else(|| self.late.first())?;
        self.entries.get(&request)
    }

    /// The entry of a request, if it is queued.
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
        while let Some((start, request)) = self.by_latest_start.first().copied() {
            if start >= now {
                return;
            }
            self.move_to_late(request);
        }
    }

    /// Removes and returns the next demand whose patience has ended, if any.
    pub fn pop_timed_out(&mut self, now: Instant) -> Option<Entry> {
        let (end, request) = self.by_patience_end.first().copied()?;
        if end > now {
            return None;
        }
        self.remove(request)
    }

    /// Removes and returns the demands that were last claimed before `limit`.
    pub fn remove_unclaimed(&mut self, limit: Instant) -> Vec<Request> {
        let unclaimed = self.entries.values().filter(|entry| entry.claimed < limit);
        let unclaimed: Vec<Request> = unclaimed.map(|entry| entry.demand.request).collect();
        for request in &unclaimed {
            self.remove(*request);
        }
        unclaimed
    }

    /// The cost served until a new demand of this team would end, in the on-time lane or in the
    /// late lane behind it.
    pub fn cost_ahead(&self, team: Tag, weight: f64, cost: f64, is_late: bool) -> f64 {
        let ahead = self.on_time.cost_ahead(team, weight, cost);
        if is_late { ahead + self.late.cost_ahead(team, weight, cost) } else { ahead }
    }

    /// Clears the demands that are suspected of this upstream's crash.
    pub fn clear_suspicion(&mut self, upstream: Tag) {
        for entry in self.entries.values_mut().filter(|e| e.demand.suspect == Some(upstream)) {
            entry.demand.suspect = None;
        }
    }

    /// The number of queued demands.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether no demand is queued.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    const fn lane(&mut self, is_late: bool) -> &mut Lane {
        if is_late { &mut self.late } else { &mut self.on_time }
    }

    fn remove_times(&mut self, entry: &Entry) {
        self.by_latest_start.remove(&(entry.latest_start, entry.demand.request));
        self.by_patience_end.remove(&(entry.patience_end, entry.demand.request));
    }
}
