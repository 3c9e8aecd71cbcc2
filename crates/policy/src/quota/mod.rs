//! A team's rate limit over all hosts: one token bucket per domain, with loans between them.
//!
//! No message can create tokens. A holder deducts tokens before it sends them, so a lost
//! message only loses tokens; every transfer has an id and is applied once. The proof
//! is in [docs/DESIGN.md](../../../../docs/DESIGN.md#rates).

use std::collections::HashMap;

use crate::bucket::Bucket;
pub mod message;

use crate::prelude::*;
pub use message::{Allowance, Charge, Decision, Limits, Loan, Purpose, Verdict};

/// How long a charge may wait for loans, and how long after the charge an admission is usable.
pub const ADMISSION_TTL: Duration = Duration::from_millis(200);
/// How long to wait for one lender before the next one is asked.
pub const LOAN_TIMEOUT: Duration = Duration::from_millis(40);
/// How long answers and loans are kept, so that a repeated message gets the same answer.
const ANSWER_TTL: Duration = Duration::from_secs(2);
/// How long a received loan is remembered, so that a duplicate is not repaid as unwanted.
///
/// It exceeds [`ANSWER_TTL`], after which the lender accepts no repayment.
const RECEIVED_TTL: Duration = Duration::from_secs(15);
/// How long unused tokens of a charge can be credited.
const CHARGE_TTL: Duration = Duration::from_mins(15);
/// The part of its cap below which a bucket requests a loan that no charge needs yet.
///
/// The other buckets are full until they lend, and a full bucket earns nothing. All buckets
/// together lose at most the part above this mark in that way.
const LOW_WATERMARK: f64 = 0.9;
/// The least time between two rebalancing loans for one team.
const REBALANCE_INTERVAL: Duration = Duration::from_millis(50);
/// The rounding error allowed in a sum of loans, in tokens.
const ROUNDING_TOKENS: f64 = 1e-6;
/// The least retry-after time of a refusal.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(50);

/// A loan that was received for a pending charge.
#[derive(Debug, Clone, Copy)]
struct Source {
    lender: Tag,
    loan: Loan,
    tokens: f64,
}

/// A charge that waits for loans.
#[derive(Debug, Clone)]
struct Pending {
    charge: Charge,
    limits: Limits,
    /// Tokens deducted from the holder's own bucket.
    own_tokens: f64,
    sources: Vec<Source>,
    /// Domains that have not been asked yet.
    lenders: Vec<Tag>,
    /// The loan last requested, until it arrives or times out.
    requested: Option<(Tag, Loan)>,
    requested_at: Instant,
    started: Instant,
}

impl Pending {
    fn collected(&self) -> f64 {
        self.own_tokens + self.sources.iter().map(|source| source.tokens).sum::<f64>()
    }

    fn missing(&self) -> f64 {
        (self.charge.tokens - self.collected()).max(0.0)
    }
}

#[derive(Debug, Clone, Copy)]
struct Timestamped<T> {
    value: T,
    at: Instant,
}

/// The buckets of all teams whose slots one host holds.
#[derive(Debug, Clone)]
pub struct Holder {
    host: Tag,
    incarnation: u64,
    serial: u64,
    buckets: HashMap<Tag, Bucket>,
    pending: HashMap<Request, Pending>,
    answers: HashMap<Request, Timestamped<Verdict>>,
    charges: HashMap<Request, Timestamped<Charge>>,
    lent: HashMap<Loan, Timestamped<f64>>,
    received: HashMap<Loan, Instant>,
    /// The last rebalancing loan of each team; its value is `None` once the loan arrived.
    rebalancing: HashMap<Tag, Timestamped<Option<(Tag, Loan)>>>,
}

impl Holder {
    /// Creates a holder without buckets.
    pub fn new(host: Tag, incarnation: u64) -> Self {
        Self {
            host,
            incarnation,
            serial: 0,
            buckets: HashMap::new(),
            pending: HashMap::new(),
            answers: HashMap::new(),
            charges: HashMap::new(),
            lent: HashMap::new(),
            received: HashMap::new(),
            rebalancing: HashMap::new(),
        }
    }

    /// Charges a request, once even if the charge is repeated.
    ///
    /// `lenders` are the other domains, the one expected to have the most tokens first.
    pub fn charge(
        &mut self,
        charge: Charge,
        allowance: Allowance,
        lenders: &[Tag],
        now: Instant,
    ) -> Vec<Decision> {
        if let Some(known) = self.answers.get(&charge.request) {
            return vec![Decision::Answer(charge, known.value)];
        }
        if self.pending.contains_key(&charge.request) {
            return Vec::new();
        }
        if charge.tokens > allowance.limits.terms(1.0).cap {
            return vec![self.answer(charge, Verdict::OverBurst, now)];
        }
        let bucket = self.bucket(charge.team, allowance, now);
        if bucket.try_take(charge.tokens) {
            let mut decisions = vec![self.answer(charge, Verdict::Admitted, now)];
            decisions.extend(self.rebalance(charge.team, lenders, now));
            return decisions;
        }
        let own_tokens = bucket.take_up_to(charge.tokens);
        let pending = Pending {
            charge,
            limits: allowance.limits,
            own_tokens,
            sources: Vec::new(),
            lenders: lenders.to_vec(),
            requested: None,
            requested_at: now,
            started: now,
        };
        self.advance(pending, now)
    }

