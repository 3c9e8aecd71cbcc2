//! An accepted configuration is in force on all hosts within seconds and never reverts.

mod common;

use std::time::Duration;

use common::{complete, eventually, start_proxied};
use damaskhatch_standins::fleet::{self, Fleet};
use damaskhatch_standins::platform::Fault;
use damaskhatch_standins::proxy::Rule;
use tokio::time::sleep;

/// Time limit for an accepted sheet to be in force on all connected hosts.
const IN_FORCE_TIMEOUT: Duration = Duration::from_secs(5);

/// Time limit for all hosts to hold their slots again after a restore of the store, which takes
/// some steps of each.
const RECOVERY_TIMEOUT: Duration = Duration::from_secs(15);

async fn inject_fault(fleet: &Fleet, fault: Fault) {
    let fault = serde_json::to_value(fault).expect("a fault is JSON");
    fleet::post(fleet.platform.address, "/test/fault", &fault).await.expect("the fault is set");
}

async fn accept_sheet(fleet: &Fleet, host: usize, base: u64, name: &str) -> Result<u64, String> {
    let path = format!("/v1/sheet/accept?base={base}&operation={name}");
    let sheet = fleet.sheet.replace("2000000;4000000", &format!("{};4000000", 2_000_000 + base));
    let response = fleet::post_bytes(fleet.hosts[host].operator, &path, sheet.as_bytes()).await?;
    response["revision"].as_u64().ok_or_else(|| response.to_string())
}

async fn fetch_revision(fleet: &Fleet, host: usize) -> u64 {
    let status = fleet::get(fleet.hosts[host].operator, "/v1/status").await;
    status.ok().and_then(|status| status["revision"].as_u64()).unwrap_or(0)
}

#[actix_web::test]
async fn of_two_concurrent_accepts_one_wins_and_the_other_names_the_accepted_revision() {
    let fleet = start_proxied(|_| {}).await;
    let base = fetch_revision(&fleet, 0).await;
    let (one, two) =
        tokio::join!(accept_sheet(&fleet, 0, base, "one"), accept_sheet(&fleet, 3, base, "two"));
    let (won, lost) = if one.is_ok() { (one, two) } else { (two, one) };
    assert_eq!(won, Ok(base + 1));
    let lost = lost.expect_err("only one can win");
    assert!(lost.contains(&format!("revision {} was accepted first", base + 1)), "{lost}");
    fleet.wait_in_force(base + 1, IN_FORCE_TIMEOUT).await.expect("in force everywhere");
}

#[actix_web::test]
async fn a_lost_response_creates_no_second_revision_and_an_outage_is_reported() {
    let fleet = start_proxied(|_| {}).await;
    let base = fetch_revision(&fleet, 0).await;
    // The platform loses its responses to the first one to three writes: the chunks', then also
    // the head's.
    for lost in 1..4 {
        inject_fault(&fleet, Fault { lose_replies: lost, ..Fault::default() }).await;
        let name = format!("lost-{lost}");
        let mut accepted = accept_sheet(&fleet, 0, base + u64::from(lost) - 1, &name).await;
        // Retries with the same operation never create two revisions.
        for _ in 0..4 {
            if accepted.is_err() {
                accepted = accept_sheet(&fleet, 0, base + u64::from(lost) - 1, &name).await;
            }
        }
        assert_eq!(accepted, Ok(base + u64::from(lost)));
    }
    let now = base + 3;
    fleet.wait_in_force(now, IN_FORCE_TIMEOUT).await.expect("in force everywhere");
    inject_fault(&fleet, Fault { outage_ms: 3_000, ..Fault::default() }).await;
    let refused = accept_sheet(&fleet, 0, now, "down").await.expect_err("the platform is down");
    assert!(refused.contains("platform"), "{refused}");
    let key = fleet.keys["release"].clone();
    let served = complete(fleet.caller_addresses()[1], &key, "hello", 2).await.expect("a response");
    assert_eq!(served.status, 200, "requests are served during an outage");
    sleep(Duration::from_millis(3_100)).await;
    assert_eq!(accept_sheet(&fleet, 0, now, "up").await, Ok(now + 1));
    fleet.wait_in_force(now + 1, IN_FORCE_TIMEOUT).await.expect("in force everywhere");
}

