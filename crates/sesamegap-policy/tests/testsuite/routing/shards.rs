use crate::support::at;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use rustc_hash::FxHashMap;
use sesamegap_policy::routing::Openness;
use sesamegap_policy::routing::engines::{self, Engine, Prefix, Prompt, inner_home, seed};
use sesamegap_policy::routing::placed::{Placed, Placement, Sum};
use sesamegap_policy::routing::recall::Recall;
use sesamegap_policy::routing::shards::{Division, SMALL, owner};
use std::time::Duration;

/// Prompt tokens that an engine of this world reads in a millisecond.
const READS: u64 = 38;

/// Tokens of a prompt, of which most are shared.
const TOKENS: u64 = 9_000;

/// Part of the time for which engines read, in percent.
const BUSY: u64 = 45;

/// Milliseconds played.
const PLAYED: u64 = 20_000;

/// Milliseconds until a VM hears of what another has placed, where it does.
const TOLD: u64 = 60;

/// How VMs know what engines have to read.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Way {
    /// Each goes by what it sent itself, and what every third prompt's VM told all.
    Told,
    /// Owners of shards place.
    Owned,
}

struct Fleet {
    seeds: Vec<u64>,
    /// When each engine has read all that it got.
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
                seed,
                life: seed,
                near: true,
                running: 0,
                slots: 16,
                waiting: 0,
                unread: unread(seed),
                version: 1,
                state: Openness::Open,
                long: true,
                store: 1,
            })
            .collect()
    }

    /// Sends a prompt to an engine; how many milliseconds later it is read.
    fn send(&mut self, seed: u64, now: u64) -> u64 {
        let no = self.seeds.iter().position(|known| *known == seed);
        let free = &mut self.free[no.expect("an engine of the fleet")];
        *free = (*free).max(now) + TOKENS / READS;
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

/// What one VM knows to be unread: tokens, since when, and until when they count.
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

/// Plays full load; the share of prompts that are read later than a second after they came.
fn late(vms: usize, count: usize, way: Way) -> f64 {
    let mut rng = StdRng::seed_from_u64(vms as u64);
    let mut fleet = Fleet::new(count);
    let names: Vec<u64> = (0..vms).map(|no| seed(&format!("vm-{no}"))).collect();
    let mut known: Vec<Known> = (0..vms).map(|_| Known::default()).collect();
    let mut owned: Vec<Placed<u64>> = (0..vms).map(|_| Placed::default()).collect();
    let mut reads: Vec<(u64, usize, u64)> = Vec::new();
    let division = Division::of(count);
    let prompts = count as u64 * BUSY * READS * PLAYED / (100 * TOKENS);
    let mut times: Vec<u64> = (0..prompts).map(|_| rng.random_range(0..PLAYED)).collect();
    times.sort_unstable();
    let (mut late, mut recall) = (0, Recall::default());
    // Outer prefixes are read everywhere before the load comes.
    for seed in &fleet.seeds {
        (0..4).for_each(|outer| recall.note(outer, *seed, 1, at(0)));
    }
    for (number, now) in times.into_iter().enumerate() {
        let number = number as u64;
        let vm = rng.random_range(0..vms);
        let prompt = prompt(rng.random_range(0..12 * count as u64));
        reads.retain(|(when, owner, number)| {
            let due = *when + TOLD <= now;
            if due {
                owned[*owner].end(number);
            }
            !due
        });
        let home = inner_home(&prompt, fleet.seeds.iter().map(|seed| (*seed, true)));
        let shard = division.shard(home.expect("engines"));
        let desk = owner(shard, names.iter().copied()).expect("VMs");
        let views = match way {
            Way::Told => fleet.views(|_| true, |seed| known[vm].unread(seed, now)),
            Way::Owned => fleet.views(
                |seed| division.shard(seed) == shard,
                |seed| owned[desk].at(seed).unread,
            ),
        };
        let choice = engines::choose(&prompt, &views, 1, &recall).expect("an open engine");
        let chosen = views[choice.at];
        let took = fleet.send(chosen.seed, now);
        late += u64::from(took > 1_000);
        if way == Way::Owned {
            let placement = Placement {
                life: chosen.seed,
                tokens: TOKENS,
                ahead: chosen.unread,
                left: Duration::from_secs(5),
                prefixes: Vec::new(),
                version: 1,
            };
            owned[desk].begin(number, placement, at(now));
            reads.push((now + took, desk, number));
            continue;
        }
        known[vm].note(chosen.seed, now, now + took);
        if number.is_multiple_of(3) {
            let until = now + took;
            let others = known.iter_mut().enumerate().filter(|(no, _)| *no != vm);
            others.for_each(|(_, known)| known.note(chosen.seed, now + TOLD, until));
        }
    }
    late as f64 / prompts as f64
}

/// Guards against prompts that queue at some engines beside idle ones, since no VM knows what the others sent.
#[test]
fn prompts_placed_by_owners_wait_less_in_large_fleets() {
    for (vms, engines) in [(85, 90), (195, 117), (340, 400)] {
        let told = late(vms, engines, Way::Told);
        let owned = late(vms, engines, Way::Owned);
        assert!(owned < 0.02, "{vms} VMs: {owned} late");
        assert!(owned * 3.0 < told, "{vms} VMs: {owned} late, told {told}");
    }
}

/// Guards against shards without engines, and against an owner of all.
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

/// Guards against prompts that all change owners when one engine or VM comes or goes.
#[test]
fn a_division_in_two_splits_shards_and_moves_none() {
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
    }
}

/// Guards against engines that seem busy for good, since a VM died that had prompts there.
#[test]
fn what_nobody_speaks_of_is_forgotten() {
    let mut placed = Placed::default();
    placed.begin(1, placement(9), at(0));
    placed.expire(at(700));
    assert_eq!(
        placed.at(9),
        Sum {
            running: 1,
            unread: 3_000
        }
    );
    placed.expire(at(900));
    assert_eq!(
        placed.at(9),
        Sum {
            running: 1,
            unread: 0
        }
    );
    placed.expire(at(5_000));
    assert_eq!(placed.at(9), Sum::default());
}

/// Guards against sums that drift when words come twice, late or in another order.
#[test]
fn words_in_any_order_leave_nothing_behind() {
    let mut placed = Placed::default();
    assert_eq!(placed.read(&1), None);
    placed.begin(1, placement(9), at(0));
    placed.begin(1, placement(8), at(1));
    assert_eq!(placed.at(9), Sum::default());
    let read = placed.read(&1).expect("it was placed");
    assert_eq!((read.life, read.version, read.prefixes.len()), (8, 4, 1));
    assert_eq!(placed.read(&1), None, "noted once");
    placed.end(&1);
    placed.end(&1);
    assert_eq!(placed.at(8), Sum::default());
}
