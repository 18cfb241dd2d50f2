//! When an entry VM reads a table from the store itself, and when a peer's relayed update suffices.
//!
//! With 84 VMs following the fleet list and the settings, every call has a cost, and each heartbeat of 143
//! upstreams would be read 84 times: calls would grow with the number of VMs, and bytes with the product of VMs
//! and upstreams. So a few VMs act as readers and relay changes to all others. Every VM still has a bound on the
//! age of its data, whether its peers reach it or not: a VM that misses an update, or receives none in time, reads
//! from its own position itself, so no record is ever skipped.

use sesamegap_wire::{LogPosition, Moment};
use std::time::Duration;

/// Number of VMs that read a table for all others. With eight, one of them has read it within an eighth of the
/// polling interval; in smaller fleets every VM reads.
pub const READERS: usize = 8;

/// Time after which a VM reads the whole table again. Otherwise, a lost update about an upstream to which this VM
/// sends nothing would never be corrected.
const FULL_READ_INTERVAL: Duration = Duration::from_secs(30);

/// Range of a table's log that one read covers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Span {
    /// Start of the range.
    pub from: LogPosition,
    /// Position after the range, from which the next read continues.
    pub next: LogPosition,
}

/// Result of applying a reader's update.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum UpdateOutcome {
    /// The update is contiguous: everything up to its end is known.
    Contiguous,
    /// It ends before the known position, because the reader was delayed.
    Outdated,
    /// There is a gap before it, or it is incomplete.
    Missed,
}

/// Position up to which a table is known.
#[derive(Debug, Default)]
pub struct Position {
    next: Option<LogPosition>,
    /// End of the updates that were missed.
    missed: LogPosition,
    last_update: Moment,
    /// When the whole table was last read.
    last_full_read: Moment,
    /// When this VM's last successful call began.
    last_call: Option<Moment>,
}

impl Position {
    /// Position to read from, or `None` if the whole table must be read.
    pub fn next(&self) -> Option<LogPosition> {
        self.next
    }

    /// Records the position up to which this VM has read.
    pub fn record_read(&mut self, next: LogPosition, now: Moment) {
        if self.next.is_none() {
            self.last_full_read = now;
        }
        self.next = Some(next);
        self.last_update = now;
    }

    /// Records the start of the call whose answer this VM has just read.
    pub fn record_call(&mut self, began: Moment) {
        self.last_call = Some(began);
    }

    /// Time up to which this VM is certain to know the whole table, or `None` if it never read it.
    ///
    /// Updates from peers do not count, since they may have been delayed on the way.
    pub fn complete_until(&self) -> Option<Moment> {
        self.last_call
    }

    /// Requires the next read to cover the whole table.
    pub fn require_full_read(&mut self) {
        self.next = None;
    }

    /// Requires a read of the whole table if the last one is older than [`FULL_READ_INTERVAL`].
    pub fn renew(&mut self, now: Moment) {
        if now.since(self.last_full_read) >= FULL_READ_INTERVAL {
            self.require_full_read();
        }
    }

    /// Applies a reader's update; `whole` says whether it names every change in the range.
    pub fn apply(&mut self, span: Span, whole: bool, now: Moment) -> UpdateOutcome {
        let Some(next) = self.next else {
            return UpdateOutcome::Missed;
        };
        if span.next < next {
            return UpdateOutcome::Outdated;
        }
        let contiguous = span.from <= next && (whole || span.next == next);
        if !contiguous {
            self.missed = self.missed.max(span.next);
            return UpdateOutcome::Missed;
        }
        self.next = Some(span.next);
        self.last_update = now;
        UpdateOutcome::Contiguous
    }

    /// Time until this VM must read the table itself if it receives no update.
    pub fn time_left(&self, interval: Duration, now: Moment) -> Duration {
        if self.next.is_none_or(|next| next < self.missed) {
            return Duration::ZERO;
        }
        interval.saturating_sub(now.since(self.last_update))
    }
}
