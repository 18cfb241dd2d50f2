//! Rate of admitted work at each rank.

use super::DecayingRate;
use crate::load::queue::Rank;
use rustc_hash::FxHashMap;
use sesamegap_wire::{ModelId, Moment};
use std::collections::BTreeMap;
use std::time::Duration;

/// Time constant of the exponential decay of admitted work.
const DECAY_TIME: Duration = Duration::from_secs(3);

/// Admitted work by model and rank, in cost per second.
#[derive(Debug, Default)]
pub struct AdmittedRates {
    models: FxHashMap<ModelId, BTreeMap<Rank, DecayingRate>>,
}

impl AdmittedRates {
    /// Records an admitted request.
    pub fn add(&mut self, model: &ModelId, rank: Rank, cost: u64, now: Moment) {
        let ranks = self.models.entry(model.clone()).or_default();
        ranks
            .entry(rank)
            .or_default()
            .add(cost as f64, now, DECAY_TIME);
    }

    /// Rate of work admitted at ranks that are served before `rank`.
    pub fn above(&self, model: &ModelId, rank: Rank, now: Moment) -> f64 {
        let Some(ranks) = self.models.get(model) else {
            return 0.0;
        };
        let above = ranks.range(..rank);
        above.map(|(_, rate)| rate.rate(now, DECAY_TIME)).sum()
    }

    /// Drops the rates of models that are not in the settings.
    pub fn retain(&mut self, known: impl Fn(&ModelId) -> bool) {
        self.models.retain(|model, _| known(model));
    }
}
