//! Compares the queue with a reference implementation that searches a plain list each time.

mod reference;

use crate::support::{at, cases, millis, request, work};
use quickcheck::{Arbitrary, Gen};
use reference::{Defect, QueueModel, QueueUnderTest, ReferenceQueue};
use sesamegap_policy::load::queue::{MAX_TRIES_WITHOUT_ROOM, QueuedRequest, Rank};

/// An operation on a queue.
#[derive(Debug, Clone)]
enum Step {
    /// Pushes a request: team, priority, time to its deadline, whether it is long.
    Push(u8, u8, u8, bool),
    /// Cancels a request.
    Cancel(u8),
    /// Serves up to this many requests.
    Serve(u8),
    /// Advances the time.
    Pass(u8),
}

impl Arbitrary for Step {
    fn arbitrary(g: &mut Gen) -> Self {
        let (a, b) = (u8::arbitrary(g), u8::arbitrary(g));
        match u8::arbitrary(g) % 8 {
            0..=3 => Self::Push(a, b, u8::arbitrary(g), a.is_multiple_of(16)),
            4 => Self::Cancel(a),
            5 | 6 => Self::Serve(a % 8),
            _ => Self::Pass(a),
        }
    }
}

const TEAMS: [(&str, f64); 4] = [("a", 1.0), ("b", 2.0), ("c", 0.5), ("d", 1.0)];

fn item(seq: u64, step: (u8, u8, u8, bool), now: u64) -> QueuedRequest {
    let (team, priority, patience, long) = step;
    let (name, weight) = TEAMS[usize::from(team) % TEAMS.len()];
    let tokens = if long {
        30_000
    } else {
        1_000 + u64::from(team) * 16
    };
    let deadline = at(now) + millis(100 + u64::from(patience) * 40);
    QueuedRequest {
        rank: Rank::new(priority.is_multiple_of(7), priority % 3),
        deadline,
        expires_at: deadline,
        weight,
        cost: tokens * 8,
        seq: 0,
        work: work(seq, name, "check", tokens, at(now)),
    }
}

/// Runs the same steps on the given queue and the reference; returns the first difference.
fn find_difference(seed: u64, queue: &mut dyn QueueModel) -> Option<String> {
    let mut gen_ = Gen::from_size_and_seed(120, seed);
    let mut reference = ReferenceQueue::default();
    let mut now = 0;
    for (n, step) in Vec::<Step>::arbitrary(&mut gen_).into_iter().enumerate() {
        let (left, right) = match step {
            Step::Push(team, priority, patience, long) => {
                let item = item(n as u64, (team, priority, patience, long), now);
                queue.push(item.clone());
                reference.push(item);
                continue;
            }
            Step::Cancel(which) => {
                let gone = request(u64::from(which));
                (queue.cancel(&gone), reference.cancel(&gone))
            }
            Step::Serve(room) => (queue.serve(room), reference.serve(room)),
            Step::Pass(time) => {
                now += u64::from(time);
                (queue.expire(at(now)), reference.expire(at(now)))
            }
        };
        if left != right {
            return Some(format!(
                "seed {seed}, step {n} {step:?}: {left:?}, reference {right:?}"
            ));
        }
    }
    let (left, right) = (queue.serve(u8::MAX), reference.serve(u8::MAX));
    (left != right).then(|| format!("seed {seed}, at the end: {left:?}, reference {right:?}"))
}

/// Guards against sums, positions and rings of the queue that get out of sync: a request would be
/// served out of order, twice, or never, and its caller would wait forever.
#[test]
fn agrees_with_the_reference_queue() {
    for seed in 0..cases(200) {
        assert_eq!(find_difference(seed, &mut QueueUnderTest::default()), None);
    }
}

/// Each defect is a queue that violates one rule. If the reference didn't detect it, the test above
/// couldn't fail for that rule.
#[test]
fn the_reference_queue_detects_each_defect() {
    for defect in Defect::ALL {
        let caught = (0..100)
            .any(|seed| find_difference(seed, &mut QueueUnderTest::with_defect(defect)).is_some());
        assert!(caught, "{defect:?} was not detected");
    }
}

/// With thousands of requests queued and no room, a poll that looked at each of them would cost the
/// decider milliseconds and lower its throughput as load grows.
#[test]
fn a_poll_without_room_tries_a_few() {
    let mut queue = QueueUnderTest::default();
    for seq in 0..8_000 {
        queue.push(item(seq, (seq.to_le_bytes()[0], 1, 200, false), 0));
    }
    assert_eq!(queue.tries(), MAX_TRIES_WITHOUT_ROOM as usize);
    assert_eq!(queue.tries(), 0, "tried again without notify_room");
    queue.queue.notify_room();
    assert_eq!(queue.tries(), MAX_TRIES_WITHOUT_ROOM as usize);
}

/// The queue is full of requests of a heavy team. A request of a light team evicts the heavy team's
/// requests with the latest deadlines; another request of the heavy team doesn't fit.
#[test]
fn new_requests_evict_the_heaviest_team() {
    let mut queue = QueueUnderTest::default();
    for seq in 0..100 {
        queue.push(item(seq, (0, 1, 200, false), 0));
    }
    let full = queue.queue.tokens(&"check".parse().expect("valid"));
    let heavy = item(200, (0, 1, 100, false), 0);
    assert_eq!(queue.queue.make_room(&heavy, full), None);
    assert_eq!(queue.queue.len(), 100);
    let light = item(201, (1, 1, 100, false), 0);
    let victims = queue.queue.make_room(&light, full).expect("room");
    assert!(
        victims
            .iter()
            .all(|victim| victim.work.team.as_str() == "a")
    );
    assert_eq!(
        victims.first().map(|victim| victim.work.request.seq),
        Some(99)
    );
    assert_eq!(queue.queue.len(), 100 - victims.len());
}
