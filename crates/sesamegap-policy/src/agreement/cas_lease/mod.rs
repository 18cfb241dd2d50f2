//! A lease on a log that gives no times but appends under a condition.
//!
//! A process claims by appending a record at the end that it has read; the log takes it only if
//! nobody appended in between, so two claims never both succeed. The claim's place gives the
//! fencing number, which rises with every claim. Nobody's clock is compared with another's: a
//! claimant waits a term and a rest from when it first saw the last record of another holder,
//! while that holder counts its term from before the append of that record.
//!
//! The rest is there for upstreams that do not check fencing numbers: without it the first order
//! of a new holder could cross the last one of the old holder on its way.
//!
//! The log may be restored from a copy and lose its newest claims. Each claim names the timeline that it was made
//! on. Whoever finds no claim of the present timeline cannot know who holds the lease, and waits a term and a rest
//! from when it found that out; only a holder whose term still runs then knows that nobody else does, and claims
//! anew at once. Fencing numbers count timelines before offsets, so they rise although offsets go back.

use super::Holder;
use serde::{Deserialize, Serialize};
use sesamegap_wire::{Fence, LogPosition, Moment, Offset, Timeline};
use std::time::Duration;

/// A record of the lease log.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "Written", into = "Written")]
pub struct Claim {
    /// Who holds the lease by this record.
    pub holder: Holder,
    /// Fencing number, none in the record that takes the lease.
    pub renews: Option<Fence>,
    /// The timeline of the log that its holder had read.
    pub timeline: Timeline,
}

/// A claim in its written form, which VMs of the release before read too: they would otherwise take a lease that
/// is held for free.
#[derive(Debug, Serialize, Deserialize)]
struct Written {
    holder: Holder,
    /// The fencing number, or the timeline alone in its place if the record takes the lease.
    number: Option<Fence>,
}

impl From<Claim> for Written {
    fn from(claim: Claim) -> Self {
        let takes = (claim.timeline > Timeline(0)).then(|| first(claim.timeline));
        Self {
            holder: claim.holder,
            number: claim.renews.or(takes),
        }
    }
}

impl From<Written> for Claim {
    fn from(written: Written) -> Self {
        let number = written.number.unwrap_or_default();
        let timeline = Timeline(number.0 >> OFFSET_BITS);
        Self {
            holder: written.holder,
            renews: written.number.filter(|number| *number != first(timeline)),
            timeline,
        }
    }
}

/// Bits of a fencing number that count offsets within a timeline; engines take numbers of 53 bits.
const OFFSET_BITS: u32 = 32;

/// The number below all fencing numbers of a timeline.
fn first(timeline: Timeline) -> Fence {
    Fence(timeline.0.saturating_mul(1 << OFFSET_BITS))
}

/// The fencing number of the claim at a position.
fn fence(at: LogPosition) -> Fence {
    Fence(first(at.timeline).0.saturating_add(at.offset.0 + 1))
}

/// Spans that all processes of a deployment share.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LeaseTiming {
    /// How long a record gives the lease.
    pub term: Duration,
    /// How long orders rest between two holders.
    pub handover_delay: Duration,
}

/// What a process should do about the lease.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Step {
    /// Read the log from this offset, then call [`CasLease::observe`] for each record.
    Read(LogPosition),
    /// Append this record under the condition that the log ends here.
    Append(Claim, LogPosition),
    /// Somebody else holds it, or must be taken to hold it, until this moment.
    Wait(Moment),
    /// Held; orders may be given.
    Hold,
}

#[derive(Debug, Clone)]
struct Seen {
    claim: Claim,
    at: Moment,
}

#[derive(Debug, Clone, Copy)]
struct Held {
    fence: Fence,
    until: Moment,
}

/// The lease as one process sees it.
#[derive(Debug)]
pub struct CasLease {
    me: Holder,
    terms: LeaseTiming,
    end: LogPosition,
    fresh: bool,
    last: Option<Seen>,
    held: Option<Held>,
    /// When the present timeline was first read, unless this process held the lease then.
    unsure: Option<Moment>,
}

