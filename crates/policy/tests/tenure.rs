//! The holders of a slot together never spend more than the whole.
//!
//! A model of the platform and the network drives the shipped `Tenure`, one
//! small step at a time, through cuts, outages, pauses, crashes, lost and late replies.

use std::collections::{HashMap, HashSet};

use damaskhatch_policy::prelude::*;
use damaskhatch_policy::tenure::{Confirmed, LEASE_TTL, Observed, Roster, SLOTS, Seat, Tenure};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

/// How long a host must be gone before the platform's list drops it for good.
const DROP_AFTER: Duration = Duration::from_secs(10);
/// What the sum of all parts may exceed 1 by, for rounding.
const EPSILON: f64 = 1e-9;

/// The next thing a host does with the platform.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Stage {
    Renew,
    Read,
    Confirm,
    Plan,
}

#[derive(Debug)]
struct Node {
    seat: Seat,
    tenure: Tenure,
    stage: Stage,
    sent: Instant,
    had_lease: bool,
    observed: Observed,
    is_alive: bool,
    died: Option<Instant>,
    is_cut: bool,
    paused_until: Instant,
}

/// A message between hosts, or a swap on its way to the platform.
#[derive(Debug, Clone)]
enum Flight {
    Ask { from: usize, to: usize, epoch: u64, asked: Instant },
    Reply { by: Seat, to: usize, epoch: u64, asked: Instant },
    Swap { from: usize, seat: Seat, roster: Roster, expect: u64 },
}

#[derive(Debug)]
struct World {
    now: Instant,
    nodes: Vec<Node>,
    roster: Option<Roster>,
    version: u64,
    leases: HashMap<Tag, (Seat, Instant)>,
    confirmed: HashMap<Tag, Confirmed>,
    flights: Vec<Flight>,
    is_down: bool,
}

/// One event: which host, what, and how long after the one before.
#[derive(Debug, Clone, Copy)]
struct Event {
    what: u8,
    node: usize,
    wait_ms: u64,
    pick: usize,
}

fn event() -> impl Strategy<Value = Event> {
    (0_u8..70, 0_usize..5, 0_u64..100, any::<usize>())
        .prop_map(|(what, node, wait_ms, pick)| Event { what, node, wait_ms, pick })
}

impl World {
    fn new(count: usize) -> Self {
        let now = Instant::now();
        let mut world = Self {
            now,
            nodes: Vec::new(),
            roster: None,
            version: 0,
            leases: HashMap::new(),
            confirmed: HashMap::new(),
            flights: Vec::new(),
            is_down: false,
        };
        for number in 0..count {
            world.join(Tag(number as u64 + 1));
        }
        world
    }

    fn join(&mut self, host: Tag) {
        let incarnation = self.nodes.len() as u64 + 1;
        let seat = Seat { host, incarnation };
        self.nodes.push(Node {
            seat,
            tenure: Tenure::new(seat),
            stage: Stage::Renew,
            sent: self.now,
            had_lease: false,
            observed: Observed::default(),
            is_alive: true,
            died: None,
            is_cut: false,
            paused_until: self.now,
        });
    }

    fn apply(&mut self, event: Event) {
        self.now += Duration::from_millis(event.wait_ms);
        let now = self.now;
        self.leases.retain(|_, (_, end)| *end > now);
        let alive: Vec<usize> =
            (0..self.nodes.len()).filter(|index| self.nodes[*index].is_alive).collect();
        let Some(index) = alive.get(event.node % alive.len().max(1)).copied() else { return };
        match event.what {
            0 => self.nodes[index].is_cut = true,
            1 | 2 => self.nodes[index].is_cut = false,
            3 => self.is_down = true,
            4 | 5 => self.is_down = false,
            6 => self.nodes[index].paused_until = now + Duration::from_secs(4),
            7 if alive.len() > 1 => self.crash(index, event.pick.is_multiple_of(2)),
            8 if self.nodes.len() < 12 => self.join(Tag(100 + self.nodes.len() as u64)),
            9..=12 => self.ask(index),
            13..=22 => (0..event.pick % 4).for_each(|more| self.land(event.pick / 4 + more)),
            23 => {
                self.flights.pop();
            }
            _ => self.step(index, event.pick),
        }
    }

    /// Ends a process; a restarted one has forgotten everything.
    fn crash(&mut self, index: usize, restarts: bool) {
        self.nodes[index].is_alive = false;
        self.nodes[index].died = Some(self.now);
        if restarts {
            self.join(self.nodes[index].seat.host);
        }
    }

