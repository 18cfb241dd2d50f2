//! Crash record of one request or prompt part.

use super::subject::{REQUEST_DEPTH, Subject};
use serde::{Deserialize, Serialize};
use sesamegap_wire::Fingerprint;
use std::time::Duration;

/// Crashes after which a subject is a suspect.
pub(super) const SUSPECT_CRASHES: usize = 2;

/// Crashes during trials after which a request is condemned, whatever else may have caused them.
///
/// This does not hold for prompt parts: all parts of a prompt share its trials, though at most one is the cause.
const CONDEMNING_TRIALS: usize = 4;

/// Maximum number of crashes in a record; further ones add no information.
const MAX_CRASHES: usize = 8;

/// Time after the last crash at which a quarantined subject is granted another trial, since its upstreams may run other
/// software by then.
const QUARANTINE_TIME: Duration = Duration::from_hours(24);

/// Crash of an upstream while it ran a request of a subject.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Crash {
    /// Number of the upstream's instance; a restarted upstream has another one.
    pub life: u64,
    /// Whether the request ran there as a trial.
    pub trial: bool,
    /// Whether all requests of the subject had been answered for a while there.
    #[serde(default)]
    pub begun: bool,
}

/// How requests of a subject are treated.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Standing {
    /// They run without restriction.
    Clear,
    /// They run as trials only.
    Suspect,
    /// They are refused.
    Quarantined,
}

/// What is known of one request or prompt part.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// The request or the prompt part.
    pub fingerprint: Fingerprint,
    /// Number of times that the subject was cleared; a record with a lower epoch is outdated.
    pub epoch: u32,
    /// Crashes since the subject was last cleared, ordered by `life`.
    pub crashes: Vec<Crash>,
    /// Whether the subject was condemned.
    pub condemned: bool,
    /// Time of the last crash, in Unix milliseconds.
    pub lost_ms: u64,
    /// Place of the subject among those of a request, see [`Subject::depth`].
    #[serde(default = "request_depth")]
    pub depth: u8,
}

/// The depth in records that were stored without one.
fn request_depth() -> u8 {
    REQUEST_DEPTH
}

impl Record {
    /// Creates a record of a request, without crashes.
    pub fn new(request: Fingerprint) -> Self {
        Self::of(Subject {
            fingerprint: request,
            depth: REQUEST_DEPTH,
        })
    }

    /// Creates a record without crashes.
    pub fn of(subject: Subject) -> Self {
        Self {
            fingerprint: subject.fingerprint,
            depth: subject.depth,
            epoch: 0,
            crashes: Vec::new(),
            condemned: false,
            lost_ms: 0,
        }
    }

    /// The subject.
    pub fn subject(&self) -> Subject {
        Subject {
            fingerprint: self.fingerprint,
            depth: self.depth,
        }
    }

    /// Whether the subject is a prompt part.
    pub fn is_part(&self) -> bool {
        self.depth != REQUEST_DEPTH
    }

    /// Returns how requests of the subject are treated at the given Unix time in milliseconds.
    pub fn standing(&self, unix_ms: u64) -> Standing {
        if !self.is_condemned() {
            return match self.crashes.len() {
                0..SUSPECT_CRASHES => Standing::Clear,
                _ => Standing::Suspect,
            };
        }
        let age = Duration::from_millis(unix_ms.saturating_sub(self.lost_ms));
        if age < QUARANTINE_TIME {
            Standing::Quarantined
        } else {
            Standing::Suspect
        }
    }

    /// Whether the subject is condemned, by a verdict or, if it is a request, by its number of failed trials.
    pub fn is_condemned(&self) -> bool {
        self.condemned || !self.is_part() && self.failed_trials() >= CONDEMNING_TRIALS
    }

    /// Returns the number of trials that ended in a crash.
    pub fn failed_trials(&self) -> usize {
        self.crashes.iter().filter(|crash| crash.trial).count()
    }

    /// Whether a trial of both subjects crashed the same upstream instance: some request belongs to both.
    pub fn shares_trial(&self, other: &Self) -> bool {
        let trials = self.crashes.iter().filter(|crash| crash.trial);
        let mut trials = trials.map(|crash| crash.life);
        trials.any(|life| other.has_trial(life))
    }

    /// Whether all crashes of another record are in this one, as far as it has room.
    pub fn covers(&self, other: &Self) -> bool {
        let mut lives = other.crashes.iter().map(|crash| crash.life);
        self.crashes.len() >= MAX_CRASHES || lives.all(|life| self.has(life))
    }

    /// Whether all failed trials of another record are in this one.
    pub fn covers_trials(&self, other: &Self) -> bool {
        let mut trials = other.crashes.iter().filter(|crash| crash.trial);
        trials.all(|crash| self.has_trial(crash.life))
    }

    /// Whether an instance crashed before it had answered a request of the subject for a while.
    pub fn is_early(&self, life: u64) -> bool {
        let mut crashes = self.crashes.iter();
        crashes.any(|crash| crash.life == life && !crash.begun)
    }

    /// Whether the record has a trial that crashed the given upstream instance.
    pub fn has_trial(&self, life: u64) -> bool {
        let mut crashes = self.crashes.iter();
        crashes.any(|crash| crash.trial && crash.life == life)
    }

    /// Whether the record has a crash of the given upstream instance.
    pub fn has(&self, life: u64) -> bool {
        self.crashes.iter().any(|crash| crash.life == life)
    }

    /// Adds a crash; returns whether the record changed.
    pub fn add(&mut self, crash: Crash, unix_ms: u64) -> bool {
        self.lost_ms = self.lost_ms.max(unix_ms);
        if let Some(known) = self
            .crashes
            .iter_mut()
            .find(|known| known.life == crash.life)
        {
            let changed = crash.trial && !known.trial || known.begun && !crash.begun;
            known.trial |= crash.trial;
            known.begun &= crash.begun;
            return changed;
        }
        if self.crashes.len() >= MAX_CRASHES {
            let outside_trial = self.crashes.iter().position(|crash| !crash.trial);
            let Some(at) = outside_trial.filter(|_| crash.trial) else {
                return false;
            };
            self.crashes.remove(at);
        }
        // Sorted, so that equal records compare as equal on all VMs.
        let at = self
            .crashes
            .partition_point(|known| known.life < crash.life);
        self.crashes.insert(at, crash);
        true
    }

    /// Clears the subject and starts a new epoch, in which earlier crashes no longer count.
    pub fn clear(&mut self) {
        self.epoch += 1;
        self.crashes.clear();
        self.condemned = false;
    }

    /// Merges the record of another VM; returns whether this record changed.
    pub fn merge(&mut self, other: &Self) -> bool {
        if other.epoch != self.epoch {
            let is_newer = other.epoch > self.epoch;
            if is_newer {
                self.clone_from(other);
            }
            return is_newer;
        }
        let mut changed = other.condemned && !self.condemned;
        self.condemned |= other.condemned;
        self.lost_ms = self.lost_ms.max(other.lost_ms);
        for crash in &other.crashes {
            changed |= self.add(*crash, other.lost_ms);
        }
        changed
    }
}