impl CasLease {
    /// Starts without the lease and with nothing read.
    pub fn new(me: Holder, terms: LeaseTiming) -> Self {
        Self {
            me,
            terms,
            end: LogPosition::default(),
            fresh: false,
            last: None,
            held: None,
            unsure: None,
        }
    }

    /// Where to read on.
    pub fn end(&self) -> LogPosition {
        self.end
    }

    /// What to do next towards holding the lease.
    pub fn step(&mut self, now: Moment) -> Step {
        let third = self.terms.term / 3;
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
        if !self.fresh {
            return Step::Read(self.end());
        }
        let free = self.free_at(now);
        if now < free {
            return Step::Wait(free);
        }
        Step::Append(self.claim(None), self.end())
    }

    /// Takes in what a read showed; `end` is where the log ended.
    pub fn observe(&mut self, claims: &[Claim], end: LogPosition, now: Moment) {
        self.enter_timeline(end.timeline, now);
        self.end = end;
        self.fresh = true;
        let Some(claim) = claims.last() else { return };
        if claim.holder != self.me || self.held.is_none() {
            self.held = None;
        }
        self.last = Some(Seen {
            claim: claim.clone(),
            at: now,
        });
    }

    /// The append begun at `began` was taken at `offset`.
    pub fn appended(&mut self, claim: Claim, at: LogPosition, began: Moment) {
        let fence = claim.renews.unwrap_or(fence(at));
        self.end = at.next();
        self.held = Some(Held {
            fence,
            until: began + self.terms.term,
        });
        self.last = Some(Seen { claim, at: began });
    }

    /// An append failed, or nobody knows whether it was taken.
    ///
    /// The lease then counts as lost until the log was read again: the record may be in the log or
    /// come later, and a renewal by guess could overlap another holder's claim.
    pub fn invalidate(&mut self) {
        self.held = None;
        self.fresh = false;
    }

    /// The log is on a newer timeline: what was read of it is void, and the lease is lost until it is claimed anew.
    ///
    /// Another process cannot have claimed it on that timeline while this one's term still runs.
    pub fn enter_timeline(&mut self, timeline: Timeline, now: Moment) {
        if timeline <= self.end.timeline {
            return;
        }
        self.unsure = self.may_order(now).is_none().then_some(now);
        self.end = LogPosition::new(timeline, Offset(0));
        self.last = None;
        self.invalidate();
    }

    /// The log must be read again before the next claim.
    pub fn require_read(&mut self) {
        self.fresh = false;
    }

    /// The fencing number to order under, if an order begun now falls into the lease.
    pub fn may_order(&self, now: Moment) -> Option<Fence> {
        let held = self.held?;
        (now < held.until).then_some(held.fence)
    }

    /// Who held the lease by the last record seen.
    pub fn holder(&self) -> Option<&Holder> {
        self.last.as_ref().map(|seen| &seen.claim.holder)
    }

    fn claim(&self, renews: Option<Fence>) -> Claim {
        Claim {
            holder: self.me.clone(),
            renews,
            timeline: self.end.timeline,
        }
    }

    /// When the last holder's orders have ended, as far as can be told.
    ///
    /// Load: all VMs restart at once in the middle of a roll, or just the holder's process does. A process starts
    /// only after the one before it on its VM has ended, so that VM need not wait for itself. Harm prevented:
    /// engines that are shut by their weights for the seconds in which nobody may order.
    fn free_at(&self, now: Moment) -> Moment {
        let whole = self.terms.term + self.terms.handover_delay;
        let present = self.last.as_ref();
        let present = present.filter(|seen| seen.claim.timeline == self.end.timeline);
        match (present, self.unsure) {
            (Some(seen), _) if seen.claim.holder.vm != self.me.vm => seen.at + whole,
            (Some(_), _) | (None, None) => now,
            // A claim of a former timeline may be a late one, or what the copy held.
            (None, Some(since)) => self.last.as_ref().map_or(since, |seen| seen.at) + whole,
        }
    }
}
