//! The `damaskhatch sheet` commands.

use std::path::Path;

use damaskhatch_policy::sheet;
use serde_json::Value;

use super::call::{Error, Result, get, post_bytes};

/// Checks a sheet locally, without contacting a host.
pub fn check(file: &Path) -> Result<()> {
    match sheet::parse(&read_file(file)?) {
        Ok(rows) => {
            println!("{}: {} records, no fault", file.display(), rows.len());
            Ok(())
        }
        Err(faults) => {
            let lines = faults.iter().map(|fault| format!("{}: {fault}", file.display()));
            Err(Error::Refused(lines.collect::<Vec<_>>().join("\n")))
        }
    }
}

/// Prints the rows that a sheet would add, remove or change.
pub async fn diff(hosts: &[String], file: &Path) -> Result<()> {
    check(file)?;
    let response = post_bytes(hosts, "/v1/sheet/diff", &read_file(file)?).await?;
    let changes = response["changes"].as_array().cloned().unwrap_or_default();
    for change in &changes {
        let text = |key: &str| change[key].as_str().unwrap_or("").to_owned();
        println!("{:<8} {}", text("change"), text("row"));
        for side in ["before", "after"] {
            if let Some(row) = change[side].as_str() {
                println!("  {side:<6} {row}");
            }
        }
    }
    println!("{} changes against revision {}", changes.len(), response["base"]);
    Ok(())
}

/// Puts a sheet in force and waits until every live host has applied it.
pub async fn accept(hosts: &[String], file: &Path, base: u64, allow_drop: bool) -> Result<()> {
    check(file)?;
    let operation: u64 = rand::random();
    let path = format!(
        "/v1/sheet/accept?base={base}&operation=sheet-{operation:x}&allow_drop={allow_drop}"
    );
    let response = post_bytes(hosts, &path, &read_file(file)?).await?;
    let revision = response["revision"].as_u64().unwrap_or(0);
    println!("accepted as revision {revision}");
    wait_in_force(hosts, revision).await
}

/// Prints how many live hosts have applied the revision until all have.
///
/// Fails after [`MAX_POLLS`] polls; the remaining hosts still apply the revision later.
async fn wait_in_force(hosts: &[String], revision: u64) -> Result<()> {
    for _ in 0..MAX_POLLS {
        let status = get(hosts, "/v1/status").await?;
        let listed = status["hosts"].as_array().cloned().unwrap_or_default();
        let alive: Vec<&Value> = listed.iter().filter(|host| host["alive"] == true).collect();
        let updated =
            alive.iter().filter(|host| host["revision"].as_u64() >= Some(revision)).count();
        println!("in force on {updated} of {} live hosts", alive.len());
        if updated == alive.len() {
            return Ok(());
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    Err(Error::Refused(format!(
        "revision {revision} is not yet in force on every live host; the others apply it later"
    )))
}

/// The number of polls after which the command stops waiting.
const MAX_POLLS: u32 = 20;
/// The interval at which the hosts are polled.
const POLL_INTERVAL: std::time::Duration = std::time::Duration::from_millis(500);

fn read_file(file: &Path) -> Result<Vec<u8>> {
    std::fs::read(file).map_err(|error| Error::Refused(format!("{}: {error}", file.display())))
}
