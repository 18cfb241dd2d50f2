//! The choice of an engine, alone and within the decider.

use super::fleet::{self, Requests, START, id};
use super::{Row, Rows};
use rand::SeedableRng;
use rand::rngs::ChaCha12Rng;
use sesamegap_policy::placing::PrefixPlacer;
use sesamegap_policy::{
    Decider, DeciderBuilder, Decision, Observation, PlacementOutcome, PlacementRequest, Placer,
    Room, Work,
};
use sesamegap_wire::engine::Listing;
use sesamegap_wire::{Incarnation, Moment, Tokens, UpstreamId};
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Time between two requests: each router's part of 18,000 a second over 340 of them.
const GAP: Duration = Duration::from_millis(19);

/// Time between two reports of every engine.
const REPORTS: Duration = Duration::from_millis(500);

/// Time from the first token to the end, short so that no engine is full.
const ANSWER: Duration = Duration::from_millis(250);

/// Teams of one router's callers.
const TEAMS: u64 = 200;

struct Everywhere;

impl Room for Everywhere {
    fn has(&self, _engine: &UpstreamId, _prefill: Tokens) -> bool {
        true
    }
}

fn listing() -> Listing {
    Listing {
        incarnation: Incarnation(1),
        newest: 0,
        keys: Vec::new(),
    }
}

/// Measures the placer that routers use.
pub fn measure(sizes: &[usize], requests: usize) -> Vec<Row> {
    let mut rows = Rows::new("placing", "engines");
    for size in sizes {
        let mut placer = PrefixPlacer::builder(id("domain-0")).build();
        placer.set_engines(&fleet::entries(*size), START);
        for at in 0..*size {
            placer.apply_report(&fleet::engine(at), &fleet::report(), START);
            placer.apply_listing(&fleet::engine(at), &listing(), START);
        }
        let mut run = Run::new(*size, requests);
        let mut rng = ChaCha12Rng::seed_from_u64(2);
        for _ in 0..requests {
            let work = run.next(|engine, now| placer.apply_report(engine, &fleet::report(), now));
            let start = Instant::now();
            place(&mut placer, &work, run.now, &mut rng);
            run.took += start.elapsed();
        }
        run.tell(&mut rows, "place a request, and its end");
    }
    rows.list
}

fn place(placer: &mut PrefixPlacer, work: &Work, now: Moment, rng: &mut ChaCha12Rng) {
    let class = fleet::class();
    let ask = PlacementRequest {
        request: &work.request,
        model: &work.model,
        version: work.version,
        chain: &work.chain,
        class: &class,
        barred: &[],
    };
    let PlacementOutcome::At(at) = placer.place(&ask, &Everywhere, now, rng) else {
        return;
    };
    placer.sent(&ask, &at, now);
    placer.started(&work.request, at.cached, now);
    placer.first_token(&work.request, now + at.wait);
    placer.finished(&work.request, true, now + at.wait);
}

/// Requests of one size, with reports between them, and the time that each took.
struct Run {
    size: usize,
    requests: usize,
    source: Requests,
    now: Moment,
    took: Duration,
    due: Moment,
    reports: usize,
    reporting: Duration,
}

impl Run {
    fn new(size: usize, requests: usize) -> Self {
        Self {
            size,
            requests,
            source: Requests::new(TEAMS),
            now: START,
            took: Duration::ZERO,
            due: START,
            reports: 0,
            reporting: Duration::ZERO,
        }
    }

    fn next(&mut self, mut report: impl FnMut(&UpstreamId, Moment)) -> Work {
        self.now = self.now + GAP;
        if self.now >= self.due {
            self.due = self.now + REPORTS;
            self.reports += self.size;
            let start = Instant::now();
            for at in 0..self.size {
                report(&fleet::engine(at), self.now);
            }
            self.reporting += start.elapsed();
        }
        self.source.next(self.now)
    }

    fn tell(&self, rows: &mut Rows, what: &'static str) {
        let micros = |took: Duration, count: usize| took.as_secs_f64() * 1e6 / count as f64;
        rows.add(self.size, what, micros(self.took, self.requests), "us");
        let report = micros(self.reporting, self.reports);
        rows.add(self.size, "take in an engine's report", report, "us");
    }
}

/// Measures whole requests: submitted, decided, started, first token, finished.
pub fn decider(sizes: &[usize], requests: usize) -> Vec<Row> {
    let mut rows = Rows::new("decider", "engines");
    for size in sizes {
        let mut world = Answers {
            decider: ready(*size, 200),
            due: BTreeMap::new(),
            sent: 0,
        };
        let mut run = Run::new(*size, requests);
        for _ in 0..requests {
            let decider = &mut world.decider;
            let work = run.next(|engine, now| {
                decider.observe(Observation::Report(engine.clone(), fleet::report()), now);
            });
            let start = Instant::now();
            world.until(run.now);
            world.decider.submit(work, run.now);
            world.poll(run.now);
            run.took += start.elapsed();
        }
        run.tell(&mut rows, "decide a request, and its end");
        let part = world.sent as f64 / requests as f64;
        rows.add(*size, "part of the requests sent", part, "");
    }
    rows.list
}

/// A decider whose engines answer as it expects.
struct Answers {
    decider: Decider,
    due: BTreeMap<(Moment, u64), Observation>,
    sent: u64,
}

impl Answers {
    fn until(&mut self, now: Moment) {
        while let Some(entry) = self.due.first_entry() {
            let (at, _) = *entry.key();
            if at > now {
                return;
            }
            let news = entry.remove();
            self.decider.observe(news, at);
            self.poll(at);
        }
    }

    fn poll(&mut self, now: Moment) {
        for decision in self.decider.poll(now) {
            let Decision::Send { request, at, .. } = decision else {
                continue;
            };
            self.sent += 1;
            let started = Observation::Started(request.clone(), at.cached);
            self.decider.observe(started, now);
            let (first, order) = (now + at.wait, self.sent);
            let token = Observation::FirstToken(request.clone());
            self.due.insert((first, order), token);
            let end = Observation::Finished(request, true);
            self.due.insert((first + ANSWER, order), end);
        }
    }
}

/// A decider that knows so many idle engines.
pub fn ready(engines: usize, teams: usize) -> Decider {
    let mut decider = DeciderBuilder::new(id("domain-0"))
        .catalogue(Arc::new(fleet::catalogue(teams)))
        .build();
    decider.observe(Observation::Fleet(fleet::entries(engines)), START);
    decider.observe(Observation::Routers(1), START);
    reports(&mut decider, engines, START);
    for at in 0..engines {
        decider.observe(Observation::Listing(fleet::engine(at), listing()), START);
    }
    decider
}

fn reports(decider: &mut Decider, engines: usize, now: Moment) {
    for at in 0..engines {
        decider.observe(Observation::Report(fleet::engine(at), fleet::report()), now);
    }
}