#[actix_web::test]
async fn a_host_started_during_a_platform_outage_gets_its_configuration_from_peers() {
    let mut fleet = start_proxied(|_| {}).await;
    let before = fetch_revision(&fleet, 0).await;
    let mut host = fleet.hosts.remove(5);
    host.process.kill();
    inject_fault(&fleet, Fault { outage_ms: 60_000, ..Fault::default() }).await;
    fleet.restart(&mut host.process).expect("the host starts");
    fleet.hosts.push(host);
    eventually("the new host has the revision", IN_FORCE_TIMEOUT, async || {
        fetch_revision(&fleet, 5).await == before
    })
    .await;
    let key = fleet.keys["release"].clone();
    eventually("the new host serves", Duration::from_secs(3), async || {
        let response = complete(fleet.caller_addresses()[5], &key, "hello", 2).await;
        response.is_ok_and(|response| response.status == 200)
    })
    .await;
}

#[actix_web::test]
async fn a_partitioned_domain_catches_up_and_its_revision_never_decreases() {
    let fleet = start_proxied(|_| {}).await;
    let before = fetch_revision(&fleet, 0).await;
    let partitioned = "solothurn-c";
    fleet.set_domain_partition(partitioned, true);
    fleet.set_platform_partition(true, |host| host.domain == partitioned);
    assert_eq!(accept_sheet(&fleet, 0, before, "during-partition").await, Ok(before + 1));
    let mut highest = vec![0; fleet.hosts.len()];
    for step in 0..60 {
        if step == 20 {
            // Only the links to the peers heal; the platform stays unreachable.
            fleet.set_domain_partition(partitioned, false);
        }
        for (host, high) in highest.iter_mut().enumerate() {
            let seen = fetch_revision(&fleet, host).await;
            assert!(seen >= *high, "revision of host {host} decreased from {high} to {seen}");
            *high = seen;
        }
        sleep(Duration::from_millis(50)).await;
    }
    assert!(highest.iter().all(|seen| *seen == before + 1), "{highest:?}");
    fleet.set_platform_partition(false, |_| true);
}

#[actix_web::test]
async fn silent_watch_connections_do_not_delay_the_next_revision() {
    let fleet = start_proxied(|_| {}).await;
    let before = fetch_revision(&fleet, 0).await;
    for host in &fleet.hosts {
        let links = host.proxies.as_ref().expect("the fleet has proxies");
        links.platform.blackhole_open();
        links.connections.blackhole_open();
    }
    assert_eq!(accept_sheet(&fleet, 4, before, "after-silence").await, Ok(before + 1));
    fleet.wait_in_force(before + 1, IN_FORCE_TIMEOUT).await.expect("in force everywhere");
    for host in &fleet.hosts {
        host.proxies.as_ref().expect("the fleet has proxies").platform.set(Rule::default());
    }
}

/// Guards against operators' changes that are refused for good once the restored store has lost
/// the revision in force.
#[actix_web::test]
async fn an_accepted_sheet_stays_in_force_and_is_written_again_after_a_restore() {
    let fleet = start_proxied(|_| {}).await;
    let base = fetch_revision(&fleet, 0).await;
    assert_eq!(accept_sheet(&fleet, 0, base, "lost").await, Ok(base + 1));
    fleet.wait_in_force(base + 1, IN_FORCE_TIMEOUT).await.expect("in force everywhere");
    inject_fault(&fleet, Fault { restore_ms: 5_000, ..Fault::default() }).await;
    eventually("a change on top of the lost revision", IN_FORCE_TIMEOUT, async || {
        accept_sheet(&fleet, 3, base + 1, "next").await == Ok(base + 2)
    })
    .await;
    fleet.wait_in_force(base + 2, RECOVERY_TIMEOUT).await.expect("in force, all slots held");
}
