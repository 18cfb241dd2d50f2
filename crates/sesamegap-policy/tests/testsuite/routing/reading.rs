use crate::support::offset;
use quickcheck::{Arbitrary, Gen, TestResult, quickcheck};
use sesamegap_policy::routing::reading::{Heard, Position, Span};
use sesamegap_wire::{LogPosition, Moment, Offset, Timeline};
use std::time::Duration;

const PACE: Duration = Duration::from_secs(2);

fn at(ms: u64) -> Moment {
    Moment(0) + Duration::from_millis(ms)
}

/// A word of another VM may have been held up on its way for seconds, and something may have been written since
/// it was read there. Only an own call tells up to when nothing else was there.
#[test]
fn only_own_calls_tell_up_to_when_all_was_known() {
    let mut position = read_up_to(10);
    assert_eq!(position.complete(), None);
    position.asked(at(100));
    position.hear(span(10, 12), true, at(9_000));
    assert_eq!(position.complete(), Some(at(100)));
    position.begin();
    assert_eq!(position.complete(), Some(at(100)));
}

fn span(from: u64, next: u64) -> Span {
    Span {
        from: offset(from),
        next: offset(next),
    }
}

fn read_up_to(next: u64) -> Position {
    let mut position = Position::default();
    position.read(offset(next), at(0));
    position
}

#[test]
fn a_word_that_joins_spares_a_call() {
    let mut position = read_up_to(100);
    assert_eq!(position.hear(span(90, 120), true, at(1_500)), Heard::Joined);
    assert_eq!(position.next(), Some(offset(120)));
    assert_eq!(position.left(PACE, at(2_500)), Duration::from_secs(1));
}

/// A datagram with a leaving upstream is lost. A VM that went on with the next word would send
/// requests to an upstream that is gone.
#[test]
fn a_vm_that_missed_a_word_reads_for_itself_from_where_it_stands() {
    let mut position = read_up_to(100);
    assert_eq!(position.hear(span(110, 120), true, at(500)), Heard::Missed);
    assert_eq!(position.next(), Some(offset(100)));
    assert_eq!(position.left(PACE, at(500)), Duration::ZERO);
    position.read(offset(118), at(600));
    assert_eq!(
        position.left(PACE, at(600)),
        Duration::ZERO,
        "not yet there"
    );
    position.read(offset(125), at(700));
    assert_eq!(position.left(PACE, at(700)), PACE);
}

/// A document is too long for a datagram, so the word on it says that it does not tell all. A VM that
/// took it as whole would go on with revoked keys.
#[test]
fn a_word_that_does_not_tell_all_is_read_for_once() {
    let mut position = read_up_to(100);
    assert_eq!(position.hear(span(100, 101), false, at(10)), Heard::Missed);
    position.read(offset(101), at(20));
    assert_eq!(position.hear(span(100, 101), false, at(30)), Heard::Joined);
    assert_eq!(position.left(PACE, at(30)), PACE);
}

/// A reader was suspended between reading and telling. What it says is seconds old, and must not make
/// its hearers wait.
#[test]
fn an_old_word_gives_no_time() {
    let mut position = read_up_to(100);
    position.hear(span(100, 150), true, at(100));
    assert_eq!(position.hear(span(90, 120), true, at(1_900)), Heard::Old);
    assert_eq!(position.left(PACE, at(2_100)), Duration::ZERO);
}

/// All readers are cut off. The bound on leaving upstreams holds for the others all the same.
#[test]
fn without_a_word_in_time_a_vm_reads_for_itself() {
    let mut position = read_up_to(100);
    assert_eq!(position.left(PACE, at(1_999)), Duration::from_millis(1));
    assert_eq!(position.left(PACE, at(2_000)), Duration::ZERO);
    position.begin();
    assert_eq!(position.left(PACE, at(0)), Duration::ZERO);
    assert_eq!(position.hear(span(0, 200), true, at(0)), Heard::Missed);
}

/// Words of three readers whose datagrams are lost, doubled and held up.
#[derive(Debug, Clone)]
struct Words(Vec<(u8, u8, bool, bool)>);

impl Arbitrary for Words {
    fn arbitrary(g: &mut Gen) -> Self {
        Self(Vec::arbitrary(g))
    }
}

quickcheck! {
    /// Whatever is lost, a VM never counts a change as known that it was not told and did not read.
    fn nothing_is_passed_over(words: Words) -> TestResult {
        let mut position = read_up_to(0);
        let mut known = [false; 256];
        let mut upto = 0_usize;
        for (from, length, lost, whole) in words.0 {
            let (from, next) = (usize::from(from), usize::from(from.saturating_add(length)));
            if !lost {
                if whole {
                    known[from..next].fill(true);
                }
                position.hear(span(from as u64, next as u64), whole, at(0));
            }
            let claimed = position.next().map_or(0, |next| usize::try_from(next.offset.0).unwrap_or(0));
            if claimed < upto || !known[..claimed].iter().all(|known| *known) {
                return TestResult::failed();
            }
            upto = claimed;
        }
        TestResult::passed()
    }
}

/// Guards against a word on a restored log that is taken to join what was known of the log before.
#[test]
fn a_word_of_a_newer_timeline_is_read_for() {
    let mut position = read_up_to(100);
    let on = |timeline, no| LogPosition::new(Timeline(timeline), Offset(no));
    let restored = Span {
        from: on(1, 90),
        next: on(1, 110),
    };
    assert_eq!(position.hear(restored, true, at(10)), Heard::Missed);
    assert_eq!(position.left(PACE, at(10)), Duration::ZERO);
    position.begin();
    position.read(on(1, 110), at(20));
    assert_eq!(position.hear(span(100, 500), true, at(30)), Heard::Old);
    assert_eq!(position.next(), Some(on(1, 110)));
}
