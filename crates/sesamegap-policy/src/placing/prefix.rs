//! The placer that routers use.
//!
//! For each request a few engines are compared, whatever the size of the fleet: those believed to
//! hold the most of its prefix, its home set, and two drawn at random, which can find an idle engine
//! when the others are busy. The cheapest is picked. Near ties are broken at random, so that routers with
//! the same delayed reports do not all send to one engine. A dispatch is added at once to the
//! engine's backlog and to the index, long before reports and events show it.

use super::candidates::Candidates;
use super::choose::MIN_COLD_BLOCKS;
use super::engines::Engines;
use super::feed::Feed;
use super::heat::Heat;
use super::in_flight::{InFlightRequest, InFlightRequests, Stage};
use super::index::Index;
use super::peers::Peers;
use super::priority_waits::PriorityWaits;
use super::ring::EngineNo;
use super::{Need, Placement, PlacementOutcome, PlacementRequest, Placer, PrefixBuilder, Room};
use rand::Rng;
use rustc_hash::FxHashMap;
use sesamegap_settings::Catalogue;
use sesamegap_wire::engine::{CacheBatch, EngineEntry, Listing, LoadReport};
use sesamegap_wire::peer::{ColdPrompt, Digest, EngineCache, Warmth};
use sesamegap_wire::{DomainId, ModelId, Moment, RequestId, Tokens, UpstreamId};
use std::sync::Arc;
use std::time::Duration;

/// Block size of a model that the settings do not list.
pub const DEFAULT_BLOCK_SIZE: Tokens = Tokens(4096);

/// Interval at which values learned over the whole fleet are recomputed.
const REFRESH_INTERVAL: Duration = Duration::from_secs(1);

/// Maximum number of engines in a digest; those with the most waiting tokens are included.
const MAX_DIGEST_ENGINES: usize = 64;

/// Maximum numbers of cold prefills in a digest and of block keys for each, which limit their size to
/// a few kilobytes.
const MAX_COLD_PROMPTS: usize = 8;
const MAX_COLD_KEYS: usize = 64;

/// Maximum number of keys sent to a starting peer, which keeps the message within its size limit.
const MAX_WARM_KEYS: usize = 300_000;

/// Places requests by cached prefix, load and home set.
#[derive(Debug)]
pub struct PrefixPlacer {
    pub(super) domain: DomainId,
    pub(super) engines: Engines,
    pub(super) index: Index,
    pub(super) heat: Heat,
    pub(super) in_flight: InFlightRequests,
    pub(super) peers: Peers,
    pub(super) priority_waits: PriorityWaits,
    pub(super) feed: Feed,
    pub(super) candidates: Candidates,
    pub(super) blocks: FxHashMap<ModelId, Tokens>,
    pub(super) last_refresh: Moment,
    /// The kept-KV store, if any.
    pub(super) store: Option<UpstreamId>,
}

impl PrefixPlacer {
    /// Creates a builder for a router in the given failure domain.
    pub fn builder(domain: DomainId) -> PrefixBuilder {
        PrefixBuilder::new(domain)
    }

    /// The engines known to this placer.
    pub fn engines(&self) -> &Engines {
        &self.engines
    }

    /// The index of the engines' caches.
    pub fn index(&self) -> &Index {
        &self.index
    }

    /// Block size of a model.
    pub fn block(&self, model: &ModelId) -> Tokens {
        self.blocks
            .get(model)
            .copied()
            .unwrap_or(DEFAULT_BLOCK_SIZE)
    }

    fn maintain(&mut self, now: Moment) {
        self.index.sweep(now);
        if now < self.last_refresh + REFRESH_INTERVAL {
            return;
        }
        self.last_refresh = now;
        self.heat.decay(now);
        self.engines.update_typical(&self.index, now);
        for engine in self.peers.expire(now) {
            self.update_peer_backlog(engine, now);
        }
    }

