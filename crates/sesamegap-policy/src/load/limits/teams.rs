//! Rate limits of teams, divided between routers.
//!
//! A team's rate limit applies to all routers together, but each router enforces its part alone.
//! That part is proportional to the router's share of the total demand, as reported by its peers.
//! An equal part is left to each router that can't be heard, since it may still be serving; with
//! no peer heard, each router has an equal part. A tenth of the rate is always divided equally,
//! so that a router without previous demand doesn't refuse its first request.

use super::PeerDemand;
use crate::load::learned::DecayingRate;
use rustc_hash::FxHashMap;
use sesamegap_settings::{Catalogue, TeamSpec};
use sesamegap_wire::peer::Digest;
use sesamegap_wire::{Moment, TeamId, Tokens, VmId};
use std::time::Duration;

/// Time constant of the exponential decay of demand: a few digest intervals.
const DECAY_TIME: Duration = Duration::from_secs(5);

/// Fraction of each rate that is divided equally between routers, independent of demand.
const EQUAL_FRACTION: f64 = 0.1;

/// Maximum number of teams in a digest; at 30 bytes each this stays within 4 KB per second.
const MAX_DIGEST_TEAMS: usize = 128;

/// Maximum retry delay; a team that reaches it has a rate near zero and should check its settings.
const MAX_RETRY_DELAY: Duration = Duration::from_hours(1);

/// Demand below which a team is left out of digests, in tokens per second.
const MIN_DIGEST_DEMAND: f64 = 1.0;

#[derive(Debug, Clone, Copy)]
struct Bucket {
    level: f64,
    at: Moment,
    demand: DecayingRate,
}

/// Token buckets of the teams that have a rate limit.
#[derive(Debug)]
pub struct TeamLimits {
    buckets: FxHashMap<TeamId, Bucket>,
    peers: PeerDemand,
    routers: u32,
}

impl Default for TeamLimits {
    fn default() -> Self {
        Self {
            buckets: FxHashMap::default(),
            peers: PeerDemand::default(),
            routers: 1,
        }
    }
}

impl TeamLimits {
    /// Charges a request to its team's bucket.
    ///
    /// Keeps a team that exceeds its rate limit from filling queues and caches that other teams
    /// need. The bucket is as large as the team's own burst limit allows at this router. A larger
    /// prompt is accepted when the bucket is full, and leaves a negative level that later tokens
    /// pay off.
    ///
    /// # Errors
    ///
    /// Returns the time until the bucket has enough tokens, if it lacks them now.
    pub fn take(
        &mut self,
        team: &TeamId,
        spec: &TeamSpec,
        tokens: Tokens,
        now: Moment,
    ) -> Result<(), Duration> {
        let Some(rate) = spec.rate else {
            return Ok(());
        };
        self.peers.sweep(now);
        let is_new = !self.buckets.contains_key(team);
        let mut bucket = self.buckets.remove(team).unwrap_or(Bucket {
            level: 0.0,
            at: now,
            demand: DecayingRate::default(),
        });
        bucket.demand.add(tokens.0 as f64, now, DECAY_TIME);
        let part = self.part(team, bucket.demand.rate(now, DECAY_TIME));
        let rate = (rate * part).max(f64::MIN_POSITIVE);
        let most = (spec.burst.0 as f64 * part).max(1.0);
        let gained = now.since(bucket.at).as_secs_f64() * rate;
        bucket.level = if is_new {
            most
        } else {
            (bucket.level + gained).min(most)
        };
        bucket.at = now;
        let wanted = (tokens.0 as f64).min(most);
        let missing = wanted - bucket.level;
        if missing <= 0.0 {
            bucket.level -= tokens.0 as f64;
        }
        self.buckets.insert(team.clone(), bucket);
        if missing <= 0.0 {
            return Ok(());
        }
        let wait = Duration::try_from_secs_f64(missing / rate);
        Err(wait.map_or(MAX_RETRY_DELAY, |wait| wait.min(MAX_RETRY_DELAY)))
    }

    /// Fraction of a team's rate that this router may use, given its own demand for the team.
    pub fn part(&self, team: &TeamId, own: f64) -> f64 {
        let live = self.peers.live() + 1;
        let routers = self.shared_by() as f64;
        let heard = live as f64 / routers;
        let all = own + self.peers.demand(team);
        let by_demand = if all > 0.0 {
            own / all
        } else {
            1.0 / live as f64
        };
        (1.0 - EQUAL_FRACTION) * heard * by_demand + EQUAL_FRACTION / routers
    }

    /// Sets the number of live routers, this one included.
    pub fn set_routers(&mut self, count: u32) {
        self.routers = count.max(1);
    }

    /// Refunds the tokens of a request that was not admitted after all.
    pub fn refund(&mut self, team: &TeamId, tokens: Tokens) {
        if let Some(bucket) = self.buckets.get_mut(team) {
            bucket.level += tokens.0 as f64;
        }
    }

    /// Number of routers that share the limits, as far as this router knows.
    pub fn shared_by(&self) -> usize {
        (self.routers as usize).max(self.peers.known() + 1)
    }

    /// Records a peer's digest.
    pub fn record_digest(&mut self, vm: VmId, digest: &Digest, now: Moment) {
        self.peers.record_digest(vm, digest, now);
    }

    /// Adds the demand at this router to the digest, highest first.
    pub fn digest(&self, digest: &mut Digest, now: Moment) {
        let rates = self.buckets.iter();
        let rates = rates.map(|(team, bucket)| (team.clone(), bucket.demand.rate(now, DECAY_TIME)));
        let mut demand: Vec<_> = rates
            .filter(|(_, rate)| *rate >= MIN_DIGEST_DEMAND)
            .collect();
        demand.sort_by(|a, b| b.1.total_cmp(&a.1).then_with(|| a.0.cmp(&b.0)));
        demand.truncate(MAX_DIGEST_TEAMS);
        digest.demand = demand;
    }

    /// Drops the buckets of teams without a rate limit in the settings.
    pub fn retain(&mut self, catalogue: &Catalogue) {
        let limited = |team: &TeamId| {
            let spec = catalogue.teams.get(team);
            spec.is_some_and(|spec| spec.rate.is_some())
        };
        self.buckets.retain(|team, _| limited(team));
    }
}
