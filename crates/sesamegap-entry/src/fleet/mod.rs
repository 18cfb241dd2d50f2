//! The upstreams as this VM knows them.
//!
//! Entries come from the fleet list, which lags and loses entries while the store is away; whether one is
//! believed is decided by [`sesamegap_policy::routing::belief`]. What this VM sees itself is newer: an
//! upstream that cannot be reached is avoided for a while, one that says it holds other weights is believed,
//! and its load is what its last answer said plus what was sent there since. All of it belongs to one life of
//! an upstream: when it starts again, nothing of before is kept.

mod flight;
mod upstream;
mod view;

pub use flight::Flight;
pub use sesamegap_policy::routing::belief::Change;
pub use upstream::{Entry, Upstream};
pub use view::{Chosen, PromptShape, Selection, Shard};

use crate::kept::KvStoreStates;
use crate::peers::Loads;
use crate::ports::{EngineReport, Weights};
use sesamegap_policy::routing::Availability;
use sesamegap_policy::routing::belief::{
    self, Belief, ListRecord, ListUpdate, Listing, StoreReachability,
};
use sesamegap_policy::routing::cache_locations::CacheLocations;
use sesamegap_policy::routing::placements::Placements;
use sesamegap_policy::routing::silence::SilenceReports;
use sesamegap_policy::routing::weights::{Named, Namings};
use sesamegap_wire::{Incarnation, LogPosition, Moment, ServiceId, UpstreamId, WeightsVersion};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

/// Spans that decide about lapsed entries.
#[derive(Debug, Clone, Copy)]
pub struct Rules {
    /// Spans that decide whether an upstream is there.
    pub belief: belief::Rules,
    /// Time after a naming of weights from which no request may begin on older ones.
    pub weights: Duration,
}

/// All upstreams.
#[derive(Debug)]
pub struct Fleet {
    rules: Rules,
    /// All that were ever listed, those that are gone until they are forgotten.
    upstreams: BTreeMap<UpstreamId, Upstream>,
    /// Of those that were only heard to be removed.
    unlisted: BTreeMap<UpstreamId, Belief>,
    contact: StoreReachability,
    pub(crate) recall: CacheLocations,
    pub(crate) loads: Loads,
    /// What this VM has placed for others, by who asked and the number given.
    pub(crate) placed: Placements<(SocketAddr, u64)>,
    pub(crate) kept: KvStoreStates,
    pub(crate) silences: SilenceReports,
    pub(crate) namings: Namings,
}

impl Fleet {
    /// Starts with nobody known.
    pub fn new(rules: Rules) -> Self {
        Self {
            rules,
            upstreams: BTreeMap::new(),
            unlisted: BTreeMap::new(),
            contact: StoreReachability::default(),
            recall: CacheLocations::default(),
            loads: Loads::default(),
            placed: Placements::default(),
            kept: KvStoreStates::default(),
            silences: SilenceReports::default(),
            namings: Namings::new(rules.weights),
        }
    }

    /// What was named of all models.
    pub fn namings(&self) -> &Namings {
        &self.namings
    }

    /// Notes that weights were seen to be named then; whether they are the newest.
    pub fn name_weights(&mut self, weights: &Weights, at: Moment) -> bool {
        self.learn_weights(weights, Named::At(at))
    }

    /// Notes that weights were named; whether they are the newest.
    pub fn learn_weights(&mut self, weights: &Weights, named: Named) -> bool {
        self.namings.learn(&weights.model, weights.version, named)
    }

    /// Whether weights are so old that no request may be sent to them any more, however short its wait.
    pub fn is_outdated(&self, model: &str, version: WeightsVersion, now: Moment) -> bool {
        !self.namings.may_send(model, version, Duration::ZERO, now)
    }

    /// All upstreams known.
    pub fn upstreams(&self) -> impl Iterator<Item = &Upstream> {
        self.upstreams.values().filter(|up| up.belief.is_known())
    }

    /// One upstream.
    pub fn get(&self, id: &UpstreamId) -> Option<&Upstream> {
        self.upstreams.get(id).filter(|up| up.belief.is_known())
    }

    /// What the list and an upstream itself said of it, gone or not.
    pub fn belief(&self, id: &UpstreamId) -> Option<&Belief> {
        self.upstreams.get(id).map(|upstream| &upstream.belief)
    }

    /// One upstream, to note what was seen of it.
    pub fn get_mut(&mut self, id: &UpstreamId) -> Option<&mut Upstream> {
        self.upstreams.get_mut(id).filter(|up| up.belief.is_known())
    }

    /// One upstream in the life that a request went to, gone or not.
    pub(super) fn in_life(&mut self, id: &UpstreamId, life: u64) -> Option<&mut Upstream> {
        self.upstreams.get_mut(id).filter(|up| up.life == life)
    }

    /// Upstreams of a service.
    pub fn of<'a>(&'a self, service: &'a ServiceId) -> impl Iterator<Item = &'a Upstream> {
        self.upstreams()
            .filter(move |upstream| upstream.entry.service == *service)
    }

    /// Whether an upstream takes work, by what this VM and others saw of it.
    pub fn openness(&self, upstream: &Upstream, now: Moment) -> Availability {
        if self.is_overdue(upstream, now) {
            // The list may be read a second later only.
            return Availability::Paused;
        }
        match upstream.openness(now) {
            Availability::Open if self.silences.is_silent(upstream.life, now) => {
                Availability::Suspect
            }
            openness => openness,
        }
    }

    /// Notes that an upstream could not be reached or went silent.
    pub fn failed(&mut self, id: &UpstreamId, now: Moment) {
        if let Some(upstream) = self.upstreams.get_mut(id) {
            let alone = upstream.fail(now);
            let avoided = self.silences.failed(upstream.life, alone, now);
            upstream.avoid(now + avoided);
        }
    }

