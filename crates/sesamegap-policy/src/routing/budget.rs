//! Fleet-wide retry budget that needs no messages between entry VMs, and nothing that survives a process.
//!
//! When upstreams fail for many callers at once, all entry VMs retry together, and the retries would displace first
//! attempts. The users bound the retries of all VMs in any window by a ratio of the requests, plus a slack. The bound holds
//! whatever becomes of the processes and of the links between them:
//!
//! - **Earned, not given.** A process starts with nothing. Its own requests earn it retries, and time earns it its VM's part of
//!   the slack. It spends in a window at most what it had saved at the start of the window, and what it earned since.
//! - **Savings are bounded.** Of what the bound allows in a window, a part may be saved and the rest is earned: saved are at most
//!   [`SAVED_RATIO`] of the ratio of the last window's requests and [`SAVED_SLACK`] of the part of the slack, or one retry, if
//!   the bound allows that many. Earnings and savings add up to the bound. Processes that end lose their savings, and those
//!   that replace them have none, so that no number of restarts enlarges the sum.
//! - **Parts of the slack** are divided by the VMs that are listed, not by those that answer. A count that falls is used only
//!   a window later, since VMs that are gone may have spent their parts just before.
//!
//! Retries saved from one window into the next count with the ratio of the earlier one, which is how the bound itself
//! treats a load that falls.

use sesamegap_wire::Moment;
use std::collections::VecDeque;
use std::time::Duration;

/// Buckets per window; the bound is off by at most one bucket's retries.
const BUCKETS: u32 = 20;

/// Part of the ratio that may be saved: enough to repeat the requests that an upstream loses at once.
const SAVED_RATIO: f64 = 0.25;

/// Part of the slack that may be saved.
const SAVED_SLACK: f64 = 0.5;

/// Usable part of the slack. The rest is a reserve for VMs that are discovered late: a VM that is cut off does not learn
/// of those that are added, and takes too large a part.
const USABLE_SLACK: f64 = 0.8;

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
    /// Most VMs that were known.
    vms: usize,
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
    /// Entry VMs among which the slack is divided; zero if they are not known.
    pub vms: usize,
    /// Age of the process that decides.
    pub age: Duration,
}

/// What the bound allows one VM in a window.
#[derive(Debug, Clone, Copy)]
struct Allowance {
    requests: u32,
    vms: usize,
    /// This VM's part of the slack.
    slack_part: f64,
    /// Retries that may be saved.
    most_saved: f64,
    /// Part of the ratio that a request earns.
    earned_ratio: f64,
    /// Part of the slack that time earns.
    earned_slack: f64,
}

/// Retry budget of one VM for one service.
#[derive(Debug)]
pub struct Budget {
    bound: Bound,
    started: Moment,
    buckets: VecDeque<Bucket>,
    /// Retries that may be made now.
    saved: f64,
    /// Up to when the part of the slack was earned.
    earned_until: Moment,
}

impl Budget {
    /// Creates the budget of a process that started at a given time.
    pub fn new(bound: Bound, started: Moment) -> Self {
        Self {
            bound,
            started,
            buckets: VecDeque::new(),
            saved: 0.0,
            earned_until: started,
        }
    }

    /// Replaces the bound and keeps the counts.
    pub fn set(&mut self, bound: Bound) {
        self.bound = bound;
    }

    /// Counts a caller's request; `vms` is the number of entry VMs that may hold a part of the slack, or zero if it is not
    /// known.
    pub fn record_request(&mut self, now: Moment, vms: usize) {
        self.bucket(now, vms).requests += 1;
        let allowance = self.allowance();
        self.earn_slack(now, &allowance);
        self.saved += self.bound.ratio * allowance.earned_ratio;
    }

    /// Charges a retry if the bound allows it; `vms` as for a request.
    #[must_use]
    pub fn try_retry(&mut self, now: Moment, vms: usize) -> Charge {
        self.bucket(now, vms);
        let allowance = self.allowance();
        self.earn_slack(now, &allowance);
        self.saved = self.saved.min(allowance.most_saved);
        let is_granted = self.saved >= 1.0;
        if is_granted {
            self.saved -= 1.0;
        }
        Charge {
            is_granted,
            left: self.saved,
            requests: allowance.requests,
            vms: allowance.vms,
            age: now.since(self.started),
        }
    }

    fn earn_slack(&mut self, now: Moment, allowance: &Allowance) {
        let windows = now.since(self.earned_until).as_secs_f64() / self.bound.window.as_secs_f64();
        self.earned_until = now;
        self.saved += allowance.slack_part * allowance.earned_slack * windows;
    }

    /// What the bound allows this VM in a window, by the requests of the last one.
    fn allowance(&self) -> Allowance {
        let requests: u32 = self.buckets.iter().map(|bucket| bucket.requests).sum();
        let vms = self.buckets.iter().map(|bucket| bucket.vms).max();
        let vms = vms.unwrap_or_default();
        let slack_part = match vms {
            0 => 0.0,
            vms => USABLE_SLACK * self.bound.slack / vms as f64,
        };
        let ratio_part = self.bound.ratio * f64::from(requests);
        let whole = ratio_part + slack_part;
        let usual = SAVED_RATIO * ratio_part + SAVED_SLACK * slack_part;
        // A VM with few requests could otherwise never save a whole retry.
        let most_saved = usual.max(1.0).min(whole);
        let earned = if usual < whole {
            (whole - most_saved) / (whole - usual)
        } else {
            0.0
        };
        Allowance {
            requests,
            vms,
            slack_part,
            most_saved,
            earned_ratio: (1.0 - SAVED_RATIO) * earned,
            earned_slack: (1.0 - SAVED_SLACK) * earned,
        }
    }

    fn bucket(&mut self, now: Moment, vms: usize) -> &mut Bucket {
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
                vms: 0,
            });
        }
        let bucket = self.buckets.back_mut().expect("a bucket was just added");
        bucket.vms = bucket.vms.max(vms);
        bucket
    }
}
