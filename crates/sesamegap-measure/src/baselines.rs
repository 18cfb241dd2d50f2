//! Policies to measure against, each the best version that one would really run.
//!
//! All get the books of the router's own placer: lag-corrected backlogs, learned speeds, the index
//! with own dispatches entered at once. They differ in what they make of them.

use clap::ValueEnum;
use rand::Rng;
use sesamegap_policy::placing::PrefixPlacer;
use sesamegap_policy::placing::ring::EngineNo;
use sesamegap_policy::{Need, Placement, PlacementOutcome, PlacementRequest, Placer, Room};
use sesamegap_settings::Catalogue;
use sesamegap_wire::engine::{CacheBatch, EngineEntry, Listing, LoadReport};
use sesamegap_wire::peer::{Digest, Warmth};
use sesamegap_wire::{DomainId, Moment, RequestId, Tokens, UpstreamId};
use std::time::Duration;

/// Longest wait for the engine with the longest prefix, when its window is full.
const LONGEST: Duration = Duration::from_millis(1500);

/// A way to place requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq, ValueEnum)]
pub enum Policy {
    /// The router's own.
    Ours,
    /// Any engine with room.
    Random,
    /// Engines in turn.
    RoundRobin,
    /// The engine with the shortest wait.
    LeastLoaded,
    /// Rendezvous on the first block; the next in order if the first has no room.
    FirstBlock,
    /// The engine that holds the longest prefix, of equals the one with the shortest wait.
    LongestPrefix,
}

impl Policy {
    /// Makes a placer for one router.
    pub fn placer(self, domain: &DomainId) -> Box<dyn Placer> {
        let inner = PrefixPlacer::builder(domain.clone()).build();
        if self == Self::Ours {
            return Box::new(inner);
        }
        Box::new(Baseline {
            policy: self,
            inner,
            turn: 0,
        })
    }
}

#[derive(Debug)]
struct Baseline {
    policy: Policy,
    inner: PrefixPlacer,
    turn: usize,
}

/// An engine that could take the request; the least pair of numbers is taken first.
struct Choice {
    order: (u64, u64),
    at: Placement,
    missing: Tokens,
}

impl Baseline {
    fn choice(
        &self,
        no: EngineNo,
        order: u64,
        ask: &PlacementRequest<'_>,
        now: Moment,
    ) -> Option<Choice> {
        let engine = self.inner.engines().get(no)?;
        if ask.barred.contains(&engine.id) {
            return None;
        }
        let blocks = self.inner.index().depth(engine.slot, &ask.chain.keys, now);
        let cached = Tokens(u64::from(blocks) * self.inner.block(ask.model).0);
        let missing = ask.chain.tokens - cached;
        let per_token = self.inner.engines().per_token(engine, now);
        let wait = engine.backlog.wait(now, per_token);
        let wait_us = u64::try_from(wait.as_micros()).unwrap_or(u64::MAX);
        let order = match self.policy {
            Policy::LeastLoaded => (wait_us, order),
            Policy::LongestPrefix => (u64::from(u16::MAX - blocks), wait_us),
            _ => (order, 0),
        };
        let compute = Duration::from_secs_f64(missing.0 as f64 * per_token);
        let at = Placement {
            engine: engine.id.clone(),
            incarnation: engine.incarnation,
            cached,
            wait: wait + compute,
            import: None,
        };
        Some(Choice { order, at, missing })
    }

    /// Time to wait for the engine that holds the longest prefix, if all that hold as much are full.
    ///
    /// Measured, going elsewhere at once or waiting without bound is worse.
    fn waits(&self, choices: &[Choice], room: &dyn Room) -> Option<Duration> {
        let best = choices.iter().min_by_key(|c| c.order)?;
        let mut alike = choices.iter().filter(|c| c.order.0 == best.order.0);
        let open = alike.any(|c| room.has(&c.at.engine, c.missing));
        let waits = self.policy == Policy::LongestPrefix && !open && best.at.wait < LONGEST;
        waits.then_some(best.at.wait)
    }

