//! Slots that each engine keeps for urgent prompts.

use super::room::Backlog;
use sesamegap_wire::Moment;
use std::time::Duration;

/// Time constant of the average: longer than the gaps between urgent prompts, shorter than a burst.
const AVERAGE_TIME: Duration = Duration::from_secs(2);

/// Part of an engine's slots that the reserve may take, so that less urgent prompts are served too.
const MAX_PART: u32 = 2;

/// The average number of urgent prompts that run at an engine, and the slots that follow from it.
///
/// The mean number of prompts in progress is their arrival rate times their duration, whatever these are. Arrivals are
/// independent of each other, so the number varies by about the root of its mean; twice that on top of the mean leaves a
/// slot for all but a few of a hundred urgent prompts.
#[derive(Debug, Default)]
pub struct Reserve {
    mean: f64,
    at: Moment,
}

impl Reserve {
    /// Updates the average and returns the slots to keep.
    pub fn update(&mut self, engines: &[Backlog], now: Moment) -> u32 {
        if engines.is_empty() {
            return 0;
        }
        let running: f64 = engines.iter().map(|engine| f64::from(engine.urgent)).sum();
        let sample = running / engines.len() as f64;
        let age = now.since(self.at).as_secs_f64();
        let weight = 1.0 - (-age / AVERAGE_TIME.as_secs_f64()).exp();
        self.mean += (sample - self.mean) * weight;
        self.at = now.max(self.at);
        let slots = engines.iter().map(|engine| engine.slots).max();
        let most = slots.unwrap_or(0) / MAX_PART;
        whole(self.mean + 2.0 * self.mean.sqrt()).min(most)
    }
}

/// The next whole number; averages are small and not negative.
fn whole(value: f64) -> u32 {
    (0..u32::from(u16::MAX))
        .find(|number| f64::from(*number) >= value)
        .unwrap_or(u32::from(u16::MAX))
}
