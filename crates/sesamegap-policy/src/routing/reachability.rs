//! Whether this VM reaches any upstream at all.
//!
//! To a VM that is partitioned from all upstreams, each of them looks dead. Its failed connections tell nothing about the
//! upstreams then, neither to itself nor to its peers. The sign is that connections to several upstreams fail while none
//! is accepted in between; with a single failed upstream, others still accept connections. Only the opening of a
//! connection counts: bytes may still arrive on connections from before a partition.

use sesamegap_wire::Moment;
use std::time::Duration;

/// Different upstreams that must be unreached, with no connection accepted in between, for a VM to count as partitioned.
///
/// A wrong conclusion costs an extra hop until the next connection test; a late one costs callers their time.
pub const MIN_UNREACHED: usize = 3;

/// Time after which a failed connection no longer counts.
const FAILURE_WINDOW: Duration = Duration::from_secs(3);

/// Interval of connection tests while this VM counts as partitioned.
const TEST_INTERVAL: Duration = Duration::from_millis(250);

/// Interval of connection tests after a failure, until a connection is accepted: a VM may send to a few upstreams only,
/// or rarely, and would never reach [`MIN_UNREACHED`] by its requests.
const DOUBT_INTERVAL: Duration = Duration::from_millis(50);

/// A failed connection to an upstream.
#[derive(Debug, Clone, Copy)]
struct Failure {
    upstream: u64,
    at: Moment,
}

/// Effect of a connection, opened or failed, on what this VM knows.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReachChange {
    /// Nothing changed.
    Same,
    /// The VM counts as partitioned from all upstreams from now on.
    Lost {
        /// Upstreams that it did not reach.
        unreached: usize,
        /// Time since a connection was last accepted, if one ever was.
        connected_ago: Option<Duration>,
    },
    /// The VM reaches upstreams again.
    Regained {
        /// Time for which it counted as partitioned.
        after: Duration,
    },
}

/// This VM's connections to upstreams.
#[derive(Debug, Default)]
pub struct Reachability {
    /// Unreached upstreams since the last accepted connection, at most one entry each.
    failures: Vec<Failure>,
    connected_at: Option<Moment>,
    lost_at: Option<Moment>,
    next_test: Moment,
}

impl Reachability {
    /// Records that an upstream accepted a connection.
    pub fn record_connected(&mut self, now: Moment) -> ReachChange {
        self.failures.clear();
        self.connected_at = Some(now);
        match self.lost_at.take() {
            Some(lost_at) => ReachChange::Regained {
                after: now.since(lost_at),
            },
            None => ReachChange::Same,
        }
    }

    /// Records that a connection, attempted since `began`, failed; `known` is the number of known upstreams.
    pub fn record_unreached(
        &mut self,
        upstream: u64,
        began: Moment,
        known: usize,
        now: Moment,
    ) -> ReachChange {
        let is_outdated = self.connected_at.is_some_and(|at| at > began);
        if is_outdated || self.is_partitioned() {
            return ReachChange::Same;
        }
        self.failures.retain(|failure| {
            failure.upstream != upstream && now.since(failure.at) < FAILURE_WINDOW
        });
        self.failures.push(Failure { upstream, at: now });
        let unreached = self.failures.len();
        if unreached < MIN_UNREACHED.min(known.max(1)) {
            return ReachChange::Same;
        }
        self.lost_at = Some(now);
        self.next_test = now + TEST_INTERVAL;
        ReachChange::Lost {
            unreached,
            connected_ago: self.connected_at.map(|at| now.since(at)),
        }
    }

    /// Whether this VM counts as partitioned from all upstreams.
    pub fn is_partitioned(&self) -> bool {
        self.lost_at.is_some()
    }

    /// Whether connections failed recently and none was accepted since.
    pub fn is_in_doubt(&self, now: Moment) -> bool {
        let is_recent = |failure: &Failure| now.since(failure.at) < FAILURE_WINDOW;
        self.is_partitioned() || self.failures.iter().any(is_recent)
    }

    /// Whether the last connection to an upstream failed, and none to any was accepted since.
    pub fn is_unreached(&self, upstream: u64) -> bool {
        let mut failures = self.failures.iter();
        failures.any(|failure| failure.upstream == upstream)
    }

    /// Takes the next connection test, which one task performs for all; returns whether it is due.
    pub fn claim_test(&mut self, now: Moment) -> bool {
        let is_due = self.is_in_doubt(now) && self.next_test <= now;
        if is_due {
            let interval = if self.is_partitioned() {
                TEST_INTERVAL
            } else {
                DOUBT_INTERVAL
            };
            self.next_test = now + interval;
        }
        is_due
    }

    /// When an upstream last accepted a connection.
    pub fn connected_at(&self) -> Option<Moment> {
        self.connected_at
    }
}
