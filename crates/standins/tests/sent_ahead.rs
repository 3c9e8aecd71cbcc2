//! Guards against callers of the own interface that send requests ahead and leave the responses unread (LOST).
//!
//! The crowd and the bounds are fixed; nothing depends on how fast the machine is.

mod common;

use std::net::SocketAddr;
use std::time::Duration;

use common::{call, program};
use damaskhatch_standins::fleet::{Fleet, MODEL, Plan, SERVICE, peak_memory_mb};
use futures_util::future::join_all;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::sync::Mutex;
use tokio::time::{sleep, timeout};

/// The memory that a host may use, in MiB.
const MEMORY_MB: u64 = 64;
/// The connections of each crowd, the requests that each sends ahead, and the bytes of a long body.
const CONNECTIONS: usize = 6;
const REQUESTS: usize = 1_000;
const LONG: usize = 900_000;
/// The most descriptors of a host, those of the crowd included.
const DESCRIPTORS: usize = 200;
/// How long a caller waits for a host that reads nothing more.
const WRITE_TIMEOUT: Duration = Duration::from_secs(4);
/// How often an ordinary request is tried, and the pause between two tries.
const TRIES: (usize, Duration) = (12, Duration::from_millis(500));

fn request(path: &str, key: &str, body: &str) -> String {
    format!(
        "POST {path} HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer {key}\r\n\
         Content-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    )
}

/// Writes requests until the host takes no more, and leaves the connection open.
async fn send_ahead(to: SocketAddr, request: &str) -> Option<TcpStream> {
    let mut stream = TcpStream::connect(to).await.ok()?;
    for _ in 0..REQUESTS {
        match timeout(WRITE_TIMEOUT, stream.write_all(request.as_bytes())).await {
            Ok(Ok(())) => {}
            _stalled_or_reset => break,
        }
    }
    Some(stream)
}

async fn is_served(fleet: &Fleet) -> bool {
    let bearer = format!("Bearer {}", fleet.keys["release"]);
    let path = format!("/services/{SERVICE}/book");
    for _ in 0..TRIES.0 {
        let headers = [("authorization", &*bearer)];
        let sent = call(fleet.caller_addresses()[0], &path, &headers, "x");
        if sent.await.is_ok_and(|response| response.status == 200) {
            return true;
        }
        sleep(TRIES.1).await;
    }
    false
}

/// Held by each test while it runs, since one crowd at a time is measured.
static ALONE: Mutex<()> = Mutex::const_new(());

/// Checks what must hold while a crowd stands and after it has left.
async fn check(requests: impl Fn(&Fleet) -> Vec<String>) {
    let _alone = ALONE.lock().await;
    let limits = format!("memory_mb = {MEMORY_MB}");
    let plan = Plan { limits, ..Plan::small(program()) };
    let fleet = Fleet::start(plan).await.expect("the fleet starts");
    let to = fleet.caller_addresses()[0];
    let requests = requests(&fleet);
    let crowd =
        requests.iter().flat_map(|request| (0..CONNECTIONS).map(|_| send_ahead(to, request)));
    let mut crowd = Some(join_all(crowd).await);
    let mut faults = Vec::new();
    for state in ["stands", "has left"] {
        if !is_served(&fleet).await {
            faults.push(format!("no request is served while the crowd {state}"));
        }
        let id = fleet.hosts[0].process.id();
        let peak = peak_memory_mb(id).expect("the process lives");
        let descriptors = std::fs::read_dir(format!("/proc/{id}/fd")).map_or(0, Iterator::count);
        println!("the crowd {state}: peak of {peak} MiB, {descriptors} descriptors");
        if peak > MEMORY_MB || descriptors > DESCRIPTORS {
            faults.push(format!("{peak} MiB, {descriptors} descriptors while the crowd {state}"));
        }
        drop(crowd.take());
    }
    assert!(faults.is_empty(), "{faults:#?}");
}

fn book(fleet: &Fleet, body: &str) -> String {
    request(&format!("/services/{SERVICE}/book"), &fleet.keys["audit"], body)
}

/// Guards against long responses that are left unread.
#[actix_web::test]
async fn long_responses_left_unread_leave_memory_for_others() {
    check(|fleet| vec![book(fleet, &"x".repeat(LONG))]).await;
}

/// Guards against streams that are left unread.
#[actix_web::test]
async fn streams_left_unread_leave_memory_for_others() {
    let body = format!(r#"{{"model":"{MODEL}","prompt":"a b","max_tokens":200,"stream":true}}"#);
    check(|fleet| vec![request("/v1/completions", &fleet.keys["audit"], &body)]).await;
}

/// Guards against responses of all kinds that are left unread at once.
#[actix_web::test]
async fn a_mixed_crowd_leaves_memory_for_others() {
    check(|fleet| {
        vec![
            book(fleet, &"x".repeat(LONG)),
            book(fleet, "x"),
            request("/unknown", "wrong", ""),
            request("/v1/completions", "wrong", "{}"),
            "GET / HTTP/1.1\r\n\r\n".to_owned(),
        ]
    })
    .await;
}