    fn step(&mut self, index: usize, pick: usize) {
        let reachable = !self.is_down && !self.nodes[index].is_cut;
        if self.nodes[index].paused_until > self.now {
            return;
        }
        if !reachable {
            self.nodes[index].stage = Stage::Renew;
            return;
        }
        match self.nodes[index].stage {
            Stage::Renew => self.renew(index),
            Stage::Read => self.read(index),
            Stage::Confirm => self.confirm(index),
            Stage::Plan => self.plan(index, pick),
        }
    }

    fn renew(&mut self, index: usize) {
        let node = &mut self.nodes[index];
        node.sent = self.now;
        let held = self.leases.get(&node.seat.host).is_some_and(|(seat, _)| *seat == node.seat);
        if !held || !node.had_lease {
            node.tenure.lose_lease();
        }
        node.had_lease = true;
        self.leases.insert(node.seat.host, (node.seat, self.now + LEASE_TTL));
        node.stage = Stage::Read;
    }

    fn read(&mut self, index: usize) {
        let mut observed = Observed::default();
        for node in &self.nodes {
            let seat = node.seat;
            let has_lease = self.leases.get(&seat.host).is_some_and(|(held, _)| *held == seat);
            if seat != self.nodes[index].seat && !has_lease {
                observed.lapsed.insert(seat);
                observed.confirmed.extend(self.confirmed.get(&seat.host).map(|c| (seat.host, *c)));
            }
            let gone = node.died.is_some_and(|died| self.now - died > DROP_AFTER);
            let is_back = self.nodes.iter().any(|n| n.is_alive && n.seat.host == seat.host);
            if gone && !is_back {
                observed.dropped.insert(seat.host);
            }
            if node.is_alive && !node.is_cut {
                observed.eligible.insert(seat.host);
            }
        }
        let (roster, version, now) = (self.roster.clone(), self.version, self.now);
        let node = &mut self.nodes[index];
        node.observed = observed;
        node.tenure.update_roster(roster, version, now);
        node.stage = Stage::Confirm;
    }

    fn confirm(&mut self, index: usize) {
        let node = &mut self.nodes[index];
        if node.tenure.is_member() {
            let confirmed = Confirmed { seat: node.seat, epoch: node.tenure.epoch() };
            self.confirmed.insert(node.seat.host, confirmed);
        }
        node.tenure.confirm_lease(node.sent);
        node.stage = Stage::Plan;
    }

    fn plan(&mut self, index: usize, pick: usize) {
        let now = self.now;
        let node = &mut self.nodes[index];
        node.stage = Stage::Renew;
        let eligible: HashSet<Tag> = node.observed.eligible.clone();
        node.tenure.stop_surplus_slots(&eligible, pick.is_multiple_of(17));
        let Some(roster) = node.tenure.propose_roster(&node.observed, now) else { return };
        node.tenure.begin_swap();
        let swap =
            Flight::Swap { from: index, seat: node.seat, roster, expect: node.tenure.version() };
        self.flights.push(swap);
        if !pick.is_multiple_of(3) {
            self.land(self.flights.len() - 1);
        }
    }

    fn ask(&mut self, index: usize) {
        let node = &self.nodes[index];
        if node.paused_until > self.now || !node.tenure.needs_vouchers(self.now) {
            return;
        }
        let (epoch, asked) = (node.tenure.epoch(), self.now);
        for seat in node.tenure.vouchers() {
            if let Some(to) = self.nodes.iter().position(|n| n.is_alive && n.seat == seat) {
                self.flights.push(Flight::Ask { from: index, to, epoch, asked });
            }
        }
    }

    /// Lets one message arrive, in any order.
    fn land(&mut self, pick: usize) {
        if self.flights.is_empty() {
            return;
        }
        let now = self.now;
        match self.flights.swap_remove(pick % self.flights.len()) {
            Flight::Ask { from, to, epoch, asked } => {
                let asker = self.nodes[from].seat.host;
                let node = &mut self.nodes[to];
                if node.is_alive
                    && node.paused_until <= now
                    && node.tenure.vouch_for(asker, epoch, now)
                {
                    let by = node.seat;
                    self.flights.push(Flight::Reply { by, to: from, epoch, asked });
                }
            }
            Flight::Reply { by, to, epoch, asked } => {
                let node = &mut self.nodes[to];
                if node.is_alive && node.paused_until <= now {
                    node.tenure.record_vouch(by, epoch, asked);
                }
            }
            Flight::Swap { from, seat, roster, expect } => {
                if self.is_down || expect != self.version {
                    return;
                }
                self.version += 1;
                self.roster = Some(roster.clone());
                let (version, node) = (self.version, &mut self.nodes[from]);
                // The reply reaches only a host that is there and not cut off.
                if node.is_alive && !node.is_cut && node.seat == seat && node.paused_until <= now {
                    node.tenure.complete_swap(roster, version, now);
                }
            }
        }
    }

