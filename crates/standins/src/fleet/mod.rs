//! Starts a fleet of processes on loopback: the platform, engines, services and hosts.

use std::collections::{HashMap, HashSet};
use std::io;
use std::net::{IpAddr, SocketAddr};
use std::path::PathBuf;
use std::time::Duration;

use serde_json::{Value, json};
use tokio::time::{Instant, sleep};

use crate::proxy::{self, Handle, Rule};

mod block;
mod http;
mod plan;
mod process;
mod sheet;

pub use block::Block;
use block::{FIRST_UPSTREAM_OCTET, PLATFORM_OCTET, PROXY_OCTET_OFFSET};
pub use http::{get, post, post_bytes};
pub use plan::Plan;
pub use process::{Process, peak_memory_mb};
use process::{launch, launch_proxied};

/// The most teams for which a key is issued; a sheet can have thousands of teams.
const MAX_KEYS: usize = 8;
/// How long a fleet may take to become ready, and each POST to one of its processes.
const READY_TIMEOUT: Duration = Duration::from_mins(1);
/// The interval at which a condition is polled.
const POLL_INTERVAL: Duration = Duration::from_millis(50);
/// The secret that the hosts of a fleet share.
const SECRET: &str = "a-secret-for-tests-only";

/// A running host.
#[derive(Debug)]
pub struct Host {
    /// Its process, whose address is the caller port.
    pub process: Process,
    /// Its failure domain.
    pub domain: String,
    /// The address of its operator port.
    pub operator: SocketAddr,
    /// The address of its peer port, without a proxy.
    pub peer: SocketAddr,
    /// The proxies around it; `None` unless [`Plan::proxied`] is set.
    pub proxies: Option<Proxies>,
}

/// The proxies around a host, by the traffic that passes through them.
#[derive(Debug, Clone)]
pub struct Proxies {
    /// Datagrams from other hosts to the peer port.
    pub datagrams: Handle,
    /// Connections from other hosts to the peer port.
    pub connections: Handle,
    /// Connections from the host to the platform.
    pub platform: Handle,
}

/// A running fleet.
#[derive(Debug)]
pub struct Fleet {
    /// The plan from which it was started.
    pub plan: Plan,
    /// The platform's process.
    pub platform: Process,
    /// The engines' processes, domain by domain.
    pub engines: Vec<Process>,
    /// The plain services' processes, domain by domain.
    pub services: Vec<Process>,
    /// The hosts, domain by domain.
    pub hosts: Vec<Host>,
    /// Keys by team; only the first `MAX_KEYS` teams of the plan have one.
    pub keys: HashMap<String, String>,
    /// The sheet that was accepted at the start.
    pub sheet: String,
    /// The directory of the hosts' settings files, removed with the fleet.
    directory: PathBuf,
    block: Block,
}

/// The name of a fleet's model service.
pub const MODEL: &str = "summary";
/// The name of a fleet's plain service.
pub const SERVICE: &str = "pickups";

impl Fleet {
    /// Starts all processes, accepts the sheet and issues keys for the first `MAX_KEYS` teams.
    pub async fn start(plan: Plan) -> io::Result<Self> {
        let directory = std::env::temp_dir().join(format!(
            "damaskhatch-{}-{:x}",
            std::process::id(),
            rand::random::<u32>()
        ));
        std::fs::create_dir_all(&directory)?;
        let block = Block::reserve()?;
        let addresses = block.next_addresses(PLATFORM_OCTET);
        let args = vec!["platform".to_owned(), "--listen".to_owned(), addresses[0].to_string()];
        let platform = launch_proxied(&plan, "platform", addresses, args).await?;
        let mut fleet = Self {
            platform,
            engines: Vec::new(),
            services: Vec::new(),
            hosts: Vec::new(),
            keys: HashMap::new(),
            sheet: String::new(),
            directory,
            block,
            plan,
        };
        fleet.start_upstreams().await?;
        fleet.start_hosts().await?;
        fleet.configure().await?;
        Ok(fleet)
    }

    async fn start_upstreams(&mut self) -> io::Result<()> {
        let plan = self.plan.clone();
        for domain in &plan.domains {
            for (role, count) in
                [("prefill", plan.prefills_per_domain), ("decode", plan.decodes_per_domain)]
            {
                for index in 0..count {
                    let addresses = self.next_upstream_addresses();
                    let mut args = vec!["engine".to_owned(), "--listen".to_owned()];
                    args.extend([addresses[0].to_string(), "--role".to_owned(), role.to_owned()]);
                    args.extend(plan.engine_args.iter().cloned());
                    let name = format!("{domain}-{role}-{index}");
                    self.engines.push(launch_proxied(&plan, &name, addresses, args).await?);
                }
            }
            for index in 0..plan.services_per_domain {
                let addresses = self.next_upstream_addresses();
                let listen = addresses[0].to_string();
                let args = vec!["service".to_owned(), "--listen".to_owned(), listen];
                let name = format!("{domain}-app-{index}");
                self.services.push(launch_proxied(&plan, &name, addresses, args).await?);
            }
        }
        Ok(())
    }

