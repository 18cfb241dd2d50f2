//! How much work one router keeps on each engine.
//!
//! What waits here can still be reordered, refused or sent elsewhere; what waits on an engine
//! cannot. So each engine gets enough to keep its batch full, and no more. Three bounds hold:
//!
//! - requests in flight, by a [`Window`];
//! - prompt tokens sent and not yet computed, so that long prefills starve no short ones: the
//!   engine computes them one after another, and a short one behind four long ones is late;
//! - a reserve in both, which only the highest class may use, so that it always finds room.

mod adaptive;

pub use adaptive::AdaptiveWindow;

use crate::placing::{Placement, Room};
use rustc_hash::FxHashMap;
use sesamegap_wire::{Moment, RequestId, Tokens, UpstreamId};
use std::fmt;

/// Requests in flight to one engine over all routers, as a fixed window shares them: about twice
/// the batch of today's engines, so that the next request is there when one ends.
const FIXED_TOTAL: usize = 64;

/// Fewest requests one router may have in flight to an engine, however many routers there are.
pub const FEWEST: usize = 4;

/// Prompt tokens sent to an engine and not yet computed, over all routers: two of today's long
/// reviews, so that a short prompt waits for less than a long one takes.
const PREFILL_TOTAL: u64 = 65_536;

/// Least that one router may have sent: a long prompt must be possible at all.
const PREFILL_LEAST: u64 = 16_384;

/// Part of a window kept for the highest class: one in eight.
const RESERVE: usize = 8;

/// How an answer went, as far as a window minds.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Signal {
    /// The first token came early enough for its class.
    Timely,
    /// The first token came late, or the attempt failed.
    Late,
}

/// Bounds the requests in flight to one engine.
pub trait Window: fmt::Debug + Send {
    /// Requests that may be in flight; `routers` share the engine.
    fn limit(&self, routers: usize) -> usize;

    /// Takes how an answer went, with `flights` in flight.
    fn signal(&mut self, signal: Signal, flights: usize, now: Moment);
}

/// The same window for ever.
#[derive(Debug, Default)]
pub struct FixedWindow;

impl Window for FixedWindow {
    fn limit(&self, routers: usize) -> usize {
        (FIXED_TOTAL / routers.max(1)).max(FEWEST)
    }

    fn signal(&mut self, _signal: Signal, _flights: usize, _now: Moment) {}
}

/// Which window routers use.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum WindowKind {
    /// [`FixedWindow`].
    #[default]
    Fixed,
    /// [`AdaptiveWindow`].
    Adaptive,
}

impl WindowKind {
    fn make(self) -> Box<dyn Window> {
        match self {
            Self::Fixed => Box::new(FixedWindow),
            Self::Adaptive => Box::new(AdaptiveWindow::default()),
        }
    }
}

#[derive(Debug)]
struct Engine {
    window: Box<dyn Window>,
    flights: usize,
    prefill: u64,
}

#[derive(Debug)]
struct Flight {
    engine: UpstreamId,
    prefill: u64,
}

/// Counts what is in flight to each engine.
#[derive(Debug)]
pub struct Windows {
    kind: WindowKind,
    engines: FxHashMap<UpstreamId, Engine>,
    flights: FxHashMap<RequestId, Flight>,
    routers: usize,
}

impl Default for Windows {
    fn default() -> Self {
        Self::new(WindowKind::default())
    }
}

impl Windows {
    /// Makes windows of a kind.
    pub fn new(kind: WindowKind) -> Self {
        Self {
            kind,
            engines: FxHashMap::default(),
            flights: FxHashMap::default(),
            routers: 1,
        }
    }

    /// Notes how many routers share the engines.
    pub fn routers(&mut self, count: usize) {
        self.routers = count.max(1);
    }

