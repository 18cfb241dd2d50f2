//! What it costs to answer a request on one engine, in seconds.
//!
//! The cost is the wait until the engine turns to the request, plus the time to compute what its
//! cache lacks, which counts `thrift` times: computing a block again also holds up the requests
//! behind, the more of them the longer the queue. Blocks that must be evicted for it cost more
//! where the cache is under pressure, that is, where blocks are evicted soon after their last use;
//! so memory fills evenly, whatever the hashing. Each place down the home set costs more too, so
//! that routers which know nothing of each other's dispatches still send a cold prefix to the same
//! engine. A slow engine costs by its slowness, another failure domain its round trip.

use sesamegap_wire::Tokens;

/// Slowness that counts as ordinary for uneven hardware.
pub const SLOWNESS_THRESHOLD: f64 = 1.5;

/// Slowness beyond which an engine is no worse.
const MAX_SLOWNESS_EXCESS: f64 = 8.0;

/// Seconds that each unit of slowness costs.
const SECONDS_PER_SLOWNESS: f64 = 1.0;

/// Part of evicted blocks that will be computed again, under the usual pressure.
const RECOMPUTED_FRACTION: f64 = 1.0;

/// Requests held up per second of queue, by each second computed.
const DELAYED_PER_SECOND: f64 = 0.5;

/// Part of the cost of missing tokens that each place down the home set adds: as much again, so
/// that only a queue longer than the computing itself sends a cold prefix to its second home.
const COST_PER_RANK: f64 = 1.0;

/// Seconds that a round trip to another failure domain adds.
const CROSS_DOMAIN_SECONDS: f64 = 0.003;

/// Costs within this part of the best are alike.
const TIE_FRACTION: f64 = 0.02;

/// Costs within so many seconds of the best are alike; estimates are no better.
const TIE_SECONDS: f64 = 0.002;

/// One engine's offer to answer a request.
#[derive(Debug, Clone, Copy)]
pub struct CostEstimate {
    /// Seconds until the engine turns to it.
    pub wait: f64,
    /// Prompt tokens to compute.
    pub missing: Tokens,
    /// Seconds a token takes there.
    pub per_token: f64,
    /// Its seconds per token in relation to the fleet's.
    pub slowness: f64,
    /// Part of the missing blocks for which others are evicted.
    pub eviction_fraction: f64,
    /// Pressure on the cache: 1 where blocks are evicted at the age typical of the fleet.
    pub pressure: f64,
    /// Place in the home set, beyond its end if the engine is not in it.
    pub rank: f64,
    /// Whether it stands in another failure domain.
    pub cross_domain: bool,
}

impl CostEstimate {
    /// Seconds to the first token.
    pub fn first_token(&self) -> f64 {
        self.wait + self.missing.0 as f64 * self.per_token
    }

    /// Cost in seconds for a class that weighs a recomputed token `thrift` times.
    pub fn cost(&self, thrift: f64) -> f64 {
        let queueing = 1.0 + DELAYED_PER_SECOND * self.wait;
        let compute = self.missing.0 as f64 * self.per_token * thrift.max(1.0) * queueing;
        let rank = compute * COST_PER_RANK * self.rank;
        let evict = compute * RECOMPUTED_FRACTION * self.eviction_fraction * self.pressure;
        let cross_domain = if self.cross_domain {
            CROSS_DOMAIN_SECONDS
        } else {
            0.0
        };
        let slow = (self.slowness - SLOWNESS_THRESHOLD).clamp(0.0, MAX_SLOWNESS_EXCESS)
            * SECONDS_PER_SLOWNESS;
        slow + self.wait + compute + evict + rank + cross_domain
    }
}

/// Highest cost that counts as like the best.
pub fn tie_limit(best: f64) -> f64 {
    best * (1.0 + TIE_FRACTION) + TIE_SECONDS
}
