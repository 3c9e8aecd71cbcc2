//! A dead or frozen scheduler costs waiting, not answers.

mod common;

use std::time::Duration;

use common::{complete, proxied, text};
use damaskhatch::control::claims::scheduler_role;
use damaskhatch_policy::prelude::Tag;
use damaskhatch_policy::rendezvous;
use damaskhatch_standins::completion;
use damaskhatch_standins::fleet::{self, Fleet, MODEL};
use damaskhatch_standins::load::prompt;
use tokio::time::{Instant, sleep};

/// The domain whose scheduler is lost.
const DOMAIN: &str = "bern-a";
/// Completions a second; with [`OUTPUT_TOKENS`] each they fill nine tenths of the domain's slots.
const PER_SECOND: f64 = 32.0;
/// Tokens of each answer.
const OUTPUT_TOKENS: u32 = 40;

/// The index of the host that runs the domain's scheduler, and of another of the domain.
fn scheduler_and_other(fleet: &Fleet) -> (usize, usize) {
    let role = scheduler_role(Tag::of(MODEL), Tag::of(DOMAIN));
    let tags = (0..2).map(|index| Tag::of(&fleet.hosts[index].process.name));
    let owner = rendezvous::owner(role, tags).expect("the domain has hosts");
    let index = usize::from(Tag::of(&fleet.hosts[1].process.name) == owner);
    (index, 1 - index)
}

/// Sends completions at a steady pace; returns how long each took, all of them right.
async fn pace(fleet: &Fleet, host: usize, seed: u64, length: Duration) -> Vec<Duration> {
    let key = fleet.keys["release"].clone();
    let target = fleet.caller_addresses()[host];
    let started = Instant::now();
    let mut asked = Vec::new();
    while started.elapsed() < length {
        let serial = asked.len() as u64;
        let (key, prompt) = (key.clone(), prompt(serial, seed, 60));
        asked.push(actix_web::rt::spawn(async move {
            let sent = Instant::now();
            let reply = complete(target, &key, &prompt, OUTPUT_TOKENS).await.expect("an answer");
            assert_eq!(reply.status, 200, "{}", reply.body);
            assert_eq!(text(&reply), completion::text(&prompt, OUTPUT_TOKENS));
            sent.elapsed()
        }));
        let next = Duration::from_secs_f64(asked.len() as f64 / PER_SECOND);
        sleep(next.saturating_sub(started.elapsed())).await;
    }
    let mut took = Vec::new();
    for asked in asked {
        took.push(asked.await.expect("the answer was right"));
    }
    took.sort();
    took
}

fn report(what: &str, took: &[Duration]) {
    let at = |part: usize| took[(took.len() - 1) * part / 100].as_millis();
    println!("{what}: {} answers, p50 {} ms, p95 {} ms", took.len(), at(50), at(95));
}

async fn lose_scheduler(signal: &str) {
    let mut fleet = proxied(|plan| {
        plan.engine_args = ["--gap-us", "8000"].map(str::to_owned).to_vec();
    })
    .await;
    let (scheduler, other) = scheduler_and_other(&fleet);
    report("before", &pace(&fleet, other, 1, Duration::from_secs(3)).await);
    if signal == "KILL" {
        fleet.hosts[scheduler].process.kill();
    } else {
        fleet.hosts[scheduler].process.signal(signal);
    }
    let took = pace(&fleet, other, 2, Duration::from_secs(5)).await;
    report(&format!("5 s after {signal}"), &took);
    let operator = fleet.hosts[other].operator;
    let ready = fleet::get(operator, "/ready").await.expect("the other host answers");
    assert_eq!(ready["draining"], false);
    if signal == "STOP" {
        fleet.hosts[scheduler].process.signal("CONT");
    }
}

#[actix_web::test]
async fn all_are_answered_after_the_scheduler_was_killed() {
    lose_scheduler("KILL").await;
}

#[actix_web::test]
async fn all_are_answered_while_the_scheduler_is_frozen() {
    lose_scheduler("STOP").await;
}
