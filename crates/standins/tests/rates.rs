//! No team exceeds its rate and burst over all hosts together, even when hosts or links fail.

mod common;

use std::time::{Duration, Instant};

use common::{call, eventually, start_proxied};
use damaskhatch_standins::fleet::{self, Fleet, SERVICE};
use damaskhatch_standins::platform::Fault;
use tokio::time::sleep;

/// Rate of the team under test, in tokens per second.
const RATE: f64 = 1_000.0;
/// Burst of the team under test, in tokens.
const BURST: f64 = 2_000.0;
/// Body size of a call, which together with the call itself is charged [`CALL_TOKENS`].
const BODY_BYTES: usize = 396;
/// Charge for one call, in tokens.
const CALL_TOKENS: f64 = 100.0;

/// Outcomes of the calls of one phase.
#[derive(Debug, Default)]
struct Outcome {
    admitted: Vec<Instant>,
    over_rate: usize,
    other: Vec<String>,
}

impl Outcome {
    fn merge(&mut self, other: Self) {
        self.admitted.extend(other.admitted);
        self.over_rate += other.over_rate;
        self.other.extend(other.other);
    }

    /// The largest excess of admitted tokens over burst + rate x window, over all windows.
    fn max_excess(&mut self) -> f64 {
        self.admitted.sort();
        let mut worst = f64::NEG_INFINITY;
        for (first, start) in self.admitted.iter().enumerate() {
            for (count, end) in self.admitted[first..].iter().enumerate() {
                let tokens = (count + 1) as f64 * CALL_TOKENS;
                let allowed = BURST + RATE * (*end - *start).as_secs_f64();
                worst = worst.max(tokens - allowed);
            }
        }
        worst
    }
}

async fn start_fleet() -> Fleet {
    start_proxied(|plan| plan.teams.push(("metered".to_owned(), RATE, BURST))).await
}

/// Sends calls at a constant rate to `hosts` in turn.
async fn send_at_rate(
    fleet: &Fleet,
    hosts: &[usize],
    per_second: f64,
    length: Duration,
) -> Outcome {
    let bearer = format!("Bearer {}", fleet.keys["metered"]);
    let mut calls = Vec::new();
    let started = Instant::now();
    let targets = fleet.caller_addresses();
    let mut serial = 0_u32;
    while started.elapsed() < length {
        let (target, bearer) = (targets[hosts[serial as usize % hosts.len()]], bearer.clone());
        calls.push(actix_web::rt::spawn(async move {
            let headers = [("authorization", &*bearer)];
            let path = format!("/services/{SERVICE}/book");
            let response = call(target, &path, &headers, &"x".repeat(BODY_BYTES)).await;
            (response, Instant::now())
        }));
        serial += 1;
        let next = started + Duration::from_secs_f64(f64::from(serial) / per_second);
        sleep(next.saturating_duration_since(Instant::now())).await;
    }
    let mut outcome = Outcome::default();
    for call in calls {
        match call.await.expect("the task ends") {
            (Ok(response), at) if response.status == 200 => outcome.admitted.push(at),
            (Ok(response), _) if response.code() == "over_rate" => {
                assert!(!response.header("retry-after").is_empty());
                outcome.over_rate += 1;
            }
            (Ok(response), _) => outcome.other.push(response.body.to_string()),
            (Err(error), _) => outcome.other.push(error),
        }
    }
    outcome
}

#[actix_web::test]
async fn skewed_calls_inside_the_rate_pass_and_five_times_the_rate_does_not() {
    let fleet = start_fleet().await;
    let mut outcome = send_at_rate(&fleet, &[0], 8.0, Duration::from_secs(4)).await;
    assert_eq!((outcome.over_rate, &outcome.other), (0, &Vec::new()), "inside the rate");
    let flood = send_at_rate(&fleet, &[0, 1, 2, 3, 4, 5], 50.0, Duration::from_secs(4)).await;
    assert!(flood.over_rate > 50, "{} calls refused", flood.over_rate);
    assert_eq!(flood.other, Vec::<String>::new());
    outcome.merge(flood);
    let excess = outcome.max_excess();
    assert!(excess <= 0.0, "{excess} tokens over the bound");
}

#[actix_web::test]
async fn a_platform_outage_neither_refuses_calls_inside_the_rate_nor_admits_more() {
    let fleet = start_fleet().await;
    let fault = Fault { outage_ms: 9_000, ..Fault::default() };
    let fault = serde_json::to_value(fault).expect("a fault is JSON");
    fleet::post(fleet.platform.address, "/test/fault", &fault).await.expect("the fault is set");
    // After the leases expire, the hosts depend on each other's confirmations.
    let mut outcome = send_at_rate(&fleet, &[1, 4], 8.0, Duration::from_secs(7)).await;
    assert_eq!((outcome.over_rate, &outcome.other), (0, &Vec::new()), "inside the rate");
    outcome.merge(send_at_rate(&fleet, &[0, 1, 2, 3, 4, 5], 50.0, Duration::from_secs(4)).await);
    let excess = outcome.max_excess();
    assert!(excess <= 0.0, "{excess} tokens over the bound");
}

#[actix_web::test]
async fn a_partitioned_domain_spends_only_its_own_share() {
    let fleet = start_fleet().await;
    fleet.set_domain_partition("solothurn-c", true);
    fleet.set_platform_partition(true, |host| host.domain == "solothurn-c");
    let mut outcome = send_at_rate(&fleet, &[0, 1, 2, 3, 4, 5], 50.0, Duration::from_secs(8)).await;
    fleet.set_domain_partition("solothurn-c", false);
    fleet.set_platform_partition(false, |_| true);
    outcome.merge(send_at_rate(&fleet, &[0, 1, 2, 3, 4, 5], 50.0, Duration::from_secs(2)).await);
    let excess = outcome.max_excess();
    assert!(excess <= 0.0, "{excess} tokens over the bound");
    assert!(outcome.admitted.len() > 40, "{} calls admitted", outcome.admitted.len());
}

