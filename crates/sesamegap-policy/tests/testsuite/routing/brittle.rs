//! Virtual time: an overload of upstreams that fall over when they have to reject too much.

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use sesamegap_policy::routing::brittle::{Brittleness, Gate};
use sesamegap_wire::Moment;
use std::collections::VecDeque;
use std::time::Duration;

/// Requests that an upstream says it runs at the same time.
const SLOTS: u32 = 6;

/// Time of a request, in milliseconds.
const WORK: u64 = 30;

/// Time from a VM to the upstream, in milliseconds.
const DELAY: u64 = 2;

/// How long an upstream that fell over is away, in milliseconds.
const DOWN: u64 = 3_000;

/// Duration of the overload, in milliseconds.
const SPAN: u64 = 20_000;

/// Share of the work of the upstream's room that has to be done in an overload.
const USED: f64 = 0.7;

fn at(ms: u64) -> Moment {
    Moment(1) + Duration::from_millis(ms)
}

/// An upstream with less room than it says: an engine whose memory is full, or a worker that lets none wait.
#[derive(Debug)]
struct Upstream {
    room: usize,
    bound: usize,
    ends: Vec<u64>,
    rejections: VecDeque<u64>,
    down_until: u64,
    falls: usize,
    served: u32,
}

impl Upstream {
    fn new(room: usize, bound: usize) -> Self {
        Self {
            room,
            bound,
            ends: Vec::new(),
            rejections: VecDeque::new(),
            down_until: 0,
            falls: 0,
            served: 0,
        }
    }

    /// Takes a request; false if there is no room, and the upstream may fall over by it.
    fn take(&mut self, now: u64) -> bool {
        self.ends.retain(|end| *end > now);
        if self.ends.len() < self.room {
            self.ends.push(now + WORK);
            self.served += 1;
            return true;
        }
        self.rejections.retain(|at| now - at < 1_000);
        self.rejections.push_back(now);
        if self.rejections.len() > self.bound {
            self.falls += 1;
            self.ends.clear();
            self.rejections.clear();
            self.down_until = now + DOWN;
        }
        false
    }
}

/// Requests on their way: when they arrive or their answer does, and whether they were rejected.
type Ways = Vec<(u64, Option<bool>)>;

/// An overload of one upstream through one VM, with a gate or without.
fn overload(upstream: &mut Upstream, load: f64, gated: bool, heard: u32, seed: u64) {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut gate = Gate::default();
    let mut ways: Ways = Vec::new();
    for now in 0..SPAN {
        let (due, left): (Ways, Ways) = ways.into_iter().partition(|(time, _)| *time <= now);
        ways = left;
        for (_, answer) in due {
            match answer {
                None if upstream.down_until > now => ways.push((now + DELAY, Some(false))),
                None => {
                    let is_taken = upstream.take(now);
                    let back = if is_taken { WORK + DELAY } else { DELAY };
                    ways.push((now + back, Some(!is_taken)));
                }
                Some(is_rejected) => {
                    if is_rejected {
                        gate.record_rejection(at(now));
                    } else {
                        gate.record_accepted();
                    }
                    gate.leave();
                }
            }
        }
        let mut arrivals = load * upstream.room as f64 / WORK as f64;
        while rng.random::<f64>() < arrivals {
            arrivals -= 1.0;
            if !gated || gate.try_pass(SLOTS, heard, at(now)) {
                ways.push((now + DELAY, None));
            }
        }
    }
}

/// An overload makes an upstream reject; without care it falls over as often as it comes back.
#[test]
fn a_gate_keeps_a_brittle_upstream_up_and_at_work() {
    for (room, bound) in [(6, 1), (6, 4), (3, 1), (3, 4), (2, 2)] {
        for load in [0.8, 3.0, 10.0] {
            let mut bare = Upstream::new(room, bound);
            overload(&mut bare, load, false, 0, 5);
            let mut gated = Upstream::new(room, bound);
            overload(&mut gated, load, true, 0, 5);
            let case = format!("room {room}, bound {bound}, load {load}");
            assert!(gated.falls <= 2, "{case}: {} falls", gated.falls);
            if load > 1.0 {
                assert!(
                    bare.falls > 3,
                    "{case}: {} falls without a gate",
                    bare.falls
                );
                let capacity = (room as u64 * SPAN / WORK) as f64;
                let used = f64::from(gated.served) / capacity;
                assert!(used > USED, "{case}: {used:.2} of the room used");
            }
        }
    }
}

/// The VM that passed the requests stopped. Its successor knows of none, and would fill an upstream that is full.
#[test]
fn a_vm_that_takes_over_counts_what_it_hears_of() {
    let mut gate = Gate::default();
    assert!(!gate.try_pass(SLOTS, SLOTS, at(5_000)));
    assert!(gate.try_pass(SLOTS, SLOTS - 1, at(5_000)));
    assert!(!gate.try_pass(SLOTS, SLOTS, at(5_500)));
    assert!(gate.try_pass(SLOTS, 0, at(5_900)));
    let own_count_holds = gate.try_pass(SLOTS, SLOTS, at(6_100));
    assert!(own_count_holds);
}

/// A worker falls silent for a second. Callers give up and others come; when it goes on, it would find them all at once.
#[test]
fn requests_given_up_at_a_silent_upstream_keep_their_places() {
    let mut gate = Gate::default();
    let passes = |gate: &mut Gate, now| gate.try_pass(SLOTS, 0, at(now));
    let mut taken = 0;
    for now in (5_000..6_000).step_by(100) {
        while passes(&mut gate, now) {
            taken += 1;
            gate.record_accepted();
        }
        for _ in 0..SLOTS {
            gate.leave_unanswered(Duration::from_millis(now - 4_000), at(now));
        }
    }
    assert_eq!(taken, SLOTS);
    assert!(passes(&mut gate, 8_000));
    gate.leave_unanswered(Duration::from_millis(20), at(8_000));
    let filled = (0..SLOTS).filter(|_| passes(&mut gate, 8_000)).count();
    assert_eq!(filled, SLOTS as usize, "a cancelled request has left");
}

#[test]
fn a_service_counts_as_brittle_while_its_answers_say_so() {
    let said = Brittleness {
        bound: 4,
        said_at: at(0),
    };
    assert!(said.is_current(at(4_900)));
    assert!(!said.is_current(at(5_100)));
}
