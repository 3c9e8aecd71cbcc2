//! What a team may get when its limits change, and beyond them where a deployment allows it.

use damaskhatch_policy::prelude::*;
use damaskhatch_policy::quota::{Allowance, Charge, Decision, Holder, Limits, Verdict};

/// The team of all asks.
const TEAM: Tag = Tag(7);
/// The domain of the holder.
const DOMAIN: Tag = Tag(100);
/// Its limits, until they change.
const LIMITS: Limits = Limits { rate: 1_000.0, burst: 2_000.0 };
/// What sums may exceed their bounds by, for rounding, in tokens.
const EPSILON: f64 = 1e-3;

#[test]
fn slack_lets_bursts_pass_and_stays_within_what_the_bounds_allow() {
    // The bounds allow, in any 8 s, a tenth more than rate and burst and the slack itself.
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
                    // Requests wait up to half a second before they reach their upstream.
                    let waited = 0.5 * (1.0 - (step % 25) as f64 / 25.0);
                    arrived.push(step as f64 * STEP_MS as f64 / 1_000.0 + waited);
                    at_once += usize::from(step < 10);
                }
            }
        }
        assert!(at_once as f64 * cost > burst, "more than the burst at once: {at_once}");
        arrived.sort_by(f64::total_cmp);
        let allowed = (rate * WINDOW_S + burst) * 1.1 + SLACK;
        for (index, from) in arrived.iter().enumerate() {
            let within = arrived[index..].iter().take_while(|at| **at <= from + WINDOW_S).count();
            let tokens = within as f64 * cost;
            assert!(tokens <= allowed, "{tokens} of {allowed} tokens from {from} s at {rate}/s");
        }
    }
}

#[test]
fn a_lower_limit_binds_from_the_next_charge_on_however_full_the_bucket_was() {
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
    assert!(charge(10.0, LIMITS, start), "the bucket is there and nearly full");
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
    assert!(admitted > lower.rate * 4.0, "and what the team still has is served: {admitted}");
}
