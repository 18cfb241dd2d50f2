//! Requests of one rank for the same weights: deficit round robin over teams, and earliest
//! deadline first within each team.
//!
//! The cost of a request is known only once it has been placed, because cached tokens are free. A
//! team is therefore charged after dispatch and may go into debt. Each turn gives it credit in
//! proportion to its weight, and it is served while its credit is positive.

use super::QueuedRequest;
use rustc_hash::FxHashMap;
use sesamegap_wire::{Moment, TeamId};
use std::collections::{BTreeMap, VecDeque};

/// Credit per turn at weight 1, in cost: about one long prompt, so that one turn usually pays for a
/// request.
const QUANTUM: f64 = 16_384.0;

/// Lower bound of team weights, so that a team of weight zero still makes progress.
pub const MIN_WEIGHT: f64 = 0.01;

/// Maximum debt of a team, in turns: bounds the number of turns until some team has credit.
const MAX_DEBT_TURNS: f64 = 64.0;

/// Identifies a request within its team and orders by deadline, then by arrival.
pub type Due = (Moment, u64);

/// Requests of one team in a lane.
#[derive(Debug)]
pub struct TeamQueue {
    items: BTreeMap<Due, QueuedRequest>,
    weight: f64,
    credit: f64,
    cost: u64,
    skip: usize,
}

/// Requests of one rank with the same [`LaneKey`](super::LaneKey).
#[derive(Debug, Default)]
pub struct Lane {
    ring: VecDeque<TeamId>,
    teams: FxHashMap<TeamId, TeamQueue>,
    passed_over: Vec<TeamId>,
    /// Placements that may still be tried in the current room epoch.
    pub tries: u32,
    /// The room epoch in which `tries` was last reset.
    pub room_epoch: u64,
}

impl Lane {
    /// Whether the lane has no requests.
    pub fn is_empty(&self) -> bool {
        self.teams.is_empty()
    }

    /// Inserts a request into its team's queue by deadline.
    pub fn push(&mut self, item: QueuedRequest) {
        let team = item.work.team.clone();
        let queue = self.teams.entry(team.clone()).or_insert_with(|| {
            self.ring.push_back(team);
            TeamQueue {
                items: BTreeMap::new(),
                weight: item.weight,
                credit: 0.0,
                cost: 0,
                skip: 0,
            }
        });
        queue.weight = item.weight;
        queue.cost += item.cost;
        queue.items.insert(item.due(), item);
    }

    /// Removes a request; a team without requests leaves the ring and loses its credit or debt.
    pub fn remove(&mut self, team: &TeamId, due: Due) -> Option<QueuedRequest> {
        let queue = self.teams.get_mut(team)?;
        let item = queue.items.remove(&due)?;
        queue.cost = queue.cost.saturating_sub(item.cost);
        if queue.items.is_empty() {
            self.teams.remove(team);
            self.remove_from_ring(team);
        }
        Some(item)
    }

    fn remove_from_ring(&mut self, team: &TeamId) {
        // The team served last is usually at the front, so the linear search below is rare.
        if self.ring.front() == Some(team) {
            self.ring.pop_front();
        } else {
            self.ring.retain(|t| t != team);
        }
    }

    /// Charges a team for a dispatched request; its turn ends when its credit is used up.
    pub fn charge(&mut self, team: &TeamId, cost: u64) {
        let Some(queue) = self.teams.get_mut(team) else {
            return;
        };
        let deepest = -MAX_DEBT_TURNS * QUANTUM * queue.weight.max(MIN_WEIGHT);
        queue.credit = (queue.credit - cost as f64).max(deepest);
        if queue.credit <= 0.0 && self.ring.front() == Some(team) {
            self.ring.rotate_left(1);
        }
    }

    /// The request to try next, except those passed over in this round.
    pub fn next(&mut self) -> Option<&QueuedRequest> {
        let team = if self.passed_over.is_empty() {
            self.next_turn()?
        } else {
            self.next_not_passed()?
        };
        let queue = self.teams.get(&team)?;
        queue.items.values().nth(queue.skip)
    }

    /// Passes over the request just tried, so that a team whose engines are full doesn't block
    /// others.
    pub fn pass_over(&mut self) {
        let Some(team) = self.ring.pop_front() else {
            return;
        };
        if let Some(queue) = self.teams.get_mut(&team) {
            queue.skip += 1;
        }
        self.passed_over.push(team.clone());
        self.ring.push_back(team);
    }

    /// Ends a round and clears the requests that were passed over.
    ///
    /// Teams that were passed over keep their credit and stay at the back of the ring, so that the
    /// next round tries other teams first. Teams tried in their place get no credit: otherwise
    /// each poll without room would cancel the debt of heavy teams.
    pub fn end_round(&mut self) {
        while let Some(team) = self.passed_over.pop() {
            if let Some(queue) = self.teams.get_mut(&team) {
                queue.skip = 0;
            }
        }
    }

    /// Finds the next team with a request that was not passed over, regardless of credit.
    fn next_not_passed(&mut self) -> Option<TeamId> {
        for _ in 0..self.ring.len() {
            let team = self.ring.front()?;
            let queue = self.teams.get(team)?;
            if queue.skip < queue.items.len() {
                return Some(team.clone());
            }
            self.ring.rotate_left(1);
        }
        None
    }

    /// Rotates the ring to the next team with credit, giving a turn's credit to each
    /// visited team that has none.
    fn next_turn(&mut self) -> Option<TeamId> {
        loop {
            let team = self.ring.front()?.clone();
            let queue = self.teams.get_mut(&team)?;
            if queue.credit <= 0.0 {
                queue.credit += QUANTUM * queue.weight.max(MIN_WEIGHT);
            }
            if queue.credit > 0.0 {
                return Some(team);
            }
            self.ring.rotate_left(1);
        }
    }

    /// The request of a team with the latest deadline, and the cost of all its requests here.
    pub fn latest(&self, team: &TeamId) -> Option<(u64, &QueuedRequest)> {
        let queue = self.teams.get(team)?;
        let (_, item) = queue.items.last_key_value()?;
        Some((queue.cost, item))
    }

    /// The team at an index of the ring, modulo its length.
    pub fn team(&self, at: usize) -> Option<&TeamId> {
        self.ring.get(at % self.ring.len().max(1))
    }
}
