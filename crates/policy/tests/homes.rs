//! Guards against requests that leave the regions which their route and their team are bound to.

use damaskhatch_policy::homes::{Regions, allows};
use damaskhatch_policy::prelude::*;
use proptest::prelude::*;

fn names(names: &[&str]) -> Vec<String> {
    names.iter().map(|name| (*name).to_owned()).collect()
}

/// Guards against deployments without homes that are served differently than before.
#[test]
fn a_request_without_homes_may_go_anywhere() {
    for region in [None, Some("north"), Some("south")] {
        assert!(allows(&[], &[], region));
    }
}

/// Guards against one list that lifts the bounds of the other.
#[test]
fn the_homes_of_route_and_team_both_bind() {
    let (north, south, both) = (names(&["north"]), names(&["south"]), names(&["north", "south"]));
    assert!(allows(&both, &south, Some("south")));
    assert!(!allows(&both, &south, Some("north")));
    assert!(!allows(&north, &south, Some("north")));
    assert!(!allows(&north, &south, Some("south")));
    assert!(allows(&[], &south, Some("south")));
    assert!(!allows(&[], &south, Some("north")));
    assert!(!allows(&south, &[], Some("north")));
}

/// Guards against an upstream whose region nobody knows and that counts as at home.
#[test]
fn an_unknown_region_is_no_home() {
    let regions = Regions::new([("a", "north"), ("b", "south")]);
    assert_eq!(regions.of(Tag::of("a")), Some("north"));
    assert_eq!(regions.of(Tag::of("c")), None);
    assert!(!allows(&names(&["north"]), &[], regions.of(Tag::of("c"))));
    assert!(!allows(&[], &names(&["north"]), regions.of(Tag::of("c"))));
    assert!(!allows(&names(&[""]), &[], None));
}

proptest! {
    /// Guards against a region that is allowed and stands in only one of the two lists.
    #[test]
    fn an_allowed_region_is_a_home_of_both(
        route in prop::collection::vec("[a-c]", 0..3),
        team in prop::collection::vec("[a-c]", 0..3),
        region in prop::option::of("[a-d]"),
    ) {
        if allows(&route, &team, region.as_deref()) {
            for homes in [&route, &team] {
                let is_home = region.as_ref().is_some_and(|region| homes.contains(region));
                prop_assert!(homes.is_empty() || is_home);
            }
        }
    }
}
