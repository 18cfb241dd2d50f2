//! A fleet of entry VMs in virtual time that charge requests to teams' limits.
//!
//! The counter that judges windows knows nothing of the rights: it sees only when requests were granted.

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use sesamegap_policy::quota::{
    Charge, Loan, Message, Node, Outgoing, RateLimit, SHARDS, ShardSet, Target, Tolerance, Verdict,
    shard_of,
};
use sesamegap_policy::routing::engines::seed;
use sesamegap_wire::{Moment, TeamId};
use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::time::Duration;

/// Interval at which VMs tick.
const TICK: Duration = Duration::from_millis(50);

/// Timeout of a charge, and the number of attempts before a VM counts as unresponsive.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(30);

/// Time until a VM that is dead or cut off leaves the others' rosters.
const DETECTION: Duration = Duration::from_secs(1);

/// Longest wait of a request for rights.
const PATIENCE: Duration = Duration::from_millis(100);

pub fn addr(no: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, 1], u16::try_from(1_000 + no).unwrap()))
}

fn vm_seed(no: usize) -> u64 {
    seed(&format!("vm-{no}"))
}

/// A request that was granted.
#[derive(Debug, Clone, Copy)]
pub struct Run {
    pub at: Moment,
    pub cost: f64,
}

/// What happened to the requests of a team.
#[derive(Debug, Default)]
pub struct Tally {
    pub runs: Vec<Run>,
    pub refused: u32,
    /// Refused because too few parts were held.
    pub without_rights: u32,
    /// Sum and maximum of the times until a verdict, in milliseconds.
    pub waited_ms: f64,
}

impl Tally {
    /// The most that was granted in any window of this length.
    pub fn most_in(&self, window: Duration) -> f64 {
        let mut inside = VecDeque::new();
        let (mut sum, mut most) = (0.0, 0.0f64);
        let mut runs = self.runs.clone();
        runs.sort_by_key(|run| run.at);
        for run in runs {
            inside.push_back(run);
            sum += run.cost;
            while run.at.since(inside[0].at) > window {
                sum -= inside.pop_front().unwrap().cost;
            }
            most = most.max(sum);
        }
        most
    }
}

#[derive(Debug)]
struct Request {
    team: TeamId,
    cost: f64,
    priority: u8,
    began: Moment,
    tries: u32,
}

#[derive(Debug)]
struct Vm {
    node: Node,
    /// Set while the VM is down, frozen or has just started.
    down_until: Moment,
    frozen_until: Moment,
    /// Requests that wait for a VM's answer, by number.
    asked: BTreeMap<u64, (Request, SocketAddr)>,
    seed: u64,
    has_fresh_burst: bool,
    side: u8,
    changed_side: Moment,
}

enum Event {
    Deliver(usize, usize, Message),
    Timeout(usize, u64),
    Arrive(usize, Request),
}

/// A deliberately wrong variant that a test must catch.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Flaw {
    None,
    /// A restarted VM starts with a full bucket.
    FreshBurst,
    /// A VM uses the parts that it was lent without an end.
    EndlessRights,
    /// Each VM divides the limits by the VMs that it can reach.
    CountsReachable,
}

pub struct World {
    pub now: Moment,
    vms: Vec<Vm>,
    events: BTreeMap<(Moment, u64), Event>,
    number: u64,
    next_tick: Moment,
    pub rng: StdRng,
    pub limit: RateLimit,
    pub revision: u64,
    pub tolerance: Tolerance,
    pub tallies: BTreeMap<TeamId, Tally>,
    pub messages: u64,
    pub loss: f64,
    flaw: Flaw,
}

impl World {
    pub fn new(vms: usize, limit: RateLimit, random: u64) -> Self {
        let tolerance = Tolerance { slack: 72_000.0 };
        let now = Moment(1_000_000_000_000);
        let vms = (0..vms).map(|no| Vm {
            node: Node::new(vm_seed(no), tolerance, now),
            down_until: now,
            frozen_until: now,
            asked: BTreeMap::new(),
            seed: vm_seed(no),
            has_fresh_burst: false,
            side: 0,
            changed_side: now.saturating_sub(DETECTION * 2),
        });
        let mut world = Self {
            now,
            vms: vms.collect(),
            events: BTreeMap::new(),
            number: 0,
            next_tick: now,
            rng: StdRng::seed_from_u64(random),
            limit,
            revision: 1,
            tolerance,
            tallies: BTreeMap::new(),
            messages: 0,
            loss: 0.0,
            flaw: Flaw::None,
        };
        world.run(Duration::from_secs(6));
        world
    }

    pub fn with_flaw(mut self, flaw: Flaw) -> Self {
        self.flaw = flaw;
        self
    }

    pub fn vms(&self) -> usize {
        self.vms.len()
    }

