//! What the engines of a roll share: who is out, who loads, and how long a load takes.

use sesamegap_policy::routing::rolls::{LoadTime, max_concurrent_loads};
use sesamegap_wire::UpstreamId;
use std::collections::BTreeSet;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

/// The engines that this VM takes through a roll.
#[derive(Debug, Default)]
pub struct Round(Mutex<State>);

#[derive(Debug, Default)]
struct State {
    out: BTreeSet<UpstreamId>,
    loading: usize,
    pace: LoadTime,
}

impl Round {
    /// Engines that drain or load.
    pub fn under_way(&self) -> BTreeSet<UpstreamId> {
        self.lock().out.clone()
    }

    /// How fast they load.
    pub fn pace(&self) -> LoadTime {
        self.lock().pace
    }

    /// Counts an engine as out until the guard is dropped.
    pub fn take_out(self: &Arc<Self>, engine: UpstreamId) -> Outage {
        self.lock().out.insert(engine.clone());
        Outage {
            round: Arc::clone(self),
            engine,
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// An engine that is out.
#[derive(Debug)]
pub struct Outage {
    round: Arc<Round>,
    engine: UpstreamId,
}

impl Outage {
    /// Takes a turn to load among this many engines, if one is free.
    pub fn turn(&self, all: usize) -> Option<Turn> {
        let mut state = self.round.lock();
        let free = state.loading < max_concurrent_loads(all);
        free.then(|| {
            state.loading += 1;
            Turn(Arc::clone(&self.round))
        })
    }

    /// How long a load takes.
    pub fn load(&self) -> Duration {
        self.round.pace().load()
    }

    /// Notes how long one took.
    pub fn loaded(&self, took: Duration) {
        self.round.lock().pace.loaded(took);
    }
}

impl Drop for Outage {
    fn drop(&mut self) {
        self.round.lock().out.remove(&self.engine);
    }
}

/// A turn to load, given back when it is dropped.
#[derive(Debug)]
pub struct Turn(Arc<Round>);

impl Drop for Turn {
    fn drop(&mut self) {
        self.0.lock().loading -= 1;
    }
}
