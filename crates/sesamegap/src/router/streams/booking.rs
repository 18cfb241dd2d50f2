//! Drop guards that release what a request holds.
//!
//! A task that works on a request can end at any await: its caller disconnects, a time limit
//! expires or the router stops. These guards then release what the task holds in the decider and
//! on an engine; otherwise the engine's window would stay booked and the engine would keep
//! computing an answer that nobody reads.

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

    /// Marks the request as decided, so that dropping the guard does not cancel it.
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

    /// Records that the engine may be running the request from now on.
    pub(super) fn sent(&mut self, engine: &Arc<dyn Engine>) {
        self.sent = Some(Arc::clone(engine));
    }

    /// Records that the engine is certainly not running the request.
    pub(super) fn not_run(&mut self) {
        self.sent = None;
    }

    /// Records that the complete answer was received.
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
        // Without a runtime the process is exiting, which the engine notices by itself.
        if let Ok(runtime) = tokio::runtime::Handle::try_current() {
            runtime.spawn(async move { drop(engine.cancel(&request, attempt).await) });
        }
    }
}
