use quickcheck::{Arbitrary, quickcheck};
use sesamegap_policy::agreement::ProcessId;
use sesamegap_policy::agreement::cas_lease::{CasLease, Claim, LeaseTiming, Step};
use sesamegap_wire::{Fence, Incarnation, LogPosition, Moment, Offset, Timeline};
use std::time::Duration;

const TIMING: LeaseTiming = LeaseTiming {
    term: Duration::from_millis(1_500),
    handover_delay: Duration::from_secs(3),
};

fn holder(no: usize) -> ProcessId {
    ProcessId {
        vm: format!("vm-{no}").parse().expect("a name"),
        incarnation: Incarnation(1),
    }
}

fn at(ms: u64) -> Moment {
    Moment(ms * 1_000)
}

/// A simulated log and the processes that read it and append to it.
struct World {
    log: Vec<Claim>,
    timeline: Timeline,
    /// Whether the log reports its timeline in addition to offsets.
    reports_timeline: bool,
    /// Delayed appends that may still arrive, also after a restore.
    in_flight: Vec<(Claim, Offset)>,
    leases: Vec<CasLease>,
    /// Orders as (time, process, fence).
    orders: Vec<(u64, usize, Fence)>,
}

/// Result of a process's append.
#[derive(Clone, Copy, PartialEq)]
enum Fate {
    Appended,
    ResponseLost,
    /// The request is lost or delayed.
    RequestLost,
}

impl World {
    fn new(count: usize, timing: LeaseTiming) -> Self {
        Self {
            log: Vec::new(),
            timeline: Timeline::default(),
            reports_timeline: true,
            in_flight: Vec::new(),
            leases: (0..count)
                .map(|no| CasLease::new(holder(no), timing))
                .collect(),
            orders: Vec::new(),
        }
    }

    /// Restores the log from a backup that lacks the newest `lost` records.
    fn restore(&mut self, lost: usize) {
        self.timeline = Timeline(self.timeline.0 + 1);
        let kept = self.log.len().saturating_sub(lost);
        self.log.truncate(kept);
    }

    /// Delivers the oldest delayed append, which succeeds if its condition on the log's end holds.
    fn deliver(&mut self) {
        if self.in_flight.is_empty() {
            return;
        }
        let (claim, at) = self.in_flight.remove(0);
        if at.0 == self.log.len() as u64 {
            self.log.push(claim);
        }
    }

    /// Replaces a process by a new one on the same VM.
    fn restart(&mut self, no: usize, timing: LeaseTiming) {
        let incarnation = Incarnation(self.orders.len() as u64 + 100);
        let restarted = ProcessId {
            incarnation,
            ..holder(no)
        };
        self.leases[no] = CasLease::new(restarted, timing);
    }

    fn step(&mut self, no: usize, now: u64, fate: Fate) {
        let timeline = if self.reports_timeline {
            self.timeline
        } else {
            Timeline(0)
        };
        let end = LogPosition::new(timeline, Offset(self.log.len() as u64));
        let lease = &mut self.leases[no];
        match lease.step(at(now)) {
            // Offsets of an earlier timeline are meaningless: such a read returns only the newer timeline.
            Step::Read(from) if from.timeline < timeline => lease.enter_timeline(timeline, at(now)),
            Step::Read(from) => {
                let from = usize::try_from(from.offset.0).expect("small");
                let seen = self.log.get(from..).unwrap_or_default();
                lease.observe(seen, end, at(now));
            }
            Step::Append(claim, position) => {
                if position.timeline < timeline {
                    lease.enter_timeline(timeline, at(now));
                    return;
                }
                if fate == Fate::RequestLost {
                    self.in_flight.push((claim.clone(), position.offset));
                }
                let accepted = position == end && fate != Fate::RequestLost;
                if accepted {
                    self.log.push(claim.clone());
                }
                if accepted && fate == Fate::Appended {
                    lease.appended(claim, position, at(now));
                } else {
                    lease.invalidate();
                }
            }
            Step::Wait(_) => lease.require_read(),
            Step::Hold => {
                if let Some(fence) = lease.may_order(at(now)) {
                    self.orders.push((now, no, fence));
                }
            }
        }
    }

