//! Measures what a host costs as the fleet and the number of teams grow.
//!
//! docs/CAPACITY.md works out the two-year size from what this prints.

use std::io;
use std::time::Duration;

use serde_json::Value;
use tokio::time::{Instant, sleep};

use crate::fleet::{self, Fleet, Host, Plan, SERVICE};
use crate::load;

/// Clock ticks per second in which the system counts processor time.
const TICKS_PER_SECOND: f64 = 100.0;
/// Bytes of a memory page.
const PAGE_BYTES: f64 = 4_096.0;
/// How long a fleet is left alone before it is measured.
const SETTLE: Duration = Duration::from_secs(4);
/// How long a change may take to be in force.
const FORCE_LIMIT: Duration = Duration::from_secs(30);
/// Calls per stretch under load.
const CALLS: u64 = 6_000;
/// Configuration changes per stretch.
const CHANGES: u32 = 5;

/// What the hosts of a fleet used up to a moment.
#[derive(Debug, Clone, Copy)]
struct Reading {
    at: Instant,
    cpu_seconds: f64,
    bytes: f64,
    frames: f64,
    platform: f64,
}

/// Prints one CSV row for each fleet and stretch.
pub async fn run(stretch: Duration) -> io::Result<()> {
    println!(
        "stretch,hosts,teams,cpu_percent_per_host,bytes_per_s_per_host,frames_per_s_per_host,\
         platform_calls_per_s,memory_mb,unit_cpu_us,unit_bytes,seconds_in_force"
    );
    for (hosts, teams) in [(2, 5), (4, 5), (8, 5), (16, 5), (2, 1_000), (2, 13_000)] {
        measure(hosts, teams, stretch).await?;
    }
    Ok(())
}

async fn measure(hosts_per_domain: usize, teams: usize, stretch: Duration) -> io::Result<()> {
    let mut plan = Plan::small(std::env::current_exe()?);
    plan.hosts_per_domain = hosts_per_domain;
    plan.teams = (0..teams).map(|index| (format!("team-{index}"), 1e8, 1e8)).collect();
    let fleet = Fleet::start(plan).await?;
    sleep(SETTLE).await;
    let size = format!("{},{teams}", fleet.hosts.len());

    let before = read(&fleet).await;
    sleep(stretch).await;
    let after = read(&fleet).await;
    print_row("idle", &size, &fleet, before, after, 0.0, 0.0);

    let before = after;
    let report = load::run(load::Plan {
        targets: fleet.caller_addresses(),
        model: String::new(),
        service: Some(SERVICE.to_owned()),
        keys: fleet.keys.values().cloned().collect(),
        requests: CALLS,
        in_flight: 2,
        prompt_tokens: (20, 40),
        output_tokens: (1, 1),
        seed: 3,
    })
    .await;
    let after = read(&fleet).await;
    print_row("calls", &size, &fleet, before, after, report.right as f64, 0.0);

    let before = after;
    let mut in_force = 0.0;
    for change in 0..CHANGES {
        let rate = format!("team;team-0;;{};", 200_000_000 + change);
        let sheet = fleet.sheet.replace("team;team-0;;100000000;", &rate);
        let started = Instant::now();
        fleet.accept_sheet(&sheet, FORCE_LIMIT).await?;
        in_force += started.elapsed().as_secs_f64() / f64::from(CHANGES);
    }
    let after = read(&fleet).await;
    print_row("changes", &size, &fleet, before, after, f64::from(CHANGES), in_force);
    Ok(())
}

async fn read(fleet: &Fleet) -> Reading {
    let mut reading =
        Reading { at: Instant::now(), cpu_seconds: 0.0, bytes: 0.0, frames: 0.0, platform: 0.0 };
    for host in &fleet.hosts {
        reading.cpu_seconds += cpu_seconds(host);
        let metrics = metrics(host).await;
        reading.bytes += sum(&metrics, "damaskhatch_peer_bytes_total");
        reading.frames += sum(&metrics, "damaskhatch_peer_frames_total");
    }
    let counts = fleet::get(fleet.platform.address, "/test/counts").await.unwrap_or(Value::Null);
    let calls = |name: &str| counts[name].as_f64().unwrap_or(0.0);
    reading.platform = calls("reads") + calls("writes");
    reading
}

fn cpu_seconds(host: &Host) -> f64 {
    let stat = std::fs::read_to_string(format!("/proc/{}/stat", host.process.id()));
    let stat = stat.unwrap_or_default();
    // The fields after the program's name, which may contain spaces.
    let fields = stat.rsplit(')').next().unwrap_or("").split_whitespace();
    let ticks: f64 = fields.skip(11).take(2).filter_map(|ticks| ticks.parse::<f64>().ok()).sum();
    ticks / TICKS_PER_SECOND
}

fn memory_mb(host: &Host) -> f64 {
    let statm = std::fs::read_to_string(format!("/proc/{}/statm", host.process.id()));
    let statm = statm.unwrap_or_default();
    let pages = statm.split_whitespace().nth(1).and_then(|pages| pages.parse::<f64>().ok());
    pages.unwrap_or(0.0) * PAGE_BYTES / 1e6
}

async fn metrics(host: &Host) -> String {
    let client = awc::Client::new();
    let Ok(mut response) = client.get(format!("http://{}/metrics", host.operator)).send().await
    else {
        return String::new();
    };
    let body = response.body().await.unwrap_or_default();
    String::from_utf8_lossy(&body).into_owned()
}

/// The sum of a metric over its labels.
fn sum(metrics: &str, name: &str) -> f64 {
    let lines = metrics.lines().filter(|line| line.starts_with(name));
    lines.filter_map(|line| line.rsplit(' ').next()?.parse::<f64>().ok()).sum()
}

fn print_row(
    stretch: &str,
    size: &str,
    fleet: &Fleet,
    before: Reading,
    after: Reading,
    units: f64,
    in_force: f64,
) {
    let hosts = fleet.hosts.len() as f64;
    let seconds = (after.at - before.at).as_secs_f64();
    let cpu = after.cpu_seconds - before.cpu_seconds;
    let bytes = after.bytes - before.bytes;
    let memory = fleet.hosts.iter().map(memory_mb).fold(0.0, f64::max);
    let per_unit = |value: f64| if units > 0.0 { value / units } else { 0.0 };
    println!(
        "{stretch},{size},{:.2},{:.0},{:.1},{:.1},{memory:.1},{:.0},{:.0},{in_force:.2}",
        cpu / seconds / hosts * 100.0,
        bytes / seconds / hosts,
        (after.frames - before.frames) / seconds / hosts,
        (after.platform - before.platform) / seconds,
        per_unit(cpu * 1e6),
        per_unit(bytes),
    );
}
