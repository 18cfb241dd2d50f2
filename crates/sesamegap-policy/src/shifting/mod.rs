//! Assignment of models and weights versions to engines.
//!
//! [`plan`] compares the current fleet with its targets and returns the next few orders; it is
//! called again whenever something has changed. It is stateless: the same fleet gives the same
//! orders, so a new holder of the controller's lease continues where the previous one stopped, and
//! a lost order is issued again. Orders are idempotent, as each states a desired state.
//!
//! [`targets()`] computes which engines should hold each model: enough for its demand and never
//! fewer than the settings require, spread over failure domains, preferably where the model is
//! already loaded. The rest of this module moves the fleet towards the targets without disrupting
//! service:
//!
//! - **At most two concurrent loads.** The weight store is rate-limited, and a third concurrent
//!   load slows down all of them.
//! - **The last holder keeps its copy.** A copy of a model in use is dropped only if others remain.
//! - **One failure domain at a time**, unless a model in use has no holder at all: if a domain
//!   fails during a change, the others must be intact.
//! - **Minimum residency.** Weights that the settings want are not dropped soon after an engine has
//!   changed, as fluctuating demand would otherwise keep reloading weights and leave caches cold.
//! - **Old weights are dropped last.** A new version is loaded beside the old one where there is
//!   room, and the old one is dropped when enough engines hold the new one. Without room for both,
//!   one engine at a time drops the old version first, while the others continue to serve it. If
//!   the only holder of a model has room for one version, the new one is not rolled out to it: a
//!   rollout then needs a second engine.
//!
//! While a version is rolled out, [`select_version`] picks the version that serves a request.

mod serving;
mod targets;

pub use serving::select_version;
pub use targets::{Targets, targets};

use sesamegap_settings::ModelSpec;
use sesamegap_wire::engine::Wanted;
use sesamegap_wire::{DomainId, Incarnation, ModelId, Moment, UpstreamId, WeightsVersion};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Maximum concurrent loads: users measured that more than two slow each other down.
pub const MAX_CONCURRENT_LOADS: usize = 2;

/// Minimum time between a change of an engine's weights and the next drop: a hundred times the load
/// time, so that loading takes at most a hundredth of its capacity.
pub const MIN_RESIDENCY: Duration = Duration::from_mins(1);

/// State of one engine, as input to the planner.
#[derive(Debug, Clone, PartialEq)]
pub struct EngineView {
    /// The engine.
    pub id: UpstreamId,
    /// Failure domain of the engine.
    pub domain: DomainId,
    /// Current incarnation.
    pub incarnation: Incarnation,
    /// Number of weights it can hold at once; each version of a model counts.
    pub slots: usize,
    /// Prompt tokens per second that it can serve.
    pub capacity: f64,
    /// Loaded weights.
    pub loaded: BTreeSet<(ModelId, WeightsVersion)>,
    /// Whether a load is in progress, or was ordered and is not yet reported.
    pub loading: bool,
    /// Whether it is draining and accepts no new requests.
    pub leaving: bool,
    /// Time of the last known change of its weights.
    pub since: Moment,
}

impl EngineView {
    /// Whether any version of a model is loaded.
    pub fn holds(&self, model: &ModelId) -> bool {
        self.loaded.iter().any(|(held, _)| held == model)
    }

    fn has(&self, model: &ModelId, version: WeightsVersion) -> bool {
        self.loaded.contains(&(model.clone(), version))
    }

    /// The lowest loaded version of a model above a given one.
    fn version_after(&self, model: &ModelId, version: WeightsVersion) -> Option<WeightsVersion> {
        let mut held = self.loaded.iter();
        let next = held.find(|(held, other)| held == model && *other > version)?;
        Some(next.1)
    }

    fn has_free_slot(&self) -> bool {
        self.loaded.len() + usize::from(self.loading) < self.slots
    }
}

/// State of the fleet, as input to the planner.
#[derive(Debug, Clone, Copy)]
pub struct Fleet<'a> {
    /// Live engines.
    pub engines: &'a [EngineView],
    /// Models in the settings.
    pub models: &'a BTreeMap<ModelId, ModelSpec>,
    /// Demand of each model, in prompt tokens per second.
    pub demand: &'a BTreeMap<ModelId, f64>,
    /// Current time.
    pub now: Moment,
}

impl Fleet<'_> {
    /// Whether a model has demand or a minimum number of engines.
    fn in_use(&self, model: &ModelId) -> bool {
        let demand = self.demand.get(model).copied().unwrap_or(0.0);
        let spec = self.models.get(model);
        spec.is_some_and(|spec| spec.least > 0 || demand > 0.0)
    }
}

/// An order for one engine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EngineOrder {
    /// The engine.
    pub engine: UpstreamId,
    /// The desired state.
    pub wanted: Wanted,
}

/// Returns the next orders; none if the fleet matches its targets or earlier changes must finish
/// first.
pub fn plan(fleet: Fleet<'_>) -> Vec<EngineOrder> {
    let targets = targets(fleet);
    let mut planner = Planner {
        fleet,
        targets: &targets,
        engines: fleet.engines.to_vec(),
        orders: Vec::new(),
        changing_domains: BTreeSet::new(),
    };
    planner.changing_domains = planner.loading_domains();
    planner.loads();
    planner.drops();
    planner.orders
}

/// Collects orders towards the targets; `engines` is the fleet with the orders so far applied.
struct Planner<'a> {
    fleet: Fleet<'a>,
    targets: &'a Targets,
    engines: Vec<EngineView>,
    orders: Vec<EngineOrder>,
    changing_domains: BTreeSet<DomainId>,
}

