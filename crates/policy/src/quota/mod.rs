//! A team's rate over all hosts: one bucket per domain, and loans between them.
//!
//! Tokens are conserved. A holder deducts before it sends, so a lost message
//! loses tokens and never makes any; every transfer has an id and is applied
//! once. The proof is in [docs/DESIGN.md](../../../../docs/DESIGN.md#rates).

use std::collections::HashMap;

use crate::bucket::Bucket;
pub mod message;

use crate::prelude::*;
pub use message::{Allowance, Charge, Decision, Limits, Loan, Purpose, Verdict};

/// How long a charge may collect loans, and how old an admission may be when it is used.
pub const ADMISSION_TTL: Duration = Duration::from_millis(200);
/// How long one lender is waited for.
pub const LOAN_TIMEOUT: Duration = Duration::from_millis(40);
/// How long answers are kept, so that a repeated message gets the same one.
const ANSWER_LIFE: Duration = Duration::from_secs(2);
/// How long a loan received is remembered, so that its repetition is not paid back.
///
/// It exceeds [`ANSWER_LIFE`], after which the lender takes nothing back.
const RECEIVED_LIFE: Duration = Duration::from_secs(15);
/// How long a charge can be credited.
const CHARGE_LIFE: Duration = Duration::from_mins(15);
/// A bucket below this part of its cap asks ahead for a loan.
///
/// The others are full until they lend, and a full bucket earns nothing: what
/// the fleet loses by that is at most the part above this mark.
const LOW_WATER: f64 = 0.9;
/// The pause between two loans asked ahead for one team.
const AHEAD_INTERVAL: Duration = Duration::from_millis(50);
/// What sums of parts may miss by rounding, in tokens.
const ROUNDING_TOKENS: f64 = 1e-6;
/// The least wait that a refusal names.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(50);

#[derive(Debug, Clone, Copy)]
struct Source {
    lender: Tag,
    loan: Loan,
    tokens: f64,
}

#[derive(Debug, Clone)]
struct Pending {
    charge: Charge,
    limits: Limits,
    own: f64,
    sources: Vec<Source>,
    lenders: Vec<Tag>,
    asked: Option<(Tag, Loan)>,
    asked_at: Instant,
    since: Instant,
}

impl Pending {
    fn collected(&self) -> f64 {
        self.own + self.sources.iter().map(|source| source.tokens).sum::<f64>()
    }

    fn missing(&self) -> f64 {
        (self.charge.tokens - self.collected()).max(0.0)
    }
}

#[derive(Debug, Clone, Copy)]
struct Dated<T> {
    value: T,
    at: Instant,
}

/// All buckets that one host holds.
#[derive(Debug, Clone)]
pub struct Holder {
    host: Tag,
    incarnation: u64,
    serial: u64,
    buckets: HashMap<Tag, Bucket>,
    pending: HashMap<Request, Pending>,
    answers: HashMap<Request, Dated<Verdict>>,
    charges: HashMap<Request, Dated<Charge>>,
    lent: HashMap<Loan, Dated<f64>>,
    received: HashMap<Loan, Instant>,
    ahead: HashMap<Tag, Dated<Option<(Tag, Loan)>>>,
}

