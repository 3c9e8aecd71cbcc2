//! Requests are delayed but not lost while a domain's scheduler is dead or frozen.

mod common;

use std::time::Duration;

use common::{complete, start_proxied, text};
use damaskhatch::control::claims::scheduler_role;
use damaskhatch_policy::prelude::Tag;
use damaskhatch_policy::rendezvous;
use damaskhatch_standins::completion;
use damaskhatch_standins::fleet::{self, Fleet, MODEL};
use damaskhatch_standins::load::build_prompt;
use tokio::time::{Instant, sleep};

/// The domain whose scheduler fails.
const DOMAIN: &str = "bern-a";
/// Completions per second; with [`OUTPUT_TOKENS`] each they use 90 % of the domain's slots.
const PER_SECOND: f64 = 32.0;
/// Output limit of each completion, in tokens.
const OUTPUT_TOKENS: u32 = 40;

/// The indices of the host that runs the domain's scheduler and of the domain's other host.
fn scheduler_and_other(fleet: &Fleet) -> (usize, usize) {
    let role = scheduler_role(Tag::of(MODEL), Tag::of(DOMAIN));
    let tags = (0..2).map(|index| Tag::of(&fleet.hosts[index].process.name));
    let owner = rendezvous::owner(role, tags).expect("the domain has hosts");
    let index = usize::from(Tag::of(&fleet.hosts[1].process.name) == owner);
    (index, 1 - index)
}

/// Sends completions at a constant rate, requires the right response to each and returns their
/// durations in ascending order.
async fn send_at_rate(fleet: &Fleet, host: usize, seed: u64, length: Duration) -> Vec<Duration> {
    let key = fleet.keys["release"].clone();
    let target = fleet.caller_addresses()[host];
    let started = Instant::now();
    let mut calls = Vec::new();
    while started.elapsed() < length {
        let serial = calls.len() as u64;
        let (key, prompt) = (key.clone(), build_prompt(serial, seed, 60));
        calls.push(actix_web::rt::spawn(async move {
            let sent = Instant::now();
            let response =
                complete(target, &key, &prompt, OUTPUT_TOKENS).await.expect("a response");
            assert_eq!(response.status, 200, "{}", response.body);
            assert_eq!(text(&response), completion::text(&prompt, OUTPUT_TOKENS));
            sent.elapsed()
        }));
        let next = Duration::from_secs_f64(calls.len() as f64 / PER_SECOND);
        sleep(next.saturating_sub(started.elapsed())).await;
    }
    let mut durations = Vec::new();
    for call in calls {
        durations.push(call.await.expect("the response is right"));
    }
    durations.sort();
    durations
}

/// Prints the count and the quantiles of sorted durations.
fn print_durations(label: &str, durations: &[Duration]) {
    let at = |percent: usize| durations[(durations.len() - 1) * percent / 100].as_millis();
    println!("{label}: {} responses, p50 {} ms, p95 {} ms", durations.len(), at(50), at(95));
}

/// Sends `signal` to the scheduler's host while the other host serves completions.
async fn signal_scheduler(signal: &str) {
    let mut fleet = start_proxied(|plan| {
        plan.engine_args = ["--gap-us", "8000"].map(str::to_owned).to_vec();
    })
    .await;
    let (scheduler, other) = scheduler_and_other(&fleet);
    print_durations("before", &send_at_rate(&fleet, other, 1, Duration::from_secs(3)).await);
    if signal == "KILL" {
        fleet.hosts[scheduler].process.kill();
    } else {
        fleet.hosts[scheduler].process.signal(signal);
    }
    let durations = send_at_rate(&fleet, other, 2, Duration::from_secs(5)).await;
    print_durations(&format!("5 s after {signal}"), &durations);
    let operator = fleet.hosts[other].operator;
    let ready = fleet::get(operator, "/ready").await.expect("the other host responds");
    assert_eq!(ready["draining"], false);
    if signal == "STOP" {
        fleet.hosts[scheduler].process.signal("CONT");
    }
}

#[actix_web::test]
async fn all_requests_complete_after_the_scheduler_was_killed() {
    signal_scheduler("KILL").await;
}

#[actix_web::test]
async fn all_requests_complete_while_the_scheduler_is_frozen() {
    signal_scheduler("STOP").await;
}
