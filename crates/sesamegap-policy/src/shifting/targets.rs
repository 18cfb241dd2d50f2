//! Which engines should hold each model.

use super::{EngineView, Fleet};
use sesamegap_settings::ModelSpec;
use sesamegap_wire::{DomainId, ModelId, UpstreamId};
use std::cmp::{Ordering, Reverse};
use std::collections::{BTreeMap, BTreeSet};

/// Capacity kept for a model above its demand: what one of four engines failing takes away.
const HEADROOM: f64 = 1.33;

/// Capacity above which a model gives engines back; the gap to [`HEADROOM`] keeps demand that
/// goes up and down by a third from moving weights.
const AMPLE: f64 = 1.8;

/// Engines that should hold each model.
pub type Targets = BTreeMap<ModelId, BTreeSet<UpstreamId>>;

/// Works out which engines should hold each model.
///
/// An engine that no model needs holds one all the same, so that it is no worse off for a burst.
/// Each model first gets the fewest engines that settings ask for, then the one that is
/// furthest from its need gets the next engine, until needs are met or slots used up. So when
/// there are too few slots, all models are short by a like part and none is left without.
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
            draft.spread();
            return draft.targets;
        };
        if !draft.add(model) {
            open.remove(model);
        }
    }
}

fn allowed<'a>(fleet: Fleet<'a>, spec: &ModelSpec) -> impl Iterator<Item = &'a EngineView> {
    let engines = fleet.engines.iter().filter(|engine| !engine.leaving);
    engines.filter(|engine| spec.engines.is_empty() || spec.engines.contains(&engine.id))
}

/// Engines that a model needs for its demand.
#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "demand and capacity are above zero and a float cast saturates"
)]
fn need(fleet: Fleet<'_>, model: &ModelId, spec: &ModelSpec) -> usize {
    let usable: Vec<_> = allowed(fleet, spec).collect();
    let capacity: f64 = usable.iter().map(|engine| engine.capacity).sum();
    let each = (capacity / usable.len().max(1) as f64).max(1.0);
    let demand = fleet.demand.get(model).copied().unwrap_or(0.0).max(0.0);
    let engines = |room: f64| (demand * room / each).ceil() as usize;
    let held = usable.iter().filter(|engine| engine.holds(model)).count();
    let need = held.clamp(engines(HEADROOM), engines(AMPLE));
    need.max(spec.least as usize).min(usable.len())
}

/// Targets in the making.
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

    /// Gives a model one more engine, if there is one.
    ///
    /// Failure domains with fewest copies go first, so that a lost domain takes as little of
    /// the model as it can; then engines that hold it, so that nothing moves without need; then
    /// a hash, so that each planner picks the same.
    fn add(&mut self, model: &ModelId) -> bool {
        let spec = &self.fleet.models[model];
        let chosen = &self.targets[model];
        let open = allowed(self.fleet, spec)
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

    /// Gives each engine that holds nothing a model.
    ///
    /// Made for the quiet hours: an engine that stands idle computes nothing and caches nothing,
    /// and the first minute of the next burst would find it empty. One that holds a model already
    /// keeps it; else it gets the model with most demand for each of its engines.
    fn spread(&mut self) {
        let fleet = self.fleet;
        let idle = |engine: &&EngineView| !engine.leaving && self.free[&engine.id] == engine.slots;
        let idle: Vec<&EngineView> = fleet.engines.iter().filter(idle).collect();
        for engine in idle {
            let models = fleet.models.iter();
            let fits = models
                .filter(|(_, spec)| spec.engines.is_empty() || spec.engines.contains(&engine.id));
            let best = fits.map(|(model, _)| model).max_by(|a, b| {
                let key = |model| (engine.holds(model), self.pressure(model));
                key(a).partial_cmp(&key(b)).unwrap_or(Ordering::Equal)
            });
            if let Some(chosen) = best.and_then(|model| self.targets.get_mut(model)) {
                chosen.insert(engine.id.clone());
            }
        }
    }

    /// Demand for each engine of a model.
    fn pressure(&self, model: &ModelId) -> f64 {
        let demand = self.fleet.demand.get(model).copied().unwrap_or(0.0);
        (demand + 1.0) / (self.count(model) + 1) as f64
    }

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
