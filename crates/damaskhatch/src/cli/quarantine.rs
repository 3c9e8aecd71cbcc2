//! The `damaskhatch quarantine` commands.

use super::call::{Error, Result, get, post};
use crate::quarantine::{Entry, LiftBody};

/// Prints the fingerprint, the remaining time and the crashed upstreams of each refused request.
pub async fn list(hosts: &[String]) -> Result<()> {
    let response = get(hosts, "/v1/quarantine").await?;
    let entries: Vec<Entry> = serde_json::from_value(response)
        .map_err(|error| Error::Refused(format!("unexpected response to a list: {error}")))?;
    for Entry { fingerprint, left_s, crashed } in entries {
        println!("{fingerprint} {left_s:>5} s  {}", crashed.join(" "));
    }
    Ok(())
}

/// Lets a refused request run again.
pub async fn lift(hosts: &[String], fingerprint: String) -> Result<()> {
    let response = post(hosts, "/v1/quarantine/lift", &LiftBody { fingerprint }).await?;
    println!("{} strikes cleared; all live hosts are told", response["cleared"]);
    Ok(())
}
