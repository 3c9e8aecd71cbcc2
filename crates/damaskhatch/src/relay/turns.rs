//! The turns of a request that waits for room, among the others of its service on this host.
//!
//! Only where the configuration gives requests of the service different priorities; elsewhere each
//! request asks again by itself. See
//! [docs/design/competing-callers.md](../../../../docs/design/competing-callers.md).

use damaskhatch_policy::contest::{Rank, Ticket};
use damaskhatch_policy::prelude::*;
use damaskhatch_policy::urgency;

use super::request::Routed;
use crate::entry::Entry;

/// How often a waiting request looks whether it is its turn.
const LOOK_INTERVAL: Duration = Duration::from_millis(10);

/// The turns of one request; what it holds in the order ends on drop.
#[derive(Debug)]
pub struct Turns<'a> {
    entry: &'a Entry,
    routed: &'a Routed,
    size: Option<u32>,
    /// Whether it has begun its first round.
    has_begun: bool,
    /// Its place in the order, and when it entered it.
    place: Option<(Ticket, Instant)>,
    /// Whether it has got room.
    is_granted: bool,
}

impl<'a> Turns<'a> {
    /// The turns of a request that has not looked for room of `size` tokens yet; `None` if it may not
    /// use all engines, so that what others find says nothing for it.
    pub const fn new(entry: &'a Entry, routed: &'a Routed, size: Option<u32>) -> Self {
        Self { entry, routed, size, has_begun: false, place: None, is_granted: false }
    }

    /// Waits until the request may look for room; false if that is not before `until`.
    ///
    /// The first time it may at once, unless others wait before it.
    pub async fn wait(&mut self, until: Instant) -> bool {
        if !std::mem::replace(&mut self.has_begun, true) {
            if self.entry.with_learned(self.routed.service, |learned| learned.contest.is_idle()) {
                return true;
            }
            self.enter();
        }
        let Some((ticket, _)) = self.place else { return true };
        loop {
            let now = Instant::now();
            let may_go = self
                .entry
                .with_learned(self.routed.service, |learned| learned.contest.may_go(ticket, now));
            if may_go {
                return true;
            }
            if now + LOOK_INTERVAL >= until {
                return false;
            }
            tokio::time::sleep(LOOK_INTERVAL).await;
        }
    }

    /// Ends a round without room, and sleeps for `pause` unless the request waits in the order.
    ///
    /// Returns false if no further round may begin before `until`.
    pub async fn pause(&mut self, pause: Duration, until: Instant) -> bool {
        if self.place.is_none() {
            self.enter();
        }
        let now = Instant::now();
        if let Some((ticket, _)) = self.place {
            self.entry
                .with_learned(self.routed.service, |learned| learned.contest.rest(ticket, now));
            return now < until;
        }
        let next = now + pause;
        if next >= until {
            return false;
        }
        tokio::time::sleep_until(next).await;
        true
    }

    /// Ends the turns, because the request has got room.
    pub fn end(mut self) {
        self.is_granted = true;
    }

    /// Takes a place in the order, where priorities differ.
    fn enter(&mut self) {
        let snapshot = self.entry.shared.snapshot();
        let Some(size) = self.size else { return };
        if !urgency::differs(&snapshot, self.routed.service) {
            return;
        }
        let now = Instant::now();
        let priority = self.routed.priority(&snapshot);
        let team = self.routed.caller.as_ref().map_or(Tag(0), |caller| caller.tag);
        let rank = Rank { priority, team };
        let ticket = self
            .entry
            .with_learned(self.routed.service, |learned| learned.contest.enter(rank, size, now));
        self.place = Some((ticket, now));
    }
}

impl Drop for Turns<'_> {
    fn drop(&mut self) {
        let Some((ticket, entered_at)) = self.place else { return };
        let (now, is_granted) = (Instant::now(), self.is_granted);
        self.entry.with_learned(self.routed.service, |learned| {
            learned.contest.leave(ticket, is_granted, now);
        });
        let priority = self.routed.priority(&self.entry.shared.snapshot());
        let result = if is_granted { "granted" } else { "given_up" };
        let labels = [&*priority.to_string(), result];
        self.entry.shared.metrics.turns.with_label_values(&labels).inc();
        self.entry.shared.journal.record(
            &self.routed.label,
            format_args!(
                "event=waited_in_turn priority={priority} result={result} waited_ms={}",
                now.saturating_duration_since(entered_at).as_millis()
            ),
        );
    }
}
