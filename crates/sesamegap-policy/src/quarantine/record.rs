//! What is known of one request.

use serde::{Deserialize, Serialize};
use sesamegap_wire::Fingerprint;
use std::time::Duration;

/// Lost upstreams that make a request a suspect.
pub(super) const SUSPECT: usize = 2;

/// Upstreams lost in trials that condemn a request, whatever else may have ended them.
const CONDEMNED: usize = 4;

/// Lost upstreams kept in a record; more say nothing new.
const MOST_CRASHES: usize = 8;

/// Time after the last loss from which a quarantined request gets one more trial: its upstreams may run other
/// software by then.
const TERM: Duration = Duration::from_hours(24);

/// An upstream that ended under a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Crash {
    /// Number of the upstream's life.
    pub life: u64,
    /// Whether the request was on trial there.
    pub trial: bool,
}

/// What is to be done with a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Standing {
    /// It runs like any other.
    Clear,
    /// It runs on trial only.
    Suspect,
    /// It is refused.
    Quarantined,
}

/// What is known of a request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// The request.
    pub fingerprint: Fingerprint,
    /// Times that it was cleared; a record of fewer is outdated.
    pub epoch: u32,
    /// Upstreams that ended under it since.
    pub crashes: Vec<Crash>,
    /// Whether a trial has condemned it.
    pub condemned: bool,
    /// When it last lost an upstream, in Unix milliseconds.
    pub lost_ms: u64,
}

impl Record {
    /// A request that has lost nothing.
    pub fn new(fingerprint: Fingerprint) -> Self {
        Self {
            fingerprint,
            epoch: 0,
            crashes: Vec::new(),
            condemned: false,
            lost_ms: 0,
        }
    }

    /// What is to be done with it at a time in Unix milliseconds.
    pub fn standing(&self, unix_ms: u64) -> Standing {
        if !self.is_condemned() {
            return match self.crashes.len() {
                0..SUSPECT => Standing::Clear,
                _ => Standing::Suspect,
            };
        }
        let age = Duration::from_millis(unix_ms.saturating_sub(self.lost_ms));
        if age < TERM {
            Standing::Quarantined
        } else {
            Standing::Suspect
        }
    }

    /// Whether trials have condemned it.
    pub fn is_condemned(&self) -> bool {
        self.condemned || self.failed() >= CONDEMNED
    }

    /// Trials that lost an upstream.
    pub fn failed(&self) -> usize {
        self.crashes.iter().filter(|crash| crash.trial).count()
    }

    /// Whether an upstream ended under it in one of its lives.
    pub fn has(&self, life: u64) -> bool {
        self.crashes.iter().any(|crash| crash.life == life)
    }

    /// Adds a lost upstream; whether that was news.
    pub fn add(&mut self, crash: Crash, unix_ms: u64) -> bool {
        self.lost_ms = self.lost_ms.max(unix_ms);
        if let Some(known) = self
            .crashes
            .iter_mut()
            .find(|known| known.life == crash.life)
        {
            let news = crash.trial && !known.trial;
            known.trial |= crash.trial;
            return news;
        }
        if self.crashes.len() >= MOST_CRASHES {
            let plain = self.crashes.iter().position(|crash| !crash.trial);
            let Some(at) = plain.filter(|_| crash.trial) else {
                return false;
            };
            self.crashes.remove(at);
        }
        // In one order on all VMs, so that equal records compare so.
        let at = self
            .crashes
            .partition_point(|known| known.life < crash.life);
        self.crashes.insert(at, crash);
        true
    }

    /// Starts anew: all that was known no longer counts.
    pub fn clear(&mut self) {
        self.epoch += 1;
        self.crashes.clear();
        self.condemned = false;
    }

    /// Takes in what another VM knows; whether that was news.
    pub fn merge(&mut self, other: &Self) -> bool {
        if other.epoch != self.epoch {
            let newer = other.epoch > self.epoch;
            if newer {
                self.clone_from(other);
            }
            return newer;
        }
        let mut news = other.condemned && !self.condemned;
        self.condemned |= other.condemned;
        self.lost_ms = self.lost_ms.max(other.lost_ms);
        for crash in &other.crashes {
            news |= self.add(*crash, other.lost_ms);
        }
        news
    }
}
