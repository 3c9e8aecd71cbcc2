//! A call that is refused as not run did not run, and a call that must not be retried runs at
//! most once.

mod common;

use std::time::Duration;

use common::{Response, call, count_runs, start_proxied};
use damaskhatch_standins::fleet::{Fleet, SERVICE};
use damaskhatch_standins::proxy::Rule;
use tokio::time::sleep;

/// Calls the plain service, which works for 100 ms, with an id that the service records.
async fn call_service(fleet: &Fleet, host: usize, id: &str, idempotency: Option<&str>) -> Response {
    let bearer = format!("Bearer {}", fleet.keys["release"]);
    let mut headers = vec![("authorization", &*bearer), ("x-call-id", id)];
    headers.extend(idempotency.map(|key| ("idempotency-key", key)));
    let path = format!("/services/{SERVICE}/book?sleep_ms=100");
    let response = call(fleet.caller_addresses()[host], &path, &headers, "two drums").await;
    response.expect("the host responds")
}

/// Sets a rule on the links to all plain services.
fn set_service_links(fleet: &Fleet, rule: &Rule) {
    for service in &fleet.services {
        service.proxy.as_ref().expect("the fleet has proxies").set(rule.clone());
    }
}

/// Checks a response against the number of times that its call ran.
///
/// All calls have the same body, and no service crashes under any of them.
fn check_runs(id: &str, response: &Response, count: u32) {
    assert_ne!(response.body["error"]["code"], "quarantined", "{id}: {}", response.body);
    assert!(count <= 1, "{id} ran {count} times");
    if response.status == 200 {
        assert_eq!(count, 1, "{id} succeeded but ran {count} times");
    } else if response.outcome() == "not-run" {
        assert_eq!(
            count, 0,
            "{id} ran {count} times but was refused as not run: {}",
            response.body
        );
    }
}

#[actix_web::test]
async fn a_refusal_as_not_run_is_true_when_the_connection_breaks_at_any_byte() {
    let fleet = start_proxied(|_| {}).await;
    let mut unknown = 0;
    for bytes in 1..420 {
        set_service_links(&fleet, &Rule { close_after_bytes: bytes, ..Rule::default() });
        let id = format!("cut-{bytes}");
        let response = call_service(&fleet, (bytes % 6) as usize, &id, None).await;
        check_runs(&id, &response, count_runs(&fleet, &id).await);
        unknown += u32::from(response.outcome() == "unknown");
    }
    assert!(unknown > 100, "more than 100 calls break in transit, {unknown} did");
}

#[actix_web::test]
async fn calls_over_broken_and_silent_links_and_to_killed_services_run_at_most_once() {
    let mut fleet = start_proxied(|plan| plan.limits = "plain_timeout_ms = 1500".to_owned()).await;
    let rules = [
        Rule { is_partitioned: true, ..Rule::default() },
        Rule { drops_replies: true, ..Rule::default() },
        Rule { delay: Duration::from_millis(300), ..Rule::default() },
    ];
    for (number, rule) in rules.iter().enumerate() {
        set_service_links(&fleet, rule);
        for host in 0..6 {
            let id = format!("rule-{number}-{host}");
            let response = call_service(&fleet, host, &id, None).await;
            check_runs(&id, &response, count_runs(&fleet, &id).await);
        }
        set_service_links(&fleet, &Rule::default());
    }
    // Open connections stop delivering data while calls are in flight.
    for round in 0..3 {
        let id = format!("silent-{round}");
        let silence = async {
            sleep(Duration::from_millis(40)).await;
            for service in &fleet.services {
                service.proxy.as_ref().expect("the fleet has proxies").blackhole_open();
            }
        };
        let (response, ()) = tokio::join!(call_service(&fleet, round, &id, None), silence);
        assert_eq!(response.outcome(), "unknown", "{}", response.body);
        check_runs(&id, &response, count_runs(&fleet, &id).await);
    }
    // The service of the host's domain is killed between the call and its response.
    let target = fleet.caller_addresses()[0];
    let bearer = format!("Bearer {}", fleet.keys["release"]);
    let request = actix_web::rt::spawn(async move {
        let headers = [("authorization", &*bearer), ("x-call-id", "killed")];
        let path = format!("/services/{SERVICE}/book?sleep_ms=1000");
        call(target, &path, &headers, "two drums").await.expect("the host responds")
    });
    sleep(Duration::from_millis(400)).await;
    let count = count_runs(&fleet, "killed").await;
    fleet.services[0].kill();
    let response = request.await.expect("the task ends");
    assert_eq!((response.outcome(), count), ("unknown", 1));
    assert_eq!(count_runs(&fleet, "killed").await, 0, "no other service ran it");
}

