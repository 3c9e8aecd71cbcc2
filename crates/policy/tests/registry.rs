//! Guards against hosts that receive only changes ending up with other upstreams than hosts
//! that read the full list.

use std::collections::HashMap;

use damaskhatch_policy::prelude::*;
use damaskhatch_policy::registry::{Change, Entry, NO_VERSION, Registry};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

fn entry(name: &str, port: u16) -> Entry {
    Entry {
        instance: name.to_owned(),
        tag: Tag::of(name),
        service: Tag::of("model"),
        address: format!("127.0.0.1:{port}").parse().expect("an address"),
        domain: Tag::of("a"),
        slots: 12,
        is_leaving: false,
        role: None,
        started_ms: 0,
        software: NO_VERSION,
        cold_left: Duration::ZERO,
    }
}

fn content(registry: &Registry) -> HashMap<String, Entry> {
    registry.entries().map(|(key, entry)| (key.clone(), entry.clone())).collect()
}

/// A model of the store: its entries, and every change with its version.
#[derive(Default)]
struct Store {
    entries: HashMap<String, Entry>,
    changes: Vec<(u64, String, Change)>,
}

impl Store {
    const fn version(&self) -> u64 {
        self.changes.len() as u64
    }

    fn change(&mut self, rng: &mut Pcg64Mcg) {
        let key = format!("u{}", rng.random_range(0..8));
        let version = self.version() + 1;
        let change = if rng.random_bool(0.3) {
            self.entries.remove(&key);
            Change::Removed
        } else {
            // Few different contents, so that changes often undo each other.
            let listed = entry(&key, rng.random_range(1..4));
            self.entries.insert(key.clone(), listed.clone());
            Change::Listed(listed)
        };
        self.changes.push((version, key, change));
    }

    /// Applies all changes after `cursor` to a reader at once.
    fn read(&self, reader: &mut Registry, cursor: &mut u64) {
        let later = self.changes.iter().filter(|(version, ..)| version > cursor);
        reader.apply(later.map(|(_, key, change)| (key.clone(), change.clone())), self.version());
        *cursor = self.version();
    }
}

/// Updates a follower from a reader as hosts do, by changes where possible.
///
/// Returns whether changes were enough, or `None` if the reader had nothing newer.
fn follow(follower: &mut Registry, reader: &Registry) -> Option<bool> {
    if reader.version() <= follower.version() {
        return None;
    }
    let changes = reader.changes_since(follower.version()).filter(|_| follower.version() > 0);
    let is_partial = changes.is_some();
    if let Some(changes) = changes {
        follower.apply(changes, reader.version());
        follower.advance_version(reader.version());
    } else {
        follower.replace(content(reader), reader.version());
    }
    Some(is_partial)
}

#[test]
fn a_follower_has_the_content_of_the_reader_it_last_followed() {
    for seed in 0..200 {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let mut store = Store::default();
        let mut readers = [(Registry::default(), 0), (Registry::default(), 0)];
        let mut follower = Registry::default();
        let (mut partial, mut complete) = (0, 0);
        for _ in 0..300 {
            match rng.random_range(0..10) {
                0..4 => store.change(&mut rng),
                4..7 => {
                    let (reader, cursor) = &mut readers[rng.random_range(0..2)];
                    store.read(reader, cursor);
                }
                7 if rng.random_bool(0.1) => {
                    // The reader lost its cursor and reads the full list.
                    let (reader, cursor) = &mut readers[rng.random_range(0..2)];
                    reader.replace(store.entries.clone(), store.version());
                    *cursor = store.version();
                }
                _ => {
                    let (reader, _) = &readers[rng.random_range(0..2)];
                    match follow(&mut follower, reader) {
                        Some(true) => partial += 1,
                        Some(false) => complete += 1,
                        None => continue,
                    }
                    assert_eq!(content(&follower), content(reader), "seed {seed}");
                }
            }
        }
        assert!(
            partial > complete,
            "seed {seed}: {partial} updates by changes, {complete} by the full list"
        );
    }
}

#[test]
fn a_host_that_is_too_far_behind_needs_the_full_list() {
    let mut registry = Registry::default();
    registry.replace(HashMap::new(), 1);
    for version in 2..3_000_u64 {
        let change = Change::Listed(entry("u", version as u16));
        registry.apply([("u".to_owned(), change)], version);
    }
    assert_eq!(registry.changes_since(2_998).map(|changes| changes.len()), Some(1));
    assert_eq!(registry.changes_since(2_999).map(|changes| changes.len()), Some(0));
    assert_eq!(registry.changes_since(3_000), None, "a version that this host has not read");
    assert!(registry.changes_since(2_500).is_some());
    assert_eq!(registry.changes_since(1_000), None, "older than the changes that are kept");
    let before = registry.version();
    let same = Change::Listed(entry("u", 2_999));
    assert!(!registry.apply([("u".to_owned(), same)], 4_000), "nothing changed");
    assert_eq!(registry.version(), before);
}

/// Guards against a fleet whose hosts all need the full list because a reader has read it again, for
/// example after its watch was cut.
#[test]
fn a_list_that_was_read_again_differs_by_its_changes_only() {
    let listed = |names: &[&str], port| {
        names.iter().map(|name| ((*name).to_owned(), entry(name, port))).collect::<HashMap<_, _>>()
    };
    let mut reader = Registry::default();
    reader.replace(listed(&["u1", "u2", "u3"], 1), 10);
    let mut follower = reader.clone();
    let mut entries = listed(&["u1", "u2"], 1);
    entries.extend(listed(&["u4"], 2));
    entries.get_mut("u2").expect("an entry").is_leaving = true;
    reader.replace(entries, 20);
    let changes = reader.changes_since(10).expect("the reader knows what has changed");
    assert_eq!(changes.len(), 3, "{changes:?}");
    follower.apply(changes, 20);
    follower.advance_version(20);
    assert_eq!(content(&follower), content(&reader));
    // Read once more without a difference, at a later version of the store.
    reader.replace(content(&follower), 30);
    assert_eq!(reader.changes_since(20), Some(Vec::new()));
    assert_eq!(reader.version(), 30);
    assert_eq!(reader.changes_since(9), None, "before the first list that was read");
}
