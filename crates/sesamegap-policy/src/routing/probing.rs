//! Whether an answer to a probe that does not come in time shows that the peer failed.
//!
//! A link that callers fill, or a processor that is busy for a moment, delays answers. If each late answer counted as a
//! failure, a fleet under load would tell all its members of failures and refutations, which is more load. So a late answer
//! is no failure if anything else has arrived from the peer since the probe, and a VM whose probes are late one after the
//! other waits longer: the delay is likely its own.

use rustc_hash::FxHashMap;
use sesamegap_wire::Moment;
use std::hash::Hash;
use std::time::Duration;

/// Most timeouts that are added to that of a probe.
const MAX_EXTRA: u32 = 2;

/// Number of peers from which old entries are dropped.
const PRUNED_LEN: usize = 2_048;

/// Time after which it does not matter when a peer was heard.
const PRUNED_AGE: Duration = Duration::from_secs(10);

/// When each peer was last heard, and how this VM's probes fare.
#[derive(Debug)]
pub struct Probing<P> {
    heard: FxHashMap<P, Moment>,
    /// Timeouts that are added to that of the next probe.
    extra: u32,
}

impl<P> Default for Probing<P> {
    fn default() -> Self {
        Self {
            heard: FxHashMap::default(),
            extra: 0,
        }
    }
}

impl<P: Eq + Hash> Probing<P> {
    /// Records that a message of a peer has arrived.
    pub fn record_heard(&mut self, peer: P, now: Moment) {
        if self.heard.len() >= PRUNED_LEN {
            self.heard.retain(|_, at| now.since(*at) < PRUNED_AGE);
        }
        self.heard.insert(peer, now);
    }

    /// Timeout of the next probe.
    pub fn timeout(&self, base: Duration) -> Duration {
        base * (1 + self.extra)
    }

    /// Records an answer in time.
    pub fn record_answer(&mut self) {
        self.extra = self.extra.saturating_sub(1);
    }

    /// Records that a probe sent at `began` has no answer yet; returns whether the peer counts as failed.
    pub fn record_late(&mut self, peer: &P, began: Moment) -> bool {
        self.extra = (self.extra + 1).min(MAX_EXTRA);
        self.heard.get(peer).is_none_or(|at| *at < began)
    }
}
