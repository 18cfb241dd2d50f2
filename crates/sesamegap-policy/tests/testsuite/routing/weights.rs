use sesamegap_policy::routing::weights::{Named, Namings};
use sesamegap_wire::{Moment, WeightsVersion};
use smol_str::SmolStr;
use std::time::Duration;

/// Time from a naming after which no request may begin on older weights.
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

/// Whatever the wait that is expected, and up to twice as long, a request that is sent begins before the
/// bound, or is taken back before it.
#[test]
fn what_is_sent_begins_in_time_or_is_taken_back() {
    let namings = named(&[(2, Named::At(at(0)))]);
    let taken_back = namings.begin_by("m", WeightsVersion(1));
    assert!(taken_back.is_some_and(|until| until < Moment(0) + BOUND));
    for ms in (0..9_000).step_by(50) {
        for wait in (0..9_000).step_by(50) {
            if may_send(&namings, 1, wait, ms) {
                assert!(ms + 2 * wait < 8_000, "{ms} {wait}");
            }
        }
    }
    assert!(may_send(&namings, 2, 9_000, 99_000));
    assert_eq!(namings.begin_by("m", WeightsVersion(2)), None);
}

/// An engine has 38,000 tokens to read. A prompt that is sent there would begin 2.3 s later, after nobody may
/// use its weights any more, though an idle engine could still take it.
#[test]
fn a_long_queue_shuts_an_engine_earlier() {
    let namings = named(&[(2, Named::At(at(0)))]);
    assert!(may_send(&namings, 1, 0, 6_200));
    assert!(!may_send(&namings, 1, 1_269, 6_200));
    assert!(may_send(&namings, 1, 1_269, 5_000));
}

/// A VM starts after weights were named twice and hears only of the newest ones. It would count the age of
/// an engine's weights from the second naming, and send requests there for seconds too long.
#[test]
fn a_vm_that_hears_late_learns_of_overtaken_namings_too() {
    let teller = named(&[(2, Named::At(at(0))), (3, Named::At(at(4_000)))]);
    let mut started = Namings::new(BOUND);
    started.learn(&model(), WeightsVersion(3), Named::At(at(4_000)));
    let told: Vec<_> = teller.all().collect();
    for (model, naming) in told {
        started.learn(model, naming.version, Named::At(naming.at));
    }
    assert_eq!(started.overtaken("m", WeightsVersion(1)), Some(at(0)));
    assert_eq!(started.overtaken("m", WeightsVersion(2)), Some(at(4_000)));
    assert!(!may_send(&started, 1, 0, 7_000));
}

/// Two models take new weights in turn. The age of one's naming must not be taken for the other's, or its
/// engines serve old weights for as long as the other is renamed.
#[test]
fn each_model_has_its_own_times() {
    let mut namings = named(&[(2, Named::At(at(0)))]);
    namings.learn(&"n".into(), WeightsVersion(5), Named::At(at(6_000)));
    assert!(!may_send(&namings, 1, 0, 7_000));
    assert_eq!(namings.wanted("m", at(6_500)), WeightsVersion(2));
    assert_eq!(namings.wanted("n", at(6_500)), WeightsVersion(0));
}

/// A VM starts, finds weights in the store and cannot know when they were named. Taking them for new would have it
/// use the ones before for the whole bound; by the time it is held to the bound, three seconds after its
/// start, it must have stopped.
#[test]
fn weights_that_are_found_are_taken_for_old() {
    for secs in [8, 10, 15] {
        let mut namings = Namings::new(Duration::from_secs(secs));
        let guess = namings.guess(at(60_000));
        namings.learn(&model(), WeightsVersion(7), guess);
        assert!(
            may_send(&namings, 6, 0, 61_000),
            "engines must serve right after a start"
        );
        assert!(!may_send(&namings, 6, 0, 62_900));
    }
}

/// Weights are named while the store drops its history, and a VM that has read all up to a second before finds
/// them again. They cannot be older than that second; taken for older, they shut all engines long before
/// the first could load them, and every VM refuses every prompt.
#[test]
fn weights_found_again_are_no_older_than_what_was_read_before() {
    for secs in [8, 10, 12, 15] {
        let mut namings = Namings::new(Duration::from_secs(secs));
        let found = namings.guess_after(at(59_000), at(60_000));
        namings.learn(&model(), WeightsVersion(7), found);
        let latest = 59_000 + secs * 1_000;
        assert!(may_send(&namings, 6, 0, latest - 2_000));
        assert!(!may_send(&namings, 6, 0, latest));
    }
}

/// A VM was cut off for longer than the bound and finds weights that were named meanwhile, nobody knows when. It
/// must take them for as old as after a start.
#[test]
fn weights_found_after_a_long_cut_are_taken_for_old() {
    let mut namings = Namings::new(BOUND);
    let found = namings.guess_after(at(10_000), at(60_000));
    assert_eq!(found, namings.guess(at(60_000)));
    namings.learn(&model(), WeightsVersion(7), found);
    assert!(!may_send(&namings, 6, 0, 62_900));
}

/// What was seen goes before a guess, in whatever order they come, and of two times the earlier one.
#[test]
fn a_guess_yields_to_a_time_that_was_seen() {
    let seen = [Named::At(at(5_000)), Named::At(at(5_200))];
    let guess = Named::Guessed(at(1_000));
    let orders = [
        [guess, seen[0], seen[1]],
        [seen[1], guess, seen[0]],
        [seen[0], seen[1], guess],
    ];
    for order in orders {
        let namings = named(&order.map(|named| (2, named)));
        assert_eq!(namings.overtaken("m", WeightsVersion(1)), Some(at(5_000)));
    }
}

/// Weights are named all day. What is remembered stays small, and engines that are far behind stay shut.
#[test]
fn old_namings_are_forgotten_but_not_what_they_shut_out() {
    let mut namings = Namings::new(BOUND);
    for version in 2..500 {
        let now = at(u64::from(version) * 3_000);
        namings.learn(&model(), WeightsVersion(version), Named::At(now));
        namings.forget(now);
        assert!(namings.all().count() <= 5, "{}", namings.all().count());
        assert!(!namings.may_send("m", WeightsVersion(1), Duration::ZERO, now) || version < 5);
    }
}

/// A VM starts and finds weights that were named eight seconds before. It is held to the bound three seconds after
/// its start, and a request that it sent may still wait at an engine and begin then.
#[test]
fn what_is_sent_on_a_guess_has_begun_before_the_vm_is_held_to_the_bound() {
    let mut namings = Namings::new(BOUND);
    let guess = namings.guess(at(60_000));
    namings.learn(&model(), WeightsVersion(7), guess);
    let until = namings.begin_by("m", WeightsVersion(6));
    assert!(until <= Some(at(63_000)), "{until:?}");
}
