//! The engines in use and what each has said of itself.
//!
//! An engine may be chosen only while the list names it, it is not leaving, its last report
//! shows the weights, and nothing has failed there since that report.

use super::backlog::Backlog;
use super::cost::SLOWNESS_THRESHOLD;
use super::index::{Index, Slot};
use super::ring::{EngineNo, Ring, seed_of};
use super::speed::{self, Speed};
use rustc_hash::FxHashMap;
use sesamegap_wire::engine::{EngineEntry, LoadReport};
use sesamegap_wire::{DomainId, Incarnation, ModelId, Moment, UpstreamId, WeightsVersion};

/// Cache size of an engine of ordinary weight, in blocks, until reports tell.
const DEFAULT_CAPACITY: f64 = 256.0;

/// Seconds without progress that are nothing unusual, beside the time to compute what was sent:
/// peers' work may go first.
const PROGRESS_GRACE: f64 = 2.0;

/// Bounds of the pressure on a cache: ages are learned from few evictions.
const PRESSURE_BOUNDS: (f64, f64) = (0.25, 4.0);

/// Bounds of an engine's weight: reports may be wrong, and one engine must not draw all keys.
const WEIGHT_BOUNDS: (f64, f64) = (0.25, 4.0);

/// Weight of a new answer in the share of mistakes: about the last eight count.
const MISTAKE_GAIN: f64 = 0.125;

/// Share of mistakes from which entries are in doubt although no event seems lost.
const MISTAKE_THRESHOLD: f64 = 0.4;

/// An engine as this router knows it.
#[derive(Debug)]
pub struct Engine {
    /// Its name.
    pub id: UpstreamId,
    /// Its failure domain.
    pub domain: DomainId,
    /// A number for hashing that is the same in every router.
    pub seed: u64,
    /// Where its cache stands in the index.
    pub slot: Slot,
    /// Whether the list says that it leaves.
    pub leaving: bool,
    /// Its last report.
    pub report: Option<LoadReport>,
    /// Its present life.
    pub incarnation: Incarnation,
    /// Whether something failed there since its last report.
    pub suspect: bool,
    /// Number of the newest cache event taken in.
    pub newest: Option<u64>,
    /// When a listing was last asked for.
    pub listing_requested: Option<Moment>,
    /// Whether a listing is wanted.
    pub needs_listing: bool,
    /// Own long prefills under way.
    pub cold: u32,
    /// Own requests that are being computed.
    pub computing: u32,
    /// How often its cache fell short of what was believed, lately.
    pub mistakes: f64,
    /// When an own request there last showed progress.
    pub last_progress: Moment,
    /// What waits there.
    pub backlog: Backlog,
    /// How fast it computes.
    pub speed: Speed,
}

impl Engine {
    /// Learns whether its cache fell short of what was believed.
    pub fn record_prediction(&mut self, overestimated: bool) {
        let seen = if overestimated { 1.0 } else { 0.0 };
        self.mistakes += (seen - self.mistakes) * MISTAKE_GAIN;
    }

    /// Whether what is believed of it is mostly wrong; true once for each such finding.
    pub fn take_mistaken(&mut self) -> bool {
        let take_mistaken = self.mistakes > MISTAKE_THRESHOLD;
        if take_mistaken {
            self.mistakes = 0.0;
        }
        take_mistaken
    }

    /// Seconds by which own requests there are overdue.
    ///
    /// A silent engine's backlog seems to drain by the clock, so it would look idle and draw all
    /// requests for what it holds until the silence limit ends the first of them.
    pub fn overdue_seconds(&self, now: Moment) -> f64 {
        let own = self.backlog.own().0 as f64;
        if own <= 0.0 {
            return 0.0;
        }
        let allowed = PROGRESS_GRACE
            + 2.0 * own * self.speed.per_token(speed::DEFAULT_SECONDS_PER_TOKEN, now);
        (now.since(self.last_progress).as_secs_f64() - allowed).max(0.0)
    }

    /// Whether own requests there are overdue.
    pub fn stalled(&self, now: Moment) -> bool {
        self.overdue_seconds(now) > 0.0
    }

    /// Blocks that its cache can hold.
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
        // Quarters, so that a small change of a report moves no keys.
        let quarters = (blocks / DEFAULT_CAPACITY * 4.0).round() / 4.0;
        quarters.clamp(WEIGHT_BOUNDS.0, WEIGHT_BOUNDS.1)
    }
}

