//! Requests that wait for room on an engine.
//!
//! A request waits in a [`Rank`]: first all work of teams within their fair share, then the
//! rest, and in each the higher priority first, strictly. Within a rank, requests for the same
//! weights stand in a [`lane`]: teams take turns there, and in each team the earliest deadline
//! goes first. Long prompts have lanes of their own, so that a long one that finds no room holds
//! up no short one.
//!
//! Strict priority starves the lowest class for as long as higher ones fill the engines. That
//! is bounded twice: a request waits no longer than its own deadline and is refused when that
//! is hopeless, and work of a team within its share never waits behind another team's excess.
//!
//! With thousands queued and no room, a poll must not look at each of them. A lane without room
//! is tried again only after a sign of room, and then with a few requests of different teams.

mod lane;
mod level;

pub use lane::{Due, MIN_WEIGHT};

use crate::decider::Work;
use level::{Level, weighted_cost};
use rustc_hash::FxHashMap;
use sesamegap_wire::{ClassId, ModelId, Moment, RequestId, TeamId, Tokens, WeightsVersion};
use std::cmp::Reverse;
use std::collections::BTreeMap;

/// Prompts from this length on are long: four of today's blocks, about the length from which a
/// prefill takes longer than the short classes' whole deadline.
pub const LONG_PROMPT: Tokens = Tokens(16_384);

/// Placements tried in a lane without room: different teams and prefixes want different engines,
/// so one failure says little, and some say that the lane is full.
pub const MAX_TRIES_WITHOUT_ROOM: u32 = 8;

/// Requests one router queues at most: 2 KB each keep the queue under a quarter of 64 MB.
pub const MAX_QUEUED_REQUESTS: usize = 8_192;

/// Victims that one newcomer may push out; a bound on the cost of one submission.
const MAX_VICTIMS: usize = 16;

/// Weight of an answer's token against a prompt's in the cost of a request: a step of the batch
/// reads all weights for one token of each stream, where prefill computes many at once.
pub const OUTPUT_TOKEN_COST: u64 = 4;

/// Least engine priority of work within its share.
const UPPER: u8 = 128;

/// Where a request stands; the smallest goes first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Rank {
    /// Whether its team asks for more than its fair share.
    pub excess: bool,
    /// Its class's priority.
    pub priority: Reverse<u8>,
}

impl Rank {
    /// Makes a rank.
    pub fn new(excess: bool, priority: u8) -> Self {
        let priority = Reverse(priority);
        Self { excess, priority }
    }

    /// Priority in an engine's own batch.
    ///
    /// Engines know nothing of shares. Without the upper half for work within them, a heavy
    /// team's excess of a high class would overtake a light team's low class there.
    pub fn in_engine(self) -> u8 {
        let upper = if self.excess { 0 } else { UPPER };
        upper + self.priority.0.min(UPPER - 1)
    }
}

/// What requests of one lane have in common.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct LaneKey {
    model: ModelId,
    version: WeightsVersion,
    long: bool,
}

/// A request that waits.
#[derive(Debug, Clone, PartialEq)]
pub struct QueuedRequest {
    /// The request.
    pub work: Work,
    /// Where it stands.
    pub rank: Rank,
    /// When its first token must be there.
    pub deadline: Moment,
    /// When waiting longer makes no sense.
    pub hopeless: Moment,
    /// Its team's weight.
    pub weight: f64,
    /// What it may cost an engine, in prompt tokens.
    pub cost: u64,
    /// Order of arrival, given by the queue.
    pub seq: u64,
}

impl QueuedRequest {
    fn due(&self) -> Due {
        (self.deadline, self.seq)
    }

    fn key(&self) -> LaneKey {
        LaneKey {
            model: self.work.model.clone(),
            version: self.work.version,
            long: self.work.chain.tokens >= LONG_PROMPT,
        }
    }
}

/// What became of an item that was offered.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DispatchOutcome {
    /// It was sent, at this cost to the engine.
    Sent(u64),
    /// It needs no engine any more.
    Dropped,
    /// There is no room for it.
    Full,
}

/// Where an item is found.
#[derive(Debug, Clone)]
struct Place {
    rank: Rank,
    key: LaneKey,
    team: TeamId,
    due: Due,
    hopeless: Moment,
}

/// Requests that wait for room.
#[derive(Debug, Default)]
pub struct Queue {
    levels: BTreeMap<Rank, Level>,
    places: FxHashMap<RequestId, Place>,
    expiry: BTreeMap<Due, RequestId>,
    classes: FxHashMap<ClassId, Tokens>,
    seq: u64,
    room_epoch: u64,
    sweep: usize,
}

