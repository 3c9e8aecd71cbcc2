//! Forwards the events of one stream to the caller.
//!
//! If the engine's response breaks off and the route allows it, the stream is resumed at
//! another engine after the last complete event, and the caller only sees a pause.
//! Otherwise the caller's connection is closed without the end of the body. A body breaks off if
//! its connection fails or if its end is judged to be [`Verdict::Truncated`].

use std::io;

use bytes::Bytes;
use damaskhatch_exchange::memory::Share;
use damaskhatch_exchange::{self as exchange, Framing, Result};
use damaskhatch_policy::attempt::Outcome;
use damaskhatch_policy::ending::{Content, Verdict};
use damaskhatch_policy::prelude::Instant;
use damaskhatch_policy::routing::Repeat;
use damaskhatch_policy::silence;
use futures_util::stream::{Stream, try_unfold};
use tokio::time::timeout_at;

use super::attempt::{Attempt, Failure, record_failure, try_acquire_retry};
use super::continuation::{Stalled, can_follow, is_resumable};
use super::crash::{Broken, examine, examine_if_silent, judge_close};
use super::pair::{Progress, Running, start};
use super::request::Routed;
use crate::entry::Entry;
use crate::entry::refusal::Refusal;
use crate::upstream::events::{self, Splitter, is_event_stream};

/// What is needed to forward a stream and to resume it at another engine.
#[derive(Debug)]
pub struct Parts {
    /// The state shared by this host's handlers.
    pub entry: Entry,
    /// The request, sent again if the stream is resumed.
    pub routed: Routed,
    /// The attempts so far and the point from which to resume.
    pub progress: Progress,
    /// The current engine's response and the reservation that it uses.
    pub running: Running,
}

/// A stream being forwarded, whose end is logged at the latest when this is dropped.
#[derive(Debug)]
struct State {
    parts: Parts,
    splitter: Splitter,
    /// The memory of the event that has not ended.
    memory: Share,
    /// Whether the response consists of events; any other is forwarded as it arrives.
    has_events: bool,
    /// Whether bytes of a response without events have been forwarded.
    has_opaque_bytes: bool,
    /// Whether the end of the stream has been logged and counted.
    is_ended: bool,
    /// When the current engine last sent bytes.
    last_byte_at: Instant,
    /// When the engine is taken for stalled.
    silence: silence::Watch,
    /// Bytes received after the last complete event, when the body ended.
    rest_bytes: usize,
}

/// What came of a stalled stream first.
enum Found {
    /// The stalled engine completed an event.
    Event,
    /// Its response ended.
    End(Option<Result<Bytes>>),
    /// Another engine responded, or none can be had.
    Other(Box<std::result::Result<Running, Refusal>>),
}

/// Returns the body of the caller's response, made of complete events only.
///
/// An error item ends it as one that broke off.
pub fn stream(parts: Parts) -> impl Stream<Item = io::Result<Bytes>> {
    let target_latency = parts.routed.route.target_latency;
    let state = State {
        has_events: is_event_stream(&parts.running.response.head.headers, true),
        has_opaque_bytes: false,
        memory: parts.entry.shared.memory.responses.share(),
        parts,
        splitter: Splitter::default(),
        is_ended: false,
        last_byte_at: Instant::now(),
        silence: silence::Watch::new(target_latency, Instant::now()),
        rest_bytes: 0,
    };
    try_unfold(state, async |mut state| Ok(state.next().await?.map(|bytes| (bytes, state))))
}

impl State {
    /// The next complete events, or `None` after the last.
    async fn next(&mut self) -> io::Result<Option<Bytes>> {
        loop {
            let limit = self.parts.routed.limit;
            let stalled_at = self.silence.stalled_at().filter(|_| self.is_resumable());
            let until = stalled_at.map_or(limit, |stalled_at| stalled_at.min(limit));
            let read = match timeout_at(until, self.parts.running.response.next_chunk()).await {
                Ok(read) => read,
                Err(_elapsed) if until < limit => match self.replace_stalled().await {
                    Some(read) => read,
                    None => continue,
                },
                Err(_elapsed) => {
                    self.examine_silent();
                    self.end("time_limit");
                    return Err(io::Error::new(
                        io::ErrorKind::TimedOut,
                        "stream not complete at the time limit of its request",
                    ));
                }
            };
            match read {
                Some(Ok(bytes)) => {
                    self.last_byte_at = Instant::now();
                    match self.split_events(bytes) {
                        Ok(complete) => {
                            let kept = self.memory.resize(self.splitter.rest_bytes());
                            // If it has failed, it does so again at the next bytes.
                            if !complete.is_empty() {
                                return Ok(Some(complete));
                            }
                            if let Err(exhausted) = kept {
                                self.resume(exhausted.to_string()).await?;
                            }
                        }
                        Err(too_long @ events::Error::TooLong(_)) => {
                            self.resume(too_long.to_string()).await?;
                        }
                        Err(out_of_order) => {
                            self.end("event_out_of_order");
                            return Err(io::Error::other(out_of_order));
                        }
                    }
                }
                Some(Err(error)) => self.resume(error.to_string()).await?,
                None => match self.judge_end().await {
                    Verdict::Truncated => {
                        let framing = self.parts.running.response.framing;
                        let rest = self.splitter.rest_bytes();
                        let reason = format!(
                            "body broke off: framing {framing}, {rest} bytes after the last event"
                        );
                        self.resume(reason).await?;
                    }
                    verdict => {
                        self.record_end(verdict);
                        return Ok(None);
                    }
                },
            }
        }
    }

