//! A lease on a log that has no timestamps but supports conditional (compare-and-swap) appends.
//!
//! A process claims the lease by appending a record at the end of the log as it last read it. The
//! log accepts the record only if nothing was appended in between, so two claims never both
//! succeed. The claim's position gives the fencing number, which increases with every claim. Clocks
//! of different processes are never compared: a claimant waits for a term plus the handover delay
//! from when it first saw the last record of another holder, while that holder measures its term
//! from before the append of that record.
//!
//! The handover delay protects upstreams that do not check fencing numbers: without it the first
//! order of a new holder could overtake the last order of the previous one.
//!
//! The log may be restored from a backup and lose its newest claims. Each claim names the timeline on which it was
//! made. A process that finds no claim of the current timeline cannot know who holds the lease, and waits for a term
//! plus the handover delay from when it found that out. Only a holder whose term has not ended knows that no other
//! process holds the lease, and claims it again at once. Fencing numbers order by timeline before offset, so they
//! increase even though offsets go back.

use super::ProcessId;
use serde::{Deserialize, Serialize};
use sesamegap_wire::{Fence, LogPosition, Moment, Offset, Timeline};
use std::time::Duration;

/// A record of the lease log.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "Written", into = "Written")]
pub struct Claim {
    /// Process that holds the lease according to this record.
    pub holder: ProcessId,
    /// Fencing number of the renewed lease, or `None` in the record that acquires it.
    pub renews: Option<Fence>,
    /// Timeline of the log that the holder had read.
    pub timeline: Timeline,
}

/// Serialized form of a claim, which VMs of the previous release must be able to read: otherwise they would treat a
/// held lease as free.
#[derive(Debug, Serialize, Deserialize)]
struct Written {
    holder: ProcessId,
    /// The fencing number; if the record acquires the lease, the base number of the timeline instead.
    number: Option<Fence>,
}

impl From<Claim> for Written {
    fn from(claim: Claim) -> Self {
        let acquires = (claim.timeline > Timeline(0)).then(|| base_fence(claim.timeline));
        Self {
            holder: claim.holder,
            number: claim.renews.or(acquires),
        }
    }
}

impl From<Written> for Claim {
    fn from(written: Written) -> Self {
        let number = written.number.unwrap_or_default();
        let timeline = Timeline(number.0 >> OFFSET_BITS);
        Self {
            holder: written.holder,
            renews: written
                .number
                .filter(|number| *number != base_fence(timeline)),
            timeline,
        }
    }
}

/// Low bits of a fencing number that hold the offset within a timeline; engines accept 53-bit numbers.
const OFFSET_BITS: u32 = 32;

/// Returns the number below all fencing numbers of a timeline.
fn base_fence(timeline: Timeline) -> Fence {
    Fence(timeline.0.saturating_mul(1 << OFFSET_BITS))
}

/// Returns the fencing number of the claim at a position.
fn fence_at(at: LogPosition) -> Fence {
    Fence(base_fence(at.timeline).0.saturating_add(at.offset.0 + 1))
}

/// Durations that all processes of a deployment share.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LeaseTiming {
    /// How long a claim holds the lease.
    pub term: Duration,
    /// Minimum time between the end of one holder's lease and the first order of the next holder.
    pub handover_delay: Duration,
}

/// Next action for the caller of [`CasLease::step`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Step {
    /// Read the log from this position, then call [`CasLease::observe`].
    Read(LogPosition),
    /// Append this record on the condition that the log ends at this position.
    Append(Claim, LogPosition),
    /// Another process holds the lease, or must be assumed to hold it, until this moment.
    Wait(Moment),
    /// The lease is held and orders may be given.
    Hold,
}

#[derive(Debug, Clone)]
struct SeenClaim {
    claim: Claim,
    at: Moment,
}

#[derive(Debug, Clone, Copy)]
struct HeldLease {
    fence: Fence,
    until: Moment,
}

/// The lease from the point of view of one process.
#[derive(Debug)]
pub struct CasLease {
    me: ProcessId,
    timing: LeaseTiming,
    end: LogPosition,
    /// Whether the log was read since the last doubt about its end.
    up_to_date: bool,
    last_claim: Option<SeenClaim>,
    held: Option<HeldLease>,
    /// When the current timeline was first seen, unless this process held the lease then.
    unknown_since: Option<Moment>,
}

