//! Charges requests, and holds the token buckets of the slots of this host.

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

pub use message::{Admit, Credit, Reply, SetTenure};

/// The time between two checks for timeouts and levels to hand over.
const TICK_INTERVAL: Duration = Duration::from_millis(10);
/// The time after which an unanswered charge is sent again to the same domain.
const RESEND_INTERVAL: Duration = Duration::from_millis(25);
/// The time after which an unanswered charge goes to the holder in the next domain.
const HOLDER_TIMEOUT: Duration = Duration::from_millis(100);
/// How long an answered charge is remembered, to detect duplicate replies to it.
const ANSWERED_TTL: Duration = Duration::from_secs(2);
/// The time in Retry-After if a request is refused because no holder replied.
pub const UNREACHABLE_RETRY_AFTER: Duration = Duration::from_secs(1);

/// A charge of this host that has no reply yet.
#[derive(Debug)]
struct Waiter {
    charge: Charge,
    reply: oneshot::Sender<Option<Reply>>,
    /// The domains whose holders may be charged; the first one has been tried since `tried_at`.
    domains: Vec<Tag>,
    started: Instant,
    tried_at: Instant,
    sent_at: Instant,
}

/// A handed-over bucket level that waits until this host has read that it holds the slot.
#[derive(Debug, Clone, Copy)]
struct Level {
    team: Tag,
    tokens: f64,
    received_at: Instant,
}

/// A charge that has a reply, with the domain of the holder that replied first.
#[derive(Debug, Clone, Copy)]
struct Answered {
    domain: Tag,
    recorded_at: Instant,
}

/// The actor that sends this host's charges to bucket holders and replies to those of others.
#[derive(Debug)]
pub struct Quota {
    shared: Shared,
    tenure: Box<Tenure>,
    holder: Holder,
    /// Levels of removed buckets, by team, that their next holder has yet to receive.
    outgoing_levels: Vec<(Tag, f64)>,
    incoming_levels: Vec<Level>,
    waiters: HashMap<Request, Waiter>,
    answered: HashMap<Request, Answered>,
    /// The address to which the reply to each undecided charge is sent.
    charge_senders: HashMap<Request, std::net::SocketAddr>,
}

impl Quota {
    /// Creates the actor, which holds no slots before the first [`SetTenure`].
    pub fn new(shared: Shared) -> Self {
        let holder = Holder::new(shared.host, shared.incarnation);
        let seat = Seat { host: shared.host, incarnation: shared.incarnation };
        Self {
            shared,
            tenure: Box::new(Tenure::new(seat)),
            holder,
            outgoing_levels: Vec::new(),
            incoming_levels: Vec::new(),
            waiters: HashMap::new(),
            answered: HashMap::new(),
            charge_senders: HashMap::new(),
        }
    }

    fn admit(&mut self, message: Admit) {
        let now = steady();
        let Admit { charge, reply } = message;
        let mut domains = vec![self.shared.domain];
        domains.extend(self.lenders());
        self.send_charge(&charge, domains[0], now);
        let waiter = Waiter { charge, reply, domains, started: now, tried_at: now, sent_at: now };
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
        // The roster of this host's own domain is usually newer than what heartbeats announce.
        let is_newer = domain == self.shared.domain && self.tenure.epoch() >= epoch;
        let in_roster = self.tenure.holder(slot).filter(|_| is_newer);
        let holder = in_roster.or(announced)?;
        hosts.address(holder)
    }

    /// What this host may spend for a team now; `fraction` is 0 unless it holds the team's slot.
    fn allowance(&self, team: Tag) -> Option<Allowance> {
        let snapshot = self.shared.snapshot();
        let entry = snapshot.teams.get(snapshot.team(team)?)?;
        let share = snapshot.domain(self.shared.domain).map_or(0.0, |d| snapshot.domains[d].share);
        let slot = self.tenure.allowance(tenure::slot(team), steady());
        let slack = self.shared.settings.limits.rate_slack_tokens as f64;
        let limits = Limits { rate: entry.rate, burst: entry.burst }.with_slack(slack);
        Some(Allowance { limits, fraction: slot.fraction * share, since: slot.since })
    }

