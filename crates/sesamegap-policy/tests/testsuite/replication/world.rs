//! Entry VMs with thin links in virtual time.

use super::{ENTRY_BYTES, Ids, decode};
use rand::rngs::StdRng;
use rand::seq::IndexedRandom;
use rand::{RngExt, SeedableRng};
use sesamegap_policy::agreement::replication::{
    Answer, Ask, Content, EntryId, Fetch, answer, apply_answer,
};
use sesamegap_policy::routing::link_budget::LinkBudget;
use sesamegap_wire::Moment;
use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::sync::Arc;
use std::time::Duration;

/// Bytes of an id in a message.
const ID_BYTES: usize = 9;

/// Bytes around each message.
const FRAME_BYTES: usize = 250;

/// One way between two VMs.
const LATENCY: Duration = Duration::from_millis(1);

/// Processor time of a VM for each message, at an eighth of a core.
const MESSAGE_TIME: Duration = Duration::from_millis(3);

const LANES: usize = 3;
const MAX_DOUBLINGS: u32 = 2;
const POLL: Duration = Duration::from_millis(60);
/// Time after which a VM's death is known.
const DETECTION_TIME: Duration = Duration::from_millis(1_500);

/// Time without a part of an answer after which it is given up.
const MAX_SILENCE: Duration = Duration::from_millis(1_500);

const MIN_AIM_TIME: Duration = Duration::from_millis(700);
const READERS: usize = 8;

type Reply = Answer<EntryId>;

#[derive(Debug)]
enum Event {
    /// A VM begins to look for a newer version.
    Begin(usize),
    /// A lane goes on.
    Lane(usize, usize),
    Question(usize, usize, usize, u64, Ask),
    Reply(usize, usize, usize, u64, Option<Box<(u64, Reply)>>),
}

#[derive(Debug)]
struct Lane {
    peer: usize,
    /// The question that it waits for; replies to earlier ones come too late.
    turn: u64,
    ask: Option<Ask>,
    /// Whether the answer is arriving.
    is_answered: bool,
    /// Useless answers in a row.
    useless: u32,
    /// Whether the peer has sent something.
    is_proven: bool,
}

impl Lane {
    fn new(peer: usize) -> Self {
        Self {
            peer,
            turn: 0,
            ask: None,
            is_answered: false,
            useless: 0,
            is_proven: false,
        }
    }
}

/// A VM.
#[derive(Debug)]
pub struct Vm {
    pub content: Arc<Content<()>>,
    fetch: Fetch<()>,
    budget: LinkBudget,
    /// Bytes a second that callers leave.
    rate: f64,
    /// Bytes a second that callers use.
    callers: f64,
    counted: Moment,
    up_free: Moment,
    down_free: Moment,
    processor_free: Moment,
    heard: u64,
    /// When the target was last chosen.
    aimed: Moment,
    lanes: Vec<Lane>,
    /// When it died, if it did.
    died: Option<Moment>,
    pub sent: usize,
    pub received: usize,
    /// When the newest version was put in force.
    pub adopted: Moment,
}

impl Vm {
    pub fn is_alive(&self) -> bool {
        self.died.is_none()
    }
}

/// The fleet.
#[derive(Debug)]
pub struct World {
    pub vms: Vec<Vm>,
    now: Moment,
    events: BinaryHeap<Reverse<(Moment, u64, usize)>>,
    pending: Vec<Option<Event>>,
    rng: StdRng,
    turns: u64,
    /// How often a VM has put a version in force.
    adoptions: usize,
}

impl World {
    /// VMs with links of 10 Mbit/s of which callers leave a share; one in ten is five times slower.
    pub fn new(vms: usize, left: f64, content: &Arc<Content<()>>, seed: u64) -> Self {
        let vm = |no: usize| Vm {
            content: Arc::clone(content),
            fetch: Fetch::default(),
            budget: LinkBudget::new(10.0, Moment::default()),
            rate: 1.25e6 * left / if no % 10 == 9 { 5.0 } else { 1.0 },
            callers: 1.25e6 * (1.0 - left),
            counted: Moment::default(),
            up_free: Moment::default(),
            down_free: Moment::default(),
            processor_free: Moment::default(),
            heard: content.version().revision,
            aimed: Moment::default(),
            lanes: Vec::new(),
            died: None,
            sent: 0,
            received: 0,
            adopted: Moment::default(),
        };
        Self {
            vms: (0..vms).map(vm).collect(),
            now: Moment::default(),
            events: BinaryHeap::new(),
            pending: Vec::new(),
            rng: StdRng::seed_from_u64(seed),
            turns: 0,
            adoptions: 0,
        }
    }

    /// Kills a VM.
    pub fn kill(&mut self, no: usize) {
        self.vms[no].died = Some(self.now);
    }

    pub fn now(&self) -> Moment {
        self.now
    }

