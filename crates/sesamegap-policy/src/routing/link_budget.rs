//! Bytes that an entry VM sends to its peers.
//!
//! Callers' answers and the fleet's own messages share a VM's link. Copies of documents and lists are large: if each peer
//! that asks got one at once, a link of 10 Mbit/s would be occupied for seconds, answers to callers and probes would wait
//! behind them, and peers would take the VM for dead. So everything that the fleet sends to itself is charged to one budget,
//! a token bucket. Probes and short updates are charged and never refused; a copy is refused before it is encoded while the
//! budget is spent, and its asker turns to another peer.

use sesamegap_wire::Moment;
use std::time::Duration;

/// Part of the link that is for the fleet's own messages.
const LINK_SHARE: f64 = 0.25;

/// Time for which unused budget accumulates.
const BURST_TIME: Duration = Duration::from_millis(300);

/// Smallest allowance that accumulates, in bytes: a few pieces, however thin the link is.
const MIN_BURST_BYTES: f64 = 65_536.0;

/// What a VM may send to its peers, in bytes.
#[derive(Debug)]
pub struct LinkBudget {
    bytes_per_s: f64,
    /// Negative while more was sent than the link's share carries.
    allowance: f64,
    updated: Moment,
}

impl LinkBudget {
    /// A full budget for a link of this many Mbit/s.
    pub fn new(link_mbps: f64, now: Moment) -> Self {
        let bytes_per_s = link_mbps * 1e6 / 8.0 * LINK_SHARE;
        let mut budget = Self {
            bytes_per_s,
            allowance: 0.0,
            updated: now,
        };
        budget.allowance = budget.burst();
        budget
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

    /// Time until a copy may be sent.
    pub fn until_copy(&self, now: Moment) -> Duration {
        let earned = now.since(self.updated).as_secs_f64() * self.bytes_per_s;
        let lacking = (-self.allowance - earned).max(0.0);
        Duration::try_from_secs_f64(lacking / self.bytes_per_s.max(1.0)).unwrap_or(Duration::MAX)
    }

    fn refill(&mut self, now: Moment) {
        let earned = now.since(self.updated).as_secs_f64() * self.bytes_per_s;
        self.updated = self.updated.max(now);
        self.allowance = (self.allowance + earned).min(self.burst());
    }

    fn burst(&self) -> f64 {
        (self.bytes_per_s * BURST_TIME.as_secs_f64()).max(MIN_BURST_BYTES)
    }
}
