//! The indexed form of one revision, which the traffic threads read.

use std::collections::{BTreeSet, HashMap, HashSet};

use crate::prelude::*;
use crate::routing::Table;
use crate::sheet::{self, EngineTerms, Role, Row, Warming};

/// A failure domain.
#[derive(Debug, Clone, PartialEq)]
pub struct DomainEntry {
    /// The name in the sheet.
    pub name: String,
    /// The tag of the name, which hosts use between themselves.
    pub tag: Tag,
    /// The domain's fraction of every team's rate and burst, 0 to 1; 0 once it left the sheet.
    pub share: f64,
}

/// A team; one that left the sheet keeps its index but has no services and limits of 0.
#[derive(Debug, Clone, PartialEq)]
pub struct TeamEntry {
    /// The name in the sheet.
    pub name: String,
    /// The tag of the name, which hosts use between themselves.
    pub tag: Tag,
    /// The rate limit over all hosts, in tokens per second.
    pub rate: f64,
    /// The burst limit over all hosts, in tokens.
    pub burst: f64,
    /// The services that the team may call.
    pub services: HashSet<Service>,
    /// The tokens charged for a request that states no token count.
    pub plain_tokens: u32,
    /// Whether `rate` and `burst` are enforced.
    pub is_limited: bool,
    /// The priority of the team's requests, 0 being the highest; `None` if the route decides.
    pub priority: Option<u8>,
    /// The regions that the team's requests are bound to; empty if they may be run anywhere.
    pub homes: Vec<String>,
}

/// A service; one that left the sheet keeps its index but has no kind and no upstreams.
#[derive(Debug, Clone, PartialEq)]
pub struct ServiceEntry {
    /// The name in the sheet.
    pub name: String,
    /// The tag of the name, which hosts use between themselves.
    pub tag: Tag,
    /// Model or plain; `None` once the service left the sheet.
    pub kind: Option<sheet::Kind>,
    /// Whether callers may use the service without a key.
    pub open: bool,
    /// Whether a call may run more than once.
    pub repeatable: bool,
    /// The upstreams that the sheet lists for the service.
    pub upstreams: Vec<Upstream>,
    /// The capacities and times of its engines; `None` unless the configuration states it.
    pub engines: Option<EngineTerms>,
    /// How much its upstreams bear while they are cold; `None` if that makes no difference.
    pub warming: Option<Warming>,
    /// The priorities that its routes, and the teams, give to its requests; empty without routes.
    pub priorities: BTreeSet<u8>,
}

/// An upstream; one that left the sheet keeps its index but belongs to no service.
#[derive(Debug, Clone, PartialEq)]
pub struct UpstreamEntry {
    /// The name in the sheet.
    pub name: String,
    /// The tag of the name, which hosts use between themselves.
    pub tag: Tag,
    /// The domain that the upstream runs in.
    pub domain: Tag,
    /// The phases that the upstream runs; `Plain` if it is not a model engine.
    pub role: Role,
    /// The upstream's HTTP address.
    pub address: String,
    /// Whether the upstream refuses orders with an outdated fencing number.
    pub fenced: bool,
}

/// The result of looking up a caller's key.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Access {
    /// The key belongs to this team.
    Team(Team),
    /// The key was withdrawn.
    Withdrawn,
    /// There is no key with this digest.
    Unknown,
}

/// One revision, with the withdrawals known so far, indexed for lookups.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Snapshot {
    /// The number of the revision; 0 before the first.
    pub revision: u64,
    /// All domains, including those that left the sheet.
    pub domains: Map<Domain, DomainEntry>,
    /// All teams, including those that left the sheet.
    pub teams: Map<Team, TeamEntry>,
    /// All services, including those that left the sheet.
    pub services: Map<Service, ServiceEntry>,
    /// All upstreams, including those that left the sheet.
    pub upstreams: Map<Upstream, UpstreamEntry>,
    /// The routes of this revision, by host and prefix.
    pub routes: Table,
    names: Names,
    keys: HashMap<String, Team>,
    withdrawn: HashSet<String>,
}

