//! Guards against a response that was cut at any byte, in its interim responses, its head or its framing,
//! and is reported as complete.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use damaskhatch_exchange::memory::Budget;
use damaskhatch_exchange::pool::Pool;
use damaskhatch_exchange::{Error, HeaderName, Request, send};
use futures_util::{StreamExt, stream};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::timeout;

const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// How long a response is awaited whose server has fallen silent.
const SILENCE: Duration = Duration::from_millis(100);
/// The number of exchanges that run at once.
const CONCURRENCY: usize = 16;
const BODY: &str = "id: 1\ndata: a\n\n";
/// What a server sends first on a connection that is kept.
const SOUND: &str = "HTTP/1.1 200 OK\r\nrequest-id: r-1\r\ncontent-length: 0\r\n\r\n";

/// A whole response of each form, whose body is [`BODY`].
const RESPONSES: [&str; 8] = [
    "HTTP/1.1 200 OK\r\nrequest-id: r-1\r\ncontent-length: 15\r\nx-a: b\r\n\r\nid: 1\ndata: a\n\n",
    "HTTP/1.1 200 OK\nrequest-id: r-1\ncontent-length: 15\n\nid: 1\ndata: a\n\n",
    "HTTP/1.1 200 OK\r\nrequest-id: r-1\r\ntransfer-encoding: chunked\r\n\r\n\
     f\r\nid: 1\ndata: a\n\n\r\n0\r\n\r\n",
    "HTTP/1.1 200 OK\r\nrequest-id: r-1\r\ntransfer-encoding: chunked\r\n\r\n\
     6;a=\"b\"\r\nid: 1\n\r\n009 ; c\r\ndata: a\n\n\r\n00;d=e\r\n\r\n",
    "HTTP/1.1 200 OK\r\nrequest-id: r-1\r\ntransfer-encoding: chunked\r\ntrailer: x-sum\r\n\r\n\
     f\r\nid: 1\ndata: a\n\n\r\n0\r\nx-sum: 0f\r\nx-more: 1\r\n\r\n",
    "HTTP/1.1 100 Continue\r\n\r\n\
     HTTP/1.1 200 OK\r\nrequest-id: r-1\r\ncontent-length: 15\r\n\r\nid: 1\ndata: a\n\n",
    "HTTP/1.1 103 Early Hints\r\nlink: <a>\r\ncontent-length: 0\r\n\r\nHTTP/1.1 102 Processing\r\n\r\n\
     HTTP/1.1 200 OK\r\nrequest-id: r-1\r\ncontent-length: 15\r\n\r\nid: 1\ndata: a\n\n",
    "HTTP/1.1 200 OK\r\nrequest-id: r-1\r\ncontent-length: 15\r\ncontent-length: 15\r\n\r\n\
     id: 1\ndata: a\n\n",
];

/// What a server does after the bytes that it sends of a response.
#[derive(Debug, Clone, Copy, PartialEq)]
enum End {
    Close,
    Reset,
    Silence,
}

/// The connection that a response comes on.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Connection {
    New,
    /// One that has brought a sound response before.
    Kept,
}

async fn read_request(stream: &mut TcpStream) {
    let mut request = Vec::new();
    while !request.ends_with(b"\r\n\r\n") {
        let read = stream.read_buf(&mut request).await.expect("a request");
        assert_ne!(read, 0, "the client closed the connection: {request:?}");
    }
}

/// Responds to one request with `bytes`, on a kept connection after a sound response, then ends it.
async fn serve(listener: TcpListener, connection: Connection, bytes: Vec<u8>, end: End) {
    let (mut stream, _) = listener.accept().await.expect("a connection");
    drop(listener);
    if connection == Connection::Kept {
        read_request(&mut stream).await;
        stream.write_all(SOUND.as_bytes()).await.expect("the bytes are sent");
    }
    read_request(&mut stream).await;
    stream.write_all(&bytes).await.expect("the bytes are sent");
    if end == End::Silence {
        let _ended = stream.read(&mut [0]).await;
    }
    if end == End::Reset {
        // The client must receive the bytes first, because a reset discards those it has not read.
        tokio::time::sleep(Duration::from_millis(2)).await;
        let linger = socket2::SockRef::from(&stream).set_linger(Some(Duration::ZERO));
        linger.expect("the option is supported");
    }
}

