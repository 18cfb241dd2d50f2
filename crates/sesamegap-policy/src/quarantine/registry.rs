//! Crash records of all subjects, as known to one VM.

use super::instances::Instances;
use super::judging::Counts;
use super::record::{Crash, Record, Standing};
use super::subject::{Subject, Subjects};
use super::tracked::{Role, Tracked};
use rustc_hash::{FxHashMap, FxHashSet};
use serde::{Deserialize, Serialize};
use sesamegap_wire::{Fingerprint, Moment};
use std::cell::Cell;
use std::collections::VecDeque;
use std::time::Duration;

/// Maximum number of subjects tracked, at about 250 bytes each. A crash adds every request that ran on the upstream, up
/// to a hundred at a time, and the parts of their prompts.
const MAX_SUBJECTS: usize = 8_192;

/// Number of subjects that are dropped when the maximum is exceeded.
const TRIM_COUNT: usize = MAX_SUBJECTS / 8;

/// Time window in which all crashes are compared with those of a suspect.
pub(super) const RECENT_WINDOW: Duration = Duration::from_secs(30);

/// Maximum number of crashes remembered for that comparison.
pub(super) const MAX_RECENT_CRASHES: usize = 1_024;

/// Time after a failed trial in which other VMs' reports of crashes at the same moment arrive.
pub(super) const SETTLE_TIME: Duration = Duration::from_millis(250);

/// Maximum time for which a trial blocks other trials; it may continue to run after that.
const MAX_TRIAL_HOLD: Duration = Duration::from_secs(2);

/// Answer to a VM that requests permission to run a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Grant {
    /// The request is not a suspect and may run.
    Free,
    /// The request may run once, as the only trial.
    Trial,
    /// Another trial is running, or the result of this request's last trial is still open.
    Busy,
    /// The request is quarantined.
    Refused,
}

#[derive(Debug, Clone, Copy)]
struct Trial {
    request: Fingerprint,
    until: Moment,
}

/// Crash records of all subjects, as known to one VM.
#[derive(Debug, Default)]
pub struct Registry {
    pub(super) subjects: FxHashMap<Fingerprint, Tracked>,
    instances: Instances,
    /// Recent crashes, by instance number.
    pub(super) recent_crashes: VecDeque<(u64, Moment)>,
    trial: Option<Trial>,
    /// Subjects whose records are to be published.
    unpublished: FxHashSet<Fingerprint>,
    /// Suspects whose crashes were all explained by condemned subjects.
    pub(super) cleared: Vec<Fingerprint>,
    /// Crashed instances, with the condemned subject that explains each crash.
    pub(super) explained: FxHashMap<u64, Fingerprint>,
    /// Least numbers of crashes of a prompt part that stands out, until something changes.
    pub(super) prominence: Cell<Option<Counts>>,
}

impl Registry {
    /// Whether no subject is tracked.
    pub fn is_empty(&self) -> bool {
        self.subjects.is_empty()
    }

    /// Returns how requests of a subject are treated at the given Unix time in milliseconds.
    pub fn standing(&self, subject: Fingerprint, unix_ms: u64) -> Standing {
        let Some(known) = self.subjects.get(&subject) else {
            return Standing::Clear;
        };
        let record = &known.record;
        match record.standing(unix_ms) {
            // A loss of many upstreams leaves crashes with most parts. Requests of parts that crashes do not
            // single out are not held up.
            Standing::Suspect if record.is_part() && !record.condemned => {
                if self.stands_out(record) {
                    Standing::Suspect
                } else {
                    Standing::Clear
                }
            }
            standing => standing,
        }
    }

    /// Returns how a request is treated: as the worst of its subjects.
    pub fn request_standing(&self, subjects: &Subjects, unix_ms: u64) -> Standing {
        let each = subjects.iter();
        let standings = each.map(|subject| self.standing(subject.fingerprint, unix_ms));
        standings.max().unwrap_or(Standing::Clear)
    }

    /// Returns the record of a subject.
    pub fn get(&self, subject: Fingerprint) -> Option<&Record> {
        self.subjects.get(&subject).map(|known| &known.record)
    }

