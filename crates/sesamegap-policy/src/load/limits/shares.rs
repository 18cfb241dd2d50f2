//! Weighted max-min fair shares of each model's service rate between teams.
//!
//! Under saturation with skewed demand, a team with little demand must not be refused because of
//! a team with much. Each team gets the lesser of its demand and its weight times a common level,
//! which is chosen so that the service rate is used up. A team above the level has its highest
//! priorities counted within its share as far as they fit, then a fraction of the next priority;
//! the rest is excess. Demand includes refused requests, so that refusing a team does not lower
//! its measured demand.
//!
//! A router and the owner of a shard of engines differ in what they see: a router few requests a
//! second, behind a queue that is fair by itself; an owner hundreds, without a queue. The decay
//! time and the overload ratio are therefore set at construction.

use crate::load::learned::DecayingRate;
use rustc_hash::FxHashMap;
use sesamegap_wire::{ModelId, Moment, TeamId};
use std::time::Duration;

/// Default time constant of the exponential decay of demand. It is long compared to the interval
/// between requests, as a light team may send one router a single request in several seconds.
const DECAY_TIME: Duration = Duration::from_secs(20);

/// Decay time at the owner of a shard: short enough that a burst of a few seconds counts while it
/// lasts, and long enough for a score or two of a light team's prompts.
const SHARD_DECAY_TIME: Duration = Duration::from_millis(1_500);

/// Overload ratio at the owner of a shard. No fair queue follows there that would take up a small
/// overload, and excess is refused only once the engines have a backlog.
const SHARD_OVERLOAD_RATIO: f64 = 1.0;

/// Ratio of a team's demand to its share up to which it is within the share, at the owner of a
/// shard. Demand counted over [`SHARD_DECAY_TIME`] varies by a few prompts, and without the margin
/// light teams near the common level would be refused for that.
const SHARD_TOLERANCE: f64 = 1.25;

/// Interval at which the common level is recomputed.
const RECOMPUTE_INTERVAL: Duration = Duration::from_millis(250);

/// Default ratio of demand to service rate above which shares are enforced. Both are estimates from a few
/// requests per second; a smaller overload is left to the queue, which is fair as well.
const OVERLOAD_RATIO: f64 = 1.25;

