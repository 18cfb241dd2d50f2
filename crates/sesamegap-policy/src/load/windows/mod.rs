//! How much work one router keeps on each engine.
//!
//! What waits here can still be reordered, refused or sent elsewhere; what waits on an engine
//! cannot. So each engine gets enough to keep its batch full, and no more. These bounds hold:
//!
//! - requests of this router in flight, by a [`Window`];
//! - requests waiting on the engine, whoever sent them, as it reports with a lag, and what this
//!   router has sent since;
//! - prompt tokens not yet computed there, so that long prefills starve no short ones: the
//!   engine computes them one after another, and a short one behind four long ones is late;
//! - a reserve in each, which only the highest class may use, so that it always finds room.

mod adaptive;
mod backlog;

pub use adaptive::AdaptiveWindow;

use crate::placing::{Placement, Room};
use backlog::Backlog;
use rustc_hash::FxHashMap;
use sesamegap_wire::engine::LoadReport;
use sesamegap_wire::{Moment, RequestId, Tokens, UpstreamId};
use std::fmt;

/// Requests in flight to one engine over all routers, as a fixed window shares them: about twice
/// the batch of today's engines, so that the next request is there when one ends.
const FIXED_TOTAL_IN_FLIGHT: usize = 64;

/// Fewest requests one router may have in flight to an engine, however many routers there are.
pub const MIN_WINDOW: usize = 4;

/// Requests waiting on an engine: what it can start while a report is under way. With twice as
/// many, low classes were overtaken on the engine itself for tens of seconds (docs/design/load.md).
const MAX_WAITING: usize = 4;

/// Prompt tokens sent to an engine and not yet computed, over all routers: two of today's long
/// reviews, so that a short prompt waits for less than a long one takes.
const MAX_QUEUED_PREFILL: u64 = 65_536;

/// Part of a window kept for the highest class: one in eight.
const RESERVE_DIVISOR: usize = 8;

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
        (FIXED_TOTAL_IN_FLIGHT / routers.max(1)).max(MIN_WINDOW)
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
    backlog: Backlog,
}

/// Counts what is in flight to each engine.
#[derive(Debug)]
pub struct Windows {
    kind: WindowKind,
    engines: FxHashMap<UpstreamId, Engine>,
    flights: FxHashMap<RequestId, UpstreamId>,
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

    fn entry(&mut self, engine: &UpstreamId) -> &mut Engine {
        let kind = self.kind;
        let entry = self.engines.entry(engine.clone());
        entry.or_insert_with(|| Engine {
            window: kind.make(),
            flights: 0,
            backlog: Backlog::default(),
        })
    }

    /// Books a request on its engine.
    pub fn take(&mut self, request: &RequestId, at: &Placement, prefill: Tokens, now: Moment) {
        self.release(request);
        let engine = self.entry(&at.engine);
        engine.flights += 1;
        engine.backlog.sent(request, prefill.0, now);
        self.flights.insert(request.clone(), at.engine.clone());
    }

    /// Takes an engine's report of itself.
    pub fn report(&mut self, engine: &UpstreamId, report: &LoadReport, now: Moment) {
        let engine = self.entry(engine);
        engine.backlog.report(report, now);
    }

    /// Notes that a request's prompt is computed.
    pub fn computed(&mut self, request: &RequestId, signal: Signal, now: Moment) {
        if let Some(engine) = self.flights.get(request)
            && let Some(engine) = self.engines.get_mut(engine)
        {
            engine.backlog.computed(request);
            engine.window.signal(signal, engine.flights, now);
        }
    }

    /// Notes that an attempt failed on its engine.
    pub fn failed(&mut self, request: &RequestId, now: Moment) {
        if let Some(engine) = self.flights.get(request)
            && let Some(engine) = self.engines.get_mut(engine)
        {
            engine.window.signal(Signal::Late, engine.flights, now);
        }
    }

    /// Ends a booking and says whether there was one; ending one twice does nothing.
    pub fn release(&mut self, request: &RequestId) -> bool {
        let Some(engine) = self.flights.remove(request) else {
            return false;
        };
        if let Some(engine) = self.engines.get_mut(&engine) {
            engine.flights -= 1;
            engine.backlog.computed(request);
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
                "flights": engine.flights, "limit": limit, "prefill": engine.backlog.prefill(1),
            });
            (id.to_string(), state)
        });
        engines.collect::<serde_json::Map<_, _>>().into()
    }

    /// Load: saturation, and long prefills beside short ones. Harm prevented: a short prompt
    /// behind long ones on an engine, and the highest class behind all others. An engine with
    /// nothing to compute takes any one prompt, or the longest could never run.
    fn has(&self, engine: &UpstreamId, prefill: Tokens, highest: bool) -> bool {
        let Some(engine) = self.engines.get(engine) else {
            return true;
        };
        let limit = engine.window.limit(self.routers);
        let reserve = (limit / RESERVE_DIVISOR).max(1);
        let usable = if highest { limit } else { limit - reserve };
        let more = if highest { 2 } else { 1 };
        let waiting = engine.backlog.waiting(self.routers);
        if engine.flights >= usable || waiting >= MAX_WAITING * more {
            return false;
        }
        let queued = engine.backlog.prefill(self.routers);
        queued == 0 || queued + prefill.0 <= MAX_QUEUED_PREFILL * more as u64
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
