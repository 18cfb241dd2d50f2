//! Computes which engines should hold each model.

use super::{EngineView, Fleet};
use sesamegap_settings::ModelSpec;
use sesamegap_wire::{DomainId, ModelId, UpstreamId};
use std::cmp::{Ordering, Reverse};
use std::collections::{BTreeMap, BTreeSet};

/// Minimum ratio of capacity to demand: covers the loss of one of four engines.
const HEADROOM: f64 = 1.33;

/// Ratio of capacity to demand above which a model releases engines. The gap to [`HEADROOM`] is
/// hysteresis: demand that fluctuates by a third doesn't move weights.
const RELEASE_HEADROOM: f64 = 1.8;

/// Engines that should hold each model.
pub type Targets = BTreeMap<ModelId, BTreeSet<UpstreamId>>;

/// Computes which engines should hold each model.
///
/// Each model first gets the minimum number of engines in the settings. Then the model with the
/// lowest ratio of engines to its need gets the next one, until all needs are met or no slots are
/// left, so that with too few slots all models are short by a similar ratio and none gets nothing.
/// An engine that no model needs is still assigned one, to be ready for a burst.
pub fn targets(fleet: Fleet<'_>) -> Targets {
    let mut draft = Draft::new(fleet);
    let needs: BTreeMap<_, _> = fleet
        .models
        .iter()
        .map(|(model, spec)| (model, need(fleet, model, spec)))
        .collect();
    for (model, need) in &needs {
        let least = fleet.models[*model].least as usize;
        while draft.count(model) < least.min(*need) && draft.add(model) {}
    }
    let mut open: BTreeSet<_> = needs.keys().copied().collect();
    loop {
        let short = open.iter().map(|model| (draft.count(model), *model));
        let short = short.filter(|(count, model)| *count < needs[*model]);
        let furthest = short.min_by_key(|(count, model)| (count * 1_000 / needs[*model], *model));
        let Some((_, model)) = furthest else {
            draft.assign_idle();
            return draft.targets;
        };
        if !draft.add(model) {
            open.remove(model);
        }
    }
}

fn eligible<'a>(fleet: Fleet<'a>, spec: &ModelSpec) -> impl Iterator<Item = &'a EngineView> {
    let engines = fleet.engines.iter().filter(|engine| !engine.leaving);
    engines.filter(|engine| spec.engines.is_empty() || spec.engines.contains(&engine.id))
}

/// Number of engines that a model needs for its demand.
#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "demand and capacity are above zero and a float cast saturates"
)]
fn need(fleet: Fleet<'_>, model: &ModelId, spec: &ModelSpec) -> usize {
    let usable: Vec<_> = eligible(fleet, spec).collect();
    let capacity: f64 = usable.iter().map(|engine| engine.capacity).sum();
    let each = (capacity / usable.len().max(1) as f64).max(1.0);
    let demand = fleet.demand.get(model).copied().unwrap_or(0.0).max(0.0);
    let engines = |headroom: f64| (demand * headroom / each).ceil() as usize;
    let held = usable.iter().filter(|engine| engine.holds(model)).count();
    let need = held.clamp(engines(HEADROOM), engines(RELEASE_HEADROOM));
    need.max(spec.least as usize).min(usable.len())
}

/// Partially assigned targets with the free slots of each engine.
struct Draft<'a> {
    fleet: Fleet<'a>,
    targets: Targets,
    free: BTreeMap<&'a UpstreamId, usize>,
}

impl<'a> Draft<'a> {
    fn new(fleet: Fleet<'a>) -> Self {
        let models = fleet.models.keys();
        Self {
            fleet,
            targets: models
                .map(|model| (model.clone(), BTreeSet::new()))
                .collect(),
            free: fleet.engines.iter().map(|e| (&e.id, e.slots)).collect(),
        }
    }

    fn count(&self, model: &ModelId) -> usize {
        self.targets[model].len()
    }

    /// Assigns one more engine to a model; returns `false` if no engine is available.
    ///
    /// Prefers failure domains with the fewest copies, so that the loss of a domain takes as few
    /// copies as possible; then engines that already hold the model, to avoid needless moves; then
    /// the highest rendezvous score, so that every planner picks the same engine.
    fn add(&mut self, model: &ModelId) -> bool {
        let spec = &self.fleet.models[model];
        let chosen = &self.targets[model];
        let open = eligible(self.fleet, spec)
            .filter(|engine| self.free[&engine.id] > 0 && !chosen.contains(&engine.id));
        let best = open.min_by_key(|engine| {
            let copies = self.copies(model, &engine.domain);
            let score = Reverse(score(model, &engine.id));
            (copies, !engine.holds(model), score)
        });
        let Some(engine) = best else {
            return false;
        };
        if let Some(free) = self.free.get_mut(&engine.id) {
            *free -= 1;
        }
        if let Some(chosen) = self.targets.get_mut(model) {
            chosen.insert(engine.id.clone());
        }
        true
    }

    /// Assigns a model to each engine that has none.
    ///
    /// Without this, an engine that isn't needed at low demand would have no weights and an empty
    /// cache for the first minute of the next burst. An engine that already holds a model keeps it;
    /// otherwise it gets the model with the highest demand per engine.
    fn assign_idle(&mut self) {
        let fleet = self.fleet;
        let idle = |engine: &&EngineView| !engine.leaving && self.free[&engine.id] == engine.slots;
        let idle: Vec<&EngineView> = fleet.engines.iter().filter(idle).collect();
        for engine in idle {
            let models = fleet.models.iter();
            let fits = models
                .filter(|(_, spec)| spec.engines.is_empty() || spec.engines.contains(&engine.id));
            let best = fits.map(|(model, _)| model).max_by(|a, b| {
                let key = |model| (engine.holds(model), self.demand_per_engine(model));
                key(a).partial_cmp(&key(b)).unwrap_or(Ordering::Equal)
            });
            if let Some(chosen) = best.and_then(|model| self.targets.get_mut(model)) {
                chosen.insert(engine.id.clone());
            }
        }
    }

    /// Demand per engine of a model, with one more engine.
    fn demand_per_engine(&self, model: &ModelId) -> f64 {
        let demand = self.fleet.demand.get(model).copied().unwrap_or(0.0);
        (demand + 1.0) / (self.count(model) + 1) as f64
    }

    /// Number of engines in a failure domain that are assigned to a model.
    fn copies(&self, model: &ModelId, domain: &DomainId) -> usize {
        let engines = self.fleet.engines.iter();
        let there = engines.filter(|engine| engine.domain == *domain);
        there
            .filter(|engine| self.targets[model].contains(&engine.id))
            .count()
    }
}

/// Rendezvous score of an engine for a model.
fn score(model: &ModelId, engine: &UpstreamId) -> u64 {
    let mut hasher = blake3::Hasher::new();
    for name in [model.as_str(), engine.as_str()] {
        hasher.update(&(name.len() as u64).to_le_bytes());
        hasher.update(name.as_bytes());
    }
    let mut half = [0; 8];
    half.copy_from_slice(&hasher.finalize().as_bytes()[..8]);
    u64::from_le_bytes(half)
}
