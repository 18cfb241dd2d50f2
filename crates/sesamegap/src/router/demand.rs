//! How much of each model callers ask for, for the controller.
//!
//! Counted when a request comes in, whether it is then served or refused: a model that is refused
//! for want of engines is the one that needs more of them.

use super::clock::Clock;
use super::lock;
use sesamegap_wire::{ModelId, Moment, Tokens};
use std::collections::BTreeMap;
use std::sync::Mutex;
use std::time::Duration;

/// Time over which demand is averaged: longer than a burst, shorter than a weights load pays for.
const WINDOW: Duration = Duration::from_secs(20);

#[derive(Debug, Clone, Copy)]
struct Rate {
    per_second: f64,
    at: Moment,
}

impl Rate {
    /// What is left of the average at a later moment.
    fn at(self, now: Moment) -> f64 {
        let age = now.since(self.at).as_secs_f64();
        self.per_second * (-age / WINDOW.as_secs_f64()).exp()
    }
}

/// Demand of each model in prompt tokens a second, averaged with exponential decay.
///
/// The number of models is that of the settings: only known ones are counted.
#[derive(Debug)]
pub struct Demand {
    clock: Clock,
    rates: Mutex<BTreeMap<ModelId, Rate>>,
}

impl Demand {
    /// Starts at nothing.
    pub fn new(clock: Clock) -> Self {
        Self {
            clock,
            rates: Mutex::default(),
        }
    }

    /// Counts a request.
    pub fn asked(&self, model: &ModelId, prompt: Tokens) {
        let now = self.clock.now();
        let mut rates = lock(&self.rates);
        let former = rates.get(model).map_or(0.0, |rate| rate.at(now));
        let rate = Rate {
            per_second: former + prompt.0 as f64 / WINDOW.as_secs_f64(),
            at: now,
        };
        rates.insert(model.clone(), rate);
    }

    /// Demand now.
    pub fn now(&self) -> Vec<(ModelId, f64)> {
        let now = self.clock.now();
        let rates = lock(&self.rates);
        let all = rates.iter();
        all.map(|(model, rate)| (model.clone(), rate.at(now)))
            .collect()
    }
}
