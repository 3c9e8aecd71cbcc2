//! Guards against a host that runs out of memory on the own interface because a service or an engine sends
//! bytes without end.

mod common;

use std::time::Duration;

use common::{call, complete, start_proxied};
use damaskhatch_standins::engine::ENDLESS_MARK;
use damaskhatch_standins::fleet::{Fleet, SERVICE, peak_memory_mb};
use futures_util::future::join_all;
use tokio::time::{Instant, sleep};

/// The memory that a host may use, in MiB.
const MEMORY_MB: u64 = 88;
/// The number of callers that get bytes without end at a time.
const CALLERS: usize = 24;
/// How long they go on.
const LENGTH: Duration = Duration::from_secs(4);

async fn start() -> Fleet {
    start_proxied(|plan| {
        plan.limits = format!("memory_mb = {MEMORY_MB}\nplain_timeout_ms = 2000");
    })
    .await
}

async fn call_service(fleet: &Fleet, query: &str) -> u16 {
    let bearer = format!("Bearer {}", fleet.keys["release"]);
    let path = format!("/services/{SERVICE}/book?{query}");
    let headers = [("authorization", &*bearer)];
    call(fleet.caller_addresses()[0], &path, &headers, "x").await.map_or(0, |found| found.status)
}

/// Repeats a call of 24 callers at one host beside sound calls, which must all succeed.
async fn check<R: Future>(fleet: &Fleet, endless: impl Fn() -> R) {
    let until = Instant::now() + LENGTH;
    let callers = (0..CALLERS).map(|_| async {
        while Instant::now() < until {
            endless().await;
            sleep(Duration::from_millis(50)).await;
        }
    });
    let sound = async {
        while Instant::now() < until {
            assert_eq!(call_service(fleet, "sleep_ms=1").await, 200, "a sound call");
            sleep(Duration::from_millis(50)).await;
        }
    };
    tokio::join!(join_all(callers), sound);
    let peak = peak_memory_mb(fleet.hosts[0].process.id()).expect("the kernel names the peak");
    assert!(peak < MEMORY_MB, "peak of {peak} MiB");
}

/// Guards against plain bodies without end that take up all memory together (LOST).
#[actix_web::test]
async fn plain_bodies_without_end_leave_memory_for_others() {
    let fleet = start().await;
    check(&fleet, || call_service(&fleet, "endless_bytes_per_s=16000000")).await;
}

/// Guards against tokens beyond the output limit, or longer than any, that are kept for a caller.
#[actix_web::test]
async fn tokens_without_end_leave_memory_for_others() {
    let fleet = start().await;
    let key = &fleet.keys["audit"];
    for max_tokens in [4, 2_000] {
        let prompt = format!("{ENDLESS_MARK} {max_tokens}");
        check(&fleet, || complete(fleet.caller_addresses()[0], key, &prompt, max_tokens)).await;
    }
}
