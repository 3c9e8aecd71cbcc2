//! The decisions for routed requests: routing, attempts, retry budgets, configuration age,
//! length forecasts, engine roles, placement and outlier detection.

use damaskhatch_policy::attempt::{History, Outcome};
use damaskhatch_policy::error;
use damaskhatch_policy::freshness::{BootTime, Freshness};
use damaskhatch_policy::length::Forecast;
use damaskhatch_policy::outlier::Outliers;
use damaskhatch_policy::placement::{self, Load};
use damaskhatch_policy::prelude::*;
use damaskhatch_policy::registry::{Entry, NO_VERSION};
use damaskhatch_policy::retry::{self, Budget};
use damaskhatch_policy::routing::{Repeat, Route, Table, Target};
use damaskhatch_policy::sheet::Role;
use damaskhatch_policy::stages::{self, Debounce};
use proptest::prelude::*;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;

fn route(name: &str, prefix: &str) -> Route {
    Route {
        name: name.to_owned(),
        host: "a.example".to_owned(),
        prefix: prefix.to_owned(),
        repeat: Repeat::Once,
        time_limit: Duration::from_secs(4),
        target_latency: Duration::from_millis(300),
        priority: 1,
        targets: vec![Target { service: "s".to_owned(), weight: 1.0 }],
        max_attempts: 1,
        open: false,
        homes: Vec::new(),
    }
}

#[test]
fn the_longest_matching_prefix_of_the_host_wins() {
    let mut table = Table::default();
    for (name, prefix) in [("short", "/a/"), ("long", "/a/b/"), ("root", "/")] {
        table.insert(&route(name, prefix));
    }
    let found = |host: &str, path: &str| table.find(host, path).map(|route| route.name.as_str());
    assert_eq!(found("a.example", "/a/b/c"), Some("long"));
    assert_eq!(found("a.example", "/a/b"), Some("short"));
    assert_eq!(found("a.example", "/a/bc/d"), Some("short"));
    assert_eq!(found("a.example", "/x"), Some("root"));
    assert_eq!(found("b.example", "/a/b/c"), None);
}

#[test]
fn targets_are_chosen_in_proportion_to_their_weights() {
    let mut split = route("split", "/");
    split.targets = vec![
        Target { service: "most".to_owned(), weight: 90.0 },
        Target { service: "few".to_owned(), weight: 10.0 },
        Target { service: "none".to_owned(), weight: 0.0 },
    ];
    let drawn: Vec<&str> =
        (0..100).filter_map(|n| split.choose_service(f64::from(n) / 100.0)).collect();
    assert_eq!(drawn.iter().filter(|service| **service == "most").count(), 90);
    assert_eq!(drawn.iter().filter(|service| **service == "few").count(), 10);
}

