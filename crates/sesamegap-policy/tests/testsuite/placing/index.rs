//! The index against a reference implementation on plain maps.

use super::support::{first_failure, key};
use quickcheck::{Arbitrary, Gen};
use sesamegap_policy::placing::index::{Index, Slot, UNCONFIRMED_TTL};
use sesamegap_wire::{BlockKey, Moment};
use std::collections::HashMap;

const ENGINES: usize = 4;
const KEYS: u64 = 24;
/// Half a second, a whole number of ticks, so that the reference needs no ticks.
const STEP_MICROS: u64 = 500_000;

#[derive(Debug, Clone)]
enum Op {
    Stored(usize, u64),
    Expect(usize, u64),
    Evicted(usize, u64),
    Restart(usize),
    Doubt(usize),
    Relist(usize, Vec<u64>),
    Pass(u64),
}

impl Arbitrary for Op {
    fn arbitrary(g: &mut Gen) -> Self {
        let engine = usize::arbitrary(g) % ENGINES;
        let key = u64::arbitrary(g) % KEYS;
        match u8::arbitrary(g) % 16 {
            0..5 => Self::Stored(engine, key),
            5..8 => Self::Expect(engine, key),
            8..11 => Self::Evicted(engine, key),
            11 => Self::Restart(engine),
            12 => Self::Doubt(engine),
            13 => Self::Relist(engine, (0..KEYS).filter(|_| bool::arbitrary(g)).collect()),
            _ => Self::Pass(u64::arbitrary(g) % 12),
        }
    }
}

/// Blocks of one engine, with the last use and whether each is confirmed.
#[derive(Default)]
struct ReferenceCache {
    held: HashMap<u64, (u64, bool)>,
    doubt: Option<u64>,
    age: Option<f64>,
}

impl ReferenceCache {
    fn put(&mut self, key: u64, now: u64, confirmed: bool) {
        let held = self.held.entry(key).or_insert((now, confirmed));
        *held = (now, held.1 || confirmed);
    }

    fn evict(&mut self, key: u64, now: u64) {
        if let Some((used, true)) = self.held.remove(&key) {
            let age = self.age.unwrap_or(30.0);
            let seen = (now - used) as f64 / 1e6;
            self.age = Some(age + (seen - age) / 32.0);
        }
    }

    fn relist(&mut self, keys: &[u64], now: u64) {
        let old = std::mem::take(&mut self.held);
        for key in keys {
            let confirmed = old.get(key).filter(|(_, confirmed)| *confirmed);
            self.held
                .insert(*key, (confirmed.map_or(now, |(used, _)| *used), true));
        }
        self.doubt = None;
    }

    fn is_held(&self, key: u64, now: u64) -> bool {
        let Some((used, confirmed)) = self.held.get(&key).copied() else {
            return false;
        };
        let age = (now - used) as f64 / 1e6;
        if !confirmed {
            return age < UNCONFIRMED_TTL.as_secs_f64();
        }
        let doubted = self.doubt.is_some_and(|since| used <= since);
        !doubted || age < self.age.unwrap_or(30.0)
    }
}

/// Faults injected to verify that the comparison detects them.
#[derive(Clone, Copy, PartialEq)]
enum Fault {
    None,
    KeepsEvicted,
    SurvivesRestart,
    TrustsDoubted,
    ForgetsListing,
}

struct IndexUnderTest {
    index: Index,
    slots: Vec<Slot>,
    fault: Fault,
}

impl IndexUnderTest {
    fn apply(&mut self, op: &Op, now: Moment) {
        match op {
            Op::Stored(e, k) => self.index.stored(self.slots[*e], key(*k), now),
            Op::Expect(e, k) => self.index.expect(self.slots[*e], key(*k), now),
            Op::Evicted(e, k) if self.fault != Fault::KeepsEvicted => {
                self.index.evicted(self.slots[*e], key(*k), now);
            }
            Op::Restart(e) if self.fault != Fault::SurvivesRestart => {
                self.index.close(self.slots[*e]);
                self.slots[*e] = self.index.open().unwrap();
            }
            Op::Doubt(e) if self.fault != Fault::TrustsDoubted => {
                self.index.doubt(self.slots[*e], now);
            }
            Op::Relist(e, keys) if self.fault != Fault::ForgetsListing => {
                let keys: Vec<BlockKey> = keys.iter().map(|k| key(*k)).collect();
                self.slots[*e] = self.index.relist(self.slots[*e], &keys, now);
            }
            _ => {}
        }
    }
}