    /// Judges and counts the end of a body that ended without an error.
    async fn judge_end(&self) -> Verdict {
        let Parts { entry, routed, running, .. } = &self.parts;
        let framing = running.response.framing;
        let is_resumed = routed.is_resumed(entry);
        let content =
            if self.has_events { self.splitter.content(is_resumed) } else { Content::Opaque };
        let mut verdict = Verdict::of_body(framing != Framing::Close, content);
        if verdict == Verdict::Unverified {
            verdict = judge_close(entry, self.broken(), routed.limit).await;
        }
        entry.count_end(framing, verdict);
        verdict
    }

    /// Ends a stream that has not broken off. Only a complete one is evidence of anything.
    fn record_end(&mut self, verdict: Verdict) {
        if verdict == Verdict::Complete {
            self.record_length();
            let Parts { entry, routed, running, .. } = &self.parts;
            entry.report_served(&routed.fingerprints, running.reservation.upstream.tag);
        }
        self.end(verdict.name());
    }

    /// Returns the events that `bytes` completes, and records the time to the first of them.
    fn split_events(&mut self, bytes: Bytes) -> std::result::Result<Bytes, events::Error> {
        if !self.has_events {
            self.has_opaque_bytes = true;
            return Ok(bytes);
        }
        let (had_event, before) = (self.splitter.has_event(), self.splitter.progress());
        let complete = self.splitter.push(&bytes)?;
        if self.splitter.progress() != before {
            self.silence.record_event(Instant::now());
        }
        if !had_event && self.splitter.has_event() {
            let took = self.parts.routed.arrived_at.elapsed();
            self.parts.entry.shared.metrics.first_token.observe(took.as_secs_f64());
        }
        Ok(complete)
    }

    /// Resumes at another engine after the last complete event, or fails for `reason`.
    async fn resume(&mut self, reason: String) -> io::Result<()> {
        self.rest_bytes = self.splitter.rest_bytes();
        self.discard_rest(self.parts.running.response.framing);
        self.memory = self.parts.entry.shared.memory.responses.share();
        // An engine that sends bytes which are no events would go on with it meanwhile.
        self.parts.running.response.close();
        let Parts { entry, routed, progress, running } = &self.parts;
        let error = io::Error::other(reason.clone());
        let failure = Failure { outcome: Outcome::Unknown, reason, is_upstream_at_fault: true };
        let upstream = &running.reservation.upstream;
        let (sent_at, history) = (running.sent_at, progress.history);
        let attempt = Attempt { upstream, sent_at, phase: "stream", history };
        record_failure(entry, routed, attempt, &failure).await;
        let mut how = "upstream_broke_off";
        while self.is_resumable() && self.try_acquire_retry() {
            how = "not_resumed";
            self.exclude_current();
            let Parts { entry, routed, progress, .. } = &mut self.parts;
            let Ok(next) = start(entry, routed, progress).await else { break };
            if self.continue_with(next).await {
                return Ok(());
            }
        }
        self.end(how);
        Err(error)
    }

    /// Resumes a stream whose engine has stalled at another engine, or goes on waiting for this one if
    /// no other can be had.
    ///
    /// Returns what the stalled engine has sent if it completes an event before another one is found,
    /// and the end of its response.
    async fn replace_stalled(&mut self) -> Option<Option<Result<Bytes>>> {
        let Parts { entry, routed, running, .. } = &self.parts;
        entry.shared.journal.record(
            &routed.label,
            format_args!(
                "event=stream_stalled upstream={} last_event={} rest_bytes={}",
                running.reservation.upstream.instance,
                self.splitter.last_id().unwrap_or(0),
                self.splitter.rest_bytes()
            ),
        );
        if !self.try_acquire_retry() {
            self.silence.waive();
            return None;
        }
        self.exclude_current();
        let Parts { entry, routed, progress, running } = &mut self.parts;
        let mut stalled = Stalled::new(&self.splitter);
        let found = {
            let mut started = std::pin::pin!(start(entry, routed, progress));
            loop {
                let read = tokio::select! {
                    biased;
                    read = running.response.next_chunk(), if stalled.failure.is_none() => read,
                    started = &mut started => break Found::Other(Box::new(started)),
                };
                let Some(Ok(bytes)) = read else { break Found::End(read) };
                if stalled.push(&bytes) {
                    break Found::Event;
                }
            }
        };
        let Stalled { ahead, received, failure } = stalled;
        match found {
            Found::Event => return Some(Some(Ok(received.freeze()))),
            Found::End(read) => {
                // They may be the beginning of an event, which decides whether this is a sound end.
                let _comments = self.splitter.push(&received);
                return Some(read);
            }
            Found::Other(started) => {
                if let Ok(next) = *started {
                    let framing = self.parts.running.response.framing;
                    if self.continue_with(next).await {
                        self.splitter = ahead;
                        self.discard_rest(framing);
                        return None;
                    }
                }
                if let Some(too_long) = failure {
                    return Some(Some(Err(exchange::Error::Broken(too_long.to_string()))));
                }
                self.silence.waive();
            }
        }
        (!received.is_empty()).then(|| Some(Ok(received.freeze())))
    }

