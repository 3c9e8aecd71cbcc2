//! No engine memory stays held by a request whose caller is gone.

mod common;

use std::time::Duration;

use common::{all_idle, eventually, open_completion, proxied};
use damaskhatch_standins::load::prompt;
use damaskhatch_standins::proxy::Rule;
use tokio::time::sleep;

/// Within this time engines must hold nothing for callers that left.
const RELEASE_LIMIT: Duration = Duration::from_secs(5);

/// How a caller leaves.
#[derive(Debug, Clone, Copy)]
enum Leave {
    Close,
    Reset,
}

#[actix_web::test]
async fn callers_that_leave_at_any_stage_free_the_engines() {
    let fleet = proxied(|plan| {
        // Slow prefill and few slots, so that callers can leave while queued and in prefill.
        let args = ["--prefill-rate", "4000", "--slots", "4", "--gap-us", "20000"];
        plan.engine_args = args.map(str::to_owned).to_vec();
    })
    .await;
    let key = fleet.keys["release"].clone();
    let mut serial = 0;
    for leave in [Leave::Close, Leave::Reset] {
        for stream in [false, true] {
            for wait_ms in [5, 60, 400, 900] {
                let mut callers = Vec::new();
                // Several at once, so that some are queued while others run.
                for target in fleet.caller_addresses() {
                    for _ in 0..3 {
                        serial += 1;
                        let prompt = prompt(serial, 3, 800);
                        callers.push(open_completion(target, &key, &prompt, 200, stream).await);
                    }
                }
                sleep(Duration::from_millis(wait_ms)).await;
                for caller in callers {
                    if matches!(leave, Leave::Reset) {
                        caller.set_zero_linger().expect("the socket takes the option");
                    }
                    drop(caller);
                }
                let what = format!("idle after {leave:?}, stream={stream}, {wait_ms} ms");
                eventually(&what, RELEASE_LIMIT, || all_idle(&fleet)).await;
            }
        }
    }
}

#[actix_web::test]
async fn a_killed_host_leaves_nothing_on_the_engines() {
    let mut fleet = proxied(|plan| {
        plan.engine_args = ["--gap-us", "20000"].map(str::to_owned).to_vec();
    })
    .await;
    let key = fleet.keys["release"].clone();
    // Every host in turn, so that the schedulers' hosts are among those killed.
    for index in 0..3 {
        let target = fleet.hosts[index * 2].process.address;
        let mut callers = Vec::new();
        for serial in 0..6 {
            let prompt = prompt(serial, 100 + index as u64, 100);
            callers.push(open_completion(target, &key, &prompt, 2_000, true).await);
        }
        sleep(Duration::from_millis(700)).await;
        assert!(!all_idle(&fleet).await, "the engines are at work");
        fleet.hosts[index * 2].process.kill();
        eventually("idle after a host was killed", RELEASE_LIMIT, || all_idle(&fleet)).await;
    }
}

#[actix_web::test]
async fn a_lost_cancellation_is_repeated() {
    let fleet = proxied(|plan| {
        plan.engine_args = ["--gap-us", "20000"].map(str::to_owned).to_vec();
    })
    .await;
    let key = fleet.keys["release"].clone();
    let target = fleet.caller_addresses()[0];
    let caller = open_completion(target, &key, &prompt(1, 5, 100), 2_000, true).await;
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
    eventually("idle after the cut healed", RELEASE_LIMIT, || all_idle(&fleet)).await;
}
