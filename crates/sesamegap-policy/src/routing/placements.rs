//! Prompts that a VM has placed for its peers, tracked until the peer reports them prefilled or ended.
//!
//! Reports may be lost, and the VM that asked may crash. So a prompt counts as unread for at most a multiple of the
//! time that its engine should take to prefill it, and as running until its caller has given up.

use super::engines::{Prefix, prefill_time};
use super::speeds::{PromptKind, Sample, Speed};
use rustc_hash::FxHashMap;
use sesamegap_wire::Moment;
use std::time::Duration;

/// Multiple of the expected prefill time, queue included, for which a prompt counts as unread.
const PREFILL_FACTOR: u32 = 3;

/// Time added to that: an engine may stall for a step, and the report of the prefill takes time to arrive.
const PREFILL_SLACK: Duration = Duration::from_millis(500);

/// A prompt placed at an engine.
#[derive(Debug, Clone, PartialEq)]
pub struct Placement {
    /// Seed of the engine's incarnation.
    pub life: u64,
    /// Tokens of the prompt.
    pub tokens: u64,
    /// Tokens that the engine had to prefill before it.
    pub ahead: u64,
    /// Remaining time that its caller waits.
    pub left: Duration,
    /// Its shared prefixes.
    pub prefixes: Vec<Prefix>,
    /// Version of the engine's weights.
    pub version: u32,
    /// Its priority; 0 is the most urgent.
    pub priority: u8,
    /// Speed of the engine.
    pub speed: Speed,
    /// Kind of the prompt, if its prefill is to measure the engine's speed.
    pub kind: Option<PromptKind>,
}

/// A prompt that an engine has prefilled.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PrefilledPrompt {
    /// Seed of the engine's incarnation.
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
    level: Level,
    begun: Moment,
    /// The sample that its prefill gives, without the time that it took.
    sample: Option<Sample>,
}

/// Total of the prompts placed at one engine.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Sum {
    /// Requests that have not ended.
    pub running: u32,
    /// Prompt tokens that are not prefilled.
    pub unread: u64,
    /// These tokens by the urgency of their prompts.
    pub levels: Levels,
    /// Requests that have not ended, by their urgency.
    pub running_levels: Levels,
}

/// Priorities that engines tell apart.
const LEVELS: usize = 10;

/// Index of a priority in [`Levels`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Level(usize);

impl From<u8> for Level {
    fn from(priority: u8) -> Self {
        Self(usize::from(priority).min(LEVELS - 1))
    }
}

/// Amounts by the priority of the prompts that they belong to.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Levels([u64; LEVELS]);

/// Sum of amounts. Callers state the tokens of their prompts, so these may add up to more than there are.
fn total(amounts: &[u64]) -> u64 {
    amounts.iter().copied().fold(0, u64::saturating_add)
}

impl Levels {
    /// Adds an amount.
    pub fn add(&mut self, priority: u8, amount: u64) {
        let sum = &mut self.0[Level::from(priority).0];
        *sum = sum.saturating_add(amount);
    }

    /// Subtracts an amount.
    pub fn subtract(&mut self, priority: u8, amount: u64) {
        self.reduce(Level::from(priority), amount);
    }

    fn reduce(&mut self, level: Level, amount: u64) {
        let sum = &mut self.0[level.0];
        *sum = sum.saturating_sub(amount);
    }

    /// Sum of the prompts that are at least as urgent as a priority.
    pub fn at_least(&self, priority: u8) -> u64 {
        total(&self.0[..=Level::from(priority).0])
    }

    /// Sum of the prompts that are more urgent than a priority.
    pub fn above(&self, priority: u8) -> u64 {
        total(&self.0[..Level::from(priority).0])
    }
}

/// All prompts placed for peers, by a key that identifies the peer's request.
#[derive(Debug)]
pub struct Placements<K> {
    entries: FxHashMap<K, Entry>,
    sums: FxHashMap<u64, Sum>,
}