    /// Whether the route and what was forwarded so far allow the stream to go on at another engine.
    fn is_resumable(&self) -> bool {
        self.parts.routed.route.repeat == Repeat::ResumableStream
            && is_resumable(&self.parts.running.response.head)
            && self.splitter.has_resume_point()
            && !self.has_opaque_bytes
    }

    fn try_acquire_retry(&self) -> bool {
        let Parts { entry, routed, progress, .. } = &self.parts;
        try_acquire_retry(entry, routed, progress.history)
    }

    /// Has the rest of the stream start after the last complete event, at another engine.
    fn exclude_current(&mut self) {
        let Parts { progress, running, .. } = &mut self.parts;
        progress.excluded.insert(running.reservation.upstream.tag);
        if let Some(last) = self.splitter.last_id() {
            progress.last_event = Some(last);
            progress.tokens_done = last as u32 * running.event_tokens;
        }
    }

    /// Discards the bytes after the last complete event of a response that has not ended.
    fn discard_rest(&mut self, framing: Framing) {
        self.splitter.resume();
        if framing == Framing::Length {
            // It announced more bytes than it has sent.
            self.splitter.expect_more();
        }
    }

    /// Goes on with the response of another engine; returns whether that is possible.
    async fn continue_with(&mut self, next: Running) -> bool {
        let Parts { entry, routed, progress, running } = &mut self.parts;
        let (first, head) = (&running.response.head, &next.response.head);
        if !can_follow(first, head) {
            let reason =
                format!("response with status {} does not go on with the stream", head.status);
            let failure = Failure { outcome: Outcome::Ran, reason, is_upstream_at_fault: false };
            let (upstream, history) = (&next.reservation.upstream, progress.history);
            let attempt = Attempt { upstream, sent_at: next.sent_at, phase: "decode", history };
            record_failure(entry, routed, attempt, &failure).await;
            progress.excluded.insert(upstream.tag);
            return false;
        }
        *running = next;
        self.rest_bytes = 0;
        self.last_byte_at = Instant::now();
        self.silence.restart(Instant::now());
        true
    }

    /// Examines in the background whether the engine of a stream at its time limit has crashed.
    fn examine_silent(&self) {
        actix_rt::spawn(examine(self.parts.entry.clone(), self.broken()));
    }

    /// Describes the current attempt as one that its engine has not completed.
    fn broken(&self) -> Broken {
        let Parts { routed, running, .. } = &self.parts;
        Broken::new(routed, &running.reservation.upstream, running.sent_at)
    }

    /// Adds a complete response's length to the service's length forecast.
    fn record_length(&self) {
        let Parts { entry, routed, running, .. } = &self.parts;
        if let (Some(tokens), Some(last)) = (routed.tokens, self.splitter.last_id()) {
            let actual = last as u32 * running.event_tokens;
            entry.with_learned(routed.service, |learned| {
                learned.lengths.observe(tokens.max_output, tokens.hint, actual);
            });
        }
    }

    /// Logs and counts the end of the stream.
    fn end(&mut self, how: &str) {
        self.is_ended = true;
        let Parts { entry, routed, running, .. } = &self.parts;
        let took = routed.arrived_at.elapsed().as_millis();
        let last = self.splitter.last_id().unwrap_or(0);
        entry.shared.journal.record(
            &routed.label,
            format_args!(
                "event=stream_ended how={how} upstream={} last_event={last} took_ms={took} \
                 framing={} rest_bytes={}",
                running.reservation.upstream.instance, running.response.framing, self.rest_bytes
            ),
        );
        entry.shared.metrics.requests.with_label_values(&["stream", how]).inc();
    }
}

impl Drop for State {
    fn drop(&mut self) {
        if !self.is_ended {
            examine_if_silent(&self.parts.entry, self.broken(), self.last_byte_at);
            self.end("caller_left");
        }
    }
}
