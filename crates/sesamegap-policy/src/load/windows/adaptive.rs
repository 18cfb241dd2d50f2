//! An additive-increase, multiplicative-decrease (AIMD) window.
//!
//! Follows KEEP-905's adaptive capacity estimate: grow by a small step while there is no overload,
//! halve at a sign of overload, and use a cooldown so that several signs of one overload halve
//! only once. It differs in counting requests in flight instead of requests in a time window, in
//! its overload signal (a late first token, since engines queue and don't refuse), and in
//! starting with a limit, because the first overload would otherwise fill an engine.

use super::{MIN_WINDOW, Signal, Window};
use sesamegap_wire::Moment;
use std::time::Duration;

/// Initial window: the batch size of current engines.
const INITIAL_WINDOW: f64 = 16.0;

/// Maximum window of one router on one engine.
const MAX_WINDOW: f64 = 64.0;

/// Time after a decrease in which late responses don't decrease the window again, as their requests
/// were sent before it.
const COOLDOWN: Duration = Duration::from_secs(1);

/// Window with additive increase and multiplicative decrease.
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
        reason = "the size lies between MIN_WINDOW and MAX_WINDOW"
    )]
    fn limit(&self, _routers: usize) -> usize {
        self.size as usize
    }

    fn signal(&mut self, signal: Signal, in_flight: usize, now: Moment) {
        let size = self.size;
        match signal {
            // Timely responses in a window that is less than half used don't show that a larger one
            // would be safe.
            Signal::Timely if in_flight as f64 * 2.0 >= size => {
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