    fn update_peer_backlog(&mut self, no: EngineNo, now: Moment) {
        let sum = self.peers.sum(no);
        if let Some(engine) = self.engines.get_mut(no) {
            engine.backlog.set_peers(sum, now);
        }
    }

    /// Cost in seconds of the latest placed request on any given engine; for tests and explanations.
    pub fn cost(&self, ask: &PlacementRequest<'_>, id: &UpstreamId, now: Moment) -> Option<f64> {
        let no = self.engines.number(id)?;
        let found = self.candidates.describe(no, &self.engines)?;
        let estimate = self.estimate(ask, self.engines.get(no)?, found, now);
        Some(estimate.cost(ask.class.thrift))
    }

    /// Records the blocks that engines are computing for a peer.
    ///
    /// When a dossier is lost with its engine, requests for it may reach several routers at once.
    /// The cache event of the first prefill arrives only when it is done, seconds later; until then
    /// each router would have the dossier computed on an engine of its own choice.
    fn expect_peer_prefills(&mut self, digest: &Digest, now: Moment) {
        for cold in digest.cold.iter().take(MAX_COLD_PROMPTS) {
            let number = self.engines.number(&cold.engine);
            let engine = number.and_then(|no| self.engines.get(no));
            let engine = engine.filter(|e| !e.suspect && e.incarnation == cold.incarnation);
            let Some(slot) = engine.map(|e| e.slot) else {
                continue;
            };
            for key in cold.keys.iter().take(MAX_COLD_KEYS) {
                self.index.expect(slot, *key, now);
            }
        }
    }

    /// Removes a request's tokens from its engine's backlog and counters.
    fn settle(&mut self, entry: &InFlightRequest) {
        let Some(engine) = self.engines.get_mut(entry.engine) else {
            return;
        };
        if entry.stage == Stage::Answering {
            return;
        }
        engine.backlog.settle(entry.missing);
        if entry.cold {
            engine.cold_prefills = engine.cold_prefills.saturating_sub(1);
        }
        if matches!(entry.stage, Stage::Started { .. }) {
            engine.computing = engine.computing.saturating_sub(1);
        }
    }
}

impl Placer for PrefixPlacer {
    fn apply_settings(&mut self, catalogue: &Catalogue) {
        let models = catalogue.models.iter();
        self.blocks = models
            .map(|(model, spec)| (model.clone(), Tokens(spec.block.0.max(1))))
            .collect();
    }

    fn set_engines(&mut self, engines: &[EngineEntry], now: Moment) {
        for gone in self.engines.set_list(engines, &mut self.index) {
            self.in_flight.drop_engine(gone);
        }
        self.maintain(now);
    }

    fn apply_report(&mut self, engine: &UpstreamId, report: &LoadReport, now: Moment) {
        if let Some(no) = self.engines.number(engine) {
            self.engines.apply_report(no, report, now, &mut self.index);
            self.update_peer_backlog(no, now);
        }
        self.maintain(now);
    }

    fn apply_cache_events(&mut self, engine: &UpstreamId, batch: &CacheBatch, now: Moment) -> Need {
        self.maintain(now);
        let Some(no) = self.engines.number(engine) else {
            return Need::Nothing;
        };
        self.feed
            .apply_events(no, batch, &mut self.engines, &mut self.index, now)
    }

    fn set_store(&mut self, store: Option<UpstreamId>) {
        self.store = store;
    }

    fn next_listing(&mut self, now: Moment) -> Option<UpstreamId> {
        self.feed.next_listing(&mut self.engines, now)
    }

