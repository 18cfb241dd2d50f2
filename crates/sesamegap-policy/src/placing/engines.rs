//! The engines in use and the latest state reported by each.
//!
//! An engine is eligible only if it is listed and not leaving, its latest report shows the
//! requested weights version as loaded, and no failure was seen since that report.

use super::backlog::Backlog;
use super::cost::SLOWNESS_THRESHOLD;
use super::index::{Index, Slot};
use super::ring::{EngineNo, Ring, seed_of};
use super::speed::{self, Speed};
use rustc_hash::FxHashMap;
use sesamegap_wire::engine::{EngineEntry, LoadReport};
use sesamegap_wire::{DomainId, Incarnation, ModelId, Moment, UpstreamId, WeightsVersion};

/// Cache size, in blocks, of an engine with a ring weight of 1; assumed until an engine has reported.
const DEFAULT_CAPACITY: f64 = 256.0;

/// Seconds without progress allowed beyond the time to compute this router's own requests, because
/// the engine may compute peers' requests first.
const PROGRESS_GRACE: f64 = 2.0;

/// Bounds of cache pressure, as eviction ages are learned from few evictions.
const PRESSURE_BOUNDS: (f64, f64) = (0.25, 4.0);

/// Bounds of an engine's ring weight. Reports may be wrong, and one engine must not attract all keys.
const WEIGHT_BOUNDS: (f64, f64) = (0.25, 4.0);

/// Weight of a new sample in the misprediction rate, which covers about the last eight answers.
const MISTAKE_GAIN: f64 = 0.125;

/// Misprediction rate above which index entries are in doubt even though no event gap was seen.
const MISTAKE_THRESHOLD: f64 = 0.4;

/// State of one engine as known to this router.
#[derive(Debug)]
pub struct Engine {
    /// Engine identifier.
    pub id: UpstreamId,
    /// Failure domain of the engine.
    pub domain: DomainId,
    /// Hash seed, the same in every router.
    pub seed: u64,
    /// Slot of its cache in the index.
    pub slot: Slot,
    /// Whether the list of engines marks it as leaving.
    pub leaving: bool,
    /// Latest load report.
    pub report: Option<LoadReport>,
    /// Current incarnation.
    pub incarnation: Incarnation,
    /// Whether a failure was seen since its latest report.
    pub suspect: bool,
    /// Sequence number of the latest cache event applied.
    pub newest_event: Option<u64>,
    /// When a listing was last requested.
    pub listing_requested: Option<Moment>,
    /// Whether index entries are in doubt until a listing arrives.
    pub needs_listing: bool,
    /// Number of this router's cold prefills in progress.
    pub cold_prefills: u32,
    /// Number of this router's requests being computed.
    pub computing: u32,
    /// Recent rate at which its cache held less than predicted.
    pub mistakes: f64,
    /// When one of this router's requests there last made progress.
    pub last_progress: Moment,
    /// Estimated tokens waiting there.
    pub backlog: Backlog,
    /// Learned prefill speed.
    pub speed: Speed,
}

impl Engine {
    /// Records whether its cache held less than predicted.
    pub fn record_prediction(&mut self, overestimated: bool) {
        let seen = if overestimated { 1.0 } else { 0.0 };
        self.mistakes += (seen - self.mistakes) * MISTAKE_GAIN;
    }

    /// Whether the misprediction rate exceeds the threshold; resets the rate if so.
    pub fn take_mistaken(&mut self) -> bool {
        let mistaken = self.mistakes > MISTAKE_THRESHOLD;
        if mistaken {
            self.mistakes = 0.0;
        }
        mistaken
    }

    /// Seconds by which this router's requests there are overdue.
    ///
    /// The estimated backlog of an engine that makes no progress still drains with time. Without
    /// this penalty the engine would look idle and attract all requests for the blocks it holds,
    /// until the silence limit ends the first of them.
    pub fn overdue_seconds(&self, now: Moment) -> f64 {
        let own = self.backlog.own().0 as f64;
        if own <= 0.0 {
            return 0.0;
        }
        let allowed = PROGRESS_GRACE
            + 2.0 * own * self.speed.per_token(speed::DEFAULT_SECONDS_PER_TOKEN, now);
        (now.since(self.last_progress).as_secs_f64() - allowed).max(0.0)
    }

    /// Whether this router's requests there are overdue.
    pub fn stalled(&self, now: Moment) -> bool {
        self.overdue_seconds(now) > 0.0
    }

    /// Capacity of its cache in blocks.
    pub fn capacity(&self) -> u64 {
        self.report.as_ref().map_or(0, |r| r.capacity)
    }

    fn usable(&self) -> bool {
        let here = !self.leaving && !self.suspect;
        here && self.report.as_ref().is_some_and(|r| !r.leaving)
    }

    fn weight(&self) -> f64 {
        let blocks = self
            .report
            .as_ref()
            .map_or(DEFAULT_CAPACITY, |r| r.capacity as f64);
        // Rounded to quarters, so that a small change in a report moves no keys.
        let quarters = (blocks / DEFAULT_CAPACITY * 4.0).round() / 4.0;
        quarters.clamp(WEIGHT_BOUNDS.0, WEIGHT_BOUNDS.1)
    }
}