impl CasLease {
    /// Starts without the lease and with nothing read.
    pub fn new(me: ProcessId, timing: LeaseTiming) -> Self {
        Self {
            me,
            timing,
            end: LogPosition::default(),
            up_to_date: false,
            last_claim: None,
            held: None,
            unknown_since: None,
        }
    }

    /// Position to read from next.
    pub fn end(&self) -> LogPosition {
        self.end
    }

    /// Returns the next action to acquire or keep the lease.
    pub fn step(&mut self, now: Moment) -> Step {
        let third = self.timing.term / 3;
        if let Some(held) = self.held {
            if now + third * 2 < held.until {
                return Step::Hold;
            }
            if now < held.until {
                let claim = self.claim(Some(held.fence));
                return Step::Append(claim, self.end());
            }
            self.invalidate();
        }
        if !self.up_to_date {
            return Step::Read(self.end());
        }
        let free_at = self.free_at(now);
        if now < free_at {
            return Step::Wait(free_at);
        }
        Step::Append(self.claim(None), self.end())
    }

    /// Applies the records of a read; `end` is where the log ended.
    pub fn observe(&mut self, claims: &[Claim], end: LogPosition, now: Moment) {
        self.enter_timeline(end.timeline, now);
        self.end = end;
        self.up_to_date = true;
        let Some(claim) = claims.last() else { return };
        if claim.holder != self.me || self.held.is_none() {
            self.held = None;
        }
        self.last_claim = Some(SeenClaim {
            claim: claim.clone(),
            at: now,
        });
    }

    /// Records that the append begun at `began` was accepted at position `at`.
    pub fn appended(&mut self, claim: Claim, at: LogPosition, began: Moment) {
        let fence = claim.renews.unwrap_or(fence_at(at));
        self.end = at.next();
        self.held = Some(HeldLease {
            fence,
            until: began + self.timing.term,
        });
        self.last_claim = Some(SeenClaim { claim, at: began });
    }

    /// Drops the lease after an append failed or its result is unknown.
    ///
    /// The lease counts as lost until the log is read again: the record may be in the log or arrive
    /// later, and a renewal without reading could overlap another holder's claim.
    pub fn invalidate(&mut self) {
        self.held = None;
        self.up_to_date = false;
    }

    /// Switches to a newer timeline of the log: discards what was read, and the lease until it is claimed again.
    ///
    /// No other process can have claimed the lease on that timeline before this process's term ends.
    pub fn enter_timeline(&mut self, timeline: Timeline, now: Moment) {
        if timeline <= self.end.timeline {
            return;
        }
        self.unknown_since = self.may_order(now).is_none().then_some(now);
        self.end = LogPosition::new(timeline, Offset(0));
        self.last_claim = None;
        self.invalidate();
    }

    /// Requires the log to be read again before the next claim.
    pub fn require_read(&mut self) {
        self.up_to_date = false;
    }

    /// Returns the fencing number for an order, if the lease is held at `now`.
    pub fn may_order(&self, now: Moment) -> Option<Fence> {
        let held = self.held?;
        (now < held.until).then_some(held.fence)
    }

    /// Returns the holder according to the last record seen.
    pub fn holder(&self) -> Option<&ProcessId> {
        self.last_claim.as_ref().map(|seen| &seen.claim.holder)
    }

    fn claim(&self, renews: Option<Fence>) -> Claim {
        Claim {
            holder: self.me.clone(),
            renews,
            timeline: self.end.timeline,
        }
    }

    /// Returns when the last holder's orders must have ended, as far as is known.
    ///
    /// A process starts only after the previous process on its VM has ended, so a VM does not wait for its own
    /// lease. If it did, then whenever all VMs or only the holder's process restart in the middle of a rollout,
    /// engines whose weights are too old would serve nothing for the seconds in which no process may give orders.
    fn free_at(&self, now: Moment) -> Moment {
        let wait = self.timing.term + self.timing.handover_delay;
        let current = self.last_claim.as_ref();
        let current = current.filter(|seen| seen.claim.timeline == self.end.timeline);
        match (current, self.unknown_since) {
            (Some(seen), _) if seen.claim.holder.vm != self.me.vm => seen.at + wait,
            (Some(_), _) | (None, None) => now,
            // A claim of an earlier timeline may be a delayed append, or may have been in the backup.
            (None, Some(since)) => self.last_claim.as_ref().map_or(since, |seen| seen.at) + wait,
        }
    }
}
