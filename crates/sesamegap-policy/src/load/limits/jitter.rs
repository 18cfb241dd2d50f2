//! Jitter that separates callers that would otherwise return at the same moment.

use rand::Rng;
use std::time::Duration;

/// A fraction from 0 to 1 that differs between callers.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Jitter(f64);

impl Jitter {
    /// Draws a fraction.
    pub fn random(rng: &mut dyn Rng) -> Self {
        Self::scaled(rng.next_u32())
    }

    /// Derives a fraction from the hash of a request, the same each time.
    ///
    /// The hash is mixed, so that hashes with few distinct bits, such as counters, differ too.
    pub fn of_hash(hash: u64) -> Self {
        let upper = mix(hash) >> 32;
        Self::scaled(u32::try_from(upper).unwrap_or(u32::MAX))
    }

    fn scaled(bits: u32) -> Self {
        Self(f64::from(bits) / f64::from(u32::MAX))
    }

    /// The fraction, from 0 to 1.
    pub fn fraction(self) -> f64 {
        self.0
    }

    /// Lengthens a delay by up to a half.
    pub fn lengthen(self, time: Duration) -> Duration {
        time.mul_f64(1.0 + self.0 / 2.0)
    }
}

/// The finalizer of `SplitMix64`, in which each input bit changes half of the output bits.
fn mix(hash: u64) -> u64 {
    let hash = (hash ^ (hash >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let hash = (hash ^ (hash >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    hash ^ (hash >> 31)
}

/// Lengthens a delay by a random part of up to a half.
pub fn add_jitter(time: Duration, rng: &mut dyn Rng) -> Duration {
    Jitter::random(rng).lengthen(time)
}
