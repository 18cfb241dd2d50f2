//! The one owner of a router's decisions.
//!
//! Requests come in with [`Decider::submit`], news with [`Decider::observe`]; after either, and
//! at [`Decider::wake`], the owner calls [`Decider::poll`] and carries out the decisions it gets.
//! A request that fails before its first token and may run again is submitted again with the
//! engine barred and the attempt counted. Every submitted request gets exactly one decision per
//! submission.

mod builder;
mod work;

pub use builder::DeciderBuilder;
pub use work::{Decision, Observation, Refusal, RefusalCode, Work};

use crate::load::Windows;
use crate::placing::{Ask, Need, Placed, Placer};
use rand::rngs::ChaCha12Rng;
use sesamegap_settings::{Catalogue, ClassSpec};
use sesamegap_wire::engine::CacheBatch;
use sesamegap_wire::peer::{Digest, Warmth};
use sesamegap_wire::{Moment, RequestId, UpstreamId};
use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

/// Admits, queues, places and refuses requests.
#[derive(Debug)]
pub struct Decider {
    placer: Box<dyn Placer>,
    windows: Windows,
    catalogue: Arc<Catalogue>,
    rng: ChaCha12Rng,
    queue: VecDeque<Work>,
    ready: Vec<Decision>,
}

impl Decider {
    /// Takes in a request; its decision comes from [`Decider::poll`].
    pub fn submit(&mut self, work: Work, _now: Moment) {
        self.queue.push_back(work);
    }

    /// Takes in news.
    pub fn observe(&mut self, news: Observation, now: Moment) {
        match news {
            Observation::Settings(catalogue) => self.settings(catalogue),
            Observation::Fleet(engines) => self.placer.fleet(&engines, now),
            Observation::Report(engine, report) => self.placer.report(&engine, &report, now),
            Observation::Cache(engine, batch) => self.cache(engine, &batch, now),
            Observation::Listing(engine, listing) => self.placer.listing(&engine, &listing, now),
            Observation::Started(request, cached) => self.placer.started(&request, cached, now),
            Observation::First(request) => self.placer.first(&request, now),
            Observation::Finished(request, whole) => self.finished(&request, whole, now),
            Observation::Failed(engine) => self.placer.failed(&engine, now),
            Observation::Cancelled(request) => self.queue.retain(|work| work.request != request),
            Observation::Routers(_) => {}
            Observation::Peer(vm, digest) => self.placer.peer(vm.as_str(), &digest, now),
            Observation::Warm(warmth) => self.placer.warm(&warmth, now),
        }
    }

    /// Gives all decisions that are due.
    pub fn poll(&mut self, now: Moment) -> Vec<Decision> {
        let mut later = VecDeque::new();
        while let Some(work) = self.queue.pop_front() {
            if let Some(work) = self.decide(work, now) {
                later.push_back(work);
            }
        }
        self.queue = later;
        std::mem::take(&mut self.ready)
    }

    /// When to call [`Decider::poll`] next even if nothing happens.
    pub fn wake(&self) -> Option<Moment> {
        let earliest = self.queue.iter().filter_map(|work| {
            let class = self.catalogue.classes.get(&work.class)?;
            Some(work.arrived + class.deadline)
        });
        earliest.min()
    }

    /// What peers should know of this router's traffic.
    pub fn digest(&mut self, now: Moment) -> Digest {
        let mut digest = Digest::default();
        self.placer.digest(&mut digest, now);
        digest
    }

    /// What a peer that has just started should take over.
    pub fn warmth(&self, now: Moment) -> Warmth {
        self.placer.warmth(now)
    }

    /// Describes the state for a dump.
    pub fn dump(&self, now: Moment) -> serde_json::Value {
        serde_json::json!({
            "queue": self.queue.len(),
            "placing": self.placer.dump(now),
        })
    }

    fn settings(&mut self, catalogue: Arc<Catalogue>) {
        self.placer.settings(&catalogue);
        self.catalogue = catalogue;
    }

    fn cache(&mut self, engine: UpstreamId, batch: &CacheBatch, now: Moment) {
        if self.placer.cache(&engine, batch, now) == Need::Listing {
            self.ready.push(Decision::List { engine });
        }
    }

    fn finished(&mut self, request: &RequestId, whole: bool, now: Moment) {
        self.windows.release(request);
        self.placer.finished(request, whole, now);
    }

    /// Decides on one request, or gives it back to wait.
    fn decide(&mut self, work: Work, now: Moment) -> Option<Work> {
        let Some(class) = self.catalogue.classes.get(&work.class).cloned() else {
            self.refuse(work, RefusalCode::Unknown);
            return None;
        };
        if now >= work.arrived + class.deadline {
            self.refuse(work, RefusalCode::Deadline);
            return None;
        }
        let ask = Self::ask(&work, &class);
        let placed = self.placer.place(&ask, &self.windows, now, &mut self.rng);
        match placed {
            Placed::Full(_) => return Some(work),
            Placed::Nowhere => self.refuse(work, RefusalCode::NoEngine),
            Placed::At(at) => {
                self.placer.sent(&ask, &at, now);
                self.windows.take(&work.request, &at, work.chain.tokens);
                self.ready.push(Decision::Send {
                    request: work.request,
                    at,
                    priority: class.priority,
                });
            }
        }
        None
    }

    fn ask<'a>(work: &'a Work, class: &'a ClassSpec) -> Ask<'a> {
        Ask {
            request: &work.request,
            model: &work.model,
            version: work.version,
            chain: &work.chain,
            class,
            barred: &work.barred,
        }
    }

    fn refuse(&mut self, work: Work, code: RefusalCode) {
        let refusal = Refusal {
            code,
            after: Duration::from_secs(1),
        };
        self.ready.push(Decision::Refuse {
            request: work.request,
            refusal,
        });
    }
}
