//! Leaving upstreams get no new requests, and a graceful stop lets running ones finish.

mod common;

use std::time::Duration;

use common::{all_idle, complete, eventually, fetch_stats, start_proxied, text};
use damaskhatch_standins::completion;
use damaskhatch_standins::fleet::{self, Fleet};
use damaskhatch_standins::load::build_prompt;
use serde_json::json;
use tokio::time::sleep;

/// Time limit for new requests to stop going to a leaving upstream.
const LEAVE_TIMEOUT: Duration = Duration::from_secs(3);

/// Sends completions one after the other and counts those with the expected text.
async fn count_right(fleet: &Fleet, requests: u64, seed: u64) -> u64 {
    let key = fleet.keys["release"].clone();
    let mut right = 0;
    for serial in 0..requests {
        let targets = fleet.caller_addresses();
        let target = targets[serial as usize % targets.len()];
        let prompt = build_prompt(serial, seed, 40);
        let response = complete(target, &key, &prompt, 5).await.expect("the host responds");
        assert_eq!(response.status, 200, "{}", response.body);
        right += u64::from(text(&response) == completion::text(&prompt, 5));
    }
    right
}

#[actix_web::test]
async fn upstreams_that_the_list_or_their_own_report_marks_as_leaving_get_no_new_requests() {
    let fleet = start_proxied(|plan| plan.decodes_per_domain = 2).await;
    assert_eq!(count_right(&fleet, 12, 1).await, 12);
    // The platform's list, which lags, marks one engine as leaving; the other reports itself.
    let listed_engine =
        fleet.engines.iter().find(|e| e.name == "bern-a-decode-0").expect("an engine");
    let reporting_engine =
        fleet.engines.iter().find(|e| e.name == "olten-b-decode-1").expect("an engine");
    let list = json!([{
        "name": listed_engine.name,
        "address": listed_engine.listed,
        "domain": "bern-a",
        "leaving": true,
    }]);
    fleet::post(fleet.platform.address, "/test/hosts", &list).await.expect("the list is set");
    let fault = json!({ "leaving": true });
    fleet::post(reporting_engine.address, "/test/fault", &fault).await.expect("the engine leaves");
    sleep(LEAVE_TIMEOUT).await;
    let before = (
        fetch_stats(listed_engine).await.counts.started,
        fetch_stats(reporting_engine).await.counts.started,
    );
    assert_eq!(count_right(&fleet, 36, 2).await, 36);
    let after = (
        fetch_stats(listed_engine).await.counts.started,
        fetch_stats(reporting_engine).await.counts.started,
    );
    assert_eq!(before, after);
}

#[actix_web::test]
async fn a_graceful_stop_finishes_running_requests_and_serves_late_ones() {
    let mut fleet = start_proxied(|plan| {
        plan.engine_args = ["--gap-us", "10000"].map(str::to_owned).to_vec();
    })
    .await;
    let key = fleet.keys["release"].clone();
    let target = fleet.caller_addresses()[0];
    let running: Vec<_> = (0..6)
        .map(|serial| {
            let key = key.clone();
            actix_web::rt::spawn(async move {
                let prompt = build_prompt(serial, 4, 60);
                let response = complete(target, &key, &prompt, 300).await.expect("a response");
                text(&response) == completion::text(&prompt, 300)
            })
        })
        .collect();
    sleep(Duration::from_millis(500)).await;
    fleet.hosts[0].process.signal("TERM");
    // Until the load balancer has detected the stop, the host still serves new requests.
    let late = complete(target, &key, &build_prompt(7, 4, 60), 5).await.expect("a response");
    assert_eq!(late.status, 200, "{}", late.body);
    for request in running {
        assert!(request.await.expect("the task ends"), "the response is complete");
    }
    let process = &mut fleet.hosts[0].process;
    let mut code = None;
    for _ in 0..100 {
        code = process.exit_code();
        if code.is_some() {
            break;
        }
        sleep(Duration::from_millis(100)).await;
    }
    assert_eq!(code, Some(0), "the host exits by itself");
    eventually("engines are idle", Duration::from_secs(3), || all_idle(&fleet)).await;
}
