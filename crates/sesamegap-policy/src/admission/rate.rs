//! How fast engines work off prompts, as the VM that places them sees it.
//!
//! Tokens that an engine finds in its cache take no time, so this rate is higher than the prefill rate while prefixes are
//! cached, and falls when they are lost. With the bare prefill rate, prompts would be refused that the engines have room
//! for; with a fixed higher one, engines would be overfilled when all caches are empty.

use sesamegap_wire::Moment;
use std::time::Duration;

/// Rate before anything is known: the prefill rate of common engines, in tokens per millisecond.
pub const INITIAL_RATE: f64 = 30.0;

/// Bounds of the rate, as factors of the initial one: half for slow engines without caches, and five times for prompts
/// whose prefixes are all cached.
const BOUNDS: (f64, f64) = (0.5, 5.0);

/// Work that the initial rate counts as, in milliseconds: a few prompts outweigh it.
const INITIAL_WEIGHT_MS: f64 = 500.0;

/// Time constant of the average: caches are lost and rebuilt within seconds.
const AVERAGE_TIME: Duration = Duration::from_secs(4);

/// Least tokens of a sample, own and before it; less is done within the fixed time of a first token.
const MIN_TOKENS: u64 = 6_000;

/// Time of a first token besides prefilling, and until its report arrives.
const FIXED_TIME: Duration = Duration::from_millis(80);

/// The rate at which engines work off prompts.
#[derive(Debug, Clone, Copy)]
pub struct WorkRate {
    tokens: f64,
    millis: f64,
    at: Moment,
}

impl Default for WorkRate {
    fn default() -> Self {
        Self {
            tokens: INITIAL_RATE * INITIAL_WEIGHT_MS,
            millis: INITIAL_WEIGHT_MS,
            at: Moment::default(),
        }
    }
}

impl WorkRate {
    /// Records that an engine worked off these tokens in this time.
    pub fn record(&mut self, tokens: u64, took: Duration, now: Moment) {
        if tokens < MIN_TOKENS {
            return;
        }
        let age = now.since(self.at).as_secs_f64();
        let keep = (-age / AVERAGE_TIME.as_secs_f64()).exp();
        let took = took.saturating_sub(FIXED_TIME).as_secs_f64() * 1_000.0;
        // No sample exceeds the bound, so that a few cached prompts do not stand for many.
        let shortest = tokens as f64 / (INITIAL_RATE * BOUNDS.1);
        self.tokens = self.tokens * keep + tokens as f64;
        self.millis = self.millis * keep + took.max(shortest);
        self.at = now.max(self.at);
    }

    /// Tokens per millisecond.
    pub fn per_ms(&self) -> f64 {
        let rate = self.tokens / self.millis;
        rate.clamp(INITIAL_RATE * BOUNDS.0, INITIAL_RATE * BOUNDS.1)
    }
}
