//! How long engines take from dispatch to the first token.
//!
//! Times are kept by model, rank and size of the prompt (engines mind priority too), as a mean and a mean deviation, the way a
//! retransmission timer keeps its round trip. They fade when no news comes: a bad time that made
//! the router refuse everything would otherwise never be corrected.

use crate::load::queue::Rank;
use rustc_hash::FxHashMap;
use sesamegap_wire::{ModelId, Moment, Tokens};
use std::collections::BTreeMap;
use std::time::Duration;

/// Share of a new time in the mean.
const MEAN_GAIN: f64 = 0.125;

/// Share of a new deviation in the mean deviation.
const DEVIATION_GAIN: f64 = 0.25;

/// Age at which a time has lost about two thirds of its weight.
const DECAY_TIME: Duration = Duration::from_secs(10);

/// Sizes are told apart by powers of two; longer prompts than 2^24 tokens count as that.
const SIZE_BUCKETS: u32 = 25;

/// First-token time of prompts of one size.
#[derive(Debug, Clone, Copy, Default)]
pub struct TtftEstimate {
    /// Mean, in seconds.
    pub mean: f64,
    /// Mean deviation from the mean, in seconds.
    pub deviation: f64,
    at: Moment,
}

impl TtftEstimate {
    fn add(&mut self, seconds: f64, now: Moment) {
        if self.at == Moment::default() {
            self.mean = seconds;
            self.deviation = seconds / 2.0;
        } else {
            let error = seconds - self.mean;
            self.mean += error * MEAN_GAIN;
            self.deviation += (error.abs() - self.deviation) * DEVIATION_GAIN;
        }
        self.at = now.max(Moment(1));
    }

    /// Mean with so many deviations on top.
    pub fn mean_plus_deviations(&self, deviations: f64) -> Duration {
        Duration::from_secs_f64((self.mean + deviations * self.deviation).max(0.0))
    }
}

type Sizes = [TtftEstimate; SIZE_BUCKETS as usize];

/// First-token times by model and size of the prompt.
#[derive(Debug, Default)]
pub struct TtftEstimates {
    models: FxHashMap<ModelId, BTreeMap<Rank, Sizes>>,
}

impl TtftEstimates {
    fn size(tokens: Tokens) -> usize {
        (u64::BITS - tokens.0.leading_zeros()).min(SIZE_BUCKETS - 1) as usize
    }

    /// Takes the first-token time of a request.
    pub fn add(
        &mut self,
        model: &ModelId,
        rank: Rank,
        tokens: Tokens,
        time: Duration,
        now: Moment,
    ) {
        let ranks = self.models.entry(model.clone()).or_default();
        let sizes = ranks.entry(rank).or_default();
        sizes[Self::size(tokens)].add(time.as_secs_f64(), now);
    }

    /// What to expect for a prompt of this size; nothing if none was seen.
    pub fn get(
        &self,
        model: &ModelId,
        rank: Rank,
        tokens: Tokens,
        now: Moment,
    ) -> Option<TtftEstimate> {
        let mut time = self.models.get(model)?.get(&rank)?[Self::size(tokens)];
        if time.at == Moment::default() {
            return None;
        }
        let age = now.since(time.at).as_secs_f64();
        let faded = (-age / DECAY_TIME.as_secs_f64()).exp();
        time.mean *= faded;
        time.deviation *= faded;
        Some(time)
    }

    /// Keeps to the models that settings know.
    pub fn keep(&mut self, known: impl Fn(&ModelId) -> bool) {
        self.models.retain(|model, _| known(model));
    }
}