    /// The sum of what all live processes may spend of a slot now.
    fn spendable(&self, slot: u32) -> f64 {
        let alive = self.nodes.iter().filter(|node| node.is_alive);
        alive.map(|node| node.tenure.allowance(slot, self.now).part).sum()
    }
}

fn config(cases: u32) -> ProptestConfig {
    ProptestConfig {
        cases,
        rng_seed: RngSeed::Fixed(20_261_204),
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}

proptest! {
    #![proptest_config(config(2_000))]

    #[test]
    fn holders_never_spend_more_than_the_whole(
        events in prop::collection::vec(event(), 50..600),
        count in 1_usize..5,
    ) {
        let mut world = World::new(count);
        for (step, event) in events.into_iter().enumerate() {
            world.apply(event);
            for slot in [0, SLOTS / 2, SLOTS - 1] {
                let sum = world.spendable(slot);
                prop_assert!(sum <= 1.0 + EPSILON, "slot {slot}: {sum} at step {step} {event:?}");
            }
        }
    }
}

#[test]
fn slots_come_back_to_whole_after_everything_healed() {
    let mut world = World::new(3);
    let run = |world: &mut World, rounds: usize| {
        for round in 0..rounds {
            for index in 0..world.nodes.len() {
                if world.nodes[index].is_alive {
                    world.step(index, 1);
                }
            }
            world.apply(Event { what: 39, node: round, wait_ms: 100, pick: 1 });
        }
    };
    run(&mut world, 100);
    assert!((0..SLOTS).all(|slot| (world.spendable(slot) - 1.0).abs() < EPSILON));
    world.crash(0, false);
    run(&mut world, 60);
    assert!((0..SLOTS).all(|slot| world.spendable(slot) > 0.4), "others took over in time");
    run(&mut world, 200);
    assert!((0..SLOTS).all(|slot| (world.spendable(slot) - 1.0).abs() < EPSILON));
    // A host whose lease ran out while it was cut off is backed again once it is back.
    world.nodes[1].is_cut = true;
    run(&mut world, 60);
    world.nodes[1].is_cut = false;
    run(&mut world, 200);
    assert!((0..SLOTS).all(|slot| (world.spendable(slot) - 1.0).abs() < EPSILON));
    let holds = (0..SLOTS).any(|slot| world.nodes[1].tenure.allowance(slot, world.now).part > 0.0);
    assert!(holds, "the host that came back holds slots again");
    // An outage alone costs nothing, as long as the others vouch.
    world.is_down = true;
    for _ in 0..100 {
        world.now += Duration::from_millis(100);
        for index in 0..world.nodes.len() {
            if world.nodes[index].is_alive {
                world.ask(index);
            }
        }
        while !world.flights.is_empty() {
            world.land(0);
        }
        let whole = |slot| (world.spendable(slot) - 1.0).abs() < EPSILON;
        assert!((0..SLOTS).all(whole), "whole through the outage");
    }
    // When the platform is back, every lease has ended there and no slot has moved.
    world.leases.clear();
    world.is_down = false;
    run(&mut world, 200);
    world.flights.clear();
    let backed = |node: &&Node| node.tenure.has_valid_lease(world.now);
    assert_eq!(world.nodes.iter().filter(|n| n.is_alive).filter(backed).count(), 2);
}

#[test]
fn a_host_whose_takeover_may_still_land_does_not_vouch() {
    let mut world = World::new(2);
    let turn = |world: &mut World, index: usize| {
        (0..4).for_each(|_| world.step(index, 1));
        world.now += Duration::from_millis(50);
    };
    for _ in 0..40 {
        turn(&mut world, 0);
        turn(&mut world, 1);
    }
    let held = |world: &World, index: usize| {
        let tenure = &world.nodes[index].tenure;
        (0..SLOTS).find(|slot| tenure.allowance(*slot, world.now).part > 0.0)
    };
    let slot = held(&world, 0).expect("both hosts hold slots");
    world.nodes[0].is_cut = true;
    world.now += LEASE_TTL * 2;
    world.leases.clear();
    // The second host reads that the lease is gone; its swap stays on the way.
    (0..3).for_each(|_| world.step(1, 1));
    world.step(1, 3);
    assert_eq!(world.flights.len(), 1, "the takeover is on its way");
    world.ask(0);
    world.land(1);
    while world.flights.len() > 1 {
        world.land(1);
    }
    world.land(0);
    assert!(world.spendable(slot) <= 1.0 + EPSILON, "{}", world.spendable(slot));
}
