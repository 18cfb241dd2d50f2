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

use super::Holder;
use serde::{Deserialize, Serialize};
use sesamegap_wire::{Fence, Moment, Offset};
use std::time::Duration;

/// A record of the lease log.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claim {
    /// Who holds the lease by this record.
    pub holder: Holder,
    /// Fencing number, none in the record that takes the lease.
    pub renews: Option<Fence>,
}

/// Spans that all processes of a deployment share.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Terms {
    /// How long a record gives the lease.
    pub term: Duration,
    /// How long orders rest between two holders.
    pub rest: Duration,
}

/// What a process should do about the lease.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Step {
    /// Read the log from this offset, then call [`CasLease::observe`] for each record.
    Read(Offset),
    /// Append this record under the condition that the log ends here.
    Append(Claim, Offset),
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
    terms: Terms,
    end: Option<Offset>,
    fresh: bool,
    last: Option<Seen>,
    held: Option<Held>,
}

impl CasLease {
    /// Starts without the lease and with nothing read.
    pub fn new(me: Holder, terms: Terms) -> Self {
        Self {
            me,
            terms,
            end: None,
            fresh: false,
            last: None,
            held: None,
        }
    }

    /// Where to read on.
    pub fn end(&self) -> Offset {
        self.end.unwrap_or_default()
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
            self.lose();
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
    pub fn observe(&mut self, claims: &[Claim], end: Offset, now: Moment) {
        self.end = Some(end);
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
    pub fn appended(&mut self, claim: Claim, offset: Offset, began: Moment) {
        let fence = claim.renews.unwrap_or(Fence(offset.0 + 1));
        self.end = Some(offset.next());
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
    pub fn lose(&mut self) {
        self.held = None;
        self.fresh = false;
    }

    /// The log must be read again before the next claim.
    pub fn doubt(&mut self) {
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
        }
    }

    /// When the last holder's orders have ended, as far as can be told.
    ///
    /// Load: all VMs restart at once in the middle of a roll, or just the holder's process does. A process starts
    /// only after the one before it on its VM has ended, so that VM need not wait for itself. Harm prevented:
    /// engines that are shut by their weights for the seconds in which nobody may order.
    fn free_at(&self, now: Moment) -> Moment {
        match &self.last {
            Some(seen) if seen.claim.holder.vm != self.me.vm => {
                seen.at + self.terms.term + self.terms.rest
            }
            _ => now,
        }
    }
}
