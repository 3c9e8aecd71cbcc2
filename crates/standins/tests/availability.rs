//! Guards against requests to upstreams of the own interface that have said in a response that they
//! leave, or that they want no requests for a time.

mod common;

use std::time::Duration;

use common::{call, complete, start_proxied};
use damaskhatch_standins::extra;
use damaskhatch_standins::fleet::{self, Fleet, Process, SERVICE};
use serde_json::json;
use tokio::time::{Instant, sleep};

/// The time from a 503 with `Retry-After` on in which calls may still reach its upstream.
const GRACE: Duration = Duration::from_millis(500);
/// The most calls that may reach an upstream from one host in the rest of the time that it named.
const ALLOWED: usize = 2;

async fn start_fleet() -> Fleet {
    start_proxied(|plan| {
        plan.proxied = false;
        plan.decodes_per_domain = 2;
    })
    .await
}

async fn leave(upstream: &Process) {
    let setting = json!({ "name": extra::LEAVING, "value": "1" });
    fleet::post(upstream.address, "/test/header", &setting).await.expect("the header is set");
}

async fn ask_for_pause(upstream: &Process, retry_after: &str) {
    let setting = json!({ "retry_after": retry_after });
    fleet::post(upstream.address, "/test/decline", &setting).await.expect("calls are declined");
}

async fn count_declined(upstream: &Process) -> usize {
    let count = fleet::get(upstream.address, "/test/declined").await.expect("a count");
    count.as_u64().expect("a number") as usize
}

async fn count_calls(service: &Process) -> usize {
    let record = fleet::get(service.address, "/test/record").await.expect("a record");
    record["calls"].as_object().map_or(0, serde_json::Map::len)
}

/// Counts how many prompts or generations an engine was sent.
async fn count_seen(engine: &Process, path: &str) -> usize {
    let seen = fleet::get(engine.address, "/test/seen").await.expect("a list of calls");
    seen.as_array().expect("a list").iter().filter(|call| call["path"] == path).count()
}

/// Sends calls to all hosts in turn, one after the other; returns how many failed.
async fn look(fleet: &Fleet, count: usize, label: &str) -> usize {
    let bearer = format!("Bearer {}", fleet.keys["release"]);
    let targets = fleet.caller_addresses();
    let mut failed = 0;
    for number in 0..count {
        let id = format!("{label}-{number}");
        let headers = [("authorization", &*bearer), ("x-call-id", &*id)];
        let path = format!("/services/{SERVICE}/look");
        let response = call(targets[number % targets.len()], &path, &headers, "").await;
        failed += usize::from(response.expect("a response").status != 200);
    }
    failed
}

/// Sends completions to all hosts in turn, one after the other; returns how many failed.
async fn generate(fleet: &Fleet, count: usize, label: &str) -> usize {
    let (key, targets) = (&fleet.keys["release"], fleet.caller_addresses());
    let mut failed = 0;
    for number in 0..count {
        let prompt = format!("{label}-{number}");
        let response = complete(targets[number % targets.len()], key, &prompt, 2).await;
        failed += usize::from(response.expect("a response").status != 200);
    }
    failed
}

fn engine<'a>(fleet: &'a Fleet, phase: &str) -> &'a Process {
    let found = fleet.engines.iter().find(|engine| engine.name.contains(phase));
    found.expect("an engine of the phase")
}

/// Guards against a plain service that gets calls although it says that it leaves.
#[actix_web::test]
async fn a_leaving_service_gets_one_call_from_each_host_at_most() {
    let fleet = start_fleet().await;
    let hosts = fleet.caller_addresses().len();
    let service = &fleet.services[0];
    leave(service).await;
    let failed = look(&fleet, 100, "leaving").await;
    let got = count_calls(service).await;
    assert!(got <= hosts, "{got} of 100 calls, {hosts} hosts");
    assert_eq!(failed, 0);
}

/// Guards against engines that get prompts or generations although they say that they leave.
#[actix_web::test]
async fn a_leaving_engine_gets_one_request_from_each_host_at_most() {
    for (phase, path) in [("prefill", "/prefill"), ("decode", "/decode")] {
        let fleet = start_fleet().await;
        let hosts = fleet.caller_addresses().len();
        let engine = engine(&fleet, phase);
        leave(engine).await;
        let failed = generate(&fleet, 48, "leaving").await;
        let got = count_seen(engine, path).await;
        assert!(got <= hosts, "{got} of 48 requests to {path}, {hosts} hosts");
        assert_eq!(failed, 0, "{path}");
    }
}

/// Guards against a service that gets calls although it has asked for a pause, and against callers
/// who fail meanwhile.
#[actix_web::test]
async fn a_service_that_asks_for_a_pause_gets_it() {
    let fleet = start_fleet().await;
    let hosts = fleet.caller_addresses().len();
    let service = &fleet.services[0];
    ask_for_pause(service, "4").await;
    let mut failed = look(&fleet, hosts, "first").await;
    sleep(GRACE).await;
    let (began, before) = (Instant::now(), count_declined(service).await);
    assert!(before > 0, "the service was asked");
    while began.elapsed() < Duration::from_secs(2) {
        failed += look(&fleet, hosts, "later").await;
    }
    let late = count_declined(service).await - before;
    assert!(late <= ALLOWED * hosts, "{late} calls from {hosts} hosts");
    assert_eq!(failed, 0);
}

/// Guards against engines that get requests although they have asked for a pause.
#[actix_web::test]
async fn an_engine_that_asks_for_a_pause_gets_it() {
    for phase in ["prefill", "decode"] {
        let fleet = start_fleet().await;
        let hosts = fleet.caller_addresses().len();
        let engine = engine(&fleet, phase);
        ask_for_pause(engine, "4").await;
        let mut failed = generate(&fleet, 4 * hosts, "first").await;
        sleep(GRACE).await;
        let (began, before) = (Instant::now(), count_declined(engine).await);
        assert!(before > 0, "the engine was asked");
        while began.elapsed() < Duration::from_secs(2) {
            failed += generate(&fleet, hosts, "later").await;
        }
        let late = count_declined(engine).await - before;
        assert!(late <= ALLOWED * hosts, "{late} requests to {phase} from {hosts} hosts");
        assert_eq!(failed, 0, "{phase}");
    }
}

/// Guards against callers who wait while all services of all domains pause.
#[actix_web::test]
async fn callers_are_refused_at_once_while_all_services_pause() {
    let fleet = start_fleet().await;
    for service in &fleet.services {
        ask_for_pause(service, "4").await;
    }
    look(&fleet, 4 * fleet.caller_addresses().len(), "first").await;
    let bearer = format!("Bearer {}", fleet.keys["release"]);
    let began = Instant::now();
    let headers = [("authorization", &*bearer), ("x-call-id", "last")];
    let path = format!("/services/{SERVICE}/look");
    let response = call(fleet.caller_addresses()[0], &path, &headers, "").await;
    let response = response.expect("a response");
    assert_eq!(response.status, 503, "{}", response.body);
    assert_eq!(response.body["error"]["outcome"], "not-run", "{}", response.body);
    assert!(began.elapsed() < Duration::from_millis(250), "{:?}", began.elapsed());
}
