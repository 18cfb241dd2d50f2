//! The limits that this VM knows, shared by all tasks of a process.

use sesamegap_policy::routing::upstream_limits::UpstreamLimits;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

/// The limits of upstreams. Its lock may be taken while that of the fleet is held, not the other way round.
#[derive(Debug, Clone, Default)]
pub struct SharedLimits(Arc<Mutex<UpstreamLimits>>);

impl SharedLimits {
    /// Locks the limits; the guard must not be held across an await point.
    pub fn lock(&self) -> MutexGuard<'_, UpstreamLimits> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
