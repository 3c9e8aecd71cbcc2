//! Guards against a panic in one control actor that loses its address, keeps corrupt state, or
//! affects another actor.

use actix::fut::ActorFutureExt as _;
use actix::{
    Actor, Arbiter, AsyncContext as _, Context, Handler, Message, Supervised, Supervisor,
    WrapFuture as _,
};
use damaskhatch::control::supervisor;
use damaskhatch::supervise::guard;

#[derive(Debug, Message)]
#[rtype(result = "u32")]
struct Add(u32);

#[derive(Debug, Message)]
#[rtype(result = "()")]
struct Panic;

#[derive(Debug, Default)]
struct Counter {
    sum: u32,
    restarts: u32,
}

impl Actor for Counter {
    type Context = Context<Self>;
}

impl Supervised for Counter {
    fn restarting(&mut self, _ctx: &mut Context<Self>) {
        self.sum = 0;
        self.restarts += 1;
    }
}

impl Handler<Add> for Counter {
    type Result = u32;

    fn handle(&mut self, message: Add, ctx: &mut Context<Self>) -> u32 {
        guard(self, ctx, |actor, _| actor.sum += message.0);
        self.restarts * 1_000 + self.sum
    }
}

impl Handler<Panic> for Counter {
    type Result = ();

    fn handle(&mut self, _message: Panic, ctx: &mut Context<Self>) {
        guard(self, ctx, |actor, _| {
            actor.sum = 999;
            panic!("on purpose");
        });
    }
}

#[actix_web::test]
async fn a_panic_restarts_one_actor_with_clean_state() {
    let panicking = Supervisor::start(|_| Counter::default());
    let other = Supervisor::start(|_| Counter::default());
    assert_eq!(panicking.send(Add(5)).await, Ok(5));
    assert_eq!(other.send(Add(7)).await, Ok(7));
    let _reply = panicking.send(Panic).await;
    assert_eq!(panicking.send(Add(3)).await, Ok(1_003), "it restarted once with its state reset");
    assert_eq!(other.send(Add(1)).await, Ok(8), "the other actor is unaffected");
}

#[derive(Debug, Message)]
#[rtype(result = "()")]
struct PanicLater;

impl Handler<PanicLater> for Counter {
    type Result = ();

    fn handle(&mut self, _message: PanicLater, ctx: &mut Context<Self>) {
        let reply = async { "a reply that is not what was expected" };
        ctx.spawn(reply.into_actor(self).map(|reply, actor, _ctx| {
            actor.sum = 999;
            panic!("{reply}, on purpose");
        }));
    }
}

/// Guards against an actor that is gone for good after a panic at a reply of the store or of a host (FAULT).
#[actix_web::test]
async fn a_panic_of_a_spawned_future_restarts_the_actor() {
    let counter = supervisor::start(&Arbiter::current(), |_| Counter::default());
    assert_eq!(counter.send(Add(5)).await, Ok(5));
    for restarts in 1..=3 {
        counter.send(PanicLater).await.expect("the actor exists");
        actix_rt::task::yield_now().await;
        let sum = restarts * 1_000 + 3;
        assert_eq!(counter.send(Add(3)).await, Ok(sum), "it restarted with its state reset");
    }
}

/// An actor that panics at each of its first starts.
#[derive(Debug)]
struct Late {
    starts: u32,
}

impl Actor for Late {
    type Context = Context<Self>;

    fn started(&mut self, _ctx: &mut Context<Self>) {
        self.starts += 1;
        assert!(self.starts > 3, "on purpose, at start {}", self.starts);
    }
}

impl Supervised for Late {}

impl Handler<Add> for Late {
    type Result = u32;

    fn handle(&mut self, message: Add, _ctx: &mut Context<Self>) -> u32 {
        self.starts + message.0
    }
}

/// Guards against an actor that is gone for good, or takes all time of its thread, because it panics at its
/// start (FAULT).
#[actix_web::test]
async fn a_panic_at_the_start_of_an_actor_is_tried_again_after_a_pause() {
    let began = tokio::time::Instant::now();
    let late = supervisor::start(&Arbiter::current(), |_| Late { starts: 0 });
    assert_eq!(late.send(Add(100)).await, Ok(104));
    assert!(began.elapsed() >= std::time::Duration::from_millis(300), "{:?}", began.elapsed());
}
