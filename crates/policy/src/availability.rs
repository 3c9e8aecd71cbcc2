//! What upstreams say of themselves in their responses, and which of them a host may send requests to.
//!
//! A [`Statement`] is what one response says. [`Table`] is what a host has heard, from upstreams and
//! from other hosts, and answers one question: may this host send a request to this upstream now? See
//! [docs/DESIGN.md](../../../docs/DESIGN.md#statements-of-upstreams).

use std::collections::HashMap;

use crate::backlog::Report;
use crate::evacuation;
use crate::limit::Named;
use crate::prelude::*;
use crate::speed;

/// The longest pause that one response can ask for; a longer one counts as this long.
///
/// An upstream that asks for an hour by mistake is asked again after it.
pub const MAX_PAUSE: Duration = Duration::from_mins(1);
/// How long an upstream without a known start counts as leaving after it last said so.
///
/// Its next start cannot be told from the one that left.
const UNKNOWN_START_TTL: Duration = Duration::from_mins(1);
/// How long what an upstream said is kept; none takes that long to leave.
const FORGET_AFTER: Duration = Duration::from_mins(10);
/// The least difference between the ends of two pauses that is worth telling other hosts.
const MIN_NEWS: Duration = Duration::from_millis(250);
/// The longest malformed value that is kept, in characters.
const MAX_MALFORMED_CHARS: usize = 40;

/// The values of the headers by which an upstream describes itself, as they were received.
#[derive(Debug, Clone, Default)]
pub struct Values<'a> {
    /// Its load.
    pub load: Vec<&'a str>,
    /// Its limit.
    pub limit: Vec<&'a str>,
    /// Whether it is leaving.
    pub leaving: Vec<&'a str>,
    /// When it wants to be asked again, in seconds.
    pub retry_after: Vec<&'a str>,
}

/// What one response says of its upstream.
#[derive(Debug, Clone, PartialEq)]
pub struct Statement {
    /// The upstream's load.
    pub load: Option<Report>,
    /// How much longer work takes at the upstream now than usual.
    pub slowness: Option<f64>,
    /// The limit that the upstream names.
    pub limit: Named,
    /// Whether the upstream is leaving.
    pub is_leaving: bool,
    /// How long the upstream wants no requests from this host.
    pub pause: Option<Duration>,
    /// Values that say nothing because they are malformed.
    pub malformed: Vec<String>,
}

impl Statement {
    /// Decodes a statement from a response with this HTTP status.
    ///
    /// A time to retry after asks for a pause only on a 503: with other statuses it is meant for the
    /// caller of one request.
    pub fn parse(values: &Values<'_>, status: u16) -> Self {
        let mut malformed = Vec::new();
        let mut reject = |value: &str| {
            malformed.push(value.chars().take(MAX_MALFORMED_CHARS).collect::<String>());
        };
        let mut is_leaving = false;
        for value in values.leaving.iter().flat_map(|value| value.split(',')) {
            match value.trim() {
                "1" => is_leaving = true,
                "0" => {}
                other => reject(other),
            }
        }
        let mut pause: Option<Duration> = None;
        if status == SERVICE_UNAVAILABLE {
            for value in values.retry_after.iter().flat_map(|value| value.split(',')) {
                match parse_seconds(value.trim()) {
                    Some(asked) => {
                        if asked > MAX_PAUSE {
                            reject(value.trim());
                        }
                        pause = Some(pause.unwrap_or_default().max(asked.min(MAX_PAUSE)));
                    }
                    None => reject(value.trim()),
                }
            }
        }
        let mut slowness = None;
        if let Some(figure) = values.load.first().and_then(|load| load.split(',').nth(3)) {
            slowness = speed::parse(figure);
            if slowness.is_none() {
                reject(figure.trim());
            }
        }
        Self {
            slowness,
            load: values.load.first().and_then(|load| Report::parse(load)),
            limit: Named::parse(values.limit.iter().copied()),
            is_leaving,
            pause: pause.filter(|pause| !pause.is_zero()),
            malformed,
        }
    }
}

/// HTTP status 503.
const SERVICE_UNAVAILABLE: u16 = 503;

