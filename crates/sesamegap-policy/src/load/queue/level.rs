//! All queued requests of one rank, with the queued cost per team and model.

use super::lane::{Lane, MIN_WEIGHT};
use super::{LaneKey, MAX_TRIES_WITHOUT_ROOM, QueuedRequest};
use rustc_hash::FxHashMap;
use sesamegap_wire::{ModelId, TeamId};
use std::collections::{BTreeMap, BTreeSet};

/// Queued cost and weight of a team in a level.
#[derive(Debug, Clone, Copy, Default)]
struct TeamLoad {
    cost: u64,
    weight: f64,
}

impl TeamLoad {
    /// Queued cost divided by weight, by which teams are compared.
    fn weighted_cost(self) -> u64 {
        weighted_cost(self.cost, self.weight)
    }
}

/// Cost divided by weight.
#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "a float cast saturates and costs are never below zero"
)]
pub fn weighted_cost(cost: u64, weight: f64) -> u64 {
    (cost as f64 / weight.max(MIN_WEIGHT)) as u64
}

/// Queued requests of one rank.
#[derive(Debug, Default)]
pub struct Level {
    /// Requests by model, weights version and prompt length.
    pub lanes: BTreeMap<LaneKey, Lane>,
    loads: FxHashMap<TeamId, TeamLoad>,
    by_weighted_cost: BTreeSet<(u64, TeamId)>,
    models: FxHashMap<ModelId, u64>,
    weight: f64,
}

impl Level {
    /// Adds a request.
    pub fn push(&mut self, key: &LaneKey, item: QueuedRequest) {
        self.update_sums(&item, true);
        if let Some(lane) = self.lanes.get_mut(key) {
            lane.push(item);
            return;
        }
        let lane = self.lanes.entry(key.clone()).or_default();
        lane.tries = MAX_TRIES_WITHOUT_ROOM;
        lane.push(item);
    }

    /// Removes a request.
    pub fn remove(
        &mut self,
        key: &LaneKey,
        team: &TeamId,
        due: super::Due,
    ) -> Option<QueuedRequest> {
        let lane = self.lanes.get_mut(key)?;
        let item = lane.remove(team, due)?;
        if lane.is_empty() {
            self.lanes.remove(key);
        }
        self.update_sums(&item, false);
        Some(item)
    }

    /// Cost queued for a model.
    pub fn cost(&self, model: &ModelId) -> u64 {
        self.models.get(model).copied().unwrap_or(0)
    }

    /// Cost that a team has queued, over all models.
    pub fn load(&self, team: &TeamId) -> u64 {
        self.loads.get(team).map_or(0, |load| load.cost)
    }

    /// Sum of the weights of teams with requests here.
    pub fn weight(&self) -> f64 {
        self.weight
    }

    /// The team with the highest queued cost per weight, and that value.
    pub fn heaviest(&self) -> Option<(u64, &TeamId)> {
        let (weighted_cost, team) = self.by_weighted_cost.last()?;
        Some((*weighted_cost, team))
    }

    /// The request of a team with the latest deadline, from the lane with most of the team's cost.
    pub fn latest(&self, team: &TeamId) -> Option<&QueuedRequest> {
        let latest = self.lanes.values().filter_map(|lane| lane.latest(team));
        let (_, item) = latest.max_by_key(|(cost, _)| *cost)?;
        Some(item)
    }

    /// Updates the sums after a request was added or removed.
    fn update_sums(&mut self, item: &QueuedRequest, added: bool) {
        let team = &item.work.team;
        let load = self.loads.entry(team.clone()).or_default();
        self.by_weighted_cost
            .remove(&(load.weighted_cost(), team.clone()));
        self.weight -= load.weight;
        let model = self.models.entry(item.work.model.clone()).or_default();
        if added {
            load.weight = item.weight.max(MIN_WEIGHT);
            load.cost += item.cost;
            *model += item.cost;
        } else {
            load.cost = load.cost.saturating_sub(item.cost);
            *model = model.saturating_sub(item.cost);
        }
        if *model == 0 {
            self.models.remove(&item.work.model);
        }
        if load.cost == 0 {
            self.loads.remove(team);
        } else {
            self.weight += load.weight;
            self.by_weighted_cost
                .insert((load.weighted_cost(), team.clone()));
        }
        if self.loads.is_empty() {
            // Resets the rounding errors that the running sum accumulates.
            self.weight = 0.0;
        }
    }
}
