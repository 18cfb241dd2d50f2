//! Tests of merging, bounding and expiring crash records.

use quickcheck::{Arbitrary, Gen, quickcheck};
use sesamegap_policy::quarantine::{Crash, Grant, Record, Registry, Standing, Subjects};
use sesamegap_wire::{Fingerprint, Moment};
use std::time::Duration;

const NOW: Moment = Moment(1_000_000_000_000);
const UNIX: u64 = 1_700_000_000_000;

fn request(no: u64) -> Fingerprint {
    Fingerprint::of(&format!("r{no}"), None, b"")
}

fn crash(life: u64, trial: bool) -> Crash {
    Crash {
        life,
        trial,
        begun: false,
    }
}

/// An arbitrary record of one request, as a VM may hold it.
#[derive(Debug, Clone)]
struct Known(Record);

impl Arbitrary for Known {
    fn arbitrary(g: &mut Gen) -> Self {
        let mut record = Record::new(request(0));
        record.epoch = u32::arbitrary(g) % 3;
        for _ in 0..usize::arbitrary(g) % 5 {
            let new_crash = crash(u64::arbitrary(g) % 6, bool::arbitrary(g));
            record.add(new_crash, UNIX + u64::arbitrary(g) % 100);
        }
        record.condemned = bool::arbitrary(g) && !record.crashes.is_empty();
        Self(record)
    }
}

fn sorted(mut record: Record) -> Record {
    record.crashes.sort_unstable_by_key(|crash| crash.life);
    record
}

fn merged<'a>(records: impl IntoIterator<Item = &'a Known>) -> Record {
    let mut all = Record::new(request(0));
    for Known(record) in records {
        all.merge(record);
    }
    sorted(all)
}

quickcheck! {
    /// Datagrams arrive in any order and may be repeated. If the order mattered, two VMs that received the same ones would
    /// treat a request differently.
    fn records_merge_to_the_same_in_any_order(records: Vec<Known>) -> bool {
        let twice = records.iter().chain(&records);
        merged(&records) == merged(records.iter().rev()) && merged(&records) == merged(twice)
    }
}

/// Records that a request was lost with its upstream.
fn lose(registry: &mut Registry, no: u64, crash: Crash, now: Moment, unix_ms: u64) {
    let subjects = Subjects::of_request(request(no));
    registry.record_crash(&subjects, crash, Some(now), now, unix_ms);
}

fn condemn(registry: &mut Registry, no: u64) {
    for life in 0..6 {
        let new_crash = crash(no * 10 + life, life >= 2);
        lose(registry, no, new_crash, NOW, UNIX);
    }
}

/// A hostile caller that varies its request body fills the registry; condemned requests must not be dropped in favour of
/// requests that merely ran on crashed upstreams.
#[test]
fn requests_that_merely_lost_an_upstream_are_forgotten_first() {
    let mut registry = Registry::default();
    for no in 0..50 {
        condemn(&mut registry, no);
    }
    for no in 1_000..20_000 {
        let new_crash = crash(1_000_000 + no / 100, false);
        lose(
            &mut registry,
            no,
            new_crash,
            NOW + Duration::from_secs(no),
            UNIX,
        );
    }
    let quarantined =
        (0..50).filter(|no| registry.standing(request(*no), UNIX) == Standing::Quarantined);
    assert_eq!(quarantined.count(), 50);
}

/// A quarantined request is refused for a day, but an operator who has fixed its upstreams can lift the quarantine at once.
#[test]
fn a_quarantined_request_gets_a_trial_after_a_day_or_when_it_is_lifted() {
    let mut registry = Registry::default();
    condemn(&mut registry, 1);
    let left = Duration::from_secs(5);
    let at = |hours: u64| (NOW + Duration::from_hours(hours), UNIX + hours * 3_600_000);
    let (now, unix) = at(23);
    assert_eq!(
        registry.request_trial(&Subjects::of_request(request(1)), left, now, unix),
        Grant::Refused
    );
    let (now, unix) = at(25);
    assert_eq!(
        registry.request_trial(&Subjects::of_request(request(1)), left, now, unix),
        Grant::Trial
    );
    lose(&mut registry, 1, crash(99, true), now, unix);
    assert_eq!(registry.standing(request(1), unix), Standing::Quarantined);
    assert!(registry.lift(request(1), now));
    assert_eq!(registry.standing(request(1), unix), Standing::Clear);
}

