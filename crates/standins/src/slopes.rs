//! Measures the resources that a host uses as the fleet and the number of teams grow.
//!
//! docs/CAPACITY.md derives the two-year capacity from the printed figures.

use std::io;
use std::time::Duration;

use serde_json::Value;
use tokio::time::{Instant, sleep};

use crate::fleet::{self, Fleet, Host, Plan, SERVICE};
use crate::load;

/// Clock ticks per second, the unit of processor time in `/proc/PID/stat`.
const TICKS_PER_SECOND: f64 = 100.0;
/// Size of a memory page, the unit of `/proc/PID/statm`.
const PAGE_BYTES: f64 = 4_096.0;
/// Delay between the start of a fleet and its first measurement.
const SETTLE_TIME: Duration = Duration::from_secs(4);
/// Time limit for a configuration change to be in force on all hosts.
const IN_FORCE_TIMEOUT: Duration = Duration::from_secs(30);
/// Calls to the plain service in the `calls` phase.
const CALL_COUNT: u64 = 6_000;
/// Configuration changes in the `changes` phase.
const CHANGE_COUNT: u32 = 5;

/// Totals over all hosts of a fleet since their start.
#[derive(Debug, Clone, Copy)]
struct Reading {
    taken_at: Instant,
    cpu_seconds: f64,
    /// Bytes that the hosts sent to each other.
    bytes: f64,
    frames: f64,
    platform_calls: f64,
}

/// Prints one CSV row for each fleet and phase; `idle_time` is the length of the `idle` phase.
pub async fn run(idle_time: Duration) -> io::Result<()> {
    println!(
        "stretch,hosts,teams,cpu_percent_per_host,bytes_per_s_per_host,frames_per_s_per_host,\
         platform_calls_per_s,memory_mb,unit_cpu_us,unit_bytes,seconds_in_force"
    );
    for (hosts, teams) in [(2, 5), (4, 5), (8, 5), (16, 5), (2, 1_000), (2, 13_000)] {
        measure_fleet(hosts, teams, idle_time).await?;
    }
    Ok(())
}

async fn measure_fleet(
    hosts_per_domain: usize,
    teams: usize,
    idle_time: Duration,
) -> io::Result<()> {
    let mut plan = Plan::small(std::env::current_exe()?);
    plan.hosts_per_domain = hosts_per_domain;
    plan.teams = (0..teams).map(|index| (format!("team-{index}"), 1e8, 1e8)).collect();
    let fleet = Fleet::start(plan).await?;
    sleep(SETTLE_TIME).await;
    let size_columns = format!("{},{teams}", fleet.hosts.len());

    let before = read_totals(&fleet).await;
    sleep(idle_time).await;
    let after = read_totals(&fleet).await;
    print_row("idle", &size_columns, &fleet, before, after, 0.0, 0.0);

    let before = after;
    let report = load::run(load::Plan {
        targets: fleet.caller_addresses(),
        model: String::new(),
        service: Some(SERVICE.to_owned()),
        keys: fleet.keys.values().cloned().collect(),
        requests: CALL_COUNT,
        in_flight: 2,
        prompt_tokens: (20, 40),
        output_tokens: (1, 1),
        seed: 3,
    })
    .await;
    let after = read_totals(&fleet).await;
    print_row("calls", &size_columns, &fleet, before, after, report.right as f64, 0.0);

    let before = after;
    let mut seconds_in_force = 0.0;
    for change in 0..CHANGE_COUNT {
        let rate = format!("team;team-0;;{};", 200_000_000 + change);
        let sheet = fleet.sheet.replace("team;team-0;;100000000;", &rate);
        let started = Instant::now();
        fleet.accept_sheet(&sheet, IN_FORCE_TIMEOUT).await?;
        seconds_in_force += started.elapsed().as_secs_f64() / f64::from(CHANGE_COUNT);
    }
    let after = read_totals(&fleet).await;
    print_row(
        "changes",
        &size_columns,
        &fleet,
        before,
        after,
        f64::from(CHANGE_COUNT),
        seconds_in_force,
    );
    Ok(())
}

