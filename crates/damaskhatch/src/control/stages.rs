//! Gives engines the orders that fit their roles to the traffic.
//!
//! One host gives orders at a time. It writes its name under a key of the store;
//! whoever overwrites that waits until no order of the earlier giver can arrive any
//! more, and every order follows a read that found the giver's own name there. This
//! needs no lease and no clock shared between hosts. See
//! [docs/DESIGN.md](../../../../docs/DESIGN.md#stages).

use damaskhatch_policy::freshness::BootTime;
use damaskhatch_policy::registry::Entry;
use damaskhatch_policy::stages::{self, CLAIM_WAIT, CONFIRMED_FOR, Change, Debounce};
use damaskhatch_store::error::Error;
use damaskhatch_store::message::Swap;
use damaskhatch_store::prelude::Client;
use std::collections::HashMap;

use crate::clock::boot_time;
use crate::prelude::*;
use crate::relay::attempt::call_at;
use crate::relay::dialect::Order;
use crate::shared::Shared;
use crate::supervise::guard;

/// The key under which the giver of orders writes its name.
const GIVER_KEY: &str = "damaskhatch/orders/giver";
/// The time between two looks at the proportions.
const LOOK_INTERVAL: Duration = Duration::from_millis(250);

/// This host's claim to give orders.
#[derive(Debug, Clone, Copy)]
struct Claim {
    version: u64,
    /// From when orders may be given.
    usable: BootTime,
}

/// The actor that gives orders.
#[derive(Debug)]
pub struct Stages {
    shared: Shared,
    paces: HashMap<Tag, Debounce>,
    claim: Option<Claim>,
    is_busy: bool,
}

/// What became of an attempt to give an order.
#[derive(Debug)]
enum Given {
    /// This host has a claim now, usable later.
    Claimed(Claim),
    /// The engine answered with this status, or perhaps received the order.
    Sent(Result<u16, String>),
    /// Another host has the claim.
    Lost,
}

impl Stages {
    /// Makes the actor.
    pub fn new(shared: Shared) -> Self {
        Self { shared, paces: HashMap::new(), claim: None, is_busy: false }
    }

    /// Whether this host is the first of all live hosts, which alone gives orders.
    fn is_first(&self, now: Instant) -> bool {
        let hosts = self.shared.hosts();
        let mut others = hosts.members().filter(|member| member.is_eligible(now));
        !self.shared.is_draining() && others.all(|member| member.record.host > self.shared.host)
    }

    fn look(&mut self, ctx: &mut Context<Self>) {
        let now = Instant::now();
        if self.is_busy || !self.is_first(now) {
            return;
        }
        let share = self.shared.settings.schedule.prefill_percent as f64 / 100.0;
        let snapshot = self.shared.snapshot();
        let registry = self.shared.upstreams();
        let models = snapshot.services.iter().filter(|(_, service)| service.engines.is_some());
        for (_, service) in models {
            let change = stages::next_change(registry.usable(service.tag), share);
            let pace = self.paces.entry(service.tag).or_default();
            if !pace.is_due(change.is_some(), now) {
                continue;
            }
            if let Some(change) = change {
                self.give(service.tag, change, ctx);
                return;
            }
        }
    }

    fn give(&mut self, service: Tag, change: Change, ctx: &mut Context<Self>) {
        self.is_busy = true;
        let (shared, claim) = (self.shared.clone(), self.claim);
        let engine = change.engine.clone();
        let given = async move { give(&shared, claim, &change).await };
        ctx.spawn(given.into_actor(self).map(move |given, actor, _ctx| {
            actor.is_busy = false;
            actor.note(service, &engine, given);
        }));
    }

    fn note(&mut self, service: Tag, engine: &Entry, given: Result<Given, Error>) {
        let instance = &engine.instance;
        match given {
            Ok(Given::Claimed(claim)) => {
                let wait = claim.usable.since(boot_time()).as_millis();
                log::info!("event=orders_claimed version={} wait_ms={wait}", claim.version);
                self.claim = Some(claim);
            }
            Ok(Given::Sent(result)) => {
                log::info!("event=role_ordered upstream={instance} result={result:?}");
                let pace = self.paces.entry(service).or_default();
                pace.record_change(Instant::now());
            }
            Ok(Given::Lost) => {
                log::info!("event=orders_claim_lost");
                self.claim = None;
            }
            Err(error) => {
                log::info!("event=order_not_given upstream={instance} error={error}");
                self.claim = None;
            }
        }
    }
}

/// Takes the claim, or gives an order if the claim is usable and still stands.
async fn give(shared: &Shared, claim: Option<Claim>, change: &Change) -> Result<Given, Error> {
    let client = shared.store();
    let holder = &shared.settings.host.name;
    let own = format!("{holder} {}", shared.incarnation);
    let Some(claim) = claim else {
        return take(client, own).await.map(Given::Claimed);
    };
    let began = boot_time();
    if began < claim.usable {
        return Ok(Given::Claimed(claim));
    }
    let item = client.get(GIVER_KEY).await?;
    if item.value != own || item.version != claim.version {
        return Ok(Given::Lost);
    }
    // What is left covers the call itself, which has a time limit of its own.
    if boot_time().since(began) > CONFIRMED_FOR / 3 {
        return Err(Error::Unreachable("the confirming read took too long".to_owned()));
    }
    let order = Order { role: change.role, holder, fence: claim.version };
    let outgoing = (shared.deployment.dialect.order)(&order);
    let name = shared.deployment.dialect.headers.instance;
    let instance = Some((name, change.engine.instance.as_str()));
    let sent = call_at(change.engine.address, instance, outgoing).await;
    Ok(Given::Sent(sent.map(|(status, _)| status).map_err(|error| error.to_string())))
}

async fn take(client: Client, own: String) -> Result<Claim, Error> {
    let expect = match client.get(GIVER_KEY).await {
        Ok(item) => item.version,
        Err(Error::Missing) => 0,
        Err(error) => return Err(error),
    };
    let version =
        client.compare_and_swap(GIVER_KEY, &Swap { value: own, expect, lease: None }).await?;
    // Nobody has ever given an order before the first claim.
    let wait = if expect == 0 { Duration::ZERO } else { CLAIM_WAIT };
    Ok(Claim { version, usable: BootTime(boot_time().0 + wait) })
}

impl Actor for Stages {
    type Context = Context<Self>;

    fn started(&mut self, ctx: &mut Context<Self>) {
        ctx.run_interval(LOOK_INTERVAL, |actor, ctx| guard(actor, ctx, Self::look));
    }
}

impl Supervised for Stages {
    fn restarting(&mut self, _ctx: &mut Context<Self>) {
        self.claim = None;
        self.is_busy = false;
    }
}
