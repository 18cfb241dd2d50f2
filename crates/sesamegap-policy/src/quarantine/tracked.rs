//! What one VM knows of a subject, beside the record that all VMs share.

use super::record::{Crash, Record};
use super::subject::Subject;
use sesamegap_wire::Moment;
use std::collections::VecDeque;

/// Maximum number of crashes per subject that are remembered after it was cleared, so that late and repeated reports of
/// them do not count again.
const MAX_SETTLED_CRASHES: usize = 16;

/// Role of a VM in the quarantine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Role {
    /// Numbers the epochs of records that other VMs know, judges, and grants trials.
    Coordinator,
    /// Follows the coordinator's records.
    Follower,
}

#[derive(Debug)]
pub(super) struct Tracked {
    pub(super) record: Record,
    /// When the record last changed.
    pub(super) changed_at: Moment,
    /// When this VM learned of the first of the crashes that count.
    pub(super) blamed_at: Moment,
    /// When a trial of the subject last ended in a crash.
    pub(super) trial_failed_at: Option<Moment>,
    /// Crashes that no longer count.
    pub(super) settled: VecDeque<u64>,
    /// Whether other VMs may have the record.
    pub(super) is_shared: bool,
}

impl Tracked {
    pub(super) fn new(subject: Subject, now: Moment) -> Self {
        Self {
            record: Record::of(subject),
            changed_at: now,
            blamed_at: now,
            trial_failed_at: None,
            settled: VecDeque::new(),
            is_shared: false,
        }
    }

    /// Adds a crash unless it no longer counts; returns whether the record changed.
    pub(super) fn add(&mut self, crash: Crash, now: Moment, unix_ms: u64) -> bool {
        if self.settled.contains(&crash.life) {
            return false;
        }
        let is_first = self.record.crashes.is_empty();
        if !self.record.add(crash, unix_ms) {
            return false;
        }
        if is_first {
            self.blamed_at = now;
        }
        if crash.trial {
            self.trial_failed_at = Some(now);
        }
        self.changed_at = now;
        true
    }

    /// Stops counting the crashes so far.
    pub(super) fn settle(&mut self) {
        let lives = self.record.crashes.drain(..).map(|crash| crash.life);
        self.settled.extend(lives);
        let excess = self.settled.len().saturating_sub(MAX_SETTLED_CRASHES);
        self.settled.drain(..excess);
        self.record.condemned = false;
        self.trial_failed_at = None;
    }

    /// Stops counting the crashes so far, and starts a new epoch if other VMs may know of them.
    pub(super) fn clear(&mut self, role: Role, now: Moment) {
        self.settle();
        if self.is_shared && role == Role::Coordinator {
            self.record.clear();
        }
        self.changed_at = now;
    }
}
