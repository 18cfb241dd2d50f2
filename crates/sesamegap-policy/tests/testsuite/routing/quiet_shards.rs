//! Prompts of a fleet with so many shards that each gets a prompt only every few seconds.

use super::idle_engine;
use crate::support::at;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use rustc_hash::{FxHashMap, FxHashSet};
use sesamegap_policy::routing::cache_locations::CacheLocations;
use sesamegap_policy::routing::candidates::{self, Seat};
use sesamegap_policy::routing::engines::{Engine, Prefix, Prompt, choose, rank, seed};
use sesamegap_policy::routing::shards::Division;

const OUTERS: u64 = 4;

/// A load of prompts on a fleet of engines.
struct Load {
    engines: usize,
    dossiers: u64,
    per_s: u64,
    seconds: u64,
}

/// What became of the prompts.
#[derive(Debug, Default)]
struct Outcome {
    /// Prompts of a dossier that another prompt asked for before.
    repeated: usize,
    /// Those that ran on an engine that had the dossier.
    found: usize,
}

fn prompt(dossier: u64) -> Prompt {
    let prefix = |hash, tokens| Prefix { hash, tokens };
    Prompt {
        prefixes: vec![
            prefix(dossier % OUTERS, 2_520),
            prefix(1_000 + dossier, 6_300),
        ],
        tokens: 9_190,
    }
}

/// Places the prompts of a load, each by the owner of the shard of its home, on engines whose caches lose nothing.
fn place(load: &Load) -> Outcome {
    let seats: Vec<Seat> = (0..load.engines)
        .map(|no| Seat {
            seed: seed(&format!("engine-{no}")),
            long: true,
        })
        .collect();
    let division = Division::of(load.engines);
    let mut shards: FxHashMap<u32, Vec<Engine>> = FxHashMap::default();
    for seat in &seats {
        let shard = shards.entry(division.shard(seat.seed)).or_default();
        shard.push(idle_engine(seat.seed));
    }
    let mut owners: FxHashMap<u32, CacheLocations> = FxHashMap::default();
    let mut held: FxHashSet<(u64, u64)> = FxHashSet::default();
    let mut asked: FxHashSet<u64> = FxHashSet::default();
    let mut outcome = Outcome::default();
    let mut rng = StdRng::seed_from_u64(1);
    for no in 0..load.per_s * load.seconds {
        let now = at(no * 1_000 / load.per_s);
        let dossier = rng.random_range(0..load.dossiers);
        let prompt = prompt(dossier);
        let home = candidates::home(&prompt, &seats, |_| true).expect("engines");
        let number = division.shard(seats[home].seed);
        let owner = owners.entry(number).or_default();
        owner.set_complete();
        owner.record_prompt(prompt.prefixes[0].hash, now);
        let engines = &shards[&number];
        let chosen = engines[choose(&prompt, engines, 1, owner).expect("engines").at].seed;
        outcome.repeated += usize::from(!asked.insert(dossier));
        outcome.found += usize::from(!held.insert((chosen, dossier)));
        for prefix in &prompt.prefixes {
            owner.note(prefix.hash, chosen, 1, now);
        }
    }
    outcome
}

/// Guards against prompts that miss the cache of their dossier's home: the first prompt of each preamble in each of 1,024
/// shards went to the preamble's home, seven of ten prompts of the whole fleet.
#[test]
fn prompts_of_quiet_shards_run_at_the_home_of_their_dossier() {
    for scale in [1, 2] {
        let outcome = place(&Load {
            engines: 9_715 * scale,
            dossiers: 1_486,
            per_s: 273 * scale as u64,
            seconds: 10,
        });
        assert!(outcome.repeated > 1_000, "{outcome:?}");
        assert!(outcome.found * 10 > outcome.repeated * 9, "{outcome:?}");
    }
}

/// Guards against engines that all prefill a preamble of their own after their caches were emptied under full load: its
/// prompts then go to its home until that has served one.
#[test]
fn a_preamble_of_a_busy_shard_goes_to_its_home_first() {
    let engines: Vec<Engine> = (0..14)
        .map(|no| idle_engine(seed(&format!("engine-{no}"))))
        .collect();
    let best = |prefix: u64| {
        let best = engines
            .iter()
            .max_by_key(|engine| rank(prefix, engine.seed));
        best.unwrap().seed
    };
    let dossier = (0..99).find(|dossier| best(1_000 + dossier) != best(dossier % OUTERS));
    let prompt = prompt(dossier.unwrap());
    let [outer, inner] = [prompt.prefixes[0].hash, prompt.prefixes[1].hash];
    for (interval_ms, expected) in [(100, best(outer)), (5_000, best(inner))] {
        let mut owner = CacheLocations::default();
        owner.set_complete();
        for no in 0..3 {
            owner.record_prompt(outer, at(no * interval_ms));
        }
        let choice = choose(&prompt, &engines, 1, &owner).unwrap();
        assert_eq!(engines[choice.at].seed, expected, "{interval_ms} ms");
    }
}
