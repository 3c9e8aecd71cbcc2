//! Every caller receives the complete response to its own request over broken and silent links.

mod common;

use std::time::{Duration, Instant};

use common::{
    complete, eventually, fetch_stats, read_raw_response, send_completion, start_proxied, text,
};
use damaskhatch_standins::completion;
use damaskhatch_standins::engine::CRASH_DECODE_MARK;
use damaskhatch_standins::extra;
use damaskhatch_standins::fleet::{self, Fleet, MODEL, Process};
use damaskhatch_standins::load::build_prompt;
use damaskhatch_standins::proxy::Rule;
use serde_json::json;
use tokio::time::sleep;

/// Largest extra duration of a run in which links stop delivering data. It covers the time until
/// the silence is detected and the resumption on another connection.
const MAX_RESUME_DELAY: Duration = Duration::from_secs(2);

/// Requests completions from all hosts while `fault` runs, compares every byte and returns the
/// total duration.
async fn run_and_compare(
    fleet: &Fleet,
    seed: u64,
    tokens: u32,
    fault: impl AsyncFnOnce(),
) -> Duration {
    let started = Instant::now();
    let key = fleet.keys["release"].clone();
    let mut requests = Vec::new();
    for (serial, target) in fleet.caller_addresses().into_iter().cycle().take(12).enumerate() {
        let (key, prompt) = (key.clone(), build_prompt(serial as u64, seed, 120));
        requests.push(actix_web::rt::spawn(async move {
            let response = complete(target, &key, &prompt, tokens).await.expect("a response");
            assert_eq!(response.status, 200, "{}", response.body);
            assert_eq!(text(&response), completion::text(&prompt, tokens));
        }));
    }
    fault().await;
    for request in requests {
        request.await.expect("the response is complete");
    }
    started.elapsed()
}

fn decode_engines(fleet: &Fleet) -> impl Iterator<Item = &damaskhatch_standins::fleet::Process> {
    fleet.engines.iter().filter(|engine| engine.name.contains("-decode-"))
}

#[actix_web::test]
async fn streams_resume_over_broken_and_silent_links_without_duplicate_or_missing_tokens() {
    let fleet = start_proxied(|plan| {
        plan.engine_args = ["--gap-us", "10000"].map(str::to_owned).to_vec();
    })
    .await;
    let baseline = run_and_compare(&fleet, 21, 120, async || {}).await;
    let broken = async || {
        for _ in 0..3 {
            sleep(Duration::from_millis(300)).await;
            for engine in decode_engines(&fleet) {
                let link = engine.proxy.as_ref().expect("the fleet has proxies");
                link.set(Rule { is_partitioned: true, ..Rule::default() });
                link.set(Rule::default());
            }
        }
    };
    run_and_compare(&fleet, 22, 120, broken).await;
    let silent = async || {
        sleep(Duration::from_millis(400)).await;
        for engine in decode_engines(&fleet) {
            engine.proxy.as_ref().expect("the fleet has proxies").blackhole_open();
        }
    };
    let stalled = run_and_compare(&fleet, 23, 120, silent).await;
    assert!(
        stalled < baseline + MAX_RESUME_DELAY,
        "{stalled:?} with silence, {baseline:?} without"
    );
}

#[actix_web::test]
async fn streams_resume_on_another_engine_after_one_died() {
    let mut fleet = start_proxied(|plan| {
        plan.decodes_per_domain = 2;
        plan.engine_args = ["--gap-us", "10000"].map(str::to_owned).to_vec();
    })
    .await;
    let index = fleet.engines.iter().position(|e| e.name == "bern-a-decode-0").expect("an engine");
    let mut engine = fleet.engines.remove(index);
    let kill = async || {
        sleep(Duration::from_millis(500)).await;
        engine.kill();
    };
    run_and_compare(&fleet, 31, 120, kill).await;
}

/// Guards against a response of the own interface that is joined from engines of two software
/// versions after the first engine died.
#[actix_web::test]
async fn a_stream_is_not_resumed_on_an_engine_of_another_version() {
    for (second, is_complete) in [("v1", true), ("v2", false)] {
        let mut fleet = start_proxied(|plan| {
            plan.domains.truncate(1);
            plan.decodes_per_domain = 2;
            plan.repeatable = true;
            plan.engine_args = ["--gap-us", "10000"].map(str::to_owned).to_vec();
        })
        .await;
        let versions = ["v1", second];
        for (engine, version) in decode_engines(&fleet).zip(versions) {
            let setting = json!({ "name": extra::VERSION, "value": version });
            fleet::post(engine.address, "/test/header", &setting).await.expect("a version");
        }
        let (key, target) = (fleet.keys["release"].clone(), fleet.caller_addresses()[0]);
        let prompt = build_prompt(1, 31, 120);
        let asked = prompt.clone();
        let request =
            actix_web::rt::spawn(async move { complete(target, &key, &asked, 100).await });
        sleep(Duration::from_millis(500)).await;
        let mut died = false;
        for engine in fleet.engines.iter_mut().filter(|own| own.name.contains("-decode-")) {
            if !died && fetch_stats(engine).await.running > 0 {
                engine.kill();
                died = true;
            }
        }
        assert!(died, "an engine runs the request");
        let response = request.await.expect("no panic").expect("a response");
        assert_eq!(response.status == 200, is_complete, "{second}: {}", response.body);
        if is_complete {
            assert_eq!(text(&response), completion::text(&prompt, 100));
        }
    }
}

