//! Return times of prompts that the owner of a shard refuses, in replays of virtual time.

use crate::support::{at, cases, millis};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use sesamegap_policy::load::limits::{Jitter, Refused, RequestHash, ReturnSchedule, ReturnTime};
use sesamegap_policy::load::queue::Rank;
use sesamegap_wire::Moment;
use std::collections::BTreeMap;
use std::time::Duration;

/// Time that the shard's engines need for each prompt: 200 prompts a second.
const WORK: Duration = Duration::from_millis(5);

/// Slots of 100 ms: half the rate, and a slot begun at each edge.
const PER_100_MS: usize = 10 + 2;

/// Backlog above which the replayed owner refuses.
const BACKLOG: Duration = Duration::from_millis(500);

/// When the replayed burst ends, six seconds after `at(0)`.
const BURST_END: Moment = Moment(7_000_000);

const BACKGROUND: u8 = 1;
const URGENT: u8 = 9;

fn refused(request: u64, priority: u8, earliest: Duration) -> Refused {
    Refused {
        request: RequestHash(request),
        rank: Rank::new(false, priority),
        earliest,
        work: WORK,
        patience: Duration::from_mins(1),
    }
}

fn reserve(schedule: &mut ReturnSchedule, refused: &Refused, now: Moment) -> Option<Moment> {
    let jitter = Jitter::of_hash(refused.request.0);
    match schedule.reserve(refused, now, jitter) {
        ReturnTime::Slot(wait) => Some(now + wait),
        ReturnTime::Late { .. } => None,
    }
}

fn most_within(times: &[Moment], window: Duration) -> usize {
    let mut sorted = times.to_vec();
    sorted.sort();
    let ends = sorted.iter().map(|from| {
        let end = sorted.partition_point(|time| *time < *from + window);
        end - sorted.partition_point(|time| time < from)
    });
    ends.max().unwrap_or(0)
}

/// What callers of a replay met.
#[derive(Debug, Default)]
struct Replay {
    returns: Vec<Moment>,
    late: usize,
    refused_again: usize,
    refused_after_burst: usize,
}

/// Three times the engines' rate for six seconds, then half the rate; callers obey. `tell` gives a
/// refused caller's return.
fn replay(mut tell: impl FnMut(&Refused, Moment) -> Option<Moment>) -> Replay {
    let mut replay = Replay::default();
    let mut due: BTreeMap<(Moment, u64), bool> = BTreeMap::new();
    let first = (0..3_600).map(|no| (no, no * 5 / 3));
    let later = (0..4_000).map(|no| (10_000 + no, 6_000 + no * 10));
    due.extend(first.chain(later).map(|(no, ms)| ((at(ms), no), false)));
    let (mut backlog, mut last) = (Duration::ZERO, at(0));
    while let Some(((now, request), again)) = due.pop_first() {
        backlog = backlog.saturating_sub(now.since(last));
        last = now;
        if backlog + WORK <= BACKLOG {
            backlog += WORK;
            continue;
        }
        replay.refused_again += usize::from(again);
        replay.refused_after_burst += usize::from(now > BURST_END + BACKLOG);
        let Some(time) = tell(&refused(request, BACKGROUND, backlog), now) else {
            replay.late += 1;
            continue;
        };
        if replay.returns.len() < 10_000 {
            replay.returns.push(time);
            due.insert((time, request), true);
        }
    }
    replay
}

/// After a burst, its refused callers must not return together and be refused together.
#[test]
fn no_herd_when_a_burst_ends() {
    let mut schedule = ReturnSchedule::default();
    let spread = replay(|refused, now| reserve(&mut schedule, refused, now));
    let most = most_within(&spread.returns, millis(100));
    assert!(spread.returns.len() > 1_500, "{}", spread.returns.len());
    assert!(most <= PER_100_MS, "{most} returns in 100 ms");
    let again = spread.refused_again;
    let returns = spread.returns.len();
    assert_eq!(spread.refused_after_burst, 0, "refused after the burst");
    println!(
        "{returns} returns, {again} refused again, {} late",
        spread.late
    );
    // A schedule without lines, which the same bound must catch.
    let herd = replay(|refused, now| Some(now + refused.earliest.max(millis(250))));
    let herd = most_within(&herd.returns, millis(100));
    assert!(herd > PER_100_MS, "{herd} returns in 100 ms");
}

