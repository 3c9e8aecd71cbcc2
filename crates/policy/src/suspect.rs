//! Attempts that may have crashed their upstream, until the registry shows whether it ended.
//!
//! An upstream that refuses connections has ended. One that accepts them may have restarted
//! already, and one that does not respond may be behind a partition: only a later start of the
//! upstream, or another one at its address, shows that it ended.

use std::net::SocketAddr;

use crate::prelude::*;
use crate::registry::Registry;
use crate::strike::Strike;

/// The maximum number of attempts watched; further ones are not watched.
const MAX_SUSPECTS: usize = 1_024;

/// An attempt that broke off, at an upstream that may have ended.
#[derive(Debug, Clone)]
pub struct Suspect {
    /// The strike that the request gets if the upstream has ended.
    pub strike: Strike,
    /// The address of the upstream.
    pub address: SocketAddr,
    /// When the attempt broke off.
    pub broke_at: Instant,
    /// Until when a new start of the upstream counts as evidence.
    pub watch_until: Instant,
}

/// The attempts that are watched.
#[derive(Debug, Default)]
pub struct Suspects(Vec<Suspect>);

impl Suspects {
    /// Watches an attempt; returns false if too many are watched already.
    pub fn add(&mut self, suspect: Suspect) -> bool {
        let has_room = self.0.len() < MAX_SUSPECTS;
        if has_room {
            self.0.push(suspect);
        }
        has_room
    }

    /// Removes and returns the attempts whose upstreams have ended, and drops those at upstreams
    /// that are leaving and those that were watched long enough.
    pub fn take_crashed(&mut self, registry: &Registry, now: Instant) -> Vec<Suspect> {
        let mut crashed = Vec::new();
        self.0.retain(|suspect| {
            let crash = &suspect.strike.crash;
            let listed = || registry.entries().map(|(_, entry)| entry);
            let has_ended = listed().any(|entry| {
                if entry.tag == crash.upstream {
                    entry.started_ms > crash.started_ms
                } else {
                    entry.address == suspect.address
                }
            });
            if has_ended {
                crashed.push(suspect.clone());
                return false;
            }
            let is_leaving = listed().any(|entry| entry.tag == crash.upstream && entry.is_leaving);
            !is_leaving && now < suspect.watch_until
        });
        crashed
    }
}