impl Holder {
    /// Makes a holder without buckets.
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
            ahead: HashMap::new(),
        }
    }

    /// Charges a request; `lenders` are the other domains, the likely richest first.
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
        if bucket.take(charge.tokens) {
            let mut decisions = vec![self.answer(charge, Verdict::Admitted, now)];
            decisions.extend(self.borrow_ahead(charge.team, lenders, now));
            return decisions;
        }
        let own = bucket.take_up_to(charge.tokens);
        let pending = Pending {
            charge,
            limits: allowance.limits,
            own,
            sources: Vec::new(),
            lenders: lenders.to_vec(),
            asked: None,
            asked_at: now,
            since: now,
        };
        self.advance(pending, now)
    }

    /// Takes in a loan; one that nobody waits for any more is given back.
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
        let waiting = self.pending.values().find(|p| p.asked == Some((lender, loan)));
        if let Some(request) = waiting.map(|pending| pending.charge.request) {
            let mut pending = self.pending.remove(&request).expect("the request is pending");
            pending.asked = None;
            pending.sources.push(Source { lender, loan, tokens });
            return self.advance(pending, now);
        }
        let ahead = self.ahead.get_mut(&team).filter(|dated| dated.value == Some((lender, loan)));
        if let Some(dated) = ahead {
            dated.value = None;
            if let Some(bucket) = self.buckets.get_mut(&team) {
                bucket.put(tokens);
                return Vec::new();
            }
        }
        repay(Source { lender, loan, tokens }, team, tokens).into_iter().collect()
    }

    /// Lends to another domain; a repeated ask gets the same answer.
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
        self.lent.insert(loan, Dated { value, at: now });
        value
    }

    /// Takes a loan back once; more than was lent is never taken.
    pub fn accept_repayment(&mut self, loan: Loan, team: Tag, tokens: f64) {
        let Some(lent) = self.lent.get_mut(&loan) else {
            return;
        };
        let back = lent.value.min(tokens).max(0.0);
        // A second repayment finds nothing left, and a repeated ask still gets an answer.
        lent.value = 0.0;
        if let Some(bucket) = self.buckets.get_mut(&team) {
            bucket.put(back);
        }
    }

    /// The team that was charged for a request, while it can be credited.
    pub fn charged_team(&self, request: Request) -> Option<Tag> {
        self.charges.get(&request).map(|charged| charged.value.team)
    }

    /// Credits what a request did not use, once and at most what it was charged.
    pub fn credit(&mut self, request: Request, tokens: f64, allowance: Allowance, now: Instant) {
        let Some(charged) = self.charges.remove(&request) else {
            return;
        };
        let back = tokens.clamp(0.0, charged.value.tokens);
        self.bucket(charged.value.team, allowance, now).put(back);
    }

    /// Moves on where a lender is silent and forgets what is past its life.
    pub fn tick(&mut self, now: Instant) -> Vec<Decision> {
        let silent = |p: &Pending| now.saturating_duration_since(p.asked_at) >= LOAN_TIMEOUT;
        let due: Vec<Request> =
            self.pending.values().filter(|p| silent(p)).map(|p| p.charge.request).collect();
        let mut decisions = Vec::new();
        for request in due {
            let mut pending = self.pending.remove(&request).expect("the request is pending");
            pending.asked = None;
            decisions.extend(self.advance(pending, now));
        }
        self.answers.retain(|_, dated| is_fresh(dated.at, ANSWER_LIFE, now));
        self.lent.retain(|_, dated| is_fresh(dated.at, ANSWER_LIFE, now));
        self.received.retain(|_, at| is_fresh(*at, RECEIVED_LIFE, now));
        self.charges.retain(|_, dated| is_fresh(dated.at, CHARGE_LIFE, now));
        decisions
    }

    /// Takes in the level that an earlier holder had left when it stopped.
    pub fn restore_level(&mut self, team: Tag, level: f64, allowance: Allowance, now: Instant) {
        self.bucket(team, allowance, now).put(level.max(0.0));
    }

    /// Takes out the buckets of the teams that `is_gone` names, with their levels.
    pub fn remove_buckets(&mut self, is_gone: impl Fn(Tag) -> bool) -> Vec<(Tag, f64)> {
        let gone = self.buckets.extract_if(|team, _| is_gone(*team));
        gone.map(|(team, bucket)| (team, bucket.level())).collect()
    }

    fn bucket(&mut self, team: Tag, allowance: Allowance, now: Instant) -> &mut Bucket {
        let terms = allowance.limits.terms(allowance.part);
        let bucket = self.buckets.entry(team).or_insert_with(|| match allowance.since {
            None => Bucket::new(terms.cap, terms, now),
            // A team seen for the first time has earned since the holder began.
            Some(since) => Bucket::new(0.0, terms, since),
        });
        bucket.renew(terms, now);
        bucket
    }

    fn answer(&mut self, charge: Charge, verdict: Verdict, now: Instant) -> Decision {
        self.answers.insert(charge.request, Dated { value: verdict, at: now });
        if verdict == Verdict::Admitted {
            self.charges.insert(charge.request, Dated { value: charge, at: now });
        }
        Decision::Answer(charge, verdict)
    }

    /// Admits, asks the next lender, or refuses.
    fn advance(&mut self, mut pending: Pending, now: Instant) -> Vec<Decision> {
        if pending.missing() <= ROUNDING_TOKENS {
            return vec![self.answer(pending.charge, Verdict::Admitted, now)];
        }
        let expired = now.saturating_duration_since(pending.since) >= ADMISSION_TTL;
        if expired || pending.lenders.is_empty() {
            return self.refuse(&pending, now);
        }
        let lender = pending.lenders.remove(0);
        let loan = self.next_loan();
        pending.asked = Some((lender, loan));
        pending.asked_at = now;
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
            bucket.put(pending.own);
        }
        let verdict = Verdict::Short { retry_after };
        let mut decisions = vec![self.answer(pending.charge, verdict, now)];
        let repaid = pending.sources.iter().filter_map(|s| repay(*s, team, s.tokens));
        decisions.extend(repaid);
        decisions
    }

    /// Asks for a loan before anybody waits for it, when the bucket is low.
    fn borrow_ahead(&mut self, team: Tag, lenders: &[Tag], now: Instant) -> Option<Decision> {
        let bucket = self.buckets.get(&team)?;
        let (level, cap) = (bucket.level(), bucket.terms().cap);
        let recent = self.ahead.get(&team).is_some_and(|d| is_fresh(d.at, AHEAD_INTERVAL, now));
        if bucket.level() >= bucket.terms().cap * LOW_WATER || recent {
            return None;
        }
        // In turn, so that no domain stays full while another is drawn on.
        let lender = *lenders.get(self.serial as usize % lenders.len().max(1))?;
        let loan = self.next_loan();
        self.ahead.insert(team, Dated { value: Some((lender, loan)), at: now });
        let purpose = Purpose::Rebalance { level, cap };
        Some(Decision::Borrow { lender, loan, team, tokens: cap - level, purpose })
    }

    const fn next_loan(&mut self) -> Loan {
        self.serial += 1;
        Loan { borrower: self.host, incarnation: self.incarnation, serial: self.serial }
    }
}

/// What a bucket can give so that it and the borrower's are equally full.
///
/// A full bucket earns nothing, so none should be full while another is drawn on.
fn surplus(bucket: &Bucket, level: f64, cap: f64) -> f64 {
    let own_cap = bucket.terms().cap;
    let both = own_cap + cap;
    if both <= 0.0 {
        return 0.0;
    }
    ((bucket.level() * cap - level * own_cap) / both).max(0.0)
}

fn repay(source: Source, team: Tag, tokens: f64) -> Option<Decision> {
    let Source { lender, loan, .. } = source;
    (tokens > 0.0).then_some(Decision::Repay { lender, loan, team, tokens })
}

fn is_fresh(at: Instant, life: Duration, now: Instant) -> bool {
    now.saturating_duration_since(at) < life
}
