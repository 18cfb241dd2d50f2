//! Fraction of an engine's backlog that requests of each priority actually wait for.
//!
//! Reports give one sum of waiting tokens for all priorities. An engine that honors priorities lets
//! a short high-priority request overtake long reviews, so the sum overstates that request's wait
//! and would send it away from the engine that holds its prefix. The engines' scheduling is not
//! known, so the fraction is learned for each priority by comparing actual waits with the waits
//! predicted from the sum.

use rustc_hash::FxHashMap;

/// Weight of the reported sum, in seconds, before any measurement.
const PRIOR_SECONDS: f64 = 2.0;

/// Weight kept by past measurements at each answer; about the last 64 answers count.
const DECAY: f64 = 63.0 / 64.0;

/// Bounds of the learned fraction.
const FRACTION_BOUNDS: (f64, f64) = (0.05, 1.5);

/// Maximum number of priorities tracked; the settings use small numbers.
const MAX_PRIORITIES: usize = 64;

#[derive(Debug, Clone, Copy, Default)]
struct Observed {
    waited: f64,
    predicted: f64,
}

/// Learned fraction of the backlog that requests of each priority wait for.
#[derive(Debug, Default)]
pub struct PriorityWaits {
    observed: FxHashMap<u8, Observed>,
}

impl PriorityWaits {
    /// Updates a priority with the actual and the predicted wait of one answer, in seconds.
    pub fn learn(&mut self, priority: u8, waited: f64, predicted: f64) {
        if self.observed.len() >= MAX_PRIORITIES && !self.observed.contains_key(&priority) {
            return;
        }
        let observed = self.observed.entry(priority).or_default();
        observed.waited = observed.waited * DECAY + waited.max(0.0);
        observed.predicted = observed.predicted * DECAY + predicted.max(0.0);
    }

    /// Fraction of the backlog that requests of a priority wait for.
    pub fn wait_fraction(&self, priority: u8) -> f64 {
        let observed = self.observed.get(&priority).copied().unwrap_or_default();
        let fraction = (observed.waited + PRIOR_SECONDS) / (observed.predicted + PRIOR_SECONDS);
        fraction.clamp(FRACTION_BOUNDS.0, FRACTION_BOUNDS.1)
    }
}