    /// Adds a loan to the charge or the bucket it was requested for, or repays it if neither
    /// waits for it any more.
    pub fn receive_loan(
        &mut self,
        lender: Tag,
        loan: Loan,
        team: Tag,
        tokens: f64,
        now: Instant,
    ) -> Vec<Decision> {
        if self.received.insert(loan, now).is_some() {
            return Vec::new();
        }
        let waiting = self.pending.values().find(|p| p.requested == Some((lender, loan)));
        if let Some(request) = waiting.map(|pending| pending.charge.request) {
            let mut pending = self.pending.remove(&request).expect("the request is pending");
            pending.requested = None;
            pending.sources.push(Source { lender, loan, tokens });
            return self.advance(pending, now);
        }
        let rebalancing =
            self.rebalancing.get_mut(&team).filter(|r| r.value == Some((lender, loan)));
        if let Some(rebalancing) = rebalancing {
            rebalancing.value = None;
            if let Some(bucket) = self.buckets.get_mut(&team) {
                bucket.deposit(tokens);
                return Vec::new();
            }
        }
        repay(Source { lender, loan, tokens }, team, tokens).into_iter().collect()
    }

    /// Lends to another domain and returns the tokens lent; a repeated call returns the same.
    pub fn lend(
        &mut self,
        loan: Loan,
        team: Tag,
        tokens: f64,
        purpose: Purpose,
        allowance: Allowance,
        now: Instant,
    ) -> f64 {
        if let Some(known) = self.lent.get(&loan) {
            return known.value;
        }
        let bucket = self.bucket(team, allowance, now);
        let spare = match purpose {
            Purpose::Charge => bucket.level(),
            Purpose::Rebalance { level, cap } => surplus(bucket, level, cap),
        };
        let value = bucket.take_up_to(tokens.min(spare));
        self.lent.insert(loan, Timestamped { value, at: now });
        value
    }

    /// Returns a repaid loan to the bucket, once and at most what was lent.
    pub fn accept_repayment(&mut self, loan: Loan, team: Tag, tokens: f64) {
        let Some(lent) = self.lent.get_mut(&loan) else {
            return;
        };
        let back = lent.value.min(tokens).max(0.0);
        // A second repayment returns nothing, and a repeated request still gets an answer.
        lent.value = 0.0;
        if let Some(bucket) = self.buckets.get_mut(&team) {
            bucket.deposit(back);
        }
    }

    /// The team that was charged for a request; `None` once it can no longer be credited.
    pub fn charged_team(&self, request: Request) -> Option<Tag> {
        self.charges.get(&request).map(|charged| charged.value.team)
    }

    /// Credits the tokens that a request did not use, once and at most what it was charged.
    pub fn credit(&mut self, request: Request, tokens: f64, allowance: Allowance, now: Instant) {
        let Some(charged) = self.charges.remove(&request) else {
            return;
        };
        let back = tokens.clamp(0.0, charged.value.tokens);
        self.bucket(charged.value.team, allowance, now).deposit(back);
    }

    /// Asks the next lender where one did not answer in time, and drops expired records.
    pub fn tick(&mut self, now: Instant) -> Vec<Decision> {
        let has_timed_out =
            |p: &Pending| now.saturating_duration_since(p.requested_at) >= LOAN_TIMEOUT;
        let due: Vec<Request> =
            self.pending.values().filter(|p| has_timed_out(p)).map(|p| p.charge.request).collect();
        let mut decisions = Vec::new();
        for request in due {
            let mut pending = self.pending.remove(&request).expect("the request is pending");
            pending.requested = None;
            decisions.extend(self.advance(pending, now));
        }
        self.answers.retain(|_, record| is_fresh(record.at, ANSWER_TTL, now));
        self.lent.retain(|_, record| is_fresh(record.at, ANSWER_TTL, now));
        self.received.retain(|_, at| is_fresh(*at, RECEIVED_TTL, now));
        self.charges.retain(|_, record| is_fresh(record.at, CHARGE_TTL, now));
        decisions
    }

    /// Adds the level that the bucket had at an earlier holder when that one stopped.
    pub fn add_level(&mut self, team: Tag, level: f64, allowance: Allowance, now: Instant) {
        self.bucket(team, allowance, now).deposit(level.max(0.0));
    }