/// Parses a finite number of seconds that is not negative.
fn parse_seconds(text: &str) -> Option<Duration> {
    let is_decimal = text.bytes().all(|byte| byte.is_ascii_digit() || byte == b'.');
    let seconds: f64 = text.parse().ok().filter(|_| is_decimal)?;
    // More than a duration can hold is a number all the same.
    Some(Duration::try_from_secs_f64(seconds).unwrap_or(Duration::MAX))
}

plain! { value
    /// What a host tells other hosts of an upstream.
    #[derive(Eq)]
    pub struct Notice {
        /// The upstream.
        pub upstream: Tag,
        /// The upstream's start, in milliseconds since the Unix epoch; 0 if it is unknown.
        pub started_ms: u64,
        /// Whether the upstream is leaving.
        pub is_leaving: bool,
        /// How much longer the upstream wants no requests from the host that tells it.
        pub pause: Duration,
    }
}

/// Whether a host may send requests to an upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Standing {
    /// It may.
    Available,
    /// It may, but the upstream has asked another host for a pause.
    Discouraged,
    /// It may not before this moment, because the upstream has asked it for a pause.
    Paused(Instant),
    /// It may not, because the upstream is leaving.
    Leaving,
    /// It may not, because an operator has evacuated the upstream's domain.
    Evacuated,
}

impl Standing {
    /// Whether requests may be sent.
    pub const fn allows_requests(self) -> bool {
        matches!(self, Self::Available | Self::Discouraged)
    }

    /// Whether nothing new is sent there for as long as nobody decides otherwise; a pause ends by itself.
    pub const fn is_closed(self) -> bool {
        matches!(self, Self::Leaving | Self::Evacuated)
    }
}

/// What is known of one start of an upstream.
#[derive(Debug, Clone, Copy)]
struct Known {
    started_ms: u64,
    /// When the upstream was last heard to be leaving.
    leaving_at: Option<Instant>,
    /// Whether this host heard that from the upstream itself.
    is_leaving_first_hand: bool,
    /// The end of the pause that the upstream has asked this host for.
    paused_until: Instant,
    /// The end of the pauses that it has asked other hosts for.
    discouraged_until: Instant,
    heard_at: Instant,
}

impl Known {
    const fn new(started_ms: u64, now: Instant) -> Self {
        Self {
            started_ms,
            leaving_at: None,
            is_leaving_first_hand: false,
            paused_until: now,
            discouraged_until: now,
            heard_at: now,
        }
    }

    fn is_leaving(&self, now: Instant) -> bool {
        self.leaving_at.is_some_and(|at| {
            self.started_ms != 0 || now.saturating_duration_since(at) < UNKNOWN_START_TTL
        })
    }

    /// What to tell other hosts; `None` if there is nothing.
    ///
    /// Hearsay about an upstream without a known start is not passed on, since it would never end.
    fn notice(&self, upstream: Tag, now: Instant) -> Option<Notice> {
        let is_lasting = self.is_leaving_first_hand || self.started_ms != 0;
        let is_leaving = self.is_leaving(now) && is_lasting;
        let pause = self.paused_until.saturating_duration_since(now);
        let notice = Notice { upstream, started_ms: self.started_ms, is_leaving, pause };
        (is_leaving || !pause.is_zero()).then_some(notice)
    }
}

/// What a host has heard of its upstreams.
#[derive(Debug, Clone, Default)]
pub struct Table {
    known: HashMap<Tag, Known>,
    /// Upstreams of which other hosts have not been told the latest.
    untold: Vec<Tag>,
    /// The last malformed value of each upstream.
    malformed: HashMap<Tag, String>,
    /// The domains to whose upstreams nothing new is sent, whatever they say.
    pub evacuations: evacuation::Table,
}

/// What is new in a statement.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct News {
    /// Whether the upstream was not known to be leaving.
    pub is_leaving: bool,
    /// The pause, if it ends noticeably later than the one in force.
    pub pause: Option<Duration>,
    /// Whether the upstream, which has no known start, was known to be leaving and is not any more.
    pub has_stayed: bool,
}

