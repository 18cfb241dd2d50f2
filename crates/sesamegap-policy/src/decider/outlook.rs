//! How long a request would wait, from what was learned.

use super::Work;
use super::flights::Flight;
use crate::load::learned::{AdmittedRates, ServiceRates, TtftEstimate, TtftEstimates};
use crate::load::queue::{Queue, QueuedRequest, Rank};
use sesamegap_settings::Catalogue;
use sesamegap_wire::{ModelId, Moment};
use std::collections::BTreeMap;
use std::time::Duration;

/// Least part of the service rate reckoned for a rank whose betters use it all: keeps the
/// estimate finite.
const LEAST_PART: f64 = 0.02;

/// Longest wait told; anything above is as hopeless.
const LONGEST: Duration = Duration::from_mins(10);

/// Share of a new comparison in how far a placer's expectations are off.
const GAIN: f64 = 0.1;

/// Bounds on the correction, so that a few odd answers do not turn the estimate over.
const OFF: (f64, f64) = (0.1, 3.0);

/// First-token times as they came and as they were expected, in seconds.
///
/// Both are averaged before they are divided: a mean of ratios is ruled by the shortest
/// expectations, which are off by the largest factor and matter least.
#[derive(Debug, Clone, Copy)]
struct Off {
    came: f64,
    expected: f64,
}

/// Rates and times learned from own traffic.
#[derive(Debug, Default)]
pub struct Outlook {
    paces: ServiceRates,
    firsts: TtftEstimates,
    inflow: AdmittedRates,
    off: BTreeMap<Rank, Off>,
}

impl Outlook {
    /// Cost a second that engines of a model take from this router, once known.
    pub fn rate(&self, model: &ModelId) -> Option<f64> {
        self.paces.rate(model)
    }

    /// Time that a request would wait in the queue.
    ///
    /// What waits ahead is served at the rate that admitted work of higher rank leaves over,
    /// because that work goes on arriving and goes first. `extra` is the request's own cost if
    /// it is not queued.
    pub fn wait(&self, queue: &Queue, item: &QueuedRequest, extra: u64, now: Moment) -> Duration {
        let model = &item.work.model;
        let Some(rate) = self.paces.rate(model) else {
            return Duration::ZERO;
        };
        let team = &item.work.team;
        let ahead = queue.cost_ahead(item.rank, model, team, item.weight, extra);
        if ahead <= 0.0 {
            return Duration::ZERO;
        }
        let left = rate - self.inflow.above(model, item.rank, now);
        let seconds = ahead / left.max(rate * LEAST_PART);
        Duration::try_from_secs_f64(seconds).map_or(LONGEST, |wait| wait.min(LONGEST))
    }

    /// Time that engines take for so much work of a model.
    pub fn span(&self, model: &ModelId, cost: u64) -> Duration {
        let seconds = self.rate(model).map_or(0.0, |rate| cost as f64 / rate);
        Duration::try_from_secs_f64(seconds).map_or(LONGEST, |span| span.min(LONGEST))
    }

    /// First-token time to expect of engines, as others of this size and rank had it.
    pub fn first_time(&self, work: &Work, rank: Rank, now: Moment) -> Option<TtftEstimate> {
        self.firsts.get(&work.model, rank, work.chain.tokens, now)
    }

    /// Notes admitted work.
    pub fn admitted(&mut self, item: &QueuedRequest, now: Moment) {
        self.inflow.add(&item.work.model, item.rank, item.cost, now);
    }

    /// Notes a first-token time, and how far off the placer's expectation was.
    ///
    /// Placers expect engines to go first come, first served; an engine that minds priority
    /// is quicker than that for the high classes and slower for the low ones.
    pub fn first(&mut self, flight: &Flight, time: Duration, now: Moment) {
        self.firsts
            .add(&flight.model, flight.rank, flight.tokens, time, now);
        if flight.expected.is_zero() {
            return;
        }
        let expected = flight.expected.as_secs_f64();
        let off = self.off.entry(flight.rank).or_insert(Off {
            came: expected,
            expected,
        });
        off.came += (time.as_secs_f64() - off.came) * GAIN;
        off.expected += (expected - off.expected) * GAIN;
    }

    /// A placer's expectation, corrected by how others of its kind came out.
    pub fn corrected(&self, rank: Rank, expected: Duration) -> Duration {
        let off = self
            .off
            .get(&rank)
            .map_or(1.0, |off| off.came / off.expected);
        expected.min(LONGEST).mul_f64(off.clamp(OFF.0, OFF.1))
    }

    /// Notes finished work.
    pub fn done(&mut self, model: &ModelId, cost: u64, now: Moment) {
        self.paces.done(model, cost, now);
    }

    /// Takes due samples.
    pub fn tick(&mut self, waiting: impl Fn(&ModelId) -> u64, now: Moment) {
        self.paces.tick(waiting, now);
    }

    /// Keeps to the models that settings know.
    pub fn keep(&mut self, catalogue: &Catalogue) {
        self.paces.keep(catalogue.models.keys());
        self.firsts
            .keep(|model| catalogue.models.contains_key(model));
        self.inflow
            .keep(|model| catalogue.models.contains_key(model));
    }

    /// Describes the rates for a dump.
    pub fn dump(&self) -> serde_json::Value {
        self.paces.dump()
    }
}
