//! Which hosts are alive, by heartbeats that spread over a bounded fan-out.
//!
//! Each host counts its own heartbeats; the counts travel through other hosts, so
//! a host needs to hear only that a count still grows. The
//! platform's lagging list corrects the view. A cut never changes a team's
//! share; it only changes who is asked. See [docs/DESIGN.md](../../../docs/DESIGN.md#membership).

use std::collections::{BTreeMap, HashMap, HashSet};
use std::net::SocketAddr;

use rand::seq::IndexedRandom;

use crate::placement::Load;
use crate::prelude::*;

/// The time between two heartbeats of a host.
pub const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(200);
/// Hosts of the own domain that get each heartbeat, whatever the size of the fleet.
pub const NEAR_FAN_OUT: usize = 2;
/// Heartbeats of which one goes to another domain as well.
const FAR_HEARTBEAT_PERIOD: u64 = 2;
/// Whole records of other hosts that ride on each heartbeat.
pub const MAX_GOSSIPED_RECORDS: usize = 3;
/// The most hosts of the own domain whose counts ride on each heartbeat.
pub const MAX_NEAR_COUNTS: usize = 64;
/// The most hosts of other domains whose counts ride on each heartbeat.
pub const MAX_FAR_COUNTS: usize = 8;
/// A host whose count has not grown for this long is taken as dead.
pub const SUSPECT_AFTER: Duration = Duration::from_secs(2);
/// What is added for each host of other domains, whose counts arrive less often.
const SUSPECT_PER_FAR_HOST: Duration = Duration::from_millis(45);
/// A dead host's record is forgotten after this long.
const FORGET_AFTER: Duration = Duration::from_mins(1);

plain! { data
    /// What a host says of itself.
    pub struct Record {
        /// The host's name between hosts.
        pub host: Tag,
        /// Its domain.
        pub domain: Tag,
        /// Where its peers reach it, by UDP and TCP.
        pub address: SocketAddr,
        /// The start of the process; a higher one replaces a lower one.
        pub incarnation: u64,
        /// Heartbeats so far.
        pub count: u64,
        /// Whether it takes no new roles because it is leaving.
        pub leaving: bool,
        /// The configuration revision in force there.
        pub revision: u64,
        /// The number of withdrawn keys it knows.
        pub withdrawn: u32,
        /// The epoch of its domain's roster that it last confirmed.
        pub epoch: u64,
        /// The bucket slots it holds, one bit each.
        pub slots: u64,
        /// The headroom of the schedulers it holds.
        pub headroom: Vec<Headroom>,
        /// Work that it has under way at registered upstreams.
    pub loads: Vec<(Tag, Load)>,
    /// Upstreams that it knows to be leaving, from the platform's list or their own word.
        pub leaving_upstreams: Vec<Tag>,
    }
}

plain! { value
    /// How much a domain's scheduler could take on for other domains.
    pub struct Headroom {
        /// The service.
        pub service: Tag,
        /// Free decode slots less queued requests.
        pub slots: i32,
    }
}

plain! { value
    /// How far a host's heartbeats have come, in little space.
    #[derive(Eq)]
    pub struct Count {
        /// The upper half of the host's tag.
        pub host: u32,
        /// The lower half of its incarnation.
        pub boot: u32,
        /// Heartbeats so far.
        pub count: u32,
    }
}

impl Count {
    fn of(record: &Record) -> Self {
        let host = short(record.host);
        Self { host, boot: record.incarnation as u32, count: record.count as u32 }
    }
}

const fn short(host: Tag) -> u32 {
    (host.0 >> 32) as u32
}

/// What a host knows of another.
#[derive(Debug, Clone, PartialEq)]
pub struct Member {
    /// The newest record.
    pub record: Record,
    /// When its count last grew, by this host's clock.
    pub last_heard: Instant,
    /// Whether the platform's list says that it is leaving.
    pub listed_leaving: bool,
    /// How long its count may stand still before it is taken as dead.
    pub suspect_after: Duration,
}

impl Member {
    /// Whether the host counts as alive.
    pub fn is_alive(&self, now: Instant) -> bool {
        now.saturating_duration_since(self.last_heard) < self.suspect_after
    }

    /// Whether the host may be given new roles.
    pub fn is_eligible(&self, now: Instant) -> bool {
        self.is_alive(now) && !self.record.leaving && !self.listed_leaving
    }
}

