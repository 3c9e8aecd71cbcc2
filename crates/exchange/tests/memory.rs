//! Guards against bodies that take up all memory together, and against a connection that keeps its
//! reader busy without a response.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use damaskhatch_exchange::memory::{Budget, Buffer};
use damaskhatch_exchange::{Error, MAX_BYTES_WITHOUT_PROGRESS, Request, Response, Result, send};
use proptest::prelude::*;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;
use tokio::time::timeout;

/// The bytes that the bodies of a test share.
const TOTAL: usize = 1 << 20;

proptest! {
    /// Guards against a sum beyond the budget, and against bytes that stay in use.
    #[test]
    fn bodies_never_use_more_than_the_budget(
        pushes in prop::collection::vec((0..6_usize, 1..200_000_usize), 1..60),
    ) {
        let budget = Budget::new(TOTAL);
        let mut bodies: Vec<_> = (0..6).map(|_| Buffer::new(&budget, TOTAL)).collect();
        for (body, length) in pushes {
            let before = bodies[body].len();
            let pushed = bodies[body].push(&vec![0; length]);
            prop_assert_eq!(bodies[body].len(), before + if pushed.is_ok() { length } else { 0 });
            let lengths: usize = bodies.iter().map(Buffer::len).sum();
            prop_assert!(lengths <= budget.used() && budget.used() <= TOTAL);
        }
        let frozen: Vec<Bytes> = bodies.into_iter().map(Buffer::freeze).collect();
        let clones = frozen.clone();
        drop(frozen);
        prop_assert_eq!(budget.used() == 0, clones.iter().all(Bytes::is_empty));
        drop(clones);
        prop_assert_eq!(budget.used(), 0);
    }
}

/// Guards against endless bodies that leave no memory for short ones.
#[test]
fn a_short_body_passes_beside_bodies_without_end() {
    for endless in [1, 4, 24, 200] {
        let budget = Budget::new(TOTAL);
        let mut bodies: Vec<_> = (0..endless).map(|_| Buffer::new(&budget, TOTAL)).collect();
        let mut is_growing = true;
        while is_growing {
            is_growing = false;
            for body in &mut bodies {
                is_growing |= body.push(&[0; 512]).is_ok();
            }
        }
        let mut short = Buffer::new(&budget, TOTAL);
        short.push(&[0; 800]).expect("a short body passes");
    }
}

/// Guards against a large sound body that is refused although nothing else needs the memory.
#[test]
fn a_single_body_may_have_half_of_the_memory() {
    let budget = Budget::new(TOTAL);
    let mut body = Buffer::new(&budget, TOTAL);
    while body.len() < TOTAL / 2 {
        body.push(&[0; 4_096]).expect("half of the memory");
    }
    assert!(matches!(body.push(&[0; 4_096]), Err(Error::Exhausted { .. })));
}

/// Starts a server that answers each request with `first` and then repeats `endless`.
async fn start(first: &'static str, endless: &'static str) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("an address");
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            tokio::spawn(async move {
                let _request = stream.read(&mut [0; 1_024]).await;
                let _sent = stream.write_all(first.as_bytes()).await;
                let piece = endless.repeat(16_384 / endless.len());
                while stream.write_all(piece.as_bytes()).await.is_ok() {}
            });
        }
    });
    address
}

async fn get(address: SocketAddr) -> Result<Response> {
    let request = Request::builder().uri("/").header("host", "x").body(Bytes::new());
    let sent = send(address, Duration::from_secs(1), request.expect("a request"));
    timeout(Duration::from_secs(5), sent).await.expect("an end within 5 s")
}

/// Guards against bytes without a response that are read until the caller's time limit.
#[tokio::test]
async fn a_response_whose_head_does_not_end_fails() {
    for (first, endless) in [
        ("", "HTTP/1.1 100 Continue\r\n\r\n"),
        ("HTTP/1.1 100 Continue\r\n", "a: b\r\n"),
        ("HTTP/1.1 200 OK\r\n", "a: b\r\n"),
        ("HTTP/1.1 200 OK\r\na: ", "b"),
        ("HTTP/1.1 200 ", "O"),
        ("", "x"),
        ("", "\r\n"),
    ] {
        let error = get(start(first, endless).await).await.err();
        assert!(matches!(error, Some(Error::Broken(_))), "{first:?} {endless:?}: {error:?}");
    }
}

/// Guards against a few interim responses, which are allowed, that end a request.
#[tokio::test]
async fn a_response_after_interim_responses_is_read() {
    let interim = "HTTP/1.1 103 Early Hints\r\na: b\r\n\r\n".repeat(100);
    assert!(interim.len() < MAX_BYTES_WITHOUT_PROGRESS);
    let response = format!("{interim}HTTP/1.1 200 OK\r\ncontent-length: 3\r\n\r\nyes");
    let address = start(response.leak(), "z").await;
    let mut response = get(address).await.expect("a response");
    let body = response.read_body(16, &Budget::new(TOTAL)).await;
    assert_eq!(body, Ok(Bytes::from("yes")));
}

/// Guards against a body, chunk, chunk extension or trailer without end, and against a long body that is
/// read although its length shows that it is too long.
#[tokio::test]
async fn a_body_without_end_fails_at_its_limit() {
    let budget = Budget::new(TOTAL);
    for (first, endless) in [
        ("HTTP/1.1 200 OK\r\n\r\n", "x"),
        ("HTTP/1.1 200 OK\r\ncontent-length: 99999999999\r\n\r\n", "x"),
        ("HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n", "1\r\nx\r\n"),
        ("HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\nffffffff\r\n", "x"),
        ("HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n1;", "x"),
        ("HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n", "0"),
        ("HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n0\r\n", "a: b\r\n"),
        ("HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n0\r\na: ", "b"),
    ] {
        let mut response = get(start(first, endless).await).await.expect("a head");
        let read = timeout(Duration::from_secs(5), response.read_body(100_000, &budget)).await;
        let is_failed = read.as_ref().is_ok_and(Result::is_err);
        assert!(is_failed, "{first:?} {endless:?}: {read:?}");
        assert_eq!(budget.used(), 0, "{first:?}");
    }
}
