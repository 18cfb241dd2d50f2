//! Cost of one placement at three fleet sizes, of one cache event, and bytes an index entry.
//!
//! Load: every engine holds the blocks of four dossiers with a third of the queues busy; prompts
//! have 18 blocks on three levels. The fleet of 1,700 is the letter's.

use criterion::{BenchmarkId, Criterion, criterion_group, criterion_main};
use rand::rngs::ChaCha12Rng;
use rand::{RngExt, SeedableRng};
use sesamegap_policy::placing::PrefixPlacer;
use sesamegap_policy::placing::index::Index;
use sesamegap_policy::{Ask, Placer, Room};
use sesamegap_settings::ClassSpec;
use sesamegap_wire::engine::{CacheBatch, CacheEvent, EngineEntry, Listing, LoadReport};
use sesamegap_wire::peer::Digest;
use sesamegap_wire::{
    BlockKey, Chain, Incarnation, ModelId, Moment, RequestId, Tokens, UpstreamId, WeightsVersion,
};
use std::hint::black_box;
use std::time::{Duration, Instant};

const NOW: Moment = Moment(1_000_000_000);
const DOSSIER: u64 = 16;

struct Everywhere;

impl Room for Everywhere {
    fn has(&self, _engine: &UpstreamId, _prefill: Tokens) -> bool {
        true
    }
}

fn name<T: std::str::FromStr>(text: &str) -> T {
    text.parse().unwrap_or_else(|_| panic!("{text} is no name"))
}

fn key(number: u64) -> BlockKey {
    let spread = number.wrapping_add(1).wrapping_mul(0x9e37_79b9_7f4a_7c15);
    BlockKey(u128::from(spread ^ (spread >> 29)) << 64)
}

fn chain(team: u64, dossier: u64, form: u64) -> Chain {
    let mut keys = vec![key(team)];
    keys.extend((0..DOSSIER).map(|at| key(1000 + (team * 10_000 + dossier) * 100 + at)));
    keys.push(key(1000 + (team * 10_000 + dossier) * 100 + 50 + form));
    Chain {
        tokens: Tokens(keys.len() as u64 * 4096 + 900),
        keys: keys.into(),
        levels: vec![1, 17, 18].into(),
    }
}

fn report(prefill: u64) -> LoadReport {
    LoadReport {
        incarnation: Incarnation(1),
        age: Duration::from_millis(300),
        running: 3,
        waiting: 0,
        prefill: Tokens(prefill),
        capacity: 300,
        loaded: vec![(name("model"), WeightsVersion(1))],
        loading: false,
        leaving: false,
        fence: None,
    }
}

fn engine(at: u64) -> UpstreamId {
    name(&format!("worker-{at}"))
}

/// Teams and dossiers grow with the fleet, as traffic does.
fn teams(engines: u64) -> u64 {
    engines / 2
}

fn fleet(engines: u64) -> PrefixPlacer {
    let mut rng = ChaCha12Rng::seed_from_u64(1);
    let mut placer = PrefixPlacer::builder(name("d0")).build();
    let entries: Vec<EngineEntry> = (0..engines)
        .map(|at| EngineEntry {
            id: engine(at),
            domain: name(&format!("d{}", at % 4)),
            leaving: false,
        })
        .collect();
    placer.fleet(&entries, NOW);
    for at in 0..engines {
        let queued = if rng.random_bool(0.3) { 20_000 } else { 0 };
        placer.report(&engine(at), &report(queued), NOW);
        let mut keys = Vec::new();
        for _ in 0..8 {
            let team = rng.random_range(0..teams(engines));
            keys.extend(chain(team, rng.random_range(0..16), 0).keys.iter().copied());
        }
        let listing = Listing {
            incarnation: Incarnation(1),
            newest: 1,
            keys,
        };
        placer.listing(&engine(at), &listing, NOW);
    }
    placer
}

struct Fixture {
    placer: PrefixPlacer,
    chains: Vec<Chain>,
    request: RequestId,
    model: ModelId,
    class: ClassSpec,
    rng: ChaCha12Rng,
    now: Moment,
}

