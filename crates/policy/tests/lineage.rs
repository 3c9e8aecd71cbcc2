//! Guards against a software version that is guessed for a stream that another one may have begun.

use std::collections::HashMap;

use damaskhatch_policy::lineage::{STREAM_LIFE, Saved, Served, Streams};
use damaskhatch_policy::prelude::*;
use damaskhatch_policy::registry::Entry;
use damaskhatch_policy::sheet::Role;
use proptest::prelude::*;

const SERVICE: Tag = Tag(9);
const STEP: Duration = Duration::from_secs(1);

fn engine(version: Tag) -> Entry {
    Entry {
        instance: "e".to_owned(),
        tag: Tag(1),
        service: SERVICE,
        address: "127.0.0.1:1".parse().expect("an address"),
        domain: Tag(2),
        slots: 1,
        is_leaving: false,
        role: Some(Role::Decode),
        started_ms: 0,
        software: version,
        cold_left: Duration::ZERO,
    }
}

#[test]
fn a_stream_is_known_for_its_life_after_it_was_last_taken_up() {
    let start = Instant::now();
    let mut streams = Streams::default();
    assert!(streams.record(Tag(1), Tag(5), start));
    let later = start + STREAM_LIFE / 2;
    assert!(!streams.record(Tag(1), Tag(6), later), "the first record holds");
    assert_eq!(streams.version(Tag(1)), Some(Tag(5)));
    streams.record(Tag(2), Tag(5), start + STREAM_LIFE);
    assert_eq!(streams.version(Tag(1)), Some(Tag(5)), "taken up in the meantime");
    streams.record(Tag(2), Tag(5), later + STREAM_LIFE);
    assert_eq!(streams.version(Tag(1)), None);
    assert_eq!(streams.iter().collect::<Vec<_>>(), [(Tag(2), Tag(5))]);
}

/// A step of a second in the life of a fleet.
#[derive(Debug, Clone)]
struct Step {
    /// The versions that serve.
    serving: Vec<u64>,
    /// Whether all hosts are killed and started again at the end of the step.
    is_killed: bool,
    /// Whether the store is restored from the copy of this many steps ago, or of the beginning.
    restored: Option<usize>,
}

fn step() -> impl Strategy<Value = Step> {
    let serving = prop::collection::vec(1_u64..4, 1..3);
    let restored = prop::option::weighted(0.05, 1_usize..5);
    (serving, prop::bool::weighted(0.15), restored)
        .prop_map(|(serving, is_killed, restored)| Step { serving, is_killed, restored })
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(2_000))]

    /// Guards against a version that counts as the only one although another served within the life
    /// of a stream, through kills of all hosts and restores of the store while hosts live.
    #[test]
    fn the_only_version_is_the_one_that_began_every_stream(
        releases in prop::collection::vec((step(), 1_usize..40), 1..12),
    ) {
        let start = Instant::now();
        let mut served = Served::default();
        let mut store: Option<Saved> = None;
        let mut copies: Vec<Option<Saved>> = Vec::new();
        // When streams of each version were last begun.
        let mut begun: HashMap<u64, Instant> = HashMap::new();
        let mut now = start;
        for (Step { serving, is_killed, restored }, times) in releases {
            for time in 0..times {
                now += STEP;
                let entries: Vec<Entry> = serving.iter().map(|own| engine(Tag(*own))).collect();
                served.observe(entries.iter(), now);
                if let Some(back) = restored.filter(|_| time == 0) {
                    store = copies.iter().rev().nth(back).cloned().flatten();
                }
                if served.is_complete(now) {
                    // Live hosts write what a restore has lost.
                    store = Some(served.to_save());
                }
                copies.push(store.clone());
                if let Some(sole) = served.sole(SERVICE, now) {
                    for (version, at) in &begun {
                        let may_be_taken_up = now.saturating_duration_since(*at) + STEP < STREAM_LIFE;
                        prop_assert!(
                            Tag(*version) == sole || !may_be_taken_up,
                            "{version} served until {:?} ago, but only {sole} is known",
                            now.saturating_duration_since(*at)
                        );
                    }
                }
                serving.iter().for_each(|version| {
                    begun.insert(*version, now);
                });
            }
            if is_killed {
                served = Served::default();
                if let Some(saved) = &store {
                    served.restore(saved, now);
                    served.complete(now);
                }
            }
        }
    }
}

/// Guards against a started host that guesses before it has read which versions have served.
#[test]
fn a_started_host_knows_no_only_version_before_it_has_read() {
    let start = Instant::now();
    let mut served = Served::default();
    let entries = [engine(Tag(2))];
    served.observe(entries.iter(), start);
    assert_eq!(served.sole(SERVICE, start + STEP), None);
    let mut read = served.clone();
    read.restore(&vec![(SERVICE, vec![Tag(1), Tag(2)])], start + STEP);
    read.complete(start + STEP);
    assert_eq!(read.sole(SERVICE, start + STEP), None);
    assert!(read.is_mixed());
    read.observe(entries.iter(), start + STEP + STREAM_LIFE);
    assert_eq!(read.sole(SERVICE, start + STEP + STREAM_LIFE), Some(Tag(2)));
    let mut later = start;
    while later < start + STREAM_LIFE {
        later += STEP;
        served.observe(entries.iter(), later);
    }
    assert_eq!(served.sole(SERVICE, later), Some(Tag(2)), "it has seen a whole life itself");
}

/// Guards against a host that was cut off while another version came, began streams and left.
#[test]
fn a_host_knows_no_only_version_after_its_list_was_out_of_date() {
    let start = Instant::now();
    let mut served = Served::default();
    let entries = [engine(Tag(1))];
    served.observe(entries.iter(), start);
    served.complete(start);
    assert_eq!(served.sole(SERVICE, start), Some(Tag(1)));
    served.interrupt();
    assert_eq!(served.sole(SERVICE, start + STEP), None);
    served.observe(entries.iter(), start + STEP);
    assert_eq!(served.sole(SERVICE, start + STEP), None);
    served.restore(&vec![(SERVICE, vec![Tag(1), Tag(2)])], start + STEP);
    served.complete(start + STEP);
    assert_eq!(served.sole(SERVICE, start + STEP), None, "the other one is known now");
}
