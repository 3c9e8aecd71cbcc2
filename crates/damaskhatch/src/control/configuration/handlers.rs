//! Handles the messages of the operators' interface and of other actors.

use damaskhatch_policy::config::Head;
use damaskhatch_policy::sheet::Row;
use damaskhatch_store::error::Error;

use super::Configuration;
use super::message::{
    Accept, Confirmations, GetConfirmations, GetRows, Issue, Pull, Rows, Withdraw,
};
use crate::prelude::*;
use crate::supervise::guard;

impl Handler<Pull> for Configuration {
    type Result = ();

    fn handle(&mut self, message: Pull, ctx: &mut Context<Self>) {
        guard(self, ctx, |actor, ctx| {
            let ahead = actor.shared.hosts().peers_ahead(Instant::now(), &mut rand::rng());
            let others = ahead.into_iter().filter(|peer| *peer != message.0);
            actor.pull_from(std::iter::once(message.0).chain(others).collect(), ctx);
        });
    }
}

impl Handler<Accept> for Configuration {
    type Result = ResponseActFuture<Self, Result<Head, Error>>;

    fn handle(&mut self, message: Accept, ctx: &mut Context<Self>) -> Self::Result {
        let Accept { rows, base, operation } = message;
        let retried = operation.clone();
        self.write_revision(ctx, operation, move |state| {
            let head = state.head();
            if head.revision != base && !head.includes(&retried) {
                return Err(Error::Superseded(head.revision));
            }
            Ok(state.with_sheet(&rows))
        })
    }
}

impl Handler<Issue> for Configuration {
    type Result = ResponseActFuture<Self, Result<Head, Error>>;

    fn handle(&mut self, message: Issue, ctx: &mut Context<Self>) -> Self::Result {
        let Issue { digest, team, operation } = message;
        self.write_revision(ctx, operation, move |state| {
            if state.snapshot().team(Tag::of(&team)).is_none() {
                return Err(Error::Missing);
            }
            Ok(state.with_row(Some(Row::Key { digest, team })))
        })
    }
}

impl Handler<Withdraw> for Configuration {
    type Result = ();

    fn handle(&mut self, message: Withdraw, ctx: &mut Context<Self>) {
        guard(self, ctx, |actor, _| {
            actor.withdraw(&message.0);
            actor.broadcast_withdrawal(&message.0);
        });
    }
}

impl Handler<GetConfirmations> for Configuration {
    type Result = Confirmations;

    fn handle(&mut self, message: GetConfirmations, _ctx: &mut Context<Self>) -> Confirmations {
        let broadcast = self.broadcasts.get(&message.0);
        let hosts = broadcast.map(|broadcast| broadcast.confirmed.clone()).unwrap_or_default();
        Confirmations { hosts, is_saved: !self.state.has_unsaved_withdrawal() }
    }
}

impl Handler<GetRows> for Configuration {
    type Result = Rows;

    fn handle(&mut self, _message: GetRows, _ctx: &mut Context<Self>) -> Rows {
        Rows { revision: self.state.head().revision, rows: self.state.rows().to_vec() }
    }
}
