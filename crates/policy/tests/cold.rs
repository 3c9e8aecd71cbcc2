//! Guards against cold upstreams that get more requests from all hosts than they bear.

use std::collections::HashMap;

use damaskhatch_policy::limit::cold::{Listed, MAX_COLD, Table as Cold};
use damaskhatch_policy::limit::{Ask, COLD_SERIAL, Id, Pacer, Statement, Table, Verdict};
use damaskhatch_policy::prelude::*;
use proptest::prelude::*;

const UPSTREAM: Tag = Tag(7);
const TICK: Duration = Duration::from_millis(5);

fn listed(started_ms: u64, left_ms: u64, per_s: f64) -> Listed {
    let per_s = (per_s > 0.0).then_some(per_s);
    let (left, after_start) = (Duration::from_millis(left_ms), Duration::from_secs(3));
    Listed { upstream: UPSTREAM, started_ms, left, after_start, per_s }
}

/// Guards against an entry that makes an upstream cold again whenever the list is read.
#[test]
fn an_entry_counts_once() {
    let (mut cold, start) = (Cold::default(), Instant::now());
    assert_eq!(cold.observe([listed(1, 3_000, 39.0)], start).cold.len(), 1);
    let later = start + Duration::from_secs(2);
    assert!(cold.observe([listed(1, 3_000, 39.0)], later).cold.is_empty());
    assert_eq!(cold.rate(UPSTREAM, start + Duration::from_millis(2_999)), Some(39.0));
    assert_eq!(cold.rate(UPSTREAM, start + Duration::from_secs(3)), None);
}

/// Guards against an upstream that starts again, or becomes cold again, and is taken for warm.
#[test]
fn a_later_entry_begins_anew() {
    let (mut cold, start) = (Cold::default(), Instant::now());
    cold.observe([listed(1, 3_000, 39.0)], start);
    let warm = start + Duration::from_secs(5);
    cold.observe([listed(1, 0, 39.0)], warm);
    assert_eq!(cold.rate(UPSTREAM, warm), None);
    assert_eq!(cold.observe([listed(1, 3_000, 39.0)], warm).cold.len(), 1);
    assert_eq!(cold.rate(UPSTREAM, warm), Some(39.0));
    let restarted = warm + Duration::from_secs(1);
    cold.observe([listed(2, 0, 39.0)], restarted);
    assert_eq!(cold.rate(UPSTREAM, restarted + Duration::from_millis(2_999)), Some(39.0));
    assert_eq!(cold.rate(UPSTREAM, restarted + Duration::from_secs(3)), None);
}

/// Guards against an upstream that is throttled for hours, or without a rate.
#[test]
fn odd_entries_throttle_for_a_minute_at_most() {
    let (mut cold, start) = (Cold::default(), Instant::now());
    cold.observe([listed(1, u64::MAX, 39.0)], start);
    assert_eq!(cold.rate(UPSTREAM, start + MAX_COLD), None);
    assert!(cold.observe([listed(2, 3_000, 0.0)], start).cold.is_empty());
    assert_eq!(cold.rate(UPSTREAM, start), None);
    assert_eq!(cold.observe([], start).ended, [UPSTREAM]);
    assert_eq!(cold.cold(start).count(), 0);
}

/// Guards against a limit that a cold upstream names and that its warming rate hides, and the reverse.
#[test]
fn the_lower_of_both_limits_holds() {
    let (mut table, now) = (Table::default(), Instant::now());
    table.cold.observe([listed(1, 3_000, 39.0)], now);
    let cold = table.effective(UPSTREAM, 1, now).expect("a limit");
    assert_eq!((cold.serial, cold.per_s), (COLD_SERIAL, Some(39.0)));
    for (per_s, expected) in [(3.0, 3.0), (60.0, 39.0)] {
        let named = Statement {
            upstream: UPSTREAM,
            started_ms: 1,
            serial: per_s as u32,
            per_s: Some(per_s),
        };
        table.merge(&named, now);
        let limit = table.effective(UPSTREAM, 1, now).expect("a limit");
        assert_eq!(limit.per_s, Some(expected));
    }
    let warm = now + Duration::from_secs(3);
    assert_eq!(table.effective(UPSTREAM, 1, warm).and_then(|limit| limit.per_s), Some(60.0));
}

proptest! {
    /// Guards against asks of many hosts that are granted beyond the rate, a tick's worth and one request.
    #[test]
    fn many_hosts_together_keep_to_the_rate(
        per_s in 2.0_f64..60.0,
        asks in prop::collection::vec((0_u64..30, 0_u64..20, 0_u64..200), 50..300),
    ) {
        let start = Instant::now();
        let (mut pacer, mut now) = (Pacer::default(), start);
        let mut grants: Vec<Instant> = Vec::new();
        let mut serials: HashMap<u64, u64> = HashMap::new();
        let statement =
            Statement { upstream: UPSTREAM, started_ms: 1, serial: COLD_SERIAL, per_s: Some(per_s) };
        for (pause, host, patience) in asks {
            let until = now + Duration::from_millis(pause);
            while now < until {
                now += TICK;
                let answers = pacer.tick(|_| 1.0, now);
                let granted = answers.iter().filter(|(.., verdict)| *verdict == Verdict::Granted);
                grants.extend(granted.map(|_| now));
            }
            let serial = serials.entry(host).or_default();
            *serial += 1;
            let id = Id { host: Tag(host), incarnation: 1, serial: *serial };
            let patience = Duration::from_millis(patience);
            let ask = Ask { statement, team: Tag(1), priority: 1, patience };
            if pacer.ask(id, &ask, 1.0, now) == Verdict::Granted {
                grants.push(now);
            }
        }
        for (at, first) in grants.iter().enumerate() {
            let within = grants[at..].iter().take_while(|time| **time < *first + Duration::from_secs(1));
            prop_assert!(within.count() as f64 <= per_s * 1.02 + 1.0 + 1e-6);
        }
    }
}
