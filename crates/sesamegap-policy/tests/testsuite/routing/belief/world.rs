//! Simulates an upstream, the store that lists it and a VM that follows the list, in steps of a tenth of a second.

use crate::support::at;
use quickcheck::{Arbitrary, Gen};
use sesamegap_policy::routing::belief::{
    Belief, Change, ListRecord, ListUpdate, Listing, Rules, StoreReachability,
};
use sesamegap_wire::{Incarnation, LogPosition, Offset, Timeline};
use std::collections::BTreeSet;

/// Steps between heartbeats.
const HEARTBEAT: u64 = 12;

/// Steps without a heartbeat after which the store drops an entry.
const EXPIRY: u64 = 3 * HEARTBEAT;

/// Steps between reads of the list.
const READ_INTERVAL: u64 = 13;

/// Steps for which a leaving upstream is still listed.
const DRAIN: u64 = 20;

/// Steps after which the view must match the truth: delayed writes have arrived and their entries have been dropped,
/// and doubts and lapses have ended.
pub const SETTLE: u64 = 60 + EXPIRY + 20 + 56 + 2 * READ_INTERVAL + REWRITE;

/// Steps after which an upstream rewrites its entry to a restored store.
const REWRITE: u64 = 15;

/// Event of the simulation.
#[derive(Debug, Clone)]
pub enum Step {
    /// Time passes.
    Pass(u8),
    /// From now on, writes reach the store after this many steps.
    Late(u8),
    /// From now on, writes reach the store at once.
    Prompt,
    /// From now on, writes are lost.
    Lost,
    /// The upstream restarts; its writes in flight may still arrive.
    Restart,
    /// The upstream announces that it leaves.
    Leave,
    /// The upstream removes its entry and leaves without announcing it.
    Vanish,
    /// The upstream crashes.
    Crash,
    /// The VM receives an update again, whether it has read it or not.
    Tell(u8),
    /// The store is restored from a backup that lacks this many of the newest records.
    Restore(u8),
    /// The VM cannot reach the store.
    Away,
    /// The VM can reach the store again.
    Back,
}

impl Arbitrary for Step {
    fn arbitrary(g: &mut Gen) -> Self {
        let n = u8::arbitrary(g);
        match u8::arbitrary(g) % 21 {
            0..=5 => Self::Pass(n % 40),
            6..=8 => Self::Late(10 + n % 50),
            9 => Self::Prompt,
            10 => Self::Lost,
            11 | 12 => Self::Restart,
            13 => Self::Leave,
            14 => Self::Vanish,
            15 => Self::Crash,
            16 | 17 => Self::Tell(n),
            18 => Self::Away,
            19 => Self::Restore(1 + n % 3),
            _ => Self::Back,
        }
    }
}

/// Implementation that decides whether an upstream is present.
pub trait Judge {
    fn apply(&mut self, update: ListUpdate, reachability: &StoreReachability, now: u64) -> Change;
    fn expire(&mut self, reachability: &StoreReachability, now: u64);
    fn is_known(&self) -> bool;
    fn is_leaving(&self) -> bool;
    fn born(&self) -> Option<Incarnation>;
}

/// The real implementation.
#[derive(Debug)]
pub struct Real(pub Belief, pub Rules);

impl Real {
    pub fn new() -> Self {
        Self(Belief::new(at(0)), Rules::default())
    }
}

impl Judge for Real {
    fn apply(&mut self, update: ListUpdate, reachability: &StoreReachability, now: u64) -> Change {
        self.0.apply(update, &self.1, reachability, at(now * 100))
    }

    fn expire(&mut self, reachability: &StoreReachability, now: u64) {
        self.0.expire(&self.1, reachability, at(now * 100));
    }

    fn is_known(&self) -> bool {
        self.0.is_known()
    }

    fn is_leaving(&self) -> bool {
        self.0.is_leaving()
    }

    fn born(&self) -> Option<Incarnation> {
        self.0.born()
    }
}

#[derive(Debug, Clone, Copy)]
enum Delivery {
    At(u64),
    Lost,
}

