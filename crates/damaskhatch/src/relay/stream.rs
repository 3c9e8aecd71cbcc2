//! The events of one stream on their way to the caller.

use std::io;

use bytes::Bytes;
use damaskhatch_exchange::Answer;
use futures_util::stream::{Stream, unfold};
use tokio::time::timeout_at;

use super::events::Splitter;
use super::held::Reservation;
use super::request::Routed;
use crate::entry::Entry;

/// What a stream runs on.
#[derive(Debug)]
pub struct Parts {
    /// The host.
    pub entry: Entry,
    /// The request.
    pub routed: Routed,
    /// The decode engine and what it keeps.
    pub reservation: Reservation,
    /// The engine's answer.
    pub answer: Answer,
    /// Tokens that one event carries.
    pub event_tokens: u32,
}

#[derive(Debug)]
struct State {
    parts: Parts,
    splitter: Splitter,
    is_first: bool,
}

/// The body of the caller's answer: whole events only.
///
/// An error item ends the caller's connection without the end of the body.
pub fn stream(parts: Parts) -> impl Stream<Item = io::Result<Bytes>> {
    let state = State { parts, splitter: Splitter::default(), is_first: true };
    unfold(Some(state), async |state| {
        let mut state = state?;
        match state.next().await {
            Ok(Some(bytes)) => Some((Ok(bytes), Some(state))),
            Ok(None) => None,
            Err(error) => Some((Err(error), None)),
        }
    })
}

impl State {
    /// The next whole events, or `None` after the last.
    async fn next(&mut self) -> io::Result<Option<Bytes>> {
        loop {
            let limit = self.parts.routed.limit;
            let Ok(read) = timeout_at(limit, self.parts.answer.next()).await else {
                self.end("time_limit");
                return Err(io::Error::new(io::ErrorKind::TimedOut, "the time limit is over"));
            };
            match read {
                Some(Ok(bytes)) => {
                    let whole = self.splitter.push(&bytes);
                    if !whole.is_empty() {
                        self.note_first();
                        return Ok(Some(whole));
                    }
                }
                Some(Err(error)) => {
                    self.end("upstream_broke_off");
                    return Err(io::Error::other(error));
                }
                None => {
                    let rest = self.splitter.rest();
                    if rest.is_empty() {
                        self.learn();
                        self.end("complete");
                        return Ok(None);
                    }
                    return Ok(Some(rest));
                }
            }
        }
    }

    fn note_first(&mut self) {
        if std::mem::take(&mut self.is_first) {
            let took = self.parts.routed.arrived.elapsed();
            self.parts.entry.shared.metrics.first_token.observe(took.as_secs_f64());
        }
    }

    /// Takes in the length of a whole answer.
    fn learn(&self) {
        let Parts { entry, routed, event_tokens, .. } = &self.parts;
        if let (Some(tokens), Some(last)) = (routed.tokens, self.splitter.last_id()) {
            let actual = last as u32 * event_tokens;
            entry.with_lengths(routed.service, |forecast| {
                forecast.observe(tokens.most_output, tokens.hint, actual);
            });
        }
    }

    fn end(&self, how: &str) {
        let Parts { entry, routed, reservation, .. } = &self.parts;
        let took = routed.arrived.elapsed().as_millis();
        let last = self.splitter.last_id().unwrap_or(0);
        entry.shared.journal.record(
            &routed.label,
            format_args!(
                "event=stream_ended how={how} upstream={} last_event={last} took_ms={took}",
                reservation.upstream.instance
            ),
        );
        entry.shared.metrics.requests.with_label_values(&["stream", how]).inc();
    }
}