/// Background callers must not delay urgent ones, and return after those that hold slots.
#[test]
fn urgent_callers_return_first() {
    let mut alone = ReturnSchedule::default();
    let mut mixed = ReturnSchedule::default();
    let mut last_urgent = at(0);
    for no in 0..400 {
        let now = at(no);
        let urgent = refused(no, URGENT, millis(300));
        let time = reserve(&mut mixed, &urgent, now).expect("a slot");
        assert_eq!(Some(time), reserve(&mut alone, &urgent, now));
        last_urgent = last_urgent.max(time);
        let background = refused(1_000 + no, BACKGROUND, millis(300));
        let time = reserve(&mut mixed, &background, now).expect("a slot");
        assert!(time > last_urgent, "{time:?} {last_urgent:?}");
    }
}

/// A stream of urgent refusals must not put a background caller off without end.
#[test]
fn background_callers_yield_for_a_bounded_time() {
    let mut schedule = ReturnSchedule::default();
    for no in 0..1_900 {
        let urgent = refused(no, URGENT, millis(300));
        reserve(&mut schedule, &urgent, at(0)).expect("a slot");
    }
    let background = refused(5_000, BACKGROUND, millis(300));
    let time = reserve(&mut schedule, &background, at(0)).expect("a slot");
    let bound = at(300) + Duration::from_secs(10);
    assert!(bound <= time && time <= bound + WORK * 2, "{time:?}");
}

/// Time told to a new caller after 100 others came ten times each before their slots.
fn time_after_disregard(hash: impl Fn(u64, u64) -> u64) -> Moment {
    let mut schedule = ReturnSchedule::default();
    for round in 0..10 {
        for caller in 0..100 {
            let refused = refused(hash(caller, round), BACKGROUND, millis(2_000));
            reserve(&mut schedule, &refused, at(round * 100)).expect("a slot");
        }
    }
    let newcomer = refused(9_999, BACKGROUND, millis(1_000));
    reserve(&mut schedule, &newcomer, at(1_000)).expect("a slot")
}

/// Callers that disregard their times must not push back the slots of others, nor gain.
#[test]
fn early_callers_gain_nothing() {
    let kept = time_after_disregard(|caller, _| caller);
    assert!(kept <= at(3_000) + WORK * 2 * 2, "{kept:?}");
    // A schedule that doesn't recognize callers, which the same bound must catch.
    let forgotten = time_after_disregard(|caller, round| round * 100 + caller);
    assert!(forgotten > at(3_000) + WORK * 2 * 2, "{forgotten:?}");

    let mut schedule = ReturnSchedule::default();
    let caller = refused(1, BACKGROUND, millis(2_000));
    let slot = reserve(&mut schedule, &caller, at(0)).expect("a slot");
    let early = refused(1, URGENT, millis(250));
    assert_eq!(reserve(&mut schedule, &early, at(700)), Some(slot));
    let left = schedule.time_left(caller.request, at(700));
    assert_eq!(left, Some(slot.since(at(700))));
    assert_eq!(schedule.time_left(caller.request, slot), None);
}

/// A time that the caller won't honor must be said to be late, and takes no slot.
#[test]
fn late_slots_are_told_and_not_taken() {
    let mut schedule = ReturnSchedule::default();
    for no in 0..300 {
        reserve(&mut schedule, &refused(no, BACKGROUND, millis(500)), at(0)).expect("a slot");
    }
    let before = schedule.dump(at(0));
    let hasty = Refused {
        patience: millis(6_000),
        ..refused(1_000, BACKGROUND, millis(500))
    };
    let ReturnTime::Late { useful } = schedule.reserve(&hasty, at(0), Jitter::of_hash(1)) else {
        panic!("a slot beyond a third of the caller's time");
    };
    assert!(
        millis(1_000) <= useful && useful <= millis(2_000),
        "{useful:?}"
    );
    assert_eq!(schedule.dump(at(0)), before);
}

