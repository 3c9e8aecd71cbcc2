//! How fast upstreams work, by what they state and by how long their work takes.
//!
//! An upstream may state in its responses how long work takes on its machine at the moment. That changes
//! within a second, so a statement loses its weight within one. Where upstreams differ for good, each
//! one's speed is learned from the time that a unit of work has taken, compared with the others that do
//! the same work. A host sees a fraction of the work, so hosts tell each other their samples. See
//! [docs/design/uneven-load.md](../../../docs/design/uneven-load.md).

use std::collections::HashMap;

use crate::prelude::*;

/// The slowness of an upstream that works as fast as usual.
pub const USUAL: f64 = 1.0;
/// The least and the greatest slowness that is believed.
const BOUNDS: (f64, f64) = (0.25, 4.0);
/// The stated figure of an upstream that works as fast as usual, in percent.
const USUAL_PERCENT: f64 = 100.0;
/// The highest figure that is plausible, in percent.
const MAX_PERCENT: u32 = 10_000;
/// The time constant with which a stated slowness loses its weight.
const STATED_TTL: Duration = Duration::from_millis(500);
/// The ratio by which a stated slowness must differ from the last one told to be worth telling.
const NEWS_RATIO: f64 = 1.3;
/// The samples from which a learned speed counts.
const MIN_SAMPLES: f64 = 16.0;
/// The samples after which older ones have lost most of their weight.
const WINDOW_SAMPLES: f64 = 40.0;
/// The ratio of the slowness of two upstreams below which they count as equally fast: queues make the
/// time of a unit of work vary by about as much.
const SAME_RATIO: f64 = 1.3;
/// How long learned speeds count without a new sample: an upstream that is avoided gives none.
const SAMPLE_TTL: Duration = Duration::from_secs(30);
/// How long an upstream without news is kept.
const FORGET_AFTER: Duration = Duration::from_mins(10);

/// Parses a stated figure in percent; `None` if it is not plausible.
pub fn parse(text: &str) -> Option<f64> {
    let text = text.trim();
    let is_number = !text.is_empty() && text.bytes().all(|byte| byte.is_ascii_digit());
    let percent: u32 = text.parse().ok().filter(|_| is_number)?;
    (1..=MAX_PERCENT).contains(&percent).then(|| f64::from(percent) / USUAL_PERCENT)
}

/// What a slowness that was stated so long ago still counts for.
fn fade(stated: f64, age: Duration) -> f64 {
    USUAL + (stated - USUAL) * (-age.as_secs_f64() / STATED_TTL.as_secs_f64()).exp()
}

plain! { value
    /// What a host tells other hosts of an upstream.
    pub struct Notice {
        /// The upstream.
        pub upstream: Tag,
        /// The upstream's start, in milliseconds since the Unix epoch; 0 if it is unknown.
        pub started_ms: u64,
        /// What the upstream last stated, if that is news.
        pub stated: Option<f32>,
        /// The mean logarithm of the seconds that a unit of work took, over `samples`.
        pub mean: f32,
        /// The number of samples that the sender has taken since it last told.
        pub samples: u16,
    }
}

/// A moving mean of logarithms.
#[derive(Debug, Clone, Copy, Default)]
struct Mean {
    value: f64,
    weight: f64,
}

impl Mean {
    fn add(&mut self, value: f64, samples: f64) {
        self.weight = (self.weight + samples).min(WINDOW_SAMPLES.max(samples));
        self.value += samples / self.weight * (value - self.value);
    }
}

#[derive(Debug, Clone, Copy)]
struct Known {
    started_ms: u64,
    stated: Option<(f64, Instant)>,
    /// The stated slowness that other hosts were last told.
    told: f64,
    learned: Mean,
    /// The samples of this host that other hosts have not been told.
    untold: Mean,
    sampled_at: Option<Instant>,
    is_news: bool,
    heard_at: Instant,
}

impl Known {
    fn new(started_ms: u64, now: Instant) -> Self {
        Self {
            started_ms,
            stated: None,
            told: USUAL,
            learned: Mean::default(),
            untold: Mean::default(),
            sampled_at: None,
            is_news: false,
            heard_at: now,
        }
    }
}

/// What one host knows of the speeds of its upstreams.
#[derive(Debug, Clone, Default)]
pub struct Table {
    known: HashMap<Tag, Known>,
}

impl Table {
    /// Takes into account what an upstream states of itself.
    pub fn state(&mut self, upstream: Tag, started_ms: u64, slowness: f64, now: Instant) {
        let Some(known) = self.current(upstream, started_ms, now) else { return };
        let slowness = slowness.clamp(BOUNDS.0, BOUNDS.1);
        known.stated = Some((slowness, now));
        let ratio = slowness / known.told;
        known.is_news |= !(NEWS_RATIO.recip()..NEWS_RATIO).contains(&ratio);
    }