impl Queue {
    /// Number of requests.
    pub fn len(&self) -> usize {
        self.places.len()
    }

    /// Whether nothing waits.
    pub fn is_empty(&self) -> bool {
        self.places.is_empty()
    }

    /// Prompt tokens of a class that wait.
    pub fn tokens(&self, class: &ClassId) -> Tokens {
        self.classes.get(class).copied().unwrap_or_default()
    }

    /// Cost that waits for a model.
    pub fn cost(&self, model: &ModelId) -> u64 {
        self.levels.values().map(|level| level.cost(model)).sum()
    }

    /// Puts a request in; a second one with the same id takes the place of the first.
    pub fn push(&mut self, mut item: QueuedRequest) {
        self.remove(&item.work.request);
        self.seq += 1;
        item.seq = self.seq;
        let key = item.key();
        let place = Place {
            rank: item.rank,
            key: key.clone(),
            team: item.work.team.clone(),
            due: item.due(),
            hopeless: item.hopeless,
        };
        let request = item.work.request.clone();
        self.expiry
            .insert((item.hopeless, item.seq), request.clone());
        self.places.insert(request, place);
        *self.classes.entry(item.work.class.clone()).or_default() += item.work.chain.tokens;
        let level = self.levels.entry(item.rank).or_default();
        level.push(&key, item);
        if let Some(lane) = level.lanes.get_mut(&key) {
            // The newcomer may find room where those before it did not.
            lane.tries = lane.tries.max(1);
        }
    }

    /// Takes a request out.
    pub fn remove(&mut self, request: &RequestId) -> Option<QueuedRequest> {
        let place = self.places.remove(request)?;
        self.expiry.remove(&(place.hopeless, place.due.1));
        let level = self.levels.get_mut(&place.rank)?;
        let item = level.remove(&place.key, &place.team, place.due)?;
        if level.lanes.is_empty() {
            self.levels.remove(&place.rank);
        }
        if let Some(tokens) = self.classes.get_mut(&item.work.class) {
            *tokens = *tokens - item.work.chain.tokens;
            if *tokens == Tokens(0) {
                self.classes.remove(&item.work.class);
            }
        }
        Some(item)
    }

    /// Notes that there may be room again.
    pub fn notify_room(&mut self) {
        self.room_epoch += 1;
    }

    /// When the first request becomes hopeless.
    pub fn first_expiry(&self) -> Option<Moment> {
        self.expiry.first_key_value().map(|((at, _), _)| *at)
    }

    /// Takes out a request that is hopeless by now.
    pub fn expired(&mut self, now: Moment) -> Option<QueuedRequest> {
        let (due, request) = self.expiry.first_key_value()?;
        if due.0 > now {
            return None;
        }
        let request = request.clone();
        self.remove(&request)
    }

    /// Offers requests in order until no lane has room; says whether any lane was full.
    pub fn serve(&mut self, mut offer: impl FnMut(&QueuedRequest) -> DispatchOutcome) -> bool {
        let mut full: Vec<LaneKey> = Vec::new();
        for (rank, key) in self.stale() {
            // What a higher rank found full is full for a lower one, which has less room.
            if !full.contains(&key) && self.serve_lane(rank, &key, &mut offer) {
                full.push(key);
            }
        }
        !full.is_empty()
    }

    /// Lanes that are worth a try, first come first.
    fn stale(&self) -> Vec<(Rank, LaneKey)> {
        let room_epoch = self.room_epoch;
        let lanes = self.levels.iter().flat_map(|(rank, level)| {
            let lanes = level.lanes.iter();
            lanes.map(move |(key, lane)| (*rank, key, lane))
        });
        let stale = lanes.filter(|(_, _, lane)| lane.room_epoch != room_epoch || lane.tries > 0);
        stale.map(|(rank, key, _)| (rank, key.clone())).collect()
    }

