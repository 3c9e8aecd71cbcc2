//! The demo, and a benchmark of the latency that a host adds to direct engine calls.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use damaskhatch::memory::Budgets;
use damaskhatch::upstream::engine;
use damaskhatch::upstream::message::{Decode, Event, Prefill};
use futures_util::StreamExt;
use hdrhistogram::Histogram;
use serde_json::json;
use tokio::time::{Instant, sleep};

use crate::fleet::{self, Fleet, MODEL, Plan, SERVICE};
use crate::load::{self, Events, Report};

/// Number of requests that the demo sends as load.
const DEMO_REQUESTS: u64 = 120;
/// The memory for direct requests, in MiB.
const MEMORY_MB: u64 = 128;
/// Prompt length in the latency benchmark, in tokens.
const LATENCY_PROMPT_TOKENS: u32 = 64;
/// Output limit in the latency benchmark, in tokens.
const LATENCY_OUTPUT_TOKENS: u32 = 8;

/// Starts a fleet, sends requests and prints the responses and the hosts' decisions.
pub async fn run() -> io::Result<()> {
    let program = std::env::current_exe()?;
    let plan = Plan { log_filter: "warn".to_owned(), ..Plan::small(program) };
    println!("starting platform, engines, services and six hosts in three domains");
    let fleet = Fleet::start(plan).await?;
    println!("ready; one streamed response from the first host:");
    let key = fleet.keys["release"].clone();
    let request = stream_completion(fleet.caller_addresses()[0], &key).await?;
    println!("decisions on {request}:");
    print_decisions(&fleet, &request).await;
    println!("{DEMO_REQUESTS} mixed requests, each response checked byte for byte:");
    let report = load::run(load::Plan {
        targets: fleet.caller_addresses(),
        model: MODEL.to_owned(),
        service: Some(SERVICE.to_owned()),
        keys: fleet.keys.values().cloned().collect(),
        requests: DEMO_REQUESTS,
        in_flight: 4,
        prompt_tokens: (20, 2_000),
        output_tokens: (4, 60),
        seed: 1,
    })
    .await;
    println!("{}", report.summary());
    if report.right == report.sent {
        Ok(())
    } else {
        let text = format!("only {} of {} responses were right", report.right, report.sent);
        Err(io::Error::other(text))
    }
}

/// Prints the events of one streamed completion and returns its request id.
async fn stream_completion(caller: SocketAddr, key: &str) -> io::Result<String> {
    let body = json!({
        "model": MODEL, "prompt": "Summarize waste declaration 17.", "max_tokens": 12, "stream": true,
    });
    let request = awc::Client::new()
        .post(format!("http://{caller}/v1/completions"))
        .bearer_auth(key)
        .send_json(&body);
    let mut response = request.await.map_err(|error| io::Error::other(error.to_string()))?;
    let id = response.headers().get("x-request-id").and_then(|id| id.to_str().ok());
    let id = id.unwrap_or("?").to_owned();
    let mut events = Events::default();
    while let Some(chunk) = response.next().await {
        events.append_bytes(&chunk.map_err(io::Error::other)?);
        while let Some(event) = events.next_event() {
            println!("  {event}");
        }
    }
    Ok(id)
}

/// Prints what each host logged about its decisions on a request.
async fn print_decisions(fleet: &Fleet, request: &str) {
    for host in &fleet.hosts {
        let path = format!("/v1/explain/{request}");
        let lines = fleet::get(host.operator, &path).await.unwrap_or_default();
        for line in lines.as_array().into_iter().flatten() {
            println!("  {}: {}", host.process.name, line["text"].as_str().unwrap_or(""));
        }
    }
}

/// Measures the time to the first token, directly at the engines and through a host.
pub async fn measure_latency(requests: u64) -> io::Result<()> {
    let program = std::env::current_exe()?;
    let mut plan = Plan::small(program);
    plan.engine_args =
        ["--gap-us", "1000", "--prefill-rate", "1000000"].map(str::to_owned).to_vec();
    let fleet = Fleet::start(plan).await?;
    let mut direct = Report::default();
    let mut routed = Report::default();
    let key = fleet.keys["release"].clone();
    // The two paths alternate, so that load on the machine affects both alike.
    for serial in 0..requests {
        let prompt = load::build_prompt(serial, 7, LATENCY_PROMPT_TOKENS);
        call_engines(&fleet, serial, &prompt, &mut direct).await;
        sleep(Duration::from_millis(2)).await;
        let single = load::run(load::Plan {
            targets: vec![fleet.caller_addresses()[0]],
            model: MODEL.to_owned(),
            service: None,
            keys: vec![key.clone()],
            requests: 1,
            in_flight: 1,
            prompt_tokens: (LATENCY_PROMPT_TOKENS, LATENCY_PROMPT_TOKENS),
            output_tokens: (LATENCY_OUTPUT_TOKENS, LATENCY_OUTPUT_TOKENS),
            seed: serial * 4,
        })
        .await;
        routed.first_token += single.first_token;
        routed.right += single.right;
    }
    let ms = |histogram: &Histogram<u64>, q: f64| histogram.value_at_quantile(q) as f64 / 1_000.0;
    println!("path,requests,first_token_ms_p50,first_token_ms_p99");
    for (name, report) in [("direct", &direct), ("routed", &routed)] {
        let histogram = &report.first_token;
        println!("{name},{},{:.2},{:.2}", report.right, ms(histogram, 0.5), ms(histogram, 0.99));
    }
    Ok(())
}

/// Calls a prefill and a decode engine directly and records the time to the first token.
async fn call_engines(fleet: &Fleet, serial: u64, prompt: &str, report: &mut Report) {
    let find = |role: &str| fleet.engines.iter().find(|engine| engine.name.contains(role));
    let (Some(prefill), Some(decode)) = (find("-prefill-"), find("-decode-")) else {
        return;
    };
    // Not in the form of a router's id, so that no scheduler cancels it as an orphaned request.
    let request = format!("direct-{serial}");
    let (prefill, decode) = (prefill.address.to_string(), decode.address.to_string());
    let started = Instant::now();
    let (id, team, prompt) = (request, "direct".to_owned(), prompt.to_owned());
    let call =
        Prefill { request: id.clone(), team: team.clone(), prompt: prompt.clone(), priority: 0 };
    let memory = Budgets::new(MEMORY_MB).responses;
    let Ok(prefilled) = engine::prefill(&prefill, &call, &memory, |_headers| {}).await else {
        return;
    };
    let call = Decode {
        request: id,
        team,
        prompt,
        kv: prefilled.kv,
        kv_address: prefill,
        max_tokens: LATENCY_OUTPUT_TOKENS,
        from: 0,
        priority: 0,
    };
    let Ok(mut tokens) = engine::decode(&decode, &call, |_headers| {}).await else {
        return;
    };
    let mut is_first = true;
    while let Ok(line) = tokens.next().await {
        match line.event {
            Event::Token { .. } if is_first => {
                is_first = false;
                report.first_token.saturating_record(started.elapsed().as_micros() as u64);
            }
            Event::Done { .. } => {
                report.right += 1;
                return;
            }
            _ => {}
        }
    }
}