    fn receive(&mut self, arrival: &Arrival) {
        let now = steady();
        match arrival.body.clone() {
            Body::Charge(charge) => self.charge(charge, arrival.source, now),
            Body::Charged { request, domain, verdict } => {
                self.handle_reply(request, Reply { verdict, domain }, now);
            }
            Body::Credit { request, team, tokens } => {
                let team = self.holder.charged_team(request).unwrap_or(team);
                if let Some(allowance) = self.allowance(team) {
                    self.holder.credit(request, tokens, allowance, now);
                }
            }
            Body::Borrow { loan, team, tokens, purpose } => {
                if let Some(allowance) = self.allowance(team) {
                    let tokens = self.holder.lend(loan, team, tokens, purpose, allowance, now);
                    let lender = self.shared.domain;
                    let body = Body::Lend { loan, lender, team, tokens };
                    self.shared.outbox.send(arrival.source, body);
                }
            }
            Body::Lend { loan, lender, team, tokens } => {
                let decisions = self.holder.receive_loan(lender, loan, team, tokens, now);
                self.send_decisions(decisions, now);
            }
            Body::HandOver { levels } => {
                let levels = levels.iter().map(|(team, tokens)| (*team, *tokens));
                let levels = levels.map(|(team, tokens)| Level { team, tokens, received_at: now });
                self.incoming_levels.extend(levels);
                self.apply_incoming_levels(now);
            }
            Body::Repay { loan, team, tokens } => self.holder.accept_repayment(loan, team, tokens),
            _ => {}
        }
    }

    fn charge(&mut self, charge: Charge, source: std::net::SocketAddr, now: Instant) {
        // Without a reply, the sender retries with the slot's next holder or another domain.
        let allowance = self.allowance(charge.team).filter(|allowance| allowance.fraction > 0.0);
        let Some(allowance) = allowance else { return };
        let lenders = self.lenders();
        self.charge_senders.insert(charge.request, source);
        let decisions = self.holder.charge(charge, allowance, &lenders, now);
        self.send_decisions(decisions, now);
    }

    /// The other domains that have a share of the rate, largest share first.
    fn lenders(&self) -> Vec<Tag> {
        let snapshot = self.shared.snapshot();
        let others = snapshot.domains.iter().map(|(_, domain)| domain);
        let mut others: Vec<_> =
            others.filter(|d| d.tag != self.shared.domain && d.share > 0.0).collect();
        others.sort_by(|a, b| b.share.total_cmp(&a.share));
        others.iter().map(|domain| domain.tag).collect()
    }