    pub fn fraction(&self, vm: usize, team: &TeamId) -> f64 {
        self.vms[vm].node.fraction(shard(team))
    }

    /// The VM that pools most parts of a team's limit.
    pub fn holder(&self, team: &TeamId) -> usize {
        let fractions = (0..self.vms.len()).map(|vm| (vm, self.fraction(vm, team)));
        fractions.max_by(|a, b| a.1.total_cmp(&b.1)).unwrap().0
    }

    pub fn tally(&self, team: &TeamId) -> &Tally {
        &self.tallies[team]
    }

    /// Kills a VM; it restarts with nothing known after `down`.
    pub fn kill(&mut self, vm: usize, down: Duration) {
        let until = self.now + down;
        let slot = &mut self.vms[vm];
        slot.down_until = until;
        slot.asked.clear();
        slot.has_fresh_burst = self.flaw == Flaw::FreshBurst;
        slot.node = Node::new(slot.seed, self.tolerance, until);
    }

    pub fn freeze(&mut self, vm: usize, time: Duration) {
        self.vms[vm].frozen_until = self.now + time;
    }

    /// Moves a VM to one side of a partition.
    pub fn set_side(&mut self, vm: usize, side: u8) {
        self.vms[vm].side = side;
        self.vms[vm].changed_side = self.now;
    }

    /// A request of a team arrives at a VM.
    pub fn request(&mut self, vm: usize, team: &TeamId, cost: f64, priority: u8) {
        let request = Request {
            team: team.clone(),
            cost,
            priority,
            began: self.now,
            tries: 0,
        };
        self.push(Duration::ZERO, Event::Arrive(vm, request));
    }

