//! Limits on the requests that one router has in flight to each engine.
//!
//! Requests queued in the router can still be reordered, refused or sent to another engine, but
//! those that wait on an engine can't. Each engine therefore gets only enough to keep its batch
//! full. These limits apply:
//!
//! - requests of this router in flight, limited by a [`Window`];
//! - requests of all routers waiting on the engine, estimated from its last report and what this
//!   router has sent since;
//! - prompt tokens not yet computed there, so that long prefills don't starve short ones: the
//!   engine computes prompts one after another, and a short one behind four long ones is late;
//! - a reserve in each of these that only the highest class may use, so that it always finds room.

mod adaptive;
mod backlog;

pub use adaptive::AdaptiveWindow;

use crate::placing::{Placement, Room};
use backlog::Backlog;
use rustc_hash::FxHashMap;
use sesamegap_wire::engine::LoadReport;
use sesamegap_wire::{Moment, RequestId, Tokens, UpstreamId};
use std::fmt;

/// Total requests in flight to one engine that fixed windows divide between routers: about twice
/// the batch of current engines, so that the next request is already there when one ends.
const FIXED_TOTAL_IN_FLIGHT: usize = 64;

/// Minimum window of a router on an engine, regardless of the number of routers.
pub const MIN_WINDOW: usize = 4;

/// Maximum requests waiting on an engine: as many as it can start before its next report arrives.
/// With twice as many, requests of low classes were overtaken on the engine itself for tens of
/// seconds (docs/design/load.md).
const MAX_WAITING: usize = 4;

/// Maximum prompt tokens sent to an engine by all routers and not yet computed: two of the current
/// long review prompts, so that a short prompt waits for less time than a long one takes.
const MAX_QUEUED_PREFILL: u64 = 65_536;

/// Divisor of a window that gives the reserve of the highest class: one in eight.
const RESERVE_DIVISOR: usize = 8;

/// Outcome of an attempt, as input to a window.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Signal {
    /// The first token arrived in time for its class.
    Timely,
    /// The first token arrived late, or the attempt failed.
    Late,
}

/// Limit on the requests in flight to one engine.
pub trait Window: fmt::Debug + Send {
    /// Maximum requests in flight when `routers` share the engine.
    fn limit(&self, routers: usize) -> usize;

    /// Updates the window with the outcome of an attempt while `in_flight` requests are in flight.
    fn signal(&mut self, signal: Signal, in_flight: usize, now: Moment);
}

/// A constant window.
#[derive(Debug, Default)]
pub struct FixedWindow;

impl Window for FixedWindow {
    fn limit(&self, routers: usize) -> usize {
        (FIXED_TOTAL_IN_FLIGHT / routers.max(1)).max(MIN_WINDOW)
    }

    fn signal(&mut self, _signal: Signal, _in_flight: usize, _now: Moment) {}
}

/// Kind of window that routers use.
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
    in_flight: usize,
    backlog: Backlog,
}

/// Windows and requests in flight of all engines.
#[derive(Debug)]
pub struct Windows {
    kind: WindowKind,
    engines: FxHashMap<UpstreamId, Engine>,
    in_flight: FxHashMap<RequestId, UpstreamId>,
    routers: usize,
}

impl Default for Windows {
    fn default() -> Self {
        Self::new(WindowKind::default())
    }
}

impl Windows {
    /// Creates windows of a kind.
    pub fn new(kind: WindowKind) -> Self {
        Self {
            kind,
            engines: FxHashMap::default(),
            in_flight: FxHashMap::default(),
            routers: 1,
        }
    }

    /// Sets the number of routers that share the engines.
    pub fn set_routers(&mut self, count: usize) {
        self.routers = count.max(1);
    }

    fn entry(&mut self, engine: &UpstreamId) -> &mut Engine {
        let kind = self.kind;
        let entry = self.engines.entry(engine.clone());
        entry.or_insert_with(|| Engine {
            window: kind.make(),
            in_flight: 0,
            backlog: Backlog::default(),
        })
    }

