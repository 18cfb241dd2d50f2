use sesamegap_policy::routing::rolls::{
    Engine, Pace, Stage, at_a_step, drain, must_return, next, side_by_side,
};
use std::time::Duration;

/// Time from a naming after which no request may begin on older weights.
const BOUND: Duration = Duration::from_secs(8);

fn engine(version: u32, running: u32) -> Engine {
    Engine {
        stage: Stage::Old,
        version,
        long: running.is_multiple_of(2),
        running,
        suspect: false,
        shut: false,
    }
}

/// Weights are named under load. With all engines out at once every caller would wait.
#[test]
fn some_engines_go_on_serving() {
    for count in 1..40 {
        let engines: Vec<Engine> = (0..count).map(|no| engine(1, no)).collect();
        let due = next(&engines);
        assert!(!due.is_empty());
        assert!(count == 1 || due.len() < engines.len(), "{count}: {due:?}");
    }
}

/// Weights take 1.3 s to load, and longer if more than two of twelve engines load at once. Six engines that are
/// taken out together are all back after four seconds, in which callers crowd at the other six; by
/// turns most of them serve all the while.
#[test]
fn no_more_engines_are_out_than_drain_and_load_at_full_speed() {
    let engines: Vec<Engine> = (0..12).map(|no| engine(1, no)).collect();
    let mut pace = Pace::default();
    pace.loaded(Duration::from_millis(1_300));
    let due = pace.next(&engines).len();
    assert!((side_by_side(12)..=4).contains(&due), "{due}");
    let mut quick = Pace::default();
    quick.loaded(Duration::from_millis(390));
    assert_eq!(
        quick.next(&engines),
        next(&engines),
        "drains are what takes time"
    );
}

/// Engines that nobody may use any more wait for nothing: that they are out takes nothing from callers.
#[test]
fn shut_engines_are_taken_out_whatever_the_pace() {
    let mut engines: Vec<Engine> = (0..12).map(|no| engine(1, no)).collect();
    for engine in &mut engines[..9] {
        engine.shut = true;
    }
    let mut pace = Pace::default();
    pace.loaded(Duration::from_secs(2));
    assert_eq!(pace.next(&engines).len(), 9);
}

/// A load that ran beside others took longer than it had to, and says little. Weights that have grown are seen all
/// the same, after some loads.
#[test]
fn the_time_of_a_load_is_that_of_the_quick_ones() {
    let mut pace = Pace::default();
    for ms in [3_900, 1_300, 3_900, 2_600] {
        pace.loaded(Duration::from_millis(ms));
    }
    assert!(pace.load() < Duration::from_millis(1_600), "{pace:?}");
    for _ in 0..12 {
        pace.loaded(Duration::from_secs(4));
    }
    assert_eq!(pace.load(), Duration::from_secs(4));
}

/// An engine comes back from a crash with weights that were overtaken twice. Requests may soon
/// not begin there at all, while the others have time.
#[test]
fn the_oldest_weights_go_first() {
    let engines = [engine(2, 0), engine(2, 2), engine(1, 8), engine(2, 4)];
    assert_eq!(next(&engines).first(), Some(&2));
}

/// The emptiest engines are all of one kind. Taking just these would leave long prompts with none.
#[test]
fn both_kinds_keep_engines() {
    let engines: Vec<Engine> = (0..10)
        .map(|no| Engine {
            long: no < 5,
            ..engine(1, no)
        })
        .collect();
    let due = next(&engines);
    let long = due.iter().filter(|no| engines[**no].long).count();
    assert!(long < 5 && due.len() - long < 5, "{due:?}");
}

#[test]
fn engines_that_are_out_count() {
    let mut engines: Vec<Engine> = (0..9).map(|no| engine(1, no)).collect();
    let first = next(&engines);
    for no in &first {
        engines[*no].stage = Stage::Out;
    }
    assert_eq!(next(&engines), Vec::<usize>::new());
}

/// Streams last longer than a roll may take. Waiting for each would leave requests on weights
/// from before the bound.
#[test]
fn a_drain_ends_before_the_bound() {
    for bound in [8, 10, 15].map(Duration::from_secs) {
        for ms in (0..20_000).step_by(100) {
            let since = Duration::from_millis(ms);
            for done in 0..=9 {
                let longest = drain(done, 9, bound.saturating_sub(since));
                let end = since + longest + Duration::from_secs(2);
                assert!(longest.is_zero() || end <= bound, "{end:?}");
            }
        }
    }
    assert!(drain(5, 9, BOUND) > drain(0, 9, BOUND));
}