    /// Returns the records that other VMs need: those with enough crashes to be a suspect's, and those that were
    /// cleared of them.
    pub fn published(&self, unix_ms: u64) -> impl Iterator<Item = &Record> {
        let records = self.subjects.values().map(|known| &known.record);
        records
            .filter(move |record| record.epoch > 0 || record.standing(unix_ms) != Standing::Clear)
    }

    /// Records that an upstream crashed while it ran a request, at a time that may not be known.
    pub fn record_crash(
        &mut self,
        subjects: &Subjects,
        crash: Crash,
        at: Option<Moment>,
        now: Moment,
        unix_ms: u64,
    ) {
        let life = self.instances.identify(crash.life, at, now);
        let crash = Crash { life, ..crash };
        self.record_recent_crash(life, now);
        for subject in subjects.iter() {
            if self.track(subject, now).add(crash, now, unix_ms) {
                if subject.fingerprint == subjects.request() {
                    self.end_trial(subject.fingerprint);
                }
                self.apply_change(subject.fingerprint, unix_ms);
            }
        }
        self.trim(unix_ms);
    }

    /// Returns the epoch in which a whole answer counts for a subject, if it does, given when its request was sent.
    ///
    /// An answer of a condemned subject counts only if its request was sent after the crashes: the cause may be newer
    /// than requests that were running already.
    pub fn completion_epoch(&self, subject: Fingerprint, sent: Moment) -> Option<u32> {
        let known = self.subjects.get(&subject)?;
        let record = &known.record;
        let counts = !record.is_condemned() || sent > known.blamed_at;
        (!record.crashes.is_empty() && counts).then_some(record.epoch)
    }

    /// Records that a request of a subject completed, as of the given epoch; returns whether that cleared any crashes.
    pub fn record_completion(
        &mut self,
        subject: Fingerprint,
        epoch: u32,
        role: Role,
        now: Moment,
    ) -> bool {
        self.end_trial(subject);
        let Some(known) = self.subjects.get_mut(&subject) else {
            return false;
        };
        if known.record.epoch != epoch || known.record.crashes.is_empty() {
            return false;
        }
        known.clear(role, now);
        if known.record.epoch > epoch {
            self.unpublished.insert(subject);
        }
        self.explained.retain(|_, by| *by != subject);
        self.prominence.set(None);
        true
    }

    /// Clears a subject on all VMs; returns whether it had any crashes.
    pub fn lift(&mut self, subject: Fingerprint, now: Moment) -> bool {
        let Some(known) = self.subjects.get_mut(&subject) else {
            return false;
        };
        known.is_shared = true;
        let epoch = known.record.epoch;
        self.record_completion(subject, epoch, Role::Coordinator, now)
    }

    /// Merges the record of another VM.
    pub fn merge(&mut self, other: &Record, now: Moment, unix_ms: u64) {
        let known = self.track(other.subject(), now);
        known.is_shared = true;
        let failed = known.record.failed_trials();
        let changed = if other.epoch > known.record.epoch {
            known.settle();
            known.blamed_at = now;
            known.record.merge(other)
        } else {
            let mut other = other.clone();
            let settled = &known.settled;
            other.crashes.retain(|crash| !settled.contains(&crash.life));
            let was_empty = known.record.crashes.is_empty();
            if was_empty {
                known.blamed_at = now;
            }
            // A verdict holds as long as some of its crashes count.
            other.condemned &= !other.crashes.is_empty();
            known.record.merge(&other)
        };
        if !changed {
            return;
        }
        known.changed_at = now;
        if known.record.failed_trials() > failed {
            known.trial_failed_at = Some(now);
        }
        self.apply_change(other.fingerprint, unix_ms);
        self.trim(unix_ms);
    }

    /// Decides whether a VM may run a request. Called on the coordinator only.
    pub fn request_trial(
        &mut self,
        subjects: &Subjects,
        left: Duration,
        now: Moment,
        unix_ms: u64,
    ) -> Grant {
        self.judge(now, unix_ms);
        match self.request_standing(subjects, unix_ms) {
            Standing::Clear => return Grant::Free,
            Standing::Quarantined => return Grant::Refused,
            Standing::Suspect => {}
        }
        let running = self.trial.filter(|trial| now < trial.until);
        if running.is_some() || self.is_settling(subjects, now, unix_ms) {
            return Grant::Busy;
        }
        self.trial = Some(Trial {
            request: subjects.request(),
            until: now + left.min(MAX_TRIAL_HOLD),
        });
        Grant::Trial
    }