/// One host's view of all hosts.
#[derive(Debug, Clone)]
pub struct View {
    /// This host's own record.
    pub own: Record,
    members: BTreeMap<Tag, Member>,
    seeds: Vec<SocketAddr>,
}

/// One heartbeat to send.
#[derive(Debug, Clone, PartialEq)]
pub struct Heartbeat {
    /// Where to.
    pub to: Vec<SocketAddr>,
    /// This host's record, then records of others.
    pub records: Vec<Record>,
    /// How far other live hosts' heartbeats have come.
    pub counts: Vec<Count>,
}

impl View {
    /// Makes a view that knows only this host and the addresses to try first.
    pub fn new(own: Record, seeds: Vec<SocketAddr>) -> Self {
        Self { own, members: BTreeMap::new(), seeds }
    }

    /// Takes in what came with a heartbeat.
    pub fn merge(&mut self, records: &[Record], counts: &[Count], now: Instant) {
        for record in records.iter().filter(|record| record.host != self.own.host) {
            match self.members.get_mut(&record.host) {
                Some(member) if is_newer(record, &member.record) => {
                    member.record = record.clone();
                    member.last_heard = now;
                }
                Some(_) => {}
                None => {
                    let member = Member {
                        record: record.clone(),
                        last_heard: now,
                        listed_leaving: false,
                        suspect_after: SUSPECT_AFTER,
                    };
                    self.members.insert(record.host, member);
                }
            }
        }
        self.merge_counts(counts, now);
    }

    fn merge_counts(&mut self, counts: &[Count], now: Instant) {
        let known: HashMap<u32, Count> = counts.iter().map(|count| (count.host, *count)).collect();
        for member in self.members.values_mut() {
            let Some(count) = known.get(&short(member.record.host)) else { continue };
            let is_same_life = count.boot == member.record.incarnation as u32;
            if is_same_life && u64::from(count.count) > member.record.count {
                member.record.count = u64::from(count.count);
                member.last_heard = now;
            }
        }
    }

    /// Takes in the platform's list: addresses to try, and who is leaving.
    pub fn apply_listing(&mut self, listed: &[Listed]) {
        for entry in listed {
            if !self.seeds.contains(&entry.address) {
                self.seeds.push(entry.address);
            }
            if let Some(member) = self.members.get_mut(&entry.host) {
                member.listed_leaving = entry.leaving;
            }
        }
    }

    /// Counts one heartbeat and says whom to send it to.
    ///
    /// Counts of the own domain ride on every heartbeat, for its roles move with
    /// them; other domains are followed more slowly, so that the cost does not grow
    /// with the fleet. One seed or dead host is tried as well, so that two sides
    /// of a healed cut find each other.
    pub fn next_heartbeat(&mut self, rng: &mut impl rand::Rng, now: Instant) -> Heartbeat {
        self.own.count += 1;
        self.members.retain(|_, m| now.saturating_duration_since(m.last_heard) < FORGET_AFTER);
        self.update_suspect_after();
        let alive: Vec<&Member> = self.members.values().filter(|m| m.is_alive(now)).collect();
        let (near, far): (Vec<&Member>, Vec<&Member>) =
            alive.iter().partition(|member| member.record.domain == self.own.domain);
        let far_now = usize::from(self.own.count.is_multiple_of(FAR_HEARTBEAT_PERIOD));
        let drawn = near.sample(rng, NEAR_FAN_OUT).copied().collect::<Vec<_>>();
        let drawn = drawn.into_iter().chain(far.sample(rng, far_now).copied());
        let mut to: Vec<SocketAddr> = drawn.map(|member| member.record.address).collect();
        to.extend(self.unreached_addresses(&alive, now).choose(rng));
        let mut records = vec![self.own.clone()];
        records.extend(alive.sample(rng, MAX_GOSSIPED_RECORDS).map(|member| member.record.clone()));
        let near = near.sample(rng, MAX_NEAR_COUNTS).copied().collect::<Vec<_>>();
        let counted = near.into_iter().chain(far.sample(rng, MAX_FAR_COUNTS).copied());
        let counts = counted.map(|member| Count::of(&member.record)).collect();
        Heartbeat { to, records, counts }
    }

    fn update_suspect_after(&mut self) {
        let own = self.own.domain;
        let far = self.members.values().filter(|member| member.record.domain != own).count();
        let far_suspect_after = SUSPECT_AFTER.max(SUSPECT_PER_FAR_HOST * far as u32);
        for member in self.members.values_mut() {
            let is_near = member.record.domain == own;
            member.suspect_after = if is_near { SUSPECT_AFTER } else { far_suspect_after };
        }
    }

