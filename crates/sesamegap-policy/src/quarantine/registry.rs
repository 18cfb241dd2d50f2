//! What one VM knows of requests under which upstreams ended.

use super::record::{Crash, Record, SUSPECT, Standing};
use crate::routing::engines::rank;
use rustc_hash::{FxHashMap, FxHashSet};
use serde::{Deserialize, Serialize};
use sesamegap_wire::{Fingerprint, Moment};
use std::collections::VecDeque;
use std::time::Duration;

/// Requests kept at most, at some 200 bytes each. All that run on a lost upstream are noted, a hundred at a time.
const MOST: usize = 4_096;

/// Part of them that goes when there are more.
const DROPPED: usize = MOST / 8;

/// Span over which lost upstreams are compared with those of a suspect.
const LATELY: Duration = Duration::from_secs(30);

/// Lost upstreams remembered for that.
const MOST_LATELY: usize = 1_024;

/// Shortest time from the crash of an upstream to that of its next instance; repeated reports of one crash come sooner.
const REBIRTH: Duration = Duration::from_millis(600);

/// Losses of one request that are told apart so.
const MOST_LOSSES: usize = 16;

/// Time after a trial's loss in which other VMs' reports of the same moment arrive.
const SETTLING: Duration = Duration::from_millis(250);

/// Time after a trial's loss in which what else was lost lately says something about it.
const FRESH: Duration = Duration::from_secs(5);

/// Longest time for which one trial holds up the others: a run that goes on after it delays nobody.
const TURN: Duration = Duration::from_secs(2);

/// The answer to a VM that wants to run a suspect.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Grant {
    /// It is no suspect.
    Free,
    /// It may run once, by itself.
    Trial,
    /// Another suspect runs.
    Busy,
    /// It is quarantined.
    Refused,
}

#[derive(Debug)]
struct Tracked {
    record: Record,
    /// When it was last changed.
    changed: Moment,
    /// When a trial of it last lost an upstream.
    failed: Option<Moment>,
    /// Its losses by the lives that the list gave the upstreams.
    losses: Vec<Loss>,
}

/// An upstream that ended under a request, maybe more than once under one life.
///
/// One that crashed may be back before the list shows its new life. Its next crash bears the number of the former life and
/// would count for nothing.
#[derive(Debug)]
struct Loss {
    life: u64,
    /// Instances that ended before the last one.
    count: u64,
    /// When the first report of the last one came.
    at: Moment,
}

#[derive(Debug, Clone, Copy)]
struct Trial {
    fingerprint: Fingerprint,
    until: Moment,
}

/// What one VM knows of requests under which upstreams ended.
#[derive(Debug, Default)]
pub struct Registry {
    requests: FxHashMap<Fingerprint, Tracked>,
    /// Upstreams that were lost lately, by their lives.
    lately: VecDeque<(u64, Moment)>,
    trial: Option<Trial>,
    /// Requests to be published.
    news: FxHashSet<Fingerprint>,
    /// Suspects that another one's condemnation cleared.
    cleared: Vec<Fingerprint>,
    /// Lost upstreams with the condemned request that ended each.
    explained: FxHashMap<u64, Fingerprint>,
}

impl Tracked {
    /// The number of the instance that ended, by its life in the list.
    fn instance(&mut self, life: u64, now: Moment) -> u64 {
        if self.losses.len() >= MOST_LOSSES {
            self.losses.clear();
        }
        let Some(loss) = self.losses.iter_mut().find(|loss| loss.life == life) else {
            let at = now;
            self.losses.push(Loss { life, count: 0, at });
            return life;
        };
        if now.since(loss.at) >= REBIRTH {
            loss.count += 1;
            loss.at = now;
        }
        match loss.count {
            0 => life,
            count => rank(life, count),
        }
    }
}

impl Registry {
    /// Whether nothing is known of any request.
    pub fn is_empty(&self) -> bool {
        self.requests.is_empty()
    }

    /// What is to be done with a request at a time in Unix milliseconds.
    pub fn standing(&self, request: Fingerprint, unix_ms: u64) -> Standing {
        let known = self.requests.get(&request);
        known.map_or(Standing::Clear, |known| known.record.standing(unix_ms))
    }

    /// What is known of a request.
    pub fn get(&self, request: Fingerprint) -> Option<&Record> {
        self.requests.get(&request).map(|known| &known.record)
    }

