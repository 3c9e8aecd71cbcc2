//! Guards against a small change of a large configuration that makes hosts transfer all of it.

use std::collections::HashSet;

use damaskhatch_policy::config::split;
use damaskhatch_policy::sheet::Row;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

fn row(number: usize) -> Row {
    Row::Team { name: format!("team-{number:05}"), rate: 1.0, burst: 1.0 }
}

fn rows(count: usize) -> Vec<Row> {
    (0..count).map(row).collect()
}

/// The chunks of `new` that `old` does not have.
fn count_new_chunks(old: &[Row], new: &[Row]) -> usize {
    let known = split(old);
    split(new).into_iter().filter(|chunk| !known.contains(chunk)).count()
}

#[test]
fn a_change_that_adds_half_as_many_rows_transfers_little_besides_them() {
    let (old, new) = (rows(2_800), rows(4_200));
    let known = split(&old);
    let missing = split(&new).into_iter().filter(|chunk| !known.contains(chunk));
    let transferred: usize = missing.map(|chunk| chunk.len()).sum();
    assert!((1_400..1_700).contains(&transferred), "{transferred} rows for 1,400 added ones");
}

#[test]
fn the_number_of_chunks_stays_bounded() {
    for count in [0, 1, 100, 1_000, 10_000, 100_000] {
        let chunks = split(&rows(count)).len();
        assert!(chunks <= 2 * 256, "{chunks} chunks of {count} rows");
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 64,
        rng_seed: RngSeed::Fixed(29),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn a_changed_added_or_removed_row_changes_at_most_two_chunks(
        count in 1_usize..5_000,
        position in any::<prop::sample::Index>(),
    ) {
        let old = rows(count);
        let position = position.index(count);
        let mut changed = old.clone();
        changed[position] = Row::Team { name: format!("team-{position:05}"), rate: 2.0, burst: 1.0 };
        prop_assert_eq!(count_new_chunks(&old, &changed), 1);
        let mut added = old.clone();
        let name = format!("team-{position:05}-and-a-half");
        added.insert(position, Row::Team { name, rate: 1.0, burst: 1.0 });
        // All chunks grow where the number of rows passes 256 times a power of two.
        if count.div_ceil(256).next_power_of_two() == (count + 1).div_ceil(256).next_power_of_two() {
            prop_assert!(count_new_chunks(&old, &added) <= 2);
            prop_assert!(count_new_chunks(&added, &old) <= 2);
        }
    }

    #[test]
    fn the_chunks_do_not_depend_on_the_order_of_the_rows(count in 1_usize..2_000) {
        let mut reversed = rows(count);
        reversed.reverse();
        prop_assert_eq!(split(&reversed), split(&rows(count)));
    }

    #[test]
    fn every_row_is_in_one_chunk_and_the_last_of_an_identity_wins(
        numbers in prop::collection::vec(0_usize..500, 0..1_000),
    ) {
        let given = numbers.iter().enumerate().map(|(rate, number)| Row::Team {
            name: format!("team-{number:05}"), rate: rate as f64, burst: 1.0,
        });
        let given: Vec<Row> = given.collect();
        let kept: Vec<Row> = split(&given).into_iter().flatten().collect();
        let identities: HashSet<String> = kept.iter().map(Row::identity).collect();
        prop_assert_eq!(identities.len(), kept.len());
        for row in &kept {
            let last = given.iter().rfind(|other| other.identity() == row.identity());
            prop_assert_eq!(Some(row), last);
        }
        let wanted: HashSet<String> = given.iter().map(Row::identity).collect();
        prop_assert_eq!(identities, wanted);
    }
}
