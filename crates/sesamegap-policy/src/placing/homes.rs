//! Home sets: the preferred engines of a prompt, computed for each nested prefix.
//!
//! The home set of an inner prefix is a subset of the enclosing prefix's set, so that a dossier is
//! placed where its preamble already is. The outermost set comes from the hash ring, and each inner
//! one from rendezvous hashing among the members of the enclosing set. All routers compute the same
//! order without communication, and a restarted router sends work to the same engines as before.
//!
//! A few teams send much of the traffic, and a few dossiers are most of a team's. A set that is too
//! small queues a hot prefix behind one engine, and one that is too large computes the prefix again
//! on every engine, so the size of a set follows the load of its prefix.

use super::heat::Heat;
use super::ring::{EngineNo, Ring, mix};
use sesamegap_wire::{BlockKey, Chain};

/// Minimum size of the outermost prefix's home set.
///
/// A preamble is short and its dossiers are long. In measurements, a wide outer set cost a few blocks
/// per engine and spread the dossiers evenly, while a narrow one overfilled some engines' memory.
pub const MIN_OUTER_SET: usize = 12;

/// Maximum size of a home set, which bounds the cost of one placement.
pub const MAX_SET: usize = 24;

/// Minimum size of an inner prefix's home set, so that there is a second choice if the first is full.
pub const MIN_INNER_SET: usize = 2;

/// Engines in a home set per engine that the prefix keeps busy: half of their capacity stays free.
const HEADROOM: f64 = 2.0;

/// Rendezvous hashing score of an engine for a key; the highest score is the first home.
pub fn score(key: BlockKey, seed: u64) -> u64 {
    let upper = u64::try_from(key.0 >> 64).unwrap_or(0);
    mix(upper ^ seed)
}

/// Size of the home set of a prefix that keeps `busy_engines` engines busy.
pub fn size(busy_engines: f64, least: usize) -> usize {
    let mut size = least;
    while size < MAX_SET && (size as f64) < busy_engines * HEADROOM {
        size += 1;
    }
    size
}

/// Finds the home set of a prompt, reusing its buffer between prompts.
#[derive(Debug, Default)]
pub struct Homes {
    scored: Vec<(u64, EngineNo)>,
}

impl Homes {
    /// Fills `found` with the innermost prefix's home set, the first home in front.
    ///
    /// A prefix whose set would be as large as the enclosing set keeps the enclosing set's order, so
    /// that all forms of a dossier have the same first home.
    ///
    /// `seeds` returns an engine's hash seed, which is the same in every router.
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

    /// Keeps the `most` members with the highest scores for a key, highest first.
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
