//! Orders engines to change roles, so that their proportions fit the traffic.
//!
//! One host issues orders at a time. It writes its name under a key of the store. A host
//! that overwrites the key waits until no order of the previous writer can still arrive, and
//! a host issues each order only after a read that found its own name under the key. This
//! requires neither a lease nor a clock shared between hosts. See
//! [docs/DESIGN.md](../../../../docs/DESIGN.md#stages).

use damaskhatch_policy::freshness::BootTime;
use damaskhatch_policy::position::Position;
use damaskhatch_policy::registry::Entry;
use damaskhatch_policy::stages::{self, CLAIM_WAIT, CONFIRMED_FOR, Change, Debounce};
use damaskhatch_store::error::Error;
use damaskhatch_store::message::Swap;
use damaskhatch_store::prelude::Client;
use std::collections::HashMap;

use crate::clock::boot_time;
use crate::control::limits::Limits;
use crate::prelude::*;
use crate::relay::attempt::call;
use crate::relay::dialect::Order;
use crate::shared::Shared;
use crate::supervise::guard;

/// The key under which the host that issues orders writes its name and incarnation.
const CLAIM_KEY: &str = "damaskhatch/orders/giver";
/// The time between two checks of the proportions.
const CHECK_INTERVAL: Duration = Duration::from_millis(250);

/// This host's claim to issue orders.
#[derive(Debug, Clone, Copy)]
struct Claim {
    /// The version of the key in the store, which fences the orders.
    version: u64,
    /// The time before which no order may be issued.
    usable_from: BootTime,
}

/// The service and the software version of a pool of engines.
type Pool = (Tag, Tag);

/// The actor that issues orders.
#[derive(Debug)]
pub struct Stages {
    shared: Shared,
    limits: Addr<Limits>,
    /// The debounce of each pool of engines.
    debounces: HashMap<Pool, Debounce>,
    /// `None` until the key is written, and after the claim is lost or a call fails.
    claim: Option<Claim>,
    is_order_pending: bool,
}

/// The outcome of an attempt to issue an order.
#[derive(Debug)]
enum Outcome {
    /// This host holds a claim, which may not be usable yet.
    Claimed(Claim),
    /// The status of the engine's response, or the error of a call that may have reached it.
    Sent(Result<u16, String>),
    /// Another host has overwritten the claim.
    Lost,
}

impl Stages {
    /// Creates the actor, without a claim.
    pub fn new(shared: Shared, limits: Addr<Limits>) -> Self {
        Self { shared, limits, debounces: HashMap::new(), claim: None, is_order_pending: false }
    }

    /// Whether this host has the lowest tag of all eligible hosts, which alone issues orders.
    fn should_issue_orders(&self, now: Instant) -> bool {
        let hosts = self.shared.hosts();
        let mut others = hosts.members().filter(|member| member.is_eligible(now));
        !self.shared.is_draining() && others.all(|member| member.record.host > self.shared.host)
    }

    /// Issues an order if a service's engines have been out of proportion for long enough.
    fn check_proportions(&mut self, ctx: &mut Context<Self>) {
        let now = Instant::now();
        // Of the hosts that start together, each would take itself for the first.
        if self.is_order_pending || self.shared.is_settling() || !self.should_issue_orders(now) {
            return;
        }
        let prefill_share = self.shared.settings.schedule.prefill_percent as f64 / 100.0;
        let snapshot = self.shared.snapshot();
        let registry = self.shared.upstreams();
        let models = snapshot.services.iter().filter(|(_, service)| service.engines.is_some());
        for (_, service) in models {
            let availability = &self.shared.availability;
            let stays = |engine: &&Entry| !availability.standing_of(engine).is_closed();
            let pools = stages::pools(registry.usable(service.tag).filter(stays));
            self.debounces.retain(|(tag, version), _| {
                *tag != service.tag || pools.is_empty() || pools.contains_key(version)
            });
            let has_pool = self.debounces.keys().any(|(tag, _)| *tag == service.tag);
            let fresh = if has_pool { Debounce::growing() } else { Debounce::default() };
            for (version, engines) in pools {
                let change = stages::next_change(engines.into_iter(), prefill_share);
                let pool = (service.tag, version);
                let debounce = self.debounces.entry(pool).or_insert(fresh);
                if !debounce.is_due(change.is_some(), now) {
                    continue;
                }
                let may_ask =
                    |change: &Change| availability.standing_of(&change.engine).allows_requests();
                if let Some(change) = change.filter(may_ask) {
                    self.issue_order(pool, change, ctx);
                    return;
                }
            }
        }
    }

