//! Restarts a control actor whose context panics, behind the same address.
//!
//! The supervisor of the actor runtime restarts an actor that stops, but a panic ends the supervisor
//! itself, and with it the actor for good. [`guard`](crate::supervise::guard) catches panics of the events
//! that it is told of; this catches those of all others, such as the futures that an actor spawns.

use std::any::type_name;
use std::panic::{AssertUnwindSafe, catch_unwind};
use std::time::Duration;

use actix::dev::ContextFut;
use actix::dev::channel::channel;
use actix::{Actor, Addr, ArbiterHandle, Context, Supervised};
use futures_util::FutureExt as _;

/// The number of messages that wait for an actor, as with the supervisor of the runtime.
const MAILBOX_MESSAGES: usize = 16;
/// The pause after a panic, so that an actor that panics at each start leaves time to the others.
const RESTART_PAUSE: Duration = Duration::from_millis(100);

/// Starts an actor on a thread, and restarts it with fresh state whenever it stops or panics.
pub fn start<A>(
    thread: &ArbiterHandle,
    create: impl FnOnce(&mut Context<A>) -> A + Send + 'static,
) -> Addr<A>
where
    A: Supervised + Actor<Context = Context<A>> + Unpin,
{
    let (sender, receiver) = channel(MAILBOX_MESSAGES);
    thread.spawn_fn(move || {
        let mut context = Context::with_receiver(receiver);
        let actor = create(&mut context);
        actix_rt::spawn(run(context.into_future(actor)));
    });
    Addr::new(sender)
}

/// Runs an actor, again and again, until nothing has its address.
async fn run<A>(mut context: ContextFut<A, Context<A>>)
where
    A: Supervised + Actor<Context = Context<A>> + Unpin,
{
    loop {
        let ended = AssertUnwindSafe(&mut context).catch_unwind().await;
        // The panic hook has logged the panic with its message.
        if ended.is_err() {
            log::error!("event=actor_panic actor={} action=restart", type_name::<A>());
            tokio::time::sleep(RESTART_PAUSE).await;
        }
        // The context runs again even if the state could not be reset.
        let restarted = catch_unwind(AssertUnwindSafe(|| context.restart()));
        if matches!(restarted, Ok(false)) {
            return;
        }
    }
}
