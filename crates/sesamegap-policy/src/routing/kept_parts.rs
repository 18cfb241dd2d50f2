//! Which shared prefixes the stores of kept cache hold, as far as the VM that places their prompts can tell.
//!
//! Load: prompts of a dossier come seconds apart, and with each of them its own part, which nobody asks for again.
//! Harm prevented: a store that is sent every prompt takes in more of what nobody asks for than of what is shared,
//! drops the shared prefixes before they are asked for again, and its link is busy with it. So a prefix is saved
//! when it is not known to be held, and counts as held until about as much has been saved since its last use as the
//! store has room for. The VM that owns a shard knows its own saves alone; those of others are taken to be alike.
//!
//! Load: weights change and nothing is held. Harm prevented: saves of all prompts at once fill the store's link, and
//! neither they nor the fetches behind them arrive. So a shard uses its part of the link only, and saves take what
//! fetches leave of it.

use rustc_hash::FxHashMap;
use sesamegap_wire::Moment;
use std::time::Duration;

/// Part of a store's room that is counted on, in percent: other shards may save more than this one.
const COUNTED_ON: u64 = 80;

/// Prefixes noted for one store at most, at some 40 bytes each.
const MOST: usize = 16_384;

/// Longest queue on a shard's part of a store's link behind which a prompt is still saved.
const SAVE_QUEUE: Duration = Duration::from_millis(100);

/// A prefix at a store.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct Key {
    /// Number of the store.
    pub store: u64,
    /// Hash of the prefix.
    pub prefix: u64,
    /// Version of the weights that made it.
    pub version: u32,
}

#[derive(Debug, Default)]
struct Store {
    /// Tokens saved so far.
    saved: u64,
    /// What had been saved when each prefix was last used.
    used: FxHashMap<(u64, u32), u64>,
    /// Until when this shard's part of the link is busy.
    busy: Moment,
}

/// What stores hold of the prefixes of this VM's shards.
#[derive(Debug, Default)]
pub struct KeptParts(FxHashMap<u64, Store>);

impl KeptParts {
    /// Whether a store shared by so many shards still holds a prefix; without a known room it drops nothing.
    pub fn holds(&self, key: Key, room: Option<u64>, shards: u64) -> bool {
        let Some(store) = self.0.get(&key.store) else {
            return false;
        };
        let used = store.used.get(&(key.prefix, key.version));
        let room = room.map_or(u64::MAX, |room| room * COUNTED_ON / 100);
        used.is_some_and(|used| (store.saved - used).saturating_mul(shards) < room)
    }

    /// How long a transfer waits for this shard's part of a store's link.
    pub fn queue(&self, store: u64, now: Moment) -> Duration {
        self.0
            .get(&store)
            .map_or(Duration::ZERO, |store| store.busy.since(now))
    }

    /// Whether the link has room for a save.
    pub fn may_save(&self, store: u64, now: Moment) -> bool {
        self.queue(store, now) <= SAVE_QUEUE
    }

    /// Counts a transfer that takes so long on this shard's part of the link.
    pub fn occupy(&mut self, store: u64, takes: Duration, now: Moment) {
        let store = self.0.entry(store).or_default();
        store.busy = store.busy.max(now) + takes;
    }

    /// Notes that a prefix was saved with a prompt of so many tokens.
    pub fn saved(&mut self, key: Key, tokens: u64) {
        let store = self.0.entry(key.store).or_default();
        store.saved += tokens;
        if store.used.len() >= MOST {
            let half = store.used.values().copied().max().unwrap_or(0) / 2;
            store.used.retain(|_, used| *used > half);
        }
        store.used.insert((key.prefix, key.version), store.saved);
    }

    /// Notes that a prefix was fetched, which renews it.
    pub fn fetched(&mut self, key: Key) {
        if let Some(store) = self.0.get_mut(&key.store)
            && let Some(used) = store.used.get_mut(&(key.prefix, key.version))
        {
            *used = store.saved;
        }
    }

    /// Forgets what a store held, as when it started again.
    pub fn forget(&mut self, store: u64) {
        self.0.remove(&store);
    }
}