fn request() -> Request<Bytes> {
    let request = Request::builder().uri("/").header("host", "x").header("request-id", "r-1");
    request.body(Bytes::new()).expect("a request")
}

/// What the client reads if the server sends only `sent` bytes; `None` if it waits for more.
async fn read_cut(
    connection: Connection,
    whole: &str,
    sent: usize,
    end: End,
) -> Option<Result<Bytes, Error>> {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address: SocketAddr = listener.local_addr().expect("an address");
    let server = tokio::spawn(serve(listener, connection, whole.as_bytes()[..sent].to_vec(), end));
    let memory = Budget::new(4 << 20);
    let (pool, id) = (Pool::default(), HeaderName::from_static("request-id"));
    if connection == Connection::Kept {
        let first = pool.send(address, CONNECT_TIMEOUT, request(), &id).await;
        let body = first.expect("a sound response").read_body(1, &memory).await;
        assert_eq!((body, pool.count(address)), (Ok(Bytes::new()), 1));
    }
    let exchange = async {
        let mut response = match connection {
            Connection::New => send(address, CONNECT_TIMEOUT, request()).await?,
            Connection::Kept => pool.send(address, CONNECT_TIMEOUT, request(), &id).await?,
        };
        response.read_body(1 << 20, &memory).await
    };
    let read = match end {
        End::Silence => timeout(SILENCE, exchange).await.ok(),
        End::Close | End::Reset => Some(exchange.await),
    };
    server.abort();
    read
}

/// Guards against a head, an interim response, a chunk or a trailer that ends in its middle and passes for
/// a whole response, with an empty or a short body (issue 47).
#[tokio::test]
async fn a_response_cut_at_any_byte_is_never_complete() {
    let mut cases = Vec::new();
    for connection in [Connection::New, Connection::Kept] {
        for whole in RESPONSES {
            for end in [End::Close, End::Reset, End::Silence] {
                cases.extend((0..whole.len()).map(move |sent| (connection, whole, end, sent)));
            }
        }
    }
    let reads = stream::iter(cases).map(|(connection, whole, end, sent)| async move {
        (connection, whole, end, sent, read_cut(connection, whole, sent, end).await)
    });
    let wrong: Vec<_> = reads
        .buffer_unordered(CONCURRENCY)
        .filter_map(async |(connection, whole, end, sent, read)| {
            let is_reported = match &read {
                None => end == End::Silence,
                Some(Err(Error::Broken(_))) => end != End::Silence,
                Some(Err(Error::Stale(_))) => end != End::Silence && connection == Connection::Kept,
                _ => false,
            };
            let sent = &whole[..sent];
            (!is_reported).then(|| format!("{connection:?} {end:?} {sent:?}: {read:?}"))
        })
        .collect()
        .await;
    assert!(wrong.is_empty(), "{} cuts were not reported:\n{}", wrong.len(), wrong.join("\n"));
}

/// Guards against a table of cuts that shows nothing because the whole responses are not read either.
#[tokio::test]
async fn each_whole_response_is_complete() {
    for connection in [Connection::New, Connection::Kept] {
        for whole in RESPONSES {
            let read = read_cut(connection, whole, whole.len(), End::Close).await;
            assert_eq!(read, Some(Ok(Bytes::from(BODY))), "{connection:?} {whole:?}");
        }
    }
}

/// Guards against a switch to a protocol that was not asked for and that passes for a whole response with
/// an empty body.
#[tokio::test]
async fn a_switch_of_protocols_that_was_not_asked_for_is_broken() {
    let switch = "HTTP/1.1 101 Switching Protocols\r\nrequest-id: r-1\r\nupgrade: x\r\n\
                  connection: upgrade\r\n\r\n";
    for connection in [Connection::New, Connection::Kept] {
        let read = read_cut(connection, switch, switch.len(), End::Close).await;
        assert!(matches!(read, Some(Err(Error::Broken(_)))), "{connection:?}: {read:?}");
    }
}
