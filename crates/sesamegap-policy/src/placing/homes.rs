//! The engines at home to a prompt, level by level.
//!
//! Each nested prefix has a home set; a child's is a subset of its parent's, so that a dossier
//! lands where its preamble already is. The outermost set comes from the ring, each inner one
//! from rendezvous hashing among the members of the set around it. All routers agree on the order
//! with no messages, and one that restarts sends work to where it went before.
//!
//! Load: few teams send much of the traffic, and few dossiers most of a team's. A set that were
//! too small would queue a hot prefix behind one engine, one too large would compute it again on
//! every engine; so a set's size follows the prefix's heat.

use super::heat::Heat;
use super::ring::{EngineNo, Ring, mix};
use sesamegap_wire::{BlockKey, Chain};

/// Engines at home to the outermost prefix at least.
///
/// A preamble is short and its dossiers are long: measured, a wide outer set costs a few blocks an
/// engine and spreads the dossiers evenly, a narrow one overfills some engines' memory.
pub const MIN_OUTER_SET: usize = 12;

/// Engines at home to any prefix at most, which bounds the cost of one placement.
pub const MAX_SET: usize = 24;

/// Engines at home to an inner prefix at least: a second choice for when the first is full.
pub const MIN_INNER_SET: usize = 2;

/// Busy engines a prefix may need before its set grows beyond them: half of each is left free.
const HEADROOM: f64 = 2.0;

/// Score of an engine for a key; the highest is the first home.
pub fn score(key: BlockKey, seed: u64) -> u64 {
    let upper = u64::try_from(key.0 >> 64).unwrap_or(0);
    mix(upper ^ seed)
}

/// Size of a home set for a prefix that keeps `busy` engines at work.
pub fn size(busy_engines: f64, least: usize) -> usize {
    let mut size = least;
    while size < MAX_SET && (size as f64) < busy_engines * HEADROOM {
        size += 1;
    }
    size
}

/// Finds the home sets of a chain, from the outermost prefix to the innermost.
#[derive(Debug, Default)]
pub struct Homes {
    scored: Vec<(u64, EngineNo)>,
}

impl Homes {
    /// Fills `found` with the innermost prefix's home set, its first home in front.
    ///
    /// A prefix whose set is as large as the one around it keeps that one's order, so that all
    /// forms of a dossier have the same first home.
    ///
    /// `seeds` gives each engine's number that is the same in every router.
    pub fn find(
        &mut self,
        chain: &Chain,
        ring: &Ring,
        heat: &Heat,
        seeds: impl Fn(EngineNo) -> u64,
        found: &mut Vec<EngineNo>,
    ) {
        found.clear();
        let mut levels = chain.levels.iter();
        let Some(outer) = levels.next().and_then(|end| key_at(chain, *end)) else {
            return;
        };
        ring.walk(outer, size(heat.busy_engines(outer), MIN_OUTER_SET), found);
        for end in levels {
            let Some(key) = key_at(chain, *end) else {
                return;
            };
            let most = size(heat.busy_engines(key), MIN_INNER_SET);
            if most < found.len() {
                self.narrow(key, most, &seeds, found);
            }
        }
    }

    /// Keeps the `most` members that score highest for a key, best first.
    pub fn narrow(
        &mut self,
        key: BlockKey,
        most: usize,
        seeds: impl Fn(EngineNo) -> u64,
        found: &mut Vec<EngineNo>,
    ) {
        self.scored.clear();
        let scored = found.iter().map(|no| (score(key, seeds(*no)), *no));
        self.scored.extend(scored);
        self.scored.sort_unstable_by(|a, b| b.cmp(a));
        found.clear();
        found.extend(self.scored.iter().take(most).map(|(_, no)| *no));
    }
}

fn key_at(chain: &Chain, end: u16) -> Option<BlockKey> {
    let at = usize::from(end).checked_sub(1)?;
    chain.keys.get(at).copied()
}