/// A new owner, which knows no slots, must not bring more than the engines' rate of returns.
#[test]
fn a_new_owner_brings_at_most_the_rate() {
    let mut schedule = ReturnSchedule::default();
    let mut changed = false;
    let spread = replay(|refused, now| {
        if now >= at(3_000) && !std::mem::replace(&mut changed, true) {
            schedule = ReturnSchedule::default();
        }
        reserve(&mut schedule, refused, now)
    });
    let second = most_within(&spread.returns, Duration::from_secs(1));
    assert!(changed && second <= 200 + 4, "{second} returns in a second");
    // Both owners' slots overlap in this replay.
    assert!(second > 100 + 2, "{second} returns in a second");
}

/// Hashes that are counters must not give callers the same jitter.
#[test]
fn jitter_of_a_hash_is_spread_and_stable() {
    let mut tenths = [0_u32; 10];
    for hash in 0..1_000 {
        let jitter = Jitter::of_hash(hash);
        assert_eq!(jitter, Jitter::of_hash(hash));
        let tenth = (0..9).find(|n| jitter.fraction() < f64::from(n + 1) / 10.0);
        tenths[tenth.map_or(9, |n: i32| usize::try_from(n).expect("valid"))] += 1;
    }
    assert!(
        tenths.iter().all(|count| (60..=140).contains(count)),
        "{tenths:?}"
    );
}

/// Plays random refusals of three ranks; returns the first breach. `forget` breaks the schedule.
fn breach(seed: u64, forget: bool) -> Option<String> {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut schedule = ReturnSchedule::default();
    let mut slots: BTreeMap<u8, Vec<(Moment, Duration)>> = BTreeMap::new();
    let mut told: BTreeMap<u64, Moment> = BTreeMap::new();
    let mut now = at(0);
    for _ in 0..1_000 {
        now = now + millis(rng.random_range(0..50));
        if forget && rng.random_bool(0.05) {
            schedule = ReturnSchedule::default();
        }
        let priority = rng.random_range(0..3);
        let refused = Refused {
            work: millis(rng.random_range(0..20)),
            patience: millis(rng.random_range(0..120_000)),
            ..refused(
                rng.random_range(0..500),
                priority,
                millis(rng.random_range(0..3_000)),
            )
        };
        let caller = refused.request.0;
        let held = told.get(&caller).copied().filter(|slot| *slot > now);
        let Some(slot) = reserve(&mut schedule, &refused, now) else {
            continue;
        };
        if let Some(held) = held {
            if held != slot {
                return Some(format!("{refused:?} has {held:?}, got {slot:?}"));
            }
            continue;
        }
        told.insert(caller, slot);
        if slot < now + refused.earliest || slot > now + refused.patience / 3 {
            return Some(format!("{refused:?} at {now:?} got {slot:?}"));
        }
        // A slot's time lies in the slot: the one before the last lies whole between its neighbors.
        let ranked = slots.entry(priority).or_default();
        if let [.., (first, _), (_, step)] = ranked[..]
            && slot < first + step
        {
            return Some(format!("{refused:?} got {slot:?}, after {ranked:?}"));
        }
        ranked.push((slot, refused.work * 2));
    }
    None
}

/// No history may give slots that overlap, that callers won't honor, or a second one to a caller.
#[test]
fn slots_of_any_history() {
    for seed in 0..cases(50) {
        assert_eq!(breach(seed, false), None, "seed {seed}");
        assert!(
            breach(seed, true).is_some(),
            "seed {seed} misses lost lines"
        );
    }
}
