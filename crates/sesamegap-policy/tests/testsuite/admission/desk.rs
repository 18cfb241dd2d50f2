use super::{at, background, engine, ms, urgent};
use sesamegap_policy::admission::{Action, Backlog, Desk, PutOff, Verdict};

fn full(count: usize) -> Vec<Backlog> {
    vec![engine(12_000, 12_000); count]
}

fn put_off(verdict: Verdict) -> PutOff {
    match verdict {
        Verdict::PutOff(put_off) => put_off,
        Verdict::Place(_) => panic!("placed"),
    }
}

/// Guards against prompts that wait until their time is over although it is known before that they come too late.
#[test]
fn a_prompt_whose_turn_comes_too_late_is_refused_at_once() {
    let mut desk = Desk::default();
    let backlog = [engine(90_000, 90_000)];
    let refused = put_off(desk.decide(&background(1), &backlog, at(0)));
    let Action::Refuse(after_ms) = refused.action else {
        panic!("waits: {refused:?}");
    };
    assert!(
        after_ms > 0 && after_ms <= 5_000 / 3,
        "callers honour a third of their time: {after_ms}"
    );
    assert_eq!(desk.waiting(), 0);
}

/// Guards against prompts that wait in line when their own objective has passed meanwhile.
#[test]
fn a_prompt_that_became_hopeless_while_it_waited_is_refused() {
    let mut desk = Desk::default();
    let mut ask = background(1);
    assert!(matches!(
        put_off(desk.decide(&ask, &full(2), at(0))).action,
        Action::Wait(_)
    ));
    ask.waited = ms(1_100);
    assert!(matches!(
        put_off(desk.decide(&ask, &full(2), at(50))).action,
        Action::Refuse(_)
    ));
    assert_eq!(desk.waiting(), 0);
}

/// Guards against a background prompt that takes the room an earlier urgent one waits for.
#[test]
fn room_goes_to_the_most_urgent_in_line() {
    let mut desk = Desk::default();
    let busy = [engine(11_000, 11_000)];
    assert!(matches!(
        put_off(desk.decide(&urgent(1), &busy, at(0))).action,
        Action::Wait(_)
    ));
    let free = [engine(0, 0)];
    let later = put_off(desk.decide(&background(2), &free, at(5)));
    assert_eq!(later.before, 1);
    assert!(matches!(
        desk.decide(&urgent(1), &free, at(10)),
        Verdict::Place(_)
    ));
    assert!(matches!(
        desk.decide(&background(2), &free, at(15)),
        Verdict::Place(_)
    ));
}

/// Guards against a later prompt of the same class that is placed because it asks at the right moment.
#[test]
fn equal_prompts_are_placed_in_the_order_of_their_arrival() {
    let mut desk = Desk::default();
    put_off(desk.decide(&background(1), &full(1), at(0)));
    let free = [engine(0, 0)];
    put_off(desk.decide(&background(2), &free, at(5)));
    let mut first = background(1);
    first.waited = ms(10);
    assert!(matches!(
        desk.decide(&first, &free, at(10)),
        Verdict::Place(_)
    ));
}

/// Guards against room that stays empty for a prompt whose VM has crashed.
#[test]
fn a_prompt_that_does_not_ask_again_loses_its_place() {
    let mut desk = Desk::default();
    put_off(desk.decide(&urgent(1), &[engine(11_000, 11_000)], at(0)));
    assert_eq!(desk.waiting(), 1);
    assert!(matches!(
        desk.decide(&background(2), &[engine(0, 0)], at(400)),
        Verdict::Place(_)
    ));
}

/// Guards against a light team's prompts behind those of a team that exceeds its share.
#[test]
fn prompts_beyond_a_teams_share_come_after_others_of_their_class() {
    let mut desk = Desk::default();
    let mut heavy = background(1);
    heavy.excess = true;
    put_off(desk.decide(&heavy, &full(1), at(0)));
    let free = [engine(0, 0)];
    assert!(matches!(
        desk.decide(&background(2), &free, at(5)),
        Verdict::Place(_)
    ));
}

/// The reserve follows the urgent prompts that run, and never takes more than half of the slots.
#[test]
fn the_reserve_follows_from_demand() {
    let mut desk = Desk::default();
    let reserve = |desk: &mut Desk, urgent: u32, from: u64| {
        let mut slots = 0;
        for step in 0..100 {
            let engines = [Backlog {
                urgent,
                running: urgent,
                ..engine(0, 0)
            }];
            if let Verdict::Place(keep) =
                desk.decide(&background(step), &engines, at(from + step * 100))
            {
                slots = keep.reserve;
            }
        }
        slots
    };
    assert_eq!(reserve(&mut desk, 0, 0), 0);
    let some = reserve(&mut desk, 2, 10_000);
    assert!((3..=5).contains(&some), "{some}");
    assert_eq!(reserve(&mut desk, 7, 20_000), 8);
}

/// Guards against engines beyond their slots beside others with free ones, because other prompts wait in line too.
#[test]
fn slots_are_exceeded_only_if_none_is_free() {
    let mut desk = Desk::default();
    let full = Backlog {
        running: 16,
        ..engine(0, 0)
    };
    let stuck = [engine(11_000, 11_000)];
    put_off(desk.decide(&urgent(1), &stuck, at(0)));
    let free = Backlog {
        running: 15,
        ..engine(0, 0)
    };
    let mut later = urgent(2);
    later.priority = 1;
    let Verdict::Place(keep) = desk.decide(&later, &[full, free], at(5)) else {
        panic!("there is room for both");
    };
    assert!(!keep.exceed);
    let Verdict::Place(keep) = desk.decide(&urgent(3), &[full, full], at(10)) else {
        panic!("the most urgent may exceed the slots");
    };
    assert!(keep.exceed);
}