    /// Notes whether the store answers this VM; while it is away, entries lapse of themselves.
    pub fn store(&mut self, answers: bool, now: Moment) {
        self.contact.record_response(answers, now);
    }

    /// Notes that the store was restored from a copy.
    pub fn store_restored(&mut self, now: Moment) {
        self.contact.restored(now);
    }

    /// Notes that the store answers another VM.
    pub fn store_told(&mut self, now: Moment) {
        self.contact.record_peer_report(now);
    }

    /// Takes in an entry that lies at a position of the list's log.
    pub fn apply(&mut self, id: &UpstreamId, entry: Entry, at: LogPosition, now: Moment) -> Change {
        let word = ListUpdate {
            at,
            record: ListRecord::Listed(Listing {
                beat: entry.beat,
                born: entry.born,
                leaving: entry.leaving,
            }),
        };
        let unlisted = self.unlisted.remove(id);
        let known = self.upstreams.entry(id.clone()).or_insert_with(|| {
            let belief = unlisted.unwrap_or_else(|| Belief::new(now));
            Upstream::new(id.clone(), entry.clone(), belief)
        });
        let change = known
            .belief
            .apply(word, &self.rules.belief, &self.contact, now);
        match change {
            Change::Restarted => {
                known.restart(entry);
                change
            }
            Change::New | Change::Leaving | Change::Same => known.update(entry, change),
            _ => change,
        }
    }

    /// Takes in that the list's log says at a position that an entry is gone.
    pub fn remove(&mut self, id: &UpstreamId, at: LogPosition, now: Moment) -> Change {
        self.unlist(id, at, ListRecord::Removed, now)
    }

    /// Takes in that a record there names no upstream: unlike a lapsed one it gets no time.
    pub fn withdraw(&mut self, id: &UpstreamId, at: LogPosition, now: Moment) -> Change {
        self.unlist(id, at, ListRecord::Withdrawn, now)
    }

    fn unlist(
        &mut self,
        id: &UpstreamId,
        at: LogPosition,
        record: ListRecord,
        now: Moment,
    ) -> Change {
        let belief = match self.upstreams.get_mut(id) {
            Some(upstream) => &mut upstream.belief,
            None => self
                .unlisted
                .entry(id.clone())
                .or_insert_with(|| Belief::new(now)),
        };
        let word = ListUpdate { at, record };
        belief.apply(word, &self.rules.belief, &self.contact, now)
    }

    /// Takes in which life an upstream, or a VM that asked it, says that it is.
    pub fn met(&mut self, id: &UpstreamId, born: Option<Incarnation>) -> Change {
        let Some(upstream) = self.upstreams.get_mut(id) else {
            return Change::Same;
        };
        let change = upstream.belief.observe_incarnation(born);
        if change == Change::Restarted {
            let entry = upstream.entry.clone();
            upstream.restart(Entry { born, ..entry });
        }
        change
    }

    /// Takes in an engine's report of itself.
    pub fn reported(&mut self, id: &UpstreamId, report: &EngineReport) -> Change {
        let change = self.met(id, report.born);
        if change == Change::Restarted
            && let Some(engine) = self.upstreams.get_mut(id)
        {
            for weights in &report.weights {
                engine.holds(&weights.model, weights.version);
            }
        }
        change
    }

    /// Lets time decide about lapsed entries and doubts, and drops old tombstones.
    pub fn expire(&mut self, now: Moment) -> Vec<(UpstreamId, Change)> {
        let (rules, contact) = (&self.rules.belief, &self.contact);
        let mut changes = Vec::new();
        for upstream in self.upstreams.values_mut() {
            let change = upstream.belief.expire(rules, contact, now);
            if change != Change::Same {
                changes.push((upstream.id.clone(), change));
            }
        }
        self.upstreams.retain(|_, up| !up.belief.is_forgotten(now));
        self.unlisted.retain(|_, belief| !belief.is_forgotten(now));
        self.namings.forget(now);
        changes
    }

    /// Whether an entry lapsed and did not come back in time.
    fn is_overdue(&self, upstream: &Upstream, now: Moment) -> bool {
        let rules = &self.rules.belief;
        upstream.belief.is_overdue(rules, &self.contact, now)
    }

    /// Replaces the whole list as it is before a position of its log: what it does not name is gone.
    pub fn keep_only(
        &mut self,
        listed: &[UpstreamId],
        next: LogPosition,
        now: Moment,
    ) -> Vec<(UpstreamId, Change)> {
        let Some(at) = next.previous() else {
            return Vec::new();
        };
        let known = self.upstreams().map(|up| &up.id);
        let missing: Vec<UpstreamId> = known.filter(|id| !listed.contains(id)).cloned().collect();
        missing
            .into_iter()
            .map(|id| {
                let change = self.remove(&id, at, now);
                (id, change)
            })
            .collect()
    }

    /// Whether prompts should not wait for this store of kept cache.
    pub fn is_store_out(&self, store: SocketAddr, now: Moment) -> bool {
        self.kept.is_unavailable(store, now)
    }
}

/// The fleet, shared by all tasks of a process.
#[derive(Debug, Clone)]
pub struct SharedFleet(Arc<Mutex<Fleet>>);

impl SharedFleet {
    /// Shares a fleet.
    pub fn new(fleet: Fleet) -> Self {
        Self(Arc::new(Mutex::new(fleet)))
    }

    /// The fleet, for a moment; never held over a wait.
    pub fn lock(&self) -> MutexGuard<'_, Fleet> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
