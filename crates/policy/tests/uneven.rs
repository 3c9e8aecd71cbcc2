//! Placement before upstreams that differ in speed and domains that differ in demand, beside the
//! placement that takes all upstreams for equally fast.
//!
//! Guards against slow upstreams that get as much work as fast ones, against odd statements, and against
//! a domain that refuses while its neighbours have room.

use std::collections::VecDeque;

use damaskhatch_policy::placement::{self, Load, Loads, Slowness};
use damaskhatch_policy::prelude::*;
use damaskhatch_policy::registry::{Entry, NO_VERSION};
use damaskhatch_policy::sheet::Role;
use damaskhatch_policy::speed::{self, Table};
use proptest::prelude::*;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;

/// The prompt tokens that a usual engine reads in a millisecond.
const TOKENS_PER_MS: f64 = 55.0;
/// The tokens of every prompt.
const PROMPT: u32 = 5_000;
/// The part of a first-token target that is left for the prefill, in milliseconds.
const TARGET_MS: f64 = 450.0;
/// The time between two exchanges of loads and samples between hosts, in milliseconds.
const EXCHANGE_MS: u64 = 400;
/// Hosts that choose independently.
const HOSTS: usize = 8;

fn engine(number: usize, domain: &str) -> Entry {
    let instance = format!("e-{number}");
    Entry {
        tag: Tag::of(&instance),
        instance,
        service: Tag::of("model"),
        address: "10.0.0.1:80".parse().expect("an address"),
        domain: Tag::of(domain),
        slots: 12,
        is_leaving: false,
        role: Some(Role::Prefill),
        started_ms: 1,
        software: NO_VERSION,
        cold_left: Duration::ZERO,
    }
}

/// What a host knows.
struct Host {
    own: Loads,
    told: Loads,
    speeds: Table,
}

/// Prefills at engines of these slownesses, which read one prompt after the other; returns the share of
/// the prompts that are read in time, after the first seconds.
fn share_in_time(
    slowness: impl Fn(usize, u64) -> f64,
    load: f64,
    is_aware: bool,
    states: bool,
) -> f64 {
    let engines: Vec<Entry> = (0..10).map(|number| engine(number, "a")).collect();
    let mut rng = Pcg64Mcg::seed_from_u64(3);
    let new_host = || Host { own: Loads::new(), told: Loads::new(), speeds: Table::default() };
    let mut hosts: Vec<Host> = (0..HOSTS).map(|_| new_host()).collect();
    // The prompts of each engine: the host, the time of arrival, the tokens ahead and the work left.
    let mut queues: Vec<VecDeque<(usize, u64, u32, f64)>> = vec![VecDeque::new(); engines.len()];
    let (start, mut in_time, mut all) = (Instant::now(), 0, 0);
    for ms in 0..40_000_u64 {
        let now = start + Duration::from_millis(ms);
        for (number, queue) in queues.iter_mut().enumerate() {
            let Some(first) = queue.front_mut() else { continue };
            first.3 -= TOKENS_PER_MS / slowness(number, ms);
            if first.3 > 0.0 {
                continue;
            }
            let Some((host, arrived, ahead, _)) = queue.pop_front() else { continue };
            let tag = engines[number].tag;
            let work = Load { prefill_tokens: PROMPT, ..Load::default() };
            let took = Duration::from_millis(ms - arrived + 1);
            if let Some(load) = hosts[host].own.get_mut(&tag) {
                load.remove(work);
            }
            let speeds = &mut hosts[host].speeds;
            if states {
                speeds.state(tag, 1, slowness(number, ms), now);
            } else {
                speeds.observe((tag, 1), f64::from(ahead + PROMPT), took, now);
            }
            if arrived > 15_000 {
                all += 1;
                in_time += usize::from(took.as_secs_f64() * 1_000.0 <= TARGET_MS);
            }
        }
        if ms % EXCHANGE_MS == 0 {
            let known: Vec<Loads> = hosts.iter().map(|host| host.own.clone()).collect();
            let told: Vec<_> = hosts.iter_mut().map(|host| host.speeds.take_untold(true)).collect();
            for (at, host) in hosts.iter_mut().enumerate() {
                host.told.clear();
                for other in (0..HOSTS).filter(|other| *other != at) {
                    for (tag, load) in &known[other] {
                        host.told.entry(*tag).or_default().add(*load);
                    }
                    told[other].iter().for_each(|notice| host.speeds.merge(notice, now));
                }
            }
        }
        // The capacity of ten usual engines, in prompts a millisecond.
        let capacity = 10.0 * TOKENS_PER_MS / f64::from(PROMPT);
        if rng.random::<f64>() >= load * capacity {
            continue;
        }
        let host = rng.random_range(0..HOSTS);
        let known = &hosts[host];
        let mut loads = known.own.clone();
        known.told.iter().for_each(|(tag, load)| loads.entry(*tag).or_default().add(*load));
        let factors = if is_aware {
            known.speeds.slowness(engines.iter().map(|engine| engine.tag), now)
        } else {
            Slowness::new()
        };
        let (candidates, domain) = (engines.iter(), Tag::of("a"));
        let known = (&loads, &factors);
        let ranked = placement::rank_prefill(candidates, known, PROMPT, domain, &mut rng);
        let chosen = ranked[0].tag;
        let number = engines.iter().position(|engine| engine.tag == chosen).expect("an engine");
        let ahead = loads.get(&chosen).map_or(0, |load| load.prefill_tokens);
        let work = Load { prefill_tokens: PROMPT, ..Load::default() };
        hosts[host].own.entry(chosen).or_default().add(work);
        queues[number].push_back((host, ms, ahead, f64::from(PROMPT)));
    }
    f64::from(in_time as u32) / f64::from(all.max(1) as u32)
}

