//! Prefill times of prompts, compared with those of all engines for the same kind and size.

use super::{MAX_SPEED, PromptKind, Sample};
use rustc_hash::FxHashMap;
use sesamegap_wire::Moment;
use std::collections::VecDeque;
use std::time::Duration;

/// Fifths of the samples that are compared, from quick to late ones. While a quarter of the engines is slow, the late
/// fifth consists of their samples, so it does not count for slow engines.
const FIFTHS: [usize; 4] = [1, 2, 3, 4];

/// Number of [`FIFTHS`] that must differ for a slow engine.
const SLOW_FIFTHS: usize = 3;

/// Samples kept for each engine: those of a few seconds at two or three prompts per second.
const ENGINE_SAMPLES: usize = 12;

/// Samples needed to tell an engine's speed: one stall among them moves none of the quick fifths.
const MIN_ENGINE_SAMPLES: usize = 6;

/// Age from which a sample no longer counts, since an engine's speed changes.
const MAX_SAMPLE_AGE: Duration = Duration::from_secs(12);

/// Samples kept for each kind and size: several for each engine of a shard.
const KIND_SAMPLES: usize = 96;

/// Samples needed to tell what is usual for a kind and size.
const MIN_KIND_SAMPLES: usize = 24;

/// New samples after which what is usual is determined again; sorting at each sample would cost more than placing.
const REFRESH_EVERY: usize = 8;

/// Time without a prompt after which a kind and size is forgotten.
const MAX_KIND_SILENCE: Duration = Duration::from_secs(30);

/// Maximum number of kinds and sizes, about 1 KB each: twenty models, eight sizes, cached or not.
const MAX_KINDS: usize = 320;

/// Longest time relative to usual that counts; a stalled report says no more than that it is late.
const MAX_RELATIVE: f64 = 8.0;

/// Time of a prompt relative to each of the [`FIFTHS`] of all engines.
pub(super) type Relative = [f64; FIFTHS.len()];

/// Samples of one engine.
#[derive(Debug, Default)]
pub(super) struct EngineSamples(VecDeque<(Relative, Moment)>);

impl EngineSamples {
    pub(super) fn push(&mut self, relative: Relative, now: Moment) {
        self.0.retain(|(_, at)| now.since(*at) < MAX_SAMPLE_AGE);
        if self.0.len() >= ENGINE_SAMPLES {
            self.0.pop_front();
        }
        self.0.push_back((relative, now));
    }

    pub(super) fn len(&self) -> usize {
        self.0.len()
    }

    pub(super) fn age(&self, now: Moment) -> Duration {
        let oldest = self.0.front();
        oldest.map_or(Duration::ZERO, |(_, at)| now.since(*at))
    }

    /// Speed relative to the usual engine, by the fifth that differs least; 1.0 if the fifths contradict each other.
    pub(super) fn speed(&self) -> Option<f64> {
        if self.0.len() < MIN_ENGINE_SAMPLES {
            return None;
        }
        let times: Vec<f64> = FIFTHS
            .iter()
            .enumerate()
            .map(|(no, fifth)| {
                let times = self.0.iter().map(|(relative, _)| relative[no]);
                quantile(&mut times.collect::<Vec<f64>>(), *fifth)
            })
            .collect();
        let least = times
            .iter()
            .take(SLOW_FIFTHS)
            .copied()
            .fold(f64::INFINITY, f64::min);
        let most = times.iter().copied().fold(0.0, f64::max);
        Some(if least > 1.0 {
            1.0 / least
        } else if most < 1.0 {
            1.0 / most
        } else {
            1.0
        })
    }
}

#[derive(Debug, Default)]
struct Usual {
    /// Times per token, the newest last.
    times: VecDeque<f64>,
    quantiles: Option<Relative>,
    since_refresh: usize,
    last: Moment,
}

/// Times of all engines, by kind and size of the prompt.
#[derive(Debug, Default)]
pub(super) struct Kinds(FxHashMap<(PromptKind, u32), Usual>);

impl Kinds {
    /// Records the time of a prompt; returns it relative to usual, unless that is unknown. A time that is too
    /// short for any engine counts as usual.
    pub(super) fn compare(
        &mut self,
        sample: &Sample,
        seconds: f64,
        now: Moment,
    ) -> Option<Relative> {
        let per_token = seconds / sample.tokens.max(1) as f64;
        let key = (sample.kind, sample.tokens.max(1).ilog2());
        if self.0.len() >= MAX_KINDS && !self.0.contains_key(&key) {
            return None;
        }
        let usual = self.0.entry(key).or_default();
        usual.last = now;
        usual.push(per_token);
        let relative = usual.quantiles?.map(|usual| per_token / usual);
        if relative[0] < 1.0 / MAX_SPEED {
            // The prefix must have been cached. If such samples were dropped, the slowest hits would be all that counts
            // for an engine, and would make it look fast.
            return Some([1.0; FIFTHS.len()]);
        }
        Some(relative.map(|time| time.min(MAX_RELATIVE)))
    }

    pub(super) fn expire(&mut self, now: Moment) {
        self.0
            .retain(|_, usual| now.since(usual.last) < MAX_KIND_SILENCE);
    }
}

impl Usual {
    fn push(&mut self, per_token: f64) {
        if self.times.len() >= KIND_SAMPLES {
            self.times.pop_front();
        }
        self.times.push_back(per_token);
        self.since_refresh += 1;
        if self.times.len() >= MIN_KIND_SAMPLES && self.since_refresh >= REFRESH_EVERY {
            let mut times: Vec<f64> = self.times.iter().copied().collect();
            self.quantiles = Some(FIFTHS.map(|fifth| quantile(&mut times, fifth)));
            self.since_refresh = 0;
        }
    }
}

/// The value below which this many fifths of the values lie; 1.0 if there are none.
fn quantile(values: &mut [f64], fifths: usize) -> f64 {
    values.sort_unstable_by(f64::total_cmp);
    let last = values.len().saturating_sub(1);
    values.get(last * fifths / 5).copied().unwrap_or(1.0)
}