    /// Takes into account that `units` of work took `took` at an upstream.
    ///
    /// `units` counts the work that was there before, so that a queue does not look like slowness. Only
    /// upstreams that state how long work takes are compared, as they share their machines with others.
    pub fn observe(
        &mut self,
        (upstream, started_ms): (Tag, u64),
        units: f64,
        took: Duration,
        now: Instant,
    ) {
        if units <= 0.0 || took.is_zero() || !self.known.contains_key(&upstream) {
            return;
        }
        let Some(known) = self.current(upstream, started_ms, now) else { return };
        let Some((stated, at)) = known.stated else { return };
        let stated = fade(stated, now.saturating_duration_since(at));
        let sample = (took.as_secs_f64() / units / stated).ln();
        known.sampled_at = Some(now);
        known.learned.add(sample, 1.0);
        known.untold.add(sample, 1.0);
    }

    /// Takes into account what another host tells.
    pub fn merge(&mut self, notice: &Notice, now: Instant) {
        let Some(known) = self.current(notice.upstream, notice.started_ms, now) else { return };
        if let Some(stated) = notice.stated.map(f64::from).filter(|stated| stated.is_finite()) {
            let stated = stated.clamp(BOUNDS.0, BOUNDS.1);
            known.stated = Some((stated, now));
            known.told = stated;
            known.is_news = false;
        }
        let (mean, samples) = (f64::from(notice.mean), f64::from(notice.samples));
        if samples > 0.0 && mean.is_finite() {
            known.sampled_at = Some(now);
            known.learned.add(mean, samples.min(WINDOW_SAMPLES));
        }
    }

    /// What other hosts have not been told: statements that are news, and samples if `has_samples`.
    pub fn take_untold(&mut self, has_samples: bool) -> Vec<Notice> {
        let mut notices = Vec::new();
        for (upstream, known) in &mut self.known {
            let has_untold = has_samples && known.untold.weight > 0.0;
            if !known.is_news && !has_untold {
                continue;
            }
            let stated = known.stated.filter(|_| known.is_news).map(|(stated, _)| stated);
            known.told = stated.unwrap_or(known.told);
            known.is_news = false;
            let untold =
                if has_untold { std::mem::take(&mut known.untold) } else { Mean::default() };
            notices.push(Notice {
                upstream: *upstream,
                started_ms: known.started_ms,
                stated: stated.map(|stated| stated as f32),
                mean: untold.value as f32,
                samples: untold.weight as u16,
            });
        }
        notices
    }

    /// How much longer work takes at each of these upstreams than usual, which do the
    /// same work.
    ///
    /// Empty if all work at the same speed, as far as this host knows.
    pub fn slowness(
        &self,
        group: impl IntoIterator<Item = Tag>,
        now: Instant,
    ) -> HashMap<Tag, f64> {
        let known: Vec<(Tag, &Known)> =
            group.into_iter().filter_map(|tag| Some((tag, self.known.get(&tag)?))).collect();
        let is_learned = |known: &Known| {
            let age = known.sampled_at.map(|at| now.saturating_duration_since(at));
            known.learned.weight >= MIN_SAMPLES && age.is_some_and(|age| age < SAMPLE_TTL)
        };
        let mut means: Vec<f64> = known
            .iter()
            .filter(|(_, known)| is_learned(known))
            .map(|(_, known)| known.learned.value)
            .collect();
        means.sort_by(f64::total_cmp);
        let median = means.get(means.len() / 2).copied();
        let factors = known.iter().filter_map(|(tag, known)| {
            let learned = median.filter(|_| is_learned(known));
            let learned = learned.map_or(USUAL, |median| (known.learned.value - median).exp());
            let is_same = (SAME_RATIO.recip()..SAME_RATIO).contains(&learned);
            let learned = if is_same { USUAL } else { learned };
            let stated = known
                .stated
                .map_or(USUAL, |(stated, at)| fade(stated, now.saturating_duration_since(at)));
            let factor = (learned * stated).clamp(BOUNDS.0, BOUNDS.1);
            ((factor - USUAL).abs() > f64::EPSILON).then_some((*tag, factor))
        });
        factors.collect()
    }

    /// Forgets upstreams of which nothing was heard for a long time.
    pub fn forget_old(&mut self, now: Instant) {
        self.known.retain(|_, known| now.saturating_duration_since(known.heard_at) < FORGET_AFTER);
    }

    /// What is known of a start of an upstream; `None` if a later start is known.
    fn current(&mut self, upstream: Tag, started_ms: u64, now: Instant) -> Option<&mut Known> {
        let known = self.known.entry(upstream).or_insert_with(|| Known::new(started_ms, now));
        if known.started_ms < started_ms {
            *known = Known::new(started_ms, now);
        }
        known.heard_at = now;
        (known.started_ms == started_ms).then_some(known)
    }
}
