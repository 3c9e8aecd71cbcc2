//! Benchmarks the cost of one decision: `cargo bench -p damaskhatch-policy`.

use std::hint::black_box;

use criterion::{BatchSize, BenchmarkId, Criterion, criterion_group, criterion_main};
use damaskhatch_policy::prelude::*;
use damaskhatch_policy::quota::{Allowance, Charge, Holder, Limits};
use damaskhatch_policy::schedule::message::{Demand, Release};
use damaskhatch_policy::schedule::{ADOPTION_TIME, Rules, Scheduler};
use damaskhatch_policy::sheet::Role;
use damaskhatch_policy::strike::{Crash, Ledger, MAX_FINGERPRINTS, Report, Strike};

/// Engines of the scheduler, half of them prefill and half decode.
const ENGINES: usize = 32;

fn new_demand(serial: u64, teams: u64) -> Demand {
    Demand {
        request: Request { host: Tag(1), incarnation: 1, serial },
        attempt: 0,
        service: Tag(1),
        team: Tag(serial % teams),
        weight: 1_000.0,
        prompt_tokens: 4_000,
        output_tokens: 200,
        blocks: (0..16).map(|block| block + (serial as u32 % 64) * 100).collect(),
        due_in: Duration::from_mins(10),
        patience: Duration::from_hours(1),
        suspect: None,
        avoid: Vec::new(),
        redirected: false,
    }
}

/// Creates a scheduler whose slots are all leased, with `queued` more requests in its queue.
fn full_scheduler(queued: u64, now: Instant) -> Scheduler {
    let mut scheduler = Scheduler::new(Rules::default(), now);
    let prefills = (0..ENGINES / 2).map(|index| (Tag(index as u64), Role::Prefill));
    let decodes = (0..ENGINES / 2).map(|index| (Tag(100 + index as u64), Role::Decode));
    let engines: Vec<(Tag, Role)> = prefills.chain(decodes).collect();
    scheduler.set_engines(&engines, now);
    for serial in 0..ENGINES as u64 / 2 * 20 + queued {
        scheduler.enqueue(new_demand(serial, 13), None, now);
    }
    scheduler.tick(now + ADOPTION_TIME);
    scheduler
}

fn bench_schedule(criterion: &mut Criterion) {
    let now = Instant::now();
    let mut group = criterion.benchmark_group("schedule");
    for queued in [100, 1_000, 10_000] {
        let scheduler = full_scheduler(queued, now);
        let later = now + ADOPTION_TIME;
        group.bench_with_input(BenchmarkId::new("enqueue", queued), &queued, |bench, _| {
            bench.iter_batched_ref(
                || scheduler.clone(),
                |scheduler| black_box(scheduler.enqueue(new_demand(1 << 40, 13), None, later)),
                BatchSize::LargeInput,
            );
        });
        let leased = scheduler.leased().next().expect("the slots are full");
        group.bench_with_input(BenchmarkId::new("release_and_grant", queued), &queued, |b, _| {
            b.iter_batched_ref(
                || scheduler.clone(),
                |scheduler| {
                    scheduler.release(Release { request: leased, failed: None }, later);
                    black_box(scheduler.tick(later))
                },
                BatchSize::LargeInput,
            );
        });
    }
    group.finish();
}

fn bench_quota(criterion: &mut Criterion) {
    let now = Instant::now();
    let limits = Limits { rate: 1e9, burst: 1e9 };
    let allowance = Allowance { limits, fraction: 1.0, since: None };
    let mut holder = Holder::new(Tag(1), 1);
    let mut serial = 0;
    criterion.bench_function("quota/charge_and_credit", |bench| {
        bench.iter(|| {
            serial += 1;
            let request = Request { host: Tag(1), incarnation: 1, serial };
            let charge = Charge { request, team: Tag(serial % 13_000), tokens: 100.0 };
            black_box(holder.charge(charge, allowance, &[], now));
            holder.credit(request, 50.0, allowance, now);
        });
    });
}

/// A full ledger: requests with one strike, and one that crashed two upstreams.
fn full_ledger(culprit: Tag, now: Instant) -> Ledger {
    let mut ledger = Ledger::default();
    let strike = |fingerprint, upstream| Strike {
        fingerprint,
        crash: Crash { upstream: Tag(upstream), started_ms: 1, name: "i-7f3a91c2".to_owned() },
        ran_for: Duration::from_millis(20),
    };
    let mut record = |strike, age| {
        ledger.record(&Report { strike, age, is_cleared: false }, now);
    };
    for serial in 1..MAX_FINGERPRINTS as u64 {
        let age = Duration::from_secs(60 + serial);
        record(strike(Tag(1 << 20 | serial), serial / 12), age);
    }
    record(strike(culprit, 1), Duration::from_secs(50));
    record(strike(culprit, 2), Duration::from_secs(40));
    ledger
}

fn bench_strikes(criterion: &mut Criterion) {
    let now = Instant::now();
    let (culprit, struck) = (Tag(1), Tag(1 << 20 | 5));
    let ledger = full_ledger(culprit, now);
    let mut group = criterion.benchmark_group("strikes");
    for (name, fingerprint) in [("check_unknown", Tag(2)), ("check_struck", struck)] {
        group.bench_function(name, |bench| {
            bench.iter(|| black_box(ledger.refused_for(fingerprint, now)));
        });
    }
    group.bench_function("check_culprit", |bench| {
        bench.iter(|| black_box(ledger.refused_for(culprit, now)));
    });
    group.bench_function("publish", |bench| {
        bench.iter(|| black_box((ledger.clone(), ledger.culprits().count())));
    });
    group.finish();
}

criterion_group!(benches, bench_schedule, bench_quota, bench_strikes);
criterion_main!(benches);
