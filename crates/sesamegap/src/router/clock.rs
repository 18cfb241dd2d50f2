//! The router's monotonic clock and the wall clock beside it.

use sesamegap_wire::Moment;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Measures moments from the start of the process.
#[derive(Debug, Clone, Copy)]
pub struct Clock {
    start: Instant,
}

impl Clock {
    /// Starts counting.
    pub fn start() -> Self {
        Self {
            start: Instant::now(),
        }
    }

    /// The present moment.
    pub fn now(&self) -> Moment {
        Moment(0) + self.start.elapsed()
    }

    /// How long it is until a moment, zero if that has passed.
    pub fn until(&self, moment: Moment) -> Duration {
        moment.since(self.now())
    }
}

/// Milliseconds since the Unix epoch.
pub fn unix_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(0, |span| {
        u64::try_from(span.as_millis()).unwrap_or(u64::MAX)
    })
}
