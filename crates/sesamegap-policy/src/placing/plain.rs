//! Plain rendezvous on the outermost block: the first thing that worked, kept as a baseline.

use super::{Ask, Need, Placed, Placement, Placer, Room};
use rand::Rng;
use rustc_hash::FxHashMap;
use sesamegap_wire::engine::{CacheBatch, EngineEntry, Listing, LoadReport};
use sesamegap_wire::peer::{Digest, Warmth};
use sesamegap_wire::{Moment, RequestId, Tokens, UpstreamId};
use std::collections::BTreeMap;
use std::time::Duration;

/// Places by rendezvous hashing on the first block alone.
#[derive(Debug, Default)]
pub struct PlainPlacer {
    engines: BTreeMap<UpstreamId, Known>,
    sent: FxHashMap<RequestId, UpstreamId>,
}

#[derive(Debug, Default)]
struct Known {
    leaving: bool,
    report: Option<LoadReport>,
}

impl PlainPlacer {
    fn score(key: u128, engine: &UpstreamId) -> u64 {
        let mut hasher = blake3::Hasher::new();
        hasher.update(&key.to_le_bytes());
        hasher.update(engine.as_str().as_bytes());
        let mut half = [0; 8];
        half.copy_from_slice(&hasher.finalize().as_bytes()[..8]);
        u64::from_le_bytes(half)
    }
}

impl Placer for PlainPlacer {
    fn fleet(&mut self, engines: &[EngineEntry], _now: Moment) {
        self.engines
            .retain(|id, _| engines.iter().any(|e| e.id == *id));
        for entry in engines {
            self.engines.entry(entry.id.clone()).or_default().leaving = entry.leaving;
        }
    }

    fn report(&mut self, engine: &UpstreamId, report: &LoadReport, _now: Moment) {
        if let Some(known) = self.engines.get_mut(engine) {
            known.report = Some(report.clone());
        }
    }

    fn cache(&mut self, _engine: &UpstreamId, _batch: &CacheBatch, _now: Moment) -> Need {
        Need::Nothing
    }

    fn listing(&mut self, _engine: &UpstreamId, _listing: &Listing, _now: Moment) {}

    fn place(
        &mut self,
        ask: &Ask<'_>,
        room: &dyn Room,
        _now: Moment,
        _rng: &mut dyn Rng,
    ) -> Placed {
        let key = ask.chain.keys.first().map_or(0, |key| key.0);
        let wanted = (ask.model.clone(), ask.version);
        let mut holders: Vec<_> = self
            .engines
            .iter()
            .filter(|(id, known)| !known.leaving && !ask.barred.contains(id))
            .filter_map(|(id, known)| known.report.as_ref().map(|report| (id, report)))
            .filter(|(_, report)| !report.leaving && report.loaded.contains(&wanted))
            .collect();
        if holders.is_empty() {
            return Placed::Nowhere;
        }
        holders.sort_by_key(|(id, _)| std::cmp::Reverse(Self::score(key, id)));
        let free = holders
            .into_iter()
            .find(|(id, _)| room.has(id, ask.chain.tokens));
        let Some((id, report)) = free else {
            return Placed::Full(Duration::from_millis(100));
        };
        Placed::At(Placement {
            engine: id.clone(),
            incarnation: report.incarnation,
            cached: Tokens(0),
            wait: Duration::ZERO,
            import: None,
        })
    }

    fn sent(&mut self, ask: &Ask<'_>, at: &Placement, _now: Moment) {
        self.sent.insert(ask.request.clone(), at.engine.clone());
    }

    fn started(&mut self, _request: &RequestId, _cached: Tokens, _now: Moment) {}

    fn first(&mut self, _request: &RequestId, _now: Moment) {}

    fn finished(&mut self, request: &RequestId, _whole: bool, _now: Moment) {
        self.sent.remove(request);
    }

    fn failed(&mut self, engine: &UpstreamId, _now: Moment) {
        if let Some(known) = self.engines.get_mut(engine) {
            known.report = None;
        }
    }

    fn peer(&mut self, _from: &str, _digest: &Digest, _now: Moment) {}

    fn digest(&mut self, _digest: &mut Digest, _now: Moment) {}

    fn warm(&mut self, _warmth: &Warmth, _now: Moment) {}

    fn warmth(&self, _now: Moment) -> Warmth {
        Warmth::default()
    }

    fn dump(&self, _now: Moment) -> serde_json::Value {
        serde_json::json!({ "placer": "plain", "engines": self.engines.len() })
    }
}
