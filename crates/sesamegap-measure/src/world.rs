//! One run: routers with the real decider, fake engines, and the news between them, late.

use crate::baselines::Policy;
use crate::news::DIGESTS;
use crate::outcome::{Ledger, Outcome};
use crate::setup::{catalogue, domain, moment, name};
use crate::site::Site;
use crate::worker::{Task, Worker};
use crate::workload::{Arrival, END, Scenario};
use rand::SeedableRng;
use rand::rngs::ChaCha12Rng;
use rustc_hash::FxHashMap;
use sesamegap_policy::{Decider, DeciderBuilder, Decision, Observation, Work};
use sesamegap_settings::Catalogue;
use sesamegap_wire::engine::EngineEntry;
use sesamegap_wire::{
    ClassId, DomainId, Incarnation, ModelId, Moment, RequestId, Tokens, UpstreamId, WeightsVersion,
};
use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::sync::Arc;
use std::time::Duration;

/// Seconds within a failure domain.
const NEAR: f64 = 0.0002;
/// Seconds until a router notices that a connection is gone.
pub const NOTICE: f64 = 0.1;
/// What happens next.
#[derive(Debug)]
pub enum Event {
    Arrive(usize),
    Reach(usize, Incarnation, Task),
    Computed(usize, u64),
    Answered(usize, RequestId, usize, u64),
    Tell(usize, u64, Observation),
    Again(usize, u64, usize),
    Poll(usize),
    Report(usize),
    Events(usize),
    Digest(usize),
    Down(usize),
    Up(usize),
    Herd,
}

/// A router with the real decider.
pub struct Router {
    pub decider: Decider,
    pub life: u64,
    domain: DomainId,
    waking: Option<Moment>,
    /// When the last batch of each engine's events arrives, so that none overtakes another.
    pub fed: Vec<f64>,
}

/// A run under way.
pub struct World<'a> {
    pub site: &'a Site,
    pub scenario: Scenario,
    policy: Policy,
    pub arrivals: &'a [Arrival],
    catalogue: Arc<Catalogue>,
    pub model: ModelId,
    pub routers: Vec<Router>,
    pub workers: Vec<Worker>,
    by_id: FxHashMap<UpstreamId, usize>,
    twins: FxHashMap<RequestId, usize>,
    events: BinaryHeap<Reverse<(u64, u64)>>,
    bodies: FxHashMap<u64, Event>,
    count: u64,
    pub now: f64,
    pub rng: ChaCha12Rng,
    pub ledger: Ledger,
}

impl<'a> World<'a> {
    /// Sets up a run; arrivals and chance are the same for every policy.
    pub fn new(
        site: &'a Site,
        scenario: Scenario,
        policy: Policy,
        arrivals: &'a [Arrival],
        seed: u64,
    ) -> Self {
        let model: ModelId = name("model");
        let workers = (0..site.engines).map(|at| {
            let entry = EngineEntry {
                id: name(&format!("worker-{at}")),
                domain: domain(at),
                leaving: false,
            };
            Worker::new(entry, site.speeds[at % site.speeds.len()], site.memory)
        });
        let workers: Vec<Worker> = workers.collect();
        let by_id = workers
            .iter()
            .enumerate()
            .map(|(at, w)| (w.entry.id.clone(), at));
        let mut world = Self {
            site,
            scenario,
            policy,
            arrivals,
            catalogue: Arc::new(catalogue(site, &model)),
            model,
            routers: Vec::new(),
            by_id: by_id.collect(),
            workers,
            twins: FxHashMap::default(),
            events: BinaryHeap::new(),
            bodies: FxHashMap::default(),
            count: 0,
            now: 0.0,
            rng: ChaCha12Rng::seed_from_u64(seed ^ 0x77),
            ledger: Ledger::new(arrivals),
        };
        for at in 0..site.routers {
            let router = world.router(at, 1);
            world.routers.push(router);
            world.greet(at);
            world.at(DIGESTS * (1.0 + at as f64 / 10.0), Event::Digest(at));
        }
        for at in 0..site.engines {
            world.at(0.01 * at as f64, Event::Report(at));
            world.at(0.1 + 0.01 * at as f64, Event::Events(at));
        }
        for (at, arrival) in arrivals.iter().enumerate() {
            world.at(arrival.at, Event::Arrive(at));
        }
        world.faults();
        world
    }