/// Guards against engines at half the usual speed whose queues grow while others are idle.
#[test]
fn three_engines_in_ten_at_half_the_speed() {
    let slowness = |number: usize, _ms: u64| if number < 3 { 1.0 / 0.5 } else { 1.0 / 1.2 };
    let before = share_in_time(slowness, 0.7, false, false);
    let after = share_in_time(slowness, 0.7, true, false);
    assert!(after >= before + 0.05, "{after:.3} in time, {before:.3} without speeds");
}

/// Guards against statements that are believed for longer than they hold.
#[test]
fn a_slowness_that_is_stated_and_changes_every_600_ms() {
    let slowness = |number: usize, ms: u64| {
        let turn = (ms / 600).wrapping_mul(7).wrapping_add(number as u64 * 3) % 10;
        if turn < 2 { 2.5 } else { 1.0 }
    };
    let before = share_in_time(slowness, 0.6, false, true);
    let after = share_in_time(slowness, 0.6, true, true);
    assert!(after >= before - 0.01, "{after:.3} in time, {before:.3} without statements");
}

/// Guards against engines of one speed that are taken for different ones.
#[test]
fn engines_of_one_speed_are_served_as_before() {
    let before = share_in_time(|_, _| 1.0, 0.7, false, false);
    let after = share_in_time(|_, _| 1.0, 0.7, true, false);
    assert!((after - before).abs() <= 0.01, "{after:.3} in time, {before:.3} without speeds");
}

/// Guards against a domain whose upstreams are full while those of the next one are idle.
#[test]
fn a_full_domain_uses_its_neighbours_room() {
    let engines: Vec<Entry> = vec![engine(0, "a"), engine(1, "a"), engine(2, "b")];
    let full = Load { requests: 12, memory_tokens: 70_000, prefill_tokens: 60_000 };
    let loads: Loads = engines[..2].iter().map(|engine| (engine.tag, full)).collect();
    let usual = (&loads, &Slowness::new());
    let (mut rng, domain) = (Pcg64Mcg::seed_from_u64(1), Tag::of("a"));
    let mut firsts = [0; 2];
    for _ in 0..100 {
        let plain = placement::rank_plain(engines.iter(), usual, domain, &mut rng);
        let decode = placement::rank_decode(engines.iter(), &loads, domain, &mut rng);
        firsts[0] += usize::from(plain[0].domain == Tag::of("b"));
        firsts[1] += usize::from(decode[0].domain == Tag::of("b"));
    }
    // The better of two drawn from three is the idle one two times in three.
    assert!(firsts[0] >= 50, "{firsts:?}");
    assert_eq!(firsts[1], 100, "{firsts:?}");
}

/// Guards against a figure that says nothing and is believed.
#[test]
fn only_plausible_figures_are_parsed() {
    assert_eq!(speed::parse("100"), Some(1.0));
    assert_eq!(speed::parse(" 250"), Some(2.5));
    for odd in ["", "0", "-100", "1e3", "10001", "99999999999", "slow", "1.5", "+100", "NaN"] {
        assert_eq!(speed::parse(odd), None, "{odd}");
    }
}

/// Guards against a slowness of an earlier start, or of long ago, that is believed.
#[test]
fn a_statement_fades_and_ends_with_its_start() {
    let (mut table, now, tag) = (Table::default(), Instant::now(), Tag(1));
    table.state(tag, 1, 4.0, now);
    assert!(table.slowness([tag], now)[&tag] > 3.9);
    let later = now + Duration::from_secs(2);
    assert!(table.slowness([tag], later)[&tag] < 1.1);
    table.state(tag, 2, 1.0, now);
    assert!(table.slowness([tag], now).is_empty());
    table.state(tag, 1, 4.0, now);
    assert!(table.slowness([tag], now).is_empty(), "the earlier start does not count any more");
}

proptest! {
    /// Guards against statements and samples that make an upstream infinitely slow or fast.
    #[test]
    fn a_slowness_is_finite_and_bounded(
        told in prop::collection::vec((0_u64..4, any::<f32>(), any::<f32>(), any::<u16>()), 0..60),
    ) {
        let (mut table, now) = (Table::default(), Instant::now());
        for (upstream, stated, mean, samples) in told {
            let stated = (samples % 2 == 0).then_some(stated);
            let upstream = Tag(upstream);
            table.merge(&speed::Notice { upstream, started_ms: 1, stated, mean, samples }, now);
        }
        for slowness in table.slowness((0..4).map(Tag), now).values() {
            prop_assert!((0.25..=4.0).contains(slowness), "{slowness}");
        }
    }
}
