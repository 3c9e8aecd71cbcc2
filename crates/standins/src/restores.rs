//! Measures how a fleet recovers from a restore of the store from an older copy.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use awc::http::StatusCode;
use futures_util::future::join_all;
use serde_json::json;
use tokio::time::{Instant, sleep, sleep_until};

use crate::fleet::{self, Fleet, MODEL, Plan};
use crate::platform::Counts;

/// The age of the copy that the store is restored from, in milliseconds.
const COPY_AGE_MS: u64 = 3_000;
/// The seconds over which calls to the store are counted, before and after the restore.
const COUNTED_SECONDS: u32 = 10;
/// The pause between two requests to a host.
const CALL_INTERVAL: Duration = Duration::from_millis(300);

/// Prints one CSV row for each size of a domain, in hosts.
pub async fn run(sizes: &[usize]) -> io::Result<()> {
    println!(
        "hosts,sent,refused,last_refused_ms,reads_before,writes_before,reads_after,writes_after,\
         peak_reads_per_s,peak_writes_per_s"
    );
    for hosts_per_domain in sizes {
        let plan =
            Plan { hosts_per_domain: *hosts_per_domain, ..Plan::small(std::env::current_exe()?) };
        measure(&Fleet::start(plan).await?).await?;
    }
    Ok(())
}

async fn measure(fleet: &Fleet) -> io::Result<()> {
    let before = count_seconds(fleet).await?;
    let fault = json!({ "restore_ms": COPY_AGE_MS });
    fleet::post(fleet.platform.address, "/test/fault", &fault).await.map_err(io::Error::other)?;
    let key = fleet.keys.values().next().cloned().unwrap_or_default();
    let callers = fleet.caller_addresses().into_iter().map(|caller| call_repeatedly(caller, &key));
    let (after, calls) = tokio::join!(count_seconds(fleet), join_all(callers));
    let after = after?;
    let refused: Vec<Duration> = calls.iter().flat_map(|calls| calls.refused.clone()).collect();
    let sent: usize = calls.iter().map(|calls| calls.sent).sum();
    let last_refused = refused.iter().max().copied().unwrap_or_default();
    let total = |calls: &[Counts], of: fn(&Counts) -> u64| calls.iter().map(of).sum::<u64>();
    let peak = |of: fn(&Counts) -> u64| after.iter().map(of).max().unwrap_or(0);
    println!(
        "{},{sent},{},{},{},{},{},{},{},{}",
        fleet.hosts.len(),
        refused.len(),
        last_refused.as_millis(),
        total(&before, |calls| calls.reads),
        total(&before, |calls| calls.writes),
        total(&after, |calls| calls.reads),
        total(&after, |calls| calls.writes),
        peak(|calls| calls.reads),
        peak(|calls| calls.writes),
    );
    Ok(())
}

/// The requests that were sent to one host.
struct Calls {
    sent: usize,
    /// When each request was sent that had another response than 200, since the first.
    refused: Vec<Duration>,
}

/// Sends short completions to a host for as long as calls to the store are counted.
async fn call_repeatedly(caller: SocketAddr, key: &str) -> Calls {
    let started = Instant::now();
    let mut calls = Calls { sent: 0, refused: Vec::new() };
    while started.elapsed() < Duration::from_secs(1) * COUNTED_SECONDS {
        let sent_at = started.elapsed();
        let body = json!({ "model": MODEL, "prompt": "Check.", "max_tokens": 1 });
        let request = awc::Client::new().post(format!("http://{caller}/v1/completions"));
        let response = request.bearer_auth(key).send_json(&body).await;
        calls.sent += 1;
        if !response.is_ok_and(|response| response.status() == StatusCode::OK) {
            calls.refused.push(sent_at);
        }
        sleep(CALL_INTERVAL).await;
    }
    calls
}

/// The calls to the store in each of the next [`COUNTED_SECONDS`].
async fn count_seconds(fleet: &Fleet) -> io::Result<Vec<Counts>> {
    let started = Instant::now();
    let mut last = read_counts(fleet).await?;
    let mut seconds = Vec::new();
    for second in 1..=COUNTED_SECONDS {
        sleep_until(started + Duration::from_secs(1) * second).await;
        let now = read_counts(fleet).await?;
        let (reads, writes) = (now.reads - last.reads, now.writes - last.writes);
        seconds.push(Counts { reads, writes });
        last = now;
    }
    Ok(seconds)
}

async fn read_counts(fleet: &Fleet) -> io::Result<Counts> {
    let counts = fleet::get(fleet.platform.address, "/test/counts").await;
    serde_json::from_value(counts.map_err(io::Error::other)?).map_err(io::Error::other)
}
