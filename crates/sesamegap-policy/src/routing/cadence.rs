//! When the fleet list is read, and when a VM misses a reading.
//!
//! An upstream that announces that it leaves must get no more requests from any VM after a fixed time, the drain bound. A
//! change takes this long to reach a VM that does not read the list itself:
//!
//! - up to a slot until some reader reads it: the readers take turns, evenly spread over the interval;
//! - [`DELIVERY`] for the call and the way of the update;
//! - if the update is lost, another slot until the next one shows the gap, the wait for parts that are still on their way, and
//!   a request to peers, which is sent to a second one if the first is slow;
//! - if that request fails, a second one;
//! - a further slot for each reader in turn that is dead and not yet known to be.
//!
//! With eight readers, all of this and three dead readers in turn fit into the bound. A VM that hears no reading for some slots
//! reads the list itself, before its own data has the age that a reader's may have.

use std::time::Duration;

/// Time between two calls of one reader, in percent of the drain bound. The rest covers the slowest call and a request that
/// is on its way.
const INTERVAL_PERCENT: u32 = 65;

/// Time from the start of a reader's call until its update has arrived, also over thin links.
pub const DELIVERY: Duration = Duration::from_millis(150);

/// Readings that a VM misses in turn before it asks its peers.
const ASK_SLOTS: u32 = 2;

/// Readings that a VM misses in turn before it takes over the reading.
const TAKEOVER_SLOTS: u32 = 4;

/// How the readers of the fleet list share the readings.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Cadence {
    interval: Duration,
    readers: u32,
}

impl Cadence {
    /// The cadence of a number of readers for a drain bound.
    pub fn new(drain: Duration, readers: usize) -> Self {
        Self {
            interval: drain * INTERVAL_PERCENT / 100,
            readers: u32::try_from(readers).unwrap_or(u32::MAX).max(1),
        }
    }

    /// Time between two calls of one reader.
    pub fn interval(&self) -> Duration {
        self.interval
    }

    /// Time between the calls of two readers that follow each other.
    pub fn slot(&self) -> Duration {
        self.interval / self.readers
    }

    /// Time without a reading after which a VM asks its peers.
    pub fn ask_after(&self) -> Duration {
        (self.slot() * ASK_SLOTS + DELIVERY).min(self.interval)
    }

    /// Time without a reading after which VMs that are no readers read the list, one after another.
    pub fn takeover_after(&self) -> Duration {
        (self.slot() * TAKEOVER_SLOTS + DELIVERY).min(self.interval)
    }

    /// Time until a reader's next call, by its rank and the time of day.
    ///
    /// The time of day spreads the readers without any message. If it is wrong on some VMs, their calls come at the same
    /// interval, and only the spread is lost.
    pub fn until_call(&self, rank: usize, unix_ms: u64) -> Duration {
        let interval = u64::try_from(self.interval.as_millis())
            .unwrap_or(u64::MAX)
            .max(1);
        let readers = u64::from(self.readers);
        let offset = interval * (rank as u64 % readers) / readers;
        let passed = (unix_ms % interval + interval - offset) % interval;
        Duration::from_millis(interval - passed)
    }
}
