use super::idle_engine;
use crate::support::at;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use rustc_hash::FxHashMap;
use sesamegap_policy::routing::cache_locations::CacheLocations;
use sesamegap_policy::routing::candidates::{self, Seat};
use sesamegap_policy::routing::engines::{self, Engine, Prefix, Prompt, seed};
use sesamegap_policy::routing::placements::{Placement, Placements, Sum};
use sesamegap_policy::routing::shards::{Division, SMALL, owner};
use sesamegap_policy::routing::speeds::Speed;
use std::time::Duration;

/// Prompt tokens that a simulated engine prefills per millisecond.
const PREFILL_PER_MS: u64 = 38;

/// Tokens of a prompt, most of them shared.
const TOKENS: u64 = 9_000;

/// Share of the time that engines spend on prefill, in percent.
const PREFILL_PERCENT: u64 = 45;

/// Simulated milliseconds.
const SIMULATED_MS: u64 = 20_000;

/// Milliseconds until a VM learns of a peer's placement, if it does.
const PEER_DELAY_MS: u64 = 60;

/// How VMs learn the prefill backlog of engines.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Placing {
    /// Each VM uses its own prompts, and every third prompt of its peers.
    ByEachVm,
    /// The owner of the shard places the prompt.
    ByOwner,
}

struct Fleet {
    seeds: Vec<u64>,
    /// When each engine has prefilled all its prompts.
    free: Vec<u64>,
}

impl Fleet {
    fn new(count: usize) -> Self {
        Self {
            seeds: (0..count).map(|no| seed(&format!("engine-{no}"))).collect(),
            free: vec![0; count],
        }
    }

    fn views(&self, only: impl Fn(u64) -> bool, unread: impl Fn(u64) -> u64) -> Vec<Engine> {
        let seeds = self.seeds.iter().copied().filter(|seed| only(*seed));
        seeds
            .map(|seed| Engine {
                unread: unread(seed),
                ..idle_engine(seed)
            })
            .collect()
    }

    /// Sends a prompt to an engine; returns after how many milliseconds it is prefilled.
    fn send(&mut self, seed: u64, now: u64) -> u64 {
        let no = self.seeds.iter().position(|known| *known == seed);
        let free = &mut self.free[no.expect("an engine of the fleet")];
        *free = (*free).max(now) + TOKENS / PREFILL_PER_MS;
        *free - now
    }
}

fn prompt(part: u64) -> Prompt {
    let prefix = |hash, tokens| Prefix { hash, tokens };
    Prompt {
        prefixes: vec![prefix(part % 4, 2_500), prefix(1_000 + part, 6_300)],
        tokens: TOKENS,
    }
}

/// Prompts that one VM knows to be unread, by engine: since when and until when each counts.
#[derive(Debug, Default)]
struct Known(FxHashMap<u64, Vec<(u64, u64)>>);

impl Known {
    fn note(&mut self, seed: u64, from: u64, until: u64) {
        self.0.entry(seed).or_default().push((from, until));
    }

    fn unread(&self, seed: u64, now: u64) -> u64 {
        let all = self.0.get(&seed).into_iter().flatten();
        let left = all.filter(|(from, until)| *from <= now && now < *until);
        left.map(|(from, until)| TOKENS * (until - now) / (until - from).max(1))
            .sum()
    }
}

/// Simulates full load; returns the share of prompts whose prefill ends more than a second after their arrival.
fn late_share(vms: usize, count: usize, placing: Placing) -> f64 {
    let mut rng = StdRng::seed_from_u64(vms as u64);
    let mut fleet = Fleet::new(count);
    let names: Vec<u64> = (0..vms).map(|no| seed(&format!("vm-{no}"))).collect();
    let mut known: Vec<Known> = (0..vms).map(|_| Known::default()).collect();
    let mut owned: Vec<Placements<u64>> = (0..vms).map(|_| Placements::default()).collect();
    let mut reads: Vec<(u64, usize, u64)> = Vec::new();
    let division = Division::of(count);
    let prompts = count as u64 * PREFILL_PERCENT * PREFILL_PER_MS * SIMULATED_MS / (100 * TOKENS);
    let mut times: Vec<u64> = (0..prompts)
        .map(|_| rng.random_range(0..SIMULATED_MS))
        .collect();
    times.sort_unstable();
    let (mut late, mut cache_locations) = (0, CacheLocations::default());
    // All engines have prefilled the outer prefixes before the load starts.
    for seed in &fleet.seeds {
        (0..4).for_each(|outer| cache_locations.note(outer, *seed, 1, at(0)));
    }
    for (number, now) in times.into_iter().enumerate() {
        let number = number as u64;
        let vm = rng.random_range(0..vms);
        let prompt = prompt(rng.random_range(0..12 * count as u64));
        reads.retain(|(when, owner, number)| {
            let due = *when + PEER_DELAY_MS <= now;
            if due {
                owned[*owner].end(number);
            }
            !due
        });
        let seats = fleet.seeds.iter().map(|seed| Seat {
            seed: *seed,
            long: true,
        });
        let seats: Vec<Seat> = seats.collect();
        let home = candidates::home(&prompt, &seats, |_| true).expect("engines");
        let shard = division.shard(seats[home].seed);
        let placing_vm = owner(shard, names.iter().copied()).expect("VMs");
        let views = match placing {
            Placing::ByEachVm => fleet.views(|_| true, |seed| known[vm].unread(seed, now)),
            Placing::ByOwner => fleet.views(
                |seed| division.shard(seed) == shard,
                |seed| owned[placing_vm].at(seed).unread,
            ),
        };
        let choice = engines::choose(&prompt, &views, 1, &cache_locations).expect("an open engine");
        let chosen = views[choice.at];
        let took = fleet.send(chosen.seed, now);
        late += u64::from(took > 1_000);
        if placing == Placing::ByOwner {
            let placement = Placement {
                life: chosen.seed,
                tokens: TOKENS,
                ahead: chosen.unread,
                left: Duration::from_secs(5),
                prefixes: Vec::new(),
                version: 1,
                priority: 0,
                speed: Speed::USUAL,
                kind: None,
            };
            owned[placing_vm].begin(number, placement, at(now));
            reads.push((now + took, placing_vm, number));
            continue;
        }
        known[vm].note(chosen.seed, now, now + took);
        if number.is_multiple_of(3) {
            let until = now + took;
            let others = known.iter_mut().enumerate().filter(|(no, _)| *no != vm);
            others.for_each(|(_, known)| known.note(chosen.seed, now + PEER_DELAY_MS, until));
        }
    }
    late as f64 / prompts as f64
}

