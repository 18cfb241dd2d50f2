//! Estimates the rate at which the engines of a model complete work from this router.
//!
//! The rate is sampled only while requests are queued, because without a backlog throughput
//! measures demand and not capacity. It is computed from completed work and not from dispatched
//! work, since a burst into empty windows says nothing about the engines. Engines can sustain at
//! least the throughput they have just shown, so a low rate measured during a short backlog is
//! raised by higher throughput afterwards.

use super::DecayingRate;
use rustc_hash::FxHashMap;
use sesamegap_wire::{ModelId, Moment};
use std::time::Duration;

/// Minimum span of a sample; shorter spans contain too few responses to be significant.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(200);

/// Minimum backlog, in service time, for engines to count as saturated. A smaller one may be a
/// single long prompt that waits while short ones pass, with engine capacity to spare.
const MIN_BACKLOG: Duration = Duration::from_millis(500);

/// Time constant of the exponential decay of samples: some dozens of responses at the few per
/// second that one router sees.
const DECAY_TIME: Duration = Duration::from_secs(10);

/// Time under backlog before the rate is reported: the first responses come late because their
/// requests all started together.
const MIN_OBSERVED: Duration = Duration::from_secs(2);

/// Age at which a rate no longer counts as observed: the fleet may have changed by then, and an
/// outdated low rate would cause refusals while engines are idle.
const MAX_AGE: Duration = Duration::from_mins(1);

/// Service rate of one model.
#[derive(Debug, Default)]
pub struct ServiceRate {
    rate: f64,
    observed: Duration,
    done: f64,
    sample_start: Moment,
    backlogged: bool,
    last_sample: Moment,
    throughput: DecayingRate,
}

impl ServiceRate {
    /// Records work that engines have completed.
    pub fn done(&mut self, cost: u64, now: Moment) {
        self.done += cost as f64;
        self.throughput.add(cost as f64, now, DECAY_TIME);
        self.rate = self.rate.max(self.throughput.rate(now, DECAY_TIME));
    }

    /// Takes a sample if one is due; `waiting` is the cost queued for this model.
    pub fn tick(&mut self, waiting: u64, now: Moment) {
        let waiting = waiting > 0 && waiting as f64 >= self.rate * MIN_BACKLOG.as_secs_f64();
        let span = now.since(self.sample_start);
        if !self.backlogged || !waiting {
            // Only spans with a backlog from start to end are sampled.
            if waiting != self.backlogged || span >= SAMPLE_INTERVAL {
                self.restart(waiting, now);
            }
            return;
        }
        if span < SAMPLE_INTERVAL {
            return;
        }
        let sample = self.done / span.as_secs_f64();
        let weight = (span.as_secs_f64() / DECAY_TIME.as_secs_f64()).min(1.0);
        let initial_weight = span.as_secs_f64() / (self.observed + span).as_secs_f64();
        self.rate += (sample - self.rate) * weight.max(initial_weight);
        self.observed = (self.observed + span).min(MAX_AGE);
        self.last_sample = now;
        self.restart(waiting, now);
    }

    /// Starts a new sample. After `MAX_AGE` without a sample, the rate no longer counts as
    /// observed.
    fn restart(&mut self, waiting: bool, now: Moment) {
        if now.since(self.last_sample) > MAX_AGE {
            self.observed = Duration::ZERO;
        }
        self.done = 0.0;
        self.sample_start = now;
        self.backlogged = waiting;
    }

    /// Cost per second, or `None` until enough has been observed.
    pub fn rate(&self) -> Option<f64> {
        (self.observed >= MIN_OBSERVED && self.rate > 0.0).then_some(self.rate)
    }
}

/// Service rates by model.
#[derive(Debug, Default)]
pub struct ServiceRates {
    models: FxHashMap<ModelId, ServiceRate>,
}

impl ServiceRates {
    /// Records work that engines of a model have completed.
    pub fn done(&mut self, model: &ModelId, cost: u64, now: Moment) {
        if let Some(service_rate) = self.models.get_mut(model) {
            service_rate.done(cost, now);
        }
    }

    /// Takes samples that are due; `waiting` returns the cost queued for a model.
    pub fn tick(&mut self, waiting: impl Fn(&ModelId) -> u64, now: Moment) {
        for (model, service_rate) in &mut self.models {
            service_rate.tick(waiting(model), now);
        }
    }

    /// Cost per second of a model, or `None` until enough has been observed.
    pub fn rate(&self, model: &ModelId) -> Option<f64> {
        self.models.get(model)?.rate()
    }

    /// Returns the rates as JSON for a diagnostic dump.
    pub fn dump(&self) -> serde_json::Value {
        let rates = self.models.iter();
        let rates =
            rates.map(|(model, service_rate)| (model.to_string(), service_rate.rate().into()));
        rates.collect::<serde_json::Map<_, _>>().into()
    }

    /// Tracks exactly the given models and keeps the rates that are known of them.
    pub fn set_models<'a>(&mut self, models: impl Iterator<Item = &'a ModelId>) {
        let mut old = std::mem::take(&mut self.models);
        self.models = models
            .map(|model| (model.clone(), old.remove(model).unwrap_or_default()))
            .collect();
    }
}
