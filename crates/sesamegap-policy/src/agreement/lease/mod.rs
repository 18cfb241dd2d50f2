//! Decides which controller may give orders to engines.
//!
//! The lease is state folded from a stream of the log. A process acquires the lease by appending a
//! record, which is valid only if the previous lease had expired by the log's own clock. All
//! readers of the log therefore agree, regardless of their own clocks. The fencing number of a
//! lease is the offset of the record that acquired it, so it increases with every acquisition.
//!
//! A holder measures its lease from before its append, on a clock that keeps running while the
//! process is paused, stops a safety margin early, and calls [`Leaseholder::may_order`] right
//! before each order. Engines that check fencing numbers reject a late order of a previous holder.
//! Other engines would execute it, so a new holder waits until the longest order of its predecessor
//! must have ended.

mod holder;

pub use holder::{Action, LeaseTiming, Leaseholder};

use super::ProcessId;
use serde::{Deserialize, Serialize};
use sesamegap_wire::{Fence, Offset};

/// A record in the log's lease stream.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LeaseRecord {
    /// Acquires the lease if it has expired.
    Acquire {
        /// Process that acquires the lease.
        holder: ProcessId,
        /// Duration in milliseconds from the record's timestamp.
        term: u64,
        /// Number of the holder's attempt, by which it recognizes its own record.
        attempt: u64,
    },
    /// Extends the lease if it has not expired.
    Renew {
        /// Process that holds the lease.
        holder: ProcessId,
        /// Fencing number of the lease.
        fence: Fence,
        /// Duration in milliseconds from the record's timestamp.
        term: u64,
        /// Number of the holder's attempt, by which it recognizes its own record.
        attempt: u64,
    },
    /// Releases the lease after all orders under it have ended.
    Release {
        /// Process that held the lease.
        holder: ProcessId,
        /// Fencing number of the lease.
        fence: Fence,
    },
}

/// A lease as recorded in the log.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Lease {
    /// Process that holds the lease.
    pub holder: ProcessId,
    /// Fencing number of the orders under this lease.
    pub fence: Fence,
    /// When the lease expires, in Unix milliseconds by the log's clock.
    pub expires_at: u64,
    /// Offset of the record that last set the expiry.
    pub extended: Offset,
    /// The holder's attempt number in that record.
    pub attempt: u64,
    /// Whether the holder released the lease, with no orders in flight.
    pub released: bool,
    /// Whether the previous lease was released, so that none of its orders can be in flight.
    pub predecessor_released: bool,
}

/// State folded from the lease stream.
#[derive(Debug, Default)]
pub struct Leases {
    next: Offset,
    current: Option<Lease>,
}

impl Leases {
    /// Offset of the record to read next.
    pub fn next(&self) -> Offset {
        self.next
    }

    /// Returns the lease set by the newest valid record, whether or not it has expired.
    pub fn current(&self) -> Option<&Lease> {
        self.current.as_ref()
    }

    /// Skips records that the log has dropped.
    ///
    /// A dropped record is older than the retention, which is far longer than any term, so its
    /// lease has expired or was renewed since.
    pub fn skip(&mut self, oldest: Offset) {
        self.next = self.next.max(oldest);
    }

    /// Applies the record at `offset`, which the log accepted at `time` (Unix milliseconds).
    pub fn apply(&mut self, offset: Offset, time: u64, record: Option<&LeaseRecord>) {
        if offset < self.next {
            return;
        }
        self.next = offset.next();
        match record {
            Some(LeaseRecord::Acquire {
                holder,
                term,
                attempt,
            }) if self.is_free(time) => {
                self.acquire(offset, holder, time.saturating_add(*term), *attempt);
            }
            Some(LeaseRecord::Renew {
                holder,
                fence,
                term,
                attempt,
            }) => {
                if let Some(lease) = self.held_by(holder, *fence, time) {
                    lease.expires_at = lease.expires_at.max(time.saturating_add(*term));
                    lease.extended = offset;
                    lease.attempt = *attempt;
                }
            }
            Some(LeaseRecord::Release { holder, fence }) => {
                if let Some(lease) = self.held_by(holder, *fence, time) {
                    lease.released = true;
                }
            }
            // Acquiring a lease that is held has no effect. An unknown record, or one of a newer
            // version, occupies an offset and is ignored.
            Some(LeaseRecord::Acquire { .. }) | None => {}
        }
    }

    fn is_free(&self, time: u64) -> bool {
        let last = self.current.as_ref();
        last.is_none_or(|last| last.released || time >= last.expires_at)
    }

    fn acquire(&mut self, offset: Offset, holder: &ProcessId, expires_at: u64, attempt: u64) {
        let predecessor_released = self.current.as_ref().is_none_or(|last| last.released);
        self.current = Some(Lease {
            holder: holder.clone(),
            fence: Fence(offset.0),
            expires_at,
            extended: offset,
            attempt,
            released: false,
            predecessor_released,
        });
    }

    /// Returns the lease if this holder has it and it has not expired.
    ///
    /// A record after the expiry has no effect even if no other process acquired the lease: the
    /// holder has stopped giving orders, and other readers may already treat the lease as expired.
    fn held_by(&mut self, holder: &ProcessId, fence: Fence, time: u64) -> Option<&mut Lease> {
        let lease = self.current.as_mut()?;
        let same = lease.holder == *holder && lease.fence == fence;
        (same && !lease.released && time < lease.expires_at).then_some(lease)
    }
}
