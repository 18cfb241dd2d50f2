//! Virtual time: entry VMs whose callers ask for much more of one upstream than the limit that it names.

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use sesamegap_policy::routing::engines::rank;
use sesamegap_policy::routing::upstream_limits::{
    ABSENCE, Counter, Message, NO_ANSWER_PAUSE, PERMIT_TTL, Standing, Statement, UpstreamLimits,
    Verdict, counter,
};
use sesamegap_wire::{Moment, RequestRate};
use std::time::Duration;

/// The upstream's incarnation.
pub const LIFE: u64 = 0x6c69_6d69;

/// Time between two VMs, and from a VM to the upstream, in milliseconds.
const DELAY: u64 = 3;

/// Time of a request at the upstream, in milliseconds.
const WORK: u64 = 40;

/// How long a VM waits for the answer of the one that counts, in milliseconds.
const ANSWER_TIMEOUT: u64 = 30;

/// Time after which a VM suspects one that is off, at least and at most, in milliseconds.
const SUSPECTED: (u64, u64) = (500, 1_200);

/// Time from a suspicion until the VM is held for dead, in milliseconds.
const DIES: u64 = 1_500;

/// Time until VMs know that another is back, in milliseconds.
const KNOWN: u64 = 1_000;

/// Time after which a VM that hears nobody holds all others for absent, in milliseconds.
const ISOLATED: u64 = 1_000;

/// When an upstream first names a limit, in milliseconds.
pub const FIRST_NAMED: u64 = 1_000;

/// Time between two reminders of a change to a VM that lost the first, in milliseconds.
const TELLING: u64 = 50;

/// What befalls a VM.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Trouble {
    /// It is killed, and another process begins at the end.
    Kill,
    /// It stands still, and goes on with what it had.
    Freeze,
    /// No message between it and the others arrives; it reaches the upstream.
    Cut,
    /// Some others, or all, take it for dead though it is well.
    Doubt,
    /// It is new, and others learn of it only at the end.
    Unknown,
}

/// A trouble of the VM that is `place`-th in the upstream's ranking, in milliseconds.
#[derive(Debug, Clone, Copy)]
pub struct Outage {
    pub place: usize,
    pub trouble: Trouble,
    pub from: u64,
    pub to: u64,
}

/// What happens at the VMs of a run.
#[derive(Debug, Clone)]
pub struct Plan {
    pub vms: usize,
    /// The limit as it is at a time in milliseconds; `None` while the upstream names none.
    pub limit: fn(u64) -> Option<f64>,
    pub outages: Vec<Outage>,
    /// Requests a second over all VMs that would go to the upstream.
    pub demand: f64,
    /// The same until an answer has named a limit.
    pub demand_before: f64,
    /// Chance that a message between VMs is lost.
    pub loss: f64,
    pub span: u64,
    pub seed: u64,
}

#[derive(Debug, Default)]
struct Vm {
    limits: UpstreamLimits,
    /// Requests that wait for an answer: number and when it was asked.
    asked: Vec<(u64, u64)>,
}

#[derive(Debug)]
enum Event {
    /// A message of a VM to another.
    Message(usize, usize, Message),
    /// A request of a VM that was sent at a time reaches the upstream.
    Arrives(usize, u64),
    /// Its answer, which names a limit or none.
    Answered(usize, u64, Option<f64>),
}

/// The run of a plan.
#[derive(Debug)]
pub struct World {
    plan: Plan,
    /// VMs by their place in the ranking.
    ranks: Vec<u64>,
    vms: Vec<Vm>,
    events: Vec<(u64, Event)>,
    rng: StdRng,
    now: u64,
    number: u64,
    /// When requests arrived, and whether their VM had passed on an answer with a limit half a second before.
    pub arrivals: Vec<(u64, bool)>,
    /// Requests that were not sent.
    pub kept_back: u64,
}

fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).expect("a short time")
}

fn at(ms: u64) -> Moment {
    Moment(0) + Duration::from_hours(1) + Duration::from_millis(ms)
}

impl World {
    pub fn run(plan: Plan) -> Self {
        let mut ranks: Vec<u64> = (0..plan.vms as u64)
            .map(|vm| rank(LIFE, vm.wrapping_mul(0x9e37_79b9)))
            .collect();
        ranks.sort_unstable_by(|a, b| b.cmp(a));
        let vms = (0..plan.vms).map(|_| Vm::default()).collect();
        let mut world = Self {
            rng: StdRng::seed_from_u64(plan.seed),
            ranks,
            vms,
            events: Vec::new(),
            now: 0,
            number: 0,
            arrivals: Vec::new(),
            kept_back: 0,
            plan,
        };
        while world.now < world.plan.span {
            world.step();
            world.now += 1;
        }
        world
    }

