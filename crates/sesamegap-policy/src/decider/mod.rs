//! Admission, queueing, placement and hedging of one router's requests.
//!
//! Requests are passed in with [`Decider::submit`] and observations with [`Decider::observe`].
//! After either, and at the time returned by [`Decider::wake`], the caller runs
//! [`Decider::poll`] and carries out the returned decisions. A request that fails before its
//! first token and may be retried is submitted again with the failed engine in `barred` and
//! `attempt` incremented. Each submission gets exactly one decision; a hedge is an additional
//! decision on a request that was already sent.
//!
//! [`admission`] admits or refuses submitted requests, [`dispatch`] sends queued requests,
//! [`attempts`] tracks the attempts in flight, and [`estimator`] predicts how long a request
//! would wait.

mod admission;
mod attempts;
mod builder;
mod dispatch;
mod estimator;
mod work;

pub use builder::DeciderBuilder;
pub use work::{Decision, Observation, Refusal, RefusalCode, Work};

use crate::load::Windows;
use crate::load::limits::{RetryBudget, RetrySchedule, Shares, TeamLimits};
use crate::load::queue::Queue;
use crate::load::windows::Signal;
use crate::placing::{Need, PlacementRequest, Placer};
use attempts::AttemptTable;
use estimator::WaitEstimator;
use rand::rngs::ChaCha12Rng;
use sesamegap_settings::{Catalogue, ClassSpec};
use sesamegap_wire::engine::{CacheBatch, EngineEntry};
use sesamegap_wire::peer::{Digest, Warmth};
use sesamegap_wire::{Moment, RequestId, UpstreamId, VmId};
use std::sync::Arc;
use std::time::Duration;

/// Interval between sweeps for queued requests that can no longer meet their deadline, and for
/// attempts that have expired.
const SWEEP_INTERVAL: Duration = Duration::from_millis(100);

/// Admits, queues, places and refuses requests.
#[derive(Debug)]
pub struct Decider {
    placer: Box<dyn Placer>,
    windows: Windows,
    catalogue: Arc<Catalogue>,
    rng: ChaCha12Rng,
    queue: Queue,
    attempts: AttemptTable,
    estimator: WaitEstimator,
    teams: TeamLimits,
    shares: Shares,
    budget: RetryBudget,
    retry_schedule: RetrySchedule,
    highest_priority: u8,
    recheck_at: Option<Moment>,
    last_sweep: Moment,
    decisions: Vec<Decision>,
}

impl Decider {
    /// Submits a request; its decision is returned by [`Decider::poll`].
    pub fn submit(&mut self, work: Work, now: Moment) {
        self.admit_or_refuse(work, now);
    }

    /// Applies an observation.
    pub fn observe(&mut self, observation: Observation, now: Moment) {
        match observation {
            Observation::Settings(catalogue) => self.settings(catalogue),
            Observation::Fleet(engines) => self.fleet(&engines, now),
            Observation::Store(store) => self.placer.set_store(store),
            Observation::Report(engine, report) => {
                self.placer.apply_report(&engine, &report, now);
                self.windows.report(&engine, &report, now);
                self.queue.notify_room();
            }
            Observation::Cache(engine, batch) => self.cache(engine, &batch, now),
            Observation::Listing(engine, listing) => {
                self.placer.apply_listing(&engine, &listing, now);
            }
            Observation::Started(request, cached) => self.placer.started(&request, cached, now),
            Observation::FirstToken(request) => self.first_token(&request, now),
            Observation::Finished(request, whole) => self.finished(&request, whole, now),
            Observation::EngineFailed(engine) => self.placer.failed(&engine, now),
            Observation::Cancelled(request) => self.cancelled(&request),
            Observation::Routers(count) => {
                self.teams.set_routers(count);
                self.windows.set_routers(self.teams.shared_by());
            }
            Observation::Peer(vm, digest) => self.peer(vm, &digest, now),
            Observation::Warm(warmth) => self.placer.apply_warmth(&warmth, now),
        }
    }

    /// Returns all decisions that are due.
    pub fn poll(&mut self, now: Moment) -> Vec<Decision> {
        self.expire(now);
        if now.since(self.last_sweep) >= SWEEP_INTERVAL {
            self.last_sweep = now;
            self.sweep(now);
            self.finish_expired(now);
        }
        if self.recheck_at.is_some_and(|at| at <= now) {
            self.recheck_at = None;
            self.queue.notify_room();
        }
        self.dispatch(now);
        self.send_due_hedges(now);
        let queue = &self.queue;
        self.estimator.sample(|model| queue.cost(model), now);
        while let Some(engine) = self.placer.next_listing(now) {
            self.decisions.push(Decision::List { engine });
        }
        std::mem::take(&mut self.decisions)
    }

