//! One revision as the traffic threads read it.

use std::collections::{HashMap, HashSet};

use crate::prelude::*;
use crate::routing::Table;
use crate::sheet::{self, EngineTerms, Role, Row};

/// A domain in force.
#[derive(Debug, Clone, PartialEq)]
pub struct DomainEntry {
    /// Its name.
    pub name: String,
    /// Its name between hosts.
    pub tag: Tag,
    /// Its part of every team's rate and burst.
    pub share: f64,
}

/// A team in force; one that left the sheet keeps its index and has no services.
#[derive(Debug, Clone, PartialEq)]
pub struct TeamEntry {
    /// Its name.
    pub name: String,
    /// Its name between hosts.
    pub tag: Tag,
    /// Tokens per second over all hosts.
    pub rate: f64,
    /// Tokens at once over all hosts.
    pub burst: f64,
    /// The services it may call.
    pub services: HashSet<Service>,
    /// Tokens that a request costs which names no number of its own.
    pub plain_tokens: u32,
    /// Whether rate and burst apply.
    pub is_limited: bool,
    /// The rank of its requests in place of their route's, 0 first.
    pub priority: Option<u8>,
}

/// A service in force.
#[derive(Debug, Clone, PartialEq)]
pub struct ServiceEntry {
    /// Its name.
    pub name: String,
    /// Its name between hosts.
    pub tag: Tag,
    /// Model or plain; `None` once it left the sheet.
    pub kind: Option<sheet::Kind>,
    /// Whether callers need no key.
    pub open: bool,
    /// Whether a call may run more than once.
    pub repeatable: bool,
    /// Its upstreams.
    pub upstreams: Vec<Upstream>,
    /// What its engines hold, if it is a model.
    pub engines: Option<EngineTerms>,
}

/// An upstream in force.
#[derive(Debug, Clone, PartialEq)]
pub struct UpstreamEntry {
    /// Its name.
    pub name: String,
    /// Its name between hosts.
    pub tag: Tag,
    /// Its domain.
    pub domain: Tag,
    /// The phase it runs.
    pub role: Role,
    /// Its HTTP address.
    pub address: String,
    /// Whether it refuses orders with an old fencing number.
    pub fenced: bool,
}

/// What a caller's key turned out to be.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Access {
    /// The key of this team.
    Team(Team),
    /// A key that was withdrawn.
    Withdrawn,
    /// No key that was ever issued.
    Unknown,
}

/// One revision as the traffic threads read it.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Snapshot {
    /// The revision, 0 before the first.
    pub revision: u64,
    /// The domains by index.
    pub domains: Map<Domain, DomainEntry>,
    /// The teams by index.
    pub teams: Map<Team, TeamEntry>,
    /// The services by index.
    pub services: Map<Service, ServiceEntry>,
    /// The upstreams by index.
    pub upstreams: Map<Upstream, UpstreamEntry>,
    /// The routes by host and prefix.
    pub routes: Table,
    names: Names,
    keys: HashMap<String, Team>,
    withdrawn: HashSet<String>,
}

/// Indices by name; they only grow, so that an index keeps its meaning.
#[derive(Debug, Clone, Default, PartialEq)]
struct Names {
    domains: HashMap<Tag, Domain>,
    teams: HashMap<Tag, Team>,
    services: HashMap<Tag, Service>,
    upstreams: HashMap<Tag, Upstream>,
}

impl Snapshot {
    /// The team, if it ever stood in a sheet.
    pub fn team(&self, tag: Tag) -> Option<Team> {
        self.names.teams.get(&tag).copied()
    }

    /// The service, if it ever stood in a sheet.
    pub fn service(&self, tag: Tag) -> Option<Service> {
        self.names.services.get(&tag).copied()
    }

    /// The domain, if it ever stood in a sheet.
    pub fn domain(&self, tag: Tag) -> Option<Domain> {
        self.names.domains.get(&tag).copied()
    }

    /// The upstream, if it ever stood in a sheet.
    pub fn upstream(&self, tag: Tag) -> Option<Upstream> {
        self.names.upstreams.get(&tag).copied()
    }

    /// Looks up a key by its digest.
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

    /// Keys as digest and team, for listings.
    pub fn keys(&self) -> impl Iterator<Item = (&str, Team)> {
        self.keys.iter().map(|(digest, team)| (digest.as_str(), *team))
    }

    /// Digests of withdrawn keys.
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

    /// Builds the next snapshot; indices of names already known stay as they are.
    pub(super) fn next(&self, revision: u64, rows: &[Row]) -> Self {
        let mut next = Self { revision, withdrawn: self.withdrawn.clone(), ..self.emptied() };
        rows.iter().for_each(|row| next.add_named(row));
        rows.iter().for_each(|row| next.add_relation(row));
        next
    }

    /// Keeps every index but takes away all rights and upstreams.
    fn emptied(&self) -> Self {
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
        }
        kept
    }

    fn add_named(&mut self, row: &Row) {
        match row {
            Row::Domain { name, share } => {
                let tag = Tag::of(name);
                let entry = DomainEntry { name: name.clone(), tag, share: *share };
                place(&mut self.names.domains, &mut self.domains, tag, entry);
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
                };
                place(&mut self.names.teams, &mut self.teams, tag, entry);
            }
            Row::Service { name, kind, open, repeatable } => {
                let tag = Tag::of(name);
                let entry = ServiceEntry {
                    name: name.clone(),
                    tag,
                    kind: Some(*kind),
                    open: *open,
                    repeatable: *repeatable,
                    upstreams: Vec::new(),
                    engines: None,
                };
                place(&mut self.names.services, &mut self.services, tag, entry);
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
                place(&mut self.names.upstreams, &mut self.upstreams, tag, entry);
            }
            Row::Withdrawn { digest } => {
                self.withdrawn.insert(digest.clone());
            }
            Row::Route(route) => self.routes.insert(route),
            Row::Grant { .. } | Row::Key { .. } | Row::Engines { .. } | Row::Tariff { .. } => {}
        }
    }

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
            Row::Tariff { team, plain_tokens, is_limited, priority } => {
                if let Some(team) = self.team(Tag::of(team)) {
                    let entry = &mut self.teams[team];
                    entry.plain_tokens = *plain_tokens;
                    entry.is_limited = *is_limited;
                    entry.priority = *priority;
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

fn place<K: crate::id::Entity, V>(
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
