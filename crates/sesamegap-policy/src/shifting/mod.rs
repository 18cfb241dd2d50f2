//! Which engine holds which model and version.
//!
//! [`plan`] looks at the fleet as it is now and says which orders to give next, a few at a time;
//! it is asked again whenever something has changed. It keeps no record: whoever holds the
//! controller's lease gets the same answer from the same fleet, so a new holder goes on where the
//! old one stopped, and an order that was lost is simply given again. An order states a wanted
//! state, so one that arrives twice does no harm.
//!
//! [`targets`] says which engines should hold each model: enough for its demand and never fewer
//! than settings say, spread over failure domains, where it is loaded already if possible. The
//! rest of this module steps towards that without breaking what runs:
//!
//! - **At most two loads at once.** The weight store is rate-limited, and a third load at a time
//!   slows all of them.
//! - **Never the last holder.** A copy of a model in use is dropped only if others remain.
//! - **One failure domain at a time**, unless a model in use has no holder at all: a domain that
//!   fails in the middle of a change must find the others whole.
//! - **A minimum stay.** What settings want is not dropped soon after an engine has changed, or
//!   demand that goes up and down would keep weights loading and caches cold.
//! - **Old weights last.** A new version is loaded beside the old one where there is room, and
//!   the old one goes when enough engines hold the new one. Without room for both, one engine at
//!   a time gives up the old one first, while the others go on serving it. An engine that alone
//!   holds a model, with room for one, is never rolled: that takes a second engine.
//!
//! While a version is rolled, [`serving`] says which one answers a request.

mod serving;
mod targets;

pub use serving::serving;
pub use targets::{Targets, targets};

use sesamegap_settings::ModelSpec;
use sesamegap_wire::engine::Wanted;
use sesamegap_wire::{DomainId, Incarnation, ModelId, Moment, UpstreamId, WeightsVersion};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Loads under way at once: the users measured that more than two slow each other down.
pub const MOST_LOADS: usize = 2;

/// Time for which an engine keeps what it holds: a hundred times what loading takes, so that
/// loading costs at most a hundredth of its work.
pub const LEAST_STAY: Duration = Duration::from_mins(1);

/// One engine as the planner sees it.
#[derive(Debug, Clone, PartialEq)]
pub struct EngineView {
    /// The engine.
    pub id: UpstreamId,
    /// Failure domain it stands in.
    pub domain: DomainId,
    /// Present incarnation.
    pub incarnation: Incarnation,
    /// Models that it can hold at once, each version counted.
    pub slots: usize,
    /// Prompt tokens a second that it can serve.
    pub capacity: f64,
    /// Weights loaded.
    pub loaded: BTreeSet<(ModelId, WeightsVersion)>,
    /// Whether a load is under way, or was ordered and is not yet reported.
    pub loading: bool,
    /// Whether it takes no new work.
    pub leaving: bool,
    /// When what it holds last changed, as far as the observer knows.
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

    /// The version of a model that is held next after a given one.
    fn version_after(&self, model: &ModelId, version: WeightsVersion) -> Option<WeightsVersion> {
        let mut held = self.loaded.iter();
        let next = held.find(|(held, other)| held == model && *other > version)?;
        Some(next.1)
    }

    fn free(&self) -> bool {
        self.loaded.len() + usize::from(self.loading) < self.slots
    }
}

/// What the planner knows.
#[derive(Debug, Clone, Copy)]
pub struct Fleet<'a> {
    /// Live engines.
    pub engines: &'a [EngineView],
    /// Models by settings.
    pub models: &'a BTreeMap<ModelId, ModelSpec>,
    /// Demand of each model in prompt tokens a second.
    pub demand: &'a BTreeMap<ModelId, f64>,
    /// The present.
    pub now: Moment,
}

impl Fleet<'_> {
    /// Whether callers may ask for a model.
    fn in_use(&self, model: &ModelId) -> bool {
        let demand = self.demand.get(model).copied().unwrap_or(0.0);
        let spec = self.models.get(model);
        spec.is_some_and(|spec| spec.least > 0 || demand > 0.0)
    }
}

/// An order to one engine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EngineOrder {
    /// The engine.
    pub engine: UpstreamId,
    /// The state it is ordered into.
    pub wanted: Wanted,
}

/// The orders to give next; none if the fleet is as it should be or has to settle first.
pub fn plan(fleet: Fleet<'_>) -> Vec<EngineOrder> {
    let targets = targets(fleet);
    let mut planner = Planner {
        fleet,
        targets: &targets,
        engines: fleet.engines.to_vec(),
        orders: Vec::new(),
        disturbed: BTreeSet::new(),
    };
    planner.disturbed = planner.loading_domains();
    planner.loads();
    planner.drops();
    planner.orders
}

