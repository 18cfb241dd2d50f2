//! Retry delays for refused callers.
//!
//! Under saturation most requests are refused, and callers that retry at the same time would be
//! refused together again. Each refusal therefore reserves the next slot of a schedule that
//! advances at the service rate of the engines, so that each caller gets its own time at which
//! there is likely to be capacity for it. Random jitter of up to half the delay separates callers
//! that different routers refused at the same moment.

use super::add_jitter;
use super::line::Line;
use rand::Rng;
use sesamegap_wire::Moment;
use std::collections::BTreeMap;
use std::time::Duration;

/// Minimum delay; an earlier retry costs more than it can gain.
pub(super) const MIN_DELAY: Duration = Duration::from_millis(250);

/// Maximum delay before jitter; predictions further ahead are unreliable.
pub(super) const MAX_DELAY: Duration = Duration::from_secs(30);

/// Time of the last reserved retry, by priority.
#[derive(Debug, Default)]
pub struct RetrySchedule {
    lines: BTreeMap<u8, Line>,
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
        let line = self.lines.entry(priority).or_default();
        let at = line.next(now + earliest.clamp(MIN_DELAY, MAX_DELAY), interval);
        line.advance(at.min(now + MAX_DELAY));
        add_jitter(line.last().since(now), rng)
    }
}
