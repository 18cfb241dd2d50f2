//! Orders of two lease holders never reach an engine out of order.

use crate::support::{FakeLog, Pick, check, finds_fault, holder};
use quickcheck::{Arbitrary, Gen};
use sesamegap_policy::agreement::lease::{Action, LeaseRecord, LeaseTiming, Leaseholder, Leases};
use sesamegap_wire::{Fence, Moment};
use std::time::Duration;

const TIMING: LeaseTiming = LeaseTiming {
    term: Duration::from_secs(4),
    margin: Duration::from_millis(400),
    longest_order: Duration::from_secs(2),
};

/// Injected fault: a successor that does not wait for orders in flight.
const NO_ORDER_WAIT: LeaseTiming = LeaseTiming {
    longest_order: Duration::ZERO,
    ..TIMING
};

const CONTROLLERS: usize = 3;

#[derive(Debug, Clone)]
enum Op {
    /// A controller takes a step. Pauses are modelled by taking none.
    Step { who: Pick, jitter: Pick, fate: Pick },
    /// A delayed append reaches the log.
    Arrive(Pick),
    /// A controller reads the log.
    Read(Pick),
    /// A controller begins an order, which arrives after a delay.
    Order { who: Pick, delay: Pick },
    /// A controller restarts without state.
    Restart(Pick),
    /// Time passes, in tenths of a second.
    Pass(Pick),
    /// Every controller that is not paused reads, steps and orders, as in normal operation.
    Round(Pick, Pick),
    /// Pauses or resumes a controller.
    Pause(Pick),
    /// Makes a controller's appends fail, or succeed again; its orders still arrive.
    Cut(Pick),
}

impl Arbitrary for Op {
    fn arbitrary(g: &mut Gen) -> Self {
        let a = Pick::arbitrary(g);
        let b = Pick::arbitrary(g);
        match Pick::arbitrary(g).below(50) {
            0..=3 => Self::Step {
                who: a,
                jitter: b,
                fate: Pick::arbitrary(g),
            },
            4 => Self::Arrive(a),
            5 | 6 => Self::Read(a),
            7 | 8 => Self::Order { who: a, delay: b },
            9 => Self::Pause(a),
            10 => Self::Cut(a),
            11 if a.below(4) == 0 => Self::Restart(b),
            12..=46 => Self::Round(a, b),
            _ => Self::Pass(a),
        }
    }
}

struct Controller {
    incarnation: u64,
    paused: bool,
    cut: bool,
    leaseholder: Leaseholder,
    leases: Leases,
}

impl Controller {
    fn new(index: usize, incarnation: u64, timing: LeaseTiming) -> Self {
        Self {
            incarnation,
            paused: false,
            cut: false,
            leaseholder: Leaseholder::new(holder(index, incarnation), timing),
            leases: Leases::default(),
        }
    }
}

struct World {
    timing: LeaseTiming,
    log: FakeLog<LeaseRecord>,
    in_flight: Vec<LeaseRecord>,
    controllers: Vec<Controller>,
    /// Orders in flight, with the time at which they reach an engine.
    orders: Vec<(u64, Fence)>,
    /// Orders executed by engines, in the order of arrival.
    executed: Vec<Fence>,
}

impl World {
    fn new(timing: LeaseTiming) -> Self {
        Self {
            timing,
            log: FakeLog::new(1_000_000),
            in_flight: Vec::new(),
            controllers: (0..CONTROLLERS)
                .map(|i| Controller::new(i, 0, timing))
                .collect(),
            orders: Vec::new(),
            executed: Vec::new(),
        }
    }

    fn now(&self) -> Moment {
        Moment(self.log.now * 1000)
    }

    fn act(&mut self, op: &Op) {
        match op {
            Op::Step { who, jitter, fate } => {
                self.step(who.below(CONTROLLERS), jitter.below(10), fate.below(4));
            }
            Op::Arrive(which) if !self.in_flight.is_empty() => {
                let record = self.in_flight.remove(which.below(self.in_flight.len()));
                self.log.append(record);
            }
            Op::Arrive(_) => {}
            Op::Read(who) => self.read(who.below(CONTROLLERS)),
            Op::Order { who, delay } => self.order(who.below(CONTROLLERS), delay.below(20)),
            Op::Restart(who) => {
                let index = who.below(CONTROLLERS);
                let incarnation = self.controllers[index].incarnation + 1;
                self.controllers[index] = Controller::new(index, incarnation, self.timing);
            }
            Op::Pass(tenths) => self.pass(tenths.below(60) as u64 * 100),
            Op::Round(delay, length) => self.round(*delay, *length),
            Op::Pause(who) => {
                let controller = &mut self.controllers[who.below(CONTROLLERS)];
                controller.paused = !controller.paused;
            }
            Op::Cut(who) => {
                let controller = &mut self.controllers[who.below(CONTROLLERS)];
                controller.cut = !controller.cut;
            }
        }
    }

