//! Index of which engine is believed to hold which block.
//!
//! The entries of an engine refer to a *slot*, a small number that is replaced with each
//! incarnation and each listing. Forgetting all entries of an engine then takes constant time; a
//! sweep later removes the stale ones, a shard at a time, before the slot is reused. Keys are
//! truncated to 64 bits: the index is only a hint, so a collision costs one recomputation.
//!
//! Each holding records its last use by this router, in coarse ticks, and whether the engine has
//! confirmed it. An entry made when a request is sent counts for [`UNCONFIRMED_TTL`] only, unless an event
//! or an answer confirms it. Where events were lost, a holding counts while it is younger than the
//! engine's learned eviction age.
//!
//! Memory is bounded: a full shard removes its least recently used quarter of blocks.

use super::holders::{Holders, Holding, PutResult};
use super::ticks::{TICK_MASK, seconds, tick, ticks_since};
use rustc_hash::FxHashMap;
use sesamegap_wire::{BlockKey, Moment};
use std::time::Duration;

/// How long an unconfirmed block counts as held: the time that a long prompt spends in an engine's
/// queue, plus the delay of its cache event.
pub const UNCONFIRMED_TTL: Duration = Duration::from_secs(10);

/// Number of shards. One is swept at a time, so the longest pause is about a microsecond at a
/// router's share of 353,000 blocks.
const SHARDS: usize = 2048;

/// Time for a sweep over all shards; a closed slot can be reused after two sweeps.
const SWEEP_INTERVAL: Duration = Duration::from_mins(1);

/// Maximum age, to which the sweep clips older ones before ticks wrap around.
const MAX_AGE_TICKS: u16 = TICK_MASK / 2;

/// Eviction age assumed until an eviction has been seen.
const INITIAL_EVICTION_AGE: Duration = Duration::from_secs(30);

/// Weight of a new sample in the learned eviction age, which covers about the last 30 evictions.
const EVICTION_AGE_GAIN: f64 = 1.0 / 32.0;

/// Identifies one generation of an engine's cache in the index.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Slot(pub(super) u16);

impl Slot {
    /// The slot number as an array index.
    pub fn at(self) -> usize {
        usize::from(self.0)
    }
}

/// State of a slot.
#[derive(Debug, Clone)]
struct SlotState {
    live: bool,
    /// Number of completed sweeps when the slot was closed.
    closed_in_sweep: u64,
    /// Holdings last used at or before this tick are in doubt.
    doubt: Option<u16>,
    /// Learned time from last use to eviction, in seconds.
    eviction_age: f64,
    /// Number of blocks recorded for the slot.
    held: u32,
}

/// Index from blocks to the engines believed to hold them.
#[derive(Debug)]
pub struct Index {
    shards: Vec<FxHashMap<u64, Holders>>,
    /// Maximum number of blocks in one shard.
    limit: usize,
    slots: Vec<SlotState>,
    free: Vec<u16>,
    cursor: usize,
    sweeps_done: u64,
    next_sweep: Moment,
}

/// Number of leading blocks of a prompt that a slot holds.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Depth {
    /// The slot.
    pub slot: Slot,
    /// Number of leading blocks believed to be held.
    pub blocks: u16,
}

fn short_key(key: BlockKey) -> u64 {
    u64::try_from(key.0 >> 64).unwrap_or(0)
}

impl Index {
    /// Creates an index that holds approximately `most` blocks at most.
    pub fn new(most: usize) -> Self {
        Self {
            shards: (0..SHARDS).map(|_| FxHashMap::default()).collect(),
            limit: (most / SHARDS).max(4),
            slots: Vec::new(),
            free: Vec::new(),
            cursor: 0,
            sweeps_done: 0,
            next_sweep: Moment(0),
        }
    }

    /// Opens an empty slot for an engine's cache.
    ///
    /// Returns `None` if all slot numbers are in use or not yet swept.
    pub fn open(&mut self) -> Option<Slot> {
        let slot_state = SlotState {
            live: true,
            closed_in_sweep: 0,
            doubt: None,
            eviction_age: INITIAL_EVICTION_AGE.as_secs_f64(),
            held: 0,
        };
        if let Some(number) = self.free.pop() {
            self.slots[usize::from(number)] = slot_state;
            return Some(Slot(number));
        }
        let number = u16::try_from(self.slots.len()).ok()?;
        if number == Holding::NONE {
            return None;
        }
        self.slots.push(slot_state);
        Some(Slot(number))
    }

    /// Closes a slot and forgets its holdings.
    pub fn close(&mut self, slot: Slot) {
        let sweeps_done = self.sweeps_done;
        let slot_state = self.slot_state(slot);
        slot_state.live = false;
        slot_state.closed_in_sweep = sweeps_done;
    }