    fn step(&mut self) {
        self.restart();
        let mut due = Vec::new();
        let now = self.now;
        self.events.retain_mut(|(time, event)| {
            let is_due = *time <= now;
            if is_due {
                due.push(std::mem::replace(event, Event::Arrives(0, 0)));
            }
            !is_due
        });
        for event in due {
            self.handle(event);
        }
        let is_before = (self.plan.limit)(self.now).is_none() && self.now < FIRST_NAMED;
        let demand = if is_before {
            self.plan.demand_before
        } else {
            self.plan.demand
        };
        let mut expected = demand / 1_000.0;
        while self.rng.random::<f64>() < expected {
            expected -= 1.0;
            let vm = self.rng.random_range(0..self.plan.vms);
            self.request(vm);
        }
        if self.now.is_multiple_of(100) {
            self.time_out();
        }
    }

    /// The outage of a VM at present, if it has one of a kind.
    fn has(&self, vm: usize, trouble: Trouble) -> bool {
        let now = self.now;
        let mut outages = self.plan.outages.iter();
        outages
            .any(|one| one.place == vm && one.trouble == trouble && one.from <= now && now < one.to)
    }

    fn is_still(&self, vm: usize) -> bool {
        self.has(vm, Trouble::Kill) || self.has(vm, Trouble::Freeze)
    }

    fn restart(&mut self) {
        let now = self.now;
        for one in self.plan.outages.clone() {
            let begins = match one.trouble {
                Trouble::Kill => one.to == now,
                Trouble::Unknown => one.from == now,
                _ => false,
            };
            if begins {
                self.vms[one.place] = Vm::default();
            }
        }
    }

    /// How a VM sees another.
    fn standing(&self, viewer: usize, vm: usize) -> Standing {
        let now = self.now;
        let spread =
            |least: u64, most: u64| least + rank(viewer as u64, vm as u64 + 7) % (most - least);
        let mut seen = Standing::Alive;
        for one in &self.plan.outages {
            if one.place == viewer && one.trouble == Trouble::Cut {
                let knows = one.from + ISOLATED <= now && now < one.to + KNOWN / 3;
                if knows {
                    return Standing::Absent;
                }
            }
            if one.place != vm {
                continue;
            }
            let suspected = one.from + spread(SUSPECTED.0, SUSPECTED.1);
            let gone = suspected + DIES + millis(ABSENCE);
            let back = one.to + spread(0, KNOWN);
            let doubts = one.trouble != Trouble::Doubt || viewer.is_multiple_of(2);
            if one.trouble == Trouble::Unknown {
                // The process is known only later; the place was nobody's before.
                if now < one.from || (now < back && viewer != vm) {
                    seen = Standing::Gone;
                }
            } else if doubts && suspected <= now && now < back {
                seen = if now < gone {
                    Standing::Absent
                } else {
                    Standing::Gone
                };
            }
        }
        seen
    }

    fn counter(&self, viewer: usize) -> Counter<usize> {
        let peers = (0..self.plan.vms).filter(|vm| *vm != viewer);
        counter(
            self.ranks[viewer],
            true,
            peers.map(|vm| (self.ranks[vm], self.standing(viewer, vm), vm)),
        )
    }

    fn request(&mut self, vm: usize) {
        if self.is_still(vm) || (self.has_not_begun(vm)) {
            return;
        }
        let now = at(self.now);
        let Some(news) = self.vms[vm].limits.news_in_force(LIFE, now) else {
            self.send(vm);
            return;
        };
        if self.vms[vm].limits.closed_until(LIFE, now).is_some() {
            self.kept_back += 1;
            return;
        }
        match self.counter(vm) {
            Counter::Here(place) => {
                let verdict = self.vms[vm].limits.try_grant(LIFE, place, now);
                self.conclude(vm, verdict);
            }
            Counter::At(other) => {
                self.number += 1;
                let number = self.number;
                self.vms[vm].asked.push((number, self.now));
                self.tell(vm, other, Message::Ask { number, news });
            }
            Counter::Nobody => self.conclude(vm, Verdict::NotCounting),
        }
    }

    fn has_not_begun(&self, vm: usize) -> bool {
        let now = self.now;
        let mut outages = self.plan.outages.iter();
        outages.any(|one| one.place == vm && one.trouble == Trouble::Unknown && now < one.from)
    }

    fn conclude(&mut self, vm: usize, verdict: Verdict) {
        let now = at(self.now);
        match verdict {
            Verdict::Granted => self.send(vm),
            Verdict::Ended(news) => {
                self.vms[vm].limits.learn(&news, now);
                self.send(vm);
            }
            Verdict::Closed(ms) => {
                self.kept_back += 1;
                let until = now + Duration::from_millis(u64::from(ms));
                self.vms[vm].limits.close(LIFE, until);
            }
            Verdict::NotCounting => {
                self.kept_back += 1;
                let until = now + NO_ANSWER_PAUSE;
                self.vms[vm].limits.close(LIFE, until);
            }
        }
    }