    fn round(&mut self, delay: Pick, length: Pick) {
        for index in 0..CONTROLLERS {
            if self.controllers[index].paused {
                continue;
            }
            let fate = if self.controllers[index].cut { 3 } else { 0 };
            self.read(index);
            self.step(index, (length.below(4) + index * 3) % 10, fate);
            self.read(index);
            self.step(index, 0, fate);
            self.order(index, (delay.below(20) + index * 7) % 20);
        }
        self.pass(100 + length.below(8) as u64 * 100);
    }

    fn step(&mut self, index: usize, jitter: usize, fate: usize) {
        let now = self.now();
        let controller = &mut self.controllers[index];
        let Action::Append(record) =
            controller
                .leaseholder
                .step(&controller.leases, now, jitter as f64 / 10.0)
        else {
            return;
        };
        match fate {
            // The record is in the log, whether or not the response arrives.
            0 | 1 => self.log.append(record),
            // The record is delayed and may arrive much later.
            2 => self.in_flight.push(record),
            _ => {}
        }
        self.controllers[index].leaseholder.appended(now);
    }

    fn read(&mut self, index: usize) {
        let leases = &mut self.controllers[index].leases;
        while let Some((time, record)) = self.log.read(leases.next()) {
            leases.apply(leases.next(), time, Some(&record));
        }
    }

    fn order(&mut self, index: usize, tenths: usize) {
        let now = self.now();
        if let Some(fence) = self.controllers[index].leaseholder.may_order(now) {
            let delay = tenths as u64 * 100;
            self.orders.push((self.log.now + delay, fence));
        }
    }

    fn pass(&mut self, millis: u64) {
        self.log.now += millis;
        self.orders.sort_by_key(|(time, _)| *time);
        let now = self.log.now;
        let due = self.orders.iter().take_while(|(time, _)| *time <= now);
        let due = due.count();
        let arrived = self.orders.drain(..due);
        self.executed.extend(arrived.map(|(_, fence)| fence));
    }

    /// Whether no order of a previous holder arrived after one of its successor. Engines that
    /// ignore fencing numbers execute every order as it arrives.
    fn invariant_holds(&self) -> bool {
        self.executed.is_sorted()
    }
}

#[expect(
    clippy::needless_pass_by_value,
    reason = "quickcheck passes arguments by value"
)]
fn orders_never_cross(timing: LeaseTiming, ops: Vec<Op>) -> bool {
    let mut world = World::new(timing);
    ops.iter().all(|op| {
        world.act(op);
        world.invariant_holds()
    })
}

/// Guards against an engine that alternates between two weights versions and loses its cache each
/// time, when a holder is paused past its lease before sending an order, appends are delayed, and
/// responses are lost.
#[test]
fn orders_of_two_holders_never_cross() {
    fn property(ops: Vec<Op>) -> bool {
        orders_never_cross(TIMING, ops)
    }
    check(property as fn(Vec<Op>) -> bool);
}

/// Verifies that the property above detects a successor that does not wait for orders in flight, so
/// that an order of the previous holder arrives last.
#[test]
fn a_successor_that_does_not_wait_is_detected() {
    fn property(ops: Vec<Op>) -> bool {
        orders_never_cross(NO_ORDER_WAIT, ops)
    }
    assert!(finds_fault(property as fn(Vec<Op>) -> bool));
}

/// Returns the fencing numbers of the leases in a run without faults other than the death of
/// `dead` after ten seconds.
fn run_without_faults(timing: LeaseTiming, seconds: u64, dead: Option<usize>) -> Vec<Fence> {
    let mut world = World::new(timing);
    for tick in 0..seconds * 10 {
        for index in (0..CONTROLLERS).filter(|i| Some(*i) != dead || tick < 100) {
            world.read(index);
            world.step(index, index * 3, 0);
            world.order(index, 5);
        }
        world.pass(100);
    }
    let mut fences = world.executed.clone();
    fences.dedup();
    assert!(world.invariant_holds());
    fences
}

/// A live holder renews its lease in time, so that its orders keep one fencing number.
#[test]
fn a_live_holder_keeps_its_lease() {
    assert_eq!(run_without_faults(TIMING, 300, None).len(), 1);
}

/// The holder dies ten seconds into the run. Without a successor no engine would receive another
/// order, and a new weights version would never be loaded.
#[test]
fn a_dead_holder_is_succeeded() {
    assert_eq!(run_without_faults(TIMING, 120, Some(0)).len(), 2);
}
