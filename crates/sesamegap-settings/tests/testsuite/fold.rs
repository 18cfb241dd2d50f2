//! Acceptance and rejection of changes and snapshots by the fold.

use crate::support::{append, change, changes, populated_fold};
use serde_json::{Value, json};
use sesamegap_settings::{ChangeId, Fold, Outcome, SettingsError};
use sesamegap_wire::{Offset, TeamId};

fn weight(fold: &Fold, team: &str) -> f64 {
    fold.catalogue().teams[&team.parse().expect("a name")].weight
}

#[test]
fn racing_operators_get_one_winner_and_one_explained_conflict() {
    // Two operators read revision 1 and change the same team, and both appends reach the log.
    // Without the base check, the later change would silently overwrite the earlier one.
    let mut fold = populated_fold();
    let first = append(&mut fold, &change(2, 1, "teams/a/weight", json!(7)));
    assert_eq!(
        first,
        Outcome::Accepted {
            revision: Offset(2)
        }
    );
    let second = append(&mut fold, &change(3, 1, "teams/a", json!({"weight": 9})));
    assert_eq!(
        second,
        Outcome::Conflict {
            winner: Offset(2),
            path: "teams/a/weight".parse().unwrap(),
            by: Some("op".into()),
        }
    );
    assert!((weight(&fold, "a") - 7.0).abs() < f64::EPSILON);
    assert_eq!(fold.outcome(&ChangeId(3)), Some(second));
    assert_eq!(fold.revision(), Offset(2));
}

#[test]
fn changes_of_different_paths_do_not_conflict() {
    let mut fold = populated_fold();
    append(&mut fold, &change(2, 1, "teams/a/weight", json!(7)));
    let other = append(&mut fold, &change(3, 1, "teams/a/burst", json!(70)));
    assert_eq!(
        other,
        Outcome::Accepted {
            revision: Offset(3)
        }
    );
}

#[test]
fn a_repeated_append_is_the_same_change() {
    // The log stores an append but the response is lost, so the router appends again. Treated as
    // a new change, it would conflict with itself and the operator would see a false conflict.
    let mut fold = populated_fold();
    let lost = change(2, 1, "teams/a/weight", json!(7));
    append(&mut fold, &lost);
    append(&mut fold, &change(3, 2, "teams/a/weight", json!(8)));
    assert_eq!(
        append(&mut fold, &lost),
        Outcome::Duplicate { of: Offset(1) }
    );
    assert!((weight(&fold, "a") - 8.0).abs() < f64::EPSILON);
    let kept = fold.outcome(&ChangeId(2));
    assert_eq!(
        kept,
        Some(Outcome::Accepted {
            revision: Offset(2)
        })
    );
}

#[test]
fn a_change_that_breaks_validation_is_refused_with_all_findings() {
    // One of three edits is valid. Applying it alone would leave the tree in a state that no
    // operator wrote.
    let mut fold = populated_fold();
    let before = (fold.tree().clone(), fold.catalogue());
    let broken = changes(
        2,
        1,
        [
            ("teams/a/weight", json!(7)),
            ("teams/a/class", json!("absent")),
            ("groups/desk/teams/b/models", json!(["m", "gone"])),
        ],
    );
    let Outcome::Invalid(findings) = append(&mut fold, &broken) else {
        panic!("a broken change was not refused");
    };
    let paths: Vec<&str> = findings.iter().map(|f| f.path.as_str()).collect();
    assert_eq!(paths, ["teams/a/class", "groups/desk/teams/b/models"]);
    assert_eq!((fold.tree().clone(), fold.catalogue()), before);
}

#[test]
fn a_class_in_use_cannot_be_removed() {
    let mut fold = populated_fold();
    let outcome = append(&mut fold, &change(2, 1, "classes/standard", Value::Null));
    let Outcome::Invalid(findings) = outcome else {
        panic!("the class of two teams was removed");
    };
    let paths: Vec<&str> = findings.iter().map(|f| f.path.as_str()).collect();
    assert_eq!(paths, ["teams/a/class", "groups/desk/teams/b/class"]);
}

