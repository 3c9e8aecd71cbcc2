//! Guards against a response of a plain service or engine that ends early but is taken for a
//! complete one, so that a caller gets a truncated body or a retry does not take place.

use std::time::Duration;

use actix_web::http::Method;
use bytes::Bytes;
use damaskhatch::upstream::engine::{self, Error};
use damaskhatch::upstream::message::Prefill;
use damaskhatch::upstream::plain::{self, Call};
use damaskhatch_exchange::HeaderMap;
use damaskhatch_exchange::memory::Budget;
use damaskhatch_policy::prelude::{Request, Tag};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;

const REQUEST: Request = Request { host: Tag(1), incarnation: 2, serial: 3 };

/// Starts a server that responds to each request with `bytes` and closes the connection.
///
/// Returns its address.
async fn start_server(bytes: &'static str) -> String {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("an address").to_string();
    actix_rt::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let mut request = [0; 4096];
            let _read = stream.read(&mut request).await;
            let _written = stream.write_all(bytes.as_bytes()).await;
        }
    });
    address
}

fn memory() -> Budget {
    Budget::new(64 << 20)
}

fn look() -> Call {
    Call {
        method: Method::GET,
        target: "/look".to_owned(),
        headers: HeaderMap::new(),
        body: Bytes::new(),
        timeout: Duration::from_secs(2),
    }
}

async fn call(bytes: &'static str) -> Result<Vec<u8>, Error> {
    let call = look();
    let (response, _verdict) =
        plain::call(&start_server(bytes).await, &call, REQUEST, &memory(), |_| {}).await?;
    Ok(response.body.to_vec())
}

#[actix_rt::test]
async fn a_truncated_plain_response_is_an_error() {
    let complete = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n";
    assert_eq!(call(complete).await, Ok(b"body".to_vec()));
    assert_eq!(
        call("HTTP/1.1 200 OK\r\n\r\nbody").await,
        Ok(b"body".to_vec()),
        "a body without framing ends with the connection"
    );
    for truncated in [
        "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n4\r\nbody\r\n",
        "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n4\r\nbo",
        "HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\nbody",
        "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n\r\ndata: a\n\ndat",
        "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\ncontent-length: 4\r\n\r\ndata",
        "HTTP/1.1 200 OK\r\nconte",
        "HTTP/1.1 103 Early Hints\r\n\r\n",
        "HTTP/1.1 101 Switching Protocols\r\nupgrade: x\r\nconnection: upgrade\r\n\r\n",
        "",
    ] {
        assert_eq!(call(truncated).await, Err(Error::Broken), "{truncated:?}");
    }
}

/// Guards against a response that the end of a process cut off, by a crash or as it left, and that is kept
/// for repeats as the complete one (review case 1, ORDER).
#[actix_rt::test]
async fn a_close_delimited_response_of_a_service_that_ends_with_it_is_an_error() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("an address").to_string();
    actix_rt::spawn(async move {
        let (mut stream, _) = listener.accept().await.expect("a connection");
        drop(listener);
        let mut request = [0; 4096];
        let _read = stream.read(&mut request).await;
        let _written = stream.write_all(b"HTTP/1.1 200 OK\r\n\r\nbo").await;
    });
    let called = plain::call(&address, &look(), REQUEST, &memory(), |_| {}).await;
    let body = called.map(|(response, verdict)| (response.body, verdict));
    assert_eq!(body, Err(Error::Broken));
}

#[actix_rt::test]
async fn a_truncated_engine_response_is_an_error() {
    let prompt = Prefill {
        request: REQUEST.to_string(),
        team: "release".to_owned(),
        prompt: "p".to_owned(),
        priority: 0,
    };
    let truncated = "HTTP/1.1 200 OK\r\ncontent-length: 99\r\n\r\n{\"request\":";
    assert_eq!(
        engine::prefill(&start_server(truncated).await, &prompt, &memory(), |_| {}).await,
        Err(Error::Broken)
    );
    let closed = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = closed.local_addr().expect("an address").to_string();
    drop(closed);
    assert_eq!(engine::prefill(&address, &prompt, &memory(), |_| {}).await, Err(Error::Refused));
    assert_eq!(
        engine::prefill("no address", &prompt, &memory(), |_| {}).await,
        Err(Error::Connect)
    );
    assert!(plain::is_dead(&address).await);
}

/// Guards against a refusal of another request that is taken for one of this request, which the engine or
/// the service runs (REFUSED, TWICE).
#[actix_rt::test]
async fn a_refusal_of_another_request_says_nothing_about_this_one() {
    const OLD: &str = "HTTP/1.1 503 X\r\nx-request-id: other\r\nx-not-run: 1\r\n\
                       content-length: 0\r\n\r\n";
    const OWN: &str = "HTTP/1.1 503 X\r\nx-not-run: 1\r\ncontent-length: 0\r\n\r\n";
    let prompt = Prefill {
        request: REQUEST.to_string(),
        team: "release".to_owned(),
        prompt: "a".to_owned(),
        priority: 0,
    };
    for (bytes, error) in [(OLD, Error::Crossed), (OWN, Error::Declined)] {
        let address = start_server(bytes).await;
        let prefilled = engine::prefill(&address, &prompt, &memory(), |_| {}).await;
        assert_eq!(prefilled, Err(error));
        let call = look();
        let called = plain::call(&address, &call, REQUEST, &memory(), |_| {}).await;
        assert_eq!(called.map(|(response, _)| response.status), Err(error));
    }
}