/// Steps towards the targets; `engines` shows the fleet with the orders so far carried out.
struct Planner<'a> {
    fleet: Fleet<'a>,
    targets: &'a Targets,
    engines: Vec<EngineView>,
    orders: Vec<EngineOrder>,
    disturbed: BTreeSet<DomainId>,
}

impl Planner<'_> {
    fn loading_domains(&self) -> BTreeSet<DomainId> {
        let loading = self.engines.iter().filter(|engine| engine.loading);
        loading.map(|engine| engine.domain.clone()).collect()
    }

    /// Whether a domain may be touched without touching two at once.
    fn may_touch(&self, domain: &DomainId) -> bool {
        self.disturbed.iter().all(|other| other == domain)
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
        let wanting = !engine.has(model, version) && !engine.loading && engine.free();
        let allowed = urgent || self.may_touch(&engine.domain);
        if !wanting || loading >= MOST_LOADS || !allowed {
            return;
        }
        self.disturbed.insert(engine.domain.clone());
        self.engines[at].loading = true;
        let model = model.clone();
        self.order(at, Wanted::Load { model, version });
    }

    /// Orders drops of old versions that are no longer needed, and of what stands in the way.
    fn drops(&mut self) {
        for at in 0..self.engines.len() {
            let engine = &self.engines[at];
            if engine.loading || engine.leaving || !self.may_touch(&engine.domain) {
                continue;
            }
            let settled = self.fleet.now.since(engine.since) >= LEAST_STAY;
            let Some((model, below)) = self.spare(at, settled) else {
                continue;
            };
            let engine = &mut self.engines[at];
            self.disturbed.insert(engine.domain.clone());
            engine
                .loaded
                .retain(|(held, version)| *held != model || *version >= below);
            self.order(at, Wanted::Drop { model, below });
        }
    }

    /// What an engine may drop now, with the lowest version that it keeps.
    ///
    /// The minimum stay holds for what demand moves. Weights that settings have left behind may
    /// stand in the way of the wanted ones, and an operator who publishes twice within a minute
    /// would wait for the second version without seeing why.
    fn spare(&self, at: usize, settled: bool) -> Option<(ModelId, WeightsVersion)> {
        let engine = &self.engines[at];
        let crowded = !engine.free() && self.lacks(engine);
        engine.loaded.iter().find_map(|(model, version)| {
            let Some(spec) = self.fleet.models.get(model) else {
                // Settings know the model no more: it goes when its place is needed.
                return crowded.then(|| (model.clone(), WeightsVersion(u32::MAX)));
            };
            let spared = self.others(at, model) >= self.floor(model);
            if *version < spec.version {
                if settled && self.current(model) >= self.enough(model) {
                    return Some((model.clone(), spec.version));
                }
                let next = engine.version_after(model, *version);
                let below = next.unwrap_or(spec.version).min(spec.version);
                // With a later version left, the engine goes on serving the model.
                let dropped = crowded && (next.is_some() || (settled && spared));
                return dropped.then(|| (model.clone(), below));
            }
            let placed = self.is_target(model, &engine.id);
            let needless = settled && crowded && !placed && spared;
            needless.then(|| (model.clone(), WeightsVersion(u32::MAX)))
        })
    }

    /// Whether an engine should hold something it does not.
    fn lacks(&self, engine: &EngineView) -> bool {
        let mut targets = self.targets.iter();
        targets.any(|(model, engines)| {
            engines.contains(&engine.id) && !engine.has(model, self.fleet.models[model].version)
        })
    }

    fn is_target(&self, model: &ModelId, engine: &UpstreamId) -> bool {
        let engines = self.targets.get(model);
        engines.is_some_and(|engines| engines.contains(engine))
    }

    /// Engines that serve a model in any version.
    fn holders(&self, model: &ModelId) -> usize {
        let serving = self.engines.iter().filter(|engine| !engine.leaving);
        serving.filter(|engine| engine.holds(model)).count()
    }

    /// Other engines that serve a model in any version.
    fn others(&self, at: usize, model: &ModelId) -> usize {
        self.holders(model) - usize::from(self.engines[at].holds(model))
    }

    /// Engines that serve a model in the version that settings want.
    fn current(&self, model: &ModelId) -> usize {
        let version = self.fleet.models[model].version;
        let serving = self.engines.iter().filter(|engine| !engine.leaving);
        serving.filter(|engine| engine.has(model, version)).count()
    }

    /// Engines that must hold the new version before an old copy goes for good.
    fn enough(&self, model: &ModelId) -> usize {
        self.targets.get(model).map_or(1, BTreeSet::len).max(1)
    }

    /// Engines that must go on serving a model while one gives it up to make place.
    fn floor(&self, model: &ModelId) -> usize {
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
