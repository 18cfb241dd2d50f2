//! Prefill speed of an engine, learned from the times to its first tokens.
//!
//! The hardware is donated and uneven, and any machine may drift to a fraction of its speed. Work
//! distributed by queue length alone would wait longest on the slowest engine. Measurements decay
//! towards the fleet's typical speed, so a slow engine loses traffic smoothly, and a recovered one
//! gets requests again gradually until its measured speed restores its share.

use sesamegap_wire::{Moment, Tokens};
use std::time::Duration;

/// Seconds per token assumed before any measurement: a large model on one accelerator.
pub const DEFAULT_SECONDS_PER_TOKEN: f64 = 5e-5;

/// Half-life of measurements: long compared with a queue, short compared with a shift.
const HALF_LIFE: Duration = Duration::from_mins(1);

/// Weight of the typical speed, in tokens: one short prompt whose prefix is cached.
const PRIOR_TOKENS: f64 = 1024.0;

/// Maximum weight of past measurements, in tokens; older ones are scaled down.
const MAX_TOKENS: f64 = 65_536.0;

/// Weight kept by past measurements at each prompt. About the last 12 prompts count, so that a
/// change of speed shows within as many prompts, however short they are.
const DECAY: f64 = 11.0 / 12.0;

/// Fixed cost of starting a prompt, in tokens.
const STARTUP_TOKENS: f64 = 256.0;

/// Maximum ratio of a sample to the current estimate; larger samples are clipped, so that a pause
/// is not taken for a change of speed.
const MAX_SAMPLE_RATIO: f64 = 3.0;

/// Learned prefill speed of one engine.
#[derive(Debug, Clone, Default)]
pub struct Speed {
    time: f64,
    tokens: f64,
    at: Moment,
}

impl Speed {
    /// Estimated seconds per token: a weighted mean of this engine's measurements and the `typical`
    /// value of the fleet.
    pub fn per_token(&self, typical: f64, now: Moment) -> f64 {
        let decay_factor = self.decay_factor(now);
        (self.time * decay_factor + typical * PRIOR_TOKENS)
            / (self.tokens * decay_factor + PRIOR_TOKENS)
    }

    /// Updates the estimate with one prompt, of which `tokens` were computed in the time `took`.
    pub fn learn(&mut self, tokens: Tokens, took: Duration, typical: f64, now: Moment) {
        let tokens = tokens.0 as f64 + STARTUP_TOKENS;
        let most = self.per_token(typical, now) * MAX_SAMPLE_RATIO * tokens;
        let time = took.as_secs_f64().min(most);
        let decay_factor = self.decay_factor(now) * DECAY;
        let room = (MAX_TOKENS / (self.tokens * decay_factor + tokens)).min(1.0);
        self.time = (self.time * decay_factor + time) * room;
        self.tokens = (self.tokens * decay_factor + tokens) * room;
        self.at = now;
    }

    /// Whether recent measurements outweigh the prior.
    pub fn known(&self, now: Moment) -> bool {
        self.tokens * self.decay_factor(now) > PRIOR_TOKENS
    }

    fn decay_factor(&self, now: Moment) -> f64 {
        let halves = now.since(self.at).as_secs_f64() / HALF_LIFE.as_secs_f64();
        (-halves).exp2()
    }
}

/// Median seconds per token of the engines with recent measurements.
pub fn typical<'a>(speeds: impl Iterator<Item = &'a Speed>, now: Moment) -> f64 {
    let known = speeds.filter(|speed| speed.known(now));
    let mut all: Vec<f64> = known.map(|speed| speed.time / speed.tokens).collect();
    if all.is_empty() {
        return DEFAULT_SECONDS_PER_TOKEN;
    }
    let middle = all.len() / 2;
    *all.select_nth_unstable_by(middle, f64::total_cmp).1
}
