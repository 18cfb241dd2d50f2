use sesamegap_policy::routing::weights::{Named, Namings};
use sesamegap_wire::{Moment, WeightsVersion};
use smol_str::SmolStr;
use std::time::Duration;

/// Time after a naming from which no request may start on older weights.
const BOUND: Duration = Duration::from_secs(8);

fn at(ms: u64) -> Moment {
    Moment(ms * 1_000)
}

fn model() -> SmolStr {
    "m".into()
}

fn named(versions: &[(u32, Named)]) -> Namings {
    let mut namings = Namings::new(BOUND);
    for (version, named) in versions {
        namings.learn(&model(), WeightsVersion(*version), *named);
    }
    namings
}

fn may_send(namings: &Namings, version: u32, wait_ms: u64, ms: u64) -> bool {
    let wait = Duration::from_millis(wait_ms);
    namings.may_send("m", WeightsVersion(version), wait, at(ms))
}

/// A request that is sent starts before the bound ends or is withdrawn before, even if its wait is up to twice the
/// expected one.
#[test]
fn a_sent_request_starts_in_time_or_is_withdrawn() {
    let namings = named(&[(2, Named::At(at(0)))]);
    let withdrawn = namings.start_deadline("m", WeightsVersion(1));
    assert!(withdrawn.is_some_and(|until| until < Moment(0) + BOUND));
    for ms in (0..9_000).step_by(50) {
        for wait in (0..9_000).step_by(50) {
            if may_send(&namings, 1, wait, ms) {
                assert!(ms + 2 * wait < 8_000, "{ms} {wait}");
            }
        }
    }
    assert!(may_send(&namings, 2, 9_000, 99_000));
    assert_eq!(namings.start_deadline("m", WeightsVersion(2)), None);
}

/// A prompt sent to an engine with 38,000 tokens left to prefill would start 2.3 s later, when its weights may no longer
/// be used, though an idle engine could still take it.
#[test]
fn a_long_queue_shuts_an_engine_earlier() {
    let namings = named(&[(2, Named::At(at(0)))]);
    assert!(may_send(&namings, 1, 0, 6_200));
    assert!(!may_send(&namings, 1, 1_269, 6_200));
    assert!(may_send(&namings, 1, 1_269, 5_000));
}

/// A VM that starts after two namings and learns only of the newest would count the age of an engine's weights from
/// the second one, and send requests there for seconds too long.
#[test]
fn a_vm_that_starts_late_learns_of_superseded_namings_too() {
    let peer = named(&[(2, Named::At(at(0))), (3, Named::At(at(4_000)))]);
    let mut started = Namings::new(BOUND);
    started.learn(&model(), WeightsVersion(3), Named::At(at(4_000)));
    let received: Vec<_> = peer.all().collect();
    for (model, naming) in received {
        started.learn(model, naming.version, Named::At(naming.at));
    }
    assert_eq!(started.superseded_at("m", WeightsVersion(1)), Some(at(0)));
    assert_eq!(
        started.superseded_at("m", WeightsVersion(2)),
        Some(at(4_000))
    );
    assert!(!may_send(&started, 1, 0, 7_000));
}

/// If the naming of one model counted for another, the other's engines would serve old weights for as long as the first
/// model gets new namings.
#[test]
fn namings_are_tracked_per_model() {
    let mut namings = named(&[(2, Named::At(at(0)))]);
    namings.learn(&"n".into(), WeightsVersion(5), Named::At(at(6_000)));
    assert!(!may_send(&namings, 1, 0, 7_000));
    assert_eq!(namings.target_version("m", at(6_500)), WeightsVersion(2));
    assert_eq!(namings.target_version("n", at(6_500)), WeightsVersion(0));
}

/// A VM that starts and finds weights in the store cannot know when they were named. If it took them as new, it would use
/// the previous ones for the whole bound; it must stop before the bound applies to it, 3 s after its start.
#[test]
fn weights_with_unknown_naming_time_count_as_old() {
    for secs in [8, 10, 15] {
        let mut namings = Namings::new(Duration::from_secs(secs));
        let guess = namings.estimate(at(60_000));
        namings.learn(&model(), WeightsVersion(7), guess);
        assert!(
            may_send(&namings, 6, 0, 61_000),
            "engines must serve right after a start"
        );
        assert!(!may_send(&namings, 6, 0, 62_900));
    }
}

/// Weights are named while the store drops its history, and a VM that had read everything up to a second before
/// rediscovers them. They cannot be older than that second. A higher estimate of their age would shut all engines long
/// before the first could load them, and every VM would refuse every prompt.
#[test]
fn rediscovered_weights_are_no_older_than_the_last_read() {
    for secs in [8, 10, 12, 15] {
        let mut namings = Namings::new(Duration::from_secs(secs));
        let found = namings.estimate_after(at(59_000), at(60_000));
        namings.learn(&model(), WeightsVersion(7), found);
        let latest = 59_000 + secs * 1_000;
        assert!(may_send(&namings, 6, 0, latest - 2_000));
        assert!(!may_send(&namings, 6, 0, latest));
    }
}

/// A VM that was cut off for longer than the bound finds weights that were named meanwhile at an unknown time, and must
/// estimate their age as after a start.
#[test]
fn weights_found_after_a_long_disconnection_count_as_old() {
    let mut namings = Namings::new(BOUND);
    let found = namings.estimate_after(at(10_000), at(60_000));
    assert_eq!(found, namings.estimate(at(60_000)));
    namings.learn(&model(), WeightsVersion(7), found);
    assert!(!may_send(&namings, 6, 0, 62_900));
}

/// An observed time takes precedence over an estimate in any order of arrival, and an earlier time over a later one.
#[test]
fn an_observed_time_replaces_an_estimate() {
    let seen = [Named::At(at(5_000)), Named::At(at(5_200))];
    let guess = Named::Guessed(at(1_000));
    let orders = [
        [guess, seen[0], seen[1]],
        [seen[1], guess, seen[0]],
        [seen[0], seen[1], guess],
    ];
    for order in orders {
        let namings = named(&order.map(|named| (2, named)));
        assert_eq!(
            namings.superseded_at("m", WeightsVersion(1)),
            Some(at(5_000))
        );
    }
}

/// Under continuous namings the history stays small, and engines with much older weights stay shut.
#[test]
fn old_namings_are_dropped_but_engines_behind_them_stay_shut() {
    let mut namings = Namings::new(BOUND);
    for version in 2..500 {
        let now = at(u64::from(version) * 3_000);
        namings.learn(&model(), WeightsVersion(version), Named::At(now));
        namings.forget(now);
        assert!(namings.all().count() <= 5, "{}", namings.all().count());
        assert!(!namings.may_send("m", WeightsVersion(1), Duration::ZERO, now) || version < 5);
    }
}

/// A VM starts and finds weights that were named eight seconds before. The bound applies to it 3 s after its start, when
/// a request that it sent may still wait at an engine.
#[test]
fn requests_sent_on_an_estimate_start_before_the_bound_applies() {
    let mut namings = Namings::new(BOUND);
    let guess = namings.estimate(at(60_000));
    namings.learn(&model(), WeightsVersion(7), guess);
    let until = namings.start_deadline("m", WeightsVersion(6));
    assert!(until <= Some(at(63_000)), "{until:?}");
}
