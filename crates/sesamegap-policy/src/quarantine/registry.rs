//! Crash records of all requests, as known to one VM.

use super::record::{Crash, Record, SUSPECT_CRASHES, Standing};
use crate::routing::engines::rank;
use rustc_hash::{FxHashMap, FxHashSet};
use serde::{Deserialize, Serialize};
use sesamegap_wire::{Fingerprint, Moment};
use std::collections::VecDeque;
use std::time::Duration;

/// Maximum number of requests tracked, at about 200 bytes each. A crash adds every request that ran on the upstream, up
/// to a hundred at a time.
const MAX_REQUESTS: usize = 4_096;

/// Number of requests that are dropped when the maximum is exceeded.
const TRIM_COUNT: usize = MAX_REQUESTS / 8;

/// Time window in which all crashes are compared with those of a suspect.
const RECENT_WINDOW: Duration = Duration::from_secs(30);

/// Maximum number of crashes remembered for that comparison.
const MAX_RECENT_CRASHES: usize = 1_024;

/// Minimum time between the crashes of an upstream and of its next instance. Repeated reports of the same crash arrive
/// sooner.
const MIN_CRASH_INTERVAL: Duration = Duration::from_millis(600);

/// Maximum number of upstream instances per request for which repeated reports are told from new crashes.
const MAX_REPORTED_INSTANCES: usize = 16;

/// Time after a failed trial in which other VMs' reports of crashes at the same moment arrive.
const SETTLE_TIME: Duration = Duration::from_millis(250);

/// Time after a failed trial in which the other recent crashes are evidence about its cause.
const EVIDENCE_WINDOW: Duration = Duration::from_secs(5);

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

#[derive(Debug)]
struct Tracked {
    record: Record,
    /// When the record last changed.
    changed_at: Moment,
    /// When a trial of the request last ended in a crash.
    trial_failed_at: Option<Moment>,
    /// Crashes by instance number as reported, that is, as in the list of upstreams.
    reported: Vec<ReportedCrashes>,
}

/// Crashes of an upstream that were reported with the same instance number.
///
/// A crashed upstream may be running again before the list shows its new instance number. Its next crash is then reported
/// with the former number and, without this count, would be ignored as a repeated report.
#[derive(Debug)]
struct ReportedCrashes {
    life: u64,
    /// Number of crashes before the last one.
    count: u64,
    /// When the last crash was first reported.
    last_at: Moment,
}

#[derive(Debug, Clone, Copy)]
struct Trial {
    fingerprint: Fingerprint,
    until: Moment,
}

/// Crash records of all requests, as known to one VM.
#[derive(Debug, Default)]
pub struct Registry {
    requests: FxHashMap<Fingerprint, Tracked>,
    /// Recent crashes, by instance number.
    recent_crashes: VecDeque<(u64, Moment)>,
    trial: Option<Trial>,
    /// Requests whose records are to be published.
    unpublished: FxHashSet<Fingerprint>,
    /// Suspects whose crashes were all explained by condemned requests.
    cleared: Vec<Fingerprint>,
    /// Crashed instances, with the condemned request that explains each crash.
    explained: FxHashMap<u64, Fingerprint>,
}

impl Tracked {
    /// Returns the number of the instance that crashed, given the reported one.
    fn instance_number(&mut self, life: u64, now: Moment) -> u64 {
        if self.reported.len() >= MAX_REPORTED_INSTANCES {
            self.reported.clear();
        }
        let Some(known) = self.reported.iter_mut().find(|known| known.life == life) else {
            let last_at = now;
            self.reported.push(ReportedCrashes {
                life,
                count: 0,
                last_at,
            });
            return life;
        };
        if now.since(known.last_at) >= MIN_CRASH_INTERVAL {
            known.count += 1;
            known.last_at = now;
        }
        match known.count {
            0 => life,
            count => rank(life, count),
        }
    }
}

