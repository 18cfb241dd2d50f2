//! A window that grows while answers are timely and shrinks when they are late.
//!
//! The idea is KEEP-905's adaptive capacity estimate: grow by a small step while clean, halve at
//! a sign of overload, and let a cooldown take several signs of one overload as one. It differs
//! in what it counts (requests in flight, not requests in a time window), in its sign (a late
//! first token, since engines queue and do not refuse), and in that it starts with a bound and not
//! without one, because the first overload would otherwise fill an engine.

use super::{MIN_WINDOW, Signal, Window};
use sesamegap_wire::Moment;
use std::time::Duration;

/// Window at the start: a batch of today's engines.
const INITIAL_WINDOW: f64 = 16.0;

/// Largest window of one router on one engine.
const MAX_WINDOW: f64 = 64.0;

/// Time after a halving in which no other sign halves again: the requests that are late now
/// were sent before it.
const COOLDOWN: Duration = Duration::from_secs(1);

/// Additive increase, multiplicative decrease.
#[derive(Debug)]
pub struct AdaptiveWindow {
    size: f64,
    halved: Option<Moment>,
}

impl Default for AdaptiveWindow {
    fn default() -> Self {
        Self {
            size: INITIAL_WINDOW,
            halved: None,
        }
    }
}

impl Window for AdaptiveWindow {
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "the size lies between FEWEST and MOST"
    )]
    fn limit(&self, _routers: usize) -> usize {
        self.size as usize
    }

    fn signal(&mut self, signal: Signal, flights: usize, now: Moment) {
        let size = self.size;
        match signal {
            // A window that is not used says nothing about whether more would be well.
            Signal::Timely if flights as f64 * 2.0 >= size => {
                self.size = (size + 1.0 / size).min(MAX_WINDOW);
            }
            Signal::Timely => {}
            Signal::Late if self.halved.is_some_and(|at| now.since(at) < COOLDOWN) => {}
            Signal::Late => {
                self.size = (size / 2.0).max(MIN_WINDOW as f64);
                self.halved = Some(now);
            }
        }
    }
}
