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

/// The budget's decision on a retry, and what it was based on.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Charge {
    /// Whether the retry was charged and may be made.
    pub is_granted: bool,
    /// Retries that are left after it.
    pub left: f64,
    /// Requests of the last window.
    pub requests: u32,
    /// Entry VMs among which the slack is divided.
    pub vms: usize,
    /// Age of the process that decides.
    pub age: Duration,
}

/// Retry budget of one VM for one service.
#[derive(Debug)]
pub struct Budget {
    bound: Bound,
    started: Moment,
    buckets: VecDeque<Bucket>,
}

impl Budget {
    /// Creates the budget of a process that started at a given time.
    pub fn new(bound: Bound, started: Moment) -> Self {
        Self {
            bound,
            started,
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

    /// Charges a retry if the bound allows it; `vms` is the number of entry VMs.
    #[must_use]
    pub fn try_retry(&mut self, now: Moment, vms: usize) -> Charge {
        self.bucket(now);
        let requests: u32 = self.buckets.iter().map(|bucket| bucket.requests).sum();
        let retries: u32 = self.buckets.iter().map(|bucket| bucket.retries).sum();
        let slack_share = self.bound.slack / vms.max(1) as f64;
        let allowed = USABLE * (self.bound.ratio * f64::from(requests) + slack_share);
        let within_budget = f64::from(retries) + 1.0 <= allowed;
        if within_budget {
            self.bucket(now).retries += 1;
        }
        let charged = f64::from(u8::from(within_budget));
        Charge {
            is_granted: within_budget,
            left: allowed - f64::from(retries) - charged,
            requests,
            vms,
            age: now.since(self.started),
        }
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