/// Engines crash in the middle of a roll, while half of the others drain. All callers would turn to
/// the one or two that are left, and wait there for seconds.
#[test]
fn engines_that_drain_come_back_when_others_are_lost() {
    let early = Duration::from_secs(7);
    assert!(!must_return(4, 9, early));
    assert!(must_return(2, 9, early));
    let late = Duration::from_secs(1);
    assert!(
        !must_return(2, 9, late),
        "soon nothing may begin there any more"
    );
}

/// The holder of the lease dies in a roll, and the next one takes over when no request may be sent to four
/// engines any more. Two by two they would wait for their turn, shut to callers all the while, with
/// requests before them that begin too late.
#[test]
fn engines_that_are_shut_do_not_wait_for_their_turn() {
    let mut engines: Vec<Engine> = (0..9).map(|no| engine(2, no)).collect();
    for engine in &mut engines[..5] {
        engine.stage = Stage::Out;
    }
    assert_eq!(next(&engines), Vec::<usize>::new());
    for engine in &mut engines[5..] {
        engine.shut = true;
    }
    let mut due = next(&engines);
    due.sort_unstable();
    assert_eq!(due, [5, 6, 7, 8]);
}

/// Engines are dark already when weights are named. Taking out as many as ever would leave two.
#[test]
fn engines_that_do_not_answer_count_as_out() {
    let mut engines: Vec<Engine> = (0..9).map(|no| engine(1, no)).collect();
    for engine in &mut engines[..3] {
        engine.suspect = true;
    }
    let due = next(&engines);
    let sound = due.iter().filter(|no| !engines[**no].suspect);
    assert_eq!(sound.count(), 2, "{due:?}");
    assert!(due[..2].iter().all(|no| !engines[*no].suspect), "{due:?}");
}

/// Only engines that do not answer are left with old weights. They must still be tried.
#[test]
fn suspects_are_tried_when_nobody_else_is_due() {
    let mut engines: Vec<Engine> = (0..9).map(|no| engine(1, no)).collect();
    for engine in &mut engines[1..] {
        engine.stage = Stage::Done;
    }
    engines[0].suspect = true;
    assert_eq!(next(&engines), [0]);
}

/// Weights are named for 140 engines, of which 28 load at full speed side by side. Loading 78 together
/// takes each of them three times as long, and callers miss them meanwhile.
#[test]
fn engines_of_a_round_load_one_after_the_other() {
    let step = Duration::from_millis(40);
    assert_eq!(at_a_step(12, step), 12, "a small fleet's round is short");
    for (all, side_by_side) in [(90, 18), (140, 28)] {
        let a_load = usize::try_from(400 / step.as_millis()).expect("ten steps");
        let loading = at_a_step(all, step) * a_load;
        assert!(loading <= side_by_side + a_load, "{all}: {loading}");
        let first_round = (all * 56 / 100).div_ceil(at_a_step(all, step));
        assert!(step * u32::try_from(first_round).expect("few") < Duration::from_millis(1_300));
    }
}

/// Two engines have version 2 and long prompts, one has version 3 and short ones, and two may be taken out. Kinds are
/// taken in turn whatever their versions, so that an engine that was overtaken four seconds later goes first. In a
/// traced day two engines with version 3 went out 0.4 and 0.3 s before the last one with version 2, which was shut
/// to callers and still had requests waiting.
#[test]
fn engines_with_the_oldest_weights_go_first_whatever_their_kind() {
    let mut engines: Vec<Engine> = (0..9).map(|_| engine(4, 0)).collect();
    for engine in &mut engines[..3] {
        engine.stage = Stage::Out;
    }
    for engine in &mut engines[3..6] {
        engine.stage = Stage::Done;
    }
    engines[6] = engine(2, 0);
    engines[7] = engine(2, 2);
    engines[8] = engine(3, 1);
    let mut due = next(&engines);
    due.sort_unstable();
    assert_eq!(due, [6, 7]);
}
