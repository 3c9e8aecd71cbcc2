//! The control thread: one supervised actor for each kind of shared state.
//!
//! Traffic threads never lock this state. They send messages to its actors and read the
//! snapshots that the actors publish. See [docs/DESIGN.md](../../../../docs/DESIGN.md#threads).

pub mod claims;
pub mod configuration;
pub mod dependency;
pub mod evacuation;
pub mod follow;
pub mod limits;
pub mod lineage;
pub mod listing;
pub mod membership;
pub mod quota;
pub mod roster;
pub mod scheduling;
pub mod speeds;
pub mod stages;
pub mod strikes;
pub mod supervisor;

use actix::Arbiter;
use damaskhatch_policy::config::Snapshot;
use damaskhatch_policy::freshness::{BootTime, Freshness};
use damaskhatch_policy::limit;
use damaskhatch_policy::membership::View;
use damaskhatch_policy::registry::Registry;
use damaskhatch_policy::strike::Ledger;
use damaskhatch_store::era;
use damaskhatch_wire::prelude::Body;
use std::sync::Arc;
use tokio::sync::watch;

use crate::peers::{Arrival, SharedCodec};
use crate::prelude::*;
use crate::shared::Shared;
use crate::supervise::guard;

/// A message from another host, for the actor that handles its kind.
#[derive(Debug, actix::Message)]
#[rtype(result = "()")]
pub struct Incoming(pub Arrival);

/// The channels on which the control actors publish state to all threads.
#[derive(Debug)]
pub struct Publishers {
    /// The configuration in force.
    pub config: watch::Sender<Arc<Snapshot>>,
    /// The hosts of all domains, as far as this host knows them.
    pub view: watch::Sender<Arc<View>>,
    /// The registered upstreams of all services.
    pub registry: watch::Sender<Arc<Registry>>,
    /// When the configuration was last confirmed to be the newest.
    pub freshness: watch::Sender<Freshness>,
    /// Until when a configuration may be held back that was read from a restored store.
    pub held_until: watch::Sender<Option<BootTime>>,
    /// The requests that crashed upstreams.
    pub strikes: watch::Sender<Arc<Ledger>>,
    /// The limits that upstreams have named.
    pub limits: watch::Sender<Arc<limit::Table>>,
}

/// The addresses of all control actors.
#[derive(Debug, Clone)]
pub struct Control {
    /// Exchanges heartbeats and tracks which hosts are alive.
    pub membership: Addr<membership::Membership>,
    /// Reads, stores and distributes the configuration.
    pub configuration: Addr<configuration::Configuration>,
    /// Charges requests, and holds the token buckets of this host's slots.
    pub quota: Addr<quota::Quota>,
    /// Decides which bucket slots this host holds.
    pub roster: Addr<roster::Keeper>,
    /// Runs the schedulers of the services that this host owns.
    pub scheduling: Addr<scheduling::Scheduling>,
    /// Requests pairs of engines from schedulers and renews their leases.
    pub claims: Addr<claims::Claims>,
    /// Records which requests crash upstreams.
    pub strikes: Addr<strikes::Strikes>,
    /// Learns the limits that upstreams name, and grants requests to limited ones.
    pub limits: Addr<limits::Limits>,
    /// Remembers which software version began each stream; `None` if the deployment has no catalogue
    /// of upstreams.
    pub lineage: Option<Addr<lineage::Lineage>>,
    /// Obtains the configuration, its freshness and the upstreams from hosts that read the store;
    /// `None` if the deployment has no catalogue of upstreams.
    pub follow: Option<Addr<follow::Follow>>,
}

/// Runs `react` each time the store was restored, until the actor ends.
pub fn on_restore<A>(era: &era::Tracker, ctx: &mut Context<A>, react: fn(&mut A, &mut Context<A>))
where
    A: Actor<Context = Context<A>>,
{
    on_change(era.restores(), ctx, react);
}

/// Runs `react` each time the watched value has changed, until the actor ends or no sender is left.
pub fn on_change<A, T>(
    mut changes: watch::Receiver<T>,
    ctx: &mut Context<A>,
    react: fn(&mut A, &mut Context<A>),
) where
    A: Actor<Context = Context<A>>,
    T: Send + Sync + 'static,
{
    let next = async move { changes.changed().await.map(|()| changes) };
    let next = actix::fut::wrap_future::<_, A>(next);
    ctx.spawn(next.map(move |next, actor, ctx| {
        if let Ok(changes) = next {
            guard(actor, ctx, react);
            on_change(changes, ctx, react);
        }
    }));
}

