//! What a VM has placed for others, until they say that it was read or has ended.
//!
//! Words may be lost, and a VM that asked may die: a prompt counts as unread for some times as long as its engine
//! should take to read it, and as running until its caller has given up.

use super::engines::{Prefix, reading};
use rustc_hash::FxHashMap;
use sesamegap_wire::Moment;
use std::time::Duration;

/// How many times the expected time of reading a prompt, and all that was ahead of it, it counts as unread.
const PATIENCE: u32 = 3;

/// Time added to that: an engine may stand still for a step, and the word that it was read is on its way.
const SLACK: Duration = Duration::from_millis(500);

/// A prompt at an engine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Placement {
    /// Number of the engine's life.
    pub life: u64,
    /// Tokens of the prompt.
    pub tokens: u64,
    /// Tokens that the engine had to read before it.
    pub ahead: u64,
    /// Time that its caller waits.
    pub left: Duration,
    /// Its shared prefixes.
    pub prefixes: Vec<Prefix>,
    /// Version of the engine's weights.
    pub version: u32,
}

/// A prompt that an engine has read.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Read {
    /// Number of the engine's life.
    pub life: u64,
    /// Version of its weights.
    pub version: u32,
    /// The prompt's shared prefixes.
    pub prefixes: Vec<Prefix>,
}

#[derive(Debug)]
struct Entry {
    life: u64,
    version: u32,
    prefixes: Vec<Prefix>,
    unread: u64,
    unread_until: Moment,
    ends: Moment,
}

/// What was placed at one engine.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Sum {
    /// Requests.
    pub running: u32,
    /// Prompt tokens that are not read.
    pub unread: u64,
}

/// All that was placed for others, by who asked.
#[derive(Debug)]
pub struct Placed<K> {
    entries: FxHashMap<K, Entry>,
    sums: FxHashMap<u64, Sum>,
}

impl<K> Default for Placed<K> {
    fn default() -> Self {
        Self {
            entries: FxHashMap::default(),
            sums: FxHashMap::default(),
        }
    }
}

impl<K: Copy + Eq + std::hash::Hash> Placed<K> {
    /// Counts a prompt.
    pub fn begin(&mut self, key: K, placement: Placement, now: Moment) {
        self.end(&key);
        let expected = reading(placement.ahead + placement.tokens);
        let sum = self.sums.entry(placement.life).or_default();
        sum.running += 1;
        sum.unread += placement.tokens;
        let entry = Entry {
            life: placement.life,
            version: placement.version,
            prefixes: placement.prefixes,
            unread: placement.tokens,
            unread_until: now + expected * PATIENCE + SLACK,
            ends: now + placement.left,
        };
        self.entries.insert(key, entry);
    }

    /// Notes that a prompt was read; what its engine holds now, unless that was noted before.
    pub fn read(&mut self, key: &K) -> Option<Read> {
        self.give_up(key);
        let entry = self.entries.get_mut(key)?;
        let prefixes = std::mem::take(&mut entry.prefixes);
        (!prefixes.is_empty()).then_some(Read {
            life: entry.life,
            version: entry.version,
            prefixes,
        })
    }

    /// No longer counts a prompt as unread of which nobody said that it was read.
    fn give_up(&mut self, key: &K) {
        let Some(entry) = self.entries.get_mut(key) else {
            return;
        };
        let unread = std::mem::take(&mut entry.unread);
        if let Some(sum) = self.sums.get_mut(&entry.life) {
            sum.unread -= unread;
        }
    }

    /// Notes that a request has ended, or never came.
    pub fn end(&mut self, key: &K) {
        let Some(entry) = self.entries.remove(key) else {
            return;
        };
        if let Some(sum) = self.sums.get_mut(&entry.life) {
            sum.running -= 1;
            sum.unread -= entry.unread;
            if sum.running == 0 {
                self.sums.remove(&entry.life);
            }
        }
    }

    /// What was placed at an engine.
    pub fn at(&self, life: u64) -> Sum {
        self.sums.get(&life).copied().unwrap_or_default()
    }

    /// Forgets what nobody spoke of in time.
    pub fn expire(&mut self, now: Moment) {
        let is_read = |entry: &Entry| entry.unread > 0 && entry.unread_until <= now;
        let read = self.keys(is_read);
        for key in &read {
            self.give_up(key);
        }
        let over = self.keys(|entry| entry.ends <= now);
        for key in &over {
            self.end(key);
        }
    }

    fn keys(&self, wanted: impl Fn(&Entry) -> bool) -> Vec<K> {
        let found = self.entries.iter().filter(|(_, entry)| wanted(entry));
        found.map(|(key, _)| *key).collect()
    }
}
