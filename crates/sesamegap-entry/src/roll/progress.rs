//! State shared by the engine updates of a roll: which engines are out, how many load, and how long a load takes.

use sesamegap_policy::routing::rolls::{LoadTime, max_concurrent_loads};
use sesamegap_wire::UpstreamId;
use std::collections::BTreeSet;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

/// Progress of the engines that this VM updates.
#[derive(Debug, Default)]
pub struct RollProgress(Mutex<ProgressState>);

#[derive(Debug, Default)]
struct ProgressState {
    out: BTreeSet<UpstreamId>,
    loading: usize,
    load_time: LoadTime,
}

impl RollProgress {
    /// Returns the engines that are draining or loading.
    pub fn engines_out(&self) -> BTreeSet<UpstreamId> {
        self.lock().out.clone()
    }

    /// Returns the observed time of a load.
    pub fn load_time(&self) -> LoadTime {
        self.lock().load_time
    }

    /// Marks an engine as out of service until the guard is dropped.
    pub fn mark_out(self: &Arc<Self>, engine: UpstreamId) -> OutGuard {
        self.lock().out.insert(engine.clone());
        OutGuard {
            progress: Arc::clone(self),
            engine,
        }
    }

    fn lock(&self) -> MutexGuard<'_, ProgressState> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Marks an engine as out of service while it drains and loads.
#[derive(Debug)]
pub struct OutGuard {
    progress: Arc<RollProgress>,
    engine: UpstreamId,
}

impl OutGuard {
    /// Returns a permit to load, unless as many engines are loading as may do so concurrently in a fleet of `all`.
    pub fn try_acquire_load_permit(&self, all: usize) -> Option<LoadPermit> {
        let mut state = self.progress.lock();
        let is_free = state.loading < max_concurrent_loads(all);
        is_free.then(|| {
            state.loading += 1;
            LoadPermit(Arc::clone(&self.progress))
        })
    }

    /// Returns the expected time of a load.
    pub fn expected_load_time(&self) -> Duration {
        self.progress.load_time().load()
    }

    /// Records how long a load took.
    pub fn record_load_time(&self, took: Duration) {
        self.progress.lock().load_time.loaded(took);
    }
}

impl Drop for OutGuard {
    fn drop(&mut self) {
        self.progress.lock().out.remove(&self.engine);
    }
}

/// Permission to load weights, released on drop.
#[derive(Debug)]
pub struct LoadPermit(Arc<RollProgress>);

impl Drop for LoadPermit {
    fn drop(&mut self) {
        self.0.lock().loading -= 1;
    }
}