    /// All engines that serve the model, in the order that the policy first asks them.
    fn ordered(&mut self, ask: &PlacementRequest<'_>, rng: &mut dyn Rng) -> Vec<EngineNo> {
        let Some(members) = self.inner.engines().ring(ask.model, ask.version) else {
            return Vec::new();
        };
        let mut all: Vec<EngineNo> = members.members().collect();
        all.sort_unstable();
        let len = all.len();
        if self.policy == Policy::FirstBlock {
            all.clear();
            members.walk(ask.chain.keys[0], len, &mut all);
        } else if self.policy == Policy::RoundRobin {
            self.turn += 1;
            all.rotate_left(self.turn % len);
        } else {
            all.sort_by_cached_key(|_| rng.next_u32());
        }
        all
    }
}

impl Placer for Baseline {
    fn place(
        &mut self,
        ask: &PlacementRequest<'_>,
        room: &dyn Room,
        now: Moment,
        rng: &mut dyn Rng,
    ) -> PlacementOutcome {
        let all = self.ordered(ask, rng);
        let choices = all.iter().zip(0..);
        let choices: Vec<Choice> = choices
            .filter_map(|(no, order)| self.choice(*no, order, ask, now))
            .collect();
        if choices.is_empty() {
            return PlacementOutcome::NoEngine;
        }
        if let Some(wait) = self.waits(&choices, room) {
            return PlacementOutcome::Full(wait);
        }
        let shortest = choices.iter().map(|c| c.at.wait).min().unwrap_or_default();
        let free = choices
            .into_iter()
            .filter(|c| room.has(&c.at.engine, c.missing));
        let best = free.min_by_key(|c| c.order);
        best.map_or(PlacementOutcome::Full(shortest), |c| {
            PlacementOutcome::At(c.at)
        })
    }

    fn apply_settings(&mut self, catalogue: &Catalogue) {
        self.inner.apply_settings(catalogue);
    }
    fn set_engines(&mut self, engines: &[EngineEntry], now: Moment) {
        self.inner.set_engines(engines, now);
    }
    fn apply_report(&mut self, engine: &UpstreamId, report: &LoadReport, now: Moment) {
        self.inner.apply_report(engine, report, now);
    }
    fn apply_cache_events(&mut self, engine: &UpstreamId, batch: &CacheBatch, now: Moment) -> Need {
        self.inner.apply_cache_events(engine, batch, now)
    }
    fn next_listing(&mut self, now: Moment) -> Option<UpstreamId> {
        self.inner.next_listing(now)
    }
    fn apply_listing(&mut self, engine: &UpstreamId, listing: &Listing, now: Moment) {
        self.inner.apply_listing(engine, listing, now);
    }
    fn sent(&mut self, ask: &PlacementRequest<'_>, at: &Placement, now: Moment) {
        self.inner.sent(ask, at, now);
    }
    fn started(&mut self, request: &RequestId, cached: Tokens, now: Moment) {
        self.inner.started(request, cached, now);
    }
    fn first_token(&mut self, request: &RequestId, now: Moment) {
        self.inner.first_token(request, now);
    }
    fn finished(&mut self, request: &RequestId, whole: bool, now: Moment) {
        self.inner.finished(request, whole, now);
    }
    fn failed(&mut self, engine: &UpstreamId, now: Moment) {
        self.inner.failed(engine, now);
    }
    fn apply_digest(&mut self, from: &str, digest: &Digest, now: Moment) {
        self.inner.apply_digest(from, digest, now);
    }
    fn digest(&mut self, digest: &mut Digest, now: Moment) {
        self.inner.digest(digest, now);
    }
    fn apply_warmth(&mut self, warmth: &Warmth, now: Moment) {
        self.inner.apply_warmth(warmth, now);
    }
    fn warmth(&self, now: Moment) -> Warmth {
        self.inner.warmth(now)
    }
    fn dump(&self, now: Moment) -> serde_json::Value {
        self.inner.dump(now)
    }
}