#[actix_web::test]
async fn a_stalled_engine_that_sends_heartbeats_is_not_abandoned() {
    let fleet = start_proxied(|plan| {
        plan.engine_args = ["--gap-us", "5000"].map(str::to_owned).to_vec();
    })
    .await;
    let stall = async || {
        sleep(Duration::from_millis(200)).await;
        for engine in decode_engines(&fleet) {
            let fault = serde_json::json!({ "stall_ms": 2_000 });
            let set = damaskhatch_standins::fleet::post(engine.address, "/test/fault", &fault);
            set.await.expect("the engine stalls");
        }
    };
    run_and_compare(&fleet, 41, 60, stall).await;
}

/// The size of the prompts' blocks by which requests are recognized, in bytes.
const BLOCK_BYTES: usize = 1_024;
/// The engines that a block of prompts may crash before it is refused.
const MAX_CRASHES_OF_A_BLOCK: usize = 5;

#[actix_web::test]
async fn a_prompt_that_crashes_engines_kills_at_most_two_and_other_requests_complete() {
    let mut fleet = start_proxied(|plan| {
        plan.decodes_per_domain = 3;
        plan.engine_args = ["--gap-us", "10000"].map(str::to_owned).to_vec();
    })
    .await;
    let key = fleet.keys["audit"].clone();
    let crashing_prompt = format!("{CRASH_DECODE_MARK} summarize this");
    let crashing_requests = async {
        let crashing_prompt = crashing_prompt.clone();
        for (index, target) in fleet.caller_addresses().into_iter().enumerate() {
            sleep(Duration::from_millis(250)).await;
            let response = complete(target, &key, &crashing_prompt, 50).await.expect("a response");
            assert_ne!(
                response.status, 200,
                "host {index} completed a prompt that crashes engines"
            );
        }
    };
    let (_took, ()) =
        tokio::join!(run_and_compare(&fleet, 51, 150, async || {}), crashing_requests);
    let mut dead = 0;
    for engine in &mut fleet.engines {
        dead += u32::from(engine.exit_code().is_some());
    }
    assert!((1..=2).contains(&dead), "{dead} engines died");
    let alive = fleet.engines.iter().find(|e| e.name.contains("-prefill-")).expect("an engine");
    eventually("prefill engines still respond", Duration::from_secs(1), async || {
        fetch_stats(alive).await.counts.started > 0
    })
    .await;
}

/// Guards against a block of prompts that crashes one engine after the other, in requests that are
/// never alike.
#[actix_web::test]
async fn a_block_of_prompts_that_crashes_engines_is_refused_whatever_follows_it() {
    let mut fleet = start_proxied(|plan| plan.decodes_per_domain = 4).await;
    let key = fleet.keys["audit"].clone();
    let crashing_block = format!("{CRASH_DECODE_MARK:.<BLOCK_BYTES$}");
    let mut statuses = Vec::new();
    for (number, target) in (0..4).flat_map(|_| fleet.caller_addresses()).enumerate() {
        let own = format!("{number:04}").repeat(BLOCK_BYTES / 4 + 10);
        let prompt = format!("{crashing_block}{own}");
        let response = complete(target, &key, &prompt, 50).await.expect("a response");
        statuses.push(response.status);
        sleep(Duration::from_millis(100)).await;
    }
    let dead = fleet.engines.iter_mut().filter_map(Process::exit_code).count();
    assert!((1..=MAX_CRASHES_OF_A_BLOCK).contains(&dead), "{dead} engines died: {statuses:?}");
    assert_eq!(statuses.last(), Some(&429), "{statuses:?}");
}

/// Guards against chunks sent to a caller whose HTTP version does not know them.
#[actix_web::test]
async fn an_http_10_caller_gets_a_stream_that_ends_with_its_connection() {
    let fleet = start_proxied(|plan| plan.proxied = false).await;
    let (key, target) = (&fleet.keys["release"], fleet.caller_addresses()[0]);
    let body = json!({
        "model": MODEL, "prompt": build_prompt(1, 5, 20), "max_tokens": 5, "stream": true,
    });
    let mut connection = send_completion(target, key, "HTTP/1.0", &body).await;
    let response = read_raw_response(&mut connection, Duration::from_secs(5)).await;
    let (head, events) = response.split_once("\r\n\r\n").expect("a head");
    assert!(!head.to_ascii_lowercase().contains("transfer-encoding"), "{head}");
    assert!(events.starts_with("data: ") && events.ends_with("data: [DONE]\n\n"), "{events}");
}
