//! Charges requests, and holds the buckets of the slots that are this host's.

use std::collections::HashMap;

use damaskhatch_policy::quota::{
    ADMISSION_TTL, Allowance, Charge, Decision, Holder, LOAN_TIMEOUT, Limits, Verdict,
};
use damaskhatch_policy::tenure::{self, Seat, Tenure};
use damaskhatch_wire::prelude::Body;
use tokio::sync::oneshot;

use crate::clock::steady;
use crate::control::Incoming;
use crate::peers::Arrival;
use crate::prelude::*;
use crate::shared::Shared;
use crate::supervise::guard;

pub mod message;

pub use message::{Admit, Answer, Credit, SetTenure};

/// The time between two looks at what is due.
const TICK: Duration = Duration::from_millis(10);
/// The pause before an unanswered charge is sent again.
const RESEND_AFTER: Duration = Duration::from_millis(25);
/// After this long the holder of the next domain is asked instead.
const HOLDER_PATIENCE: Duration = Duration::from_millis(100);
/// How long an answered charge is remembered, to tell repeated answers from second ones.
const USED_LIFE: Duration = Duration::from_secs(2);
/// How long a refused caller waits when no holder can be reached.
pub const UNREACHABLE_RETRY_AFTER: Duration = Duration::from_secs(1);

#[derive(Debug)]
struct Waiter {
    charge: Charge,
    reply: oneshot::Sender<Option<Answer>>,
    domains: Vec<Tag>,
    since: Instant,
    asked: Instant,
    sent: Instant,
}

#[derive(Debug, Clone, Copy)]
struct Level {
    team: Tag,
    tokens: f64,
    at: Instant,
}

#[derive(Debug, Clone, Copy)]
struct Used {
    domain: Tag,
    at: Instant,
}

/// The actor that charges requests.
#[derive(Debug)]
pub struct Quota {
    shared: Shared,
    tenure: Box<Tenure>,
    holder: Holder,
    leaving: Vec<(Tag, f64)>,
    arriving: Vec<Level>,
    waiters: HashMap<Request, Waiter>,
    used: HashMap<Request, Used>,
    answers_to: HashMap<Request, std::net::SocketAddr>,
}

impl Quota {
    /// Makes the actor.
    pub fn new(shared: Shared) -> Self {
        let holder = Holder::new(shared.host, shared.incarnation);
        let seat = Seat { host: shared.host, incarnation: shared.incarnation };
        Self {
            shared,
            tenure: Box::new(Tenure::new(seat)),
            holder,
            leaving: Vec::new(),
            arriving: Vec::new(),
            waiters: HashMap::new(),
            used: HashMap::new(),
            answers_to: HashMap::new(),
        }
    }

    fn admit(&mut self, message: Admit) {
        let now = steady();
        let Admit { charge, reply } = message;
        let mut domains = vec![self.shared.domain];
        domains.extend(self.lenders());
        self.send_charge(&charge, domains[0], now);
        let waiter = Waiter { charge, reply, domains, since: now, asked: now, sent: now };
        self.waiters.insert(charge.request, waiter);
    }

    fn send_charge(&self, charge: &Charge, domain: Tag, now: Instant) {
        if let Some(address) = self.holder_address(domain, charge.team, now) {
            self.shared.outbox.send(address, Body::Charge(*charge));
        }
    }

    fn holder_address(&self, domain: Tag, team: Tag, now: Instant) -> Option<std::net::SocketAddr> {
        let hosts = self.shared.hosts();
        let slot = tenure::slot(team);
        let announced = hosts.slot_holder(domain, slot, now);
        let epoch = announced.and_then(|host| hosts.member(host)).map_or(0, |m| m.record.epoch);
        // The roster of the own domain is mostly newer than what heartbeats announce.
        let is_newer = domain == self.shared.domain && self.tenure.epoch() >= epoch;
        let named = self.tenure.holder(slot).filter(|_| is_newer);
        let holder = named.or(announced)?;
        hosts.address(holder)
    }