    /// Opens a new slot with the listed blocks and closes the old one.
    pub fn relist(&mut self, old: Slot, keys: &[BlockKey], now: Moment) -> Slot {
        let Some(new) = self.open() else { return old };
        self.slots[usize::from(new.0)].eviction_age = self.slots[usize::from(old.0)].eviction_age;
        for key in keys {
            let last_used = self.last_used(old, *key).unwrap_or(tick(now));
            self.put(new, *key, last_used, true);
        }
        self.close(old);
        new
    }

    /// Records a block that an engine reported as held.
    pub fn stored(&mut self, slot: Slot, key: BlockKey, now: Moment) {
        self.put(slot, key, tick(now), true);
    }

    /// Records a block of a request sent to the engine, which will hold it once computed.
    pub fn expect(&mut self, slot: Slot, key: BlockKey, now: Moment) {
        self.put(slot, key, tick(now), false);
    }

    /// Removes a block that an engine evicted, and updates its learned eviction age.
    pub fn evicted(&mut self, slot: Slot, key: BlockKey, now: Moment) {
        let Some(holding) = self.holders(key).and_then(|h| h.find(slot.0)) else {
            return;
        };
        if holding.confirmed() {
            let age = seconds(ticks_since(tick(now), holding.tick()));
            let slot_state = self.slot_state(slot);
            slot_state.eviction_age += (age - slot_state.eviction_age) * EVICTION_AGE_GAIN;
        }
        let shard = self.shard(key);
        let Some(holders) = shard.get_mut(&short_key(key)) else {
            return;
        };
        holders.remove(slot.0);
        if holders.is_empty() {
            shard.remove(&short_key(key));
        }
        self.decrement_held(slot.0);
    }

    /// Marks the current holdings of a slot as in doubt.
    pub fn doubt(&mut self, slot: Slot, now: Moment) {
        self.slot_state(slot).doubt = Some(tick(now));
    }

    /// Computes, for each slot that holds the first block, the number of leading blocks it holds.
    pub fn depths(&self, keys: &[BlockKey], now: Moment, found: &mut Vec<Depth>) {
        found.clear();
        let Some(first) = keys.first().and_then(|key| self.holders(*key)) else {
            return;
        };
        let now = tick(now);
        let believed = first.iter().filter(|h| self.is_believed(**h, now));
        found.extend(believed.map(|h| Depth {
            slot: Slot(h.slot),
            blocks: 1,
        }));
        for (at, key) in keys.iter().enumerate().skip(1) {
            let Some(holders) = self.holders(*key) else {
                return;
            };
            let mut alive = false;
            for depth in found.iter_mut().filter(|d| usize::from(d.blocks) == at) {
                if holders
                    .find(depth.slot.0)
                    .is_some_and(|h| self.is_believed(h, now))
                {
                    depth.blocks += 1;
                    alive = true;
                }
            }
            if !alive {
                return;
            }
        }
    }

    /// Returns the number of leading blocks that one slot holds.
    pub fn depth(&self, slot: Slot, keys: &[BlockKey], now: Moment) -> u16 {
        let now = tick(now);
        let held = keys.iter().take_while(|key| {
            self.holders(**key)
                .and_then(|h| h.find(slot.0))
                .is_some_and(|h| self.is_believed(h, now))
        });
        u16::try_from(held.count()).unwrap_or(u16::MAX)
    }

    /// Sweeps the next shard if it is due; must be called often.
    pub fn sweep(&mut self, now: Moment) {
        if now < self.next_sweep {
            return;
        }
        self.next_sweep = now + SWEEP_INTERVAL / u32::try_from(SHARDS).unwrap_or(1);
        let mut shard = std::mem::take(&mut self.shards[self.cursor]);
        let tick = tick(now);
        shard.retain(|_, holders| {
            holders.retain(|h| {
                let retained = self.retain_holding(h, tick);
                if !retained {
                    self.decrement_held(h.slot);
                }
                retained
            });
            !holders.is_empty()
        });
        self.shards[self.cursor] = shard;
        self.cursor = (self.cursor + 1) % SHARDS;
        if self.cursor == 0 {
            self.sweeps_done += 1;
            self.free_swept_slots();
        }
    }

    /// Number of blocks in the index.
    pub fn len(&self) -> usize {
        self.shards.iter().map(FxHashMap::len).sum()
    }

    /// Whether the index has no blocks.
    pub fn is_empty(&self) -> bool {
        self.shards.iter().all(FxHashMap::is_empty)
    }

    /// Memory used by the tables in bytes, computed from their capacity.
    pub fn bytes(&self) -> usize {
        // The hash table has one control byte per bucket and a maximum load factor of 7/8.
        let bucket = size_of::<(u64, Holders)>() + 1;
        let tables = self.shards.iter().map(|shard| {
            let many = shard.values().map(Holders::heap_bytes).sum::<usize>();
            shard.capacity() * 8 / 7 * bucket + many
        });
        tables.sum()
    }

    /// Learned time from last use to eviction, in seconds.
    pub fn eviction_age(&self, slot: Slot) -> f64 {
        self.slots[slot.at()].eviction_age
    }