async fn read_totals(fleet: &Fleet) -> Reading {
    let mut reading = Reading {
        taken_at: Instant::now(),
        cpu_seconds: 0.0,
        bytes: 0.0,
        frames: 0.0,
        platform_calls: 0.0,
    };
    for host in &fleet.hosts {
        reading.cpu_seconds += cpu_seconds(host);
        let metrics = fetch_metrics(host).await;
        reading.bytes += sum_metric(&metrics, "damaskhatch_peer_bytes_total");
        reading.frames += sum_metric(&metrics, "damaskhatch_peer_frames_total");
    }
    let counts = fleet::get(fleet.platform.address, "/test/counts").await.unwrap_or(Value::Null);
    let calls = |name: &str| counts[name].as_f64().unwrap_or(0.0);
    reading.platform_calls = calls("reads") + calls("writes");
    reading
}

/// Processor time that the host's process has used in user and kernel mode.
fn cpu_seconds(host: &Host) -> f64 {
    let stat = std::fs::read_to_string(format!("/proc/{}/stat", host.process.id()));
    let stat = stat.unwrap_or_default();
    // Fields are counted after the program's name in parentheses, which may contain spaces.
    let fields = stat.rsplit(')').next().unwrap_or("").split_whitespace();
    let ticks: f64 = fields.skip(11).take(2).filter_map(|ticks| ticks.parse::<f64>().ok()).sum();
    ticks / TICKS_PER_SECOND
}

/// Resident memory of the host's process, in megabytes of 10^6 bytes.
fn memory_mb(host: &Host) -> f64 {
    let statm = std::fs::read_to_string(format!("/proc/{}/statm", host.process.id()));
    let statm = statm.unwrap_or_default();
    let pages = statm.split_whitespace().nth(1).and_then(|pages| pages.parse::<f64>().ok());
    pages.unwrap_or(0.0) * PAGE_BYTES / 1e6
}

/// The text of a host's `/metrics`; empty if the request fails.
async fn fetch_metrics(host: &Host) -> String {
    let client = awc::Client::new();
    let Ok(mut response) = client.get(format!("http://{}/metrics", host.operator)).send().await
    else {
        return String::new();
    };
    let body = response.body().await.unwrap_or_default();
    String::from_utf8_lossy(&body).into_owned()
}

/// Sums the samples of a metric over all its labels.
fn sum_metric(metrics: &str, name: &str) -> f64 {
    let lines = metrics.lines().filter(|line| line.starts_with(name));
    lines.filter_map(|line| line.rsplit(' ').next()?.parse::<f64>().ok()).sum()
}

/// Prints the usage between two readings, per second and per unit of work.
///
/// `units` is the number of calls or changes in between, and `seconds_in_force` the mean time for
/// a change to be in force on all hosts; both are 0 in phases that have none.
fn print_row(
    phase: &str,
    size_columns: &str,
    fleet: &Fleet,
    before: Reading,
    after: Reading,
    units: f64,
    seconds_in_force: f64,
) {
    let hosts = fleet.hosts.len() as f64;
    let seconds = (after.taken_at - before.taken_at).as_secs_f64();
    let cpu = after.cpu_seconds - before.cpu_seconds;
    let bytes = after.bytes - before.bytes;
    let memory = fleet.hosts.iter().map(memory_mb).fold(0.0, f64::max);
    let per_unit = |value: f64| if units > 0.0 { value / units } else { 0.0 };
    println!(
        "{phase},{size_columns},{:.2},{:.0},{:.1},{:.1},{memory:.1},{:.0},{:.0},\
         {seconds_in_force:.2}",
        cpu / seconds / hosts * 100.0,
        bytes / seconds / hosts,
        (after.frames - before.frames) / seconds / hosts,
        (after.platform_calls - before.platform_calls) / seconds,
        per_unit(cpu * 1e6),
        per_unit(bytes),
    );
}
