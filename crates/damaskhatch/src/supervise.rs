//! Restarts a control actor that panics, with fresh state and without affecting other actors.
//!
//! The actor runtime does not catch panics in handlers, so every event of a control actor runs
//! inside [`guard`]. A panic stops the actor's context, and `actix::Supervisor` restarts the actor
//! behind the same address. Tasks that must last as long as the process are started by
//! [`spawn_lasting`], so that an end of one does not go unnoticed.

use std::fmt::Debug;
use std::panic::{AssertUnwindSafe, catch_unwind};

use actix::{Actor, ActorContext, Context};
use futures_util::FutureExt as _;
use tokio::task::JoinHandle;

use crate::stop::Stop;

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

/// Runs one step of a task; a panic ends the step only.
pub fn contain(step: impl FnOnce()) {
    // The panic hook has logged the panic with its message.
    let _outcome = catch_unwind(AssertUnwindSafe(step));
}

/// Starts a task that lasts until the host stops, and logs its end if it ends before.
pub fn spawn_lasting<T>(
    name: &'static str,
    stop: &Stop,
    task: impl Future<Output = T> + 'static,
) -> JoinHandle<()>
where
    T: Debug + 'static,
{
    let stop = stop.clone();
    actix_rt::spawn(async move {
        let ended = AssertUnwindSafe(task).catch_unwind().await;
        if stop.has_begun() {
            return;
        }
        match ended {
            Ok(result) => log::error!("event=task_ended task={name} result={result:?}"),
            // The panic hook has logged the panic with its message.
            Err(_panic) => log::error!("event=task_ended task={name} result=panic"),
        }
    })
}
