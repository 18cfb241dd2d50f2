//! This VM's view of the fleet of upstreams.
//!
//! Entries come from the fleet list, which lags, and loses entries while the store is unreachable;
//! [`sesamegap_policy::routing::belief`] decides which upstreams are present. This VM's own observations are
//! newer and take precedence: an upstream that cannot be reached is avoided for a while, the weights that it
//! reports override its entry, and its load is the last reported one plus the requests sent since. All
//! observations belong to one incarnation of an upstream and are discarded when it restarts.

mod admission;
mod flight;
mod index;
mod list;
mod selection;
mod silence;
mod speeds;
mod upstream;
mod versions;

pub use admission::NotChosen;
pub use flight::{Flight, GatePass, confirm_running};
pub use index::ServiceIndex;
pub use selection::{Chosen, PromptShape, Selection, Shard};
pub use sesamegap_policy::routing::belief::Change;
pub use upstream::{Entry, Upstream};

use crate::kept::KvStoreStates;
use crate::limits::shared::SharedLimits;
use crate::peers::{Loads, UpstreamLoad};
use crate::ports::Weights;
use admission::Admission;
use rand::Rng;
use rand::seq::{IteratorRandom, SliceRandom};
use rustc_hash::FxHashMap;
use sesamegap_policy::admission::rate::WorkRate;
use sesamegap_policy::resumption::ServedVersions;
use sesamegap_policy::routing::Availability;
use sesamegap_policy::routing::belief::{self, Belief, StoreReachability};
use sesamegap_policy::routing::brittle::Brittleness;
use sesamegap_policy::routing::cache_locations::CacheLocations;
use sesamegap_policy::routing::placements::Placements;
use sesamegap_policy::routing::reachability::{MIN_UNREACHED, ReachChange, Reachability};
use sesamegap_policy::routing::silence::SilenceReports;
use sesamegap_policy::routing::speeds::Speeds;
use sesamegap_policy::routing::weights::{Named, Namings};
use sesamegap_wire::{LogPosition, Moment, ServiceId, UpstreamId, WeightsVersion};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

/// Time limits of the fleet's rules.
#[derive(Debug, Clone, Copy)]
pub struct Rules {
    /// Time limits that decide whether an upstream is present.
    pub belief: belief::Rules,
    /// Time after the naming of weights from which no request may start on older ones.
    pub weights: Duration,
}

/// All upstreams and the state that routing decisions use.
#[derive(Debug)]
pub struct Fleet {
    rules: Rules,
    /// All upstreams that were listed, including those that are gone and not yet forgotten.
    upstreams: BTreeMap<UpstreamId, Upstream>,
    /// Beliefs about upstreams of which only a removal or a withdrawal is known.
    unlisted: BTreeMap<UpstreamId, Belief>,
    /// Increases when an upstream is added, restarted or removed.
    generation: u64,
    indices: FxHashMap<ServiceId, Arc<ServiceIndex>>,
    /// Upstreams that may have requests of this VM.
    busy: BTreeSet<UpstreamId>,
    store_reachability: StoreReachability,
    pub(crate) cache_locations: CacheLocations,
    pub(crate) loads: Loads,
    /// Requests that this VM has placed for others, by the address of the asking VM and its request number.
    pub(crate) placements: Placements<(SocketAddr, u64)>,
    /// Admission of the prompts that this VM places.
    admission: Admission,
    /// Rate at which the engines work off the prompts that this VM places.
    admission_rate: WorkRate,
    /// Speeds of the engines whose prompts this VM sent or placed.
    speeds: Speeds,
    pub(crate) kept: KvStoreStates,
    pub(crate) silence_reports: SilenceReports,
    /// Requests that upstreams say they take.
    limits: SharedLimits,
    /// Services whose upstreams say that they are brittle.
    brittle: FxHashMap<ServiceId, Brittleness>,
    /// Whether this VM reaches any upstream.
    reachability: Reachability,
    pub(crate) namings: Namings,
    /// Software versions that served each service lately.
    pub(crate) served: ServedVersions,
    /// Up to when the list is known.
    list_as_of: Moment,
    /// Incarnations whose connections broke at this VM, of which peers are still to be told.
    broken: Vec<u64>,
}