#[derive(Debug)]
struct Entry {
    listing: Listing,
    until: u64,
}

/// The upstream and the store.
#[derive(Debug)]
pub struct World {
    pub now: u64,
    delivery: Delivery,
    alive: Option<Listing>,
    ends: Option<u64>,
    next_beat: u64,
    in_flight: Vec<(u64, Listing)>,
    entry: Option<Entry>,
    pub log: Vec<ListRecord>,
    timeline: Timeline,
    /// All updates of all timelines, which may be received at any time.
    updates: Vec<ListUpdate>,
}

impl World {
    pub fn new() -> Self {
        let mut world = Self {
            now: 0,
            delivery: Delivery::At(0),
            alive: None,
            ends: None,
            next_beat: 0,
            in_flight: Vec::new(),
            entry: None,
            log: Vec::new(),
            timeline: Timeline(0),
            updates: Vec::new(),
        };
        world.start();
        world
    }

    /// The upstream, if it runs and is not leaving.
    pub fn alive(&self) -> Option<Listing> {
        self.alive.filter(|listing| !listing.leaving)
    }

    pub fn update(&self, no: usize) -> ListUpdate {
        ListUpdate {
            at: LogPosition::new(self.timeline, Offset(no as u64)),
            record: self.log[no],
        }
    }

    /// The list's newest state, as seen by a VM that reads the whole list.
    fn newest(&self) -> Option<ListUpdate> {
        let last = self.log.len().checked_sub(1)?;
        let record = match &self.entry {
            Some(entry) => ListRecord::Listed(entry.listing),
            None => ListRecord::Removed,
        };
        Some(ListUpdate {
            record,
            ..self.update(last)
        })
    }

    fn add(&mut self, record: ListRecord) {
        self.log.push(record);
        self.updates.push(self.update(self.log.len() - 1));
    }

    fn restore(&mut self, lost: usize) {
        self.timeline = Timeline(self.timeline.0 + 1);
        // The backup always contains the first record, since the list would have no position otherwise.
        let kept = self.log.len().saturating_sub(lost).max(1);
        self.log.truncate(kept);
        self.entry = match self.log.last() {
            Some(ListRecord::Listed(listing)) => Some(Entry {
                listing: *listing,
                until: self.now + EXPIRY,
            }),
            _ => None,
        };
        if self.alive.is_some() {
            self.next_beat = self.next_beat.min(self.now + REWRITE);
        }
    }

    fn start(&mut self) {
        self.alive = Some(Listing {
            beat: 0,
            born: Some(Incarnation(self.now + 1)),
            leaving: false,
        });
        self.ends = None;
        self.next_beat = self.now;
    }

    pub fn act(&mut self, step: &Step) {
        match step {
            Step::Late(by) => self.delivery = Delivery::At(u64::from(*by)),
            Step::Prompt => self.delivery = Delivery::At(0),
            Step::Lost => self.delivery = Delivery::Lost,
            Step::Restart => self.start(),
            Step::Leave => {
                if let Some(listing) = &mut self.alive {
                    listing.leaving = true;
                    self.ends = Some(self.now + DRAIN);
                    self.next_beat = self.now;
                }
            }
            Step::Vanish if self.alive.take().is_some() => self.drop_entry(),
            Step::Crash => self.alive = None,
            Step::Restore(lost) if !self.log.is_empty() => self.restore(usize::from(*lost)),
            _ => {}
        }
    }

    pub fn tick(&mut self) {
        self.now += 1;
        if self.ends.is_some_and(|ends| ends <= self.now) {
            self.ends = None;
            self.alive = None;
            self.drop_entry();
        }
        if self.now >= self.next_beat
            && let Some(listing) = &mut self.alive
        {
            listing.beat += 1;
            let listing = *listing;
            self.next_beat = self.now + HEARTBEAT;
            if let Delivery::At(by) = self.delivery {
                self.in_flight.push((self.now + by, listing));
            }
        }
        let due = |(when, _): &mut (u64, Listing)| *when <= self.now;
        let arrived: Vec<_> = self.in_flight.extract_if(.., due).collect();
        for (_, listing) in arrived {
            self.write(listing);
        }
        let expired = |entry: &Entry| entry.until <= self.now;
        if self.entry.as_ref().is_some_and(expired) {
            self.drop_entry();
        }
    }

