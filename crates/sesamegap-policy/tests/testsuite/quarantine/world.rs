//! Simulation, in virtual time, of upstreams that crash, with one registry that receives all reports after a delay.

use rand::rngs::StdRng;
use rand::seq::IteratorRandom;
use rand::{RngExt, SeedableRng};
use sesamegap_policy::quarantine::{Crash, Grant, Registry, Standing};
use sesamegap_wire::{Fingerprint, Moment};
use std::collections::VecDeque;
use std::time::Duration;

const STEP: Duration = Duration::from_millis(10);
const RUN_TIME: Duration = Duration::from_mins(1);

/// Delay until a report arrives.
const REPORT_DELAY: Duration = Duration::from_millis(50);

/// Time from sending a crashing request until its upstream crashes.
const TIME_TO_CRASH: Duration = Duration::from_millis(170);

/// Time between two outages; a request lost in one has been retried by the next and is still running.
const OUTAGE_INTERVAL: Duration = Duration::from_millis(900);

/// Maximum sends of one request, including those that are postponed.
const MAX_SENDS: u32 = 12;

/// Delay after which a postponed request is sent again.
const POSTPONE_DELAY: Duration = Duration::from_millis(300);

/// Traffic and faults of a simulation.
#[derive(Debug, Clone)]
pub struct Load {
    pub upstreams: usize,
    /// Requests per second.
    pub rate: u32,
    /// Number of distinct requests that crash their upstreams.
    pub crashing: usize,
    /// Number of outages, each of which stops a quarter of the upstreams at once.
    pub outages: u32,
    /// Whether one request in three has the same content.
    pub popular: bool,
    /// Time for which a lost upstream is down.
    pub down: Duration,
    /// Time between two sends of a crashing request.
    pub interval: Duration,
}

impl Default for Load {
    fn default() -> Self {
        Self {
            upstreams: 9,
            rate: 50,
            crashing: 0,
            outages: 0,
            popular: false,
            down: Duration::from_secs(3),
            interval: Duration::from_millis(700),
        }
    }
}

#[derive(Debug, Clone)]
struct Run {
    request: Fingerprint,
    /// Number of the crashing request, if it is one.
    crashing: Option<usize>,
    ends: Moment,
    trial: bool,
    sends_left: u32,
}

#[derive(Debug, Default)]
struct Upstream {
    life: u64,
    restarts_at: Moment,
    runs: Vec<Run>,
}

#[derive(Debug)]
enum Report {
    Crashed(Fingerprint, Crash),
    Completed(Fingerprint),
}

pub struct World {
    pub seed: u64,
    pub served: usize,
    pub refused: usize,
    /// Number of upstreams crashed by each crashing request.
    pub crashes: Vec<usize>,
    load: Load,
    rng: StdRng,
    now: Moment,
    lives: u64,
    upstreams: Vec<Upstream>,
    registry: Registry,
    reports: VecDeque<(Moment, Report)>,
    /// Postponed requests, with the number of sends that they have left.
    waiting: VecDeque<(Moment, Fingerprint, u32)>,
    innocent: Vec<Fingerprint>,
}

fn request(name: &str) -> Fingerprint {
    Fingerprint::of(name, None, b"")
}

fn crashing(no: usize) -> Fingerprint {
    request(&format!("crashing-{no}"))
}

impl World {
    pub fn new(load: &Load, seed: u64) -> Self {
        let upstreams = (0..load.upstreams).map(|no| Upstream {
            life: no as u64,
            ..Upstream::default()
        });
        Self {
            seed,
            served: 0,
            refused: 0,
            crashes: vec![0; load.crashing],
            load: load.clone(),
            rng: StdRng::seed_from_u64(seed),
            now: Moment(0) + RUN_TIME,
            lives: load.upstreams as u64,
            upstreams: upstreams.collect(),
            registry: Registry::default(),
            reports: VecDeque::new(),
            waiting: VecDeque::new(),
            innocent: Vec::new(),
        }
    }

    /// Returns how many crashing requests and how many others are quarantined at the end.
    pub fn condemned(&self) -> (usize, usize) {
        let refused = |request: &Fingerprint| {
            self.registry.standing(*request, self.unix_ms()) == Standing::Quarantined
        };
        let crashing_requests = (0..self.load.crashing).map(crashing);
        (
            crashing_requests.filter(refused).count(),
            self.innocent
                .iter()
                .filter(|request| refused(request))
                .count(),
        )
    }

