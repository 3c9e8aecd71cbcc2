//! The events of one stream on their way to the caller.
//!
//! A stream whose engine breaks off goes on at another engine after the last whole
//! event, where its route allows that; its caller sees a pause. Otherwise the
//! caller's connection ends without the end of the body.

use std::io;

use bytes::Bytes;
use damaskhatch_exchange as exchange;
use damaskhatch_policy::attempt::Outcome;
use damaskhatch_policy::routing::Repeat;
use futures_util::stream::{Stream, unfold};
use tokio::time::timeout_at;

use super::attempt::{Failure, may_go_on, note_failure};
use super::events::Splitter;
use super::pair::{Progress, Running, start};
use super::request::Routed;
use crate::entry::Entry;

/// What a stream runs on.
#[derive(Debug)]
pub struct Parts {
    /// The host.
    pub entry: Entry,
    /// The request.
    pub routed: Routed,
    /// What became of it so far.
    pub progress: Progress,
    /// The engine's answer, and what the engine keeps for it.
    pub running: Running,
}

#[derive(Debug)]
struct State {
    parts: Parts,
    splitter: Splitter,
    is_first: bool,
    is_ended: bool,
}

/// The body of the caller's answer: whole events only.
///
/// An error item ends the caller's connection without the end of the body.
pub fn stream(parts: Parts) -> impl Stream<Item = io::Result<Bytes>> {
    let state = State { parts, splitter: Splitter::default(), is_first: true, is_ended: false };
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
            let Ok(read) = timeout_at(limit, self.parts.running.answer.next_chunk()).await else {
                self.end("time_limit");
                return Err(io::Error::new(io::ErrorKind::TimedOut, "the time limit is over"));
            };
            match read {
                Some(Ok(bytes)) => {
                    let whole = self.take(&bytes)?;
                    if !whole.is_empty() {
                        return Ok(Some(whole));
                    }
                }
                Some(Err(error)) => self.go_on(error).await?,
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

    /// Takes in bytes and returns the whole events among what is there.
    fn take(&mut self, bytes: &[u8]) -> io::Result<Bytes> {
        let whole = self.splitter.push(bytes).map_err(|gap| {
            self.end("event_out_of_order");
            io::Error::other(gap)
        })?;
        if !whole.is_empty() && std::mem::take(&mut self.is_first) {
            let took = self.parts.routed.arrived.elapsed();
            self.parts.entry.shared.metrics.first_token.observe(took.as_secs_f64());
        }
        Ok(whole)
    }

    /// Goes on at another engine after the last whole event, or ends the stream with `error`.
    async fn go_on(&mut self, error: exchange::Error) -> io::Result<()> {
        let last = self.splitter.resume();
        let Parts { entry, routed, progress, running } = &mut self.parts;
        let failure = Failure { outcome: Outcome::Unknown, ..Failure::of(&error) };
        let upstream = &running.reservation.upstream;
        note_failure(entry, routed, upstream, &failure, "stream");
        progress.avoid.insert(upstream.tag);
        if let Some(last) = last {
            progress.last_event = Some(last);
            progress.tokens_done = last as u32 * running.event_tokens;
        }
        // Without an id nobody could say after which of the events to go on.
        let has_place = self.is_first || last.is_some();
        let is_resumable = has_place && routed.route.repeat == Repeat::ResumableStream;
        if !is_resumable || !may_go_on(entry, routed, progress.history) {
            self.end("upstream_broke_off");
            return Err(io::Error::other(error));
        }
        match start(entry, routed, progress).await {
            Ok(next) if next.answer.head.status.is_success() => {
                *running = next;
                Ok(())
            }
            _ => {
                self.end("not_resumed");
                Err(io::Error::other(error))
            }
        }
    }

    /// Takes in the length of a whole answer.
    fn learn(&self) {
        let Parts { entry, routed, running, .. } = &self.parts;
        if let (Some(tokens), Some(last)) = (routed.tokens, self.splitter.last_id()) {
            let actual = last as u32 * running.event_tokens;
            entry.with_learned(routed.service, |learned| {
                learned.lengths.observe(tokens.most_output, tokens.hint, actual);
            });
        }
    }

    fn end(&mut self, how: &str) {
        self.is_ended = true;
        let Parts { entry, routed, running, .. } = &self.parts;
        let took = routed.arrived.elapsed().as_millis();
        let last = self.splitter.last_id().unwrap_or(0);
        entry.shared.journal.record(
            &routed.label,
            format_args!(
                "event=stream_ended how={how} upstream={} last_event={last} took_ms={took}",
                running.reservation.upstream.instance
            ),
        );
        entry.shared.metrics.requests.with_label_values(&["stream", how]).inc();
    }
}

impl Drop for State {
    fn drop(&mut self) {
        if !self.is_ended {
            self.end("caller_left");
        }
    }
}
