//! Which engine is the home of a prefix, where engines have weights.
//!
//! Load: the engines of a shard differ in speed, and most prompts run at the home of their prefix. With equal numbers of
//! homes, the slow engines would get as many prompts as the others and queue. The weights answer for prompts at their
//! homes; queues at single engines are left to the costs of [`super::engines`].

use super::engines::{Engine, rank};
use super::speeds::Speed;
use std::cmp::Ordering;

/// Compares two engines by their weighted rank for a prefix; the greatest is its home.
///
/// Weighted rendezvous hashing: an engine is the home of a share of the prefixes that is proportional to its weight, and
/// a change of its weight moves prefixes only to it or away from it. Engines of equal weight compare by their ranks alone.
pub fn compare(prefix: u64, a: &Engine, b: &Engine) -> Ordering {
    let ranks = (rank(prefix, a.seed), rank(prefix, b.seed));
    let order = ranks.0.cmp(&ranks.1);
    if a.weight == b.weight {
        return order;
    }
    let distance = |rank: u64, weight: Speed| rank_distance(rank) / weight.ratio();
    let distances = (distance(ranks.0, a.weight), distance(ranks.1, b.weight));
    distances.1.total_cmp(&distances.0).then(order)
}

/// Exponentially distributed distance of a rank from the highest possible one: `-ln` of its quotient.
fn rank_distance(rank: u64) -> f64 {
    /// Number of ranks.
    const RANKS: f64 = 18_446_744_073_709_551_616.0;
    // The distance from the top is exact where it decides, for the highest ranks.
    let below_top = (u64::MAX - rank) as f64 + 0.5;
    -(-below_top / RANKS).ln_1p()
}