/// All known engines, indexed by number.
#[derive(Debug)]
pub struct Engines {
    all: Vec<Option<Engine>>,
    /// Seeds by number, stored contiguously because finding a home set reads many of them.
    seeds: Vec<u64>,
    numbers: FxHashMap<UpstreamId, EngineNo>,
    /// Engine of each slot, indexed by slot number.
    by_slot: Vec<Option<EngineNo>>,
    rings: FxHashMap<ModelId, Vec<(WeightsVersion, Ring)>>,
    /// Median seconds per token over the engines.
    pub typical: f64,
    /// Mean eviction age over the engines.
    typical_age: f64,
}

impl Default for Engines {
    fn default() -> Self {
        Self {
            all: Vec::new(),
            seeds: Vec::new(),
            numbers: FxHashMap::default(),
            by_slot: Vec::new(),
            rings: FxHashMap::default(),
            typical: speed::DEFAULT_SECONDS_PER_TOKEN,
            typical_age: 1.0,
        }
    }
}

impl Engines {
    /// Replaces the list of engines; returns the numbers of those removed.
    pub fn set_list(&mut self, entries: &[EngineEntry], index: &mut Index) -> Vec<EngineNo> {
        let listed: FxHashMap<_, _> = entries.iter().map(|e| (&e.id, e)).collect();
        let gone = self.iter().filter(|(_, e)| !listed.contains_key(&e.id));
        let gone: Vec<EngineNo> = gone.map(|(no, _)| no).collect();
        for no in &gone {
            self.remove(*no, index);
        }
        for entry in entries {
            let no = match self.numbers.get(&entry.id) {
                Some(no) => *no,
                None => match self.add(entry, index) {
                    Some(no) => no,
                    None => continue,
                },
            };
            if let Some(engine) = self.get_mut(no) {
                engine.leaving = entry.leaving;
            }
            self.update_rings(no);
        }
        gone
    }

    /// Applies an engine's load report.
    pub fn apply_report(
        &mut self,
        no: EngineNo,
        report: &LoadReport,
        now: Moment,
        index: &mut Index,
    ) {
        self.observe_incarnation(no, report.incarnation, index);
        let typical = self.typical;
        let Some(engine) = self.get_mut(no) else {
            return;
        };
        if report.incarnation < engine.incarnation {
            return;
        }
        let age = u64::try_from(report.age.as_micros()).unwrap_or(u64::MAX);
        let as_of = Moment(now.0.saturating_sub(age));
        let per_token = engine.speed.per_token(typical, now);
        engine
            .backlog
            .apply_report(report.prefill, as_of, per_token);
        engine.report = Some(report.clone());
        engine.suspect = false;
        self.update_rings(no);
    }

    /// Records the engine's incarnation; a new incarnation starts with an empty cache.
    pub fn observe_incarnation(
        &mut self,
        no: EngineNo,
        incarnation: Incarnation,
        index: &mut Index,
    ) {
        let Some(engine) = self.get_mut(no) else {
            return;
        };
        if incarnation <= engine.incarnation {
            return;
        }
        engine.incarnation = incarnation;
        engine.backlog.restart();
        // The models loaded by the previous incarnation may not be loaded now.
        engine.report = None;
        engine.speed = Speed::default();
        engine.newest_event = None;
        engine.needs_listing = false;
        if let Some(slot) = index.open() {
            index.close(engine.slot);
            self.reslot(no, slot);
        }
        self.update_rings(no);
    }

    /// Marks an engine as failed, so that no request is sent to it until it reports again.
    pub fn mark_failed(&mut self, no: EngineNo) {
        if let Some(engine) = self.get_mut(no) {
            engine.suspect = true;
        }
        self.update_rings(no);
    }

    /// Moves an engine's cache to another slot.
    pub fn reslot(&mut self, no: EngineNo, slot: Slot) {
        let Some(engine) = self.get_mut(no) else {
            return;
        };
        let old = engine.slot;
        engine.slot = slot;
        self.by_slot[old.at()] = None;
        self.enter_slot(slot, no);
    }

    fn enter_slot(&mut self, slot: Slot, no: EngineNo) {
        if self.by_slot.len() <= slot.at() {
            self.by_slot.resize(slot.at() + 1, None);
        }
        self.by_slot[slot.at()] = Some(no);
    }

    /// Looks up an engine's number by its identifier.
    pub fn number(&self, id: &UpstreamId) -> Option<EngineNo> {
        self.numbers.get(id).copied()
    }

    /// Returns the engine whose cache uses a slot.
    pub fn engine_at_slot(&self, slot: Slot) -> Option<EngineNo> {
        self.by_slot.get(slot.at()).copied().flatten()
    }

    /// Returns an engine by its number.
    pub fn get(&self, no: EngineNo) -> Option<&Engine> {
        self.all.get(no.at())?.as_ref()
    }

