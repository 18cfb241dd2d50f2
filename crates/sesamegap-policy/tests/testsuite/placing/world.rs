//! A few engines in virtual time, to see what callers get from one placer.

use super::support::{Everywhere, VERSION, ask, class, engine, model, placer, report, request};
use rand::SeedableRng;
use rand::rngs::ChaCha12Rng;
use sesamegap_policy::placing::PrefixPlacer;
use sesamegap_policy::{Placed, Placement, Placer};
use sesamegap_wire::engine::{CacheBatch, CacheEvent};
use sesamegap_wire::{BlockKey, Chain, Incarnation, Moment, RequestId, Tokens, UpstreamId};
use std::collections::{BTreeMap, HashSet};

/// Microseconds a token takes on an ordinary engine.
const PER_TOKEN: u64 = 50;
/// Delay of cache events.
const DELAY: u64 = 300_000;

pub struct Fake {
    pub held: HashSet<BlockKey>,
    pub incarnation: u64,
    pub slowness: u64,
    /// When its last prompt will be computed.
    pub free: u64,
    pub events: u64,
}

enum News {
    Started(RequestId, Tokens),
    First(RequestId),
    Stored(usize, Vec<BlockKey>),
}

pub struct World {
    pub placer: PrefixPlacer,
    pub fakes: Vec<Fake>,
    pub now: u64,
    news: BTreeMap<(u64, u64), News>,
    count: u64,
    rng: ChaCha12Rng,
}

/// What one caller got.
pub struct Got {
    pub engine: usize,
    /// Tokens that the placer believed cached, and that were.
    pub believed: u64,
    pub cached: u64,
    /// Milliseconds to the first token.
    pub first: u64,
}

impl World {
    pub fn new(engines: usize) -> Self {
        let now = 1_000_000_000;
        let fake = |_| Fake {
            held: HashSet::new(),
            incarnation: 1,
            slowness: 1,
            free: 0,
            events: 0,
        };
        Self {
            placer: placer(engines, Moment(now)),
            fakes: (0..engines).map(fake).collect(),
            now,
            news: BTreeMap::new(),
            count: 0,
            rng: ChaCha12Rng::seed_from_u64(7),
        }
    }

    /// Lets time pass, with reports twice a second.
    pub fn pass(&mut self, millis: u64) {
        let end = self.now + millis * 1000;
        while self.now < end {
            let next = (self.now / 500_000 + 1) * 500_000;
            self.deliver(next.min(end));
            self.now = next.min(end);
            if self.now == next {
                self.report();
            }
        }
    }

    pub fn report(&mut self) {
        for at in 0..self.fakes.len() {
            let fake = &self.fakes[at];
            let left = fake.free.saturating_sub(self.now) / (PER_TOKEN * fake.slowness);
            let report = report(fake.incarnation, left);
            self.placer.report(&engine(at), &report, Moment(self.now));
        }
    }

    pub fn place(&mut self, chain: &Chain) -> Placed {
        let (id, model, class) = (request(self.count), model(), class());
        let ask = ask(&id, &model, chain, &class);
        let now = Moment(self.now);
        self.placer.place(&ask, &Everywhere, now, &mut self.rng)
    }

    /// Places a request and has it computed.
    pub fn ask(&mut self, chain: &Chain) -> Got {
        let Placed::At(at) = self.place(chain) else {
            panic!("no engine was found");
        };
        self.send(chain, &at)
    }

    fn send(&mut self, chain: &Chain, at: &Placement) -> Got {
        let (id, model, class) = (request(self.count), model(), class());
        self.count += 1;
        let ask = ask(&id, &model, chain, &class);
        self.placer.sent(&ask, at, Moment(self.now));
        let number = self.number(&at.engine);
        let fake = &mut self.fakes[number];
        assert_eq!(at.incarnation, Incarnation(fake.incarnation));
        assert_eq!(ask.version, VERSION);
        let held = chain.keys.iter().take_while(|k| fake.held.contains(k));
        let cached = held.count() as u64 * super::support::BLOCK;
        let start = fake.free.max(self.now);
        fake.free = start + (chain.tokens.0 - cached) * PER_TOKEN * fake.slowness;
        let done = fake.free;
        // What is computed after it finds the blocks, as in an engine that computes in order.
        fake.held.extend(chain.keys.iter());
        self.tell(start, News::Started(id.clone(), Tokens(cached)));
        self.tell(done, News::First(id));
        self.tell(done + DELAY, News::Stored(number, chain.keys.to_vec()));
        Got {
            engine: number,
            believed: at.cached.0,
            cached,
            first: (done - self.now) / 1000,
        }
    }

    /// Restarts an engine with an empty cache and tells the placer so.
    pub fn restart(&mut self, at: usize) {
        let fake = &mut self.fakes[at];
        fake.held.clear();
        fake.incarnation += 1;
        fake.events = 0;
        fake.free = self.now;
        self.report();
    }

    fn number(&self, id: &UpstreamId) -> usize {
        (0..self.fakes.len()).find(|at| engine(*at) == *id).unwrap()
    }

    fn tell(&mut self, at: u64, news: News) {
        let number = self.news.len() as u64 + self.count * 1000;
        self.news.insert((at, number), news);
    }

    fn deliver(&mut self, until: u64) {
        while let Some(((at, number), news)) = self.news.pop_first() {
            if at > until {
                self.news.insert((at, number), news);
                return;
            }
            let now = Moment(at);
            match news {
                News::Started(id, cached) => self.placer.started(&id, cached, now),
                News::First(id) => {
                    self.placer.first(&id, now);
                    self.placer.finished(&id, true, now);
                }
                News::Stored(worker, keys) => self.stored(worker, keys, now),
            }
        }
    }

    fn stored(&mut self, worker: usize, keys: Vec<BlockKey>, now: Moment) {
        let fake = &mut self.fakes[worker];
        if !keys.iter().all(|k| fake.held.contains(k)) {
            return;
        }
        fake.events += 1;
        let batch = CacheBatch {
            incarnation: Incarnation(fake.incarnation),
            events: vec![(fake.events, CacheEvent::Stored { keys })],
            newest: fake.events,
        };
        self.placer.cache(&engine(worker), &batch, now);
    }
}

/// The value that so large a part of all lies under.
pub fn quantile(mut all: Vec<u64>, part: f64) -> u64 {
    all.sort_unstable();
    let last = (all.len() - 1) as f64;
    let at = (0..all.len()).find(|at| *at as f64 >= last * part);
    all[at.unwrap()]
}
