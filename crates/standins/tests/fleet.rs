//! The addresses of a fleet's processes.

use std::collections::HashSet;
use std::net::TcpListener;
use std::process::Command;
use std::sync::atomic::{AtomicBool, Ordering};

use damaskhatch_standins::fleet::Block;

/// Sockets bound to port 0 at one address, several times the ports that the system chooses from.
const SOCKETS: usize = 100_000;

/// Ports that are bound while processes start.
const PORTS_BOUND: usize = 5_000;

/// Guards against processes that cannot listen because the system gave their port to a proxy.
#[test]
fn the_system_gives_no_other_socket_the_port_of_a_process_that_has_yet_to_start() {
    let block = Block::reserve().expect("a block");
    let addresses: [_; 3] = block.next_addresses(1);
    for _ in 0..SOCKETS {
        let socket = TcpListener::bind((block.ip(1), 0)).expect("a port");
        let taken = socket.local_addr().expect("an address");
        assert!(!addresses.contains(&taken), "{taken} is that of a process");
    }
}

/// Guards against a port that a proxy of an ended fleet still holds.
#[test]
fn fleets_of_one_process_get_different_ports_after_each_other() {
    let mut ports = HashSet::new();
    for _fleet in 0..3 {
        let block = Block::reserve().expect("a block");
        let addresses: [_; 20] = block.next_addresses(1);
        ports.extend(addresses.map(|address| address.port()));
    }
    assert_eq!(ports.len(), 60);
}

/// Guards against a port that a process started meanwhile holds because it inherited a listener.
#[test]
fn a_port_is_free_while_other_threads_start_processes() {
    let block = Block::reserve().expect("a block");
    let is_over = AtomicBool::new(false);
    std::thread::scope(|scope| {
        for _ in 0..4 {
            scope.spawn(|| {
                while !is_over.load(Ordering::Relaxed) {
                    Command::new("true").status().expect("a process");
                }
            });
        }
        let failed = (0..PORTS_BOUND).filter_map(|_| {
            let address = block.next_address(1);
            TcpListener::bind(address).err().map(|error| (address, error))
        });
        let failed: Vec<_> = failed.collect();
        is_over.store(true, Ordering::Relaxed);
        assert!(failed.is_empty(), "{} of {PORTS_BOUND} in use: {failed:?}", failed.len());
    });
}
