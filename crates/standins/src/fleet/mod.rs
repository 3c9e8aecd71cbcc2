//! Starts a whole fleet of processes on loopback: platform, engines, services, hosts.

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

use block::{Block, PLATFORM_NUMBER, PROXY_NUMBER, UPSTREAM_NUMBER};
pub use http::{get, post, post_bytes};
pub use plan::Plan;
pub use process::Process;
use process::{launch, spawn};

/// Teams that get a key; a sheet may have thousands.
const MAX_KEYS: usize = 8;
/// How long a fleet may take to get ready.
const READY_TIMEOUT: Duration = Duration::from_mins(1);
/// The pause between two looks.
const POLL: Duration = Duration::from_millis(50);
/// The secret of the hosts of a test fleet.
const SECRET: &str = "a-secret-for-tests-only";

/// A host of a fleet.
#[derive(Debug)]
pub struct Host {
    /// Its process; the main address is the caller port.
    pub process: Process,
    /// Its domain.
    pub domain: String,
    /// Its operator port.
    pub operator: SocketAddr,
    /// Its peer port.
    pub peer: SocketAddr,
    /// The proxies before its peer port and before its platform, if there are any.
    pub proxies: Option<Proxies>,
}

/// The proxies around a host.
#[derive(Debug, Clone)]
pub struct Proxies {
    /// Datagrams from other hosts.
    pub datagrams: Handle,
    /// Connections from other hosts.
    pub connections: Handle,
    /// Connections to the platform.
    pub platform: Handle,
}

/// A running fleet.
#[derive(Debug)]
pub struct Fleet {
    /// What it consists of.
    pub plan: Plan,
    /// The platform.
    pub platform: Process,
    /// The engines.
    pub engines: Vec<Process>,
    /// The plain services.
    pub services: Vec<Process>,
    /// The hosts.
    pub hosts: Vec<Host>,
    /// Keys by team.
    pub keys: HashMap<String, String>,
    /// The accepted sheet.
    pub sheet: String,
    folder: PathBuf,
    block: Block,
}

/// The model of a test fleet.
pub const MODEL: &str = "summary";
/// The plain service of a test fleet.
pub const SERVICE: &str = "pickups";