impl Registry {
    /// Whether no request is tracked.
    pub fn is_empty(&self) -> bool {
        self.requests.is_empty()
    }

    /// Returns how a request is treated at the given Unix time in milliseconds.
    pub fn standing(&self, request: Fingerprint, unix_ms: u64) -> Standing {
        let known = self.requests.get(&request);
        known.map_or(Standing::Clear, |known| known.record.standing(unix_ms))
    }

    /// Returns the record of a request.
    pub fn get(&self, request: Fingerprint) -> Option<&Record> {
        self.requests.get(&request).map(|known| &known.record)
    }

    /// Returns the records of requests that are restricted or were cleared.
    pub fn published(&self, unix_ms: u64) -> impl Iterator<Item = &Record> {
        let records = self.requests.values().map(|known| &known.record);
        records
            .filter(move |record| record.epoch > 0 || record.standing(unix_ms) != Standing::Clear)
    }

    /// Records that an upstream crashed while it ran a request.
    pub fn record_crash(&mut self, request: Fingerprint, crash: Crash, now: Moment, unix_ms: u64) {
        let known = self.track(request, now);
        let life = known.instance_number(crash.life, now);
        let crash = Crash { life, ..crash };
        let added = known.record.add(crash, unix_ms);
        self.record_recent_crash(life, now);
        if !added {
            return;
        }
        let known = self.track(request, now);
        known.changed_at = now;
        if crash.trial {
            known.trial_failed_at = Some(now);
        }
        self.end_trial(request);
        self.clear_if_explained(request);
        self.publish(request, unix_ms);
        self.trim(unix_ms);
    }

    /// Records that a request completed, as of the given epoch; returns whether that cleared any crashes.
    pub fn record_completion(&mut self, request: Fingerprint, epoch: u32, now: Moment) -> bool {
        self.end_trial(request);
        let Some(known) = self.requests.get_mut(&request) else {
            return false;
        };
        if known.record.epoch != epoch || known.record.crashes.is_empty() {
            return false;
        }
        known.record.clear();
        known.changed_at = now;
        known.trial_failed_at = None;
        self.explained.retain(|_, by| *by != request);
        self.unpublished.insert(request);
        true
    }

    /// Clears a request; returns whether it had any crashes.
    pub fn lift(&mut self, request: Fingerprint, now: Moment) -> bool {
        let epoch = self.get(request).map(|record| record.epoch);
        epoch.is_some_and(|epoch| self.record_completion(request, epoch, now))
    }

    /// Merges the record of another VM.
    pub fn merge(&mut self, other: &Record, now: Moment, unix_ms: u64) {
        let request = other.fingerprint;
        let known = self.track(request, now);
        let failed = known.record.failed_trials();
        if !known.record.merge(other) {
            return;
        }
        known.changed_at = now;
        if known.record.failed_trials() > failed {
            known.trial_failed_at = Some(now);
        }
        self.clear_if_explained(request);
        self.publish(request, unix_ms);
        self.trim(unix_ms);
    }

    /// Decides whether a VM may run a request. Called on the coordinator only.
    pub fn request_trial(
        &mut self,
        request: Fingerprint,
        left: Duration,
        now: Moment,
        unix_ms: u64,
    ) -> Grant {
        self.judge(now, unix_ms);
        match self.standing(request, unix_ms) {
            Standing::Clear => return Grant::Free,
            Standing::Quarantined => return Grant::Refused,
            Standing::Suspect => {}
        }
        let running = self.trial.filter(|trial| now < trial.until);
        if running.is_some() || self.is_settling(request, now) {
            return Grant::Busy;
        }
        self.trial = Some(Trial {
            fingerprint: request,
            until: now + left.min(MAX_TRIAL_HOLD),
        });
        Grant::Trial
    }

    /// Ends a request's trial, so that another one may start.
    pub fn end_trial(&mut self, request: Fingerprint) {
        self.trial = self.trial.filter(|trial| trial.fingerprint != request);
    }

