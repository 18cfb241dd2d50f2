//! How fast the engines of a model take work from this router.
//!
//! The rate counts only while requests wait: an idle router learns how little it was asked, not
//! how much its engines could do. It is taken from what finished, not from what was sent, since
//! a burst into empty windows says nothing of the engines. Engines can do at least what they
//! have just done, so a low rate learned in a short jam is raised by what passes afterwards.

use super::DecayingRate;
use rustc_hash::FxHashMap;
use sesamegap_wire::{ModelId, Moment};
use std::time::Duration;

/// Shortest span of one sample; shorter ones hold too few answers to mean anything.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(200);

/// Backlog from which engines are taken for busy: less may be one long prompt that waits for
/// its turn while short ones pass, and engines could do more than they are seen to do.
const MIN_BACKLOG: Duration = Duration::from_millis(500);

/// Age by which a sample's weight has fallen to about a third: some dozens of answers
/// at the few a second that one router sees.
const DECAY_TIME: Duration = Duration::from_secs(10);

/// Time under backlog before the rate is believed: the first answers come late because they
/// all began together.
const MIN_OBSERVED: Duration = Duration::from_secs(2);

/// Age at which a rate is forgotten: the fleet may be another by then, and an old low rate
/// would refuse work that idle engines could do.
const MAX_AGE: Duration = Duration::from_mins(1);

/// One model's service rate.
#[derive(Debug, Default)]
pub struct ServiceRate {
    rate: f64,
    seen: Duration,
    done: f64,
    since: Moment,
    waited: bool,
    last: Moment,
    flow: DecayingRate,
}

impl ServiceRate {
    /// Notes work that engines have finished.
    pub fn done(&mut self, cost: u64, now: Moment) {
        self.done += cost as f64;
        self.flow.add(cost as f64, now, DECAY_TIME);
        self.rate = self.rate.max(self.flow.rate(now, DECAY_TIME));
    }

    /// Takes a sample when one is due, with the cost that waits for this model.
    pub fn tick(&mut self, waiting: u64, now: Moment) {
        let waiting = waiting > 0 && waiting as f64 >= self.rate * MIN_BACKLOG.as_secs_f64();
        let span = now.since(self.since);
        if !self.waited || !waiting {
            // Only spans that were busy from end to end are measured.
            if waiting != self.waited || span >= SAMPLE_INTERVAL {
                self.restart(waiting, now);
            }
            return;
        }
        if span < SAMPLE_INTERVAL {
            return;
        }
        let sample = self.done / span.as_secs_f64();
        let trust = (span.as_secs_f64() / DECAY_TIME.as_secs_f64()).min(1.0);
        let first = span.as_secs_f64() / (self.seen + span).as_secs_f64();
        self.rate += (sample - self.rate) * trust.max(first);
        self.seen = (self.seen + span).min(MAX_AGE);
        self.last = now;
        self.restart(waiting, now);
    }

    fn restart(&mut self, waiting: bool, now: Moment) {
        if now.since(self.last) > MAX_AGE {
            self.seen = Duration::ZERO;
        }
        self.done = 0.0;
        self.since = now;
        self.waited = waiting;
    }

    /// Cost a second, once enough is known.
    pub fn rate(&self) -> Option<f64> {
        (self.seen >= MIN_OBSERVED && self.rate > 0.0).then_some(self.rate)
    }
}

/// Service rates by model.
#[derive(Debug, Default)]
pub struct ServiceRates {
    models: FxHashMap<ModelId, ServiceRate>,
}

impl ServiceRates {
    /// Notes work that engines of a model have finished.
    pub fn done(&mut self, model: &ModelId, cost: u64, now: Moment) {
        if let Some(pace) = self.models.get_mut(model) {
            pace.done(cost, now);
        }
    }

    /// Takes due samples; `waiting` says how much work waits for a model.
    pub fn tick(&mut self, waiting: impl Fn(&ModelId) -> u64, now: Moment) {
        for (model, pace) in &mut self.models {
            pace.tick(waiting(model), now);
        }
    }

    /// Cost a second for a model, once enough is known.
    pub fn rate(&self, model: &ModelId) -> Option<f64> {
        self.models.get(model)?.rate()
    }

    /// Describes the rates for a dump.
    pub fn dump(&self) -> serde_json::Value {
        let rates = self.models.iter();
        let rates = rates.map(|(model, pace)| (model.to_string(), pace.rate().into()));
        rates.collect::<serde_json::Map<_, _>>().into()
    }

    /// Keeps to the models that settings know.
    pub fn keep<'a>(&mut self, models: impl Iterator<Item = &'a ModelId>) {
        let mut old = std::mem::take(&mut self.models);
        self.models = models
            .map(|model| (model.clone(), old.remove(model).unwrap_or_default()))
            .collect();
    }
}