    pub fn run(&mut self) {
        let started = self.now;
        let mut number = 0_u64;
        let first = started + Duration::from_secs(5);
        let mut next_sends: Vec<Moment> =
            std::iter::successors(Some(first), |at| Some(*at + self.load.interval / 3))
                .take(self.load.crashing)
                .collect();
        let mut outages: Vec<Moment> = (0..self.load.outages)
            .map(|no| started + Duration::from_secs(12) + OUTAGE_INTERVAL * no)
            .collect();
        while self.now.since(started) < RUN_TIME {
            self.now = self.now + STEP;
            self.deliver_reports();
            self.finish_due_runs();
            while self.waiting.front().is_some_and(|(at, ..)| *at <= self.now) {
                if let Some((_, request, sends_left)) = self.waiting.pop_front() {
                    self.arrive(request, None, sends_left);
                }
            }
            if self.rng.random_ratio(self.load.rate, 100) {
                number += 1;
                let popular = self.load.popular && self.rng.random_ratio(1, 3);
                let name = if popular { 0 } else { number };
                self.arrive(request(&format!("r{name}")), None, MAX_SENDS);
            }
            for (no, next) in next_sends.iter_mut().enumerate() {
                if self.now >= *next {
                    *next = *next + self.load.interval;
                    self.arrive(crashing(no), Some(no), 1);
                }
            }
            if outages.first().is_some_and(|at| self.now >= *at) {
                outages.remove(0);
                self.stop_quarter();
            }
        }
    }

    fn unix_ms(&self) -> u64 {
        let ms = self.now.since(Moment(0)).as_millis();
        1_000_000_000_000 + u64::try_from(ms).unwrap_or(u64::MAX)
    }

    fn deliver_reports(&mut self) {
        let unix_ms = self.unix_ms();
        while self.reports.front().is_some_and(|(at, _)| *at <= self.now) {
            match self.reports.pop_front() {
                Some((_, Report::Crashed(request, ended))) => {
                    self.registry
                        .record_crash(request, ended, self.now, unix_ms);
                }
                Some((_, Report::Completed(request))) => {
                    let epoch = self.registry.get(request).map(|record| record.epoch);
                    if let Some(epoch) = epoch {
                        self.registry.record_completion(request, epoch, self.now);
                    }
                }
                None => return,
            }
        }
        self.registry.judge(self.now, unix_ms);
    }

    fn arrive(&mut self, request: Fingerprint, crashing: Option<usize>, sends_left: u32) {
        if crashing.is_none() && !self.innocent.contains(&request) {
            self.innocent.push(request);
        }
        let left = Duration::from_secs(15);
        let grant = self
            .registry
            .request_trial(request, left, self.now, self.unix_ms());
        let trial = match grant {
            Grant::Free => false,
            Grant::Trial => true,
            Grant::Busy if crashing.is_none() && sends_left > 1 => {
                self.waiting
                    .push_back((self.now + POSTPONE_DELAY, request, sends_left - 1));
                return;
            }
            Grant::Busy | Grant::Refused => {
                self.refused += usize::from(crashing.is_none());
                return;
            }
        };
        let ms = self.rng.random_range(200..2_500);
        let ends = crashing.map_or(self.now + Duration::from_millis(ms), |_| {
            self.now + TIME_TO_CRASH
        });
        let now = self.now;
        let up = self.upstreams.iter_mut().filter(|up| now >= up.restarts_at);
        let chosen = if trial {
            up.min_by_key(|up| up.runs.len())
        } else {
            up.choose(&mut self.rng)
        };
        let Some(upstream) = chosen else {
            return;
        };
        upstream.runs.push(Run {
            request,
            crashing,
            ends,
            trial,
            sends_left,
        });
    }

    /// Completes or crashes the runs that are due.
    fn finish_due_runs(&mut self) {
        for at in 0..self.upstreams.len() {
            let now = self.now;
            let runs = &mut self.upstreams[at].runs;
            let done: Vec<Run> = runs.extract_if(.., |run| run.ends <= now).collect();
            for run in &done {
                if run.crashing.is_none() {
                    self.served += 1;
                    self.send_report(Report::Completed(run.request));
                }
            }
            // The first crashing run causes the crash; any other is lost with the upstream.
            if let Some(no) = done.iter().find_map(|run| run.crashing) {
                self.crashes[no] += 1;
                let ended = done.into_iter().filter(|run| run.crashing.is_some());
                let ended: Vec<Run> = ended.collect();
                self.upstreams[at].runs.extend(ended);
                self.stop_upstream(at);
            }
        }
    }

    fn send_report(&mut self, report: Report) {
        self.reports.push_back((self.now + REPORT_DELAY, report));
    }

    fn stop_quarter(&mut self) {
        let count = self.upstreams.len() / 4;
        let lost = (0..self.upstreams.len()).sample(&mut self.rng, count);
        for at in lost {
            self.stop_upstream(at);
        }
    }

    /// Stops an upstream; its callers retry at once.
    fn stop_upstream(&mut self, at: usize) {
        self.lives += 1;
        let upstream = &mut self.upstreams[at];
        let life = std::mem::replace(&mut upstream.life, self.lives);
        upstream.restarts_at = self.now + self.load.down;
        let runs = std::mem::take(&mut upstream.runs);
        for run in &runs {
            let trial = run.trial;
            self.send_report(Report::Crashed(run.request, Crash { life, trial }));
        }
        for run in runs {
            if run.crashing.is_none() && run.sends_left > 1 {
                self.arrive(run.request, None, run.sends_left - 1);
            }
        }
    }
}
