//! An exponentially decaying rate.

use sesamegap_wire::Moment;
use std::time::Duration;

/// Amount per second, averaged with weights that decay exponentially with age.
#[derive(Debug, Clone, Copy, Default)]
pub struct DecayingRate {
    rate: f64,
    at: Moment,
}

impl DecayingRate {
    /// Adds an amount; `decay_time` is the time constant of the decay.
    pub fn add(&mut self, amount: f64, now: Moment, decay_time: Duration) {
        self.rate = self.rate(now, decay_time) + amount / decay_time.as_secs_f64();
        self.at = now.max(self.at);
    }

    /// The rate at `now`.
    pub fn rate(&self, now: Moment, decay_time: Duration) -> f64 {
        let age = now.since(self.at).as_secs_f64();
        self.rate * (-age / decay_time.as_secs_f64()).exp()
    }
}
