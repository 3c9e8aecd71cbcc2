//! Guards against hosts that go on with an older set of evacuated domains than one they have heard of.

use damaskhatch_policy::evacuation::{Change, News, Table};
use damaskhatch_policy::prelude::*;
use proptest::prelude::*;

fn domain(name: &str) -> Tag {
    Tag::of(name)
}

/// Guards against a set that a late answer of an earlier version puts back in force.
#[test]
fn a_set_of_an_earlier_version_changes_nothing() {
    let mut table = Table::default();
    let news = table.replace([domain("a")], 7);
    assert_eq!(news, News { evacuated: vec![domain("a")], taken_back: vec![] });
    assert!(table.replace([], 6).is_empty());
    assert!(table.is_evacuated(domain("a")));
    assert_eq!(table.replace([], 8).taken_back, [domain("a")]);
    assert!(!table.is_evacuated(domain("a")));
}

/// Guards against hosts that overwrite each other's sets of one version, and against a host that is not
/// told that a domain was taken back because its peers have started since.
#[test]
fn of_two_sets_of_one_version_a_host_keeps_its_own() {
    let mut table = Table::default();
    table.replace([], 7);
    assert!(!table.has_been_used());
    assert!(table.merge([domain("a")], 7).is_empty());
    assert!(!table.has_been_used());
    assert!(table.merge([domain("a")], 6).is_empty());
    assert!(table.has_been_used(), "the host that still has the older set must hear the later one");
    assert!(!table.is_evacuated(domain("a")));
    assert_eq!(table.merge([domain("a")], 8).evacuated, [domain("a")]);
}

/// Guards against a domain that is evacuated again and stays in use.
#[test]
fn the_last_change_to_a_domain_counts() {
    let change = |is_evacuated| Change { domain: domain("a"), is_evacuated };
    let mut table = Table::default();
    table.apply(&[change(true), change(false), change(true)], 3);
    assert!(table.is_evacuated(domain("a")));
    table.apply(&[change(false)], 4);
    assert!(!table.is_evacuated(domain("a")));
    assert_eq!(table.version(), 4);
}

proptest! {
    /// Guards against hosts that differ for good because sets reach them in different orders.
    #[test]
    fn hosts_agree_whatever_the_order_of_the_news(
        mut told in prop::collection::vec((1_u64..9, prop::collection::btree_set(0_u64..4, 0..4)), 1..12),
        seed in 0_usize..1_000,
    ) {
        // One version of the store has one set.
        told.sort_by_key(|(version, _)| *version);
        told.dedup_by_key(|(version, _)| *version);
        let (latest, expected) = told.last().cloned().expect("at least one");
        let turn = seed % told.len();
        told.rotate_left(turn);
        let mut table = Table::default();
        for (version, domains) in told {
            table.merge(domains.into_iter().map(Tag), version);
        }
        prop_assert_eq!(table.version(), latest);
        prop_assert_eq!(table.domains().map(|tag| tag.0).collect::<Vec<_>>(), expected.into_iter().collect::<Vec<_>>());
    }
}
