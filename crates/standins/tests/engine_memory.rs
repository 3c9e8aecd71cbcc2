//! Engines free the memory of every request whose caller has disconnected.

mod common;

use std::time::Duration;

use common::{all_idle, eventually, open_completion, start_proxied};
use damaskhatch_standins::load::build_prompt;
use damaskhatch_standins::proxy::Rule;
use tokio::time::sleep;

/// Time limit for engines to free everything that a disconnected caller's request held.
const RELEASE_TIMEOUT: Duration = Duration::from_secs(5);

/// How a caller ends its connection.
#[derive(Debug, Clone, Copy)]
enum Disconnect {
    Close,
    Reset,
}

#[actix_web::test]
async fn requests_of_disconnected_callers_free_the_engines_at_every_stage() {
    let fleet = start_proxied(|plan| {
        // Slow prefill and few slots, so that callers disconnect while queued and in prefill.
        let args = ["--prefill-rate", "4000", "--slots", "4", "--gap-us", "20000"];
        plan.engine_args = args.map(str::to_owned).to_vec();
    })
    .await;
    let key = fleet.keys["release"].clone();
    let mut serial = 0;
    for disconnect in [Disconnect::Close, Disconnect::Reset] {
        for stream in [false, true] {
            for wait_ms in [5, 60, 400, 900] {
                let mut callers = Vec::new();
                // Three per host, so that some are queued while others run.
                for target in fleet.caller_addresses() {
                    for _ in 0..3 {
                        serial += 1;
                        let prompt = build_prompt(serial, 3, 800);
                        callers.push(open_completion(target, &key, &prompt, 200, stream).await);
                    }
                }
                sleep(Duration::from_millis(wait_ms)).await;
                for caller in callers {
                    if matches!(disconnect, Disconnect::Reset) {
                        caller.set_zero_linger().expect("the socket takes the option");
                    }
                    drop(caller);
                }
                let what = format!("idle after {disconnect:?}, stream={stream}, {wait_ms} ms");
                eventually(&what, RELEASE_TIMEOUT, || all_idle(&fleet)).await;
            }
        }
    }
}

#[actix_web::test]
async fn requests_of_a_killed_host_are_removed_from_the_engines() {
    let mut fleet = start_proxied(|plan| {
        plan.engine_args = ["--gap-us", "20000"].map(str::to_owned).to_vec();
    })
    .await;
    let key = fleet.keys["release"].clone();
    // One host of each domain in turn, so that hosts that run schedulers are among them.
    for index in 0..3 {
        let target = fleet.hosts[index * 2].process.address;
        let mut callers = Vec::new();
        for serial in 0..6 {
            let prompt = build_prompt(serial, 100 + index as u64, 100);
            callers.push(open_completion(target, &key, &prompt, 2_000, true).await);
        }
        sleep(Duration::from_millis(700)).await;
        assert!(!all_idle(&fleet).await, "the engines have work");
        fleet.hosts[index * 2].process.kill();
        eventually("idle after a host was killed", RELEASE_TIMEOUT, || all_idle(&fleet)).await;
    }
}

#[actix_web::test]
async fn a_lost_cancellation_is_retried() {
    let fleet = start_proxied(|plan| {
        plan.engine_args = ["--gap-us", "20000"].map(str::to_owned).to_vec();
    })
    .await;
    let key = fleet.keys["release"].clone();
    let target = fleet.caller_addresses()[0];
    let caller = open_completion(target, &key, &build_prompt(1, 5, 100), 2_000, true).await;
    sleep(Duration::from_millis(500)).await;
    for engine in &fleet.engines {
        let link = engine.proxy.as_ref().expect("the fleet has proxies");
        link.set(Rule { is_partitioned: true, ..Rule::default() });
    }
    drop(caller);
    sleep(Duration::from_millis(700)).await;
    assert!(!all_idle(&fleet).await, "the cancellation could not arrive");
    for engine in &fleet.engines {
        engine.proxy.as_ref().expect("the fleet has proxies").set(Rule::default());
    }
    eventually("idle after the links were restored", RELEASE_TIMEOUT, || all_idle(&fleet)).await;
}
