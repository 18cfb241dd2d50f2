//! Simulation, in virtual time, of upstreams that crash, with one registry that receives all reports after a delay.

use rand::rngs::StdRng;
use rand::seq::IteratorRandom;
use rand::{RngExt, SeedableRng};
use sesamegap_policy::quarantine::{Crash, Grant, Registry, Role, Standing, Subjects};
use sesamegap_wire::{Fingerprint, Moment};
use std::collections::{HashSet, VecDeque};
use std::time::Duration;

const STEP: Duration = Duration::from_millis(10);

/// Delay until a report arrives.
const REPORT_DELAY: Duration = Duration::from_millis(50);

/// Time from sending a crashing request until its upstream crashes.
const TIME_TO_CRASH: Duration = Duration::from_millis(170);

/// Time after which a request counts as answered for a while.
const ANSWERED_FOR: Duration = Duration::from_millis(250);

/// Time between two outages; a request lost in one has been retried by the next and is still running.
const OUTAGE_INTERVAL: Duration = Duration::from_millis(900);

/// Maximum sends of one request, including those that are postponed.
const MAX_SENDS: u32 = 12;

/// Delay after which a postponed request is sent again.
const POSTPONE_DELAY: Duration = Duration::from_millis(300);

/// Crashes after which a part has to be known, and the time that it may take.
const KNOWN_CRASHES: usize = 5;
const CONTACT: Duration = Duration::from_secs(3);

/// Parts of the prompts of a simulation: each has an outer and an inner part, and one of its own.
#[derive(Debug, Clone, Copy)]
pub struct Prompts {
    /// Outer parts, which all teams share.
    pub outer: u64,
    /// Inner parts, each of one outer part and one team.
    pub inner: u64,
    /// Teams.
    pub teams: u64,
}

/// What makes a request crash its upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Cause {
    /// The request itself, which is the same each time.
    Request,
    /// An inner part of its prompt.
    Inner,
    /// An outer part of its prompt, with inner parts of all teams.
    Outer,
    /// Its content, which one team varies while it names the parts of another team.
    Framing,
}

/// Traffic and faults of a simulation.
#[derive(Debug, Clone)]
pub struct Load {
    pub upstreams: usize,
    /// Requests per second.
    pub rate: u32,
    /// Number of distinct requests or parts that crash upstreams.
    pub crashing: usize,
    /// What these are.
    pub cause: Cause,
    /// Parts of all prompts, if requests have any.
    pub prompts: Option<Prompts>,
    /// Time that is simulated.
    pub run_time: Duration,
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
            cause: Cause::Request,
            prompts: None,
            run_time: Duration::from_mins(1),
            outages: 0,
            popular: false,
            down: Duration::from_secs(3),
            interval: Duration::from_millis(700),
        }
    }
}

/// A request as its caller sends it.
#[derive(Debug, Clone)]
struct Ask {
    subjects: Subjects,
    /// Number of the crashing request or part, if it has one.
    crashing: Option<usize>,
    /// Number of the crashing part whose outer part or team it shares, though it is sound.
    kin: Option<usize>,
    sends_left: u32,
}

#[derive(Debug, Clone)]
struct Run {
    ask: Ask,
    sent: Moment,
    /// When the upstream begins to answer it.
    begins: Moment,
    ends: Moment,
    trial: bool,
}

/// What became of sound requests.
#[derive(Debug, Clone, Copy, Default)]
pub struct Outcomes {
    pub served: usize,
    pub refused: usize,
}

#[derive(Debug, Default)]
struct Upstream {
    life: u64,
    restarts_at: Moment,
    runs: Vec<Run>,
}

#[derive(Debug)]
enum Report {
    Crashed(Subjects, Crash),
    Completed(Subjects, Moment),
}

pub struct World {
    pub seed: u64,
    pub served: usize,
    pub refused: usize,
    /// Number of upstreams crashed by each crashing request or part.
    pub crashes: Vec<usize>,
    /// Sends of each that reached an upstream though it had to be known.
    pub late_sends: Vec<usize>,
    /// First tries of sound requests that share the outer part or the team of a crashing part, once it had to be known.
    pub kin: Outcomes,
    /// When each has to be known.
    known_at: Vec<Option<Moment>>,
    /// When sound requests that share a part with each must no longer be held up.
    kin_from: Vec<Option<Moment>>,
    load: Load,
    rng: StdRng,
    now: Moment,
    lives: u64,
    /// Number of requests so far.
    numbers: u64,
    upstreams: Vec<Upstream>,
    registry: Registry,
    reports: VecDeque<(Moment, Report)>,
    /// Postponed requests.
    waiting: VecDeque<(Moment, Ask)>,
    /// Subjects of sound requests.
    innocent: HashSet<Fingerprint>,
}

fn request(name: &str) -> Fingerprint {
    Fingerprint::of(name, None, b"")
}

