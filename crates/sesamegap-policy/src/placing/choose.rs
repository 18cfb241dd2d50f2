//! Weighing the candidates and picking one.

use super::candidates::Candidate;
use super::cost::{Offer, alike};
use super::engines::Engine;
use super::prefix::PrefixPlacer;
use super::ring::EngineNo;
use super::{Ask, Placed, Placement, Room};
use rand::Rng;
use sesamegap_wire::{Moment, Tokens};
use std::time::Duration;

/// Blocks to compute from which a request is a cold prefill.
pub(super) const COLD_BLOCKS: u64 = 4;

/// Own cold prefills on one engine at a time: one is computed, one waits, the rest go elsewhere.
///
/// Load: an engine comes back empty and is first home to many hot prefixes. Without a limit all
/// routers would fill its queue with long prefills, and short requests behind them would be late.
const COLD_MOST: u32 = 2;

/// Seconds that waiting for room must save: less is lost in the estimates.
const ROOM_SECONDS: f64 = 0.05;

/// Longest wait for room told at a time, in seconds.
const ROOM_MOST: f64 = 1.0;

/// Candidates with their costs.
#[derive(Debug)]
pub(super) struct Weighed {
    /// Those with room.
    open: Vec<(f64, EngineNo, Offer)>,
    /// Least cost with room.
    best: f64,
    /// Least cost without room, and the shortest wait there.
    full: f64,
    wait: f64,
}

impl Default for Weighed {
    fn default() -> Self {
        Self {
            open: Vec::new(),
            best: f64::INFINITY,
            full: f64::INFINITY,
            wait: f64::INFINITY,
        }
    }
}

impl Weighed {
    pub(super) fn is_empty(&self) -> bool {
        self.open.is_empty() && self.full.is_infinite()
    }
}

impl PrefixPlacer {
    pub(super) fn is_cold(&self, ask: &Ask<'_>, missing: Tokens) -> bool {
        missing.0 >= COLD_BLOCKS * self.block(ask.model).0
    }

    pub(super) fn offer(
        &self,
        ask: &Ask<'_>,
        engine: &Engine,
        found: Candidate,
        now: Moment,
    ) -> Offer {
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
        Offer {
            wait: engine.backlog.wait(now, per_token).as_secs_f64()
                * self.turns.part(ask.class.priority)
                + engine.silence(now),
            slowness: per_token / self.engines.typical,
            missing: ask.chain.tokens - held,
            per_token,
            evicting: evicted as f64 / stored.max(1) as f64,
            pressure: self.engines.pressure(self.index.age(engine.slot)),
            rank: found.rank,
            across: engine.domain != self.domain,
        }
    }

    /// Weighs the candidates; those over the cap on cold prefills only if `over` allows.
    pub(super) fn weigh(&self, ask: &Ask<'_>, room: &dyn Room, now: Moment, over: bool) -> Weighed {
        let mut weighed = Weighed::default();
        for found in &self.candidates.found {
            let Some(engine) = self.engines.get(found.engine) else {
                continue;
            };
            let offer = self.offer(ask, engine, *found, now);
            if !over && engine.cold >= COLD_MOST && self.is_cold(ask, offer.missing) {
                continue;
            }
            let cost = offer.cost(ask.class.thrift);
            if room.has(&engine.id, offer.missing) {
                weighed.open.push((cost, found.engine, offer));
                weighed.best = weighed.best.min(cost);
            } else if !engine.stalled(now) {
                // Room comes when own work is done, whatever the request's priority.
                let own = engine.backlog.own().0 as f64 * offer.per_token;
                weighed.full = weighed.full.min(cost + (own - offer.wait).max(0.0));
                weighed.wait = weighed.wait.min(own);
            }
        }
        weighed
    }

    /// Picks among what was weighed.
    ///
    /// Load: an engine that holds a dossier has its window full for a moment. Harm prevented: the
    /// whole dossier computed again on an engine that happens to have room; so the request waits
    /// here where that is cheaper, unless the engine shows no progress.
    pub(super) fn choose(
        &self,
        ask: &Ask<'_>,
        weighed: &Weighed,
        now: Moment,
        rng: &mut dyn Rng,
    ) -> Placed {
        if weighed.full + ROOM_SECONDS < weighed.best {
            return Placed::Full(Duration::from_secs_f64(weighed.wait.min(ROOM_MOST)));
        }
        let limit = alike(weighed.best);
        let ties = weighed.open.iter().filter(|(cost, _, _)| *cost <= limit);
        let count = ties.clone().count().max(1);
        let draw = usize::try_from(rng.next_u32()).unwrap_or(0) % count;
        let mut ties = ties;
        match ties.nth(draw) {
            Some((_, no, offer)) => self.placement(ask, *no, offer, now),
            None => Placed::Nowhere,
        }
    }

    fn placement(&self, ask: &Ask<'_>, no: EngineNo, offer: &Offer, now: Moment) -> Placed {
        let Some(engine) = self.engines.get(no) else {
            return Placed::Nowhere;
        };
        Placed::At(Placement {
            engine: engine.id.clone(),
            incarnation: engine.incarnation,
            cached: ask.chain.tokens - offer.missing,
            wait: Duration::from_secs_f64(offer.first_token()),
            import: self.import(ask, no, offer, now),
        })
    }
}