    /// Runs to the end.
    pub fn run(mut self) -> Outcome {
        while let Some(Reverse((at, number))) = self.events.pop() {
            self.now = at as f64 / 1e6;
            if self.now > END + 30.0 {
                break;
            }
            if let Some(event) = self.bodies.remove(&number) {
                self.handle(event);
            }
        }
        self.ledger.close(self.site, self.arrivals)
    }

    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "virtual time is a few minutes, never negative"
    )]
    pub fn at(&mut self, seconds: f64, event: Event) {
        self.count += 1;
        let key = (seconds.max(self.now) * 1e6).ceil() as u64;
        self.events.push(Reverse((key, self.count)));
        self.bodies.insert(self.count, event);
    }

    pub fn after(&mut self, seconds: f64, event: Event) {
        self.at(self.now + seconds, event);
    }

    pub fn router(&self, at: usize, life: u64) -> Router {
        let domain = domain(at);
        let decider = DeciderBuilder::new(domain.clone())
            .seed(at as u64 * 1000 + life)
            .catalogue(Arc::clone(&self.catalogue))
            .placer(self.policy.placer(&domain))
            .build();
        Router {
            decider,
            life,
            domain,
            waking: None,
            fed: vec![0.0; self.workers.len()],
        }
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrive(job) => self.submit(self.arrivals[job].router, job),
            Event::Reach(worker, incarnation, task) => self.reach(worker, incarnation, task),
            Event::Computed(worker, incarnation) => self.computed(worker, incarnation),
            Event::Answered(worker, request, router, life) => {
                if self.workers[worker].answered(&request) {
                    self.ledger.finish(self.job(&request));
                    let news = Observation::Finished(request, true);
                    self.tell(worker, router, life, news);
                }
                self.start(worker);
            }
            Event::Tell(router, life, news) => self.hear(router, life, news),
            Event::Again(router, life, job) => {
                if self.routers[router].life == life {
                    self.submit(router, job);
                }
            }
            Event::Poll(router) => {
                self.routers[router].waking = None;
                self.poll(router);
            }
            Event::Report(worker) => self.report(worker),
            Event::Events(worker) => self.feed(worker),
            Event::Digest(router) => self.digest(router),
            Event::Down(worker) => self.down(worker),
            Event::Up(worker) => self.workers[worker].up = true,
            Event::Herd => self.herd(),
        }
    }

    fn job(&self, request: &RequestId) -> usize {
        let own = usize::try_from(request.seq).unwrap_or(usize::MAX);
        self.twins.get(request).copied().unwrap_or(own)
    }

    fn submit(&mut self, router: usize, job: usize) {
        let arrival = &self.arrivals[job];
        let state = &self.ledger.jobs[job];
        let work = Work {
            request: RequestId {
                vm: name(&format!("vm-{router}")),
                incarnation: Incarnation(self.routers[router].life),
                seq: job as u64,
            },
            team: name(&format!("t{}", arrival.team)),
            class: name::<ClassId>(self.site.kinds[arrival.kind].class),
            model: self.model.clone(),
            version: WeightsVersion(1),
            chain: arrival.chain.clone(),
            answer: Tokens(self.site.kinds[arrival.kind].answer),
            arrived: moment(arrival.at),
            attempt: state.attempt,
            barred: state.barred.clone(),
            repeatable: true,
        };
        self.routers[router].decider.submit(work, moment(self.now));
        self.poll(router);
    }

    fn hear(&mut self, router: usize, life: u64, news: Observation) {
        if self.routers[router].life != life {
            return;
        }
        if let Observation::FirstToken(request) = &news {
            let job = self.job(request);
            self.ledger.first(job, self.now);
        }
        self.routers[router].decider.observe(news, moment(self.now));
        self.poll(router);
    }

    fn poll(&mut self, router: usize) {
        let now = moment(self.now);
        for decision in self.routers[router].decider.poll(now) {
            match decision {
                Decision::Send {
                    request,
                    at,
                    priority,
                } => {
                    let job = self.job(&request);
                    self.send(router, request, job, &at.engine, at.incarnation, priority);
                }
                Decision::Hedge {
                    request,
                    hedge_id: twin,
                    at,
                    priority,
                } => {
                    let job = self.job(&request);
                    self.twins.insert(twin.clone(), job);
                    self.send(router, twin, job, &at.engine, at.incarnation, priority);
                }
                Decision::Refuse { request, refusal } => {
                    let job = self.job(&request);
                    self.ledger.refuse(job, refusal.code);
                }
                Decision::List { engine } => {
                    let worker = self.by_id[&engine];
                    if self.workers[worker].up {
                        let news = Observation::Listing(engine, self.workers[worker].listing());
                        let life = self.routers[router].life;
                        self.after(NOTICE, Event::Tell(router, life, news));
                    }
                }
            }
        }
        self.sleep(router, now);
    }

    /// Arranges the next poll, if none is due before.
    fn sleep(&mut self, router: usize, now: Moment) {
        let Some(wake) = self.routers[router].decider.wake() else {
            return;
        };
        let wake = wake.max(now + Duration::from_millis(1));
        if self.routers[router].waking.is_none_or(|due| due > wake) {
            self.routers[router].waking = Some(wake);
            let wait = wake.since(now).as_secs_f64();
            self.after(wait, Event::Poll(router));
        }
    }

    fn distance(&self, worker: usize, router: usize) -> f64 {
        if self.workers[worker].entry.domain == self.routers[router].domain {
            NEAR
        } else {
            self.site.across
        }
    }

    fn send(
        &mut self,
        router: usize,
        request: RequestId,
        job: usize,
        engine: &UpstreamId,
        incarnation: Incarnation,
        priority: u8,
    ) {
        let worker = self.by_id[engine];
        let task = Task {
            router,
            life: self.routers[router].life,
            request,
            chain: self.arrivals[job].chain.clone(),
            priority,
            answer: self.site.kinds[self.arrivals[job].kind].answer,
        };
        self.ledger.send(job);
        let distance = self.distance(worker, router);
        self.after(distance, Event::Reach(worker, incarnation, task));
    }

    fn tell(&mut self, worker: usize, router: usize, life: u64, news: Observation) {
        let distance = self.distance(worker, router);
        self.after(distance, Event::Tell(router, life, news));
    }

    fn reach(&mut self, worker: usize, incarnation: Incarnation, task: Task) {
        if !self.workers[worker].up || self.workers[worker].incarnation != incarnation.0 {
            self.lose(worker, task, NEAR);
            return;
        }
        self.workers[worker].push(task);
        self.start(worker);
    }

    fn start(&mut self, worker: usize) {
        let Some((seconds, begun)) = self.workers[worker].start() else {
            return;
        };
        if let Some((task, cached)) = begun {
            let job = self.job(&task.request);
            self.ledger.start(job, &task.chain, cached);
            let news = Observation::Started(task.request, Tokens(cached));
            self.tell(worker, task.router, task.life, news);
        }
        let life = self.workers[worker].incarnation;
        self.after(seconds, Event::Computed(worker, life));
    }

    fn computed(&mut self, worker: usize, incarnation: u64) {
        if self.workers[worker].incarnation != incarnation {
            return;
        }
        if let Some((task, seconds)) = self.workers[worker].computed() {
            self.ledger.computed(&task.chain);
            let (router, life) = (task.router, task.life);
            let news = Observation::FirstToken(task.request.clone());
            self.tell(worker, router, life, news);
            self.after(seconds, Event::Answered(worker, task.request, router, life));
        }
        self.start(worker);
    }

    /// Tells a router that an attempt is lost, and submits it again as the router would.
    pub fn lose(&mut self, worker: usize, task: Task, delay: f64) {
        let engine = self.workers[worker].entry.id.clone();
        let job = self.job(&task.request);
        let (router, life) = (task.router, task.life);
        let failed = Observation::EngineFailed(engine.clone());
        self.after(delay, Event::Tell(router, life, failed));
        let finished = Observation::Finished(task.request, false);
        self.after(delay, Event::Tell(router, life, finished));
        self.ledger.lose(job, engine);
        self.after(delay, Event::Again(router, life, job));
    }
}
