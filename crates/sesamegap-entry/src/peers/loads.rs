//! The load that each entry VM has placed on each upstream.
//!
//! When weights change or a prefix is hot, all VMs send to the same few engines at once. Each VM sees only its own
//! requests, a seventh of the queue, and the load that a response reports arrives only after the wait. Sharing loads
//! prevents queues of seconds at one engine while others are idle. The next datagram makes up for a lost one, and a
//! report that is not renewed in time expires.

use crate::clock;
use rustc_hash::FxHashMap;
use serde::{Deserialize, Serialize};
use sesamegap_policy::routing::dissemination::FANOUT;
use sesamegap_policy::routing::engines::PREFILL_TOKENS_PER_MS;
use sesamegap_wire::{Moment, VmId};
use std::time::Duration;

/// How long a peer's report is valid while every tick reaches all peers.
const REPORT_TTL: Duration = Duration::from_secs(1);

/// How long a report on fetches counts in full: a small fleet renews each report within this time.
const FETCH_REPORT_HOLD: Duration = Duration::from_millis(400);

/// Load that a VM has placed on one upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct UpstreamLoad {
    /// Key of the upstream's incarnation, the same on all VMs.
    #[serde(rename = "life")]
    pub key: u64,
    /// Requests in progress at the upstream.
    pub running: u32,
    /// Prompt tokens that the upstream has not prefilled yet.
    pub unread: u64,
}

#[derive(Debug)]
struct LoadReport {
    at: Moment,
    loads: Vec<UpstreamLoad>,
}

/// Load of all peers at one upstream, as reported and before any time has passed.
#[derive(Debug, Default, Clone, Copy)]
struct LoadSum {
    running: u32,
    unread: u64,
    /// Sum of unread tokens times the time of their report.
    weighted_times: u128,
}

impl LoadSum {
    fn add(&mut self, load: &UpstreamLoad, at: Moment) {
        self.running += load.running;
        self.unread += load.unread;
        self.weighted_times += u128::from(load.unread) * u128::from(at.0);
    }

    fn subtract(&mut self, load: &UpstreamLoad, at: Moment) {
        self.running -= load.running;
        self.unread -= load.unread;
        self.weighted_times -= u128::from(load.unread) * u128::from(at.0);
    }

    /// Returns the unread tokens that are left.
    ///
    /// The progress since the reports is subtracted once from the sum, not once for each report: an upstream prefills
    /// at the same rate however many VMs report on it. Otherwise thirty VMs with 2,000 tokens each would appear to
    /// have 6,000 tokens left instead of 58,000 after 60 ms.
    fn remaining(&self, now: Moment, per_ms: u64, hold: Duration) -> u64 {
        if self.unread == 0 {
            return 0;
        }
        let mean = self.weighted_times / u128::from(self.unread);
        let mean = Moment(u64::try_from(mean).unwrap_or(u64::MAX));
        let read = clock::millis(now.since(mean).saturating_sub(hold)) * per_ms;
        self.unread.saturating_sub(read)
    }
}

/// Recently reported loads of all peers.
#[derive(Debug, Default)]
pub struct Loads {
    reports: FxHashMap<VmId, LoadReport>,
    sums: FxHashMap<u64, LoadSum>,
    now: Moment,
}

impl Loads {
    /// Records a peer's report, which replaces its previous one.
    pub fn record(&mut self, vm: VmId, loads: Vec<UpstreamLoad>, now: Moment) {
        for load in &loads {
            self.sums.entry(load.key).or_default().add(load, now);
        }
        let previous = self.reports.insert(vm, LoadReport { at: now, loads });
        if let Some(previous) = previous {
            self.subtract(&previous);
        }
        self.now = now;
    }

    /// Returns the load of all peers at an upstream, as of the last report or tick.
    pub fn total_at(&self, key: u64) -> Option<UpstreamLoad> {
        let sum = self.sums.get(&key)?;
        Some(UpstreamLoad {
            key,
            running: sum.running,
            unread: sum.remaining(self.now, PREFILL_TOKENS_PER_MS, Duration::ZERO),
        })
    }

    /// Returns the tokens that all peers have in flight from a store that delivers `per_ms` tokens per millisecond.
    ///
    /// With eighty peers, reports of one peer are seconds apart. The tokens of an old report have arrived since, and
    /// counting them would keep prompts from using a store whose link is idle.
    pub fn in_flight_tokens(&self, store: u64, per_ms: u64) -> u64 {
        let sum = self.sums.get(&store);
        sum.map_or(0, |sum| sum.remaining(self.now, per_ms, FETCH_REPORT_HOLD))
    }

    /// Advances the time, which reduces the remaining tokens, and drops expired reports.
    pub fn tick(&mut self, now: Moment) {
        self.now = now;
        let ticks_per_round = self.reports.len().div_ceil(FANOUT).max(1);
        let ttl = REPORT_TTL * u32::try_from(ticks_per_round).unwrap_or(u32::MAX);
        let expired = self
            .reports
            .extract_if(|_, report| now.since(report.at) >= ttl);
        let expired: Vec<LoadReport> = expired.map(|(_, report)| report).collect();
        for report in &expired {
            self.subtract(report);
        }
    }

    fn subtract(&mut self, report: &LoadReport) {
        for load in &report.loads {
            if let Some(sum) = self.sums.get_mut(&load.key) {
                sum.subtract(load, report.at);
                if sum.running == 0 && sum.unread == 0 {
                    self.sums.remove(&load.key);
                }
            }
        }
    }
}