    fn send(&mut self, vm: usize) {
        // Connecting takes up to as long as the permit lasts.
        let ttl = millis(PERMIT_TTL);
        let connect = if self.rng.random_bool(0.05) {
            self.rng.random_range(0..ttl - ANSWER_TIMEOUT)
        } else {
            0
        };
        let arrives = self.now + DELAY + connect;
        self.events.push((arrives, Event::Arrives(vm, self.now)));
    }

    fn tell(&mut self, from: usize, to: usize, message: Message) {
        let is_cut = self.has(from, Trouble::Cut) || self.has(to, Trouble::Cut);
        if !is_cut && !self.rng.random_bool(self.plan.loss) {
            self.events
                .push((self.now + DELAY, Event::Message(from, to, message)));
        }
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Message(from, to, message) if self.has(to, Trouble::Freeze) => {
                let thaws = self.plan.outages.iter().filter(|one| one.place == to);
                let thaws = thaws.map(|one| one.to).max().unwrap_or_default();
                self.events.push((thaws, Event::Message(from, to, message)));
            }
            Event::Message(_, to, _) if self.has(to, Trouble::Kill) => {}
            Event::Message(from, to, message) => self.receive(from, to, message),
            Event::Arrives(vm, sent) => {
                let limit = (self.plan.limit)(self.now);
                let told = self.vms[vm].limits.rate(LIFE).is_some();
                self.arrivals.push((self.now, told));
                self.events
                    .push((self.now + WORK, Event::Answered(vm, sent, limit)));
            }
            Event::Answered(vm, _, _) if self.is_still(vm) => {}
            Event::Answered(vm, sent, limit) => {
                let statement = Statement {
                    rate: limit.and_then(RequestRate::new),
                    sent: at(sent),
                    received: at(self.now),
                };
                if self.vms[vm].limits.observe(LIFE, statement).is_some() {
                    self.announce(vm);
                }
            }
        }
    }

    /// Tells all others, twice.
    fn announce(&mut self, vm: usize) {
        let Some(news) = self.vms[vm].limits.news(LIFE, at(self.now)) else {
            return;
        };
        for other in 0..self.plan.vms {
            for delay in [0, TELLING] {
                let is_cut = self.has(vm, Trouble::Cut) || self.has(other, Trouble::Cut);
                if other != vm && !is_cut && !self.rng.random_bool(self.plan.loss) {
                    let time = self.now + delay + DELAY;
                    let message = Message::News(vec![news]);
                    self.events.push((time, Event::Message(vm, other, message)));
                }
            }
        }
    }

    fn receive(&mut self, from: usize, to: usize, message: Message) {
        let now = at(self.now);
        match message {
            Message::News(all) => {
                for news in all {
                    self.vms[to].limits.learn(&news, now);
                }
            }
            Message::Ask { number, news } => {
                self.vms[to].limits.learn(&news, now);
                let verdict = match self.counter(to) {
                    Counter::Here(place) => self.vms[to].limits.try_grant(LIFE, place, now),
                    _ => Verdict::NotCounting,
                };
                self.tell(to, from, Message::Answer(number, verdict));
            }
            Message::Answer(number, verdict) => {
                let asked = &mut self.vms[to].asked;
                let waits = asked.iter().position(|(one, _)| *one == number);
                if let Some(no) = waits {
                    asked.swap_remove(no);
                    self.conclude(to, verdict);
                }
            }
            Message::Copy => {}
        }
    }

    /// Ends the waits of questions that got no answer.
    fn time_out(&mut self) {
        let now = self.now;
        for vm in 0..self.plan.vms {
            let asked = &mut self.vms[vm].asked;
            let before = asked.len();
            asked.retain(|(_, at)| now < at + ANSWER_TIMEOUT);
            if asked.len() < before {
                self.conclude(vm, Verdict::NotCounting);
            }
        }
    }

    /// Arrivals in the span of 4 s that ends at the worst moment within a time.
    pub fn worst_span(&self, from: u64, to: u64) -> usize {
        let times: Vec<u64> = self.arrivals.iter().map(|(time, _)| *time).collect();
        let mut worst = 0;
        let mut first = 0;
        for (no, end) in times.iter().enumerate() {
            while times[first] + 4_000 <= *end {
                first += 1;
            }
            if (from..to).contains(end) {
                worst = worst.max(no + 1 - first);
            }
        }
        worst
    }

    /// Requests a second within a time.
    pub fn rate(&self, from: u64, to: u64) -> f64 {
        let within = self
            .arrivals
            .iter()
            .filter(|(time, _)| (from..to).contains(time));
        within.count() as f64 * 1_000.0 / (to - from) as f64
    }
}