impl Fleet {
    /// Creates a fleet without upstreams.
    pub fn new(rules: Rules) -> Self {
        Self {
            rules,
            upstreams: BTreeMap::new(),
            unlisted: BTreeMap::new(),
            generation: 0,
            indices: FxHashMap::default(),
            busy: BTreeSet::new(),
            store_reachability: StoreReachability::default(),
            cache_locations: CacheLocations::default(),
            loads: Loads::default(),
            placements: Placements::default(),
            admission: Admission::default(),
            admission_rate: WorkRate::default(),
            speeds: Speeds::default(),
            kept: KvStoreStates::default(),
            silence_reports: SilenceReports::default(),
            limits: SharedLimits::default(),
            brittle: FxHashMap::default(),
            reachability: Reachability::default(),
            namings: Namings::new(rules.weights),
            served: ServedVersions::default(),
            list_as_of: Moment::default(),
            broken: Vec::new(),
        }
    }

    /// The limits on requests that upstreams name.
    pub fn limits(&self) -> &SharedLimits {
        &self.limits
    }

    /// Namings of the weights of all models.
    pub fn namings(&self) -> &Namings {
        &self.namings
    }

    /// Records weights whose naming was observed at this time; returns whether they are the newest.
    pub fn observe_naming(&mut self, weights: &Weights, at: Moment) -> bool {
        self.learn_weights(weights, Named::At(at))
    }

    /// Records that weights were named; returns whether they are the newest.
    pub fn learn_weights(&mut self, weights: &Weights, named: Named) -> bool {
        self.namings.learn(&weights.model, weights.version, named)
    }

    /// Whether weights are so old that no request may be sent to them, even with an expected wait of zero.
    pub fn is_outdated(&self, model: &str, version: WeightsVersion, now: Moment) -> bool {
        !self.namings.may_send(model, version, Duration::ZERO, now)
    }

    /// All upstreams that are present.
    pub fn upstreams(&self) -> impl Iterator<Item = &Upstream> {
        self.upstreams.values().filter(|up| up.belief.is_known())
    }

    /// All upstreams that the list has, or may have again, with the positions of their newest records.
    pub fn listed(&self) -> impl Iterator<Item = (&Upstream, LogPosition)> {
        let upstreams = self.upstreams.values();
        let listed = upstreams.filter(|up| up.belief.is_known() || up.belief.is_doubted());
        listed.map(|up| (up, up.belief.position().unwrap_or_default()))
    }

    /// An upstream, if it is present.
    pub fn get(&self, id: &UpstreamId) -> Option<&Upstream> {
        self.upstreams.get(id).filter(|up| up.belief.is_known())
    }

    /// The belief about an upstream, whether it is present or gone.
    pub fn belief(&self, id: &UpstreamId) -> Option<&Belief> {
        self.upstreams.get(id).map(|upstream| &upstream.belief)
    }

    /// An upstream, if it is present, to record observations.
    pub fn get_mut(&mut self, id: &UpstreamId) -> Option<&mut Upstream> {
        self.upstreams.get_mut(id).filter(|up| up.belief.is_known())
    }

    /// An upstream, present or gone, if this incarnation is its newest.
    pub(super) fn in_life(&mut self, id: &UpstreamId, life: u64) -> Option<&mut Upstream> {
        self.upstreams.get_mut(id).filter(|up| up.life == life)
    }

    /// Present upstreams of a service.
    pub fn of_service<'a>(&'a self, service: &'a ServiceId) -> impl Iterator<Item = &'a Upstream> {
        self.upstreams()
            .filter(move |upstream| upstream.entry.service == *service)
    }

