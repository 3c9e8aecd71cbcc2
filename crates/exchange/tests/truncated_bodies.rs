//! Guards against passing on a truncated response body as complete, wherever the connection
//! ends and whether it is closed or reset.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use damaskhatch_exchange::memory::Budget;
use damaskhatch_exchange::{Error, Framing as Reported, Request, send};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;

const BODY: &str = "id: 1\ndata: a\n\n";

#[derive(Debug, Clone, Copy, PartialEq)]
enum Framing {
    ContentLength,
    Chunked,
    /// The body ends with the connection, so that this crate cannot tell a truncation by an orderly
    /// close from the end. It reports the framing, and readers judge by the content.
    CloseDelimited,
}

#[derive(Debug, Clone, Copy, PartialEq)]
enum End {
    Close,
    Reset,
}

/// The head and the body of a complete response.
fn response(framing: Framing) -> (String, String) {
    let length = BODY.len();
    match framing {
        Framing::ContentLength => {
            (format!("HTTP/1.1 200 OK\r\ncontent-length: {length}\r\n\r\n"), BODY.to_owned())
        }
        Framing::Chunked => (
            "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n".to_owned(),
            format!("{length:x}\r\n{BODY}\r\n0\r\n\r\n"),
        ),
        Framing::CloseDelimited => ("HTTP/1.1 200 OK\r\n\r\n".to_owned(), BODY.to_owned()),
    }
}

/// Responds to one request with `bytes`, then ends the connection.
async fn serve(listener: TcpListener, bytes: Vec<u8>, end: End) {
    let (mut stream, _) = listener.accept().await.expect("a connection");
    let mut request = [0; 1024];
    let mut read = 0;
    while !request[..read].ends_with(b"\r\n\r\n") {
        read += stream.read(&mut request[read..]).await.expect("a request");
    }
    stream.write_all(&bytes).await.expect("the bytes are sent");
    // The client must receive the bytes first, because a reset discards those it has not read.
    tokio::time::sleep(Duration::from_millis(2)).await;
    if end == End::Reset {
        let linger = socket2::SockRef::from(&stream).set_linger(Some(Duration::ZERO));
        linger.expect("the option is supported");
    }
}

/// The body that the client reads, or its error, if the server sends only `sent` bytes.
async fn read_truncated(framing: Framing, end: End, sent: usize) -> Result<Bytes, Error> {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address: SocketAddr = listener.local_addr().expect("an address");
    let (head, body) = response(framing);
    let bytes = [head.as_bytes(), body.as_bytes()].concat()[..sent].to_vec();
    tokio::spawn(serve(listener, bytes, end));
    let request = Request::builder().uri("/").header("host", "x").body(Bytes::new());
    let mut response = send(address, Duration::from_secs(1), request.expect("a request")).await?;
    response.read_body(1 << 20, &Budget::new(4 << 20)).await
}

#[tokio::test]
async fn a_truncated_response_is_reported_as_broken() {
    for framing in [Framing::ContentLength, Framing::Chunked, Framing::CloseDelimited] {
        for end in [End::Close, End::Reset] {
            let (head, body) = response(framing);
            let length = head.len() + body.len();
            for sent in 1..length {
                let read = read_truncated(framing, end, sent).await;
                let is_undetectable =
                    framing == Framing::CloseDelimited && end == End::Close && sent >= head.len();
                assert!(
                    is_undetectable || matches!(read, Err(Error::Broken(_))),
                    "{framing:?} {end:?} after {sent} of {length} bytes: {read:?}"
                );
            }
        }
    }
}

#[tokio::test]
async fn a_complete_response_is_read() {
    for framing in [Framing::ContentLength, Framing::Chunked, Framing::CloseDelimited] {
        let (head, body) = response(framing);
        let read = read_truncated(framing, End::Close, head.len() + body.len()).await;
        assert_eq!(read, Ok(Bytes::from(BODY)), "{framing:?}");
    }
}

#[tokio::test]
async fn a_close_delimited_body_that_ends_with_a_reset_is_broken() {
    let (head, body) = response(Framing::CloseDelimited);
    let read = read_truncated(Framing::CloseDelimited, End::Reset, head.len() + body.len()).await;
    assert!(matches!(read, Err(Error::Broken(_))), "{read:?}");
}

#[tokio::test]
async fn a_refused_connection_is_reported_as_refused_not_unsent() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("an address");
    drop(listener);
    let request = Request::builder().uri("/").header("host", "x").body(Bytes::new());
    let sent = send(address, Duration::from_secs(1), request.expect("a request")).await;
    assert_eq!(sent.map(|_response| ()), Err(Error::Refused));
}

/// Guards against a body whose end nothing marks, but that is reported as one with a length or
/// chunks, so that its reader takes any end for the right one.
#[tokio::test]
async fn the_framing_of_a_response_is_reported() {
    for (head, method, framing) in [
        ("HTTP/1.1 200 OK\r\ncontent-length: 1\r\n\r\n", "GET", Reported::Length),
        ("HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n", "GET", Reported::Length),
        ("HTTP/1.1 204 No Content\r\n\r\n", "GET", Reported::Length),
        ("HTTP/1.1 200 OK\r\n\r\n", "HEAD", Reported::Length),
        ("HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n", "GET", Reported::Chunked),
        ("HTTP/1.1 200 OK\r\ntransfer-encoding: gzip, Chunked\r\n\r\n", "GET", Reported::Chunked),
        ("HTTP/1.1 200 OK\r\ntransfer-encoding: gzip\r\n\r\n", "GET", Reported::Close),
        ("HTTP/1.1 200 OK\r\n\r\n", "GET", Reported::Close),
        ("HTTP/1.0 200 OK\r\n\r\n", "GET", Reported::Close),
    ] {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        let address = listener.local_addr().expect("an address");
        tokio::spawn(serve(listener, head.as_bytes().to_vec(), End::Close));
        let request = Request::builder().method(method).uri("/").header("host", "x");
        let request = request.body(Bytes::new()).expect("a request");
        let response = send(address, Duration::from_secs(1), request).await.expect("a response");
        assert_eq!(response.framing, framing, "{method} {head:?}");
    }
}
