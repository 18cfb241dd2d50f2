//! The one owner of a router's decisions.
//!
//! Requests come in with [`Decider::submit`], news with [`Decider::observe`]; after either, and
//! at [`Decider::wake`], the owner calls [`Decider::poll`] and carries out the decisions it gets.
//! A request that fails before its first token and may run again is submitted again with the
//! engine barred and the attempt counted. Every submitted request gets exactly one decision per
//! submission; a hedge is a decision on a request that was sent before.
//!
//! [`arrivals`] admits or refuses what is submitted, [`dispatch`] sends what waits, [`flights`]
//! knows what is sent and not over, and [`outlook`] says how long a request would wait.

mod arrivals;
mod builder;
mod dispatch;
mod flights;
mod outlook;
mod work;

pub use builder::DeciderBuilder;
pub use work::{Decision, Observation, Refusal, RefusalCode, Work};

use crate::load::Windows;
use crate::load::limits::{Comebacks, RetryBudget, Shares, TeamLimits};
use crate::load::queue::Queue;
use crate::load::windows::Signal;
use crate::placing::{Need, PlacementRequest, Placer};
use flights::Flights;
use outlook::Outlook;
use rand::rngs::ChaCha12Rng;
use sesamegap_settings::{Catalogue, ClassSpec};
use sesamegap_wire::engine::{CacheBatch, EngineEntry};
use sesamegap_wire::peer::{Digest, Warmth};
use sesamegap_wire::{Moment, RequestId, UpstreamId, VmId};
use std::sync::Arc;
use std::time::Duration;

/// How often queued work is looked over for what has become hopeless.
const SWEEP: Duration = Duration::from_millis(100);

/// Admits, queues, places and refuses requests.
#[derive(Debug)]
pub struct Decider {
    placer: Box<dyn Placer>,
    windows: Windows,
    catalogue: Arc<Catalogue>,
    rng: ChaCha12Rng,
    queue: Queue,
    flights: Flights,
    outlook: Outlook,
    teams: TeamLimits,
    shares: Shares,
    budget: RetryBudget,
    comebacks: Comebacks,
    highest: u8,
    retry: Option<Moment>,
    swept: Moment,
    ready: Vec<Decision>,
}

impl Decider {
    /// Takes in a request; its decision comes from [`Decider::poll`].
    pub fn submit(&mut self, work: Work, now: Moment) {
        self.arrive(work, now);
    }

    /// Takes in news.
    pub fn observe(&mut self, news: Observation, now: Moment) {
        match news {
            Observation::Settings(catalogue) => self.settings(catalogue),
            Observation::Fleet(engines) => self.fleet(&engines, now),
            Observation::Store(store) => self.placer.store(store),
            Observation::Report(engine, report) => {
                self.placer.report(&engine, &report, now);
                self.windows.report(&engine, &report, now);
                self.queue.room();
            }
            Observation::Cache(engine, batch) => self.cache(engine, &batch, now),
            Observation::Listing(engine, listing) => self.placer.listing(&engine, &listing, now),
            Observation::Started(request, cached) => self.placer.started(&request, cached, now),
            Observation::First(request) => self.first(&request, now),
            Observation::Finished(request, whole) => self.finished(&request, whole, now),
            Observation::Failed(engine) => self.placer.failed(&engine, now),
            Observation::Cancelled(request) => self.cancelled(&request),
            Observation::Routers(count) => {
                self.teams.routers(count);
                self.windows.routers(self.teams.shared_by());
            }
            Observation::Peer(vm, digest) => self.peer(vm, &digest, now),
            Observation::Warm(warmth) => self.placer.apply_warmth(&warmth, now),
        }
    }

    /// Gives all decisions that are due.
    pub fn poll(&mut self, now: Moment) -> Vec<Decision> {
        self.expire(now);
        if now.since(self.swept) >= SWEEP {
            self.swept = now;
            self.sweep(now);
            self.reap(now);
        }
        if self.retry.is_some_and(|at| at <= now) {
            self.retry = None;
            self.queue.room();
        }
        self.dispatch(now);
        self.hedge(now);
        let queue = &self.queue;
        self.outlook.tick(|model| queue.cost(model), now);
        while let Some(engine) = self.placer.next_listing(now) {
            self.ready.push(Decision::List { engine });
        }
        std::mem::take(&mut self.ready)
    }