#[test]
fn one_key_never_belongs_to_two_teams() {
    let mut fold = populated_fold();
    let hash = json!([sesamegap_settings::key_hash("k")]);
    append(&mut fold, &change(2, 1, "teams/a/key_hashes", hash.clone()));
    let catalogue = fold.catalogue();
    assert_eq!(catalogue.keys.team("k").map(TeamId::as_str), Some("a"));
    let second = append(
        &mut fold,
        &change(3, 2, "groups/desk/teams/b/key_hashes", hash),
    );
    assert!(matches!(second, Outcome::Invalid(_)));
}

#[test]
fn a_team_moves_between_groups_in_one_change() {
    let mut fold = populated_fold();
    let moved = changes(
        2,
        1,
        [("groups/desk/teams/b", Value::Null), ("teams/b", json!({}))],
    );
    assert!(matches!(
        append(&mut fold, &moved),
        Outcome::Accepted { .. }
    ));
    assert!((weight(&fold, "b") - 1.0).abs() < f64::EPSILON);
    let twice = append(&mut fold, &change(3, 2, "groups/desk/teams/b", json!({})));
    assert!(matches!(twice, Outcome::Invalid(_)));
}

#[test]
fn positions_only_move_forward() {
    // A lagging peer sends an old snapshot, and the log is read again from an old offset. Applying
    // either would restore settings that have been replaced since.
    let mut fold = populated_fold();
    let old = fold.snapshot();
    let later = change(2, 1, "teams/a/weight", json!(7));
    append(&mut fold, &later);
    assert_eq!(fold.adopt(&old), Ok(false));
    let again = fold.apply(Offset(1), 0, &later.encode().unwrap());
    assert_eq!(again, Outcome::Passed);
    assert_eq!(fold.next(), Offset(2));
}

#[test]
fn a_snapshot_replaces_all_earlier_records() {
    let mut fold = populated_fold();
    append(&mut fold, &change(2, 1, "teams/a/weight", json!(7)));
    let snapshot = fold.snapshot();
    let mut fresh = Fold::default();
    let gap = fresh.apply(
        Offset(2),
        0,
        &change(3, 2, "teams/a/weight", json!(8)).encode().unwrap(),
    );
    assert_eq!(gap, Outcome::Gap { next: Offset(0) });
    assert_eq!(fresh.apply(Offset(2), 0, &snapshot), Outcome::Snapshot);
    assert_eq!(fresh.next(), Offset(2));
    assert_eq!(fresh.catalogue(), fold.catalogue());
    assert_eq!(fresh.snapshot(), snapshot);
    let repeated = append(&mut fresh, &change(2, 1, "teams/a/weight", json!(7)));
    assert_eq!(repeated, Outcome::Duplicate { of: Offset(1) });
}

#[test]
fn a_snapshot_that_does_not_match_its_hash_is_refused() {
    // A snapshot is corrupted in transit from a peer. Adopting it would make a single router apply
    // settings that nobody published.
    let mut fold = populated_fold();
    let mut damaged = fold.snapshot();
    append(&mut fold, &change(2, 1, "teams/a/weight", json!(7)));
    let at = damaged.windows(6).position(|w| w == b"weight").unwrap();
    damaged[at] ^= 1;
    let mut fresh = Fold::default();
    assert_eq!(fresh.adopt(&damaged), Err(SettingsError::SnapshotMismatch));
    assert_eq!(fresh.next(), Offset(0));
}

#[test]
fn a_base_ahead_of_the_log_is_refused() {
    let mut fold = populated_fold();
    let outcome = append(&mut fold, &change(2, 900, "teams/a/weight", json!(7)));
    assert!(matches!(outcome, Outcome::Invalid(_)));
}