/// A VM that missed the lift still sends the old record, which must not restore the quarantine.
#[test]
fn an_outdated_record_does_not_bring_a_quarantine_back() {
    let mut registry = Registry::default();
    condemn(&mut registry, 1);
    let outdated = registry.get(request(1)).cloned();
    assert!(registry.lift(request(1), NOW));
    if let Some(record) = outdated {
        registry.merge(&record, NOW, UNIX);
    }
    assert_eq!(registry.standing(request(1), UNIX), Standing::Clear);
}

/// The trials of an innocent request coincide with the first two crashes of another request. The innocent one must not be
/// condemned before the cause is found a moment later.
#[test]
fn trials_that_met_another_culprit_condemn_nobody() {
    let mut registry = Registry::default();
    let at = |ms: u64| NOW + Duration::from_millis(ms);
    let (innocent, culprit) = (request(1), request(2));
    lose(&mut registry, 3, crash(9, false), at(0), UNIX);
    for life in [1, 2] {
        lose(&mut registry, 1, crash(life, false), at(life), UNIX);
    }
    for life in [3, 4] {
        lose(&mut registry, 1, crash(life, true), at(1_000 * life), UNIX);
        lose(&mut registry, 2, crash(life, false), at(1_000 * life), UNIX);
        registry.judge(at(1_000 * life + 300), UNIX);
    }
    assert_eq!(registry.standing(innocent, UNIX), Standing::Suspect);
    for life in [5, 6, 7, 8] {
        lose(&mut registry, 2, crash(life, true), at(1_000 * life), UNIX);
        registry.judge(at(1_000 * life + 300), UNIX);
    }
    assert_eq!(registry.standing(culprit, UNIX), Standing::Quarantined);
    assert_eq!(registry.standing(innocent, UNIX), Standing::Suspect);
    registry.judge(at(9_000), UNIX);
    assert_eq!(registry.standing(innocent, UNIX), Standing::Suspect);
}

/// Two suspects are on trial on the same upstream when it crashes; either may be the cause, so neither is condemned.
#[test]
fn a_trial_that_met_another_one_condemns_neither() {
    let mut registry = Registry::default();
    let at = |ms: u64| NOW + Duration::from_millis(ms);
    for (no, lives) in [(1, [1, 2, 3]), (2, [2, 3, 3])] {
        for life in lives {
            lose(&mut registry, no, crash(life, life == 3), at(life), UNIX);
        }
    }
    registry.judge(at(500), UNIX);
    for no in [1, 2] {
        assert_eq!(registry.standing(request(no), UNIX), Standing::Suspect);
    }
}

/// A repeated datagram must not count as another crash, and another crash of a restarted upstream must not be taken for a
/// repeated datagram.
#[test]
fn a_repeated_report_is_told_from_a_second_crash_under_one_life() {
    let mut registry = Registry::default();
    let at = |ms: u64| NOW + Duration::from_millis(ms);
    for ms in [0, 50, 150] {
        lose(&mut registry, 1, crash(7, false), at(ms), UNIX);
    }
    assert_eq!(registry.standing(request(1), UNIX), Standing::Clear);
    for ms in [2_000, 2_050] {
        lose(&mut registry, 1, crash(7, false), at(ms), UNIX);
    }
    assert_eq!(registry.standing(request(1), UNIX), Standing::Suspect);
    let record = registry.get(request(1)).map(|record| record.crashes.len());
    assert_eq!(record, Some(2));
}