    /// Whether any upstream of a service states its weights, so that one that does not may hold any version.
    pub fn states_weights(&self, service: &ServiceId) -> bool {
        self.of_service(service)
            .any(|upstream| !upstream.entry.weights.is_empty())
    }

    /// Whether an upstream accepts requests, according to the observations of this VM and its peers.
    pub fn availability(&self, upstream: &Upstream, now: Moment) -> Availability {
        if self.is_overdue(upstream, now) {
            // The next read of the list, which removes the entry, may be a second away.
            return Availability::Paused;
        }
        match upstream.availability(now) {
            Availability::Open if self.silence_reports.is_silent(upstream.life, now) => {
                Availability::Suspect
            }
            availability => availability,
        }
    }

    /// Records that an upstream could not be reached or stopped responding.
    ///
    /// The failures of a VM that is partitioned from all upstreams are its own.
    pub fn record_failure(&mut self, id: &UpstreamId, now: Moment) {
        if self.is_partitioned() {
            return;
        }
        if let Some(upstream) = self.upstreams.get_mut(id) {
            let avoidance = upstream.record_failure(now);
            if upstream.doubt_software(self.list_as_of, now) {
                self.broken.push(upstream.life);
            }
            let avoided = self.silence_reports.failed(upstream.life, avoidance, now);
            upstream.avoid(now + avoided);
        }
    }

    /// Records that an upstream accepted a connection.
    pub fn record_connected(&mut self, now: Moment) -> ReachChange {
        self.silence_reports.connected(now);
        self.reachability.record_connected(now)
    }

    /// Records that a connection to an upstream, attempted since `began`, failed.
    pub fn record_unreached(&mut self, life: u64, began: Moment, now: Moment) -> ReachChange {
        let known = self.upstreams().take(MIN_UNREACHED).count();
        let connected_at = self.reachability.connected_at().unwrap_or_default();
        let change = self.reachability.record_unreached(life, began, known, now);
        if matches!(change, ReachChange::Lost { .. }) {
            self.silence_reports.discard_unconfirmed();
            for upstream in self.upstreams.values_mut() {
                upstream.forget_failures_since(connected_at);
            }
        }
        change
    }

    /// Records whether an answer says that the upstreams of a service are brittle; returns whether that is new.
    pub fn record_brittle(&mut self, service: &ServiceId, bound: Option<u32>, now: Moment) -> bool {
        let was_brittle = self.is_brittle(service, now);
        match bound {
            Some(bound) => {
                let said = Brittleness {
                    bound,
                    said_at: now,
                };
                self.brittle.insert(service.clone(), said);
            }
            None if !self.brittle.is_empty() => drop(self.brittle.remove(service)),
            None => {}
        }
        was_brittle != bound.is_some()
    }

    /// Whether the upstreams of a service fall over when they reject too much.
    pub fn is_brittle(&self, service: &ServiceId, now: Moment) -> bool {
        let said = self.brittle.get(service);
        said.is_some_and(|said| said.is_current(now))
    }

    /// Lets a request through to a brittle upstream if it has room, as this VM counts.
    fn try_pass(&mut self, id: &UpstreamId, life: u64, now: Moment) -> bool {
        let Some(upstream) = self.get(id).filter(|up| up.life == life) else {
            return false;
        };
        let (slots, heard) = (upstream.entry.slots, self.running(upstream, now));
        let upstream = self.in_life(id, life);
        upstream.is_some_and(|upstream| upstream.gate.try_pass(slots, heard, now))
    }

    /// Whether connections failed recently and none was accepted since.
    pub fn is_reach_in_doubt(&self, now: Moment) -> bool {
        self.reachability.is_in_doubt(now)
    }

