//! A reference queue that searches one plain list for each operation, and the queue under test
//! behind the same trait.

use sesamegap_policy::load::queue::{
    DispatchOutcome, LONG_PROMPT, MAX_TRIES_WITHOUT_ROOM, Queue, QueuedRequest, Rank,
};
use sesamegap_wire::{Moment, RequestId, TeamId};
use std::collections::BTreeMap;

/// Sequence numbers of removed requests, in order of removal.
pub type Removed = Vec<u64>;

pub trait QueueModel {
    fn push(&mut self, item: QueuedRequest);
    fn cancel(&mut self, request: &RequestId) -> Removed;
    /// Serves up to `room` requests.
    fn serve(&mut self, room: u8) -> Removed;
    fn expire(&mut self, now: Moment) -> Removed;
}

/// A rule that a defective queue violates.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Defect {
    Priority,
    Deadline,
    Weight,
    Cancel,
    Expiry,
}

impl Defect {
    pub const ALL: [Self; 5] = [
        Self::Priority,
        Self::Deadline,
        Self::Weight,
        Self::Cancel,
        Self::Expiry,
    ];
}

/// The queue under test, optionally with a defect.
#[derive(Default)]
pub struct QueueUnderTest {
    pub queue: Queue,
    defect: Option<Defect>,
}

impl QueueUnderTest {
    pub fn with_defect(defect: Defect) -> Self {
        Self {
            queue: Queue::default(),
            defect: Some(defect),
        }
    }

    /// Number of placements tried by a poll without room.
    pub fn tries(&mut self) -> usize {
        let mut tries = 0;
        self.queue.serve(|_| {
            tries += 1;
            DispatchOutcome::Full
        });
        tries
    }
}

impl QueueModel for QueueUnderTest {
    fn push(&mut self, mut item: QueuedRequest) {
        match self.defect {
            Some(Defect::Priority) => item.rank = Rank::new(item.rank.excess, 1),
            Some(Defect::Deadline) => item.deadline = Moment(0),
            Some(Defect::Weight) => item.weight = 1.0,
            _ => {}
        }
        self.queue.push(item);
    }

    fn cancel(&mut self, request: &RequestId) -> Removed {
        if self.defect == Some(Defect::Cancel) {
            return Vec::new();
        }
        let gone = self.queue.remove(request);
        gone.iter().map(|item| item.work.request.seq).collect()
    }

    fn serve(&mut self, room: u8) -> Removed {
        let mut left = Vec::new();
        self.queue.notify_room();
        self.queue.serve(|item| {
            if left.len() >= usize::from(room) {
                return DispatchOutcome::Full;
            }
            left.push(item.work.request.seq);
            DispatchOutcome::Sent(item.cost)
        });
        left
    }

    fn expire(&mut self, now: Moment) -> Removed {
        let now = match self.defect {
            Some(Defect::Expiry) => Moment(0),
            _ => now,
        };
        let expired = std::iter::from_fn(|| self.queue.pop_expired(now));
        expired.map(|item| item.work.request.seq).collect()
    }
}

/// Requests served in turn with each other: one rank, and long or short prompts.
type Lane = (Rank, bool);

/// Teams of a lane in the order of their turns, with their credit.
type Ring = Vec<(TeamId, f64)>;

/// The reference queue.
#[derive(Default)]
pub struct ReferenceQueue {
    items: Vec<QueuedRequest>,
    rings: BTreeMap<Lane, Ring>,
}

impl ReferenceQueue {
    fn lane(item: &QueuedRequest) -> Lane {
        (item.rank, item.work.chain.tokens >= LONG_PROMPT)
    }

    fn best(&self, lane: Lane, team: &TeamId) -> Option<usize> {
        let items = self.items.iter().enumerate();
        let own = items.filter(|(_, item)| Self::lane(item) == lane && item.work.team == *team);
        own.min_by_key(|(n, item)| (item.deadline, *n))
            .map(|(n, _)| n)
    }