    /// Ends a request's trial, so that another one may start.
    pub fn end_trial(&mut self, request: Fingerprint) {
        self.trial = self.trial.filter(|trial| trial.request != request);
    }

    /// Returns the records to be published that changed since the last call.
    pub fn take_unpublished(&mut self) -> Vec<Record> {
        let unpublished = std::mem::take(&mut self.unpublished);
        for subject in &unpublished {
            if let Some(known) = self.subjects.get_mut(subject) {
                // Once all VMs have a record without crashes, none has anything to clear.
                known.is_shared = !known.record.crashes.is_empty();
            }
        }
        let known = unpublished.iter().filter_map(|subject| self.get(*subject));
        known.cloned().collect()
    }

    /// Returns the suspects that were cleared since the last call because condemned subjects explain their crashes.
    pub fn take_cleared(&mut self) -> Vec<Fingerprint> {
        std::mem::take(&mut self.cleared)
    }

    /// Whether reports of other VMs about the last failed trial of one of a request's suspects may still arrive.
    fn is_settling(&self, subjects: &Subjects, now: Moment, unix_ms: u64) -> bool {
        let mut suspects = subjects.iter().map(|subject| subject.fingerprint);
        suspects.any(|subject| {
            let known = self.subjects.get(&subject);
            let failed_at = known.and_then(|known| known.trial_failed_at);
            failed_at.is_some_and(|at| now.since(at) < SETTLE_TIME)
                && self.standing(subject, unix_ms) == Standing::Suspect
        })
    }

    fn record_recent_crash(&mut self, life: u64, now: Moment) {
        self.recent_crashes
            .retain(|(_, at)| now.since(*at) < RECENT_WINDOW);
        if self.recent_crashes.iter().all(|(known, _)| *known != life)
            && self.recent_crashes.len() < MAX_RECENT_CRASHES
        {
            self.recent_crashes.push_back((life, now));
        }
    }

    fn track(&mut self, subject: Subject, now: Moment) -> &mut Tracked {
        let entry = self.subjects.entry(subject.fingerprint);
        entry.or_insert_with(|| Tracked::new(subject, now))
    }

    /// Follows up a change of a record.
    fn apply_change(&mut self, subject: Fingerprint, unix_ms: u64) {
        self.prominence.set(None);
        self.clear_if_explained(subject);
        self.publish(subject, unix_ms);
    }

    /// Marks a record for publication if other VMs need it. If it is condemned, also records the crashes that it
    /// explains.
    pub(super) fn publish(&mut self, subject: Fingerprint, unix_ms: u64) {
        let Some(known) = self.subjects.get_mut(&subject) else {
            return;
        };
        let is_restricted = known.record.standing(unix_ms) != Standing::Clear;
        if is_restricted || known.record.is_condemned() {
            known.is_shared = true;
            self.unpublished.insert(subject);
        }
        if known.record.is_condemned() {
            self.record_explained(subject);
        }
    }

    /// Marks a subject as condemned.
    pub(super) fn condemn(&mut self, subject: Fingerprint, now: Moment, unix_ms: u64) {
        if let Some(known) = self.subjects.get_mut(&subject) {
            known.record.condemned = true;
            known.changed_at = now;
        }
        self.prominence.set(None);
        self.publish(subject, unix_ms);
    }

    /// Drops subjects if the maximum is exceeded: the least restricted first, requests before prompt parts, and among
    /// these the least recently changed.
    fn trim(&mut self, unix_ms: u64) {
        if self.subjects.len() <= MAX_SUBJECTS {
            return;
        }
        let mut order: Vec<_> = self
            .subjects
            .iter()
            .map(|(subject, known)| {
                let record = &known.record;
                let blamed = (!record.crashes.is_empty(), record.is_part());
                (record.standing(unix_ms), blamed, known.changed_at, *subject)
            })
            .collect();
        order.sort_unstable();
        for (_, _, _, subject) in order.into_iter().take(TRIM_COUNT) {
            self.subjects.remove(&subject);
        }
        self.prominence.set(None);
    }
}
