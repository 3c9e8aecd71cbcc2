//! The `damaskhatch status`, `explain` and `drain` commands.

use std::fs::File;
use std::io::{self, BufReader};
use std::path::{Path, PathBuf};

use serde_json::json;

use super::call::{Error, Result, get, post};
use super::timeline::Timeline;
use crate::operator::Status;

/// Prints the fleet as one host sees it.
pub async fn status(hosts: &[String], as_json: bool) -> Result<()> {
    let response = get(hosts, "/v1/status").await?;
    if as_json {
        println!("{response:#}");
        return Ok(());
    }
    let status: Status = serde_json::from_value(response).map_err(|error| {
        Error::Refused(format!("unexpected response to a status query: {error}"))
    })?;
    let draining = if status.draining { ", draining" } else { "" };
    println!(
        "{} at revision {}, {} requests in flight{draining}",
        status.name, status.revision, status.in_flight
    );
    for (state, names) in [("evacuated", &status.evacuated), ("cold", &status.cold)] {
        if !names.is_empty() {
            println!("{state}: {}", names.join(", "));
        }
    }
    println!("{:<20} {:<22} {:<8} {:>8} {:>6}", "DOMAIN", "ADDRESS", "STATE", "REVISION", "SLOTS");
    for host in &status.hosts {
        let state = match (host.alive, host.leaving) {
            (false, _) => "silent",
            (true, true) => "leaving",
            (true, false) => "alive",
        };
        println!(
            "{:<20} {:<22} {:<8} {:>8} {:>6}",
            host.domain, host.address, state, host.revision, host.slots
        );
    }
    Ok(())
}

/// Prints the decisions on a request that the given hosts still have in memory.
pub async fn explain(hosts: &[String], request: &str) -> Result<()> {
    let mut lines = Vec::new();
    for host in hosts {
        let path = format!("/v1/explain/{request}");
        match get(std::slice::from_ref(host), &path).await {
            Ok(response) => {
                let found = response.as_array().cloned().unwrap_or_default();
                lines.extend(found.into_iter().map(|line| (line["at_ms"].as_u64(), line)));
            }
            Err(Error::Unreachable(reason)) => eprintln!("{host}: {reason}"),
            Err(refused) => return Err(refused),
        }
    }
    if lines.is_empty() {
        return Err(Error::Refused(format!(
            "no given host remembers a decision on request {request}"
        )));
    }
    lines.sort_by_key(|(at, _)| *at);
    for (at, line) in lines {
        println!("{} {}", at.unwrap_or(0), line["text"].as_str().unwrap_or(""));
    }
    Ok(())
}

/// Prints the lines about a request that the given log files contain, ordered by time.
pub fn explain_logs(logs: &[PathBuf], request: &str) -> Result<()> {
    let mut timeline = Timeline::new(request);
    for log in logs {
        let source = if logs.len() > 1 { log.display().to_string() } else { String::new() };
        let read = if log == Path::new("-") {
            timeline.read(&source, io::stdin().lock())
        } else {
            File::open(log).and_then(|file| timeline.read(&source, BufReader::new(file)))
        };
        read.map_err(|error| Error::Refused(format!("{}: {error}", log.display())))?;
    }
    if timeline.dropped_lines() > 0 {
        eprintln!("hosts dropped {} lines from these logs", timeline.dropped_lines());
    }
    if timeline.is_empty() {
        return Err(Error::Refused(format!(
            "no given log contains a line about request {request}"
        )));
    }
    timeline.into_sorted().iter().for_each(|line| println!("{line}"));
    Ok(())
}

/// Starts a graceful stop of the first given host.
pub async fn drain(hosts: &[String]) -> Result<()> {
    let first = hosts.get(..1).unwrap_or_default();
    post(first, "/v1/drain", &json!({})).await?;
    println!("draining");
    Ok(())
}
