//! Which engines this VM has observed serving which prefixes.
//!
//! A VM sees only its own requests, a fraction of all, so a prefix without an entry may well be cached; entries
//! only decide where to fetch from. The size is bounded: when it is full, the oldest half is evicted.

use super::engines::Engine;
use rustc_hash::FxHashMap;
use sesamegap_wire::Moment;
use std::time::Duration;

/// Maximum number of prefixes; each takes about 32 bytes.
const MAX_PREFIXES: usize = 16_384;

/// Engines stored per prefix on a VM that sees a part of its prompts: the home engine, and the one that replaced
/// it while it was out of service.
const MAX_ENGINES_PARTIAL: usize = 3;

/// Engines stored per prefix on a VM that sees all of its prompts: an outer prefix is served by all engines of a
/// shard, and whether its home engine is among them decides where prompts go.
const MAX_ENGINES_COMPLETE: usize = 32;

/// Time within which three prompts of an outer prefix must have come for the prefix not to be rare in a shard. Two may
/// follow each other by chance.
const RARE_INTERVAL: Duration = Duration::from_secs(1);

/// Maximum number of outer prefixes whose prompts are timed.
const MAX_TIMED: usize = 1_024;

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Served {
    seed: u64,
    version: u32,
    at: Moment,
}

#[derive(Debug)]
struct Prefix {
    last_note: u64,
    engines: Vec<Served>,
}

/// Observed pairs of prefix and engine.
#[derive(Debug, Default)]
pub struct CacheLocations {
    prefixes: FxHashMap<u64, Prefix>,
    notes: u64,
    /// When the last three prompts of an outer prefix were placed, the latest first.
    prompts: FxHashMap<u64, [Option<Moment>; 3]>,
    /// Whether this VM places all prompts for the engines it records.
    complete: bool,
}

impl CacheLocations {
    /// Records that this VM places all prompts for some engines from now on.
    pub fn set_complete(&mut self) {
        self.complete = true;
    }

    /// Records that a prompt of an outer prefix is placed.
    pub fn record_prompt(&mut self, outer: u64, now: Moment) {
        if self.prompts.len() >= MAX_TIMED {
            let is_recent = |at: &Moment| now.since(*at) < RARE_INTERVAL;
            self.prompts
                .retain(|_, times| times[0].as_ref().is_some_and(is_recent));
        }
        let times = self.prompts.entry(outer).or_default();
        *times = [Some(now), times[0], times[1]];
    }

    /// Whether prompts of an outer prefix come so rarely to the engines of this VM that none of them is likely to use
    /// what the one before it left in a cache.
    pub fn is_rare(&self, outer: u64) -> bool {
        match self.prompts.get(&outer) {
            Some([Some(last), _, Some(third)]) => last.since(*third) >= RARE_INTERVAL,
            Some(_) => true,
            None => false,
        }
    }

    /// Whether this VM sees all prompts for the engines it records.
    pub fn is_complete(&self) -> bool {
        self.complete
    }

    /// Records that an engine has prefilled a prefix.
    pub fn note(&mut self, prefix: u64, seed: u64, version: u32, now: Moment) {
        self.notes += 1;
        if self.prefixes.len() >= MAX_PREFIXES {
            let oldest_kept = self.notes.saturating_sub(MAX_PREFIXES as u64 / 2);
            self.prefixes
                .retain(|_, prefix| prefix.last_note >= oldest_kept);
        }
        let served = Served {
            seed,
            version,
            at: now,
        };
        let entry = self.prefixes.entry(prefix).or_insert(Prefix {
            last_note: self.notes,
            engines: Vec::with_capacity(1),
        });
        entry.last_note = self.notes;
        entry
            .engines
            .retain(|known| known.seed != seed && known.version >= version);
        entry.engines.insert(0, served);
        entry.engines.truncate(if self.complete {
            MAX_ENGINES_COMPLETE
        } else {
            MAX_ENGINES_PARTIAL
        });
    }

    /// When an engine last served a prefix with these weights.
    pub fn last(&self, prefix: u64, seed: u64, version: u32) -> Option<Moment> {
        let known = self.prefixes.get(&prefix)?;
        let same = |served: &&Served| served.seed == seed && served.version == version;
        known.engines.iter().find(same).map(|served| served.at)
    }

    /// Whether an engine has served a prefix with its current weights.
    pub fn served(&self, prefix: u64, engine: &Engine) -> bool {
        self.last(prefix, engine.life, engine.version).is_some()
    }
}
