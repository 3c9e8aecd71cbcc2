//! Guards against a process that ends while it is probed and passes for a silent one.

use std::net::TcpListener;
use std::time::{Duration, Instant};

use damaskhatch::relay::crash::{Evidence, probe};

/// How often a listener is closed during a probe, each time a little later.
const ROUNDS: u32 = 2_000;

/// A connection to a listener that is just being closed may be accepted, reset or refused. Only
/// one that gets no response within the time limit is silent.
#[actix_web::test]
async fn a_listener_that_closes_during_a_probe_is_seen_to_close() {
    for round in 0..ROUNDS {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("an address");
        let closing = std::thread::spawn(move || {
            (0..round * 2).for_each(|_| std::hint::spin_loop());
            drop(listener);
        });
        let began = Instant::now();
        let evidence = probe(address).await;
        let took = began.elapsed();
        closing.join().expect("the listener is closed");
        let is_timed_out = took >= Duration::from_millis(250);
        assert!(evidence != Evidence::Silent || is_timed_out, "round {round}: {took:?}");
        assert_eq!(probe(address).await, Evidence::Refused, "round {round}");
    }
}