    /// Describes two processes that gave orders within the handover delay of each other, or under
    /// the same fencing number.
    fn find_overlap(&self) -> Option<String> {
        for (time, no, fence) in &self.orders {
            for (other_time, other, other_fence) in &self.orders {
                let close = time.abs_diff(*other_time) < 3_000;
                if no != other && (close || fence == other_fence) {
                    return Some(format!("{no} at {time} and {other} at {other_time}"));
                }
            }
        }
        None
    }
}

/// Two VMs see new weights at the same moment. If both held the lease, both would give orders to
/// the same engines.
#[test]
fn only_one_of_two_claims_succeeds() {
    let mut world = World::new(2, TIMING);
    for no in [0, 1] {
        world.step(no, 0, Fate::Appended);
    }
    for no in [0, 1] {
        world.step(no, 1, Fate::Appended);
    }
    let held: Vec<bool> = world
        .leases
        .iter()
        .map(|l| l.may_order(at(2)).is_some())
        .collect();
    assert_eq!(held, [true, false]);
}

/// A holder is suspended in the middle of a rollout and resumes after another process has taken
/// over. Its order would undo the other's on engines that do not check fencing numbers.
#[test]
fn a_holder_that_was_suspended_may_not_order() {
    let mut world = World::new(2, TIMING);
    world.step(0, 0, Fate::Appended);
    world.step(0, 1, Fate::Appended);
    assert!(world.leases[0].may_order(at(100)).is_some());
    assert!(world.leases[0].may_order(at(1_600)).is_none());
}

/// All VMs restart in the middle of a rollout. Guards against the holder's VM waiting 4.5 seconds for the lease of
/// its own previous process, which has certainly ended, while engines whose weights are too old serve nothing.
/// Another VM still has to wait.
#[test]
fn a_restarted_vm_does_not_wait_for_its_own_lease() {
    let mut world = World::new(2, TIMING);
    world.step(0, 0, Fate::Appended);
    world.step(0, 1, Fate::Appended);
    let before = world.leases[0].may_order(at(2));
    assert!(before.is_some());
    let restarted = ProcessId {
        incarnation: Incarnation(77),
        ..holder(0)
    };
    world.leases[0] = CasLease::new(restarted, TIMING);
    for no in [1, 1, 0, 0] {
        world.step(no, 100, Fate::Appended);
    }
    let fence = world.leases[0].may_order(at(101));
    assert!(fence > before, "{fence:?} after {before:?}");
    assert_eq!(world.leases[1].may_order(at(101)), None);
}

/// The response to a renewal is lost although the record is in the log.
#[test]
fn a_lost_response_requires_a_read() {
    let mut world = World::new(1, TIMING);
    world.step(0, 0, Fate::Appended);
    world.step(0, 1, Fate::Appended);
    world.step(0, 900, Fate::ResponseLost);
    assert!(world.leases[0].may_order(at(901)).is_none());
    world.step(0, 902, Fate::Appended);
    world.step(0, 903, Fate::Appended);
    assert!(world.leases[0].may_order(at(904)).is_some());
}

/// Runs a schedule of steps with arbitrary pauses.
fn run(steps: &[(u8, u16, u8)]) -> World {
    let mut world = World::new(3, TIMING);
    let mut now = 0;
    for (no, pause, fate) in steps {
        now += u64::from(*pause) % 1_200;
        let fate = match fate % 6 {
            0 => Fate::ResponseLost,
            1 => Fate::RequestLost,
            _ => Fate::Appended,
        };
        world.step(usize::from(*no) % 3, now, fate);
    }
    world
}

quickcheck! {
    fn orders_of_two_holders_never_overlap(steps: Vec<(u8, u16, u8)>) -> bool {
        run(&steps).find_overlap().is_none()
    }

    fn fencing_numbers_never_decrease(steps: Vec<(u8, u16, u8)>) -> bool {
        let world = run(&steps);
        world.orders.windows(2).all(|pair| pair[0].2 <= pair[1].2)
    }
}

/// Verifies that the check detects holders that order too close to each other or under one number.
#[test]
fn the_check_detects_overlapping_holders() {
    let mut world = World::new(2, TIMING);
    world.orders = vec![(1_000, 0, Fence(1)), (2_000, 1, Fence(4))];
    assert!(world.find_overlap().is_some());
    world.orders = vec![(1_000, 0, Fence(1)), (9_000, 1, Fence(1))];
    assert!(world.find_overlap().is_some());
}

