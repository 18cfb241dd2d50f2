//! One process's way to the lease and through it.

use super::{Lease, LeaseRecord, Leases};
use crate::agreement::Holder;
use sesamegap_wire::{Fence, Moment, Offset};
use std::time::Duration;

/// Spans of time that all controllers of a deployment share.
#[derive(Debug, Clone, Copy)]
pub struct LeaseTiming {
    /// How long a lease lasts from its record.
    pub term: Duration,
    /// How much earlier its holder stops, for clocks that run at different rates.
    pub margin: Duration,
    /// Longest time that an order can be on its way.
    pub longest_order: Duration,
}

/// What a process must do next.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Append this record, then call [`Leaseholder::appended`].
    Append(LeaseRecord),
    /// Nothing before this moment, unless the log shows something new.
    Wait(Moment),
}

/// An append whose record the fold has not shown yet.
#[derive(Debug, Clone, Copy)]
struct Attempt {
    began: Moment,
    number: u64,
}

/// The lease as one process sees it.
#[derive(Debug)]
pub struct Leaseholder {
    me: Holder,
    terms: LeaseTiming,
    attempt: Option<Attempt>,
    attempts: u64,
    until: Option<Moment>,
    quiet: Option<Moment>,
    fence: Option<Fence>,
    retry: Moment,
    watch: Option<(Option<Offset>, Moment)>,
}

impl Leaseholder {
    /// Starts without the lease.
    pub fn new(me: Holder, terms: LeaseTiming) -> Self {
        Self {
            me,
            terms,
            attempt: None,
            attempts: 0,
            until: None,
            quiet: None,
            fence: None,
            retry: Moment(0),
            watch: None,
        }
    }

    /// Says what to do, given the log as read so far; `spread` in 0..1 keeps processes apart.
    ///
    /// The log's clock cannot be read without a record, so a process that sees no renewal for a
    /// whole term simply tries: if the lease has not lapsed the record is void and harmless.
    pub fn step(&mut self, leases: &Leases, now: Moment, spread: f64) -> Action {
        self.settle(leases, now);
        if let Some(fence) = self.fence {
            return self.keep(fence, now);
        }
        if now < self.retry {
            return Action::Wait(self.retry);
        }
        self.try_acquire(leases, now, spread)
    }

    /// Notes that an append has ended, whatever came of it.
    ///
    /// A lost answer needs no care: the record is in the log or not. If it is, the fold shows it
    /// with this process's own number for it, and the lease counts from before that append.
    pub fn appended(&mut self, now: Moment) {
        self.retry = self.retry.max(now + self.terms.term / 8);
    }

    /// The fencing number to order under, if an order begun now would end in time.
    ///
    /// Must be asked right before each order: a process may have been paused since it last looked,
    /// and its successor may be ordering the opposite on engines that ignore fencing numbers.
    pub fn may_order(&self, now: Moment) -> Option<Fence> {
        let until = self.until?;
        let quiet = self.quiet?;
        (quiet <= now && now < until)
            .then_some(self.fence)
            .flatten()
    }

    /// The fencing number while the lease is held, for dumps.
    pub fn fence(&self) -> Option<Fence> {
        self.fence
    }

    /// Gives the lease back; only with no order in flight.
    pub fn release(&mut self) -> Option<LeaseRecord> {
        let fence = self.fence.take()?;
        self.until = None;
        self.quiet = None;
        Some(LeaseRecord::Release {
            holder: self.me.clone(),
            fence,
        })
    }

    /// Brings the own view in line with the log.
    fn settle(&mut self, leases: &Leases, now: Moment) {
        if self.until.is_some_and(|until| now >= until) {
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
        let Some(attempt) = self.attempt else { return };
        if attempt.number == lease.attempt {
            self.attempt = None;
            self.extend(lease, attempt.began, now);
        }
    }

    /// Counts the lease from before the append that gave it.
    fn extend(&mut self, lease: &Lease, began: Moment, now: Moment) {
        let length = self.terms.term.saturating_sub(self.terms.margin);
        let until = began + length;
        if now >= until {
            return;
        }
        if self.fence != Some(lease.fence) {
            // An order of the former holder may still be on its way to an engine that takes
            // anything. It ends within the longest time of an order after that lease lapsed,
            // and the lapse lies before this moment.
            let rest = if lease.clean {
                Duration::ZERO
            } else {
                self.terms.longest_order
            };
            self.quiet = Some(now + rest);
        }
        self.fence = Some(lease.fence);
        self.until = Some(until);
    }

    fn drop_lease(&mut self) {
        self.fence = None;
        self.until = None;
        self.quiet = None;
    }

    fn keep(&mut self, fence: Fence, now: Moment) -> Action {
        let until = self.until.unwrap_or(now);
        let third = self.terms.term / 3;
        let due = until.since(now) < third * 2 && now >= self.retry;
        if !due {
            return Action::Wait(now + third / 4);
        }
        let attempt = self.begin(now);
        Action::Append(LeaseRecord::Renew {
            holder: self.me.clone(),
            fence,
            term: self.term(),
            attempt,
        })
    }

    fn try_acquire(&mut self, leases: &Leases, now: Moment, spread: f64) -> Action {
        let seen = leases.current().map(|lease| lease.extended);
        let free = leases.current().is_none_or(|lease| lease.released);
        let base = self.terms.term;
        // Wait out a term plus a random part of one since the record last seen, so that not all
        // append at once when a holder dies.
        let wait = if free {
            base.mul_f64(spread / 4.0)
        } else {
            base + base.mul_f64(spread)
        };
        if self.watched(seen, now) < wait {
            return Action::Wait(now + base / 10);
        }
        self.watch = Some((seen, now));
        let attempt = self.begin(now);
        Action::Append(LeaseRecord::Acquire {
            holder: self.me.clone(),
            term: self.term(),
            attempt,
        })
    }

    /// For how long the log has shown the same record as the last to move the lease.
    fn watched(&mut self, seen: Option<Offset>, now: Moment) -> Duration {
        match self.watch {
            Some((last, since)) if last == seen => now.since(since),
            _ => {
                self.watch = Some((seen, now));
                Duration::ZERO
            }
        }
    }

    fn begin(&mut self, now: Moment) -> u64 {
        self.attempts += 1;
        self.attempt = Some(Attempt {
            began: now,
            number: self.attempts,
        });
        self.attempts
    }

    fn term(&self) -> u64 {
        u64::try_from(self.terms.term.as_millis()).unwrap_or(u64::MAX)
    }
}