    /// Serves one lane and says whether its tries ran out.
    fn serve_lane(
        &mut self,
        rank: Rank,
        key: &LaneKey,
        offer: &mut impl FnMut(&QueuedRequest) -> DispatchOutcome,
    ) -> bool {
        let room_epoch = self.room_epoch;
        if let Some(lane) = self.lane(rank, key)
            && lane.room_epoch != room_epoch
        {
            lane.room_epoch = room_epoch;
            lane.tries = MAX_TRIES_WITHOUT_ROOM;
        }
        let mut full = false;
        while let Some(lane) = self.lane(rank, key) {
            if lane.tries == 0 {
                full = true;
                break;
            }
            let Some(item) = lane.next() else {
                lane.tries = 0;
                break;
            };
            let outcome = offer(item);
            let request = item.work.request.clone();
            let team = item.work.team.clone();
            match outcome {
                DispatchOutcome::Full => {
                    lane.pass();
                    lane.tries -= 1;
                }
                DispatchOutcome::Dropped => drop(self.remove(&request)),
                DispatchOutcome::Sent(cost) => {
                    lane.charge(&team, cost);
                    self.remove(&request);
                }
            }
        }
        if let Some(lane) = self.lane(rank, key) {
            lane.rewind();
        }
        full
    }

    fn lane(&mut self, rank: Rank, key: &LaneKey) -> Option<&mut lane::Lane> {
        self.levels.get_mut(&rank)?.lanes.get_mut(key)
    }

    /// Cost that is served before a newcomer of this team, its own included.
    pub fn ahead(&self, rank: Rank, model: &ModelId, team: &TeamId, weight: f64, cost: u64) -> f64 {
        let above: u64 = self
            .levels
            .range(..rank)
            .map(|(_, level)| level.cost(model))
            .sum();
        let Some(level) = self.levels.get(&rank) else {
            return above as f64;
        };
        // Deficit round robin serves a team no later than its own work takes at its share, and
        // no later than all work of the level together.
        let weight = weight.max(lane::MIN_WEIGHT);
        let others = if level.load(team) > 0 { 0.0 } else { weight };
        let own = (level.load(team) + cost) as f64 * (level.weight() + others) / weight;
        above as f64 + own.min(level.cost(model) as f64)
    }

    /// Pushes out work of lower standing until the newcomer fits, or nothing at all.
    ///
    /// Load: saturation, when a class's queue or the whole queue is full. Harm prevented: a
    /// newcomer of a higher class, or of a team with less waiting, refused for work that is worth
    /// less. The number of victims is bounded so that a submission stays cheap.
    pub fn make_room(&mut self, item: &QueuedRequest, most: Tokens) -> Option<Vec<QueuedRequest>> {
        let mut victims = Vec::new();
        loop {
            let tokens = self.tokens(&item.work.class) + item.work.chain.tokens;
            let class = (tokens > most).then_some(&item.work.class);
            if class.is_none() && self.len() < MAX_QUEUED_REQUESTS {
                return Some(victims);
            }
            let victim = match self.victim(item, class) {
                Some(request) if victims.len() < MAX_VICTIMS => self.remove(&request),
                _ => None,
            };
            let Some(victim) = victim else {
                for victim in victims {
                    self.push(victim);
                }
                return None;
            };
            victims.push(victim);
        }
    }

    /// The request worth least, if it is worth less than the newcomer.
    fn victim(&self, item: &QueuedRequest, class: Option<&ClassId>) -> Option<RequestId> {
        let levels = self.levels.range(item.rank..).rev();
        for (rank, level) in levels {
            if class.is_some() && rank.priority != item.rank.priority {
                continue;
            }
            let Some((most, team)) = level.heaviest() else {
                continue;
            };
            let own = level.load(&item.work.team) + item.cost;
            if *rank == item.rank && most <= weighted_cost(own, item.weight) {
                continue;
            }
            let tail = level.tail(team);
            let tail = tail.filter(|tail| class.is_none_or(|class| tail.work.class == *class));
            if let Some(tail) = tail {
                return Some(tail.work.request.clone());
            }
        }
        None
    }

    /// The latest due request of some team in each lane; another team at each call.
    pub fn tails(&mut self) -> Vec<QueuedRequest> {
        self.sweep = self.sweep.wrapping_add(1);
        let lanes = self.levels.values().flat_map(|level| level.lanes.values());
        let tails = lanes.filter_map(|lane| {
            let team = lane.team(self.sweep)?;
            lane.tail(team).map(|(_, item)| item.clone())
        });
        tails.collect()
    }

    /// Requests waiting by rank, for a dump.
    pub fn dump(&self) -> serde_json::Value {
        let mut counts: BTreeMap<String, u64> = BTreeMap::new();
        for place in self.places.values() {
            let excess = if place.rank.excess { "excess" } else { "share" };
            let name = format!("{excess}/{}", place.rank.priority.0);
            *counts.entry(name).or_default() += 1;
        }
        serde_json::json!({ "requests": self.len(), "ranks": counts })
    }
}
