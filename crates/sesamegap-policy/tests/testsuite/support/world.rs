//! Simulation, in virtual time, of callers, routers and engines, with the outcome of each call.

use super::engine::{Engine, Job, Tick};
use super::least::LeastLoadPlacer;
use super::{at, request, work};
use sesamegap_policy::load::windows::WindowKind;
use sesamegap_policy::{Decider, DeciderBuilder, Decision, Observation, RefusalCode};
use sesamegap_settings::Catalogue;
use sesamegap_wire::engine::EngineEntry;
use sesamegap_wire::{Moment, RequestId, UpstreamId};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

/// Interval at which engines report and routers exchange digests.
const REPORT_INTERVAL: Duration = Duration::from_millis(500);

/// A request made by a caller.
#[derive(Debug, Clone)]
pub struct Call {
    pub at: Moment,
    pub team: &'static str,
    pub class: &'static str,
    pub tokens: u64,
    pub answer: u64,
    /// Maximum number of times that the caller retries after a refusal.
    pub max_retries: u32,
}

/// Outcome of a call.
#[derive(Debug, Clone, Default)]
pub struct Outcome {
    pub submitted: u32,
    pub sent: u32,
    pub first: Option<Moment>,
    pub done: Option<Moment>,
    pub refused: Option<(Moment, RefusalCode, Duration)>,
    pub refusals: u32,
    pub hedges: u32,
}

#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrive(usize),
    Engine(usize),
    Router(usize),
    Report,
    Crash(usize),
}

pub struct World {
    pub catalogue: Arc<Catalogue>,
    pub routers: Vec<Decider>,
    pub engines: Vec<Engine>,
    pub calls: Vec<Call>,
    pub outcomes: Vec<Outcome>,
    now: Moment,
    events: BTreeSet<(Moment, Event)>,
    attempts: BTreeMap<u64, u32>,
    barred: BTreeMap<u64, Vec<UpstreamId>>,
    places: BTreeMap<RequestId, usize>,
}

pub struct Setup {
    pub catalogue: Catalogue,
    pub speeds: Vec<f64>,
    pub routers: usize,
    pub window: WindowKind,
    pub calls: Vec<Call>,
}

impl World {
    pub fn new(setup: Setup) -> Self {
        let catalogue = Arc::new(setup.catalogue);
        let routers = (0..setup.routers).map(|n| {
            DeciderBuilder::new("a".parse().expect("valid"))
                .seed(n as u64)
                .catalogue(Arc::clone(&catalogue))
                .placer(Box::new(LeastLoadPlacer::default()))
                .window(setup.window)
                .build()
        });
        let mut world = Self {
            routers: routers.collect(),
            engines: setup
                .speeds
                .iter()
                .map(|speed| Engine::new(*speed))
                .collect(),
            outcomes: vec![Outcome::default(); setup.calls.len()],
            events: BTreeSet::new(),
            calls: setup.calls,
            now: at(0),
            attempts: BTreeMap::new(),
            barred: BTreeMap::new(),
            places: BTreeMap::new(),
            catalogue,
        };
        world.schedule_initial();
        world
    }

    fn schedule_initial(&mut self) {
        let entries: Vec<_> = (0..self.engines.len())
            .map(|n| EngineEntry {
                id: engine_id(n),
                domain: "a".parse().expect("valid"),
                leaving: false,
            })
            .collect();
        let count = u32::try_from(self.routers.len()).expect("valid");
        for router in &mut self.routers {
            router.observe(Observation::Fleet(entries.clone()), self.now);
            router.observe(Observation::Routers(count), self.now);
        }
        self.events.insert((self.now, Event::Report));
        for (n, call) in self.calls.iter().enumerate() {
            self.events.insert((call.at, Event::Arrive(n)));
        }
    }

    pub fn crash(&mut self, engine: usize, when: Moment) {
        self.events.insert((when, Event::Crash(engine)));
    }

