//! Guards against connections that are closed on the own interface so that a response is lost (LOST).

mod common;

use std::net::SocketAddr;
use std::time::Duration;

use common::program;
use damaskhatch_standins::fleet::{Fleet, Plan, SERVICE};
use futures_util::future::join_all;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::{Instant, sleep, timeout};

/// A body beyond every limit.
const LONG: usize = 20_000_000;
/// The number of pieces in which a slow caller writes its request.
const PIECES: usize = 10;
/// For how long a host may hold a connection on which a caller writes without end.
const ENDLESS_TIMEOUT: Duration = Duration::from_secs(40);

/// Writes a whole request, with pauses, then reads to the end of the connection.
async fn write_then_read(to: SocketAddr, head: &str, pause: Duration) -> Result<String, String> {
    let head = format!("{head}Connection: close\r\nContent-Length: {LONG}\r\n\r\n");
    let request = [head.into_bytes(), vec![b'x'; LONG]].concat();
    let mut stream = TcpStream::connect(to).await.map_err(|error| format!("connect: {error}"))?;
    for (number, piece) in request.chunks(request.len().div_ceil(PIECES)).enumerate() {
        stream.write_all(piece).await.map_err(|error| format!("piece {number}: {error}"))?;
        sleep(pause).await;
    }
    let mut all = Vec::new();
    let read = timeout(Duration::from_secs(10), stream.read_to_end(&mut all)).await;
    let text = String::from_utf8_lossy(&all).into_owned();
    match read {
        Ok(Ok(_length)) => Ok(text),
        failed => Err(format!("{failed:?} after {text:?}")),
    }
}

/// Guards against a reset that overtakes the refusal of a request whose body has not been read.
#[actix_web::test]
async fn a_refusal_reaches_a_caller_that_is_still_writing_its_body() {
    let fleet = Fleet::start(Plan::small(program())).await.expect("the fleet starts");
    let host = fleet.caller_addresses()[0];
    let key = &fleet.keys["release"];
    let head = |path: &str, key: &str| {
        format!("POST {path} HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer {key}\r\n")
    };
    let service = format!("/services/{SERVICE}/book");
    let mut faults = Vec::new();
    for (status, head) in [
        (413, head("/v1/completions", "wrong")),
        (401, head(&service, "wrong")),
        (404, head("/services/unknown/book", key)),
        (404, head("/unknown", key)),
        (413, head("/v1/chat/completions", key)),
        (413, head(&service, key)),
        (400, format!("{}Faulty\r\n", head("/v1/completions", key))),
    ] {
        for pause in [Duration::ZERO, Duration::from_millis(300)] {
            let sent = join_all((0..4).map(|_| write_then_read(host, &head, pause))).await;
            for text in sent {
                let is_whole = text.as_ref().is_ok_and(|text| {
                    text.starts_with(&format!("HTTP/1.1 {status} "))
                        && text.split_once("\r\n\r\n").is_some_and(|(head, body)| {
                            head.contains(&format!("content-length: {}", body.len()))
                        })
                });
                if !is_whole {
                    faults.push(format!("{status} {pause:?} {head:.40}: {text:.200?}"));
                }
            }
        }
    }
    assert!(faults.is_empty(), "{} faults: {faults:#?}", faults.len());
}

/// The paths on which a caller that writes for as long as it may still holds its connection.
async fn held_paths(paths: &[&str]) -> Vec<String> {
    let fleet = Fleet::start(Plan::small(program())).await.expect("the fleet starts");
    let host = fleet.caller_addresses()[0];
    let callers = paths.iter().map(async |path| {
        let mut stream = TcpStream::connect(host).await.expect("a connection");
        let head = format!(
            "POST {path} HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer wrong\r\n\
             Transfer-Encoding: chunked\r\n\r\n"
        );
        stream.write_all(head.as_bytes()).await.expect("the head is written");
        let until = Instant::now() + ENDLESS_TIMEOUT;
        while Instant::now() < until {
            if stream.write_all(b"1\r\nx\r\n").await.is_err() {
                return None;
            }
            sleep(Duration::from_millis(50)).await;
        }
        Some((*path).to_owned())
    });
    join_all(callers).await.into_iter().flatten().collect()
}

/// Guards against connections that are held for as long as their callers write after a refusal.
#[actix_web::test]
async fn a_caller_that_writes_on_after_a_refusal_is_cut_off() {
    let service = format!("/services/{SERVICE}/book");
    assert_eq!(held_paths(&[&service, "/unknown"]).await, [""; 0]);
}

/// Guards against connections that are held for as long as their callers write a body slowly.
#[actix_web::test]
async fn a_caller_whose_body_never_ends_is_cut_off() {
    assert_eq!(held_paths(&["/v1/completions", "/v1/chat/completions"]).await, [""; 0]);
}
