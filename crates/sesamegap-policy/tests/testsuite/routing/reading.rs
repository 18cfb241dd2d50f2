use crate::support::offset;
use quickcheck::{Arbitrary, Gen, TestResult, quickcheck};
use sesamegap_policy::routing::reading::{Position, Span, UpdateOutcome};
use sesamegap_wire::{LogPosition, Moment, Offset, Timeline};
use std::time::Duration;

const READ_INTERVAL: Duration = Duration::from_secs(2);

fn at(ms: u64) -> Moment {
    Moment(0) + Duration::from_millis(ms)
}

/// A peer's update may be delayed for seconds, and the table may have changed since the peer read it. Only this VM's
/// own call shows up to when its data is complete.
#[test]
fn only_own_calls_show_up_to_when_the_data_is_complete() {
    let mut position = read_up_to(10);
    assert_eq!(position.complete_until(), None);
    position.record_call(at(100));
    position.apply(span(10, 12), true, at(9_000));
    assert_eq!(position.complete_until(), Some(at(100)));
    position.require_full_read();
    assert_eq!(position.complete_until(), Some(at(100)));
}

fn span(from: u64, next: u64) -> Span {
    Span {
        from: offset(from),
        next: offset(next),
    }
}

fn read_up_to(next: u64) -> Position {
    let mut position = Position::default();
    position.record_read(offset(next), at(0));
    position
}

#[test]
fn a_contiguous_update_replaces_a_read() {
    let mut position = read_up_to(100);
    assert_eq!(
        position.apply(span(90, 120), true, at(1_500)),
        UpdateOutcome::Contiguous
    );
    assert_eq!(position.next(), Some(offset(120)));
    assert_eq!(
        position.time_left(READ_INTERVAL, at(2_500)),
        Duration::from_secs(1)
    );
}

/// If the datagram about a leaving upstream is lost, a VM that continued with the next update would send requests to an
/// upstream that is gone.
#[test]
fn a_vm_that_missed_an_update_reads_from_its_own_position() {
    let mut position = read_up_to(100);
    assert_eq!(
        position.apply(span(110, 120), true, at(500)),
        UpdateOutcome::Missed
    );
    assert_eq!(position.next(), Some(offset(100)));
    assert_eq!(position.time_left(READ_INTERVAL, at(500)), Duration::ZERO);
    position.record_read(offset(118), at(600));
    assert_eq!(
        position.time_left(READ_INTERVAL, at(600)),
        Duration::ZERO,
        "not yet there"
    );
    position.record_read(offset(125), at(700));
    assert_eq!(position.time_left(READ_INTERVAL, at(700)), READ_INTERVAL);
}

/// A settings document that is too long for a datagram is announced by an incomplete update. A VM that took the update
/// as complete would keep using revoked keys.
#[test]
fn an_incomplete_update_causes_one_read() {
    let mut position = read_up_to(100);
    assert_eq!(
        position.apply(span(100, 101), false, at(10)),
        UpdateOutcome::Missed
    );
    position.record_read(offset(101), at(20));
    assert_eq!(
        position.apply(span(100, 101), false, at(30)),
        UpdateOutcome::Contiguous
    );
    assert_eq!(position.time_left(READ_INTERVAL, at(30)), READ_INTERVAL);
}

/// A reader that was suspended between its read and its update sends data that is seconds old, which must not extend
/// the receivers' time limit.
#[test]
fn an_old_update_does_not_extend_the_time_limit() {
    let mut position = read_up_to(100);
    position.apply(span(100, 150), true, at(100));
    assert_eq!(
        position.apply(span(90, 120), true, at(1_900)),
        UpdateOutcome::Outdated
    );
    assert_eq!(position.time_left(READ_INTERVAL, at(2_100)), Duration::ZERO);
}

/// When all readers are unreachable, the bound on leaving upstreams must still hold for the other VMs.
#[test]
fn without_an_update_in_time_a_vm_reads_the_table_itself() {
    let mut position = read_up_to(100);
    assert_eq!(
        position.time_left(READ_INTERVAL, at(1_999)),
        Duration::from_millis(1)
    );
    assert_eq!(position.time_left(READ_INTERVAL, at(2_000)), Duration::ZERO);
    position.require_full_read();
    assert_eq!(position.time_left(READ_INTERVAL, at(0)), Duration::ZERO);
    assert_eq!(
        position.apply(span(0, 200), true, at(0)),
        UpdateOutcome::Missed
    );
}

/// Updates of three readers, whose datagrams are lost, duplicated and delayed.
#[derive(Debug, Clone)]
struct Updates(Vec<(u8, u8, bool, bool)>);

impl Arbitrary for Updates {
    fn arbitrary(g: &mut Gen) -> Self {
        Self(Vec::arbitrary(g))
    }
}

quickcheck! {
    /// Whatever is lost, a VM never counts a change as known that it neither received nor read.
    fn no_change_is_skipped(updates: Updates) -> TestResult {
        let mut position = read_up_to(0);
        let mut known = [false; 256];
        let mut known_until = 0_usize;
        for (from, length, lost, whole) in updates.0 {
            let (from, next) = (usize::from(from), usize::from(from.saturating_add(length)));
            if !lost {
                if whole {
                    known[from..next].fill(true);
                }
                position.apply(span(from as u64, next as u64), whole, at(0));
            }
            let claimed = position.next().map_or(0, |next| usize::try_from(next.offset.0).unwrap_or(0));
            if claimed < known_until || !known[..claimed].iter().all(|known| *known) {
                return TestResult::failed();
            }
            known_until = claimed;
        }
        TestResult::passed()
    }
}

/// Guards against an update of a restored log that is treated as contiguous with the log before the restore.
#[test]
fn an_update_of_a_newer_timeline_causes_a_read() {
    let mut position = read_up_to(100);
    let on = |timeline, no| LogPosition::new(Timeline(timeline), Offset(no));
    let restored = Span {
        from: on(1, 90),
        next: on(1, 110),
    };
    assert_eq!(
        position.apply(restored, true, at(10)),
        UpdateOutcome::Missed
    );
    assert_eq!(position.time_left(READ_INTERVAL, at(10)), Duration::ZERO);
    position.require_full_read();
    position.record_read(on(1, 110), at(20));
    assert_eq!(
        position.apply(span(100, 500), true, at(30)),
        UpdateOutcome::Outdated
    );
    assert_eq!(position.next(), Some(on(1, 110)));
}
