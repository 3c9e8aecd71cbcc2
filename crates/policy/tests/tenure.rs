//! Guards against the holders of a slot together spending more than the slot.
//!
//! A model of the platform and the network drives `Tenure` step by step through partitions,
//! outages of the platform, paused and crashed hosts, and lost, reordered and late messages.

use std::collections::{HashMap, HashSet};

use damaskhatch_policy::prelude::*;
use damaskhatch_policy::tenure::{Confirmed, LEASE_TTL, Observed, Roster, SLOTS, Seat, Tenure};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

/// How long after a crash the platform's list drops the host for good.
const DROP_AFTER: Duration = Duration::from_secs(10);
/// The rounding error by which the sum of all parts may exceed 1.
const EPSILON: f64 = 1e-9;

/// The next step of a host's cycle with the platform.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Stage {
    Renew,
    Read,
    Confirm,
    Propose,
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
    crashed_at: Option<Instant>,
    is_partitioned: bool,
    paused_until: Instant,
}

/// A message between hosts, or a compare-and-swap sent to the platform.
#[derive(Debug, Clone)]
enum Message {
    GetVouch { from: usize, to: usize, epoch: u64, asked: Instant },
    Vouch { by: Seat, to: usize, epoch: u64, asked: Instant },
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
    in_flight: Vec<Message>,
    is_platform_down: bool,
}

/// One random event, `wait_ms` after the previous one; `pick` decides the details.
#[derive(Debug, Clone, Copy)]
struct Event {
    action: u8,
    node: usize,
    wait_ms: u64,
    pick: usize,
}

