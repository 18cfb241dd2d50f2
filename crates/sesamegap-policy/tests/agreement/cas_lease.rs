use quickcheck::{Arbitrary, quickcheck};
use sesamegap_policy::agreement::Holder;
use sesamegap_policy::agreement::cas_lease::{CasLease, Claim, LeaseTiming, Step};
use sesamegap_wire::{Fence, Incarnation, LogPosition, Moment, Offset, Timeline};
use std::time::Duration;

const TERMS: LeaseTiming = LeaseTiming {
    term: Duration::from_millis(1_500),
    handover_delay: Duration::from_secs(3),
};

fn holder(no: usize) -> Holder {
    Holder {
        vm: format!("vm-{no}").parse().expect("a name"),
        incarnation: Incarnation(1),
    }
}

fn at(ms: u64) -> Moment {
    Moment(ms * 1_000)
}

/// The log, and processes that read it and append to it.
struct World {
    log: Vec<Claim>,
    timeline: Timeline,
    /// Whether processes are told of the timeline, and not of offsets alone.
    told: bool,
    /// Appends of former timelines that may still be done.
    late: Vec<(Claim, Offset)>,
    leases: Vec<CasLease>,
    /// Orders as (time, process, fence).
    orders: Vec<(u64, usize, Fence)>,
}

/// What happens to a process's append.
#[derive(Clone, Copy, PartialEq)]
enum Fate {
    Answered,
    LostAnswer,
    LostCall,
}

impl World {
    fn new(count: usize, terms: LeaseTiming) -> Self {
        Self {
            log: Vec::new(),
            timeline: Timeline::default(),
            told: true,
            late: Vec::new(),
            leases: (0..count)
                .map(|no| CasLease::new(holder(no), terms))
                .collect(),
            orders: Vec::new(),
        }
    }

    /// The log comes back from a copy that lacks so many of its newest records.
    fn restore(&mut self, lost: usize) {
        self.timeline = Timeline(self.timeline.0 + 1);
        let kept = self.log.len().saturating_sub(lost);
        self.log.truncate(kept);
    }

    /// Does the oldest append that is still under way, if the log ends where it must.
    fn land(&mut self) {
        if self.late.is_empty() {
            return;
        }
        let (claim, at) = self.late.remove(0);
        if at.0 == self.log.len() as u64 {
            self.log.push(claim);
        }
    }

    /// A process is replaced by a new one on its VM.
    fn restart(&mut self, no: usize, terms: LeaseTiming) {
        let incarnation = Incarnation(self.orders.len() as u64 + 100);
        let again = Holder {
            incarnation,
            ..holder(no)
        };
        self.leases[no] = CasLease::new(again, terms);
    }

