//! How much of an engine's backlog a priority really waits for.
//!
//! Reports tell one sum of waiting tokens for all priorities. An engine that honours priorities
//! lets a short question of a high class pass long reviews, so the sum overstates its wait, and
//! it would be sent away from the engine that holds its prefix. How the engines go about it is
//! not known, so it is learned: for each priority the time that answers really waited, against
//! what the sum had foretold.

use rustc_hash::FxHashMap;

/// Seconds of trust in the sum before anything was seen.
const PRIOR_SECONDS: f64 = 2.0;

/// What is kept of the past at each answer: about the last 64 count.
const DECAY: f64 = 63.0 / 64.0;

/// Bounds of the learned part.
const FRACTION_BOUNDS: (f64, f64) = (0.05, 1.5);

/// Priorities that there may be: the settings' numbers are small.
const MAX_PRIORITIES: usize = 64;

#[derive(Debug, Clone, Copy, Default)]
struct Observed {
    waited: f64,
    predicted: f64,
}

/// Parts of the backlog that priorities wait for.
#[derive(Debug, Default)]
pub struct PriorityWaits {
    seen: FxHashMap<u8, Observed>,
}

impl PriorityWaits {
    /// Learns from one answer, in seconds.
    pub fn learn(&mut self, priority: u8, waited: f64, predicted: f64) {
        if self.seen.len() >= MAX_PRIORITIES && !self.seen.contains_key(&priority) {
            return;
        }
        let seen = self.seen.entry(priority).or_default();
        seen.waited = seen.waited * DECAY + waited.max(0.0);
        seen.predicted = seen.predicted * DECAY + predicted.max(0.0);
    }

    /// Part of the backlog that a priority waits for.
    pub fn wait_fraction(&self, priority: u8) -> f64 {
        let seen = self.seen.get(&priority).copied().unwrap_or_default();
        let wait_fraction = (seen.waited + PRIOR_SECONDS) / (seen.predicted + PRIOR_SECONDS);
        wait_fraction.clamp(FRACTION_BOUNDS.0, FRACTION_BOUNDS.1)
    }
}