fn part(name: &str) -> Fingerprint {
    Fingerprint::of_part("m", name)
}

impl Prompts {
    /// The subjects of a prompt of a team.
    fn subjects(inner: &str, outer: &str, team: u64, own: Fingerprint) -> Subjects {
        Subjects::new([part(outer), part(inner)], Some(&format!("t{team}")), own)
    }

    /// The subjects of a sound prompt with an inner part.
    fn prompt(self, inner: u64, own: Fingerprint) -> Subjects {
        let (outer, team) = self.home(inner);
        Self::subjects(&format!("i{inner}"), &format!("o{outer}"), team, own)
    }

    /// The outer part and the team of an inner part.
    fn home(self, inner: u64) -> (u64, u64) {
        (inner % self.outer, inner % self.teams)
    }
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
            late_sends: vec![0; load.crashing],
            kin: Outcomes::default(),
            known_at: vec![None; load.crashing],
            kin_from: vec![None; load.crashing],
            load: load.clone(),
            rng: StdRng::seed_from_u64(seed),
            now: Moment(0) + load.run_time,
            lives: load.upstreams as u64,
            numbers: 0,
            upstreams: upstreams.collect(),
            registry: Registry::default(),
            reports: VecDeque::new(),
            waiting: VecDeque::new(),
            innocent: HashSet::new(),
        }
    }

    /// Returns how many crashing requests and how many others are quarantined at the end.
    pub fn condemned(&self) -> (usize, usize) {
        let refused = |request: &Fingerprint| {
            self.registry.standing(*request, self.unix_ms()) == Standing::Quarantined
        };
        let crashing = (0..self.load.crashing).filter(|no| {
            let subjects = self.crashing_subjects(*no, request("probe"), 0);
            subjects.iter().any(|subject| refused(&subject.fingerprint))
        });
        (
            crashing.count(),
            self.innocent
                .iter()
                .filter(|request| refused(request))
                .count(),
        )
    }

    /// The subjects of a request that crashes its upstream, with an inner part if the outer one is the cause.
    fn crashing_subjects(&self, no: usize, own: Fingerprint, inner: u64) -> Subjects {
        let Some(prompts) = self.load.prompts else {
            return Subjects::of_request(request(&format!("crashing-{no}")));
        };
        // The crashing inner part of the number `no` belongs to the outer part and the team of this number.
        let (outer, team) = prompts.home(no as u64);
        match self.load.cause {
            Cause::Request => prompts.prompt(no as u64, request(&format!("crashing-{no}"))),
            Cause::Inner => {
                Prompts::subjects(&format!("crashing-{no}"), &format!("o{outer}"), team, own)
            }
            Cause::Outer => {
                let team = inner % prompts.teams;
                Prompts::subjects(
                    &format!("under-{inner}"),
                    &format!("crashing-{no}"),
                    team,
                    own,
                )
            }
            Cause::Framing => {
                Prompts::subjects(&format!("i{no}"), &format!("o{outer}"), prompts.teams, own)
            }
        }
    }

    /// A request that crashes its upstream.
    fn crashing_ask(&mut self, no: usize) -> Ask {
        self.numbers += 1;
        let own = request(&format!("c{}", self.numbers));
        let inner = self.rng.random_range(0..1_000);
        Ask {
            subjects: self.crashing_subjects(no, own, inner),
            crashing: Some(no),
            kin: None,
            sends_left: 1,
        }
    }

    /// A sound request.
    fn sound_ask(&mut self) -> Ask {
        self.numbers += 1;
        let popular = self.load.popular && self.rng.random_ratio(1, 3);
        let name = if popular { 0 } else { self.numbers };
        let own = request(&format!("r{name}"));
        let (subjects, kin) = match self.load.prompts {
            None => (Subjects::of_request(own), None),
            Some(prompts) => {
                // Some inner parts are asked for much more often than others.
                let most = self.rng.random_range(0..prompts.inner);
                let inner = self.rng.random_range(0..=most);
                let kin = (0..self.load.crashing).find(|no| {
                    let (outer, team) = prompts.home(*no as u64);
                    let home = prompts.home(inner);
                    home.0 == outer || home.1 == team
                });
                (prompts.prompt(inner, own), kin)
            }
        };
        let all = subjects.iter().map(|subject| subject.fingerprint);
        self.innocent.extend(all);
        Ask {
            subjects,
            crashing: None,
            kin,
            sends_left: MAX_SENDS,
        }
    }

    /// Whether a crashing request or part has to be known by now.
    fn is_known(&self, no: usize) -> bool {
        self.known_at[no].is_some_and(|at| self.now >= at)
    }

    /// Counts the first try of a sound request among those that share a part with a crashing one.
    fn count_kin(&mut self, ask: &Ask, served: bool) {
        let is_first = ask.sends_left == MAX_SENDS;
        let is_due = |no: &usize| self.kin_from[*no].is_some_and(|at| self.now >= at);
        let kin = ask.kin.filter(|no| is_first && is_due(no));
        if kin.is_some() {
            self.kin.served += usize::from(served);
            self.kin.refused += usize::from(!served);
        }
    }

    pub fn run(&mut self) {
        let started = self.now;
        let first = started + Duration::from_secs(5);
        let mut next_sends: Vec<Moment> =
            std::iter::successors(Some(first), |at| Some(*at + self.load.interval / 3))
                .take(self.load.crashing)
                .collect();
        let mut outages: Vec<Moment> = (0..self.load.outages)
            .map(|no| started + Duration::from_secs(12) + OUTAGE_INTERVAL * no)
            .collect();
        while self.now.since(started) < self.load.run_time {
            self.now = self.now + STEP;
            self.deliver_reports();
            self.finish_due_runs();
            while self.waiting.front().is_some_and(|(at, _)| *at <= self.now) {
                if let Some((_, ask)) = self.waiting.pop_front() {
                    self.arrive(ask);
                }
            }
            if self.rng.random_ratio(self.load.rate, 100) {
                let ask = self.sound_ask();
                self.arrive(ask);
            }
            for (no, next) in next_sends.iter_mut().enumerate() {
                if self.now >= *next {
                    *next = *next + self.load.interval;
                    let ask = self.crashing_ask(no);
                    self.arrive(ask);
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
                Some((_, Report::Crashed(subjects, ended))) => {
                    let at = Some(self.now);
                    self.registry
                        .record_crash(&subjects, ended, at, self.now, unix_ms);
                }
                Some((_, Report::Completed(subjects, sent))) => {
                    for subject in subjects.iter() {
                        let request = subject.fingerprint;
                        if let Some(epoch) = self.registry.completion_epoch(request, sent) {
                            self.registry.record_completion(
                                request,
                                epoch,
                                Role::Coordinator,
                                self.now,
                            );
                        }
                    }
                }
                None => return,
            }
        }
        self.registry.judge(self.now, unix_ms);
    }

    fn arrive(&mut self, mut ask: Ask) {
        let left = Duration::from_secs(15);
        let grant = self
            .registry
            .request_trial(&ask.subjects, left, self.now, self.unix_ms());
        let is_sound = ask.crashing.is_none();
        self.count_kin(&ask, matches!(grant, Grant::Free | Grant::Trial));
        let trial = match grant {
            Grant::Free => false,
            Grant::Trial => true,
            Grant::Busy if is_sound && ask.sends_left > 1 => {
                ask.sends_left -= 1;
                self.waiting.push_back((self.now + POSTPONE_DELAY, ask));
                return;
            }
            Grant::Busy | Grant::Refused => {
                self.refused += usize::from(is_sound);
                return;
            }
        };
        if let Some(no) = ask.crashing.filter(|no| self.is_known(*no)) {
            self.late_sends[no] += 1;
        }
        let ms = self.rng.random_range(200..2_500);
        let time = if is_sound {
            Duration::from_millis(ms)
        } else {
            TIME_TO_CRASH
        };
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
            ask,
            sent: now,
            begins: now + TIME_TO_CRASH,
            ends: now + time,
            trial,
        });
    }

    /// Completes or crashes the runs that are due.
    fn finish_due_runs(&mut self) {
        for at in 0..self.upstreams.len() {
            let now = self.now;
            let runs = &mut self.upstreams[at].runs;
            // The turn of a trial is over once it was answered for a while.
            for run in runs
                .iter()
                .filter(|run| run.trial && run.begins + ANSWERED_FOR <= now)
            {
                self.registry.end_trial(run.ask.subjects.request());
            }
            let done: Vec<Run> = runs.extract_if(.., |run| run.ends <= now).collect();
            for run in &done {
                if run.ask.crashing.is_none() {
                    self.served += 1;
                    let subjects = run.ask.subjects.clone();
                    self.send_report(Report::Completed(subjects, run.sent));
                }
            }
            // The first crashing run causes the crash; any other is lost with the upstream.
            if let Some(no) = done.iter().find_map(|run| run.ask.crashing) {
                self.crashes[no] += 1;
                self.kin_from[no].get_or_insert(self.now + 2 * CONTACT);
                if self.crashes[no] == KNOWN_CRASHES {
                    self.known_at[no] = Some(self.now + CONTACT);
                }
                let ended = done.into_iter().filter(|run| run.ask.crashing.is_some());
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
            let crash = Crash {
                life,
                trial: run.trial,
                begun: self.now > run.begins + ANSWERED_FOR,
            };
            let subjects = run.ask.subjects.clone();
            self.send_report(Report::Crashed(subjects, crash));
        }
        for run in runs {
            let mut ask = run.ask;
            if ask.crashing.is_none() && ask.sends_left > 1 {
                ask.sends_left -= 1;
                self.arrive(ask);
            }
        }
    }
}