    /// Records a request as in flight to its engine.
    pub fn take(&mut self, request: &RequestId, at: &Placement, prefill: Tokens, now: Moment) {
        self.release(request);
        let engine = self.entry(&at.engine);
        engine.in_flight += 1;
        engine.backlog.sent(request, prefill.0, now);
        self.in_flight.insert(request.clone(), at.engine.clone());
    }

    /// Applies an engine's load report.
    pub fn report(&mut self, engine: &UpstreamId, report: &LoadReport, now: Moment) {
        let engine = self.entry(engine);
        engine.backlog.report(report, now);
    }

    /// Records that a request's prompt is computed.
    pub fn computed(&mut self, request: &RequestId, signal: Signal, now: Moment) {
        if let Some(engine) = self.in_flight.get(request)
            && let Some(engine) = self.engines.get_mut(engine)
        {
            engine.backlog.computed(request);
            engine.window.signal(signal, engine.in_flight, now);
        }
    }

    /// Records that an attempt failed on its engine.
    pub fn failed(&mut self, request: &RequestId, now: Moment) {
        if let Some(engine) = self.in_flight.get(request)
            && let Some(engine) = self.engines.get_mut(engine)
        {
            engine.window.signal(Signal::Late, engine.in_flight, now);
        }
    }

    /// Removes a request from its engine; returns whether it was in flight. Idempotent.
    pub fn release(&mut self, request: &RequestId) -> bool {
        let Some(engine) = self.in_flight.remove(request) else {
            return false;
        };
        if let Some(engine) = self.engines.get_mut(&engine) {
            engine.in_flight -= 1;
            engine.backlog.computed(request);
        }
        true
    }

    /// Whether any request is in flight to an engine.
    pub fn busy(&self, engine: &UpstreamId) -> bool {
        self.engines.get(engine).is_some_and(|e| e.in_flight > 0)
    }

    /// Drops unknown engines, except those with requests still in flight.
    pub fn retain(&mut self, known: impl Fn(&UpstreamId) -> bool) {
        self.engines
            .retain(|id, engine| engine.in_flight > 0 || known(id));
    }

    /// The room available to the highest class, or to the other classes.
    pub fn room(&self, highest: bool) -> impl Room + '_ {
        ClassRoom {
            windows: self,
            highest,
        }
    }

    /// Returns the windows as JSON for a diagnostic dump.
    pub fn dump(&self) -> serde_json::Value {
        let engines = self.engines.iter().map(|(id, engine)| {
            let limit = engine.window.limit(self.routers);
            let state = serde_json::json!({
                "flights": engine.in_flight, "limit": limit, "prefill": engine.backlog.prefill(1),
            });
            (id.to_string(), state)
        });
        engines.collect::<serde_json::Map<_, _>>().into()
    }

    /// Whether an engine has room for a prompt.
    ///
    /// Under saturation, the limits keep short prompts from waiting behind long ones on an engine,
    /// and the highest class from waiting behind the others. An engine without prompt tokens to
    /// compute accepts a prompt of any length, as the longest could otherwise never run.
    fn has(&self, engine: &UpstreamId, prefill: Tokens, highest: bool) -> bool {
        let Some(engine) = self.engines.get(engine) else {
            return true;
        };
        let limit = engine.window.limit(self.routers);
        let reserve = (limit / RESERVE_DIVISOR).max(1);
        let usable = if highest { limit } else { limit - reserve };
        let factor = if highest { 2 } else { 1 };
        let waiting = engine.backlog.waiting(self.routers);
        if engine.in_flight >= usable || waiting >= MAX_WAITING * factor {
            return false;
        }
        let queued = engine.backlog.prefill(self.routers);
        queued == 0 || queued + prefill.0 <= MAX_QUEUED_PREFILL * factor as u64
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