    fn apply_listing(&mut self, engine: &UpstreamId, listing: &Listing, now: Moment) {
        let Some(no) = self.engines.number(engine) else {
            return;
        };
        if !Feed::apply_listing(no, listing, &mut self.engines, &mut self.index, now) {
            return;
        }
        // A listing does not include the blocks of requests in flight. Without this, the next request
        // for the same prefix could go to another engine and be computed twice.
        let Some((slot, incarnation)) = self.engines.get(no).map(|e| (e.slot, e.incarnation))
        else {
            return;
        };
        let here = self
            .in_flight
            .on_engine(no)
            .filter(|f| f.incarnation == incarnation);
        for entry in here {
            for key in entry.keys.iter() {
                self.index.expect(slot, *key, now);
            }
        }
    }

    fn place(
        &mut self,
        ask: &PlacementRequest<'_>,
        room: &dyn Room,
        now: Moment,
        rng: &mut dyn Rng,
    ) -> PlacementOutcome {
        // Maintenance whose cost grows with the fleet runs on reports and digests instead.
        self.index.sweep(now);
        let known = self.candidates.select(
            ask,
            &self.engines,
            &self.index,
            &self.heat,
            now,
            (rng.next_u64(), rng.next_u64()),
        );
        if !known {
            return PlacementOutcome::NoEngine;
        }
        let within = self.score(ask, room, now, false);
        if !within.is_empty() {
            return self.choose(ask, &within, now, rng);
        }
        let over = self.score(ask, room, now, true);
        self.choose(ask, &over, now, rng)
    }

    fn sent(&mut self, ask: &PlacementRequest<'_>, at: &Placement, now: Moment) {
        let Some(no) = self.engines.number(&at.engine) else {
            return;
        };
        let missing = ask.chain.tokens - at.cached;
        let cold = self.is_cold(ask, missing);
        let typical = self.engines.typical;
        let Some(engine) = self.engines.get_mut(no) else {
            return;
        };
        let per_token = engine.speed.per_token(typical, now);
        if engine.backlog.own().0 == 0 {
            engine.last_progress = now;
        }
        let backlog = engine.backlog.wait(now, per_token).as_secs_f64();
        engine.backlog.send(missing, now, per_token);
        engine.cold_prefills += u32::from(cold);
        let slot = engine.slot;
        for key in ask.chain.keys.iter() {
            self.index.expect(slot, *key, now);
        }
        self.heat.count_prefixes(ask.chain);
        let entry = InFlightRequest {
            engine: no,
            incarnation: at.incarnation,
            block: self.block(ask.model),
            keys: Arc::clone(&ask.chain.keys),
            prompt: ask.chain.tokens,
            missing,
            priority: ask.class.priority,
            sent: (now, backlog),
            cold,
            stage: Stage::Sent,
        };
        if let Some(previous) = self.in_flight.insert(ask.request, entry) {
            self.settle(&previous);
        }
    }

    fn started(&mut self, request: &RequestId, cached: Tokens, now: Moment) {
        let Some(entry) = self.in_flight.get_mut(request) else {
            return;
        };
        let Some(engine) = self.engines.get_mut(entry.engine) else {
            return;
        };
        if entry.stage != Stage::Sent {
            return;
        }
        engine.last_progress = now;
        let found = entry.prompt - cached;
        engine.backlog.correct(entry.missing, found);
        let overestimated = found.0 >= entry.missing.0 + MIN_COLD_BLOCKS * entry.block.0;
        engine.record_prediction(overestimated);
        entry.missing = found;
        engine.computing += 1;
        let alone = engine.computing == 1;
        entry.stage = Stage::Started { at: now, alone };
        if engine.take_mistaken() {
            engine.needs_listing = true;
            self.index.doubt(engine.slot, now);
        }
        if engine.incarnation != entry.incarnation {
            // The request was sent to a previous incarnation, whose cached blocks are gone.
            return;
        }
        let blocks = usize::try_from(cached.0 / entry.block.0).unwrap_or(usize::MAX);
        for key in entry.keys.iter().take(blocks) {
            self.index.stored(engine.slot, *key, now);
        }
    }

