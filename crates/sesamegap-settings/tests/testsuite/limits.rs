//! Bounds of the fold's history.
//!
//! Evicting entries must not let a change take effect twice.

use crate::support::{append, change, populated_fold};
use serde_json::json;
use sesamegap_settings::change::MAX_EDITS;
use sesamegap_settings::fold::{MAX_CHANGE_IDS, MAX_HISTORY, MAX_TRACKED_PATHS};
use sesamegap_settings::{Change, ChangeId, Edit, Fold, Outcome};
use sesamegap_wire::Offset;

/// Appends `count` unrelated changes.
fn fill(fold: &mut Fold, count: usize) {
    for _ in 0..count {
        let id = 1_000 + u128::from(fold.next().0);
        let outcome = append(
            fold,
            &change(id, fold.revision().0, "teams/a/burst", json!(5)),
        );
        assert!(matches!(outcome, Outcome::Accepted { .. }));
    }
}

#[test]
fn a_change_whose_id_was_forgotten_still_takes_effect_once() {
    // An append is repeated after its id was evicted. It must not overwrite values that other
    // operators have set since.
    let mut fold = populated_fold();
    let first = change(2, 1, "teams/a/weight", json!(7));
    append(&mut fold, &first);
    append(&mut fold, &change(3, 2, "teams/a/weight", json!(8)));
    fill(&mut fold, MAX_CHANGE_IDS);
    assert_eq!(fold.outcome(&ChangeId(2)), None);
    let again = append(&mut fold, &first);
    assert!(
        matches!(
            again,
            Outcome::Conflict {
                winner: Offset(3),
                ..
            }
        ),
        "{again}"
    );
    assert_eq!(fold.history().count(), MAX_HISTORY);
}

#[test]
fn a_base_older_than_what_is_remembered_is_a_conflict() {
    // So many paths were modified that the fold no longer knows all modifications since the base.
    // Assuming that there were none could revert an evicted change.
    let mut fold = populated_fold();
    let old = change(2, 1, "teams/a/weight", json!(7));
    let mut names = 0..;
    while fold.dry_run(&old)
        == (Outcome::Accepted {
            revision: fold.next().next(),
        })
    {
        let edits = names.by_ref().take(MAX_EDITS).map(|name| Edit {
            path: format!("models/m{name}").parse().expect("a path"),
            value: Some(json!({})),
        });
        let more = Change {
            id: ChangeId(u128::from(fold.next().0) + 1_000),
            base: fold.revision(),
            by: "op".into(),
            note: String::new(),
            edits: edits.collect(),
        };
        assert!(matches!(append(&mut fold, &more), Outcome::Accepted { .. }));
        assert!(
            names.start <= MAX_TRACKED_PATHS + 2 * MAX_EDITS,
            "no path is ever evicted"
        );
    }
    let outcome = append(&mut fold, &old);
    assert!(
        matches!(outcome, Outcome::Conflict { by: None, .. }),
        "{outcome}"
    );
    let fresh = change(3, fold.revision().0, "teams/a/weight", json!(9));
    assert!(matches!(
        append(&mut fold, &fresh),
        Outcome::Accepted { .. }
    ));
}

#[test]
fn the_verdict_is_kept_after_its_findings_are_evicted() {
    let mut fold = populated_fold();
    append(&mut fold, &change(2, 1, "teams/a/weight", json!(-7)));
    let detailed = fold
        .outcome(&ChangeId(2))
        .map(|outcome| outcome.to_string());
    assert!(detailed.is_some_and(|text| text.contains("`-7` is not valid")));
    fill(&mut fold, MAX_HISTORY);
    let brief = fold.outcome(&ChangeId(2));
    assert!(matches!(brief, Some(Outcome::Invalid(_))));
}

#[test]
fn changes_beyond_their_bounds_are_not_encoded() {
    let mut large = change(2, 1, "teams/a/weight", json!(7));
    large.note = "x".repeat(513);
    assert!(large.encode().is_err());
    large.note.clear();
    large.edits = vec![large.edits[0].clone(); MAX_EDITS + 1];
    assert!(large.encode().is_err());
    large.edits.clear();
    assert!(large.encode().is_err());
}
