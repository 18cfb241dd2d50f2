//! The queue against a sorted list that is searched from end to end each time.

mod oracle;

use crate::support::{at, cases, millis, request, work};
use oracle::{Flaw, Line, List, Real};
use quickcheck::{Arbitrary, Gen};
use sesamegap_policy::load::queue::{MAX_TRIES_WITHOUT_ROOM, QueuedRequest, Rank};

/// What may happen to a queue.
#[derive(Debug, Clone)]
enum Step {
    /// A request comes: team, priority, time to its deadline, long or not.
    Push(u8, u8, u8, bool),
    /// A caller is gone.
    Cancel(u8),
    /// Engines have room for so many requests.
    Serve(u8),
    /// Time passes.
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
        hopeless: deadline,
        weight,
        cost: tokens * 8,
        seq: 0,
        work: work(seq, name, "check", tokens, at(now)),
    }
}

/// Runs the same steps on both; says where they part.
fn differ(seed: u64, real: &mut dyn Line) -> Option<String> {
    let mut gen_ = Gen::from_size_and_seed(120, seed);
    let mut list = List::default();
    let mut now = 0;
    for (n, step) in Vec::<Step>::arbitrary(&mut gen_).into_iter().enumerate() {
        let (left, right) = match step {
            Step::Push(team, priority, patience, long) => {
                let item = item(n as u64, (team, priority, patience, long), now);
                real.push(item.clone());
                list.push(item);
                continue;
            }
            Step::Cancel(which) => {
                let gone = request(u64::from(which));
                (real.cancel(&gone), list.cancel(&gone))
            }
            Step::Serve(room) => (real.serve(room), list.serve(room)),
            Step::Pass(time) => {
                now += u64::from(time);
                (real.expire(at(now)), list.expire(at(now)))
            }
        };
        if left != right {
            return Some(format!(
                "seed {seed}, step {n} {step:?}: {left:?}, list {right:?}"
            ));
        }
    }
    let (left, right) = (real.serve(u8::MAX), list.serve(u8::MAX));
    (left != right).then(|| format!("seed {seed}, at the end: {left:?}, list {right:?}"))
}

/// The queue keeps sums, places and rings in step; if one fell out, a request would be served
/// in the wrong order, twice, or never, and its caller would wait for ever.
#[test]
fn serves_as_a_sorted_list_does() {
    for seed in 0..cases(200) {
        assert_eq!(differ(seed, &mut Real::default()), None);
    }
}

/// Each flaw is a queue that forgets one rule. If the list agreed with one, the test above could
/// not fail.
#[test]
fn the_list_catches_each_flaw() {
    for flaw in Flaw::ALL {
        let caught = (0..100).any(|seed| differ(seed, &mut Real::with(flaw)).is_some());
        assert!(caught, "{flaw:?} went unnoticed");
    }
}

/// Thousands wait and no engine has room. Each poll that looked at all of them would cost the
/// decider milliseconds, and the more there is to do the less would get done.
#[test]
fn a_poll_without_room_tries_a_few() {
    let mut real = Real::default();
    for seq in 0..8_000 {
        real.push(item(seq, (seq.to_le_bytes()[0], 1, 200, false), 0));
    }
    assert_eq!(real.tries(), MAX_TRIES_WITHOUT_ROOM as usize);
    assert_eq!(real.tries(), 0, "tried again without a sign of room");
    real.queue.notify_room();
    assert_eq!(real.tries(), MAX_TRIES_WITHOUT_ROOM as usize);
}

/// The queue is full of a heavy team's work. A light team's request pushes out the heavy one's
/// latest; one more of the heavy team's is refused itself.
#[test]
fn newcomers_push_out_the_heaviest() {
    let mut real = Real::default();
    for seq in 0..100 {
        real.push(item(seq, (0, 1, 200, false), 0));
    }
    let full = real.queue.tokens(&"check".parse().expect("valid"));
    let heavy = item(200, (0, 1, 100, false), 0);
    assert_eq!(real.queue.make_room(&heavy, full), None);
    assert_eq!(real.queue.len(), 100);
    let light = item(201, (1, 1, 100, false), 0);
    let victims = real.queue.make_room(&light, full).expect("room");
    assert!(
        victims
            .iter()
            .all(|victim| victim.work.team.as_str() == "a")
    );
    assert_eq!(
        victims.first().map(|victim| victim.work.request.seq),
        Some(99)
    );
    assert_eq!(real.queue.len(), 100 - victims.len());
}
