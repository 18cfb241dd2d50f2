//! Selects the few engines that are compared for one request.
//!
//! Excluded engines are filtered out during selection, so that they do not use up candidate slots.
//! If they were removed after selection, no candidate might remain: with two engines, one draw in
//! four picked the excluded engine twice, and a streamed answer whose engine had crashed ended
//! early although the other engine was idle.

use super::PlacementRequest;
use super::engines::Engines;
use super::heat::Heat;
use super::homes::Homes;
use super::index::{Depth, Index};
use super::ring::{EngineNo, Ring};
use sesamegap_wire::Moment;

/// Maximum number of candidates taken for holding the longest prefixes.
const MAX_HOLDERS: usize = 6;

/// Maximum number of candidates taken from the home set.
const MAX_HOMES: usize = 6;

/// An engine considered for a request.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Candidate {
    /// The engine.
    pub engine: EngineNo,
    /// Leading blocks of the prompt that its cache is believed to hold.
    pub blocks: u16,
    /// Rank in the home set, or the rank past the end if the engine is not a member. A slow engine
    /// ahead of it adds less than one to the rank.
    pub rank: f64,
}

/// Selects candidates, reusing its buffers between requests.
#[derive(Debug, Default)]
pub struct Candidates {
    /// Candidates for the latest request.
    pub found: Vec<Candidate>,
    depths: Vec<Depth>,
    homes: Vec<EngineNo>,
    /// Rank of each member of the home set; the last entry is the rank of all other engines.
    ranks: Vec<f64>,
    finder: Homes,
    /// Engines excluded for this request.
    barred: Vec<EngineNo>,
}

impl Candidates {
    /// Selects candidates for a request; returns `false` if no permitted engine has its weights loaded.
    pub fn select(
        &mut self,
        ask: &PlacementRequest<'_>,
        engines: &Engines,
        index: &Index,
        heat: &Heat,
        now: Moment,
        draws: (u64, u64),
    ) -> bool {
        self.found.clear();
        let Some(ring) = engines.ring(ask.model, ask.version) else {
            return false;
        };
        let seeds = |no| engines.seed(no);
        self.finder
            .find(ask.chain, ring, heat, seeds, &mut self.homes);
        self.rank_homes(engines, now);
        index.depths(&ask.chain.keys, now, &mut self.depths);
        self.barred.clear();
        let barred = ask.barred.iter();
        self.barred
            .extend(barred.filter_map(|id| engines.number(id)));
        self.add_holders(ring, engines, draws.0);
        self.add_homes(engines);
        self.add_random(ring, engines, draws);
        !self.found.is_empty()
    }

    /// Computes the ranks of the home set's members, weighted by health.
    ///
    /// Without the weighting, a prefix would stay with its first home after that engine has become
    /// slow. As an engine slows down, the next member gradually takes over its rank.
    fn rank_homes(&mut self, engines: &Engines, now: Moment) {
        self.ranks.clear();
        let mut rank = 0.0;
        for home in &self.homes {
            let health = engines.health(*home, now);
            self.ranks.push(rank + 1.0 - health);
            rank += health;
        }
        self.ranks.push(rank);
    }

    /// Describes any engine as a candidate for the latest request.
    pub fn describe(&self, no: EngineNo, engines: &Engines) -> Option<Candidate> {
        let slot = engines.get(no)?.slot;
        let depth = self.depths.iter().find(|d| d.slot == slot);
        let home = self.homes.iter().position(|home| *home == no);
        let rank = home.unwrap_or(self.homes.len());
        Some(Candidate {
            engine: no,
            blocks: depth.map_or(0, |d| d.blocks),
            rank: self.ranks.get(rank).copied().unwrap_or(0.0),
        })
    }

    /// Adds the holders of the longest prefixes; ties are ordered at random for each request.
    fn add_holders(&mut self, ring: &Ring, engines: &Engines, draw: u64) {
        let turn = usize::try_from(draw >> 32).unwrap_or(0) % self.depths.len().max(1);
        self.depths.rotate_left(turn);
        self.depths.sort_by_key(|d| std::cmp::Reverse(d.blocks));
        let mut added = 0;
        for at in 0..self.depths.len() {
            let Some(no) = engines.engine_at_slot(self.depths[at].slot) else {
                continue;
            };
            if !ring.has(no) || self.barred.contains(&no) {
                continue;
            }
            self.add(no, engines);
            added += 1;
            if added == MAX_HOLDERS {
                return;
            }
        }
    }

    fn add_homes(&mut self, engines: &Engines) {
        let mut added = 0;
        for at in 0..self.homes.len() {
            let no = self.homes[at];
            if self.barred.contains(&no) {
                continue;
            }
            self.add(no, engines);
            added += 1;
            if added == MAX_HOMES {
                return;
            }
        }
    }

    fn add_random(&mut self, ring: &Ring, engines: &Engines, draws: (u64, u64)) {
        for draw in [draws.0, draws.1] {
            if let Some(no) = ring.pick_excluding(&self.barred, draw) {
                self.add(no, engines);
            }
        }
    }

    fn add(&mut self, no: EngineNo, engines: &Engines) {
        if self.found.iter().any(|c| c.engine == no) {
            return;
        }
        if let Some(found) = self.describe(no, engines) {
            self.found.push(found);
        }
    }
}
