//! Which upstreams to avoid because other entry VMs reported them as unresponsive.
//!
//! When a quarter of 140 engines stops responding, each of 84 VMs contacts each engine only rarely. If every VM had
//! to detect each failure itself, each attempt would cost one caller's wait; with six prompts a second and
//! 35 unresponsive engines, nearly every prompt hit at least one of them. So a VM that cannot connect to an
//! upstream reports it to its peers.
//!
//! A VM that is itself cut off finds all upstreams unresponsive, and an upstream may be unreachable from one VM
//! only. So a report counts only when a second VM confirms it, and a VM sends a report only once another connection
//! has been accepted after the failure, while most upstreams that it contacts answer it. Without the former, several
//! VMs that lose their links at the same time would report every upstream before they notice.

use rustc_hash::FxHashMap;
use serde::{Deserialize, Serialize};
use sesamegap_wire::{Moment, VmId};
use std::collections::VecDeque;
use std::time::Duration;

/// Number of VMs that must report an upstream for it to be suspect.
const QUORUM: usize = 2;

/// Window over which this VM counts its own attempts: about ten of them.
const ATTEMPT_WINDOW: Duration = Duration::from_secs(2);

/// How long peers avoid a reported upstream, as a percentage of the reporter's own time, so that the reporter
/// retries it first rather than all VMs at once.
const PEER_AVOIDANCE_PERCENT: u32 = 150;

/// Longest time for which peers' findings extend the avoidance of an upstream: it must not stay idle for much
/// longer than it was unresponsive.
const MAX_SHARED_AVOIDANCE: Duration = Duration::from_millis(2_400);

/// How long an avoidance is remembered: long enough for a VM to retry the upstream.
const AVOIDANCE_MEMORY: Duration = Duration::from_secs(6);

/// A VM's report on an upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct SilenceReport {
    /// The upstream's seed, identical on all VMs.
    pub seed: u64,
    /// Milliseconds for which the VM avoids it; zero once it answers again.
    pub avoided_ms: u32,
}

/// Reports of all VMs on unresponsive upstreams.
#[derive(Debug, Default)]
pub struct SilenceReports {
    reports: FxHashMap<u64, Vec<(VmId, Moment)>>,
    /// For how long an upstream was last avoided, and until when that is remembered.
    avoided: FxHashMap<u64, (Duration, Moment)>,
    attempts: VecDeque<(Moment, bool)>,
    /// Failures since this VM last reached an upstream, at most one for each upstream.
    unconfirmed: Vec<(SilenceReport, Moment)>,
    outgoing: Vec<SilenceReport>,
}

impl SilenceReports {
    /// Records that an upstream did not answer this VM, which would avoid it for `avoided`. Returns how long to
    /// avoid it.
    pub fn failed(&mut self, seed: u64, avoided: Duration, now: Moment) -> Duration {
        self.record_attempt(false, now);
        let before = self.avoided.get(&seed).filter(|(_, until)| now < *until);
        // The attempt was made on behalf of all VMs, so the last avoidance counts as this VM's own and is doubled.
        let shared = before.map_or(Duration::ZERO, |(before, _)| {
            (*before * 2).min(MAX_SHARED_AVOIDANCE)
        });
        let avoided = avoided.max(shared);
        if self.may_report() {
            let report = SilenceReport {
                seed,
                avoided_ms: u32::try_from(avoided.as_millis()).unwrap_or(u32::MAX),
            };
            self.unconfirmed.retain(|(other, _)| other.seed != seed);
            self.unconfirmed.push((report, now));
            self.avoided.insert(seed, (avoided, now + AVOIDANCE_MEMORY));
        }
        avoided
    }

    /// Records that an upstream accepted a connection of this VM, so that the failures before were not this VM's.
    pub fn connected(&mut self, now: Moment) {
        for (report, at) in self.unconfirmed.drain(..) {
            let passed = u32::try_from(now.since(at).as_millis()).unwrap_or(u32::MAX);
            let avoided_ms = report.avoided_ms.saturating_sub(passed);
            if avoided_ms > 0 {
                self.outgoing.push(SilenceReport {
                    avoided_ms,
                    ..report
                });
            }
        }
    }

    /// Discards the failures since this VM last reached an upstream, which were its own.
    pub fn discard_unconfirmed(&mut self) {
        for (report, _) in self.unconfirmed.drain(..) {
            self.avoided.remove(&report.seed);
        }
    }

    /// Records that an upstream answered this VM; `avoided` says whether this VM avoided it before.
    ///
    /// Discards earlier reports from peers about the upstream.
    pub fn answered(&mut self, seed: u64, avoided: bool, now: Moment) {
        self.record_attempt(true, now);
        self.unconfirmed.retain(|(report, _)| report.seed != seed);
        let reported = self.reports.remove(&seed).is_some();
        self.avoided.remove(&seed);
        if avoided || reported {
            self.outgoing.push(SilenceReport {
                seed,
                avoided_ms: 0,
            });
        }
    }

    /// Takes the reports to send to peers.
    pub fn take_outgoing(&mut self) -> Vec<SilenceReport> {
        std::mem::take(&mut self.outgoing)
    }

    /// Applies a VM's report, replacing its previous one on the same upstream.
    pub fn apply(&mut self, vm: &VmId, report: SilenceReport, now: Moment) {
        let reports = self.reports.entry(report.seed).or_default();
        reports.retain(|(other, until)| other != vm && now < *until);
        if report.avoided_ms > 0 {
            let avoided = Duration::from_millis(u64::from(report.avoided_ms));
            reports.push((vm.clone(), now + avoided * PEER_AVOIDANCE_PERCENT / 100));
            self.avoided.retain(|_, (_, until)| now < *until);
            self.avoided
                .insert(report.seed, (avoided, now + AVOIDANCE_MEMORY));
        } else {
            self.avoided.remove(&report.seed);
        }
        if reports.is_empty() {
            self.reports.remove(&report.seed);
        }
    }

    /// Whether enough VMs report an upstream as unresponsive.
    pub fn is_silent(&self, seed: u64, now: Moment) -> bool {
        let reports = self.reports.get(&seed);
        reports.is_some_and(|reports| {
            reports.iter().filter(|(_, until)| now < *until).count() >= QUORUM
        })
    }

    fn record_attempt(&mut self, reached: bool, now: Moment) {
        self.attempts
            .retain(|(at, _)| now.since(*at) < ATTEMPT_WINDOW);
        self.attempts.push_back((now, reached));
    }

    /// Whether failures indicate a fault of the upstream rather than of this VM.
    fn may_report(&self) -> bool {
        let reached = self.attempts.iter().filter(|(_, reached)| *reached).count();
        reached > 0 && reached * 2 >= self.attempts.len()
    }
}
