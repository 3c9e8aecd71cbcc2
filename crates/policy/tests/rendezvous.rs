//! Guards against hosts that all ask the same one of several owners of a role.

use damaskhatch_policy::prelude::*;
use damaskhatch_policy::rendezvous;

#[test]
fn hosts_are_divided_among_the_owners_that_they_ask_first() {
    let hosts: Vec<Tag> = (0..60).map(|number| Tag::of(&format!("edge-{number}"))).collect();
    let owners = rendezvous::owners(Tag::of("reader"), hosts.iter().copied(), 2);
    let asked_first = |owner: Tag| {
        let orders = hosts.iter().map(|host| rendezvous::order_for(owners.clone(), *host));
        orders.filter(|order| order[0] == owner).count()
    };
    for owner in &owners {
        assert!((20..=40).contains(&asked_first(*owner)), "{} of 60", asked_first(*owner));
    }
    let order = rendezvous::order_for(owners.clone(), hosts[0]);
    assert!(owners.iter().all(|owner| order.contains(owner)), "an owner is left out");
    assert_eq!(rendezvous::order_for(Vec::new(), hosts[0]), Vec::new());
}
