//! Crash record of one request.

use serde::{Deserialize, Serialize};
use sesamegap_wire::Fingerprint;
use std::time::Duration;

/// Crashes after which a request is a suspect.
pub(super) const SUSPECT_CRASHES: usize = 2;

/// Crashes during trials after which a request is condemned, whatever else may have caused them.
const CONDEMNING_TRIALS: usize = 4;

/// Maximum number of crashes in a record; further ones add no information.
const MAX_CRASHES: usize = 8;

/// Time after the last crash at which a quarantined request is granted another trial, since its upstreams may run other
/// software by then.
const QUARANTINE_TIME: Duration = Duration::from_hours(24);

/// Crash of an upstream while it ran a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Crash {
    /// Number of the upstream's instance; a restarted upstream has another one.
    pub life: u64,
    /// Whether the request ran there as a trial.
    pub trial: bool,
}

/// How a request is treated.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Standing {
    /// It runs without restriction.
    Clear,
    /// It runs as a trial only.
    Suspect,
    /// It is refused.
    Quarantined,
}

/// What is known of one request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// The request.
    pub fingerprint: Fingerprint,
    /// Number of times that the request was cleared; a record with a lower epoch is outdated.
    pub epoch: u32,
    /// Crashes since the request was last cleared, ordered by `life`.
    pub crashes: Vec<Crash>,
    /// Whether the request was condemned.
    pub condemned: bool,
    /// Time of the last crash, in Unix milliseconds.
    pub lost_ms: u64,
}

impl Record {
    /// Creates a record without crashes.
    pub fn new(fingerprint: Fingerprint) -> Self {
        Self {
            fingerprint,
            epoch: 0,
            crashes: Vec::new(),
            condemned: false,
            lost_ms: 0,
        }
    }

    /// Returns how the request is treated at the given Unix time in milliseconds.
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

    /// Whether the request is condemned, by a verdict or by its number of failed trials.
    pub fn is_condemned(&self) -> bool {
        self.condemned || self.failed_trials() >= CONDEMNING_TRIALS
    }

    /// Returns the number of trials that ended in a crash.
    pub fn failed_trials(&self) -> usize {
        self.crashes.iter().filter(|crash| crash.trial).count()
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
            let changed = crash.trial && !known.trial;
            known.trial |= crash.trial;
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

    /// Clears the request and starts a new epoch, in which earlier crashes no longer count.
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