/// The index of each name; names are never removed, so that an index keeps its meaning.
#[derive(Debug, Clone, Default, PartialEq)]
struct Names {
    domains: HashMap<Tag, Domain>,
    teams: HashMap<Tag, Team>,
    services: HashMap<Tag, Service>,
    upstreams: HashMap<Tag, Upstream>,
}

impl Snapshot {
    /// The index of a team; `None` if no revision applied on this host named it.
    pub fn team(&self, tag: Tag) -> Option<Team> {
        self.names.teams.get(&tag).copied()
    }

    /// The index of a service; `None` if no revision applied on this host named it.
    pub fn service(&self, tag: Tag) -> Option<Service> {
        self.names.services.get(&tag).copied()
    }

    /// The index of a domain; `None` if no revision applied on this host named it.
    pub fn domain(&self, tag: Tag) -> Option<Domain> {
        self.names.domains.get(&tag).copied()
    }

    /// The index of an upstream; `None` if no revision applied on this host named it.
    pub fn upstream(&self, tag: Tag) -> Option<Upstream> {
        self.names.upstreams.get(&tag).copied()
    }

    /// Looks up a key by its digest; a withdrawal takes precedence.
    pub fn access(&self, digest: &str) -> Access {
        if self.withdrawn.contains(digest) {
            return Access::Withdrawn;
        }
        self.keys.get(digest).map_or(Access::Unknown, |team| Access::Team(*team))
    }

    /// Whether the team may call the service.
    pub fn is_granted(&self, team: Team, service: Service) -> bool {
        self.teams.get(team).is_some_and(|entry| entry.services.contains(&service))
    }

    /// The digest and the team of each issued key, including withdrawn ones.
    pub fn keys(&self) -> impl Iterator<Item = (&str, Team)> {
        self.keys.iter().map(|(digest, team)| (digest.as_str(), *team))
    }

    /// The digests of all withdrawn keys.
    pub fn withdrawn(&self) -> impl Iterator<Item = &str> {
        self.withdrawn.iter().map(String::as_str)
    }

    /// Whether the key with this digest was withdrawn.
    pub fn is_withdrawn(&self, digest: &str) -> bool {
        self.withdrawn.contains(digest)
    }

    pub(super) fn withdraw(&mut self, digest: &str) {
        self.withdrawn.insert(digest.to_owned());
    }

    /// Builds the snapshot of the next revision; names that are already known keep their index.
    pub(super) fn next(&self, revision: u64, rows: &[Row]) -> Self {
        let mut next = Self { revision, withdrawn: self.withdrawn.clone(), ..self.indices_only() };
        rows.iter().for_each(|row| next.add_named(row));
        rows.iter().for_each(|row| next.add_relation(row));
        next.index_priorities();
        next
    }

    /// Collects the priorities of each service, so that a request need not look at all routes and teams.
    fn index_priorities(&mut self) {
        for route in self.routes.iter() {
            for target in route.targets.iter().filter(|target| target.weight > 0.0) {
                if let Some(service) = self.names.services.get(&Tag::of(&target.service)) {
                    self.services[*service].priorities.insert(route.priority);
                }
            }
        }
        let of_teams: BTreeSet<u8> =
            self.teams.iter().filter_map(|(_, team)| team.priority).collect();
        for (_, service) in self.services.iter_mut() {
            if !service.priorities.is_empty() {
                service.priorities.extend(&of_teams);
            }
        }
    }

    /// Returns a copy with every index but without keys, routes, limits, grants and upstreams.
    fn indices_only(&self) -> Self {
        let mut kept = self.clone();
        kept.keys.clear();
        kept.routes = Table::default();
        kept.domains.iter_mut().for_each(|(_, domain)| domain.share = 0.0);
        for (_, team) in kept.teams.iter_mut() {
            (team.rate, team.burst) = (0.0, 0.0);
            team.services.clear();
        }
        for (_, service) in kept.services.iter_mut() {
            service.kind = None;
            service.open = false;
            service.upstreams.clear();
            service.priorities.clear();
        }
        kept
    }

