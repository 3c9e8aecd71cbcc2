//! Restarts a control actor that panics, with fresh state and without affecting other actors.
//!
//! The actor runtime does not catch panics in handlers, so every event of a control actor runs
//! inside [`guard`]. A panic stops the actor's context, and `actix::Supervisor` restarts the actor
//! behind the same address.

use std::panic::{AssertUnwindSafe, catch_unwind};

use actix::{Actor, ActorContext, Context};

/// Runs the handler of one event of an actor; restarts the actor if it panics.
pub fn guard<A>(actor: &mut A, ctx: &mut Context<A>, event: impl FnOnce(&mut A, &mut Context<A>))
where
    A: Actor<Context = Context<A>>,
{
    let outcome = catch_unwind(AssertUnwindSafe(|| event(actor, ctx)));
    if outcome.is_err() {
        log::error!("event=actor_panic actor={} action=restart", std::any::type_name::<A>());
        ctx.stop();
    }
}
