//! Which weights answer while a version is rolled.

use sesamegap_policy::shifting::select_version;
use sesamegap_wire::WeightsVersion;

const OLD: WeightsVersion = WeightsVersion(1);
const NEW: WeightsVersion = WeightsVersion(2);

/// Part of a thousand prefixes that the new weights answer.
fn part(old: usize, new: usize) -> usize {
    let holders = [(OLD, old), (NEW, new)].into_iter();
    let holders = holders.filter(|(_, count)| *count > 0).collect();
    let points = (0..1000).map(|i| f64::from(i) / 1000.0);
    points
        .filter(|point| select_version(NEW, &holders, *point) == NEW)
        .count()
}

/// An operator publishes a new version that no engine holds yet. Callers would be refused until
/// the first engine has loaded it, if the old weights did not go on answering.
#[test]
fn old_weights_answer_until_new_ones_are_loaded() {
    assert_eq!(part(12, 0), 0);
}

/// Two of twelve engines have loaded the new version. All callers would meet on those two, whose
/// caches are empty, if it answered everything at once.
#[test]
fn the_new_version_takes_over_as_engines_load_it() {
    let parts: Vec<usize> = (0..=12).map(|new| part(12, new)).collect();
    assert!(parts.is_sorted(), "{parts:?}");
    assert_eq!(parts[3], 500);
}

/// One engine never manages to load the new version. A twelfth of the callers would get answers
/// of old weights for good, if the roll waited for it.
#[test]
fn an_engine_that_cannot_load_does_not_keep_old_weights() {
    assert_eq!(part(12, 11), 1000);
    assert_eq!(part(12, 6), 1000);
}

/// The operator goes back to the version before; the same holds the other way round.
#[test]
fn a_version_taken_back_is_served_as_soon_as_half_hold_it() {
    let holders = [(NEW, 12), (OLD, 0)].into();
    assert_eq!(select_version(OLD, &holders, 0.0), NEW);
    let holders = [(NEW, 12), (OLD, 6)].into();
    assert_eq!(select_version(OLD, &holders, 0.999), OLD);
}

#[test]
fn without_any_holder_the_wanted_version_stands() {
    assert_eq!(select_version(NEW, &[].into(), 0.5), NEW);
}