/// Verifies that the check detects a lease without a handover delay.
#[test]
fn a_lease_without_a_handover_delay_is_detected() {
    let no_delay = LeaseTiming {
        handover_delay: Duration::ZERO,
        ..TIMING
    };
    let mut world = World::new(2, no_delay);
    for now in [0, 1, 2, 400] {
        world.step(0, now, Fate::Appended);
    }
    world.step(1, 450, Fate::Appended);
    for now in [2_000, 2_001, 2_002, 2_003] {
        world.step(1, now, Fate::Appended);
    }
    assert!(world.find_overlap().is_some(), "{:?}", world.orders);
}

/// Runs a schedule in which the log is restored, processes restart, and lost appends arrive late.
fn run_with_restores(steps: &[(u8, u16, u8)], reports_timeline: bool) -> World {
    let mut world = World::new(3, TIMING);
    world.reports_timeline = reports_timeline;
    world.timeline = Timeline(1);
    let mut now = 0;
    for (no, pause, fate) in steps {
        now += u64::from(*pause) % 900;
        let process = usize::from(*no) % 3;
        match fate % 16 {
            0 => world.restore(usize::from(*no) % 4),
            1 => world.deliver(),
            2 => {
                world.restart(process, TIMING);
                world.step(process, now, Fate::Appended);
            }
            3 => world.step(process, now, Fate::ResponseLost),
            4 | 5 => world.step(process, now, Fate::RequestLost),
            _ => world.step(process, now, Fate::Appended),
        }
    }
    world
}

fn invariants_hold(world: &World) -> bool {
    let monotonic = world.orders.windows(2).all(|pair| pair[0].2 <= pair[1].2);
    monotonic && world.find_overlap().is_none()
}

quickcheck! {
    /// Guards against two simultaneous holders and decreasing fencing numbers when the log is restored.
    fn orders_stay_apart_and_numbers_never_decrease_across_restores(steps: Vec<(u8, u16, u8)>) -> bool {
        invariants_hold(&run_with_restores(&steps, true))
    }
}

/// Verifies that the property above detects a lease that relies on offsets alone.
#[test]
fn a_lease_on_offsets_alone_is_detected() {
    let mut rng = quickcheck::Gen::new(120);
    let caught = (0..4_000).any(|_| {
        let steps = Vec::<(u8, u16, u8)>::arbitrary(&mut rng);
        !invariants_hold(&run_with_restores(&steps, false))
    });
    assert!(caught);
}

/// Guards against a rollout that stalls for seconds because a restore lost the holder's claim.
#[test]
fn a_holder_within_its_term_claims_again_at_once() {
    let mut world = World::new(2, TIMING);
    for now in [0, 1, 2] {
        world.step(0, now, Fate::Appended);
    }
    let before = world.leases[0].may_order(at(3));
    world.restore(1);
    world.leases[0].enter_timeline(world.timeline, at(100));
    assert_eq!(world.leases[0].may_order(at(100)), None);
    for now in [101, 102] {
        world.step(0, now, Fate::Appended);
    }
    let after = world.leases[0].may_order(at(103));
    assert!(after > before, "{after:?} after {before:?}");
    for now in [104, 105] {
        world.step(1, now, Fate::Appended);
    }
    assert_eq!(world.leases[1].may_order(at(106)), None);
}

quickcheck! {
    /// Guards against a VM of the previous release that cannot read claims and acquires a held lease.
    fn claims_keep_their_serialized_form(timeline: u16, offset: u16, acquires: bool) -> bool {
        let timeline = Timeline(u64::from(timeline));
        let fence = Fence((timeline.0 << 32) + u64::from(offset) + 1);
        let claim = Claim {
            holder: holder(1),
            renews: (!acquires).then_some(fence),
            timeline,
        };
        let bytes = rmp_serde::to_vec(&claim).expect("a claim");
        let previous: (ProcessId, Option<Fence>) = rmp_serde::from_slice(&bytes).expect("two fields");
        let decoded: Claim = rmp_serde::from_slice(&bytes).expect("a claim");
        previous.0 == claim.holder && decoded == claim
    }
}
