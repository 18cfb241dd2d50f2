//! Which engine is believed to hold which block.
//!
//! An engine's entries hang on a *slot*, a small number that it gets anew with each incarnation
//! and each listing; forgetting all that an engine held is then one step, and the entries left
//! behind are swept up later, a shard at a time, before the slot is given out again. A key is cut
//! to 64 bits: the index is a hint for speed, so a collision costs one recomputation and no more.
//!
//! Each holding has the time of its last use by this router, in coarse ticks, and whether an
//! engine confirmed it. One entered when a request was sent counts for [`EXPECT`] only, unless an
//! event or an answer confirms it. Where events were lost, a holding counts while it is younger
//! than the age at which the engine was seen to evict.
//!
//! Memory is bounded: a shard that is full forgets the quarter of its blocks unused the longest.

use super::holders::{Holders, Holding, PutResult};
use super::ticks::{TICK_MASK, seconds, tick, ticks_since};
use rustc_hash::FxHashMap;
use sesamegap_wire::{BlockKey, Moment};
use std::time::Duration;

/// How long a block counts as held that was sent to an engine but not confirmed: a long prompt's
/// time in an engine's queue, with its event's delay.
pub const EXPECT: Duration = Duration::from_secs(10);

/// Shards: one is swept at a time, which keeps the longest pause to about a microsecond at a
/// daemon's share of 353,000 blocks.
const SHARDS: usize = 2048;

/// Time for a sweep over all shards; the slots of dead engines come free after two.
const SWEEP_INTERVAL: Duration = Duration::from_mins(1);

/// Ages beyond this are clipped by the sweep, before the ticks wrap.
const MAX_AGE_TICKS: u16 = TICK_MASK / 2;

/// Eviction age assumed until one was seen.
const INITIAL_EVICTION_AGE: Duration = Duration::from_secs(30);

/// Weight of a new eviction in the learned age: about the last 30 count.
const EVICTION_AGE_GAIN: f64 = 1.0 / 32.0;

/// A number under which one life of an engine's cache is entered.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Slot(pub(super) u16);

impl Slot {
    /// The number as an index.
    pub fn at(self) -> usize {
        usize::from(self.0)
    }
}

/// What is known of a slot.
#[derive(Debug, Clone)]
struct SlotState {
    live: bool,
    /// Sweeps completed when the slot died.
    closed_in_sweep: u64,
    /// Holdings not confirmed since this tick are in doubt.
    doubt: Option<u16>,
    /// Seconds from last use to eviction, learned.
    age: f64,
    /// Blocks entered.
    held: u32,
}

/// Who holds which block, as far as known.
#[derive(Debug)]
pub struct Index {
    shards: Vec<FxHashMap<u64, Holders>>,
    /// Most blocks in one shard.
    limit: usize,
    slots: Vec<SlotState>,
    free: Vec<u16>,
    cursor: usize,
    sweeps_done: u64,
    next: Moment,
}

/// How many leading blocks a slot holds.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Depth {
    /// The slot.
    pub slot: Slot,
    /// Leading blocks believed to be held.
    pub blocks: u16,
}

fn short_key(key: BlockKey) -> u64 {
    u64::try_from(key.0 >> 64).unwrap_or(0)
}

impl Index {
    /// Makes an index that keeps at most about so many blocks.
    pub fn new(most: usize) -> Self {
        Self {
            shards: (0..SHARDS).map(|_| FxHashMap::default()).collect(),
            limit: (most / SHARDS).max(4),
            slots: Vec::new(),
            free: Vec::new(),
            cursor: 0,
            sweeps_done: 0,
            next: Moment(0),
        }
    }

