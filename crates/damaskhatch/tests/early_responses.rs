//! Guards against a response of a plain service or engine in trouble that passes for a complete one on the own
//! interface: sent before a long request was read and then reset, or with a status of no class (MIXED).

use std::time::Duration;

use actix_web::http::Method;
use bytes::Bytes;
use damaskhatch::upstream::engine::{self, Error};
use damaskhatch::upstream::message::{Decode, Prefill};
use damaskhatch::upstream::plain::{self, Call};
use damaskhatch_exchange::HeaderMap;
use damaskhatch_exchange::memory::Budget;
use damaskhatch_policy::prelude::{Request, Tag};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;

const REQUEST: Request = Request { host: Tag(1), incarnation: 2, serial: 3 };
/// More than the buffers of a connection hold.
const UPLOAD_BYTES: usize = 16 << 20;
/// How long a server waits before it resets the connection, in microseconds.
const PAUSES_US: [u64; 6] = [0, 20, 300, 1_000, 3_000, 6_000];
/// The body of a prefill's response.
const PREFILLED: &str = r#"{"request":"r","kv":"kv-1","cached_tokens":0}"#;

/// Starts a server that responds with `bytes` to each request, of which it reads the head only, and resets
/// the connection after a pause. It serves all later connections in the same way.
async fn start_server(bytes: String, pause: Duration) -> String {
    start_server_that(false, bytes, pause).await
}

/// The same; `closes` is whether the server closes its side of the connection before the reset.
async fn start_server_that(closes: bool, bytes: String, pause: Duration) -> String {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("an address").to_string();
    actix_rt::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let mut request = [0; 2_048];
            let _read = stream.read(&mut request).await;
            let _written = stream.write_all(bytes.as_bytes()).await;
            tokio::time::sleep(pause).await;
            if closes {
                let _closed = stream.shutdown().await;
                tokio::time::sleep(Duration::from_millis(20)).await;
            }
            let linger = socket2::SockRef::from(&stream).set_linger(Some(Duration::ZERO));
            linger.expect("the option is supported");
        }
    });
    address
}

fn upload(method: Method, length: usize) -> Call {
    Call {
        method,
        target: "/book".to_owned(),
        headers: HeaderMap::new(),
        body: Bytes::from(vec![b'u'; length]),
        timeout: Duration::from_secs(2),
    }
}

fn memory() -> Budget {
    Budget::new(64 << 20)
}

fn prompt(length: usize) -> Prefill {
    Prefill {
        request: REQUEST.to_string(),
        team: "release".to_owned(),
        prompt: "p".repeat(length),
        priority: 0,
    }
}

/// Guards against a part of a body without a length that a caller gets as the whole.
#[actix_rt::test]
async fn an_early_response_that_is_reset_under_a_long_upload_is_an_error() {
    for kind in ["text/plain", "text/event-stream"] {
        let bytes = format!("HTTP/1.1 200 OK\r\ncontent-type: {kind}\r\n\r\ndata: a\n\n");
        for (closes, pause) in [false, true].into_iter().flat_map(|c| PAUSES_US.map(|us| (c, us))) {
            let pause = Duration::from_micros(pause);
            let address = start_server_that(closes, bytes.clone(), pause).await;
            let call = upload(Method::POST, UPLOAD_BYTES);
            let called = plain::call(&address, &call, REQUEST, &memory(), |_| {}).await;
            let body = called.map(|(response, verdict)| (response.body, verdict));
            assert_eq!(body, Err(Error::Broken), "{kind}, reset after {pause:?}, closes: {closes}");
        }
    }
}

/// Guards against a prefill that the engine has not read and that counts as done.
#[actix_rt::test]
async fn an_early_response_that_is_reset_under_a_long_prompt_is_an_error() {
    for pause in PAUSES_US.map(Duration::from_micros) {
        let bytes = format!("HTTP/1.1 200 OK\r\n\r\n{PREFILLED}");
        let address = start_server(bytes, pause).await;
        let prefilled = engine::prefill(&address, &prompt(UPLOAD_BYTES), &memory(), |_| {}).await;
        assert_eq!(prefilled.map(|own| own.kv), Err(Error::Broken), "reset after {pause:?}");
    }
}

/// Guards against a status outside 100 to 599 that is taken for a response.
#[actix_rt::test]
async fn no_status_outside_the_range_is_a_response() {
    for status in ["000", "099", "600", "700", "999"] {
        let bytes = |body: &str| {
            format!("HTTP/1.1 {status} X\r\ncontent-length: {}\r\n\r\n{body}", body.len())
        };
        let address = start_server(bytes("body"), Duration::from_millis(20)).await;
        let call = upload(Method::POST, 1);
        let called = plain::call(&address, &call, REQUEST, &memory(), |_| {}).await;
        assert_eq!(called.map(|(response, _)| response.status), Err(Error::Broken), "{status}");
        let address = start_server(bytes(PREFILLED), Duration::from_millis(20)).await;
        let prefilled = engine::prefill(&address, &prompt(1), &memory(), |_| {}).await;
        assert_eq!(prefilled.map(|own| own.kv), Err(Error::Broken), "{status}");
        let decode = Decode {
            request: REQUEST.to_string(),
            team: "release".to_owned(),
            prompt: "p".to_owned(),
            kv: "kv-1".to_owned(),
            kv_address: address,
            max_tokens: 1,
            from: 0,
            priority: 0,
        };
        let address = start_server(bytes("{}"), Duration::from_millis(20)).await;
        let decoded = engine::decode(&address, &decode, |_| {}).await;
        assert_eq!(decoded.map(|_stream| ()).err(), Some(Error::Broken), "{status}");
    }
}
