//! Failure detection by heartbeats that are gossiped with a bounded fan-out.
//!
//! Each host counts its own heartbeats and other hosts forward the counts, so a host is
//! alive as long as its count grows, whichever way the count arrives. The platform's list,
//! which lags behind, supplies further addresses and leaving hosts. A network partition
//! never changes a team's share, only which hosts are contacted. See
//! [docs/DESIGN.md](../../../docs/DESIGN.md#membership).

use std::collections::{BTreeMap, HashMap, HashSet};
use std::net::SocketAddr;

use rand::seq::{IndexedRandom, SliceRandom};

use crate::placement::Load;
use crate::prelude::*;

/// The time between two heartbeats of a host.
pub const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(200);
/// The number of hosts of the same domain that get each heartbeat, for any fleet size.
pub const NEAR_FAN_OUT: usize = 2;
/// The number of heartbeats after a start that go to more hosts, so that hosts which start together
/// know each other before they decide which of them hold roles.
const STARTING_HEARTBEATS: u64 = 10;
/// The number of hosts of the same domain that get each of those heartbeats.
const STARTING_NEAR_FAN_OUT: usize = 6;
/// The number of unreached addresses that get each of those heartbeats; later ones go to one.
const STARTING_UNREACHED: usize = 4;
/// The number of heartbeats that go to all live hosts of the domain after this host's slots or its
/// departure have changed: the usual ones take seconds to reach everyone in a large domain.
const ANNOUNCING_HEARTBEATS: u32 = 3;
/// The number of heartbeats of which one is also sent to a host of another domain.
const FAR_HEARTBEAT_PERIOD: u64 = 2;
/// The maximum number of records of other hosts in each heartbeat.
pub const MAX_GOSSIPED_RECORDS: usize = 3;
/// The maximum number of hosts of the same domain whose counts are in each heartbeat.
pub const MAX_NEAR_COUNTS: usize = 64;
/// The maximum number of hosts of other domains whose counts are in each heartbeat.
pub const MAX_FAR_COUNTS: usize = 8;
/// A host of the same domain is considered dead if its count has not grown for this long.
pub const SUSPECT_AFTER: Duration = Duration::from_secs(2);
/// The time per host of other domains after which one of them is considered dead, if longer
/// than [`SUSPECT_AFTER`]: the more there are, the less often each one's count arrives.
const SUSPECT_PER_FAR_HOST: Duration = Duration::from_millis(45);
/// A host whose count has not grown for this long is removed from the view.
const FORGET_AFTER: Duration = Duration::from_mins(1);

plain! { data
    /// The state that a host announces about itself.
    pub struct Record {
        /// The tag of the host's name.
        pub host: Tag,
        /// The domain that the host belongs to.
        pub domain: Tag,
        /// The address for peers, UDP and TCP.
        pub address: SocketAddr,
        /// The start time of the process; a record with a higher one replaces the older record.
        pub incarnation: u64,
        /// The number of heartbeats sent so far.
        pub count: u64,
        /// Whether the host is leaving and gets no new roles.
        pub is_leaving: bool,
        /// The configuration revision in force on the host.
        pub revision: u64,
        /// The number of withdrawn keys that the host knows.
        pub withdrawn: u32,
        /// The epoch of the roster that `slots` comes from.
        pub epoch: u64,
        /// The bucket slots that the host spends from, as a bit set.
        pub slots: u64,
        /// The headroom of each scheduler that runs on the host.
        pub headroom: Vec<Headroom>,
        /// The work that the host has in progress at each registered upstream.
        pub loads: Vec<(Tag, Load)>,
        /// Upstreams that are leaving, according to the platform's list or to themselves.
        pub leaving_upstreams: Vec<Tag>,
    }
}

plain! { value
    /// The capacity that a domain's scheduler has to spare for requests of other domains.
    pub struct Headroom {
        /// The tag of the service that the scheduler serves.
        pub service: Tag,
        /// Free decode slots minus queued requests; negative if there is a backlog.
        pub slots: i32,
    }
}

