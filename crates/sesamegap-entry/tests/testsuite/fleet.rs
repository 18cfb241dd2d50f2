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

/// A worker has left, and a heartbeat that was held up arrives after its entry was removed. New
/// work would go to a worker that is gone.
#[test]
fn a_late_heartbeat_does_not_bring_a_worker_back() {
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

/// A worker says that it leaves, and an older heartbeat of it arrives afterwards.
#[test]
fn a_worker_that_leaves_stays_leaving() {
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

/// The store was away, and entries lapsed because no heartbeat got through. Dropping all workers
/// would refuse every caller although they all live.
#[test]
fn entries_that_lapsed_with_the_store_away_get_time_to_come_back() {
    let mut fleet = fleet();
    for no in 0..4 {
        fleet.apply(&id(no), beat(1), offset(0), at(0));
    }
    fleet.store(false, at(1_000));
    fleet.store(true, at(6_000));
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
        "what did not come back is gone"
    );
    assert!(fleet.get(&id(0)).is_some());
}

/// A worker leaves without a word just after the store has come back. Its entry is gone, which looks
/// like a lapse; given two seconds of its own it would get requests for longer than it may.
#[test]
fn what_leaves_after_the_stores_return_gets_no_time_of_its_own() {
    let mut fleet = fleet();
    fleet.apply(&id(0), beat(1), offset(0), at(0));
    fleet.store(false, at(1_000));
    fleet.store(true, at(6_000));
    assert_eq!(
        fleet.remove(&id(0), offset(7_900), at(7_900)),
        Change::Lapsed
    );
    let open = |fleet: &Fleet, ms| fleet.openness(fleet.get(&id(0)).unwrap(), at(ms));
    assert_eq!(open(&fleet, 7_950), Availability::Open);
    assert_eq!(
        open(&fleet, 8_000),
        Availability::Paused,
        "before the list is read next"
    );
    assert_eq!(fleet.expire(at(8_000)), [(id(0), Change::Gone)]);
}

/// The store turns this VM away and serves the others, so no entry lapses for that. A worker whose entry
/// is gone has left, and would get requests for seconds if it were taken for a lapse.
#[test]
fn nothing_lapses_for_a_store_that_others_read() {
    let mut fleet = fleet();
    fleet.apply(&id(0), beat(1), offset(0), at(0));
    for ms in (1_000..9_000).step_by(300) {
        fleet.store_told(at(ms));
        fleet.store(false, at(ms + 100));
    }
    fleet.store(true, at(9_000));
    assert_eq!(fleet.remove(&id(0), offset(9_500), at(9_500)), Change::Gone);
    let mut alone = self::fleet();
    alone.apply(&id(0), beat(1), offset(0), at(0));
    alone.store_told(at(1_000));
    alone.store(false, at(2_100));
    alone.store(true, at(9_000));
    assert_eq!(
        alone.remove(&id(0), offset(9_500), at(9_500)),
        Change::Lapsed,
        "all were silent"
    );
}

/// While the store cannot be read nobody can come back, so nothing may expire.
#[test]
fn nothing_expires_while_the_store_is_away() {
    let mut fleet = fleet();
    fleet.apply(&id(0), beat(1), offset(0), at(0));
    fleet.store(false, at(100));
    assert_eq!(fleet.remove(&id(0), offset(200), at(200)), Change::Lapsed);
    assert_eq!(fleet.expire(at(60_000)), []);
    fleet.store(true, at(60_100));
    assert_eq!(fleet.expire(at(60_200)), []);
    assert_eq!(fleet.expire(at(62_200)), [(id(0), Change::Gone)]);
}

/// An engine crashes and comes back with the weights that it had, which were overtaken long ago.
/// Callers would get answers that nobody wants any more.
#[test]
fn weights_that_were_overtaken_long_ago_are_outdated() {
    let mut fleet = fleet();
    let named = |version| Weights {
        model: "m".into(),
        version: WeightsVersion(version),
    };
    assert!(fleet.name_weights(&named(2), at(0)));
    assert!(fleet.name_weights(&named(3), at(4_000)));
    assert!(!fleet.name_weights(&named(2), at(5_000)));
    let outdated = |version, ms| fleet.is_outdated("m", WeightsVersion(version), at(ms));
    assert!(!outdated(1, 5_000));
    assert!(outdated(1, 7_000));
    assert!(!outdated(2, 7_000));
    assert!(outdated(2, 11_000));
    assert!(!outdated(3, 99_000));
}

/// An answer tells of new weights before the next heartbeat, which still names the old ones.
#[test]
fn a_heartbeat_does_not_take_back_weights_that_were_seen() {
    let mut fleet = fleet();
    fleet.apply(&id(1), beat(1), offset(0), at(0));
    fleet.get_mut(&id(1)).unwrap().holds("m", WeightsVersion(4));
    fleet.apply(&id(1), beat(2), offset(10), at(10));
    let held = fleet.get(&id(1)).and_then(|up| up.version("m"));
    assert_eq!(held, Some(WeightsVersion(4)));
}

/// An upstream fails again and again. Trying it each time anew would hold up each of its requests.
#[test]
fn an_upstream_that_fails_is_avoided_for_longer_each_time() {
    let mut fleet = fleet();
    fleet.apply(&id(1), beat(1), offset(0), at(0));
    let upstream = fleet.get_mut(&id(1)).unwrap();
    upstream.fail(at(0));
    assert!(upstream.is_suspect(at(500)) && !upstream.is_suspect(at(700)));
    upstream.fail(at(700));
    upstream.fail(at(1_500));
    assert!(upstream.is_suspect(at(3_000)));
    upstream.hear(at(3_100));
    assert!(!upstream.is_suspect(at(3_100)));
}

/// Workers of a small service are replaced one after the other, and some just take their entry out
/// instead of saying that they leave. Keeping them for the time of an outage that there was not
/// sends work to them after they may be gone.
#[test]
fn entries_taken_out_with_the_store_there_are_gone_at_once_however_many() {
    let mut fleet = fleet();
    for no in 0..3 {
        fleet.apply(&id(no), beat(1), offset(0), at(0));
    }
    fleet.store(true, at(100));
    assert_eq!(fleet.remove(&id(0), offset(1_000), at(1_000)), Change::Gone);
    assert_eq!(fleet.remove(&id(1), offset(1_500), at(1_500)), Change::Gone);
    assert_eq!(fleet.remove(&id(2), offset(1_900), at(1_900)), Change::Gone);
}