#[actix_web::test]
async fn a_retry_with_an_idempotency_key_joins_the_first_call_or_replays_its_response() {
    let fleet = start_proxied(|_| {}).await;
    let (first, second) = tokio::join!(
        call_service(&fleet, 0, "same", Some("k1")),
        call_service(&fleet, 0, "same", Some("k1"))
    );
    let third = call_service(&fleet, 0, "same", Some("k1")).await;
    assert_eq!((first.status, &first.body), (200, &second.body));
    assert_eq!(first.body, third.body);
    assert_eq!(count_runs(&fleet, "same").await, 1);
    let bearer = format!("Bearer {}", fleet.keys["release"]);
    let headers = [("authorization", &*bearer), ("x-call-id", "k1"), ("idempotency-key", "k1")];
    let path = format!("/services/{SERVICE}/book");
    let other = call(fleet.caller_addresses()[0], &path, &headers, "three drums").await;
    assert_eq!(other.expect("the host responds").code(), "key_reused");
}

/// Guards against a response that its service's crash cuts off, with nothing to mark its end, and
/// that is passed on, or replayed to a repeat, as the complete one.
#[actix_web::test]
async fn a_close_delimited_response_that_a_crash_cuts_off_is_not_passed_on() {
    let mut fleet = start_proxied(|plan| plan.proxied = false).await;
    let bearer = format!("Bearer {}", fleet.keys["release"]);
    for (round, crash_after_bytes) in [None, Some(0), Some(1), Some(20)].into_iter().enumerate() {
        let id = format!("unframed-{round}");
        let crash = crash_after_bytes.map(|bytes| format!("&crash_after_bytes={bytes}"));
        let crash = crash.unwrap_or_default();
        let path = format!("/services/{SERVICE}/book?is_unframed=true&round={round}{crash}");
        let headers = [("authorization", &*bearer), ("x-call-id", &*id), ("idempotency-key", &*id)];
        let target = fleet.caller_addresses()[round];
        for _ in 0..2 {
            let response = call(target, &path, &headers, "two drums").await;
            let response = response.expect("the host responds");
            if crash.is_empty() {
                assert_eq!((response.status, &response.body["body"]), (200, &"two drums".into()));
            } else {
                assert_eq!(response.status, 502, "{id}: {}", response.body);
                assert_eq!(response.outcome(), "unknown", "{id}: {}", response.body);
            }
        }
        for mut service in std::mem::take(&mut fleet.services) {
            if service.exit_code().is_some() {
                fleet.restart(&mut service).expect("the service restarts");
            }
            fleet.services.push(service);
        }
    }
}

/// Guards against recorded responses that take up all memory, and against a repeat that runs because the
/// response to its original is no longer kept.
#[actix_web::test]
async fn a_repeat_of_a_call_whose_response_was_forgotten_does_not_run() {
    let fleet = start_proxied(|_| {}).await;
    let bearer = format!("Bearer {}", fleet.keys["release"]);
    let path = format!("/services/{SERVICE}/book");
    // The service responds with the body of the call: 8 MB in all.
    let body = "x".repeat(200_000);
    let (mut replayed, mut forgotten) = (0, 0);
    for round in 0..2 {
        for number in 0..40 {
            let (id, key) = (format!("long-{number}"), format!("key-{number}"));
            let headers = [("authorization", &*bearer), ("x-call-id", &*id), (KEY_HEADER, &*key)];
            let response = call(fleet.caller_addresses()[0], &path, &headers, &body).await;
            let response = response.expect("the host responds");
            assert_eq!(count_runs(&fleet, &id).await, 1, "{id} in round {round}");
            match response.status {
                200 => replayed += round,
                502 => forgotten += round,
                status => panic!("{id} got status {status}"),
            }
        }
    }
    assert!(replayed >= 5 && forgotten >= 5, "{replayed} replayed, {forgotten} forgotten");
}

/// The header of the idempotency key.
const KEY_HEADER: &str = "idempotency-key";