impl Fleet {
    /// Starts all processes, accepts the sheet and issues a key for each team.
    pub async fn start(plan: Plan) -> io::Result<Self> {
        let folder = std::env::temp_dir().join(format!(
            "damaskhatch-{}-{:x}",
            std::process::id(),
            rand::random::<u32>()
        ));
        std::fs::create_dir_all(&folder)?;
        let block = Block::take()?;
        let address = block.free(PLATFORM_NUMBER)?;
        let args = vec!["platform".to_owned(), "--listen".to_owned(), address.to_string()];
        let platform = spawn(&plan, "platform", address, args).await?;
        let mut fleet = Self {
            platform,
            engines: Vec::new(),
            services: Vec::new(),
            hosts: Vec::new(),
            keys: HashMap::new(),
            sheet: String::new(),
            folder,
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
                    let address = self.next_upstream()?;
                    let mut args = vec!["engine".to_owned(), "--listen".to_owned()];
                    args.extend([address.to_string(), "--role".to_owned(), role.to_owned()]);
                    args.extend(plan.engine_args.iter().cloned());
                    let name = format!("{domain}-{role}-{index}");
                    self.engines.push(spawn(&plan, &name, address, args).await?);
                }
            }
            for index in 0..plan.services_per_domain {
                let address = self.next_upstream()?;
                let args = vec!["service".to_owned(), "--listen".to_owned(), address.to_string()];
                let name = format!("{domain}-app-{index}");
                self.services.push(spawn(&plan, &name, address, args).await?);
            }
        }
        Ok(())
    }

    fn next_upstream(&self) -> io::Result<SocketAddr> {
        let count = (self.engines.len() + self.services.len()) as u8;
        self.block.free(UPSTREAM_NUMBER + count)
    }

    async fn start_hosts(&mut self) -> io::Result<()> {
        let plan = self.plan.clone();
        let mut places = Vec::new();
        for domain in &plan.domains {
            for index in 0..plan.hosts_per_domain {
                let name = format!("{domain}-host-{index}");
                places.push(self.place_host(name, domain, places.len() as u8 + 1).await?);
            }
        }
        let seeds: Vec<SocketAddr> = places.iter().map(|place| place.advertise).collect();
        for place in places {
            let host = self.spawn_host(place, &seeds)?;
            self.hosts.push(host);
        }
        Ok(())
    }

    /// Chooses a host's addresses and starts the proxies around it.
    async fn place_host(&self, name: String, domain: &str, number: u8) -> io::Result<Place> {
        let [peer, caller, operator] = self.block.free_ports(number)?;
        let domain = domain.to_owned();
        let platform = self.platform.address;
        if !self.plan.proxied {
            let proxies = None;
            let advertise = peer;
            return Ok(Place {
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
        let any = SocketAddr::from((self.block.ip(PROXY_NUMBER + number), 0));
        let (advertise, connections) = proxy::tcp(any, peer).await?;
        let (_same, datagrams) = proxy::udp(advertise, peer).await?;
        let any = SocketAddr::from((self.block.ip(PROXY_NUMBER + number), 0));
        let (through, to_platform) = proxy::tcp(any, platform).await?;
        let proxies = Some(Proxies { datagrams, connections, platform: to_platform });
        let platform = through;
        Ok(Place { name, domain, caller, operator, peer, advertise, platform, proxies })
    }

    fn spawn_host(&self, place: Place, seeds: &[SocketAddr]) -> io::Result<Host> {
        let Place { name, domain, caller, operator, peer, advertise, platform, proxies } = place;
        let seeds: Vec<String> = seeds.iter().map(ToString::to_string).collect();
        let settings = format!(
            "[host]\nname = {name}\ndomain = {domain}\ncaller = {caller}\n\
             operator = {operator}\npeer = {peer}\nadvertise = {advertise}\nseeds = {}\n\
             secret = {SECRET}\n[platform]\naddress = {platform}\n[limits]\n{}\n",
            seeds.join(","),
            self.plan.limits
        );
        let file = self.folder.join(format!("{name}.ini"));
        std::fs::write(&file, settings)?;
        let args = vec!["daemon".to_owned(), "--settings".to_owned(), file.display().to_string()];
        let process = launch(&self.plan, &name, caller, args)?;
        Ok(Host { process, domain, operator, peer, proxies })
    }

    /// Accepts a sheet and waits until every host has it; returns the revision.
    pub async fn accept_sheet(&self, sheet: &str, limit: Duration) -> io::Result<u64> {
        let operator = self.hosts[0].operator;
        let status = get(operator, "/v1/status").await.map_err(io::Error::other)?;
        let base = status["revision"].as_u64().unwrap_or(0);
        let path = format!("/v1/sheet/accept?base={base}&operation=sheet-{base}");
        let answer = post_bytes(operator, &path, sheet.as_bytes()).await;
        let revision = answer.map_err(io::Error::other)?["revision"].as_u64().unwrap_or(0);
        self.wait_in_force(revision, limit).await?;
        Ok(revision)
    }

    /// Starts a killed process again with the same arguments.
    pub fn restart(&self, process: &mut Process) -> io::Result<()> {
        let (name, address, args) = (process.name.clone(), process.address, process.args.clone());
        let (listed, proxy) = (process.listed, process.proxy.clone());
        *process = launch(&self.plan, &name, address, args)?;
        (process.listed, process.proxy) = (listed, proxy);
        Ok(())
    }

    /// Accepts the sheet, issues keys and waits until every host has everything.
    async fn configure(&mut self) -> io::Result<()> {
        self.sheet = self.describe();
        let operator = self.hosts[0].operator;
        let end = Instant::now() + READY_TIMEOUT;
        let path = "/v1/sheet/accept?base=0&operation=first";
        while post_bytes(operator, path, self.sheet.as_bytes()).await.is_err() {
            if Instant::now() > end {
                return Err(io::Error::other("the sheet was not accepted in time"));
            }
            sleep(POLL).await;
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

    /// Waits until every host has the revision and sees every other host.
    pub async fn wait_in_force(&self, revision: u64, limit: Duration) -> io::Result<()> {
        let end = Instant::now() + limit;
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
            if Instant::now() > end {
                let waiting = waiting.join("\n");
                return Err(io::Error::other(format!("not at revision {revision}:\n{waiting}")));
            }
            sleep(POLL).await;
        }
    }

    /// Cuts a domain's hosts off from all other hosts, in both directions, or heals the cut.
    pub fn set_domain_partition(&self, domain: &str, is_partitioned: bool) {
        let inside: HashSet<IpAddr> = self.addresses(|host| host.domain == domain);
        let outside: HashSet<IpAddr> = self.addresses(|host| host.domain != domain);
        for host in &self.hosts {
            let Some(proxies) = &host.proxies else { continue };
            let far = if host.domain == domain { &outside } else { &inside };
            let blocked = if is_partitioned { far.clone() } else { HashSet::new() };
            proxies.datagrams.set(Rule { blocked: blocked.clone(), ..Rule::default() });
            proxies.connections.set(Rule { blocked, ..Rule::default() });
        }
    }

    /// Cuts some hosts off from the platform, or heals the cut.
    pub fn set_platform_partition(&self, is_partitioned: bool, which: impl Fn(&Host) -> bool) {
        for host in self.hosts.iter().filter(|host| which(host)) {
            if let Some(proxies) = &host.proxies {
                proxies.platform.set(Rule { is_partitioned, ..Rule::default() });
            }
        }
    }

    fn addresses(&self, which: impl Fn(&Host) -> bool) -> HashSet<IpAddr> {
        let hosts = self.hosts.iter().filter(|host| which(host));
        hosts.map(|host| host.peer.ip()).collect()
    }

    /// Callers' addresses of all hosts.
    pub fn caller_addresses(&self) -> Vec<SocketAddr> {
        self.hosts.iter().map(|host| host.process.address).collect()
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        let _left = std::fs::remove_dir_all(&self.folder);
    }
}

/// Whether a host has the revision, sees all hosts, and every slot has a holder.
fn is_settled(status: &Value, revision: u64, hosts: usize) -> bool {
    let listed = status["hosts"].as_array().cloned().unwrap_or_default();
    let alive = listed.iter().filter(|host| host["alive"] == true);
    let domains = status["domains"].as_array().map_or(0, Vec::len) as u64;
    let slots: u64 = alive.clone().filter_map(|host| host["slots"].as_u64()).sum();
    let all_slots = u64::from(damaskhatch_policy::tenure::SLOTS) * domains;
    status["revision"].as_u64() >= Some(revision) && alive.count() == hosts && slots == all_slots
}

/// Where a host stands.
struct Place {
    name: String,
    domain: String,
    caller: SocketAddr,
    operator: SocketAddr,
    peer: SocketAddr,
    advertise: SocketAddr,
    platform: SocketAddr,
    proxies: Option<Proxies>,
}
