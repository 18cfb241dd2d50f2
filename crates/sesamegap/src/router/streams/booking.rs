//! Guards that give back what a request holds.
//!
//! A task that works on a request can end at any await: its caller leaves, a time limit passes, the
//! router stops. Whatever it holds in the decider or on an engine is given back by these guards, or
//! the engine's window would stay booked and the engine would go on computing for nobody.

use crate::router::core::Core;
use sesamegap_upstream::Engine;
use sesamegap_wire::RequestId;
use std::sync::Arc;
use std::sync::atomic::Ordering;

/// A place in the decider's queue.
#[derive(Debug)]
pub(super) struct Queued {
    core: Arc<Core>,
    request: RequestId,
    decided: bool,
}

impl Queued {
    pub(super) fn new(core: &Arc<Core>, request: &RequestId) -> Self {
        core.queued.fetch_add(1, Ordering::Relaxed);
        Self {
            core: Arc::clone(core),
            request: request.clone(),
            decided: false,
        }
    }

    /// Notes that the decision came.
    pub(super) fn decided(mut self) {
        self.decided = true;
    }
}

impl Drop for Queued {
    fn drop(&mut self) {
        self.core.queued.fetch_sub(1, Ordering::Relaxed);
        if !self.decided {
            self.core.decider.cancelled(self.request.clone());
        }
    }
}

/// A request booked on an engine.
#[derive(Debug)]
pub(super) struct Booking {
    core: Arc<Core>,
    request: RequestId,
    attempt: u32,
    sent: Option<Arc<dyn Engine>>,
    whole: bool,
}

impl Booking {
    pub(super) fn new(core: &Arc<Core>, request: &RequestId, attempt: u32) -> Self {
        Self {
            core: Arc::clone(core),
            request: request.clone(),
            attempt,
            sent: None,
            whole: false,
        }
    }

    /// Notes that the engine may be at work from now on.
    pub(super) fn sent(&mut self, engine: &Arc<dyn Engine>) {
        self.sent = Some(Arc::clone(engine));
    }

    /// Notes that the engine certainly does not work on it.
    pub(super) fn not_run(&mut self) {
        self.sent = None;
    }

    /// Notes that the whole answer came.
    pub(super) fn whole(&mut self) {
        self.whole = true;
        self.sent = None;
    }
}

impl Drop for Booking {
    fn drop(&mut self) {
        self.core.decider.finished(self.request.clone(), self.whole);
        let Some(engine) = self.sent.take() else {
            return;
        };
        let (request, attempt) = (self.request.clone(), self.attempt);
        // Without a runtime the process is ending, and the engine notices that by itself.
        if let Ok(runtime) = tokio::runtime::Handle::try_current() {
            runtime.spawn(async move { drop(engine.cancel(&request, attempt).await) });
        }
    }
}