    /// Returns when to call [`Decider::poll`] next if nothing is submitted or observed before.
    pub fn wake(&self) -> Option<Moment> {
        let sweep = (!self.queue.is_empty()).then(|| self.last_sweep + SWEEP_INTERVAL);
        let times = [
            self.queue.first_expiry(),
            self.attempts.next_hedge(),
            self.recheck_at,
            sweep,
        ];
        times.into_iter().flatten().min()
    }

    /// Returns the digest of this router's traffic that is sent to its peers.
    pub fn digest(&mut self, now: Moment) -> Digest {
        let mut digest = Digest::default();
        self.placer.digest(&mut digest, now);
        self.teams.digest(&mut digest, now);
        digest
    }

    /// Returns the state that a peer imports when it has just started.
    pub fn warmth(&self, now: Moment) -> Warmth {
        self.placer.warmth(now)
    }

    /// Returns the state as JSON for a diagnostic dump.
    pub fn dump(&self, now: Moment) -> serde_json::Value {
        serde_json::json!({
            "queue": self.queue.dump(),
            "windows": self.windows.dump(),
            "flights": self.attempts.len(),
            "shares": self.shares.dump(),
            "rates": self.estimator.dump(),
            "budget": self.budget.left(),
            "placing": self.placer.dump(now),
        })
    }

    fn settings(&mut self, catalogue: Arc<Catalogue>) {
        self.placer.apply_settings(&catalogue);
        let priorities = catalogue.classes.values().map(|class| class.priority);
        self.highest_priority = priorities.max().unwrap_or(0);
        self.teams.retain(&catalogue);
        self.shares
            .retain(|model| catalogue.models.contains_key(model));
        self.estimator.retain(&catalogue);
        self.catalogue = catalogue;
        self.queue.notify_room();
    }

    fn fleet(&mut self, engines: &[EngineEntry], now: Moment) {
        self.placer.set_engines(engines, now);
        let known: rustc_hash::FxHashSet<_> = engines.iter().map(|entry| &entry.id).collect();
        self.windows.retain(|id| known.contains(id));
        self.queue.notify_room();
    }

    fn cache(&mut self, engine: UpstreamId, batch: &CacheBatch, now: Moment) {
        if self.placer.apply_cache_events(&engine, batch, now) == Need::Listing {
            self.decisions.push(Decision::List { engine });
        }
    }

    fn first_token(&mut self, request: &RequestId, now: Moment) {
        self.placer.first_token(request, now);
        let Some(attempt) = self.attempts.record_first_token(request) else {
            return;
        };
        let time = now.since(attempt.sent_at);
        let signal = if time > attempt.late_after {
            Signal::Late
        } else {
            Signal::Timely
        };
        // The sample is capped, at the deadline: past it, how late an answer is no longer matters,
        // and one request that others overtook on its engine for a minute must not dominate the
        // estimate for those that follow.
        self.estimator
            .record_first_token(attempt, time.min(attempt.late_after * 2), now);
        self.windows.computed(request, signal, now);
        self.queue.notify_room();
    }

    fn finished(&mut self, request: &RequestId, whole: bool, now: Moment) {
        self.placer.finished(request, whole, now);
        if let Some(attempt) = self.attempts.remove(request) {
            if whole {
                self.estimator
                    .record_done(&attempt.model, attempt.cost, now);
            } else if !attempt.first_token_seen {
                self.windows.failed(request, now);
            }
        }
        if self.windows.release(request) {
            self.queue.notify_room();
        }
    }

    fn cancelled(&mut self, request: &RequestId) {
        self.queue.remove(request);
        self.attempts.cancel_hedge(request);
    }

    fn peer(&mut self, vm: VmId, digest: &Digest, now: Moment) {
        self.placer.apply_digest(vm.as_str(), digest, now);
        self.teams.record_digest(vm, digest, now);
        self.windows.set_routers(self.teams.shared_by());
    }

    /// Finishes attempts whose end was never reported.
    ///
    /// If the caller loses track of a stream, its place on the engine would stay taken forever and
    /// the dump would show attempts in flight without traffic. An attempt is therefore treated as
    /// finished some time after the longest duration that its class allows.
    fn finish_expired(&mut self, now: Moment) {
        while let Some(request) = self.attempts.next_expired(now) {
            self.finished(&request, false, now);
        }
    }
}

/// Builds the placement request for a submitted request.
fn placement_request<'a>(work: &'a Work, class: &'a ClassSpec) -> PlacementRequest<'a> {
    PlacementRequest {
        request: &work.request,
        model: &work.model,
        version: work.version,
        chain: &work.chain,
        class,
        barred: &work.barred,
    }
}