    /// Adds an entry that other rows refer to by name, a route or a withdrawal.
    fn add_named(&mut self, row: &Row) {
        match row {
            Row::Domain { name, share } => {
                let tag = Tag::of(name);
                let entry = DomainEntry { name: name.clone(), tag, share: *share };
                upsert(&mut self.names.domains, &mut self.domains, tag, entry);
            }
            Row::Team { name, rate, burst } => {
                let tag = Tag::of(name);
                let services = HashSet::new();
                let entry = TeamEntry {
                    name: name.clone(),
                    tag,
                    rate: *rate,
                    burst: *burst,
                    services,
                    plain_tokens: 1,
                    is_limited: true,
                    priority: None,
                    homes: Vec::new(),
                };
                upsert(&mut self.names.teams, &mut self.teams, tag, entry);
            }
            Row::Service { name, kind, open, repeatable, warming } => {
                let tag = Tag::of(name);
                let entry = ServiceEntry {
                    name: name.clone(),
                    tag,
                    kind: Some(*kind),
                    open: *open,
                    repeatable: *repeatable,
                    upstreams: Vec::new(),
                    engines: None,
                    warming: *warming,
                    priorities: BTreeSet::new(),
                };
                upsert(&mut self.names.services, &mut self.services, tag, entry);
            }
            Row::Upstream { name, domain, role, address, fenced, .. } => {
                let tag = Tag::of(name);
                let entry = UpstreamEntry {
                    name: name.clone(),
                    tag,
                    domain: Tag::of(domain),
                    role: *role,
                    address: address.clone(),
                    fenced: *fenced,
                };
                upsert(&mut self.names.upstreams, &mut self.upstreams, tag, entry);
            }
            Row::Withdrawn { digest } => {
                self.withdrawn.insert(digest.clone());
            }
            Row::Route(route) => self.routes.insert(route),
            Row::Grant { .. } | Row::Key { .. } | Row::Engines { .. } | Row::Tariff { .. } => {}
        }
    }

    /// Adds what a row says about entries that [`Self::add_named`] has added.
    fn add_relation(&mut self, row: &Row) {
        match row {
            Row::Upstream { name, service, .. } => {
                let upstream = self.upstream(Tag::of(name));
                let service = self.service(Tag::of(service));
                if let (Some(upstream), Some(service)) = (upstream, service) {
                    self.services[service].upstreams.push(upstream);
                }
            }
            Row::Grant { team, service } => {
                let service = self.service(Tag::of(service));
                if let (Some(team), Some(service)) = (self.team(Tag::of(team)), service) {
                    self.teams[team].services.insert(service);
                }
            }
            Row::Engines { service, terms } => {
                if let Some(service) = self.service(Tag::of(service)) {
                    self.services[service].engines = Some(*terms);
                }
            }
            Row::Tariff { team, plain_tokens, is_limited, priority, homes } => {
                if let Some(team) = self.team(Tag::of(team)) {
                    let entry = &mut self.teams[team];
                    entry.plain_tokens = *plain_tokens;
                    entry.is_limited = *is_limited;
                    entry.priority = *priority;
                    entry.homes.clone_from(homes);
                }
            }
            Row::Key { digest, team } => {
                if let Some(team) = self.team(Tag::of(team)) {
                    self.keys.insert(digest.clone(), team);
                }
            }
            _ => {}
        }
    }
}

/// Replaces the entry of a known name, or adds it under a new index.
fn upsert<K: crate::id::Entity, V>(
    names: &mut HashMap<Tag, K>,
    map: &mut Map<K, V>,
    tag: Tag,
    entry: V,
) {
    match names.get(&tag) {
        Some(key) => map[*key] = entry,
        None => {
            names.insert(tag, map.push(entry));
        }
    }
}
