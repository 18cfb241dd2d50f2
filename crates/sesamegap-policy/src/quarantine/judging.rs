//! Which subject of the requests on crashed upstreams is the cause.
//!
//! All subjects of a request share its crashes, and the one that explains them best is condemned. A wider one that was at
//! all these crashes, too, and did not complete since, remains a suspect: it may be the cause as well, and the next trial of
//! a request that has it without the condemned one tells.

use super::record::{Record, SUSPECT_CRASHES};
use super::registry::{MAX_RECENT_CRASHES, RECENT_WINDOW, Registry, SETTLE_TIME};
use sesamegap_wire::{Fingerprint, Moment};
use std::time::Duration;

/// Time after a failed trial in which the other recent crashes are evidence about its cause.
const EVIDENCE_WINDOW: Duration = Duration::from_secs(5);

/// Crashes during trials after which a prompt part is condemned if it explains them better than the other subjects of
/// these trials, whatever else ran beside them.
const CONDEMNING_PART_TRIALS: usize = 4;

/// Maximum number of prompt parts that stand out by their crashes. Trials run one at a time, so that more of them would
/// hold up the requests of the others for seconds.
const MAX_PROMINENT_PARTS: usize = 8;

/// Most crashes of a subject that are told apart when parts are compared.
const MAX_COMPARED: usize = 16;

/// Numbers of crashes by which prompt parts are compared.
#[derive(Debug, Clone, Copy)]
pub(super) struct Counts {
    all: usize,
    /// Those at which a request of the part had just begun to be answered, or not yet.
    unbegun: usize,
}

impl Registry {
    /// Condemns the suspects that are found to be the cause of their failed trials, once all reports have had time to
    /// arrive, and returns them. Called on the coordinator only.
    pub fn judge(&mut self, now: Moment, unix_ms: u64) -> Vec<Fingerprint> {
        let failed = self.subjects.values().filter(|known| {
            let at = known.trial_failed_at;
            at.is_some_and(|at| now.since(at) >= SETTLE_TIME) && !known.record.is_condemned()
        });
        let condemned = failed.filter(|known| {
            let at = known.trial_failed_at;
            let fresh = at.is_some_and(|at| now.since(at) < EVIDENCE_WINDOW);
            self.is_cause(&known.record, fresh, now)
        });
        let condemned: Vec<Fingerprint> = condemned.map(|known| known.record.fingerprint).collect();
        for subject in &condemned {
            self.condemn(*subject, now, unix_ms);
        }
        condemned
    }

    /// Whether a prompt part is among the few with the most crashes that nothing explains, of all crashes or of those
    /// at which one of its requests had just begun to be answered, or not yet.
    ///
    /// An upstream mostly crashes when it begins an answer, while most of the requests beside it had begun long before.
    pub(super) fn stands_out(&self, record: &Record) -> bool {
        let least = self.prominence();
        let counts = count(record, |life| !self.is_explained(record, life));
        counts.all >= least.all || counts.unbegun >= least.unbegun
    }

    /// The least numbers of crashes of a prompt part that stands out.
    fn prominence(&self) -> Counts {
        if let Some(known) = self.prominence.get() {
            return known;
        }
        let parts = self.subjects.values().map(|known| &known.record);
        let parts = parts.filter(|record| record.subject().is_common_part() && !record.condemned);
        // One that was at the crashes of a condemned subject remains a suspect, but must not hide the others.
        let counts = parts.map(|record| count(record, |life| !self.explained.contains_key(&life)));
        let counts: Vec<Counts> = counts.collect();
        let least = Counts {
            all: least_prominent(counts.iter().map(|counts| counts.all)),
            unbegun: least_prominent(counts.iter().map(|counts| counts.unbegun)),
        };
        self.prominence.set(Some(least));
        least
    }

    /// Whether the failed trials of a subject are enough to condemn it.
    ///
    /// Other requests run beside a trial, and one that is not a suspect yet may have caused the crash. One failed trial is
    /// enough if there were no other recent crashes, two if the subject was involved in at least half of the recent
    /// crashes, and three in any case. No number is enough while another subject was involved in the same crashes, unless
    /// this one explains them better. Crashes that a condemned subject explains do not count, nor trials that had been
    /// answered for a while. A prompt part needs two trials at least, since any trial has popular ones.
    fn is_cause(&self, record: &Record, fresh: bool, now: Moment) -> bool {
        let trials = self.unexplained(record, true);
        let is_certain = record.is_part() && trials.len() >= CONDEMNING_PART_TRIALS;
        let early: Vec<u64> = trials
            .into_iter()
            .filter(|life| record.is_early(*life))
            .collect();
        // Whether the subject was involved in recent crashes matters only as long as these are known.
        let has_enough = is_certain || early.len() > 2 || fresh && !early.is_empty();
        if !has_enough || self.is_outdone(record) {
            return false;
        }
        let recent_crashes = self.recent_crashes.iter();
        let recent_crashes = recent_crashes.filter(|(_, at)| now.since(*at) < RECENT_WINDOW);
        let (own, others): (Vec<u64>, Vec<u64>) = recent_crashes
            .map(|(life, _)| *life)
            .partition(|life| record.has(*life));
        match early.len() {
            _ if is_certain => true,
            // Popular parts are in the prompt of any trial.
            1 if record.is_part() => false,
            1 => others.is_empty() && !self.may_have_other_cause(record, early[0]),
            2 => own.len() >= others.len() && !self.is_shared_by_another(record, &early),
            _ => !self.is_shared_by_another(record, &early),
        }
    }