    /// Chooses the addresses of the next upstream and of the proxy before it.
    fn next_upstream_addresses(&self) -> [SocketAddr; 2] {
        let count = (self.engines.len() + self.services.len()) as u8;
        self.block.next_addresses(FIRST_UPSTREAM_OCTET + count)
    }

    async fn start_hosts(&mut self) -> io::Result<()> {
        let plan = self.plan.clone();
        let mut placements = Vec::new();
        for domain in &plan.domains {
            for index in 0..plan.hosts_per_domain {
                let name = format!("{domain}-host-{index}");
                placements.push(self.place_host(name, domain, placements.len() as u8 + 1).await?);
            }
        }
        let seeds: Vec<SocketAddr> =
            placements.iter().map(|placement| placement.advertise).collect();
        for placement in placements {
            let host = self.launch_host(placement, &seeds)?;
            self.hosts.push(host);
        }
        Ok(())
    }

    /// Chooses the addresses of a host and starts the proxies around it.
    async fn place_host(&self, name: String, domain: &str, octet: u8) -> io::Result<Placement> {
        let [peer, caller, operator] = self.block.next_addresses(octet);
        let domain = domain.to_owned();
        let platform = self.platform.address;
        if !self.plan.proxied {
            let proxies = None;
            let advertise = peer;
            return Ok(Placement {
                name,
                domain,
                caller,
                operator,
                peer,
                advertise,
                platform,
                proxies,
            });
        }
        let [advertise, before_platform] = self.block.next_addresses(PROXY_OCTET_OFFSET + octet);
        let (_advertise, connections) = proxy::tcp(advertise, peer).await?;
        let (_advertise, datagrams) = proxy::udp(advertise, peer).await?;
        let (_before_platform, to_platform) = proxy::tcp(before_platform, platform).await?;
        let proxies = Some(Proxies { datagrams, connections, platform: to_platform });
        let platform = before_platform;
        Ok(Placement { name, domain, caller, operator, peer, advertise, platform, proxies })
    }

    fn launch_host(&self, placement: Placement, seeds: &[SocketAddr]) -> io::Result<Host> {
        let Placement { name, domain, caller, operator, peer, advertise, platform, proxies } =
            placement;
        let seeds: Vec<String> = seeds.iter().map(ToString::to_string).collect();
        let settings = format!(
            "[host]\nname = {name}\ndomain = {domain}\ncaller = {caller}\n\
             operator = {operator}\npeer = {peer}\nadvertise = {advertise}\nseeds = {}\n\
             secret = {SECRET}\n[platform]\naddress = {platform}\n[limits]\n{}\n",
            seeds.join(","),
            self.plan.limits
        );
        let file = self.directory.join(format!("{name}.ini"));
        std::fs::write(&file, settings)?;
        let args = vec!["daemon".to_owned(), "--settings".to_owned(), file.display().to_string()];
        let process = launch(&self.plan, &name, caller, args)?;
        Ok(Host { process, domain, operator, peer, proxies })
    }

    /// Accepts a sheet and waits until it is in force at every host; returns its revision.
    pub async fn accept_sheet(&self, sheet: &str, timeout: Duration) -> io::Result<u64> {
        let operator = self.hosts[0].operator;
        let status = get(operator, "/v1/status").await.map_err(io::Error::other)?;
        let base = status["revision"].as_u64().unwrap_or(0);
        let path = format!("/v1/sheet/accept?base={base}&operation=sheet-{base}");
        let response = post_bytes(operator, &path, sheet.as_bytes()).await;
        let revision = response.map_err(io::Error::other)?["revision"].as_u64().unwrap_or(0);
        self.wait_in_force(revision, timeout).await?;
        Ok(revision)
    }

    /// Replaces an ended process by a new one with the same arguments, address and proxy.
    pub fn restart(&self, process: &mut Process) -> io::Result<()> {
        let (name, address, args) = (process.name.clone(), process.address, process.args.clone());
        let (listed, proxy) = (process.listed, process.proxy.clone());
        *process = launch(&self.plan, &name, address, args)?;
        (process.listed, process.proxy) = (listed, proxy);
        Ok(())
    }

