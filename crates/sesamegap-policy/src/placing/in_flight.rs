//! Requests that are with an engine and what was believed when they were sent.

use super::ring::EngineNo;
use rustc_hash::FxHashMap;
use sesamegap_wire::{BlockKey, Incarnation, Moment, RequestId, Tokens};
use std::sync::Arc;

/// How far an engine has come with a request.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Stage {
    /// Sent, nothing heard.
    Sent,
    /// The engine has looked up its cache.
    Started {
        /// When.
        at: Moment,
        /// Whether no other own request was computed there meanwhile.
        alone: bool,
    },
    /// Its first token came.
    Answering,
}

/// One request with an engine.
#[derive(Debug, Clone)]
pub struct InFlightRequest {
    /// The engine.
    pub engine: EngineNo,
    /// Incarnation of the engine that it was sent to.
    pub incarnation: Incarnation,
    /// Block size of its model.
    pub block: Tokens,
    /// The prompt's blocks.
    pub keys: Arc<[BlockKey]>,
    /// The whole prompt.
    pub prompt: Tokens,
    /// Tokens to compute, as booked on the engine.
    pub missing: Tokens,
    /// Priority of its class.
    pub priority: u8,
    /// When it was sent, and the seconds of backlog found then.
    pub sent: (Moment, f64),
    /// Whether it counts as a cold prefill.
    pub cold: bool,
    /// How far it has come.
    pub stage: Stage,
}

/// All requests with engines; the windows on engines bound their number.
#[derive(Debug, Default)]
pub struct InFlightRequests {
    all: FxHashMap<RequestId, InFlightRequest>,
}

impl InFlightRequests {
    /// Enters a request; gives the former entry if it was sent before.
    pub fn insert(
        &mut self,
        request: &RequestId,
        in_flight_request: InFlightRequest,
    ) -> Option<InFlightRequest> {
        self.all.insert(request.clone(), in_flight_request)
    }

    /// A request's entry, to change.
    pub fn get_mut(&mut self, request: &RequestId) -> Option<&mut InFlightRequest> {
        self.all.get_mut(request)
    }

    /// Takes out a request that is over.
    pub fn remove(&mut self, request: &RequestId) -> Option<InFlightRequest> {
        self.all.remove(request)
    }

    /// Takes out all requests of an engine that is gone.
    pub fn drop_engine(&mut self, engine: EngineNo) {
        self.all
            .retain(|_, in_flight_request| in_flight_request.engine != engine);
    }

    /// Requests with one engine.
    pub fn on_engine(&self, engine: EngineNo) -> impl Iterator<Item = &InFlightRequest> {
        self.all.values().filter(move |f| f.engine == engine)
    }

    /// Long prompts not yet computed.
    pub fn cold(&self) -> impl Iterator<Item = &InFlightRequest> {
        let all = self.all.values();
        all.filter(|f| f.cold && f.stage != Stage::Answering)
    }

    /// Number of requests.
    pub fn count(&self) -> usize {
        self.all.len()
    }
}
