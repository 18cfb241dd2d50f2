//! When a process that was told to stop does what.
//!
//! Load: VMs are stopped in turn under full traffic, with streams of several seconds. Harm
//! prevented: streams cut by the kill, and callers turned away that did as they were told.

use std::time::Duration;

/// How long idle connections are kept, in percent of the grace: callers that asked just before the
/// VM said that it leaves come within it.
const LINGERS: u32 = 15;

/// How long connections are taken, in percent of the grace: longer than callers keep an address,
/// and short enough that a stream of five seconds still ends.
const ACCEPTS: u32 = 33;

/// Time kept back for the exit itself.
const EXIT: Duration = Duration::from_millis(300);

/// Spans from being told to stop.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Times {
    /// Until then idle connections are kept.
    pub lingers: Duration,
    /// Until then connections are taken.
    pub accepts: Duration,
    /// Then the process exits, whatever is in flight.
    pub ends: Duration,
}

impl Times {
    /// The spans within the time that the platform gives.
    pub fn of(grace: Duration) -> Self {
        Self {
            lingers: grace * LINGERS / 100,
            accepts: grace * ACCEPTS / 100,
            ends: grace.saturating_sub(EXIT),
        }
    }
}