impl Control {
    /// Starts all actors on the control thread.
    pub fn start(
        arbiter: &Arbiter,
        shared: &Shared,
        codec: &SharedCodec,
        archive: &configuration::SharedArchive,
        publish: Publishers,
    ) -> Self {
        let Publishers { config, view, registry, freshness, held_until, strikes, limits } = publish;
        let follow_freshness = freshness.clone();
        let thread = arbiter.handle();
        let membership = {
            let shared = shared.clone();
            supervisor::start(&thread, |_| membership::Membership::new(shared, view))
        };
        let configuration = {
            let shared = shared.clone();
            let (codec, archive) = (Arc::clone(codec), Arc::clone(archive));
            let channels = configuration::Channels { config, freshness, held_until };
            supervisor::start(&thread, |_| {
                configuration::Configuration::new(shared, codec, archive, channels)
            })
        };
        let quota = {
            let shared = shared.clone();
            supervisor::start(&thread, |_| quota::Quota::new(shared))
        };
        let roster = {
            let (shared, membership) = (shared.clone(), membership.clone());
            let quota = quota.clone();
            supervisor::start(&thread, |_| roster::Keeper::new(shared, membership, quota))
        };
        let limits = {
            let shared = shared.clone();
            supervisor::start(&thread, |_| limits::Limits::new(shared, limits))
        };
        let scheduling = {
            let (shared, membership) = (shared.clone(), membership.clone());
            let limits = limits.clone();
            supervisor::start(&thread, |_| scheduling::Scheduling::new(shared, membership, limits))
        };
        let claims = {
            let shared = shared.clone();
            supervisor::start(&thread, |_| claims::Claims::new(shared))
        };
        let strikes = {
            let (shared, scheduling) = (shared.clone(), scheduling.clone());
            let channels = strikes::Channels { codec: Arc::clone(codec), publish: strikes };
            supervisor::start(&thread, |_| strikes::Strikes::new(shared, scheduling, channels))
        };
        let lineage = shared.deployment.catalogue.map(|_catalogue| {
            let shared = shared.clone();
            supervisor::start(&thread, |_| lineage::Lineage::new(shared))
        });
        let follow = shared.deployment.catalogue.map(|catalogue| {
            let listing = {
                let (shared, archive) = (shared.clone(), Arc::clone(archive));
                supervisor::start(&thread, move |_| {
                    listing::Listing::new(shared, catalogue, archive, registry)
                })
            };
            let (shared, codec) = (shared.clone(), Arc::clone(codec));
            let configuration = configuration.clone();
            supervisor::start(&thread, move |_| {
                follow::Follow::new(shared, codec, configuration, listing, follow_freshness)
            })
        });
        if shared.settings.schedule.prefill_percent > 0 {
            let (shared, limits) = (shared.clone(), limits.clone());
            supervisor::start(&thread, |_| stages::Stages::new(shared, limits));
        }
        Self {
            membership,
            configuration,
            quota,
            roster,
            scheduling,
            claims,
            strikes,
            limits,
            lineage,
            follow,
        }
    }

    /// Sends a message to the actor that handles its kind.
    pub fn deliver(&self, arrival: Arrival) {
        match &arrival.body {
            Body::Heartbeat { .. }
            | Body::Availability(_)
            | Body::Evacuations { .. }
            | Body::Speeds(_) => {
                self.membership.do_send(Incoming(arrival));
            }
            Body::Charge(_)
            | Body::Charged { .. }
            | Body::Credit { .. }
            | Body::Borrow { .. }
            | Body::Lend { .. }
            | Body::Repay { .. }
            | Body::HandOver { .. } => self.quota.do_send(Incoming(arrival)),
            Body::Enqueue(_) | Body::Renew { .. } | Body::Release { .. } => {
                self.scheduling.do_send(Incoming(arrival));
            }
            Body::Queued(_)
            | Body::Grant { .. }
            | Body::Refuse { .. }
            | Body::Redirect { .. }
            | Body::UnknownRequests(_)
            | Body::Released(_) => self.claims.do_send(Incoming(arrival)),
            Body::Strikes(_) | Body::StrikeDigest { .. } | Body::Proofs(_) => {
                self.strikes.do_send(Incoming(arrival));
            }
            Body::Limits(_) | Body::GetLimits | Body::Ask { .. } | Body::Permit { .. } => {
                self.limits.do_send(Incoming(arrival));
            }
            Body::Withdraw(_) | Body::Withdrawn(_) => self.configuration.do_send(Incoming(arrival)),
            Body::Vouch { .. } | Body::GetVouch { .. } | Body::RosterChanged { .. } => {
                self.roster.do_send(Incoming(arrival));
            }
            Body::Begun(_) | Body::FindStream { .. } | Body::StreamFound { .. } => {
                if let Some(lineage) = &self.lineage {
                    lineage.do_send(Incoming(arrival));
                }
            }
            Body::GetFreshness { .. } | Body::Freshness { .. } => {
                if let Some(follow) = &self.follow {
                    follow.do_send(Incoming(arrival));
                }
            }
            Body::GetListing { .. }
            | Body::Listing { .. }
            | Body::GetUpstreams { .. }
            | Body::Upstreams { .. }
            | Body::GetEntries { .. }
            | Body::Entries { .. }
            | Body::GetHead
            | Body::GetStrikes
            | Body::Head { .. }
            | Body::GetChunks(_)
            | Body::Chunks(_)
            | Body::GetCompressedChunks(_)
            | Body::CompressedChunks(_)
            | Body::Busy => {
                let peer = arrival.source;
                log::debug!("event=datagram_ignored peer={peer} reason=tcp_only");
            }
        }
    }
}
