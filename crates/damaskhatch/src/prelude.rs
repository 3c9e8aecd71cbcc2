//! Re-exports of the actor framework and the policy types that most actors of this crate use.

pub use actix::{
    Actor, ActorFutureExt, Addr, AsyncContext, Context, Handler, Message, MessageResponse,
    ResponseActFuture, SpawnHandle, Supervised, WrapFuture,
};
pub use damaskhatch_policy::prelude::*;
