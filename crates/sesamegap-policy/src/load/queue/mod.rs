//! Queue of requests that wait for room on an engine.
//!
//! Requests are ordered by [`Rank`]: requests within their team's fair share come before excess
//! ones, and within each group a higher priority strictly comes first. Within a rank, requests for
//! the same weights share a [`lane`], which serves teams in turn and each team's requests by
//! earliest deadline. Long prompts have their own lanes, so that a long prompt without room
//! doesn't block short ones.
//!
//! Strict priority starves the lowest class while higher ones fill the engines. Two rules bound
//! this: a request is refused once it can no longer meet its deadline, and a request within its
//! team's share never waits behind another team's excess.
//!
//! With thousands of requests queued and no room, a poll must not look at each of them. A lane
//! without room is tried again only after [`Queue::notify_room`], and then with a few requests of
//! different teams.

mod lane;
mod level;

pub use lane::{Due, MIN_WEIGHT};

use crate::decider::Work;
use level::{Level, weighted_cost};
use rustc_hash::FxHashMap;
use sesamegap_wire::{ClassId, ModelId, Moment, RequestId, TeamId, Tokens, WeightsVersion};
use std::cmp::Reverse;
use std::collections::BTreeMap;

/// Length from which a prompt is long: four blocks at the current block size, and about the length
/// from which a prefill takes longer than the whole deadline of the short classes.
pub const LONG_PROMPT: Tokens = Tokens(16_384);

/// Placements that fail before a lane counts as full. One failure is not enough, because requests
/// of different teams and prefixes prefer different engines.
pub const MAX_TRIES_WITHOUT_ROOM: u32 = 8;

/// Maximum number of queued requests per router; at 2 KB each the queue stays under a quarter of
/// 64 MB.
pub const MAX_QUEUED_REQUESTS: usize = 8_192;

/// Maximum number of requests that one new request may evict; bounds the cost of a submission.
const MAX_VICTIMS: usize = 16;

/// Cost of an output token in prompt tokens. Each decode step reads all weights to produce one
/// token per stream, while prefill processes many tokens at once.
pub const OUTPUT_TOKEN_COST: u64 = 4;

/// Lowest engine priority of requests within their team's share.
const UPPER: u8 = 128;

/// Scheduling rank of a request; the smallest is served first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Rank {
    /// Whether the request exceeds its team's fair share.
    pub excess: bool,
    /// Priority of its class.
    pub priority: Reverse<u8>,
}

impl Rank {
    /// Creates a rank.
    pub fn new(excess: bool, priority: u8) -> Self {
        let priority = Reverse(priority);
        Self { excess, priority }
    }

    /// Priority that the request has on the engine.
    ///
    /// Engines have no concept of fair shares. If the upper half of the range were not reserved for
    /// requests within their share, a heavy team's excess requests of a high class would overtake
    /// a light team's requests of a low class there.
    pub fn engine_priority(self) -> u8 {
        let upper = if self.excess { 0 } else { UPPER };
        upper + self.priority.0.min(UPPER - 1)
    }
}

/// Properties that all requests of a lane have in common.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct LaneKey {
    model: ModelId,
    version: WeightsVersion,
    long: bool,
}

/// A queued request.
#[derive(Debug, Clone, PartialEq)]
pub struct QueuedRequest {
    /// The request.
    pub work: Work,
    /// Its rank.
    pub rank: Rank,
    /// Deadline of its first token.
    pub deadline: Moment,
    /// Time from which it can no longer meet its deadline and is refused.
    pub expires_at: Moment,
    /// Weight of its team.
    pub weight: f64,
    /// Upper bound of its cost to an engine, in prompt tokens.
    pub cost: u64,
    /// Order of arrival, assigned by the queue.
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

/// Result of an attempt to dispatch a queued request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DispatchOutcome {
    /// It was sent to an engine, at this cost.
    Sent(u64),
    /// It no longer needs an engine and is removed.
    Dropped,
    /// No engine has room for it.
    Full,
}

/// Position of a request, to find it by its id.
#[derive(Debug, Clone)]
struct Position {
    rank: Rank,
    key: LaneKey,
    team: TeamId,
    due: Due,
    expires_at: Moment,
}

/// Requests that wait for room on an engine.
#[derive(Debug, Default)]
pub struct Queue {
    levels: BTreeMap<Rank, Level>,
    positions: FxHashMap<RequestId, Position>,
    expiry: BTreeMap<Due, RequestId>,
    classes: FxHashMap<ClassId, Tokens>,
    seq: u64,
    room_epoch: u64,
    latest_round: usize,
}

impl Queue {
    /// Number of queued requests.
    pub fn len(&self) -> usize {
        self.positions.len()
    }

    /// Whether no request is queued.
    pub fn is_empty(&self) -> bool {
        self.positions.is_empty()
    }

    /// Queued prompt tokens of a class.
    pub fn tokens(&self, class: &ClassId) -> Tokens {
        self.classes.get(class).copied().unwrap_or_default()
    }

    /// Queued cost of a model.
    pub fn cost(&self, model: &ModelId) -> u64 {
        self.levels.values().map(|level| level.cost(model)).sum()
    }

    /// Queues a request, replacing any request with the same id.
    pub fn push(&mut self, mut item: QueuedRequest) {
        self.remove(&item.work.request);
        self.seq += 1;
        item.seq = self.seq;
        let key = item.key();
        let position = Position {
            rank: item.rank,
            key: key.clone(),
            team: item.work.team.clone(),
            due: item.due(),
            expires_at: item.expires_at,
        };
        let request = item.work.request.clone();
        self.expiry
            .insert((item.expires_at, item.seq), request.clone());
        self.positions.insert(request, position);
        *self.classes.entry(item.work.class.clone()).or_default() += item.work.chain.tokens;
        let level = self.levels.entry(item.rank).or_default();
        level.push(&key, item);
        if let Some(lane) = level.lanes.get_mut(&key) {
            // The new request may find room where earlier ones did not.
            lane.tries = lane.tries.max(1);
        }
    }

