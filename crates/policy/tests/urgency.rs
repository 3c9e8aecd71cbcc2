//! The place of a priority among those of a service, and what follows from it for retries and returns.

use std::collections::BTreeSet;

use damaskhatch_policy::config::{Applied, Head, State};
use damaskhatch_policy::prelude::*;
use damaskhatch_policy::retry::{self, Budget};
use damaskhatch_policy::routing::{Repeat, Route, Target};
use damaskhatch_policy::sheet::{Kind, Row};
use damaskhatch_policy::{admission, urgency};

/// Guards against requests that are treated as less urgent although all have one priority.
#[test]
fn a_priority_alone_is_the_most_urgent() {
    for priority in [0, 3, 9] {
        assert!(urgency::place(&BTreeSet::from([3]), priority).abs() < f64::EPSILON);
        assert!(urgency::place(&BTreeSet::new(), priority).abs() < f64::EPSILON);
    }
}

/// Guards against places that leave the range from 0 to 1, or do not follow the priorities.
#[test]
fn priorities_are_placed_from_the_most_to_the_least_urgent() {
    let priorities = BTreeSet::from([1, 4, 7]);
    let place = |priority| urgency::place(&priorities, priority);
    let percents = [0, 1, 4, 7, 9].map(|priority| (place(priority) * 100.0) as u32);
    assert_eq!(percents, [0, 0, 50, 100, 100]);
}

/// Guards against the last retries of a service that less urgent requests take from urgent ones.
#[test]
fn the_last_retries_are_left_to_the_most_urgent() {
    let now = Instant::now();
    let mut budget = Budget::new(&retry::SERVICE, now);
    let mut spent = 0;
    while budget.spend_as(1.0, now) {
        spent += 1;
    }
    assert!(spent > 0, "the less urgent may retry, too");
    assert!(budget.spend_as(0.0, now), "{spent} retries left none");
}

/// Guards against returns of less urgent requests that coincide with those of the most urgent.
#[test]
fn less_urgent_requests_come_back_later() {
    for sample in [0.0, 0.5, 0.99] {
        let (urgent, other) =
            (admission::return_after(0.0, sample), admission::return_after(1.0, sample));
        assert!(other > urgent);
        let spread = admission::RETRY_AFTER_JITTER.mul_f64(sample);
        assert_eq!(urgent, admission::MIN_RETRY_AFTER + spread);
    }
}

/// Guards against priorities of an earlier revision, of other services or of routes without weight that
/// make requests differ.
#[test]
fn the_priorities_of_a_service_follow_its_routes_and_the_teams() {
    let service = |name: &str| Row::Service {
        name: name.to_owned(),
        kind: Kind::Plain,
        open: false,
        repeatable: false,
        warming: None,
    };
    let route = |prefix: &str, priority: u8, targets: &[(&str, f64)]| {
        let targets = targets.iter();
        Row::Route(Route {
            name: prefix.to_owned(),
            host: "app.example".to_owned(),
            prefix: prefix.to_owned(),
            repeat: Repeat::Once,
            time_limit: Duration::from_secs(2),
            target_latency: Duration::from_millis(300),
            priority,
            targets: targets
                .map(|(service, weight)| Target { service: (*service).to_owned(), weight: *weight })
                .collect(),
            max_attempts: 1,
            open: false,
            homes: Vec::new(),
        })
    };
    let team = |priority| {
        let (name, rate, burst) = ("t".to_owned(), 1.0, 1.0);
        let (team, plain_tokens, is_limited, homes) = (name.clone(), 1, false, Vec::new());
        let tariff = Row::Tariff { team, plain_tokens, is_limited, priority, homes };
        [Row::Team { name, rate, burst }, tariff]
    };
    let services = [service("a"), service("b"), service("idle")];
    let routes = [
        route("/one/", 2, &[("a", 1.0), ("b", 0.0)]),
        route("/two/", 5, &[("a", 1.0), ("b", 1.0)]),
    ];
    let mut state = State::default();
    let mut ranks = |revision, rows: Vec<Row>| {
        assert_eq!(state.apply(Head { revision, ..Head::default() }, rows), Applied::InForce);
        let snapshot = state.snapshot();
        ["a", "b", "idle"].map(|name| {
            let service = snapshot.service(Tag::of(name)).expect("the service is known");
            let differs = urgency::differs(&snapshot, service);
            let percents = [2, 5, 9].map(|p| (urgency::rank(&snapshot, service, p) * 100.0) as u32);
            (differs, percents)
        })
    };
    let same = (false, [0, 0, 0]);
    let rows = [&services[..], &routes, &team(None)].concat();
    assert_eq!(ranks(1, rows), [(true, [0, 100, 100]), same, same]);
    let rows = [&services[..], &routes, &team(Some(9))].concat();
    assert_eq!(ranks(2, rows), [(true, [0, 50, 100]), (true, [0, 0, 100]), same]);
    let rows = [&services[..], &routes[..1], &team(None)].concat();
    assert_eq!(ranks(3, rows), [same, same, same]);
}