    /// The readers put a version in force, and all others hear of it.
    pub fn publish(&mut self, content: &Arc<Content<()>>) {
        let revision = content.version().revision;
        for no in 0..self.vms.len() {
            self.vms[no].heard = revision;
            if no < READERS.min(self.vms.len() - 1) && self.vms[no].is_alive() {
                self.vms[no].content = Arc::clone(content);
                self.vms[no].adopted = self.now;
            } else {
                let delay = Duration::from_micros(self.rng.random_range(1_000..20_000));
                self.at(self.now + delay, Event::Begin(no));
            }
        }
    }

    /// Plays until a time, or until every VM that is alive has a version.
    pub fn run(&mut self, until: Moment, goal: Option<u64>) -> bool {
        let mut checked = usize::MAX;
        while let Some(Reverse((at, _, index))) = self.events.pop() {
            if at > until {
                self.events.push(Reverse((at, index as u64, index)));
                self.now = until;
                return false;
            }
            self.now = at;
            if let Some(event) = self.pending[index].take() {
                self.play(event);
            }
            if goal.is_some_and(|goal| self.adoptions != checked && self.is_everywhere(goal)) {
                return true;
            }
            checked = self.adoptions;
        }
        self.now = until;
        false
    }

    fn is_everywhere(&self, revision: u64) -> bool {
        let mut alive = self.vms.iter().filter(|vm| vm.is_alive());
        alive.all(|vm| vm.content.version().revision >= revision)
    }

    fn at(&mut self, at: Moment, event: Event) {
        let index = self.pending.len();
        self.pending.push(Some(event));
        self.events.push(Reverse((at, index as u64, index)));
    }

    fn play(&mut self, event: Event) {
        match event {
            Event::Begin(no) => self.begin(no),
            Event::Lane(no, lane) => self.next_question(no, lane),
            Event::Question(from, lane, to, turn, ask) => self.serve(from, lane, to, turn, &ask),
            Event::Reply(no, lane, peer, turn, reply) => self.receive(no, lane, peer, turn, reply),
        }
    }

    fn begin(&mut self, no: usize) {
        let vm = &mut self.vms[no];
        if !vm.is_alive() || vm.heard <= vm.content.version().revision || !vm.lanes.is_empty() {
            return;
        }
        let ask = vm.fetch.first_ask(&vm.content, &mut self.rng);
        let peer = self.choose_peer(no, true);
        self.vms[no].lanes = vec![Lane::new(peer)];
        self.send_question(no, 0, ask);
    }

    fn choose_peer(&mut self, no: usize, is_first: bool) -> usize {
        // The readers are the first that are not known to be dead.
        let is_listed = |vm: &Vm| {
            let died = vm.died;
            died.is_none_or(|at| self.now.since(at) < DETECTION_TIME)
        };
        if is_first {
            let listed = (0..self.vms.len()).filter(|peer| is_listed(&self.vms[*peer]));
            let readers: Vec<usize> = listed.filter(|peer| *peer != no).take(READERS).collect();
            return *readers.choose(&mut self.rng).unwrap();
        }
        loop {
            let peer = self.rng.random_range(0..self.vms.len());
            if peer != no && is_listed(&self.vms[peer]) {
                return peer;
            }
        }
    }

    fn send_question(&mut self, no: usize, lane: usize, ask: Ask) {
        self.turns += 1;
        let turn = self.turns;
        let Lane { peer, .. } = self.vms[no].lanes[lane];
        self.vms[no].lanes[lane].turn = turn;
        self.vms[no].lanes[lane].ask = Some(ask.clone());
        self.vms[no].lanes[lane].is_answered = false;
        let bytes = FRAME_BYTES
            + match &ask {
                Ask::Entries(ids) => ids.len() * ID_BYTES,
                _ => 0,
            };
        let arrives = self.carry(no, peer, bytes);
        self.at(arrives, Event::Question(no, lane, peer, turn, ask));
        self.at(
            self.now + MAX_SILENCE,
            Event::Reply(no, lane, peer, turn, None),
        );
    }

    /// Occupies the links between two VMs; returns when the last byte has arrived.
    fn carry(&mut self, from: usize, to: usize, bytes: usize) -> Moment {
        let time = |rate: f64| Duration::from_secs_f64(bytes as f64 / rate);
        let sender = &mut self.vms[from];
        sender.sent += bytes;
        sender.up_free = sender.up_free.max(self.now) + time(sender.rate);
        let left = sender.up_free + LATENCY;
        let receiver = &mut self.vms[to];
        receiver.received += bytes;
        receiver.down_free = receiver.down_free.max(left) + time(receiver.rate);
        receiver.processor_free = receiver.processor_free.max(receiver.down_free) + MESSAGE_TIME;
        receiver.processor_free
    }

