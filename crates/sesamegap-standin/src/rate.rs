//! A limit on how often something may happen.

use std::sync::{Mutex, PoisonError};
use std::time::Instant;

/// Share of a second's allowance that may be used at once.
const BURST: f64 = 0.25;

/// A token bucket.
#[derive(Debug)]
pub struct Rate {
    second: f64,
    state: Mutex<(f64, Instant)>,
}

impl Rate {
    /// A bucket that gives `second` permits a second.
    pub fn new(second: u32) -> Self {
        let second = f64::from(second.max(1));
        Self {
            second,
            state: Mutex::new(((second * BURST).max(1.0), Instant::now())),
        }
    }

    /// Whether one more is within the limit now.
    pub fn allows(&self) -> bool {
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        let (left, since) = *state;
        let now = Instant::now();
        let gained = now.duration_since(since).as_secs_f64() * self.second;
        let full = (self.second * BURST).max(1.0);
        let left = (left + gained).min(full);
        let allowed = left >= 1.0;
        *state = (if allowed { left - 1.0 } else { left }, now);
        allowed
    }
}
