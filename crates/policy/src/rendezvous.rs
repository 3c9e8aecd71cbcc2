//! Rendezvous hashing, which assigns roles to live hosts.
//!
//! Hosts with the same view of the membership compute the same owner. Adding or removing
//! a host moves only the roles that it gains or loses.

use crate::prelude::*;

/// The host with the highest score for `role`, or `None` if `hosts` is empty.
pub fn owner(role: Tag, hosts: impl IntoIterator<Item = Tag>) -> Option<Tag> {
    hosts.into_iter().max_by_key(|host| (score(role, *host), host.0))
}

/// Up to `count` hosts with the highest scores for `role`, highest first.
pub fn owners(role: Tag, hosts: impl IntoIterator<Item = Tag>, count: usize) -> Vec<Tag> {
    let mut hosts: Vec<_> = hosts.into_iter().collect();
    hosts.sort_by_key(|host| std::cmp::Reverse((score(role, *host), host.0)));
    hosts.truncate(count);
    hosts
}

/// The number of other hosts with higher scores for `role` than `host`.
pub fn rank(role: Tag, host: Tag, hosts: impl IntoIterator<Item = Tag>) -> usize {
    let own = (score(role, host), host.0);
    hosts.into_iter().filter(|other| (score(role, *other), other.0) > own).count()
}

/// Orders owners for one of the hosts that ask them, so that about as many ask each of them first.
pub fn order_for(mut owners: Vec<Tag>, host: Tag) -> Vec<Tag> {
    if !owners.is_empty() {
        let first = score(host, owners[0]) % owners.len() as u64;
        owners.rotate_left(first as usize);
    }
    owners
}

/// Mixes role and host with the finalizer of `SplitMix64`.
fn score(role: Tag, host: Tag) -> u64 {
    let mut mixed = role.0 ^ host.0.rotate_left(32) ^ 0x9e37_79b9_7f4a_7c15;
    mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    mixed ^ (mixed >> 31)
}
