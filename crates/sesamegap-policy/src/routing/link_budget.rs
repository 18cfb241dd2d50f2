//! Bytes that an entry VM sends to its peers.
//!
//! Callers' answers and the fleet's own messages share a VM's link. Copies of documents and lists are large: if each peer
//! that asks got one at once, a link of 10 Mbit/s would be occupied for seconds, answers to callers and probes would wait
//! behind them, and peers would take the VM for dead. So everything that the fleet sends to itself is charged to one budget,
//! a token bucket below what callers leave of the link. Probes and short updates are charged and never refused; a copy is
//! refused before it is encoded while the budget is spent, and its asker turns to another peer.

use sesamegap_wire::Moment;
use std::time::Duration;

/// Most of the link that is for the fleet's own messages.
const MAX_SHARE: f64 = 0.25;

/// Least of the link that is: without it, a VM whose callers use all of the link would never pass a document on.
const MIN_SHARE: f64 = 0.1;

/// Part of what callers leave of the link.
const LEFT_SHARE: f64 = 0.8;

/// Time over which the callers' use of the link is averaged.
const AVERAGING_TIME: Duration = Duration::from_millis(500);

/// Time for which unused budget accumulates.
const BURST_TIME: Duration = Duration::from_millis(300);

/// Smallest allowance that accumulates, in bytes: a piece, however thin the link is.
const MIN_BURST_BYTES: f64 = 20_480.0;

/// What a VM may send to its peers, in bytes.
#[derive(Debug)]
pub struct LinkBudget {
    /// Bytes a second that the link carries.
    link: f64,
    /// Bytes a second that callers use of it.
    callers: f64,
    /// Bytes sent to callers that are not in the average yet.
    counted: f64,
    /// Negative while more was sent than the link's share carries.
    allowance: f64,
    updated: Moment,
}

impl LinkBudget {
    /// A full budget for a link of this many Mbit/s.
    pub fn new(link_mbps: f64, now: Moment) -> Self {
        let mut budget = Self {
            link: link_mbps * 1e6 / 8.0,
            callers: 0.0,
            counted: 0.0,
            allowance: 0.0,
            updated: now,
        };
        budget.allowance = budget.burst();
        budget
    }

    /// Counts bytes sent to callers.
    pub fn count_callers(&mut self, bytes: usize, now: Moment) {
        self.counted += bytes as f64;
        self.refill(now);
    }

    /// Whether a piece or a copy may be sent now.
    pub fn allows_copy(&mut self, now: Moment) -> bool {
        self.refill(now);
        self.allowance > 0.0
    }

    /// Charges a message that was sent.
    pub fn charge(&mut self, bytes: usize, now: Moment) {
        self.refill(now);
        self.allowance -= bytes as f64;
    }

    /// Bytes a second that the fleet's own messages may use.
    fn rate(&self) -> f64 {
        let left = (self.link - self.callers) * LEFT_SHARE;
        left.clamp(self.link * MIN_SHARE, self.link * MAX_SHARE)
    }

    fn refill(&mut self, now: Moment) {
        let seconds = now.since(self.updated).as_secs_f64();
        if seconds > 0.0 {
            let weight = (-seconds / AVERAGING_TIME.as_secs_f64()).exp();
            self.callers = self.callers * weight + self.counted / seconds * (1.0 - weight);
            self.counted = 0.0;
        }
        self.updated = self.updated.max(now);
        self.allowance = (self.allowance + self.rate() * seconds).min(self.burst());
    }

    fn burst(&self) -> f64 {
        (self.rate() * BURST_TIME.as_secs_f64()).max(MIN_BURST_BYTES)
    }
}