    /// Removes the buckets of the teams for which `is_gone` holds; returns their levels.
    pub fn remove_buckets(&mut self, is_gone: impl Fn(Tag) -> bool) -> Vec<(Tag, f64)> {
        let gone = self.buckets.extract_if(|team, _| is_gone(*team));
        gone.map(|(team, bucket)| (team, bucket.level())).collect()
    }

    fn bucket(&mut self, team: Tag, allowance: Allowance, now: Instant) -> &mut Bucket {
        let terms = allowance.limits.terms(allowance.part);
        let bucket = self.buckets.entry(team).or_insert_with(|| match allowance.since {
            None => Bucket::new(terms.cap, terms, now),
            // The bucket of a team seen for the first time has earned since the holder took over.
            Some(since) => Bucket::new(0.0, terms, since),
        });
        bucket.set_terms(terms, now);
        bucket
    }

    fn answer(&mut self, charge: Charge, verdict: Verdict, now: Instant) -> Decision {
        self.answers.insert(charge.request, Timestamped { value: verdict, at: now });
        if verdict == Verdict::Admitted {
            self.charges.insert(charge.request, Timestamped { value: charge, at: now });
        }
        Decision::Answer(charge, verdict)
    }

    /// Admits a pending charge, asks the next lender, or refuses the charge.
    fn advance(&mut self, mut pending: Pending, now: Instant) -> Vec<Decision> {
        if pending.missing() <= ROUNDING_TOKENS {
            return vec![self.answer(pending.charge, Verdict::Admitted, now)];
        }
        let is_expired = now.saturating_duration_since(pending.started) >= ADMISSION_TTL;
        if is_expired || pending.lenders.is_empty() {
            return self.refuse(&pending, now);
        }
        let lender = pending.lenders.remove(0);
        let loan = self.next_loan();
        pending.requested = Some((lender, loan));
        pending.requested_at = now;
        let Charge { request, team, .. } = pending.charge;
        let tokens = pending.missing();
        self.pending.insert(request, pending);
        vec![Decision::Borrow { lender, loan, team, tokens, purpose: Purpose::Charge }]
    }

    fn refuse(&mut self, pending: &Pending, now: Instant) -> Vec<Decision> {
        let wait = pending.missing() / pending.limits.rate.max(f64::MIN_POSITIVE);
        let retry_after =
            Duration::try_from_secs_f64(wait).unwrap_or(Duration::MAX).max(MIN_RETRY_AFTER);
        let team = pending.charge.team;
        if let Some(bucket) = self.buckets.get_mut(&team) {
            bucket.deposit(pending.own_tokens);
        }
        let verdict = Verdict::Short { retry_after };
        let mut decisions = vec![self.answer(pending.charge, verdict, now)];
        let repaid = pending.sources.iter().filter_map(|s| repay(*s, team, s.tokens));
        decisions.extend(repaid);
        decisions
    }

    /// Requests a loan that no charge needs yet if the bucket is below the low watermark.
    fn rebalance(&mut self, team: Tag, lenders: &[Tag], now: Instant) -> Option<Decision> {
        let bucket = self.buckets.get(&team)?;
        let (level, cap) = (bucket.level(), bucket.terms().cap);
        let is_recent =
            self.rebalancing.get(&team).is_some_and(|r| is_fresh(r.at, REBALANCE_INTERVAL, now));
        if bucket.level() >= bucket.terms().cap * LOW_WATERMARK || is_recent {
            return None;
        }
        // Round robin, so that no domain stays full while another one lends.
        let lender = *lenders.get(self.serial as usize % lenders.len().max(1))?;
        let loan = self.next_loan();
        self.rebalancing.insert(team, Timestamped { value: Some((lender, loan)), at: now });
        let purpose = Purpose::Rebalance { level, cap };
        Some(Decision::Borrow { lender, loan, team, tokens: cap - level, purpose })
    }

    const fn next_loan(&mut self) -> Loan {
        self.serial += 1;
        Loan { borrower: self.host, incarnation: self.incarnation, serial: self.serial }
    }
}

/// The tokens a bucket can lend so that it and the borrower's are filled to the same part.
///
/// A full bucket earns nothing, so none should stay full while another is being emptied.
fn surplus(bucket: &Bucket, level: f64, cap: f64) -> f64 {
    let own_cap = bucket.terms().cap;
    let both_caps = own_cap + cap;
    if both_caps <= 0.0 {
        return 0.0;
    }
    ((bucket.level() * cap - level * own_cap) / both_caps).max(0.0)
}

/// Returns `tokens` of a loan to its lender; `None` if there is nothing to return.
fn repay(source: Source, team: Tag, tokens: f64) -> Option<Decision> {
    let Source { lender, loan, .. } = source;
    (tokens > 0.0).then_some(Decision::Repay { lender, loan, team, tokens })
}

fn is_fresh(at: Instant, ttl: Duration, now: Instant) -> bool {
    now.saturating_duration_since(at) < ttl
}
