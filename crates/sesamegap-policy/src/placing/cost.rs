//! Cost model: estimated cost, in seconds, of answering a request on one engine.
//!
//! The cost is the queueing delay plus the time to compute the uncached tokens. The computing time
//! is weighted by `thrift`, because recomputing a block also delays the requests queued behind it,
//! and more of them the longer the queue. Evictions add cost in proportion to cache pressure, that
//! is, how soon after their last use blocks are evicted, so that memory fills evenly whatever the
//! hashing. Each rank in the home set adds cost, so that routers unaware of each other's dispatches
//! still send a cold prefix to the same engine. A slow engine costs extra in proportion to its
//! slowness, and one in another failure domain costs a round trip.

use sesamegap_wire::Tokens;

/// Slowness up to which an engine is treated as normal, since the hardware is uneven.
pub const SLOWNESS_THRESHOLD: f64 = 1.5;

/// Slowness above the threshold beyond which the cost no longer grows.
const MAX_SLOWNESS_EXCESS: f64 = 8.0;

/// Cost in seconds per unit of slowness above the threshold.
const SECONDS_PER_SLOWNESS: f64 = 1.0;

/// Fraction of evicted blocks expected to be recomputed at typical cache pressure.
const RECOMPUTED_FRACTION: f64 = 1.0;

/// Requests delayed by each second of computing, per second of queue.
const DELAYED_PER_SECOND: f64 = 0.5;

/// Cost added by each rank in the home set, as a fraction of the cost of computing the missing
/// tokens. At 1.0, a cold prefix moves to its second home only if the queue at the first is longer
/// than the computation itself.
const COST_PER_RANK: f64 = 1.0;

/// Round-trip time to another failure domain, in seconds.
const CROSS_DOMAIN_SECONDS: f64 = 0.003;

/// Costs within this fraction of the lowest one are ties.
const TIE_FRACTION: f64 = 0.02;

/// Costs within this many seconds of the lowest one are ties, as the estimates are no more accurate.
const TIE_SECONDS: f64 = 0.002;

/// Inputs to the cost of answering a request on one engine.
#[derive(Debug, Clone, Copy)]
pub struct CostEstimate {
    /// Seconds until the engine starts on the request.
    pub wait: f64,
    /// Prompt tokens that the engine must compute.
    pub missing: Tokens,
    /// Seconds per token on this engine.
    pub per_token: f64,
    /// Seconds per token relative to the fleet's typical value.
    pub slowness: f64,
    /// Fraction of the missing blocks that evict other blocks.
    pub eviction_fraction: f64,
    /// Cache pressure: 1 if blocks are evicted at the age typical of the fleet.
    pub pressure: f64,
    /// Rank in the home set, or the rank past the end if the engine is not a member.
    pub rank: f64,
    /// Whether the engine is in another failure domain.
    pub cross_domain: bool,
}

impl CostEstimate {
    /// Estimated seconds to the first token.
    pub fn first_token(&self) -> f64 {
        self.wait + self.missing.0 as f64 * self.per_token
    }

    /// Cost in seconds for a class that weights the time to compute tokens by `thrift`.
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

/// Highest cost that still ties with the lowest one.
pub fn tie_limit(best: f64) -> f64 {
    best * (1.0 + TIE_FRACTION) + TIE_SECONDS
}
