//! Requests in flight on engines, and what was assumed about each when it was sent.

use super::ring::EngineNo;
use rustc_hash::FxHashMap;
use sesamegap_wire::{BlockKey, Incarnation, Moment, RequestId, Tokens};
use std::sync::Arc;

/// Progress of a request on its engine.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Stage {
    /// Sent, with no response from the engine yet.
    Sent,
    /// The engine has accepted the request and looked up its cache.
    Started {
        /// When it started.
        at: Moment,
        /// Whether no other request of this router was being computed there at the start.
        alone: bool,
    },
    /// The first token has arrived.
    Answering,
}

/// One request sent to an engine and not yet finished.
#[derive(Debug, Clone)]
pub struct InFlightRequest {
    /// The engine.
    pub engine: EngineNo,
    /// Incarnation of the engine at dispatch.
    pub incarnation: Incarnation,
    /// Block size of its model.
    pub block: Tokens,
    /// Keys of the prompt's blocks.
    pub keys: Arc<[BlockKey]>,
    /// Tokens in the prompt.
    pub prompt: Tokens,
    /// Tokens to compute, as counted in the engine's backlog.
    pub missing: Tokens,
    /// Priority of its class.
    pub priority: u8,
    /// When it was sent, and the engine's backlog then, in seconds.
    pub sent: (Moment, f64),
    /// Whether it is a cold prefill.
    pub cold: bool,
    /// Progress on the engine.
    pub stage: Stage,
}

/// All in-flight requests; their number is bounded by the engines' windows.
#[derive(Debug, Default)]
pub struct InFlightRequests {
    all: FxHashMap<RequestId, InFlightRequest>,
}

impl InFlightRequests {
    /// Inserts a request; returns the previous entry if it had been sent before.
    pub fn insert(
        &mut self,
        request: &RequestId,
        entry: InFlightRequest,
    ) -> Option<InFlightRequest> {
        self.all.insert(request.clone(), entry)
    }

    /// Returns a request's entry, mutably.
    pub fn get_mut(&mut self, request: &RequestId) -> Option<&mut InFlightRequest> {
        self.all.get_mut(request)
    }

    /// Removes a request that has ended.
    pub fn remove(&mut self, request: &RequestId) -> Option<InFlightRequest> {
        self.all.remove(request)
    }

    /// Removes all requests of an engine that was removed.
    pub fn drop_engine(&mut self, engine: EngineNo) {
        self.all.retain(|_, entry| entry.engine != engine);
    }

    /// Iterates over the requests on one engine.
    pub fn on_engine(&self, engine: EngineNo) -> impl Iterator<Item = &InFlightRequest> {
        self.all.values().filter(move |f| f.engine == engine)
    }

    /// Iterates over the cold prefills that are not finished.
    pub fn cold(&self) -> impl Iterator<Item = &InFlightRequest> {
        let all = self.all.values();
        all.filter(|f| f.cold && f.stage != Stage::Answering)
    }

    /// Number of requests.
    pub fn count(&self) -> usize {
        self.all.len()
    }
}
