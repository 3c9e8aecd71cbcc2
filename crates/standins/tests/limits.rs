//! Guards against upstreams of the own interface that get more requests than the limit that they
//! have named to the fleet.

mod common;

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use common::{Response, call, complete, start_proxied};
use damaskhatch_standins::extra;
use damaskhatch_standins::fleet::{self, Fleet, Process, SERVICE};
use serde_json::json;
use tokio::time::{Instant, sleep};

/// The time from the first response with a limit until the fleet keeps to it.
const LEARNING_TIME: Duration = Duration::from_secs(3);
/// The number of steps of half a second in the window in which requests are counted.
const WINDOW_STEPS: usize = 8;

/// The most requests that an upstream may get in a window of four seconds.
fn allowed(per_s: f64) -> usize {
    (1.5 * per_s * 4.0 + 5.0) as usize
}

async fn set_limit(upstream: &Process, value: &str) {
    let setting = json!({ "name": extra::LIMIT, "value": value });
    fleet::post(upstream.address, "/test/header", &setting).await.expect("the limit is set");
}

/// Sends requests to all hosts in turn for `time`; returns the responses and, at every half second,
/// what `count` returned.
async fn run<R, C>(
    rate: f64,
    time: Duration,
    send: impl Fn(usize) -> R,
    count: impl Fn() -> C,
) -> (Vec<Response>, Vec<usize>)
where
    R: Future<Output = Response> + 'static,
    C: Future<Output = usize>,
{
    let responses = Rc::new(RefCell::new(Vec::new()));
    let (began, mut tasks) = (Instant::now(), Vec::new());
    let mut counts = Vec::new();
    let total = (rate * time.as_secs_f64()) as usize;
    for number in 0..total {
        let at = Duration::from_secs_f64(number as f64 / rate);
        sleep(at.saturating_sub(began.elapsed())).await;
        let (response, responses) = (send(number), Rc::clone(&responses));
        tasks.push(actix_web::rt::spawn(async move {
            let response = response.await;
            responses.borrow_mut().push(response);
        }));
        if counts.len() * 500 <= began.elapsed().as_millis() as usize {
            counts.push(count().await);
        }
    }
    for task in tasks {
        task.await.expect("no panic");
    }
    (responses.take(), counts)
}

/// The most requests in any window after the learning time.
fn most_in_a_window(counts: &[usize]) -> usize {
    let after = LEARNING_TIME.as_millis() as usize / 500;
    let counts = &counts[after..];
    counts.windows(WINDOW_STEPS + 1).map(|w| w[WINDOW_STEPS] - w[0]).max().unwrap_or(0)
}

/// Counts how many calls a service ran.
async fn count_calls(service: &Process) -> usize {
    let record = fleet::get(service.address, "/test/record").await.expect("a record");
    record["calls"].as_object().map_or(0, |calls| {
        calls.values().filter_map(serde_json::Value::as_u64).sum::<u64>() as usize
    })
}

/// Counts how many prompts an engine was sent.
async fn count_prefills(engine: &Process) -> usize {
    let seen = fleet::get(engine.address, "/test/seen").await.expect("a list of calls");
    let calls = seen.as_array().expect("a list").iter();
    calls.filter(|call| call["path"] == "/prefill").count()
}

fn refusals(responses: &[Response]) -> usize {
    responses.iter().filter(|response| response.status != 200).count()
}

async fn start_fleet() -> Fleet {
    start_proxied(|plan| plan.proxied = false).await
}

/// Guards against a plain service whose limit is kept on routes only.
#[actix_web::test]
async fn a_plain_service_gets_no_more_calls_than_it_names() {
    let fleet = start_fleet().await;
    set_limit(&fleet.services[0], "4").await;
    let bearer = format!("Bearer {}", fleet.keys["release"]);
    let targets = fleet.caller_addresses();
    let send = |number: usize| {
        let (target, bearer, id) =
            (targets[number % targets.len()], bearer.clone(), number.to_string());
        async move {
            let headers = [("authorization", &*bearer), ("x-call-id", &*id)];
            let path = format!("/services/{SERVICE}/look");
            call(target, &path, &headers, "").await.expect("a response")
        }
    };
    let count = || count_calls(&fleet.services[0]);
    let (responses, counts) = run(60.0, Duration::from_secs(9), send, count).await;
    assert!(most_in_a_window(&counts) <= allowed(4.0), "{counts:?}");
    assert_eq!(refusals(&responses), 0, "the other domains' services take the rest");
}

/// Guards against engines whose limit is kept on routes only.
#[actix_web::test]
async fn an_engine_gets_no_more_prompts_than_it_names() {
    let fleet = start_fleet().await;
    let engine = fleet.engines.iter().find(|engine| engine.name.contains("prefill"));
    let engine = engine.expect("a prefill engine");
    set_limit(engine, "2").await;
    let key = fleet.keys["release"].clone();
    let targets = fleet.caller_addresses();
    let send = |number: usize| {
        let (target, key) = (targets[number % targets.len()], key.clone());
        async move { complete(target, &key, &format!("p{number}"), 2).await.expect("a response") }
    };
    let count = || count_prefills(engine);
    let (responses, counts) = run(24.0, Duration::from_secs(9), send, count).await;
    assert!(most_in_a_window(&counts) <= allowed(2.0), "{counts:?}");
    let refused = refusals(&responses);
    assert!(refused * 3 <= responses.len(), "{refused} of {} refused", responses.len());
}