    /// Addresses of dead hosts and of seeds that no live host has.
    fn unreached_addresses(&self, alive: &[&Member], now: Instant) -> Vec<SocketAddr> {
        let known: Vec<SocketAddr> = alive.iter().map(|member| member.record.address).collect();
        let dead = self.members.values().filter(|m| !m.is_alive(now)).map(|m| m.record.address);
        dead.chain(self.seeds.iter().copied())
            .filter(|address| *address != self.own.address && !known.contains(address))
            .collect()
    }

    /// All hosts known, dead ones included.
    pub fn members(&self) -> impl Iterator<Item = &Member> {
        self.members.values()
    }

    /// The member with this tag.
    pub fn member(&self, host: Tag) -> Option<&Member> {
        self.members.get(&host)
    }

    /// Where a live host is reached; this host's own address for itself.
    pub fn address(&self, host: Tag) -> Option<SocketAddr> {
        if host == self.own.host {
            return Some(self.own.address);
        }
        self.members.get(&host).map(|member| member.record.address)
    }

    /// Whether nothing was heard of a host for `limit`, counted from `started` at the earliest.
    pub fn is_silent(&self, host: Tag, limit: Duration, started: Instant, now: Instant) -> bool {
        let last_heard = self.members.get(&host).map_or(started, |member| member.last_heard);
        host != self.own.host && now.saturating_duration_since(last_heard.max(started)) > limit
    }

    /// The hosts of a domain that may hold roles, this one included.
    pub fn eligible(&self, domain: Tag, now: Instant) -> Vec<Tag> {
        let own = (self.own.domain == domain && !self.own.leaving).then_some(self.own.host);
        let others = self
            .members
            .values()
            .filter(|member| member.record.domain == domain && member.is_eligible(now));
        own.into_iter().chain(others.map(|member| member.record.host)).collect()
    }

    /// The live host of `domain` that says it holds `slot`; of two, the one with the higher epoch.
    pub fn slot_holder(&self, domain: Tag, slot: u32, now: Instant) -> Option<Tag> {
        let others = self.members.values().filter(|m| m.is_alive(now)).map(|m| &m.record);
        others
            .chain(std::iter::once(&self.own))
            .filter(|record| record.domain == domain && record.slots >> slot & 1 == 1)
            .max_by_key(|record| (record.epoch, record.host))
            .map(|record| record.host)
    }

    /// The live peers that have a higher revision or more withdrawals than this host.
    pub fn peers_ahead(&self, now: Instant) -> Vec<SocketAddr> {
        let newer = |record: &Record| {
            record.revision > self.own.revision || record.withdrawn > self.own.withdrawn
        };
        let live = self.members.values().filter(|member| member.is_alive(now));
        live.filter(|m| newer(&m.record)).map(|m| m.record.address).collect()
    }

    /// The upstreams that some live host knows to be leaving.
    pub fn leaving_upstreams(&self, now: Instant) -> HashSet<Tag> {
        let others = self.members.values().filter(|m| m.is_alive(now)).map(|m| &m.record);
        let records = others.chain(std::iter::once(&self.own));
        records.flat_map(|record| record.leaving_upstreams.iter().copied()).collect()
    }

    /// The best headroom for a service in each other domain.
    pub fn headroom(&self, service: Tag, now: Instant) -> Vec<(Tag, i32)> {
        let mut best: HashMap<Tag, i32> = HashMap::new();
        for member in self.members.values().filter(|member| member.is_alive(now)) {
            if member.record.domain == self.own.domain {
                continue;
            }
            for entry in member.record.headroom.iter().filter(|entry| entry.service == service) {
                let slots = best.entry(member.record.domain).or_insert(entry.slots);
                *slots = (*slots).max(entry.slots);
            }
        }
        let mut sorted: Vec<(Tag, i32)> = best.into_iter().collect();
        sorted.sort_by_key(|(domain, slots)| (std::cmp::Reverse(*slots), *domain));
        sorted
    }
}

plain! { value
    /// One host of the platform's list.
    #[derive(Eq)]
    pub struct Listed {
        /// The host.
        pub host: Tag,
        /// Its peer address.
        pub address: SocketAddr,
        /// Whether it is leaving.
        pub leaving: bool,
    }
}

fn is_newer(new: &Record, old: &Record) -> bool {
    (new.incarnation, new.count) > (old.incarnation, old.count)
}