    /// Runs the simulation until `end`.
    pub fn run(&mut self, end: Moment) {
        while let Some((when, event)) = self.events.pop_first() {
            if when > end {
                break;
            }
            self.now = when;
            match event {
                Event::Arrive(n) => self.arrive(n),
                Event::Engine(n) => self.tick(n),
                Event::Router(n) => self.poll(n),
                Event::Report => self.exchange_reports(),
                Event::Crash(n) => self.crash_engine(n),
            }
        }
    }

    fn router_of(&self, seq: u64) -> usize {
        usize::try_from(seq).expect("valid") % self.routers.len()
    }

    fn arrive(&mut self, n: usize) {
        let call = self.calls[n].clone();
        let seq = n as u64;
        let mut work = work(seq, call.team, call.class, call.tokens, self.now);
        work.answer.0 = call.answer;
        let router = self.router_of(seq);
        self.outcomes[n].submitted += 1;
        self.routers[router].submit(work, self.now);
        self.poll(router);
    }

    fn poll(&mut self, router: usize) {
        for decision in self.routers[router].poll(self.now) {
            match decision {
                Decision::Send {
                    request,
                    at,
                    priority,
                } => {
                    self.outcomes[index(&request)].sent += 1;
                    self.send(&request, &at.engine, priority);
                }
                Decision::Hedge {
                    request,
                    hedge_id: hedge,
                    at,
                    priority,
                } => {
                    self.outcomes[index(&request)].hedges += 1;
                    self.send(&hedge, &at.engine, priority);
                }
                Decision::Refuse { request, refusal } => {
                    let n = index(&request);
                    self.outcomes[n].refused = Some((self.now, refusal.code, refusal.after));
                    self.outcomes[n].refusals += 1;
                    if self.outcomes[n].refusals <= self.calls[n].max_retries {
                        let again = self.now + refusal.after;
                        self.events.insert((again, Event::Arrive(n)));
                    }
                }
                Decision::List { .. } => {}
            }
        }
        if let Some(wake) = self.routers[router].wake() {
            let wake = wake.max(self.now + Duration::from_micros(1));
            self.events.insert((wake, Event::Router(router)));
        }
    }

    fn send(&mut self, request: &RequestId, engine: &UpstreamId, priority: u8) {
        let call = &self.calls[index(request)];
        let job = Job {
            request: request.clone(),
            tokens: call.tokens,
            answer: call.answer,
            priority,
        };
        let n: usize = engine.as_str()[1..].parse().expect("valid");
        self.places.insert(request.clone(), n);
        self.engines[n].take(job, self.now);
        self.schedule_engine(n);
    }

    fn schedule_engine(&mut self, engine: usize) {
        if let Some(next) = self.engines[engine].next() {
            self.events.insert((next, Event::Engine(engine)));
        }
    }

    fn tick(&mut self, engine: usize) {
        for tick in self.engines[engine].tick(self.now) {
            let (request, done) = match tick {
                Tick::First(request) => (request, false),
                Tick::Done(request) => (request, true),
            };
            let outcome = &mut self.outcomes[index(&request)];
            let observation = if done {
                outcome.done.get_or_insert(self.now);
                Observation::Finished(request.clone(), true)
            } else {
                outcome.first.get_or_insert(self.now);
                Observation::FirstToken(request.clone())
            };
            let router = self.router_of(index(&request) as u64);
            self.routers[router].observe(observation, self.now);
            self.poll(router);
        }
        self.schedule_engine(engine);
    }

    fn exchange_reports(&mut self) {
        let digests: Vec<_> = self
            .routers
            .iter_mut()
            .map(|r| r.digest(self.now))
            .collect();
        for (n, router) in self.routers.iter_mut().enumerate() {
            for (engine, state) in self.engines.iter().enumerate() {
                let report = Observation::Report(engine_id(engine), state.report());
                router.observe(report, self.now);
            }
            for (peer, digest) in digests.iter().enumerate().filter(|(peer, _)| *peer != n) {
                let vm = format!("vm{peer}").parse().expect("valid");
                router.observe(Observation::Peer(vm, digest.clone()), self.now);
            }
        }
        for n in 0..self.routers.len() {
            self.poll(n);
        }
        self.events
            .insert((self.now + REPORT_INTERVAL, Event::Report));
    }

