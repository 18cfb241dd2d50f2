//! Benchmarks of a placement at three fleet sizes, the upkeep, a cache event and an index insertion,
//! with the memory per index entry.
//!
//! Every engine holds the blocks of eight prompts, and about 30% of the engines have a queue.
//! Prompts have 18 blocks and three nested prefixes. The largest fleet, 1,700 engines, is the target
//! deployment size.

use criterion::{BenchmarkId, Criterion, criterion_group, criterion_main};
use rand::rngs::ChaCha12Rng;
use rand::{RngExt, SeedableRng};
use sesamegap_policy::placing::PrefixPlacer;
use sesamegap_policy::placing::index::Index;
use sesamegap_policy::{PlacementRequest, Placer, Room};
use sesamegap_settings::ClassSpec;
use sesamegap_wire::engine::{CacheBatch, CacheEvent, EngineEntry, Listing, LoadReport};
use sesamegap_wire::peer::Digest;
use sesamegap_wire::{
    BlockKey, Chain, Incarnation, ModelId, Moment, RequestId, Tokens, UpstreamId, WeightsVersion,
};
use std::hint::black_box;
use std::time::{Duration, Instant};

const NOW: Moment = Moment(1_000_000_000);
const BLOCKS_PER_DOSSIER: u64 = 16;

struct UnlimitedRoom;

impl Room for UnlimitedRoom {
    fn has(&self, _engine: &UpstreamId, _prefill: Tokens) -> bool {
        true
    }
}

fn parse_name<T: std::str::FromStr>(text: &str) -> T {
    text.parse()
        .unwrap_or_else(|_| panic!("{text} is not a valid identifier"))
}

fn key(number: u64) -> BlockKey {
    let spread = number.wrapping_add(1).wrapping_mul(0x9e37_79b9_7f4a_7c15);
    BlockKey(u128::from(spread ^ (spread >> 29)) << 64)
}

fn chain(team: u64, dossier: u64, form: u64) -> Chain {
    let mut keys = vec![key(team)];
    keys.extend((0..BLOCKS_PER_DOSSIER).map(|at| key(1000 + (team * 10_000 + dossier) * 100 + at)));
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
        loaded: vec![(parse_name("model"), WeightsVersion(1))],
        loading: false,
        leaving: false,
        fence: None,
    }
}

fn engine(at: u64) -> UpstreamId {
    parse_name(&format!("worker-{at}"))
}

/// Number of teams, in proportion to the fleet, as traffic grows with it.
fn teams(engines: u64) -> u64 {
    engines / 2
}

fn fleet(engines: u64) -> PrefixPlacer {
    let mut rng = ChaCha12Rng::seed_from_u64(1);
    let mut placer = PrefixPlacer::builder(parse_name("d0")).build();
    let entries: Vec<EngineEntry> = (0..engines)
        .map(|at| EngineEntry {
            id: engine(at),
            domain: parse_name(&format!("d{}", at % 4)),
            leaving: false,
        })
        .collect();
    placer.set_engines(&entries, NOW);
    for at in 0..engines {
        let queued = if rng.random_bool(0.3) { 20_000 } else { 0 };
        placer.apply_report(&engine(at), &report(queued), NOW);
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
        placer.apply_listing(&engine(at), &listing, NOW);
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
                vm: parse_name("vm"),
                incarnation: Incarnation(1),
                seq: 1,
            },
            model: parse_name("model"),
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
        // At the target deployment size, one router gets about 53 requests per second.
        self.now = self.now + Duration::from_millis(19);
        let ask = PlacementRequest {
            request: &self.request,
            model: &self.model,
            version: WeightsVersion(1),
            chain: &self.chains[at % self.chains.len()],
            class: &self.class,
            barred: &[],
        };
        let placed = self
            .placer
            .place(&ask, &UnlimitedRoom, self.now, &mut self.rng);
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

/// The recomputation over the whole fleet that runs once per second, with the digest for peers.
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

/// Cache events that alternately store a block and evict it.
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
            black_box(placer.apply_cache_events(&worker, &batch, now));
        });
    });
}

/// Memory per entry, computed from the tables' capacity, while the index fills to a daemon's share,
/// and the time of an insertion.
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
    println!("index: {least:.1} to {most:.1} bytes per entry, {each:.1} when full");
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
