//! Seeds, cases and a log that may lose answers.

use quickcheck::{Arbitrary, Gen, QuickCheck, Testable};
use sesamegap_policy::agreement::Holder;
use sesamegap_wire::{Incarnation, Offset};
use std::env;

/// Seed of all runs, so that the verdict is the same every time.
const SEED: u64 = 0x5e5a_3e6a;

/// Longest sequence of steps tried.
const STEPS: usize = 120;

/// Cases of one property, unless `SESAMEGAP_CASES` says otherwise.
const CASES: u64 = 2000;

/// How many times more cases a fault planted on purpose may take to be found.
const PLANTED: u64 = 5;

pub fn check<T: Testable>(property: T) {
    runner(CASES).quickcheck(property);
}

/// Whether the same cases find a fault: a check must, in code that is broken on purpose.
pub fn finds_fault<T: Testable + 'static>(property: T) -> bool {
    runner(CASES * PLANTED).quicktest(property).is_err()
}

fn runner(usual: u64) -> QuickCheck {
    let cases = env::var("SESAMEGAP_CASES")
        .ok()
        .and_then(|text| text.parse().ok())
        .unwrap_or(usual);
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(STEPS, SEED))
        .tests(cases)
}

/// A small number below a bound that only the user knows; it shrinks to zero.
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

pub fn holder(vm: usize, incarnation: u64) -> Holder {
    Holder {
        vm: format!("vm-{vm}").parse().expect("valid"),
        incarnation: Incarnation(incarnation),
    }
}

/// A log stream with a clock and retention.
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

    /// Offset of the oldest record still kept.
    pub fn oldest(&self) -> Offset {
        let kept = self
            .records
            .iter()
            .position(|(time, _)| time + self.retention >= self.now);
        Offset(kept.unwrap_or(self.records.len()) as u64)
    }

    /// The record at an offset, with its time, unless it was dropped or never written.
    pub fn read(&self, offset: Offset) -> Option<(u64, R)> {
        if offset < self.oldest() {
            return None;
        }
        let index = usize::try_from(offset.0).ok()?;
        self.records.get(index).cloned()
    }
}