    /// Requests arrive at random VMs at this rate, and the time passes.
    pub fn load(&mut self, team: &TeamId, per_s: f64, cost: f64, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            let vm = self.rng.random_range(0..self.vms.len());
            let cost = cost * self.rng.random_range(0.2..1.8);
            self.request(vm, team, cost, 1);
            let gap = -(1.0 - self.rng.random_range(0.0..1.0f64)).ln() / per_s;
            self.run(Duration::from_secs_f64(gap));
        }
    }

    pub fn run(&mut self, time: Duration) {
        let end = self.now + time;
        loop {
            let next_tick = self.next_tick;
            let next_event = self.events.first_key_value().map(|(at, _)| at.0);
            let next = next_event.map_or(next_tick, |at| at.min(next_tick));
            if next > end {
                self.now = end;
                return;
            }
            self.now = self.now.max(next);
            if next_event.is_some_and(|at| at <= next) {
                let ((_, _), event) = self.events.pop_first().unwrap();
                self.handle(event);
            } else {
                self.next_tick = self.now + TICK;
                self.tick();
            }
        }
    }

    fn tick(&mut self) {
        for vm in 0..self.vms.len() {
            if !self.is_running(vm) {
                continue;
            }
            let peers = self.roster(vm);
            let all = match self.flaw {
                Flaw::CountsReachable => peers.len() + 1,
                _ => self.vms.len(),
            };
            if self.flaw == Flaw::EndlessRights {
                self.renew_rights(vm);
            }
            let node = &mut self.vms[vm].node;
            node.set_vms(peers, u32::try_from(all).unwrap());
            let mut out = Vec::new();
            node.tick(self.now, &mut out);
            self.send(vm, out);
        }
    }

    fn add_fresh_burst(&mut self, vm: usize, team: &TeamId) {
        if self.fraction(vm, team) > 0.5 && std::mem::take(&mut self.vms[vm].has_fresh_burst) {
            self.vms[vm].node.adjust(team, -self.limit.burst);
        }
    }

    /// Lets a VM that holds a shard hold the parts of all VMs on, whether they lend them or not.
    fn renew_rights(&mut self, vm: usize) {
        let count = self.vms.len();
        let node = &mut self.vms[vm].node;
        let mut shards = ShardSet::default();
        for shard in (0..SHARDS).filter(|shard| node.fraction(*shard) > 0.5) {
            shards.insert(shard);
        }
        let loan = Message::Loan(Loan {
            shards,
            at: self.now.0,
            vms: u32::try_from(count).unwrap(),
        });
        for other in (0..count).filter(|other| *other != vm) {
            node.receive(addr(other), &loan, self.now, &mut Vec::new());
        }
    }

    fn is_running(&self, vm: usize) -> bool {
        let vm = &self.vms[vm];
        self.now >= vm.down_until && self.now >= vm.frozen_until
    }

    fn roster(&self, vm: usize) -> Vec<(u64, SocketAddr)> {
        let own = &self.vms[vm];
        let others = (0..self.vms.len()).filter(|other| *other != vm);
        let alive = others.filter(|other| {
            let other = &self.vms[*other];
            let is_cut = other.side != own.side
                && self.now.since(other.changed_side.max(own.changed_side)) > DETECTION;
            let is_down = other.down_until > self.now + DETECTION;
            !is_cut && !is_down
        });
        alive.map(|no| (self.vms[no].seed, addr(no))).collect()
    }

    fn push(&mut self, after: Duration, event: Event) {
        self.number += 1;
        self.events.insert((self.now + after, self.number), event);
    }

    fn send(&mut self, from: usize, out: Vec<Outgoing>) {
        for (to, message) in out {
            let to = usize::from(to.port()) - 1_000;
            self.messages += 1;
            if self.vms[from].side != self.vms[to].side || self.rng.random_bool(self.loss) {
                continue;
            }
            let delay = Duration::from_micros(self.rng.random_range(300..3_000));
            self.push(delay, Event::Deliver(from, to, message));
        }
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrive(vm, request) => {
                if self.is_running(vm) {
                    self.charge(vm, request);
                }
            }
            Event::Timeout(vm, number) => {
                if self.now < self.vms[vm].frozen_until {
                    let wait = self.vms[vm].frozen_until.since(self.now);
                    self.push(wait, Event::Timeout(vm, number));
                } else if let Some((request, to)) = self.vms[vm].asked.remove(&number) {
                    self.vms[vm].node.record_unanswered(to, self.now);
                    self.retry(vm, request, Verdict::NoRights(Duration::ZERO));
                }
            }
            Event::Deliver(from, to, message) => {
                if self.now < self.vms[to].frozen_until {
                    // What arrives while the VM is frozen waits in its socket.
                    let wait = self.vms[to].frozen_until.since(self.now);
                    self.push(wait, Event::Deliver(from, to, message));
                } else if self.now >= self.vms[to].down_until {
                    self.deliver(from, to, message);
                }
            }
        }
    }

    fn deliver(&mut self, from: usize, to: usize, message: Message) {
        let mut out = Vec::new();
        if let Some((number, charge)) = message.as_charge() {
            let node = &mut self.vms[to].node;
            let verdict = node.charge(shard(charge.team), &charge, self.now, &mut out);
            self.add_fresh_burst(to, charge.team);
            out.push((addr(from), Message::charged(number, verdict)));
        }
        match message {
            Message::Charge { .. } => {}
            Message::Charged(number, outcome) => {
                let Some((request, _)) = self.vms[to].asked.remove(&number) else {
                    return;
                };
                self.retry(to, request, outcome.verdict());
            }
            other => {
                let node = &mut self.vms[to].node;
                node.receive(addr(from), &other, self.now, &mut out);
            }
        }
        self.send(to, out);
    }

    fn charge(&mut self, vm: usize, mut request: Request) {
        request.tries += 1;
        let shard = shard(&request.team);
        let team = request.team.clone();
        let charge = Charge {
            team: &team,
            cost: request.cost,
            priority: request.priority,
            limit: self.limit,
            revision: self.revision,
        };
        match self.vms[vm].node.target(shard, self.now) {
            Target::Remote(to) => {
                self.number += 1;
                let number = self.number;
                let message = Message::charge(number, &charge);
                self.vms[vm].asked.insert(number, (request, to));
                self.push(ANSWER_TIMEOUT, Event::Timeout(vm, number));
                self.send(vm, vec![(to, message)]);
            }
            Target::Local => {
                let mut out = Vec::new();
                let node = &mut self.vms[vm].node;
                let verdict = node.charge(shard, &charge, self.now, &mut out);
                self.add_fresh_burst(vm, &request.team);
                self.send(vm, out);
                self.retry(vm, request, verdict);
            }
        }
    }

    fn retry(&mut self, vm: usize, request: Request, verdict: Verdict) {
        let waited = self.now.since(request.began);
        let is_refused = match verdict {
            Verdict::Granted => false,
            Verdict::OverLimit(_) => true,
            Verdict::NoRights(_) => waited >= PATIENCE,
        };
        if let Verdict::NoRights(wait) = verdict
            && !is_refused
        {
            let wait = wait.min(Duration::from_millis(30));
            self.push(wait, Event::Arrive(vm, request));
            return;
        }
        let tally = self.tallies.entry(request.team).or_default();
        tally.waited_ms += waited.as_secs_f64() * 1_000.0;
        if verdict == Verdict::Granted {
            tally.runs.push(Run {
                at: self.now,
                cost: request.cost,
            });
        } else {
            tally.refused += 1;
            tally.without_rights += u32::from(matches!(verdict, Verdict::NoRights(_)));
        }
    }
}

fn shard(team: &TeamId) -> usize {
    shard_of(seed(team.as_str()))
}
