//! Work of one rank for the same weights: fair over teams, earliest deadline first in each.
//!
//! Teams take turns by deficit round robin. What a request costs an engine is only known once it
//! is placed, because cached tokens are free, so a team is charged afterwards and waits out its
//! debt: a turn gives it credit in proportion to its weight, and it is served while it has any.

use super::QueuedRequest;
use rustc_hash::FxHashMap;
use sesamegap_wire::{Moment, TeamId};
use std::collections::{BTreeMap, VecDeque};

/// Credit of one turn at weight 1, in cost: about one long prompt, so that a turn rarely splits.
const QUANTUM: f64 = 16_384.0;

/// Smallest weight reckoned with, so that a team of weight zero still moves.
pub const MIN_WEIGHT: f64 = 0.01;

/// Deepest debt kept, in turns: bounds how often a turn must be given before someone may go on.
const MAX_DEBT_TURNS: f64 = 64.0;

/// Identifies an item within its share: deadline first, then order of arrival.
pub type Due = (Moment, u64);

/// One team's work in a lane.
#[derive(Debug)]
pub struct TeamQueue {
    items: BTreeMap<Due, QueuedRequest>,
    weight: f64,
    credit: f64,
    cost: u64,
    skip: usize,
}

/// Work that wants the same engines at the same rank.
#[derive(Debug, Default)]
pub struct Lane {
    ring: VecDeque<TeamId>,
    teams: FxHashMap<TeamId, TeamQueue>,
    passed: Vec<TeamId>,
    /// Placements that may still be tried before the next sign of room.
    pub tries: u32,
    /// The sign of room that `tries` was last renewed for.
    pub room_epoch: u64,
}

impl Lane {
    /// Whether nothing waits.
    pub fn is_empty(&self) -> bool {
        self.teams.is_empty()
    }

    /// Puts an item behind those of its team with earlier deadlines.
    pub fn push(&mut self, item: QueuedRequest) {
        let team = item.work.team.clone();
        let share = self.teams.entry(team.clone()).or_insert_with(|| {
            self.ring.push_back(team);
            TeamQueue {
                items: BTreeMap::new(),
                weight: item.weight,
                credit: 0.0,
                cost: 0,
                skip: 0,
            }
        });
        share.weight = item.weight;
        share.cost += item.cost;
        share.items.insert(item.due(), item);
    }

    /// Takes an item out; a team with nothing left loses its turn and its debt.
    pub fn remove(&mut self, team: &TeamId, due: Due) -> Option<QueuedRequest> {
        let share = self.teams.get_mut(team)?;
        let item = share.items.remove(&due)?;
        share.cost = share.cost.saturating_sub(item.cost);
        if share.items.is_empty() {
            self.teams.remove(team);
            self.leave(team);
        }
        Some(item)
    }

    fn leave(&mut self, team: &TeamId) {
        // The team just served stands in front, so that the search below is rare.
        if self.ring.front() == Some(team) {
            self.ring.pop_front();
        } else {
            self.ring.retain(|t| t != team);
        }
    }

    /// Charges a team for work that was sent; one without credit ends its turn.
    pub fn charge(&mut self, team: &TeamId, cost: u64) {
        let Some(share) = self.teams.get_mut(team) else {
            return;
        };
        let deepest = -MAX_DEBT_TURNS * QUANTUM * share.weight.max(MIN_WEIGHT);
        share.credit = (share.credit - cost as f64).max(deepest);
        if share.credit <= 0.0 && self.ring.front() == Some(team) {
            self.ring.rotate_left(1);
        }
    }

    /// The item to try next; items passed over in this round are left out.
    pub fn next(&mut self) -> Option<&QueuedRequest> {
        let team = if self.passed.is_empty() {
            self.turn()?
        } else {
            self.next_not_passed()?
        };
        let share = self.teams.get(&team)?;
        share.items.values().nth(share.skip)
    }

    /// Passes over the item just tried, so that a team whose engines are full holds up no other.
    pub fn pass(&mut self) {
        let Some(team) = self.ring.pop_front() else {
            return;
        };
        if let Some(share) = self.teams.get_mut(&team) {
            share.skip += 1;
        }
        self.passed.push(team.clone());
        self.ring.push_back(team);
    }

    /// Ends a round: nothing is passed over any more.
    ///
    /// Teams passed over keep their credit and stay at the back, so that the next round tries
    /// others. Those who stood in got none: if they did, each poll without room would forgive
    /// heavy teams their debt.
    pub fn rewind(&mut self) {
        while let Some(team) = self.passed.pop() {
            if let Some(share) = self.teams.get_mut(&team) {
                share.skip = 0;
            }
        }
    }

    /// Finds a team to go in place of one that was passed over.
    fn next_not_passed(&mut self) -> Option<TeamId> {
        for _ in 0..self.ring.len() {
            let team = self.ring.front()?;
            let share = self.teams.get(team)?;
            if share.skip < share.items.len() {
                return Some(team.clone());
            }
            self.ring.rotate_left(1);
        }
        None
    }

    /// Finds the team whose turn it is and turns the ring to it.
    fn turn(&mut self) -> Option<TeamId> {
        loop {
            let team = self.ring.front()?.clone();
            let share = self.teams.get_mut(&team)?;
            if share.credit <= 0.0 {
                share.credit += QUANTUM * share.weight.max(MIN_WEIGHT);
            }
            if share.credit > 0.0 {
                return Some(team);
            }
            self.ring.rotate_left(1);
        }
    }

    /// The latest due item of a team, with the cost of all its items here.
    pub fn tail(&self, team: &TeamId) -> Option<(u64, &QueuedRequest)> {
        let share = self.teams.get(team)?;
        let (_, item) = share.items.last_key_value()?;
        Some((share.cost, item))
    }

    /// Teams with work here, and the one at a place in their ring.
    pub fn team(&self, at: usize) -> Option<&TeamId> {
        self.ring.get(at % self.ring.len().max(1))
    }
}