plain! { value
    /// A host's heartbeat count in compact form.
    #[derive(Eq)]
    pub struct Count {
        /// The upper half of the host's tag.
        pub host: u32,
        /// The lower half of the host's incarnation.
        pub incarnation: u32,
        /// The number of heartbeats sent so far.
        pub count: u32,
    }
}

impl Count {
    fn of(member: &Member) -> Self {
        let Member { record, count, .. } = member;
        let host = host_prefix(record.host);
        Self { host, incarnation: record.incarnation as u32, count: *count as u32 }
    }
}

/// The upper half of a host's tag, by which a [`Count`] names it.
const fn host_prefix(host: Tag) -> u32 {
    (host.0 >> 32) as u32
}

/// What this host knows about another host.
#[derive(Debug, Clone, PartialEq)]
pub struct Member {
    /// The newest record received, with the count at which the host announced it.
    pub record: Record,
    /// The highest count received, which may be newer than the record: counts are forwarded more
    /// often.
    pub count: u64,
    /// When the count last grew, by this host's clock.
    pub last_heard: Instant,
    /// Whether the platform's list says that the host is leaving.
    pub is_listed_leaving: bool,
    /// How long the count may stay the same before the host is considered dead.
    pub suspect_after: Duration,
}

impl Member {
    /// Whether the count has grown recently enough for the host to be considered alive.
    pub fn is_alive(&self, now: Instant) -> bool {
        now.saturating_duration_since(self.last_heard) < self.suspect_after
    }

    /// Whether the host may be given new roles.
    pub fn is_eligible(&self, now: Instant) -> bool {
        self.is_alive(now) && !self.record.is_leaving && !self.is_listed_leaving
    }
}

/// One host's view of the fleet.
#[derive(Debug, Clone)]
pub struct View {
    /// The record that this host announces about itself.
    pub own: Record,
    members: BTreeMap<Tag, Member>,
    seeds: Vec<SocketAddr>,
    /// The slots and the departure that were announced last.
    announced: (u64, bool),
    /// The number of heartbeats that have yet to announce them to the whole domain.
    announcements_left: u32,
}

/// A heartbeat and its receivers.
#[derive(Debug, Clone, PartialEq)]
pub struct Heartbeat {
    /// The addresses to send it to.
    pub to: Vec<SocketAddr>,
    /// This host's record, followed by records of other live hosts.
    pub records: Vec<Record>,
    /// The heartbeat counts of other live hosts.
    pub counts: Vec<Count>,
}

impl View {
    /// Creates a view of this host alone; `seeds` are the addresses to contact first.
    pub fn new(own: Record, seeds: Vec<SocketAddr>) -> Self {
        let announced = (own.slots, own.is_leaving);
        Self { own, members: BTreeMap::new(), seeds, announced, announcements_left: 0 }
    }