    /// Crashes an engine; the routers resubmit the lost requests that had no token yet.
    fn crash_engine(&mut self, engine: usize) {
        for lost in self.engines[engine].crash() {
            let n = index(&lost);
            let router = self.router_of(n as u64);
            self.routers[router].observe(Observation::Finished(lost, false), self.now);
            if self.outcomes[n].first.is_some() {
                continue;
            }
            let call = self.calls[n].clone();
            let attempt = self.attempts.entry(n as u64).or_default();
            *attempt += 1;
            let barred = self.barred.entry(n as u64).or_default();
            barred.push(engine_id(engine));
            let mut again = work(n as u64, call.team, call.class, call.tokens, call.at);
            again.attempt = *attempt;
            again.barred.clone_from(barred);
            self.outcomes[n].submitted += 1;
            self.routers[router].submit(again, self.now);
            self.poll(router);
        }
    }
}

/// Counts of calls by outcome.
#[derive(Debug, Default, Clone, Copy, PartialEq)]
pub struct Tally {
    pub calls: u32,
    pub good: u32,
    pub late: u32,
    pub refused: u32,
}

impl World {
    /// Counts the calls selected by `of`.
    pub fn tally(&self, of: impl Fn(&Call) -> bool) -> Tally {
        let mut tally = Tally::default();
        for (call, outcome) in self.calls.iter().zip(&self.outcomes) {
            if !of(call) {
                continue;
            }
            tally.calls += 1;
            let class = &self.catalogue.classes[&call.class.parse().expect("valid")];
            match (outcome.first, outcome.sent) {
                (Some(first), _) if first <= call.at + class.deadline => tally.good += 1,
                (_, 0) => tally.refused += 1,
                _ => tally.late += 1,
            }
        }
        tally
    }

    /// Prompt tokens of the calls whose first token met the deadline.
    pub fn useful(&self) -> u64 {
        let pairs = self.calls.iter().zip(&self.outcomes);
        let useful = pairs.filter(|(call, outcome)| {
            let class = &self.catalogue.classes[&call.class.parse().expect("valid")];
            let first = outcome.first;
            first.is_some_and(|first| first <= call.at + class.deadline)
        });
        useful.map(|(call, _)| call.tokens).sum()
    }

    /// Times at which refused callers were told to retry.
    pub fn retry_times(&self) -> Vec<Moment> {
        let refused = self.outcomes.iter().filter_map(|o| o.refused);
        refused.map(|(when, _, after)| when + after).collect()
    }

    /// Sorted times to first token of the calls selected by `of`.
    pub fn first_times(&self, of: impl Fn(&Call) -> bool) -> Vec<Duration> {
        let pairs = self.calls.iter().zip(&self.outcomes);
        let firsts = pairs.filter(|(call, _)| of(call));
        let times = firsts.filter_map(|(call, o)| Some(o.first?.since(call.at)));
        let mut times: Vec<_> = times.collect();
        times.sort();
        times
    }
}

/// The given percentile of a sorted list, or zero if the list is empty.
pub fn percentile(sorted: &[Duration], part: usize) -> Duration {
    let place = sorted.len().saturating_sub(1) * part / 100;
    sorted.get(place).copied().unwrap_or_default()
}

pub fn engine_id(n: usize) -> UpstreamId {
    format!("e{n}").parse().expect("valid")
}

/// Index of the call that a request or its hedge belongs to.
fn index(id: &RequestId) -> usize {
    let n = id.seq & !(1 << 63);
    debug_assert!(request(n).seq == n);
    usize::try_from(n).expect("valid")
}
