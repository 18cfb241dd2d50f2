//! Selects the source from which an engine imports blocks that it does not hold.
//!
//! A dossier of tens of thousands of tokens may have been evicted from the chosen engine, or be held
//! by another engine that has no room. Fetching its blocks costs far less than computing them again.
//! The source is only a hint: an engine computes any block that is missing at the source or that
//! was computed with other weights.

use super::PlacementRequest;
use super::candidates::Candidate;
use super::cost::CostEstimate;
use super::engines::Engine;
use super::prefix::PrefixPlacer;
use super::ring::EngineNo;
use sesamegap_wire::{Moment, UpstreamId};

/// Seconds to fetch one block over the network; the users' stores take about 3 ms.
const FETCH_SECONDS_PER_BLOCK: f64 = 3e-3;

/// Minimum ratio of compute time to fetch time for an import, since fetching also loads the source.
const MIN_SPEEDUP: f64 = 2.0;

impl PrefixPlacer {
    /// Returns where the chosen engine should fetch missing blocks from, if fetching is worthwhile.
    ///
    /// The engine believed to hold the longest prefix is preferred, because its contents are known.
    /// The kept-KV store holds blocks that all engines evicted, but does not report which.
    pub(super) fn import(
        &self,
        ask: &PlacementRequest<'_>,
        chosen: EngineNo,
        estimate: &CostEstimate,
        now: Moment,
    ) -> Option<UpstreamId> {
        let block = self.block(ask.model).0;
        let compute = estimate.per_token * block as f64;
        if estimate.missing.0 < block || compute < FETCH_SECONDS_PER_BLOCK * MIN_SPEEDUP {
            return None;
        }
        let held = (ask.chain.tokens - estimate.missing).0 / block;
        let others = self.candidates.found.iter();
        let more = others.filter(|other| {
            other.engine != chosen && u64::from(other.blocks) > held && self.can_serve(other, now)
        });
        let best = more.max_by_key(|other| other.blocks);
        let best = best.and_then(|other| self.engines.get(other.engine));
        best.map(|engine| engine.id.clone())
            .or_else(|| self.store.clone())
    }

    /// Whether blocks can be fetched from an engine.
    fn can_serve(&self, other: &Candidate, now: Moment) -> bool {
        let engine: Option<&Engine> = self.engines.get(other.engine);
        engine.is_some_and(|engine| !engine.stalled(now))
    }
}
