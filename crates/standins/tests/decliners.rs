//! Guards against a plain service of the own interface that declines every call at once, looks idle for
//! it, and attracts calls that a sound one could serve.

mod common;

use common::{call, start_proxied};
use damaskhatch_standins::fleet::{self, SERVICE};
use futures_util::{StreamExt, stream};
use serde_json::json;

/// Calls to each host after which it must know the service, sent one after another.
const FIRST_CALLS: usize = 20;
/// Calls that are counted, to all hosts in turn.
const CALLS: usize = 600;
/// The number of them that are made at once.
const CONCURRENCY: usize = 12;

/// Guards against calls refused for want of retries, because a service of the host's own domain declines
/// each (issue 47).
#[actix_web::test]
async fn calls_beside_a_service_that_declines_all_reach_a_sound_one() {
    let fleet = start_proxied(|plan| plan.proxied = false).await;
    // Without a time to retry after, the service asks for no pause.
    let setting = json!({ "retry_after": "0" });
    let declining = &fleet.services[0];
    fleet::post(declining.address, "/test/decline", &setting).await.expect("calls are declined");
    let bearer = format!("Bearer {}", fleet.keys["release"]);
    let targets = fleet.caller_addresses();
    let look = async |number: usize| {
        let id = format!("call-{number}");
        let headers = [("authorization", &*bearer), ("x-call-id", &*id)];
        let path = format!("/services/{SERVICE}/look?sleep_ms=5");
        let response = call(targets[number % targets.len()], &path, &headers, "").await;
        response.expect("a response").status
    };
    for number in 0..FIRST_CALLS * targets.len() {
        look(number).await;
    }
    let statuses: Vec<_> =
        stream::iter(0..CALLS).map(&look).buffer_unordered(CONCURRENCY).collect().await;
    let failed: Vec<_> = statuses.into_iter().filter(|status| *status != 200).collect();
    assert!(failed.is_empty(), "{} of {CALLS} calls failed: {failed:?}", failed.len());
}