    /// What this host may spend of the team's tokens now; nothing unless it holds the slot.
    fn standing(&self, team: Tag) -> Option<Allowance> {
        let snapshot = self.shared.snapshot();
        let entry = snapshot.teams.get(snapshot.team(team)?)?;
        let share = snapshot.domain(self.shared.domain).map_or(0.0, |d| snapshot.domains[d].share);
        let tenure::Allowance { part, since } = self.tenure.allowance(tenure::slot(team), steady());
        let slack = self.shared.settings.limits.rate_slack_tokens as f64;
        let limits = Limits { rate: entry.rate, burst: entry.burst }.with_slack(slack);
        Some(Allowance { limits, part: part * share, since })
    }

    fn receive(&mut self, arrival: &Arrival) {
        let now = steady();
        match arrival.body.clone() {
            Body::Charge(charge) => self.charge(charge, arrival.source, now),
            Body::Charged { request, domain, verdict } => {
                self.answered(request, Answer { verdict, domain }, now);
            }
            Body::Credit { request, team, tokens } => {
                let team = self.holder.charged_team(request).unwrap_or(team);
                if let Some(standing) = self.standing(team) {
                    self.holder.credit(request, tokens, standing, now);
                }
            }
            Body::Borrow { loan, team, tokens, purpose } => {
                if let Some(standing) = self.standing(team) {
                    let tokens = self.holder.lend(loan, team, tokens, purpose, standing, now);
                    let lender = self.shared.domain;
                    let body = Body::Lend { loan, lender, team, tokens };
                    self.shared.outbox.send(arrival.source, body);
                }
            }
            Body::Lend { loan, lender, team, tokens } => {
                let decisions = self.holder.receive_loan(lender, loan, team, tokens, now);
                self.carry_out(decisions, now);
            }
            Body::HandOver { levels } => {
                let levels = levels.iter().map(|(team, tokens)| (*team, *tokens));
                let levels = levels.map(|(team, tokens)| Level { team, tokens, at: now });
                self.arriving.extend(levels);
                self.take_levels(now);
            }
            Body::Repay { loan, team, tokens } => self.holder.accept_repayment(loan, team, tokens),
            _ => {}
        }
    }

    fn charge(&mut self, charge: Charge, source: std::net::SocketAddr, now: Instant) {
        // Silence makes the asking host try the slot's next holder, or another domain's.
        let standing = self.standing(charge.team).filter(|standing| standing.part > 0.0);
        let Some(standing) = standing else { return };
        let lenders = self.lenders();
        self.answers_to.insert(charge.request, source);
        let decisions = self.holder.charge(charge, standing, &lenders, now);
        self.carry_out(decisions, now);
    }

    /// The other domains, the largest share first.
    fn lenders(&self) -> Vec<Tag> {
        let snapshot = self.shared.snapshot();
        let others = snapshot.domains.iter().map(|(_, domain)| domain);
        let mut others: Vec<_> =
            others.filter(|d| d.tag != self.shared.domain && d.share > 0.0).collect();
        others.sort_by(|a, b| b.share.total_cmp(&a.share));
        others.iter().map(|domain| domain.tag).collect()
    }

    fn carry_out(&mut self, decisions: Vec<Decision>, now: Instant) {
        for decision in decisions {
            match decision {
                Decision::Answer(charge, verdict) => {
                    let request = charge.request;
                    if let Some(to) = self.answers_to.remove(&request) {
                        let domain = self.shared.domain;
                        self.shared.outbox.send(to, Body::Charged { request, domain, verdict });
                    }
                }
                Decision::Borrow { lender, loan, team, tokens, purpose } => {
                    if let Some(to) = self.holder_address(lender, team, now) {
                        let body = Body::Borrow { loan, team, tokens, purpose };
                        self.shared.outbox.send(to, body);
                    }
                }
                Decision::Repay { lender, loan, team, tokens } => {
                    if let Some(to) = self.holder_address(lender, team, now) {
                        self.shared.outbox.send(to, Body::Repay { loan, team, tokens });
                    }
                }
            }
        }
    }