    /// The log gets a record only when more than the heartbeat changes.
    fn write(&mut self, listing: Listing) {
        let same = |entry: &Entry| {
            entry.listing.born == listing.born && entry.listing.leaving == listing.leaving
        };
        if !self.entry.as_ref().is_some_and(same) {
            self.add(ListRecord::Listed(listing));
        }
        self.entry = Some(Entry {
            listing,
            until: self.now + EXPIRY,
        });
    }

    fn drop_entry(&mut self) {
        if self.entry.take().is_some() {
            self.add(ListRecord::Removed);
        }
    }
}

/// The VM's state for the upstream.
struct Vm<'a> {
    judge: &'a mut dyn Judge,
    reachability: StoreReachability,
    away: bool,
    read: usize,
    timeline: Timeline,
    next_read: u64,
    left: BTreeSet<Option<Incarnation>>,
}

impl Vm<'_> {
    fn tick(&mut self, world: &World) -> Result<(), String> {
        let now = world.now;
        if now >= self.next_read {
            self.next_read = now + READ_INTERVAL;
            self.reachability.record_response(!self.away, at(now * 100));
            if !self.away {
                self.read(world, now);
            }
        }
        self.judge.expire(&self.reachability, now);
        self.check(now)
    }

    fn read(&mut self, world: &World, now: u64) {
        if self.timeline < world.timeline {
            self.timeline = world.timeline;
            self.reachability.restored(at(now * 100));
            if let Some(update) = world.newest() {
                self.judge.apply(update, &self.reachability, now);
            }
            self.read = world.log.len();
        }
        for no in self.read..world.log.len() {
            self.judge.apply(world.update(no), &self.reachability, now);
        }
        self.read = world.log.len();
    }

    /// An upstream that announced that it leaves and is gone must not come back in the same incarnation.
    fn check(&mut self, now: u64) -> Result<(), String> {
        let (known, born) = (self.judge.is_known(), self.judge.born());
        if !known && self.judge.is_leaving() {
            self.left.insert(born);
        }
        let usable = known && !self.judge.is_leaving();
        if usable && self.left.contains(&born) {
            return Err(format!("{born:?} is back at {now} though it had left"));
        }
        Ok(())
    }
}

/// Runs the events, lets the system settle, and reports where the view and the truth differ.
pub fn play(steps: &[Step], judge: &mut dyn Judge) -> Result<World, String> {
    let mut world = World::new();
    let mut vm = Vm {
        judge,
        reachability: StoreReachability::default(),
        away: false,
        read: 0,
        timeline: Timeline(0),
        next_read: 0,
        left: BTreeSet::new(),
    };
    for step in steps {
        world.act(step);
        match step {
            Step::Tell(no) if !world.updates.is_empty() => {
                let update = world.updates[usize::from(*no) % world.updates.len()];
                vm.judge.apply(update, &vm.reachability, world.now);
                vm.check(world.now)?;
            }
            Step::Away => vm.away = true,
            Step::Back => vm.away = false,
            _ => {}
        }
        let ticks = if let Step::Pass(ticks) = step {
            *ticks
        } else {
            1
        };
        for _ in 0..ticks {
            world.tick();
            vm.tick(&world)?;
        }
    }
    vm.away = false;
    world.act(&Step::Prompt);
    for _ in 0..SETTLE {
        world.tick();
        vm.tick(&world)?;
    }
    let judge = vm.judge;
    let usable = judge.is_known() && !judge.is_leaving();
    let born = world.alive().map(|listing| listing.born);
    match born {
        Some(born) if !usable || judge.born() != born => Err(format!(
            "{born:?} is alive but not used: {:?}",
            judge.born()
        )),
        None if usable => Err("it is used though it is gone".to_owned()),
        _ => Ok(world),
    }
}