    /// Requests that do not run like any other, and those that were cleared.
    pub fn published(&self, unix_ms: u64) -> impl Iterator<Item = &Record> {
        let records = self.requests.values().map(|known| &known.record);
        records
            .filter(move |record| record.epoch > 0 || record.standing(unix_ms) != Standing::Clear)
    }

    /// Notes that an upstream ended under a request.
    pub fn record_crash(&mut self, request: Fingerprint, crash: Crash, now: Moment, unix_ms: u64) {
        let known = self.track(request, now);
        let life = known.instance(crash.life, now);
        let crash = Crash { life, ..crash };
        let added = known.record.add(crash, unix_ms);
        self.note_loss(life, now);
        if !added {
            return;
        }
        let known = self.track(request, now);
        known.changed = now;
        if crash.trial {
            known.failed = Some(now);
        }
        self.end_trial(request);
        self.drop_explained(request);
        self.publish(request, unix_ms);
        self.trim(unix_ms);
    }

    /// Notes that a request ran to its end, as of an epoch; whether that clears it of anything.
    pub fn record_success(&mut self, request: Fingerprint, epoch: u32, now: Moment) -> bool {
        self.end_trial(request);
        let Some(known) = self.requests.get_mut(&request) else {
            return false;
        };
        if known.record.epoch != epoch || known.record.crashes.is_empty() {
            return false;
        }
        known.record.clear();
        known.changed = now;
        known.failed = None;
        self.explained.retain(|_, by| *by != request);
        self.news.insert(request);
        true
    }

    /// Lets a request run like any other again; whether it did not.
    pub fn lift(&mut self, request: Fingerprint, now: Moment) -> bool {
        let epoch = self.get(request).map(|record| record.epoch);
        epoch.is_some_and(|epoch| self.record_success(request, epoch, now))
    }

    /// Takes in what another VM knows of a request.
    pub fn merge(&mut self, other: &Record, now: Moment, unix_ms: u64) {
        let request = other.fingerprint;
        let known = self.track(request, now);
        let failed = known.record.failed();
        if !known.record.merge(other) {
            return;
        }
        known.changed = now;
        if known.record.failed() > failed {
            known.failed = Some(now);
        }
        self.drop_explained(request);
        self.publish(request, unix_ms);
        self.trim(unix_ms);
    }

