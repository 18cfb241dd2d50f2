//! Retry delays for refused callers.
//!
//! Under saturation most requests are refused, and callers that retry at the same time would be
//! refused together again. Each refusal therefore reserves the next slot of a schedule that
//! advances at the service rate of the engines, so that each caller gets its own time at which
//! there is likely to be capacity for it. Random jitter of up to half the delay separates callers
//! that different routers refused at the same moment.

use rand::Rng;
use sesamegap_wire::Moment;
use std::collections::BTreeMap;
use std::time::Duration;

/// Minimum delay; an earlier retry costs more than it can gain.
const MIN_DELAY: Duration = Duration::from_millis(250);

/// Maximum delay before jitter; predictions further ahead are unreliable.
const MAX_DELAY: Duration = Duration::from_secs(30);

/// Time of the last reserved retry, by priority.
#[derive(Debug, Default)]
pub struct RetrySchedule {
    last_retries: BTreeMap<u8, Moment>,
}

impl RetrySchedule {
    /// Reserves a retry at least `earliest` from now and `interval` after the previous one, and
    /// returns its delay with jitter.
    pub fn reserve(
        &mut self,
        priority: u8,
        earliest: Duration,
        interval: Duration,
        now: Moment,
        rng: &mut dyn Rng,
    ) -> Duration {
        let last = self.last_retries.entry(priority).or_default();
        let at = (now + earliest.clamp(MIN_DELAY, MAX_DELAY)).max(*last + interval);
        *last = at.min(now + MAX_DELAY);
        add_jitter(last.since(now), rng)
    }
}

/// Lengthens a delay by a random part of up to a half.
pub fn add_jitter(time: Duration, rng: &mut dyn Rng) -> Duration {
    let random_part = f64::from(rng.next_u32()) / f64::from(u32::MAX);
    time.mul_f64(1.0 + random_part / 2.0)
}