    fn send_decisions(&mut self, decisions: Vec<Decision>, now: Instant) {
        for decision in decisions {
            match decision {
                Decision::Reply(charge, verdict) => {
                    let request = charge.request;
                    if let Some(to) = self.charge_senders.remove(&request) {
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

    fn handle_reply(&mut self, request: Request, reply: Reply, now: Instant) {
        let Some(waiter) = self.waiters.remove(&request) else {
            return self.handle_duplicate_reply(request, reply, now);
        };
        let Reply { verdict, domain } = reply;
        self.answered.insert(request, Answered { domain, recorded_at: now });
        let is_fresh = now.saturating_duration_since(waiter.started) < ADMISSION_TTL;
        if verdict == Verdict::Admitted && !is_fresh {
            // The cap of the bucket accounts only for admissions younger than `ADMISSION_TTL`.
            let Charge { team, tokens, .. } = waiter.charge;
            self.send_credit(&Credit { request, team, domain, tokens }, now);
            let _gone = waiter.reply.send(None);
            return;
        }
        let _gone = waiter.reply.send(Some(reply));
    }

    /// Credits what a second holder deducted for a request to which another had already replied.
    fn handle_duplicate_reply(&self, request: Request, reply: Reply, now: Instant) {
        let Some(answered) = self.answered.get(&request) else { return };
        if answered.domain != reply.domain && reply.verdict == Verdict::Admitted {
            log::debug!("event=charged_twice request={request} domain={}", reply.domain);
            self.credit_all_holders(request, reply.domain, now);
        }
    }

    /// Credits a charge in full at all holders of a domain; the one that made it knows its team.
    fn credit_all_holders(&self, request: Request, domain: Tag, now: Instant) {
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

    /// Replaces the tenure, and removes the buckets of slots that are no longer spendable.
    fn set_tenure(&mut self, tenure: Box<Tenure>) {
        self.tenure = tenure;
        let spendable = self.tenure.spendable_slots();
        let removed = self.holder.remove_buckets(|team| spendable >> tenure::slot(team) & 1 == 0);
        self.outgoing_levels.extend(removed);
    }

    /// Sends the levels of buckets whose slots were handed over to the holders in the roster.
    fn send_outgoing_levels(&mut self) {
        let hosts = self.shared.hosts();
        let outgoing = std::mem::take(&mut self.outgoing_levels);
        for (team, level) in outgoing {
            let Some(holder) = self.tenure.holder(tenure::slot(team)) else { continue };
            if holder == self.shared.host {
                // A stopped slot keeps its level; the bucket of a slot that returned starts anew.
                if self.tenure.spendable_slots() >> tenure::slot(team) & 1 == 0 {
                    self.outgoing_levels.push((team, level));
                }
                continue;
            }
            if let Some(to) = hosts.address(holder) {
                self.shared.outbox.send(to, Body::HandOver { levels: vec![(team, level)] });
            }
        }
    }

    /// Adds received levels to their buckets once this host has read that it holds the slots.
    fn apply_incoming_levels(&mut self, now: Instant) {
        let incoming = std::mem::take(&mut self.incoming_levels);
        for level in incoming {
            let allowance = self.allowance(level.team).filter(|allowance| allowance.fraction > 0.0);
            match allowance {
                Some(allowance) => self.holder.add_level(level.team, level.tokens, allowance, now),
                None if now.saturating_duration_since(level.received_at) < INCOMING_LEVEL_TTL => {
                    self.incoming_levels.push(level);
                }
                None => {}
            }
        }
    }

    /// Logs an unanswered charge with the holders that the roster and the heartbeats name.
    fn log_unanswered(&self, waiter: &Waiter) {
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
        self.send_outgoing_levels();
        self.apply_incoming_levels(now);
        let decisions = self.holder.tick(now);
        self.send_decisions(decisions, now);
        let is_expired =
            |w: &Waiter| now.saturating_duration_since(w.started) >= ADMISSION_TTL + LOAN_TIMEOUT;
        let expired: Vec<Request> =
            self.waiters.values().filter(|w| is_expired(w)).map(|w| w.charge.request).collect();
        for request in expired {
            let waiter = self.waiters.remove(&request).expect("every expired request has a waiter");
            self.log_unanswered(&waiter);
            let _gone = waiter.reply.send(None);
        }
        self.answered.retain(|_, a| now.saturating_duration_since(a.recorded_at) < ANSWERED_TTL);
        let mut resends = Vec::new();
        for waiter in self.waiters.values_mut() {
            if now.saturating_duration_since(waiter.tried_at) >= HOLDER_TIMEOUT {
                waiter.domains.rotate_left(1);
                waiter.tried_at = now;
                waiter.sent_at = now;
                resends.push((waiter.charge, waiter.domains[0]));
            } else if now.saturating_duration_since(waiter.sent_at) >= RESEND_INTERVAL {
                waiter.sent_at = now;
                resends.push((waiter.charge, waiter.domains[0]));
            }
        }
        for (charge, domain) in resends {
            self.send_charge(&charge, domain, now);
        }
    }
}

/// How long received levels wait for this host to read that it holds their slots.
const INCOMING_LEVEL_TTL: Duration = Duration::from_secs(2);

impl Actor for Quota {
    type Context = Context<Self>;

    fn started(&mut self, ctx: &mut Context<Self>) {
        ctx.run_interval(TICK_INTERVAL, |actor, ctx| guard(actor, ctx, |actor, _| actor.tick()));
    }
}

impl Supervised for Quota {
    fn restarting(&mut self, _ctx: &mut Context<Self>) {
        // A new incarnation, because loan ids must not repeat those from before the restart.
        self.holder = Holder::new(self.shared.host, damaskhatch_wire::frame::wall_ms());
        self.waiters.clear();
        self.answered.clear();
        self.outgoing_levels.clear();
        self.incoming_levels.clear();
        self.charge_senders.clear();
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
        guard(self, ctx, |actor, _| actor.send_credit(&message, steady()));
    }
}