impl<K> Default for Placements<K> {
    fn default() -> Self {
        Self {
            entries: FxHashMap::default(),
            sums: FxHashMap::default(),
        }
    }
}

impl<K: Copy + Eq + std::hash::Hash> Placements<K> {
    /// Starts to count a prompt.
    pub fn begin(&mut self, key: K, placement: Placement, now: Moment) {
        self.end(&key);
        let expected = prefill_time(
            placement.ahead.saturating_add(placement.tokens),
            placement.speed,
        );
        let sum = self.sums.entry(placement.life).or_default();
        sum.running += 1;
        sum.unread = sum.unread.saturating_add(placement.tokens);
        sum.levels.add(placement.priority, placement.tokens);
        sum.running_levels.add(placement.priority, 1);
        let sample = placement.kind.map(|kind| Sample {
            life: placement.life,
            kind,
            ahead: placement.ahead,
            tokens: placement.tokens,
            took: Duration::ZERO,
        });
        let entry = Entry {
            begun: now,
            sample,
            life: placement.life,
            version: placement.version,
            prefixes: placement.prefixes,
            unread: placement.tokens,
            unread_until: now + expected * PREFILL_FACTOR + PREFILL_SLACK,
            ends: now + placement.left,
            level: placement.priority.into(),
        };
        self.entries.insert(key, entry);
    }

    /// Records that a prompt was prefilled. Returns what its engine holds now, unless that was returned before.
    pub fn record_prefill(&mut self, key: &K) -> Option<PrefilledPrompt> {
        self.clear_unread(key);
        let entry = self.entries.get_mut(key)?;
        let prefixes = std::mem::take(&mut entry.prefixes);
        (!prefixes.is_empty()).then_some(PrefilledPrompt {
            life: entry.life,
            version: entry.version,
            prefixes,
        })
    }

    /// Returns how long a prompt took that was just prefilled, unless that was returned before or is not to be measured.
    pub fn take_sample(&mut self, key: &K, now: Moment) -> Option<Sample> {
        let entry = self.entries.get_mut(key)?;
        let took = now.since(entry.begun);
        entry.sample.take().map(|sample| Sample { took, ..sample })
    }

    /// Stops counting a prompt as unread.
    fn clear_unread(&mut self, key: &K) {
        let Some(entry) = self.entries.get_mut(key) else {
            return;
        };
        let unread = std::mem::take(&mut entry.unread);
        if let Some(sum) = self.sums.get_mut(&entry.life) {
            sum.unread = sum.unread.saturating_sub(unread);
            sum.levels.reduce(entry.level, unread);
        }
    }

    /// Records that a request has ended, or was never sent.
    pub fn end(&mut self, key: &K) {
        let Some(entry) = self.entries.remove(key) else {
            return;
        };
        if let Some(sum) = self.sums.get_mut(&entry.life) {
            sum.running -= 1;
            sum.unread = sum.unread.saturating_sub(entry.unread);
            sum.levels.reduce(entry.level, entry.unread);
            sum.running_levels.reduce(entry.level, 1);
            if sum.running == 0 {
                self.sums.remove(&entry.life);
            }
        }
    }

    /// Total of the prompts placed at an engine.
    pub fn at(&self, life: u64) -> Sum {
        self.sums.get(&life).copied().unwrap_or_default()
    }

    /// Drops counts for which no report arrived in time.
    pub fn expire(&mut self, now: Moment) {
        let unread_expired = |entry: &Entry| entry.unread > 0 && entry.unread_until <= now;
        let expired = self.keys(unread_expired);
        for key in &expired {
            self.clear_unread(key);
        }
        let ended = self.keys(|entry| entry.ends <= now);
        for key in &ended {
            self.end(key);
        }
    }

    fn keys(&self, matches: impl Fn(&Entry) -> bool) -> Vec<K> {
        let found = self.entries.iter().filter(|(_, entry)| matches(entry));
        found.map(|(key, _)| *key).collect()
    }
}
