//! Estimates of queueing delay and time to first token (TTFT), learned from this router's traffic.

use super::Work;
use super::attempts::Attempt;
use crate::load::learned::{AdmittedRates, ServiceRates, TtftEstimate, TtftEstimates};
use crate::load::queue::{Queue, QueuedRequest, Rank};
use sesamegap_settings::Catalogue;
use sesamegap_wire::{ModelId, Moment};
use std::collections::BTreeMap;
use std::time::Duration;

/// Minimum fraction of the service rate assumed for a rank when higher ranks use all of it;
/// keeps the estimate finite.
const MIN_RATE_FRACTION: f64 = 0.02;

/// Upper bound on estimates; a longer wait is no less hopeless.
const MAX_ESTIMATE: Duration = Duration::from_mins(10);

/// Weight of a new sample in the moving averages of observed and expected times to first token.
const SAMPLE_WEIGHT: f64 = 0.1;

/// Bounds on the correction factor, so that a few outliers cannot distort the estimate.
const CORRECTION_BOUNDS: (f64, f64) = (0.1, 3.0);

/// Moving averages of observed and expected times to first token, in seconds.
///
/// Both are averaged before they are divided: a mean of ratios would be dominated by the shortest
/// expectations, which are wrong by the largest factor and matter least.
#[derive(Debug, Clone, Copy)]
struct ExpectationError {
    observed: f64,
    expected: f64,
}

/// Service rates and times to first token learned from this router's traffic.
#[derive(Debug, Default)]
pub struct WaitEstimator {
    service_rates: ServiceRates,
    ttft_estimates: TtftEstimates,
    admitted_rates: AdmittedRates,
    errors: BTreeMap<Rank, ExpectationError>,
}

impl WaitEstimator {
    /// Returns the rate, in cost per second, at which the engines of a model serve this router, if
    /// known.
    pub fn rate(&self, model: &ModelId) -> Option<f64> {
        self.service_rates.rate(model)
    }

    /// Estimates the time that a request would wait in the queue.
    ///
    /// The work queued ahead is assumed to be served at the rate that work of higher rank leaves
    /// over, because such work keeps arriving and is served first. `extra` is the request's own
    /// cost if it is not in the queue yet, and 0 otherwise.
    pub fn queue_wait(
        &self,
        queue: &Queue,
        item: &QueuedRequest,
        extra: u64,
        now: Moment,
    ) -> Duration {
        let model = &item.work.model;
        let Some(rate) = self.service_rates.rate(model) else {
            return Duration::ZERO;
        };
        let team = &item.work.team;
        let ahead = queue.cost_ahead(item.rank, model, team, item.weight, extra);
        if ahead <= 0.0 {
            return Duration::ZERO;
        }
        let left = rate - self.admitted_rates.above(model, item.rank, now);
        let seconds = ahead / left.max(rate * MIN_RATE_FRACTION);
        Duration::try_from_secs_f64(seconds).map_or(MAX_ESTIMATE, |wait| wait.min(MAX_ESTIMATE))
    }

    /// Estimates the time that the engines of a model take for work of the given cost.
    pub fn service_time(&self, model: &ModelId, cost: u64) -> Duration {
        let seconds = self.rate(model).map_or(0.0, |rate| cost as f64 / rate);
        Duration::try_from_secs_f64(seconds).map_or(MAX_ESTIMATE, |span| span.min(MAX_ESTIMATE))
    }

    /// Estimates the time to first token, after dispatch, from requests of similar size and rank.
    pub fn ttft(&self, work: &Work, rank: Rank, now: Moment) -> Option<TtftEstimate> {
        self.ttft_estimates
            .get(&work.model, rank, work.chain.tokens, now)
    }

    /// Records an admitted request.
    pub fn record_admitted(&mut self, item: &QueuedRequest, now: Moment) {
        self.admitted_rates
            .add(&item.work.model, item.rank, item.cost, now);
    }

    /// Records an observed time to first token beside the placer's expectation.
    ///
    /// Placers assume that engines serve requests in order of arrival; an engine that respects
    /// priorities is faster than that for high classes and slower for low ones.
    pub fn record_first_token(&mut self, attempt: &Attempt, time: Duration, now: Moment) {
        self.ttft_estimates
            .add(&attempt.model, attempt.rank, attempt.tokens, time, now);
        if attempt.expected_first_token.is_zero() {
            return;
        }
        let expected = attempt.expected_first_token.as_secs_f64();
        let error = self.errors.entry(attempt.rank).or_insert(ExpectationError {
            observed: expected,
            expected,
        });
        error.observed += (time.as_secs_f64() - error.observed) * SAMPLE_WEIGHT;
        error.expected += (expected - error.expected) * SAMPLE_WEIGHT;
    }

    /// Corrects a placer's expectation by the error observed for requests of the same rank.
    pub fn corrected(&self, rank: Rank, expected: Duration) -> Duration {
        let ratio = self
            .errors
            .get(&rank)
            .map_or(1.0, |error| error.observed / error.expected);
        expected
            .min(MAX_ESTIMATE)
            .mul_f64(ratio.clamp(CORRECTION_BOUNDS.0, CORRECTION_BOUNDS.1))
    }

    /// Records completed work.
    pub fn record_done(&mut self, model: &ModelId, cost: u64, now: Moment) {
        self.service_rates.done(model, cost, now);
    }

    /// Samples the service rates if a sample is due.
    pub fn sample(&mut self, waiting: impl Fn(&ModelId) -> u64, now: Moment) {
        self.service_rates.tick(waiting, now);
    }

    /// Discards models that are not in the settings.
    pub fn retain(&mut self, catalogue: &Catalogue) {
        self.service_rates.set_models(catalogue.models.keys());
        self.ttft_estimates
            .retain(|model| catalogue.models.contains_key(model));
        self.admitted_rates
            .retain(|model| catalogue.models.contains_key(model));
    }

    /// Returns the learned rates as JSON for a diagnostic dump.
    pub fn dump(&self) -> serde_json::Value {
        self.service_rates.dump()
    }
}