    fn step(&mut self, no: usize, now: u64, fate: Fate) {
        let timeline = if self.told {
            self.timeline
        } else {
            Timeline(0)
        };
        let end = LogPosition::new(timeline, Offset(self.log.len() as u64));
        let lease = &mut self.leases[no];
        match lease.step(at(now)) {
            // Offsets of a former timeline mean nothing: the answer to a read only tells of the newer one.
            Step::Read(from) if from.timeline < timeline => lease.enter_timeline(timeline, at(now)),
            Step::Read(from) => {
                let from = usize::try_from(from.offset.0).expect("small");
                let seen = self.log.get(from..).unwrap_or_default();
                lease.observe(seen, end, at(now));
            }
            Step::Append(claim, place) => {
                if place.timeline < timeline {
                    lease.enter_timeline(timeline, at(now));
                    return;
                }
                if fate == Fate::LostCall {
                    self.late.push((claim.clone(), place.offset));
                }
                let taken = place == end && fate != Fate::LostCall;
                if taken {
                    self.log.push(claim.clone());
                }
                if taken && fate == Fate::Answered {
                    lease.appended(claim, place, at(now));
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

    /// Whether two processes ordered within the rest of each other, or under one number.
    fn overlaps(&self) -> Option<String> {
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

/// Two VMs see new weights at the same moment. Both would order the same engines.
#[test]
fn only_one_of_two_claims_succeeds() {
    let mut world = World::new(2, TERMS);
    for no in [0, 1] {
        world.step(no, 0, Fate::Answered);
    }
    for no in [0, 1] {
        world.step(no, 1, Fate::Answered);
    }
    let held: Vec<bool> = world
        .leases
        .iter()
        .map(|l| l.may_order(at(2)).is_some())
        .collect();
    assert_eq!(held, [true, false]);
}

/// A holder is suspended in the middle of a roll and wakes after another has taken over. An order
/// of it would undo the other's on engines that check nothing.
#[test]
fn a_holder_that_slept_may_not_order() {
    let mut world = World::new(2, TERMS);
    world.step(0, 0, Fate::Answered);
    world.step(0, 1, Fate::Answered);
    assert!(world.leases[0].may_order(at(100)).is_some());
    assert!(world.leases[0].may_order(at(1_600)).is_none());
}

/// All VMs lose power in the middle of a roll and start again. The holder's VM waited four and a half seconds for the
/// lease of its own former process, which was surely over, and engines whose weights were too old served
/// nobody for as long. Another VM still has to wait.
#[test]
fn a_vm_that_starts_again_does_not_wait_for_itself() {
    let mut world = World::new(2, TERMS);
    world.step(0, 0, Fate::Answered);
    world.step(0, 1, Fate::Answered);
    let former = world.leases[0].may_order(at(2));
    assert!(former.is_some());
    let again = Holder {
        incarnation: Incarnation(77),
        ..holder(0)
    };
    world.leases[0] = CasLease::new(again, TERMS);
    for no in [1, 1, 0, 0] {
        world.step(no, 100, Fate::Answered);
    }
    let fence = world.leases[0].may_order(at(101));
    assert!(fence > former, "{fence:?} after {former:?}");
    assert_eq!(world.leases[1].may_order(at(101)), None);
}

/// The answer to a renewal is lost although the record lies in the log.
#[test]
fn a_lost_answer_costs_a_read_and_no_overlap() {
    let mut world = World::new(1, TERMS);
    world.step(0, 0, Fate::Answered);
    world.step(0, 1, Fate::Answered);
    world.step(0, 900, Fate::LostAnswer);
    assert!(world.leases[0].may_order(at(901)).is_none());
    world.step(0, 902, Fate::Answered);
    world.step(0, 903, Fate::Answered);
    assert!(world.leases[0].may_order(at(904)).is_some());
}

/// Runs random schedules; processes pause for as long as they like.
fn run(steps: &[(u8, u16, u8)]) -> World {
    let mut world = World::new(3, TERMS);
    let mut now = 0;
    for (no, pause, fate) in steps {
        now += u64::from(*pause) % 1_200;
        let fate = match fate % 6 {
            0 => Fate::LostAnswer,
            1 => Fate::LostCall,
            _ => Fate::Answered,
        };
        world.step(usize::from(*no) % 3, now, fate);
    }
    world
}

quickcheck! {
    fn orders_of_two_holders_never_come_close(steps: Vec<(u8, u16, u8)>) -> bool {
        run(&steps).overlaps().is_none()
    }

    fn fencing_numbers_rise(steps: Vec<(u8, u16, u8)>) -> bool {
        let world = run(&steps);
        world.orders.windows(2).all(|pair| pair[0].2 <= pair[1].2)
    }
}

/// The judge above must notice a lease without a rest, or it would prove nothing.
#[test]
fn the_judge_sees_holders_that_come_close() {
    let mut world = World::new(2, TERMS);
    world.orders = vec![(1_000, 0, Fence(1)), (2_000, 1, Fence(4))];
    assert!(world.overlaps().is_some());
    world.orders = vec![(1_000, 0, Fence(1)), (9_000, 1, Fence(1))];
    assert!(world.overlaps().is_some());
}

/// A lease whose holders do not rest between each other, planted to see that the schedules above
/// would find it.
#[test]
fn a_lease_without_a_rest_is_caught() {
    let hasty = LeaseTiming {
        handover_delay: Duration::ZERO,
        ..TERMS
    };
    let mut world = World::new(2, hasty);
    for now in [0, 1, 2, 400] {
        world.step(0, now, Fate::Answered);
    }
    world.step(1, 450, Fate::Answered);
    for now in [2_000, 2_001, 2_002, 2_003] {
        world.step(1, now, Fate::Answered);
    }
    assert!(world.overlaps().is_some(), "{:?}", world.orders);
}

/// Runs schedules in which the log is restored, processes restart, and lost appends are done late.
fn run_restored(steps: &[(u8, u16, u8)], told: bool) -> World {
    let mut world = World::new(3, TERMS);
    world.told = told;
    world.timeline = Timeline(1);
    let mut now = 0;
    for (no, pause, fate) in steps {
        now += u64::from(*pause) % 900;
        let process = usize::from(*no) % 3;
        match fate % 16 {
            0 => world.restore(usize::from(*no) % 4),
            1 => world.land(),
            2 => {
                world.restart(process, TERMS);
                world.step(process, now, Fate::Answered);
            }
            3 => world.step(process, now, Fate::LostAnswer),
            4 | 5 => world.step(process, now, Fate::LostCall),
            _ => world.step(process, now, Fate::Answered),
        }
    }
    world
}

fn holds(world: &World) -> bool {
    let rising = world.orders.windows(2).all(|pair| pair[0].2 <= pair[1].2);
    rising && world.overlaps().is_none()
}

quickcheck! {
    /// Guards against two holders, and against fencing numbers that fall, across restorations.
    fn orders_stay_apart_and_numbers_rise_across_restorations(steps: Vec<(u8, u16, u8)>) -> bool {
        holds(&run_restored(&steps, true))
    }
}

/// Guards against a judge that would let a lease on offsets alone pass.
#[test]
fn a_lease_on_offsets_alone_is_caught() {
    let mut rng = quickcheck::Gen::new(120);
    let caught = (0..4_000).any(|_| {
        let steps = Vec::<(u8, u16, u8)>::arbitrary(&mut rng);
        !holds(&run_restored(&steps, false))
    });
    assert!(caught);
}

/// Guards against a roll that stands still for seconds because its holder's claim was lost with the copy.
#[test]
fn a_holder_whose_term_runs_claims_anew_at_once() {
    let mut world = World::new(2, TERMS);
    for now in [0, 1, 2] {
        world.step(0, now, Fate::Answered);
    }
    let before = world.leases[0].may_order(at(3));
    world.restore(1);
    world.leases[0].enter_timeline(world.timeline, at(100));
    assert_eq!(world.leases[0].may_order(at(100)), None);
    for now in [101, 102] {
        world.step(0, now, Fate::Answered);
    }
    let after = world.leases[0].may_order(at(103));
    assert!(after > before, "{after:?} after {before:?}");
    for now in [104, 105] {
        world.step(1, now, Fate::Answered);
    }
    assert_eq!(world.leases[1].may_order(at(106)), None);
}

quickcheck! {
    /// Guards against a VM of the release before that cannot read claims and takes a lease that is held.
    fn claims_keep_their_written_form(timeline: u16, offset: u16, takes: bool) -> bool {
        let timeline = Timeline(u64::from(timeline));
        let fence = Fence((timeline.0 << 32) + u64::from(offset) + 1);
        let claim = Claim {
            holder: holder(1),
            renews: (!takes).then_some(fence),
            timeline,
        };
        let bytes = rmp_serde::to_vec(&claim).expect("a claim");
        let before: (Holder, Option<Fence>) = rmp_serde::from_slice(&bytes).expect("two fields");
        let again: Claim = rmp_serde::from_slice(&bytes).expect("a claim");
        before.0 == claim.holder && again == claim
    }
}
