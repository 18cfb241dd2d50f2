//! How much work one router keeps on each engine.

use crate::placing::{Placement, Room};
use rustc_hash::FxHashMap;
use sesamegap_wire::{RequestId, Tokens, UpstreamId};

/// Requests in flight from one router to one engine.
const WINDOW: usize = 16;

/// Counts what is in flight to each engine.
#[derive(Debug, Default)]
pub struct Windows {
    flights: FxHashMap<RequestId, UpstreamId>,
    counts: FxHashMap<UpstreamId, usize>,
}

impl Windows {
    /// Books a request on its engine.
    pub fn take(&mut self, request: &RequestId, at: &Placement, _prefill: Tokens) {
        self.flights.insert(request.clone(), at.engine.clone());
        *self.counts.entry(at.engine.clone()).or_default() += 1;
    }

    /// Ends a booking; ending one twice does nothing.
    pub fn release(&mut self, request: &RequestId) {
        if let Some(engine) = self.flights.remove(request)
            && let Some(count) = self.counts.get_mut(&engine)
        {
            *count = count.saturating_sub(1);
        }
    }
}

impl Room for Windows {
    fn has(&self, engine: &UpstreamId, _prefill: Tokens) -> bool {
        self.counts.get(engine).copied().unwrap_or(0) < WINDOW
    }
}