    /// Condemns the suspects that are found to be the cause of their failed trials, once all reports have had time to
    /// arrive, and returns them. Called on the coordinator only.
    pub fn judge(&mut self, now: Moment, unix_ms: u64) -> Vec<Fingerprint> {
        let failed = self.requests.values_mut().filter(|known| {
            let at = known.trial_failed_at;
            at.is_some_and(|at| now.since(at) >= SETTLE_TIME) && !known.record.is_condemned()
        });
        let failed: Vec<(Fingerprint, bool)> = failed
            .map(|known| {
                let fresh = known
                    .trial_failed_at
                    .is_some_and(|at| now.since(at) < EVIDENCE_WINDOW);
                (known.record.fingerprint, fresh)
            })
            .collect();
        let condemned: Vec<Fingerprint> = failed
            .into_iter()
            .filter(|(request, fresh)| {
                let record = self.get(*request);
                record.is_some_and(|record| self.is_cause(record, *fresh, now))
            })
            .map(|(request, _)| request)
            .collect();
        for request in &condemned {
            if let Some(known) = self.requests.get_mut(request) {
                known.record.condemned = true;
                known.changed_at = now;
            }
            self.publish(*request, unix_ms);
        }
        condemned
    }

    /// Returns the records to be published that changed since the last call.
    pub fn take_unpublished(&mut self) -> Vec<Record> {
        let unpublished = std::mem::take(&mut self.unpublished);
        let known = unpublished.iter().filter_map(|request| self.get(*request));
        known.cloned().collect()
    }

    /// Returns the suspects that were cleared since the last call because condemned requests explain their crashes.
    pub fn take_cleared(&mut self) -> Vec<Fingerprint> {
        std::mem::take(&mut self.cleared)
    }

    /// Whether the failed trials of a request are enough to condemn it.
    ///
    /// Other requests run beside a trial, and one that is not a suspect yet may have caused the crash. One failed trial is
    /// enough if there were no other recent crashes, two if the request was involved in at least half of the recent
    /// crashes, and three in any case. No number is enough while another request was involved in the same crashes, and
    /// crashes that a condemned request explains do not count.
    fn is_cause(&self, record: &Record, fresh: bool, now: Moment) -> bool {
        let recent_crashes = self.recent_crashes.iter();
        let recent_crashes = recent_crashes.filter(|(_, at)| now.since(*at) < RECENT_WINDOW);
        let (own, others): (Vec<u64>, Vec<u64>) = recent_crashes
            .map(|(life, _)| *life)
            .partition(|life| record.has(*life));
        let trials = self.unexplained(record, true);
        match trials.len() {
            0 => false,
            1 => fresh && others.is_empty() && !self.may_have_other_cause(record, trials[0]),
            2 => fresh && own.len() >= others.len() && !self.is_shared_by_another(record, &trials),
            _ => !self.is_shared_by_another(record, &trials),
        }
    }

    /// Returns the instances that crashed under a request, in its trials or, if `trial` is not set, outside them, and that
    /// no condemned request explains.
    fn unexplained(&self, record: &Record, trial: bool) -> Vec<u64> {
        let crashes = record.crashes.iter().filter(|crash| crash.trial == trial);
        let lives = crashes.map(|crash| crash.life);
        lives
            .filter(|life| !self.is_explained(record.fingerprint, *life))
            .collect()
    }

    /// Whether a condemned request other than this one explains the crash of an instance.
    fn is_explained(&self, request: Fingerprint, life: u64) -> bool {
        self.explained.get(&life).is_some_and(|by| *by != request)
    }

    /// Whether another request that is not condemned was running on all of these instances as well.
    fn is_shared_by_another(&self, record: &Record, lives: &[u64]) -> bool {
        let covers = |other: &Record| lives.iter().all(|life| other.has(*life));
        self.other_uncondemned(record).any(covers)
    }

