//! Which work is within its team's fair share.
//!
//! Load: saturation with demand skewed between teams. Harm prevented: a team that asks for little
//! is refused because a heavier one asks for much. The service rate of a model is filled up
//! evenly: each team gets its demand or its weight times one common level, whichever is less. A
//! team above the level keeps its highest classes within its share, as far as they fit; of the
//! class at the edge a part fits, and the rest is excess. Demand counts what arrives, refused or not, so that refusing a team does not
//! make it look light.

use crate::load::learned::DecayingRate;
use rustc_hash::FxHashMap;
use sesamegap_wire::{ModelId, Moment, TeamId};
use std::time::Duration;

/// Age at which demand has lost about two thirds of its weight: long against single requests,
/// of which a light team may send one in some seconds to one router.
const DECAY_TIME: Duration = Duration::from_secs(20);

/// How often the common level is worked out again.
const RECOMPUTE_INTERVAL: Duration = Duration::from_millis(250);

/// Demand by service rate from which there is not enough for all. Both are estimates from a few
/// requests a second; a smaller excess is left to the queue, which is fair as well.
const OVERLOAD_RATIO: f64 = 1.25;

/// Teams tracked for one model; more than one router can serve within the memory.
const MAX_TEAMS: usize = 8_192;

/// Demand below which a team is forgotten, in cost a second.
const MIN_DEMAND: f64 = 1.0;

/// Demand of one priority.
#[derive(Debug)]
struct Tier {
    priority: u8,
    flow: DecayingRate,
    /// Adds up the parts of requests that fit, until one fits whole.
    fitted: f64,
}

/// A team's demand by priority.
#[derive(Debug, Default)]
struct Demand {
    weight: f64,
    tiers: Vec<Tier>,
}

impl Demand {
    fn add(&mut self, priority: u8, cost: f64, now: Moment) {
        let tier = self.tiers.iter().position(|t| t.priority == priority);
        let at = tier.unwrap_or_else(|| {
            self.tiers.push(Tier {
                priority,
                flow: DecayingRate::default(),
                fitted: 0.0,
            });
            self.tiers.len() - 1
        });
        self.tiers[at].flow.add(cost, now, DECAY_TIME);
    }

    /// Demand at this priority and above.
    fn from(&self, priority: u8, now: Moment) -> f64 {
        let above = self.tiers.iter().filter(|t| t.priority >= priority);
        above.map(|tier| tier.flow.rate(now, DECAY_TIME)).sum()
    }

    /// Whether the next request of a priority fits into a share.
    fn fits(&mut self, priority: u8, share: f64, now: Moment) -> bool {
        let all = self.from(priority, now);
        let Some(tier) = self.tiers.iter_mut().find(|t| t.priority == priority) else {
            return true;
        };
        let own = tier.flow.rate(now, DECAY_TIME);
        if all <= share || own <= 0.0 {
            return true;
        }
        tier.fitted += ((share - (all - own)) / own).clamp(0.0, 1.0);
        let fits = tier.fitted >= 1.0;
        if fits {
            tier.fitted -= 1.0;
        }
        fits
    }
}

#[derive(Debug, Default)]
struct Table {
    teams: FxHashMap<TeamId, Demand>,
    /// Demand by weight up to which work is within its share; none while there is enough.
    level: Option<f64>,
    at: Moment,
}

impl Table {
    /// Works out the common level for a service rate.
    fn fill(&mut self, rate: Option<f64>, now: Moment) {
        self.at = now;
        self.teams
            .retain(|_, demand| demand.from(0, now) >= MIN_DEMAND);
        let demands = self.teams.values();
        let mut demands: Vec<_> = demands.map(|d| (d.from(0, now), d.weight)).collect();
        let all: f64 = demands.iter().map(|(demand, _)| demand).sum();
        let rate = rate.filter(|rate| all > rate * OVERLOAD_RATIO);
        self.level = rate.and_then(|rate| level(&mut demands, rate));
    }
}

/// The level at which a rate is used up, if demand exceeds it.
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
    models: FxHashMap<ModelId, Table>,
}

/// One request as shares see it.
#[derive(Debug)]
pub struct Claim<'a> {
    /// Model asked for.
    pub model: &'a ModelId,
    /// Team that asks.
    pub team: &'a TeamId,
    /// Its weight.
    pub weight: f64,
    /// The request's priority.
    pub priority: u8,
    /// Its cost.
    pub cost: u64,
}

impl Shares {
    /// Counts a request's demand.
    pub fn arrive(&mut self, claim: &Claim<'_>, now: Moment) {
        if !self.models.contains_key(claim.model) {
            self.models.insert(claim.model.clone(), Table::default());
        }
        let Some(table) = self.models.get_mut(claim.model) else {
            return;
        };
        if table.teams.len() >= MAX_TEAMS && !table.teams.contains_key(claim.team) {
            return;
        }
        let demand = table.teams.entry(claim.team.clone()).or_default();
        demand.weight = claim.weight;
        demand.add(claim.priority, claim.cost as f64, now);
    }

    /// Whether a request exceeds its team's share at this service rate.
    pub fn exceeds(&mut self, claim: &Claim<'_>, rate: Option<f64>, now: Moment) -> bool {
        let Some(table) = self.models.get_mut(claim.model) else {
            return false;
        };
        if now.since(table.at) >= RECOMPUTE_INTERVAL {
            table.fill(rate, now);
        }
        let Some(level) = table.level else {
            return false;
        };
        let share = level * claim.weight;
        let demand = table.teams.get_mut(claim.team);
        demand.is_some_and(|demand| !demand.fits(claim.priority, share, now))
    }

    /// Keeps to the models that settings know.
    pub fn keep(&mut self, known: impl Fn(&ModelId) -> bool) {
        self.models.retain(|model, _| known(model));
    }

    /// Describes the levels for a dump.
    pub fn dump(&self) -> serde_json::Value {
        let levels = self.models.iter();
        let levels = levels.map(|(model, table)| (model.to_string(), table.level.into()));
        levels.collect::<serde_json::Map<_, _>>().into()
    }
}
