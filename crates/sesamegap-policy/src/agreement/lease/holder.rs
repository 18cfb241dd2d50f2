//! State machine by which a process acquires and keeps the lease.

use super::{Lease, LeaseRecord, Leases};
use crate::agreement::ProcessId;
use sesamegap_wire::{Fence, Moment, Offset};
use std::time::Duration;

/// Durations that all controllers of a deployment share.
#[derive(Debug, Clone, Copy)]
pub struct LeaseTiming {
    /// How long a lease lasts from the timestamp of its record.
    pub term: Duration,
    /// How much earlier the holder stops, to allow for clocks that run at different rates.
    pub margin: Duration,
    /// Longest time that an order can be in flight.
    pub longest_order: Duration,
}

/// Next action for the caller of [`Leaseholder::step`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Append this record, then call [`Leaseholder::appended`].
    Append(LeaseRecord),
    /// Wait until this moment or until the log has new records.
    Wait(Moment),
}

/// An append whose record has not been read back from the log yet.
#[derive(Debug, Clone, Copy)]
struct Attempt {
    began: Moment,
    number: u64,
}

/// The lease from the point of view of one process.
#[derive(Debug)]
pub struct Leaseholder {
    me: ProcessId,
    timing: LeaseTiming,
    pending: Option<Attempt>,
    attempts: u64,
    /// End of the lease, less the margin.
    valid_until: Option<Moment>,
    /// From when on no order of the previous holder can be in flight.
    orders_from: Option<Moment>,
    fence: Option<Fence>,
    retry_at: Moment,
    /// Offset of the record that last extended a lease, and when it was first seen.
    last_extension: Option<(Option<Offset>, Moment)>,
}

impl Leaseholder {
    /// Starts without the lease.
    pub fn new(me: ProcessId, timing: LeaseTiming) -> Self {
        Self {
            me,
            timing,
            pending: None,
            attempts: 0,
            valid_until: None,
            orders_from: None,
            fence: None,
            retry_at: Moment(0),
            last_extension: None,
        }
    }

    /// Returns the next action, given the log as read so far. `jitter` in 0..1 keeps processes from
    /// acting at the same time.
    ///
    /// The log's clock cannot be read without appending a record, so a process that sees no renewal
    /// for a whole term tries to acquire; if the lease has not expired, the record has no effect.
    pub fn step(&mut self, leases: &Leases, now: Moment, jitter: f64) -> Action {
        self.sync(leases, now);
        if let Some(fence) = self.fence {
            return self.renew_if_due(fence, now);
        }
        if now < self.retry_at {
            return Action::Wait(self.retry_at);
        }
        self.try_acquire(leases, now, jitter)
    }

    /// Records that an append has ended, with any result.
    ///
    /// A lost response needs no special handling: if the record is in the log, it is read back with
    /// this process's attempt number, and the lease is measured from before that append.
    pub fn appended(&mut self, now: Moment) {
        self.retry_at = self.retry_at.max(now + self.timing.term / 8);
    }

    /// Returns the fencing number for an order, if an order begun now would end in time.
    ///
    /// Must be called right before each order: the process may have been paused since the last
    /// call, and its successor may be giving conflicting orders to engines that ignore fencing
    /// numbers.
    pub fn may_order(&self, now: Moment) -> Option<Fence> {
        let valid_until = self.valid_until?;
        let orders_from = self.orders_from?;
        (orders_from <= now && now < valid_until)
            .then_some(self.fence)
            .flatten()
    }

    /// Returns the fencing number while the lease is held, for state dumps.
    pub fn fence(&self) -> Option<Fence> {
        self.fence
    }

    /// Releases the lease. Must be called only with no order in flight.
    pub fn release(&mut self) -> Option<LeaseRecord> {
        let fence = self.fence.take()?;
        self.valid_until = None;
        self.orders_from = None;
        Some(LeaseRecord::Release {
            holder: self.me.clone(),
            fence,
        })
    }

    /// Updates the local state from the log.
    fn sync(&mut self, leases: &Leases, now: Moment) {
        if self.valid_until.is_some_and(|until| now >= until) {
            self.drop_lease();
        }
        let Some(lease) = leases.current() else {
            self.drop_lease();
            return;
        };
        let mine = lease.holder == self.me && !lease.released;
        if !mine {
            self.drop_lease();
            return;
        }
        let Some(pending) = self.pending else { return };
        if pending.number == lease.attempt {
            self.pending = None;
            self.extend(lease, pending.began, now);
        }
    }

    /// Sets the end of the lease, measured from before the append of its record.
    fn extend(&mut self, lease: &Lease, began: Moment, now: Moment) {
        let length = self.timing.term.saturating_sub(self.timing.margin);
        let until = began + length;
        if now >= until {
            return;
        }
        if self.fence != Some(lease.fence) {
            // An order of the previous holder may still be in flight to an engine that does not
            // check fencing numbers. It ends at most `longest_order` after the previous lease
            // expired, and that expiry lies before this moment.
            let delay = if lease.predecessor_released {
                Duration::ZERO
            } else {
                self.timing.longest_order
            };
            self.orders_from = Some(now + delay);
        }
        self.fence = Some(lease.fence);
        self.valid_until = Some(until);
    }

    fn drop_lease(&mut self) {
        self.fence = None;
        self.valid_until = None;
        self.orders_from = None;
    }

    fn renew_if_due(&mut self, fence: Fence, now: Moment) -> Action {
        let until = self.valid_until.unwrap_or(now);
        let third = self.timing.term / 3;
        let due = until.since(now) < third * 2 && now >= self.retry_at;
        if !due {
            return Action::Wait(now + third / 4);
        }
        let attempt = self.begin_attempt(now);
        Action::Append(LeaseRecord::Renew {
            holder: self.me.clone(),
            fence,
            term: self.term_ms(),
            attempt,
        })
    }

    fn try_acquire(&mut self, leases: &Leases, now: Moment, jitter: f64) -> Action {
        let seen = leases.current().map(|lease| lease.extended);
        let free = leases.current().is_none_or(|lease| lease.released);
        let base = self.timing.term;
        // Waits a term plus a random fraction of one since the last record seen, so that processes
        // do not all append at once when a holder dies.
        let wait = if free {
            base.mul_f64(jitter / 4.0)
        } else {
            base + base.mul_f64(jitter)
        };
        if self.time_since_extension(seen, now) < wait {
            return Action::Wait(now + base / 10);
        }
        self.last_extension = Some((seen, now));
        let attempt = self.begin_attempt(now);
        Action::Append(LeaseRecord::Acquire {
            holder: self.me.clone(),
            term: self.term_ms(),
            attempt,
        })
    }

    /// Returns how long `seen` has been the last record that extended the lease.
    fn time_since_extension(&mut self, seen: Option<Offset>, now: Moment) -> Duration {
        match self.last_extension {
            Some((last, since)) if last == seen => now.since(since),
            _ => {
                self.last_extension = Some((seen, now));
                Duration::ZERO
            }
        }
    }

    fn begin_attempt(&mut self, now: Moment) -> u64 {
        self.attempts += 1;
        self.pending = Some(Attempt {
            began: now,
            number: self.attempts,
        });
        self.attempts
    }

    fn term_ms(&self) -> u64 {
        u64::try_from(self.timing.term.as_millis()).unwrap_or(u64::MAX)
    }
}
