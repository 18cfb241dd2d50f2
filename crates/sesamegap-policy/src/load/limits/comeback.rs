//! When refused callers may come back.
//!
//! Load: saturation, when most of what arrives is refused. Harm prevented: callers who come back
//! together and are refused together, again and again. Each refusal reserves a place in a line
//! that moves at the rate at which engines take work, so the time told is when there is likely
//! to be room for that caller, and not one for all. A random half on top keeps callers apart
//! who were refused by different routers at the same moment.

use rand::Rng;
use sesamegap_wire::Moment;
use std::collections::BTreeMap;
use std::time::Duration;

/// Soonest return: asking again any sooner costs more than it can gain.
const MIN_DELAY: Duration = Duration::from_millis(250);

/// Latest return told: beyond that the line's length is guesswork.
const MAX_DELAY: Duration = Duration::from_secs(30);

/// Lines of returning callers by priority.
#[derive(Debug, Default)]
pub struct RetrySchedule {
    lines: BTreeMap<u8, Moment>,
}

impl RetrySchedule {
    /// Reserves a return no sooner than `earliest`, and `step` behind the one before.
    pub fn reserve(
        &mut self,
        priority: u8,
        earliest: Duration,
        step: Duration,
        now: Moment,
        rng: &mut dyn Rng,
    ) -> Duration {
        let line = self.lines.entry(priority).or_default();
        let at = (now + earliest.clamp(MIN_DELAY, MAX_DELAY)).max(*line + step);
        *line = at.min(now + MAX_DELAY);
        add_jitter(line.since(now), rng)
    }
}

/// Lengthens a time by up to a half, at random.
pub fn add_jitter(time: Duration, rng: &mut dyn Rng) -> Duration {
    let part = f64::from(rng.next_u32()) / f64::from(u32::MAX);
    time.mul_f64(1.0 + part / 2.0)
}