    /// Removes a request.
    pub fn remove(&mut self, request: &RequestId) -> Option<QueuedRequest> {
        let position = self.positions.remove(request)?;
        self.expiry.remove(&(position.expires_at, position.due.1));
        let level = self.levels.get_mut(&position.rank)?;
        let item = level.remove(&position.key, &position.team, position.due)?;
        if level.lanes.is_empty() {
            self.levels.remove(&position.rank);
        }
        if let Some(tokens) = self.classes.get_mut(&item.work.class) {
            *tokens = *tokens - item.work.chain.tokens;
            if *tokens == Tokens(0) {
                self.classes.remove(&item.work.class);
            }
        }
        Some(item)
    }

    /// Signals that engines may have room again, so that full lanes are retried.
    pub fn notify_room(&mut self) {
        self.room_epoch += 1;
    }

    /// Time at which the next request expires.
    pub fn first_expiry(&self) -> Option<Moment> {
        self.expiry.first_key_value().map(|((at, _), _)| *at)
    }

    /// Removes and returns a request that has expired, if any.
    pub fn pop_expired(&mut self, now: Moment) -> Option<QueuedRequest> {
        let (due, request) = self.expiry.first_key_value()?;
        if due.0 > now {
            return None;
        }
        let request = request.clone();
        self.remove(&request)
    }

    /// Offers requests in order until no lane has room; returns whether any lane was full.
    pub fn serve(&mut self, mut offer: impl FnMut(&QueuedRequest) -> DispatchOutcome) -> bool {
        let mut full: Vec<LaneKey> = Vec::new();
        for (rank, key) in self.retryable_lanes() {
            // A lane that is full for a higher rank is full for a lower one, which may use less
            // room.
            if !full.contains(&key) && self.serve_lane(rank, &key, &mut offer) {
                full.push(key);
            }
        }
        !full.is_empty()
    }

    /// Lanes that may have room, in order of rank.
    fn retryable_lanes(&self) -> Vec<(Rank, LaneKey)> {
        let room_epoch = self.room_epoch;
        let lanes = self.levels.iter().flat_map(|(rank, level)| {
            let lanes = level.lanes.iter();
            lanes.map(move |(key, lane)| (*rank, key, lane))
        });
        let retryable =
            lanes.filter(|(_, _, lane)| lane.room_epoch != room_epoch || lane.tries > 0);
        retryable
            .map(|(rank, key, _)| (rank, key.clone()))
            .collect()
    }

    /// Serves one lane; returns whether it ran out of tries.
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
                    lane.pass_over();
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
            lane.end_round();
        }
        full
    }

    fn lane(&mut self, rank: Rank, key: &LaneKey) -> Option<&mut lane::Lane> {
        self.levels.get_mut(&rank)?.lanes.get_mut(key)
    }

    /// Upper bound of the cost served until a new request of this team is, its own cost included.
    pub fn cost_ahead(
        &self,
        rank: Rank,
        model: &ModelId,
        team: &TeamId,
        weight: f64,
        cost: u64,
    ) -> f64 {
        let above: u64 = self
            .levels
            .range(..rank)
            .map(|(_, level)| level.cost(model))
            .sum();
        let Some(level) = self.levels.get(&rank) else {
            return above as f64;
        };
        // Deficit round robin delays a team by no more than its own cost at its weighted share, and
        // by no more than the cost of the whole level.
        let weight = weight.max(lane::MIN_WEIGHT);
        let others = if level.load(team) > 0 { 0.0 } else { weight };
        let own = (level.load(team) + cost) as f64 * (level.weight() + others) / weight;
        above as f64 + own.min(level.cost(model) as f64)
    }

    /// Evicts requests of lower rank, or of heavier teams, until the new request fits.
    ///
    /// Returns the evicted requests, or `None` without evicting any if the new one can't fit. Used
    /// when a class's queue or the whole queue is full, so that a request of a higher class or of
    /// a team with less queued isn't refused in favour of less important ones. The number of
    /// evictions is bounded so that a submission stays cheap.
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

    /// The request to evict first, if it ranks below the new one.
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
            let latest = level.latest(team);
            let latest =
                latest.filter(|latest| class.is_none_or(|class| latest.work.class == *class));
            if let Some(latest) = latest {
                return Some(latest.work.request.clone());
            }
        }
        None
    }

    /// The request with the latest deadline of one team per lane; each call selects the next team.
    pub fn latest_per_lane(&mut self) -> Vec<QueuedRequest> {
        self.latest_round = self.latest_round.wrapping_add(1);
        let lanes = self.levels.values().flat_map(|level| level.lanes.values());
        let latest = lanes.filter_map(|lane| {
            let team = lane.team(self.latest_round)?;
            lane.latest(team).map(|(_, item)| item.clone())
        });
        latest.collect()
    }

    /// Returns the number of requests by rank as JSON for a diagnostic dump.
    pub fn dump(&self) -> serde_json::Value {
        let mut counts: BTreeMap<String, u64> = BTreeMap::new();
        for position in self.positions.values() {
            let excess = if position.rank.excess {
                "excess"
            } else {
                "share"
            };
            let name = format!("{excess}/{}", position.rank.priority.0);
            *counts.entry(name).or_default() += 1;
        }
        serde_json::json!({ "requests": self.len(), "ranks": counts })
    }
}
