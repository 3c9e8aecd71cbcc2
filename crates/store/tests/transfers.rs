//! Guards against reads of a large value that never end over a slow link, because the time limit
//! covers the whole body, and against reads that hang when a body stops.

use std::net::SocketAddr;
use std::time::Duration;

use damaskhatch_exchange::memory::Budget;
use damaskhatch_store::calls::Calls;
use damaskhatch_store::era;
use damaskhatch_store::prelude::{Client, Error, Protocol};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;
use tokio::time::{Instant, sleep};

/// The pause between two pieces of a body, well below the limit for one.
const PIECE_INTERVAL: Duration = Duration::from_millis(200);

/// Starts a store that sends one item in `pieces`, and the rest of it only if `is_whole`.
async fn start_store(pieces: usize, is_whole: bool) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("an address");
    tokio::spawn(async move {
        let (mut stream, _source) = listener.accept().await.expect("a connection");
        let _length = stream.read(&mut [0; 4_096]).await;
        let body = format!(r#"{{"value":"{}","version":1}}"#, "x".repeat(100_000));
        let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", body.len());
        let _sent = stream.write_all(head.as_bytes()).await;
        for piece in body.as_bytes().chunks(body.len().div_ceil(pieces)).take(pieces - 1) {
            let _sent = stream.write_all(piece).await;
            sleep(PIECE_INTERVAL).await;
        }
        if is_whole {
            let rest = (pieces - 1) * body.len().div_ceil(pieces);
            let _sent = stream.write_all(&body.as_bytes()[rest..]).await;
        }
        sleep(Duration::from_secs(5)).await;
    });
    address
}

fn client_of(address: SocketAddr) -> Client {
    let (era, calls) = (era::Tracker::default(), Calls::unreported());
    Client::new(address, Protocol::OWN, era, calls, Budget::new(64 << 20))
}

#[tokio::test]
async fn a_value_is_read_as_long_as_its_bytes_arrive() {
    let address = start_store(10, true).await;
    let client = client_of(address);
    let item = client.get("key").await.expect("the whole value");
    assert_eq!(item.value.len(), 100_000);
}

#[tokio::test]
async fn a_read_fails_soon_after_its_body_stops() {
    let address = start_store(3, false).await;
    let client = client_of(address);
    let started = Instant::now();
    let read = client.get("key").await;
    assert!(matches!(read, Err(Error::Unreachable(_))), "{read:?}");
    assert!(started.elapsed() < Duration::from_secs(2), "after {:?}", started.elapsed());
}