    /// Merges the records and counts of a received heartbeat.
    pub fn merge(&mut self, records: &[Record], counts: &[Count], now: Instant) {
        for record in records.iter().filter(|record| record.host != self.own.host) {
            match self.members.get_mut(&record.host) {
                Some(member) if is_newer(record, &member.record) => {
                    let has_restarted = record.incarnation > member.record.incarnation;
                    member.record = record.clone();
                    if has_restarted || record.count > member.count {
                        member.count = record.count;
                        member.last_heard = now;
                    }
                }
                Some(_) => {}
                None => {
                    let member = Member {
                        record: record.clone(),
                        count: record.count,
                        last_heard: now,
                        is_listed_leaving: false,
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
            let Some(count) = known.get(&host_prefix(member.record.host)) else { continue };
            let is_same_incarnation = count.incarnation == member.record.incarnation as u32;
            if is_same_incarnation && u64::from(count.count) > member.count {
                member.count = u64::from(count.count);
                member.last_heard = now;
            }
        }
    }

    /// Adds the addresses of the platform's list to the seeds and marks hosts that are leaving.
    pub fn apply_listing(&mut self, listed: &[Listed]) {
        for entry in listed {
            if !self.seeds.contains(&entry.address) {
                self.seeds.push(entry.address);
            }
            if let Some(member) = self.members.get_mut(&entry.host) {
                member.is_listed_leaving = entry.is_leaving;
            }
        }
    }

    /// Increments this host's count and returns the heartbeat to send.
    ///
    /// Each heartbeat has counts of up to [`MAX_NEAR_COUNTS`] hosts of the same domain, since
    /// roles move within a domain when a host dies. Other domains are followed more slowly, so
    /// that the cost does not grow with the fleet. One seed or dead host also gets the
    /// heartbeat, so that the two sides of a partition find each other once it has healed.
    pub fn next_heartbeat(&mut self, rng: &mut impl rand::Rng, now: Instant) -> Heartbeat {
        self.own.count += 1;
        self.members.retain(|_, m| now.saturating_duration_since(m.last_heard) < FORGET_AFTER);
        self.update_suspect_after();
        let is_announcing = self.takes_announcement();
        let alive: Vec<&Member> = self.members.values().filter(|m| m.is_alive(now)).collect();
        let (near, far): (Vec<&Member>, Vec<&Member>) =
            alive.iter().partition(|member| member.record.domain == self.own.domain);
        let far_fan_out = usize::from(self.own.count.is_multiple_of(FAR_HEARTBEAT_PERIOD));
        let is_starting = self.own.count <= STARTING_HEARTBEATS;
        let (mut near_fan_out, unreached) = if is_starting {
            (STARTING_NEAR_FAN_OUT, STARTING_UNREACHED)
        } else {
            (NEAR_FAN_OUT, 1)
        };
        if is_announcing {
            near_fan_out = near.len();
        }
        let drawn = near.sample(rng, near_fan_out).copied().collect::<Vec<_>>();
        let drawn = drawn.into_iter().chain(far.sample(rng, far_fan_out).copied());
        let mut to: Vec<SocketAddr> = drawn.map(|member| member.record.address).collect();
        to.extend(self.unreached_addresses(&alive, now).sample(rng, unreached).copied());
        let mut records = vec![self.own.clone()];
        records.extend(alive.sample(rng, MAX_GOSSIPED_RECORDS).map(|member| member.record.clone()));
        let near = near.sample(rng, MAX_NEAR_COUNTS).copied().collect::<Vec<_>>();
        let counted = near.into_iter().chain(far.sample(rng, MAX_FAR_COUNTS).copied());
        let counts = counted.map(Count::of).collect();
        Heartbeat { to, records, counts }
    }

    /// Whether the next heartbeat announces a change to the whole domain.
    fn takes_announcement(&mut self) -> bool {
        let current = (self.own.slots, self.own.is_leaving);
        if std::mem::replace(&mut self.announced, current) != current {
            self.announcements_left = ANNOUNCING_HEARTBEATS;
        }
        let is_announcing = self.announcements_left > 0;
        self.announcements_left = self.announcements_left.saturating_sub(1);
        is_announcing
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

    /// Addresses of dead hosts, and seeds that are not the address of a live host.
    fn unreached_addresses(&self, alive: &[&Member], now: Instant) -> Vec<SocketAddr> {
        let known: Vec<SocketAddr> = alive.iter().map(|member| member.record.address).collect();
        let dead = self.members.values().filter(|m| !m.is_alive(now)).map(|m| m.record.address);
        dead.chain(self.seeds.iter().copied())
            .filter(|address| *address != self.own.address && !known.contains(address))
            .collect()
    }

    /// All known hosts except this one, including dead ones that are not yet removed.
    pub fn members(&self) -> impl Iterator<Item = &Member> {
        self.members.values()
    }

    /// The member with this tag; `None` for this host and for unknown ones.
    pub fn member(&self, host: Tag) -> Option<&Member> {
        self.members.get(&host)
    }

    /// The peer address of a known host or of this one, whether alive or not.
    pub fn address(&self, host: Tag) -> Option<SocketAddr> {
        if host == self.own.host {
            return Some(self.own.address);
        }
        self.members.get(&host).map(|member| member.record.address)
    }

    /// Whether a host's count has not grown for longer than `limit`, counted from `started` at
    /// the earliest; never true of this host.
    pub fn is_silent(&self, host: Tag, limit: Duration, started: Instant, now: Instant) -> bool {
        let last_heard = self.members.get(&host).map_or(started, |member| member.last_heard);
        host != self.own.host && now.saturating_duration_since(last_heard.max(started)) > limit
    }

    /// The hosts of a domain that may be given roles, including this one.
    pub fn eligible(&self, domain: Tag, now: Instant) -> Vec<Tag> {
        let own = (self.own.domain == domain && !self.own.is_leaving).then_some(self.own.host);
        let others = self
            .members
            .values()
            .filter(|member| member.record.domain == domain && member.is_eligible(now));
        own.into_iter().chain(others.map(|member| member.record.host)).collect()
    }

    /// The hosts of all domains that may be given roles.
    pub fn all_eligible(&self, now: Instant) -> Vec<Tag> {
        let own = (!self.own.is_leaving).then_some(self.own.host);
        let others = self.members.values().filter(|member| member.is_eligible(now));
        own.into_iter().chain(others.map(|member| member.record.host)).collect()
    }

    /// The domains of which at least one host is alive, this host's own included.
    pub fn live_domains(&self, now: Instant) -> HashSet<Tag> {
        let others = self.members.values().filter(|member| member.is_alive(now));
        let own = std::iter::once(self.own.domain);
        own.chain(others.map(|member| member.record.domain)).collect()
    }

    /// The live host of `domain` that announces `slot`; of several, the one with the highest epoch.
    pub fn slot_holder(&self, domain: Tag, slot: u32, now: Instant) -> Option<Tag> {
        let others = self.members.values().filter(|m| m.is_alive(now)).map(|m| &m.record);
        others
            .chain(std::iter::once(&self.own))
            .filter(|record| record.domain == domain && record.slots >> slot & 1 == 1)
            .max_by_key(|record| (record.epoch, record.host))
            .map(|record| record.host)
    }

    /// The addresses of live peers with a higher revision or more withdrawn keys than this host.
    ///
    /// Peers of the own domain come first. In each part the order is random, so that hosts which
    /// learn of a revision together do not all ask the same peer for it.
    pub fn peers_ahead(&self, now: Instant, rng: &mut impl rand::Rng) -> Vec<SocketAddr> {
        let is_ahead = |record: &Record| {
            record.revision > self.own.revision || record.withdrawn > self.own.withdrawn
        };
        let live = self.members.values().filter(|member| member.is_alive(now));
        let ahead = live.map(|member| &member.record).filter(|record| is_ahead(record));
        let (mut near, mut far): (Vec<&Record>, Vec<&Record>) =
            ahead.partition(|record| record.domain == self.own.domain);
        near.shuffle(rng);
        far.shuffle(rng);
        near.into_iter().chain(far).map(|record| record.address).collect()
    }

    /// The upstreams that any live host announces as leaving.
    pub fn leaving_upstreams(&self, now: Instant) -> HashSet<Tag> {
        let others = self.members.values().filter(|m| m.is_alive(now)).map(|m| &m.record);
        let records = others.chain(std::iter::once(&self.own));
        records.flat_map(|record| record.leaving_upstreams.iter().copied()).collect()
    }

    /// The highest headroom for a service in each other domain, best domain first.
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
    /// An entry of the platform's list of hosts.
    #[derive(Eq)]
    pub struct Listed {
        /// The tag of the host's name.
        pub host: Tag,
        /// The host's peer address.
        pub address: SocketAddr,
        /// Whether the host is marked as leaving.
        pub is_leaving: bool,
    }
}

fn is_newer(new: &Record, old: &Record) -> bool {
    (new.incarnation, new.count) > (old.incarnation, old.count)
}
