//! Compares the candidates for a request and picks one.

use super::candidates::Candidate;
use super::cost::{CostEstimate, tie_limit};
use super::engines::Engine;
use super::prefix::PrefixPlacer;
use super::ring::EngineNo;
use super::{Placement, PlacementOutcome, PlacementRequest, Room};
use rand::Rng;
use sesamegap_wire::{Moment, Tokens};
use std::time::Duration;

/// Number of uncached blocks from which a request counts as a cold prefill.
pub(super) const MIN_COLD_BLOCKS: u64 = 4;

/// Maximum number of this router's cold prefills on one engine: one being computed and one waiting.
///
/// An engine that restarts with an empty cache may be the first home of many hot prefixes. Without
/// a limit all routers would fill its queue with long prefills and delay short requests behind them.
const MAX_COLD_PREFILLS: u32 = 2;

/// Minimum saving in seconds for which a request waits for room; the estimates are not accurate
/// enough for smaller differences.
const MIN_SAVED_SECONDS: f64 = 0.05;

/// Longest wait for room that is returned at a time, in seconds.
const MAX_ROOM_WAIT: f64 = 1.0;

/// Candidates with their estimated costs.
#[derive(Debug)]
pub(super) struct ScoredCandidates {
    /// Candidates that have room.
    available: Vec<(f64, EngineNo, CostEstimate)>,
    /// Lowest cost among the candidates that have room.
    lowest_available: f64,
    /// Lowest cost among the candidates without room, and the shortest wait for one of them.
    lowest_full: f64,
    wait: f64,
}

impl Default for ScoredCandidates {
    fn default() -> Self {
        Self {
            available: Vec::new(),
            lowest_available: f64::INFINITY,
            lowest_full: f64::INFINITY,
            wait: f64::INFINITY,
        }
    }
}

impl ScoredCandidates {
    pub(super) fn is_empty(&self) -> bool {
        self.available.is_empty() && self.lowest_full.is_infinite()
    }
}

impl PrefixPlacer {
    pub(super) fn is_cold(&self, ask: &PlacementRequest<'_>, missing: Tokens) -> bool {
        missing.0 >= MIN_COLD_BLOCKS * self.block(ask.model).0
    }

    pub(super) fn estimate(
        &self,
        ask: &PlacementRequest<'_>,
        engine: &Engine,
        found: Candidate,
        now: Moment,
    ) -> CostEstimate {
        let per_token = self.engines.per_token(engine, now);
        let held = Tokens(u64::from(found.blocks) * self.block(ask.model).0);
        let stored = ask
            .chain
            .keys
            .len()
            .saturating_sub(usize::from(found.blocks));
        let free = engine
            .capacity()
            .saturating_sub(self.index.held(engine.slot));
        let evicted = (stored as u64).saturating_sub(free);
        CostEstimate {
            wait: engine.backlog.wait(now, per_token).as_secs_f64()
                * self.priority_waits.wait_fraction(ask.class.priority)
                + engine.overdue_seconds(now),
            slowness: per_token / self.engines.typical,
            missing: ask.chain.tokens - held,
            per_token,
            eviction_fraction: evicted as f64 / stored.max(1) as f64,
            pressure: self.engines.pressure(self.index.eviction_age(engine.slot)),
            rank: found.rank,
            cross_domain: engine.domain != self.domain,
        }
    }

    /// Estimates the candidates' costs. Engines at the limit of cold prefills are considered for another
    /// one only if `allow_excess_cold` is set.
    pub(super) fn score(
        &self,
        ask: &PlacementRequest<'_>,
        room: &dyn Room,
        now: Moment,
        allow_excess_cold: bool,
    ) -> ScoredCandidates {
        let mut scored = ScoredCandidates::default();
        for found in &self.candidates.found {
            let Some(engine) = self.engines.get(found.engine) else {
                continue;
            };
            let estimate = self.estimate(ask, engine, *found, now);
            if !allow_excess_cold
                && engine.cold_prefills >= MAX_COLD_PREFILLS
                && self.is_cold(ask, estimate.missing)
            {
                continue;
            }
            let cost = estimate.cost(ask.class.thrift);
            if room.has(&engine.id, estimate.missing) {
                scored.available.push((cost, found.engine, estimate));
                scored.lowest_available = scored.lowest_available.min(cost);
            } else if !engine.stalled(now) {
                // Room becomes free when this router's own requests there are done, whatever the priority.
                let own = engine.backlog.own().0 as f64 * estimate.per_token;
                scored.lowest_full = scored
                    .lowest_full
                    .min(cost + (own - estimate.wait).max(0.0));
                scored.wait = scored.wait.min(own);
            }
        }
        scored
    }

    /// Picks the cheapest candidate, with ties broken at random, or returns a wait for room.
    ///
    /// If the engine that holds a dossier has a full window for a moment, waiting for it can be cheaper
    /// than computing the whole dossier again on an engine with room. The request then waits, unless
    /// the engine that holds it makes no progress.
    pub(super) fn choose(
        &self,
        ask: &PlacementRequest<'_>,
        scored: &ScoredCandidates,
        now: Moment,
        rng: &mut dyn Rng,
    ) -> PlacementOutcome {
        if scored.lowest_full + MIN_SAVED_SECONDS < scored.lowest_available {
            return PlacementOutcome::Full(Duration::from_secs_f64(scored.wait.min(MAX_ROOM_WAIT)));
        }
        let limit = tie_limit(scored.lowest_available);
        let ties = scored
            .available
            .iter()
            .filter(|(cost, _, _)| *cost <= limit);
        let count = ties.clone().count().max(1);
        let draw = usize::try_from(rng.next_u32()).unwrap_or(0) % count;
        let mut ties = ties;
        match ties.nth(draw) {
            Some((_, no, estimate)) => self.placement(ask, *no, estimate, now),
            None => PlacementOutcome::NoEngine,
        }
    }

    fn placement(
        &self,
        ask: &PlacementRequest<'_>,
        no: EngineNo,
        estimate: &CostEstimate,
        now: Moment,
    ) -> PlacementOutcome {
        let Some(engine) = self.engines.get(no) else {
            return PlacementOutcome::NoEngine;
        };
        PlacementOutcome::At(Placement {
            engine: engine.id.clone(),
            incarnation: engine.incarnation,
            cached: ask.chain.tokens - estimate.missing,
            wait: Duration::from_secs_f64(estimate.first_token()),
            import: self.import(ask, no, estimate, now),
        })
    }
}
