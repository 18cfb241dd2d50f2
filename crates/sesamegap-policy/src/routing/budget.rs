//! A bound on repeats that holds over the whole fleet without messages.
//!
//! Load: upstreams fail for many callers at once, and all entry VMs repeat together. Harm
//! prevented: repeats that take the place of first attempts. Each VM spends its part of the
//! fixed allowance and a share of its own requests, so that the sum over any number of VMs stays
//! under the fleet's bound even if none hears another.

use sesamegap_wire::Moment;
use std::collections::VecDeque;
use std::time::Duration;

/// Buckets in one window; the bound is off by at most one bucket's repeats.
const BUCKETS: u32 = 20;

/// Part of the allowance that is spent, the rest is kept for VMs that are counted late: a VM that
/// has just started knows of fewer peers than there are and takes too large a part.
const USED: f64 = 0.8;

/// The fleet's bound on repeats to one service.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Bound {
    /// Repeats allowed for each request.
    pub ratio: f64,
    /// Repeats allowed beside that in one window, for the whole fleet.
    pub slack: f64,
    /// Length of the window.
    pub window: Duration,
}

#[derive(Debug, Clone, Copy)]
struct Bucket {
    start: Moment,
    requests: u32,
    repeats: u32,
}

/// Repeats of one VM to one service.
#[derive(Debug)]
pub struct Budget {
    bound: Bound,
    buckets: VecDeque<Bucket>,
}

impl Budget {
    /// Starts with nothing counted.
    pub fn new(bound: Bound) -> Self {
        Self {
            bound,
            buckets: VecDeque::new(),
        }
    }

    /// Takes a bound that changed; what was counted stays.
    pub fn set(&mut self, bound: Bound) {
        self.bound = bound;
    }

    /// Counts a caller's request.
    pub fn request(&mut self, now: Moment) {
        self.bucket(now).requests += 1;
    }

    /// Counts a repeat if the bound allows it; `vms` is how many entry VMs there are.
    #[must_use]
    pub fn repeat(&mut self, now: Moment, vms: usize) -> bool {
        self.bucket(now);
        let requests: u32 = self.buckets.iter().map(|bucket| bucket.requests).sum();
        let repeats: u32 = self.buckets.iter().map(|bucket| bucket.repeats).sum();
        let part = self.bound.slack / vms.max(1) as f64;
        let allowed = USED * (self.bound.ratio * f64::from(requests) + part);
        let free = f64::from(repeats) + 1.0 <= allowed;
        if free {
            self.bucket(now).repeats += 1;
        }
        free
    }

    fn bucket(&mut self, now: Moment) -> &mut Bucket {
        let window = self.bound.window;
        self.buckets
            .retain(|bucket| now.since(bucket.start) < window);
        let width = window / BUCKETS;
        let fresh = self
            .buckets
            .back()
            .is_none_or(|bucket| now.since(bucket.start) >= width);
        if fresh {
            self.buckets.push_back(Bucket {
                start: now,
                requests: 0,
                repeats: 0,
            });
        }
        self.buckets.back_mut().expect("a bucket was just added")
    }
}