    /// Books a request on its engine.
    pub fn take(&mut self, request: &RequestId, at: &Placement, prefill: Tokens) {
        self.release(request);
        let kind = self.kind;
        let engine = self.engines.entry(at.engine.clone());
        let engine = engine.or_insert_with(|| Engine {
            window: kind.make(),
            flights: 0,
            prefill: 0,
        });
        engine.flights += 1;
        engine.prefill += prefill.0;
        let flight = Flight {
            engine: at.engine.clone(),
            prefill: prefill.0,
        };
        self.flights.insert(request.clone(), flight);
    }

    /// Notes that a request's prompt is computed.
    pub fn computed(&mut self, request: &RequestId, signal: Signal, now: Moment) {
        let Some(flight) = self.flights.get_mut(request) else {
            return;
        };
        let prefill = std::mem::take(&mut flight.prefill);
        if let Some(engine) = self.engines.get_mut(&flight.engine) {
            engine.prefill = engine.prefill.saturating_sub(prefill);
            engine.window.signal(signal, engine.flights, now);
        }
    }

    /// Notes that an attempt failed on its engine.
    pub fn failed(&mut self, request: &RequestId, now: Moment) {
        if let Some(flight) = self.flights.get(request)
            && let Some(engine) = self.engines.get_mut(&flight.engine)
        {
            engine.window.signal(Signal::Late, engine.flights, now);
        }
    }

    /// Ends a booking and says whether there was one; ending one twice does nothing.
    pub fn release(&mut self, request: &RequestId) -> bool {
        let Some(flight) = self.flights.remove(request) else {
            return false;
        };
        if let Some(engine) = self.engines.get_mut(&flight.engine) {
            engine.flights -= 1;
            engine.prefill = engine.prefill.saturating_sub(flight.prefill);
        }
        true
    }

    /// Whether anything is in flight to an engine.
    pub fn busy(&self, engine: &UpstreamId) -> bool {
        self.engines.get(engine).is_some_and(|e| e.flights > 0)
    }

    /// Forgets engines that are gone, unless something is still in flight to them.
    pub fn keep(&mut self, known: impl Fn(&UpstreamId) -> bool) {
        self.engines
            .retain(|id, engine| engine.flights > 0 || known(id));
    }

    /// The room there is for the highest class, or for the others.
    pub fn room(&self, highest: bool) -> impl Room + '_ {
        ClassRoom {
            windows: self,
            highest,
        }
    }

    /// Describes the windows for a dump.
    pub fn dump(&self) -> serde_json::Value {
        let engines = self.engines.iter().map(|(id, engine)| {
            let limit = engine.window.limit(self.routers);
            let state = serde_json::json!({
                "flights": engine.flights, "limit": limit, "prefill": engine.prefill,
            });
            (id.to_string(), state)
        });
        engines.collect::<serde_json::Map<_, _>>().into()
    }

    /// Load: saturation, and long prefills beside short ones. Harm prevented: a short prompt
    /// behind long ones on an engine, and the highest class behind all others. An engine with
    /// no prefill of this router takes any one prompt, or the longest could never run.
    fn has(&self, engine: &UpstreamId, prefill: Tokens, highest: bool) -> bool {
        let Some(engine) = self.engines.get(engine) else {
            return true;
        };
        let limit = engine.window.limit(self.routers);
        let reserve = (limit / RESERVE).max(1);
        let usable = if highest { limit } else { limit - reserve };
        if engine.flights >= usable {
            return false;
        }
        let bound = (PREFILL_TOTAL / self.routers as u64).max(PREFILL_LEAST);
        let bound = if highest { bound * 2 } else { bound };
        engine.prefill == 0 || engine.prefill + prefill.0 <= bound
    }
}

#[derive(Debug)]
struct ClassRoom<'a> {
    windows: &'a Windows,
    highest: bool,
}

impl Room for ClassRoom<'_> {
    fn has(&self, engine: &UpstreamId, prefill: Tokens) -> bool {
        self.windows.has(engine, prefill, self.highest)
    }
}