impl Planner<'_> {
    fn loading_domains(&self) -> BTreeSet<DomainId> {
        let loading = self.engines.iter().filter(|engine| engine.loading);
        loading.map(|engine| engine.domain.clone()).collect()
    }

    /// Whether a domain may be changed without changing two at once.
    fn may_change(&self, domain: &DomainId) -> bool {
        self.changing_domains.iter().all(|other| other == domain)
    }

    /// Orders loads into free slots, models with the fewest holders first.
    fn loads(&mut self) {
        let mut models: Vec<_> = self.targets.keys().collect();
        models.sort_by_key(|model| (self.holders(model), *model));
        for model in models {
            let version = self.fleet.models[model].version;
            for id in &self.targets[model] {
                self.load(id, model, version);
            }
        }
    }

    fn load(&mut self, id: &UpstreamId, model: &ModelId, version: WeightsVersion) {
        let loading = self.engines.iter().filter(|engine| engine.loading).count();
        let urgent = self.holders(model) == 0 && self.fleet.in_use(model);
        let Some(at) = self.engines.iter().position(|engine| engine.id == *id) else {
            return;
        };
        let engine = &self.engines[at];
        let can_load = !engine.has(model, version) && !engine.loading && engine.has_free_slot();
        let allowed = urgent || self.may_change(&engine.domain);
        if !can_load || loading >= MAX_CONCURRENT_LOADS || !allowed {
            return;
        }
        self.changing_domains.insert(engine.domain.clone());
        self.engines[at].loading = true;
        let model = model.clone();
        self.order(at, Wanted::Load { model, version });
    }

    /// Orders drops of old versions that are no longer needed, and of weights that occupy slots
    /// needed by the targets.
    fn drops(&mut self) {
        for at in 0..self.engines.len() {
            let engine = &self.engines[at];
            if engine.loading || engine.leaving || !self.may_change(&engine.domain) {
                continue;
            }
            let settled = self.fleet.now.since(engine.since) >= MIN_RESIDENCY;
            let Some((model, below)) = self.droppable(at, settled) else {
                continue;
            };
            let engine = &mut self.engines[at];
            self.changing_domains.insert(engine.domain.clone());
            engine
                .loaded
                .retain(|(held, version)| *held != model || *version >= below);
            self.order(at, Wanted::Drop { model, below });
        }
    }

    /// A model that an engine may drop now, with the lowest version to keep.
    ///
    /// The minimum residency limits changes that follow demand. It doesn't protect outdated
    /// versions if a later one remains, because they may occupy the slot of the current version:
    /// the second of two versions published within a minute would be delayed without apparent
    /// reason.
    fn droppable(&self, at: usize, settled: bool) -> Option<(ModelId, WeightsVersion)> {
        let engine = &self.engines[at];
        let needs_slot = !engine.has_free_slot() && self.lacks_target(engine);
        engine.loaded.iter().find_map(|(model, version)| {
            let Some(spec) = self.fleet.models.get(model) else {
                // The model was removed from the settings: drop it when its slot is needed.
                return needs_slot.then(|| (model.clone(), WeightsVersion(u32::MAX)));
            };
            let can_be_spared = self.others(at, model) >= self.min_remaining(model);
            if *version < spec.version {
                if settled && self.current(model) >= self.required_current(model) {
                    return Some((model.clone(), spec.version));
                }
                let next = engine.version_after(model, *version);
                let below = next.unwrap_or(spec.version).min(spec.version);
                // If a later version remains, the engine continues to serve the model.
                let may_drop = needs_slot && (next.is_some() || (settled && can_be_spared));
                return may_drop.then(|| (model.clone(), below));
            }
            let is_targeted = self.is_target(model, &engine.id);
            let is_unneeded = settled && needs_slot && !is_targeted && can_be_spared;
            is_unneeded.then(|| (model.clone(), WeightsVersion(u32::MAX)))
        })
    }

    /// Whether an engine is missing weights that its targets require.
    fn lacks_target(&self, engine: &EngineView) -> bool {
        let mut targets = self.targets.iter();
        targets.any(|(model, engines)| {
            engines.contains(&engine.id) && !engine.has(model, self.fleet.models[model].version)
        })
    }

    fn is_target(&self, model: &ModelId, engine: &UpstreamId) -> bool {
        let engines = self.targets.get(model);
        engines.is_some_and(|engines| engines.contains(engine))
    }

    /// Number of engines that serve any version of a model.
    fn holders(&self, model: &ModelId) -> usize {
        let serving = self.engines.iter().filter(|engine| !engine.leaving);
        serving.filter(|engine| engine.holds(model)).count()
    }

    /// Number of other engines that serve any version of a model.
    fn others(&self, at: usize, model: &ModelId) -> usize {
        self.holders(model) - usize::from(self.engines[at].holds(model))
    }

    /// Number of engines that serve the version of a model that the settings want.
    fn current(&self, model: &ModelId) -> usize {
        let version = self.fleet.models[model].version;
        let serving = self.engines.iter().filter(|engine| !engine.leaving);
        serving.filter(|engine| engine.has(model, version)).count()
    }

    /// Number of engines that must hold the new version before old copies are dropped.
    fn required_current(&self, model: &ModelId) -> usize {
        self.targets.get(model).map_or(1, BTreeSet::len).max(1)
    }

    /// Number of engines that must still serve a model while one drops it to free a slot.
    fn min_remaining(&self, model: &ModelId) -> usize {
        if !self.fleet.in_use(model) {
            return 0;
        }
        let least = self.fleet.models[model].least as usize;
        least.saturating_sub(1).max(1)
    }

    fn order(&mut self, at: usize, wanted: Wanted) {
        let engine = self.engines[at].id.clone();
        self.orders.push(EngineOrder { engine, wanted });
    }
}