    /// Removes the next request of a lane by deficit round robin; a turn's credit is the cost of a
    /// long prompt times the team's weight.
    fn take(&mut self, lane: Lane) -> Option<QueuedRequest> {
        let team = self.turn(lane)?;
        let n = self.best(lane, &team)?;
        let item = self.items.remove(n);
        let ring = self.rings.get_mut(&lane)?;
        ring[0].1 -= item.cost as f64;
        if ring[0].1 <= 0.0 {
            ring.rotate_left(1);
        }
        self.drop_idle_teams();
        Some(item)
    }

    /// Gives each team a turn's credit until the team at the front has positive credit.
    fn turn(&mut self, lane: Lane) -> Option<TeamId> {
        loop {
            let ring = self.rings.get_mut(&lane)?;
            let (team, credit) = ring.first_mut()?;
            if *credit > 0.0 {
                return Some(team.clone());
            }
            let next = self.items.iter().find(|item| item.work.team == *team)?;
            *credit += 16_384.0 * next.weight;
            if *credit <= 0.0 {
                ring.rotate_left(1);
            }
        }
    }

    /// Tries requests without room, as the queue does to find out that a lane is full. A lane that
    /// is full after all tries is not tried at lower ranks.
    fn probe_without_room(&mut self) {
        let mut full = [false, false];
        let lanes: Vec<_> = self.rings.keys().copied().collect();
        for lane in lanes {
            if !full[usize::from(lane.1)] {
                self.turn(lane);
                full[usize::from(lane.1)] = self.pass(lane);
            }
        }
    }

    /// Passes over one request per team in turn; returns whether it ran out of tries.
    fn pass(&mut self, lane: Lane) -> bool {
        let mut left: BTreeMap<TeamId, usize> = BTreeMap::new();
        for item in self.items.iter().filter(|item| Self::lane(item) == lane) {
            *left.entry(item.work.team.clone()).or_default() += 1;
        }
        let Some(ring) = self.rings.get_mut(&lane) else {
            return false;
        };
        for _ in 0..MAX_TRIES_WITHOUT_ROOM {
            if left.values().all(|count| *count == 0) {
                return false;
            }
            while left[&ring[0].0] == 0 {
                ring.rotate_left(1);
            }
            left.entry(ring[0].0.clone())
                .and_modify(|count| *count -= 1);
            ring.rotate_left(1);
        }
        true
    }

    /// Removes teams without requests from the rings.
    fn drop_idle_teams(&mut self) {
        let items = &self.items;
        for (lane, ring) in &mut self.rings {
            ring.retain(|(team, _)| {
                let mut items = items.iter();
                items.any(|item| Self::lane(item) == *lane && item.work.team == *team)
            });
        }
        self.rings.retain(|_, ring| !ring.is_empty());
    }
}

impl QueueModel for ReferenceQueue {
    fn push(&mut self, item: QueuedRequest) {
        let ring = self.rings.entry(Self::lane(&item)).or_default();
        if ring.iter().all(|(team, _)| *team != item.work.team) {
            ring.push((item.work.team.clone(), 0.0));
        }
        self.items.push(item);
    }

    fn cancel(&mut self, request: &RequestId) -> Removed {
        let before = self.items.len();
        self.items.retain(|item| item.work.request != *request);
        let gone = self.items.len() < before;
        self.drop_idle_teams();
        gone.then_some(request.seq).into_iter().collect()
    }

    fn serve(&mut self, room: u8) -> Removed {
        let mut left = Vec::new();
        while left.len() < usize::from(room) {
            let Some(lane) = self.rings.keys().next().copied() else {
                break;
            };
            left.extend(self.take(lane).map(|item| item.work.request.seq));
        }
        self.probe_without_room();
        left
    }

    fn expire(&mut self, now: Moment) -> Removed {
        let mut gone: Vec<_> = self.items.iter().filter(|i| i.expires_at <= now).collect();
        gone.sort_by_key(|item| item.expires_at);
        let gone = gone.iter().map(|item| item.work.request.seq).collect();
        self.items.retain(|item| item.expires_at > now);
        self.drop_idle_teams();
        gone
    }
}
