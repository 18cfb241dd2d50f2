//! Which controller may give orders to engines.
//!
//! The lease is a fold over a stream of the log. A process acquires by appending a record; the
//! record counts only if, by the log's own clock, the lease before it had lapsed. All readers of
//! the log agree on that, whoever's clock is off. The fencing number of a lease is the offset of
//! the record that acquired it, so it rises with every holder.
//!
//! A holder counts its lease from before its append, on a clock that goes on while the process is
//! paused, stops a margin early, and asks [`Leaseholder::may_order`] right before each order.
//! Engines that check fencing numbers refuse a late order of a former holder; others would take
//! it, so a successor waits until the longest order of its predecessor must have ended.

mod holder;

pub use holder::{Action, LeaseTiming, Leaseholder};

use super::Holder;
use serde::{Deserialize, Serialize};
use sesamegap_wire::{Fence, Offset};

/// A record of the log's lease stream.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LeaseRecord {
    /// Take the lease, if it has lapsed.
    Acquire {
        /// Who.
        holder: Holder,
        /// For how many milliseconds from the record's time.
        term: u64,
        /// Counts this holder's attempts, so that it knows its own record again.
        attempt: u64,
    },
    /// Keep the lease, if it has not lapsed.
    Renew {
        /// Who.
        holder: Holder,
        /// Under which fencing number.
        fence: Fence,
        /// For how many milliseconds from the record's time.
        term: u64,
        /// Counts this holder's attempts, so that it knows its own record again.
        attempt: u64,
    },
    /// Give the lease back, with all orders under it ended.
    Release {
        /// Who.
        holder: Holder,
        /// Under which fencing number.
        fence: Fence,
    },
}

/// A lease as the log shows it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Lease {
    /// Who holds it.
    pub holder: Holder,
    /// Fencing number of its orders.
    pub fence: Fence,
    /// When it lapses, in Unix milliseconds by the log's clock.
    pub lapse: u64,
    /// Offset of the record that last moved the lapse.
    pub extended: Offset,
    /// Its holder's number for that record.
    pub attempt: u64,
    /// Whether its holder gave it back with nothing in flight.
    pub released: bool,
    /// Whether the lease before it was given back, so that none of its orders can be in flight.
    pub clean: bool,
}

/// The lease stream, folded.
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

    /// The lease that the newest valid record gave, lapsed or not.
    pub fn current(&self) -> Option<&Lease> {
        self.current.as_ref()
    }

    /// Goes on after records that the log has dropped.
    ///
    /// A dropped record is older than the retention, which is far longer than any term, so the
    /// lease it gave has lapsed or was renewed since.
    pub fn skip(&mut self, oldest: Offset) {
        self.next = self.next.max(oldest);
    }

    /// Takes in the record at `offset`, which the log took at `time` (Unix milliseconds).
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
                    lease.lapse = lease.lapse.max(time.saturating_add(*term));
                    lease.extended = offset;
                    lease.attempt = *attempt;
                }
            }
            Some(LeaseRecord::Release { holder, fence }) => {
                if let Some(lease) = self.held_by(holder, *fence, time) {
                    lease.released = true;
                }
            }
            // An acquisition of a lease that is held is void. A record that is not ours, or of a
            // newer version, takes a place and means nothing.
            Some(LeaseRecord::Acquire { .. }) | None => {}
        }
    }

    fn is_free(&self, time: u64) -> bool {
        let last = self.current.as_ref();
        last.is_none_or(|last| last.released || time >= last.lapse)
    }

    fn acquire(&mut self, offset: Offset, holder: &Holder, lapse: u64, attempt: u64) {
        let clean = self.current.as_ref().is_none_or(|last| last.released);
        self.current = Some(Lease {
            holder: holder.clone(),
            fence: Fence(offset.0),
            lapse,
            extended: offset,
            attempt,
            released: false,
            clean,
        });
    }

    /// The lease, if it is this holder's and has not lapsed.
    ///
    /// A record after the lapse is void even if nobody else came: its holder has stopped giving
    /// orders, and a reader elsewhere may already count it as gone.
    fn held_by(&mut self, holder: &Holder, fence: Fence, time: u64) -> Option<&mut Lease> {
        let lease = self.current.as_mut()?;
        let same = lease.holder == *holder && lease.fence == fence;
        (same && !lease.released && time < lease.lapse).then_some(lease)
    }
}