    /// Opens a slot for an engine's cache of which nothing is known.
    ///
    /// `None` if all numbers are taken by lives that are not yet swept.
    pub fn open(&mut self) -> Option<Slot> {
        let slot_state = SlotState {
            live: true,
            closed_in_sweep: 0,
            doubt: None,
            age: INITIAL_EVICTION_AGE.as_secs_f64(),
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

    /// Forgets all that a slot holds.
    pub fn close(&mut self, slot: Slot) {
        let sweeps_done = self.sweeps_done;
        let slot_state = self.slot_state(slot);
        slot_state.live = false;
        slot_state.closed_in_sweep = sweeps_done;
    }

    /// Moves to a new slot what a listing says is held, and forgets the rest.
    pub fn relist(&mut self, old: Slot, keys: &[BlockKey], now: Moment) -> Slot {
        let Some(new) = self.open() else { return old };
        self.slots[usize::from(new.0)].age = self.slots[usize::from(old.0)].age;
        for key in keys {
            let last_used = self.last_used(old, *key).unwrap_or(tick(now));
            self.put(new, *key, last_used, true);
        }
        self.close(old);
        new
    }

    /// Notes that an engine told of a block it holds.
    pub fn stored(&mut self, slot: Slot, key: BlockKey, now: Moment) {
        self.put(slot, key, tick(now), true);
    }

    /// Notes that a block is used by a request sent to the engine, which will hold it then.
    pub fn expect(&mut self, slot: Slot, key: BlockKey, now: Moment) {
        self.put(slot, key, tick(now), false);
    }

    /// Notes that an engine evicted a block, and learns its eviction age.
    pub fn evicted(&mut self, slot: Slot, key: BlockKey, now: Moment) {
        let Some(holding) = self.holders(key).and_then(|h| h.find(slot.0)) else {
            return;
        };
        if holding.confirmed() {
            let age = seconds(ticks_since(tick(now), holding.tick()));
            let slot_state = self.slot_state(slot);
            slot_state.age += (age - slot_state.age) * EVICTION_AGE_GAIN;
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

    /// Marks what a slot holds now as doubtful.
    pub fn doubt(&mut self, slot: Slot, now: Moment) {
        self.slot_state(slot).doubt = Some(tick(now));
    }

    /// Gives for each slot that holds the first block how many leading ones it holds.
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

    /// How many leading blocks one slot holds.
    pub fn depth(&self, slot: Slot, keys: &[BlockKey], now: Moment) -> u16 {
        let now = tick(now);
        let held = keys.iter().take_while(|key| {
            self.holders(**key)
                .and_then(|h| h.find(slot.0))
                .is_some_and(|h| self.is_believed(h, now))
        });
        u16::try_from(held.count()).unwrap_or(u16::MAX)
    }

    /// Sweeps one shard if it is time; to be called often.
    pub fn tend(&mut self, now: Moment) {
        if now < self.next {
            return;
        }
        self.next = now + SWEEP_INTERVAL / u32::try_from(SHARDS).unwrap_or(1);
        let mut shard = std::mem::take(&mut self.shards[self.cursor]);
        let tick = tick(now);
        shard.retain(|_, holders| {
            holders.retain(|h| {
                let retain_holding = self.retain_holding(h, tick);
                if !retain_holding {
                    self.decrement_held(h.slot);
                }
                retain_holding
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

    /// Blocks that anyone is believed to hold.
    pub fn len(&self) -> usize {
        self.shards.iter().map(FxHashMap::len).sum()
    }

    /// Whether nothing is known.
    pub fn is_empty(&self) -> bool {
        self.shards.iter().all(FxHashMap::is_empty)
    }

    /// Bytes taken by the tables, counted from their capacity.
    pub fn bytes(&self) -> usize {
        // A bucket has one byte of control data, and at most seven in eight are filled.
        let bucket = size_of::<(u64, Holders)>() + 1;
        let tables = self.shards.iter().map(|shard| {
            let many = shard.values().map(Holders::heap_bytes).sum::<usize>();
            shard.capacity() * 8 / 7 * bucket + many
        });
        tables.sum()
    }

    /// Seconds from last use to eviction, learned.
    pub fn age(&self, slot: Slot) -> f64 {
        self.slots[slot.at()].age
    }

    /// Blocks entered for a slot.
    pub fn held(&self, slot: Slot) -> u64 {
        u64::from(self.slots[slot.at()].held)
    }

    /// Keys a slot holds, the most recently used first; only their upper halves are known.
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

    /// Last use of a block whose holding was confirmed.
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
            return seconds(age) < EXPECT.as_secs_f64();
        }
        let doubted = slot_state
            .doubt
            .is_some_and(|since| age >= ticks_since(now, since));
        !doubted || seconds(age) < slot_state.age
    }

    /// Whether the sweep leaves a holding, whose age it clips before the ticks wrap.
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
        live && (holding.confirmed() || seconds(age) < EXPECT.as_secs_f64())
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

/// Drops the quarter of a shard's blocks that were unused the longest, so that each drop pays for
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
