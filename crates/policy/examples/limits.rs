//! Compares ways in which hosts may share the limit that an upstream names.
//!
//! Callers ask for twice the limit, for 300 s, evenly at all hosts or all at one. Each request waits
//! for up to 135 ms. Printed are the part of the limit that is used, and the most requests in 4 s as
//! a fraction of what the limit allows in that time.

use damaskhatch_policy::limit::{Ask, Id, Pacer, Statement, Verdict};
use damaskhatch_policy::prelude::*;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

const TICK: Duration = Duration::from_millis(5);
const TIME: Duration = Duration::from_mins(5);
const WINDOW: Duration = Duration::from_secs(4);
const PATIENCE: Duration = Duration::from_millis(135);
/// The age of the demand that hosts know of each other.
const HEARTBEAT: Duration = Duration::from_millis(400);
/// What is left of [`PATIENCE`] after a round trip between two hosts.
const REMOTE_PATIENCE: Duration = Duration::from_millis(133);

/// How the limit is shared.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Way {
    /// Each host has an equal part.
    Equal,
    /// Each host has a part by its demand in the last second, as the others know it.
    Demand,
    /// One host grants the requests of all.
    Holder,
}

/// Plays one way and returns when requests were granted.
fn play(way: Way, hosts: usize, per_s: f64, is_skewed: bool) -> Vec<Instant> {
    let start = Instant::now();
    let mut rng = Pcg64Mcg::seed_from_u64(1);
    let mut pacers: Vec<Pacer> = (0..hosts).map(|_| Pacer::default()).collect();
    // The asks of each host in each heartbeat interval.
    let mut asked: Vec<Vec<f64>> = vec![vec![0.0; hosts]];
    let mut grants = Vec::new();
    let (mut now, mut serial) = (start, 0);
    while now < start + TIME {
        now += TICK;
        if (now - start).as_millis() / HEARTBEAT.as_millis() >= asked.len() as u128 {
            asked.push(vec![0.0; hosts]);
        }
        let known = &asked[asked.len().saturating_sub(4)..asked.len() - 1];
        let demand: Vec<f64> =
            (0..hosts).map(|host| known.iter().map(|counts| counts[host]).sum()).collect();
        let total: f64 = demand.iter().sum();
        let part = |host: usize| match way {
            Way::Demand if total > 0.0 => demand[host] / total,
            Way::Equal | Way::Demand => 1.0 / hosts as f64,
            Way::Holder => 1.0,
        };
        for (host, pacer) in pacers.iter_mut().enumerate() {
            let answers = pacer.tick(|_| part(host), now);
            let granted = answers.iter().filter(|(.., verdict)| *verdict == Verdict::Granted);
            grants.extend(granted.map(|_| now));
        }
        while (serial as f64) < 2.0 * per_s * (now - start).as_secs_f64() {
            serial += 1;
            let host = if is_skewed { 0 } else { rng.random_range(0..hosts) };
            asked.last_mut().expect("an interval")[host] += 1.0;
            let at = if way == Way::Holder { 0 } else { host };
            let id = Id { host: Tag(host as u64), incarnation: 1, serial };
            let statement =
                Statement { upstream: Tag(1), started_ms: 1, serial: 1, per_s: Some(per_s) };
            let patience = if at == host { PATIENCE } else { REMOTE_PATIENCE };
            let ask = Ask { statement, team: Tag(1), priority: 0, patience };
            if part(at) > 0.0 && pacers[at].ask(id, &ask, part(at), now) == Verdict::Granted {
                grants.push(now);
            }
        }
    }
    grants
}

fn main() {
    println!("way     hosts  callers  limit/s   used  most in 4 s");
    for hosts in [3, 10, 64] {
        for per_s in [2.5, 5.8, 20.0] {
            for (is_skewed, callers) in [(false, "even"), (true, "one")] {
                for way in [Way::Equal, Way::Demand, Way::Holder] {
                    let grants = play(way, hosts, per_s, is_skewed);
                    let most = grants.iter().enumerate().map(|(at, first)| {
                        grants[at..].iter().take_while(|time| **time < *first + WINDOW).count()
                    });
                    let most = most.max().unwrap_or(0) as f64 / (per_s * WINDOW.as_secs_f64());
                    let used = grants.len() as f64 / (per_s * TIME.as_secs_f64());
                    let way = format!("{way:?}");
                    println!("{way:7} {hosts:5}  {callers:7}  {per_s:7.1}  {used:5.2}  {most:5.2}");
                }
            }
        }
    }
}
