//! Learns how fast engines are from the prompts that this VM sent or placed.

use super::{Fleet, Upstream};
use crate::telemetry::events;
use sesamegap_policy::routing::speeds::{Sample, Speed, SpeedChange};
use sesamegap_wire::{Moment, WorkPercent};
use tracing::info;

impl Fleet {
    /// Whether engines say that they share their machines.
    pub fn is_sharing_stated(&self) -> bool {
        self.speeds.is_sharing_stated()
    }

    /// Speed of an engine relative to the usual one.
    ///
    /// Engines that do not share their machines are even; what differs is their load.
    pub fn speed(&self, upstream: &Upstream, now: Moment) -> Speed {
        if self.is_sharing_stated() {
            self.speeds.of(upstream.life, now)
        } else {
            Speed::USUAL
        }
    }

    /// Records how long work takes on an engine's machine at this moment.
    pub(super) fn record_work(&mut self, life: u64, work: WorkPercent, now: Moment) {
        self.speeds.record_work(life, work, now);
    }

    /// Records a prompt that an engine has prefilled.
    pub(crate) fn record_sample(&mut self, sample: &Sample, now: Moment) {
        let tokens = sample.ahead + sample.tokens;
        self.admission_rate.record(tokens, sample.took, now);
        if !self.is_sharing_stated() {
            return;
        }
        let work = self.speeds.work(sample.life, now);
        if let Some(change) = self.speeds.record(sample, work, now) {
            self.log_speed(change);
        }
    }

    /// Forgets the speeds of engines that were not measured lately.
    pub(crate) fn expire_speeds(&mut self, now: Moment) {
        for change in self.speeds.expire(now) {
            self.log_speed(change);
        }
    }

    /// Logs a change. Changes are rare, so a search for the engine's name costs little.
    fn log_speed(&self, change: SpeedChange) {
        let engine = self.upstreams().find(|up| up.life == change.life);
        let engine = engine.map(|up| &up.id);
        let age_ms = crate::clock::millis(change.age);
        info!(event = events::ENGINE_SPEED, ?engine, speed = %change.speed, samples = change.samples, age_ms, "an engine counts as slower or faster than usual, or as usual again");
    }
}