fn outcomes() -> impl Strategy<Value = Vec<Outcome>> {
    let one = prop_oneof![Just(Outcome::NotRun), Just(Outcome::Ran), Just(Outcome::Unknown)];
    prop::collection::vec(one, 1..8)
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 500,
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// Guards against running a request twice that may run once, and against reporting
    /// to a caller that a request did not run although it may have.
    #[test]
    fn a_request_that_may_have_run_is_neither_retried_nor_reported_as_not_run(
        outcomes in outcomes(),
        max_attempts in 1_u32..4,
    ) {
        let mut history = History::default();
        let mut ran = false;
        for outcome in outcomes {
            history.record(outcome);
            ran |= outcome != Outcome::NotRun;
            for repeat in [Repeat::Once, Repeat::Stream] {
                prop_assert!(!(ran && history.may_retry(repeat, max_attempts)));
            }
            for is_late in [false, true] {
                let answer = history.failure_kind(is_late).answer();
                let promises_not_run = matches!(answer.status, 408 | 421 | 429 | 503);
                prop_assert!(!(ran && promises_not_run));
                prop_assert_eq!(answer.outcome == error::Outcome::Unknown, ran);
            }
        }
    }

    /// Guards against withdrawn keys that stay accepted because delays in the reads make the
    /// configuration seem newer than it is.
    #[test]
    fn the_age_of_the_configuration_is_never_understated(
        reads in prop::collection::vec(
            (0_u64..5_000, 0_u64..3_000, 0_u64..4_000, any::<bool>()),
            1..20,
        ),
        checked_at in 0_u64..20_000,
    ) {
        // Each read: its start, its duration, the peer's age, and whether it was sent to a peer.
        let mut freshness = Freshness::default();
        let mut latest = None;
        for (began, took, age, is_peer) in reads {
            let at = |ms: u64| BootTime(Duration::from_millis(10_000 + ms));
            // The reply was sent halfway between sending the query and receiving the reply.
            let replied = began + took / 2;
            let known_at = if is_peer {
                freshness.confirm_from_peer(at(began), Duration::from_millis(age));
                10_000 + replied - age
            } else {
                freshness.confirm(at(began));
                10_000 + replied
            };
            latest = latest.max(Some(known_at));
        }
        let now = BootTime(Duration::from_millis(20_000 + checked_at));
        let actual =
            Duration::from_millis(20_000 + checked_at - latest.expect("at least one read"));
        prop_assert!(freshness.age(now).expect("at least one read") >= actual);
    }

    /// Guards against retry budgets that exceed the fleet's guarantee: in any 10 s, retries are
    /// at most a fifth of the first attempts, plus what the hosts have accumulated.
    #[test]
    fn retries_stay_within_a_fifth_of_first_attempts_over_ten_seconds(seed in any::<u64>()) {
        const HOSTS: usize = 6;
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let start = Instant::now();
        let mut budgets: Vec<Budget> =
            (0..HOSTS).map(|_| Budget::new(&retry::SERVICE, start)).collect();
        let (mut firsts, mut retries) = (Vec::new(), Vec::new());
        for ms in (0..40_000).step_by(20) {
            let now = start + Duration::from_millis(ms);
            let host = rng.random_range(0..HOSTS);
            if rng.random_bool(0.5) {
                budgets[host].earn();
                firsts.push(ms);
            }
            // Every attempt fails and is retried if the budget allows.
            for budget in &mut budgets {
                if budget.spend(now) {
                    retries.push(ms);
                }
            }
        }
        for from in (0..40_000).step_by(500) {
            let within =
                |all: &[u64]| all.iter().filter(|ms| (from..from + 10_000).contains(*ms)).count();
            let allowed = 0.2 * within(&firsts) as f64 + 52.0;
            prop_assert!(within(&retries) as f64 <= allowed, "from {from} ms");
        }
    }
}

#[test]
fn keys_are_rejected_when_the_configuration_is_too_old() {
    let limit = Duration::from_millis(4_500);
    let at = |ms: u64| BootTime(Duration::from_millis(ms));
    let mut freshness = Freshness::default();
    assert!(!freshness.is_fresh(at(0), limit), "fresh before the first confirmation");
    freshness.confirm(at(1_000));
    assert!(freshness.is_fresh(at(5_499), limit));
    assert!(!freshness.is_fresh(at(5_500), limit));
    // The late response to an older read does not lower the confirmed time.
    freshness.confirm(at(500));
    assert!(freshness.is_fresh(at(5_499), limit));
}

/// Lengths and estimates with a log-normal spread of a factor of 1.65; lengths are capped at
/// the maximum.
fn responses(seed: u64, count: usize) -> Vec<(u32, u32)> {
    const MAX_OUTPUT: f64 = 9_360.0;
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let mut normal = || {
        // The sum of twelve uniform samples from [0, 1) has mean 6 and variance 1.
        (0..12).map(|_| rng.random::<f64>()).sum::<f64>() - 6.0
    };
    (0..count)
        .map(|_| {
            let actual = (4_500.0 * (0.5 * normal()).exp()).min(MAX_OUTPUT);
            let hint = actual * (0.5 * normal()).exp();
            (actual as u32, hint as u32)
        })
        .collect()
}

/// Guards against forecasts that are exceeded too often or reserve nearly the maximum when
/// requests name a maximum far above their actual length.
#[test]
fn forecasts_hold_for_streams_that_name_a_maximum_far_above_their_length() {
    let mut forecast = Forecast::default();
    for (actual, hint) in responses(1, 400) {
        forecast.observe(9_360, Some(hint), actual);
    }
    let tested = responses(2, 2_000);
    let bounds: Vec<u32> =
        tested.iter().map(|(_, hint)| forecast.bound(9_360, Some(*hint), 0.85)).collect();
    let within = tested.iter().zip(&bounds).filter(|((actual, _), bound)| actual <= bound).count();
    let within = within as f64 / tested.len() as f64;
    // A normal distribution has 80 percent of its mass below 0.85 standard deviations.
    assert!((0.76..0.88).contains(&within), "{within} of the streams stayed within their bound");
    let mean = bounds.iter().map(|bound| f64::from(*bound)).sum::<f64>() / bounds.len() as f64;
    assert!(mean < 0.75 * 9_360.0, "the mean bound is {mean} of at most 9360 tokens");
}

