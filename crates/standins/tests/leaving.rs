//! Leaving upstreams get nothing new, and a graceful stop cuts off nobody.

mod common;

use std::time::Duration;

use common::{all_idle, complete, eventually, proxied, stats, text};
use damaskhatch_standins::completion;
use damaskhatch_standins::fleet::{self, Fleet};
use damaskhatch_standins::load::prompt;
use serde_json::json;
use tokio::time::sleep;

/// Within this time a leaving upstream must get nothing new.
const LEAVE_LIMIT: Duration = Duration::from_secs(3);

async fn load(fleet: &Fleet, requests: u64, seed: u64) -> u64 {
    let key = fleet.keys["release"].clone();
    let mut right = 0;
    for serial in 0..requests {
        let targets = fleet.caller_addresses();
        let target = targets[serial as usize % targets.len()];
        let prompt = prompt(serial, seed, 40);
        let reply = complete(target, &key, &prompt, 5).await.expect("the host answers");
        assert_eq!(reply.status, 200, "{}", reply.body);
        right += u64::from(text(&reply) == completion::text(&prompt, 5));
    }
    right
}

#[actix_web::test]
async fn upstreams_that_leave_by_list_or_by_their_own_word_get_nothing_new() {
    let fleet = proxied(|plan| plan.decodes_per_domain = 2).await;
    assert_eq!(load(&fleet, 12, 1).await, 12);
    // One by the platform's lagging list, one by its own word.
    let by_list = fleet.engines.iter().find(|e| e.name == "bern-a-decode-0").expect("an engine");
    let by_word = fleet.engines.iter().find(|e| e.name == "olten-b-decode-1").expect("an engine");
    let listed = json!([{
        "name": by_list.name, "address": by_list.listed, "domain": "bern-a", "leaving": true,
    }]);
    fleet::post(fleet.platform.address, "/test/hosts", &listed).await.expect("the list is set");
    let fault = json!({ "leaving": true });
    fleet::post(by_word.address, "/test/fault", &fault).await.expect("the engine leaves");
    sleep(LEAVE_LIMIT).await;
    let before = (stats(by_list).await.counts.started, stats(by_word).await.counts.started);
    assert_eq!(load(&fleet, 36, 2).await, 36);
    let after = (stats(by_list).await.counts.started, stats(by_word).await.counts.started);
    assert_eq!(before, after);
}

#[actix_web::test]
async fn a_graceful_stop_finishes_every_stream_and_refuses_nobody() {
    let mut fleet = proxied(|plan| {
        plan.engine_args = ["--gap-us", "10000"].map(str::to_owned).to_vec();
    })
    .await;
    let key = fleet.keys["release"].clone();
    let target = fleet.caller_addresses()[0];
    let long: Vec<_> = (0..6)
        .map(|serial| {
            let key = key.clone();
            actix_web::rt::spawn(async move {
                let prompt = prompt(serial, 4, 60);
                let reply = complete(target, &key, &prompt, 300).await.expect("an answer");
                text(&reply) == completion::text(&prompt, 300)
            })
        })
        .collect();
    sleep(Duration::from_millis(500)).await;
    fleet.hosts[0].process.signal("TERM");
    // The balancer takes a moment to notice; until then the host still serves.
    let late = complete(target, &key, &prompt(7, 4, 60), 5).await.expect("an answer");
    assert_eq!(late.status, 200, "{}", late.body);
    for answered in long {
        assert!(answered.await.expect("the task ends"), "the whole answer came");
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
    assert_eq!(code, Some(0), "the host ended by itself");
    eventually("engines are idle", Duration::from_secs(3), || all_idle(&fleet)).await;
}
