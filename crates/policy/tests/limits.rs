//! Rate limits of a team when they are lowered or when the deployment configures slack.

use damaskhatch_policy::prelude::*;
use damaskhatch_policy::quota::{Allowance, Charge, Decision, Holder, Limits, Verdict};

/// The team of all charges.
const TEAM: Tag = Tag(7);
/// The domain of the holder.
const DOMAIN: Tag = Tag(100);
/// The team's limits before they are lowered.
const LIMITS: Limits = Limits { rate: 1_000.0, burst: 2_000.0 };
/// The tolerance for rounding errors in sums, in tokens.
const EPSILON: f64 = 1e-3;

/// Guards against slack that admits more than the guaranteed bound, or nothing above the burst.
#[test]
fn slack_admits_more_than_the_burst_and_stays_within_the_bound_over_eight_seconds() {
    // In any 8 s, at most 1.1 times rate and burst may be admitted, plus the slack.
    const SLACK: f64 = 120_000.0;
    const WINDOW_S: f64 = 8.0;
    const STEP_MS: u64 = 20;
    let start = Instant::now();
    for (rate, burst, cost) in [(29_000.0, 29_000.0, 14_500.0), (300_000.0, 300_000.0, 9_000.0)] {
        let limits = Limits { rate, burst };
        let standing = Allowance { limits: limits.with_slack(SLACK), part: 1.0, since: None };
        let mut holder = Holder::new(DOMAIN, 1);
        let mut arrived: Vec<f64> = Vec::new();
        let mut at_once = 0;
        for step in 0..2_000_u64 {
            let now = start + Duration::from_millis(step * STEP_MS);
            for serial in 0..12 {
                let request = Request { host: Tag(1), incarnation: 1, serial: step * 12 + serial };
                let charge = Charge { request, team: TEAM, tokens: cost };
                let decisions = holder.charge(charge, standing, &[], now);
                if decisions.iter().any(|d| matches!(d, Decision::Answer(_, Verdict::Admitted))) {
                    // Admitted requests take up to 0.5 s to reach their upstream.
                    let waited = 0.5 * (1.0 - (step % 25) as f64 / 25.0);
                    arrived.push(step as f64 * STEP_MS as f64 / 1_000.0 + waited);
                    at_once += usize::from(step < 10);
                }
            }
        }
        assert!(at_once as f64 * cost > burst, "only {at_once} requests in the first 200 ms");
        arrived.sort_by(f64::total_cmp);
        let allowed = (rate * WINDOW_S + burst) * 1.1 + SLACK;
        for (index, from) in arrived.iter().enumerate() {
            let within = arrived[index..].iter().take_while(|at| **at <= from + WINDOW_S).count();
            let tokens = within as f64 * cost;
            assert!(tokens <= allowed, "{tokens} of {allowed} tokens from {from} s at {rate}/s");
        }
    }
}

/// Guards against a bucket that was filled under the old limit and outlasts the change.
#[test]
fn a_lowered_limit_applies_from_the_next_charge_even_if_the_bucket_was_full() {
    let lower = Limits { rate: LIMITS.rate / 10.0, burst: LIMITS.burst / 10.0 };
    let standing = |limits| Allowance { limits, part: 1.0, since: None };
    let start = Instant::now();
    let mut holder = Holder::new(DOMAIN, 1);
    let mut serial = 0;
    let mut charge = |tokens, limits, now| {
        serial += 1;
        let request = Request { host: Tag(1), incarnation: 1, serial };
        let charge = Charge { request, team: TEAM, tokens };
        let decisions = holder.charge(charge, standing(limits), &[], now);
        decisions.iter().any(|d| matches!(d, Decision::Answer(_, Verdict::Admitted)))
    };
    assert!(charge(10.0, LIMITS, start), "refused although the bucket is nearly full");
    let changed = start + Duration::from_secs(1);
    let mut admitted = 0.0;
    for step in 0..500_u32 {
        let now = changed + Duration::from_millis(10) * step;
        if charge(5.0, lower, now) {
            admitted += 5.0;
        }
        let allowed = lower.burst + lower.rate * 0.01 * f64::from(step);
        assert!(admitted <= allowed + EPSILON, "{admitted} of {allowed} after step {step}");
    }
    assert!(admitted > lower.rate * 4.0, "only {admitted} tokens admitted under the new limit");
}