    fn issue_order(&mut self, pool: Pool, change: Change, ctx: &mut Context<Self>) {
        self.is_order_pending = true;
        let (shared, limits) = (self.shared.clone(), self.limits.clone());
        let claim = self.claim;
        let engine = change.engine.clone();
        let outcome = async move { issue_order(&shared, &limits, claim, &change).await };
        ctx.spawn(outcome.into_actor(self).map(move |outcome, actor, _ctx| {
            actor.is_order_pending = false;
            actor.record_outcome(pool, &engine, outcome);
        }));
    }

    fn record_outcome(&mut self, pool: Pool, engine: &Entry, outcome: Result<Outcome, Error>) {
        let instance = &engine.instance;
        match outcome {
            Ok(Outcome::Claimed(claim)) => {
                let wait = claim.usable_from.since(boot_time()).as_millis();
                log::info!("event=orders_claimed version={} wait_ms={wait}", claim.version);
                self.claim = Some(claim);
            }
            Ok(Outcome::Sent(result)) => {
                log::info!("event=role_ordered upstream={instance} result={result:?}");
                let debounce = self.debounces.entry(pool).or_default();
                debounce.record_change(Instant::now());
            }
            Ok(Outcome::Lost) => {
                log::info!("event=orders_claim_lost");
                self.claim = None;
            }
            Err(error) => {
                log::info!("event=order_not_issued upstream={instance} error={error}");
                self.claim = None;
            }
        }
    }
}

/// Acquires the claim, or issues an order if the claim is usable and still held.
async fn issue_order(
    shared: &Shared,
    limits: &Addr<Limits>,
    claim: Option<Claim>,
    change: &Change,
) -> Result<Outcome, Error> {
    let client = shared.store("stages");
    let holder = &shared.settings.host.name;
    let own = format!("{holder} {}", shared.incarnation);
    let Some(claim) = claim else {
        return acquire_claim(shared, client, own).await.map(Outcome::Claimed);
    };
    let read_started = boot_time();
    if read_started < claim.usable_from {
        return Ok(Outcome::Claimed(claim));
    }
    let item = client.get(CLAIM_KEY).await?;
    if item.value != own || item.version != claim.version {
        return Ok(Outcome::Lost);
    }
    // The remaining two thirds cover the call, which has a time limit of its own.
    let (elapsed, limit) = (boot_time().since(read_started), CONFIRMED_FOR / 3);
    if elapsed > limit {
        let error = format!("read of {CLAIM_KEY} took {elapsed:?}, limit {limit:?}");
        return Err(Error::Unreachable(error));
    }
    let order = Order { role: change.role, holder, fence: claim.version };
    let order = (shared.deployment.dialect.order)(&order);
    let response = call(shared, limits, &change.engine, None, order).await;
    Ok(Outcome::Sent(response.map(|(status, _body)| status).map_err(|error| error.to_string())))
}

/// Overwrites the key with this host's name.
async fn acquire_claim(shared: &Shared, client: Client, own: String) -> Result<Claim, Error> {
    let expect = match client.get(CLAIM_KEY).await {
        Ok(item) => item.version,
        Err(Error::Missing) => 0,
        Err(error) => return Err(error),
    };
    let version =
        client.compare_and_swap(CLAIM_KEY, &Swap { value: own, expect, lease: None }).await?;
    // No order precedes the first claim; a restored store may have lost it.
    let is_first = expect == 0 && !shared.may_follow_restore(Position::of(version));
    let wait = if is_first { Duration::ZERO } else { CLAIM_WAIT };
    Ok(Claim { version, usable_from: BootTime(boot_time().0 + wait) })
}

impl Actor for Stages {
    type Context = Context<Self>;

    fn started(&mut self, ctx: &mut Context<Self>) {
        ctx.run_interval(CHECK_INTERVAL, |actor, ctx| guard(actor, ctx, Self::check_proportions));
    }
}

impl Supervised for Stages {
    fn restarting(&mut self, _ctx: &mut Context<Self>) {
        self.claim = None;
        self.is_order_pending = false;
    }
}