fn event() -> impl Strategy<Value = Event> {
    (0_u8..70, 0_usize..5, 0_u64..100, any::<usize>())
        .prop_map(|(action, node, wait_ms, pick)| Event { action, node, wait_ms, pick })
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
            in_flight: Vec::new(),
            is_platform_down: false,
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
            crashed_at: None,
            is_partitioned: false,
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
        match event.action {
            0 => self.nodes[index].is_partitioned = true,
            1 | 2 => self.nodes[index].is_partitioned = false,
            3 => self.is_platform_down = true,
            4 | 5 => self.is_platform_down = false,
            6 => self.nodes[index].paused_until = now + Duration::from_secs(4),
            7 if alive.len() > 1 => self.crash(index, event.pick.is_multiple_of(2)),
            8 if self.nodes.len() < 12 => self.join(Tag(100 + self.nodes.len() as u64)),
            9..=12 => self.request_vouchers(index),
            13..=22 => (0..event.pick % 4).for_each(|more| self.deliver(event.pick / 4 + more)),
            23 => {
                self.in_flight.pop();
            }
            _ => self.step(index, event.pick),
        }
    }

    /// Ends a process; a restarted one has lost all of its state.
    fn crash(&mut self, index: usize, restarts: bool) {
        self.nodes[index].is_alive = false;
        self.nodes[index].crashed_at = Some(self.now);
        if restarts {
            self.join(self.nodes[index].seat.host);
        }
    }

    fn step(&mut self, index: usize, pick: usize) {
        let reachable = !self.is_platform_down && !self.nodes[index].is_partitioned;
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
            Stage::Propose => self.propose(index, pick),
        }
    }

    fn renew(&mut self, index: usize) {
        let node = &mut self.nodes[index];
        node.sent = self.now;
        let is_held = self.leases.get(&node.seat.host).is_some_and(|(seat, _)| *seat == node.seat);
        if !is_held || !node.had_lease {
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
            let is_gone = node.crashed_at.is_some_and(|at| self.now - at > DROP_AFTER);
            let has_restarted = self.nodes.iter().any(|n| n.is_alive && n.seat.host == seat.host);
            if is_gone && !has_restarted {
                observed.dropped.insert(seat.host);
            }
            if node.is_alive && !node.is_partitioned {
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
        node.stage = Stage::Propose;
    }

    fn propose(&mut self, index: usize, pick: usize) {
        let now = self.now;
        let node = &mut self.nodes[index];
        node.stage = Stage::Renew;
        let eligible: HashSet<Tag> = node.observed.eligible.clone();
        node.tenure.stop_surplus_slots(&eligible, pick.is_multiple_of(17));
        let Some(roster) = node.tenure.propose_roster(&node.observed, now) else { return };
        node.tenure.begin_swap();
        let swap =
            Message::Swap { from: index, seat: node.seat, roster, expect: node.tenure.version() };
        self.in_flight.push(swap);
        if !pick.is_multiple_of(3) {
            self.deliver(self.in_flight.len() - 1);
        }
    }

    fn request_vouchers(&mut self, index: usize) {
        let node = &self.nodes[index];
        if node.paused_until > self.now || !node.tenure.needs_vouchers(self.now) {
            return;
        }
        let (epoch, asked) = (node.tenure.epoch(), self.now);
        for seat in node.tenure.vouchers() {
            if let Some(to) = self.nodes.iter().position(|n| n.is_alive && n.seat == seat) {
                self.in_flight.push(Message::GetVouch { from: index, to, epoch, asked });
            }
        }
    }

    /// Delivers one message that is in flight, in any order.
    fn deliver(&mut self, pick: usize) {
        if self.in_flight.is_empty() {
            return;
        }
        let now = self.now;
        match self.in_flight.swap_remove(pick % self.in_flight.len()) {
            Message::GetVouch { from, to, epoch, asked } => {
                let asker = self.nodes[from].seat.host;
                let node = &mut self.nodes[to];
                if node.is_alive
                    && node.paused_until <= now
                    && node.tenure.vouch_for(asker, epoch, now)
                {
                    let by = node.seat;
                    self.in_flight.push(Message::Vouch { by, to: from, epoch, asked });
                }
            }
            Message::Vouch { by, to, epoch, asked } => {
                let node = &mut self.nodes[to];
                if node.is_alive && node.paused_until <= now {
                    node.tenure.record_vouch(by, epoch, asked);
                }
            }
            Message::Swap { from, seat, roster, expect } => {
                if self.is_platform_down || expect != self.version {
                    return;
                }
                self.version += 1;
                self.roster = Some(roster.clone());
                let (version, node) = (self.version, &mut self.nodes[from]);
                // Only the same process, running and not partitioned, gets the reply.
                if node.is_alive
                    && !node.is_partitioned
                    && node.seat == seat
                    && node.paused_until <= now
                {
                    node.tenure.complete_swap(roster, version, now);
                }
            }
        }
    }

    /// The sum of the parts of a slot that all live processes may spend now.
    fn total_part(&self, slot: u32) -> f64 {
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
    fn holders_of_a_slot_together_never_spend_more_than_the_slot(
        events in prop::collection::vec(event(), 50..600),
        count in 1_usize..5,
    ) {
        let mut world = World::new(count);
        for (step, event) in events.into_iter().enumerate() {
            world.apply(event);
            for slot in [0, SLOTS / 2, SLOTS - 1] {
                let sum = world.total_part(slot);
                prop_assert!(sum <= 1.0 + EPSILON, "slot {slot}: {sum} at step {step} {event:?}");
            }
        }
    }
}

/// Guards against slots that stay halved after a crash, a partition or an outage has ended.
#[test]
fn holders_may_spend_every_slot_in_full_again_after_faults_end() {
    let mut world = World::new(3);
    let run = |world: &mut World, rounds: usize| {
        for round in 0..rounds {
            for index in 0..world.nodes.len() {
                if world.nodes[index].is_alive {
                    world.step(index, 1);
                }
            }
            world.apply(Event { action: 39, node: round, wait_ms: 100, pick: 1 });
        }
    };
    run(&mut world, 100);
    assert!((0..SLOTS).all(|slot| (world.total_part(slot) - 1.0).abs() < EPSILON));
    world.crash(0, false);
    run(&mut world, 60);
    assert!((0..SLOTS).all(|slot| world.total_part(slot) > 0.4), "other hosts took over in time");
    run(&mut world, 200);
    assert!((0..SLOTS).all(|slot| (world.total_part(slot) - 1.0).abs() < EPSILON));
    // A host whose lease expired during a partition gets a valid lease again afterwards.
    world.nodes[1].is_partitioned = true;
    run(&mut world, 60);
    world.nodes[1].is_partitioned = false;
    run(&mut world, 200);
    assert!((0..SLOTS).all(|slot| (world.total_part(slot) - 1.0).abs() < EPSILON));
    let holds = (0..SLOTS).any(|slot| world.nodes[1].tenure.allowance(slot, world.now).part > 0.0);
    assert!(holds, "the host holds slots again after the partition");
    // During an outage of the platform nothing is lost while the other members vouch.
    world.is_platform_down = true;
    for _ in 0..100 {
        world.now += Duration::from_millis(100);
        for index in 0..world.nodes.len() {
            if world.nodes[index].is_alive {
                world.request_vouchers(index);
            }
        }
        while !world.in_flight.is_empty() {
            world.deliver(0);
        }
        let is_whole = |slot| (world.total_part(slot) - 1.0).abs() < EPSILON;
        assert!((0..SLOTS).all(is_whole), "every slot stays whole during the outage");
    }
    // After the outage every lease has expired in the platform and no slot has moved.
    world.leases.clear();
    world.is_platform_down = false;
    run(&mut world, 200);
    world.in_flight.clear();
    let has_valid_lease = |node: &&Node| node.tenure.has_valid_lease(world.now);
    assert_eq!(world.nodes.iter().filter(|n| n.is_alive).filter(has_valid_lease).count(), 2);
}

/// Guards against two holders that both spend the whole slot: one takes over by a swap that
/// is still in flight, and vouches for the other holder before the swap takes effect.
#[test]
fn a_host_does_not_vouch_while_its_takeover_is_pending() {
    let mut world = World::new(2);
    let run_cycle = |world: &mut World, index: usize| {
        (0..4).for_each(|_| world.step(index, 1));
        world.now += Duration::from_millis(50);
    };
    for _ in 0..40 {
        run_cycle(&mut world, 0);
        run_cycle(&mut world, 1);
    }
    let held = |world: &World, index: usize| {
        let tenure = &world.nodes[index].tenure;
        (0..SLOTS).find(|slot| tenure.allowance(*slot, world.now).part > 0.0)
    };
    let slot = held(&world, 0).expect("both hosts hold slots");
    world.nodes[0].is_partitioned = true;
    world.now += LEASE_TTL * 2;
    world.leases.clear();
    // The second host reads that the lease has expired; its swap stays in flight.
    (0..3).for_each(|_| world.step(1, 1));
    world.step(1, 3);
    assert_eq!(world.in_flight.len(), 1, "the takeover is in flight");
    world.request_vouchers(0);
    world.deliver(1);
    while world.in_flight.len() > 1 {
        world.deliver(1);
    }
    world.deliver(0);
    assert!(world.total_part(slot) <= 1.0 + EPSILON, "{}", world.total_part(slot));
}