fn check(ops: &[Op], fault: Fault) -> Result<(), String> {
    let mut index = Index::new(100_000);
    let slots = (0..ENGINES).map(|_| index.open().unwrap()).collect();
    let mut tested = IndexUnderTest {
        index,
        slots,
        fault,
    };
    let mut reference: Vec<ReferenceCache> =
        (0..ENGINES).map(|_| ReferenceCache::default()).collect();
    let mut now = 1_000_000_000;
    for op in ops {
        tested.apply(op, Moment(now));
        match op {
            Op::Stored(e, k) => reference[*e].put(*k, now, true),
            Op::Expect(e, k) => reference[*e].put(*k, now, false),
            Op::Evicted(e, k) => reference[*e].evict(*k, now),
            Op::Restart(e) => reference[*e] = ReferenceCache::default(),
            Op::Doubt(e) => reference[*e].doubt = Some(now),
            Op::Relist(e, keys) => reference[*e].relist(keys, now),
            Op::Pass(steps) => now += steps * STEP_MICROS,
        }
        // Several calls for each operation, so that sweeps complete within the simulated time.
        for _ in 0..40 {
            tested.index.sweep(Moment(now));
        }
        compare(&tested, &reference, now).map_err(|fault| format!("{fault} after {op:?}"))?;
    }
    Ok(())
}

fn compare(tested: &IndexUnderTest, reference: &[ReferenceCache], now: u64) -> Result<(), String> {
    let numbers: Vec<u64> = (0..KEYS).collect();
    let mut found = Vec::new();
    for chain in numbers.chunks(6) {
        let keys: Vec<BlockKey> = chain.iter().map(|k| key(*k)).collect();
        tested.index.depths(&keys, Moment(now), &mut found);
        for (engine, reference) in reference.iter().enumerate() {
            let slot = tested.slots[engine];
            let wanted = chain
                .iter()
                .take_while(|k| reference.is_held(**k, now))
                .count();
            let depth = found
                .iter()
                .find(|d| d.slot == slot)
                .map_or(0, |d| d.blocks);
            let alone = tested.index.depth(slot, &keys, Moment(now));
            if usize::from(depth) != wanted || alone != depth {
                return Err(format!("engine {engine}: {depth}, {alone}, not {wanted}"));
            }
        }
    }
    Ok(())
}

#[test]
fn matches_a_reference_map() {
    let failure = first_failure(|ops: &Vec<Op>| check(ops, Fault::None));
    assert_eq!(failure, None);
}

#[test]
fn the_comparison_detects_injected_faults() {
    let faults = [
        Fault::KeepsEvicted,
        Fault::SurvivesRestart,
        Fault::TrustsDoubted,
        Fault::ForgetsListing,
    ];
    for fault in faults {
        assert!(first_failure(|ops: &Vec<Op>| check(ops, fault)).is_some());
    }
}

/// More blocks arrive than the index may hold. Without a bound, a router's memory would grow until
/// its VM kills the process and all its callers are disconnected.
#[test]
fn forgets_the_oldest_when_full() {
    let mut index = Index::new(10_000);
    let slot = index.open().unwrap();
    for number in 0..60_000 {
        index.stored(slot, key(number), Moment(1_000_000_000 + number * 10_000));
    }
    assert!(index.len() <= 10_240, "{} blocks", index.len());
    let now = Moment(1_000_000_000 + 600_000_000);
    let newest = (59_000..60_000).filter(|n| index.depth(slot, &[key(*n)], now) == 1);
    assert_eq!(newest.count(), 1000);
    assert_eq!(index.held(slot), index.len() as u64);
}

#[test]
fn reuses_closed_slots() {
    let mut index = Index::new(1000);
    let mut now = Moment(1_000_000_000);
    for round in 0..70_000_u64 {
        let slot = index.open().expect("a slot is free");
        index.stored(slot, key(round % 7), now);
        index.close(slot);
        now = Moment(now.0 + 20_000);
        index.sweep(now);
    }
}