impl Table {
    /// Takes a response into account, to a request that was sent to this start of an upstream.
    pub fn observe(
        &mut self,
        (upstream, started_ms): (Tag, u64),
        statement: &Statement,
        sent_at: Instant,
        now: Instant,
    ) -> News {
        let says_nothing = !statement.is_leaving && statement.pause.is_none();
        if says_nothing && !self.known.contains_key(&upstream) {
            return News::default();
        }
        let Some(known) = self.current(upstream, started_ms, now) else { return News::default() };
        known.heard_at = now;
        let mut news = News::default();
        if statement.is_leaving {
            news.is_leaving = !known.is_leaving(now);
            known.leaving_at = Some(now);
            known.is_leaving_first_hand = true;
        } else if started_ms == 0 && known.leaving_at.is_some_and(|at| at < sent_at) {
            known.leaving_at = None;
            news.has_stayed = true;
        }
        if let Some(pause) = statement.pause {
            let until = now + pause;
            if until > known.paused_until + MIN_NEWS {
                news.pause = Some(pause);
            }
            known.paused_until = known.paused_until.max(until);
        }
        if (news.is_leaving || news.pause.is_some()) && !self.untold.contains(&upstream) {
            self.untold.push(upstream);
        }
        news
    }

    /// Takes into account what another host tells; returns whether it is new that the upstream is
    /// leaving.
    pub fn merge(&mut self, notice: &Notice, now: Instant) -> bool {
        let Notice { upstream, started_ms, is_leaving, pause } = *notice;
        let Some(known) = self.current(upstream, started_ms, now) else { return false };
        known.heard_at = now;
        known.discouraged_until = known.discouraged_until.max(now + pause.min(MAX_PAUSE));
        let is_new = is_leaving && !known.is_leaving(now);
        if is_new {
            known.leaving_at = Some(now);
            known.is_leaving_first_hand = false;
        }
        is_new
    }

    /// What is known of a start of an upstream; `None` if a later start is known.
    fn current(&mut self, upstream: Tag, started_ms: u64, now: Instant) -> Option<&mut Known> {
        let known = self.known.entry(upstream).or_insert(Known::new(started_ms, now));
        if known.started_ms < started_ms {
            *known = Known::new(started_ms, now);
        }
        (known.started_ms == started_ms).then_some(known)
    }

    /// Whether this host may send a request to this start of an upstream.
    ///
    /// What an earlier start has said does not bind a later one.
    pub fn standing(&self, upstream: Tag, started_ms: u64, now: Instant) -> Standing {
        let known = self.known.get(&upstream).filter(|known| known.started_ms >= started_ms);
        match known {
            Some(known) if known.is_leaving(now) => Standing::Leaving,
            Some(known) if known.paused_until > now => Standing::Paused(known.paused_until),
            Some(known) if known.discouraged_until > now => Standing::Discouraged,
            _ => Standing::Available,
        }
    }

    /// Whether this host may send a request to this start of an upstream, which runs in `domain`.
    pub fn standing_in(
        &self,
        domain: Tag,
        upstream: Tag,
        started_ms: u64,
        now: Instant,
    ) -> Standing {
        if self.evacuations.is_evacuated(domain) {
            return Standing::Evacuated;
        }
        self.standing(upstream, started_ms, now)
    }

    /// Records a malformed value; returns whether it differs from the upstream's last one.
    pub fn note_malformed(&mut self, upstream: Tag, value: &str) -> bool {
        let last = self.malformed.insert(upstream, value.to_owned());
        last.as_deref() != Some(value)
    }

    /// What other hosts have not been told yet.
    pub fn take_untold(&mut self, now: Instant) -> Vec<Notice> {
        let untold = std::mem::take(&mut self.untold);
        let notice = |upstream: Tag| self.known.get(&upstream)?.notice(upstream, now);
        untold.into_iter().filter_map(notice).collect()
    }

    /// Everything that other hosts may want to know.
    pub fn notices(&self, now: Instant) -> impl Iterator<Item = Notice> {
        self.known.iter().filter_map(move |(upstream, known)| known.notice(*upstream, now))
    }

    /// Whether nothing is known of any upstream.
    pub fn is_empty(&self) -> bool {
        self.known.is_empty()
    }

    /// Forgets upstreams that have said nothing for a long time.
    pub fn forget_old(&mut self, now: Instant) {
        let is_old = |known: &Known| now.saturating_duration_since(known.heard_at) > FORGET_AFTER;
        self.known.retain(|_, known| !is_old(known));
        let known = &self.known;
        self.malformed.retain(|upstream, _| known.contains_key(upstream));
    }
}
