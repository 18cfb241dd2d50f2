//! How fast engines read prompts, as far as their first tokens show.
//!
//! Load: engines of one deployment read three times as many tokens in a millisecond as those of another, and what they
//! have cached of a prompt is not known. Harm prevented: waits at an engine that are taken for three times as long
//! as they are. A prompt's own part is hardly ever cached, so it was read within the time to its first token. Most
//! readings also waited for something, and a few found even the own part cached: one in eleven is quicker than what
//! is taken.

use super::engines::READ_PER_MS;
use std::time::Duration;

/// Own tokens from which reading takes most of the time to a first token.
const LEAST_OWN: u64 = 6_000;

/// Part by which a quicker prompt raises the speed.
const RAISED: f64 = 0.05;

/// Part by which a slower one lowers it.
const LOWERED: f64 = 0.005;

/// Tokens that an engine reads in a millisecond.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Speed(f64);

impl Default for Speed {
    fn default() -> Self {
        Self(READ_PER_MS as f64)
    }
}

impl Speed {
    /// Notes the time to the first token of a prompt with this many tokens of its own.
    pub fn note(&mut self, own: u64, took: Duration) {
        if own < LEAST_OWN {
            return;
        }
        let seen = own as f64 / (took.as_secs_f64() * 1_000.0).max(1.0);
        let step = if seen > self.0 {
            1.0 + RAISED
        } else {
            1.0 - LOWERED
        };
        self.0 = (self.0 * step).max(READ_PER_MS as f64);
    }

    /// Time that an engine needs to read this many tokens.
    pub fn reading(&self, tokens: u64) -> Duration {
        Duration::from_secs_f64(tokens as f64 / self.0 / 1_000.0)
    }
}
