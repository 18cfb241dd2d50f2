//! Rate limits of teams, shared over routers.
//!
//! A team's rate holds over all routers together, but each decides alone. A router takes the
//! part of the rate that its own demand is of all demand that peers tell of. Routers that are
//! not heard keep an equal part each, since they may well be serving; with all peers silent this
//! leaves each its equal part. A tenth of the rate is always shared equally, so that the first
//! request at a router that had none is not refused for want of a part.

use super::PeerDemand;
use crate::load::learned::DecayingRate;
use rustc_hash::FxHashMap;
use sesamegap_settings::{Catalogue, TeamSpec};
use sesamegap_wire::peer::Digest;
use sesamegap_wire::{Moment, TeamId, Tokens, VmId};
use std::time::Duration;

/// Age at which demand has lost about two thirds of its weight: a few digests.
const DECAY_TIME: Duration = Duration::from_secs(5);

/// Part of each rate that is shared equally whatever the demand.
const EQUAL_FRACTION: f64 = 0.1;

/// Teams told of in a digest; at 30 bytes each this stays within 4 KB a second.
const MAX_DIGEST_TEAMS: usize = 128;

/// Longest wait told: a team whose rate is next to nothing had better look at its settings.
const MAX_RETRY_DELAY: Duration = Duration::from_hours(1);

/// Demand below which a team is not worth telling of, in tokens a second.
const MIN_DIGEST_DEMAND: f64 = 1.0;

#[derive(Debug, Clone, Copy)]
struct Bucket {
    level: f64,
    at: Moment,
    demand: DecayingRate,
}

/// Token buckets of the teams that have a rate.
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
    /// Takes a request of a team, or says how long until there is room for it.
    ///
    /// Load: a team sends more than it has agreed on. Harm prevented: its excess fills queues
    /// and caches that others need. The burst is the team's own limit; a prompt longer than the
    /// whole burst is taken when the bucket is full, and paid off afterwards.
    ///
    /// # Errors
    ///
    /// The time until there is room, if there is none now.
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
        let fresh = !self.buckets.contains_key(team);
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
        bucket.level = if fresh {
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

    /// The part of a team's rate that this router may give out.
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

    /// Notes how many routers are live, this one included.
    pub fn routers(&mut self, count: u32) {
        self.routers = count.max(1);
    }

    /// Gives back what a request took that was not let in after all.
    pub fn give_back(&mut self, team: &TeamId, tokens: Tokens) {
        if let Some(bucket) = self.buckets.get_mut(team) {
            bucket.level += tokens.0 as f64;
        }
    }

    /// How many routers share the limits, as far as is known.
    pub fn shared_by(&self) -> usize {
        (self.routers as usize).max(self.peers.known() + 1)
    }

    /// Takes a peer's digest.
    pub fn peer(&mut self, vm: VmId, digest: &Digest, now: Moment) {
        self.peers.heard(vm, digest, now);
    }

    /// Adds own demand to the digest, the greatest first.
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

    /// Keeps to the teams that settings limit.
    pub fn keep(&mut self, catalogue: &Catalogue) {
        let limited = |team: &TeamId| {
            let spec = catalogue.teams.get(team);
            spec.is_some_and(|spec| spec.rate.is_some())
        };
        self.buckets.retain(|team, _| limited(team));
    }
}
