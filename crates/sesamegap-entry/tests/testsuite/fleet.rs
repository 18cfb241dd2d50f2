use crate::support::{entry, offset, unused_addr};
use sesamegap_entry::fleet::{Change, Entry, Fleet, Rules};
use sesamegap_entry::ports::Weights;
use sesamegap_policy::routing::{Availability, belief};
use sesamegap_wire::{Moment, UpstreamId, WeightsVersion};
use std::time::Duration;

fn fleet() -> Fleet {
    Fleet::new(Rules {
        belief: belief::Rules::default(),
        weights: Duration::from_secs(8),
    })
}

fn at(ms: u64) -> Moment {
    Moment(ms * 1_000)
}

fn beat(number: u64) -> Entry {
    Entry {
        beat: number,
        ..entry("engines", unused_addr())
    }
}

fn id(no: u32) -> UpstreamId {
    format!("e{no}").parse().unwrap()
}

/// A delayed heartbeat arrives after the entry of a worker that left was removed. If it were listed again, new
/// requests would go to a worker that is gone.
#[test]
fn a_delayed_heartbeat_does_not_restore_a_removed_worker() {
    let mut fleet = fleet();
    assert_eq!(fleet.apply(&id(1), beat(5), offset(0), at(0)), Change::New);
    assert_eq!(fleet.remove(&id(1), offset(10), at(10)), Change::Gone);
    assert_eq!(
        fleet.apply(&id(1), beat(5), offset(20), at(20)),
        Change::Doubted
    );
    assert!(fleet.get(&id(1)).is_none());
    assert_eq!(
        fleet.apply(&id(1), beat(6), offset(30), at(30)),
        Change::New
    );
}

/// An older heartbeat arrives after a worker announced that it is leaving.
#[test]
fn a_leaving_worker_stays_leaving() {
    let mut fleet = fleet();
    fleet.apply(&id(1), beat(1), offset(0), at(0));
    let mut leaving = beat(3);
    leaving.leaving = true;
    assert_eq!(
        fleet.apply(&id(1), leaving, offset(10), at(10)),
        Change::Leaving
    );
    fleet.apply(&id(1), beat(2), offset(20), at(20));
    fleet.apply(&id(1), beat(4), offset(30), at(30));
    assert!(fleet.get(&id(1)).is_some_and(|up| up.is_paused(at(40))));
}

/// While the store was unreachable, entries lapsed because no heartbeat got through. If all these workers were
/// dropped, every caller would be refused although they are alive.
#[test]
fn entries_that_lapsed_during_an_outage_get_time_to_reappear() {
    let mut fleet = fleet();
    for no in 0..4 {
        fleet.apply(&id(no), beat(1), offset(0), at(0));
    }
    fleet.record_store_response(false, at(1_000));
    fleet.record_store_response(true, at(6_000));
    assert_eq!(
        fleet.remove(&id(0), offset(6_010), at(6_010)),
        Change::Lapsed
    );
    assert_eq!(
        fleet.remove(&id(1), offset(6_020), at(6_020)),
        Change::Lapsed
    );
    fleet.apply(&id(0), beat(2), offset(7_000), at(7_000));
    assert_eq!(fleet.expire(at(7_900)), []);
    assert_eq!(
        fleet.expire(at(8_100)),
        [(id(1), Change::Gone)],
        "an entry that did not reappear is gone"
    );
    assert!(fleet.get(&id(0)).is_some());
}

/// A worker leaves without an announcement just after the store has returned. The removal of its entry looks like a
/// lapse. If it got two seconds from its own removal, it would be sent requests for longer than allowed.
#[test]
fn the_time_to_reappear_starts_at_the_return_of_the_store() {
    let mut fleet = fleet();
    fleet.apply(&id(0), beat(1), offset(0), at(0));
    fleet.record_store_response(false, at(1_000));
    fleet.record_store_response(true, at(6_000));
    assert_eq!(
        fleet.remove(&id(0), offset(7_900), at(7_900)),
        Change::Lapsed
    );
    let open = |fleet: &Fleet, ms| fleet.availability(fleet.get(&id(0)).unwrap(), at(ms));
    assert_eq!(open(&fleet, 7_950), Availability::Open);
    assert_eq!(
        open(&fleet, 8_000),
        Availability::Paused,
        "before the next read of the list"
    );
    assert_eq!(fleet.expire(at(8_000)), [(id(0), Change::Gone)]);
}

