//! A clock that goes on while the machine is suspended.
//!
//! The ordinary monotonic clock stops with the machine. A holder that was suspended past its lease
//! would then count time it has not had, and go on ordering beside its successor.

use rustix::time::{ClockId, clock_gettime};
use sesamegap_wire::Moment;

/// Reads the time since the machine started, suspensions included.
#[derive(Debug, Clone, Copy, Default)]
pub struct BootClock;

impl BootClock {
    /// The present moment.
    pub fn now(self) -> Moment {
        let time = clock_gettime(ClockId::Boottime);
        let seconds = u64::try_from(time.tv_sec).unwrap_or(0);
        let micros = u64::try_from(time.tv_nsec).unwrap_or(0) / 1000;
        Moment(seconds * 1_000_000 + micros)
    }
}
