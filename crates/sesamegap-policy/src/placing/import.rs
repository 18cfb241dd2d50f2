//! From where an engine imports blocks that it does not hold.
//!
//! Load: dossiers of tens of thousands of tokens that were evicted here, or are held by another
//! engine that has no room. Harm prevented: computing again what exists already, which costs far
//! more than fetching it. The source is only a hint: an engine that finds a block missing there, or
//! computed with other weights, computes it.

use super::Ask;
use super::candidates::Candidate;
use super::cost::CostEstimate;
use super::engines::Engine;
use super::prefix::PrefixPlacer;
use super::ring::EngineNo;
use sesamegap_wire::{Moment, UpstreamId};

/// Seconds to fetch one block over the network: what the users' stores take, about 3 ms.
const FETCH_SECONDS_PER_BLOCK: f64 = 3e-3;

/// Fetching must be this many times quicker than computing, for it also loads the source.
const MIN_SPEEDUP: f64 = 2.0;

impl PrefixPlacer {
    /// Where the chosen engine should look for what it lacks, if that is worth it.
    ///
    /// The engine believed to hold most of the prefix comes first, for what it holds is known; the
    /// kept-KV store has what was evicted everywhere, and nobody tells what that is.
    pub(super) fn import(
        &self,
        ask: &Ask<'_>,
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

    /// Whether an engine can be asked for blocks.
    fn can_serve(&self, other: &Candidate, now: Moment) -> bool {
        let engine: Option<&Engine> = self.engines.get(other.engine);
        engine.is_some_and(|engine| !engine.stalled(now))
    }
}