    fn serve(&mut self, from: usize, lane: usize, no: usize, turn: u64, ask: &Ask) {
        let now = self.now;
        let vm = &mut self.vms[no];
        if !vm.is_alive() {
            return;
        }
        // A microsecond stands for a byte.
        let used = now.since(vm.counted).mul_f64(vm.callers / 1e6).as_micros();
        vm.counted = now;
        vm.budget.count_callers(usize::try_from(used).unwrap(), now);
        let is_spent = !vm.budget.allows_copy(now);
        let reply = answer(&vm.content, &vm.fetch, ask, is_spent, &Ids);
        let bytes = size(&reply);
        vm.budget.charge(bytes, now);
        let revision = vm.content.version().revision;
        let arrives = self.carry(no, from, bytes);
        // The answers to all lanes share the links, so each begins to arrive before the one before it has ended.
        let rate = self.vms[no].rate.min(self.vms[from].rate);
        let begins = arrives.saturating_sub(Duration::from_secs_f64(bytes as f64 / rate) * 3);
        if let Some(lane) = self.vms[from].lanes.get_mut(lane)
            && lane.turn == turn
        {
            lane.is_answered = begins.since(now) < MAX_SILENCE;
        }
        let reply = Some(Box::new((revision, reply)));
        self.at(arrives, Event::Reply(from, lane, no, turn, reply));
    }

    fn receive(
        &mut self,
        no: usize,
        lane: usize,
        peer: usize,
        turn: u64,
        reply: Option<Box<(u64, Reply)>>,
    ) {
        let vm = &mut self.vms[no];
        let is_current = vm.is_alive() && vm.lanes.get(lane).is_some_and(|lane| lane.turn == turn);
        if !is_current {
            return;
        }
        if reply.is_none() && vm.lanes[lane].is_answered {
            return;
        }
        let ask = vm.lanes[lane].ask.take();
        vm.lanes[lane].turn = 0;
        vm.fetch.record_timing(reply.is_none());
        let is_useful = reply.is_some_and(|reply| {
            vm.heard = vm.heard.max(reply.0);
            apply_answer(&vm.content, &mut vm.fetch, reply.1, decode).unwrap()
        });
        if let Some(ask) = &ask {
            vm.fetch.release(ask);
        }
        if vm.lanes.len() == 1 && vm.fetch.target().is_some() {
            let new = (1..LANES).map(|_| Lane::new(peer));
            vm.lanes.extend(new);
            for lane in 1..LANES {
                self.at(self.now, Event::Lane(no, lane));
            }
        }
        if is_useful {
            self.vms[no].lanes[lane].useless = 0;
            self.vms[no].lanes[lane].is_proven = true;
            self.next_question(no, lane);
        } else {
            let useless = self.vms[no].lanes[lane].useless.min(MAX_DOUBLINGS);
            self.vms[no].lanes[lane].useless += 1;
            self.vms[no].lanes[lane].is_proven = false;
            let is_first =
                self.vms[no].lanes.len() == 1 && self.vms[no].lanes[lane].useless.is_multiple_of(2);
            self.vms[no].lanes[lane].peer = self.choose_peer(no, is_first);
            let pause = (POLL * (1 << useless)).mul_f64(self.rng.random_range(0.5..1.5));
            self.at(self.now + pause, Event::Lane(no, lane));
        }
    }

    fn next_question(&mut self, no: usize, lane: usize) {
        let vm = &mut self.vms[no];
        if !vm.is_alive() || vm.lanes.get(lane).is_none_or(|lane| lane.ask.is_some()) {
            return;
        }
        let target = vm.fetch.target().map_or(0, |target| target.revision);
        if let Some(next) = vm.fetch.finish(&vm.content).unwrap() {
            vm.content = Arc::new(next);
            vm.adopted = self.now;
            self.adoptions += 1;
        }
        if vm.content.version().revision >= vm.heard {
            vm.lanes.clear();
            return;
        }
        let is_due = target == 0 || self.now.since(vm.aimed) >= MIN_AIM_TIME;
        if target < vm.heard && is_due {
            vm.aimed = self.now;
            let ask = vm.fetch.first_ask(&vm.content, &mut self.rng);
            self.send_question(no, lane, ask);
            return;
        }
        let is_proven = vm.lanes[lane].is_proven;
        match vm.fetch.next_ask(is_proven, &mut self.rng) {
            Some(ask) => self.send_question(no, lane, ask),
            None => self.at(self.now + POLL, Event::Lane(no, lane)),
        }
    }
}

fn size(reply: &Reply) -> usize {
    FRAME_BYTES
        + match reply {
            Answer::Busy | Answer::Current => 0,
            Answer::Changes(_, _, removed, added, entries) => {
                (removed.len() + added.len()) * ID_BYTES + entries.len() * ENTRY_BYTES
            }
            Answer::Outline(_, digests) => digests.len() * ID_BYTES,
            Answer::Ids(buckets) => buckets.iter().map(|(_, ids)| ids.len() * ID_BYTES).sum(),
            Answer::Entries(entries) => entries.len() * ENTRY_BYTES,
        }
}
