//! The handful of engines weighed for one request.
//!
//! Engines to which the request may not go are left out here and take no candidate's place. Struck
//! out of the handful afterwards, they could be all of it, and an answer whose engine had crashed
//! ended in the middle though another engine was idle: of two engines, one draw in four picked the
//! barred one twice.

use super::Ask;
use super::engines::Engines;
use super::heat::Heat;
use super::homes::Homes;
use super::index::{Depth, Index};
use super::ring::{EngineNo, Ring};
use sesamegap_wire::Moment;

/// Holders weighed, those of the longest prefixes.
const MAX_HOLDERS: usize = 6;

/// Members of the home set weighed.
const MAX_HOMES: usize = 6;

/// An engine to weigh.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Candidate {
    /// The engine.
    pub engine: EngineNo,
    /// Leading blocks it is believed to hold.
    pub blocks: u16,
    /// Place in the home set, beyond its end if it is not in it; slow engines before it count for
    /// less than a place.
    pub rank: f64,
}

/// Gathers candidates into buffers that are used again.
#[derive(Debug, Default)]
pub struct Candidates {
    /// What was gathered last.
    pub found: Vec<Candidate>,
    depths: Vec<Depth>,
    homes: Vec<EngineNo>,
    /// Rank of each home, and of all other engines at the end.
    ranks: Vec<f64>,
    finder: Homes,
    /// Engines that the request may not go to.
    barred: Vec<EngineNo>,
}

impl Candidates {
    /// Gathers for a request; `false` if no engine that it may go to holds its weights.
    pub fn gather(
        &mut self,
        ask: &Ask<'_>,
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

    /// Ranks the homes by their places.
    ///
    /// Load: the first home of a prefix has become slow. Harm prevented: work that stays there
    /// because it is the first home; as an engine slows down, its place smoothly goes to the next.
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

    /// What is known of any engine for the request gathered for last.
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

    /// Adds the holders of the longest prefixes, ties in an order that each request draws anew.
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
            if let Some(no) = ring.pick_beside(&self.barred, draw) {
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