    /// Whether another request may have caused the crash of a single failed trial: it was on trial on the same instance, or
    /// was running on all that crashed before.
    fn may_have_other_cause(&self, record: &Record, trial: u64) -> bool {
        let tried = |crash: &Crash| crash.trial && crash.life == trial;
        let before = self.unexplained(record, false);
        let beside = self
            .other_uncondemned(record)
            .any(|other| other.crashes.iter().any(tried));
        beside || self.is_shared_by_another(record, &before)
    }

    fn other_uncondemned(&self, record: &Record) -> impl Iterator<Item = &Record> {
        let request = record.fingerprint;
        let others = self.requests.values().map(|known| &known.record);
        others.filter(move |other| other.fingerprint != request && !other.is_condemned())
    }

    /// Whether reports of other VMs about a request's last failed trial may still arrive.
    fn is_settling(&self, request: Fingerprint, now: Moment) -> bool {
        let failed_at = self
            .requests
            .get(&request)
            .and_then(|known| known.trial_failed_at);
        failed_at.is_some_and(|at| now.since(at) < SETTLE_TIME)
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

    fn track(&mut self, request: Fingerprint, now: Moment) -> &mut Tracked {
        self.requests.entry(request).or_insert_with(|| Tracked {
            record: Record::new(request),
            changed_at: now,
            trial_failed_at: None,
            reported: Vec::new(),
        })
    }

    /// Marks a record for publication if the request is restricted or was cleared. If it is condemned, also records the
    /// crashes that it explains.
    fn publish(&mut self, request: Fingerprint, unix_ms: u64) {
        let Some(record) = self.get(request) else {
            return;
        };
        if record.epoch > 0 || record.standing(unix_ms) != Standing::Clear {
            self.unpublished.insert(request);
        }
        if self.get(request).is_some_and(Record::is_condemned) {
            self.record_explained(request);
        }
    }

    /// Records the crashes that a condemned request explains.
    fn record_explained(&mut self, condemned: Fingerprint) {
        let Some(record) = self.get(condemned).cloned() else {
            return;
        };
        if self.explained.len() >= MAX_RECENT_CRASHES {
            self.explained.clear();
        }
        let lives = record.crashes.iter().map(|crash| crash.life);
        self.explained.extend(lives.map(|life| (life, condemned)));
        let requests: Vec<Fingerprint> = self.requests.keys().copied().collect();
        for request in requests {
            self.clear_if_explained(request);
        }
        self.requests
            .retain(|_, known| known.record.epoch > 0 || !known.record.crashes.is_empty());
    }

    /// Clears the crashes of a request if condemned requests explain all of them.
    fn clear_if_explained(&mut self, request: Fingerprint) {
        let Some(known) = self.requests.get_mut(&request) else {
            return;
        };
        let explained = &self.explained;
        let is_explained = |life: u64| explained.get(&life).is_some_and(|by| *by != request);
        let crashes = &mut known.record.crashes;
        if !known.record.condemned && crashes.iter().all(|crash| is_explained(crash.life)) {
            if crashes.len() >= SUSPECT_CRASHES {
                self.cleared.push(request);
            }
            crashes.clear();
        }
    }

    /// Drops requests if the maximum is exceeded: the least restricted first, and among these the least recently changed.
    fn trim(&mut self, unix_ms: u64) {
        if self.requests.len() <= MAX_REQUESTS {
            return;
        }
        let class = |record: &Record| match record.standing(unix_ms) {
            Standing::Clear => 0,
            Standing::Suspect => 1,
            Standing::Quarantined => 2,
        };
        let known = self.requests.values();
        let mut order: Vec<_> = known
            .map(|known| {
                (
                    class(&known.record),
                    known.changed_at,
                    known.record.fingerprint,
                )
            })
            .collect();
        order.sort_unstable();
        for (_, _, request) in order.into_iter().take(TRIM_COUNT) {
            self.requests.remove(&request);
        }
    }
}