    /// Takes the next connection test if it is due; returns the upstream to connect to, if possible one to which no
    /// connection has failed.
    pub fn claim_connection_test(
        &mut self,
        rng: &mut impl Rng,
        now: Moment,
    ) -> Option<(u64, SocketAddr)> {
        if !self.reachability.claim_test(now) {
            return None;
        }
        let is_untried = |up: &&Upstream| !self.reachability.is_unreached(up.life);
        let untried = self.upstreams().filter(is_untried).choose(rng);
        let upstream = untried.or_else(|| self.upstreams().choose(rng))?;
        Some((upstream.life, upstream.entry.addr))
    }

    /// Addresses of the upstreams from which bytes arrived last, except this one; which of those that are equal in this
    /// is random, so that a dead one is not asked each time.
    pub fn last_heard(
        &self,
        count: usize,
        except: SocketAddr,
        rng: &mut impl Rng,
    ) -> Vec<SocketAddr> {
        let others = self.upstreams().filter(|up| up.entry.addr != except);
        let mut heard: Vec<_> = others
            .map(|up| (Reverse(up.last_received), up.entry.addr))
            .collect();
        heard.shuffle(rng);
        heard.sort_by_key(|(received, _)| *received);
        let first = heard.into_iter().take(count);
        first.map(|(_, addr)| addr).collect()
    }

    /// Whether this VM counts as partitioned from all upstreams.
    pub fn is_partitioned(&self) -> bool {
        self.reachability.is_partitioned()
    }

    /// Records that a peer could not reach an upstream, which it then reports itself.
    pub fn record_peer_failure(&mut self, id: &UpstreamId, now: Moment) {
        if let Some(upstream) = self.upstreams.get_mut(id) {
            upstream.record_failure(now);
        }
    }

    /// Records whether the store answered this VM; while it is unreachable, no heartbeat gets through
    /// and entries expire.
    pub fn record_store_response(&mut self, answers: bool, now: Moment) {
        self.store_reachability.record_response(answers, now);
    }

    /// Records that the store was restored from a copy.
    pub fn record_store_restore(&mut self, now: Moment) {
        self.store_reachability.restored(now);
    }

    /// Records a peer's report that the store answers it.
    pub fn record_peer_store_report(&mut self, now: Moment) {
        self.store_reachability.record_peer_report(now);
    }

    /// Records that a request of this VM begins at an upstream.
    fn begin(&mut self, id: &UpstreamId, unread: u64, priority: u8) {
        if let Some(upstream) = self.upstreams.get_mut(id) {
            upstream.begin(unread, priority);
            self.busy.insert(id.clone());
        }
    }

    /// The load that this VM causes at upstreams and must report to its peers.
    pub fn held_loads(&mut self) -> Vec<UpstreamLoad> {
        let upstreams = &self.upstreams;
        self.busy
            .retain(|id| upstreams.get(id).is_some_and(|up| up.running > 0));
        let busy = self.busy.iter();
        busy.filter_map(|id| self.get(id)?.held()).collect()
    }

    /// Whether an entry lapsed and did not reappear in time.
    fn is_overdue(&self, upstream: &Upstream, now: Moment) -> bool {
        let rules = &self.rules.belief;
        upstream
            .belief
            .is_overdue(rules, &self.store_reachability, now)
    }

    /// Whether prompts should not wait for this kept-KV store.
    pub fn is_store_unavailable(&self, store: SocketAddr, now: Moment) -> bool {
        self.kept.is_unavailable(store, now)
    }
}

/// The fleet, shared by all tasks of a process.
#[derive(Debug, Clone)]
pub struct SharedFleet(Arc<Mutex<Fleet>>);

impl SharedFleet {
    /// Wraps a fleet for sharing.
    pub fn new(fleet: Fleet) -> Self {
        Self(Arc::new(Mutex::new(fleet)))
    }

    /// Locks the fleet; the guard must not be held across an await point.
    pub fn lock(&self) -> MutexGuard<'_, Fleet> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
