//! Answers that hold memory until they are complete.

use sesamegap_policy::routing::answer_memory::{AnswerId, AnswerMemory};
use sesamegap_wire::UpstreamId;

fn upstream(name: &str) -> UpstreamId {
    name.parse().expect("a valid name")
}

/// Grows an answer, and returns those that gave way.
fn grow(memory: &mut AnswerMemory, id: u64, at: &str, bytes: usize) -> Vec<u64> {
    let victims = memory.grow(AnswerId(id), &upstream(at), bytes);
    victims.iter().map(|victim| victim.id.0).collect()
}

#[test]
fn the_sum_stays_under_the_bound() {
    let mut memory = AnswerMemory::new(1_000);
    for step in 1..=10 {
        for id in 0..40 {
            grow(&mut memory, id, "u1", step * 10);
            assert!(memory.held() <= 1_000);
        }
    }
    assert!(memory.peak() <= 1_000);
    assert!(memory.held() > 800, "{} bytes", memory.held());
}

/// Guards against sound answers that give way to those of an upstream that never ends one.
#[test]
fn the_answers_of_the_upstream_that_holds_most_give_way() {
    let mut memory = AnswerMemory::new(1_000);
    assert_eq!(grow(&mut memory, 1, "sound", 300), Vec::<u64>::new());
    for id in 2..9 {
        assert_eq!(grow(&mut memory, id, "faulty", 100), Vec::<u64>::new());
    }
    assert_eq!(grow(&mut memory, 8, "faulty", 120), [8]);
    assert_eq!(grow(&mut memory, 1, "sound", 420), [7]);
    assert_eq!(memory.held(), 920);
}

#[test]
fn an_answer_that_grows_may_give_way_itself() {
    let mut memory = AnswerMemory::new(1_000);
    assert_eq!(grow(&mut memory, 1, "a", 400), Vec::<u64>::new());
    assert_eq!(grow(&mut memory, 2, "b", 700), [2]);
    assert_eq!(grow(&mut memory, 3, "b", 600), Vec::<u64>::new());
    memory.release(AnswerId(1));
    memory.release(AnswerId(3));
    assert_eq!(memory.held(), 0);
}

#[test]
fn a_smaller_bound_applies_to_the_next_that_grows() {
    let mut memory = AnswerMemory::new(1_000);
    grow(&mut memory, 1, "a", 600);
    memory.set_limit(500);
    assert_eq!(grow(&mut memory, 2, "b", 100), [1]);
    assert_eq!(memory.held(), 100);
}
