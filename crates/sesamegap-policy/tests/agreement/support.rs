//! Property test runner with a fixed seed, generators, and an in-memory log stream.

use quickcheck::{Arbitrary, Gen, QuickCheck, Testable};
use sesamegap_policy::agreement::ProcessId;
use sesamegap_wire::{Incarnation, Offset};
use std::env;

/// Seed of all runs, so that results are reproducible.
const SEED: u64 = 0x5e5a_3e6a;

/// Maximum length of a generated sequence of steps.
const MAX_STEPS: usize = 120;

/// Cases for each property, unless `SESAMEGAP_CASES` overrides it.
const CASES: u64 = 2000;

/// Factor by which the number of cases grows when searching for an injected fault.
const FAULT_CASES_FACTOR: u64 = 5;

pub fn check<T: Testable>(property: T) {
    runner(CASES).quickcheck(property);
}

/// Whether the generated cases falsify the property; used to verify that a property detects an
/// injected fault.
pub fn finds_fault<T: Testable + 'static>(property: T) -> bool {
    runner(CASES * FAULT_CASES_FACTOR)
        .quicktest(property)
        .is_err()
}

fn runner(default_cases: u64) -> QuickCheck {
    let cases = env::var("SESAMEGAP_CASES")
        .ok()
        .and_then(|text| text.parse().ok())
        .unwrap_or(default_cases);
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(MAX_STEPS, SEED))
        .tests(cases)
}

/// A generated number that the test reduces to its own bound; shrinks to zero.
#[derive(Debug, Clone, Copy)]
pub struct Pick(u8);

impl Pick {
    pub fn below(self, bound: usize) -> usize {
        usize::from(self.0) % bound.max(1)
    }
}

impl Arbitrary for Pick {
    fn arbitrary(g: &mut Gen) -> Self {
        Self(u8::arbitrary(g))
    }

    fn shrink(&self) -> Box<dyn Iterator<Item = Self>> {
        Box::new(self.0.shrink().map(Self))
    }
}

pub fn holder(vm: usize, incarnation: u64) -> ProcessId {
    ProcessId {
        vm: format!("vm-{vm}").parse().expect("valid"),
        incarnation: Incarnation(incarnation),
    }
}

/// An in-memory log stream with a clock and a retention.
#[derive(Debug)]
pub struct FakeLog<R> {
    pub now: u64,
    pub records: Vec<(u64, R)>,
    retention: u64,
}

impl<R: Clone> FakeLog<R> {
    pub fn new(retention: u64) -> Self {
        Self {
            now: 1_000_000,
            records: Vec::new(),
            retention,
        }
    }

    pub fn append(&mut self, record: R) {
        self.records.push((self.now, record));
    }

    /// Returns the offset of the oldest retained record.
    pub fn oldest(&self) -> Offset {
        let kept = self
            .records
            .iter()
            .position(|(time, _)| time + self.retention >= self.now);
        Offset(kept.unwrap_or(self.records.len()) as u64)
    }

    /// Returns the record at an offset with its timestamp, unless it was dropped or never written.
    pub fn read(&self, offset: Offset) -> Option<(u64, R)> {
        if offset < self.oldest() {
            return None;
        }
        let index = usize::try_from(offset.0).ok()?;
        self.records.get(index).cloned()
    }
}
