//! Every caller receives the whole answer to its own request, through broken and silent links.

mod common;

use std::time::{Duration, Instant};

use common::{complete, eventually, proxied, stats, text};
use damaskhatch_standins::completion;
use damaskhatch_standins::engine::CRASH_DECODE_MARK;
use damaskhatch_standins::fleet::Fleet;
use damaskhatch_standins::load::prompt;
use damaskhatch_standins::proxy::Rule;
use tokio::time::sleep;

/// What a stalled stream may lose beyond the bound on silence.
const RESUME_LIMIT: Duration = Duration::from_secs(2);

/// Asks every host for completions while `fault` happens, and compares every byte.
async fn all_whole(fleet: &Fleet, seed: u64, tokens: u32, fault: impl AsyncFnOnce()) -> Duration {
    let started = Instant::now();
    let key = fleet.keys["release"].clone();
    let mut asked = Vec::new();
    for (serial, target) in fleet.caller_addresses().into_iter().cycle().take(12).enumerate() {
        let (key, prompt) = (key.clone(), prompt(serial as u64, seed, 120));
        asked.push(actix_web::rt::spawn(async move {
            let reply = complete(target, &key, &prompt, tokens).await.expect("an answer");
            assert_eq!(reply.status, 200, "{}", reply.body);
            assert_eq!(text(&reply), completion::text(&prompt, tokens));
        }));
    }
    fault().await;
    for asked in asked {
        asked.await.expect("the answer was whole");
    }
    started.elapsed()
}

fn decodes(fleet: &Fleet) -> impl Iterator<Item = &damaskhatch_standins::fleet::Process> {
    fleet.engines.iter().filter(|engine| engine.name.contains("-decode-"))
}

#[actix_web::test]
async fn streams_resume_over_broken_and_silent_links_without_a_token_twice_or_missing() {
    let fleet = proxied(|plan| {
        plan.engine_args = ["--gap-us", "10000"].map(str::to_owned).to_vec();
    })
    .await;
    let calm = all_whole(&fleet, 21, 120, async || {}).await;
    let broken = async || {
        for _ in 0..3 {
            sleep(Duration::from_millis(300)).await;
            for engine in decodes(&fleet) {
                let link = engine.proxy.as_ref().expect("the fleet has proxies");
                link.set(Rule { is_partitioned: true, ..Rule::default() });
                link.set(Rule::default());
            }
        }
    };
    all_whole(&fleet, 22, 120, broken).await;
    let silent = async || {
        sleep(Duration::from_millis(400)).await;
        for engine in decodes(&fleet) {
            engine.proxy.as_ref().expect("the fleet has proxies").blackhole_open();
        }
    };
    let stalled = all_whole(&fleet, 23, 120, silent).await;
    assert!(stalled < calm + RESUME_LIMIT, "{stalled:?} with silence, {calm:?} without");
}

#[actix_web::test]
async fn streams_go_on_elsewhere_after_an_engine_died() {
    let mut fleet = proxied(|plan| {
        plan.decodes_per_domain = 2;
        plan.engine_args = ["--gap-us", "10000"].map(str::to_owned).to_vec();
    })
    .await;
    let victim = fleet.engines.iter().position(|e| e.name == "bern-a-decode-0").expect("an engine");
    let mut taken = fleet.engines.remove(victim);
    let kill = async || {
        sleep(Duration::from_millis(500)).await;
        taken.kill();
    };
    all_whole(&fleet, 31, 120, kill).await;
}

#[actix_web::test]
async fn a_stalled_engine_that_still_beats_is_waited_for() {
    let fleet = proxied(|plan| {
        plan.engine_args = ["--gap-us", "5000"].map(str::to_owned).to_vec();
    })
    .await;
    let stall = async || {
        sleep(Duration::from_millis(200)).await;
        for engine in decodes(&fleet) {
            let fault = serde_json::json!({ "stall_ms": 2_000 });
            let set = damaskhatch_standins::fleet::post(engine.address, "/test/fault", &fault);
            set.await.expect("the engine stalls");
        }
    };
    all_whole(&fleet, 41, 60, stall).await;
}

#[actix_web::test]
async fn one_poisoned_prompt_costs_two_engines_at_most_and_innocents_are_answered() {
    let mut fleet = proxied(|plan| {
        plan.decodes_per_domain = 3;
        plan.engine_args = ["--gap-us", "10000"].map(str::to_owned).to_vec();
    })
    .await;
    let key = fleet.keys["audit"].clone();
    let poison = format!("{CRASH_DECODE_MARK} summarize this");
    let innocents = async {
        let poison = poison.clone();
        for (index, target) in fleet.caller_addresses().into_iter().enumerate() {
            sleep(Duration::from_millis(250)).await;
            let reply = complete(target, &key, &poison, 50).await.expect("an answer");
            assert_ne!(reply.status, 200, "host {index} cannot have answered");
        }
    };
    let (_took, ()) = tokio::join!(all_whole(&fleet, 51, 150, async || {}), innocents);
    let mut dead = 0;
    for engine in &mut fleet.engines {
        dead += u32::from(engine.exit_code().is_some());
    }
    assert!((1..=2).contains(&dead), "{dead} engines died");
    let alive = fleet.engines.iter().find(|e| e.name.contains("-prefill-")).expect("an engine");
    eventually("prefill engines live on", Duration::from_secs(1), async || {
        stats(alive).await.counts.started > 0
    })
    .await;
}