    fn first_token(&mut self, request: &RequestId, now: Moment) {
        let Some(entry) = self.in_flight.get_mut(request) else {
            return;
        };
        let before = entry.clone();
        entry.stage = Stage::Answering;
        self.settle(&before);
        let typical = self.engines.typical;
        let Some(engine) = self.engines.get_mut(before.engine) else {
            return;
        };
        engine.last_progress = now;
        let compute = before.missing.0 as f64 * engine.speed.per_token(typical, now);
        let (sent, predicted) = before.sent;
        let waited = now.since(sent).as_secs_f64() - compute;
        self.priority_waits
            .learn(before.priority, waited, predicted);
        if let Stage::Started { at, alone: true } = before.stage {
            let took = now.since(at);
            engine.speed.learn(before.missing, took, typical, now);
            self.heat.record_service_time(took.as_secs_f64());
        }
    }

    fn finished(&mut self, request: &RequestId, _whole: bool, _now: Moment) {
        if let Some(entry) = self.in_flight.remove(request) {
            self.settle(&entry);
        }
    }

    fn failed(&mut self, engine: &UpstreamId, _now: Moment) {
        if let Some(no) = self.engines.number(engine) {
            self.engines.mark_failed(no);
        }
    }

    fn apply_digest(&mut self, from: &str, digest: &Digest, now: Moment) {
        self.heat.set_peer_rates(from, &digest.heat, now);
        let waiting = digest.prefill.iter().take(MAX_DIGEST_ENGINES);
        let waiting = waiting
            .filter_map(|(id, tokens)| Some((self.engines.number(id)?, tokens.0 as f64)))
            .collect();
        for engine in self.peers.update(from, waiting, now) {
            self.update_peer_backlog(engine, now);
        }
        self.expect_peer_prefills(digest, now);
    }

    fn digest(&mut self, digest: &mut Digest, now: Moment) {
        self.maintain(now);
        digest.heat = self.heat.hottest();
        let waiting = self.engines.iter().map(|(_, e)| (e.backlog.own(), &e.id));
        let mut waiting: Vec<_> = waiting.filter(|(tokens, _)| tokens.0 > 0).collect();
        waiting.sort_unstable_by(|a, b| b.cmp(a));
        let longest = waiting.into_iter().take(MAX_DIGEST_ENGINES);
        digest.prefill = longest.map(|(tokens, id)| (id.clone(), tokens)).collect();
        let cold = self.in_flight.cold().take(MAX_COLD_PROMPTS);
        let cold = cold.filter_map(|entry| {
            Some(ColdPrompt {
                engine: self.engines.get(entry.engine)?.id.clone(),
                incarnation: entry.incarnation,
                keys: entry.keys.iter().take(MAX_COLD_KEYS).copied().collect(),
            })
        });
        digest.cold = cold.collect();
    }

    fn apply_warmth(&mut self, warmth: &Warmth, now: Moment) {
        for cache in &warmth.engines {
            if let Some(no) = self.engines.number(&cache.engine) {
                Feed::apply_warmth(no, cache, &mut self.engines, &mut self.index, now);
            }
        }
    }

    fn warmth(&self, now: Moment) -> Warmth {
        let mut left = MAX_WARM_KEYS;
        let engines = self
            .engines
            .iter()
            .filter(|(_, e)| e.newest_event.is_some());
        let caches = engines.map(|(_, engine)| {
            let mut keys = self.index.keys(engine.slot, now);
            keys.truncate(left);
            left -= keys.len();
            EngineCache {
                engine: engine.id.clone(),
                incarnation: engine.incarnation,
                newest: engine.newest_event.unwrap_or(0),
                keys,
            }
        });
        let engines = caches.collect();
        let digest = Digest {
            heat: self.heat.hottest(),
            ..Digest::default()
        };
        Warmth { engines, digest }
    }

    fn dump(&self, now: Moment) -> serde_json::Value {
        super::dump::describe(self, now)
    }
}