    /// Returns an engine by its number, mutably.
    pub fn get_mut(&mut self, no: EngineNo) -> Option<&mut Engine> {
        self.all.get_mut(no.at())?.as_mut()
    }

    /// Hash seed of an engine, the same in every router.
    pub fn seed(&self, no: EngineNo) -> u64 {
        self.seeds.get(no.at()).copied().unwrap_or(0)
    }

    /// Iterates over all engines and their numbers.
    pub fn iter(&self) -> impl Iterator<Item = (EngineNo, &Engine)> {
        let all = self.all.iter().enumerate();
        all.filter_map(|(at, e)| Some((EngineNo(u16::try_from(at).ok()?), e.as_ref()?)))
    }

    /// Ring of the usable engines that have the given weights version loaded; `None` if there are none.
    pub fn ring(&self, model: &ModelId, version: WeightsVersion) -> Option<&Ring> {
        let rings = self.rings.get(model)?;
        let (_, ring) = rings.iter().find(|(v, _)| *v == version)?;
        (!ring.is_empty()).then_some(ring)
    }

    /// Estimated seconds per token on an engine.
    pub fn per_token(&self, engine: &Engine, now: Moment) -> f64 {
        engine.speed.per_token(self.typical, now)
    }

    /// Health from 0 to 1: 1 at normal speed, decreasing as the engine becomes slower.
    pub fn health(&self, no: EngineNo, now: Moment) -> f64 {
        let Some(engine) = self.get(no) else {
            return 0.0;
        };
        let slowness = self.per_token(engine, now) / self.typical;
        (1.0 + SLOWNESS_THRESHOLD - slowness).clamp(0.0, 1.0)
    }

    /// Cache pressure for an eviction age, relative to the mean over the engines.
    pub fn pressure(&self, age: f64) -> f64 {
        (self.typical_age / age.max(1.0)).clamp(PRESSURE_BOUNDS.0, PRESSURE_BOUNDS.1)
    }

    /// Recomputes the typical speed and eviction age.
    pub fn update_typical(&mut self, index: &Index, now: Moment) {
        let all = self.all.iter().flatten();
        self.typical = speed::typical(all.clone().map(|e| &e.speed), now);
        let (mut sum, mut count) = (0.0, 0.0);
        for engine in all {
            sum += index.eviction_age(engine.slot);
            count += 1.0;
        }
        if count > 0.0 {
            self.typical_age = sum / count;
        }
    }

    fn add(&mut self, entry: &EngineEntry, index: &mut Index) -> Option<EngineNo> {
        let vacant = self.all.iter().position(Option::is_none);
        let at = vacant.unwrap_or(self.all.len());
        let no = EngineNo(u16::try_from(at).ok()?);
        let slot = index.open()?;
        let engine = Engine {
            id: entry.id.clone(),
            domain: entry.domain.clone(),
            seed: seed_of(&entry.id),
            slot,
            leaving: entry.leaving,
            report: None,
            incarnation: Incarnation(0),
            suspect: false,
            newest_event: None,
            listing_requested: None,
            needs_listing: false,
            cold_prefills: 0,
            computing: 0,
            mistakes: 0.0,
            last_progress: Moment(0),
            backlog: Backlog::default(),
            speed: Speed::default(),
        };
        if at == self.all.len() {
            self.all.push(None);
            self.seeds.push(0);
        }
        self.seeds[at] = engine.seed;
        self.all[at] = Some(engine);
        self.numbers.insert(entry.id.clone(), no);
        self.enter_slot(slot, no);
        Some(no)
    }

    fn remove(&mut self, no: EngineNo, index: &mut Index) {
        let Some(engine) = self.all.get_mut(no.at()).and_then(Option::take) else {
            return;
        };
        index.close(engine.slot);
        self.by_slot[engine.slot.at()] = None;
        self.numbers.remove(&engine.id);
        for (_, ring) in self.rings.values_mut().flatten() {
            ring.remove(no);
        }
    }

    /// Adds an engine to the rings of the weights versions it has loaded and removes it from all others.
    fn update_rings(&mut self, no: EngineNo) {
        let Some(engine) = self.all.get(no.at()).and_then(Option::as_ref) else {
            return;
        };
        let usable = engine.usable();
        let (seed, weight) = (engine.seed, engine.weight());
        let loaded = engine.report.as_ref().map_or(&[][..], |r| &r.loaded);
        for (model, rings) in &mut self.rings {
            for (version, ring) in rings.iter_mut() {
                let holds = loaded.iter().any(|(m, v)| m == model && v == version);
                if !usable || !holds {
                    ring.remove(no);
                }
            }
            rings.retain(|(_, ring)| !ring.is_empty());
        }
        self.rings.retain(|_, rings| !rings.is_empty());
        if !usable {
            return;
        }
        for (model, version) in loaded {
            let rings = self.rings.entry(model.clone()).or_default();
            let at = rings.iter().position(|(v, _)| v == version);
            let at = at.unwrap_or_else(|| {
                rings.push((*version, Ring::default()));
                rings.len() - 1
            });
            rings[at].1.set(no, seed, weight);
        }
    }
}
