//! The place of a priority among those of a service, and what follows from it for retries and returns.

use std::collections::BTreeSet;

use damaskhatch_policy::prelude::*;
use damaskhatch_policy::retry::{self, Budget};
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