/// Guards against prompts that queue at some engines beside idle ones because no VM knows what its peers sent.
#[test]
fn prompts_placed_by_owners_wait_less_in_large_fleets() {
    for (vms, engines) in [(85, 90), (195, 117), (340, 400)] {
        let by_each_vm = late_share(vms, engines, Placing::ByEachVm);
        let by_owner = late_share(vms, engines, Placing::ByOwner);
        assert!(by_owner < 0.02, "{vms} VMs: {by_owner} late");
        assert!(
            by_owner * 3.0 < by_each_vm,
            "{vms} VMs: {by_owner} late with owners, {by_each_vm} without"
        );
    }
}

/// Guards against shards without engines, and against one VM that owns all shards.
#[test]
fn shards_and_owners_are_spread() {
    for engines in [12, 90, 117, 140, 1_700] {
        let division = Division::of(engines);
        let mut sizes: FxHashMap<u32, usize> = FxHashMap::default();
        for no in 0..engines {
            let seed = seed(&format!("engine-{no}"));
            *sizes.entry(division.shard(seed)).or_default() += 1;
        }
        assert_eq!(sizes.len(), 1 << division.bits(), "{engines} engines");
        assert!(
            sizes.values().all(|size| *size <= 32),
            "{engines}: {sizes:?}"
        );
    }
    let vms: Vec<u64> = (0..195).map(|no| seed(&format!("vm-{no}"))).collect();
    let mut owners: Vec<usize> = (0..16)
        .filter_map(|no| owner(no, vms.iter().copied()))
        .collect();
    owners.sort_unstable();
    owners.dedup();
    assert!(owners.len() > 12 && vms.len() > SMALL, "{owners:?}");
}

/// Guards against a change of most owners when a single engine or VM joins or leaves.
#[test]
fn doubling_the_shards_splits_each_in_two() {
    let (coarse, fine) = (Division::from_bits(3), Division::from_bits(4));
    for no in 0..500 {
        let seed = seed(&format!("engine-{no}"));
        assert_eq!(coarse.shard(seed), fine.shard(seed) / 2);
    }
    let vms: Vec<u64> = (0..50).map(|no| seed(&format!("vm-{no}"))).collect();
    for shard in 0..64 {
        let with = owner(shard, vms.iter().copied()).expect("VMs");
        let without = owner(shard, vms.iter().copied().take(49)).expect("VMs");
        assert!(with == without || with == 49);
    }
}

fn placement(life: u64) -> Placement {
    Placement {
        life,
        tokens: 3_000,
        ahead: 0,
        left: Duration::from_secs(5),
        prefixes: vec![Prefix {
            hash: 7,
            tokens: 2_000,
        }],
        version: 4,
        priority: 1,
        speed: Speed::USUAL,
        kind: None,
    }
}

/// One running prompt of [`placement`] with this many unread tokens.
fn one_running(unread: u64) -> Sum {
    let mut sum = Sum {
        running: 1,
        unread,
        ..Sum::default()
    };
    sum.levels.add(1, unread);
    sum.running_levels.add(1, 1);
    sum
}

/// Guards against engines that look busy forever because a VM with prompts there crashed.
#[test]
fn placements_without_reports_expire() {
    let mut placed = Placements::default();
    placed.begin(1, placement(9), at(0));
    placed.expire(at(700));
    assert_eq!(placed.at(9), one_running(3_000));
    placed.expire(at(900));
    assert_eq!(placed.at(9), one_running(0));
    placed.expire(at(5_000));
    assert_eq!(placed.at(9), Sum::default());
}

/// Guards against totals that drift when reports are duplicated, late or reordered.
#[test]
fn reports_in_any_order_leave_no_residue() {
    let mut placed = Placements::default();
    assert_eq!(placed.record_prefill(&1), None);
    placed.begin(1, placement(9), at(0));
    placed.begin(1, placement(8), at(1));
    assert_eq!(placed.at(9), Sum::default());
    let read = placed.record_prefill(&1).expect("it was placed");
    assert_eq!((read.life, read.version, read.prefixes.len()), (8, 4, 1));
    assert_eq!(placed.record_prefill(&1), None, "reported once");
    placed.end(&1);
    placed.end(&1);
    assert_eq!(placed.at(8), Sum::default());
}
