//! Fleet-wide retry budget that needs no messages between entry VMs.
//!
//! When upstreams fail for many callers at once, all entry VMs retry together, and the retries would displace
//! first attempts. Each VM may therefore spend its part of a fixed allowance plus a share of its own
//! requests, so that the sum over any number of VMs stays below the fleet's bound even if the VMs cannot
//! reach each other.

use sesamegap_wire::Moment;
use std::collections::VecDeque;
use std::time::Duration;

/// Buckets per window; the bound is off by at most one bucket's retries.
const BUCKETS: u32 = 20;

/// Usable part of the budget. The rest is a reserve for peers that are discovered late: a VM that has just
/// started knows fewer peers than there are, and takes too large a part.
const USABLE: f64 = 0.8;

/// The fleet's bound on retries to one service.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Bound {
    /// Retries allowed per request.
    pub ratio: f64,
    /// Additional retries allowed per window, for the whole fleet.
    pub slack: f64,
    /// Length of the window.
    pub window: Duration,
}

#[derive(Debug, Clone, Copy)]
struct Bucket {
    start: Moment,
    requests: u32,
    retries: u32,
}

/// Retry budget of one VM for one service.
#[derive(Debug)]
pub struct Budget {
    bound: Bound,
    buckets: VecDeque<Bucket>,
}

impl Budget {
    /// Creates a budget with empty counts.
    pub fn new(bound: Bound) -> Self {
        Self {
            bound,
            buckets: VecDeque::new(),
        }
    }

    /// Replaces the bound and keeps the counts.
    pub fn set(&mut self, bound: Bound) {
        self.bound = bound;
    }

    /// Counts a caller's request.
    pub fn record_request(&mut self, now: Moment) {
        self.bucket(now).requests += 1;
    }

    /// Counts a retry and returns true if the bound allows it; `vms` is the number of entry VMs.
    #[must_use]
    pub fn try_retry(&mut self, now: Moment, vms: usize) -> bool {
        self.bucket(now);
        let requests: u32 = self.buckets.iter().map(|bucket| bucket.requests).sum();
        let retries: u32 = self.buckets.iter().map(|bucket| bucket.retries).sum();
        let slack_share = self.bound.slack / vms.max(1) as f64;
        let allowed = USABLE * (self.bound.ratio * f64::from(requests) + slack_share);
        let within_budget = f64::from(retries) + 1.0 <= allowed;
        if within_budget {
            self.bucket(now).retries += 1;
        }
        within_budget
    }

    fn bucket(&mut self, now: Moment) -> &mut Bucket {
        let window = self.bound.window;
        self.buckets
            .retain(|bucket| now.since(bucket.start) < window);
        let width = window / BUCKETS;
        let needs_bucket = self
            .buckets
            .back()
            .is_none_or(|bucket| now.since(bucket.start) >= width);
        if needs_bucket {
            self.buckets.push_back(Bucket {
                start: now,
                requests: 0,
                retries: 0,
            });
        }
        self.buckets.back_mut().expect("a bucket was just added")
    }
}