    /// Whether another subject of the same requests explains their crashes better.
    fn is_outdone(&self, record: &Record) -> bool {
        self.other_uncondemned(record)
            .any(|other| are_kin(record, other) && explains_better(other, record))
    }

    /// Returns the instances that crashed under a subject, in its trials or, if `trial` is not set, outside them, and at
    /// which no condemned subject was.
    fn unexplained(&self, record: &Record, trial: bool) -> Vec<u64> {
        let crashes = record.crashes.iter().filter(|crash| crash.trial == trial);
        let lives = crashes.map(|crash| crash.life);
        let is_open = |life: &u64| {
            let by = self.explained.get(life);
            by.is_none_or(|by| *by == record.fingerprint)
        };
        lives.filter(is_open).collect()
    }

    /// Whether a condemned subject other than this one explains the crash of an instance.
    fn is_explained(&self, record: &Record, life: u64) -> bool {
        let Some(by) = self.explained.get(&life) else {
            return false;
        };
        let Some(by) = self
            .get(*by)
            .filter(|by| by.fingerprint != record.fingerprint)
        else {
            return false;
        };
        // The condemned subject was only the narrowest of those that may be the cause.
        let may_be_cause = record.depth < by.depth && are_kin(record, by) && record.covers(by);
        !may_be_cause
    }

    /// Whether another subject that is not condemned was involved on all of these instances as well, and does not explain
    /// the crashes worse.
    fn is_shared_by_another(&self, record: &Record, lives: &[u64]) -> bool {
        let covers = |other: &Record| lives.iter().all(|life| other.has(*life));
        self.rivals(record).any(covers)
    }

    /// Whether another subject may have caused the crash of a single failed trial: it was on trial on the same instance, or
    /// was running on all that crashed before.
    fn may_have_other_cause(&self, record: &Record, trial: u64) -> bool {
        let before = self.unexplained(record, false);
        let beside = self.rivals(record).any(|other| other.has_trial(trial));
        beside || self.is_shared_by_another(record, &before)
    }

    /// Returns the other subjects that may be the cause in place of this one.
    fn rivals(&self, record: &Record) -> impl Iterator<Item = &Record> {
        self.other_uncondemned(record)
            .filter(|other| !(are_kin(record, other) && explains_better(record, other)))
    }

    fn other_uncondemned(&self, record: &Record) -> impl Iterator<Item = &Record> {
        let subject = record.fingerprint;
        let others = self.subjects.values().map(|known| &known.record);
        others.filter(move |other| other.fingerprint != subject && !other.is_condemned())
    }

    /// Records the crashes that a condemned subject explains.
    pub(super) fn record_explained(&mut self, condemned: Fingerprint) {
        let Some(record) = self.get(condemned).cloned() else {
            return;
        };
        if self.explained.len() >= MAX_RECENT_CRASHES {
            self.explained.clear();
        }
        let lives = record.crashes.iter().map(|crash| crash.life);
        self.explained.extend(lives.map(|life| (life, condemned)));
        let subjects: Vec<Fingerprint> = self.subjects.keys().copied().collect();
        for subject in subjects {
            self.clear_if_explained(subject);
        }
    }

    /// Clears the crashes of a subject if condemned subjects explain all of them.
    pub(super) fn clear_if_explained(&mut self, subject: Fingerprint) {
        let Some(record) = self.get(subject).filter(|record| !record.condemned) else {
            return;
        };
        let mut lives = record.crashes.iter().map(|crash| crash.life);
        if record.crashes.is_empty() || !lives.all(|life| self.is_explained(record, life)) {
            return;
        }
        if record.crashes.len() >= SUSPECT_CRASHES {
            self.cleared.push(subject);
        }
        if let Some(known) = self.subjects.get_mut(&subject) {
            known.settle();
        }
    }
}

/// Counts the crashes of a subject that are open, that is, have no other explanation.
fn count(record: &Record, is_open: impl Fn(u64) -> bool) -> Counts {
    let open = || record.crashes.iter().filter(|crash| is_open(crash.life));
    Counts {
        all: open().count(),
        unbegun: open().filter(|crash| !crash.begun).count(),
    }
}

/// Returns the least number of crashes that so few parts have that they stand out.
fn least_prominent(counts: impl Iterator<Item = usize>) -> usize {
    let mut by_count = [0; MAX_COMPARED + 1];
    for count in counts {
        by_count[count.min(MAX_COMPARED)] += 1;
    }
    let mut least = MAX_COMPARED + 1;
    let mut parts = 0;
    while least > SUSPECT_CRASHES && parts + by_count[least - 1] <= MAX_PROMINENT_PARTS {
        least -= 1;
        parts += by_count[least];
    }
    least
}

/// Whether two subjects belong to one request that was on trial.
fn are_kin(one: &Record, other: &Record) -> bool {
    one.depth != other.depth && one.shares_trial(other)
}

/// Whether one subject of a request explains its crashes better than another.
fn explains_better(one: &Record, other: &Record) -> bool {
    if one.depth > other.depth {
        is_narrower_better(one, other)
    } else {
        !is_narrower_better(other, one)
    }
}

/// Whether the narrower subject of a request explains its crashes better than the wider one.
///
/// All requests of the narrower one belong to the wider one, too. If the wider one lacks some of their crashes, its requests
/// have completed since. Otherwise a part that was in all failed trials is preferred, so that nothing wider is refused than
/// what they show, and a request only if it was in all crashes.
fn is_narrower_better(narrower: &Record, wider: &Record) -> bool {
    if !wider.covers(narrower) {
        return true;
    }
    if narrower.is_part() {
        narrower.covers_trials(wider)
    } else {
        narrower.covers(wider)
    }
}
