//! Which engines this VM saw serve which prefixes.
//!
//! A VM sees only its own requests, a fraction of all, so what it does not recall may well be
//! cached; it only decides where to fetch from. Bounded: the oldest half goes when it is full.

use super::engines::Engine;
use rustc_hash::FxHashMap;
use sesamegap_wire::Moment;

/// Prefixes recalled at most; some 32 bytes each.
const MOST: usize = 16_384;

/// Engines recalled for one prefix by a VM that sees a part of its prompts: its home and the one that stood in
/// while that was out.
const FEW: usize = 3;

/// The same by a VM that sees all of them: an outer prefix is served by all engines of a shard, and whether its home
/// is among them decides where prompts go.
const ALL: usize = 32;

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Served {
    seed: u64,
    version: u32,
    at: Moment,
}

#[derive(Debug)]
struct Prefix {
    noted: u64,
    by: Vec<Served>,
}

/// What this VM recalls.
#[derive(Debug, Default)]
pub struct Recall {
    prefixes: FxHashMap<u64, Prefix>,
    notes: u64,
    /// Whether all prompts for its engines are noted.
    whole: bool,
}

impl Recall {
    /// Notes that this VM places all prompts for some engines from now on.
    pub fn see_all(&mut self) {
        self.whole = true;
    }

    /// Whether this VM sees all prompts of what it recalls.
    pub fn is_whole(&self) -> bool {
        self.whole
    }

    /// Notes that an engine has read a prefix.
    pub fn note(&mut self, prefix: u64, seed: u64, version: u32, now: Moment) {
        self.notes += 1;
        if self.prefixes.len() >= MOST {
            let half = self.notes.saturating_sub(MOST as u64 / 2);
            self.prefixes.retain(|_, prefix| prefix.noted >= half);
        }
        let served = Served {
            seed,
            version,
            at: now,
        };
        let entry = self.prefixes.entry(prefix).or_insert(Prefix {
            noted: self.notes,
            by: Vec::with_capacity(1),
        });
        entry.noted = self.notes;
        entry
            .by
            .retain(|known| known.seed != seed && known.version >= version);
        entry.by.insert(0, served);
        entry.by.truncate(if self.whole { ALL } else { FEW });
    }

    /// When an engine last served a prefix under these weights.
    pub fn last(&self, prefix: u64, seed: u64, version: u32) -> Option<Moment> {
        let known = self.prefixes.get(&prefix)?;
        let same = |by: &&Served| by.seed == seed && by.version == version;
        known.by.iter().find(same).map(|by| by.at)
    }

    /// Whether an engine has served a prefix under the weights that it holds now.
    pub fn served(&self, prefix: u64, engine: &Engine) -> bool {
        self.last(prefix, engine.life, engine.version).is_some()
    }
}
