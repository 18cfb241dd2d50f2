//! Estimates of the time to first token (TTFT), from dispatch to the first token.
//!
//! Estimates are kept per model, rank and prompt size; the rank matters because engines schedule
//! by priority. Each is a smoothed mean and mean deviation, like the round-trip estimate of a TCP
//! retransmission timer. Estimates decay while no samples arrive: a high estimate that makes the
//! router refuse every request would otherwise never be corrected.

use crate::load::queue::Rank;
use rustc_hash::FxHashMap;
use sesamegap_wire::{ModelId, Moment, Tokens};
use std::collections::BTreeMap;
use std::time::Duration;

/// Weight of a new sample in the mean.
const MEAN_GAIN: f64 = 0.125;

/// Weight of a new sample in the mean deviation.
const DEVIATION_GAIN: f64 = 0.25;

/// Time constant of the exponential decay of an estimate without samples.
const DECAY_TIME: Duration = Duration::from_secs(10);

/// Number of prompt size buckets, one per power of two. Prompts of 2^23 tokens or more share the
/// last one.
const SIZE_BUCKETS: u32 = 25;

/// Time to first token of prompts in one size bucket.
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

    /// Mean plus the given number of mean deviations, and at least zero.
    pub fn mean_plus_deviations(&self, deviations: f64) -> Duration {
        Duration::from_secs_f64((self.mean + deviations * self.deviation).max(0.0))
    }
}

type Sizes = [TtftEstimate; SIZE_BUCKETS as usize];

/// Time-to-first-token estimates by model, rank and prompt size.
#[derive(Debug, Default)]
pub struct TtftEstimates {
    models: FxHashMap<ModelId, BTreeMap<Rank, Sizes>>,
}

impl TtftEstimates {
    fn size_bucket(tokens: Tokens) -> usize {
        (u64::BITS - tokens.0.leading_zeros()).min(SIZE_BUCKETS - 1) as usize
    }

    /// Records the time to first token of a request.
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
        sizes[Self::size_bucket(tokens)].add(time.as_secs_f64(), now);
    }

    /// Returns the decayed estimate for a prompt of this size, or `None` without any sample.
    pub fn get(
        &self,
        model: &ModelId,
        rank: Rank,
        tokens: Tokens,
        now: Moment,
    ) -> Option<TtftEstimate> {
        let mut time = self.models.get(model)?.get(&rank)?[Self::size_bucket(tokens)];
        if time.at == Moment::default() {
            return None;
        }
        let age = now.since(time.at).as_secs_f64();
        let decay = (-age / DECAY_TIME.as_secs_f64()).exp();
        time.mean *= decay;
        time.deviation *= decay;
        Some(time)
    }

    /// Drops the estimates of models that are not in the settings.
    pub fn retain(&mut self, known: impl Fn(&ModelId) -> bool) {
        self.models.retain(|model, _| known(model));
    }
}
