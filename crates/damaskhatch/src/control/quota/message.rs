//! The messages that other parts of a host send to its quota actor.

use damaskhatch_policy::quota::{Charge, Verdict};
use damaskhatch_policy::tenure::Tenure;
use tokio::sync::oneshot;

use crate::prelude::*;

/// Charges a request to its team.
#[derive(Debug, Message)]
#[rtype(result = "()")]
pub struct Admit {
    /// The request, the team and the tokens.
    pub charge: Charge,
    /// Receives the holder's reply, or `None` if no holder replied in time.
    pub reply: oneshot::Sender<Option<Reply>>,
}

/// The reply of a bucket holder to a charge.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Reply {
    /// Whether the charge is admitted.
    pub verdict: Verdict,
    /// The holder's domain, to which unused tokens are credited.
    pub domain: Tag,
}

/// Sets the slots that this host may spend from; completes once the tenure is in force.
#[derive(Debug, Message)]
#[rtype(result = "()")]
pub struct SetTenure(pub Box<Tenure>);

/// Credits the tokens that a request was charged but did not use.
#[derive(Debug, Message)]
#[rtype(result = "()")]
pub struct Credit {
    /// The request that was charged.
    pub request: Request,
    /// The team that was charged.
    pub team: Tag,
    /// The domain whose holder made the charge.
    pub domain: Tag,
    /// The number of unused tokens.
    pub tokens: f64,
}
