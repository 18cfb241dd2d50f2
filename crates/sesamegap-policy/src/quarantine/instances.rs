//! Tells crashes of upstreams apart that are reported with the same instance number.

use crate::routing::engines::rank;
use rustc_hash::FxHashMap;
use sesamegap_wire::Moment;
use std::time::Duration;

/// Minimum time between the crashes of an upstream and of its next instance. Reports of the same crash differ by less.
const MIN_CRASH_INTERVAL: Duration = Duration::from_millis(600);

/// Maximum number of instance numbers whose crashes are told apart.
const MAX_INSTANCES: usize = 1_024;

/// Times of crashes by instance number as reported, that is, as in the list of upstreams.
///
/// A crashed upstream may be running again before the list shows its new instance number. Its next crash is then
/// reported with the former number and would otherwise be taken for the former crash.
#[derive(Debug, Default)]
pub(super) struct Instances(FxHashMap<u64, Vec<Moment>>);

impl Instances {
    /// Returns the number of the instance that crashed, given the reported number and, if it is known, the time of the
    /// crash.
    pub(super) fn identify(&mut self, life: u64, at: Option<Moment>, now: Moment) -> u64 {
        if self.0.len() >= MAX_INSTANCES && !self.0.contains_key(&life) {
            self.forget_oldest();
        }
        let crashes = self.0.entry(life).or_default();
        let is_same = |known: &Moment| {
            // A report may arrive after those of the next crash.
            at.is_none_or(|at| at.since(*known).max(known.since(at)) < MIN_CRASH_INTERVAL)
        };
        let number = crashes.iter().rposition(is_same).unwrap_or_else(|| {
            crashes.push(at.unwrap_or(now));
            crashes.len() - 1
        });
        match number as u64 {
            0 => life,
            number => rank(life, number),
        }
    }

    fn forget_oldest(&mut self) {
        let oldest = self.0.iter().min_by_key(|(_, crashes)| crashes.last());
        if let Some(life) = oldest.map(|(life, _)| *life) {
            self.0.remove(&life);
        }
    }
}