    fn answered(&mut self, request: Request, answer: Answer, now: Instant) {
        let Some(waiter) = self.waiters.remove(&request) else {
            return self.answered_again(request, answer, now);
        };
        let Answer { verdict, domain } = answer;
        self.used.insert(request, Used { domain, at: now });
        let fresh = now.saturating_duration_since(waiter.since) < ADMISSION_TTL;
        if verdict == Verdict::Admitted && !fresh {
            // The holder's cap leaves room only for admissions younger than this.
            let Charge { team, tokens, .. } = waiter.charge;
            self.send_credit(&Credit { request, team, domain, tokens }, now);
            let _gone = waiter.reply.send(None);
            return;
        }
        let _gone = waiter.reply.send(Some(answer));
    }

    /// Gives back what a second holder deducted for a request that the first one answered.
    fn answered_again(&self, request: Request, answer: Answer, now: Instant) {
        let Some(used) = self.used.get(&request) else { return };
        if used.domain != answer.domain && answer.verdict == Verdict::Admitted {
            log::debug!("event=charged_twice request={request} domain={}", answer.domain);
            self.credit_all(request, answer.domain, now);
        }
    }

    /// Asks a holder to undo a charge; the holder knows team and tokens.
    fn credit_all(&self, request: Request, domain: Tag, now: Instant) {
        let hosts = self.shared.hosts();
        let holders = (0..tenure::SLOTS).filter_map(|slot| hosts.slot_holder(domain, slot, now));
        let holders: std::collections::HashSet<Tag> = holders.collect();
        for to in holders.into_iter().filter_map(|holder| hosts.address(holder)) {
            let (team, tokens) = (Tag(0), f64::MAX);
            self.shared.outbox.send(to, Body::Credit { request, team, tokens });
        }
    }

    fn send_credit(&self, credit: &Credit, now: Instant) {
        let Credit { request, team, domain, tokens } = *credit;
        if let Some(to) = self.holder_address(domain, team, now) {
            self.shared.outbox.send(to, Body::Credit { request, team, tokens });
        }
    }

    /// Takes over what this host holds, and takes out the buckets of what it does not.
    fn set_tenure(&mut self, tenure: Box<Tenure>) {
        self.tenure = tenure;
        let spendable = self.tenure.spendable_slots();
        let gone = self.holder.remove_buckets(|team| spendable >> tenure::slot(team) & 1 == 0);
        self.leaving.extend(gone);
    }

    /// Sends the levels of slots that were handed over to whom the roster names.
    fn send_levels(&mut self) {
        let hosts = self.shared.hosts();
        let leaving = std::mem::take(&mut self.leaving);
        for (team, level) in leaving {
            let Some(holder) = self.tenure.holder(tenure::slot(team)) else { continue };
            if holder == self.shared.host {
                // Still stopped, or back again; a slot that came back starts anew.
                if self.tenure.spendable_slots() >> tenure::slot(team) & 1 == 0 {
                    self.leaving.push((team, level));
                }
                continue;
            }
            if let Some(to) = hosts.address(holder) {
                self.shared.outbox.send(to, Body::HandOver { levels: vec![(team, level)] });
            }
        }
    }

    /// Adds levels that were handed over once this host has read that it holds their slots.
    fn take_levels(&mut self, now: Instant) {
        let arriving = std::mem::take(&mut self.arriving);
        for level in arriving {
            let standing = self.standing(level.team).filter(|standing| standing.part > 0.0);
            match standing {
                Some(standing) => self.holder.add_level(level.team, level.tokens, standing, now),
                None if now.saturating_duration_since(level.at) < ARRIVAL_LIFE => {
                    self.arriving.push(level);
                }
                None => {}
            }
        }
    }