    /// Decides whether a VM may run a request; only the coordinator does.
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
            until: now + left.min(TURN),
        });
        Grant::Trial
    }

    /// Ends the turn of a request's trial.
    pub fn end_trial(&mut self, request: Fingerprint) {
        self.trial = self.trial.filter(|trial| trial.fingerprint != request);
    }

    /// Condemns suspects whose trial has settled, and names them; only the coordinator does.
    pub fn judge(&mut self, now: Moment, unix_ms: u64) -> Vec<Fingerprint> {
        let failed = self.requests.values_mut().filter(|known| {
            let at = known.failed;
            at.is_some_and(|at| now.since(at) >= SETTLING) && !known.record.is_condemned()
        });
        let failed: Vec<(Fingerprint, bool)> = failed
            .map(|known| {
                let fresh = known.failed.is_some_and(|at| now.since(at) < FRESH);
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
                known.changed = now;
            }
            self.publish(*request, unix_ms);
        }
        condemned
    }

    /// Requests whose standing changed since the last call.
    pub fn take_news(&mut self) -> Vec<Record> {
        let news = std::mem::take(&mut self.news);
        let known = news.iter().filter_map(|request| self.get(*request));
        known.cloned().collect()
    }

    /// Suspects that another one's condemnation cleared since the last call.
    pub fn take_cleared(&mut self) -> Vec<Fingerprint> {
        std::mem::take(&mut self.cleared)
    }

    /// Whether the trials that a request has failed are enough to condemn it.
    ///
    /// Others run beside a trial, and one that is no suspect yet may have ended its upstream. A single trial condemns if
    /// nothing else was lost lately, two do if it was at half of the losses, three in any case. None do while another
    /// request was at the same ones, and those that a condemned request explains do not count.
    fn is_cause(&self, record: &Record, fresh: bool, now: Moment) -> bool {
        let lately = self.lately.iter();
        let lately = lately.filter(|(_, at)| now.since(*at) < LATELY);
        let (own, others): (Vec<u64>, Vec<u64>) = lately
            .map(|(life, _)| *life)
            .partition(|life| record.has(*life));
        let trials = self.unexplained(record, true);
        match trials.len() {
            0 => false,
            1 => fresh && others.is_empty() && !self.is_shared(record, trials[0]),
            2 => fresh && own.len() >= others.len() && !self.is_covered(record, &trials),
            _ => !self.is_covered(record, &trials),
        }
    }

    /// Upstreams that a request lost in trials or otherwise, and that no condemned request explains.
    fn unexplained(&self, record: &Record, trial: bool) -> Vec<u64> {
        let ended = record.crashes.iter().filter(|crash| crash.trial == trial);
        let lives = ended.map(|crash| crash.life);
        lives
            .filter(|life| !self.is_explained(record.fingerprint, *life))
            .collect()
    }

    /// Whether a condemned request other than this one was at an upstream that was lost.
    fn is_explained(&self, request: Fingerprint, life: u64) -> bool {
        self.explained.get(&life).is_some_and(|by| *by != request)
    }

    /// Whether another request that is not condemned was at all of these upstreams as well.
    fn is_covered(&self, record: &Record, lives: &[u64]) -> bool {
        let covers = |other: &Record| lives.iter().all(|life| other.has(*life));
        self.rivals(record).any(covers)
    }

    /// Whether a single failed trial may as well be another's: one was on trial at the same upstream, or was at all that were
    /// lost before.
    fn is_shared(&self, record: &Record, trial: u64) -> bool {
        let tried = |crash: &Crash| crash.trial && crash.life == trial;
        let before = self.unexplained(record, false);
        let beside = self
            .rivals(record)
            .any(|other| other.crashes.iter().any(tried));
        beside || self.is_covered(record, &before)
    }

    fn rivals(&self, record: &Record) -> impl Iterator<Item = &Record> {
        let request = record.fingerprint;
        let others = self.requests.values().map(|known| &known.record);
        others.filter(move |other| other.fingerprint != request && !other.is_condemned())
    }

    fn is_settling(&self, request: Fingerprint, now: Moment) -> bool {
        let failed = self.requests.get(&request).and_then(|known| known.failed);
        failed.is_some_and(|at| now.since(at) < SETTLING)
    }

    fn note_loss(&mut self, life: u64, now: Moment) {
        self.lately.retain(|(_, at)| now.since(*at) < LATELY);
        if self.lately.iter().all(|(known, _)| *known != life) && self.lately.len() < MOST_LATELY {
            self.lately.push_back((life, now));
        }
    }

    fn track(&mut self, request: Fingerprint, now: Moment) -> &mut Tracked {
        self.requests.entry(request).or_insert_with(|| Tracked {
            record: Record::new(request),
            changed: now,
            failed: None,
            losses: Vec::new(),
        })
    }

    /// Has a request published that does not run like any other, or no longer does.
    fn publish(&mut self, request: Fingerprint, unix_ms: u64) {
        let Some(record) = self.get(request) else {
            return;
        };
        if record.epoch > 0 || record.standing(unix_ms) != Standing::Clear {
            self.news.insert(request);
        }
        if self.get(request).is_some_and(Record::is_condemned) {
            self.note_explained(request);
        }
    }

    /// Notes the losses that a condemned request explains.
    fn note_explained(&mut self, condemned: Fingerprint) {
        let Some(record) = self.get(condemned).cloned() else {
            return;
        };
        if self.explained.len() >= MOST_LATELY {
            self.explained.clear();
        }
        let lives = record.crashes.iter().map(|crash| crash.life);
        self.explained.extend(lives.map(|life| (life, condemned)));
        let requests: Vec<Fingerprint> = self.requests.keys().copied().collect();
        for request in requests {
            self.drop_explained(request);
        }
        self.requests
            .retain(|_, known| known.record.epoch > 0 || !known.record.crashes.is_empty());
    }

    /// Drops what is held against a request if condemned ones were at all upstreams that it lost.
    fn drop_explained(&mut self, request: Fingerprint) {
        let Some(known) = self.requests.get_mut(&request) else {
            return;
        };
        let explained = &self.explained;
        let is_explained = |life: u64| explained.get(&life).is_some_and(|by| *by != request);
        let ended = &mut known.record.crashes;
        if !known.record.condemned && ended.iter().all(|crash| is_explained(crash.life)) {
            if ended.len() >= SUSPECT {
                self.cleared.push(request);
            }
            ended.clear();
        }
    }

    /// Forgets requests beyond the bound, those of least consequence and the oldest first.
    fn trim(&mut self, unix_ms: u64) {
        if self.requests.len() <= MOST {
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
                    known.changed,
                    known.record.fingerprint,
                )
            })
            .collect();
        order.sort_unstable();
        for (_, _, request) in order.into_iter().take(DROPPED) {
            self.requests.remove(&request);
        }
    }
}