#[test]
fn a_forecast_never_exceeds_the_maximum_and_needs_no_estimate() {
    let forecast = Forecast::default();
    assert_eq!(forecast.bound(1_000, Some(1_000_000), 3.0), 1_000);
    assert!((400..1_000).contains(&forecast.bound(1_000, None, 0.85)));
    assert_eq!(forecast.bound(0, Some(5), 0.85), 0);
}

fn engine(name: &str, domain: &str, role: Role) -> Entry {
    Entry {
        instance: name.to_owned(),
        tag: Tag::of(name),
        service: Tag::of("model"),
        address: "127.0.0.1:1".parse().expect("an address"),
        domain: Tag::of(domain),
        slots: 12,
        is_leaving: false,
        role: Some(role),
        started_ms: 0,
        software: NO_VERSION,
        cold_left: Duration::ZERO,
    }
}

fn engines(prefill: usize, decode: usize) -> Vec<Entry> {
    let prefill = (0..prefill).map(|n| engine(&format!("p{n}"), "a", Role::Prefill));
    let decode = (0..decode).map(|n| engine(&format!("d{n}"), "b", Role::Decode));
    prefill.chain(decode).collect()
}

#[test]
fn roles_change_towards_the_target_proportion_and_never_lose_their_last_engine() {
    let change = |prefill, decode| {
        let engines = engines(prefill, decode);
        stages::next_change(engines.iter(), 0.25).map(|change| change.role)
    };
    assert_eq!(change(3, 5), Some(Role::Decode));
    assert_eq!(change(2, 6), None);
    assert_eq!(change(1, 7), Some(Role::Prefill));
    assert_eq!(change(0, 8), Some(Role::Prefill));
    assert_eq!(change(8, 0), Some(Role::Decode));
    assert_eq!(change(1, 1), None);
    assert_eq!(change(0, 1), None);
    assert_eq!(change(1, 0), None);
}

/// Guards against role changes in response to an engine that restarts within seconds.
#[test]
fn a_brief_crash_changes_no_roles() {
    let mut debounce = Debounce::default();
    let start = Instant::now();
    let at = |ms| start + Duration::from_millis(ms);
    assert!(!debounce.is_due(true, at(0)));
    assert!(debounce.is_due(true, at(500)), "the first change, before any traffic, is delayed");
    debounce.record_change(at(500));
    for ms in (13_000..18_000).step_by(250) {
        assert!(!debounce.is_due(true, at(ms)), "changed after an absence of five seconds or less");
    }
    assert!(!debounce.is_due(false, at(18_000)));
    for ms in (18_250..26_000).step_by(250) {
        assert!(!debounce.is_due(true, at(ms)));
    }
    assert!(debounce.is_due(true, at(26_250)), "no change although the engine stays absent");
}

/// Guards against conflicting orders when another host claims the right to order role changes:
/// the earlier host's last order and the later host's first are at least 3 s apart.
#[test]
fn successive_claims_to_order_roles_are_three_seconds_apart() {
    let apart = stages::CLAIM_WAIT.saturating_sub(stages::CONFIRMED_FOR);
    assert!(apart >= Duration::from_secs(3));
}

#[test]
fn decode_engines_are_ranked_by_load_and_then_by_domain() {
    let engines = [
        engine("full", "a", Role::Decode),
        engine("far", "b", Role::Decode),
        engine("near", "a", Role::Decode),
    ];
    let busy = Load { requests: 5, memory_tokens: 60_000, prefill_tokens: 0 };
    let loads = [(Tag::of("full"), busy)].into_iter().collect();
    let mut rng = Pcg64Mcg::seed_from_u64(1);
    let ranked = placement::rank_decode(engines.iter(), &loads, Tag::of("a"), &mut rng);
    let names: Vec<&str> = ranked.iter().map(|entry| entry.instance.as_str()).collect();
    assert_eq!(names, ["near", "far", "full"]);
}