/// Maximum number of teams tracked per model; more than one router can serve within
/// its decay time.
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
    fn add(&mut self, priority: u8, cost: f64, now: Moment, decay_time: Duration) {
        let tier = self.tiers.iter().position(|t| t.priority == priority);
        let at = tier.unwrap_or_else(|| {
            self.tiers.push(PriorityDemand {
                priority,
                demand: DecayingRate::default(),
                fit_credit: 0.0,
            });
            self.tiers.len() - 1
        });
        self.tiers[at].demand.add(cost, now, decay_time);
    }

    /// Demand at this priority or a higher one.
    fn at_or_above(&self, priority: u8, now: Moment, decay_time: Duration) -> f64 {
        let above = self.tiers.iter().filter(|t| t.priority >= priority);
        above.map(|tier| tier.demand.rate(now, decay_time)).sum()
    }

    /// Whether the next request of a priority fits into a share; updates `fit_credit`.
    fn fits(&mut self, priority: u8, share: f64, now: Moment, tuning: Tuning) -> bool {
        let decay_time = tuning.decay_time;
        let all = self.at_or_above(priority, now, decay_time);
        let Some(tier) = self.tiers.iter_mut().find(|t| t.priority == priority) else {
            return true;
        };
        let own = tier.demand.rate(now, decay_time);
        if all <= share * tuning.tolerance || own <= 0.0 {
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
    fn recompute(&mut self, rate: Option<f64>, now: Moment, tuning: Tuning) {
        self.at = now;
        let demand = |team: &Demand| team.at_or_above(0, now, tuning.decay_time);
        self.teams.retain(|_, team| demand(team) >= MIN_DEMAND);
        let teams = self.teams.values();
        let mut demands: Vec<_> = teams.map(|team| (demand(team), team.weight)).collect();
        let all: f64 = demands.iter().map(|(demand, _)| demand).sum();
        let rate = rate.filter(|rate| all > rate * tuning.overload_ratio);
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

/// What differs between a router's shares and those of a shard's owner.
#[derive(Debug, Clone, Copy)]
struct Tuning {
    decay_time: Duration,
    overload_ratio: f64,
    tolerance: f64,
}

impl Default for Tuning {
    fn default() -> Self {
        Self {
            decay_time: DECAY_TIME,
            overload_ratio: OVERLOAD_RATIO,
            tolerance: 1.0,
        }
    }
}

/// Builds [`Shares`]; what isn't set is as a router needs it.
#[derive(Debug, Clone, Copy, Default)]
pub struct SharesBuilder {
    tuning: Tuning,
}

impl SharesBuilder {
    /// Sets the time constant of the exponential decay of demand; at least a millisecond.
    #[must_use]
    pub fn decay_time(mut self, time: Duration) -> Self {
        self.tuning.decay_time = time.max(Duration::from_millis(1));
        self
    }

    /// Sets the ratio of demand to service rate above which shares are enforced.
    #[must_use]
    pub fn overload_ratio(mut self, ratio: f64) -> Self {
        self.tuning.overload_ratio = ratio;
        self
    }

    /// Sets the ratio of demand to share up to which a team is within its share.
    #[must_use]
    pub fn tolerance(mut self, ratio: f64) -> Self {
        self.tuning.tolerance = ratio;
        self
    }

    /// Builds the shares.
    pub fn build(self) -> Shares {
        Shares {
            tuning: self.tuning,
            models: FxHashMap::default(),
        }
    }
}

/// Fair shares by model.
#[derive(Debug, Default)]
pub struct Shares {
    tuning: Tuning,
    models: FxHashMap<ModelId, ModelShares>,
}

/// The properties of a request that decide its share.
#[derive(Debug)]
pub struct Claim<'a> {
    /// Requested model.
    pub model: &'a ModelId,
    /// Requesting team.
    pub team: &'a TeamId,
    /// Weight of the team, above zero.
    pub weight: f64,
    /// Priority of the request; a higher number is more urgent.
    pub priority: u8,
    /// Cost of the request.
    pub cost: u64,
}

impl Shares {
    /// Returns a builder with a router's settings.
    pub fn builder() -> SharesBuilder {
        SharesBuilder::default()
    }

    /// Creates the shares of a shard's owner.
    pub fn of_shard() -> Self {
        Self::builder()
            .decay_time(SHARD_DECAY_TIME)
            .overload_ratio(SHARD_OVERLOAD_RATIO)
            .tolerance(SHARD_TOLERANCE)
            .build()
    }

    /// Counts a prompt that comes for the first time, and tells whether it exceeds its team's share.
    ///
    /// Made for a burst of one team at a shard of engines: without shares its excess fills the
    /// backlog, and light teams are refused for it. The rate is the shard's learned prefill rate
    /// in tokens per second, and costs are prompt tokens. A prompt that returns after a refusal
    /// was counted before: ask [`Self::exceeds`].
    pub fn is_excess(&mut self, claim: &Claim<'_>, rate: Option<f64>, now: Moment) -> bool {
        self.record_demand(claim, now);
        self.exceeds(claim, rate, now)
    }

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
        let decay_time = self.tuning.decay_time;
        demand.add(claim.priority, claim.cost as f64, now, decay_time);
    }

    /// Whether a request exceeds its team's share of this service rate.
    pub fn exceeds(&mut self, claim: &Claim<'_>, rate: Option<f64>, now: Moment) -> bool {
        let Some(shares) = self.models.get_mut(claim.model) else {
            return false;
        };
        if now.since(shares.at) >= RECOMPUTE_INTERVAL {
            shares.recompute(rate, now, self.tuning);
        }
        let Some(level) = shares.level else {
            return false;
        };
        let share = level * claim.weight;
        let tuning = self.tuning;
        let demand = shares.teams.get_mut(claim.team);
        demand.is_some_and(|demand| !demand.fits(claim.priority, share, now, tuning))
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
