//! Simulation of a few engines in virtual time, for tests of one placer.

use super::support::{UnlimitedRoom, VERSION, ask, class, engine, model, placer, report, request};
use rand::SeedableRng;
use rand::rngs::ChaCha12Rng;
use sesamegap_policy::placing::PrefixPlacer;
use sesamegap_policy::{Placement, PlacementOutcome, Placer};
use sesamegap_wire::engine::{CacheBatch, CacheEvent};
use sesamegap_wire::{BlockKey, Chain, Incarnation, Moment, RequestId, Tokens, UpstreamId};
use std::collections::{BTreeMap, HashSet};

/// Microseconds per token on an engine of normal speed.
const MICROS_PER_TOKEN: u64 = 50;
/// Delay of cache events, in microseconds.
const EVENT_DELAY_MICROS: u64 = 300_000;

pub struct SimulatedEngine {
    pub held: HashSet<BlockKey>,
    pub incarnation: u64,
    pub slowness: u64,
    /// When the last queued prompt will be computed.
    pub busy_until: u64,
    pub events: u64,
}

enum Event {
    Started(RequestId, Tokens),
    First(RequestId),
    Stored(usize, Vec<BlockKey>),
}

pub struct Simulation {
    pub placer: PrefixPlacer,
    pub engines: Vec<SimulatedEngine>,
    pub now: u64,
    pending: BTreeMap<(u64, u64), Event>,
    count: u64,
    rng: ChaCha12Rng,
}

/// Outcome of one request.
pub struct Outcome {
    pub engine: usize,
    /// Tokens that the placer predicted as cached, and the actual number.
    pub predicted: u64,
    pub cached: u64,
    /// Time to the first token, in milliseconds.
    pub first: u64,
}

impl Simulation {
    pub fn new(engines: usize) -> Self {
        let now = 1_000_000_000;
        let engine_state = |_| SimulatedEngine {
            held: HashSet::new(),
            incarnation: 1,
            slowness: 1,
            busy_until: 0,
            events: 0,
        };
        Self {
            placer: placer(engines, Moment(now)),
            engines: (0..engines).map(engine_state).collect(),
            now,
            pending: BTreeMap::new(),
            count: 0,
            rng: ChaCha12Rng::seed_from_u64(7),
        }
    }

    /// Advances the time, with load reports twice a second.
    pub fn advance(&mut self, millis: u64) {
        let end = self.now + millis * 1000;
        while self.now < end {
            let next = (self.now / 500_000 + 1) * 500_000;
            self.deliver_until(next.min(end));
            self.now = next.min(end);
            if self.now == next {
                self.report();
            }
        }
    }

    pub fn report(&mut self) {
        for at in 0..self.engines.len() {
            let engine_state = &self.engines[at];
            let left = engine_state.busy_until.saturating_sub(self.now)
                / (MICROS_PER_TOKEN * engine_state.slowness);
            let report = report(engine_state.incarnation, left);
            self.placer
                .apply_report(&engine(at), &report, Moment(self.now));
        }
    }

    pub fn place(&mut self, chain: &Chain) -> PlacementOutcome {
        let (id, model, class) = (request(self.count), model(), class());
        let ask = ask(&id, &model, chain, &class);
        let now = Moment(self.now);
        self.placer.place(&ask, &UnlimitedRoom, now, &mut self.rng)
    }

    /// Places a request and computes it on the chosen engine.
    pub fn ask(&mut self, chain: &Chain) -> Outcome {
        let PlacementOutcome::At(at) = self.place(chain) else {
            panic!("no engine was found");
        };
        self.send(chain, &at)
    }

    fn send(&mut self, chain: &Chain, at: &Placement) -> Outcome {
        let (id, model, class) = (request(self.count), model(), class());
        self.count += 1;
        let ask = ask(&id, &model, chain, &class);
        self.placer.sent(&ask, at, Moment(self.now));
        let number = self.number(&at.engine);
        let engine_state = &mut self.engines[number];
        assert_eq!(at.incarnation, Incarnation(engine_state.incarnation));
        assert_eq!(ask.version, VERSION);
        let held = chain
            .keys
            .iter()
            .take_while(|k| engine_state.held.contains(k));
        let cached = held.count() as u64 * super::support::BLOCK;
        let start = engine_state.busy_until.max(self.now);
        engine_state.busy_until =
            start + (chain.tokens.0 - cached) * MICROS_PER_TOKEN * engine_state.slowness;
        let done = engine_state.busy_until;
        // Later prompts find these blocks, because the engine computes prompts in order.
        engine_state.held.extend(chain.keys.iter());
        self.schedule(start, Event::Started(id.clone(), Tokens(cached)));
        self.schedule(done, Event::First(id));
        self.schedule(
            done + EVENT_DELAY_MICROS,
            Event::Stored(number, chain.keys.to_vec()),
        );
        Outcome {
            engine: number,
            predicted: at.cached.0,
            cached,
            first: (done - self.now) / 1000,
        }
    }

    /// Restarts an engine with an empty cache and sends its report to the placer.
    pub fn restart(&mut self, at: usize) {
        let engine_state = &mut self.engines[at];
        engine_state.held.clear();
        engine_state.incarnation += 1;
        engine_state.events = 0;
        engine_state.busy_until = self.now;
        self.report();
    }

    fn number(&self, id: &UpstreamId) -> usize {
        (0..self.engines.len())
            .find(|at| engine(*at) == *id)
            .unwrap()
    }

    fn schedule(&mut self, at: u64, pending: Event) {
        let number = self.pending.len() as u64 + self.count * 1000;
        self.pending.insert((at, number), pending);
    }

    fn deliver_until(&mut self, until: u64) {
        while let Some(((at, number), pending)) = self.pending.pop_first() {
            if at > until {
                self.pending.insert((at, number), pending);
                return;
            }
            let now = Moment(at);
            match pending {
                Event::Started(id, cached) => self.placer.started(&id, cached, now),
                Event::First(id) => {
                    self.placer.first_token(&id, now);
                    self.placer.finished(&id, true, now);
                }
                Event::Stored(worker, keys) => self.stored(worker, keys, now),
            }
        }
    }

    fn stored(&mut self, worker: usize, keys: Vec<BlockKey>, now: Moment) {
        let engine_state = &mut self.engines[worker];
        if !keys.iter().all(|k| engine_state.held.contains(k)) {
            return;
        }
        engine_state.events += 1;
        let batch = CacheBatch {
            incarnation: Incarnation(engine_state.incarnation),
            events: vec![(engine_state.events, CacheEvent::Stored { keys })],
            newest: engine_state.events,
        };
        self.placer.apply_cache_events(&engine(worker), &batch, now);
    }
}

/// The quantile `part` of the values.
pub fn quantile(mut all: Vec<u64>, part: f64) -> u64 {
    all.sort_unstable();
    let last = (all.len() - 1) as f64;
    let at = (0..all.len()).find(|at| *at as f64 >= last * part);
    all[at.unwrap()]
}