#[test]
fn reservations_are_not_requested_from_engines_that_seem_full_unless_all_do() {
    let ranked = [
        engine("room", "a", Role::Decode),
        engine("full", "a", Role::Decode),
        engine("fuller", "a", Role::Decode),
    ];
    let load = |memory_tokens| Load { requests: 1, memory_tokens, prefill_tokens: 0 };
    let loads = [(Tag::of("full"), load(75_000)), (Tag::of("fuller"), load(79_000))];
    let mut loads: placement::Loads = loads.into_iter().collect();
    assert_eq!(placement::reservation_fanout(&ranked, &loads, 9_000, 80_000, 3), 1);
    assert_eq!(placement::reservation_fanout(&ranked, &loads, 1_000, 80_000, 3), 3);
    loads.insert(Tag::of("room"), load(80_000));
    // Load reports are delayed, so a reservation is requested even if all seem full.
    assert_eq!(placement::reservation_fanout(&ranked, &loads, 9_000, 80_000, 3), 1);
}

#[test]
fn a_failing_upstream_is_ejected_for_longer_each_time_until_it_succeeds() {
    let mut outliers = Outliers::default();
    let upstream = Tag::of("grey");
    let start = Instant::now();
    let at = |ms| start + Duration::from_millis(ms);
    outliers.record_failure(upstream, at(0));
    assert!(outliers.is_ejected(upstream, at(499)));
    assert!(!outliers.is_ejected(upstream, at(500)));
    outliers.record_failure(upstream, at(500));
    assert!(outliers.is_ejected(upstream, at(1_499)));
    outliers.record_success(upstream);
    assert!(!outliers.is_ejected(upstream, at(1_400)));
}

/// Guards against a surge at the least loaded upstream when many hosts act on the same report.
#[test]
fn hosts_with_the_same_delayed_reports_do_not_all_choose_one_upstream() {
    let names: Vec<String> = (0..5).map(|n| format!("u{n}")).collect();
    let upstreams: Vec<_> = names.iter().map(|name| engine(name, "a", Role::Prefill)).collect();
    let load = |n: u32| Load { requests: 10 * n, memory_tokens: 0, prefill_tokens: 9_000 * n };
    let loads: placement::Loads = (0..5).map(|n| (upstreams[n as usize].tag, load(n))).collect();
    let mut rng = Pcg64Mcg::seed_from_u64(1);
    let usual = placement::Slowness::new();
    let mut chosen = [0_u32; 5];
    for host in 0..1_000 {
        let candidates = upstreams.iter();
        let ranked = if host % 2 == 0 {
            placement::rank_plain(candidates, (&loads, &usual), Tag::of("b"), &mut rng)
        } else {
            placement::rank_prefill(candidates, (&loads, &usual), 5_000, Tag::of("b"), &mut rng)
        };
        assert_eq!(ranked.len(), 5, "upstreams to fall back on are missing");
        let first = upstreams.iter().position(|upstream| upstream.tag == ranked[0].tag);
        chosen[first.expect("it is one of the upstreams")] += 1;
    }
    // The better of two drawn at random: the least loaded upstream gets two fifths.
    assert!(chosen[0] < 450, "too many chose the least loaded upstream: {chosen:?}");
    assert!(chosen.is_sorted_by(|one, next| one > next), "not in order of load: {chosen:?}");
    assert_eq!(chosen[4], 0, "the most loaded upstream is never the better of two");
}

/// Guards against a software version that has no prefill engine for as long as it serves beside
/// another, because both were counted together.
#[test]
fn each_software_version_is_a_pool_of_its_own() {
    // Two prefill engines and two decode engines of the first version, five of the second.
    let mut engines: Vec<Entry> = engines(2, 7);
    for (index, engine) in engines.iter_mut().enumerate() {
        engine.software = Tag(if index < 4 { 1 } else { 2 });
    }
    let pools = stages::pools(engines.iter());
    let change = |version| stages::next_change(pools[&Tag(version)].iter().copied(), 0.25);
    assert_eq!(pools.len(), 2);
    assert_eq!(change(1).map(|change| change.role), Some(Role::Decode));
    assert_eq!(change(2).map(|change| change.role), Some(Role::Prefill));
    engines.truncate(6);
    assert_eq!(stages::pools(engines.iter()).len(), 1, "two engines are too few");
}

/// Guards against roles that are changed while the engines of a new version are still starting.
#[test]
fn the_first_change_of_a_later_pool_waits_as_long_as_others() {
    let start = Instant::now();
    let mut debounce = Debounce::growing();
    assert!(!debounce.is_due(true, start));
    assert!(!debounce.is_due(true, start + Duration::from_secs(7)));
    assert!(debounce.is_due(true, start + Duration::from_secs(8)));
}
