//! The `damaskhatch key` commands.

use std::time::Duration;

use tokio::time::Instant;

use super::call::{Error, Result, get, post};
use crate::operator::{DomainConfirmation, IssueBody, WithdrawBody, Withdrawal};

/// The interval at which confirmations are polled.
const POLL_INTERVAL: Duration = Duration::from_millis(250);

/// Issues a key and prints it; it cannot be shown again.
pub async fn issue(hosts: &[String], team: String) -> Result<()> {
    let operation: u64 = rand::random();
    let body = IssueBody { team, operation: format!("key-{operation:x}") };
    let response = post(hosts, "/v1/keys/issue", &body).await?;
    let text = |field: &str| response[field].as_str().unwrap_or("").to_owned();
    eprintln!("key for team {}, shown only now; digest {}", text("team"), text("digest"));
    println!("{}", text("key"));
    Ok(())
}

/// Withdraws a key and prints how many hosts of each domain confirmed.
///
/// Fails if some domain has not confirmed after `wait_s` seconds.
pub async fn withdraw(hosts: &[String], key: String, wait_s: u64) -> Result<()> {
    let response = post(hosts, "/v1/keys/withdraw", &WithdrawBody { key }).await?;
    let mut state = parse_withdrawal(response)?;
    let path = format!("/v1/keys/withdrawn/{}", state.digest);
    let deadline = Instant::now() + Duration::from_secs(wait_s);
    while !is_complete(&state) && Instant::now() < deadline {
        tokio::time::sleep(POLL_INTERVAL).await;
        state = parse_withdrawal(get(hosts, &path).await?)?;
    }
    for DomainConfirmation { domain, confirmed, known } in &state.domains {
        let verdict = if *known > 0 && confirmed == known { "confirmed" } else { "NOT CONFIRMED" };
        println!("{domain:<24} {verdict:<14} {confirmed} of {known} hosts");
    }
    let saved = if state.saved { "saved" } else { "not saved yet; hosts keep retrying" };
    println!("{:<24} {saved}", "platform");
    if is_complete(&state) {
        return Ok(());
    }
    Err(Error::Refused("the key may still work in the domains marked NOT CONFIRMED".to_owned()))
}

/// Prints the digest, state and team of each key.
pub async fn list(hosts: &[String]) -> Result<()> {
    let response = get(hosts, "/v1/keys").await?;
    for key in response.as_array().into_iter().flatten() {
        let state = if key["withdrawn"] == true { "withdrawn" } else { "good" };
        let text = |field: &str| key[field].as_str().unwrap_or("").to_owned();
        println!("{} {:<10} {}", text("digest"), state, text("team"));
    }
    Ok(())
}

fn parse_withdrawal(response: serde_json::Value) -> Result<Withdrawal> {
    serde_json::from_value(response)
        .map_err(|error| Error::Refused(format!("unexpected response to a withdrawal: {error}")))
}

/// Whether all known hosts of every domain confirmed, with at least one host per domain.
fn is_complete(state: &Withdrawal) -> bool {
    let has_confirmed =
        |domain: &DomainConfirmation| domain.known > 0 && domain.confirmed == domain.known;
    !state.domains.is_empty() && state.domains.iter().all(has_confirmed)
}
