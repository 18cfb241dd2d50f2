//! How fast an engine computes prompts, learned from its first tokens.
//!
//! Load: donated hardware of uneven speed, of which any piece may drift to a fraction of it. Harm
//! prevented: work sent by queue length alone waits longest on the slowest engine. What was seen
//! fades with time towards the speed typical of the fleet, so a slow engine loses weight smoothly,
//! and one that has recovered is asked again little by little and earns its weight back.

use sesamegap_wire::{Moment, Tokens};
use std::time::Duration;

/// Seconds a token takes before anything was seen: a large model on one accelerator.
pub const DEFAULT_SECONDS_PER_TOKEN: f64 = 5e-5;

/// Time in which what was seen loses half its weight: long against a queue, short against a shift.
const HALF_LIFE: Duration = Duration::from_mins(1);

/// Tokens' worth of trust in the typical speed: one short prompt whose prefix is cached.
const PRIOR_TOKENS: f64 = 1024.0;

/// Tokens seen that count at most; older ones are scaled down.
const MAX_TOKENS: f64 = 65_536.0;

/// What is kept of the past at each prompt: about the last 12 count, so that a drift shows within
/// as many prompts, however short they are.
const DECAY: f64 = 11.0 / 12.0;

/// Tokens that stand for the fixed cost of starting a prompt.
const STARTUP_TOKENS: f64 = 256.0;

/// A sample this many times over the present speed counts as so many: a pause is no drift.
const MAX_SAMPLE_RATIO: f64 = 3.0;

/// Learned speed of one engine.
#[derive(Debug, Clone, Default)]
pub struct Speed {
    time: f64,
    tokens: f64,
    at: Moment,
}

impl Speed {
    /// Seconds a token takes, between what was seen here and what is `typical` of the fleet.
    pub fn per_token(&self, typical: f64, now: Moment) -> f64 {
        let decay_factor = self.decay_factor(now);
        (self.time * decay_factor + typical * PRIOR_TOKENS)
            / (self.tokens * decay_factor + PRIOR_TOKENS)
    }

    /// Learns from one prompt, of which so many tokens were computed in so much time.
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

    /// Whether anything was seen that still counts.
    pub fn known(&self, now: Moment) -> bool {
        self.tokens * self.decay_factor(now) > PRIOR_TOKENS
    }

    fn decay_factor(&self, now: Moment) -> f64 {
        let halves = now.since(self.at).as_secs_f64() / HALF_LIFE.as_secs_f64();
        (-halves).exp2()
    }
}

/// The median speed of engines that were seen lately.
pub fn typical<'a>(speeds: impl Iterator<Item = &'a Speed>, now: Moment) -> f64 {
    let known = speeds.filter(|speed| speed.known(now));
    let mut all: Vec<f64> = known.map(|speed| speed.time / speed.tokens).collect();
    if all.is_empty() {
        return DEFAULT_SECONDS_PER_TOKEN;
    }
    let middle = all.len() / 2;
    *all.select_nth_unstable_by(middle, f64::total_cmp).1
}
