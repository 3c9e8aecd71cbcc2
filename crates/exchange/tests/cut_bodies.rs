//! A body that ends early is never taken for a whole one, wherever and however it is cut.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use damaskhatch_exchange::{Error, Request, send};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;

const BODY: &str = "id: 1\ndata: a\n\n";

#[derive(Debug, Clone, Copy, PartialEq)]
enum Framing {
    Counted,
    Chunked,
    /// The end of the connection is the end of the body.
    Unframed,
}

#[derive(Debug, Clone, Copy, PartialEq)]
enum End {
    Close,
    Reset,
}

fn answer(framing: Framing) -> (String, String) {
    let length = BODY.len();
    match framing {
        Framing::Counted => {
            (format!("HTTP/1.1 200 OK\r\ncontent-length: {length}\r\n\r\n"), BODY.to_owned())
        }
        Framing::Chunked => (
            "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n".to_owned(),
            format!("{length:x}\r\n{BODY}\r\n0\r\n\r\n"),
        ),
        Framing::Unframed => ("HTTP/1.1 200 OK\r\n\r\n".to_owned(), BODY.to_owned()),
    }
}

/// Answers one request with the first `sent` bytes, then ends the connection.
async fn serve(listener: TcpListener, bytes: Vec<u8>, end: End) {
    let (mut stream, _) = listener.accept().await.expect("a connection");
    let mut request = [0; 1024];
    let mut read = 0;
    while !request[..read].ends_with(b"\r\n\r\n") {
        read += stream.read(&mut request[read..]).await.expect("a request");
    }
    stream.write_all(&bytes).await.expect("written");
    // The bytes must be there before the reset discards what was not read.
    tokio::time::sleep(Duration::from_millis(2)).await;
    if end == End::Reset {
        let linger = socket2::SockRef::from(&stream).set_linger(Some(Duration::ZERO));
        linger.expect("the option is known");
    }
}

/// The outcome of one exchange whose answer was cut after `sent` bytes.
async fn outcome(framing: Framing, end: End, sent: usize) -> Result<Bytes, Error> {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address: SocketAddr = listener.local_addr().expect("an address");
    let (head, body) = answer(framing);
    let bytes = [head.as_bytes(), body.as_bytes()].concat()[..sent].to_vec();
    tokio::spawn(serve(listener, bytes, end));
    let request = Request::builder().uri("/").header("host", "x").body(Bytes::new());
    let mut answer = send(address, Duration::from_secs(1), request.expect("a request")).await?;
    answer.read_body(1 << 20).await
}

#[tokio::test]
async fn a_cut_answer_is_never_whole() {
    for framing in [Framing::Counted, Framing::Chunked, Framing::Unframed] {
        for end in [End::Close, End::Reset] {
            let (head, body) = answer(framing);
            let whole = head.len() + body.len();
            for sent in 1..whole {
                let cut = outcome(framing, end, sent).await;
                let may_pass =
                    framing == Framing::Unframed && end == End::Close && sent >= head.len();
                assert!(
                    may_pass || matches!(cut, Err(Error::Broken(_))),
                    "{framing:?} {end:?} after {sent} of {whole} bytes: {cut:?}"
                );
            }
        }
    }
}

#[tokio::test]
async fn a_whole_answer_is_whole() {
    for framing in [Framing::Counted, Framing::Chunked, Framing::Unframed] {
        let (head, body) = answer(framing);
        let read = outcome(framing, End::Close, head.len() + body.len()).await;
        assert_eq!(read, Ok(Bytes::from(BODY)), "{framing:?}");
    }
}

#[tokio::test]
async fn an_unframed_body_that_is_reset_is_not_whole() {
    let (head, body) = answer(Framing::Unframed);
    let read = outcome(Framing::Unframed, End::Reset, head.len() + body.len()).await;
    assert!(matches!(read, Err(Error::Broken(_))), "{read:?}");
}

#[tokio::test]
async fn a_refused_connection_is_told_from_one_that_was_not_made() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("an address");
    drop(listener);
    let request = Request::builder().uri("/").header("host", "x").body(Bytes::new());
    let sent = send(address, Duration::from_secs(1), request.expect("a request")).await;
    assert_eq!(sent.map(|_answer| ()), Err(Error::Refused));
}
