//! Predicts the length of an answer from the caller's estimate and earlier answers.
//!
//! Streams often declare a maximum far above their real length: reserving the
//! maximum leaves engines half empty, and reserving the caller's estimate causes
//! preemptions. Lengths and estimates vary by factors, so both are modelled on a
//! logarithmic scale: the estimate is the length with noise, and the forecast
//! combines it with the observed lengths, each weighted by its inverse variance.

use crate::prelude::*;

/// Weight of the prior, in answers.
const PRIOR_ANSWERS: f64 = 20.0;
/// Window of the moving moments, in answers; older ones have lost most of their weight.
const MEMORY_ANSWERS: f64 = 500.0;
/// Prior median of the length, as a fraction of the maximum.
const PRIOR_MEDIAN: f64 = 0.45;
/// Prior standard deviation of the logarithm of length over maximum.
const PRIOR_SPREAD: f64 = 0.5;
/// Prior standard deviation of the logarithm of length over estimate.
const PRIOR_NOISE: f64 = 0.5;

plain! { state
    /// An exponentially weighted mean and variance.
    struct Moments {
        weight: f64,
        mean: f64,
        variance: f64,
    }
}

impl Moments {
    const fn new(mean: f64, spread: f64) -> Self {
        Self { weight: PRIOR_ANSWERS, mean, variance: spread * spread }
    }

    fn observe(&mut self, value: f64) {
        self.weight = (self.weight + 1.0).min(MEMORY_ANSWERS);
        let step = 1.0 / self.weight;
        let error = value - self.mean;
        self.mean += step * error;
        self.variance += step * (error * error * (1.0 - step) - self.variance);
    }
}

plain! { state
    /// One host's model of the answer lengths of one service.
    pub struct Forecast {
        /// Logarithm of length over maximum.
        length: Moments,
        /// Logarithm of length over estimate.
        noise: Moments,
    }
}

impl Default for Forecast {
    fn default() -> Self {
        Self {
            length: Moments::new(PRIOR_MEDIAN.ln(), PRIOR_SPREAD),
            noise: Moments::new(0.0, PRIOR_NOISE),
        }
    }
}

impl Forecast {
    /// Updates the model with the length `actual` of a complete answer.
    ///
    /// `max_tokens` is the request's maximum and `hint` the caller's estimate, all in tokens.
    pub fn observe(&mut self, max_tokens: u32, hint: Option<u32>, actual: u32) {
        if max_tokens == 0 || actual == 0 {
            return;
        }
        let log = f64::from(actual).ln();
        self.length.observe(log - f64::from(max_tokens).ln());
        if let Some(hint) = hint.filter(|hint| *hint > 0) {
            self.noise.observe(log - f64::from(hint).ln());
        }
    }

    /// An upper bound of the length, in tokens and at most `max_tokens`.
    ///
    /// It is the quantile `deviations` standard deviations above the median, on the logarithmic
    /// scale; 0 gives the median.
    pub fn bound(&self, max_tokens: u32, hint: Option<u32>, deviations: f64) -> u32 {
        let (mean, variance) = self.log_moments(max_tokens, hint);
        let bound = (mean + deviations * variance.sqrt()).exp();
        (bound.ceil() as u32).min(max_tokens)
    }

    /// The approximate standard deviation of the length, in tokens.
    pub fn deviation(&self, max_tokens: u32, hint: Option<u32>) -> f64 {
        let (_mean, variance) = self.log_moments(max_tokens, hint);
        f64::from(self.bound(max_tokens, hint, 0.0)) * variance.sqrt()
    }

    /// Posterior mean and variance of the logarithm of the length.
    fn log_moments(&self, max_tokens: u32, hint: Option<u32>) -> (f64, f64) {
        let prior_mean = self.length.mean + f64::from(max_tokens.max(1)).ln();
        let prior_variance = self.length.variance.max(f64::EPSILON);
        match hint.filter(|hint| *hint > 0) {
            None => (prior_mean, prior_variance),
            Some(hint) => {
                let hint_mean = f64::from(hint).ln() + self.noise.mean;
                let hint_variance = self.noise.variance.max(f64::EPSILON);
                let both = prior_variance + hint_variance;
                let mean = (prior_mean * hint_variance + hint_mean * prior_variance) / both;
                (mean, prior_variance * hint_variance / both)
            }
        }
    }
}