#[actix_web::test]
async fn a_drained_holder_transfers_its_buckets() {
    let mut fleet = start_fleet().await;
    let drain = async {
        sleep(Duration::from_secs(2)).await;
        fleet.hosts[0].process.signal("TERM");
        fleet.hosts[3].process.signal("TERM");
    };
    let calls = send_at_rate(&fleet, &[1, 2, 4, 5], 8.0, Duration::from_secs(8));
    let (mut outcome, ()) = tokio::join!(calls, drain);
    assert_eq!((outcome.over_rate, &outcome.other), (0, &Vec::new()), "inside the rate");
    let flood = send_at_rate(&fleet, &[1, 2, 4, 5], 50.0, Duration::from_secs(3)).await;
    outcome.merge(flood);
    let excess = outcome.max_excess();
    assert!(excess <= 0.0, "{excess} tokens over the bound");
    for index in [0, 3] {
        assert_eq!(fleet.hosts[index].process.exit_code(), Some(0), "the host exits by itself");
    }
}

#[actix_web::test]
async fn after_killed_and_frozen_holders_calls_recover_and_stay_inside_the_rate() {
    let mut fleet = start_fleet().await;
    fleet.hosts[0].process.signal("STOP");
    let mut outcome = send_at_rate(&fleet, &[1, 2, 3, 4, 5], 50.0, Duration::from_secs(6)).await;
    fleet.hosts[0].process.signal("CONT");
    outcome.merge(send_at_rate(&fleet, &[0, 1, 2, 3, 4, 5], 50.0, Duration::from_secs(3)).await);
    fleet.hosts[2].process.kill();
    outcome.merge(send_at_rate(&fleet, &[0, 1, 3, 4, 5], 50.0, Duration::from_secs(6)).await);
    let excess = outcome.max_excess();
    assert!(excess <= 0.0, "{excess} tokens over the bound");
    // More than five seconds after the kill, the remaining hosts admit calls inside the rate.
    sleep(Duration::from_secs(2)).await;
    let recovered = send_at_rate(&fleet, &[1, 3, 5], 4.0, Duration::from_secs(3)).await;
    assert_eq!((recovered.over_rate, &recovered.other), (0, &Vec::new()), "inside the rate");
    let restarted = fleet.hosts.remove(2);
    let mut process = restarted.process;
    fleet.restart(&mut process).expect("the host starts");
    let operator = restarted.operator;
    eventually("the restarted host holds slots", Duration::from_secs(8), async || {
        let status = fleet::get(operator, "/v1/status").await.unwrap_or_default();
        let hosts = status["hosts"].as_array().cloned().unwrap_or_default();
        let own = hosts.iter().find(|host| host["address"] == reporting_address(&status));
        own.is_some_and(|host| host["slots"].as_u64() > Some(0))
    })
    .await;
}

#[actix_web::test]
async fn a_started_host_without_slots_charges_before_it_knows_all_peers() {
    let mut fleet = start_proxied(|plan| {
        plan.domains.truncate(1);
        plan.hosts_per_domain = 6;
        plan.teams.push(("metered".to_owned(), RATE, BURST));
    })
    .await;
    let status = fleet::get(fleet.hosts[0].operator, "/v1/status").await.expect("a status");
    let listed = status["hosts"].as_array().cloned().unwrap_or_default();
    let holds_none = |name: &str| {
        let tag = damaskhatch_policy::prelude::Tag::of(name).to_string();
        let own = listed.iter().find(|host| host["host"] == tag.as_str());
        own.is_some_and(|host| host["slots"].as_u64() == Some(0))
    };
    let index = fleet.hosts.iter().position(|host| holds_none(&host.process.name));
    let index = index.expect("four of six hosts hold slots");
    let mut started = fleet.hosts.remove(index);
    started.process.kill();
    fleet.restart(&mut started.process).expect("the host starts");
    let bearer = format!("Bearer {}", fleet.keys["metered"]);
    let headers = [("authorization", &*bearer)];
    let path = format!("/services/{SERVICE}/book");
    let end = Instant::now() + Duration::from_secs(8);
    let mut first_refusal: Option<Instant> = None;
    loop {
        let response = call(started.process.address, &path, &headers, "x").await;
        if response.as_ref().is_ok_and(|response| response.status == 200) {
            break;
        }
        if response.as_ref().is_ok_and(|response| response.code() == "unavailable") {
            first_refusal.get_or_insert_with(Instant::now);
        }
        assert!(Instant::now() < end, "no charged call succeeds: {response:?}");
        sleep(Duration::from_millis(50)).await;
    }
    let refused_for = first_refusal.map(|at| at.elapsed()).unwrap_or_default();
    assert!(refused_for < Duration::from_millis(1_200), "charges failed for {refused_for:?}");
}

/// The peer address of the host that reported the status.
fn reporting_address(status: &serde_json::Value) -> serde_json::Value {
    let name = status["name"].as_str().unwrap_or("");
    let tag = damaskhatch_policy::prelude::Tag::of(name).to_string();
    let hosts = status["hosts"].as_array().cloned().unwrap_or_default();
    let own = hosts.into_iter().find(|host| host["host"] == tag.as_str());
    own.map(|host| host["address"].clone()).unwrap_or_default()
}
