//! A queue as one list, sorted anew for each question, and the real one behind the same calls.

use sesamegap_policy::load::queue::{
    DispatchOutcome, LONG_PROMPT, MAX_TRIES_WITHOUT_ROOM, Queue, QueuedRequest, Rank,
};
use sesamegap_wire::{Moment, RequestId, TeamId};
use std::collections::BTreeMap;

/// Requests by number, in the order in which they left.
pub type Left = Vec<u64>;

pub trait Line {
    fn push(&mut self, item: QueuedRequest);
    fn cancel(&mut self, request: &RequestId) -> Left;
    /// Serves up to `room` requests.
    fn serve(&mut self, room: u8) -> Left;
    fn expire(&mut self, now: Moment) -> Left;
}

/// A rule that a queue may forget.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Flaw {
    Priority,
    Deadline,
    Weight,
    Cancel,
    Expiry,
}

impl Flaw {
    pub const ALL: [Self; 5] = [
        Self::Priority,
        Self::Deadline,
        Self::Weight,
        Self::Cancel,
        Self::Expiry,
    ];
}

/// The real queue.
#[derive(Default)]
pub struct Real {
    pub queue: Queue,
    flaw: Option<Flaw>,
}

impl Real {
    pub fn with(flaw: Flaw) -> Self {
        Self {
            queue: Queue::default(),
            flaw: Some(flaw),
        }
    }

    /// Placements tried by a poll that finds no room.
    pub fn tries(&mut self) -> usize {
        let mut tries = 0;
        self.queue.serve(|_| {
            tries += 1;
            DispatchOutcome::Full
        });
        tries
    }
}

impl Line for Real {
    fn push(&mut self, mut item: QueuedRequest) {
        match self.flaw {
            Some(Flaw::Priority) => item.rank = Rank::new(item.rank.excess, 1),
            Some(Flaw::Deadline) => item.deadline = Moment(0),
            Some(Flaw::Weight) => item.weight = 1.0,
            _ => {}
        }
        self.queue.push(item);
    }

    fn cancel(&mut self, request: &RequestId) -> Left {
        if self.flaw == Some(Flaw::Cancel) {
            return Vec::new();
        }
        let gone = self.queue.remove(request);
        gone.iter().map(|item| item.work.request.seq).collect()
    }

    fn serve(&mut self, room: u8) -> Left {
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

    fn expire(&mut self, now: Moment) -> Left {
        let now = match self.flaw {
            Some(Flaw::Expiry) => Moment(0),
            _ => now,
        };
        let expired = std::iter::from_fn(|| self.queue.expired(now));
        expired.map(|item| item.work.request.seq).collect()
    }
}

/// Items that compete with each other: of one rank, long or short.
type Lane = (Rank, bool);

/// Whose turn it is in a lane, first come first, with what each may still spend.
type Ring = Vec<(TeamId, f64)>;

/// The naive queue.
#[derive(Default)]
pub struct List {
    items: Vec<QueuedRequest>,
    rings: BTreeMap<Lane, Ring>,
}

impl List {
    fn lane(item: &QueuedRequest) -> Lane {
        (item.rank, item.work.chain.tokens >= LONG_PROMPT)
    }

    fn best(&self, lane: Lane, team: &TeamId) -> Option<usize> {
        let items = self.items.iter().enumerate();
        let own = items.filter(|(_, item)| Self::lane(item) == lane && item.work.team == *team);
        own.min_by_key(|(n, item)| (item.deadline, *n))
            .map(|(n, _)| n)
    }

    /// Takes the next of a lane: teams in turn, a long prompt's worth of cost by weight each.
    fn take(&mut self, lane: Lane) -> Option<QueuedRequest> {
        let team = self.turn(lane)?;
        let n = self.best(lane, &team)?;
        let item = self.items.remove(n);
        let ring = self.rings.get_mut(&lane)?;
        ring[0].1 -= item.cost as f64;
        if ring[0].1 <= 0.0 {
            ring.rotate_left(1);
        }
        self.tidy();
        Some(item)
    }

    /// Gives credit in turn until the team in front has some.
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

    /// Tries some where no room is left, as the queue does to find that out. What is full after
    /// all tries is not tried at lower ranks.
    fn look(&mut self) {
        let mut full = [false, false];
        let lanes: Vec<_> = self.rings.keys().copied().collect();
        for lane in lanes {
            if !full[usize::from(lane.1)] {
                self.turn(lane);
                full[usize::from(lane.1)] = self.pass(lane);
            }
        }
    }

    /// Passes over one request after another, a team each; says whether the tries ran out.
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

    /// Forgets the turns of teams with nothing left.
    fn tidy(&mut self) {
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

impl Line for List {
    fn push(&mut self, item: QueuedRequest) {
        let ring = self.rings.entry(Self::lane(&item)).or_default();
        if ring.iter().all(|(team, _)| *team != item.work.team) {
            ring.push((item.work.team.clone(), 0.0));
        }
        self.items.push(item);
    }

    fn cancel(&mut self, request: &RequestId) -> Left {
        let before = self.items.len();
        self.items.retain(|item| item.work.request != *request);
        let gone = self.items.len() < before;
        self.tidy();
        gone.then_some(request.seq).into_iter().collect()
    }

    fn serve(&mut self, room: u8) -> Left {
        let mut left = Vec::new();
        while left.len() < usize::from(room) {
            let Some(lane) = self.rings.keys().next().copied() else {
                break;
            };
            left.extend(self.take(lane).map(|item| item.work.request.seq));
        }
        self.look();
        left
    }

    fn expire(&mut self, now: Moment) -> Left {
        let mut gone: Vec<_> = self.items.iter().filter(|i| i.hopeless <= now).collect();
        gone.sort_by_key(|item| item.hopeless);
        let gone = gone.iter().map(|item| item.work.request.seq).collect();
        self.items.retain(|item| item.hopeless > now);
        self.tidy();
        gone
    }
}