    /// Accepts the sheet, issues the keys and waits until both are in force at every host.
    async fn configure(&mut self) -> io::Result<()> {
        self.sheet = self.build_sheet();
        let operator = self.hosts[0].operator;
        let deadline = Instant::now() + READY_TIMEOUT;
        let path = "/v1/sheet/accept?base=0&operation=first";
        while post_bytes(operator, path, self.sheet.as_bytes()).await.is_err() {
            if Instant::now() > deadline {
                let message = format!("sheet not accepted by {operator} within {READY_TIMEOUT:?}");
                return Err(io::Error::other(message));
            }
            sleep(POLL_INTERVAL).await;
        }
        let mut revision = 0;
        let keyed = self.plan.teams.clone().into_iter().take(MAX_KEYS);
        for (index, (team, ..)) in keyed.enumerate() {
            let body = json!({ "team": team, "operation": format!("key-{index}") });
            let issued = post(operator, "/v1/keys/issue", &body).await.map_err(io::Error::other)?;
            revision = issued["revision"].as_u64().unwrap_or(0);
            let key = issued["key"].as_str().unwrap_or("").to_owned();
            self.keys.insert(team, key);
        }
        self.wait_in_force(revision, READY_TIMEOUT).await
    }

    /// Waits until every host has the revision and sees all hosts alive and all slots held.
    pub async fn wait_in_force(&self, revision: u64, timeout: Duration) -> io::Result<()> {
        let deadline = Instant::now() + timeout;
        loop {
            let mut waiting = Vec::new();
            for host in &self.hosts {
                let status = get(host.operator, "/v1/status").await.unwrap_or(Value::Null);
                if !is_settled(&status, revision, self.hosts.len()) {
                    waiting.push(format!("{}: {status}", host.process.name));
                }
            }
            if waiting.is_empty() {
                return Ok(());
            }
            if Instant::now() > deadline {
                let waiting = waiting.join("\n");
                return Err(io::Error::other(format!(
                    "hosts not settled at revision {revision} within {timeout:?}:\n{waiting}"
                )));
            }
            sleep(POLL_INTERVAL).await;
        }
    }

    /// Partitions a domain's hosts from all others, in both directions, or heals the partition.
    ///
    /// It does nothing unless [`Plan::proxied`] is set.
    pub fn set_domain_partition(&self, domain: &str, is_partitioned: bool) {
        let inside: HashSet<IpAddr> = self.peer_ips(|host| host.domain == domain);
        let outside: HashSet<IpAddr> = self.peer_ips(|host| host.domain != domain);
        for host in &self.hosts {
            let Some(proxies) = &host.proxies else { continue };
            let remote = if host.domain == domain { &outside } else { &inside };
            let blocked = if is_partitioned { remote.clone() } else { HashSet::new() };
            proxies.datagrams.set(Rule { blocked: blocked.clone(), ..Rule::default() });
            proxies.connections.set(Rule { blocked, ..Rule::default() });
        }
    }

    /// Partitions the selected hosts from the platform, or heals the partition.
    ///
    /// It does nothing unless [`Plan::proxied`] is set.
    pub fn set_platform_partition(
        &self,
        is_partitioned: bool,
        is_selected: impl Fn(&Host) -> bool,
    ) {
        for host in self.hosts.iter().filter(|host| is_selected(host)) {
            if let Some(proxies) = &host.proxies {
                proxies.platform.set(Rule { is_partitioned, ..Rule::default() });
            }
        }
    }

    fn peer_ips(&self, is_selected: impl Fn(&Host) -> bool) -> HashSet<IpAddr> {
        let hosts = self.hosts.iter().filter(|host| is_selected(host));
        hosts.map(|host| host.peer.ip()).collect()
    }

    /// The addresses of all hosts' caller ports.
    pub fn caller_addresses(&self) -> Vec<SocketAddr> {
        self.hosts.iter().map(|host| host.process.address).collect()
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        let _failed = std::fs::remove_dir_all(&self.directory);
    }
}

/// Whether a host's status shows the revision, all hosts alive, and a holder for every slot.
fn is_settled(status: &Value, revision: u64, hosts: usize) -> bool {
    let listed = status["hosts"].as_array().cloned().unwrap_or_default();
    let alive = listed.iter().filter(|host| host["alive"] == true);
    let domains = status["domains"].as_array().map_or(0, Vec::len) as u64;
    let slots: u64 = alive.clone().filter_map(|host| host["slots"].as_u64()).sum();
    let all_slots = u64::from(damaskhatch_policy::tenure::SLOTS) * domains;
    status["revision"].as_u64() >= Some(revision) && alive.count() == hosts && slots == all_slots
}

/// The name and addresses of a host that is yet to be started.
struct Placement {
    name: String,
    domain: String,
    caller: SocketAddr,
    operator: SocketAddr,
    peer: SocketAddr,
    advertise: SocketAddr,
    platform: SocketAddr,
    proxies: Option<Proxies>,
}
