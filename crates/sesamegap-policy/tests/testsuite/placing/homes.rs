//! Ring and home sets against reference implementations, and properties all routers rely on.

use super::support::{chain, engine, first_failure, key};
use sesamegap_policy::placing::heat::Heat;
use sesamegap_policy::placing::homes::{Homes, score};
use sesamegap_policy::placing::ring::{EngineNo, Ring, probe_position};
use sesamegap_wire::{BlockKey, Moment};

fn seed(no: EngineNo) -> u64 {
    let hash = blake3::hash(engine(no.at()).as_str().as_bytes());
    u64::from_le_bytes(hash.as_bytes()[..8].try_into().unwrap())
}

fn ring(numbers: impl Iterator<Item = u16>) -> Ring {
    let mut ring = Ring::default();
    for no in numbers.map(EngineNo) {
        ring.set(no, seed(no), 1.0);
    }
    ring
}

/// Computes the order of preference by scanning all points for each probe.
fn naive_walk(ring: &Ring, key: BlockKey, most: usize) -> Vec<EngineNo> {
    let mut found = Vec::new();
    for nth in 0..10_000 {
        let at = probe_position(key, nth);
        let points = ring.points().iter();
        let (_, no) = points
            .min_by_key(|(point, _)| point.wrapping_sub(at))
            .unwrap();
        if !found.contains(no) {
            found.push(*no);
        }
        if found.len() == most {
            break;
        }
    }
    found
}

fn check_walk(case: &(u16, u64), skip: u64) -> Result<(), String> {
    let ring = ring(0..case.0 % 40 + 5);
    let mut found = Vec::new();
    // A shifted key is the injected fault.
    let production = BlockKey(key(case.1).0.wrapping_add(u128::from(skip) << 64));
    ring.walk(production, 4, &mut found);
    let wanted = naive_walk(&ring, key(case.1), 4);
    if found == wanted {
        return Ok(());
    }
    Err(format!("{found:?}, not {wanted:?}"))
}

#[test]
fn walk_matches_a_scan_of_all_points() {
    assert_eq!(first_failure(|case| check_walk(case, 0)), None);
    assert!(first_failure(|case| check_walk(case, 1)).is_some());
}

/// Narrows with the production code, or with a faulty version that keeps the lowest scores.
fn narrow(production: bool, key: BlockKey, most: usize, all: &[EngineNo]) -> Vec<EngineNo> {
    let mut found = all.to_vec();
    if production {
        Homes::default().narrow(key, most, seed, &mut found);
    } else {
        found.sort_by_key(|no| score(key, seed(*no)));
        found.truncate(most);
    }
    found
}

fn check_narrow(case: &(u16, u64, usize), production: bool) -> Result<(), String> {
    let all: Vec<EngineNo> = (0..case.0 % 50 + 2).map(EngineNo).collect();
    let most = case.2 % all.len() + 1;
    let found = narrow(production, key(case.1), most, &all);
    let mut sorted = all;
    sorted.sort_by_key(|no| std::cmp::Reverse(score(key(case.1), seed(*no))));
    sorted.truncate(most);
    if found == sorted {
        return Ok(());
    }
    Err(format!("{found:?}, not {sorted:?}"))
}

#[test]
fn inner_sets_match_a_full_sort() {
    assert_eq!(first_failure(|case| check_narrow(case, true)), None);
    assert!(first_failure(|case| check_narrow(case, false)).is_some());
}

#[test]
fn every_inner_set_is_a_subset_of_the_enclosing_set() {
    let ring = ring(0..40);
    let mut heat = Heat::default();
    for dossier in 0..200 {
        let prompt = chain(dossier % 5, dossier, 6, 1);
        for _ in 0..dossier {
            heat.count(prompt.keys[6]);
        }
        let mut found = Vec::new();
        let mut outer = Vec::new();
        let mut shorter = prompt.clone();
        shorter.levels = prompt.levels[..1].to_vec().into();
        Homes::default().find(&shorter, &ring, &heat, seed, &mut outer);
        Homes::default().find(&prompt, &ring, &heat, seed, &mut found);
        assert!(
            found.iter().all(|no| outer.contains(no)),
            "dossier {dossier}"
        );
        assert!(found.len() >= 2);
    }
}

/// Two routers learn of the engines in different orders. If they disagreed on home sets, each
/// dossier would be computed on several engines.
#[test]
fn routers_agree_whatever_the_order_of_engines() {
    let forward = ring(0..30);
    let backward = ring((0..30).rev());
    for number in 0..500 {
        let (mut one, mut two) = (Vec::new(), Vec::new());
        forward.walk(key(number), 5, &mut one);
        backward.walk(key(number), 5, &mut two);
        assert_eq!(one, two);
    }
}

/// An engine is removed. If other engines' keys moved too, the caches of the whole fleet would become
/// useless at once.
#[test]
fn a_removed_engine_moves_only_its_own_keys() {
    let before = ring(0..20);
    let mut after = before.clone();
    after.remove(EngineNo(7));
    let first = |ring: &Ring, number: u64| {
        let mut found = Vec::new();
        ring.walk(key(number), 1, &mut found);
        found[0]
    };
    let kept = (0..2000).filter(|n| first(&before, *n) != EngineNo(7));
    for number in kept {
        assert_eq!(first(&before, number), first(&after, number));
    }
}

/// A dossier is hot for a while. Its home set must grow, or one engine would get all of its requests,
/// and shrink later, or its blocks would fill the memory of engines that no longer need them.
#[test]
fn a_set_grows_with_load_and_shrinks_later() {
    let ring = ring(0..20);
    let prompt = chain(1, 1, 6, 1);
    let mut heat = Heat::default();
    let size = |heat: &Heat| {
        let mut found = Vec::new();
        Homes::default().find(&prompt, &ring, heat, seed, &mut found);
        found.len()
    };
    let cold = size(&heat);
    for _ in 0..1000 {
        heat.count(prompt.keys[6]);
        heat.count(prompt.keys[7]);
    }
    let hot = size(&heat);
    assert!(hot > cold, "{hot} and {cold}");
    heat.decay(Moment(15_000_000));
    assert!(size(&heat) > cold, "a set does not shrink at once");
    for second in 1..20 {
        heat.decay(Moment(second * 15_000_000));
    }
    assert_eq!(size(&heat), cold);
}

#[test]
fn the_sketch_keeps_the_hottest_prefix() {
    let mut heat = Heat::default();
    for number in 0..20_000 {
        heat.count(key(number));
        if number % 10 == 0 {
            heat.count(key(u64::MAX - 1));
        }
    }
    assert!(heat.len() <= 512);
    assert_eq!(heat.hottest()[0].0, key(u64::MAX - 1));
}
