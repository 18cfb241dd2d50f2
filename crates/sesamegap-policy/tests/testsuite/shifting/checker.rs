//! Checks orders against the planner's invariants, independently of the planner's code.

use sesamegap_policy::shifting::{EngineOrder, EngineView, MAX_CONCURRENT_LOADS, MIN_RESIDENCY};
use sesamegap_settings::ModelSpec;
use sesamegap_wire::engine::Wanted;
use sesamegap_wire::{ModelId, Moment};
use std::collections::BTreeMap;

/// The actual state of the fleet when an order is issued.
pub struct OrderChecker<'a> {
    pub engines: &'a [EngineView],
    pub models: &'a BTreeMap<ModelId, ModelSpec>,
    pub demand: &'a BTreeMap<ModelId, f64>,
    pub now: Moment,
}

impl OrderChecker<'_> {
    /// Returns the invariant that an order violates, if any.
    pub fn fault(&self, order: &EngineOrder) -> Option<String> {
        let engine = self.engines.iter().find(|e| e.id == order.engine)?;
        match &order.wanted {
            Wanted::Load { model, .. } => self.load_fault(engine, model),
            Wanted::Drop { model, below } => {
                let kept = |held: &ModelId, version| held != model || version >= *below;
                if engine
                    .loaded
                    .iter()
                    .all(|(held, version)| kept(held, *version))
                {
                    return None;
                }
                let rest = engine
                    .loaded
                    .iter()
                    .any(|(held, v)| held == model && *v >= *below);
                self.drop_fault(engine, model, rest)
                    .or_else(|| self.residency_fault(engine, order))
            }
        }
    }

    fn load_fault(&self, engine: &EngineView, model: &ModelId) -> Option<String> {
        let loading: Vec<_> = self.engines.iter().filter(|e| e.loading).collect();
        if loading.len() >= MAX_CONCURRENT_LOADS {
            return Some(format!("too many concurrent loads, at {}", engine.id));
        }
        if engine.loaded.len() >= engine.slots {
            return Some(format!("{} has no room for {model}", engine.id));
        }
        let urgent = !self.engines.iter().any(|e| !e.leaving && e.holds(model));
        let elsewhere = loading.iter().any(|e| e.domain != engine.domain);
        (elsewhere && !urgent).then(|| format!("two domains changed at once, at {}", engine.id))
    }

    fn drop_fault(&self, engine: &EngineView, model: &ModelId, rest: bool) -> Option<String> {
        let demand = self.demand.get(model).copied().unwrap_or(0.0);
        let spec = self.models.get(model);
        let used = spec.is_some_and(|spec| spec.least > 0 || demand > 0.0);
        let others = self
            .engines
            .iter()
            .filter(|e| e.id != engine.id && !e.leaving);
        if used && !rest && !others.into_iter().any(|e| e.holds(model)) {
            return Some(format!("{} was the last holder of {model}", engine.id));
        }
        None
    }

    /// Within the minimum residency, only versions older than the one in the settings may be
    /// dropped, and only if the engine keeps a later version, as when an operator publishes twice
    /// in a row.
    fn residency_fault(&self, engine: &EngineView, order: &EngineOrder) -> Option<String> {
        let Wanted::Drop { model, below } = &order.wanted else {
            return None;
        };
        let stayed = self.now.since(engine.since);
        let wanted = self.models.get(model).map(|spec| spec.version);
        let behind = wanted.is_some_and(|wanted| *below <= wanted);
        let mut held = engine.loaded.iter();
        let rest = held.any(|(held, version)| held == model && version >= below);
        let allowed = stayed >= MIN_RESIDENCY || (behind && rest);
        (!allowed).then(|| format!("{} changed again after {stayed:?}", engine.id))
    }
}