impl Fixture {
    fn new(engines: u64) -> Self {
        let mut rng = ChaCha12Rng::seed_from_u64(2);
        let chains = (0..2000).map(|_| {
            let team = rng.random_range(0..teams(engines));
            chain(team, rng.random_range(0..20), rng.random_range(0..4))
        });
        let chains = chains.collect();
        Self {
            placer: fleet(engines),
            chains,
            request: RequestId {
                vm: name("vm"),
                incarnation: Incarnation(1),
                seq: 1,
            },
            model: name("model"),
            class: ClassSpec {
                priority: 1,
                deadline: Duration::from_secs(8),
                total: Duration::from_mins(1),
                retries: 2,
                queue: Tokens(1_000_000),
                thrift: 2.0,
                hedge: false,
            },
            rng,
            now: NOW,
        }
    }

    fn place(&mut self, at: usize) {
        // A router of the letter's size takes some 53 requests a second.
        self.now = self.now + Duration::from_millis(19);
        let ask = Ask {
            request: &self.request,
            model: &self.model,
            version: WeightsVersion(1),
            chain: &self.chains[at % self.chains.len()],
            class: &self.class,
            barred: &[],
        };
        let placed = self
            .placer
            .place(&ask, &Everywhere, self.now, &mut self.rng);
        black_box(placed);
    }
}

fn placement(c: &mut Criterion) {
    let mut group = c.benchmark_group("placement");
    for engines in [12, 120, 1700] {
        let mut fixture = Fixture::new(engines);
        let mut at = 0;
        group.bench_function(BenchmarkId::from_parameter(engines), |b| {
            b.iter(|| {
                at += 1;
                fixture.place(at);
            });
        });
        let mut all: Vec<Duration> = (0..20_000)
            .map(|at| {
                let start = Instant::now();
                fixture.place(at);
                start.elapsed()
            })
            .collect();
        all.sort_unstable();
        println!(
            "placement/{engines}: p50 {:?}, p99 {:?}",
            all[all.len() / 2],
            all[all.len() * 99 / 100]
        );
    }
    group.finish();
}

/// What is learned anew over the whole fleet once a second, with the digest for peers.
fn upkeep(c: &mut Criterion) {
    let mut placer = fleet(1700);
    let mut now = NOW;
    c.bench_function("upkeep a second/1700", |b| {
        b.iter(|| {
            now = now + Duration::from_secs(1);
            let mut digest = Digest::default();
            placer.digest(&mut digest, now);
            black_box(digest);
        });
    });
}

/// One event stores a block and evicts another, in a full index of a daemon's share.
fn event(c: &mut Criterion) {
    let mut placer = fleet(12);
    let mut number = 1_000_000_u64;
    let worker = engine(3);
    let mut newest = 1;
    c.bench_function("cache event", |b| {
        b.iter(|| {
            number += 1;
            newest += 1;
            let event = if newest % 2 == 0 {
                CacheEvent::Stored {
                    keys: vec![key(number)],
                }
            } else {
                CacheEvent::Evicted {
                    keys: vec![key(number - 1)],
                }
            };
            let batch = CacheBatch {
                incarnation: Incarnation(1),
                events: vec![(newest, event)],
                newest,
            };
            let now = Moment(NOW.0 + newest * 340);
            black_box(placer.cache(&worker, &batch, now));
        });
    });
}

/// Bytes an entry, counted from the tables' capacity, while the index fills to a daemon's share.
fn bytes(c: &mut Criterion) {
    let mut index = Index::new(530_000);
    let slots: Vec<_> = (0..8).filter_map(|_| index.open()).collect();
    let (mut most, mut least) = (0.0_f64, f64::INFINITY);
    for number in 0..530_000_u64 {
        let slot = slots[usize::try_from(number % 8).unwrap_or(0)];
        index.stored(slot, key(number), NOW);
        if number > 50_000 && number % 5000 == 0 {
            let each = index.bytes() as f64 / index.len() as f64;
            most = most.max(each);
            least = least.min(each);
        }
    }
    let each = index.bytes() as f64 / index.len() as f64;
    println!("index: {least:.1} to {most:.1} bytes an entry, {each:.1} when full");
    c.bench_function("index store", |b| {
        let mut number = 0;
        b.iter(|| {
            number += 1;
            index.stored(slots[0], key(number % 500_000), NOW);
        });
    });
}

criterion_group!(benches, placement, upkeep, event, bytes);
criterion_main!(benches);