    /// Says whom a charge that nobody answered was meant for.
    fn note_unanswered(&self, waiter: &Waiter) {
        let Charge { request, team, .. } = waiter.charge;
        let slot = tenure::slot(team);
        let epoch = self.tenure.epoch();
        let holder = self.tenure.holder(slot).map_or("none".to_owned(), |host| host.to_string());
        let announced = self.shared.hosts().slot_holder(self.shared.domain, slot, steady());
        let announced = announced.map_or("none".to_owned(), |host| host.to_string());
        log::info!(
            "event=charge_unanswered request={request} slot={slot} epoch={epoch} holder={holder} \
             announced={announced}"
        );
    }

    fn tick(&mut self) {
        let now = steady();
        self.send_levels();
        self.take_levels(now);
        let decisions = self.holder.tick(now);
        self.carry_out(decisions, now);
        let is_over =
            |w: &Waiter| now.saturating_duration_since(w.since) >= ADMISSION_TTL + LOAN_TIMEOUT;
        let over: Vec<Request> =
            self.waiters.values().filter(|w| is_over(w)).map(|w| w.charge.request).collect();
        for request in over {
            let waiter = self.waiters.remove(&request).expect("the waiter was just seen");
            self.note_unanswered(&waiter);
            let _gone = waiter.reply.send(None);
        }
        self.used.retain(|_, used| now.saturating_duration_since(used.at) < USED_LIFE);
        let mut again = Vec::new();
        for waiter in self.waiters.values_mut() {
            if now.saturating_duration_since(waiter.asked) >= HOLDER_PATIENCE {
                waiter.domains.rotate_left(1);
                waiter.asked = now;
                waiter.sent = now;
                again.push((waiter.charge, waiter.domains[0]));
            } else if now.saturating_duration_since(waiter.sent) >= RESEND_AFTER {
                waiter.sent = now;
                again.push((waiter.charge, waiter.domains[0]));
            }
        }
        for (charge, domain) in again {
            self.send_charge(&charge, domain, now);
        }
    }
}

/// How long levels wait for this host to read that it holds their slots.
const ARRIVAL_LIFE: Duration = Duration::from_secs(2);

impl Actor for Quota {
    type Context = Context<Self>;

    fn started(&mut self, ctx: &mut Context<Self>) {
        ctx.run_interval(TICK, |actor, ctx| guard(actor, ctx, |actor, _| actor.tick()));
    }
}

impl Supervised for Quota {
    fn restarting(&mut self, _ctx: &mut Context<Self>) {
        // A restarted holder is a new one: its loans must not share ids with the old one's.
        self.holder = Holder::new(self.shared.host, damaskhatch_wire::frame::wall_ms());
        self.waiters.clear();
        self.used.clear();
        self.leaving.clear();
        self.arriving.clear();
        self.answers_to.clear();
    }
}

impl Handler<Incoming> for Quota {
    type Result = ();

    fn handle(&mut self, message: Incoming, ctx: &mut Context<Self>) {
        guard(self, ctx, |actor, _| actor.receive(&message.0));
    }
}

impl Handler<SetTenure> for Quota {
    type Result = ();

    fn handle(&mut self, message: SetTenure, ctx: &mut Context<Self>) {
        guard(self, ctx, |actor, _| actor.set_tenure(message.0));
    }
}

impl Handler<Admit> for Quota {
    type Result = ();

    fn handle(&mut self, message: Admit, ctx: &mut Context<Self>) {
        guard(self, ctx, |actor, _| actor.admit(message));
    }
}

impl Handler<Credit> for Quota {
    type Result = ();

    fn handle(&mut self, message: Credit, ctx: &mut Context<Self>) {
        guard(self, ctx, |actor, _| {
            actor.send_credit(&message, steady());
        });
    }
}
