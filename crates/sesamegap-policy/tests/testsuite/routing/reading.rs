use crate::support::offset;
use quickcheck::{Arbitrary, Gen, TestResult, quickcheck};
use rand::SeedableRng;
use rand::rngs::StdRng;
use sesamegap_policy::routing::reading::{
    Backoff, CallBudget, Hearing, MAX_STORE_SILENCE, Position, READERS, SettingsBounds, Span,
    Standby, UpdateOutcome, longest_delay,
};
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

fn standby(rank: usize) -> Standby {
    Standby {
        rank,
        isolated: false,
        fast_start: false,
    }
}

/// Simulates an outage of the store; returns when calls are made, in milliseconds.
fn calls_during_outage(vms: usize, outage: Duration) -> Vec<u128> {
    let mut calls = Vec::new();
    let mut rng = StdRng::seed_from_u64(1);
    for rank in 0..vms {
        let mut backoff = Backoff::default();
        let callers = if rank < READERS { READERS } else { vms };
        let mut next = standby(rank).takeover_delay();
        while next < outage {
            calls.push(next.as_millis());
            next += backoff.fail(longest_delay(callers), &mut rng);
        }
    }
    calls
}

/// Guards against an outage of the store during which all VMs call it: its rate limit rejects most of them when it is
/// back, and their repeated calls keep it there.
#[test]
fn the_calls_of_a_fleet_during_an_outage_are_bounded_whatever_its_size() {
    for vms in [9, 195, 985, 1_970] {
        let calls = calls_during_outage(vms, Duration::from_secs(20));
        for second in 0..20 {
            let in_second = calls.iter().filter(|ms| **ms / 1_000 == second).count();
            // A tenth of what the smallest store accepts.
            assert!(in_second <= 200, "{vms} VMs: {in_second} calls");
        }
        let readers_keep_trying = calls.iter().any(|ms| *ms > 19_000);
        assert!(readers_keep_trying, "{vms} VMs notice the store's return");
    }
}

/// Guards against data that is never renewed after all readers have failed together.
#[test]
fn other_vms_take_over_from_readers_that_failed() {
    let delays: Vec<Duration> = (0..985)
        .map(|rank| standby(rank).takeover_delay())
        .collect();
    assert!(delays[..READERS].iter().all(Duration::is_zero));
    assert!(delays.is_sorted());
    assert!(delays[READERS] <= Duration::from_millis(100));
}

/// Guards against a fleet whose VMs all read the whole list in the same moment, because they were restarted together and
/// none of them answers yet.
#[test]
fn isolated_vms_read_one_after_another() {
    for vms in [195, 985, 1_970] {
        let begins = (0..vms).map(|rank| {
            let isolated = Standby {
                isolated: true,
                ..standby(rank)
            };
            isolated.takeover_delay().as_millis()
        });
        let begins: Vec<u128> = begins.collect();
        for start in 0..20 {
            let window = start * 100..(start + 1) * 100;
            let count = begins.iter().filter(|ms| window.contains(*ms)).count();
            assert!(count <= 20 + READERS, "{vms} VMs: {count} in 100 ms");
        }
        assert!(begins.iter().all(|ms| *ms <= 10_000), "none waits for long");
    }
}

/// Guards against a fleet that takes seconds to start because only small VMs read the list for all others.
#[test]
fn a_starting_vm_with_a_fast_link_takes_over_sooner() {
    let fast = Standby {
        fast_start: true,
        ..standby(60)
    };
    assert!(fast.takeover_delay() <= Duration::from_millis(500));
    assert!(fast.takeover_delay() * 4 <= standby(60).takeover_delay());
}

/// Guards against calls over the store's limit, of which each VM makes only a few.
#[test]
fn the_budgets_of_all_vms_together_stay_below_the_stores_limit() {
    const LIMIT: f64 = 16_000.0;
    for vms in [7, 985, 1_970] {
        let mut budget = CallBudget::new(LIMIT, at(0));
        let (mut now, mut calls) = (0, 0);
        // The VM calls whenever it may. The calls that it may make at once come first.
        while now < 60_000 {
            now += u64::try_from(budget.take(vms, at(now)).as_millis())
                .unwrap()
                .max(1);
            calls += 1;
        }
        let sustained = f64::from(calls - 64) / 60.0 * vms as f64;
        assert!(sustained <= LIMIT * 0.6, "{vms} VMs: {sustained} a second");
    }
}

/// Guards against data of a peer that counts as current although the peer received it long ago: the bound on leaving
/// upstreams would not hold.
#[test]
fn a_peers_copy_is_as_old_as_the_peer_says() {
    let mut position = read_up_to(100);
    position.apply(span(105, 110), true, at(2_500));
    assert!(position.has_missed());
    position.record_pull(offset(112), at(500), at(2_600));
    assert!(!position.has_missed());
    assert_eq!(position.next(), Some(offset(112)));
    let overdue = position.overdue(READ_INTERVAL, at(0), at(3_000));
    assert_eq!(overdue, Duration::from_millis(500));
    position.record_pull(offset(90), at(2_900), at(2_900));
    assert_eq!(
        position.next(),
        Some(offset(112)),
        "an older copy changes nothing"
    );
}

/// Guards against a VM that uses an older document after a call for changes died with its connection: the next call must
/// be answered before the bounds hold again, and an answer without a change must come before a denial is doubted.
#[test]
fn a_dead_call_for_settings_ends_before_the_bounds_hold_again() {
    let slow_answer = Duration::from_millis(250);
    for (apply_ms, contact_ms) in [
        (2_000, 3_000),
        (3_000, 4_000),
        (4_000, 5_000),
        (5_000, 6_000),
    ] {
        let bounds = SettingsBounds {
            apply: Duration::from_millis(apply_ms),
            contact: Duration::from_millis(contact_ms),
        };
        let given_up = bounds.wait() + MAX_STORE_SILENCE;
        assert!(given_up + slow_answer <= bounds.contact, "{bounds:?}");
        assert!(
            bounds.allows_denial(bounds.wait() + slow_answer),
            "{bounds:?}"
        );
        assert!(!bounds.allows_denial(bounds.apply + Duration::from_millis(1)));
        for vms in [7, 84, 985] {
            let delay = bounds.longest_delay(vms);
            let next_answer = MAX_STORE_SILENCE + delay + slow_answer;
            assert!(next_answer <= bounds.contact, "{vms} VMs, {bounds:?}");
        }
    }
}

/// Guards against a VM that relies on readers of which it hears nothing.
#[test]
fn a_vm_that_hears_no_peer_is_cut_off_soon() {
    let mut hearing = Hearing::default();
    assert!(hearing.is_cut_off(at(10_000)));
    hearing.record(at(10_000));
    assert!(!hearing.is_cut_off(at(10_600)), "a probe may be late");
    assert!(hearing.is_cut_off(at(11_000)));
    hearing.record(at(9_000));
    assert!(
        !hearing.is_cut_off(at(10_600)),
        "an earlier time changes nothing"
    );
}

/// Guards against a VM that hears no other one for long and still sends callers to them, and against one that has just begun
/// and takes itself for the only one.
#[test]
fn a_vm_that_hears_no_peer_for_seconds_does_without_them() {
    let mut hearing = Hearing::begin(at(60_000));
    assert!(!hearing.is_isolated(at(62_000)));
    assert!(hearing.is_isolated(at(63_000)));
    hearing.record(at(70_000));
    assert!(!hearing.is_isolated(at(72_999)));
    assert!(hearing.is_isolated(at(73_000)));
}
