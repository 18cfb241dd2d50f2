//! Tests which version serves requests during a rollout.

use sesamegap_policy::shifting::select_version;
use sesamegap_wire::WeightsVersion;

const OLD: WeightsVersion = WeightsVersion(1);
const NEW: WeightsVersion = WeightsVersion(2);

/// Number of prefixes out of a thousand that the new version serves.
fn part(old: usize, new: usize) -> usize {
    let holders = [(OLD, old), (NEW, new)].into_iter();
    let holders = holders.filter(|(_, count)| *count > 0).collect();
    let points = (0..1000).map(|i| f64::from(i) / 1000.0);
    points
        .filter(|point| select_version(NEW, &holders, *point) == NEW)
        .count()
}

/// No engine holds the new version yet. Callers would be refused until the first engine has loaded
/// it if the old version didn't continue to serve them.
#[test]
fn old_weights_answer_until_new_ones_are_loaded() {
    assert_eq!(part(12, 0), 0);
}

/// If the new version served all requests once the first few of twelve engines have loaded it, all
/// callers would use those engines, whose caches are empty.
#[test]
fn the_new_version_takes_over_as_engines_load_it() {
    let parts: Vec<usize> = (0..=12).map(|new| part(12, new)).collect();
    assert!(parts.is_sorted(), "{parts:?}");
    assert_eq!(parts[3], 500);
}

/// One of twelve engines never loads the new version. If the rollout waited for it, the old version
/// would serve a twelfth of the requests indefinitely.
#[test]
fn an_engine_that_cannot_load_does_not_keep_old_weights() {
    assert_eq!(part(12, 11), 1000);
    assert_eq!(part(12, 6), 1000);
}

/// The operator rolls back to the previous version, which follows the same rule.
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
