//! An accepted configuration is in force everywhere within seconds and never reverts.

mod common;

use std::time::Duration;

use common::{complete, eventually, proxied};
use damaskhatch_standins::fleet::{self, Fleet};
use damaskhatch_standins::platform::Fault;
use damaskhatch_standins::proxy::Rule;
use tokio::time::sleep;

/// Within this time an accepted sheet must be in force on all connected hosts.
const FORCE_LIMIT: Duration = Duration::from_secs(5);

async fn fault(fleet: &Fleet, fault: Fault) {
    let fault = serde_json::to_value(fault).expect("a fault is JSON");
    fleet::post(fleet.platform.address, "/test/fault", &fault).await.expect("the fault is set");
}

async fn accept(fleet: &Fleet, host: usize, base: u64, name: &str) -> Result<u64, String> {
    let path = format!("/v1/sheet/accept?base={base}&operation={name}");
    let sheet = fleet.sheet.replace("2000000;4000000", &format!("{};4000000", 2_000_000 + base));
    let answer = fleet::post_bytes(fleet.hosts[host].operator, &path, sheet.as_bytes()).await?;
    answer["revision"].as_u64().ok_or_else(|| answer.to_string())
}

async fn revision(fleet: &Fleet, host: usize) -> u64 {
    let status = fleet::get(fleet.hosts[host].operator, "/v1/status").await;
    status.ok().and_then(|status| status["revision"].as_u64()).unwrap_or(0)
}

#[actix_web::test]
async fn one_of_two_operators_wins_and_the_other_learns_which_revision_did() {
    let fleet = proxied(|_| {}).await;
    let base = revision(&fleet, 0).await;
    let (one, two) = tokio::join!(accept(&fleet, 0, base, "one"), accept(&fleet, 3, base, "two"));
    let (won, lost) = if one.is_ok() { (one, two) } else { (two, one) };
    assert_eq!(won, Ok(base + 1));
    let lost = lost.expect_err("only one can win");
    assert!(lost.contains(&format!("revision {} was accepted first", base + 1)), "{lost}");
    fleet.wait_in_force(base + 1, FORCE_LIMIT).await.expect("in force everywhere");
}

#[actix_web::test]
async fn a_lost_reply_is_settled_and_an_outage_ends_with_a_clear_error() {
    let fleet = proxied(|_| {}).await;
    let base = revision(&fleet, 0).await;
    // The chunks' replies and the head's own are lost in turn.
    for lost in 1..4 {
        fault(&fleet, Fault { lose_replies: lost, ..Fault::default() }).await;
        let name = format!("lost-{lost}");
        let mut accepted = accept(&fleet, 0, base + u64::from(lost) - 1, &name).await;
        // An operator repeats with the same operation and never gets two revisions.
        for _ in 0..4 {
            if accepted.is_err() {
                accepted = accept(&fleet, 0, base + u64::from(lost) - 1, &name).await;
            }
        }
        assert_eq!(accepted, Ok(base + u64::from(lost)));
    }
    let now = base + 3;
    fleet.wait_in_force(now, FORCE_LIMIT).await.expect("in force everywhere");
    fault(&fleet, Fault { outage_ms: 3_000, ..Fault::default() }).await;
    let refused = accept(&fleet, 0, now, "down").await.expect_err("the platform is down");
    assert!(refused.contains("platform"), "{refused}");
    let key = fleet.keys["release"].clone();
    let served = complete(fleet.caller_addresses()[1], &key, "hello", 2).await.expect("an answer");
    assert_eq!(served.status, 200, "an outage alone refuses nobody");
    sleep(Duration::from_millis(3_100)).await;
    assert_eq!(accept(&fleet, 0, now, "up").await, Ok(now + 1));
    fleet.wait_in_force(now + 1, FORCE_LIMIT).await.expect("in force everywhere");
}

#[actix_web::test]
async fn a_host_started_while_the_platform_is_down_learns_from_its_peers() {
    let mut fleet = proxied(|_| {}).await;
    let before = revision(&fleet, 0).await;
    let mut host = fleet.hosts.remove(5);
    host.process.kill();
    fault(&fleet, Fault { outage_ms: 60_000, ..Fault::default() }).await;
    fleet.restart(&mut host.process).expect("the host starts");
    fleet.hosts.push(host);
    eventually("the new host has the revision", FORCE_LIMIT, async || {
        revision(&fleet, 5).await == before
    })
    .await;
    let key = fleet.keys["release"].clone();
    eventually("the new host serves", Duration::from_secs(3), async || {
        let reply = complete(fleet.caller_addresses()[5], &key, "hello", 2).await;
        reply.is_ok_and(|reply| reply.status == 200)
    })
    .await;
}

#[actix_web::test]
async fn a_cut_domain_keeps_its_revision_and_catches_up_without_ever_falling() {
    let fleet = proxied(|_| {}).await;
    let before = revision(&fleet, 0).await;
    let cut = "solothurn-c";
    fleet.set_domain_partition(cut, true);
    fleet.set_platform_partition(true, |host| host.domain == cut);
    assert_eq!(accept(&fleet, 0, before, "during-cut").await, Ok(before + 1));
    let mut highest = vec![0; fleet.hosts.len()];
    for step in 0..60 {
        if step == 20 {
            // Only the way to the peers heals; the platform stays out of reach.
            fleet.set_domain_partition(cut, false);
        }
        for (host, high) in highest.iter_mut().enumerate() {
            let seen = revision(&fleet, host).await;
            assert!(seen >= *high, "host {host} fell from {high} to {seen}");
            *high = seen;
        }
        sleep(Duration::from_millis(50)).await;
    }
    assert!(highest.iter().all(|seen| *seen == before + 1), "{highest:?}");
    fleet.set_platform_partition(false, |_| true);
}

#[actix_web::test]
async fn watches_that_fell_silent_do_not_hold_back_the_next_revision() {
    let fleet = proxied(|_| {}).await;
    let before = revision(&fleet, 0).await;
    for host in &fleet.hosts {
        let links = host.proxies.as_ref().expect("the fleet has proxies");
        links.platform.blackhole_open();
        links.connections.blackhole_open();
    }
    assert_eq!(accept(&fleet, 4, before, "after-silence").await, Ok(before + 1));
    fleet.wait_in_force(before + 1, FORCE_LIMIT).await.expect("in force everywhere");
    for host in &fleet.hosts {
        host.proxies.as_ref().expect("the fleet has proxies").platform.set(Rule::default());
    }
}
