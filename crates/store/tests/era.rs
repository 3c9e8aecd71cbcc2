//! Guards against reads, writes and leases from before a restore of the store that count after it.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use damaskhatch_exchange::memory::Budget;
use damaskhatch_store::calls::Calls;
use damaskhatch_store::era;
use damaskhatch_store::message::{Grant, Swap};
use damaskhatch_store::prelude::{Client, Error, Protocol};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;

/// A store that responds to every call with the same status, era and body.
struct Stub {
    address: SocketAddr,
    state: Arc<Mutex<State>>,
}

#[derive(Default)]
struct State {
    response: String,
    calls: usize,
}

impl Stub {
    async fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        let address = listener.local_addr().expect("an address");
        let state = Arc::new(Mutex::new(State::default()));
        let shared = Arc::clone(&state);
        tokio::spawn(async move {
            while let Ok((mut stream, _source)) = listener.accept().await {
                // Each request of these tests fits one segment.
                let _length = stream.read(&mut [0; 4_096]).await;
                let response = {
                    let mut state = shared.lock().expect("the lock");
                    state.calls += 1;
                    state.response.clone()
                };
                let _sent = stream.write_all(response.as_bytes()).await;
            }
        });
        Self { address, state }
    }

    fn respond(&self, era: u64, body: &str) {
        let length = body.len();
        self.state.lock().expect("the lock").response = format!(
            "HTTP/1.1 200 OK\r\nEra: {era}\r\nContent-Length: {length}\r\n\
             Connection: close\r\n\r\n{body}"
        );
    }

    fn calls(&self) -> usize {
        self.state.lock().expect("the lock").calls
    }

    fn client(&self) -> Client {
        self.client_with(era::Tracker::default())
    }

    fn client_with(&self, tracker: era::Tracker) -> Client {
        Client::new(
            self.address,
            Protocol::OWN,
            tracker,
            Calls::unreported(),
            Budget::new(64 << 20),
        )
    }
}

/// The version of a key that the store has at `revision` of `era`.
async fn read(stub: &Stub, client: &Client, era: u64, revision: u64) -> Result<u64, Error> {
    stub.respond(era, &format!(r#"{{"value":"x","version":{revision}}}"#));
    client.get("key").await.map(|item| item.version)
}

const fn swap(expect: u64, lease: Option<Grant>) -> Swap {
    Swap { value: String::new(), expect, lease }
}

#[tokio::test]
async fn a_lower_revision_of_a_later_era_is_a_higher_version() {
    let stub = Stub::start().await;
    let client = stub.client();
    let before = read(&stub, &client, 1, 90).await.expect("a version");
    let same = read(&stub, &client, 2, 90).await.expect("a version");
    let lower = read(&stub, &client, 2, 5).await.expect("a version");
    assert!(before < lower && lower < same, "{before}, {lower}, {same}");
}

#[tokio::test]
async fn a_late_response_of_an_earlier_era_is_dropped() {
    let stub = Stub::start().await;
    let client = stub.client();
    read(&stub, &client, 2, 5).await.expect("a version");
    let late = read(&stub, &client, 1, 90).await;
    assert!(matches!(&late, Err(Error::Unreachable(_))), "{late:?}");
}

#[tokio::test]
async fn versions_and_leases_of_an_earlier_era_are_not_sent() {
    let stub = Stub::start().await;
    let client = stub.client();
    let before = read(&stub, &client, 1, 7).await.expect("a version");
    stub.respond(1, r#"{"lease":3}"#);
    let lease = client.grant_lease(Duration::from_secs(3)).await.expect("a lease");
    read(&stub, &client, 2, 7).await.expect("a version");
    let calls = stub.calls();
    stub.respond(2, r#"{"version":8}"#);
    assert_eq!(client.compare_and_swap("key", &swap(before, None)).await, Err(Error::Conflict(0)));
    assert_eq!(
        client.compare_and_swap("key", &swap(0, Some(lease))).await,
        Err(Error::Missing),
        "a key would be attached to the lease of another host"
    );
    assert_eq!(client.renew_lease(lease).await, Err(Error::Missing));
    assert_eq!(client.revoke_lease(lease).await, Err(Error::Missing));
    let watched = client.watch("key", before, Duration::ZERO).await;
    assert_eq!(watched, Err(Error::Missing));
    assert_eq!(stub.calls(), calls, "a number of the earlier era was sent");
}

#[tokio::test]
async fn a_write_during_which_the_store_was_restored_does_not_count() {
    let stub = Stub::start().await;
    let client = stub.client();
    let before = read(&stub, &client, 1, 7).await.expect("a version");
    stub.respond(2, r#"{"version":8}"#);
    let written = client.compare_and_swap("key", &swap(before, None)).await;
    assert!(matches!(&written, Err(Error::Unreachable(_))), "{written:?}");
}

#[tokio::test]
async fn a_host_that_starts_after_a_restore_learns_of_it_from_a_record_of_an_earlier_era() {
    let stub = Stub::start().await;
    let tracker = era::Tracker::default();
    let client = stub.client_with(tracker.clone());
    read(&stub, &client, 1, 7).await.expect("a version");
    assert!(!tracker.has_seen_restore());
    tracker.note_earlier(1);
    assert!(!tracker.has_seen_restore());
    tracker.note_earlier(0);
    assert!(tracker.has_seen_restore() && tracker.latest() == 1);
}
