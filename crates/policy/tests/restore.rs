//! Guards against hosts that rely on a store which may have lost what they were told, and against hosts
//! that wait although nothing can be lost.

use damaskhatch_policy::freshness::BootTime;
use damaskhatch_policy::prelude::*;
use damaskhatch_policy::restore::{Era, REWRITE_TIME, Record};
use proptest::prelude::*;

const fn at(ms: u64) -> BootTime {
    BootTime(Duration::from_millis(ms))
}

const fn record(era: u64, revision: u64) -> Record {
    Record { era, revision }
}

/// The host has just started in the era, and has read this record there.
fn started(era: u64, record: Option<Record>) -> Era {
    let mut started = Era::enter(era, false, None, at(0));
    started.learn(record);
    started
}

#[test]
fn a_started_host_relies_on_a_store_that_was_never_restored() {
    assert!(started(0, None).is_reliable(1, at(1)));
    assert!(started(1, None).is_reliable(1, at(1)));
    assert!(started(1, Some(record(1, 1))).is_reliable(1, at(1)));
}

#[test]
fn a_started_host_relies_on_a_restored_store_only_up_to_the_record() {
    let era = started(3, Some(record(3, 7)));
    assert!(era.is_reliable(7, at(1)) && era.is_reliable(8, at(1)));
    // Also after any time: nobody may undo the revision that the record names.
    assert!(!era.is_reliable(6, at(1)) && !era.is_reliable(6, at(1_000_000)));
}

#[test]
fn without_a_record_of_the_era_a_started_host_waits() {
    for era in [started(2, None), started(2, Some(record(1, 7))), started(1, Some(record(0, 7)))] {
        assert!(!era.is_reliable(9, at(REWRITE_TIME.as_millis() as u64 - 1)));
        assert!(era.is_reliable(9, BootTime(REWRITE_TIME)));
        assert_eq!(era.wait(at(1_000)) + Duration::from_secs(1), REWRITE_TIME);
    }
}

#[test]
fn a_configuration_that_operators_write_in_the_era_ends_the_wait() {
    let mut era = started(2, Some(record(1, 7)));
    era.note_rewrite();
    assert!(era.is_reliable(8, at(1)));
}

#[test]
fn a_host_that_was_up_to_date_goes_on_and_records_what_it_knows() {
    let mut era = Era::enter(2, true, Some(7), at(0));
    assert!(era.is_reliable(7, at(1)));
    assert_eq!(era.missing_record(7), Some(record(2, 7)));
    // Another host that was up to date knew a later one, or only an earlier one.
    era.learn(Some(record(2, 8)));
    assert!(!era.is_reliable(7, at(1)));
    assert_eq!(era.missing_record(7), None);
    era.learn(Some(record(2, 6)));
    assert_eq!(era.missing_record(7), Some(record(2, 7)));
}

#[test]
fn a_host_that_was_not_up_to_date_waits_as_a_started_one() {
    let mut era = Era::enter(1, true, None, at(0));
    assert!(!era.is_reliable(7, at(1)));
    era.learn(Some(record(1, 7)));
    assert!(era.is_reliable(7, at(1)));
}

proptest! {
    /// Whatever order hosts record in, a host that relies on the store has all that any of them knew.
    #[test]
    fn the_record_covers_every_host_that_was_up_to_date(known in prop::collection::vec(1_u64..9, 1..6)) {
        let mut stored = Some(record(1, 9));
        for known in &known {
            let mut era = Era::enter(2, true, Some(*known), at(0));
            era.learn(stored);
            stored = era.missing_record(*known).or(stored);
        }
        let newest = known.iter().max().copied().unwrap_or(0);
        for revision in 1..9 {
            let is_reliable = started(2, stored).is_reliable(revision, at(1));
            prop_assert_eq!(is_reliable, revision >= newest);
        }
    }
}
