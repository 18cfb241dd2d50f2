//! A fleet in virtual time whose upstreams fail every request, and whose VMs are killed, cut off and added.

use super::{BOUND, at};
use sesamegap_policy::routing::budget::{Bound, Budget};

/// Milliseconds between two moments at which requests come.
const STEP_MS: u64 = 50;

/// One entry VM.
struct Vm {
    budget: Budget,
    /// VMs that it knows; it does not hear of any that come later while it is cut off.
    known: usize,
    is_cut_off: bool,
    /// Part of a request that has not come yet.
    due: f64,
    /// Part of a failure that has not come yet.
    failing: f64,
}

impl Vm {
    fn new(bound: Bound, started: u64, known: usize) -> Self {
        Self {
            budget: Budget::new(bound, at(started)),
            known,
            is_cut_off: false,
            due: 0.0,
            failing: 0.0,
        }
    }
}

/// The fleet, and what its upstreams saw.
pub struct World {
    bound: Bound,
    vms: Vec<Vm>,
    /// Requests of all callers in a second.
    pub requests_per_s: f64,
    now: u64,
    requests: Vec<u64>,
    retries: Vec<u64>,
    wanted: usize,
}

impl World {
    /// A fleet that has been running for a while.
    pub fn new(vms: usize, slack: f64, requests_per_s: f64) -> Self {
        let bound = Bound { slack, ..BOUND };
        let vm = |_| Vm::new(bound, 0, vms);
        Self {
            bound,
            vms: (0..vms).map(vm).collect(),
            requests_per_s,
            now: 60_000,
            requests: Vec::new(),
            retries: Vec::new(),
            wanted: 0,
        }
    }

    /// Number of VMs.
    pub fn len(&self) -> usize {
        self.vms.len()
    }

    /// Kills a VM, and starts it again at once.
    pub fn kill(&mut self, vm: usize) {
        let known = self.vms.len();
        self.vms[vm].budget = Budget::new(self.bound, at(self.now));
        self.vms[vm].known = known;
    }

    /// Cuts a VM off from the others, or ends that.
    pub fn cut_off(&mut self, vm: usize, is_cut_off: bool) {
        self.vms[vm].is_cut_off = is_cut_off;
    }

    /// Adds VMs, of which those know that are not cut off.
    pub fn add(&mut self, count: usize) {
        let all = self.vms.len() + count;
        for vm in &mut self.vms {
            if !vm.is_cut_off {
                vm.known = all;
            }
        }
        for _ in 0..count {
            self.vms.push(Vm::new(self.bound, self.now, all));
        }
    }

    /// Lets the time pass; each request fails `failures` times on average, and its VM wants to send it again each time.
    pub fn pass(&mut self, ms: u64, failures: f64) {
        let end = self.now + ms;
        while self.now < end {
            let each = self.requests_per_s * STEP_MS as f64 / 1_000.0 / self.vms.len() as f64;
            for vm in &mut self.vms {
                vm.due += each;
                while vm.due >= 1.0 {
                    vm.due -= 1.0;
                    vm.budget.record_request(at(self.now), vm.known);
                    self.requests.push(self.now);
                    vm.failing += failures;
                    while vm.failing >= 1.0 {
                        vm.failing -= 1.0;
                        self.wanted += 1;
                        if vm.budget.try_retry(at(self.now), vm.known).is_granted {
                            self.retries.push(self.now);
                        }
                    }
                }
            }
            self.now += STEP_MS;
        }
    }

    /// Number of retries that were made, and of those that VMs wanted to make.
    pub fn retries(&self) -> (usize, usize) {
        (self.retries.len(), self.wanted)
    }

    /// The window that is furthest over the fleet's bound: retries, and how many are allowed.
    ///
    /// Allowed are the ratio of the requests in the window, in the one before it or in the one between, and the slack.
    pub fn worst_window(&self) -> (usize, f64) {
        let window = u64::try_from(self.bound.window.as_millis()).expect("a short window");
        let count = |times: &[u64], end: u64| {
            let start = end.saturating_sub(window);
            times.partition_point(|ms| *ms < end) - times.partition_point(|ms| *ms < start)
        };
        let windows = (60_000..=self.now)
            .filter(|ms| ms % STEP_MS == 0)
            .map(|end| {
                let requests = [0, window / 2, window].map(|by| count(&self.requests, end - by));
                let most = requests.into_iter().max().unwrap_or_default();
                let allowed = self.bound.ratio * most as f64 + self.bound.slack;
                (count(&self.retries, end), allowed)
            });
        let over = |(retries, allowed): &(usize, f64)| *retries as f64 - *allowed;
        windows
            .max_by(|one, other| over(one).total_cmp(&over(other)))
            .expect("at least one window")
    }
}