    /// Number of blocks recorded for a slot.
    pub fn held(&self, slot: Slot) -> u64 {
        u64::from(self.slots[slot.at()].held)
    }

    /// Keys that a slot holds, most recently used first. Only the upper half of each key is stored.
    pub fn keys(&self, slot: Slot, now: Moment) -> Vec<BlockKey> {
        let now = tick(now);
        let mut held: Vec<(u16, u64)> = Vec::new();
        for (key, holders) in self.shards.iter().flatten() {
            if let Some(holding) = holders.find(slot.0).filter(|h| self.is_believed(*h, now)) {
                held.push((ticks_since(now, holding.tick()), *key));
            }
        }
        held.sort_unstable();
        let keys = held.into_iter();
        keys.map(|(_, key)| BlockKey(u128::from(key) << 64))
            .collect()
    }

    fn shard(&mut self, key: BlockKey) -> &mut FxHashMap<u64, Holders> {
        &mut self.shards[Self::shard_index(key)]
    }

    fn shard_index(key: BlockKey) -> usize {
        usize::try_from(key.0 >> 112).unwrap_or(0) % SHARDS
    }

    fn holders(&self, key: BlockKey) -> Option<&Holders> {
        self.shards[Self::shard_index(key)].get(&short_key(key))
    }

    fn slot_state(&mut self, slot: Slot) -> &mut SlotState {
        &mut self.slots[slot.at()]
    }

    /// Tick of the last use of a block if its holding is confirmed.
    fn last_used(&self, slot: Slot, key: BlockKey) -> Option<u16> {
        let holding = self.holders(key)?.find(slot.0)?;
        holding.confirmed().then_some(holding.tick())
    }

    fn put(&mut self, slot: Slot, key: BlockKey, last_used: u16, confirmed: bool) {
        let limit = self.limit;
        let shard = self.shard(key);
        let mut dropped = Vec::new();
        if shard.len() >= limit && !shard.contains_key(&short_key(key)) {
            dropped = forget_oldest(shard, last_used);
        }
        let holding = Holding::new(slot.0, last_used, confirmed);
        let outcome = shard.entry(short_key(key)).or_default().put(holding);
        if let PutResult::Replaced(old) = outcome {
            self.decrement_held(old);
        }
        if outcome != PutResult::Refreshed {
            self.slot_state(slot).held += 1;
        }
        for holding in dropped.iter().flat_map(Holders::iter) {
            self.decrement_held(holding.slot);
        }
    }

    fn decrement_held(&mut self, slot: u16) {
        let slot_state = &mut self.slots[usize::from(slot)];
        slot_state.held = slot_state.held.saturating_sub(1);
    }

    fn is_believed(&self, holding: Holding, now: u16) -> bool {
        let slot_state = &self.slots[usize::from(holding.slot)];
        if !slot_state.live {
            return false;
        }
        let age = ticks_since(now, holding.tick());
        if !holding.confirmed() {
            return seconds(age) < UNCONFIRMED_TTL.as_secs_f64();
        }
        let doubted = slot_state
            .doubt
            .is_some_and(|since| age >= ticks_since(now, since));
        !doubted || seconds(age) < slot_state.eviction_age
    }

    /// Whether the sweep keeps a holding; clips its age before ticks wrap around.
    fn retain_holding(&self, holding: &mut Holding, now: u16) -> bool {
        let live = self.slots[usize::from(holding.slot)].live;
        let age = ticks_since(now, holding.tick());
        if age > MAX_AGE_TICKS {
            *holding = Holding::new(
                holding.slot,
                now.wrapping_sub(MAX_AGE_TICKS) & TICK_MASK,
                holding.confirmed(),
            );
        }
        live && (holding.confirmed() || seconds(age) < UNCONFIRMED_TTL.as_secs_f64())
    }

    fn free_swept_slots(&mut self) {
        for (number, slot_state) in self.slots.iter_mut().enumerate() {
            if slot_state.live
                || slot_state.closed_in_sweep == u64::MAX
                || self.sweeps_done < slot_state.closed_in_sweep + 2
            {
                continue;
            }
            slot_state.closed_in_sweep = u64::MAX;
            self.free.push(u16::try_from(number).unwrap_or(u16::MAX));
        }
    }
}

/// Removes the least recently used quarter of a shard's blocks, so that the cost is amortized over
/// many insertions.
fn forget_oldest(shard: &mut FxHashMap<u64, Holders>, now: u16) -> Vec<Holders> {
    let age = |holders: &Holders| {
        let youngest = holders.iter().map(|h| ticks_since(now, h.tick())).min();
        youngest.unwrap_or(TICK_MASK)
    };
    let mut ages: Vec<(u16, u64)> = shard.iter().map(|(key, h)| (age(h), *key)).collect();
    let kept = ages.len() * 3 / 4;
    ages.select_nth_unstable(kept);
    let oldest = ages[kept..].iter();
    oldest.filter_map(|(_, key)| shard.remove(key)).collect()
}
