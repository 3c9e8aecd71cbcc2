//! Parsing of sheets: a sheet is accepted completely or rejected with all faults by line.

use damaskhatch_policy::sheet::{self, Row};
use expect_test::{Expect, expect};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

fn check(text: &str, expected: &Expect) {
    let outcome: String = match sheet::parse(text.as_bytes()) {
        Ok(rows) => rows.iter().map(|row| row.identity() + "\n").collect(),
        Err(faults) => faults.iter().map(|fault| fault.to_string() + "\n").collect(),
    };
    expected.assert_eq(&outcome);
}

#[test]
fn semicolon_and_comma_separated_sheets_are_parsed() {
    check(
        "\u{feff}name;record;share\r\n\"bern-a\";domain;0,25\r\n;;\r\nolten-b;Domain;0,75\r\n",
        &expect![[r"
            domain bern-a
            domain olten-b
        "]],
    );
    check(
        "record,name,share\ndomain,bern-a,1.0\n",
        &expect![[r"
            domain bern-a
        "]],
    );
}

#[test]
fn all_faults_are_reported_with_their_lines() {
    check(
        "record;name;share;rate;burst;service;domain;kind;address\n\
         domain;bern-a;1\n\
         domain;bern-a;1\n\
         team;release;;fast;10\n\
         team;;;1;1\n\
         grant;release;;;;drafting\n\
         upstream;e1;;;;none;bern-a;prefill;nowhere\n\
         upstream;e2;;;;none;bern-a;gpu;1.2.3.4:5\n\
         teem;release\n",
        &expect![[r#"
            line 3: domain bern-a is already defined in line 2
            line 4: column "rate": "fast" is not a non-negative number
            line 5: column "name" is empty
            line 6: team release is not defined in the sheet
            line 6: service drafting is not defined in the sheet
            line 7: column "address": "nowhere" is not IP:PORT
            line 8: column "kind": "gpu" is not one of prefill, decode, both, plain
            line 9: column "record": "teem" is not one of domain, team, service, upstream, grant
        "#]],
    );
    check(
        "record;name;colour\n",
        &expect![[r#"
            line 1: unknown column "colour"; the columns are record, name, share, rate, burst, service, domain, kind, open, repeatable, address, fenced
        "#]],
    );
    check(
        "record;name;share\ndomain;bern-a;0,5\n",
        &expect![[r"
            line 2: the shares of all domains sum to 0.5, not to 1
        "]],
    );
}

#[test]
fn invalid_utf_8_is_reported_with_its_line() {
    let faults = sheet::parse(b"record;name\nteam;B\xe9la\n").expect_err("the file is Latin-1");
    assert_eq!(faults[0].line, 2);
}

fn config() -> ProptestConfig {
    ProptestConfig {
        cases: 2_000,
        rng_seed: RngSeed::Fixed(3),
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}

proptest! {
    #![proptest_config(config())]

    /// Guards against panics and against rows parsed from arbitrary bytes.
    #[test]
    fn arbitrary_bytes_yield_no_rows(bytes in prop::collection::vec(any::<u8>(), 0..400)) {
        let outcome = sheet::parse(&bytes);
        prop_assert!(outcome.is_ok_and(|rows| rows.is_empty()) || sheet::parse(&bytes).is_err());
    }

    /// Guards against a changed byte, such as a stray quote, that hides rows without a fault.
    #[test]
    fn a_sheet_with_a_changed_byte_is_rejected_or_keeps_all_rows(
        line in 1_usize..4,
        at in 0_usize..30,
        byte in any::<u8>(),
    ) {
        let valid = "record;name;share;rate;burst\ndomain;a;1;;\nteam;t;;5;6\nteam;u;;7;8\n";
        let mut lines: Vec<Vec<u8>> = valid.lines().map(|line| line.as_bytes().to_vec()).collect();
        let length = lines[line].len();
        lines[line][at % length] = byte;
        if let Ok(rows) = sheet::parse(&lines.join(&b'\n')) {
            let domains = rows.iter().filter(|row| matches!(row, Row::Domain { .. })).count();
            prop_assert!(domains == 1 && rows.len() >= 3, "{rows:?}");
        }
    }
}
