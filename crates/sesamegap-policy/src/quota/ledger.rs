//! Token buckets of the teams whose parts a VM pools.
//!
//! Load: a team sends many times its limit at once, at all VMs, while other teams send as usual. Its requests
//! are refused as soon as its bucket is empty, with a time to return at which tokens for them will be there;
//! these times are spread over the rate, so that its callers do not return together.

use super::{Pool, RateLimit, SHARDS, ShardSet, Tolerance};
use rustc_hash::FxHashMap;
use sesamegap_wire::{Moment, TeamId};
use std::collections::VecDeque;
use std::time::Duration;

/// Part of a bucket that is kept for requests of the highest priority. A saturated team's urgent requests then
/// find tokens that its other requests would have used up.
const URGENT_PART: f64 = 0.1;

/// Least part of a limit at which a request larger than the bucket is admitted into debt. Only one VM can hold
/// as much, so there is at most one such debt.
const MAJORITY: f64 = 0.5;

/// Time after which a refused request may return if too few parts are held; about the time of a lease.
const RIGHTS_DELAY: Duration = Duration::from_millis(400);

/// Part of a limit that may be used without rights, over all VMs; half of the usual overage.
const RESERVE_OVERAGE: f64 = 0.05;

/// Span over which that part is taken, in seconds; the usual window of limits.
const RESERVE_SPAN: f64 = 8.0;

/// Time in which a used reserve is available again; several windows of the usual limits.
const RESERVE_REFILL: Duration = Duration::from_secs(20);

/// Reductions kept for a shard.
const MAX_REDUCTIONS: usize = 8;

/// Longest time until a refused request may return.
const MAX_DELAY: Duration = Duration::from_mins(1);

/// A request to be charged to its team.
#[derive(Debug, Clone, Copy)]
pub struct Charge<'a> {
    /// The team.
    pub team: &'a TeamId,
    /// Tokens, or one if the limit counts requests.
    pub cost: f64,
    /// Priority; 0 is the most urgent.
    pub priority: u8,
    /// The team's limit.
    pub limit: RateLimit,
    /// Revision of the settings that contain the limit.
    pub revision: u64,
}

/// Whether a request may run.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Verdict {
    /// It was charged.
    Granted,
    /// The team has used up its limit; tokens will be there after this time.
    OverLimit(Duration),
    /// This VM holds too small a part of the limit to tell; it may hold more after this time.
    NoRights(Duration),
}

#[derive(Debug)]
struct Bucket {
    shard: usize,
    level: f64,
    /// Tokens of this VM's reserve that are used up, and when that was computed.
    reserve_used: f64,
    reserve_at: Moment,
    /// [`Pool::held`] when the level was computed.
    held: f64,
    limit: RateLimit,
    revision: u64,
    /// When the last refused request may return.
    next_return: Moment,
}

/// Token buckets by team.
#[derive(Debug)]
pub struct Ledger {
    tolerance: Tolerance,
    buckets: FxHashMap<TeamId, Bucket>,
    /// The last reductions of each shard, which bound the levels of teams without a bucket.
    reductions: [VecDeque<Reduction>; SHARDS],
}

/// A moment at which the held fraction of a shard fell.
#[derive(Debug, Clone, Copy)]
struct Reduction {
    fraction: f64,
    /// [`Pool::held`] at that moment.
    held: f64,
}

impl Ledger {
    /// Creates a ledger without buckets.
    pub fn new(tolerance: Tolerance) -> Self {
        Self {
            tolerance,
            buckets: FxHashMap::default(),
            reductions: Default::default(),
        }
    }

    /// Replaces the tolerance.
    pub fn set_tolerance(&mut self, tolerance: Tolerance) {
        self.tolerance = tolerance;
    }

    /// Limits the levels of shards of which fewer parts are held than before.
    ///
    /// Another VM may hold these parts now, with a bucket of its own.
    pub fn reduce(&mut self, shards: ShardSet, pool: &Pool) {
        for shard in shards.iter() {
            let reductions = &mut self.reductions[shard];
            if reductions.len() == MAX_REDUCTIONS {
                reductions.pop_front();
            }
            reductions.push_back(Reduction {
                fraction: pool.fraction(shard),
                held: pool.held(shard),
            });
        }
        let reserve = self.tolerance.reserve();
        for bucket in self.buckets.values_mut() {
            if shards.contains(bucket.shard) {
                bucket.refill(pool, reserve);
            }
        }
    }

