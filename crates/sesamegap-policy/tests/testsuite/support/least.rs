//! A placer that considers load but not caches, so that tests of load do not depend on cache state.

use rand::Rng;
use sesamegap_policy::placing::{
    Need, Placement, PlacementOutcome, PlacementRequest, Placer, Room,
};
use sesamegap_wire::engine::{CacheBatch, EngineEntry, Listing, LoadReport};
use sesamegap_wire::peer::{Digest, Warmth};
use sesamegap_wire::{Moment, RequestId, Tokens, UpstreamId};
use std::collections::BTreeMap;
use std::time::Duration;

/// Picks the engine with the least prefill work, as reported or as sent by this router, plus a
/// fixed cost per request.
#[derive(Debug, Default)]
pub struct LeastLoadPlacer {
    engines: BTreeMap<UpstreamId, Option<LoadReport>>,
    sent: BTreeMap<RequestId, (UpstreamId, u64)>,
}

impl LeastLoadPlacer {
    fn load(&self, engine: &UpstreamId, report: &LoadReport) -> u64 {
        let own = self.sent.values().filter(|(at, _)| at == engine);
        let own: u64 = own.map(|(_, tokens)| tokens).sum();
        own.max(report.prefill.0) + u64::from(report.running + report.waiting) * 500
    }
}

impl Placer for LeastLoadPlacer {
    fn set_engines(&mut self, engines: &[EngineEntry], _now: Moment) {
        self.engines = engines
            .iter()
            .map(|entry| (entry.id.clone(), None))
            .collect();
    }

    fn apply_report(&mut self, engine: &UpstreamId, report: &LoadReport, _now: Moment) {
        self.engines.insert(engine.clone(), Some(report.clone()));
    }

    fn apply_cache_events(
        &mut self,
        _engine: &UpstreamId,
        _batch: &CacheBatch,
        _now: Moment,
    ) -> Need {
        Need::Nothing
    }

    fn apply_listing(&mut self, _engine: &UpstreamId, _listing: &Listing, _now: Moment) {}

    fn place(
        &mut self,
        ask: &PlacementRequest<'_>,
        room: &dyn Room,
        _now: Moment,
        _rng: &mut dyn Rng,
    ) -> PlacementOutcome {
        let live = self
            .engines
            .iter()
            .filter(|(id, _)| !ask.barred.contains(id));
        let live: Vec<_> = live
            .filter_map(|(id, report)| Some((id, report.as_ref()?)))
            .collect();
        if live.is_empty() {
            return PlacementOutcome::NoEngine;
        }
        let free = live
            .into_iter()
            .filter(|(id, _)| room.has(id, ask.chain.tokens));
        let best = free.min_by_key(|(id, report)| self.load(id, report));
        best.map_or(
            PlacementOutcome::Full(Duration::from_millis(50)),
            |(id, report)| {
                PlacementOutcome::At(Placement {
                    engine: id.clone(),
                    incarnation: report.incarnation,
                    cached: Tokens(0),
                    wait: Duration::ZERO,
                    import: None,
                })
            },
        )
    }

    fn sent(&mut self, ask: &PlacementRequest<'_>, at: &Placement, _now: Moment) {
        let sent = (at.engine.clone(), ask.chain.tokens.0);
        self.sent.insert(ask.request.clone(), sent);
    }

    fn started(&mut self, _request: &RequestId, _cached: Tokens, _now: Moment) {}

    fn first_token(&mut self, request: &RequestId, _now: Moment) {
        if let Some((_, tokens)) = self.sent.get_mut(request) {
            *tokens = 500;
        }
    }

    fn finished(&mut self, request: &RequestId, _whole: bool, _now: Moment) {
        self.sent.remove(request);
    }

    fn failed(&mut self, engine: &UpstreamId, _now: Moment) {
        self.engines.insert(engine.clone(), None);
    }

    fn apply_digest(&mut self, _from: &str, _digest: &Digest, _now: Moment) {}

    fn digest(&mut self, _digest: &mut Digest, _now: Moment) {}

    fn apply_warmth(&mut self, _warmth: &Warmth, _now: Moment) {}

    fn warmth(&self, _now: Moment) -> Warmth {
        Warmth::default()
    }

    fn dump(&self, _now: Moment) -> serde_json::Value {
        serde_json::Value::Null
    }
}
