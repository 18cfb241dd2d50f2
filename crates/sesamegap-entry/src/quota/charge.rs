//! The charge of one request.

use super::client;
use crate::core::Core;
use sesamegap_policy::quota::Target;
use sesamegap_wire::TeamId;
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};

/// A request that was charged to its team; dropping it returns the tokens if the request did not run.
#[derive(Debug)]
pub struct Charged {
    core: Arc<Core>,
    team: TeamId,
    cost: f64,
    /// Where it was charged.
    target: Target,
    /// Attempts that may have run.
    runs: AtomicU32,
}

impl Charged {
    pub(super) fn new(core: Arc<Core>, team: TeamId, cost: f64, target: Target) -> Self {
        Self {
            core,
            team,
            cost,
            target,
            runs: AtomicU32::new(0),
        }
    }

    /// Records that an attempt is sent. Each one after the first is charged again, as it runs again.
    pub fn record_sent(&self) {
        if self.runs.fetch_add(1, Ordering::Relaxed) > 0 {
            client::adjust(&self.core, &self.team, self.cost, self.target);
        }
    }

    /// Records that the attempt sent last certainly did not run.
    pub fn record_not_run(&self) {
        if self.runs.fetch_sub(1, Ordering::Relaxed) > 1 {
            client::adjust(&self.core, &self.team, -self.cost, self.target);
        }
    }
}

impl Drop for Charged {
    fn drop(&mut self) {
        if self.runs.load(Ordering::Relaxed) == 0 {
            client::adjust(&self.core, &self.team, -self.cost, self.target);
        }
    }
}