    /// When to call [`Decider::poll`] next even if nothing happens.
    pub fn wake(&self) -> Option<Moment> {
        let sweep = (!self.queue.is_empty()).then(|| self.swept + SWEEP);
        let times = [
            self.queue.first_expiry(),
            self.flights.first_hedge(),
            self.retry,
            sweep,
        ];
        times.into_iter().flatten().min()
    }

    /// What peers should know of this router's traffic.
    pub fn digest(&mut self, now: Moment) -> Digest {
        let mut digest = Digest::default();
        self.placer.digest(&mut digest, now);
        self.teams.digest(&mut digest, now);
        digest
    }

    /// What a peer that has just started should take over.
    pub fn warmth(&self, now: Moment) -> Warmth {
        self.placer.warmth(now)
    }

    /// Describes the state for a dump.
    pub fn dump(&self, now: Moment) -> serde_json::Value {
        serde_json::json!({
            "queue": self.queue.dump(),
            "windows": self.windows.dump(),
            "flights": self.flights.len(),
            "shares": self.shares.dump(),
            "rates": self.outlook.dump(),
            "budget": self.budget.left(),
            "placing": self.placer.dump(now),
        })
    }

    fn settings(&mut self, catalogue: Arc<Catalogue>) {
        self.placer.settings(&catalogue);
        let priorities = catalogue.classes.values().map(|class| class.priority);
        self.highest = priorities.max().unwrap_or(0);
        self.teams.keep(&catalogue);
        self.shares
            .keep(|model| catalogue.models.contains_key(model));
        self.outlook.keep(&catalogue);
        self.catalogue = catalogue;
        self.queue.room();
    }

    fn fleet(&mut self, engines: &[EngineEntry], now: Moment) {
        self.placer.set_engines(engines, now);
        let known: rustc_hash::FxHashSet<_> = engines.iter().map(|entry| &entry.id).collect();
        self.windows.keep(|id| known.contains(id));
        self.queue.room();
    }

    fn cache(&mut self, engine: UpstreamId, batch: &CacheBatch, now: Moment) {
        if self.placer.apply_cache_events(&engine, batch, now) == Need::Listing {
            self.ready.push(Decision::List { engine });
        }
    }

    fn first(&mut self, request: &RequestId, now: Moment) {
        self.placer.first_token(request, now);
        let Some(flight) = self.flights.first(request) else {
            return;
        };
        let time = now.since(flight.sent);
        let signal = if time > flight.patience {
            Signal::Late
        } else {
            Signal::Timely
        };
        // Beyond the deadline it no longer matters how late an answer is, and one that was
        // overtaken on its engine for a minute must not stand for all that follow.
        self.outlook
            .first(flight, time.min(flight.patience * 2), now);
        self.windows.computed(request, signal, now);
        self.queue.room();
    }

    fn finished(&mut self, request: &RequestId, whole: bool, now: Moment) {
        self.placer.finished(request, whole, now);
        if let Some(flight) = self.flights.end(request) {
            if whole {
                self.outlook.done(&flight.model, flight.cost, now);
            } else if !flight.first {
                self.windows.failed(request, now);
            }
        }
        if self.windows.release(request) {
            self.queue.room();
        }
    }

    fn cancelled(&mut self, request: &RequestId) {
        self.queue.remove(request);
        self.flights.no_hedge(request);
    }

    fn peer(&mut self, vm: VmId, digest: &Digest, now: Moment) {
        self.placer.apply_digest(vm.as_str(), digest, now);
        self.teams.peer(vm, digest, now);
        self.windows.routers(self.teams.shared_by());
    }

    /// Ends bookings whose end was never reported.
    ///
    /// An owner that loses track of a stream would leave its place on the engine taken for good;
    /// the dump would show flights without traffic. Long after its class's last promise a
    /// request is taken for over.
    fn reap(&mut self, now: Moment) {
        while let Some(request) = self.flights.overdue(now) {
            self.finished(&request, false, now);
        }
    }
}

/// What a placer is asked for a request.
fn ask<'a>(work: &'a Work, class: &'a ClassSpec) -> PlacementRequest<'a> {
    PlacementRequest {
        request: &work.request,
        model: &work.model,
        version: work.version,
        chain: &work.chain,
        class,
        barred: &work.barred,
    }
}