/// The store rejects this VM but serves the others, so no entry lapses. A worker whose entry was removed has left;
/// if the removal counted as a lapse, it would be sent requests for seconds.
#[test]
fn removals_are_no_lapses_if_peers_reach_the_store() {
    let mut fleet = fleet();
    fleet.apply(&id(0), beat(1), offset(0), at(0));
    for ms in (1_000..9_000).step_by(300) {
        fleet.record_peer_store_report(at(ms));
        fleet.record_store_response(false, at(ms + 100));
    }
    fleet.record_store_response(true, at(9_000));
    assert_eq!(fleet.remove(&id(0), offset(9_500), at(9_500)), Change::Gone);
    let mut alone = self::fleet();
    alone.apply(&id(0), beat(1), offset(0), at(0));
    alone.record_peer_store_report(at(1_000));
    alone.record_store_response(false, at(2_100));
    alone.record_store_response(true, at(9_000));
    assert_eq!(
        alone.remove(&id(0), offset(9_500), at(9_500)),
        Change::Lapsed,
        "no recent peer report says that the store answers"
    );
}

/// While the store is unreachable, no entry can reappear, so lapsed entries must not expire.
#[test]
fn nothing_expires_while_the_store_is_unreachable() {
    let mut fleet = fleet();
    fleet.apply(&id(0), beat(1), offset(0), at(0));
    fleet.record_store_response(false, at(100));
    assert_eq!(fleet.remove(&id(0), offset(200), at(200)), Change::Lapsed);
    assert_eq!(fleet.expire(at(60_000)), []);
    fleet.record_store_response(true, at(60_100));
    assert_eq!(fleet.expire(at(60_200)), []);
    assert_eq!(fleet.expire(at(62_200)), [(id(0), Change::Gone)]);
}

/// An engine crashes and returns with its old weights, which were superseded long ago. Callers would get outdated
/// answers.
#[test]
fn weights_superseded_long_ago_are_outdated() {
    let mut fleet = fleet();
    let named = |version| Weights {
        model: "m".into(),
        version: WeightsVersion(version),
    };
    assert!(fleet.observe_naming(&named(2), at(0)));
    assert!(fleet.observe_naming(&named(3), at(4_000)));
    assert!(!fleet.observe_naming(&named(2), at(5_000)));
    let outdated = |version, ms| fleet.is_outdated("m", WeightsVersion(version), at(ms));
    assert!(!outdated(1, 5_000));
    assert!(outdated(1, 7_000));
    assert!(!outdated(2, 7_000));
    assert!(outdated(2, 11_000));
    assert!(!outdated(3, 99_000));
}

/// An answer reports new weights, and the next heartbeat still names the old ones.
#[test]
fn a_heartbeat_does_not_revert_observed_weights() {
    let mut fleet = fleet();
    fleet.apply(&id(1), beat(1), offset(0), at(0));
    fleet
        .get_mut(&id(1))
        .unwrap()
        .record_version("m", WeightsVersion(4));
    fleet.apply(&id(1), beat(2), offset(10), at(10));
    let held = fleet.get(&id(1)).and_then(|up| up.version("m"));
    assert_eq!(held, Some(WeightsVersion(4)));
}

/// An upstream fails repeatedly. Retrying it at a fixed interval would delay requests each time.
#[test]
fn an_upstream_is_avoided_for_longer_after_each_failure() {
    let mut fleet = fleet();
    fleet.apply(&id(1), beat(1), offset(0), at(0));
    let upstream = fleet.get_mut(&id(1)).unwrap();
    upstream.record_failure(at(0));
    assert!(upstream.is_suspect(at(500)) && !upstream.is_suspect(at(700)));
    upstream.record_failure(at(700));
    upstream.record_failure(at(1_500));
    assert!(upstream.is_suspect(at(3_000)));
    upstream.record_received(at(3_100));
    assert!(!upstream.is_suspect(at(3_100)));
}

/// Workers of a small service are replaced one after the other, and some remove their entry without announcing that
/// they leave. If many removals were taken for an outage of the store, requests would go to workers that are gone.
#[test]
fn any_number_of_removals_takes_effect_at_once_while_the_store_is_reachable() {
    let mut fleet = fleet();
    for no in 0..3 {
        fleet.apply(&id(no), beat(1), offset(0), at(0));
    }
    fleet.record_store_response(true, at(100));
    assert_eq!(fleet.remove(&id(0), offset(1_000), at(1_000)), Change::Gone);
    assert_eq!(fleet.remove(&id(1), offset(1_500), at(1_500)), Change::Gone);
    assert_eq!(fleet.remove(&id(2), offset(1_900), at(1_900)), Change::Gone);
}
