//! Guards against a panic in one control actor that loses its address, keeps corrupt state, or
//! affects another actor.

use actix::{Actor, Context, Handler, Message, Supervised, Supervisor};
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