    /// Charges a request to its team if the bucket has enough tokens.
    pub fn charge(
        &mut self,
        shard: usize,
        charge: &Charge<'_>,
        pool: &Pool,
        vms: u32,
        now: Moment,
    ) -> Verdict {
        let reserve = self.tolerance.reserve();
        let fraction = pool.fraction(shard);
        let bucket = self.bucket(shard, charge, pool, now);
        bucket.refill(pool, reserve);
        let capacity = (bucket.limit.burst + reserve) * fraction;
        let kept = if charge.priority == 0 {
            0.0
        } else {
            capacity * URGENT_PART
        };
        let needed = if fraction > MAJORITY {
            (charge.cost + kept).min(capacity)
        } else {
            charge.cost
        };
        if bucket.level >= needed {
            bucket.level -= charge.cost;
            return Verdict::Granted;
        }
        if fraction <= MAJORITY {
            let overage = bucket.limit.rate * RESERVE_SPAN + bucket.limit.burst;
            let part = (reserve + overage * RESERVE_OVERAGE) / f64::from(vms.max(1));
            return bucket.charge_reserve(charge.cost, part, now);
        }
        let rate = (bucket.limit.rate * fraction).max(f64::MIN_POSITIVE);
        let missing = seconds((needed - bucket.level) / rate);
        let spacing = seconds(charge.cost / rate);
        let at = (now + missing).max(bucket.next_return + spacing);
        bucket.next_return = at.min(now + MAX_DELAY);
        Verdict::OverLimit(bucket.next_return.since(now))
    }

    /// Takes the cost from a team's bucket whatever its level, for a further run of a granted request; a negative cost
    /// returns the tokens of one that did not run.
    pub fn adjust(&mut self, team: &TeamId, cost: f64) {
        if let Some(bucket) = self.buckets.get_mut(team) {
            bucket.level -= cost;
        }
    }

    /// Drops the buckets of teams that are not in the settings.
    pub fn retain(&mut self, is_known: impl Fn(&TeamId) -> bool) {
        self.buckets.retain(|team, _| is_known(team));
    }

    /// Returns the level of a team's bucket as of its last charge.
    pub fn level(&self, team: &TeamId) -> Option<f64> {
        self.buckets.get(team).map(|bucket| bucket.level)
    }

    fn bucket(
        &mut self,
        shard: usize,
        charge: &Charge<'_>,
        pool: &Pool,
        now: Moment,
    ) -> &mut Bucket {
        if !self.buckets.contains_key(charge.team) {
            let bucket = Bucket {
                shard,
                level: self.unseen_level(shard, charge.limit, pool),
                held: pool.held(shard),
                reserve_used: 0.0,
                reserve_at: now,
                limit: charge.limit,
                revision: charge.revision,
                next_return: Moment::default(),
            };
            self.buckets.insert(charge.team.clone(), bucket);
        }
        let bucket = self
            .buckets
            .get_mut(charge.team)
            .expect("the bucket was just added");
        if charge.revision >= bucket.revision {
            bucket.revision = charge.revision;
            bucket.limit = charge.limit;
        }
        bucket
    }

    /// The level of a team that has not been charged here: as if its bucket had existed all the time.
    fn unseen_level(&self, shard: usize, limit: RateLimit, pool: &Pool) -> f64 {
        let held = pool.held(shard);
        let capacity = limit.burst + self.tolerance.reserve();
        let since_reductions = self.reductions[shard]
            .iter()
            .map(|low| capacity * low.fraction + limit.rate * (held - low.held));
        since_reductions.fold(limit.rate * held, f64::min)
    }
}

impl Bucket {
    /// Adds the tokens of the time since the last call, up to the part of the capacity that is held.
    fn refill(&mut self, pool: &Pool, reserve: f64) {
        let held = pool.held(self.shard);
        let gained = (held - self.held) * self.limit.rate;
        self.held = held;
        let capacity = (self.limit.burst + reserve) * pool.fraction(self.shard);
        self.level = (self.level + gained).min(capacity);
    }

    /// Charges a request to this VM's own part of the reserve, which needs no rights.
    ///
    /// It keeps short requests served while the VM that pooled the shard is dead or unreachable.
    fn charge_reserve(&mut self, cost: f64, part: f64, now: Moment) -> Verdict {
        let elapsed = now.since(self.reserve_at).as_secs_f64();
        let regained = part * elapsed / RESERVE_REFILL.as_secs_f64();
        self.reserve_used = (self.reserve_used - regained).max(0.0);
        self.reserve_at = now;
        if self.reserve_used + cost > part {
            return Verdict::NoRights(RIGHTS_DELAY);
        }
        self.reserve_used += cost;
        Verdict::Granted
    }
}

fn seconds(secs: f64) -> Duration {
    Duration::try_from_secs_f64(secs.max(0.0)).map_or(MAX_DELAY, |time| time.min(MAX_DELAY))
}
