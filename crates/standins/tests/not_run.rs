//! A refusal that says "not run" is true, and a call that may not be repeated runs at most once.

mod common;

use std::time::Duration;

use common::{Reply, call, call_count, proxied};
use damaskhatch_standins::fleet::{Fleet, SERVICE};
use damaskhatch_standins::proxy::Rule;
use tokio::time::sleep;

async fn book(fleet: &Fleet, host: usize, id: &str, idempotency: Option<&str>) -> Reply {
    let bearer = format!("Bearer {}", fleet.keys["release"]);
    let mut headers = vec![("authorization", &*bearer), ("x-call-id", id)];
    headers.extend(idempotency.map(|key| ("idempotency-key", key)));
    let path = format!("/services/{SERVICE}/book?sleep_ms=100");
    let reply = call(fleet.caller_addresses()[host], &path, &headers, "two drums").await;
    reply.expect("the host answers")
}

fn set_all(fleet: &Fleet, rule: &Rule) {
    for service in &fleet.services {
        service.proxy.as_ref().expect("the fleet has proxies").set(rule.clone());
    }
}

fn check(id: &str, reply: &Reply, count: u32) {
    assert!(count <= 1, "{id} ran {count} times");
    if reply.status == 200 {
        assert_eq!(count, 1, "{id} was answered");
    } else if reply.outcome() == "not-run" {
        assert_eq!(count, 0, "{id} was refused as not run: {}", reply.body);
    }
}

#[actix_web::test]
async fn a_connection_cut_at_any_byte_never_makes_a_refusal_untrue() {
    let fleet = proxied(|_| {}).await;
    let mut unknown = 0;
    for bytes in 1..420 {
        set_all(&fleet, &Rule { close_after_bytes: bytes, ..Rule::default() });
        let id = format!("cut-{bytes}");
        let reply = book(&fleet, (bytes % 6) as usize, &id, None).await;
        check(&id, &reply, call_count(&fleet, &id).await);
        unknown += u32::from(reply.outcome() == "unknown");
    }
    assert!(unknown > 100, "the cuts hit calls on their way, {unknown} did");
}

#[actix_web::test]
async fn calls_through_cut_and_silent_links_and_killed_services_run_at_most_once() {
    let mut fleet = proxied(|plan| plan.limits = "plain_timeout_ms = 1500".to_owned()).await;
    let rules = [
        Rule { is_partitioned: true, ..Rule::default() },
        Rule { drops_replies: true, ..Rule::default() },
        Rule { delay: Duration::from_millis(300), ..Rule::default() },
    ];
    for (number, rule) in rules.iter().enumerate() {
        set_all(&fleet, rule);
        for host in 0..6 {
            let id = format!("rule-{number}-{host}");
            let reply = book(&fleet, host, &id, None).await;
            check(&id, &reply, call_count(&fleet, &id).await);
        }
        set_all(&fleet, &Rule::default());
    }
    // Open connections fall silent while calls are under way.
    for round in 0..3 {
        let id = format!("silent-{round}");
        let silence = async {
            sleep(Duration::from_millis(40)).await;
            for service in &fleet.services {
                service.proxy.as_ref().expect("the fleet has proxies").blackhole_open();
            }
        };
        let (reply, ()) = tokio::join!(book(&fleet, round, &id, None), silence);
        assert_eq!(reply.outcome(), "unknown", "{}", reply.body);
        check(&id, &reply, call_count(&fleet, &id).await);
    }
    // The service of the host's domain is killed between the call and its answer.
    let target = fleet.caller_addresses()[0];
    let bearer = format!("Bearer {}", fleet.keys["release"]);
    let asked = actix_web::rt::spawn(async move {
        let headers = [("authorization", &*bearer), ("x-call-id", "killed")];
        let path = format!("/services/{SERVICE}/book?sleep_ms=1000");
        call(target, &path, &headers, "two drums").await.expect("the host answers")
    });
    sleep(Duration::from_millis(400)).await;
    let count = call_count(&fleet, "killed").await;
    fleet.services[0].kill();
    let reply = asked.await.expect("the task ends");
    assert_eq!((reply.outcome(), count), ("unknown", 1));
    assert_eq!(call_count(&fleet, "killed").await, 0, "no other service ran it");
}

#[actix_web::test]
async fn a_repeat_with_an_idempotency_key_joins_the_first_or_gets_its_answer() {
    let fleet = proxied(|_| {}).await;
    let (first, second) =
        tokio::join!(book(&fleet, 0, "same", Some("k1")), book(&fleet, 0, "same", Some("k1")));
    let third = book(&fleet, 0, "same", Some("k1")).await;
    assert_eq!((first.status, &first.body), (200, &second.body));
    assert_eq!(first.body, third.body);
    assert_eq!(call_count(&fleet, "same").await, 1);
    let bearer = format!("Bearer {}", fleet.keys["release"]);
    let headers = [("authorization", &*bearer), ("x-call-id", "k1"), ("idempotency-key", "k1")];
    let path = format!("/services/{SERVICE}/book");
    let other = call(fleet.caller_addresses()[0], &path, &headers, "three drums").await;
    assert_eq!(other.expect("the host answers").code(), "key_reused");
}
