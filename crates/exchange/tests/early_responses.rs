//! Guards against a response that an upstream in trouble sends before it has read a long request, and that
//! passes for a complete one though the connection was reset under it (MIXED).

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use damaskhatch_exchange::memory::Budget;
use damaskhatch_exchange::pool::Pool;
use damaskhatch_exchange::{Connection, Error, HeaderName, Request, Result, send};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::sleep;

const ID: HeaderName = HeaderName::from_static("request-id");
const TIMEOUT: Duration = Duration::from_secs(1);
/// Less than the buffers of a connection hold, about as much, and more.
const UPLOADS: [usize; 3] = [64 << 10, 3 << 20, 16 << 20];
/// How long a server waits before it resets the connection.
const PAUSES_US: [u64; 8] = [0, 20, 100, 300, 700, 1_500, 3_000, 6_000];
const ROUNDS: usize = 2;

/// How a server ends its early response.
#[derive(Debug, Clone, Copy, PartialEq)]
enum End {
    /// Resets the connection at once.
    Reset,
    /// Reads more of the request before that, so that the client is writing.
    ReadAndReset,
    /// Closes the connection while bytes of the request are unread.
    Close,
    /// Sends nothing more after the response, and resets the connection later.
    CloseOneSide,
}

/// The connection that a client uses.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Client {
    New,
    PoolNew,
    PoolKept,
}

async fn read_head(stream: &mut TcpStream) {
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n\r\n") {
        head.push(stream.read_u8().await.expect("a request"));
    }
}

async fn serve(listener: TcpListener, early: String, end: End, pause: Duration) {
    loop {
        let (mut stream, _) = listener.accept().await.expect("a connection");
        read_head(&mut stream).await;
        let mut first = [0; 1];
        if stream.peek(&mut first).await.is_ok_and(|peeked| peeked == 1 && first[0] == b'w') {
            // A request that only opens the connection, whose body is this byte.
            let _body = stream.read_u8().await;
            let whole = "HTTP/1.1 200 OK\r\nrequest-id: warm\r\ncontent-length: 1\r\n\r\nw";
            stream.write_all(whole.as_bytes()).await.expect("the response is sent");
            read_head(&mut stream).await;
        }
        stream.write_all(early.as_bytes()).await.expect("the response is sent");
        if end == End::ReadAndReset {
            let mut some = vec![0; 32 << 10];
            let _read = stream.read_exact(&mut some).await;
        }
        sleep(pause).await;
        if end == End::CloseOneSide {
            stream.shutdown().await.expect("the other end is there");
            sleep(Duration::from_millis(20)).await;
        }
        if end != End::Close {
            let linger = socket2::SockRef::from(&stream).set_linger(Some(Duration::ZERO));
            linger.expect("the option is supported");
        }
    }
}

fn request(id: &'static str, body: Bytes) -> Request<Bytes> {
    let request = Request::builder().method("POST").uri("/").header("host", "x").header(ID, id);
    request.body(body).expect("a request")
}

async fn call(client: Client, address: SocketAddr, upload: Bytes) -> Result<Bytes> {
    let budget = Budget::new(4 << 20);
    let pool = Pool::default();
    if client == Client::PoolKept {
        let warm = request("warm", Bytes::from_static(b"w"));
        let mut warm = pool.send(address, TIMEOUT, warm, &ID).await.expect("a response");
        warm.read_body(1 << 20, &budget).await.expect("a whole body");
        drop(warm);
        assert_eq!(pool.count(address), 1);
    }
    let sent = match client {
        Client::New => send(address, TIMEOUT, request("own", upload)).await,
        Client::PoolNew | Client::PoolKept => {
            pool.send(address, TIMEOUT, request("own", upload), &ID).await
        }
    };
    let mut response = sent?;
    let expected = if client == Client::PoolKept { Connection::Kept } else { Connection::New };
    assert_eq!(response.connection, expected);
    let read = response.read_body(1 << 20, &budget).await;
    drop(response);
    assert_eq!(pool.count(address), 0, "the connection is not used again");
    read
}

/// Calls a server of each kind again and again; returns what passed for a complete response.
async fn find_complete(head: &str, body: &str) -> Vec<String> {
    let mut complete = Vec::new();
    for client in [Client::New, Client::PoolNew, Client::PoolKept] {
        for end in [End::Reset, End::ReadAndReset, End::Close] {
            for length in UPLOADS {
                let upload = Bytes::from(vec![b'u'; length]);
                for pause in (0..ROUNDS).flat_map(|_round| PAUSES_US) {
                    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
                    let address = listener.local_addr().expect("an address");
                    let early = format!("{head}{body}");
                    let server = serve(listener, early, end, Duration::from_micros(pause));
                    let server = tokio::spawn(server);
                    match call(client, address, upload.clone()).await {
                        Err(Error::Broken(_) | Error::Stale(_)) => {}
                        other => {
                            complete
                                .push(format!("{client:?} {end:?} {length} {pause}: {other:?}"));
                        }
                    }
                    server.abort();
                }
            }
        }
    }
    complete
}

/// Guards against a part of a body without a length that passes for the whole.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_early_response_without_a_length_that_is_reset_is_broken() {
    let found = find_complete("HTTP/1.1 200 OK\r\nrequest-id: own\r\n\r\n", "a part").await;
    assert!(found.is_empty(), "{} passed: {found:#?}", found.len());
}

/// Guards against the same if the upstream closes its side in order and resets the connection later.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_body_without_a_length_that_ends_before_its_request_was_read_is_broken() {
    let upload = Bytes::from(vec![b'u'; UPLOADS[2]]);
    for (status, is_broken) in [(200, true), (201, true), (413, false), (503, false)] {
        for client in [Client::New, Client::PoolNew, Client::PoolKept] {
            for pause in PAUSES_US {
                let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
                let address = listener.local_addr().expect("an address");
                let early = format!("HTTP/1.1 {status} X\r\nrequest-id: own\r\n\r\na part");
                let pause = Duration::from_micros(pause);
                let server = tokio::spawn(serve(listener, early, End::CloseOneSide, pause));
                let called = call(client, address, upload.clone()).await;
                let case = format!("{status} {client:?} {pause:?}: {called:?}");
                // What a caller may know of a refusal is its status; its text may be lost.
                let is_right = matches!(called, Err(Error::Broken(_) | Error::Stale(_)))
                    || (!is_broken && called == Ok(Bytes::from("a part")));
                assert!(is_right, "{case}");
                server.abort();
            }
        }
    }
}

/// Guards against a refusal that is lost because the request was not read.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_early_refusal_with_a_length_is_a_response() {
    let upload = Bytes::from(vec![b'u'; UPLOADS[2]]);
    for client in [Client::New, Client::PoolNew, Client::PoolKept] {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        let address = listener.local_addr().expect("an address");
        let early = "HTTP/1.1 503 X\r\nrequest-id: own\r\nconnection: close\r\n\
                     content-length: 4\r\n\r\nfull";
        let pause = Duration::from_millis(100);
        let server = tokio::spawn(serve(listener, early.to_owned(), End::Reset, pause));
        let called = call(client, address, upload.clone()).await;
        assert_eq!(called, Ok(Bytes::from("full")), "{client:?}");
        server.abort();
    }
}

/// Guards against a part of a body whose last chunk is missing.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_early_chunked_response_that_is_reset_is_broken() {
    let head = "HTTP/1.1 200 OK\r\nrequest-id: own\r\ntransfer-encoding: chunked\r\n\r\n";
    let found = find_complete(head, "6\r\na part\r\n").await;
    assert!(found.is_empty(), "{} passed: {found:#?}", found.len());
}
