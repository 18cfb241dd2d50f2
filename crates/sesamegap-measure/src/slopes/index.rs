//! The index of who holds which block, fed by cache events.

use super::fleet::{self, START};
use super::{Row, Rows};
use sesamegap_policy::placing::index::Index;
use std::hint::black_box;
use std::time::Instant;

/// Engines that hold the blocks: what an owner of the design size follows.
const ENGINES: usize = 5;

/// Lookups timed for each size.
const LOOKUPS: usize = 100_000;

pub fn measure(sizes: &[usize]) -> Vec<Row> {
    let mut rows = Rows::new("index", "blocks");
    for size in sizes {
        one(&mut rows, *size);
    }
    rows.list
}

fn one(rows: &mut Rows, size: usize) {
    let mut index = Index::new(size * 2);
    let slots: Vec<_> = (0..ENGINES).filter_map(|_| index.open()).collect();
    let block = |at: usize| (slots[at % slots.len()], fleet::key(at as u64));
    let start = Instant::now();
    for at in 0..size {
        let (slot, key) = block(at);
        index.stored(slot, key, START);
    }
    rows.time(size, "take in a stored block", start, size);
    rows.add(
        size,
        "memory of a block",
        index.bytes() as f64 / size as f64,
        "B",
    );
    let start = Instant::now();
    for at in 0..size {
        let (slot, key) = block(at);
        index.evicted(slot, key, START);
        index.stored(slot, fleet::key((size + at) as u64), START);
    }
    rows.time(size, "take in an eviction and a stored block", start, size);
    lookups(rows, &index, size);
    black_box(index.len());
}

/// Looks chains up of which all blocks are held, the longest way through the tables.
fn lookups(rows: &mut Rows, index: &Index, size: usize) {
    let blocks = usize::try_from(fleet::BLOCKS).unwrap_or(1);
    let mut found = Vec::new();
    let start = Instant::now();
    for turn in 0..LOOKUPS {
        let first = turn * 97 % (size - blocks * ENGINES);
        let held = (0..blocks).map(|n| fleet::key((size + first + n * ENGINES) as u64));
        let keys: Vec<_> = held.collect();
        index.depths(&keys, START, &mut found);
        black_box(&found);
    }
    rows.time(size, "look up a chain of 8 blocks", start, LOOKUPS);
}
