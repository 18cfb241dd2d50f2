//! Weighted max-min fair shares of each model's service rate between teams.
//!
//! Under saturation with skewed demand, a team with little demand must not be refused because of
//! a team with much. Each team gets the lesser of its demand and its weight times a common level,
//! which is chosen so that the service rate is used up. A team above the level has its highest
//! priorities counted within its share as far as they fit, then a fraction of the next priority;
//! the rest is excess. Demand includes refused requests, so that refusing a team does not lower
//! its measured demand.

use crate::load::learned::DecayingRate;
use rustc_hash::FxHashMap;
use sesamegap_wire::{ModelId, Moment, TeamId};
use std::time::Duration;

/// Time constant of the exponential decay of demand. It is long compared to the interval between
/// requests, as a light team may send one router a single request in several seconds.
const DECAY_TIME: Duration = Duration::from_secs(20);

/// Interval at which the common level is recomputed.
const RECOMPUTE_INTERVAL: Duration = Duration::from_millis(250);

/// Ratio of demand to service rate above which shares are enforced. Both are estimates from a few
/// requests per second; a smaller overload is left to the queue, which is fair as well.
const OVERLOAD_RATIO: f64 = 1.25;

/// Maximum number of teams tracked per model; more than one router can serve within
/// [`DECAY_TIME`].
const MAX_TEAMS: usize = 8_192;

/// Demand below which a team is no longer tracked, in cost per second.
const MIN_DEMAND: f64 = 1.0;

/// Demand of a team at one priority.
#[derive(Debug)]
struct PriorityDemand {
    priority: u8,
    demand: DecayingRate,
    /// Accumulates the fraction of each request that fits; a request is within the share when
    /// this reaches 1.
    fit_credit: f64,
}

/// A team's demand by priority.
#[derive(Debug, Default)]
struct Demand {
    weight: f64,
    tiers: Vec<PriorityDemand>,
}

impl Demand {
    fn add(&mut self, priority: u8, cost: f64, now: Moment) {
        let tier = self.tiers.iter().position(|t| t.priority == priority);
        let at = tier.unwrap_or_else(|| {
            self.tiers.push(PriorityDemand {
                priority,
                demand: DecayingRate::default(),
                fit_credit: 0.0,
            });
            self.tiers.len() - 1
        });
        self.tiers[at].demand.add(cost, now, DECAY_TIME);
    }

    /// Demand at this priority or a higher one.
    fn at_or_above(&self, priority: u8, now: Moment) -> f64 {
        let above = self.tiers.iter().filter(|t| t.priority >= priority);
        above.map(|tier| tier.demand.rate(now, DECAY_TIME)).sum()
    }

    /// Whether the next request of a priority fits into a share; updates `fit_credit`.
    fn fits(&mut self, priority: u8, share: f64, now: Moment) -> bool {
        let all = self.at_or_above(priority, now);
        let Some(tier) = self.tiers.iter_mut().find(|t| t.priority == priority) else {
            return true;
        };
        let own = tier.demand.rate(now, DECAY_TIME);
        if all <= share || own <= 0.0 {
            return true;
        }
        tier.fit_credit += ((share - (all - own)) / own).clamp(0.0, 1.0);
        let fits = tier.fit_credit >= 1.0;
        if fits {
            tier.fit_credit -= 1.0;
        }
        fits
    }
}

#[derive(Debug, Default)]
struct ModelShares {
    teams: FxHashMap<TeamId, Demand>,
    /// Demand per weight up to which work is within its share; `None` without overload.
    level: Option<f64>,
    at: Moment,
}

impl ModelShares {
    /// Recomputes the common level for a service rate and drops teams without demand.
    fn recompute(&mut self, rate: Option<f64>, now: Moment) {
        self.at = now;
        self.teams
            .retain(|_, demand| demand.at_or_above(0, now) >= MIN_DEMAND);
        let demands = self.teams.values();
        let mut demands: Vec<_> = demands.map(|d| (d.at_or_above(0, now), d.weight)).collect();
        let all: f64 = demands.iter().map(|(demand, _)| demand).sum();
        let rate = rate.filter(|rate| all > rate * OVERLOAD_RATIO);
        self.level = rate.and_then(|rate| level(&mut demands, rate));
    }
}

/// Demand per weight at which a service rate is used up; `None` if demand doesn't exceed it.
fn level(demands: &mut [(f64, f64)], rate: f64) -> Option<f64> {
    demands.sort_by(|a, b| (a.0 / a.1).total_cmp(&(b.0 / b.1)));
    let mut left = rate;
    let mut weights: f64 = demands.iter().map(|(_, weight)| weight).sum();
    for (demand, weight) in demands {
        let level = left / weights;
        if *demand > level * *weight {
            return Some(level);
        }
        left -= *demand;
        weights -= *weight;
    }
    None
}

/// Fair shares by model.
#[derive(Debug, Default)]
pub struct Shares {
    models: FxHashMap<ModelId, ModelShares>,
}

/// The properties of a request that decide its share.
#[derive(Debug)]
pub struct Claim<'a> {
    /// Requested model.
    pub model: &'a ModelId,
    /// Requesting team.
    pub team: &'a TeamId,
    /// Weight of the team.
    pub weight: f64,
    /// Priority of the request.
    pub priority: u8,
    /// Cost of the request.
    pub cost: u64,
}

impl Shares {
    /// Adds a request to its team's demand.
    pub fn record_demand(&mut self, claim: &Claim<'_>, now: Moment) {
        if !self.models.contains_key(claim.model) {
            self.models
                .insert(claim.model.clone(), ModelShares::default());
        }
        let Some(shares) = self.models.get_mut(claim.model) else {
            return;
        };
        if shares.teams.len() >= MAX_TEAMS && !shares.teams.contains_key(claim.team) {
            return;
        }
        let demand = shares.teams.entry(claim.team.clone()).or_default();
        demand.weight = claim.weight;
        demand.add(claim.priority, claim.cost as f64, now);
    }

    /// Whether a request exceeds its team's share of this service rate.
    pub fn exceeds(&mut self, claim: &Claim<'_>, rate: Option<f64>, now: Moment) -> bool {
        let Some(shares) = self.models.get_mut(claim.model) else {
            return false;
        };
        if now.since(shares.at) >= RECOMPUTE_INTERVAL {
            shares.recompute(rate, now);
        }
        let Some(level) = shares.level else {
            return false;
        };
        let share = level * claim.weight;
        let demand = shares.teams.get_mut(claim.team);
        demand.is_some_and(|demand| !demand.fits(claim.priority, share, now))
    }

    /// Drops the shares of models that are not in the settings.
    pub fn retain(&mut self, known: impl Fn(&ModelId) -> bool) {
        self.models.retain(|model, _| known(model));
    }

    /// Returns the levels as JSON for a diagnostic dump.
    pub fn dump(&self) -> serde_json::Value {
        let levels = self.models.iter();
        let levels = levels.map(|(model, shares)| (model.to_string(), shares.level.into()));
        levels.collect::<serde_json::Map<_, _>>().into()
    }
}