/// All engines, by number.
#[derive(Debug)]
pub struct Engines {
    all: Vec<Option<Engine>>,
    /// Seeds by number, close together: a home set reads many of them.
    seeds: Vec<u64>,
    numbers: FxHashMap<UpstreamId, EngineNo>,
    /// The engine of each slot, by the slot's number.
    by_slot: Vec<Option<EngineNo>>,
    rings: FxHashMap<ModelId, Vec<(WeightsVersion, Ring)>>,
    /// Seconds a token takes on the middle engine.
    pub typical: f64,
    /// Mean age at which engines evict.
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
    /// Takes the list of engines in place of the former one; gives the numbers that are gone.
    pub fn list(&mut self, entries: &[EngineEntry], index: &mut Index) -> Vec<EngineNo> {
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

    /// Takes an engine's report of itself.
    pub fn report(&mut self, no: EngineNo, report: &LoadReport, now: Moment, index: &mut Index) {
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
        engine.backlog.report(report.prefill, as_of, per_token);
        engine.report = Some(report.clone());
        engine.suspect = false;
        self.update_rings(no);
    }

    /// Notes the life an engine is in; a new one has an empty cache.
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
        // What the former life had loaded says nothing of this one.
        engine.report = None;
        engine.speed = Speed::default();
        engine.newest = None;
        engine.needs_listing = false;
        if let Some(slot) = index.open() {
            index.close(engine.slot);
            self.reslot(no, slot);
        }
        self.update_rings(no);
    }

    /// Notes that an engine failed, so that nothing goes there until it reports again.
    pub fn mark_failed(&mut self, no: EngineNo) {
        if let Some(engine) = self.get_mut(no) {
            engine.suspect = true;
        }
        self.update_rings(no);
    }

    /// Gives an engine's cache another slot.
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

    /// The number of an engine.
    pub fn number(&self, id: &UpstreamId) -> Option<EngineNo> {
        self.numbers.get(id).copied()
    }

    /// The engine whose cache has a slot.
    pub fn engine_at_slot(&self, slot: Slot) -> Option<EngineNo> {
        self.by_slot.get(slot.at()).copied().flatten()
    }

    /// An engine by its number.
    pub fn get(&self, no: EngineNo) -> Option<&Engine> {
        self.all.get(no.at())?.as_ref()
    }

    /// An engine by its number, to change.
    pub fn get_mut(&mut self, no: EngineNo) -> Option<&mut Engine> {
        self.all.get_mut(no.at())?.as_mut()
    }

    /// A number for hashing that an engine has in every router.
    pub fn seed(&self, no: EngineNo) -> u64 {
        self.seeds.get(no.at()).copied().unwrap_or(0)
    }

    /// All engines with their numbers.
    pub fn iter(&self) -> impl Iterator<Item = (EngineNo, &Engine)> {
        let all = self.all.iter().enumerate();
        all.filter_map(|(at, e)| Some((EngineNo(u16::try_from(at).ok()?), e.as_ref()?)))
    }

    /// The ring of engines that hold some weights and take work.
    pub fn ring(&self, model: &ModelId, version: WeightsVersion) -> Option<&Ring> {
        let rings = self.rings.get(model)?;
        let (_, ring) = rings.iter().find(|(v, _)| *v == version)?;
        (!ring.is_empty()).then_some(ring)
    }

    /// Seconds a token takes on an engine.
    pub fn per_token(&self, engine: &Engine, now: Moment) -> f64 {
        engine.speed.per_token(self.typical, now)
    }

    /// How far an engine counts as sound: 1 at an ordinary speed, less as it gets slower.
    pub fn health(&self, no: EngineNo, now: Moment) -> f64 {
        let Some(engine) = self.get(no) else {
            return 0.0;
        };
        let slowness = self.per_token(engine, now) / self.typical;
        (1.0 + SLOWNESS_THRESHOLD - slowness).clamp(0.0, 1.0)
    }

    /// How soon an engine evicts, that does so at some age, in relation to the others.
    pub fn pressure(&self, age: f64) -> f64 {
        (self.typical_age / age.max(1.0)).clamp(PRESSURE_BOUNDS.0, PRESSURE_BOUNDS.1)
    }

    /// Learns anew what speed and what eviction age are typical.
    pub fn tend(&mut self, index: &Index, now: Moment) {
        let all = self.all.iter().flatten();
        self.typical = speed::typical(all.clone().map(|e| &e.speed), now);
        let (mut sum, mut count) = (0.0, 0.0);
        for engine in all {
            sum += index.age(engine.slot);
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
            newest: None,
            listing_requested: None,
            needs_listing: false,
            cold: 0,
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

    /// Puts an engine on the rings of the weights it holds, and off all others.
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
