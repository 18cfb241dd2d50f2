//! What no order may do, said without the planner's own code.

use sesamegap_policy::shifting::{EngineOrder, EngineView, MAX_CONCURRENT_LOADS, MIN_RESIDENCY};
use sesamegap_settings::ModelSpec;
use sesamegap_wire::engine::Wanted;
use sesamegap_wire::{ModelId, Moment};
use std::collections::BTreeMap;

/// The fleet at the moment of an order, as it truly is.
pub struct Judge<'a> {
    pub engines: &'a [EngineView],
    pub models: &'a BTreeMap<ModelId, ModelSpec>,
    pub demand: &'a BTreeMap<ModelId, f64>,
    pub now: Moment,
}

impl Judge<'_> {
    /// Says what is wrong with an order, if anything.
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
                    .or_else(|| self.stay_fault(engine, order))
            }
        }
    }

    fn load_fault(&self, engine: &EngineView, model: &ModelId) -> Option<String> {
        let loading: Vec<_> = self.engines.iter().filter(|e| e.loading).collect();
        if loading.len() >= MAX_CONCURRENT_LOADS {
            return Some(format!("a load too many on {}", engine.id));
        }
        if engine.loaded.len() >= engine.slots {
            return Some(format!("{} has no room for {model}", engine.id));
        }
        let urgent = !self.engines.iter().any(|e| !e.leaving && e.holds(model));
        let elsewhere = loading.iter().any(|e| e.domain != engine.domain);
        (elsewhere && !urgent).then(|| format!("two domains at once, at {}", engine.id))
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

    /// What stays less than a minute may only be weights that settings have left behind, and only
    /// where a later version of the model goes on being served: an operator published twice.
    fn stay_fault(&self, engine: &EngineView, order: &EngineOrder) -> Option<String> {
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
