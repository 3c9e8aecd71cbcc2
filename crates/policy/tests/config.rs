//! Guards against a host that returns to an earlier revision, or undoes a withdrawal, when
//! revisions and withdrawals arrive late, repeated or out of order.

use damaskhatch_policy::config::{Access, Applied, Head, State};
use damaskhatch_policy::prelude::*;
use damaskhatch_policy::sheet::Row;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

fn head(revision: u64) -> Head {
    Head { revision, operation: format!("op-{revision}"), ..Head::default() }
}

/// The rows of a revision: four teams, numbered from `revision`, and a key of each.
fn rows(revision: u64) -> Vec<Row> {
    let teams = (revision..revision + 4).map(|n| format!("team-{n}"));
    let rows = teams.flat_map(|name| {
        let key = Row::Key { digest: format!("key-of-{name}"), team: name.clone() };
        [Row::Team { name, rate: 1.0, burst: 1.0 }, key]
    });
    rows.collect()
}

fn config() -> ProptestConfig {
    ProptestConfig {
        cases: 2_000,
        rng_seed: RngSeed::Fixed(8),
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}

proptest! {
    #![proptest_config(config())]

    #[test]
    fn revisions_never_fall_and_withdrawals_are_never_undone(
        events in prop::collection::vec((0_u64..12, any::<bool>()), 1..40),
    ) {
        let mut state = State::default();
        let mut highest = 0;
        let mut withdrawn = std::collections::HashSet::new();
        let mut indices = std::collections::HashMap::new();
        for (number, is_withdrawal) in events {
            if is_withdrawal {
                let digest = format!("key-of-team-{number}");
                prop_assert_eq!(state.withdraw(&digest), withdrawn.insert(digest));
            } else {
                let applied = state.apply(head(number), rows(number));
                prop_assert_eq!(applied == Applied::InForce, number > highest);
                highest = highest.max(number);
            }
            let snapshot = state.snapshot();
            prop_assert_eq!(snapshot.revision, highest);
            for digest in &withdrawn {
                prop_assert_eq!(snapshot.access(digest), Access::Withdrawn);
            }
            for (team, entry) in snapshot.teams.iter() {
                let first = indices.entry(entry.name.clone()).or_insert(team);
                prop_assert_eq!(*first, team, "a team keeps its index");
            }
            let saved = state.with_sheet(&[]);
            let kept = saved.iter().filter(|row| matches!(row, Row::Withdrawn { .. })).count();
            prop_assert_eq!(kept, withdrawn.len(), "a sheet keeps every withdrawal");
        }
    }

    #[test]
    fn rows_survive_being_split_into_chunks(count in 0_u64..60) {
        let all: Vec<Row> = (0..count).flat_map(|n| rows(n * 4)).collect();
        let mut split: Vec<Row> =
            damaskhatch_policy::config::split(&all).into_iter().flatten().collect();
        let mut all = all;
        all.sort_by_key(Row::identity);
        split.sort_by_key(Row::identity);
        prop_assert_eq!(split, all);
    }
}

#[test]
fn a_team_that_left_the_sheet_has_no_key_and_keeps_its_index() {
    let mut state = State::default();
    state.apply(head(1), rows(1));
    let team = state.snapshot().team(Tag::of("team-1"));
    state.apply(head(9), rows(9));
    let snapshot = state.snapshot();
    assert_eq!(snapshot.access("key-of-team-1"), Access::Unknown);
    assert_eq!(snapshot.team(Tag::of("team-1")), team);
}
