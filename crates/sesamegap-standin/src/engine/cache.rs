//! An engine's cache of prompt blocks, least recently used out first.

use sesamegap_wire::{BlockKey, ModelId, WeightsVersion};
use std::collections::{BTreeMap, HashMap};

/// What a cached block was computed with.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Tag {
    /// The model.
    pub model: ModelId,
    /// Its weights.
    pub version: WeightsVersion,
}

#[derive(Debug)]
struct Entry {
    used: u64,
    tag: Tag,
}

/// Blocks held, up to a capacity.
#[derive(Debug)]
pub(crate) struct Cache {
    capacity: usize,
    clock: u64,
    entries: HashMap<BlockKey, Entry>,
    order: BTreeMap<u64, BlockKey>,
}

impl Cache {
    pub(crate) fn new(capacity: usize) -> Self {
        Self {
            capacity,
            clock: 0,
            entries: HashMap::new(),
            order: BTreeMap::new(),
        }
    }

    /// How many of the keys are held from the first on, and marks these as used.
    ///
    /// The outermost block is marked last, so that the end of a prompt is evicted before its
    /// beginning, without which it is of no use.
    pub(crate) fn held(&mut self, keys: &[BlockKey]) -> usize {
        let held = keys.iter().take_while(|key| self.entries.contains_key(key));
        let count = held.count();
        for key in keys[..count].iter().rev() {
            self.touch(*key);
        }
        count
    }

    /// What a block was computed with, if it is held.
    pub(crate) fn tag(&self, key: BlockKey) -> Option<Tag> {
        self.entries.get(&key).map(|entry| entry.tag.clone())
    }

    /// Takes a block in, and returns those that had to go for it.
    pub(crate) fn store(&mut self, key: BlockKey, tag: Tag) -> Vec<(BlockKey, Tag)> {
        if self.entries.contains_key(&key) {
            self.touch(key);
            return Vec::new();
        }
        self.clock += 1;
        let used = self.clock;
        self.entries.insert(key, Entry { used, tag });
        self.order.insert(used, key);
        let mut gone = Vec::new();
        while self.entries.len() > self.capacity {
            let Some((_, old)) = self.order.pop_first() else {
                break;
            };
            if let Some(entry) = self.entries.remove(&old) {
                gone.push((old, entry.tag));
            }
        }
        gone
    }

    /// All keys held, the most recently used first.
    pub(crate) fn keys(&self) -> Vec<BlockKey> {
        self.order.values().rev().copied().collect()
    }

    fn touch(&mut self, key: BlockKey) {
        let Some(entry) = self.entries.get_mut(&key) else {
            return;
        };
        self.clock += 1;
        self.order.remove(&entry.used);
        entry.used = self.clock;
        self.order.insert(self.clock, key);
    }
}
