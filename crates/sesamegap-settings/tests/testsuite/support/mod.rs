//! Helpers to build changes and folds.

pub mod naive;

use quickcheck::{Gen, QuickCheck};
use serde_json::{Value, json};
use sesamegap_settings::{Change, ChangeId, Edit, Fold, Outcome};
use sesamegap_wire::Offset;

/// A change with one edit; `Value::Null` removes the value.
pub fn change(id: u128, base: u64, path: &str, value: Value) -> Change {
    changes(id, base, [(path, value)])
}

/// A change with several edits.
pub fn changes<const N: usize>(id: u128, base: u64, edits: [(&str, Value); N]) -> Change {
    let edit = |(path, value): (&str, Value)| Edit {
        path: path.parse().expect("a path"),
        value: (!value.is_null()).then_some(value),
    };
    Change {
        id: ChangeId(id),
        base: Offset(base),
        by: "op".into(),
        note: String::new(),
        edits: edits.into_iter().map(edit).collect(),
    }
}

/// Applies a change at the fold's next offset.
pub fn append(fold: &mut Fold, change: &Change) -> Outcome {
    fold.apply(fold.next(), 0, &change.encode().expect("within bounds"))
}

/// A fold at revision 1 with a class, a model and two teams.
pub fn populated_fold() -> Fold {
    let mut fold = Fold::default();
    let first = changes(
        1,
        0,
        [
            ("classes/standard", json!({})),
            ("models/m", json!({"version": 3})),
            ("teams/a", json!({"weight": 2})),
            (
                "groups/desk",
                json!({"defaults": {"team": {"weight": 5}}, "teams": {"b": {}}}),
            ),
        ],
    );
    let outcome = append(&mut fold, &first);
    assert_eq!(
        outcome,
        Outcome::Accepted {
            revision: Offset(1)
        }
    );
    fold
}

/// A property test with a fixed seed; `SESAMEGAP_CASES` can raise the number of cases.
pub fn property_test(seed: u64, cases: u64, size: usize) -> QuickCheck {
    let asked = std::env::var("SESAMEGAP_CASES").ok();
    let asked = asked.and_then(|text| text.parse().ok()).unwrap_or(0);
    let cases = cases.max(asked);
    let rng = Gen::from_size_and_seed(size, seed);
    QuickCheck::new()
        .rng(rng)
        .tests(cases)
        .max_tests(cases * 10)
}
